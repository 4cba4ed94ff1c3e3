#include "instance/call-budget.h"

/* More calls would only wait for the processor of the smallest machine, and
 * time out. Calls to workers that do not answer are not counted: they wait for
 * their timeout and take no processor time. */
#define MAX_OPEN_ORDERS 64
#define MAX_OPEN_LOOKS 64

/* Orders that are open to one worker, as many as a worker usually has tasks; to
 * one that does not answer, a single order shows whether it answers again. */
#define MAX_ORDERS_OF_WORKER 8
#define MAX_ORDERS_OF_SILENT_WORKER 1

static uint32_t *
count_of (struct gr_call_budget *budget, enum gr_budget_kind kind)
{
  return kind == GR_BUDGET_ORDER ? &budget->open_orders : &budget->open_looks;
}

bool
gr_call_budget_allows (const struct gr_call_budget *budget,
                       const struct gr_call_budget_peer *peer,
                       enum gr_budget_kind kind)
{
  if (kind == GR_BUDGET_LOOK)
    return peer->silent || budget->open_looks < MAX_OPEN_LOOKS;
  if (peer->silent)
    return peer->open_orders < MAX_ORDERS_OF_SILENT_WORKER;
  return peer->open_orders < MAX_ORDERS_OF_WORKER
         && budget->open_orders < MAX_OPEN_ORDERS;
}

bool
gr_call_budget_begin (struct gr_call_budget *budget,
                      struct gr_call_budget_peer *peer,
                      enum gr_budget_kind kind)
{
  if (kind == GR_BUDGET_ORDER)
    peer->open_orders++;
  if (peer->silent)
    return false;
  (*count_of (budget, kind))++;
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
    (*count_of (budget, kind))--;
  peer->silent = !answered;
}
