#include "common/call-limit.h"

#include <glib.h>

/* An answer can take this multiple of the last one's time. */
#define SLACK_FACTOR 2

static void
set_limit (struct gr_call_limit *limit, int64_t limit_ms)
{
  limit->limit_ms = (uint32_t)CLAMP (limit_ms, limit->least_ms, limit->most_ms);
}

uint32_t
gr_call_limit_ms (const struct gr_call_limit *limit)
{
  return MAX (limit->limit_ms, limit->least_ms);
}

void
gr_call_limit_answered (struct gr_call_limit *limit, int64_t took_ms)
{
  set_limit (limit, took_ms * SLACK_FACTOR);
}

void
gr_call_limit_timed_out (struct gr_call_limit *limit)
{
  set_limit (limit, (int64_t)gr_call_limit_ms (limit) * 2);
}
