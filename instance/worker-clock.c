#include "instance/worker-clock.h"

/* A worker's clock can be 2 % slow, according to the platform; 1 % is added for
 * the owner's. */
#define DRIFT_SHARE 0.03

/* Covers rounding to milliseconds and delays within the worker. */
#define MARGIN_MS 100

int64_t
gr_worker_clock_read (const struct gr_worker_clock *clock, int64_t now_ms)
{
  if (clock->clock_ms == 0)
    return 0;
  return clock->clock_ms + now_ms - clock->handled_ms;
}

bool
gr_worker_clock_is_current (const struct gr_worker_clock *clock, int64_t now_ms)
{
  return clock->clock_ms != 0
         && now_ms - clock->handled_ms <= GR_WORKER_CLOCK_MAX_AGE_MS;
}

/* The worker has read its clock at some time between the sending of the call
 * and the handling of its answer; this holds for the known time as well. */
static bool
is_same_clock (const struct gr_worker_clock *clock,
               int64_t clock_ms,
               int64_t sent_ms,
               int64_t now_ms)
{
  int64_t drift_ms = (int64_t)((double)(now_ms - clock->sent_ms) * DRIFT_SHARE);
  int64_t tolerance_ms = drift_ms + MARGIN_MS;
  int64_t earliest_ms = gr_worker_clock_read (clock, sent_ms);
  int64_t latest_ms =
      gr_worker_clock_read (clock, now_ms) + clock->handled_ms - clock->sent_ms;

  return clock_ms >= earliest_ms - tolerance_ms
         && clock_ms <= latest_ms + tolerance_ms;
}

bool
gr_worker_clock_update (struct gr_worker_clock *clock,
                        int64_t incarnation_unix_ms,
                        int64_t clock_ms,
                        int64_t sent_ms,
                        int64_t now_ms)
{
  bool same;

  if (incarnation_unix_ms == 0 || clock_ms == 0
      || (clock->clock_ms != 0 && sent_ms < clock->sent_ms))
    return true;
  same = clock->clock_ms == 0
         || (clock->incarnation_unix_ms == incarnation_unix_ms
             && is_same_clock (clock, clock_ms, sent_ms, now_ms));
  *clock = (struct gr_worker_clock){ incarnation_unix_ms, clock_ms, now_ms,
                                     sent_ms };
  return same;
}
