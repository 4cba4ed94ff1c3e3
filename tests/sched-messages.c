/* Messages between the core, the workers and the store of the model. */
#include "tests/sched-model.h"

#include <string.h>

#define REPORT_MS 1000

/* A response, a report or a commit that is delivered later. */
struct event
{
  int64_t at_ms;
  bool is_report;
  bool is_commit;
  bool is_command; /* a delayed call to a worker */
  struct gr_command late;
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

/* A record being written to the store. */
struct write
{
  int64_t at_ms;
  struct gr_job_record record;
};

static void
write_free (void *data)
{
  struct write *write = data;

  gr_job_record_clear (&write->record);
  g_free (write);
}

GPtrArray *
model_writes_create (void)
{
  return g_ptr_array_new_with_free_func (write_free);
}

GPtrArray *
model_events_create (void)
{
  return g_ptr_array_new_with_free_func (event_free);
}

void
model_drop_events (struct model *model)
{
  /* Some of the last writes take effect without an acknowledgement. */
  if (model->durable && model->writes->len > 0)
    {
      uint32_t n = (uint32_t)g_rand_int_range (model->rand, 0,
                                               (gint32)model->writes->len + 1);

      for (uint32_t i = 0; i < n; i++)
        {
          const struct write *write = g_ptr_array_index (model->writes, i);

          model_store (model, &write->record);
        }
    }
  g_ptr_array_set_size (model->writes, 0);
  /* Responses to the previous owner do not reach the new one, but its calls
   * still reach the workers. */
  for (uint32_t i = model->events->len; i > 0; i--)
    {
      const struct event *event = g_ptr_array_index (model->events, i - 1);

      if (!event->is_command)
        g_ptr_array_remove_index_fast (model->events, i - 1);
    }
}

static struct event *
add_event (struct model *model)
{
  struct event *event = g_new0 (struct event, 1);

  event->at_ms = model->now_ms;
  if (!model->instant)
    event->at_ms += g_rand_int_range (model->rand, 1, 200);
  /* Some arrive much later, but within the call timeout. */
  if (model->loss > 0 && g_rand_double (model->rand) < 0.02)
    event->at_ms += g_rand_int_range (model->rand, 1, 2700);
  g_ptr_array_add (model->events, event);
  return event;
}

static void
add_response (struct model *model,
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

/* Writes take effect in order, some time after the command. */
static void
add_commit (struct model *model, const struct gr_command *command)
{
  const struct gr_job_record *record = gr_core_find (model->core, command->job);
  struct write *write = g_new0 (struct write, 1);

  g_assert (record != NULL && record->version == command->version);
  gr_job_record_copy (&write->record, record);
  write->at_ms = model->now_ms;
  if (!model->instant)
    write->at_ms += g_rand_int_range (model->rand, 0, 300);
  if (model->writes->len > 0)
    {
      const struct write *last =
          g_ptr_array_index (model->writes, model->writes->len - 1);

      write->at_ms = MAX (write->at_ms, last->at_ms);
    }
  g_ptr_array_add (model->writes, write);
}

/* The core gets the acknowledgement later than the write takes effect. */
static void
run_writes (struct model *model)
{
  uint32_t n = 0;

  if (!model->durable)
    return;
  for (; n < model->writes->len; n++)
    {
      const struct write *write = g_ptr_array_index (model->writes, n);
      struct event *event;

      if (write->at_ms > model->now_ms)
        break;
      model_store (model, &write->record);
      event = add_event (model);
      event->is_commit = true;
      event->version = write->record.version;
      g_strlcpy (event->id, write->record.id, sizeof event->id);
    }
  if (n > 0)
    g_ptr_array_remove_range (model->writes, 0, n);
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
  report->accelerators = MODEL_ACCELERATORS;
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

static bool
is_lost (struct model *model)
{
  return model->loss > 0 && g_rand_double (model->rand) < model->loss;
}

static bool
is_reachable (const struct model_worker *worker)
{
  return !worker->dead && !worker->unreachable;
}

/* A call that timed out for the core, sent by this or a previous owner. */
static void
run_late_command (struct model *model, const struct gr_command *command)
{
  struct model_worker *worker = model_worker (model, command->worker);

  if (!is_reachable (worker))
    return;
  model->is_late = true;
  model_command (model, worker, command);
  model->is_late = false;
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
  if (!is_reachable (worker))
    add_response (model, command, GR_ERROR_NO_TARGET);
  else if (worker->loses_releases && command->kind == GR_COMMAND_RELEASE)
    add_response (model, command, GR_ERROR_TIMEOUT);
  else if (is_lost (model))
    {
      add_response (model, command, GR_ERROR_TIMEOUT);
      if (g_rand_boolean (model->rand))
        {
          struct event *event = add_event (model);

          event->at_ms += g_rand_int_range (model->rand, 1, 2700);
          event->is_command = true;
          event->late = *command;
          event->late.spec = NULL;
        }
    }
  else
    {
      kind = model_command (model, worker, command);
      add_response (model, command, is_lost (model) ? GR_ERROR_TIMEOUT : kind);
    }
}

static void
deliver (struct model *model, struct event *event)
{
  if (event->is_command)
    run_late_command (model, &event->late);
  else if (event->is_report)
    gr_core_worker_report (model->core, &event->report, model->now_ms);
  else if (event->is_commit)
    gr_core_committed (model->core, event->id, event->version, model->now_ms);
  else
    gr_core_command_result (model->core, event->command, event->id, event->kind,
                            model->now_ms);
}

static void
deliver_due (struct model *model)
{
  for (uint32_t i = 0; i < model->events->len;)
    {
      struct event *event = g_ptr_array_index (model->events, i);

      if (event->at_ms > model->now_ms)
        {
          i++;
          continue;
        }
      deliver (model, event);
      g_ptr_array_remove_index_fast (model->events, i);
    }
}

void
model_step (struct model *model)
{
  model->now_ms += MODEL_TICK_MS;
  for (uint32_t i = 0; i < model->n_workers; i++)
    {
      struct model_worker *worker = &model->workers[i];

      model_run_worker (model, worker);
      if (is_reachable (worker)
          && (model->now_ms / MODEL_TICK_MS + i) % (REPORT_MS / MODEL_TICK_MS)
                 == 0)
        send_report (model, worker);
    }
  run_writes (model);
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
