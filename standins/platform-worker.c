#include "standins/platform-worker.h"

#include "http/json.h"

#include <string.h>

#define DEFAULT_RUN_MS 200
#define CHECK_MS 10
#define STOP_MS 20

struct run
{
  char *task;
  int64_t run;
  int64_t begun_ms;
  int64_t ends_ms;
  bool fails;
  int64_t stop_ms; /* when a stop takes effect; 0: not stopped */
};

struct end
{
  int64_t number;
  char *task;
  int64_t run;
  const char *how;
};

struct gr_platform_worker
{
  struct gr_standin *base;
  char *id;
  char *rack;
  struct gr_standin_platform_options options;
  int64_t born_unix_ms;
  int64_t highest_epoch;
  int64_t lease_until_ms;
  int64_t last_number;
  GPtrArray *runs;
  GPtrArray *ends;
  GHashTable *over;   /* task -> highest run that was stopped or has ended */
  GHashTable *starts; /* task -> count */
  struct gr_standin_call *waiter; /* a look that waits for an end */
  GSource *timer;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
run_free (void *data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
end_free (void *data)
{
  struct end *end = data;

  g_free (end->task);
  g_free (end);
}

static void
note_over (struct gr_platform_worker *worker, const char *task, int64_t run)
{
  int64_t known = GPOINTER_TO_INT (g_hash_table_lookup (worker->over, task));

  if (run > known)
    g_hash_table_replace (worker->over, g_strdup (task), GINT_TO_POINTER (run));
}

static JsonArray *
show_running (const struct gr_platform_worker *worker)
{
  JsonArray *rows = json_array_new ();

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct run *run = worker->runs->pdata[i];
      JsonArray *row = json_array_new ();
      int64_t length_ms = MAX (run->ends_ms - run->begun_ms, 1);

      json_array_add_string_element (row, run->task);
      json_array_add_int_element (row, run->run);
      json_array_add_string_element (row, "");
      json_array_add_int_element (
          row, CLAMP ((now_ms () - run->begun_ms) * 100 / length_ms, 0, 99));
      json_array_add_int_element (row, 0);
      json_array_add_array_element (rows, row);
    }
  return rows;
}

static JsonArray *
show_ended (const struct gr_platform_worker *worker)
{
  JsonArray *rows = json_array_new ();

  for (guint i = 0; i < worker->ends->len; i++)
    {
      const struct end *end = worker->ends->pdata[i];
      JsonArray *row = json_array_new ();

      json_array_add_int_element (row, end->number);
      json_array_add_string_element (row, end->task);
      json_array_add_int_element (row, end->run);
      json_array_add_string_element (row, end->how);
      json_array_add_string_element (row, "");
      json_array_add_array_element (rows, row);
    }
  return rows;
}

static void
reply (struct gr_standin_call *call, guint status, const char *reason)
{
  JsonObject *body = json_object_new ();

  json_object_set_int_member (body, "clock-ms", now_ms ());
  if (reason != NULL)
    json_object_set_string_member (body, "reason", reason);
  gr_standin_reply (call, status, body);
}

static void
reply_lists (struct gr_platform_worker *worker, struct gr_standin_call *call)
{
  JsonObject *body = json_object_new ();

  json_object_set_int_member (body, "clock-ms", now_ms ());
  json_object_set_int_member (body, "born", worker->born_unix_ms);
  json_object_set_array_member (body, "running", show_running (worker));
  json_object_set_array_member (body, "ended", show_ended (worker));
  gr_standin_reply (call, 200, body);
}

static void
end_run (struct gr_platform_worker *worker, guint index, const char *how)
{
  struct run *run = worker->runs->pdata[index];
  struct end *end = g_new0 (struct end, 1);

  end->number = ++worker->last_number;
  end->task = g_strdup (run->task);
  end->run = run->run;
  end->how = how;
  note_over (worker, run->task, run->run);
  if (strcmp (how, "done") == 0)
    {
      guint times = GPOINTER_TO_UINT (
          g_hash_table_lookup (worker->options.done, run->task));

      g_hash_table_replace (worker->options.done, g_strdup (run->task),
                            GUINT_TO_POINTER (times + 1));
    }
  g_ptr_array_add (worker->ends, end);
  g_ptr_array_remove_index (worker->runs, index);
}

static gboolean
check_runs (gpointer data)
{
  struct gr_platform_worker *worker = data;
  guint before = worker->ends->len;

  for (guint i = worker->runs->len; i-- > 0;)
    {
      const struct run *run = worker->runs->pdata[i];

      if (now_ms () > worker->lease_until_ms)
        end_run (worker, i, "lapsed");
      else if (run->stop_ms != 0 && now_ms () >= run->stop_ms)
        end_run (worker, i, "stopped");
      else if (now_ms () >= run->ends_ms)
        end_run (worker, i, run->fails ? "failed" : "done");
    }
  if (worker->ends->len > before && worker->waiter != NULL)
    reply_lists (worker, g_steal_pointer (&worker->waiter));
  return G_SOURCE_CONTINUE;
}

static bool
is_fenced (struct gr_platform_worker *worker, struct gr_standin_call *call)
{
  int64_t epoch = 0;

  if (!gr_json_get_int (call->body, "fencing-token", 0, INT64_MAX, 0, &epoch)
      || epoch < worker->highest_epoch)
    {
      reply (call, 409, "fence");
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

  if (gr_json_get_int (body, "deadline-ms", 0, INT64_MAX, 0, &until_ms))
    worker->lease_until_ms = MAX (worker->lease_until_ms, until_ms);
}

static int64_t
payload_ms (const char *payload)
{
  const char *at = strstr (payload, "run_ms=");

  return at ? g_ascii_strtoll (at + strlen ("run_ms="), NULL, 10)
            : DEFAULT_RUN_MS;
}

static void
begin_run (struct gr_platform_worker *worker,
           const char *task,
           int64_t number,
           const char *payload)
{
  struct run *run = g_new0 (struct run, 1);
  int starts = GPOINTER_TO_INT (g_hash_table_lookup (worker->starts, task));

  run->task = g_strdup (task);
  run->run = number;
  run->begun_ms = now_ms ();
  run->ends_ms = run->begun_ms + payload_ms (payload);
  run->fails = strstr (payload, "fail") != NULL;
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
  int64_t until_ms = 0;
  struct run *run;

  if (task == NULL || payload == NULL
      || !gr_json_get_int (call->body, "run", 1, INT32_MAX, 0, &number)
      || !gr_json_get_int (call->body, "deadline-ms", 0, INT64_MAX, 0,
                           &until_ms))
    {
      reply (call, 400, NULL);
      return;
    }
  run = find_run (worker, task);
  if (run != NULL && run->run == number)
    {
      reply (call, 200, NULL);
      return;
    }
  extend_lease (worker, call->body);
  if (until_ms < now_ms ())
    reply (call, 409, "late");
  else if (number <= GPOINTER_TO_INT (g_hash_table_lookup (worker->over, task)))
    reply (call, 409, "old");
  else
    {
      begin_run (worker, task, number, payload);
      reply (call, 200, NULL);
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
      reply (call, 400, NULL);
      return;
    }
  run = find_run (worker, task);
  if (run != NULL && run->run <= number)
    run->stop_ms = now_ms () + STOP_MS;
  else
    note_over (worker, task, number);
  reply (call, 200, NULL);
}

static GHashTable *looks; /* calls that wait -> worker */

static void
look_over (struct gr_standin_call *call)
{
  struct gr_platform_worker *worker = g_hash_table_lookup (looks, call);

  g_hash_table_remove (looks, call);
  if (worker->waiter == call)
    worker->waiter = NULL;
  reply_lists (worker, call);
}

static void
apply_look (struct gr_platform_worker *worker, struct gr_standin_call *call)
{
  int64_t noted = 0;
  int64_t wait_ms = 0;

  extend_lease (worker, call->body);
  if (!gr_json_get_int (call->body, "seen-upto", 0, INT64_MAX, 0, &noted)
      || !gr_json_get_int (call->body, "wait-ms", 0, 2000, 0, &wait_ms))
    {
      reply (call, 400, NULL);
      return;
    }
  while (worker->ends->len > 0
         && ((struct end *)worker->ends->pdata[0])->number <= noted)
    g_ptr_array_remove_index (worker->ends, 0);
  if (wait_ms == 0 || worker->ends->len > 0 || worker->waiter != NULL)
    {
      reply_lists (worker, call);
      return;
    }
  worker->waiter = call;
  g_hash_table_insert (looks, call, worker);
  gr_standin_delay (call, wait_ms, look_over);
}

static void
apply (struct gr_standin_call *call, void *context)
{
  struct gr_platform_worker *worker = context;

  if (call->body == NULL)
    gr_standin_reply (call, 400, NULL);
  else if (is_fenced (worker, call))
    return;
  else if (g_str_equal (call->path, "/v1/run-start"))
    apply_start (worker, call);
  else if (g_str_equal (call->path, "/v1/run-stop"))
    apply_stop (worker, call);
  else if (g_str_equal (call->path, "/v1/hold"))
    apply_look (worker, call);
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

struct gr_platform_worker *
gr_platform_worker_create (uint32_t number,
                           const struct gr_standin_platform_options *options,
                           struct gr_error *error)
{
  struct gr_platform_worker *worker = g_new0 (struct gr_platform_worker, 1);

  if (looks == NULL)
    looks = g_hash_table_new (NULL, NULL);
  worker->options = *options;
  worker->id = g_strdup_printf ("i-%04u", number);
  worker->rack = g_strdup_printf ("r1-%u", number / MAX (options->per_rack, 1));
  worker->born_unix_ms = g_get_real_time () / 1000;
  worker->runs = g_ptr_array_new_with_free_func (run_free);
  worker->ends = g_ptr_array_new_with_free_func (end_free);
  worker->over = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->starts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->timer = g_timeout_source_new (CHECK_MS);
  g_source_set_callback (worker->timer, check_runs, worker, NULL);
  g_source_attach (worker->timer, NULL);
  worker->base = gr_standin_create ("127.0.0.1:0", &ops, worker, error);
  if (worker->base != NULL)
    return worker;
  gr_platform_worker_destroy (worker);
  return NULL;
}

void
gr_platform_worker_destroy (struct gr_platform_worker *worker)
{
  g_source_destroy (worker->timer);
  g_source_unref (worker->timer);
  if (worker->waiter != NULL)
    g_hash_table_remove (looks, worker->waiter);
  if (worker->base != NULL)
    gr_standin_destroy (worker->base);
  g_ptr_array_unref (worker->runs);
  g_ptr_array_unref (worker->ends);
  g_hash_table_destroy (worker->over);
  g_hash_table_destroy (worker->starts);
  g_free (worker->id);
  g_free (worker->rack);
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
gr_platform_worker_entry (const struct gr_platform_worker *worker,
                          uint64_t sequence)
{
  return g_strdup_printf (
      "{\"service\":\"render\",\"address\":\"%s\",\"zone\":\"dc1\","
      "\"config-version\":\"v1\",\"slots\":8,\"state\":\"ready\","
      "\"cold-left-ms\":0,\"capacity\":{\"cpu\":%u,\"mem-mb\":%u,\"gpu\":%u},"
      "\"labels\":[\"a\",\"%s\"],\"born\":%" G_GINT64_FORMAT
      ",\"sequence\":%" G_GUINT64_FORMAT "}",
      gr_standin_address (worker->base), worker->options.cores * 1000,
      worker->options.memory_mb, worker->options.accelerators, worker->rack,
      worker->born_unix_ms, sequence);
}

uint32_t
gr_platform_worker_add_running (const struct gr_platform_worker *worker,
                                GHashTable *seen)
{
  uint32_t doubles = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    if (!g_hash_table_add (seen, ((struct run *)worker->runs->pdata[i])->task))
      doubles++;
  return doubles;
}

uint32_t
gr_platform_worker_starts (const struct gr_platform_worker *worker,
                           const char *task)
{
  return (uint32_t)GPOINTER_TO_INT (g_hash_table_lookup (worker->starts, task));
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
