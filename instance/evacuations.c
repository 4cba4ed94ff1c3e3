#include "instance/evacuations.h"

/* Entries of restored data centres are kept with the revision of their
 * deletion, so that an older request cannot take effect again. There are as
 * many as the operator has ever named, a few. */
struct gr_evacuations
{
  GHashTable *rows; /* data centre -> struct gr_evacuation */
  uint32_t read_number;
};

static void
row_destroy (void *data)
{
  struct gr_evacuation *row = data;

  g_free (row->data_centre);
  g_free (row);
}

struct gr_evacuations *
gr_evacuations_create (void)
{
  struct gr_evacuations *evacuations = g_new0 (struct gr_evacuations, 1);

  evacuations->rows =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, row_destroy);
  return evacuations;
}

void
gr_evacuations_destroy (struct gr_evacuations *evacuations)
{
  if (evacuations == NULL)
    return;
  g_hash_table_destroy (evacuations->rows);
  g_free (evacuations);
}

static struct gr_evacuation *
get_row (struct gr_evacuations *evacuations, const char *data_centre)
{
  struct gr_evacuation *row =
      g_hash_table_lookup (evacuations->rows, data_centre);

  if (row != NULL)
    return row;
  row = g_new0 (struct gr_evacuation, 1);
  row->data_centre = g_strdup (data_centre);
  g_hash_table_insert (evacuations->rows, row->data_centre, row);
  return row;
}

bool
gr_evacuations_apply (struct gr_evacuations *evacuations,
                      const char *data_centre,
                      bool deleted,
                      int64_t revision,
                      int64_t now_ms)
{
  struct gr_evacuation *row = get_row (evacuations, data_centre);
  bool changed;

  if (!deleted)
    row->read_number = evacuations->read_number;
  if (revision <= row->revision)
    return false;
  changed = row->evacuated == deleted;
  row->revision = revision;
  row->evacuated = !deleted;
  if (changed)
    row->since_ms = now_ms;
  return changed;
}

void
gr_evacuations_begin_read (struct gr_evacuations *evacuations)
{
  evacuations->read_number++;
}

bool
gr_evacuations_end_read (struct gr_evacuations *evacuations, int64_t as_of)
{
  GHashTableIter iter;
  void *value;
  bool changed = false;

  g_hash_table_iter_init (&iter, evacuations->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gr_evacuation *row = value;

      if (!row->evacuated || row->revision > as_of
          || row->read_number == evacuations->read_number)
        continue;
      row->evacuated = false;
      row->revision = as_of;
      changed = true;
    }
  return changed;
}

void
gr_evacuations_each (const struct gr_evacuations *evacuations,
                     void (*visit) (const struct gr_evacuation *row,
                                    void *context),
                     void *context)
{
  GHashTableIter iter;
  void *row;

  g_hash_table_iter_init (&iter, evacuations->rows);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    visit (row, context);
}

void
gr_evacuations_set_metrics (const struct gr_evacuations *evacuations,
                            bool enabled,
                            int64_t now_ms,
                            struct gr_counters *counters)
{
  GHashTableIter iter;
  void *value;
  int64_t evacuated = 0;

  g_hash_table_iter_init (&iter, evacuations->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gr_evacuation *row = value;
      bool counts = enabled && row->evacuated;
      g_autofree char *name = g_strescape (row->data_centre, NULL);
      g_autofree char *labels = g_strdup_printf ("data_centre=\"%s\"", name);

      evacuated += counts;
      gr_counter_set (
          gr_counters_get (counters, "data_centre_evacuated_ms", labels),
          counts ? now_ms - row->since_ms : 0);
    }
  gr_counter_set (gr_counters_get (counters, "data_centres_evacuated", ""),
                  evacuated);
}
