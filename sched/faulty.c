#include "sched/faulty.h"

/* How long a job avoids the worker that it failed on. The time is limited
 * because a large gang may need that worker. */
#define AVOID_MS 30000
/* A job without other evidence is faulty after this many times max_attempts
 * failures. */
#define MAX_UNCONFIRMED_FACTOR 3
#define FIRST_PAUSE_MS 1000
/* The pause doubles up to this limit. The attempts of a job then take some
 * minutes with the default settings, so that no short disturbance of the
 * whole pool covers them all. */
#define PAUSE_LIMIT_MS 60000

void
gr_job_note_failure (const struct gr_core *core,
                     const struct gr_core_worker *worker,
                     struct gr_core_job *job)
{
  if (job->failed_workers == NULL)
    {
      job->failed_workers = g_ptr_array_new_with_free_func (g_free);
      job->first_failed_ms = core->now_ms;
    }
  g_ptr_array_add (job->failed_workers, g_strdup (worker->name));
  g_strlcpy (job->failed_worker, worker->name, sizeof job->failed_worker);
  job->avoid_until_ms = core->now_ms + AVOID_MS;
}

/* True if another job has been started on the worker since the first failure of
 * this one, and has passed. */
static bool
is_confirmed_healthy (const struct gr_core *core,
                      const struct gr_core_worker *worker,
                      const struct gr_core_job *job)
{
  if (worker->last_passed_ms >= job->first_failed_ms)
    return true;
  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      const struct gr_core_member *member = worker->holder[a];

      if (member != NULL && member->job != job
          && member->job->phase == GR_PHASE_RUNNING
          && member->job->running_since_ms >= job->first_failed_ms
          && core->now_ms - member->job->running_since_ms >= GR_MIN_PASSED_MS)
        return true;
    }
  return false;
}

static bool
is_failure_confirmed (const struct gr_core *core,
                      const struct gr_core_job *job,
                      guint index)
{
  const struct gr_core_worker *worker =
      gr_worker_find (core, g_ptr_array_index (job->failed_workers, index));

  return worker != NULL && is_confirmed_healthy (core, worker, job);
}

bool
gr_job_is_faulty (const struct gr_core *core, const struct gr_core_job *job)
{
  uint32_t max_attempts = core->config.max_attempts;
  uint32_t confirmed = 0;

  if (job->record.failures >= max_attempts * MAX_UNCONFIRMED_FACTOR)
    return true;
  /* Workers that failed the job in a disturbance may have passed others after
   * it, so the last failure must be a confirmed one. */
  if (job->failed_workers == NULL
      || !is_failure_confirmed (core, job, job->failed_workers->len - 1))
    return false;
  for (guint i = 0; i < job->failed_workers->len; i++)
    if (is_failure_confirmed (core, job, i))
      confirmed++;
  return confirmed >= max_attempts;
}

int64_t
gr_failure_pause_ms (const struct gr_core_job *job)
{
  int64_t pause_ms = FIRST_PAUSE_MS;

  for (uint32_t i = 1; i < job->record.failures && pause_ms < PAUSE_LIMIT_MS;
       i++)
    pause_ms *= 2;
  return MIN (pause_ms, PAUSE_LIMIT_MS);
}
