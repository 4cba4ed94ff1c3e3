#include "standins/load-stats.h"

struct gr_load_stats
{
  GHashTable *kinds; /* name -> GArray of gint64, latencies in us */
};

static void
free_latency_list (void *latencies)
{
  g_array_free (latencies, TRUE);
}

struct gr_load_stats *
gr_load_stats_create (void)
{
  struct gr_load_stats *stats = g_new0 (struct gr_load_stats, 1);

  stats->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        free_latency_list);
  return stats;
}

void
gr_load_stats_destroy (struct gr_load_stats *stats)
{
  if (stats == NULL)
    return;
  g_hash_table_destroy (stats->kinds);
  g_free (stats);
}

void
gr_load_stats_add (struct gr_load_stats *stats,
                   const char *kind,
                   int64_t latency_us)
{
  GArray *latencies = g_hash_table_lookup (stats->kinds, kind);
  gint64 value = latency_us;

  if (latencies == NULL)
    {
      latencies = g_array_new (FALSE, FALSE, sizeof (gint64));
      g_hash_table_insert (stats->kinds, g_strdup (kind), latencies);
    }
  g_array_append_val (latencies, value);
}

static int
compare_latencies (const void *a, const void *b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;

  return (left > right) - (left < right);
}

/* Returns the nearest-rank percentile: the smallest value that at least percent
 * of all values do not exceed. */
static double
percentile_ms (const GArray *sorted, guint percent)
{
  guint rank = (sorted->len * percent + 99) / 100;

  return (double)g_array_index (sorted, gint64, MAX (rank, 1) - 1) / 1000.0;
}

static int
compare_names (const void *a, const void *b)
{
  return g_strcmp0 (a, b);
}

void
gr_load_stats_append_table (const struct gr_load_stats *stats, GString *text)
{
  GList *names =
      g_list_sort (g_hash_table_get_keys (stats->kinds), compare_names);

  g_string_append_printf (text, "%-28s %8s %9s %9s %9s\n", "outcome", "count",
                          "p50_ms", "p99_ms", "max_ms");
  for (GList *item = names; item != NULL; item = item->next)
    {
      GArray *latencies = g_hash_table_lookup (stats->kinds, item->data);

      g_array_sort (latencies, compare_latencies);
      g_string_append_printf (
          text, "%-28s %8u %9.1f %9.1f %9.1f\n", (const char *)item->data,
          latencies->len, percentile_ms (latencies, 50),
          percentile_ms (latencies, 99), percentile_ms (latencies, 100));
    }
  g_list_free (names);
}
