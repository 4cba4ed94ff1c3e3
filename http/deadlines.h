/* Deadlines of many calls with one source of the main loop. A source for each
 * call would be looked at in each turn of the loop, which took a quarter of
 * the time of an owner of 200 workers. */
#pragma once

#include <glib.h>
#include <stdint.h>

struct gr_deadlines;

/* Embedded in what has a deadline; zeroed before its first use. */
struct gr_deadline
{
  struct gr_deadlines *deadlines; /* NULL while it is not set */
  int64_t at_us;                  /* g_get_monotonic_time () */
  void (*passed) (struct gr_deadline *deadline);
};

struct gr_deadlines *gr_deadlines_create (void);
/* All deadlines must be cleared before. */
void gr_deadlines_destroy (struct gr_deadlines *deadlines);

/* passed is called once from the main loop, unless it is cleared before. */
void gr_deadline_set (struct gr_deadlines *deadlines,
                      struct gr_deadline *deadline,
                      uint32_t after_ms,
                      void (*passed) (struct gr_deadline *deadline));
/* Nothing happens if it is not set. */
void gr_deadline_clear (struct gr_deadline *deadline);
