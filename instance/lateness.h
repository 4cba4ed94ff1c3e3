/* How late this process and its network link are, and the timeouts that follow
 * from it. Does no I/O.
 *
 * Designed for an owner whose processor or link is full: all its answers arrive
 * late then, and timeouts for an idle process would make it take its own
 * lateness for the failure of healthy workers. It would close their
 * connections, give up their runs and start them again, which makes more load.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct gr_lateness
{
  int64_t loop_ms;     /* recent lateness of the main loop */
  double response_ms;  /* smoothed time from a call to its response */
  double deviation_ms; /* smoothed deviation from response_ms */
  bool has_response;
};

/* Records how late a periodic timer fired. Earlier lateness decays gradually.
 */
void gr_lateness_add_loop (struct gr_lateness *lateness, int64_t late_ms);

/* Records the time that a worker took to answer a call that returns at once.
 * Calls that got no answer are recorded with the time that was waited, but only
 * the first one of a worker: a worker that is gone must not make this process
 * look late. */
void gr_lateness_add_response (struct gr_lateness *lateness, int64_t time_ms);

/* Timeout for a call that a process without load gives base_ms. */
uint32_t gr_lateness_timeout_ms (const struct gr_lateness *lateness,
                                 uint32_t base_ms);

/* True if missing answers do not show that a worker is unreachable. */
bool gr_lateness_is_overloaded (const struct gr_lateness *lateness);
