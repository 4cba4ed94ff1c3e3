/* Resources of operators: accounts, shards, workers, members, drain. */
#pragma once

#include "entry/exchange.h"

void gr_admin_accounts (struct gr_exchange *exchange);
void gr_admin_account (struct gr_exchange *exchange);
void gr_admin_shards (struct gr_exchange *exchange);
void gr_admin_workers (struct gr_exchange *exchange);
void gr_admin_members (struct gr_exchange *exchange);

/* POST /v1/drain and POST /v1/shards/NAME/drain */
void gr_admin_drain (struct gr_exchange *exchange);
void gr_admin_drain_shard (struct gr_exchange *exchange);
