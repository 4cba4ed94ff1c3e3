/* Prints a timeline as an HTML page: a row for each event, a column for each
 * process or topic. */
#include "timeline/timeline.h"

#include <string.h>

static const char *const head =
    "<!DOCTYPE html>\n"
    "<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<title>geraniumrack timeline</title>\n"
    "<style>\n"
    "body { font: 13px sans-serif; margin: 1em }\n"
    "table { border-collapse: collapse }\n"
    "th { position: sticky; top: 0; background: #eee }\n"
    "th, td { border-left: 1px solid #ccc; padding: 1px 6px;"
    " vertical-align: top; text-align: left; white-space: nowrap }\n"
    "td.time { font-family: monospace; color: #555 }\n"
    "td.warning b { color: #a50 }\n"
    "td.error b { color: #c00 }\n"
    "td span { color: #555; margin-left: .5em }\n"
    "tr:hover { background: #f4f4f4 }\n"
    "pre { color: #c00 }\n"
    "</style></head><body>\n";

/* Hides the rows that do not contain the text in the input field. */
static const char *const script =
    "<script>\n"
    "const input = document.getElementById ('filter');\n"
    "input.oninput = () => {\n"
    "  for (const row of document.querySelectorAll ('tbody tr'))\n"
    "    row.hidden = !row.textContent.includes (input.value);\n"
    "};\n"
    "</script>\n";

static void
print_escaped (const char *text, FILE *out)
{
  char *escaped = g_markup_escape_text (text, -1);

  fputs (escaped, out);
  g_free (escaped);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static const char *
source_column (const struct gr_record *record)
{
  return record->source;
}

/* Returns the sorted names of the columns that have records to print. The
 * strings are not owned by the array. */
static GPtrArray *
list_columns (const GPtrArray *records,
              const struct gr_timeline_filter *filter,
              const char *(*column_of) (const struct gr_record *record))
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *columns = g_ptr_array_new ();

  for (guint i = 0; i < records->len; i++)
    {
      struct gr_record *record = records->pdata[i];

      const char *column = column_of (record);

      if (gr_timeline_filter_matches (filter, record)
          && g_hash_table_add (seen, (char *)column))
        g_ptr_array_add (columns, (char *)column);
    }
  g_ptr_array_sort (columns, compare_names);
  g_hash_table_destroy (seen);
  return columns;
}

static void
print_cell (const struct gr_record *record, bool column_is_source, FILE *out)
{
  const char *level = gr_record_get (record, "level");

  fputs ("<td class=\"", out);
  print_escaped (level == NULL ? "" : level, out);
  fputs ("\"><b>", out);
  print_escaped (record->event, out);
  fputs ("</b>", out);
  if (!column_is_source)
    {
      fputs ("<span>", out);
      print_escaped (record->source, out);
      fputs ("</span>", out);
    }
  for (guint i = 0; i < record->fields->len; i++)
    {
      const struct gr_record_field *field =
          &g_array_index (record->fields, struct gr_record_field, i);

      if (g_str_equal (field->name, "time")
          || g_str_equal (field->name, "level"))
        continue;
      fputs ("<span>", out);
      print_escaped (field->name, out);
      fputc ('=', out);
      print_escaped (field->value, out);
      fputs ("</span>", out);
    }
  fputs ("</td>", out);
}

static void
print_row (const struct gr_record *record,
           const GPtrArray *columns,
           const char *column,
           FILE *out)
{
  char *time = gr_timeline_format_time (record->hlc);

  fputs ("<tr><td class=\"time\">", out);
  print_escaped (time, out);
  fputs ("</td>", out);
  for (guint i = 0; i < columns->len; i++)
    {
      if (!g_str_equal (columns->pdata[i], column))
        {
          fputs ("<td></td>", out);
          continue;
        }
      print_cell (record, column == record->source, out);
    }
  fputs ("</tr>\n", out);
  g_free (time);
}

static void
print_violations (struct gr_timeline *timeline, FILE *out)
{
  GPtrArray *violations = gr_timeline_check (timeline);

  for (guint i = 0; i < violations->len; i++)
    {
      fputs ("<pre>", out);
      print_escaped (violations->pdata[i], out);
      fputs ("</pre>\n", out);
    }
  g_ptr_array_unref (violations);
}

static void
print_page (struct gr_timeline *timeline,
            const struct gr_timeline_filter *filter,
            const char *(*column_of) (const struct gr_record *record),
            FILE *out)
{
  const GPtrArray *records = gr_timeline_records (timeline);
  GPtrArray *columns = list_columns (records, filter, column_of);

  fputs (head, out);
  print_violations (timeline, out);
  fputs ("<p><input id=\"filter\" placeholder=\"filter\"></p>\n"
         "<table><thead><tr><th>time</th>",
         out);
  for (guint i = 0; i < columns->len; i++)
    {
      fputs ("<th>", out);
      print_escaped (columns->pdata[i], out);
      fputs ("</th>", out);
    }
  fputs ("</tr></thead><tbody>\n", out);
  for (guint i = 0; i < records->len; i++)
    if (gr_timeline_filter_matches (filter, records->pdata[i]))
      print_row (records->pdata[i], columns, column_of (records->pdata[i]),
                 out);
  fputs ("</tbody></table>\n", out);
  fputs (script, out);
  fputs ("</body></html>\n", out);
  g_ptr_array_unref (columns);
}

void
gr_timeline_print_html (struct gr_timeline *timeline,
                        const struct gr_timeline_filter *filter,
                        FILE *out)
{
  print_page (timeline, filter, source_column, out);
}

void
gr_timeline_print_topics (struct gr_timeline *timeline,
                          const struct gr_timeline_filter *filter,
                          FILE *out)
{
  print_page (timeline, filter, gr_record_topic, out);
}
