/* HTTP resources for jobs, forwarded to the owner of the job's shard. Each
 * handler takes ownership of the exchange and sends exactly one response. */
#pragma once

#include "entry/exchange.h"

/* POST /v1/jobs */
void gr_jobs_submit (struct gr_exchange *exchange);

/* GET /v1/jobs/ID */
void gr_jobs_show (struct gr_exchange *exchange);

/* DELETE /v1/jobs/ID */
void gr_jobs_cancel (struct gr_exchange *exchange);

/* GET /v1/jobs?account=&state=&limit=&after=; without "account" for operators
 * only. */
void gr_jobs_list (struct gr_exchange *exchange);
