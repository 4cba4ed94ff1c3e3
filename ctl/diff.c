/* Line diff of two documents, by longest common subsequence. */
#include "ctl/context.h"

#include <string.h>

/* Number of equal lines shown before and after a difference. */
#define CONTEXT_LINES 3

/* Maximum number of entries in the table of lengths; limits it to 32 MiB. Texts
 * that exceed it, with about 4000 differing lines each, are shown as completely
 * replaced between their first and last difference. */
#define MAX_TABLE_ENTRIES ((gsize)1 << 24)

struct line
{
  char prefix; /* ' ', '-' or '+' */
  const char *text;
};

/* A newline at the end of text does not start another line. */
static char **
split_lines (const char *text, guint *count)
{
  char **lines = g_strsplit (text, "\n", -1);

  *count = g_strv_length (lines);
  if (*count > 0 && lines[*count - 1][0] == '\0')
    (*count)--;
  return lines;
}

/* Returns a table of width n_b + 1, in which entry [i][j] is the length of the
 * longest common subsequence of a[i..] and b[j..]. Free with g_free (). */
static uint16_t *
common_lengths (char **a, guint n_a, char **b, guint n_b)
{
  gsize width = (gsize)n_b + 1;
  uint16_t *lengths = g_new0 (uint16_t, ((gsize)n_a + 1) * width);

  for (guint i = n_a; i-- > 0;)
    for (guint j = n_b; j-- > 0;)
      if (g_str_equal (a[i], b[j]))
        lengths[i * width + j] =
            (uint16_t)(lengths[(i + 1) * width + j + 1] + 1);
      else
        lengths[i * width + j] =
            MAX (lengths[(i + 1) * width + j], lengths[i * width + j + 1]);
  return lengths;
}

static void
add_line (GArray *lines, char prefix, const char *text)
{
  struct line line = { prefix, text };

  g_array_append_val (lines, line);
}

static void
replace_middle (GArray *lines, char **a, guint n_a, char **b, guint n_b)
{
  for (guint i = 0; i < n_a; i++)
    add_line (lines, '-', a[i]);
  for (guint j = 0; j < n_b; j++)
    add_line (lines, '+', b[j]);
}

static void
diff_middle (GArray *lines, char **a, guint n_a, char **b, guint n_b)
{
  uint16_t *lengths;
  gsize width = (gsize)n_b + 1;
  guint i = 0;
  guint j = 0;

  if ((gsize)n_a * n_b > MAX_TABLE_ENTRIES)
    {
      replace_middle (lines, a, n_a, b, n_b);
      return;
    }
  lengths = common_lengths (a, n_a, b, n_b);
  while (i < n_a || j < n_b)
    {
      if (i < n_a && j < n_b && g_str_equal (a[i], b[j]))
        {
          add_line (lines, ' ', a[i++]);
          j++;
        }
      else if (j == n_b
               || (i < n_a
                   && lengths[(i + 1) * width + j]
                          >= lengths[i * width + j + 1]))
        add_line (lines, '-', a[i++]);
      else
        add_line (lines, '+', b[j++]);
    }
  g_free (lengths);
}

static bool
is_near_difference (const GArray *lines, guint index)
{
  guint first = index < CONTEXT_LINES ? 0 : index - CONTEXT_LINES;
  guint last = MIN (index + CONTEXT_LINES, lines->len - 1);

  for (guint i = first; i <= last; i++)
    if (g_array_index (lines, struct line, i).prefix != ' ')
      return true;
  return false;
}

static char *
format_lines (const GArray *lines)
{
  GString *out = g_string_new (NULL);
  bool gap = false;

  for (guint i = 0; i < lines->len; i++)
    {
      const struct line *line = &g_array_index (lines, struct line, i);

      if (!is_near_difference (lines, i))
        {
          gap = true;
          continue;
        }
      if (gap && out->len > 0)
        g_string_append (out, "...\n");
      gap = false;
      g_string_append_printf (out, "%c%s\n", line->prefix, line->text);
    }
  return g_string_free (out, FALSE);
}

char *
gr_ctl_diff (const char *a, const char *b)
{
  guint n_a;
  guint n_b;
  char **lines_a = split_lines (a, &n_a);
  char **lines_b = split_lines (b, &n_b);
  GArray *lines = g_array_new (FALSE, FALSE, sizeof (struct line));
  guint head = 0;
  guint tail = 0;
  char *out;

  while (head < MIN (n_a, n_b) && g_str_equal (lines_a[head], lines_b[head]))
    add_line (lines, ' ', lines_a[head++]);
  while (tail < MIN (n_a, n_b) - head
         && g_str_equal (lines_a[n_a - 1 - tail], lines_b[n_b - 1 - tail]))
    tail++;
  diff_middle (lines, lines_a + head, n_a - head - tail, lines_b + head,
               n_b - head - tail);
  for (guint i = n_a - tail; i < n_a; i++)
    add_line (lines, ' ', lines_a[i]);
  out = format_lines (lines);
  g_array_unref (lines);
  g_strfreev (lines_a);
  g_strfreev (lines_b);
  return out;
}
