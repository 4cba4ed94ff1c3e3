/* Checks the order of events. */
#include "timeline/timeline.h"

#include <string.h>

#define MAX_KEYS 2

/* At least one record of cause must precede each record of effect that has the
 * same values of the keys. */
struct cause_pair
{
  const char *cause;
  const char *effect;
  const char *keys[MAX_KEYS]; /* field names; unused entries are NULL */
};

static const struct cause_pair cause_pairs[] = {
  { "request-received", "request-mark-written", { "request", NULL } },
  { "request-received", "request-sent", { "request", NULL } },
  { "request-received", "request-refused", { "request", NULL } },
  { "request-received", "request-answered", { "request", NULL } },
  { "request-mark-written", "request-sent", { "request", NULL } },
  { "request-sent", "request-answered", { "request", NULL } },
  { "job-submitted", "job-accepted", { "job", NULL } },
  { "job-accepted", "job-starting", { "job", NULL } },
  { "job-starting", "job-running", { "job", NULL } },
  { "job-running", "job-finished", { "job", NULL } },
  { "shard-acquired", "shard-lost", { "shard", "epoch" } },
  { "shard-acquired", "shard-released", { "shard", "epoch" } },
};

static void
add_violation (GPtrArray *violations,
               const char *what,
               const struct gr_record *later,
               const struct gr_record *earlier)
{
  g_ptr_array_add (violations,
                   g_strdup_printf ("%s\n  %s:%u: %s\n  %s:%u: %s", what,
                                    earlier->file, earlier->line, earlier->text,
                                    later->file, later->line, later->text));
}

/* Orders records by file and line. */
static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const struct gr_record *left = *(struct gr_record *const *)a;
  const struct gr_record *right = *(struct gr_record *const *)b;
  int order = strcmp (left->file, right->file);

  if (order == 0)
    order = left->line < right->line ? -1 : left->line > right->line;
  return order;
}

/* Checks that the logical time of each process increases from line to line. A
 * file may contain the lines of several processes. */
static void
check_logical_times (const GPtrArray *records, GPtrArray *violations)
{
  GPtrArray *lines = g_ptr_array_sized_new (records->len);
  GHashTable *last = g_hash_table_new (g_str_hash, g_str_equal);
  const char *file = NULL;

  for (guint i = 0; i < records->len; i++)
    g_ptr_array_add (lines, records->pdata[i]);
  g_ptr_array_sort (lines, compare_lines);
  for (guint i = 0; i < lines->len; i++)
    {
      struct gr_record *record = lines->pdata[i];
      const struct gr_record *previous;

      if (file == NULL || !g_str_equal (file, record->file))
        g_hash_table_remove_all (last);
      file = record->file;
      previous = g_hash_table_lookup (last, record->source);
      if (previous != NULL && previous->hlc >= record->hlc)
        add_violation (violations, "logical time does not increase:", record,
                       previous);
      g_hash_table_insert (last, record->source, record);
    }
  g_hash_table_destroy (last);
  g_ptr_array_unref (lines);
}

/* Returns event followed by the keys of the pair with the record's values, or
 * NULL if the record lacks one of the keys. Free with g_free (). */
static char *
pair_key (const struct cause_pair *pair,
          const char *event,
          const struct gr_record *record)
{
  GString *key = g_string_new (event);

  for (int i = 0; i < MAX_KEYS && pair->keys[i] != NULL; i++)
    {
      const char *value = gr_record_get (record, pair->keys[i]);

      if (value == NULL)
        {
          g_string_free (key, TRUE);
          return NULL;
        }
      g_string_append_printf (key, "\n%s=%s", pair->keys[i], value);
    }
  return g_string_free (key, FALSE);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
gr_timeline_dropped_events (struct gr_timeline *timeline)
{
  const GPtrArray *records = gr_timeline_records (timeline);
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < records->len; i++)
    {
      struct gr_record *record = records->pdata[i];

      if (gr_record_get (record, "dropped") != NULL
          && !g_ptr_array_find_with_equal_func (names, record->event,
                                                g_str_equal, NULL))
        g_ptr_array_add (names, g_strdup (record->event));
    }
  g_ptr_array_sort (names, compare_names);
  return names;
}

/* Returns a map from pair_key () of each cause to its first record. */
static GHashTable *
first_causes (const GPtrArray *records)
{
  GHashTable *first =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < records->len; i++)
    {
      struct gr_record *record = records->pdata[i];

      for (size_t p = 0; p < G_N_ELEMENTS (cause_pairs); p++)
        {
          char *key;

          if (!g_str_equal (cause_pairs[p].cause, record->event))
            continue;
          key = pair_key (&cause_pairs[p], cause_pairs[p].cause, record);
          if (key != NULL && !g_hash_table_contains (first, key))
            g_hash_table_insert (first, key, record);
          else
            g_free (key);
        }
    }
  return first;
}

static void
check_pair (const struct cause_pair *pair,
            const struct gr_record *record,
            GHashTable *first,
            GPtrArray *violations)
{
  char *key = pair_key (pair, pair->cause, record);
  const struct gr_record *cause =
      key == NULL ? NULL : g_hash_table_lookup (first, key);

  if (cause != NULL && cause->hlc >= record->hlc)
    add_violation (violations, "effect precedes its cause:", cause, record);
  g_free (key);
}

GPtrArray *
gr_timeline_check (struct gr_timeline *timeline)
{
  const GPtrArray *records = gr_timeline_records (timeline);
  GPtrArray *violations = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *dropped = gr_timeline_dropped_events (timeline);
  GHashTable *first = first_causes (records);

  check_logical_times (records, violations);
  for (guint i = 0; i < records->len; i++)
    for (size_t p = 0; p < G_N_ELEMENTS (cause_pairs); p++)
      {
        const struct gr_record *record = records->pdata[i];

        if (g_str_equal (cause_pairs[p].effect, record->event)
            && !g_ptr_array_find_with_equal_func (dropped, cause_pairs[p].cause,
                                                  g_str_equal, NULL))
          check_pair (&cause_pairs[p], record, first, violations);
      }
  g_hash_table_destroy (first);
  g_ptr_array_unref (dropped);
  return violations;
}
