#include "instance/call-budget.h"

/* Limits of all workers together. More calls at a time would queue for the
 * processor of the smallest machine that an instance runs on, and time out.
 * Calls to unresponsive workers are not counted: they only wait for their
 * timeout and take no processor time. */
#define MAX_OPEN_ORDERS 64
#define MAX_OPEN_POLLS 64

/* Orders in flight to one worker, as many as a worker usually has tasks. For
 * an unresponsive worker a single order is enough to find out whether it
 * answers again. */
#define MAX_OPEN_ORDERS_PER_WORKER 8
#define MAX_OPEN_ORDERS_PER_UNRESPONSIVE_WORKER 1

static uint32_t *
open_calls_of (struct gr_call_budget *budget, enum gr_budget_kind kind)
{
  return kind == GR_BUDGET_ORDER ? &budget->open_orders : &budget->open_polls;
}

bool
gr_call_budget_allows (const struct gr_call_budget *budget,
                       const struct gr_call_budget_peer *peer,
                       enum gr_budget_kind kind)
{
  if (kind == GR_BUDGET_POLL)
    return peer->unresponsive || budget->open_polls < MAX_OPEN_POLLS;
  if (peer->unresponsive)
    return peer->open_orders < MAX_OPEN_ORDERS_PER_UNRESPONSIVE_WORKER;
  return peer->open_orders < MAX_OPEN_ORDERS_PER_WORKER
         && budget->open_orders < MAX_OPEN_ORDERS;
}

bool
gr_call_budget_begin (struct gr_call_budget *budget,
                      struct gr_call_budget_peer *peer,
                      enum gr_budget_kind kind)
{
  if (kind == GR_BUDGET_ORDER)
    peer->open_orders++;
  if (peer->unresponsive)
    return false;
  (*open_calls_of (budget, kind))++;
  return true;
}

void
gr_call_budget_end (struct gr_call_budget *budget,
                    struct gr_call_budget_peer *peer,
                    enum gr_budget_kind kind,
                    bool counted,
                    bool answered)
{
  if (kind == GR_BUDGET_ORDER)
    peer->open_orders--;
  if (counted)
    (*open_calls_of (budget, kind))--;
  peer->unresponsive = !answered;
}
