#include "steps/forecast.h"

#include "steps/samples.h"

/* Lifetime of a cached forecast. A pass ranks up to 500 waiting steps, and
 * passes run every 100 ms or more often. */
#define CACHE_MS 1000

/* Percentage points from which on the observed rate is used: the percentage is
 * rounded down, so fewer points give a rate that is off by a fifth or more. */
#define MIN_PROGRESS 5

static int64_t
compute_run_ms (const struct gr_steps *steps,
                const struct step *step,
                double quantile)
{
  struct step_keys keys;

  gr_samples_step_keys (step, &keys);
  return MAX (gr_run_times_expect (steps->samples.run_times, &keys.keys,
                                   MAX ((int64_t)step->spec->estimate_ms, 1),
                                   quantile),
              1);
}

/* The entry of the quantile, or the oldest one. */
static struct step_forecast *
find_cached (const struct step *step, double quantile)
{
  struct step_forecast *oldest = &step->forecasts[0];

  for (uint32_t i = 0; i < GR_FORECAST_QUANTILES; i++)
    {
      struct step_forecast *entry = &step->forecasts[i];

      if (entry->run_ms != 0 && entry->quantile == quantile)
        return entry;
      if (entry->run_ms == 0 || entry->computed_ms < oldest->computed_ms)
        oldest = entry;
    }
  oldest->run_ms = 0;
  return oldest;
}

int64_t
gr_forecast_run_ms (const struct gr_steps *steps,
                    const struct step *step,
                    double quantile)
{
  struct step_forecast *cached;

  if (steps->settings.run_times != GR_MODE_ON)
    return MAX ((int64_t)step->spec->estimate_ms, 1);
  cached = find_cached (step, quantile);
  if (cached->run_ms != 0 && steps->now_ms - cached->computed_ms < CACHE_MS)
    return cached->run_ms;
  *cached = (struct step_forecast){
    .quantile = quantile,
    .run_ms = compute_run_ms (steps, step, quantile),
    .computed_ms = steps->now_ms,
  };
  return cached->run_ms;
}

double
gr_forecast_slowness (const struct gr_steps *steps, const struct worker *worker)
{
  return steps->settings.speeds == GR_MODE_ON ? worker->learned_slowness : 1.0;
}

/* Slowness of the workers that determine when the run ends. */
static double
run_slowness (const struct gr_steps *steps, const struct task *task)
{
  const struct step *step = task->step;
  double slowness = gr_forecast_slowness (steps, task->worker);

  if (!step->spec->gang)
    return slowness;
  for (uint32_t i = 0; i < step->n_tasks; i++)
    if (step->tasks[i].worker != NULL)
      slowness =
          MAX (slowness, gr_forecast_slowness (steps, step->tasks[i].worker));
  return slowness;
}

int64_t
gr_forecast_remaining_ms (const struct gr_steps *steps, const struct task *task)
{
  int64_t progress = (int64_t)task->percent - (int64_t)task->first_percent;
  int64_t left = 100 - (int64_t)task->percent;
  int64_t since_ms = steps->now_ms - task->percent_ms;

  if (progress >= MIN_PROGRESS && task->first_percent_ms != 0)
    return left * (task->percent_ms - task->first_percent_ms) / progress
           - since_ms;
  return (int64_t)((double)gr_forecast_run_ms (steps, task->step, 0.5)
                   * run_slowness (steps, task) * (double)left / 100.0)
         - since_ms;
}

/* The steps of the first occurrence that exists, or NULL. */
static const struct step *
job_steps (const struct job *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct occurrence *occurrence = job->occurrences->pdata[i];

      if (occurrence != NULL)
        return occurrence->steps;
    }
  return NULL;
}

int64_t
gr_forecast_objective_ms (const struct gr_steps *steps, const struct job *job)
{
  const struct step *job_step = job_steps (job);
  int64_t sum_ms = 0;

  if (steps->settings.run_times != GR_MODE_ON || job_step == NULL)
    return gr_job_objective_ms (job);
  /* The sum over the steps, as in gr_job_objective_ms (). */
  for (uint32_t i = 0; i < job->spec->n_steps; i++)
    sum_ms += gr_forecast_run_ms (steps, &job_step[i], 0.5);
  return (int64_t)((double)sum_ms * job->queue->stretch)
         + job->queue->objective_ms;
}
