#include "steps/samples.h"

#include "common/log.h"

#include <string.h>

static void
queue_destroy (void *data)
{
  struct queue *queue = data;

  g_free (queue->name);
  g_free (queue->service);
  g_free (queue);
}

static void
account_destroy (void *data)
{
  struct account *account = data;

  g_free (account->name);
  g_free (account);
}

struct gr_steps *
gr_steps_create (const struct gr_steps_settings *settings,
                 int64_t epoch,
                 int64_t now_ms)
{
  struct gr_steps *steps = g_new0 (struct gr_steps, 1);

  steps->settings = *settings;
  steps->epoch = epoch;
  steps->created_ms = now_ms;
  steps->now_ms = now_ms;
  steps->owner_lease_until_ms = INT64_MAX;
  steps->former_active_ms =
      now_ms + (int64_t)(settings->isolation_ms * GR_CLOCK_DRIFT_FACTOR);
  steps->handover_list = GR_INHERITED_HANDOVER_LIST;
  steps->durable_handover_list = GR_INHERITED_HANDOVER_LIST;
  steps->queues =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, queue_destroy);
  steps->accounts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_destroy);
  steps->workers = g_hash_table_new (g_str_hash, g_str_equal);
  steps->worker_rows = g_ptr_array_new ();
  steps->holding_workers = g_ptr_array_new ();
  steps->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  steps->job_rows = g_ptr_array_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (steps->orders); i++)
    g_queue_init (&steps->orders[i]);
  steps->evacuated =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&steps->changed);
  g_queue_init (&steps->advice_requests);
  steps->advice_service = gr_advice_service_create ();
  steps->advice_calls =
      g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  steps->advice_wanted = g_ptr_array_new ();
  gr_samples_create_tables (steps);
  gr_crash_create_tables (steps);
  return steps;
}

void
gr_steps_destroy (struct gr_steps *steps)
{
  if (steps == NULL)
    return;
  gr_workers_destroy (steps);
  for (guint i = 0; i < steps->job_rows->len; i++)
    gr_job_destroy (steps->job_rows->pdata[i]);
  g_ptr_array_unref (steps->job_rows);
  g_hash_table_destroy (steps->jobs);
  g_hash_table_destroy (steps->queues);
  g_hash_table_destroy (steps->accounts);
  g_hash_table_destroy (steps->evacuated);
  for (size_t i = 0; i < G_N_ELEMENTS (steps->orders); i++)
    g_queue_clear_full (&steps->orders[i], g_free);
  g_queue_clear (&steps->changed);
  g_queue_clear_full (&steps->advice_requests, g_free);
  gr_advice_service_destroy (steps->advice_service);
  g_hash_table_destroy (steps->advice_calls);
  g_ptr_array_unref (steps->advice_wanted);
  gr_samples_destroy_tables (steps);
  gr_crash_destroy_tables (steps);
  g_free (steps);
}

static struct queue *
get_queue (struct gr_steps *steps, const char *name)
{
  struct queue *queue = g_hash_table_lookup (steps->queues, name);

  if (queue != NULL)
    return queue;
  queue = g_new0 (struct queue, 1);
  queue->name = g_strdup (name);
  queue->service = g_strdup ("");
  queue->stretch = 1;
  g_hash_table_insert (steps->queues, queue->name, queue);
  return queue;
}

/* Returns the queue of the job. One that no configuration has named to this
 * owner was removed before it took over, and gets the terms under which the job
 * was accepted. */
static struct queue *
get_job_queue (struct gr_steps *steps, const struct gr_job_spec *spec)
{
  struct queue *queue = get_queue (steps, spec->queue);
  const struct gr_queue_terms *terms = &spec->terms;

  if (queue->service[0] != '\0' || terms->service == NULL)
    return queue;
  gr_log_event ("queue-restored", "queue", spec->queue, "job", spec->id,
                "service", terms->service, NULL);
  gr_steps_set_queue (steps, &(struct gr_steps_queue){
                                 .name = spec->queue,
                                 .service = terms->service,
                                 .priority = terms->priority,
                                 .max_attempts = terms->max_attempts,
                                 .objective_ms = terms->objective_ms,
                                 .stretch = terms->stretch,
                                 .needs_advice = terms->needs_advice,
                                 .advice_decide_ms = terms->advice_decide_ms,
                                 .advice_each_ms = terms->advice_each_ms,
                             });
  return queue;
}

static struct account *
get_account (struct gr_steps *steps, const char *name)
{
  struct account *account = g_hash_table_lookup (steps->accounts, name);

  if (account != NULL)
    return account;
  account = g_new0 (struct account, 1);
  account->name = g_strdup (name);
  g_hash_table_insert (steps->accounts, account->name, account);
  return account;
}

void
gr_steps_set_queue (struct gr_steps *steps, const struct gr_steps_queue *row)
{
  struct queue *queue = get_queue (steps, row->name);

  g_free (queue->service);
  queue->service = g_strdup (row->service);
  queue->priority = row->priority;
  if (row->max_attempts > 0)
    queue->max_attempts = row->max_attempts;
  queue->objective_ms = row->objective_ms;
  queue->stretch = row->stretch;
  queue->needs_advice = row->needs_advice;
  queue->advice_decide_ms = row->advice_decide_ms;
  queue->advice_each_ms = row->advice_each_ms;
}

void
gr_steps_set_guarantee (struct gr_steps *steps,
                        const char *account,
                        uint32_t accelerators)
{
  get_account (steps, account)->guaranteed = accelerators;
}

static uint32_t *
copy_failed_runs (const uint32_t *runs, uint32_t failures)
{
  return g_memdup2 (runs, gr_failed_runs_kept (failures) * sizeof *runs);
}

static void
restore_task (struct gr_steps *steps,
              struct task *task,
              const struct gr_task_progress *row)
{
  task->failures = row->failures;
  g_free (task->failed_runs);
  task->failed_runs = copy_failed_runs (row->failed_runs, row->failures);
  task->crashes = row->crashes;
  task->early_crashes = row->early_crashes;
  task->unconfirmed_crashes = row->unconfirmed_crashes;
  task->dismissed_crashes = row->dismissed_crashes;
  if (row->failures > 0)
    gr_task_job (task)->has_failures = true;
  if (row->checkpoint[0] != '\0')
    task->checkpoint = g_strdup (row->checkpoint);
  if (!row->done)
    {
      gr_crash_inherit (steps, task);
      return;
    }
  task->state = TASK_DONE;
  task->step->n_waiting--;
  task->step->n_done++;
}

static void
restore_complete_occurrence (struct job *job, uint32_t number)
{
  struct occurrence *occurrence = gr_job_occurrence (job, number);

  if (occurrence->complete)
    return;
  occurrence->complete = true;
  job->n_complete++;
  for (uint32_t s = 0; s < job->spec->n_steps; s++)
    {
      struct step *step = &occurrence->steps[s];

      for (uint32_t k = 0; k < step->n_tasks; k++)
        step->tasks[k].state = TASK_DONE;
      step->n_waiting = 0;
      step->n_done = step->n_tasks;
    }
}

static void
restore_progress (struct gr_steps *steps,
                  struct job *job,
                  const struct gr_job_progress *progress)
{
  uint32_t repeats = MAX (job->spec->repeats, 1);

  for (size_t i = 0; i < progress->n_tasks; i++)
    {
      const struct gr_task_progress *row = &progress->tasks[i];
      struct occurrence *occurrence;

      if (row->occurrence >= repeats)
        continue;
      if (row->step == GR_PROGRESS_WHOLE_OCCURRENCE)
        {
          restore_complete_occurrence (job, row->occurrence);
          continue;
        }
      occurrence = gr_job_occurrence (job, row->occurrence);
      if (row->step < job->spec->n_steps
          && row->index < occurrence->steps[row->step].n_tasks)
        restore_task (steps, &occurrence->steps[row->step].tasks[row->index],
                      row);
    }
}

void
gr_steps_add_job (struct gr_steps *steps,
                  const struct gr_job_spec *spec,
                  const struct gr_job_progress *progress,
                  bool inherited,
                  int64_t now_ms)
{
  struct job *job;

  if (g_hash_table_contains (steps->jobs, spec->id)
      || (progress != NULL && progress->state >= GR_JOB_COMPLETED))
    return;
  job = g_new0 (struct job, 1);
  job->spec = gr_job_spec_copy (spec);
  job->queue = get_job_queue (steps, spec);
  job->account = get_account (steps, spec->account);
  job->inherited = inherited;
  job->added_ms = now_ms;
  job->accepted_ms = now_ms;
  job->occurrences = g_ptr_array_new ();
  g_hash_table_insert (steps->jobs, job->spec->id, job);
  g_ptr_array_add (steps->job_rows, job);
  if (progress != NULL)
    restore_progress (steps, job, progress);
}

void
gr_steps_cancel_job (struct gr_steps *steps, const char *id)
{
  struct job *job = g_hash_table_lookup (steps->jobs, id);

  if (job != NULL)
    gr_job_finish (steps, job, GR_JOB_CANCELLED);
}

void
gr_steps_tick (struct gr_steps *steps, int64_t now_ms, int64_t unix_ms)
{
  steps->now_ms = now_ms;
  gr_tenure_tick (steps);
  gr_workers_tick (steps);
  gr_jobs_tick (steps, unix_ms);
  gr_orders_tick (steps);
  gr_leaving_tick (steps);
  gr_evacuation_tick (steps);
  gr_gangs_tick (steps);
  gr_samples_tick (steps);
  gr_attempts_tick (steps);
  gr_crash_tick (steps);
  if (!steps->starts_held)
    gr_place_tick (steps);
}

const char *
gr_steps_take_changed (struct gr_steps *steps)
{
  struct job *job = g_queue_pop_head (&steps->changed);

  if (job == NULL)
    return NULL;
  job->changed = false;
  return job->spec->id;
}

uint64_t
gr_steps_sequence (const struct gr_steps *steps)
{
  return steps->sequence;
}

void
gr_steps_set_fenced (struct gr_steps *steps)
{
  steps->fenced = true;
}

bool
gr_steps_fenced (const struct gr_steps *steps)
{
  return steps->fenced;
}

static bool
has_progress (const struct task *task)
{
  return task->state == TASK_DONE || task->failures > 0 || task->crashes > 0
         || task->unconfirmed_crashes > 0 || task->dismissed_crashes > 0
         || task->early_unassessed > 0 || task->checkpoint != NULL;
}

static void
append_task (GArray *rows, const struct task *task)
{
  struct gr_task_progress row = {
    .occurrence = task->step->occurrence->number,
    .step = task->step->number,
    .index = task->index,
    .done = task->state == TASK_DONE,
    .failures = task->failures,
    .failed_runs = copy_failed_runs (task->failed_runs, task->failures),
    .crashes = task->crashes,
    .early_crashes = task->early_crashes,
    .unconfirmed_crashes = task->unconfirmed_crashes,
    /* A later owner cannot tell what caused them. */
    .dismissed_crashes = task->dismissed_crashes + task->early_unassessed,
  };

  if (task->checkpoint != NULL)
    g_strlcpy (row.checkpoint, task->checkpoint, sizeof row.checkpoint);
  g_array_append_val (rows, row);
}

static void
append_occurrence (GArray *rows, const struct occurrence *occurrence)
{
  struct gr_task_progress whole = {
    .occurrence = occurrence->number,
    .step = GR_PROGRESS_WHOLE_OCCURRENCE,
    .done = true,
  };

  if (occurrence->complete)
    {
      g_array_append_val (rows, whole);
      return;
    }
  for (uint32_t s = 0; s < occurrence->job->spec->n_steps; s++)
    for (uint32_t k = 0; k < occurrence->steps[s].n_tasks; k++)
      if (has_progress (&occurrence->steps[s].tasks[k]))
        append_task (rows, &occurrence->steps[s].tasks[k]);
}

bool
gr_steps_progress (const struct gr_steps *steps,
                   const char *id,
                   struct gr_job_progress *progress)
{
  const struct job *job = g_hash_table_lookup (steps->jobs, id);
  GArray *rows;

  *progress = (struct gr_job_progress){ 0 };
  if (job == NULL)
    return false;
  progress->state = job->state;
  if (gr_job_is_final (job))
    return true;
  rows = g_array_new (FALSE, FALSE, sizeof (struct gr_task_progress));
  for (guint i = 0; i < job->occurrences->len; i++)
    if (job->occurrences->pdata[i] != NULL)
      append_occurrence (rows, job->occurrences->pdata[i]);
  progress->n_tasks = rows->len;
  progress->tasks = (struct gr_task_progress *)g_array_free (rows, FALSE);
  return true;
}

void
gr_steps_each_started_job (const struct gr_steps *steps,
                           void (*visit) (const char *id, void *context),
                           void *context)
{
  for (guint i = 0; i < steps->job_rows->len; i++)
    {
      const struct job *job = steps->job_rows->pdata[i];

      if (job->started && !gr_job_is_final (job))
        visit (job->spec->id, context);
    }
}

static void
count_job (const struct job *job, struct gr_steps_counts *counts)
{
  if (gr_job_is_final (job))
    return;
  counts->jobs++;
  if (!job->started)
    counts->jobs_waiting++;
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct occurrence *occurrence = job->occurrences->pdata[i];

      for (uint32_t s = 0; occurrence != NULL && s < job->spec->n_steps; s++)
        if (occurrence->steps[s].ready_ms != 0)
          counts->tasks_waiting += occurrence->steps[s].n_waiting;
    }
}

void
gr_steps_counts (const struct gr_steps *steps, struct gr_steps_counts *counts)
{
  *counts = (struct gr_steps_counts){ .preemption = steps->preemption };
  for (guint i = 0; i < steps->job_rows->len; i++)
    count_job (steps->job_rows->pdata[i], counts);
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];

      counts->workers++;
      counts->tasks_running += worker->tasks->len;
      counts->workers_usable += gr_worker_usable (steps, worker);
      counts->workers_held_back += gr_worker_is_held_back (steps, worker);
      counts->workers_quarantined +=
          steps->now_ms < worker->quarantine_until_ms;
      counts->accelerators += worker->capacity.accelerators;
      counts->accelerators_used += worker->used.accelerators;
    }
  counts->placement = steps->placement;
  memcpy (counts->runs_lost, steps->runs_lost, sizeof counts->runs_lost);
  counts->crashes = steps->crash_counts;
  memcpy (counts->jobs_failed, steps->jobs_failed, sizeof counts->jobs_failed);
  for (size_t i = 0; i < G_N_ELEMENTS (steps->orders); i++)
    counts->orders += steps->orders[i].length;
}
