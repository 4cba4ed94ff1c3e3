/* Parses INI documents. GKeyFile stops at the first malformed line and silently
 * merges duplicate sections and keys. All lines are therefore scanned first,
 * and GKeyFile gets only the well-formed ones. */
#include "settings/keys.h"

#include <string.h>

/* Maximum length of a line quoted in an error, in characters. */
#define MAX_SHOWN_CHARS 60

struct scan
{
  GPtrArray *problems;
  GString *clean;       /* the well-formed lines */
  GHashTable *sections; /* names seen so far, owned */
  GHashTable *keys;     /* names seen in the current section, owned */
  char *section;        /* current one; NULL before the first */
  bool skip;            /* the current section is malformed or a duplicate */
  guint line;           /* number of the current line, from 1 */
};

static void
add_line_problem (struct scan *scan, const char *text, const char *allowed)
{
  char *shown = g_utf8_substring (
      text, 0, MIN (g_utf8_strlen (text, -1), MAX_SHOWN_CHARS));

  g_ptr_array_add (scan->problems,
                   g_strdup_printf ("line %u: found '%s', allowed: %s",
                                    scan->line, shown, allowed));
  g_free (shown);
}

static void
scan_section (struct scan *scan, char *text)
{
  size_t length = strlen (text);
  char *name;

  g_clear_pointer (&scan->section, g_free);
  g_hash_table_remove_all (scan->keys);
  scan->skip = true;
  if (length < 3 || text[length - 1] != ']')
    {
      add_line_problem (scan, text, "[SECTION]");
      return;
    }
  name = g_strndup (text + 1, length - 2);
  if (strpbrk (name, "[]") != NULL)
    {
      add_line_problem (scan, text, "[SECTION]");
      g_free (name);
      return;
    }
  scan->section = name;
  if (!g_hash_table_add (scan->sections, g_strdup (name)))
    {
      add_line_problem (scan, text, "each section once");
      return;
    }
  scan->skip = false;
  g_string_append_printf (scan->clean, "[%s]\n", name);
}

static void
scan_key (struct scan *scan, char *text)
{
  char *equals = strchr (text, '=');
  char *key;

  if (equals == NULL || equals == text)
    {
      add_line_problem (scan, text, "KEY = VALUE");
      return;
    }
  key = g_strchomp (g_strndup (text, (gsize)(equals - text)));
  if (scan->section == NULL && !scan->skip)
    add_line_problem (scan, text, "a [SECTION] before the first key");
  else if (strpbrk (key, "[] \t") != NULL)
    add_line_problem (scan, text, "KEY = VALUE, KEY of a-z, 0-9 and '_'");
  else if (!scan->skip && !g_hash_table_add (scan->keys, g_strdup (key)))
    add_line_problem (scan, text, "each key once in a section");
  else if (!scan->skip)
    g_string_append_printf (scan->clean, "%s=%s\n", key,
                            g_strchug (equals + 1));
  g_free (key);
}

static void
scan_lines (struct scan *scan, const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  for (guint i = 0; lines[i] != NULL; i++)
    {
      char *line = g_strstrip (lines[i]);

      scan->line = i + 1;
      if (line[0] == '\0' || line[0] == '#' || line[0] == ';')
        continue;
      if (line[0] == '[')
        scan_section (scan, line);
      else
        scan_key (scan, line);
    }
  g_strfreev (lines);
}

GKeyFile *
gr_ini_parse (const char *text, GPtrArray *problems)
{
  GKeyFile *file;
  size_t length = strlen (text);
  struct scan scan = { .problems = problems };
  const char *end;

  if (length > GR_DOCUMENT_MAX_BYTES)
    {
      g_ptr_array_add (
          problems, g_strdup_printf ("document: found %zu bytes, allowed: at "
                                     "most %d",
                                     length, GR_DOCUMENT_MAX_BYTES));
      return NULL;
    }
  if (!g_utf8_validate (text, -1, &end))
    {
      g_ptr_array_add (problems,
                       g_strdup_printf ("document: found a byte 0x%02x at "
                                        "offset %zu, allowed: UTF-8",
                                        (unsigned char)*end,
                                        (size_t)(end - text)));
      return NULL;
    }
  file = g_key_file_new ();
  scan.clean = g_string_new (NULL);
  scan.sections = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scan.keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scan_lines (&scan, text);
  if (scan.clean->len > 0)
    {
      GError *error = NULL;

      if (!g_key_file_load_from_data (file, scan.clean->str, scan.clean->len,
                                      G_KEY_FILE_NONE, &error))
        g_ptr_array_add (problems,
                         g_strdup_printf ("document: found %s, allowed: INI",
                                          error->message));
      g_clear_error (&error);
    }
  g_string_free (scan.clean, TRUE);
  g_hash_table_destroy (scan.sections);
  g_hash_table_destroy (scan.keys);
  g_free (scan.section);
  return file;
}

char *
gr_ini_value (GKeyFile *file, const char *section, const struct gr_key *key)
{
  char *value = g_key_file_get_value (file, section, key->key, NULL);
  char *comment;

  /* In a list of names ';' is the separator, so " ;" does not start a comment.
   * The blank before it makes the name invalid, which validation reports. */
  if (value == NULL || key->type == GR_KEY_NAMES)
    return value;
  comment = strstr (value, " ;");
  if (comment == NULL)
    comment = strstr (value, "\t;");
  if (comment != NULL)
    *comment = '\0';
  return g_strchomp (value);
}

char *
gr_ini_guarantee_name (const char *section)
{
  const char *prefix = "guarantee \"";
  size_t length = strlen (section);

  if (!g_str_has_prefix (section, prefix) || length <= strlen (prefix)
      || section[length - 1] != '"')
    return NULL;
  return g_strndup (section + strlen (prefix), length - strlen (prefix) - 1);
}
