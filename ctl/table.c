/* Fetches lists and objects and prints them as text or JSON. */
#include "ctl/context.h"

#include <string.h>

/* Maximum number of pages fetched, so that the command ends even if a faulty
 * server always returns a next page. A page has at most 1000 items. */
#define MAX_PAGES 10000

void
gr_ctl_print_json (struct gr_ctl *ctl, JsonNode *node)
{
  char *text = json_to_string (node, FALSE);

  fprintf (ctl->out, "%s\n", text);
  g_free (text);
}

/* Returns a member if it is a value of the given type, otherwise NULL. */
static JsonNode *
value_member (JsonObject *object, const char *name, GType type)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != type)
    return NULL;
  return node;
}

const char *
gr_ctl_string (JsonObject *object, const char *name, const char *fallback)
{
  JsonNode *node = value_member (object, name, G_TYPE_STRING);

  return node == NULL ? fallback : json_node_get_string (node);
}

int64_t
gr_ctl_int (JsonObject *object, const char *name, int64_t fallback)
{
  JsonNode *node = value_member (object, name, G_TYPE_INT64);

  return node == NULL ? fallback : json_node_get_int (node);
}

bool
gr_ctl_bool (JsonObject *object, const char *name)
{
  JsonNode *node = value_member (object, name, G_TYPE_BOOLEAN);

  return node != NULL && json_node_get_boolean (node);
}

static char *
node_text (JsonNode *node)
{
  if (node == NULL || JSON_NODE_HOLDS_NULL (node))
    return g_strdup ("-");
  if (!JSON_NODE_HOLDS_VALUE (node))
    return json_to_string (node, FALSE);
  if (json_node_get_value_type (node) == G_TYPE_STRING)
    {
      const char *text = json_node_get_string (node);

      return g_strdup (text[0] == '\0' ? "-" : text);
    }
  if (json_node_get_value_type (node) == G_TYPE_BOOLEAN)
    return g_strdup (json_node_get_boolean (node) ? "yes" : "no");
  return json_to_string (node, FALSE);
}

char *
gr_ctl_member_text (JsonObject *object, const char *path)
{
  char **parts = g_strsplit (path, ".", -1);
  JsonNode *node = NULL;
  char *text;

  for (guint i = 0; parts[i] != NULL; i++)
    {
      node = json_object_get_member (object, parts[i]);
      if (node == NULL || parts[i + 1] == NULL)
        break;
      if (!JSON_NODE_HOLDS_OBJECT (node))
        {
          node = NULL;
          break;
        }
      object = json_node_get_object (node);
    }
  text = node_text (node);
  g_strfreev (parts);
  return text;
}

static void
print_cell (struct gr_ctl *ctl, const char *text, size_t width, bool last)
{
  fputs (text, ctl->out);
  for (size_t i = (size_t)g_utf8_strlen (text, -1); i < width + 2 && !last; i++)
    fputc (' ', ctl->out);
  if (last)
    fputc ('\n', ctl->out);
}

/* Returns the last part of a column's member path. */
static const char *
column_title (const char *column)
{
  const char *dot = strrchr (column, '.');

  return dot == NULL ? column : dot + 1;
}

static char *
item_text (JsonNode *item, const char *column)
{
  if (!JSON_NODE_HOLDS_OBJECT (item))
    return g_strdup ("-");
  return gr_ctl_member_text (json_node_get_object (item), column);
}

void
gr_ctl_print_table (struct gr_ctl *ctl,
                    JsonArray *items,
                    const char *const *columns)
{
  guint n_columns = g_strv_length ((char **)columns);
  guint n_items = json_array_get_length (items);
  char **cells = g_new0 (char *, (gsize)(n_items + 1) * n_columns);
  size_t *widths = g_new0 (size_t, n_columns);

  for (guint row = 0; row <= n_items; row++)
    for (guint column = 0; column < n_columns; column++)
      {
        char **cell = &cells[row * n_columns + column];

        if (row == 0)
          *cell = g_strdup (column_title (columns[column]));
        else
          *cell = item_text (json_array_get_element (items, row - 1),
                             columns[column]);
        widths[column] =
            MAX (widths[column], (size_t)g_utf8_strlen (*cell, -1));
      }
  for (guint row = 0; row <= n_items; row++)
    for (guint column = 0; column < n_columns; column++)
      {
        char *cell = cells[row * n_columns + column];

        print_cell (ctl, cell, widths[column], column == n_columns - 1);
        g_free (cell);
      }
  g_free (cells);
  g_free (widths);
}

void
gr_ctl_print_object (struct gr_ctl *ctl, JsonNode *node)
{
  JsonObject *object;
  GList *names;

  if (ctl->json || !JSON_NODE_HOLDS_OBJECT (node))
    {
      gr_ctl_print_json (ctl, node);
      return;
    }
  object = json_node_get_object (node);
  names = json_object_get_members (object);
  for (GList *name = names; name != NULL; name = name->next)
    {
      char *text = gr_ctl_member_text (object, name->data);

      fprintf (ctl->out, "%s: %s\n", (const char *)name->data, text);
      g_free (text);
    }
  g_list_free (names);
}

static void
add_missing_shards (JsonObject *page, GHashTable *missing)
{
  JsonNode *node = json_object_get_member (page, "missing_shards");
  JsonArray *names;

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return;
  names = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (names); i++)
    {
      char *name = node_text (json_array_get_element (names, i));

      g_hash_table_add (missing, name);
    }
}

/* Appends the objects of one page to all. Returns the name after which the next
 * page starts, "" if this is the last page, or NULL with error set if the page
 * is malformed. Free with g_free (). */
static char *
append_page (JsonNode *page,
             JsonArray *all,
             GHashTable *missing,
             struct gr_error *error)
{
  JsonObject *object;
  JsonArray *items;
  JsonNode *node;

  if (page == NULL || !JSON_NODE_HOLDS_OBJECT (page))
    {
      gr_error_set (error, GR_ERROR_PROTOCOL,
                    "the response is not a JSON object");
      return NULL;
    }
  object = json_node_get_object (page);
  add_missing_shards (object, missing);
  node = json_object_get_member (object, "items");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    {
      gr_error_set (error, GR_ERROR_PROTOCOL,
                    "the response has no array 'items'");
      return NULL;
    }
  items = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (items); i++)
    {
      JsonNode *item = json_array_get_element (items, i);

      if (JSON_NODE_HOLDS_OBJECT (item))
        json_array_add_element (all, json_node_copy (item));
    }
  return g_strdup (gr_ctl_string (object, "next", ""));
}

static char *
page_path (const char *path, const char *query, const char *after)
{
  GString *full = g_string_new (path);
  char separator = '?';

  if (query[0] != '\0')
    {
      g_string_append_printf (full, "?%s", query);
      separator = '&';
    }
  if (after[0] != '\0')
    {
      char *escaped = g_uri_escape_string (after, NULL, FALSE);

      g_string_append_printf (full, "%cafter=%s", separator, escaped);
      g_free (escaped);
    }
  return g_string_free (full, FALSE);
}

/* Fetches the page that starts after the name *after and appends its objects to
 * all. Sets *after to the start of the next page, "" if this was the last page.
 * Returns false with *exit_code set after printing an error. */
static bool
fetch_page (struct gr_ctl *ctl,
            const char *path,
            const char *query,
            char **after,
            JsonArray *all,
            int *exit_code)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;
  char *full = page_path (path, query, *after);
  bool done = gr_ctl_call (ctl, "GET", full, NULL, NULL, -1, &response, &error);
  char *next =
      done ? append_page (response.json, all, ctl->missing, &error) : NULL;

  if (next == NULL)
    *exit_code = gr_ctl_report_error (ctl, &error, done ? NULL : &response);
  gr_ctl_response_clear (&response);
  g_free (full);
  g_free (*after);
  *after = next;
  return next != NULL;
}

JsonArray *
gr_ctl_fetch_list (struct gr_ctl *ctl,
                   const char *path,
                   const char *query,
                   int64_t max_items,
                   int *exit_code)
{
  JsonArray *all = json_array_new ();
  char *after = g_strdup ("");
  bool done = true;

  for (guint page = 0; page < MAX_PAGES && done; page++)
    {
      done = fetch_page (ctl, path, query, &after, all, exit_code);
      if (!done || after[0] == '\0'
          || (max_items > 0 && json_array_get_length (all) >= max_items))
        break;
    }
  g_free (after);
  if (!done)
    {
      json_array_unref (all);
      return NULL;
    }
  while (max_items > 0 && json_array_get_length (all) > max_items)
    json_array_remove_element (all, json_array_get_length (all) - 1);
  *exit_code = 0;
  return all;
}

static void
print_items_json (struct gr_ctl *ctl, JsonArray *items)
{
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  JsonArray *missing = json_array_new ();
  GHashTableIter iter;
  gpointer name;

  json_object_set_array_member (object, "items", json_array_ref (items));
  g_hash_table_iter_init (&iter, ctl->missing);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    json_array_add_string_element (missing, name);
  if (json_array_get_length (missing) > 0)
    json_object_set_array_member (object, "missing_shards",
                                  json_array_ref (missing));
  json_array_unref (missing);
  json_node_take_object (node, object);
  gr_ctl_print_json (ctl, node);
  json_node_unref (node);
}

int
gr_ctl_report_missing (struct gr_ctl *ctl)
{
  GHashTableIter iter;
  gpointer name;

  if (g_hash_table_size (ctl->missing) == 0)
    return 0;
  g_hash_table_iter_init (&iter, ctl->missing);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    fprintf (
        ctl->err,
        "geraniumrackctl: shard %s did not answer; its items are missing\n",
        (const char *)name);
  return gr_error_info (GR_ERROR_NO_OWNER)->exit_code;
}

int
gr_ctl_show_list (struct gr_ctl *ctl,
                  const char *path,
                  const char *query,
                  int64_t max_items,
                  const char *const *columns)
{
  int exit_code;
  JsonArray *items =
      gr_ctl_fetch_list (ctl, path, query, max_items, &exit_code);

  if (items == NULL)
    return exit_code;
  if (ctl->json)
    print_items_json (ctl, items);
  else
    gr_ctl_print_table (ctl, items, columns);
  json_array_unref (items);
  return gr_ctl_report_missing (ctl);
}

int
gr_ctl_show_object (struct gr_ctl *ctl, const char *path)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;
  int exit_code = 0;

  if (gr_ctl_call (ctl, "GET", path, NULL, NULL, -1, &response, &error)
      && response.json == NULL)
    gr_error_set (&error, GR_ERROR_PROTOCOL, "the response is not JSON");
  if (error.kind != GR_ERROR_NONE)
    exit_code = gr_ctl_report_error (ctl, &error, &response);
  else
    gr_ctl_print_object (ctl, response.json);
  gr_ctl_response_clear (&response);
  return exit_code;
}
