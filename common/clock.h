/* Clocks with millisecond resolution. Modules that make decisions take the
 * current time as an argument (now_ms) and never read a clock, so tests can
 * control the time with a manual clock. */
#pragma once

#include <stdint.h>

struct gr_clock;

/* Creates a clock that counts the time since boot, including the time in which
 * the machine is suspended, because leases held by others expire during it too.
 * Owned by the caller. */
struct gr_clock *gr_clock_create (void);

/* Creates a clock that starts at start_ms and changes only through
 * gr_clock_advance (). Owned by the caller. */
struct gr_clock *gr_clock_create_manual (int64_t start_ms);

void gr_clock_destroy (struct gr_clock *clock);

/* Returns the milliseconds since an arbitrary start; never decreases. */
int64_t gr_clock_now_ms (const struct gr_clock *clock);

/* Advances a manual clock by step_ms, which must not be negative. */
void gr_clock_advance (struct gr_clock *clock, int64_t step_ms);

/* Returns the wall clock time in milliseconds since 1970, for logs and job
 * records. Must not be used for leases or timeouts. */
int64_t gr_clock_unix_ms (void);
