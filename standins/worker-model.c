#include "standins/worker-model.h"

#include <string.h>

/* Time for which ended tasks stay in the report. */
#define ENDED_TASK_KEPT_MS 60000

/* Bounds the memory, and is enough for a long test. Further starts are not
 * recorded. */
#define MAX_START_RECORDS 200000

struct model_lease
{
  char id[GR_ID_MAX];
  char holder[GR_NAME_MAX];
  uint32_t accelerators; /* bit mask */
  int64_t expires_ms;
};

struct model_task
{
  char id[GR_ID_MAX];
  char lease[GR_ID_MAX];
  enum gr_task_state state;
  bool fails;
  uint32_t throttle_percent;
  double ran_ms;  /* run time up to accounted_ms, scaled by the throttle */
  int64_t run_ms; /* run time at which the task finishes */
  int64_t checkpoint_ms; /* run time at the last checkpoint */
  int64_t accounted_ms;
  int64_t ended_ms;
  guint record_index; /* in starts; G_MAXUINT if the start is not recorded */
};

struct gr_worker_model
{
  uint32_t accelerators; /* number */
  bool fail_all;
  GHashTable *leases; /* id -> struct model_lease */
  GHashTable *tasks;  /* id -> struct model_task, running or ended */
  GArray *starts;     /* struct gr_worker_start_record */
};

int64_t
gr_spec_get_number (const char *text,
                    size_t size,
                    const char *name,
                    int64_t fallback)
{
  const char *end = text + size;
  const char *cursor = size ? memmem (text, size, name, strlen (name)) : NULL;
  int64_t number = 0;

  if (cursor == NULL)
    return fallback;
  cursor += strlen (name);
  while (cursor < end && strchr ("\"=: ", *cursor) != NULL && *cursor != '\0')
    cursor++;
  if (cursor == end || !g_ascii_isdigit (*cursor))
    return fallback;
  while (cursor < end && g_ascii_isdigit (*cursor) && number < INT32_MAX)
    number = number * 10 + (*cursor++ - '0');
  return number;
}

struct gr_worker_model *
gr_worker_model_create (uint32_t accelerators)
{
  struct gr_worker_model *model = g_new0 (struct gr_worker_model, 1);

  model->accelerators = accelerators;
  model->leases = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  model->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  model->starts =
      g_array_new (FALSE, FALSE, sizeof (struct gr_worker_start_record));
  return model;
}

void
gr_worker_model_destroy (struct gr_worker_model *model)
{
  if (model == NULL)
    return;
  g_hash_table_destroy (model->leases);
  g_hash_table_destroy (model->tasks);
  g_array_free (model->starts, TRUE);
  g_free (model);
}

void
gr_worker_model_set_fail_all (struct gr_worker_model *model, bool fail)
{
  model->fail_all = fail;
}

static struct gr_worker_start_record *
get_record (struct gr_worker_model *model, const struct model_task *task)
{
  if (task->record_index >= model->starts->len)
    return NULL;
  return &g_array_index (model->starts, struct gr_worker_start_record,
                         task->record_index);
}

/* Adds the time since accounted_ms to the run time of a running task. */
static void
account_run_time (struct model_task *task, int64_t now_ms)
{
  if (task->state != GR_TASK_RUNNING)
    return;
  task->ran_ms +=
      (double)(now_ms - task->accounted_ms) * task->throttle_percent / 100.0;
  task->ran_ms = MIN (task->ran_ms, (double)task->run_ms);
  task->accounted_ms = now_ms;
}

static void
end_task (struct gr_worker_model *model,
          struct model_task *task,
          enum gr_task_state state,
          int64_t now_ms)
{
  struct gr_worker_start_record *record = get_record (model, task);

  account_run_time (task, now_ms);
  task->state = state;
  task->ended_ms = now_ms;
  if (record == NULL)
    return;
  record->state = state;
  record->ended_ms = now_ms;
  record->ran_ms = (int64_t)task->ran_ms;
}

/* Stops the running tasks of a lease. Also removes all of its tasks if
 * remove_tasks is set, and otherwise keeps them for the report. */
static void
end_lease_tasks (struct gr_worker_model *model,
                 const char *lease,
                 bool remove_tasks,
                 int64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, model->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct model_task *task = value;

      if (strcmp (task->lease, lease) != 0)
        continue;
      if (task->state == GR_TASK_RUNNING)
        end_task (model, task, GR_TASK_STOPPED, now_ms);
      if (remove_tasks)
        g_hash_table_iter_remove (&iter);
    }
}

/* Returns the time in ms at which a running task finishes, or INT64_MAX if it
 * is throttled to 0 %. */
static int64_t
get_finish_time (const struct model_task *task)
{
  double remaining_ms = (double)task->run_ms - task->ran_ms;

  if (task->throttle_percent == 0)
    return INT64_MAX;
  return task->accounted_ms
         + (int64_t)(remaining_ms * 100.0 / task->throttle_percent) + 1;
}

static int64_t
advance_tasks (struct gr_worker_model *model, int64_t now_ms)
{
  int64_t next_ms = INT64_MAX;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, model->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct model_task *task = value;

      if (task->state != GR_TASK_RUNNING)
        {
          if (task->ended_ms + ENDED_TASK_KEPT_MS <= now_ms)
            g_hash_table_iter_remove (&iter);
        }
      else if (get_finish_time (task) <= now_ms)
        end_task (model, task, task->fails ? GR_TASK_FAILED : GR_TASK_FINISHED,
                  now_ms);
      else
        next_ms = MIN (next_ms, get_finish_time (task));
    }
  return next_ms;
}

int64_t
gr_worker_model_advance (struct gr_worker_model *model, int64_t now_ms)
{
  int64_t next_ms = advance_tasks (model, now_ms);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, model->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct model_lease *lease = value;

      if (lease->expires_ms <= now_ms)
        {
          end_lease_tasks (model, lease->id, false, now_ms);
          g_hash_table_iter_remove (&iter);
        }
      else
        next_ms = MIN (next_ms, lease->expires_ms);
    }
  return next_ms;
}

void
gr_worker_model_restart (struct gr_worker_model *model, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, model->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    end_lease_tasks (model, ((struct model_lease *)value)->id, true, now_ms);
  g_hash_table_remove_all (model->leases);
  g_hash_table_remove_all (model->tasks);
}

static bool
is_leased (const struct gr_worker_model *model, uint32_t accelerators)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, model->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct model_lease *)value)->accelerators & accelerators)
      return true;
  return false;
}

enum gr_model_result
gr_worker_model_grant (struct gr_worker_model *model,
                       const char *lease,
                       const char *holder,
                       uint32_t accelerators,
                       int64_t term_ms,
                       int64_t now_ms)
{
  struct model_lease *found = g_hash_table_lookup (model->leases, lease);

  if (accelerators == 0 || accelerators >> model->accelerators != 0)
    return GR_MODEL_CONFLICT;
  if (found != NULL)
    {
      if (found->accelerators != accelerators
          || strcmp (found->holder, holder) != 0)
        return GR_MODEL_CONFLICT;
      found->expires_ms = now_ms + term_ms;
      return GR_MODEL_OK;
    }
  if (is_leased (model, accelerators))
    return GR_MODEL_CONFLICT;
  found = g_new0 (struct model_lease, 1);
  g_strlcpy (found->id, lease, sizeof found->id);
  g_strlcpy (found->holder, holder, sizeof found->holder);
  found->accelerators = accelerators;
  found->expires_ms = now_ms + term_ms;
  g_hash_table_insert (model->leases, found->id, found);
  return GR_MODEL_OK;
}

enum gr_model_result
gr_worker_model_renew (struct gr_worker_model *model,
                       const char *lease,
                       int64_t term_ms,
                       int64_t now_ms)
{
  struct model_lease *found = g_hash_table_lookup (model->leases, lease);

  if (found == NULL)
    return GR_MODEL_NOT_FOUND;
  found->expires_ms = now_ms + term_ms;
  return GR_MODEL_OK;
}

enum gr_model_result
gr_worker_model_release (struct gr_worker_model *model,
                         const char *lease,
                         int64_t now_ms)
{
  struct model_lease *found = g_hash_table_lookup (model->leases, lease);

  end_lease_tasks (model, lease, true, now_ms);
  if (found == NULL)
    return GR_MODEL_NOT_FOUND;
  g_hash_table_remove (model->leases, found->id);
  return GR_MODEL_OK;
}

static void
add_record (struct gr_worker_model *model,
            struct model_task *task,
            const char *spec)
{
  struct gr_worker_start_record record = {
    .started_ms = task->accounted_ms,
    .unthrottled_ms = task->throttle_percent > 0 ? task->accounted_ms : -1,
    .ended_ms = -1,
    .state = GR_TASK_RUNNING,
  };

  task->record_index = model->starts->len;
  if (model->starts->len >= MAX_START_RECORDS)
    {
      task->record_index = G_MAXUINT;
      return;
    }
  g_strlcpy (record.task, task->id, sizeof record.task);
  g_strlcpy (record.lease, task->lease, sizeof record.lease);
  g_strlcpy (record.spec, spec, sizeof record.spec);
  g_array_append_val (model->starts, record);
}

enum gr_model_result
gr_worker_model_start (struct gr_worker_model *model,
                       const char *lease,
                       const char *task_id,
                       uint32_t throttle_percent,
                       const char *spec,
                       int64_t now_ms)
{
  struct model_task *task = g_hash_table_lookup (model->tasks, task_id);
  size_t size = strlen (spec);

  /* A client repeats the call if the response to the first one was lost. */
  if (task != NULL)
    return strcmp (task->lease, lease) == 0 ? GR_MODEL_OK : GR_MODEL_CONFLICT;
  if (g_hash_table_lookup (model->leases, lease) == NULL)
    return GR_MODEL_CONFLICT;
  task = g_new0 (struct model_task, 1);
  g_strlcpy (task->id, task_id, sizeof task->id);
  g_strlcpy (task->lease, lease, sizeof task->lease);
  task->state = GR_TASK_RUNNING;
  task->fails = gr_spec_get_number (spec, size, "fail", 0) != 0;
  task->run_ms = gr_spec_get_number (spec, size, "run_ms", 1000);
  task->throttle_percent = throttle_percent;
  task->accounted_ms = now_ms;
  g_hash_table_insert (model->tasks, task->id, task);
  add_record (model, task, spec);
  if (model->fail_all)
    end_task (model, task, GR_TASK_FAILED, now_ms);
  return GR_MODEL_OK;
}

enum gr_model_result
gr_worker_model_throttle (struct gr_worker_model *model,
                          const char *task_id,
                          uint32_t throttle_percent,
                          int64_t now_ms)
{
  struct model_task *task = g_hash_table_lookup (model->tasks, task_id);
  struct gr_worker_start_record *record;

  if (task == NULL)
    return GR_MODEL_NOT_FOUND;
  if (task->state != GR_TASK_RUNNING)
    return GR_MODEL_CONFLICT;
  account_run_time (task, now_ms);
  task->throttle_percent = throttle_percent;
  record = get_record (model, task);
  if (record != NULL && throttle_percent > 0 && record->unthrottled_ms < 0)
    record->unthrottled_ms = now_ms;
  return GR_MODEL_OK;
}

enum gr_model_result
gr_worker_model_checkpoint (struct gr_worker_model *model,
                            const char *task_id,
                            int64_t now_ms)
{
  struct model_task *task = g_hash_table_lookup (model->tasks, task_id);

  if (task == NULL)
    return GR_MODEL_NOT_FOUND;
  if (task->state != GR_TASK_RUNNING)
    return GR_MODEL_CONFLICT;
  account_run_time (task, now_ms);
  task->checkpoint_ms = (int64_t)task->ran_ms;
  return GR_MODEL_OK;
}

enum gr_model_result
gr_worker_model_stop (struct gr_worker_model *model,
                      const char *task_id,
                      int64_t now_ms)
{
  struct model_task *task = g_hash_table_lookup (model->tasks, task_id);

  if (task == NULL)
    return GR_MODEL_NOT_FOUND;
  if (task->state == GR_TASK_RUNNING)
    end_task (model, task, GR_TASK_STOPPED, now_ms);
  return GR_MODEL_OK;
}

static void
fill_task (const struct model_task *task,
           int64_t now_ms,
           struct gr_task_report *report)
{
  struct model_task current = *task;

  account_run_time (&current, now_ms);
  g_strlcpy (report->task, task->id, sizeof report->task);
  g_strlcpy (report->lease, task->lease, sizeof report->lease);
  report->state = task->state;
  report->throttle_percent = task->throttle_percent;
  report->ran_ms = (int64_t)current.ran_ms;
  report->checkpoint_ms = task->checkpoint_ms;
}

void
gr_worker_model_report (const struct gr_worker_model *model,
                        int64_t now_ms,
                        struct gr_worker_report *report)
{
  GHashTableIter iter;
  void *value;

  report->leases =
      g_new0 (struct gr_lease_report, g_hash_table_size (model->leases) + 1);
  report->tasks =
      g_new0 (struct gr_task_report, g_hash_table_size (model->tasks) + 1);
  report->n_leases = 0;
  report->n_tasks = 0;
  g_hash_table_iter_init (&iter, model->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct model_lease *lease = value;
      struct gr_lease_report *out = &report->leases[report->n_leases++];

      g_strlcpy (out->lease, lease->id, sizeof out->lease);
      g_strlcpy (out->holder, lease->holder, sizeof out->holder);
      out->accelerators = lease->accelerators;
      out->remaining_ms = MAX (lease->expires_ms - now_ms, 0);
    }
  g_hash_table_iter_init (&iter, model->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    fill_task (value, now_ms, &report->tasks[report->n_tasks++]);
}

const GArray *
gr_worker_model_starts (const struct gr_worker_model *model)
{
  return model->starts;
}
