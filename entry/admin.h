/* HTTP resources for operators: accounts, shards, workers, members and
 * draining. Each handler takes ownership of the exchange and sends exactly
 * one response, either immediately or after the shard owners have replied. */
#pragma once

#include "entry/exchange.h"

/* GET /v1/accounts */
void gr_admin_accounts (struct gr_exchange *exchange);

/* GET /v1/accounts/NAME; also for the holder of the account's token. */
void gr_admin_account (struct gr_exchange *exchange);

/* GET /v1/shards */
void gr_admin_shards (struct gr_exchange *exchange);

/* GET /v1/workers?shard=NAME; the workers of all shards without "shard". */
void gr_admin_workers (struct gr_exchange *exchange);

/* GET /v1/members */
void gr_admin_members (struct gr_exchange *exchange);

/* POST /v1/drain: starts a graceful shutdown of this entry. Responds with 202.
 */
void gr_admin_drain (struct gr_exchange *exchange);

/* POST /v1/shards/NAME/drain: asks the owner of the shard to drain it. Responds
 * with 202 and the state that the owner returns. */
void gr_admin_drain_shard (struct gr_exchange *exchange);
