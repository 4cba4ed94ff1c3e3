/* Run ends that a worker lists until they are acknowledged. An end may be
 * acknowledged once its effect is durable, as the worker then forgets it and no
 * successor can read it. Private to steps/. */
#pragma once

#include "steps/tables.h"

/* The worker has a new process, which numbers its ends anew. */
void gr_ends_reset (struct worker *worker);
/* Determines which of the processed ends are durable by now. */
void gr_ends_update (const struct gr_steps *steps, struct worker *worker);
/* True if changes by ends of the worker are not durable yet: a successor can
 * read these ends only from the worker. */
bool gr_ends_are_pending (const struct gr_steps *steps,
                          const struct worker *worker);
