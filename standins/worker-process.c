#include "standins/worker-process.h"

#include "http/http.h"
#include "http/json.h"
#include "standins/platform-worker.h"

#include <glib-unix.h>
#include <stdio.h>

/* Time from the announcement that it drains until it leaves. */
#define DRAIN_MS 2500

#define CALL_TIMEOUT_MS 1000

struct gr_worker_process
{
  struct gr_worker_process_settings settings;
  struct gr_platform_worker *worker; /* NULL once it has left */
  struct gr_http *http;
  GMainLoop *loop;
  GHashTable *done;
  char *key; /* of its entry */
  char *url; /* of the store's control address */
  uint64_t sequence;
  guint heartbeat_timer;
  guint leave_timer;
  guint term_source;
};

/* The monotonic clock is the same in all processes of the machine. */
static void
print_event (const char *event,
             int64_t at_us,
             const char *task,
             int64_t run,
             const char *how,
             void *context)
{
  (void)context;
  printf ("%s %" G_GINT64_FORMAT " %s %" G_GINT64_FORMAT " %s\n", event, at_us,
          task, run, how);
  fflush (stdout);
}

static void
ignore_answer (const struct gr_http_response *response,
               const struct gr_error *error,
               void *context)
{
  (void)response;
  (void)error;
  (void)context;
}

/* Takes ownership of body. */
static void
call_store (struct gr_worker_process *process, JsonObject *body)
{
  g_autoptr (GBytes) bytes = gr_json_to_bytes (body);
  struct gr_http_request request = {
    .method = "POST",
    .url = process->url,
    .content_type = "application/json",
    .body = bytes,
    .may_resend = true,
    .timeout_ms = CALL_TIMEOUT_MS,
  };

  gr_http_call (process->http, &request, ignore_answer, NULL);
}

static gboolean
write_entry (gpointer data)
{
  struct gr_worker_process *process = data;
  g_autofree char *text =
      gr_platform_worker_registry_value (process->worker, ++process->sequence);
  JsonObject *entry = json_object_new ();
  JsonObject *body = json_object_new ();

  json_object_set_string_member (entry, "key", process->key);
  json_object_set_string_member (entry, "text", text);
  json_object_set_object_member (body, "heartbeat", entry);
  call_store (process, body);
  return G_SOURCE_CONTINUE;
}

static gboolean
quit (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

/* The runs end with the worker, before its entry is removed. */
static gboolean
leave (gpointer data)
{
  struct gr_worker_process *process = data;
  JsonObject *body = json_object_new ();

  process->leave_timer = 0;
  g_clear_handle_id (&process->heartbeat_timer, g_source_remove);
  g_clear_pointer (&process->worker, gr_platform_worker_destroy);
  print_event ("left", g_get_monotonic_time (), "-", 0, "-", NULL);
  json_object_set_string_member (body, "remove", process->key);
  call_store (process, body);
  g_timeout_add (CALL_TIMEOUT_MS, quit, process->loop);
  return G_SOURCE_REMOVE;
}

static gboolean
drain (gpointer data)
{
  struct gr_worker_process *process = data;

  if (process->leave_timer != 0 || process->worker == NULL)
    return G_SOURCE_CONTINUE;
  gr_platform_worker_drain (process->worker);
  write_entry (process);
  process->leave_timer = g_timeout_add (DRAIN_MS, leave, process);
  return G_SOURCE_CONTINUE;
}

struct gr_worker_process *
gr_worker_process_create (const struct gr_worker_process_settings *settings,
                          GMainLoop *loop,
                          struct gr_error *error)
{
  struct gr_worker_process *process = g_new0 (struct gr_worker_process, 1);
  struct gr_platform_worker_process events = {
    .id = settings->id,
    .listen = settings->listen,
    .advertised = settings->advertised,
    .event = print_event,
  };

  process->settings = *settings;
  process->loop = loop;
  process->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  process->settings.platform.done = process->done;
  process->key = g_strconcat ("servers/", settings->id, NULL);
  process->url = g_strdup_printf ("http://%s/control", settings->store);
  process->http = gr_http_create (2);
  process->worker = gr_platform_worker_create_process (
      settings->number, &process->settings.platform, &events, error);
  if (process->worker == NULL)
    {
      gr_worker_process_destroy (process);
      return NULL;
    }
  process->heartbeat_timer =
      g_timeout_add (GR_STANDIN_HEARTBEAT_MS, write_entry, process);
  process->term_source = g_unix_signal_add (SIGTERM, drain, process);
  write_entry (process);
  return process;
}

void
gr_worker_process_destroy (struct gr_worker_process *process)
{
  if (process == NULL)
    return;
  g_clear_handle_id (&process->heartbeat_timer, g_source_remove);
  g_clear_handle_id (&process->leave_timer, g_source_remove);
  g_clear_handle_id (&process->term_source, g_source_remove);
  g_clear_pointer (&process->worker, gr_platform_worker_destroy);
  gr_http_destroy (process->http);
  g_hash_table_destroy (process->done);
  g_free (process->key);
  g_free (process->url);
  g_free (process);
}
