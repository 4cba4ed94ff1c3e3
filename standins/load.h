/* Load generator for entry instances: sends a bounded mix of requests and jobs
 * for a bounded time, then compares the outcomes that clients got with what the
 * stand-ins of executors and workers have run. */
#pragma once

#include "common/error.h"

#include <stdbool.h>
#include <stdint.h>

struct gr_load;

/* Strings and arrays are not copied and must outlive the load. */
struct gr_load_settings
{
  const char *const *entries;   /* "IP:PORT", NULL-terminated */
  const char *const *executors; /* NULL-terminated; may be NULL */
  const char *const *workers;   /* NULL-terminated; may be NULL */
  const char *account;
  const char *token; /* may be NULL */
  uint32_t seed;     /* also part of the request and job keys */
  uint32_t duration_ms;
  uint32_t drain_ms; /* longest wait for jobs to end after duration_ms */
  double requests_per_s;
  double jobs_per_s;
  uint32_t run_ms;                 /* mean run time of requests and jobs */
  uint32_t long_percent;           /* requests that run 20 times as long */
  uint32_t non_idempotent_percent; /* of requests and jobs */
  uint32_t repeat_percent; /* requests that are sent twice at the same time */
  uint32_t gang_percent;   /* jobs that need two workers */
  uint32_t deadline_ms;    /* of requests */
};

/* Starts the load. At the end, prints the report to standard output and then
 * calls done once with the number of violations, which are outcomes that
 * contradict what has run. Returns NULL and sets error if an address is not on
 * loopback. */
struct gr_load *gr_load_create (const struct gr_load_settings *settings,
                                void (*done) (uint32_t violations,
                                              void *context),
                                void *context,
                                struct gr_error *error);

/* load may be NULL. */
void gr_load_destroy (struct gr_load *load);
