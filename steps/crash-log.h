/* Recent crashes of workers, as a measure of what else crashed at the time of a
 * crash. Private to steps/. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct gr_crash_log;

/* Crashes of other workers around a crash under a job. */
struct gr_crash_context
{
  uint32_t others;      /* of workers without runs of the job */
  uint32_t unsuspected; /* of these, of workers without a run that is likely to
                           have caused it */
};

struct gr_crash_log *gr_crash_log_create (void);
void gr_crash_log_destroy (struct gr_crash_log *log);
/* Adds the crash of a worker on which the jobs had runs; jobs is an array of
 * ids that ends with NULL. suspected: one of these runs is likely to have
 * caused it. restarted: it was noticed only when the worker was back, so that
 * it crashed at some time before at_ms. */
void gr_crash_log_add (struct gr_crash_log *log,
                       const char *worker,
                       const char *const *jobs,
                       bool suspected,
                       bool restarted,
                       int64_t at_ms);
/* Counts the crashes of other workers than this one from from_ms to to_ms, as
 * seen by the job; those that were noticed by a restart only if restarted is
 * true. */
struct gr_crash_context gr_crash_log_context (const struct gr_crash_log *log,
                                              const char *worker,
                                              const char *job,
                                              bool restarted,
                                              int64_t from_ms,
                                              int64_t to_ms);
/* Removes crashes before the time. */
void gr_crash_log_forget (struct gr_crash_log *log, int64_t before_ms);
