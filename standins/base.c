#include "standins/base.h"

#include "http/json.h"

#include <string.h>

/* Time after which a silent stand-in closes the connection of a call. Longer
 * than all timeouts of the product. */
#define SILENT_HOLD_MS 60000

#define MAX_DELAY_MS 600000

struct gr_standin
{
  struct gr_http_server *server;
  const struct gr_standin_ops *ops;
  void *context;
  struct gr_standin_faults faults;
  GHashTable *counts; /* path -> count */
  GHashTable *calls;  /* set of struct gr_standin_call in flight */
};

static const struct
{
  const char *name;
  size_t offset;
} fault_members[] = {
  { "down", offsetof (struct gr_standin_faults, down) },
  { "silent", offsetof (struct gr_standin_faults, silent) },
  { "delay_ms", offsetof (struct gr_standin_faults, delay_ms) },
  { "answer_after_ms", offsetof (struct gr_standin_faults, answer_after_ms) },
  { "lose_requests", offsetof (struct gr_standin_faults, lose_requests) },
  { "lose_answers", offsetof (struct gr_standin_faults, lose_answers) },
  { "silent_answers", offsetof (struct gr_standin_faults, silent_answers) },
  { "late_writes", offsetof (struct gr_standin_faults, late_writes) },
  { "late_ms", offsetof (struct gr_standin_faults, late_ms) },
};

static void
call_free (struct gr_standin_call *call)
{
  if (call->timer != NULL)
    {
      g_source_destroy (call->timer);
      g_source_unref (call->timer);
    }
  g_clear_pointer (&call->body, json_object_unref);
  g_bytes_unref (call->raw_body);
  g_object_unref (call->message);
  g_free (call->path);
  g_free (call);
}

void
gr_standin_free_call (struct gr_standin_call *call)
{
  g_hash_table_remove (call->standin->calls, call);
  call_free (call);
}

void
gr_standin_drop (struct gr_standin_call *call)
{
  gr_http_server_drop (call->message);
  gr_standin_free_call (call);
}

static gboolean
run_after_delay (gpointer data)
{
  struct gr_standin_call *call = data;

  g_clear_pointer (&call->timer, g_source_unref);
  call->after_delay (call);
  return G_SOURCE_REMOVE;
}

void
gr_standin_delay (struct gr_standin_call *call,
                  int64_t delay_ms,
                  void (*after_delay) (struct gr_standin_call *call))
{
  if (call->timer != NULL)
    {
      g_source_destroy (call->timer);
      g_source_unref (call->timer);
    }
  call->after_delay = after_delay;
  call->timer = g_timeout_source_new ((guint)CLAMP (delay_ms, 0, MAX_DELAY_MS));
  g_source_set_callback (call->timer, run_after_delay, call, NULL);
  g_source_attach (call->timer, NULL);
}

static void
send_response (struct gr_standin_call *call)
{
  gr_http_server_resume (call->message);
  gr_standin_free_call (call);
}

void
gr_standin_send_reply (struct gr_standin_call *call)
{
  struct gr_standin_faults *faults = &call->standin->faults;

  if (call->is_write && faults->lose_answers > 0)
    {
      faults->lose_answers--;
      gr_standin_drop (call);
    }
  else if (call->is_write && faults->silent_answers > 0)
    {
      faults->silent_answers--;
      gr_standin_delay (call, SILENT_HOLD_MS, gr_standin_drop);
    }
  else if (faults->answer_after_ms > 0)
    gr_standin_delay (call, faults->answer_after_ms, send_response);
  else
    send_response (call);
}

static void
set_response (SoupServerMessage *message, guint status, JsonObject *body)
{
  GBytes *text = gr_json_to_bytes (body ? body : json_object_new ());
  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);

  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, data, size);
  g_bytes_unref (text);
}

void
gr_standin_reply (struct gr_standin_call *call, guint status, JsonObject *body)
{
  set_response (call->message, status, body);
  gr_standin_send_reply (call);
}

static JsonObject *
describe (struct gr_standin *standin)
{
  JsonObject *answer = json_object_new ();
  JsonObject *counts = json_object_new ();
  GHashTableIter iter;
  void *path;
  void *count;

  g_hash_table_iter_init (&iter, standin->counts);
  while (g_hash_table_iter_next (&iter, &path, &count))
    json_object_set_int_member (counts, path, GPOINTER_TO_INT (count));
  json_object_set_object_member (answer, "calls", counts);
  if (standin->ops->describe != NULL)
    standin->ops->describe (answer, standin->context);
  return answer;
}

/* Reads a fault, which may be given as a boolean or a number. Returns false if
 * it is neither. */
static bool
get_fault (JsonObject *body, const char *name, int64_t *value)
{
  bool flag = false;

  if (gr_json_get_bool (body, name, *value != 0, &flag)
      && json_object_has_member (body, name))
    {
      *value = flag;
      return true;
    }
  return gr_json_get_int (body, name, 0, INT32_MAX, *value, value);
}

static bool
set_faults (struct gr_standin *standin, JsonObject *body)
{
  struct gr_standin_faults faults = standin->faults;

  for (size_t i = 0; i < G_N_ELEMENTS (fault_members); i++)
    if (!get_fault (
            body, fault_members[i].name,
            (int64_t *)(void *)((char *)&faults + fault_members[i].offset)))
      return false;
  if (standin->ops->control != NULL
      && !standin->ops->control (body, standin->context))
    return false;
  standin->faults = faults;
  return true;
}

static void
handle_control (struct gr_standin *standin, SoupServerMessage *message)
{
  const char *method = soup_server_message_get_method (message);
  struct gr_error error = GR_ERROR_INIT;
  JsonObject *body = NULL;
  GBytes *raw;
  bool valid = true;

  if (strcmp (method, "POST") == 0)
    {
      raw = soup_message_body_flatten (
          soup_server_message_get_request_body (message));
      body = gr_json_parse (raw, &error);
      valid = body != NULL && set_faults (standin, body);
      g_clear_pointer (&body, json_object_unref);
      g_bytes_unref (raw);
    }
  set_response (message, valid ? 200 : 400, describe (standin));
}

static void
apply_call (struct gr_standin_call *call)
{
  call->standin->ops->apply (call, call->standin->context);
}

static void
start_call (struct gr_standin_call *call)
{
  struct gr_standin_faults *faults = &call->standin->faults;

  if (faults->down)
    gr_standin_drop (call);
  else if (faults->silent)
    gr_standin_delay (call, SILENT_HOLD_MS, gr_standin_drop);
  else if (call->is_write && faults->lose_requests > 0)
    {
      faults->lose_requests--;
      gr_standin_drop (call);
    }
  else if (call->is_write && faults->late_writes > 0)
    {
      faults->late_writes--;
      gr_standin_delay (call, faults->late_ms, apply_call);
    }
  else if (faults->delay_ms > 0)
    gr_standin_delay (call, faults->delay_ms, apply_call);
  else
    apply_call (call);
}

/* Counts a call. The third segment of a path, which is an id, is replaced by
 * "*", because one entry for each id would let the table grow without bound.
 * Paths below /v3/ contain no ids. */
static void
count_path (struct gr_standin *standin, const char *path)
{
  char **segments = g_strsplit (path, "/", 5);
  char *name;
  int count;

  if (g_strv_length (segments) >= 4)
    {
      g_free (segments[3]);
      segments[3] = g_strdup ("*");
    }
  name = g_str_has_prefix (path, "/v3/") ? g_strdup (path)
                                         : g_strjoinv ("/", segments);
  count = GPOINTER_TO_INT (g_hash_table_lookup (standin->counts, name));
  g_hash_table_replace (standin->counts, name, GINT_TO_POINTER (count + 1));
  g_strfreev (segments);
}

static void
handle_call (SoupServerMessage *message,
             const char *path,
             GHashTable *query,
             void *context)
{
  struct gr_standin *standin = context;
  struct gr_error ignored = GR_ERROR_INIT;
  struct gr_standin_call *call;

  (void)query;
  if (strcmp (path, "/control") == 0)
    {
      handle_control (standin, message);
      return;
    }
  count_path (standin, path);
  call = g_new0 (struct gr_standin_call, 1);
  call->standin = standin;
  call->message = g_object_ref (message);
  call->path = g_strdup (path);
  call->method = soup_server_message_get_method (message);
  call->raw_body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  call->body = gr_json_parse (call->raw_body, &ignored);
  call->is_write = standin->ops->is_write && standin->ops->is_write (call);
  g_hash_table_add (standin->calls, call);
  soup_server_message_pause (message);
  start_call (call);
}

struct gr_standin *
gr_standin_create (const char *listen,
                   const struct gr_standin_ops *ops,
                   void *context,
                   struct gr_error *error)
{
  struct gr_standin *standin = g_new0 (struct gr_standin, 1);
  struct gr_http_server_limits limits = gr_http_server_default_limits ();

  standin->ops = ops;
  standin->context = context;
  standin->counts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  standin->calls = g_hash_table_new (NULL, NULL);
  standin->server = gr_http_server_create (listen, &limits, NULL, handle_call,
                                           standin, error);
  if (standin->server == NULL)
    {
      gr_standin_destroy (standin);
      return NULL;
    }
  return standin;
}

void
gr_standin_destroy (struct gr_standin *standin)
{
  GHashTableIter iter;
  void *call;

  if (standin == NULL)
    return;
  g_hash_table_iter_init (&iter, standin->calls);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    {
      g_hash_table_iter_remove (&iter);
      call_free (call);
    }
  gr_http_server_destroy (standin->server);
  g_hash_table_destroy (standin->calls);
  g_hash_table_destroy (standin->counts);
  g_free (standin);
}

const char *
gr_standin_address (const struct gr_standin *standin)
{
  return gr_http_server_address (standin->server);
}

struct gr_standin_faults *
gr_standin_faults (struct gr_standin *standin)
{
  return &standin->faults;
}

int64_t
gr_standin_call_count (const struct gr_standin *standin, const char *path)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (standin->counts, path));
}
