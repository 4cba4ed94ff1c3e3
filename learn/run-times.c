#include "learn/run-times.h"

#include <glib.h>

struct gr_run_times
{
  uint32_t max_keys;
};

struct gr_run_times *
gr_run_times_create (uint32_t max_keys)
{
  struct gr_run_times *times = g_new0 (struct gr_run_times, 1);

  times->max_keys = max_keys;
  return times;
}

void
gr_run_times_destroy (struct gr_run_times *times)
{
  g_free (times);
}

void
gr_run_times_add (struct gr_run_times *times,
                  const struct gr_run_time_keys *keys,
                  int64_t estimate_ms,
                  int64_t ran_ms)
{
  (void)times;
  (void)keys;
  (void)estimate_ms;
  (void)ran_ms;
}

int64_t
gr_run_times_expect (const struct gr_run_times *times,
                     const struct gr_run_time_keys *keys,
                     int64_t estimate_ms,
                     double quantile)
{
  (void)times;
  (void)keys;
  (void)quantile;
  return MAX (estimate_ms, 1);
}

void
gr_run_times_each (const struct gr_run_times *times,
                   void (*visit) (const struct gr_run_time_row *row,
                                  void *context),
                   void *context)
{
  (void)times;
  (void)visit;
  (void)context;
}

bool
gr_run_times_restore (struct gr_run_times *times,
                      const struct gr_run_time_row *row)
{
  (void)times;
  (void)row;
  return false;
}
