/* The "settings" and "accounts" commands. */
#include "ctl/commands.h"

#include "settings/document.h"

#include <string.h>

static const char *const account_columns[] = {
  "name",     "priority", "quota_accelerators",   "guaranteed", "used",
  "borrowed", "waiting",  "guarantee_impossible", NULL
};

/* Returns the path "teams/NAME" of an account's document, or NULL after
 * printing an error if the name is invalid. Free with g_free (). */
static char *
account_path (struct gr_ctl *ctl, const char *name)
{
  struct gr_error error = GR_ERROR_INIT;
  enum gr_document_kind kind;
  char *path = g_strconcat ("teams/", name, NULL);

  if (gr_document_kind_of_path (path, &kind, &error))
    return path;
  gr_ctl_usage_error (ctl, "%s", error.message);
  g_free (path);
  return NULL;
}

int
gr_ctl_accounts_list (struct gr_ctl *ctl, int argc, char **argv)
{
  (void)argc;
  (void)argv;
  return gr_ctl_show_list (ctl, "/v1/accounts", "", 0, account_columns);
}

int
gr_ctl_accounts_show (struct gr_ctl *ctl, int argc, char **argv)
{
  char *path = gr_ctl_path ("/v1/accounts/", argv[0]);
  int exit_code = gr_ctl_show_object (ctl, path);

  (void)argc;
  g_free (path);
  return exit_code;
}

/* Sets a key in *text from an argument "KEY=VALUE" or
 * "guarantee.NAME.KEY=VALUE". Returns false after printing an error if the
 * argument has neither form. */
static bool
apply_assignment (struct gr_ctl *ctl, const char *argument, char **text)
{
  const char *equals = strchr (argument, '=');
  char *left;
  char **parts;
  char *section = NULL;
  guint n;

  if (equals == NULL)
    {
      gr_ctl_usage_error (ctl, "'%s' is not KEY=VALUE", argument);
      return false;
    }
  left = g_strndup (argument, (gsize)(equals - argument));
  parts = g_strsplit (left, ".", -1);
  n = g_strv_length (parts);
  if (n == 1)
    section = g_strdup ("account");
  else if (n == 3 && g_str_equal (parts[0], "guarantee"))
    section = g_strdup_printf ("guarantee \"%s\"", parts[1]);
  if (section == NULL)
    gr_ctl_usage_error (ctl, "'%s' is not KEY or guarantee.NAME.KEY", left);
  else
    {
      char *edited = gr_ctl_edit_key (*text, section, parts[n - 1], equals + 1);

      g_free (*text);
      *text = edited;
    }
  g_strfreev (parts);
  g_free (left);
  g_free (section);
  return section != NULL;
}

/* Returns the revision that a write requires: that of --revision if given,
 * otherwise the one that was read. */
static int64_t
expected_revision (const struct gr_ctl *ctl, int64_t read_revision)
{
  return ctl->revision >= 0 ? ctl->revision : read_revision;
}

int
gr_ctl_accounts_set (struct gr_ctl *ctl, int argc, char **argv)
{
  char *path = account_path (ctl, argv[0]);
  int exit_code = gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;
  int64_t revision;
  bool valid;
  char *text;

  if (path == NULL)
    return exit_code;
  valid = gr_ctl_get_document (ctl, path, &text, &revision, &exit_code);
  for (int i = 1; i < argc && valid; i++)
    {
      valid = apply_assignment (ctl, argv[i], &text);
      if (!valid)
        exit_code = gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;
    }
  if (valid)
    exit_code = gr_ctl_put_document (ctl, path, path, text,
                                     expected_revision (ctl, revision));
  g_free (text);
  g_free (path);
  return exit_code;
}

int
gr_ctl_settings_diff (struct gr_ctl *ctl, int argc, char **argv)
{
  const char *argument = argv[1];

  if (argc == 3)
    return gr_ctl_show_diff (ctl, argv[0], argument, argv[2]);
  /* Show the older text first: a revision precedes the current document, and a
   * file may replace it. */
  if (strspn (argument, "0123456789") == strlen (argument))
    return gr_ctl_show_diff (ctl, argv[0], argument, NULL);
  return gr_ctl_show_diff (ctl, argv[0], NULL, argument);
}

int
gr_ctl_accounts_diff (struct gr_ctl *ctl, int argc, char **argv)
{
  char *path = account_path (ctl, argv[0]);
  char *arguments[3] = { path, argv[1], argc == 3 ? argv[2] : NULL };
  int exit_code = gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;

  if (path != NULL)
    exit_code = gr_ctl_settings_diff (ctl, argc, arguments);
  g_free (path);
  return exit_code;
}

int
gr_ctl_settings_history (struct gr_ctl *ctl, int argc, char **argv)
{
  (void)argc;
  return gr_ctl_show_history (ctl, argv[0]);
}

int
gr_ctl_accounts_history (struct gr_ctl *ctl, int argc, char **argv)
{
  char *path = account_path (ctl, argv[0]);
  int exit_code = gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;

  (void)argc;
  if (path != NULL)
    exit_code = gr_ctl_show_history (ctl, path);
  g_free (path);
  return exit_code;
}

int
gr_ctl_settings_get (struct gr_ctl *ctl, int argc, char **argv)
{
  int exit_code = 0;
  int64_t revision;
  char *text;

  (void)argc;
  if (!gr_ctl_get_document (ctl, argv[0], &text, &revision, &exit_code))
    return exit_code;
  if (text[0] == '\0')
    {
      struct gr_error error = GR_ERROR_INIT;

      gr_error_set (&error, GR_ERROR_NOT_FOUND, "%s has no document", argv[0]);
      exit_code = gr_ctl_report_error (ctl, &error, NULL);
    }
  else if (ctl->json)
    {
      JsonObject *object = json_object_new ();
      JsonNode *node = json_node_new (JSON_NODE_OBJECT);

      json_object_set_string_member (object, "path", argv[0]);
      json_object_set_int_member (object, "revision", revision);
      json_object_set_string_member (object, "document", text);
      json_node_take_object (node, object);
      gr_ctl_print_json (ctl, node);
      json_node_unref (node);
    }
  else
    fputs (text, ctl->out);
  g_free (text);
  return exit_code;
}

/* Writes a document on condition that the path is still at the revision of
 * --revision or, if that is not given, at the one read immediately before. */
static int
write_document (struct gr_ctl *ctl,
                const char *path,
                const char *source,
                const char *text)
{
  int64_t revision = ctl->revision;
  int exit_code = 0;
  char *current = NULL;

  if (revision < 0
      && !gr_ctl_get_document (ctl, path, &current, &revision, &exit_code))
    return exit_code;
  g_free (current);
  return gr_ctl_put_document (ctl, path, source, text, revision);
}

int
gr_ctl_settings_set (struct gr_ctl *ctl, int argc, char **argv)
{
  int exit_code = gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;
  char *text;

  (void)argc;
  if (!gr_ctl_read_file (ctl, argv[1], &text))
    return exit_code;
  if (text[0] == '\0')
    gr_ctl_usage_error (
        ctl, "%s is empty; use 'settings delete' to delete a path", argv[1]);
  else
    exit_code = write_document (ctl, argv[0], argv[1], text);
  g_free (text);
  return exit_code;
}

int
gr_ctl_settings_delete (struct gr_ctl *ctl, int argc, char **argv)
{
  (void)argc;
  return write_document (ctl, argv[0], argv[0], "");
}

int
gr_ctl_settings_edit (struct gr_ctl *ctl, int argc, char **argv)
{
  int exit_code = gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;
  GError *error = NULL;
  int64_t revision;
  char *fragment;
  char *text;
  char *edited;

  (void)argc;
  if (!gr_ctl_read_file (ctl, argv[1], &fragment))
    return exit_code;
  if (!gr_ctl_get_document (ctl, argv[0], &text, &revision, &exit_code))
    {
      g_free (fragment);
      return exit_code;
    }
  edited = gr_ctl_edit_fragment (text, fragment, &error);
  if (edited == NULL)
    exit_code = gr_ctl_usage_error (ctl, "%s: %s", argv[1], error->message);
  else
    exit_code = gr_ctl_put_document (ctl, argv[0], argv[1], edited,
                                     expected_revision (ctl, revision));
  g_clear_error (&error);
  g_free (fragment);
  g_free (text);
  g_free (edited);
  return exit_code;
}

/* Fetches the array "paths" of /v1/settings. Returns NULL with *exit_code set
 * after printing an error. */
static JsonArray *
fetch_paths (struct gr_ctl *ctl, const char *prefix, int *exit_code)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;
  char *escaped = g_uri_escape_string (prefix, "/", FALSE);
  char *url = g_strconcat ("/v1/settings?prefix=", escaped, NULL);
  JsonArray *paths = NULL;
  JsonNode *node = NULL;

  if (gr_ctl_call (ctl, "GET", url, NULL, NULL, -1, &response, &error))
    {
      if (response.json != NULL && JSON_NODE_HOLDS_OBJECT (response.json))
        node = json_object_get_member (json_node_get_object (response.json),
                                       "paths");
      if (node != NULL && JSON_NODE_HOLDS_ARRAY (node))
        paths = json_array_ref (json_node_get_array (node));
      else
        gr_error_set (&error, GR_ERROR_PROTOCOL,
                      "the response has no array 'paths'");
    }
  if (paths == NULL)
    *exit_code = gr_ctl_report_error (ctl, &error, &response);
  gr_ctl_response_clear (&response);
  g_free (escaped);
  g_free (url);
  return paths;
}

int
gr_ctl_settings_list (struct gr_ctl *ctl, int argc, char **argv)
{
  static const char *const columns[] = { "path", "revision", NULL };
  int exit_code = 0;
  JsonArray *paths = fetch_paths (ctl, argc > 0 ? argv[0] : "", &exit_code);

  if (paths == NULL)
    return exit_code;
  if (ctl->json)
    {
      JsonNode *node = json_node_new (JSON_NODE_ARRAY);

      json_node_set_array (node, paths);
      gr_ctl_print_json (ctl, node);
      json_node_unref (node);
    }
  else
    gr_ctl_print_table (ctl, paths, columns);
  json_array_unref (paths);
  return 0;
}

static void
print_change (struct gr_ctl *ctl, const char *path, int64_t revision)
{
  if (ctl->json)
    {
      JsonObject *object = json_object_new ();
      JsonNode *node = json_node_new (JSON_NODE_OBJECT);

      json_object_set_string_member (object, "path", path);
      json_object_set_int_member (object, "revision", revision);
      json_node_take_object (node, object);
      gr_ctl_print_json (ctl, node);
      json_node_unref (node);
    }
  else if (revision == 0)
    fprintf (ctl->out, "%s deleted\n", path);
  else
    fprintf (ctl->out, "%s revision %" G_GINT64_FORMAT "\n", path, revision);
  fflush (ctl->out);
}

/* Prints the paths that changed since the last call. known maps paths to the
 * highest revisions seen. A lower revision is not a change: it comes from an
 * entry that has not caught up yet. */
static void
print_changes (struct gr_ctl *ctl, JsonArray *paths, GHashTable *known)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer path;

  for (guint i = 0; i < json_array_get_length (paths); i++)
    {
      JsonNode *node = json_array_get_element (paths, i);
      JsonObject *object;
      const char *name;
      int64_t revision;
      const int64_t *last_seen;

      if (!JSON_NODE_HOLDS_OBJECT (node))
        continue;
      object = json_node_get_object (node);
      name = gr_ctl_string (object, "path", "");
      revision = gr_ctl_int (object, "revision", 0);
      last_seen = g_hash_table_lookup (known, name);
      g_hash_table_add (listed, (gpointer)name);
      if (last_seen != NULL && *last_seen >= revision)
        continue;
      g_hash_table_replace (known, g_strdup (name),
                            g_memdup2 (&revision, sizeof revision));
      print_change (ctl, name, revision);
    }
  g_hash_table_iter_init (&iter, known);
  while (g_hash_table_iter_next (&iter, &path, NULL))
    if (!g_hash_table_contains (listed, path))
      {
        print_change (ctl, path, 0);
        g_hash_table_iter_remove (&iter);
      }
  g_hash_table_destroy (listed);
}

/* Returns true if an exit code is that of a transient error, after which
 * polling continues: no capacity, no connection, or a connection that broke. */
static bool
is_transient (int exit_code)
{
  return exit_code == gr_error_info (GR_ERROR_OVERLOADED)->exit_code
         || exit_code == gr_error_info (GR_ERROR_IO)->exit_code;
}

int
gr_ctl_settings_watch (struct gr_ctl *ctl, int argc, char **argv)
{
  GHashTable *known =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  int64_t start_us = g_get_monotonic_time ();
  int exit_code = 0;

  while (gr_ctl_limit_call_timeout (ctl, start_us) > 0)
    {
      JsonArray *paths = fetch_paths (ctl, argc > 0 ? argv[0] : "", &exit_code);

      if (paths == NULL && !is_transient (exit_code))
        break;
      if (paths != NULL)
        {
          print_changes (ctl, paths, known);
          json_array_unref (paths);
          exit_code = 0;
        }
      gr_ctl_sleep ((int64_t)(ctl->interval_s * 1000));
    }
  g_hash_table_destroy (known);
  return exit_code;
}
