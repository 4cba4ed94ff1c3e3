#include "steps/tables.h"

#include "common/log.h"

#include <string.h>

/* Quarantine of workers on which several different jobs fail: they get no new
 * work for a time that doubles with each quarantine, and then one task at a
 * time until a run succeeds or the same time has passed again. Failures during
 * a quarantine do not prolong it: they can have the same cause. A failure may
 * be the fault of the job. Once a run succeeds on the worker, the jobs that
 * failed there before have failed by themselves, and no longer count against
 * other workers: a class of such jobs would quarantine one healthy worker after
 * the other. */

/* Different jobs that failed in a row after which a worker is quarantined. */
#define QUARANTINE_THRESHOLD 2

#define FIRST_QUARANTINE_MS 4000
#define MAX_QUARANTINE_MS 30000

static void
quarantine (struct gr_steps *steps, struct worker *worker, const char *reason)
{
  char text[24];

  if (worker->quarantine_ms == 0)
    worker->quarantine_ms = FIRST_QUARANTINE_MS;
  else
    worker->quarantine_ms = MIN (worker->quarantine_ms * 2, MAX_QUARANTINE_MS);
  worker->quarantine_until_ms = steps->now_ms + worker->quarantine_ms;
  g_snprintf (text, sizeof text, "%u", worker->quarantine_ms);
  gr_log_event ("worker-quarantined", "worker", worker->id, "for_ms", text,
                "reason", reason, NULL);
}

static void
end_quarantine (struct gr_steps *steps,
                struct worker *worker,
                const char *reason)
{
  worker->quarantine_ms = 0;
  worker->on_probation = false;
  if (!worker->quarantined_for_jobs)
    return;
  worker->quarantined_for_jobs = false;
  if (steps->now_ms >= worker->quarantine_until_ms)
    return;
  worker->quarantine_until_ms = steps->now_ms;
  gr_log_event ("worker-quarantine-ended", "worker", worker->id, "reason",
                reason, NULL);
}

static bool
find_failed_job (const struct worker *worker, const char *job, uint32_t *index)
{
  for (*index = 0; *index < worker->n_failed_jobs; (*index)++)
    if (g_str_equal (worker->failed_jobs[*index], job))
      return true;
  return false;
}

static void
remove_failed_job (struct gr_steps *steps,
                   struct worker *worker,
                   const char *job)
{
  uint32_t index;

  if (!find_failed_job (worker, job, &index))
    return;
  worker->n_failed_jobs--;
  memmove (worker->failed_jobs[index], worker->failed_jobs[index + 1],
           (worker->n_failed_jobs - index) * sizeof worker->failed_jobs[0]);
  if (worker->quarantined_for_jobs
      && worker->n_failed_jobs < QUARANTINE_THRESHOLD)
    end_quarantine (steps, worker, "the jobs fail by themselves");
}

void
gr_health_record_failure (struct gr_steps *steps,
                          struct worker *worker,
                          const struct task *task)
{
  const struct job *job = gr_task_job (task);
  uint32_t index;

  if (job->fails_by_itself || gr_task_is_at_work (task))
    return;
  if (!find_failed_job (worker, job->spec->id, &index)
      && worker->n_failed_jobs < GR_FAILED_JOBS)
    g_strlcpy (worker->failed_jobs[worker->n_failed_jobs++], job->spec->id,
               sizeof worker->failed_jobs[0]);
  if (worker->n_failed_jobs < QUARANTINE_THRESHOLD
      || steps->now_ms < worker->quarantine_until_ms)
    return;
  quarantine (steps, worker, "several different jobs failed in a row");
  worker->quarantined_for_jobs = true;
  worker->on_probation = true;
}

/* The job has failed on a worker where others succeed. */
static void
blame_job (struct gr_steps *steps, const struct worker *worker, const char *id)
{
  struct job *job = g_hash_table_lookup (steps->jobs, id);

  gr_log_event ("job-fails-by-itself", "job", id, "worker", worker->id, NULL);
  if (job != NULL)
    job->fails_by_itself = true;
  for (guint i = 0; i < steps->worker_rows->len; i++)
    remove_failed_job (steps, steps->worker_rows->pdata[i], id);
}

void
gr_health_record_success (struct gr_steps *steps, struct worker *worker)
{
  while (worker->n_failed_jobs > 0)
    {
      char id[GR_JOB_ID_DIGITS + 1];

      g_strlcpy (id, worker->failed_jobs[worker->n_failed_jobs - 1], sizeof id);
      blame_job (steps, worker, id);
    }
  end_quarantine (steps, worker, "a run succeeded");
}

void
gr_health_tick (struct gr_steps *steps, struct worker *worker)
{
  if (steps->now_ms >= worker->quarantine_until_ms + worker->quarantine_ms)
    worker->on_probation = false;
}

void
gr_health_quarantine (struct gr_steps *steps,
                      struct worker *worker,
                      const char *reason)
{
  if (steps->now_ms < worker->quarantine_until_ms)
    return;
  quarantine (steps, worker, reason);
  worker->quarantined_for_jobs = false;
}
