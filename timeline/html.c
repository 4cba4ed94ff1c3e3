/* Timeline as a page: a row for each event, a column for each process. */
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

/* Hides the rows that do not contain the text of the input field. */
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
process_lane (const struct gr_record *record)
{
  return record->lane;
}

/* Names of the lanes that have records to print, sorted. Not owned. */
static GPtrArray *
list_lanes (const GPtrArray *records,
            const struct gr_timeline_filter *filter,
            const char *(*lane_of) (const struct gr_record *record))
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *lanes = g_ptr_array_new ();

  for (guint i = 0; i < records->len; i++)
    {
      struct gr_record *record = records->pdata[i];

      const char *lane = lane_of (record);

      if (gr_timeline_filter_matches (filter, record)
          && g_hash_table_add (seen, (char *)lane))
        g_ptr_array_add (lanes, (char *)lane);
    }
  g_ptr_array_sort (lanes, compare_names);
  g_hash_table_destroy (seen);
  return lanes;
}

static void
print_cell (const struct gr_record *record, bool lane_is_process, FILE *out)
{
  const char *level = gr_record_get (record, "level");

  fputs ("<td class=\"", out);
  print_escaped (level == NULL ? "" : level, out);
  fputs ("\"><b>", out);
  print_escaped (record->event, out);
  fputs ("</b>", out);
  if (!lane_is_process)
    {
      fputs ("<span>", out);
      print_escaped (record->lane, out);
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
           const GPtrArray *lanes,
           const char *lane,
           FILE *out)
{
  char *time = gr_timeline_time (record->hlc);

  fputs ("<tr><td class=\"time\">", out);
  print_escaped (time, out);
  fputs ("</td>", out);
  for (guint i = 0; i < lanes->len; i++)
    {
      if (!g_str_equal (lanes->pdata[i], lane))
        {
          fputs ("<td></td>", out);
          continue;
        }
      print_cell (record, lane == record->lane, out);
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
            const char *(*lane_of) (const struct gr_record *record),
            FILE *out)
{
  const GPtrArray *records = gr_timeline_records (timeline);
  GPtrArray *lanes = list_lanes (records, filter, lane_of);

  fputs (head, out);
  print_violations (timeline, out);
  fputs ("<p><input id=\"filter\" placeholder=\"filter\"></p>\n"
         "<table><thead><tr><th>time</th>",
         out);
  for (guint i = 0; i < lanes->len; i++)
    {
      fputs ("<th>", out);
      print_escaped (lanes->pdata[i], out);
      fputs ("</th>", out);
    }
  fputs ("</tr></thead><tbody>\n", out);
  for (guint i = 0; i < records->len; i++)
    if (gr_timeline_filter_matches (filter, records->pdata[i]))
      print_row (records->pdata[i], lanes, lane_of (records->pdata[i]), out);
  fputs ("</tbody></table>\n", out);
  fputs (script, out);
  fputs ("</body></html>\n", out);
  g_ptr_array_unref (lanes);
}

void
gr_timeline_print_html (struct gr_timeline *timeline,
                        const struct gr_timeline_filter *filter,
                        FILE *out)
{
  print_page (timeline, filter, process_lane, out);
}

void
gr_timeline_print_matters (struct gr_timeline *timeline,
                           const struct gr_timeline_filter *filter,
                           FILE *out)
{
  print_page (timeline, filter, gr_record_matter, out);
}
