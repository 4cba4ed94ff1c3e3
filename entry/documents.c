#include "entry/documents.h"

#include "entry/history.h"
#include "entry/publish.h"

#include <string.h>

#define TEAM_PREFIX "teams/"

bool
gr_documents_authorize (struct gr_exchange *exchange,
                        const char *path,
                        struct gr_error *error)
{
  if (g_str_has_prefix (path, TEAM_PREFIX))
    return gr_exchange_authorize_account (exchange, path + strlen (TEAM_PREFIX),
                                          error);
  return gr_exchange_authorize_operator (exchange, error);
}

/* Validates the path and checks the client's access. On failure sends the
 * error response and returns false. */
static bool
check_path (struct gr_exchange *exchange, enum gr_document_kind *kind)
{
  struct gr_error error = GR_ERROR_INIT;

  if (gr_document_kind_of_path (exchange->path_suffix, kind, &error)
      && gr_documents_authorize (exchange, exchange->path_suffix, &error))
    return true;
  gr_exchange_fail (exchange, &error);
  return false;
}

void
gr_documents_list (struct gr_exchange *exchange)
{
  struct gr_entry *entry = exchange->entry;
  const char *prefix = gr_exchange_query (exchange, "prefix");
  GPtrArray *paths =
      gr_settings_store_paths (entry->store, prefix != NULL ? prefix : "");
  JsonObject *response = json_object_new ();
  JsonArray *list = json_array_new ();

  for (guint i = 0; i < paths->len; i++)
    {
      struct gr_error error = GR_ERROR_INIT;
      JsonObject *item;
      int64_t revision;

      if (!gr_documents_authorize (exchange, paths->pdata[i], &error))
        continue;
      gr_settings_store_get (entry->store, paths->pdata[i], &revision);
      item = json_object_new ();
      json_object_set_string_member (item, "path", paths->pdata[i]);
      json_object_set_int_member (item, "revision", revision);
      json_array_add_object_element (list, item);
    }
  g_ptr_array_unref (paths);
  json_object_set_array_member (response, "paths", list);
  gr_exchange_send_json (exchange, 200, response);
}

void
gr_documents_get (struct gr_exchange *exchange)
{
  struct gr_entry *entry = exchange->entry;
  struct gr_error error = GR_ERROR_INIT;
  enum gr_document_kind kind;
  const char *text;
  int64_t revision;
  char etag[32];

  if (!check_path (exchange, &kind))
    return;
  text = gr_settings_store_get (entry->store, exchange->path_suffix, &revision);
  if (!gr_settings_store_is_current (entry->store))
    {
      gr_error_set (
          &error, GR_ERROR_STALE_SETTINGS,
          "this instance cannot confirm that its settings are current");
      gr_exchange_fail (exchange, &error);
      return;
    }
  if (text == NULL || text[0] == '\0')
    {
      gr_error_set (&error, GR_ERROR_NOT_FOUND,
                    "document \"%s\" does not exist", exchange->path_suffix);
      gr_exchange_fail (exchange, &error);
      return;
    }
  g_snprintf (etag, sizeof etag, "\"%" G_GINT64_FORMAT "\"", (gint64)revision);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (exchange->message), "ETag",
      etag);
  gr_exchange_send_bytes (exchange, 200, "text/plain; charset=utf-8",
                          g_bytes_new (text, strlen (text)));
}

/* Reads the revision from the header If-Match, with or without quotes. */
static bool
read_if_match (struct gr_exchange *exchange,
               int64_t *revision,
               struct gr_error *error)
{
  const char *header = gr_exchange_header (exchange, "If-Match");
  char *text;
  size_t size;
  guint64 value = 0;
  bool valid;

  if (header == NULL)
    return gr_error_set (error, GR_ERROR_PRECONDITION_REQUIRED,
                         "the header If-Match: \"REVISION\" is missing; use "
                         "\"0\" for a new path");
  text = g_strstrip (g_strdup (header));
  size = strlen (text);
  if (size >= 2 && text[0] == '"' && text[size - 1] == '"')
    {
      text[size - 1] = '\0';
      memmove (text, text + 1, size - 1);
    }
  valid = g_ascii_string_to_unsigned (text, 10, 0, INT64_MAX, &value, NULL);
  g_free (text);
  *revision = (int64_t)value;
  return valid
         || gr_error_set (error, GR_ERROR_BAD_REQUEST,
                          "If-Match must be a revision in quotes");
}

/* Returns the modification revision for the compare-and-swap. If-Match "0"
 * means that there is no document: its key either does not exist, or holds
 * the empty text of a deleted document, whose revision is then returned. */
static int64_t
expected_revision (struct gr_exchange *exchange, int64_t if_match)
{
  int64_t revision;
  const char *text = gr_settings_store_get (exchange->entry->store,
                                            exchange->path_suffix, &revision);

  if (if_match == 0 && text != NULL && text[0] == '\0')
    return revision;
  return if_match;
}

static void
fail_bad_settings (struct gr_exchange *exchange, GPtrArray *problems)
{
  struct gr_error error = GR_ERROR_INIT;
  JsonObject *extra = json_object_new ();
  JsonArray *list = json_array_new ();

  for (guint i = 0; i < problems->len; i++)
    {
      char *valid = g_utf8_make_valid (problems->pdata[i], -1);

      json_array_add_string_element (list, valid);
      g_free (valid);
    }
  json_object_set_array_member (extra, "problems", list);
  gr_error_set (&error, GR_ERROR_BAD_SETTINGS, "%s",
                problems->len > 0 ? (char *)problems->pdata[0] : "");
  gr_exchange_fail_with (exchange, &error, extra);
}

/* Returns the body as text, or NULL with kind too-large or bad-request. Free
 * with g_free (). */
static char *
read_document (struct gr_exchange *exchange, struct gr_error *error)
{
  gsize size;
  const char *data = g_bytes_get_data (exchange->body, &size);

  if (size > GR_DOCUMENT_MAX_BYTES)
    {
      gr_error_set (error, GR_ERROR_TOO_LARGE,
                    "the document is longer than %d bytes",
                    GR_DOCUMENT_MAX_BYTES);
      return NULL;
    }
  if (size == 0 || !g_utf8_validate_len (data, size, NULL))
    {
      gr_error_set (error, GR_ERROR_BAD_REQUEST,
                    "the document is empty or not UTF-8 text");
      return NULL;
    }
  return g_strndup (data, size);
}

void
gr_documents_put (struct gr_exchange *exchange)
{
  struct gr_error error = GR_ERROR_INIT;
  enum gr_document_kind kind;
  GPtrArray *problems;
  int64_t if_match = 0;
  char *text;

  if (!check_path (exchange, &kind))
    return;
  text = read_document (exchange, &error);
  if (text == NULL || !read_if_match (exchange, &if_match, &error))
    {
      g_free (text);
      gr_exchange_fail (exchange, &error);
      return;
    }
  problems = g_ptr_array_new_with_free_func (g_free);
  if (gr_document_check (kind, text, problems))
    gr_publish_begin (exchange, exchange->path_suffix, text,
                      expected_revision (exchange, if_match));
  else
    fail_bad_settings (exchange, problems);
  g_ptr_array_unref (problems);
  g_free (text);
}

void
gr_documents_delete (struct gr_exchange *exchange)
{
  struct gr_error error = GR_ERROR_INIT;
  enum gr_document_kind kind;
  int64_t if_match = 0;

  if (!check_path (exchange, &kind))
    return;
  if (!read_if_match (exchange, &if_match, &error))
    gr_exchange_fail (exchange, &error);
  else if (if_match == 0)
    {
      gr_error_set (&error, GR_ERROR_BAD_REQUEST,
                    "If-Match must be the revision of the document");
      gr_exchange_fail (exchange, &error);
    }
  else
    gr_publish_begin (exchange, exchange->path_suffix, "", if_match);
}

static void
history_read (const struct gr_kv_result *result,
              const struct gr_error *error,
              void *context)
{
  struct gr_exchange *exchange = context;
  struct gr_error client_error = GR_ERROR_INIT;
  const struct gr_kv_entry *stored;
  JsonArray *versions;
  JsonObject *response;

  if (error != NULL)
    {
      gr_error_set_retry (&client_error, GR_ERROR_STORE_UNAVAILABLE,
                          error->retry_after_ms, "%s", error->message);
      gr_exchange_fail (exchange, &client_error);
      return;
    }
  stored = result->n_entries > 0 ? &result->entries[0] : NULL;
  if (stored == NULL)
    {
      gr_error_set (&client_error, GR_ERROR_NOT_FOUND,
                    "document \"%s\" has no history", exchange->path_suffix);
      gr_exchange_fail (exchange, &client_error);
      return;
    }
  versions =
      gr_history_parse (stored->value, stored->size, stored->mod_revision);
  response = json_object_new ();
  json_object_set_array_member (response, "versions",
                                gr_history_public (versions));
  json_array_unref (versions);
  gr_exchange_send_json (exchange, 200, response);
}

void
gr_documents_history (struct gr_exchange *exchange)
{
  struct gr_entry *entry = exchange->entry;
  enum gr_document_kind kind;
  char *key;

  if (!check_path (exchange, &kind))
    return;
  gr_exchange_pause (exchange);
  key = g_strconcat (GR_HISTORY_PREFIX, exchange->path_suffix, NULL);
  gr_kv_range (entry->kv, "settings-history", key, false, 0,
               entry->process->kv_timeout_ms, history_read, exchange);
  g_free (key);
}
