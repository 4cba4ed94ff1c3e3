/* Counts and latencies by kind of outcome. Internal to the load tool. */
#pragma once

#include <glib.h>
#include <stdint.h>

struct gr_load_stats;

struct gr_load_stats *gr_load_stats_create (void);

/* stats may be NULL. */
void gr_load_stats_destroy (struct gr_load_stats *stats);

/* Adds one latency. kind is for example "request ok". */
void gr_load_stats_add (struct gr_load_stats *stats,
                        const char *kind,
                        int64_t latency_us);

/* Appends a table with one line for each kind: count, p50, p99 and maximum in
 * milliseconds. */
void gr_load_stats_append_table (const struct gr_load_stats *stats,
                                 GString *text);
