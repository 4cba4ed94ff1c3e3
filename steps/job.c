#include "common/log.h"
#include "steps/crash-evidence.h"
#include "steps/samples.h"

#include <string.h>

/* An occurrence is created when it is due or first referred to, so that later
 * ones take no memory. */

static struct occurrence *
occurrence_create (struct job *job, uint32_t number)
{
  const struct gr_job_spec *spec = job->spec;
  struct occurrence *occurrence = g_new0 (struct occurrence, 1);

  occurrence->job = job;
  occurrence->number = number;
  if (spec->repeats > 0)
    occurrence->due_unix_ms =
        spec->first_due_unix_ms + (int64_t)number * spec->interval_ms;
  occurrence->steps = g_new0 (struct step, spec->n_steps);
  for (uint32_t i = 0; i < spec->n_steps; i++)
    {
      struct step *step = &occurrence->steps[i];

      step->occurrence = occurrence;
      step->spec = &spec->steps[i];
      step->number = i;
      step->n_tasks = spec->steps[i].count;
      step->n_waiting = step->n_tasks;
      step->tasks = g_new0 (struct task, step->n_tasks);
      step->forecasts = g_new0 (struct step_forecast, GR_FORECAST_QUANTILES);
      for (uint32_t k = 0; k < step->n_tasks; k++)
        {
          step->tasks[k].step = step;
          step->tasks[k].index = k;
        }
    }
  return occurrence;
}

static void
occurrence_destroy (struct occurrence *occurrence)
{
  if (occurrence == NULL)
    return;
  for (uint32_t i = 0; i < occurrence->job->spec->n_steps; i++)
    {
      struct step *step = &occurrence->steps[i];

      for (uint32_t k = 0; k < step->n_tasks; k++)
        {
          g_free (step->tasks[k].checkpoint);
          g_free (step->tasks[k].failed_runs);
        }
      g_clear_pointer (&step->advice, g_hash_table_destroy);
      g_free (step->tasks);
      g_free (step->forecasts);
    }
  g_free (occurrence->steps);
  g_free (occurrence);
}

struct occurrence *
gr_job_occurrence (struct job *job, uint32_t number)
{
  while (job->occurrences->len <= number)
    g_ptr_array_add (job->occurrences, NULL);
  if (job->occurrences->pdata[number] == NULL)
    job->occurrences->pdata[number] = occurrence_create (job, number);
  return job->occurrences->pdata[number];
}

void
gr_job_destroy (struct job *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    occurrence_destroy (job->occurrences->pdata[i]);
  g_ptr_array_unref (job->occurrences);
  gr_job_spec_destroy (job->spec);
  g_free (job);
}

bool
gr_job_is_final (const struct job *job)
{
  return job->state >= GR_JOB_COMPLETED;
}

void
gr_job_mark_changed (struct gr_steps *steps, struct job *job)
{
  steps->sequence++;
  if (job->changed)
    return;
  job->changed = true;
  g_queue_push_tail (&steps->changed, job);
}

static void
stop_all (struct gr_steps *steps, struct job *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct occurrence *occurrence = job->occurrences->pdata[i];

      for (uint32_t s = 0; occurrence != NULL && s < job->spec->n_steps; s++)
        for (uint32_t k = 0; k < occurrence->steps[s].n_tasks; k++)
          if (gr_task_is_active (&occurrence->steps[s].tasks[k]))
            gr_order_stop (steps, &occurrence->steps[s].tasks[k]);
    }
}

void
gr_job_finish (struct gr_steps *steps, struct job *job, enum gr_job_state state)
{
  if (gr_job_is_final (job))
    return;
  job->state = state;
  gr_job_mark_changed (steps, job);
  job->final_sequence = steps->sequence;
  if (state != GR_JOB_COMPLETED)
    stop_all (steps, job);
  else
    gr_samples_log_job (job);
}

static const struct
{
  const char *name;
  const char *text;
} failure_causes[GR_FAILURE_CAUSES] = {
  [GR_FAILURE_ATTEMPTS] = { "attempts", "a task used up its attempts" },
  [GR_FAILURE_CRASHES] = { "crashes",
                           "workers crashed under one of its tasks" },
};

const char *
gr_failure_cause_name (enum gr_failure_cause cause)
{
  return failure_causes[cause].name;
}

static void
log_failure (const struct task *task,
             const char *worker,
             enum gr_failure_cause cause)
{
  const struct job *job = gr_task_job (task);
  char name[GR_TASK_NAME_SIZE];
  char counts[6][16];

  gr_task_name (task, name);
  g_snprintf (counts[0], sizeof counts[0], "%u", task->failures);
  g_snprintf (counts[1], sizeof counts[1], "%u", job->queue->max_attempts);
  g_snprintf (counts[2], sizeof counts[2], "%u", task->crashes);
  g_snprintf (counts[3], sizeof counts[3], "%u", task->early_crashes);
  g_snprintf (counts[4], sizeof counts[4], "%u", task->unconfirmed_crashes);
  g_snprintf (counts[5], sizeof counts[5], "%u", task->dismissed_crashes);
  gr_log_event ("job-failed", "job", job->spec->id, "worker", worker, "reason",
                failure_causes[cause].text, "task", name, "failures", counts[0],
                "max_attempts", counts[1], "crashes", counts[2],
                "early_crashes", counts[3], "unconfirmed_crashes", counts[4],
                "dismissed_crashes", counts[5], NULL);
}

void
gr_job_fail (struct gr_steps *steps,
             const struct task *task,
             const char *worker,
             enum gr_failure_cause cause)
{
  struct job *job = gr_task_job (task);

  if (gr_job_is_final (job))
    return;
  if (!gr_tenure_is_present (steps))
    {
      job->failed_task = task;
      job->failure_cause = cause;
      return;
    }
  log_failure (task, worker, cause);
  steps->jobs_failed[cause]++;
  gr_job_finish (steps, job, GR_JOB_FAILED);
}

/* Ends a job whose failure was found while the owner's lease may have expired.
 * Crashes can have been explained otherwise since. */
static void
fail_later (struct gr_steps *steps, struct job *job)
{
  const struct task *task = job->failed_task;

  job->failed_task = NULL;
  if (job->failure_cause != GR_FAILURE_CRASHES || gr_crash_is_proven (task))
    gr_job_fail (steps, task, task->avoid_worker, job->failure_cause);
}

int64_t
gr_job_objective_ms (const struct job *job)
{
  int64_t longest = 0;

  /* A step depends only on earlier steps, so the sum is an upper bound of the
   * longest chain; most jobs have one step. */
  for (uint32_t i = 0; i < job->spec->n_steps; i++)
    longest += job->spec->steps[i].estimate_ms;
  return (int64_t)((double)longest * job->queue->stretch)
         + job->queue->objective_ms;
}

bool
gr_step_is_ready (const struct step *step)
{
  const struct occurrence *occurrence = step->occurrence;

  for (uint32_t i = 0; i < step->spec->n_after; i++)
    {
      const struct step *earlier = &occurrence->steps[step->spec->after[i]];

      if (earlier->n_done < earlier->n_tasks)
        return false;
    }
  return true;
}

static void
create_due_occurrences (struct job *job, int64_t unix_ms)
{
  const struct gr_job_spec *spec = job->spec;

  if (spec->repeats == 0)
    {
      gr_job_occurrence (job, 0);
      return;
    }
  /* Not from the length of the table: after a takeover it has gaps, where only
   * later occurrences have progress. */
  while (job->n_due < spec->repeats
         && spec->first_due_unix_ms + (int64_t)job->n_due * spec->interval_ms
                <= unix_ms)
    gr_job_occurrence (job, job->n_due++);
}

static void
update_ready_steps (struct gr_steps *steps, struct job *job, int64_t unix_ms)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct occurrence *occurrence = job->occurrences->pdata[i];

      if (occurrence == NULL || occurrence->complete
          || occurrence->due_unix_ms > unix_ms)
        continue;
      for (uint32_t s = 0; s < job->spec->n_steps; s++)
        {
          struct step *step = &occurrence->steps[s];

          if (step->ready_ms == 0 && gr_step_is_ready (step))
            step->ready_ms = steps->now_ms;
        }
    }
}

static void
drop_reservations (struct gr_steps *steps, const struct job *job)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->reserved_for != NULL
          && gr_step_job (worker->reserved_for) == job)
        worker->reserved_for = NULL;
      if (worker->planned_for != NULL
          && gr_step_job (worker->planned_for) == job)
        worker->planned_for = NULL;
    }
  if (job->queue->planned_step != NULL
      && gr_step_job (job->queue->planned_step) == job)
    job->queue->planned_step = NULL;
}

/* A final job without tasks on workers is removed once its state is durable. If
 * it were removed earlier, its records in the store would add it again. */
void
gr_jobs_tick (struct gr_steps *steps, int64_t unix_ms)
{
  for (guint i = steps->job_rows->len; i-- > 0;)
    {
      struct job *job = steps->job_rows->pdata[i];

      if (job->failed_task != NULL && gr_tenure_is_present (steps))
        fail_later (steps, job);
      if (!gr_job_is_final (job))
        {
          create_due_occurrences (job, unix_ms);
          update_ready_steps (steps, job, unix_ms);
          continue;
        }
      if (job->active > 0 || job->changed
          || steps->committed < job->final_sequence)
        continue;
      drop_reservations (steps, job);
      g_ptr_array_remove_index (steps->job_rows, i);
      g_hash_table_remove (steps->jobs, job->spec->id);
      gr_job_destroy (job);
    }
}

void
gr_job_progress_clear (struct gr_job_progress *progress)
{
  for (size_t i = 0; i < progress->n_tasks; i++)
    g_free (progress->tasks[i].failed_runs);
  g_free (progress->tasks);
  *progress = (struct gr_job_progress){ 0 };
}
