#include "steps/forecast.h"

int64_t
gr_forecast_run_ms (const struct gr_steps *steps,
                    const struct step *step,
                    double quantile)
{
  (void)steps;
  (void)quantile;
  return MAX ((int64_t)step->spec->estimate_ms, 1);
}

double
gr_forecast_slowness (const struct gr_steps *steps, const struct worker *worker)
{
  (void)steps;
  (void)worker;
  return 1.0;
}

int64_t
gr_forecast_remaining_ms (const struct gr_steps *steps, const struct task *task)
{
  int64_t progress = (int64_t)task->percent - (int64_t)task->first_percent;

  if (progress > 0 && task->first_percent_ms != 0)
    return (100 - (int64_t)task->percent)
               * (task->percent_ms - task->first_percent_ms) / progress
           - (steps->now_ms - task->percent_ms);
  return (int64_t)((double)gr_forecast_run_ms (steps, task->step, 0.5)
                   * gr_forecast_slowness (steps, task->worker))
         - (steps->now_ms - task->placed_ms);
}

int64_t
gr_forecast_objective_ms (const struct gr_steps *steps, const struct job *job)
{
  (void)steps;
  return gr_job_objective_ms (job);
}
