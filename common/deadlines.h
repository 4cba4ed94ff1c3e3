/* Deadlines of many calls that share one main loop source. With one source per
 * call, the main loop would check all of them in each iteration. That took a
 * quarter of the CPU time of a shard owner with 200 workers. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gr_deadlines;

/* A deadline, embedded in the struct that it applies to. Must be zeroed before
 * its first use. */
struct gr_deadline
{
  struct gr_deadlines *deadlines; /* NULL while not set */
  int64_t at_us;                  /* in time of g_get_monotonic_time () */
  bool postponed;
  void (*on_expiry) (struct gr_deadline *deadline);
};

struct gr_deadlines *gr_deadlines_create (void);
/* All deadlines must have expired or been cleared. May be called by on_expiry.
 */
void gr_deadlines_destroy (struct gr_deadlines *deadlines);

/* Sets a deadline that is not set, after_ms from now. on_expiry is called once
 * from the main loop, unless the deadline is cleared first; up to 20 ms later
 * if the main loop is late. */
void gr_deadline_set (struct gr_deadlines *deadlines,
                      struct gr_deadline *deadline,
                      uint32_t after_ms,
                      void (*on_expiry) (struct gr_deadline *deadline));
/* Does nothing if the deadline is not set. */
void gr_deadline_clear (struct gr_deadline *deadline);
