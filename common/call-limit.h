/* Time limit for calls to a service that may be slow for a while. A fixed limit
 * below the time that the service takes would let every call fail. */
#pragma once

#include <stdint.h>

struct gr_call_limit
{
  uint32_t least_ms;
  uint32_t most_ms;
  uint32_t limit_ms; /* for the next call; 0: least_ms */
};

/* Returns the limit for the next call. */
uint32_t gr_call_limit_ms (const struct gr_call_limit *limit);

/* A call was answered after took_ms; the next ones may take twice as long. */
void gr_call_limit_answered (struct gr_call_limit *limit, int64_t took_ms);

/* A call was not answered in time; the limit doubles. */
void gr_call_limit_timed_out (struct gr_call_limit *limit);
