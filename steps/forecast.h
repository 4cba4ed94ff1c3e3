/* Expected run times and speeds, for order, placement and preemption. No safety
 * rule depends on them. Private to steps/. */
#pragma once

#include "steps/tables.h"

/* Expected run time in ms (at least 1) of a task of the step on a worker of
 * slowness 1.0, from its start and without a checkpoint. quantile is 0 to 1. */
int64_t gr_forecast_run_ms (const struct gr_steps *steps,
                            const struct step *step,
                            double quantile);

/* Time that a task takes on the worker, as a multiple of its time on a typical
 * worker. 1.0 if the speeds of workers are not learned, are alike, or that of
 * the worker is unknown. */
double gr_forecast_slowness (const struct gr_steps *steps,
                             const struct worker *worker);

/* Expected time in ms until the active run of the task ends; negative if it is
 * overdue. Observed progress takes precedence over the forecast. */
int64_t gr_forecast_remaining_ms (const struct gr_steps *steps,
                                  const struct task *task);

/* Time in ms after its acceptance within which the job should be complete. */
int64_t gr_forecast_objective_ms (const struct gr_steps *steps,
                                  const struct job *job);
