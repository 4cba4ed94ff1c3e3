#include "scheduler/worker-io.h"

#include "common/log.h"

#include <string.h>

/* Delay before a command is retried, and before checking again whether queued
 * commands may be sent. */
#define RETRY_MS 100

#define MAX_RENEWALS_PER_CALL 64

enum call_kind
{
  CALL_COMMAND,
  CALL_REPORT,
};

/* An element of the call queue of a worker. */
struct call
{
  enum call_kind kind;
  struct gr_command command;
  char *spec;
  int64_t queued_ms;
};

struct worker
{
  struct gr_worker_io *io; /* NULL once removed */
  char name[GR_NAME_MAX];
  char address[GR_NAME_MAX];
  bool listed;
  bool updated;          /* set since the last gr_worker_io_finish_targets () */
  bool last_call_failed; /* the last call got no response */
  bool in_flight;
  bool report_queued;
  GQueue calls; /* struct call; the head is the one in flight */
  uint32_t batch_size;
  uint32_t tries;
  uint32_t report_interval_ms; /* poll interval */
  int64_t last_contact_ms;
  int64_t report_requested_ms;
  guint next_timer;
  guint report_timer;
};

struct gr_worker_io
{
  struct gr_worker_client *client;
  const struct gr_clock *clock;
  char *holder;
  struct gr_worker_io_events events;
  void *context;
  GHashTable *workers; /* name to struct worker */
  uint32_t pending;
  struct gr_counter *commands;
  struct gr_counter *reports;
  struct gr_counter *failures;
};

static void start_next (struct worker *worker);
static void schedule_report (struct worker *worker, uint32_t delay_ms);

static void
call_free (void *data)
{
  struct call *call = data;

  g_free (call->spec);
  g_free (call);
}

static void
stop_timer (guint *timer)
{
  if (*timer != 0)
    g_source_remove (*timer);
  *timer = 0;
}

static void
worker_free (struct worker *worker)
{
  g_queue_clear_full (&worker->calls, call_free);
  g_free (worker);
}

/* The struct is freed only after the call in flight has ended. */
static void
worker_remove (void *data)
{
  struct worker *worker = data;

  stop_timer (&worker->next_timer);
  stop_timer (&worker->report_timer);
  worker->io = NULL;
  if (!worker->in_flight)
    worker_free (worker);
}

static gboolean
next_call_due (gpointer data)
{
  struct worker *worker = data;

  worker->next_timer = 0;
  start_next (worker);
  return G_SOURCE_REMOVE;
}

static void
start_next_later (struct worker *worker, uint32_t delay_ms)
{
  if (worker->next_timer == 0)
    worker->next_timer = g_timeout_add (delay_ms, next_call_due, worker);
}

/* --- Outcomes ----------------------------------------------------------- */

static const char *
result_id (const struct gr_command *command)
{
  switch (command->kind)
    {
    case GR_COMMAND_GRANT:
    case GR_COMMAND_RENEW:
    case GR_COMMAND_RELEASE:
      return command->lease;
    default:
      return command->task;
    }
}

static bool
is_unreachable (enum gr_error_kind kind)
{
  return kind == GR_ERROR_TIMEOUT || kind == GR_ERROR_IO
         || kind == GR_ERROR_NO_TARGET;
}

static void
record_contact (struct worker *worker, enum gr_error_kind kind)
{
  worker->last_call_failed = is_unreachable (kind);
  if (worker->last_call_failed)
    gr_counter_add (worker->io->failures, 1);
  else
    worker->last_contact_ms = gr_clock_now_ms (worker->io->clock);
}

/* Polls the worker more often if the completed command, which is still at the
 * head of the queue, unthrottled a task. */
static void
poll_started_task (struct worker *worker)
{
  const struct call *call = g_queue_peek_head (&worker->calls);

  if (call->command.kind != GR_COMMAND_UNTHROTTLE)
    return;
  worker->report_interval_ms = GR_REPORT_FIRST_INTERVAL_MS;
  if (!worker->report_queued)
    schedule_report (worker, worker->report_interval_ms);
}

/* Removes the completed batch from the head of the queue and reports its
 * result. */
static void
finish_batch (struct worker *worker, enum gr_error_kind kind)
{
  struct gr_worker_io *io = worker->io;
  uint32_t batch_size = worker->batch_size;

  worker->batch_size = 0;
  worker->tries = 0;
  if (kind == GR_ERROR_NONE)
    poll_started_task (worker);
  for (uint32_t i = 0; i < batch_size; i++)
    {
      struct call *call = g_queue_pop_head (&worker->calls);

      io->pending--;
      io->events.command_result (call->command.kind, result_id (&call->command),
                                 kind, io->context);
      call_free (call);
    }
}

static void
command_done (const struct gr_error *error, void *context)
{
  struct worker *worker = context;
  enum gr_error_kind kind = error != NULL ? error->kind : GR_ERROR_NONE;
  /* If the previous call to the worker already failed, this command gets only
   * one try. */
  uint32_t max_tries =
      worker->tries == 0 && worker->last_call_failed ? 1 : GR_WORKER_MAX_TRIES;

  worker->in_flight = false;
  if (worker->io == NULL)
    {
      worker_free (worker);
      return;
    }
  record_contact (worker, kind);
  worker->tries++;
  if (worker->last_call_failed && worker->tries < max_tries)
    {
      start_next_later (worker, RETRY_MS);
      return;
    }
  finish_batch (worker, kind);
  start_next (worker);
}

static void
report_done (const struct gr_worker_report *report,
             const struct gr_error *error,
             void *context)
{
  struct worker *worker = context;
  struct gr_worker_io *io = worker->io;
  uint32_t delay_ms;

  worker->in_flight = false;
  if (io == NULL)
    {
      worker_free (worker);
      return;
    }
  call_free (g_queue_pop_head (&worker->calls));
  worker->report_queued = false;
  worker->report_interval_ms =
      MIN (worker->report_interval_ms * 2, GR_REPORT_INTERVAL_MS);
  delay_ms = worker->report_interval_ms;
  if (error != NULL && !worker->last_call_failed)
    delay_ms = GR_REPORT_RETRY_MS;
  record_contact (worker, error != NULL ? error->kind : GR_ERROR_NONE);
  if (report != NULL)
    io->events.report (report, worker->report_requested_ms, io->context);
  schedule_report (worker, delay_ms);
  start_next (worker);
}

/* --- Calls -------------------------------------------------------------- */

/* The core counts the term of a lease from its command. Counted from the time
 * at which the command is sent, a lease could outlast the end that the core
 * assumes, and its task would be started again while it runs. */
static int64_t
remaining_term_ms (const struct worker *worker, const struct call *call)
{
  int64_t now_ms = gr_clock_now_ms (worker->io->clock);

  return call->command.term_ms - (now_ms - call->queued_ms);
}

static bool
is_outdated (const struct worker *worker, const struct call *call)
{
  return call->kind == CALL_COMMAND
         && (call->command.kind == GR_COMMAND_GRANT
             || call->command.kind == GR_COMMAND_RENEW)
         && remaining_term_ms (worker, call) <= 0;
}

/* Ends the call at the head of the queue, whose term is over, without sending
 * it. */
static void
end_outdated (struct worker *worker, const struct call *call)
{
  char term[24];

  g_snprintf (term, sizeof term, "%" G_GINT64_FORMAT,
              (gint64)call->command.term_ms);
  gr_log_event ("worker-command-outdated", "worker", worker->name, "lease",
                call->command.lease, "term_ms", term, NULL);
  worker->batch_size = 1;
  finish_batch (worker, GR_ERROR_TIMEOUT);
}

/* The term is that of the first renewal, which has waited longest. */
static void
send_renewals (struct worker *worker)
{
  const char *leases[MAX_RENEWALS_PER_CALL];
  const struct call *first = g_queue_peek_head (&worker->calls);
  uint32_t n = 0;

  for (GList *link = worker->calls.head;
       link != NULL && n < MAX_RENEWALS_PER_CALL; link = link->next)
    {
      const struct call *call = link->data;

      if (call->kind != CALL_COMMAND || call->command.kind != GR_COMMAND_RENEW
          || call->command.term_ms != first->command.term_ms)
        break;
      leases[n++] = call->command.lease;
    }
  worker->batch_size = n;
  gr_worker_renew (worker->io->client, worker->address, leases, n,
                   remaining_term_ms (worker, first), GR_WORKER_CALL_TIMEOUT_MS,
                   command_done, worker);
}

static void
send_action (struct worker *worker,
             const struct gr_command *command,
             enum gr_task_action action)
{
  gr_worker_control_task (worker->io->client, worker->address, command->task,
                          action, 100, GR_WORKER_CALL_TIMEOUT_MS, command_done,
                          worker);
}

static void
send_command (struct worker *worker, const struct call *call)
{
  const struct gr_command *command = &call->command;
  struct gr_worker_io *io = worker->io;

  worker->in_flight = true;
  worker->batch_size = 1;
  gr_counter_add (io->commands, 1);
  switch (command->kind)
    {
    case GR_COMMAND_GRANT:
      gr_worker_grant (io->client, worker->address, command->lease, io->holder,
                       command->accelerators, remaining_term_ms (worker, call),
                       GR_WORKER_CALL_TIMEOUT_MS, command_done, worker);
      break;
    case GR_COMMAND_RENEW:
      send_renewals (worker);
      break;
    case GR_COMMAND_RELEASE:
      gr_worker_release (io->client, worker->address, command->lease,
                         GR_WORKER_CALL_TIMEOUT_MS, command_done, worker);
      break;
    case GR_COMMAND_START:
      gr_worker_start (io->client, worker->address, command->lease,
                       command->task, 0, call->spec != NULL ? call->spec : "",
                       GR_WORKER_CALL_TIMEOUT_MS, command_done, worker);
      break;
    case GR_COMMAND_UNTHROTTLE:
      send_action (worker, command, GR_TASK_THROTTLE);
      break;
    case GR_COMMAND_CHECKPOINT:
      send_action (worker, command, GR_TASK_CHECKPOINT);
      break;
    case GR_COMMAND_STOP:
      send_action (worker, command, GR_TASK_STOP);
      break;
    case GR_COMMAND_COMMIT:
      g_assert_not_reached ();
    }
}

static void
request_report (struct worker *worker)
{
  worker->in_flight = true;
  worker->report_requested_ms = gr_clock_now_ms (worker->io->clock);
  gr_counter_add (worker->io->reports, 1);
  gr_worker_get_report (worker->io->client, worker->address,
                        GR_REPORT_TIMEOUT_MS, report_done, worker);
}

/* Used while commands are held back: moves the first call that may still be
 * sent to the head of the queue. NULL if there is none. */
static const struct call *
promote_allowed_call (struct worker *worker)
{
  struct gr_worker_io *io = worker->io;
  bool may_renew = io->events.may_renew (io->context);

  for (GList *link = worker->calls.head; link != NULL; link = link->next)
    {
      struct call *call = link->data;

      if (call->kind != CALL_REPORT
          && !(may_renew && call->command.kind == GR_COMMAND_RENEW))
        continue;
      g_queue_unlink (&worker->calls, link);
      g_queue_push_head_link (&worker->calls, link);
      return call;
    }
  return NULL;
}

/* Moves the next call that may be sent to the head of the queue. */
static const struct call *
next_call (struct worker *worker)
{
  const struct call *call = g_queue_peek_head (&worker->calls);

  if (call != NULL && call->kind == CALL_COMMAND
      && !worker->io->events.may_command (worker->io->context))
    call = promote_allowed_call (worker);
  return call;
}

static void
start_next (struct worker *worker)
{
  const struct call *call;

  if (worker->in_flight || worker->next_timer != 0
      || g_queue_is_empty (&worker->calls))
    return;
  while ((call = next_call (worker)) != NULL && is_outdated (worker, call))
    end_outdated (worker, call);
  if (g_queue_is_empty (&worker->calls))
    return;
  if (call == NULL)
    start_next_later (worker, RETRY_MS);
  else if (call->kind == CALL_REPORT)
    request_report (worker);
  else
    send_command (worker, call);
}

/* --- Polling ------------------------------------------------------------ */

static gboolean
report_due (gpointer data)
{
  struct worker *worker = data;
  struct call *call;

  worker->report_timer = 0;
  if (worker->report_queued)
    return G_SOURCE_REMOVE;
  worker->report_queued = true;
  call = g_new0 (struct call, 1);
  call->kind = CALL_REPORT;
  g_queue_push_tail (&worker->calls, call);
  start_next (worker);
  return G_SOURCE_REMOVE;
}

static void
schedule_report (struct worker *worker, uint32_t delay_ms)
{
  stop_timer (&worker->report_timer);
  worker->report_timer = g_timeout_add (delay_ms, report_due, worker);
}

void
gr_worker_io_poll_all (struct gr_worker_io *io)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, io->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    schedule_report (value, 0);
}

/* --- Workers ------------------------------------------------------------ */

void
gr_worker_io_set_target (struct gr_worker_io *io,
                         const char *name,
                         const char *address,
                         bool listed)
{
  struct worker *worker = g_hash_table_lookup (io->workers, name);

  if (worker == NULL)
    {
      worker = g_new0 (struct worker, 1);
      worker->io = io;
      worker->report_interval_ms = GR_REPORT_INTERVAL_MS;
      worker->last_contact_ms = gr_clock_now_ms (io->clock);
      g_strlcpy (worker->name, name, sizeof worker->name);
      g_queue_init (&worker->calls);
      g_hash_table_insert (io->workers, worker->name, worker);
      schedule_report (worker, 0);
    }
  g_strlcpy (worker->address, address, sizeof worker->address);
  worker->listed = listed;
  worker->updated = true;
}

/* Queued commands for a removed worker fail with kind no-target. */
static void
fail_queued_commands (struct worker *worker)
{
  struct gr_worker_io *io = worker->io;
  struct call *call;

  while ((call = g_queue_pop_head (&worker->calls)) != NULL)
    {
      if (call->kind == CALL_COMMAND)
        {
          io->pending--;
          io->events.command_result (call->command.kind,
                                     result_id (&call->command),
                                     GR_ERROR_NO_TARGET, io->context);
        }
      call_free (call);
    }
}

static bool
is_removable (const struct worker *worker)
{
  return !worker->listed && worker->last_call_failed && !worker->in_flight
         && gr_clock_now_ms (worker->io->clock) - worker->last_contact_ms
                >= GR_WORKER_REMOVAL_MS;
}

void
gr_worker_io_finish_targets (struct gr_worker_io *io)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, io->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct worker *worker = value;

      worker->listed = worker->listed && worker->updated;
      worker->updated = false;
      if (!is_removable (worker))
        continue;
      fail_queued_commands (worker);
      io->events.removed (worker->name, io->context);
      g_hash_table_iter_remove (&iter);
    }
}

void
gr_worker_io_send (struct gr_worker_io *io, const struct gr_command *command)
{
  struct worker *worker = g_hash_table_lookup (io->workers, command->worker);
  struct call *call;

  if (worker == NULL)
    {
      io->events.command_result (command->kind, result_id (command),
                                 GR_ERROR_NO_TARGET, io->context);
      return;
    }
  call = g_new0 (struct call, 1);
  call->kind = CALL_COMMAND;
  call->command = *command;
  call->command.spec = NULL;
  call->spec = g_strdup (command->spec);
  call->queued_ms = gr_clock_now_ms (io->clock);
  g_queue_push_tail (&worker->calls, call);
  io->pending++;
  start_next (worker);
}

uint32_t
gr_worker_io_pending (const struct gr_worker_io *io)
{
  return io->pending;
}

struct gr_worker_io *
gr_worker_io_create (struct gr_worker_client *client,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     const char *shard,
                     const char *holder,
                     const struct gr_worker_io_events *events,
                     void *context)
{
  struct gr_worker_io *io = g_new0 (struct gr_worker_io, 1);
  char *labels = g_strdup_printf ("shard=\"%s\"", shard);

  io->client = client;
  io->clock = clock;
  io->holder = g_strdup (holder);
  io->events = *events;
  io->context = context;
  io->workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_remove);
  io->commands = gr_counters_get (counters, "worker_commands_total", labels);
  io->reports = gr_counters_get (counters, "worker_reports_total", labels);
  io->failures = gr_counters_get (counters, "worker_failures_total", labels);
  g_free (labels);
  return io;
}

void
gr_worker_io_destroy (struct gr_worker_io *io)
{
  if (io == NULL)
    return;
  g_hash_table_destroy (io->workers);
  g_free (io->holder);
  g_free (io);
}
