/* Distribution of account rate limits between the entries over RPC. Every
 * entry reports its demand for an account to that account's home entry,
 * which replies with the rate allotted to the reporting entry. Implements
 * both roles. */
#pragma once

#include "entry/internal.h"

struct gr_shares *gr_shares_create (struct gr_entry *entry);
void gr_shares_destroy (struct gr_shares *shares);

/* Handles the RPC method "limits.report": {"home", "entry", "stamp",
 * "stamp_of", "reports": [{"account", "demand_per_s"}]} -> {"stamp",
 * "incarnation", "term_ms", "allotments": [{"account", "rate_per_s"}]}.
 * Fails with kind bad-request if this entry is not the home that the report
 * is addressed to. */
void gr_shares_handle (struct gr_shares *shares,
                       struct gr_rpc_call *call,
                       const msgpack_object *body);
