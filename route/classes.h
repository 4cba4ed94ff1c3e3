/* Run times of past requests by account and kind, and the division into short
 * and long kinds. Callers choose the names of kinds, so the number of
 * remembered kinds is bounded. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A kind whose median run time is at least this long is a long kind. Urgent
 * work must start within 3.9 s; a slot that is held for 1 s becomes free in
 * time for that. */
#define GR_LONG_RUN_MS 1000

/* Maximum number of remembered kinds; the least recently used one is
 * evicted. */
#define GR_CLASSES_MAX 4096

struct gr_classes;

struct gr_classes *gr_classes_create (void);
void gr_classes_destroy (struct gr_classes *classes);

/* Returns the median of the last run times of the kind; 0 if none is known. */
int64_t gr_classes_estimate_ms (struct gr_classes *classes,
                                const char *account,
                                const char *kind);

/* Returns true if new work of the kind counts as long. Unknown kinds count as
 * short until one of their requests overruns. */
bool gr_classes_is_long (struct gr_classes *classes,
                         const char *account,
                         const char *kind);

/* Records the run time of a request that has ended. */
void gr_classes_record_run (struct gr_classes *classes,
                            const char *account,
                            const char *kind,
                            int64_t run_ms);

/* Records that a request of the kind has run for GR_LONG_RUN_MS and has not
 * ended yet, as a sample of GR_LONG_RUN_MS. An unknown kind thereby becomes a
 * long kind even before its first request has ended. */
void gr_classes_record_overrun (struct gr_classes *classes,
                                const char *account,
                                const char *kind);

/* Returns the moving average of the run times of all kinds; 0 if none is
 * known. */
int64_t gr_classes_mean_ms (const struct gr_classes *classes);
