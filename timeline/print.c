/* Prints timelines as text and JSON lines. */
#include "timeline/timeline.h"

void
gr_timeline_print_json (struct gr_timeline *timeline,
                        const struct gr_timeline_filter *filter,
                        FILE *out)
{
  const GPtrArray *records = gr_timeline_records (timeline);

  for (guint i = 0; i < records->len; i++)
    {
      const struct gr_record *record = records->pdata[i];

      if (gr_timeline_filter_matches (filter, record))
        fprintf (out, "%s\n", record->text);
    }
}

static size_t
source_width (const GPtrArray *records)
{
  size_t width = 0;

  for (guint i = 0; i < records->len; i++)
    {
      const struct gr_record *record = records->pdata[i];

      width = MAX (width, (size_t)g_utf8_strlen (record->source, -1));
    }
  return width;
}

static void
print_record (const struct gr_record *record, size_t width, FILE *out)
{
  char *time = gr_timeline_format_time (record->hlc);
  size_t length = (size_t)g_utf8_strlen (record->source, -1);

  fprintf (out, "%s  %s%*s  %s", time, record->source, (int)(width - length),
           "", record->event[0] == '\0' ? "-" : record->event);
  for (guint i = 0; i < record->fields->len; i++)
    {
      const struct gr_record_field *field =
          &g_array_index (record->fields, struct gr_record_field, i);

      if (!g_str_equal (field->name, "time")
          && !(g_str_equal (field->name, "level")
               && g_str_equal (field->value, "info")))
        fprintf (out, " %s=%s", field->name, field->value);
    }
  fputc ('\n', out);
  g_free (time);
}

void
gr_timeline_print_text (struct gr_timeline *timeline,
                        const struct gr_timeline_filter *filter,
                        FILE *out)
{
  const GPtrArray *records = gr_timeline_records (timeline);
  size_t width = source_width (records);

  for (guint i = 0; i < records->len; i++)
    if (gr_timeline_filter_matches (filter, records->pdata[i]))
      print_record (records->pdata[i], width, out);
}
