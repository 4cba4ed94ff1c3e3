/* Planned reservations: the first gang of a queue that does not fit gets the
 * workers of one rack on which it is expected to fit first. Until then only
 * work that ends in time is placed there, and lasting work that has no other
 * room. Private to steps/. */
#pragma once

#include "steps/tables.h"

/* Drops reservations that were missed, or whose gang or workers are gone. */
void gr_planned_tick (struct gr_steps *steps);
/* Makes a reservation for a gang that does not fit, if its queue has none. */
void gr_planned_make (struct gr_steps *steps, struct step *step);
/* Records that the gang starts, and drops its reservation. */
void gr_planned_started (struct gr_steps *steps, struct step *step);
/* True if the worker, which is planned for some gang, is planned for another
 * one that the step would delay. */
bool gr_worker_is_planned (const struct gr_steps *steps,
                           const struct worker *worker,
                           struct step *step);
