#include "steps/deadline.h"

#include "steps/forecast.h"

#include <math.h>

/* Learned times change with each run that ends, but not by much; computing them
 * this often is enough, and keeps a pass with hundreds of waiting steps short.
 */
#define REFRESH_MS 500

/* Run times of the tasks of a step have a standard deviation of 0.35 in the
 * logarithm (docs/design/README.md), so one in ten takes longer than
 * exp (1.28 * 0.35) times the median. Applies where nothing is learned. */
#define LATE_RUN_FACTOR 1.57
#define LATE_RUN_QUANTILE 0.9

/* Speeds within one class count as equal. Six samples determine a slowness to
 * about 0.35 / sqrt (6) in the logarithm, which is this factor. */
#define SPEED_CLASS_FACTOR 1.15
#define MAX_SPEED_CLASS 20

/* Longest chain of expected run times after the step. A step depends only on
 * earlier ones. */
static int64_t
rest_of_chain_ms (const struct gr_steps *steps, const struct step *step)
{
  const struct occurrence *occurrence = step->occurrence;
  uint32_t n_steps = occurrence->job->spec->n_steps;
  int64_t *chain;
  int64_t longest = 0;

  if (step->number + 1 >= n_steps)
    return 0;
  chain = g_new0 (int64_t, n_steps);
  for (uint32_t i = step->number + 1; i < n_steps; i++)
    {
      const struct step *later = &occurrence->steps[i];
      int64_t before = -1;

      for (uint32_t k = 0; k < later->spec->n_after; k++)
        {
          uint32_t number = later->spec->after[k];

          if (number == step->number)
            before = MAX (before, 0);
          else if (number > step->number && chain[number] > 0)
            before = MAX (before, chain[number]);
        }
      if (before >= 0)
        chain[i] = before + gr_forecast_run_ms (steps, later, 0.5);
      longest = MAX (longest, chain[i]);
    }
  g_free (chain);
  return longest;
}

const struct deadline *
gr_deadline (const struct gr_steps *steps, struct step *step)
{
  struct deadline *deadline = &step->deadline;
  const struct job *job = gr_step_job (step);

  if (deadline->checked_ms != 0
      && steps->now_ms - deadline->checked_ms < REFRESH_MS)
    return deadline;
  deadline->checked_ms = steps->now_ms;
  deadline->run_ms = gr_forecast_run_ms (steps, step, 0.5);
  deadline->late_run_ms =
      MAX (gr_forecast_run_ms (steps, step, LATE_RUN_QUANTILE),
           (int64_t)((double)deadline->run_ms * LATE_RUN_FACTOR));
  deadline->rest_ms = rest_of_chain_ms (steps, step);
  deadline->objective_ms = gr_forecast_objective_ms (steps, job);
  /* An occurrence is not late before it is due. */
  deadline->accepted_ms =
      job->spec->repeats > 0 ? step->ready_ms : job->accepted_ms;
  return deadline;
}

int64_t
gr_deadline_left_ms (const struct gr_steps *steps,
                     struct step *step,
                     int64_t factor)
{
  const struct deadline *deadline = gr_deadline (steps, step);

  return deadline->accepted_ms + deadline->objective_ms * factor
         - deadline->rest_ms - steps->now_ms;
}

double
gr_deadline_max_slowness (const struct gr_steps *steps, struct step *step)
{
  const struct deadline *deadline = gr_deadline (steps, step);
  double left_ms = (double)gr_deadline_left_ms (steps, step, 1);
  double run_ms = (double)deadline->run_ms;

  if (step->spec->lasting)
    return G_MAXDOUBLE;
  if (gr_step_job (step)->queue->priority == 0)
    return left_ms / (double)deadline->late_run_ms;
  if (left_ms >= run_ms * steps->fastest)
    return left_ms / run_ms;
  left_ms = (double)gr_deadline_left_ms (steps, step, GR_LATE_FACTOR);
  return left_ms >= run_ms * steps->fastest ? left_ms / run_ms : G_MAXDOUBLE;
}

void
gr_workers_update_speeds (struct gr_steps *steps)
{
  int32_t slowest = -MAX_SPEED_CLASS;
  int32_t fastest = MAX_SPEED_CLASS;

  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];
      double slowness = gr_forecast_slowness (steps, worker);
      double class = 0;

      if (slowness > 0 && slowness != 1.0)
        class = round (log (slowness) / log (SPEED_CLASS_FACTOR));
      worker->speed = (int32_t)CLAMP (class, -MAX_SPEED_CLASS, MAX_SPEED_CLASS);
      worker->class_slowness =
          worker->speed == 0 ? 1.0 : pow (SPEED_CLASS_FACTOR, worker->speed);
      if (!gr_worker_usable (steps, worker))
        continue;
      slowest = MAX (slowest, worker->speed);
      fastest = MIN (fastest, worker->speed);
    }
  steps->uneven_speeds = fastest < slowest;
  steps->fastest = fastest > slowest ? 1.0 : pow (SPEED_CLASS_FACTOR, fastest);
}
