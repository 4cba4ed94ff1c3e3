/* The clock of a worker's process, as known from its answers. Leases are times
 * on it. A process that has been restarted has another clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Zero: unknown. */
struct gr_worker_clock
{
  int64_t incarnation_unix_ms; /* of the process */
  int64_t clock_ms;            /* worker's clock at handled_ms of ours */
  int64_t handled_ms;
  int64_t sent_ms; /* when the call that was answered so was sent */
};

/* Takes the time clock_ms (0: none) from an answer of a process (0: it is not
 * known which) that is handled at now_ms; its call was sent at sent_ms. Ignored
 * without a process, or if the call was sent earlier than that of the known
 * time. Returns false if the process or the clock is another than the known
 * one. */
bool gr_worker_clock_update (struct gr_worker_clock *clock,
                             int64_t incarnation_unix_ms,
                             int64_t clock_ms,
                             int64_t sent_ms,
                             int64_t now_ms);
/* Leases may be granted on a clock that was read within this time: a slow clock
 * prolongs them by 2 % of the time since, and a successor allows 0.2 s. */
#define GR_WORKER_CLOCK_MAX_AGE_MS 10000

/* True if leases may be granted on the clock at now_ms. */
bool gr_worker_clock_is_current (const struct gr_worker_clock *clock,
                                 int64_t now_ms);
/* Estimate of the worker's clock at now_ms; 0 if it is unknown. */
int64_t gr_worker_clock_read (const struct gr_worker_clock *clock,
                              int64_t now_ms);
