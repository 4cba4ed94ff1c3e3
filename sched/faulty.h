/* Whether the failures of a job are its own fault. Failures alone do not show
 * it: the workers may fail whatever they start. */
#pragma once

#include "sched/tables.h"

/* A running job has passed after this time: faulty workers, and most faulty
 * jobs, fail tasks in their first seconds. */
#define GR_MIN_PASSED_MS 10000

/* An attempt of the job failed on the worker. */
void gr_job_note_failure (const struct gr_core *core,
                          const struct gr_core_worker *worker,
                          struct gr_core_job *job);

/* True if the failures of the job are its own fault: max_attempts of them, the
 * last one included, were on workers on which other jobs have been started
 * since its first failure and have passed; or three times as many without that.
 */
bool gr_job_is_faulty (const struct gr_core *core,
                       const struct gr_core_job *job);

/* Pause before the next attempt of a job that failed, in ms. */
int64_t gr_failure_pause_ms (const struct gr_core_job *job);
