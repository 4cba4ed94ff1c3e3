#include "steps/tables.h"

/* Failed runs of tasks. A job is given up once one of its tasks, or a gang, has
 * failed as often as its queue permits. Runs of lasting tasks do not count. */

/* The run of a gang counts as one failure, whichever of its members report
 * it. */
static struct task *
counting_task (struct task *task)
{
  return task->step->spec->gang ? &task->step->tasks[0] : task;
}

uint32_t
gr_failed_runs_kept (uint32_t failures)
{
  return MIN (failures, GR_MAX_FAILED_RUNS);
}

static bool
failure_is_counted (const struct task *task, uint32_t run)
{
  for (uint32_t i = 0; i < gr_failed_runs_kept (task->failures); i++)
    if (task->failed_runs[i] == run)
      return true;
  return false;
}

static void
add_failure (struct task *task, uint32_t run)
{
  uint32_t index = task->failures % GR_MAX_FAILED_RUNS;

  task->failures++;
  task->failed_runs = g_renew (uint32_t, task->failed_runs,
                               gr_failed_runs_kept (task->failures));
  task->failed_runs[index] = run;
}

/* An owner can learn of failed runs before it has read the configuration of
 * their queue. */
static bool
is_exhausted (const struct task *task)
{
  uint32_t max_attempts = gr_task_job (task)->queue->max_attempts;

  return max_attempts != 0 && task->failures >= max_attempts;
}

void
gr_attempts_count_failure (struct gr_steps *steps,
                           struct task *task,
                           struct worker *worker,
                           uint32_t run)
{
  struct job *job = gr_task_job (task);
  struct task *counted = counting_task (task);

  g_strlcpy (task->avoid_worker, worker->id, sizeof task->avoid_worker);
  if (task->step->spec->lasting)
    return;
  /* An end that was not acknowledged is reported again to the next owner. */
  if (failure_is_counted (counted, run))
    return;
  add_failure (counted, run);
  job->has_failures = true;
  gr_job_mark_changed (steps, job);
  if (is_exhausted (counted))
    gr_job_fail (steps, counted, worker->id, GR_FAILURE_ATTEMPTS);
}

/* Without an active run, so the task or its gang would be started again. */
static bool
waits (const struct task *task)
{
  const struct step *step = task->step;

  return task->state == TASK_WAITING
         && (!step->spec->gang || step->n_waiting == step->n_tasks);
}

static const struct task *
find_exhausted_task (const struct job *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct occurrence *occurrence = job->occurrences->pdata[i];

      if (occurrence == NULL || occurrence->complete)
        continue;
      for (uint32_t s = 0; s < job->spec->n_steps; s++)
        for (uint32_t k = 0; k < occurrence->steps[s].n_tasks; k++)
          {
            const struct task *task = &occurrence->steps[s].tasks[k];

            if (task->failures > 0 && is_exhausted (task) && waits (task))
              return task;
          }
    }
  return NULL;
}

void
gr_attempts_tick (struct gr_steps *steps)
{
  for (guint i = 0; i < steps->job_rows->len; i++)
    {
      const struct job *job = steps->job_rows->pdata[i];
      const struct task *task;

      if (!job->has_failures || gr_job_is_final (job))
        continue;
      task = find_exhausted_task (job);
      if (task != NULL)
        gr_job_fail (steps, task, task->avoid_worker, GR_FAILURE_ATTEMPTS);
    }
}
