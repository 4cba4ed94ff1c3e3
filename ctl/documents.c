/* Settings documents: reading, validation, writing, history and diffs. */
#include "ctl/context.h"
#include "settings/document.h"

#include <string.h>

bool
gr_ctl_read_file (struct gr_ctl *ctl, const char *file, char **text)
{
  GError *error = NULL;
  gsize length;

  if (!g_file_get_contents (file, text, &length, &error))
    {
      gr_ctl_usage_error (ctl, "%s", error->message);
      g_error_free (error);
      return false;
    }
  if (strlen (*text) == length)
    return true;
  gr_ctl_usage_error (ctl,
                      "%s: found a NUL byte at offset %zu, allowed: UTF-8 text",
                      file, strlen (*text));
  g_clear_pointer (text, g_free);
  return false;
}

bool
gr_ctl_get_document (struct gr_ctl *ctl,
                     const char *path,
                     char **text,
                     int64_t *revision,
                     int *exit_code)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;
  char *url = gr_ctl_path ("/v1/settings/", path);
  bool done = gr_ctl_call (ctl, "GET", url, NULL, NULL, -1, &response, &error);

  *text = NULL;
  *revision = 0;
  if (done && response.etag <= 0)
    done = gr_error_set (&error, GR_ERROR_PROTOCOL,
                         "the response has no ETag with a revision");
  if (done)
    {
      *text = g_strdup (response.body);
      *revision = response.etag;
    }
  else if (error.kind == GR_ERROR_NOT_FOUND)
    {
      *text = g_strdup ("");
      *revision = response.etag;
      done = true;
    }
  else
    *exit_code = gr_ctl_report_error (ctl, &error, &response);
  gr_ctl_response_clear (&response);
  g_free (url);
  return done;
}

static bool
check_document (struct gr_ctl *ctl,
                const char *path,
                const char *source,
                const char *text)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  struct gr_error error = GR_ERROR_INIT;
  enum gr_document_kind kind;
  bool valid = true;

  if (!gr_document_kind_of_path (path, &kind, &error))
    {
      gr_ctl_usage_error (ctl, "%s", error.message);
      valid = false;
    }
  else if (!gr_document_check (kind, text, problems))
    {
      for (guint i = 0; i < problems->len; i++)
        fprintf (ctl->err, "%s: %s\n", source,
                 (const char *)problems->pdata[i]);
      valid = false;
    }
  g_ptr_array_unref (problems);
  return valid;
}

/* Prints both revisions so that the operator can compare them. */
static void
print_conflict (struct gr_ctl *ctl,
                const char *path,
                int64_t revision,
                const struct gr_ctl_response *response)
{
  int64_t current_revision = 0;

  if (response->json != NULL && JSON_NODE_HOLDS_OBJECT (response->json))
    current_revision = gr_ctl_int (json_node_get_object (response->json),
                                   "current_revision", 0);
  fprintf (ctl->err,
           "%s: expected revision %" G_GINT64_FORMAT
           ", current revision %" G_GINT64_FORMAT "\n",
           path, revision, current_revision);
}

static void
print_write_result (struct gr_ctl *ctl, const char *path, JsonNode *node)
{
  JsonObject *object;

  if (ctl->json)
    {
      gr_ctl_print_json (ctl, node);
      return;
    }
  object = json_node_get_object (node);
  fprintf (ctl->out, "%s: revision %" G_GINT64_FORMAT "%s\n", path,
           gr_ctl_int (object, "revision", 0),
           gr_ctl_bool (object, "in_force") ? ", in force"
                                            : ", not confirmed to be in force");
}

int
gr_ctl_put_document (struct gr_ctl *ctl,
                     const char *path,
                     const char *source,
                     const char *text,
                     int64_t revision)
{
  bool deletes = text[0] == '\0';
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;
  int exit_code = 0;
  char *url;

  if (!check_document (ctl, path, source, text))
    return gr_error_info (GR_ERROR_BAD_SETTINGS)->exit_code;
  url = gr_ctl_path ("/v1/settings/", path);
  if (gr_ctl_call (ctl, deletes ? "DELETE" : "PUT", url, "text/plain",
                   deletes ? NULL : text, revision, &response, &error)
      && (response.json == NULL || !JSON_NODE_HOLDS_OBJECT (response.json)))
    gr_error_set (&error, GR_ERROR_PROTOCOL,
                  "the response is not a JSON object");
  if (error.kind == GR_ERROR_NONE)
    print_write_result (ctl, path, response.json);
  else
    exit_code = gr_ctl_report_error (ctl, &error, &response);
  if (error.kind == GR_ERROR_CONFLICT)
    print_conflict (ctl, path, revision, &response);
  gr_ctl_response_clear (&response);
  g_free (url);
  return exit_code;
}

static JsonArray *
get_versions (JsonNode *node)
{
  JsonNode *versions = NULL;
  JsonArray *array;

  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    versions = json_object_get_member (json_node_get_object (node), "versions");
  if (versions == NULL || !JSON_NODE_HOLDS_ARRAY (versions))
    return NULL;
  array = json_node_get_array (versions);
  for (guint i = 0; i < json_array_get_length (array); i++)
    if (!JSON_NODE_HOLDS_OBJECT (json_array_get_element (array, i)))
      return NULL;
  return json_array_ref (array);
}

JsonArray *
gr_ctl_get_history (struct gr_ctl *ctl, const char *path, int *exit_code)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;
  char *url = gr_ctl_path ("/v1/settings-history/", path);
  JsonArray *versions = NULL;

  if (gr_ctl_call (ctl, "GET", url, NULL, NULL, -1, &response, &error))
    {
      versions = get_versions (response.json);
      if (versions == NULL)
        gr_error_set (&error, GR_ERROR_PROTOCOL,
                      "the response has no array 'versions'");
    }
  if (versions == NULL)
    *exit_code = gr_ctl_report_error (ctl, &error, &response);
  gr_ctl_response_clear (&response);
  g_free (url);
  return versions;
}

static void
print_version (struct gr_ctl *ctl, JsonObject *version)
{
  const char *document = gr_ctl_string (version, "document", "");
  int64_t unix_ms = gr_ctl_int (version, "unix_ms", 0);
  GDateTime *time = g_date_time_new_from_unix_utc (unix_ms / 1000);
  char *text =
      time == NULL ? g_strdup ("-") : g_date_time_format_iso8601 (time);

  fprintf (ctl->out, "%-12" G_GINT64_FORMAT " %s  ",
           gr_ctl_int (version, "revision", 0), text);
  if (document[0] == '\0')
    fputs ("deleted\n", ctl->out);
  else
    fprintf (ctl->out, "%zu bytes\n", strlen (document));
  g_free (text);
  if (time != NULL)
    g_date_time_unref (time);
}

int
gr_ctl_show_history (struct gr_ctl *ctl, const char *path)
{
  int exit_code = 0;
  JsonArray *versions = gr_ctl_get_history (ctl, path, &exit_code);

  if (versions == NULL)
    return exit_code;
  if (ctl->json)
    {
      JsonNode *node = json_node_new (JSON_NODE_ARRAY);

      json_node_set_array (node, versions);
      gr_ctl_print_json (ctl, node);
      json_node_unref (node);
    }
  else
    for (guint i = 0; i < json_array_get_length (versions); i++)
      print_version (ctl, json_array_get_object_element (versions, i));
  json_array_unref (versions);
  return 0;
}

/* Returns the document at a path as of a revision in its history, or NULL with
 * *exit_code set after printing an error. Free with g_free (). */
static char *
get_version (struct gr_ctl *ctl,
             const char *path,
             const char *revision_text,
             int *exit_code)
{
  int64_t revision = g_ascii_strtoll (revision_text, NULL, 10);
  JsonArray *versions = gr_ctl_get_history (ctl, path, exit_code);
  struct gr_error error = GR_ERROR_INIT;
  char *text = NULL;

  if (versions == NULL)
    return NULL;
  for (guint i = 0; i < json_array_get_length (versions) && text == NULL; i++)
    {
      JsonObject *version = json_array_get_object_element (versions, i);

      if (gr_ctl_int (version, "revision", 0) == revision)
        text = g_strdup (gr_ctl_string (version, "document", ""));
    }
  json_array_unref (versions);
  if (text != NULL)
    return text;
  gr_error_set (&error, GR_ERROR_NOT_FOUND,
                "%s: revision %s is not among the last 20", path,
                revision_text);
  *exit_code = gr_ctl_report_error (ctl, &error, NULL);
  return NULL;
}

/* Returns the text that an argument of diff refers to: a revision if it is all
 * digits, the current document if it is NULL, otherwise a file. NULL with
 * *exit_code set after printing an error. Free with g_free (). */
static char *
get_diff_text (struct gr_ctl *ctl,
               const char *path,
               const char *argument,
               int *exit_code)
{
  char *text = NULL;
  int64_t revision;

  if (argument == NULL)
    gr_ctl_get_document (ctl, path, &text, &revision, exit_code);
  else if (strspn (argument, "0123456789") == strlen (argument))
    text = get_version (ctl, path, argument, exit_code);
  else if (!gr_ctl_read_file (ctl, argument, &text))
    *exit_code = gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;
  return text;
}

static void
print_diff (struct gr_ctl *ctl, const char *diff)
{
  JsonObject *object;
  JsonNode *node;

  if (!ctl->json)
    {
      fputs (diff, ctl->out);
      return;
    }
  object = json_object_new ();
  json_object_set_boolean_member (object, "equal", diff[0] == '\0');
  json_object_set_string_member (object, "diff", diff);
  node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, object);
  gr_ctl_print_json (ctl, node);
  json_node_unref (node);
}

int
gr_ctl_show_diff (struct gr_ctl *ctl,
                  const char *path,
                  const char *a,
                  const char *b)
{
  int exit_code = 0;
  char *text_a = get_diff_text (ctl, path, a, &exit_code);
  char *text_b =
      text_a == NULL ? NULL : get_diff_text (ctl, path, b, &exit_code);

  if (text_b != NULL)
    {
      char *diff = gr_ctl_diff (text_a, text_b);

      print_diff (ctl, diff);
      g_free (diff);
    }
  g_free (text_a);
  g_free (text_b);
  return exit_code;
}
