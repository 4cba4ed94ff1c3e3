/* Learned run times for each account and shape. They order work and select
 * jobs for backfilling; no safety rule depends on them. */
#pragma once

#include "sched/tables.h"

struct gr_run_times *gr_learned_create (void);
void gr_learned_destroy (struct gr_run_times *times);

/* Adds a sample: a job finished after ran_ms. */
void gr_learn_run_time (struct gr_core *core,
                        const struct gr_job_spec *spec,
                        int64_t ran_ms);

/* Expected run time in ms: the quantile (0 to 1) of what is learned for the
 * account and shape or, with too few samples, for the account or all jobs; see
 * learn/run-times.h. */
int64_t gr_expected_run_ms (const struct gr_core *core,
                            const struct gr_job_spec *spec,
                            double quantile);

/* Class of a run time; 0 is the shortest. */
uint32_t gr_run_time_class (int64_t run_ms);

/* Run time of all attempts so far, counted from the unthrottling of each. */
int64_t gr_attained_run_ms (const struct gr_core *core,
                            const struct gr_core_job *job);

/* Expected remaining time of a running job. It is at least a tenth of the
 * time already run, so that a job that exceeds its estimate is not expected to
 * end at once. */
int64_t gr_expected_remaining_ms (const struct gr_core *core,
                                  const struct gr_core_job *job);
