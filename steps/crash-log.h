/* Recent crashes of workers, as a measure of what else crashed at the time of a
 * crash. Private to steps/. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The search ends here, as two decide and a thousand workers can crash at once
 * at a large site. */
#define GR_CRASH_MAX_UNSUSPECTED 16

struct gr_crash_log;

/* What ran on a worker that crashed. */
enum gr_crash_suspicion
{
  GR_CRASH_UNSUSPECTED, /* no run that is likely to have caused it */
  GR_CRASH_NEW_RUN,     /* a run that had just started */
  GR_CRASH_SUSPECTED,   /* a run of a task against which crashes count */
};

/* Crashes of other workers around a crash under a job. */
struct gr_crash_context
{
  uint32_t others;      /* of workers without runs of the job */
  uint32_t unsuspected; /* of these, GR_CRASH_UNSUSPECTED */
  uint32_t new_runs;    /* of these, GR_CRASH_NEW_RUN */
};

struct gr_crash_log *gr_crash_log_create (void);
void gr_crash_log_destroy (struct gr_crash_log *log);
/* Adds the crash of a worker on which the jobs had runs; jobs is an array of
 * ids that ends with NULL. restarted: it was noticed only when the worker was
 * back, so that it crashed at some time before at_ms. */
void gr_crash_log_add (struct gr_crash_log *log,
                       const char *worker,
                       const char *const *jobs,
                       enum gr_crash_suspicion suspicion,
                       bool restarted,
                       int64_t at_ms);
/* Removes the crash of the worker at at_ms. */
void gr_crash_log_remove (struct gr_crash_log *log,
                          const char *worker,
                          int64_t at_ms);
/* Counts the crashes of other workers than this one from from_ms to to_ms, as
 * seen by the job; those that were noticed by a restart only if restarted is
 * true. Stops at GR_CRASH_MAX_UNSUSPECTED. */
struct gr_crash_context gr_crash_log_context (const struct gr_crash_log *log,
                                              const char *worker,
                                              const char *job,
                                              bool restarted,
                                              int64_t from_ms,
                                              int64_t to_ms);
/* Removes crashes before the time. */
void gr_crash_log_forget (struct gr_crash_log *log, int64_t before_ms);
