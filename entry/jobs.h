/* Jobs over HTTP: forwarded to the owner of their shard. */
#pragma once

#include "entry/exchange.h"

/* POST /v1/jobs, GET and DELETE /v1/jobs/ID,
 * GET /v1/jobs?account=&state=&limit=&after= */
void gr_jobs_submit (struct gr_exchange *exchange);
void gr_jobs_show (struct gr_exchange *exchange);
void gr_jobs_cancel (struct gr_exchange *exchange);
void gr_jobs_list (struct gr_exchange *exchange);
