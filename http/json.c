#include "http/json.h"

#include <string.h>

/* json-glib parses recursively without a depth limit, so deep nesting would
 * overflow the stack. Documents of this system have at most 8 levels. */
#define MAX_DEPTH 32

static bool
is_depth_within_limit (const char *text, size_t size)
{
  int depth = 0;
  bool in_string = false;

  for (size_t i = 0; i < size; i++)
    {
      if (in_string)
        {
          if (text[i] == '\\')
            i++;
          else if (text[i] == '"')
            in_string = false;
          continue;
        }
      if (text[i] == '"')
        in_string = true;
      else if (text[i] == '{' || text[i] == '[')
        depth++;
      else if (text[i] == '}' || text[i] == ']')
        depth--;
      /* json-glib also accepts comments, which JSON does not have. A quote in a
       * comment would make this scan skip brackets. */
      else if (text[i] == '/' || text[i] == '\'')
        return false;
      if (depth > MAX_DEPTH)
        return false;
    }
  return true;
}

JsonObject *
gr_json_parse (GBytes *text, struct gr_error *error)
{
  JsonParser *parser;
  JsonObject *object = NULL;
  JsonNode *root;
  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);

  if (data == NULL || !is_depth_within_limit (data, size))
    {
      gr_error_set (error, GR_ERROR_PROTOCOL, "the text is not valid JSON");
      return NULL;
    }
  parser = json_parser_new_immutable ();
  if (json_parser_load_from_data (parser, data, (gssize)size, NULL))
    {
      root = json_parser_get_root (parser);
      if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
        object = json_object_ref (json_node_get_object (root));
    }
  g_object_unref (parser);
  if (object == NULL)
    gr_error_set (error, GR_ERROR_PROTOCOL, "the text is not a JSON object");
  return object;
}

GBytes *
gr_json_to_bytes (JsonObject *object)
{
  JsonNode *root = json_node_init_object (json_node_alloc (), object);
  char *text = json_to_string (root, FALSE);

  json_node_unref (root);
  json_object_unref (object);
  return g_bytes_new_take (text, strlen (text));
}

static bool
node_to_int (JsonNode *node, gint64 min, gint64 max, gint64 *value)
{
  GType type;

  if (!JSON_NODE_HOLDS_VALUE (node))
    return false;
  type = json_node_get_value_type (node);
  if (type == G_TYPE_STRING)
    return g_ascii_string_to_signed (json_node_get_string (node), 10, min, max,
                                     value, NULL);
  if (type != G_TYPE_INT64)
    return false;
  *value = json_node_get_int (node);
  return *value >= min && *value <= max;
}

bool
gr_json_get_int (JsonObject *object,
                 const char *name,
                 int64_t min,
                 int64_t max,
                 int64_t fallback,
                 int64_t *value)
{
  JsonNode *node = json_object_get_member (object, name);
  gint64 number = 0;

  *value = fallback;
  if (node == NULL)
    return true;
  if (!node_to_int (node, min, max, &number))
    return false;
  *value = number;
  return true;
}

bool
gr_json_get_bool (JsonObject *object,
                  const char *name,
                  bool fallback,
                  bool *value)
{
  JsonNode *node = json_object_get_member (object, name);

  *value = fallback;
  if (node == NULL)
    return true;
  if (!JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return false;
  *value = json_node_get_boolean (node);
  return true;
}

const char *
gr_json_peek_string (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

bool
gr_json_get_string (JsonObject *object,
                    const char *name,
                    char *value,
                    size_t size)
{
  const char *text = gr_json_peek_string (object, name);

  value[0] = '\0';
  if (text == NULL)
    return !json_object_has_member (object, name);
  return g_strlcpy (value, text, size) < size;
}

bool
gr_json_get_array (JsonObject *object, const char *name, JsonArray **value)
{
  JsonNode *node = json_object_get_member (object, name);

  *value = NULL;
  if (node == NULL)
    return true;
  if (!JSON_NODE_HOLDS_ARRAY (node))
    return false;
  *value = json_node_get_array (node);
  return true;
}

bool
gr_json_get_object (JsonObject *object, const char *name, JsonObject **value)
{
  JsonNode *node = json_object_get_member (object, name);

  *value = NULL;
  if (node == NULL)
    return true;
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return false;
  *value = json_node_get_object (node);
  return true;
}

JsonObject *
gr_json_array_object (JsonArray *array, guint index)
{
  JsonNode *node = json_array_get_element (array, index);

  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

/* g_base64_decode () skips invalid characters, so they are detected by the
 * length of the result. */
char *
gr_json_decode_base64 (const char *text, size_t *size)
{
  guchar *data;
  gsize decoded = 0;
  size_t length = strlen (text);
  size_t padding = 0;

  if (length % 4 != 0)
    return NULL;
  while (padding < 2 && padding < length && text[length - 1 - padding] == '=')
    padding++;
  data = g_base64_decode (text, &decoded);
  if (data == NULL || decoded != length / 4 * 3 - padding)
    {
      g_free (data);
      return NULL;
    }
  data = g_realloc (data, decoded + 1);
  data[decoded] = '\0';
  *size = decoded;
  return (char *)data;
}
