/* Load on entry instances: a bounded mix of requests and jobs for a bounded
 * time, and a comparison of what callers were told with what the stand-ins of
 * executors and workers say has run. */
#pragma once

#include "common/error.h"

#include <stdbool.h>
#include <stdint.h>

struct gr_load;

struct gr_load_settings
{
  const char *const *entries;   /* "IP:PORT", NULL at the end */
  const char *const *executors; /* the same; may be NULL */
  const char *const *workers;   /* the same; may be NULL */
  const char *account;
  const char *token; /* may be NULL */
  uint32_t seed;
  uint32_t duration_ms;
  uint32_t drain_ms; /* for jobs to end after the last one was submitted */
  double requests_per_s;
  double jobs_per_s;
  uint32_t run_ms;         /* mean run time of requests and jobs */
  uint32_t long_percent;   /* requests that run 20 times as long */
  uint32_t once_percent;   /* requests and jobs that are not idempotent */
  uint32_t repeat_percent; /* requests that are sent to two entries at once */
  uint32_t gang_percent;   /* jobs of two workers */
  uint32_t deadline_ms;
};

/* done is called once with the number of statements that were not true. The
 * report is printed on standard output before. NULL and error if an address is
 * not on loopback. */
struct gr_load *gr_load_create (const struct gr_load_settings *settings,
                                void (*done) (uint32_t violations,
                                              void *context),
                                void *context,
                                struct gr_error *error);
void gr_load_destroy (struct gr_load *load);
