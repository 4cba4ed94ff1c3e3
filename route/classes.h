/* Learned run times of requests by account and kind, and the division into
 * short and long kinds. Kinds come from callers, so their number is bounded. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A kind whose median run time is at least this is long. Urgent work must
 * start within 3.9 s, so a slot held for 1 s still frees in time. */
#define GR_LONG_MS 1000

/* Kinds that are remembered; the one used longest ago is forgotten. */
#define GR_CLASSES_MAX 4096

struct gr_classes;

struct gr_classes *gr_classes_create (void);
void gr_classes_destroy (struct gr_classes *classes);

/* Median of the last run times; 0 if nothing is known. */
int64_t gr_classes_estimate_ms (struct gr_classes *classes,
                                const char *account,
                                const char *kind);

/* Whether new work of the kind counts as long. Unknown kinds are short until
 * one overruns. */
bool gr_classes_is_long (struct gr_classes *classes,
                         const char *account,
                         const char *kind);

void gr_classes_learn (struct gr_classes *classes,
                       const char *account,
                       const char *kind,
                       int64_t run_ms);

/* Work of the kind has run for GR_LONG_MS and has not ended. The kind counts as
 * long at once, without waiting for the end of that work. */
void gr_classes_overrun (struct gr_classes *classes,
                         const char *account,
                         const char *kind);

/* Smoothed run time over all kinds; 0 if nothing is known. */
int64_t gr_classes_mean_ms (const struct gr_classes *classes);
