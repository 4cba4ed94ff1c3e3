/* Runs that have ended without a report of their end. Private to steps/. */
#pragma once

#include "steps/tables.h"

/* What shows that the runs of a worker have ended. */
struct gr_loss
{
  enum gr_loss_reason reason;
  int64_t observed_ms; /* not later than what was observed, for example when the
                          call was sent; 0: unknown */
};

/* The functions that release runs have no effect if the owner may not draw this
 * conclusion now; see gr_tenure_may_conclude (). */

/* Releases a task whose run has ended. Does not abort its gang. Returns false
 * if it has no effect. */
bool gr_loss_release (struct gr_steps *steps,
                      struct task *task,
                      const struct gr_loss *loss);
/* Records that the worker may have crashed under the runs that cannot have
 * begun later than sent_ms. */
void gr_loss_record_refusal (struct gr_steps *steps,
                             struct worker *worker,
                             int64_t sent_ms);
/* Releases all tasks on the worker. */
void gr_loss_release_all (struct gr_steps *steps,
                          struct worker *worker,
                          const struct gr_loss *loss);
/* True if the task's run cannot begin later than time_ms on a process that does
 * not know of its stop. */
bool gr_loss_began_before (const struct task *task, int64_t time_ms);
/* Releases the tasks on the worker whose runs cannot have begun later than
 * loss->observed_ms. Returns true if none is left. */
bool gr_loss_release_older (struct gr_steps *steps,
                            struct worker *worker,
                            const struct gr_loss *loss);
/* Writes the time since then to text, for the log, and returns text; "-" if
 * time_ms is 0. */
const char *
gr_loss_age (const struct gr_steps *steps, int64_t time_ms, char text[24]);
