#include "steps/gang-wait.h"

#include "steps/availability.h"
#include "steps/deadline.h"
#include "steps/place.h"

#include "common/log.h"

/* The end of a run is known after a poll (0.1 s) at most. */
#define RUN_END_DELAY_MS 100

/* A wait is worth it if it gains this many times what it costs, as expected
 * ends of runs are uncertain by about a third of their run time. */
#define MIN_GAIN_FACTOR 2

/* Finds the workers on which the gang would complete first, among those that
 * are fast enough or the fastest. Returns false if the wait is not worth it. */
static bool
find_faster (struct gr_steps *steps,
             struct step *step,
             double slowness,
             struct availability *best)
{
  GPtrArray *racks = gr_racks (steps);
  double run_ms = (double)gr_deadline (steps, step)->run_ms;
  double max_slowness =
      MAX (gr_deadline_max_slowness (steps, step), steps->fastest);
  double best_gain_ms = 0;

  *best = (struct availability){ 0 };
  for (guint i = 0; i < racks->len; i++)
    {
      const struct rack *rack = racks->pdata[i];
      struct availability found;
      double wait_ms;
      double gain_ms;

      if (!gr_availability_find (steps, step, rack->workers, max_slowness,
                                 &found))
        continue;
      found.wait_ms += RUN_END_DELAY_MS;
      wait_ms = (double)found.wait_ms;
      gain_ms = run_ms * (slowness - found.slowness);
      if (gain_ms >= wait_ms * MIN_GAIN_FACTOR
          && gain_ms - wait_ms > best_gain_ms)
        {
          struct availability worse = *best;

          best_gain_ms = gain_ms - wait_ms;
          *best = found;
          found = worse;
        }
      g_clear_pointer (&found.workers, g_ptr_array_unref);
    }
  return best->workers != NULL;
}

static void
log_wait (const struct step *step,
          double slowness,
          const struct availability *wait)
{
  char text[3][24];

  g_snprintf (text[0], sizeof text[0], "%" G_GINT64_FORMAT, wait->wait_ms);
  g_snprintf (text[1], sizeof text[1], "%.2f", slowness);
  g_snprintf (text[2], sizeof text[2], "%.2f", wait->slowness);
  gr_log_event ("gang-waits", "job", gr_step_job (step)->spec->id, "wait-ms",
                text[0], "slowest-member", text[1], "slowest-member-then",
                text[2], NULL);
}

bool
gr_gang_waits (struct gr_steps *steps, struct step *step, double slowness)
{
  struct availability wait;

  if (gr_step_job (step)->queue->priority != 0 || gr_step_is_guaranteed (step)
      || step->spec->data_rack != NULL)
    return false;
  if (step->wait_until_ms != 0)
    return steps->now_ms < step->wait_until_ms
           && slowness > step->wait_slowness;
  step->wait_until_ms = steps->now_ms;
  if (!find_faster (steps, step, slowness, &wait))
    return false;
  steps->placement.gangs_waited++;
  log_wait (step, slowness, &wait);
  if (steps->settings.objectives == GR_MODE_ON)
    {
      /* Not longer than the gain, of which the wait is at most a share. */
      step->wait_until_ms = steps->now_ms + wait.wait_ms;
      step->wait_slowness = wait.slowness;
      for (guint i = 0; i < wait.workers->len; i++)
        {
          struct worker *worker = wait.workers->pdata[i];

          gr_worker_reserve (steps, worker, step);
          worker->reserved_until_ms =
              MAX (worker->reserved_until_ms, step->wait_until_ms);
        }
    }
  g_ptr_array_unref (wait.workers);
  return steps->now_ms < step->wait_until_ms;
}
