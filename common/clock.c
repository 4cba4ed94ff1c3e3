#include "common/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <time.h>

struct gr_clock
{
  bool manual;
  int64_t now_ms;
};

struct gr_clock *
gr_clock_create (void)
{
  return g_new0 (struct gr_clock, 1);
}

struct gr_clock *
gr_clock_create_manual (int64_t start_ms)
{
  struct gr_clock *clock = g_new0 (struct gr_clock, 1);

  clock->manual = true;
  clock->now_ms = start_ms;
  return clock;
}

void
gr_clock_destroy (struct gr_clock *clock)
{
  g_free (clock);
}

int64_t
gr_clock_now_ms (const struct gr_clock *clock)
{
  struct timespec now;

  if (clock->manual)
    return clock->now_ms;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
gr_clock_advance (struct gr_clock *clock, int64_t step_ms)
{
  g_return_if_fail (clock->manual && step_ms >= 0);
  clock->now_ms += step_ms;
}

int64_t
gr_clock_unix_ms (void)
{
  return g_get_real_time () / 1000;
}
