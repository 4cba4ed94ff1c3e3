/* Limits how many calls to workers are in flight at a time. Does no I/O.
 * Designed for a large site that loses many workers at once while thousands of
 * orders are pending: neither the lost workers nor the orders may keep the
 * owner from polling the other workers, because leases expire without polls. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct gr_call_budget
{
  uint32_t open_orders; /* to responsive workers */
  uint32_t open_polls;  /* to responsive workers, without long polls */
};

/* State of the calls to one worker. */
struct gr_call_budget_peer
{
  bool unresponsive; /* the last completed call got no answer */
  uint32_t open_orders;
};

enum gr_budget_kind
{
  GR_BUDGET_ORDER,
  GR_BUDGET_POLL,
};

/* Returns true if another call of this kind may be sent to the worker. */
bool gr_call_budget_allows (const struct gr_call_budget *budget,
                            const struct gr_call_budget_peer *peer,
                            enum gr_budget_kind kind);
/* Records that a call was sent. Returns true if the call counts towards the
 * budget; pass the result to gr_call_budget_end (). */
bool gr_call_budget_begin (struct gr_call_budget *budget,
                           struct gr_call_budget_peer *peer,
                           enum gr_budget_kind kind);
/* Records that a call has ended. answered: the worker sent a response. */
void gr_call_budget_end (struct gr_call_budget *budget,
                         struct gr_call_budget_peer *peer,
                         enum gr_budget_kind kind,
                         bool counted,
                         bool answered);
