#include "standins/executor.h"

#include "http/json.h"
#include "standins/register.h"
#include "standins/worker-model.h"

#include <string.h>

enum
{
  FAULT_FAIL_ALL,         /* replies with status 500 after the run */
  FAULT_REFUSE_ALL,       /* replies with status 503 and "not-run" */
  FAULT_LEAVING,          /* like FAULT_REFUSE_ALL, and sets "Leaving" */
  FAULT_WRONG_KEY,        /* replies with the key of an earlier request */
  FAULT_TRUNCATE,         /* sends half of the body and closes */
  FAULT_CLOSE_AFTER_READ, /* runs the request and closes without a reply */
  FAULT_DUPLICATE,        /* sends the response twice */
  FAULT_NO_LENGTH,        /* sends half of a body without a length */
  FAULT_CUT_CHUNK,        /* closes in the middle of a chunk */
  FAULT_CUT_CHUNKS,       /* closes between two chunks */
  N_FAULTS
};

static const char *const fault_names[N_FAULTS] = {
  [FAULT_FAIL_ALL] = "fail_all",
  [FAULT_REFUSE_ALL] = "refuse_all",
  [FAULT_LEAVING] = "leaving",
  [FAULT_WRONG_KEY] = "wrong_key",
  [FAULT_TRUNCATE] = "truncate",
  [FAULT_CLOSE_AFTER_READ] = "close_after_read",
  [FAULT_DUPLICATE] = "duplicate",
  [FAULT_NO_LENGTH] = "no_length",
  [FAULT_CUT_CHUNK] = "cut_chunk",
  [FAULT_CUT_CHUNKS] = "cut_chunks",
};

struct gr_standin_executor
{
  struct gr_standin *base;
  struct gr_registration *registration;
  char *name;
  GHashTable *keys; /* key -> struct gr_executor_key_counts */
  char *last_key;   /* of the last response, for FAULT_WRONG_KEY */
  uint32_t slots;
  uint32_t busy;
  uint32_t max_busy;
  int64_t late_ms; /* delay between the end of a run and its reply */
  bool faults[N_FAULTS];
};

static void
key_counts_free (void *data)
{
  struct gr_executor_key_counts *counts = data;

  g_free (counts->key);
  g_free (counts);
}

static struct gr_executor_key_counts *
find_or_add_key (struct gr_standin_executor *executor, const char *name)
{
  struct gr_executor_key_counts *counts =
      g_hash_table_lookup (executor->keys, name);

  if (counts == NULL)
    {
      counts = g_new0 (struct gr_executor_key_counts, 1);
      counts->key = g_strdup (name);
      g_hash_table_insert (executor->keys, counts->key, counts);
    }
  return counts;
}

static const char *
get_request_key (const struct gr_standin_call *call)
{
  const char *key = soup_message_headers_get_one (
      soup_server_message_get_request_headers (call->message), "Request-Key");

  return key ? key : "";
}

static void
set_header (struct gr_standin_call *call, const char *name, const char *value)
{
  soup_message_headers_replace (
      soup_server_message_get_response_headers (call->message), name, value);
}

static void
set_busy_header (struct gr_standin_executor *executor,
                 struct gr_standin_call *call)
{
  char text[16];

  g_snprintf (text, sizeof text, "%u", executor->busy);
  set_header (call, "Slots-Busy", text);
}

static void
refuse (struct gr_standin_executor *executor, struct gr_standin_call *call)
{
  find_or_add_key (executor, get_request_key (call))->refused++;
  set_busy_header (executor, call);
  set_header (call, "Run-State", "not-run");
  if (executor->faults[FAULT_LEAVING])
    set_header (call, "Leaving", "true");
  gr_standin_reply (call, 503, NULL);
}

/* Returns the head of a response as text. header is one more header line with
 * its "\r\n", or "". */
static GString *
raw_response_head (struct gr_standin_call *call, const char *header)
{
  GString *text = g_string_new ("HTTP/1.1 200 OK\r\n");

  g_string_append_printf (text, "Request-Key: %s\r\n%s\r\n",
                          get_request_key (call), header);
  return text;
}

/* Returns a response as text. Content-Length is that of the whole body, but
 * only the first part_bytes of the body are included. */
static GString *
raw_response (struct gr_standin_call *call, size_t part_bytes)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (call->raw_body, &size);
  char *length =
      g_strdup_printf ("Content-Length: %" G_GSIZE_FORMAT "\r\n", size);
  GString *text = raw_response_head (call, length);

  g_string_append_len (text, data, (gssize)MIN (part_bytes, size));
  g_free (length);
  return text;
}

static GString *
raw_unfinished_response (struct gr_standin_call *call,
                         const char *header,
                         const char *body)
{
  GString *text = raw_response_head (call, header);

  return g_string_append (text, body);
}

static void
send_raw (struct gr_standin_call *call, GString *text)
{
  gr_http_server_send_raw (call->message, text->str, text->len);
  g_string_free (text, TRUE);
  gr_standin_free_call (call);
}

static void
send_duplicate (struct gr_standin_call *call)
{
  GString *text = raw_response (call, SIZE_MAX);
  GString *copy = raw_response (call, SIZE_MAX);

  g_string_append_len (text, copy->str, (gssize)copy->len);
  g_string_free (copy, TRUE);
  send_raw (call, text);
}

static void
send_response (struct gr_standin_executor *executor,
               struct gr_standin_call *call)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (call->raw_body, &size);
  const char *type = soup_message_headers_get_content_type (
      soup_server_message_get_request_headers (call->message), NULL);
  bool wrong_key = executor->faults[FAULT_WRONG_KEY];

  soup_server_message_set_status (
      call->message, executor->faults[FAULT_FAIL_ALL] ? 500 : 200, NULL);
  soup_server_message_set_response (call->message,
                                    type ? type : "application/octet-stream",
                                    SOUP_MEMORY_COPY, data, size);
  set_header (call, "Request-Key",
              wrong_key ? executor->last_key : get_request_key (call));
  set_header (call, "Executor", executor->name);
  set_busy_header (executor, call);
  if (!wrong_key)
    {
      g_free (executor->last_key);
      executor->last_key = g_strdup (get_request_key (call));
    }
  gr_standin_send_reply (call);
}

static struct gr_standin_executor *
get_executor (struct gr_standin_call *call)
{
  return g_object_get_data (G_OBJECT (call->message), "gr-executor");
}

static void
reply_to_run (struct gr_standin_call *call)
{
  static const char chunked[] = "Transfer-Encoding: chunked\r\n";
  struct gr_standin_executor *executor = get_executor (call);
  size_t half = g_bytes_get_size (call->raw_body) / 2;

  if (executor->faults[FAULT_CLOSE_AFTER_READ])
    gr_standin_drop (call);
  else if (executor->faults[FAULT_TRUNCATE])
    send_raw (call, raw_response (call, half));
  else if (executor->faults[FAULT_NO_LENGTH])
    send_raw (call, raw_unfinished_response (call, "", "half"));
  else if (executor->faults[FAULT_CUT_CHUNK])
    send_raw (call, raw_unfinished_response (call, chunked, "8\r\nhalf"));
  else if (executor->faults[FAULT_CUT_CHUNKS])
    send_raw (call, raw_unfinished_response (call, chunked, "4\r\nhalf\r\n"));
  else if (executor->faults[FAULT_DUPLICATE])
    send_duplicate (call);
  else
    send_response (executor, call);
}

static void
finish_run (struct gr_standin_call *call)
{
  struct gr_standin_executor *executor = get_executor (call);

  executor->busy--;
  find_or_add_key (executor, get_request_key (call))->finished++;
  if (executor->late_ms > 0)
    gr_standin_delay (call, executor->late_ms, reply_to_run);
  else
    reply_to_run (call);
}

static void
apply_run (struct gr_standin_executor *executor, struct gr_standin_call *call)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (call->raw_body, &size);
  struct gr_executor_key_counts *counts =
      find_or_add_key (executor, get_request_key (call));

  counts->arrived++;
  if (executor->faults[FAULT_LEAVING] || executor->faults[FAULT_REFUSE_ALL]
      || executor->busy >= executor->slots)
    {
      refuse (executor, call);
      return;
    }
  counts->started++;
  executor->busy++;
  executor->max_busy = MAX (executor->max_busy, executor->busy);
  g_object_set_data (G_OBJECT (call->message), "gr-executor", executor);
  gr_standin_delay (call, gr_spec_get_number (data, size, "run_ms", 0),
                    finish_run);
}

static void
apply_status (struct gr_standin_executor *executor,
              struct gr_standin_call *call)
{
  JsonObject *answer = json_object_new ();

  json_object_set_int_member (answer, "slots", executor->slots);
  json_object_set_int_member (answer, "busy", executor->busy);
  json_object_set_boolean_member (answer, "leaving",
                                  executor->faults[FAULT_LEAVING]);
  gr_standin_reply (call, 200, answer);
}

static void
apply (struct gr_standin_call *call, void *context)
{
  if (strcmp (call->path, "/v1/run") == 0 && strcmp (call->method, "POST") == 0)
    apply_run (context, call);
  else if (strcmp (call->path, "/v1/status") == 0)
    apply_status (context, call);
  else
    gr_standin_reply (call, 404, NULL);
}

static bool
is_write (const struct gr_standin_call *call)
{
  return strcmp (call->path, "/v1/run") == 0;
}

static void
describe (JsonObject *answer, void *context)
{
  struct gr_standin_executor *executor = context;
  JsonObject *keys = json_object_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, executor->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gr_executor_key_counts *counts = value;
      JsonObject *item = json_object_new ();

      json_object_set_int_member (item, "arrived", counts->arrived);
      json_object_set_int_member (item, "refused", counts->refused);
      json_object_set_int_member (item, "started", counts->started);
      json_object_set_int_member (item, "finished", counts->finished);
      json_object_set_object_member (keys, counts->key, item);
    }
  json_object_set_string_member (answer, "name", executor->name);
  json_object_set_int_member (answer, "slots", executor->slots);
  json_object_set_int_member (answer, "busy", executor->busy);
  json_object_set_int_member (answer, "max_busy", executor->max_busy);
  json_object_set_object_member (answer, "keys", keys);
}

static bool
control (JsonObject *body, void *context)
{
  struct gr_standin_executor *executor = context;
  bool was_leaving = executor->faults[FAULT_LEAVING];

  for (int i = 0; i < N_FAULTS; i++)
    if (!gr_json_get_bool (body, fault_names[i], executor->faults[i],
                           &executor->faults[i]))
      return false;
  if (executor->faults[FAULT_LEAVING] != was_leaving)
    gr_registration_set_leaving (executor->registration, !was_leaving);
  return gr_json_get_int (body, "late_ms", 0, 600000, executor->late_ms,
                          &executor->late_ms);
}

static const struct gr_standin_ops ops = {
  .is_write = is_write,
  .apply = apply,
  .describe = describe,
  .control = control,
};

struct gr_standin_executor *
gr_standin_executor_create (const char *listen,
                            const struct gr_standin_executor_settings *settings,
                            struct gr_error *error)
{
  struct gr_standin_executor *executor = g_new0 (struct gr_standin_executor, 1);

  executor->name = g_strdup (settings->name);
  executor->slots = settings->slots;
  executor->last_key = g_strdup ("none");
  executor->keys =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, key_counts_free);
  executor->base = gr_standin_create (listen, &ops, executor, error);
  if (executor->base == NULL)
    {
      gr_standin_executor_destroy (executor);
      return NULL;
    }
  executor->registration = gr_registration_create (
      settings->instances_url, settings->name, "executor",
      settings->data_centre, gr_standin_address (executor->base));
  return executor;
}

void
gr_standin_executor_destroy (struct gr_standin_executor *executor)
{
  if (executor == NULL)
    return;
  gr_registration_destroy (executor->registration);
  gr_standin_destroy (executor->base);
  g_hash_table_destroy (executor->keys);
  g_free (executor->last_key);
  g_free (executor->name);
  g_free (executor);
}

struct gr_standin *
gr_standin_executor_base (struct gr_standin_executor *executor)
{
  return executor->base;
}

const struct gr_executor_key_counts *
gr_standin_executor_key_counts (const struct gr_standin_executor *executor,
                                const char *key)
{
  return g_hash_table_lookup (executor->keys, key);
}
