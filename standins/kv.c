#include "standins/kv.h"

#include "http/json.h"
#include "standins/kv-store.h"

#include <string.h>

/* Limits of etcd's default configuration. */
#define MAX_TXN_OPERATIONS 128
#define MAX_REQUEST_BYTES ((size_t)1536 * 1024)

#define EXPIRE_INTERVAL_MS 50

struct gr_standin_kv
{
  struct gr_standin *base;
  struct gr_store *store;
  GSource *timer;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
set_int (JsonObject *object, const char *name, int64_t value)
{
  char text[32];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, value);
  json_object_set_string_member (object, name, text);
}

static JsonObject *
create_answer (struct gr_standin_kv *kv)
{
  JsonObject *answer = json_object_new ();
  JsonObject *header = json_object_new ();

  set_int (header, "revision", gr_store_revision (kv->store));
  json_object_set_object_member (answer, "header", header);
  return answer;
}

static void
reply_error (struct gr_standin_call *call,
             guint status,
             int code,
             const char *message)
{
  JsonObject *body = json_object_new ();

  json_object_set_string_member (body, "error", message);
  json_object_set_string_member (body, "message", message);
  json_object_set_int_member (body, "code", code);
  gr_standin_reply (call, status, body);
}

static void
reply_invalid (struct gr_standin_call *call)
{
  reply_error (call, 400, 3, "invalid argument");
}

static void
reply_no_lease (struct gr_standin_call *call)
{
  reply_error (call, 404, 5, "etcdserver: requested lease not found");
}

/* Returns the decoded key, to be freed with g_free (), or NULL if the member is
 * missing, is not base64, or contains a NUL byte. */
static char *
get_key (JsonObject *object, const char *name)
{
  const char *text = gr_json_peek_string (object, name);
  size_t size = 0;
  char *key = text ? gr_json_decode_base64 (text, &size) : NULL;

  if (key != NULL && strlen (key) != size)
    g_clear_pointer (&key, g_free);
  return key;
}

static GBytes *
get_value (JsonObject *object)
{
  const char *text = gr_json_peek_string (object, "value");
  size_t size = 0;
  char *value = gr_json_decode_base64 (text ? text : "", &size);

  return value ? g_bytes_new_take (value, size) : NULL;
}

struct range_context
{
  JsonArray *kvs;
  int64_t min_mod_revision;
};

static void
add_entry (const struct gr_store_entry *entry, void *context)
{
  struct range_context *range = context;
  JsonObject *kv;
  gsize size = 0;
  const void *value = g_bytes_get_data (entry->value, &size);
  char *text;

  if (entry->mod_revision < range->min_mod_revision)
    return;
  kv = json_object_new ();
  text = g_base64_encode ((const guchar *)entry->key, strlen (entry->key));
  json_object_set_string_member (kv, "key", text);
  g_free (text);
  text = g_base64_encode (value, size);
  json_object_set_string_member (kv, "value", text);
  g_free (text);
  set_int (kv, "create_revision", entry->create_revision);
  set_int (kv, "mod_revision", entry->mod_revision);
  set_int (kv, "version", entry->version);
  if (entry->lease != 0)
    set_int (kv, "lease", entry->lease);
  json_array_add_object_element (range->kvs, kv);
}

/* Adds the entries of a range request to answer. Returns false if the request
 * is malformed. */
static bool
do_range (struct gr_standin_kv *kv, JsonObject *request, JsonObject *answer)
{
  const char *end_text = gr_json_peek_string (request, "range_end");
  struct range_context range = { .kvs = json_array_new () };
  char *key = get_key (request, "key");
  char *end = NULL;
  size_t end_size = 0;
  const struct gr_store_entry *entry;
  bool valid = key != NULL
               && gr_json_get_int (request, "min_mod_revision", 0, INT64_MAX, 0,
                                   &range.min_mod_revision);

  if (end_text != NULL)
    end = gr_json_decode_base64 (end_text, &end_size);
  valid = valid && (end_text == NULL || end != NULL);
  if (valid && end == NULL)
    {
      entry = gr_store_get (kv->store, key);
      if (entry != NULL)
        add_entry (entry, &range);
    }
  else if (valid)
    /* A range_end of one NUL byte selects all keys >= key. */
    gr_store_scan (kv->store, key, end[0] == '\0' ? NULL : end, add_entry,
                   &range);
  set_int (answer, "count", json_array_get_length (range.kvs));
  json_object_set_array_member (answer, "kvs", range.kvs);
  g_free (key);
  g_free (end);
  return valid;
}

static bool
compare_values (const struct gr_store_entry *entry, JsonObject *compare)
{
  GBytes *expected = get_value (compare);
  bool equal = expected != NULL && entry != NULL
               && g_bytes_equal (expected, entry->value);

  if (expected != NULL)
    g_bytes_unref (expected);
  return equal;
}

static bool
compare_number (JsonObject *compare, const char *name, int64_t actual)
{
  int64_t expected = 0;

  return gr_json_get_int (compare, name, 0, INT64_MAX, 0, &expected)
         && expected == actual;
}

static bool
compare_matches (struct gr_standin_kv *kv, JsonObject *compare)
{
  const char *target = gr_json_peek_string (compare, "target");
  char *key = get_key (compare, "key");
  const struct gr_store_entry *entry = gr_store_get (kv->store, key);
  bool matches;

  g_free (key);
  if (strcmp (target, "CREATE") == 0)
    matches = compare_number (compare, "create_revision",
                              entry ? entry->create_revision : 0);
  else if (strcmp (target, "MOD") == 0)
    matches = compare_number (compare, "mod_revision",
                              entry ? entry->mod_revision : 0);
  else
    matches = compare_values (entry, compare);
  return matches;
}

static bool
compare_is_valid (JsonObject *compare)
{
  const char *target = gr_json_peek_string (compare, "target");
  const char *result = gr_json_peek_string (compare, "result");
  char *key = get_key (compare, "key");
  bool valid = key != NULL && target != NULL
               && (result == NULL || strcmp (result, "EQUAL") == 0)
               && (strcmp (target, "CREATE") == 0 || strcmp (target, "MOD") == 0
                   || strcmp (target, "VALUE") == 0);

  g_free (key);
  return valid;
}

/* Returns the object that an operation holds under this name, or NULL. */
static JsonObject *
get_operation (JsonObject *operation, const char *name)
{
  JsonObject *inner = NULL;

  return gr_json_get_object (operation, name, &inner) ? inner : NULL;
}

/* keys is the set of keys that this branch of the transaction writes so far:
 * etcd rejects transactions that write a key twice. Sets lease_missing if the
 * operation refers to a lease that does not exist. */
static bool
operation_is_valid (struct gr_standin_kv *kv,
                    JsonObject *operation,
                    GHashTable *keys,
                    bool *lease_missing)
{
  JsonObject *put = get_operation (operation, "request_put");
  JsonObject *delete = get_operation (operation, "request_delete_range");
  JsonObject *range = get_operation (operation, "request_range");
  JsonObject *inner = put ? put : delete ? delete : range;
  int64_t lease = 0;
  char *key = inner ? get_key (inner, "key") : NULL;
  GBytes *value;

  if (key == NULL)
    return false;
  if (range != NULL)
    {
      g_free (key);
      return true;
    }
  if (!g_hash_table_add (keys, key)) /* takes ownership of key */
    return false;
  if (put == NULL)
    return true;
  value = get_value (put);
  if (value == NULL || !gr_json_get_int (put, "lease", 0, INT64_MAX, 0, &lease))
    return false;
  g_bytes_unref (value);
  if (lease != 0 && !gr_store_has_lease (kv->store, lease))
    *lease_missing = true;
  return true;
}

static bool
branch_is_valid (struct gr_standin_kv *kv, JsonArray *list, bool *lease_missing)
{
  GHashTable *keys =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool valid =
      list == NULL || json_array_get_length (list) <= MAX_TXN_OPERATIONS;

  for (guint i = 0; valid && list && i < json_array_get_length (list); i++)
    {
      JsonObject *operation = gr_json_array_object (list, i);

      valid = operation != NULL
              && operation_is_valid (kv, operation, keys, lease_missing);
    }
  g_hash_table_destroy (keys);
  return valid;
}

static JsonObject *
do_operation (struct gr_standin_kv *kv, JsonObject *operation)
{
  JsonObject *put = get_operation (operation, "request_put");
  JsonObject *delete = get_operation (operation, "request_delete_range");
  JsonObject *response = json_object_new ();
  JsonObject *inner = json_object_new ();
  char *key = get_key (put ? put : delete ? delete : inner, "key");
  int64_t lease = 0;
  GBytes *value;

  if (put != NULL)
    {
      value = get_value (put);
      gr_json_get_int (put, "lease", 0, INT64_MAX, 0, &lease);
      gr_store_put (kv->store, key, value, lease);
      g_bytes_unref (value);
      json_object_set_object_member (response, "response_put", inner);
    }
  else if (delete != NULL)
    {
      set_int (inner, "deleted", gr_store_delete (kv->store, key));
      json_object_set_object_member (response, "response_delete_range", inner);
    }
  else
    {
      do_range (kv, get_operation (operation, "request_range"), inner);
      json_object_set_object_member (response, "response_range", inner);
    }
  g_free (key);
  return response;
}

/* Returns whether all compares match. Sets valid to false if one is
 * malformed. */
static bool
do_compares (struct gr_standin_kv *kv, JsonArray *list, bool *valid)
{
  bool matches = true;

  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *compare = gr_json_array_object (list, i);

      if (compare == NULL || !compare_is_valid (compare))
        {
          *valid = false;
          return false;
        }
      matches = matches && compare_matches (kv, compare);
    }
  return matches;
}

static void
apply_txn (struct gr_standin_kv *kv, struct gr_standin_call *call)
{
  JsonArray *compares = NULL;
  JsonArray *success = NULL;
  JsonArray *failure = NULL;
  JsonArray *branch;
  JsonArray *responses;
  JsonObject *answer;
  bool valid = gr_json_get_array (call->body, "compare", &compares)
               && gr_json_get_array (call->body, "success", &success)
               && gr_json_get_array (call->body, "failure", &failure);
  bool lease_missing = false;
  bool matches = valid && do_compares (kv, compares, &valid);

  valid = valid && branch_is_valid (kv, success, &lease_missing)
          && branch_is_valid (kv, failure, &lease_missing);
  if (!valid || lease_missing)
    {
      if (!valid)
        reply_invalid (call);
      else
        reply_no_lease (call);
      return;
    }
  branch = matches ? success : failure;
  responses = json_array_new ();
  for (guint i = 0; branch && i < json_array_get_length (branch); i++)
    json_array_add_object_element (
        responses, do_operation (kv, gr_json_array_object (branch, i)));
  gr_store_end_transaction (kv->store);
  answer = create_answer (kv);
  json_object_set_boolean_member (answer, "succeeded", matches);
  json_object_set_array_member (answer, "responses", responses);
  gr_standin_reply (call, 200, answer);
}

static void
apply_range (struct gr_standin_kv *kv, struct gr_standin_call *call)
{
  JsonObject *answer = create_answer (kv);

  if (do_range (kv, call->body, answer))
    {
      gr_standin_reply (call, 200, answer);
      return;
    }
  json_object_unref (answer);
  reply_invalid (call);
}

static void
apply_grant (struct gr_standin_kv *kv, struct gr_standin_call *call)
{
  JsonObject *answer;
  int64_t ttl_s = 0;

  if (!gr_json_get_int (call->body, "TTL", 1, 9000000000, 0, &ttl_s)
      || ttl_s == 0)
    {
      reply_invalid (call);
      return;
    }
  answer = create_answer (kv);
  set_int (answer, "ID", gr_store_grant (kv->store, ttl_s, now_ms ()));
  set_int (answer, "TTL", ttl_s);
  gr_standin_reply (call, 200, answer);
}

static void
apply_keepalive (struct gr_standin_kv *kv, struct gr_standin_call *call)
{
  JsonObject *answer = json_object_new ();
  JsonObject *inner = create_answer (kv);
  int64_t lease = 0;
  int64_t ttl_s;

  gr_json_get_int (call->body, "ID", 0, INT64_MAX, 0, &lease);
  ttl_s = gr_store_keepalive (kv->store, lease, now_ms ());
  set_int (inner, "ID", lease);
  /* etcd omits fields with the value 0 from JSON. */
  if (ttl_s > 0)
    set_int (inner, "TTL", ttl_s);
  json_object_set_object_member (answer, "result", inner);
  gr_standin_reply (call, 200, answer);
}

static void
apply_revoke (struct gr_standin_kv *kv, struct gr_standin_call *call)
{
  int64_t lease = 0;

  gr_json_get_int (call->body, "ID", 0, INT64_MAX, 0, &lease);
  if (gr_store_revoke (kv->store, lease))
    gr_standin_reply (call, 200, create_answer (kv));
  else
    reply_no_lease (call);
}

static const struct
{
  const char *path;
  bool is_write;
  void (*apply) (struct gr_standin_kv *kv, struct gr_standin_call *call);
} routes[] = {
  { "/v3/kv/range", false, apply_range },
  { "/v3/kv/txn", true, apply_txn },
  { "/v3/lease/grant", true, apply_grant },
  { "/v3/lease/keepalive", true, apply_keepalive },
  { "/v3/lease/revoke", true, apply_revoke },
};

static bool
is_write (const struct gr_standin_call *call)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (routes[i].path, call->path) == 0)
      return routes[i].is_write;
  return false;
}

static void
apply (struct gr_standin_call *call, void *context)
{
  struct gr_standin_kv *kv = context;

  gr_store_expire (kv->store, now_ms ());
  if (call->body == NULL
      || g_bytes_get_size (call->raw_body) > MAX_REQUEST_BYTES)
    {
      reply_invalid (call);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (routes[i].path, call->path) == 0)
      {
        routes[i].apply (kv, call);
        return;
      }
  reply_error (call, 404, 5, "Not Found");
}

static gboolean
expire_leases (gpointer data)
{
  struct gr_standin_kv *kv = data;

  gr_store_expire (kv->store, now_ms ());
  return G_SOURCE_CONTINUE;
}

static const struct gr_standin_ops ops = {
  .is_write = is_write,
  .apply = apply,
};

struct gr_standin_kv *
gr_standin_kv_create (const char *listen, struct gr_error *error)
{
  struct gr_standin_kv *kv = g_new0 (struct gr_standin_kv, 1);

  kv->store = gr_store_create ();
  kv->base = gr_standin_create (listen, &ops, kv, error);
  kv->timer = g_timeout_source_new (EXPIRE_INTERVAL_MS);
  g_source_set_callback (kv->timer, expire_leases, kv, NULL);
  g_source_attach (kv->timer, NULL);
  if (kv->base == NULL)
    g_clear_pointer (&kv, gr_standin_kv_destroy);
  return kv;
}

void
gr_standin_kv_destroy (struct gr_standin_kv *kv)
{
  if (kv == NULL)
    return;
  g_source_destroy (kv->timer);
  g_source_unref (kv->timer);
  gr_standin_destroy (kv->base);
  gr_store_destroy (kv->store);
  g_free (kv);
}

struct gr_standin *
gr_standin_kv_base (struct gr_standin_kv *kv)
{
  return kv->base;
}
