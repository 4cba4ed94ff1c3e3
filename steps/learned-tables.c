#include "steps/samples.h"

/* Access to the tables of learned run times and speeds, for metrics and for the
 * stored record. */

static void
count_key (const struct gr_run_time_row *row, void *context)
{
  (void)row;
  ++*(uint32_t *)context;
}

void
gr_steps_learning (const struct gr_steps *steps,
                   struct gr_steps_learning *learning)
{
  *learning = steps->samples.counts;
  gr_steps_each_learned_run_time (steps, count_key, &learning->keys);
  if (steps->samples.speeds == NULL)
    return;
  learning->uneven = gr_speeds_uneven (steps->samples.speeds);
  gr_speeds_summarize (steps->samples.speeds, &learning->speeds);
}

void
gr_steps_each_learned_run_time (
    const struct gr_steps *steps,
    void (*visit) (const struct gr_run_time_row *row, void *context),
    void *context)
{
  if (steps->samples.run_times != NULL)
    gr_run_times_each (steps->samples.run_times, visit, context);
}

void
gr_steps_each_learned_speed (const struct gr_steps *steps,
                             void (*visit) (const struct gr_speed_row *row,
                                            void *context),
                             void *context)
{
  if (steps->samples.speeds != NULL)
    gr_speeds_each (steps->samples.speeds, visit, context);
}

bool
gr_steps_restore_run_time (struct gr_steps *steps,
                           const struct gr_run_time_row *row)
{
  return steps->samples.run_times == NULL
         || gr_run_times_restore (steps->samples.run_times, row);
}

bool
gr_steps_restore_speed (struct gr_steps *steps, const struct gr_speed_row *row)
{
  if (steps->samples.speeds == NULL)
    return true;
  steps->samples.slowness_stale = true;
  return gr_speeds_restore (steps->samples.speeds, row);
}

bool
gr_steps_learned_speeds_state (const struct gr_steps *steps,
                               struct gr_speeds_state *state)
{
  if (steps->samples.speeds == NULL)
    return false;
  gr_speeds_get_state (steps->samples.speeds, state);
  return true;
}

bool
gr_steps_restore_speeds_state (struct gr_steps *steps,
                               const struct gr_speeds_state *state)
{
  if (steps->samples.speeds == NULL)
    return true;
  steps->samples.slowness_stale = true;
  return gr_speeds_restore_state (steps->samples.speeds, state);
}

void
gr_steps_reset_learned (struct gr_steps *steps)
{
  gr_samples_destroy_tables (steps);
  gr_samples_create_tables (steps);
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      worker->learned_slowness = 1.0;
      worker->speed_samples = 0;
    }
}
