#include "entry/history.h"

#include "http/json.h"

#include <string.h>

/* Size limit of a stored history. The store accepts values of up to 1 MB. */
#define MAX_BYTES (900UL * 1024)

static JsonObject *
version_at (JsonArray *versions, guint index)
{
  return gr_json_array_object (versions, index);
}

static void
copy_version (JsonArray *to,
              JsonObject *version,
              int64_t revision,
              bool with_writer)
{
  JsonObject *copy = json_object_new ();
  const char *document = gr_json_peek_string (version, "document");
  const char *writer = gr_json_peek_string (version, "writer");
  int64_t unix_ms = 0;

  gr_json_get_int (version, "unix_ms", 0, INT64_MAX, 0, &unix_ms);
  json_object_set_int_member (copy, "revision", revision);
  json_object_set_int_member (copy, "unix_ms", unix_ms);
  if (with_writer)
    json_object_set_string_member (copy, "writer", writer ? writer : "");
  json_object_set_string_member (copy, "document", document ? document : "");
  json_array_add_object_element (to, copy);
}

static int64_t
revision_of (JsonObject *version)
{
  int64_t revision = 0;

  gr_json_get_int (version, "revision", 0, INT64_MAX, 0, &revision);
  return revision;
}

JsonArray *
gr_history_parse (const char *text, size_t size, int64_t mod_revision)
{
  JsonArray *versions = json_array_new ();
  struct gr_error error = GR_ERROR_INIT;
  GBytes *bytes = g_bytes_new (text, text != NULL ? size : 0);
  JsonObject *root = gr_json_parse (bytes, &error);
  JsonArray *stored = NULL;

  if (root != NULL && gr_json_get_array (root, "versions", &stored)
      && stored != NULL)
    for (guint i = 0; i < json_array_get_length (stored); i++)
      {
        JsonObject *version = version_at (stored, i);

        if (version != NULL)
          copy_version (versions, version,
                        i == 0 ? mod_revision : revision_of (version), true);
      }
  g_clear_pointer (&root, json_object_unref);
  g_bytes_unref (bytes);
  return versions;
}

static char *
serialize (JsonArray *versions)
{
  JsonObject *root = json_object_new ();
  GBytes *bytes;
  gsize size;
  const char *data;
  char *text;

  json_object_set_array_member (root, "versions", json_array_ref (versions));
  bytes = gr_json_to_bytes (root);
  data = g_bytes_get_data (bytes, &size);
  text = g_strndup (data, size);
  g_bytes_unref (bytes);
  return text;
}

char *
gr_history_add (JsonArray *versions,
                const char *document,
                const char *writer,
                int64_t unix_ms)
{
  JsonArray *updated = json_array_new ();
  JsonObject *newest = json_object_new ();
  char *text;

  json_object_set_int_member (newest, "revision", 0);
  json_object_set_int_member (newest, "unix_ms", unix_ms);
  json_object_set_string_member (newest, "writer", writer);
  json_object_set_string_member (newest, "document", document);
  json_array_add_object_element (updated, newest);
  for (guint i = 0;
       i < json_array_get_length (versions) && i < GR_HISTORY_VERSIONS - 1; i++)
    copy_version (updated, version_at (versions, i),
                  revision_of (version_at (versions, i)), true);
  json_array_unref (versions);
  text = serialize (updated);
  while (strlen (text) > MAX_BYTES && json_array_get_length (updated) > 1)
    {
      json_array_remove_element (updated, json_array_get_length (updated) - 1);
      g_free (text);
      text = serialize (updated);
    }
  json_array_unref (updated);
  return text;
}

int64_t
gr_history_find (JsonArray *versions, const char *writer)
{
  for (guint i = 0; i < json_array_get_length (versions); i++)
    {
      const char *stored =
          gr_json_peek_string (version_at (versions, i), "writer");

      if (stored != NULL && strcmp (stored, writer) == 0)
        return revision_of (version_at (versions, i));
    }
  return 0;
}

JsonArray *
gr_history_public (JsonArray *versions)
{
  JsonArray *list = json_array_new ();

  for (guint i = 0; i < json_array_get_length (versions); i++)
    copy_version (list, version_at (versions, i),
                  revision_of (version_at (versions, i)), false);
  return list;
}
