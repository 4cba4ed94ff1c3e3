/* Expected times of a step: how long it runs, and how slow its workers may be
 * so that its job meets its objective. Private to steps/. */
#pragma once

#include "steps/tables.h"

/* A job that completes later than this multiple of its objective is worth
 * nothing; see docs/design/README.md, "Background". */
#define GR_LATE_FACTOR 3

/* Returns the step's expected times; they are computed anew a few times a
 * second. Owned by the step. */
const struct deadline *gr_deadline (const struct gr_steps *steps,
                                    struct step *step);
/* Time in ms that is left for the run of the step so that its job completes
 * within `factor` times its objective; negative if there is none. */
int64_t gr_deadline_left_ms (const struct gr_steps *steps,
                             struct step *step,
                             int64_t factor);
/* Largest slowness of a worker with which a start of the step now is expected
 * to meet the objective. Work that cannot meet it any more and is not urgent
 * has until its value is lost. G_MAXDOUBLE if the step has no objective. */
double gr_deadline_max_slowness (const struct gr_steps *steps,
                                 struct step *step);

/* Determines the speed classes of all workers for this pass. */
void gr_workers_update_speeds (struct gr_steps *steps);
