#include "kv/kv-codec.h"

#include "http/json.h"

#include <string.h>

struct gr_kv_txn
{
  JsonArray *compares;
  JsonArray *writes;
  JsonArray *gets;
};

static void
set_base64 (JsonObject *object, const char *name, const void *data, size_t size)
{
  char *text = g_base64_encode (data, size);

  json_object_set_string_member (object, name, text);
  g_free (text);
}

static void
set_int (JsonObject *object, const char *name, int64_t value)
{
  char text[32];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, value);
  json_object_set_string_member (object, name, text);
}

static JsonObject *
key_object (const char *key)
{
  JsonObject *object = json_object_new ();

  set_base64 (object, "key", key, strlen (key));
  return object;
}

/* Sets range_end to the first key after all keys with this prefix, or to "\0"
 * (no end) for an empty prefix. Keys are ASCII, so the last byte can always be
 * incremented. */
static void
set_range_end (JsonObject *object, const char *prefix)
{
  size_t size = strlen (prefix);
  char *end = g_strdup (prefix);

  if (size == 0)
    set_base64 (object, "range_end", "", 1);
  else
    {
      end[size - 1]++;
      set_base64 (object, "range_end", end, size);
    }
  g_free (end);
}

GBytes *
gr_kv_encode_range (const char *key, bool prefix, int64_t min_mod_revision)
{
  JsonObject *object = key_object (key);

  if (prefix)
    set_range_end (object, key);
  if (min_mod_revision > 0)
    set_int (object, "min_mod_revision", min_mod_revision);
  return gr_json_to_bytes (object);
}

GBytes *
gr_kv_encode_lease (int64_t ttl_s, int64_t lease)
{
  JsonObject *object = json_object_new ();

  if (ttl_s > 0)
    set_int (object, "TTL", ttl_s);
  if (lease != 0)
    set_int (object, "ID", lease);
  return gr_json_to_bytes (object);
}

struct gr_kv_txn *
gr_kv_txn_create (void)
{
  struct gr_kv_txn *txn = g_new0 (struct gr_kv_txn, 1);

  txn->compares = json_array_new ();
  txn->writes = json_array_new ();
  txn->gets = json_array_new ();
  return txn;
}

void
gr_kv_txn_destroy (struct gr_kv_txn *txn)
{
  if (txn == NULL)
    return;
  json_array_unref (txn->compares);
  json_array_unref (txn->writes);
  json_array_unref (txn->gets);
  g_free (txn);
}

static JsonObject *
add_compare (struct gr_kv_txn *txn, const char *key, const char *target)
{
  JsonObject *compare = key_object (key);

  json_object_set_string_member (compare, "target", target);
  json_object_set_string_member (compare, "result", "EQUAL");
  json_array_add_object_element (txn->compares, compare);
  return compare;
}

void
gr_kv_txn_if_created_at (struct gr_kv_txn *txn,
                         const char *key,
                         int64_t create_revision)
{
  set_int (add_compare (txn, key, "CREATE"), "create_revision",
           create_revision);
}

void
gr_kv_txn_if_modified_at (struct gr_kv_txn *txn,
                          const char *key,
                          int64_t mod_revision)
{
  set_int (add_compare (txn, key, "MOD"), "mod_revision", mod_revision);
}

void
gr_kv_txn_if_value (struct gr_kv_txn *txn,
                    const char *key,
                    const void *value,
                    size_t size)
{
  set_base64 (add_compare (txn, key, "VALUE"), "value", value, size);
}

static void
add_operation (JsonArray *list, const char *name, JsonObject *operation)
{
  JsonObject *wrapper = json_object_new ();

  json_object_set_object_member (wrapper, name, operation);
  json_array_add_object_element (list, wrapper);
}

void
gr_kv_txn_put (struct gr_kv_txn *txn,
               const char *key,
               const void *value,
               size_t size,
               int64_t lease)
{
  JsonObject *put = key_object (key);

  set_base64 (put, "value", value, size);
  if (lease != 0)
    set_int (put, "lease", lease);
  add_operation (txn->writes, "request_put", put);
}

void
gr_kv_txn_delete (struct gr_kv_txn *txn, const char *key)
{
  add_operation (txn->writes, "request_delete_range", key_object (key));
}

void
gr_kv_txn_else_get (struct gr_kv_txn *txn, const char *key)
{
  add_operation (txn->gets, "request_range", key_object (key));
}

GBytes *
gr_kv_encode_txn (const struct gr_kv_txn *txn)
{
  JsonObject *object = json_object_new ();

  json_object_set_array_member (object, "compare",
                                json_array_ref (txn->compares));
  json_object_set_array_member (object, "success",
                                json_array_ref (txn->writes));
  json_object_set_array_member (object, "failure", json_array_ref (txn->gets));
  return gr_json_to_bytes (object);
}

static bool
decode_entry (JsonObject *object, struct gr_kv_entry *entry)
{
  const char *key = gr_json_peek_string (object, "key");
  const char *value = gr_json_peek_string (object, "value");
  size_t key_size = 0;

  if (key == NULL
      || (value == NULL && json_object_has_member (object, "value")))
    return false;
  entry->key = gr_json_decode_base64 (key, &key_size);
  entry->value = gr_json_decode_base64 (value ? value : "", &entry->size);
  if (entry->key == NULL || entry->value == NULL)
    return false;
  return strlen (entry->key) == key_size
         && gr_json_get_int (object, "create_revision", 0, INT64_MAX, 0,
                             &entry->create_revision)
         && gr_json_get_int (object, "mod_revision", 0, INT64_MAX, 0,
                             &entry->mod_revision)
         && gr_json_get_int (object, "lease", INT64_MIN, INT64_MAX, 0,
                             &entry->lease);
}

static bool
decode_entries (JsonObject *object, GArray *entries)
{
  JsonArray *list = NULL;

  if (!gr_json_get_array (object, "kvs", &list))
    return false;
  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *item = gr_json_array_object (list, i);
      struct gr_kv_entry entry = { 0 };
      bool valid = item != NULL && decode_entry (item, &entry);

      g_array_append_val (entries, entry); /* freed by gr_kv_result_clear () */
      if (!valid)
        return false;
    }
  return true;
}

static bool
decode_responses (JsonObject *object, GArray *entries)
{
  JsonArray *list = NULL;
  JsonObject *range = NULL;

  if (!gr_json_get_array (object, "responses", &list))
    return false;
  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *item = gr_json_array_object (list, i);

      if (item == NULL || !gr_json_get_object (item, "response_range", &range))
        return false;
      if (range != NULL && !decode_entries (range, entries))
        return false;
    }
  return true;
}

static bool
decode_object (JsonObject *object, struct gr_kv_result *result, GArray *entries)
{
  JsonObject *wrapped = NULL;
  JsonObject *header = NULL;

  /* A keepalive is a stream in etcd, whose JSON form wraps each response in
   * "result". */
  if (!gr_json_get_object (object, "result", &wrapped))
    return false;
  if (wrapped != NULL)
    object = wrapped;
  return gr_json_get_object (object, "header", &header) && header != NULL
         && gr_json_get_int (header, "revision", 0, INT64_MAX, 0,
                             &result->revision)
         && gr_json_get_bool (object, "succeeded", false, &result->succeeded)
         && gr_json_get_int (object, "ID", INT64_MIN, INT64_MAX, 0,
                             &result->lease)
         && gr_json_get_int (object, "TTL", INT32_MIN, INT32_MAX, 0,
                             &result->ttl_s)
         && decode_entries (object, entries)
         && decode_responses (object, entries);
}

bool
gr_kv_decode (GBytes *body, struct gr_kv_result *result, struct gr_error *error)
{
  JsonObject *object = gr_json_parse (body, error);
  GArray *entries;
  bool valid;

  memset (result, 0, sizeof *result);
  if (object == NULL)
    return false;
  entries = g_array_new (FALSE, FALSE, sizeof (struct gr_kv_entry));
  valid = decode_object (object, result, entries);
  result->n_entries = entries->len;
  result->entries = (struct gr_kv_entry *)(void *)g_array_free (entries, FALSE);
  json_object_unref (object);
  if (!valid)
    gr_error_set (error, GR_ERROR_PROTOCOL,
                  "the response of the key-value service is malformed");
  return valid;
}

void
gr_kv_result_clear (struct gr_kv_result *result)
{
  for (size_t i = 0; i < result->n_entries; i++)
    {
      g_free (result->entries[i].key);
      g_free (result->entries[i].value);
    }
  g_clear_pointer (&result->entries, g_free);
  result->n_entries = 0;
}
