#include "tests/sched-model.h"

#include <string.h>

#define ACCELERATORS 8
#define REPORT_MS 1000

/* An answer, a report or a commit that arrives later. */
struct event
{
  int64_t at_ms;
  bool is_report;
  bool is_commit;
  enum gr_command_kind command;
  enum gr_error_kind kind;
  char id[GR_ID_MAX];
  uint64_t version;
  struct gr_worker_report report;
};

static void
event_free (void *data)
{
  struct event *event = data;

  g_free (event->report.leases);
  g_free (event->report.tasks);
  g_free (event);
}

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
  model->started =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->accounts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  model->events = g_ptr_array_new_with_free_func (event_free);
  model->out = g_array_new (FALSE, FALSE, sizeof (struct gr_command));
  model->config = (struct gr_core_config){
    .shard = "dc1",
    .holder = "s1",
    .data_centre = "dc1",
    .policy = policy,
    .start_lease_term_ms = 10000,
    .run_lease_term_ms = 30000,
    .call_timeout_ms = 3000,
    .max_attempts = 3,
  };
  model_restart (model);
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
  g_hash_table_destroy (model->accounts);
  g_ptr_array_free (model->events, TRUE);
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
model_restart (struct model *model)
{
  GHashTableIter iter;
  void *value;

  gr_core_destroy (model->core);
  model->config.epoch++;
  model->core = gr_core_create (&model->config, model->rand);
  /* Answers to the former owner do not reach the new one. */
  g_ptr_array_set_size (model->events, 0);
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

static enum gr_error_kind
do_grant (struct model *model,
          struct model_worker *worker,
          const struct gr_command *command)
{
  struct model_task *task = find_task (worker, command->lease);

  if (task == NULL)
    {
      for (uint32_t i = 0; i < worker->tasks->len; i++)
        {
          const struct model_task *other = g_ptr_array_index (worker->tasks, i);

          if ((other->accelerators & command->accelerators) != 0)
            return GR_ERROR_CONFLICT;
        }
      task = g_new0 (struct model_task, 1);
      g_strlcpy (task->id, command->lease, sizeof task->id);
      g_strlcpy (task->job, command->job, sizeof task->job);
      task->accelerators = command->accelerators;
      g_ptr_array_add (worker->tasks, task);
    }
  task->expires_ms = model->now_ms + command->term_ms;
  return GR_ERROR_NONE;
}

/* Task ids differ in the last part only within one attempt. */
static char *
attempt_of (const struct model_task *task)
{
  return g_strndup (task->id, strrchr (task->id, '.') - task->id);
}

static enum gr_error_kind
do_start (struct model *model,
          struct model_worker *worker,
          struct model_task *task)
{
  const struct gr_job_record *record =
      g_hash_table_lookup (model->records, task->job);
  const int64_t *run_ms = g_hash_table_lookup (model->run_ms, task->job);
  g_autofree char *attempt = NULL;
  uint32_t n;

  /* No start before the record with its attempt is durable. */
  g_assert (record != NULL && record->attempt > 0);
  g_assert (run_ms != NULL);
  if (task->started)
    return GR_ERROR_NONE;
  task->started = true;
  task->state = GR_TASK_RUNNING;
  task->run_ms = *run_ms < 0 ? -*run_ms : *run_ms;
  if (worker->failing)
    return GR_ERROR_INTERNAL;
  attempt = attempt_of (task);
  n = GPOINTER_TO_UINT (g_hash_table_lookup (model->started, attempt));
  g_hash_table_insert (model->started, g_steal_pointer (&attempt),
                       GUINT_TO_POINTER (n + 1));
  return GR_ERROR_NONE;
}

/* A gang runs only when all of it was started and the record says running;
 * and a non-idempotent job in one attempt only. */
static void
check_unthrottle (struct model *model, const struct model_task *task)
{
  const struct gr_job_record *record =
      g_hash_table_lookup (model->records, task->job);
  const char *ran = g_hash_table_lookup (model->ran, task->job);
  g_autofree char *attempt = attempt_of (task);
  uint32_t started;

  g_assert (record != NULL);
  g_assert (record->state == GR_JOB_RUNNING);
  started = GPOINTER_TO_UINT (g_hash_table_lookup (model->started, attempt));
  g_assert (started == record->n_placements);
  if (record->spec.idempotent)
    return;
  if (ran != NULL)
    g_assert (strcmp (ran, attempt) == 0);
  else
    g_hash_table_insert (model->ran, g_strdup (task->job),
                         g_steal_pointer (&attempt));
}

static enum gr_error_kind
do_command (struct model *model,
            struct model_worker *worker,
            const struct gr_command *command)
{
  struct model_task *task = find_task (worker, command->lease);

  if (command->kind == GR_COMMAND_GRANT)
    return do_grant (model, worker, command);
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
      return do_start (model, worker, task);
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

static void
run_worker (struct model *model, struct model_worker *worker)
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

/* --- Messages ----------------------------------------------------------- */

static struct event *
add_event (struct model *model)
{
  struct event *event = g_new0 (struct event, 1);

  event->at_ms = model->now_ms;
  if (!model->instant)
    event->at_ms += g_rand_int_range (model->rand, 1, 200);
  /* Some are much later, but not later than a call may take. */
  if (model->loss > 0 && g_rand_double (model->rand) < 0.02)
    event->at_ms += g_rand_int_range (model->rand, 1, 2700);
  g_ptr_array_add (model->events, event);
  return event;
}

static void
add_answer (struct model *model,
            const struct gr_command *command,
            enum gr_error_kind kind)
{
  bool twice = model->loss > 0 && g_rand_double (model->rand) < 0.05;

  for (int i = 0; i <= (twice ? 1 : 0); i++)
    {
      struct event *event = add_event (model);

      event->command = command->kind;
      event->kind = kind;
      g_strlcpy (event->id, command->lease, sizeof event->id);
    }
}

static void
add_commit (struct model *model, const struct gr_command *command)
{
  const struct gr_job_record *record = gr_core_find (model->core, command->job);
  struct gr_job_record *copy = g_new0 (struct gr_job_record, 1);
  struct event *event = add_event (model);

  /* The journal keeps what the core has when the store takes it. */
  g_assert (record != NULL && record->version == command->version);
  gr_job_record_copy (copy, record);
  event->is_commit = true;
  event->version = command->version;
  g_strlcpy (event->id, command->job, sizeof event->id);
  /* Reaches the store now; the core hears of it later. While the store is
   * down the commit waits. */
  if (model->durable)
    g_hash_table_replace (model->records, g_strdup (copy->id), copy);
  else
    {
      record_free (copy);
      event->at_ms = model->now_ms + MODEL_TICK_MS;
      event->command = GR_COMMAND_COMMIT;
      event->kind = GR_ERROR_STORE_UNAVAILABLE;
    }
}

/* A commit that had to wait for the store. */
static bool
commit_again (struct model *model, struct event *event)
{
  const struct gr_job_record *record = gr_core_find (model->core, event->id);
  struct gr_job_record *copy;

  if (!model->durable)
    return false;
  if (record != NULL)
    {
      copy = g_new0 (struct gr_job_record, 1);
      gr_job_record_copy (copy, record);
      event->version = copy->version;
      g_hash_table_replace (model->records, g_strdup (copy->id), copy);
    }
  event->kind = GR_ERROR_NONE;
  return true;
}

static void
send_report (struct model *model, const struct model_worker *worker)
{
  struct event *event = add_event (model);
  struct gr_worker_report *report = &event->report;

  event->is_report = true;
  g_strlcpy (report->worker, worker->name, sizeof report->worker);
  g_snprintf (report->incarnation, sizeof report->incarnation, "%u",
              worker->incarnation);
  g_strlcpy (report->rack, worker->rack, sizeof report->rack);
  report->rack_slot = worker->slot;
  g_strlcpy (report->data_centre, "dc1", sizeof report->data_centre);
  report->accelerators = ACCELERATORS;
  report->cores = 64;
  report->memory_mb = 256000;
  report->n_leases = worker->tasks->len;
  report->leases = g_new0 (struct gr_lease_report, worker->tasks->len + 1);
  report->tasks = g_new0 (struct gr_task_report, worker->tasks->len + 1);
  for (uint32_t i = 0; i < worker->tasks->len; i++)
    {
      const struct model_task *task = g_ptr_array_index (worker->tasks, i);
      struct gr_task_report *to = &report->tasks[report->n_tasks];

      g_strlcpy (report->leases[i].lease, task->id, GR_ID_MAX);
      report->leases[i].accelerators = task->accelerators;
      report->leases[i].remaining_ms = task->expires_ms - model->now_ms;
      if (!task->started)
        continue;
      report->n_tasks++;
      g_strlcpy (to->task, task->id, GR_ID_MAX);
      to->state = task->state;
      to->throttle_percent = task->running ? 100 : 0;
      to->ran_ms = task->ran_ms;
      to->checkpoint_ms = task->checkpoint_ms;
    }
}

static void
deliver (struct model *model, struct event *event)
{
  if (event->is_report)
    gr_core_worker_report (model->core, &event->report, model->now_ms);
  else if (event->is_commit)
    gr_core_committed (model->core, event->id, event->version, model->now_ms);
  else
    gr_core_answer (model->core, event->command, event->id, event->kind,
                    model->now_ms);
}

static void
deliver_due (struct model *model)
{
  for (uint32_t i = 0; i < model->events->len;)
    {
      struct event *event = g_ptr_array_index (model->events, i);

      if (event->at_ms > model->now_ms
          || (event->is_commit && event->kind != GR_ERROR_NONE
              && !commit_again (model, event)))
        {
          i++;
          continue;
        }
      deliver (model, event);
      g_ptr_array_remove_index_fast (model->events, i);
    }
}

static bool
is_lost (struct model *model)
{
  return model->loss > 0 && g_rand_double (model->rand) < model->loss;
}

static void
run_command (struct model *model, const struct gr_command *command)
{
  struct model_worker *worker;
  enum gr_error_kind kind;

  model->n_commands[command->kind]++;
  if (command->kind == GR_COMMAND_COMMIT)
    {
      add_commit (model, command);
      return;
    }
  worker = model_worker (model, command->worker);
  if (worker->dead)
    add_answer (model, command, GR_ERROR_NO_TARGET);
  else if (is_lost (model))
    add_answer (model, command, GR_ERROR_TIMEOUT);
  else
    {
      kind = do_command (model, worker, command);
      add_answer (model, command, is_lost (model) ? GR_ERROR_TIMEOUT : kind);
    }
}

void
model_step (struct model *model)
{
  model->now_ms += MODEL_TICK_MS;
  for (uint32_t i = 0; i < model->n_workers; i++)
    {
      struct model_worker *worker = &model->workers[i];

      run_worker (model, worker);
      if (!worker->dead
          && (model->now_ms / MODEL_TICK_MS + i) % (REPORT_MS / MODEL_TICK_MS)
                 == 0)
        send_report (model, worker);
    }
  deliver_due (model);
  g_array_set_size (model->out, 0);
  gr_core_tick (model->core, model->now_ms, model->now_ms, model->durable,
                model->out);
  gr_core_check_all (model->core);
  for (uint32_t i = 0; i < model->out->len; i++)
    run_command (model, &g_array_index (model->out, struct gr_command, i));
}

void
model_run (struct model *model, int64_t for_ms)
{
  for (int64_t end_ms = model->now_ms + for_ms; model->now_ms < end_ms;)
    model_step (model);
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
