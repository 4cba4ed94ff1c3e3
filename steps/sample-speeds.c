#include "steps/samples.h"

#include <math.h>

/* Samples of the speeds of workers. A task outside a gang is compared with its
 * siblings of the same step or, without enough of them, with its forecast. */

/* A run shows its pace after this time and progress: the percentage is rounded
 * down, so 10 % are accurate to a twentieth. */
#define MIN_PACE_MS 1000
#define MIN_PACE_PERCENT 10

/* Siblings of which the median is a reference. The noise of a single run time
 * is 0.35 (natural logarithm); that of the median of 5 is about half of it. */
#define MIN_SIBLINGS 5

/* Samples of a queue before its forecast serves as a reference: estimates are
 * up to 10 times too low, and only the mean of several runs corrects that. */
#define MIN_QUEUE_SAMPLES 20

/* Weight of a sample whose reference is the forecast: the error of the model
 * adds to the noise of the run. */
#define FORECAST_WEIGHT 0.5

/* Weight of a gang's sample for a member. The gang's time is that of its
 * slowest member, so it says little about a single one. */
#define GANG_WEIGHT 0.1

/* Gangs teach nothing about workers with this many samples of their own, which
 * are more reliable. */
#define ENOUGH_OWN_SAMPLES 5

/* From tasks outside gangs. */

static void
add_speed (struct gr_steps *steps,
           const struct worker *worker,
           double ratio,
           double weight)
{
  gr_speeds_add (steps->samples.speeds, worker->id, worker->incarnation_unix_ms,
                 ratio, weight);
  steps->samples.counts.speed_samples++;
  steps->samples.slowness_stale = true;
}

/* Total time of the run in ms, as its last reported progress projects it. The
 * percentage is rounded down. */
static double
projected_ms (const struct task *task)
{
  return (double)(task->seen_ms - task->confirmed_ms) * 100.0
         / ((double)task->percent + 0.5);
}

static bool
has_run_for (const struct task *task, int64_t least_ms)
{
  return task->state == TASK_RUNNING
         && gr_sample_run_reject (task) == GR_SAMPLE_ACCEPTED
         && task->seen_ms - task->confirmed_ms >= least_ms;
}

/* Total time of a sibling on a worker of slowness 1.0; 0 if it is not known.
 * Running siblings are selected by the time for which they have run, not by
 * their progress, so that slow ones are not left out. */
static double
sibling_ms (const struct task *task, int64_t least_ms)
{
  if (task->state == TASK_DONE)
    return task->total_ms;
  if (!has_run_for (task, least_ms))
    return 0;
  return projected_ms (task) / task->worker->learned_slowness;
}

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

/* Median of the siblings' total times; 0 if there are too few. */
static double
siblings_median_ms (const struct task *task, int64_t ran_ms)
{
  const struct step *step = task->step;
  int64_t least_ms = MIN (ran_ms, MIN_PACE_MS);
  g_autofree double *totals = NULL;
  uint32_t n = 0;

  if (step->n_tasks <= MIN_SIBLINGS)
    return 0;
  totals = g_new (double, step->n_tasks);
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      double total_ms =
          &step->tasks[i] != task ? sibling_ms (&step->tasks[i], least_ms) : 0;

      if (total_ms > 0)
        totals[n++] = total_ms;
    }
  if (n < MIN_SIBLINGS)
    return 0;
  qsort (totals, n, sizeof *totals, compare_doubles);
  return n % 2 != 0 ? totals[n / 2] : (totals[n / 2 - 1] + totals[n / 2]) / 2.0;
}

static void
sample_against_siblings (struct gr_steps *steps,
                         struct task *task,
                         double total_ms,
                         int64_t ran_ms)
{
  double reference_ms = siblings_median_ms (task, ran_ms);

  if (reference_ms <= 0)
    return;
  task->speed_sampled = true;
  task->worker->speed_samples++;
  add_speed (steps, task->worker, total_ms / reference_ms, 1.0);
}

void
gr_samples_run_seen (struct gr_steps *steps, struct task *task)
{
  if (steps->samples.speeds == NULL || task->speed_sampled
      || task->step->spec->gang || task->percent < MIN_PACE_PERCENT
      || !has_run_for (task, MIN_PACE_MS))
    return;
  sample_against_siblings (steps, task, projected_ms (task),
                           task->seen_ms - task->confirmed_ms);
}

/* Forecast for a worker of slowness 1.0; 0 if too little is known. */
static double
forecast_reference_ms (const struct gr_steps *steps, const struct step *step)
{
  struct step_keys keys;

  if (steps->samples.run_times == NULL
      || gr_step_job (step)->queue->run_time_samples < MIN_QUEUE_SAMPLES)
    return 0;
  gr_samples_step_keys (step, &keys);
  return (double)gr_run_times_expect (steps->samples.run_times, &keys.keys,
                                      step->spec->estimate_ms, 0.5);
}

void
gr_sample_task_speed (struct gr_steps *steps, struct task *task, int64_t ran_ms)
{
  double reference_ms;

  if (task->speed_sampled)
    return;
  sample_against_siblings (steps, task, (double)ran_ms, ran_ms);
  if (task->speed_sampled)
    return;
  reference_ms = forecast_reference_ms (steps, task->step);
  if (reference_ms <= 0)
    return;
  task->speed_sampled = true;
  task->worker->speed_samples++;
  add_speed (steps, task->worker, (double)ran_ms / reference_ms,
             FORECAST_WEIGHT);
}

/* From gangs. */

static bool
needs_gang_samples (const struct worker *worker)
{
  return worker->speed_samples < ENOUGH_OWN_SAMPLES;
}

/* The slowest member of a gang. */
const struct worker *
gr_gang_slowest_member (const struct step *step)
{
  const struct worker *slowest = step->tasks[0].worker;

  for (uint32_t i = 1; i < step->n_tasks; i++)
    if (step->tasks[i].worker->learned_slowness > slowest->learned_slowness)
      slowest = step->tasks[i].worker;
  return slowest;
}

/* True if an earlier member of the gang runs on the same worker. */
static bool
is_repeated (const struct step *step, uint32_t member)
{
  for (uint32_t i = 0; i < member; i++)
    if (step->tasks[i].worker == step->tasks[member].worker)
      return true;
  return false;
}

/* All members of a gang are at least as fast as the gang. */
static void
sample_fast_gang (struct gr_steps *steps, const struct step *step, double ratio)
{
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      const struct worker *worker = step->tasks[i].worker;

      if (!is_repeated (step, i) && needs_gang_samples (worker)
          && ratio < worker->learned_slowness)
        add_speed (steps, worker, ratio, GANG_WEIGHT);
    }
}

/* A slow gang says something only about its only unknown member, or about the
 * slowest one if all are known. */
static void
sample_slow_gang (struct gr_steps *steps, const struct step *step, double ratio)
{
  const struct worker *unknown = NULL;

  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      const struct worker *worker = step->tasks[i].worker;

      if (is_repeated (step, i) || !needs_gang_samples (worker))
        continue;
      if (unknown != NULL)
        return;
      unknown = worker;
    }
  add_speed (steps, unknown ? unknown : gr_gang_slowest_member (step), ratio,
             GANG_WEIGHT);
}

void
gr_sample_gang_speeds (struct gr_steps *steps,
                       const struct step *step,
                       int64_t ran_ms)
{
  double reference_ms = forecast_reference_ms (steps, step);
  double ratio = (double)ran_ms / reference_ms;

  if (reference_ms <= 0)
    return;
  if (ratio < gr_gang_slowest_member (step)->learned_slowness)
    sample_fast_gang (steps, step, ratio);
  else
    sample_slow_gang (steps, step, ratio);
}
