/* Millisecond clock. Decision modules take now_ms as an argument and never
 * read a clock themselves; tests drive a manual clock. */
#pragma once

#include <stdint.h>

struct gr_clock;

/* A clock that follows the time since boot, which also counts while the machine
 * is suspended: leases of others expire then. Owned by the caller. */
struct gr_clock *gr_clock_create (void);

/* A clock that moves only by gr_clock_advance (). Owned by the caller. */
struct gr_clock *gr_clock_create_manual (int64_t start_ms);

void gr_clock_destroy (struct gr_clock *clock);

/* Milliseconds since an arbitrary start; never goes back. */
int64_t gr_clock_now_ms (const struct gr_clock *clock);

/* Only for a manual clock. step_ms must not be negative. */
void gr_clock_advance (struct gr_clock *clock, int64_t step_ms);

/* Wall clock time in milliseconds since 1970, for logs and job records.
 * Never used to decide on leases or timeouts. */
int64_t gr_clock_unix_ms (void);
