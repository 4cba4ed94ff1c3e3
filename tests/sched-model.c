#include "tests/sched-model.h"

#include <string.h>

static void
record_free (void *data)
{
  gr_job_record_clear (data);
  g_free (data);
}

struct model *
model_create (uint32_t seed,
              uint32_t n_racks,
              uint32_t per_rack,
              enum gr_core_policy policy)
{
  struct model *model = g_new0 (struct model, 1);

  model->rand = g_rand_new_with_seed (seed);
  model->now_ms = 1000000;
  model->durable = true;
  model->n_workers = n_racks * per_rack;
  model->workers = g_new0 (struct model_worker, model->n_workers);
  model->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < model->n_workers; i++)
    {
      struct model_worker *worker = &model->workers[i];

      g_snprintf (worker->name, sizeof worker->name, "w%u", i);
      g_snprintf (worker->rack, sizeof worker->rack, "r%u", i / per_rack);
      worker->slot = i % per_rack;
      worker->tasks = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (model->by_name, worker->name, worker);
    }
  model->records =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, record_free);
  model->run_ms =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  model->ran = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  model->committed =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->finished =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->tasks_ever_started =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->jobs_ever_run =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->started =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->accounts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  model->events = model_events_create ();
  model->writes = model_writes_create ();
  model->out = g_array_new (FALSE, FALSE, sizeof (struct gr_command));
  model->config = (struct gr_core_config){
    .shard = "dc1",
    .holder = "s1",
    .data_centre = "dc1",
    .policy = policy,
    .start_lease_term_ms = 10000,
    .run_lease_term_ms = 30000,
    .call_timeout_ms = 3000,
    .report_busy_ms = 1000,
    .report_idle_ms = 1000,
    .max_attempts = 3,
  };
  model_replace_owner (model);
  return model;
}

void
model_destroy (struct model *model)
{
  gr_core_destroy (model->core);
  for (uint32_t i = 0; i < model->n_workers; i++)
    g_ptr_array_free (model->workers[i].tasks, TRUE);
  g_free (model->workers);
  g_hash_table_destroy (model->by_name);
  g_hash_table_destroy (model->records);
  g_hash_table_destroy (model->run_ms);
  g_hash_table_destroy (model->ran);
  g_hash_table_destroy (model->started);
  g_hash_table_destroy (model->committed);
  g_hash_table_destroy (model->finished);
  g_hash_table_destroy (model->jobs_ever_run);
  g_hash_table_destroy (model->tasks_ever_started);
  g_hash_table_destroy (model->accounts);
  g_ptr_array_free (model->events, TRUE);
  g_ptr_array_free (model->writes, TRUE);
  g_array_free (model->out, TRUE);
  g_rand_free (model->rand);
  g_free (model);
}

struct model_worker *
model_worker (struct model *model, const char *name)
{
  return g_hash_table_lookup (model->by_name, name);
}

void
model_replace_owner (struct model *model)
{
  GHashTableIter iter;
  void *value;

  gr_core_destroy (model->core);
  model->config.epoch++;
  model->core = gr_core_create (&model->config, model->rand);
  model_drop_events (model);
  g_hash_table_iter_init (&iter, model->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gr_core_set_account (model->core, value);
  g_hash_table_iter_init (&iter, model->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gr_core_restore (model->core, value, model->now_ms);
}

void
model_set_account (struct model *model,
                   const char *name,
                   uint32_t quota,
                   uint32_t workers,
                   uint32_t accelerators,
                   uint32_t count)
{
  struct gr_account_settings *account = g_new0 (struct gr_account_settings, 1);

  g_strlcpy (account->name, name, sizeof account->name);
  account->priority = GR_PRIORITY_NORMAL;
  account->quota_accelerators = quota;
  if (count > 0)
    {
      account->n_guarantees = 1;
      g_strlcpy (account->guarantees[0].data_centre, "dc1", GR_NAME_MAX);
      account->guarantees[0].shape.workers = workers;
      account->guarantees[0].shape.accelerators_per_worker = accelerators;
      account->guarantees[0].count = count;
    }
  g_hash_table_replace (model->accounts, account->name, account);
  gr_core_set_account (model->core, account);
}

/* --- Workers ------------------------------------------------------------ */

static struct model_task *
find_task (const struct model_worker *worker, const char *id)
{
  for (uint32_t i = 0; i < worker->tasks->len; i++)
    {
      struct model_task *task = g_ptr_array_index (worker->tasks, i);

      if (strcmp (task->id, id) == 0)
        return task;
    }
  return NULL;
}

static uint64_t
epoch_of (const char *id)
{
  return g_ascii_strtoull (strchr (id, '.') + 1, NULL, 16);
}

static enum gr_error_kind
handle_grant (struct model *model,
              struct model_worker *worker,
              const struct gr_command *command)
{
  struct model_task *task = find_task (worker, command->lease);

  if (task == NULL)
    {
      for (uint32_t i = 0; i < worker->tasks->len; i++)
        {
          const struct model_task *other = g_ptr_array_index (worker->tasks, i);

          if ((other->accelerators & command->accelerators) == 0)
            continue;
          /* Within one epoch the core never grants the same accelerator
           * twice. */
          if (model->is_late || other->late
              || epoch_of (other->id) != model->config.epoch)
            return GR_ERROR_CONFLICT;

          g_printerr ("%" G_GINT64_FORMAT ": %s for %s: accelerators on %s "
                      "are held by %s for %s until %" G_GINT64_FORMAT "\n",
                      model->now_ms, command->lease, command->job, worker->name,
                      other->id, other->job, other->expires_ms);
          g_assert_not_reached ();
        }
      task = g_new0 (struct model_task, 1);
      g_strlcpy (task->id, command->lease, sizeof task->id);
      g_strlcpy (task->job, command->job, sizeof task->job);
      task->accelerators = command->accelerators;
      task->late = model->is_late;
      g_ptr_array_add (worker->tasks, task);
    }
  task->expires_ms = model->now_ms + command->term_ms;
  return GR_ERROR_NONE;
}

static uint32_t
count_up (GHashTable *table, const char *key)
{
  uint32_t n = GPOINTER_TO_UINT (g_hash_table_lookup (table, key)) + 1;

  g_hash_table_insert (table, g_strdup (key), GUINT_TO_POINTER (n));
  return n;
}

/* Task ids of one attempt differ only in their last part. */
static char *
attempt_of (const struct model_task *task)
{
  return g_strndup (task->id, strrchr (task->id, '.') - task->id);
}

/* The number of the attempt is the second to last part of the id. */
static uint32_t
attempt_number (const struct model_task *task)
{
  g_autofree char *attempt = attempt_of (task);

  return (uint32_t)g_ascii_strtoull (strrchr (attempt, '.') + 1, NULL, 10);
}

static enum gr_error_kind
handle_start (struct model *model,
              struct model_worker *worker,
              struct model_task *task)
{
  const struct gr_job_record *record =
      g_hash_table_lookup (model->records, task->job);
  const int64_t *run_ms = g_hash_table_lookup (model->run_ms, task->job);
  g_autofree char *attempt = attempt_of (task);

  /* No task starts before the record with its attempt is durable. */
  g_assert (record != NULL);
  g_assert (record->attempt >= attempt_number (task));
  g_assert (run_ms != NULL);
  if (task->started)
    return GR_ERROR_NONE;
  if (worker->refuses_as_leaving)
    return GR_ERROR_SHUTTING_DOWN;
  if (worker->failing)
    return GR_ERROR_INTERNAL;
  task->started = true;
  task->state =
      worker->fails_before_unthrottle ? GR_TASK_FAILED : GR_TASK_RUNNING;
  task->run_ms = ABS (*run_ms);
  /* A late call may restart a task that was released before it started. */
  if (g_hash_table_add (model->tasks_ever_started, g_strdup (task->id)))
    count_up (model->started, attempt);
  return GR_ERROR_NONE;
}

/* A gang runs only after all its tasks started and the record was durable in
 * state running, and a non-idempotent job runs in one attempt only. */
static void
check_unthrottle (struct model *model, const struct model_task *task)
{
  const struct gr_job_record *record =
      g_hash_table_lookup (model->records, task->job);
  const char *ran = g_hash_table_lookup (model->ran, task->job);
  g_autofree char *attempt = attempt_of (task);
  void *committed = g_hash_table_lookup (model->committed, attempt);
  void *started = g_hash_table_lookup (model->started, attempt);

  g_assert (record != NULL);
  g_assert (committed != NULL);
  g_assert (started == committed);
  g_hash_table_add (model->jobs_ever_run, g_strdup (task->job));
  if (record->spec.idempotent)
    return;
  if (ran != NULL)
    g_assert (strcmp (ran, attempt) == 0);
  else
    g_hash_table_insert (model->ran, g_strdup (task->job),
                         g_steal_pointer (&attempt));
}

/* Writes a record to the store. */
void
model_store (struct model *model, const struct gr_job_record *record)
{
  struct gr_job_record *copy = g_new0 (struct gr_job_record, 1);
  const struct gr_job_record *old =
      g_hash_table_lookup (model->records, record->id);

  /* A final state never changes. */
  if (old != NULL && gr_job_state_is_final (old->state))
    g_assert (old->state == record->state);
  gr_job_record_copy (copy, record);
  g_hash_table_replace (model->records, g_strdup (copy->id), copy);
  if (record->state == GR_JOB_RUNNING)
    {
      struct model_task task = { 0 };

      g_strlcpy (task.id, record->placements[0].lease, sizeof task.id);
      g_hash_table_replace (model->committed, attempt_of (&task),
                            GUINT_TO_POINTER (record->n_placements));
    }
}

enum gr_error_kind
model_command (struct model *model,
               struct model_worker *worker,
               const struct gr_command *command)
{
  struct model_task *task = find_task (worker, command->lease);

  if (command->kind == GR_COMMAND_GRANT)
    return handle_grant (model, worker, command);
  if (task == NULL)
    return GR_ERROR_NOT_FOUND;
  switch (command->kind)
    {
    case GR_COMMAND_RENEW:
      task->expires_ms = model->now_ms + command->term_ms;
      return GR_ERROR_NONE;
    case GR_COMMAND_RELEASE:
      g_ptr_array_remove_fast (worker->tasks, task);
      return GR_ERROR_NONE;
    case GR_COMMAND_START:
      return handle_start (model, worker, task);
    case GR_COMMAND_UNTHROTTLE:
      if (!task->started || task->state != GR_TASK_RUNNING)
        return GR_ERROR_CONFLICT;
      check_unthrottle (model, task);
      task->running = true;
      return GR_ERROR_NONE;
    case GR_COMMAND_CHECKPOINT:
      task->checkpoint_ms = task->ran_ms;
      return GR_ERROR_NONE;
    case GR_COMMAND_STOP:
      task->running = false;
      if (task->state == GR_TASK_RUNNING)
        task->state = GR_TASK_STOPPED;
      return GR_ERROR_NONE;
    default:
      return GR_ERROR_INTERNAL;
    }
}

void
model_run_worker (struct model *model, struct model_worker *worker)
{
  for (uint32_t i = worker->tasks->len; i > 0; i--)
    {
      struct model_task *task = g_ptr_array_index (worker->tasks, i - 1);
      const int64_t *run_ms = g_hash_table_lookup (model->run_ms, task->job);

      if (task->expires_ms <= model->now_ms)
        {
          g_ptr_array_remove_index_fast (worker->tasks, i - 1);
          continue;
        }
      if (!task->running)
        continue;
      task->ran_ms += MODEL_TICK_MS;
      if (task->ran_ms < task->run_ms)
        continue;
      task->running = false;
      /* A negative run time stands for a job that fails. */
      task->state = *run_ms < 0 ? GR_TASK_FAILED : GR_TASK_FINISHED;
      if (task->state == GR_TASK_FINISHED)
        count_up (model->finished, task->job);
    }
}

void
model_kill (struct model *model, struct model_worker *worker)
{
  (void)model;
  worker->dead = true;
  worker->incarnation++;
  g_ptr_array_set_size (worker->tasks, 0);
}

struct gr_job_spec
model_spec (const char *account,
            const char *key,
            uint32_t workers,
            uint32_t accelerators)
{
  struct gr_job_spec spec = { 0 };

  g_strlcpy (spec.account, account, sizeof spec.account);
  g_strlcpy (spec.key, key, sizeof spec.key);
  spec.shape.workers = workers;
  spec.shape.accelerators_per_worker = accelerators;
  spec.run_ms = 60000;
  spec.priority = GR_PRIORITY_NORMAL;
  spec.idempotent = true;
  return spec;
}

const struct gr_job_record *
model_submit (struct model *model,
              const struct gr_job_spec *spec,
              int64_t run_ms,
              struct gr_error *error)
{
  const struct gr_job_record *record;
  int64_t *value;

  if (!gr_core_submit (model->core, spec, model->now_ms, model->now_ms, &record,
                       error))
    return NULL;
  value = g_new (int64_t, 1);
  *value = run_ms;
  g_hash_table_replace (model->run_ms, g_strdup (record->id), value);
  return record;
}

enum gr_job_state
model_state (const struct model *model, const char *key)
{
  g_autofree char *id = g_strdup_printf ("dc1.%s", key);
  const struct gr_job_record *record = gr_core_find (model->core, id);

  g_assert (record != NULL);
  return record->state;
}

struct model *
model_create_ready (uint32_t n_racks, uint32_t per_rack)
{
  struct model *model = model_create (7, n_racks, per_rack, GR_POLICY_DEFAULT);

  model->instant = true;
  model_set_account (model, "a", 0, 0, 0, 0);
  model_run (model, 2000);
  return model;
}

void
model_must_submit (struct model *model,
                   const struct gr_job_spec *spec,
                   int64_t run_ms)
{
  struct gr_error error = GR_ERROR_INIT;

  if (model_submit (model, spec, run_ms, &error) == NULL)
    g_error ("job %s was refused: %s", spec->key, error.message);
}

uint32_t
model_count_running (const struct model *model, const char *job)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < model->n_workers; i++)
    for (uint32_t k = 0; k < model->workers[i].tasks->len; k++)
      {
        const struct model_task *task =
            g_ptr_array_index (model->workers[i].tasks, k);

        n += task->running && strcmp (task->job, job) == 0;
      }
  return n;
}
