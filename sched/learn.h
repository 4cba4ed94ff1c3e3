/* Learned run times for each account and shape. They order work and choose
 * where to backfill; no safety rule depends on them. */
#pragma once

#include "sched/tables.h"

GHashTable *gr_learned_table_create (void);

/* A job of the account finished after ran_ms. */
void gr_learn (struct gr_core_account *account,
               const struct gr_job_spec *spec,
               int64_t ran_ms);

/* Expected run time: the quantile (0 to 1) of what was seen for the shape,
 * else the declared time corrected by the account's usual error. */
int64_t gr_expected_run_ms (const struct gr_core_account *account,
                            const struct gr_job_spec *spec,
                            double quantile);

/* Class of a job by its run time: 0 is the shortest. */
uint32_t gr_class_of_ms (int64_t run_ms);

/* Run time of all attempts so far, counted from the unthrottling. */
int64_t gr_attained_ms (const struct gr_core *core,
                        const struct gr_core_job *job);

/* Expected rest of a running job; never below a tenth of what it has run, so
 * that a job that outlives its estimate is not expected to end at once. */
int64_t gr_expected_rest_ms (const struct gr_core *core,
                             const struct gr_core_job *job);
