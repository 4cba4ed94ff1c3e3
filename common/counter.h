/* Counters, gauges and histograms, printed in the text format that monitoring
 * systems scrape. Each process has one registry. Not thread safe. */
#pragma once

#include <glib.h>
#include <stdint.h>

struct gr_counters;
struct gr_counter;
struct gr_histogram;

struct gr_counters *gr_counters_create (void);
void gr_counters_destroy (struct gr_counters *counters);

/* Returns the counter or gauge with this name and label text, for example
 * ("kv_calls_total", "cause=\"settings\""). It is created on first use and
 * owned by the registry. labels may be "". */
struct gr_counter *gr_counters_get (struct gr_counters *counters,
                                    const char *name,
                                    const char *labels);

void gr_counter_add (struct gr_counter *counter, int64_t amount);
void gr_counter_set (struct gr_counter *counter, int64_t value);
int64_t gr_counter_value (const struct gr_counter *counter);

/* Returns the histogram with this name and label text. Values are in
 * milliseconds; bucket bounds are fixed, from 1 ms to 3 hours. It is created on
 * first use and owned by the registry. labels may be "". */
struct gr_histogram *gr_counters_histogram (struct gr_counters *counters,
                                            const char *name,
                                            const char *labels);
void gr_histogram_observe (struct gr_histogram *histogram, int64_t value_ms);

/* Appends all metrics to text. Names are prefixed with "geraniumrack_". */
void gr_counters_print (const struct gr_counters *counters, GString *text);
