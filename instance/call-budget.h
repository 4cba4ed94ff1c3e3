/* How many calls to workers are open at a time. Pure; answers the load of a
 * large site in which many workers are lost at once while thousands of orders
 * wait: neither the lost workers nor the orders may keep the owner from looking
 * at the others, because leases expire without looks. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct gr_call_budget
{
  uint32_t open_orders; /* to workers that answer */
  uint32_t open_looks;  /* the same, of looks that do not wait */
};

/* Calls of one worker. */
struct gr_call_budget_peer
{
  bool silent; /* the last call that has ended had no answer */
  uint32_t open_orders;
};

enum gr_budget_kind
{
  GR_BUDGET_ORDER,
  GR_BUDGET_LOOK,
};

bool gr_call_budget_allows (const struct gr_call_budget *budget,
                            const struct gr_call_budget_peer *peer,
                            enum gr_budget_kind kind);
/* True if the call is counted in the budget; to be passed to gr_call_budget_end
 * (). */
bool gr_call_budget_begin (struct gr_call_budget *budget,
                           struct gr_call_budget_peer *peer,
                           enum gr_budget_kind kind);
void gr_call_budget_end (struct gr_call_budget *budget,
                         struct gr_call_budget_peer *peer,
                         enum gr_budget_kind kind,
                         bool counted,
                         bool answered);
