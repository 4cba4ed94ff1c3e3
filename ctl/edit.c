/* Sets single keys in INI text. Edits lines instead of a parsed document, so
 * that comments and the order of lines are kept. */
#include "ctl/context.h"

#include <string.h>

static bool
is_section_line (const char *line, const char *section)
{
  char *copy = g_strstrip (g_strdup (line));
  size_t length = strlen (copy);
  bool match = length >= 2 && copy[0] == '[' && copy[length - 1] == ']'
               && strlen (section) == length - 2
               && strncmp (copy + 1, section, length - 2) == 0;

  g_free (copy);
  return match;
}

static bool
is_any_section_line (const char *line)
{
  return line[strspn (line, " \t")] == '[';
}

static bool
is_key_line (const char *line, const char *key)
{
  const char *start = line + strspn (line, " \t");
  size_t length = strlen (key);

  if (strncmp (start, key, length) != 0)
    return false;
  start += length;
  return start[strspn (start, " \t")] == '=';
}

static char *
key_line (const char *key, const char *value)
{
  return g_strdup_printf ("%s = %s", key, value);
}

/* Returns the index after the last non-blank line of the section whose header
 * is the line first. */
static guint
section_end (const GPtrArray *lines, guint first)
{
  guint end = first + 1;

  for (guint i = first + 1; i < lines->len; i++)
    {
      const char *line = lines->pdata[i];

      if (is_any_section_line (line))
        break;
      if (line[strspn (line, " \t\r")] != '\0')
        end = i + 1;
    }
  return end;
}

static void
set_key (GPtrArray *lines,
         const char *section,
         const char *key,
         const char *value)
{
  guint first = 0;
  guint end;

  while (first < lines->len && !is_section_line (lines->pdata[first], section))
    first++;
  if (first == lines->len)
    {
      if (lines->len > 0)
        g_ptr_array_add (lines, g_strdup (""));
      g_ptr_array_add (lines, g_strdup_printf ("[%s]", section));
      g_ptr_array_add (lines, key_line (key, value));
      return;
    }
  end = section_end (lines, first);
  for (guint i = first + 1; i < end; i++)
    if (is_key_line (lines->pdata[i], key))
      {
        g_free (lines->pdata[i]);
        lines->pdata[i] = key_line (key, value);
        return;
      }
  g_ptr_array_insert (lines, (gint)end, key_line (key, value));
}

char *
gr_ctl_edit_key (const char *text,
                 const char *section,
                 const char *key,
                 const char *value)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);
  char **split = g_strsplit (text, "\n", -1);
  GString *out = g_string_new (NULL);

  for (guint i = 0; split[i] != NULL; i++)
    if (split[i + 1] != NULL || split[i][0] != '\0')
      g_ptr_array_add (lines, g_strdup (split[i]));
  set_key (lines, section, key, value);
  for (guint i = 0; i < lines->len; i++)
    g_string_append_printf (out, "%s\n", (const char *)lines->pdata[i]);
  g_ptr_array_unref (lines);
  g_strfreev (split);
  return g_string_free (out, FALSE);
}

char *
gr_ctl_edit_fragment (const char *text, const char *fragment, GError **error)
{
  GKeyFile *file = g_key_file_new ();
  char *edited = NULL;
  char **sections;

  if (!g_key_file_load_from_data (file, fragment, strlen (fragment),
                                  G_KEY_FILE_NONE, error))
    {
      g_key_file_free (file);
      return NULL;
    }
  edited = g_strdup (text);
  sections = g_key_file_get_groups (file, NULL);
  for (guint i = 0; sections[i] != NULL; i++)
    {
      char **keys = g_key_file_get_keys (file, sections[i], NULL, NULL);

      for (guint j = 0; keys[j] != NULL; j++)
        {
          char *value = g_key_file_get_value (file, sections[i], keys[j], NULL);
          char *next = gr_ctl_edit_key (edited, sections[i], keys[j], value);

          g_free (edited);
          edited = next;
          g_free (value);
        }
      g_strfreev (keys);
    }
  g_strfreev (sections);
  g_key_file_free (file);
  return edited;
}
