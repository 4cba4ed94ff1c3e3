#include "common/counter.h"

#include <string.h>

/* Upper bounds of the buckets. A last bucket without a bound follows them when
 * the histogram is printed. 3900 ms is the limit on the start of urgent work,
 * so it is a bound of its own. */
static const int64_t bounds_ms[] = { 1,      2,      5,       10,      20,
                                     50,     100,    200,     500,     1000,
                                     2000,   3900,   10000,   30000,   60000,
                                     300000, 900000, 3600000, 10800000 };

struct gr_counter
{
  char *name;
  char *labels;
  int64_t value;
};

struct gr_histogram
{
  char *name;
  char *labels;
  int64_t sum_ms;
  int64_t count;
  int64_t buckets[G_N_ELEMENTS (bounds_ms)];
};

struct gr_counters
{
  GPtrArray *list;
  GHashTable *by_key;
  GPtrArray *histograms;
  GHashTable *histograms_by_key;
};

static void
counter_free (void *data)
{
  struct gr_counter *counter = data;

  g_free (counter->name);
  g_free (counter->labels);
  g_free (counter);
}

static void
histogram_free (void *data)
{
  struct gr_histogram *histogram = data;

  g_free (histogram->name);
  g_free (histogram->labels);
  g_free (histogram);
}

struct gr_counters *
gr_counters_create (void)
{
  struct gr_counters *counters = g_new0 (struct gr_counters, 1);

  counters->list = g_ptr_array_new_with_free_func (counter_free);
  counters->by_key =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  counters->histograms = g_ptr_array_new_with_free_func (histogram_free);
  counters->histograms_by_key =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return counters;
}

void
gr_counters_destroy (struct gr_counters *counters)
{
  if (counters == NULL)
    return;
  g_hash_table_destroy (counters->by_key);
  g_hash_table_destroy (counters->histograms_by_key);
  g_ptr_array_free (counters->list, TRUE);
  g_ptr_array_free (counters->histograms, TRUE);
  g_free (counters);
}

struct gr_counter *
gr_counters_get (struct gr_counters *counters,
                 const char *name,
                 const char *labels)
{
  char *key = g_strconcat (name, "{", labels, NULL);
  struct gr_counter *counter = g_hash_table_lookup (counters->by_key, key);

  if (counter != NULL)
    {
      g_free (key);
      return counter;
    }
  counter = g_new0 (struct gr_counter, 1);
  counter->name = g_strdup (name);
  counter->labels = g_strdup (labels);
  g_ptr_array_add (counters->list, counter);
  g_hash_table_insert (counters->by_key, key, counter);
  return counter;
}

void
gr_counter_add (struct gr_counter *counter, int64_t amount)
{
  counter->value += amount;
}

void
gr_counter_set (struct gr_counter *counter, int64_t value)
{
  counter->value = value;
}

int64_t
gr_counter_value (const struct gr_counter *counter)
{
  return counter->value;
}

struct gr_histogram *
gr_counters_histogram (struct gr_counters *counters,
                       const char *name,
                       const char *labels)
{
  char *key = g_strconcat (name, "{", labels, NULL);
  struct gr_histogram *histogram =
      g_hash_table_lookup (counters->histograms_by_key, key);

  if (histogram != NULL)
    {
      g_free (key);
      return histogram;
    }
  histogram = g_new0 (struct gr_histogram, 1);
  histogram->name = g_strdup (name);
  histogram->labels = g_strdup (labels);
  g_ptr_array_add (counters->histograms, histogram);
  g_hash_table_insert (counters->histograms_by_key, key, histogram);
  return histogram;
}

void
gr_histogram_observe (struct gr_histogram *histogram, int64_t value_ms)
{
  histogram->sum_ms += value_ms;
  histogram->count++;
  for (size_t i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    if (value_ms <= bounds_ms[i])
      {
        histogram->buckets[i]++;
        return;
      }
}

static void
print_histogram (const struct gr_histogram *histogram, GString *text)
{
  const char *separator = histogram->labels[0] == '\0' ? "" : ",";
  int64_t sum = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    {
      sum += histogram->buckets[i];
      g_string_append_printf (
          text,
          "geraniumrack_%s_bucket{%s%sle=\"%" G_GINT64_FORMAT
          "\"} %" G_GINT64_FORMAT "\n",
          histogram->name, histogram->labels, separator, bounds_ms[i], sum);
    }
  g_string_append_printf (
      text, "geraniumrack_%s_bucket{%s%sle=\"+Inf\"} %" G_GINT64_FORMAT "\n",
      histogram->name, histogram->labels, separator, histogram->count);
  g_string_append_printf (
      text, "geraniumrack_%s_sum{%s} %" G_GINT64_FORMAT "\n", histogram->name,
      histogram->labels, histogram->sum_ms);
  g_string_append_printf (text,
                          "geraniumrack_%s_count{%s} %" G_GINT64_FORMAT "\n",
                          histogram->name, histogram->labels, histogram->count);
}

void
gr_counters_print (const struct gr_counters *counters, GString *text)
{
  for (guint i = 0; i < counters->list->len; i++)
    {
      const struct gr_counter *counter = counters->list->pdata[i];

      g_string_append_printf (text,
                              "geraniumrack_%s{%s} %" G_GINT64_FORMAT "\n",
                              counter->name, counter->labels, counter->value);
    }
  for (guint i = 0; i < counters->histograms->len; i++)
    print_histogram (counters->histograms->pdata[i], text);
}
