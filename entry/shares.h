/* Exchange of demand and allotments between the entries: both roles of
 * section 3.4 Limits over RPC. */
#pragma once

#include "entry/internal.h"

struct gr_shares *gr_shares_create (struct gr_entry *entry);
void gr_shares_destroy (struct gr_shares *shares);

/* Serves "limits.report": {"home", "entry", "stamp", "stamp_of",
 * "reports": [{"account", "demand_per_s"}]} -> {"stamp", "incarnation",
 * "term_ms", "allotments": [{"account", "rate_per_s"}]}. */
void gr_shares_handle (struct gr_shares *shares,
                       struct gr_rpc_call *call,
                       const msgpack_object *body);
