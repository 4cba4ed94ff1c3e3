#include "standins/platform-worker.h"

#include "http/json.h"
#include "standins/advice.h"

#include <string.h>

/* Ends in a reply, according to the platform. */
#define LISTED_ENDS 500

/* Longest lease, according to the platform; a longer one is shortened. */
#define MAX_HOLD_MS 10000

/* Clock of a process at its start. */
#define FIRST_CLOCK_MS 1000

#define DEFAULT_RUN_MS 200
#define CHECK_INTERVAL_MS 10

/* A lease has lapsed once this time has passed since it expired, so that one
 * that is renewed at its end does not count. */
#define LAPSE_REPORT_MS 50
#define DATA_CENTRES 3

/* Time that a run takes to stop. */
#define STOP_DELAY_MS 20

/* Time from a crash until the worker is back. */
#define CRASH_DOWN_MS 3000

struct run
{
  char *task;
  int64_t number; /* run number of the task */
  int64_t started_ms;
  int64_t finish_ms;
  int64_t crash_ms; /* when the run crashes the worker; 0: it does not */
  bool fails;
  int64_t stop_ms; /* when the run stops; 0: no stop requested */
};

/* The end of a run, kept until the client acknowledges it. */
struct run_end
{
  int64_t sequence; /* counts the ends of this worker */
  char *task;
  int64_t run_number;
  const char *outcome;
};

struct gr_platform_worker
{
  struct gr_standin *base; /* NULL while the worker is down */
  char *address;
  int64_t down_until_ms; /* after a crash */
  char *id;
  char *data_centre;
  char *rack;
  char *label; /* "nNUMBER", of this worker alone */
  struct gr_standin_platform_settings settings;
  int64_t started_unix_ms;
  int64_t clock_offset_ms; /* of the process's clock, from now_ms () */
  int64_t highest_epoch;
  int64_t lease_expires_ms; /* by now_ms () */
  bool lapse_reported;      /* of this lease */
  bool draining;
  int64_t last_end_sequence;
  GPtrArray *runs; /* struct run, running */
  GPtrArray *ends; /* struct run_end, oldest first */

  /* task -> highest run number that was stopped or has ended. Runs up to this
   * number are not started any more. */
  GHashTable *ended_runs;
  GHashTable *starts;                   /* task -> number of starts */
  struct gr_standin_call *waiting_poll; /* waits for a run to end, or NULL */
  GSource *timer;
  struct gr_platform_worker_process process;
};

/* Call of a waiting status poll -> its struct gr_platform_worker, since the
 * callback of gr_standin_delay () gets only the call. */
static GHashTable *waiting_polls;

static void listen_again (struct gr_platform_worker *worker);

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
report_at (const struct gr_platform_worker *worker,
           int64_t at_us,
           const char *event,
           const char *task,
           int64_t run,
           const char *how)
{
  if (worker->process.event != NULL)
    worker->process.event (event, at_us, task, run, how,
                           worker->process.context);
}

static void
report (const struct gr_platform_worker *worker,
        const char *event,
        const char *task,
        int64_t run,
        const char *how)
{
  report_at (worker, g_get_monotonic_time (), event, task, run, how);
}

static void
run_free (void *data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
run_end_free (void *data)
{
  struct run_end *run_end = data;

  g_free (run_end->task);
  g_free (run_end);
}

/* Records that runs of a task up to this number must not be started any
 * more. */
static void
record_ended_run (struct gr_platform_worker *worker,
                  const char *task,
                  int64_t run)
{
  int64_t highest =
      GPOINTER_TO_INT (g_hash_table_lookup (worker->ended_runs, task));

  if (run > highest)
    g_hash_table_replace (worker->ended_runs, g_strdup (task),
                          GINT_TO_POINTER (run));
}

static JsonArray *
running_runs_to_json (const struct gr_platform_worker *worker)
{
  JsonArray *rows = json_array_new ();

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct run *run = worker->runs->pdata[i];
      JsonArray *row = json_array_new ();
      int64_t run_ms = MAX (run->finish_ms - run->started_ms, 1);

      json_array_add_string_element (row, run->task);
      json_array_add_int_element (row, run->number);
      json_array_add_string_element (row, "");
      json_array_add_int_element (
          row, CLAMP ((now_ms () - run->started_ms) * 100 / run_ms, 0, 99));
      json_array_add_int_element (row, 0);
      json_array_add_array_element (rows, row);
    }
  return rows;
}

static JsonArray *
ended_runs_to_json (const struct gr_platform_worker *worker)
{
  JsonArray *rows = json_array_new ();

  for (guint i = 0; i < MIN (worker->ends->len, LISTED_ENDS); i++)
    {
      const struct run_end *run_end = worker->ends->pdata[i];
      JsonArray *row = json_array_new ();

      json_array_add_int_element (row, run_end->sequence);
      json_array_add_string_element (row, run_end->task);
      json_array_add_int_element (row, run_end->run_number);
      json_array_add_string_element (row, run_end->outcome);
      json_array_add_string_element (row, "");
      json_array_add_array_element (rows, row);
    }
  return rows;
}

/* Each process has a clock of its own that starts anew. */
static void
start_clock (struct gr_platform_worker *worker)
{
  worker->clock_offset_ms = FIRST_CLOCK_MS - now_ms ();
}

static int64_t
clock_ms (const struct gr_platform_worker *worker)
{
  return now_ms () + worker->clock_offset_ms;
}

static void
reply (const struct gr_platform_worker *worker,
       struct gr_standin_call *call,
       guint status,
       const char *reason)
{
  JsonObject *body = json_object_new ();

  json_object_set_int_member (body, "clock-ms", clock_ms (worker));
  if (reason != NULL)
    json_object_set_string_member (body, "reason", reason);
  gr_standin_reply (call, status, body);
}

static void
reply_run_lists (struct gr_platform_worker *worker,
                 struct gr_standin_call *call)
{
  JsonObject *body = json_object_new ();

  json_object_set_int_member (body, "clock-ms", clock_ms (worker));
  json_object_set_int_member (body, "born", worker->started_unix_ms);
  json_object_set_array_member (body, "running", running_runs_to_json (worker));
  json_object_set_array_member (body, "ended", ended_runs_to_json (worker));
  gr_standin_reply (call, 200, body);
}

static void
end_run (struct gr_platform_worker *worker, guint index, const char *outcome)
{
  struct run *run = worker->runs->pdata[index];
  struct run_end *run_end = g_new0 (struct run_end, 1);

  run_end->sequence = ++worker->last_end_sequence;
  run_end->task = g_strdup (run->task);
  run_end->run_number = run->number;
  run_end->outcome = outcome;
  /* A run ends with its lease, also if the timer of this process is late. */
  report_at (worker,
             strcmp (outcome, "lapsed") == 0 ? worker->lease_expires_ms * 1000
                                             : g_get_monotonic_time (),
             "end", run->task, run->number, outcome);
  record_ended_run (worker, run->task, run->number);
  if (strcmp (outcome, "done") == 0)
    {
      guint count = GPOINTER_TO_UINT (
          g_hash_table_lookup (worker->settings.done, run->task));

      g_hash_table_replace (worker->settings.done, g_strdup (run->task),
                            GUINT_TO_POINTER (count + 1));
    }
  g_ptr_array_add (worker->ends, run_end);
  g_ptr_array_remove_index (worker->runs, index);
}

/* A completion that nobody has acknowledged is lost with the process, so the
 * task may run again. */
static void
forget_completions (struct gr_platform_worker *worker)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const struct run_end *end = worker->ends->pdata[i];
      guint count = GPOINTER_TO_UINT (
          g_hash_table_lookup (worker->settings.done, end->task));

      if (strcmp (end->outcome, "done") == 0 && count > 0)
        g_hash_table_replace (worker->settings.done, g_strdup (end->task),
                              GUINT_TO_POINTER (count - 1));
    }
}

/* Closes the listening socket and all connections, and forgets all runs. */
static void
crash (struct gr_platform_worker *worker)
{
  if (worker->waiting_poll != NULL)
    g_hash_table_remove (waiting_polls, worker->waiting_poll);
  worker->waiting_poll = NULL;
  g_clear_pointer (&worker->base, gr_standin_destroy);
  forget_completions (worker);
  g_ptr_array_set_size (worker->runs, 0);
  g_ptr_array_set_size (worker->ends, 0);
  g_hash_table_remove_all (worker->ended_runs);
  worker->highest_epoch = 0;
  worker->lease_expires_ms = 0;
  worker->last_end_sequence = 0;
  worker->down_until_ms = now_ms () + CRASH_DOWN_MS;
}

static bool
crashes_now (const struct gr_platform_worker *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct run *run = worker->runs->pdata[i];

      if (run->crash_ms != 0 && now_ms () >= run->crash_ms)
        return true;
    }
  return false;
}

/* Ends the runs that are finished or were stopped, and all runs once the lease
 * has expired. */
static void
end_due_runs (struct gr_platform_worker *worker)
{
  if (!worker->lapse_reported
      && now_ms () > worker->lease_expires_ms + LAPSE_REPORT_MS)
    {
      worker->lapse_reported = true;
      report (worker, "lapse", "-", 0, "-");
    }
  for (guint i = worker->runs->len; i-- > 0;)
    {
      const struct run *run = worker->runs->pdata[i];

      if (now_ms () > worker->lease_expires_ms)
        end_run (worker, i, "lapsed");
      else if (run->stop_ms != 0 && now_ms () >= run->stop_ms)
        end_run (worker, i, "stopped");
      else if (now_ms () >= run->finish_ms)
        end_run (worker, i, run->fails ? "failed" : "done");
    }
}

/* Replies to the waiting poll if any run has ended. A crash by a run and the
 * restart after it happen here, outside of calls. */
static gboolean
check_runs (gpointer data)
{
  struct gr_platform_worker *worker = data;
  if (worker->base == NULL && now_ms () >= worker->down_until_ms)
    listen_again (worker);
  if (crashes_now (worker))
    crash (worker);
  end_due_runs (worker);
  if (worker->ends->len > 0 && worker->waiting_poll != NULL)
    reply_run_lists (worker, g_steal_pointer (&worker->waiting_poll));
  return G_SOURCE_CONTINUE;
}

/* Rejects a call whose epoch is lower than one seen before. Returns whether it
 * has replied. */
static bool
reject_if_fenced (struct gr_platform_worker *worker,
                  struct gr_standin_call *call)
{
  int64_t epoch = 0;

  if (!gr_json_get_int (call->body, "fencing-token", 0, INT64_MAX, 0, &epoch)
      || epoch < worker->highest_epoch)
    {
      reply (worker, call, 409, "fence");
      return true;
    }
  worker->highest_epoch = epoch;
  return false;
}

static struct run *
find_run (struct gr_platform_worker *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct run *run = worker->runs->pdata[i];

      if (g_str_equal (run->task, task))
        return run;
    }
  return NULL;
}

static void
extend_lease (struct gr_platform_worker *worker, JsonObject *body)
{
  int64_t until_ms = 0;

  gr_json_get_int (body, "deadline-ms", 0, INT64_MAX, 0, &until_ms);
  if (until_ms > clock_ms (worker) + MAX_HOLD_MS)
    report (worker, "shortened", "-", 0, "-");
  if (until_ms > 0)
    worker->lease_expires_ms =
        MAX (worker->lease_expires_ms,
             MIN (until_ms - worker->clock_offset_ms, now_ms () + MAX_HOLD_MS));
  if (worker->lease_expires_ms > now_ms ())
    worker->lapse_reported = false;
}

/* Returns the number that follows name in the payload, or the fallback. */
static int64_t
payload_ms (const char *payload, const char *name, int64_t fallback)
{
  const char *value = strstr (payload, name);

  return value ? g_ascii_strtoll (value + strlen (name), NULL, 10) : fallback;
}

static void
start_run (struct gr_platform_worker *worker,
           const char *task,
           int64_t number,
           const char *payload)
{
  struct run *run = g_new0 (struct run, 1);
  int starts = GPOINTER_TO_INT (g_hash_table_lookup (worker->starts, task));

  run->task = g_strdup (task);
  run->number = number;
  run->started_ms = now_ms ();
  run->finish_ms =
      run->started_ms + payload_ms (payload, "run_ms=", DEFAULT_RUN_MS);
  if (strstr (payload, "crash_ms=") != NULL)
    run->crash_ms = run->started_ms + payload_ms (payload, "crash_ms=", 0);
  run->fails = strstr (payload, "fail") != NULL;
  report (worker, "start", task, number, "-");
  g_ptr_array_add (worker->runs, run);
  g_hash_table_replace (worker->starts, g_strdup (task),
                        GINT_TO_POINTER (starts + 1));
}

static void
apply_start (struct gr_platform_worker *worker, struct gr_standin_call *call)
{
  const char *task = gr_json_peek_string (call->body, "task");
  const char *payload = gr_json_peek_string (call->body, "task-spec");
  int64_t number = 0;
  int64_t expires_ms = 0;
  struct run *run;

  if (task == NULL || payload == NULL
      || !gr_json_get_int (call->body, "run", 1, INT32_MAX, 0, &number)
      || !gr_json_get_int (call->body, "deadline-ms", 0, INT64_MAX, 0,
                           &expires_ms))
    {
      reply (worker, call, 400, NULL);
      return;
    }
  run = find_run (worker, task);
  if (run != NULL && run->number == number)
    {
      reply (worker, call, 200, NULL);
      return;
    }
  extend_lease (worker, call->body);
  if (strstr (payload, "needs_ticket") != NULL
      && !gr_standin_ticket_is_valid (
          gr_json_peek_string (call->body, "ticket"), task, worker->id))
    reply (worker, call, 409, "ticket");
  else if (expires_ms < clock_ms (worker))
    reply (worker, call, 409, "late");
  else if (number
           <= GPOINTER_TO_INT (g_hash_table_lookup (worker->ended_runs, task)))
    reply (worker, call, 409, "old");
  else
    {
      start_run (worker, task, number, payload);
      /* A crash at once leaves the order without an answer. */
      if (!crashes_now (worker))
        reply (worker, call, 200, NULL);
    }
}

static void
apply_stop (struct gr_platform_worker *worker, struct gr_standin_call *call)
{
  const char *task = gr_json_peek_string (call->body, "task");
  int64_t number = 0;
  struct run *run;

  if (task == NULL
      || !gr_json_get_int (call->body, "run", 1, INT32_MAX, 0, &number))
    {
      reply (worker, call, 400, NULL);
      return;
    }
  run = find_run (worker, task);
  if (run != NULL && run->number <= number)
    run->stop_ms = now_ms () + STOP_DELAY_MS;
  else
    record_ended_run (worker, task, number);
  reply (worker, call, 200, NULL);
}

static void
handle_poll_timeout (struct gr_standin_call *call)
{
  struct gr_platform_worker *worker = g_hash_table_lookup (waiting_polls, call);

  g_hash_table_remove (waiting_polls, call);
  if (worker->waiting_poll == call)
    worker->waiting_poll = NULL;
  reply_run_lists (worker, call);
}

/* Renews the lease, drops acknowledged ends, and replies with the lists of
 * runs. Without unacknowledged ends, first waits up to "wait-ms" for a run to
 * end. */
static void
apply_poll (struct gr_platform_worker *worker, struct gr_standin_call *call)
{
  int64_t acknowledged = 0;
  int64_t wait_ms = 0;

  extend_lease (worker, call->body);
  if (!gr_json_get_int (call->body, "seen-upto", 0, INT64_MAX, 0, &acknowledged)
      || !gr_json_get_int (call->body, "wait-ms", 0, 2000, 0, &wait_ms))
    {
      reply (worker, call, 400, NULL);
      return;
    }
  while (worker->ends->len > 0
         && ((struct run_end *)worker->ends->pdata[0])->sequence
                <= acknowledged)
    {
      const struct run_end *end = worker->ends->pdata[0];

      report (worker, "noted", end->task, end->run_number, end->outcome);
      g_ptr_array_remove_index (worker->ends, 0);
    }
  if (wait_ms == 0 || worker->ends->len > 0 || worker->waiting_poll != NULL)
    {
      reply_run_lists (worker, call);
      return;
    }
  worker->waiting_poll = call;
  g_hash_table_insert (waiting_polls, call, worker);
  gr_standin_delay (call, wait_ms, handle_poll_timeout);
}

/* True if the call was meant for another worker, which had this address. */
static bool
is_for_another (const struct gr_platform_worker *worker,
                const struct gr_standin_call *call)
{
  const char *expected = soup_message_headers_get_one (
      soup_server_message_get_request_headers (call->message),
      "X-Expect-Instance");

  return expected != NULL && !g_str_equal (expected, worker->id);
}

static void
apply (struct gr_standin_call *call, void *context)
{
  struct gr_platform_worker *worker = context;

  /* A lease that has expired is not extended by a call that is handled before
   * the timer, for example after the process was not scheduled for a while. */
  end_due_runs (worker);
  if (is_for_another (worker, call))
    gr_standin_reply (call, 421, NULL);
  else if (call->body == NULL)
    gr_standin_reply (call, 400, NULL);
  else if (reject_if_fenced (worker, call))
    return;
  else if (g_str_equal (call->path, "/v1/run-start"))
    apply_start (worker, call);
  else if (g_str_equal (call->path, "/v1/run-stop"))
    apply_stop (worker, call);
  else if (g_str_equal (call->path, "/v1/hold"))
    apply_poll (worker, call);
  else
    gr_standin_reply (call, 404, NULL);
}

static bool
is_write (const struct gr_standin_call *call)
{
  return !g_str_equal (call->path, "/v1/hold");
}

static void
describe (JsonObject *answer, void *context)
{
  const struct gr_platform_worker *worker = context;

  json_object_set_int_member (answer, "running", worker->runs->len);
}

static bool
control (JsonObject *body, void *context)
{
  (void)body;
  (void)context;
  return true;
}

static const struct gr_standin_ops ops = { is_write, apply, describe, control };

/* Starts a new incarnation at the same address. Tried again at the next check
 * if the address is in use. */
static void
listen_again (struct gr_platform_worker *worker)
{
  struct gr_error ignored = GR_ERROR_INIT;

  worker->base = gr_standin_create (worker->address, &ops, worker, &ignored);
  worker->started_unix_ms = g_get_real_time () / 1000;
  start_clock (worker);
}

int64_t
gr_platform_worker_restart (struct gr_platform_worker *worker)
{
  int64_t former_ms = worker->started_unix_ms;

  crash (worker);
  listen_again (worker);
  /* Two restarts can fall into one millisecond. */
  worker->started_unix_ms = MAX (worker->started_unix_ms, former_ms + 1);
  return worker->started_unix_ms;
}

static struct gr_platform_worker *
create (uint32_t number,
        const struct gr_standin_platform_settings *settings,
        const struct gr_platform_worker_process *process,
        struct gr_error *error)
{
  struct gr_platform_worker *worker = g_new0 (struct gr_platform_worker, 1);
  uint32_t rack = number / MAX (settings->per_rack, 1);

  if (waiting_polls == NULL)
    waiting_polls = g_hash_table_new (NULL, NULL);
  worker->settings = *settings;
  if (process != NULL)
    worker->process = *process;
  worker->id = process != NULL ? g_strdup (process->id)
                               : g_strdup_printf ("i-%04u", number);
  worker->rack = g_strdup_printf ("r1-%u", rack);
  worker->label = g_strdup_printf ("n%u", number);
  worker->data_centre = g_strdup_printf ("dc%u", rack % DATA_CENTRES + 1);
  worker->started_unix_ms = g_get_real_time () / 1000;
  start_clock (worker);
  worker->runs = g_ptr_array_new_with_free_func (run_free);
  worker->ends = g_ptr_array_new_with_free_func (run_end_free);
  worker->ended_runs =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->starts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->timer = g_timeout_source_new (CHECK_INTERVAL_MS);
  g_source_set_callback (worker->timer, check_runs, worker, NULL);
  g_source_attach (worker->timer, NULL);
  worker->base = gr_standin_create (
      process != NULL ? process->listen : "127.0.0.1:0", &ops, worker, error);
  if (worker->base != NULL)
    {
      worker->address =
          g_strdup (process != NULL ? process->advertised
                                    : gr_standin_address (worker->base));
      return worker;
    }
  gr_platform_worker_destroy (worker);
  return NULL;
}

struct gr_platform_worker *
gr_platform_worker_create (uint32_t number,
                           const struct gr_standin_platform_settings *settings,
                           struct gr_error *error)
{
  return create (number, settings, NULL, error);
}

struct gr_platform_worker *
gr_platform_worker_create_process (
    uint32_t number,
    const struct gr_standin_platform_settings *settings,
    const struct gr_platform_worker_process *process,
    struct gr_error *error)
{
  return create (number, settings, process, error);
}

void
gr_platform_worker_drain (struct gr_platform_worker *worker)
{
  worker->draining = true;
}

void
gr_platform_worker_destroy (struct gr_platform_worker *worker)
{
  g_source_destroy (worker->timer);
  g_source_unref (worker->timer);
  if (worker->waiting_poll != NULL)
    g_hash_table_remove (waiting_polls, worker->waiting_poll);
  if (worker->base != NULL)
    gr_standin_destroy (worker->base);
  g_ptr_array_unref (worker->runs);
  g_ptr_array_unref (worker->ends);
  g_hash_table_destroy (worker->ended_runs);
  g_hash_table_destroy (worker->starts);
  g_free (worker->address);
  g_free (worker->id);
  g_free (worker->data_centre);
  g_free (worker->rack);
  g_free (worker->label);
  g_free (worker);
}

struct gr_standin *
gr_platform_worker_base (struct gr_platform_worker *worker)
{
  return worker->base;
}

const char *
gr_platform_worker_id (const struct gr_platform_worker *worker)
{
  return worker->id;
}

char *
gr_platform_worker_registry_value (const struct gr_platform_worker *worker,
                                   uint64_t sequence)
{
  return g_strdup_printf (
      "{\"service\":\"render\",\"address\":\"%s\",\"zone\":\"%s\","
      "\"config-version\":\"v1\",\"slots\":8,\"state\":\"%s\","
      "\"cold-left-ms\":0,\"capacity\":{\"cpu\":%u,\"mem-mb\":%u,\"gpu\":%u},"
      "\"labels\":[\"a\",\"%s\",\"%s\"],\"born\":%" G_GINT64_FORMAT
      ",\"sequence\":%" G_GUINT64_FORMAT "}",
      worker->address, worker->data_centre,
      worker->draining ? "draining" : "ready", worker->settings.cores * 1000,
      worker->settings.memory_mb, worker->settings.accelerators, worker->rack,
      worker->label, worker->started_unix_ms, sequence);
}

const char *
gr_platform_worker_data_centre (const struct gr_platform_worker *worker)
{
  return worker->data_centre;
}

uint32_t
gr_platform_worker_started_after (const struct gr_platform_worker *worker,
                                  int64_t after_ms)
{
  uint32_t n = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    n += ((struct run *)worker->runs->pdata[i])->started_ms > after_ms;
  return n;
}

uint32_t
gr_platform_worker_add_running (const struct gr_platform_worker *worker,
                                GHashTable *tasks)
{
  uint32_t duplicates = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    if (!g_hash_table_add (tasks, ((struct run *)worker->runs->pdata[i])->task))
      duplicates++;
  return duplicates;
}

uint32_t
gr_platform_worker_starts (const struct gr_platform_worker *worker,
                           const char *task)
{
  return (uint32_t)GPOINTER_TO_INT (g_hash_table_lookup (worker->starts, task));
}

int64_t
gr_platform_worker_lease_ms (const struct gr_platform_worker *worker)
{
  return MAX (worker->lease_expires_ms - now_ms (), 0);
}

uint32_t
gr_platform_worker_running (const struct gr_platform_worker *worker,
                            const char *task)
{
  uint32_t running = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    if (g_str_equal (((struct run *)worker->runs->pdata[i])->task, task))
      running++;
  return running;
}
