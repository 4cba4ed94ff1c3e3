#include "steps/samples.h"

#include "common/log.h"

#include <math.h>
#include <string.h>

/* Selects the runs to learn from, and computes their samples. */

/* Accounts, queues and size classes of a large site: 10 accounts with 10 queues
 * of 5 sizes each. */
#define MAX_KEYS 512

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

/* Interval between two updates of the classification. One for 350 workers takes
 * about 60 us, half as long as a scheduling pass without placements; with at
 * least 10 passes a second, it adds 5 % to them. */
#define UPDATE_PERIOD_MS 1000

/* Weight of a new value in the mean errors: covers about the last 50 runs. */
#define ERROR_WEIGHT 0.02

const char *
gr_sample_reject_name (enum gr_sample_reject reason)
{
  static const char *const names[] = {
    [GR_SAMPLE_ACCEPTED] = "none",
    [GR_SAMPLE_NOT_DONE] = "not-done",
    [GR_SAMPLE_KIND] = "kind",
    [GR_SAMPLE_ADOPTED] = "adopted",
    [GR_SAMPLE_RESUMED] = "resumed",
    [GR_SAMPLE_START_UNCLEAR] = "start-unclear",
    [GR_SAMPLE_FAR] = "far-from-data",
    [GR_SAMPLE_SPREAD] = "several-racks",
    [GR_SAMPLE_SILENT] = "worker-silent",
    [GR_SAMPLE_DRAINING] = "worker-draining",
  };

  return reason < GR_SAMPLE_REASONS ? names[reason] : "unknown";
}

static void
create_tables (struct gr_steps *steps)
{
  struct samples *samples = &steps->samples;

  if (steps->settings.run_times != GR_MODE_OFF)
    samples->run_times = gr_run_times_create (MAX_KEYS);
  if (steps->settings.speeds != GR_MODE_OFF)
    samples->speeds = gr_speeds_create ();
}

static void
destroy_tables (struct gr_steps *steps)
{
  struct samples *samples = &steps->samples;

  if (samples->run_times != NULL)
    gr_run_times_destroy (samples->run_times);
  if (samples->speeds != NULL)
    gr_speeds_destroy (samples->speeds);
  samples->run_times = NULL;
  samples->speeds = NULL;
}

void
gr_samples_init (struct gr_steps *steps)
{
  create_tables (steps);
}

void
gr_samples_clear (struct gr_steps *steps)
{
  destroy_tables (steps);
}

static bool
is_learning (const struct gr_steps *steps)
{
  return steps->samples.run_times != NULL || steps->samples.speeds != NULL;
}

void
gr_samples_step_keys (const struct step *step, struct step_keys *keys)
{
  const struct job *job = gr_step_job (step);

  g_snprintf (keys->specific, sizeof keys->specific, "%s\t%s\t%u%s",
              job->account->name, job->queue->name,
              step->spec->needs.accelerators, step->spec->gang ? "g" : "");
  keys->keys.keys[0] = keys->specific;
  keys->keys.keys[1] = job->queue->name;
}

/* Which runs teach. */

void
gr_samples_begin_run (struct task *task, const char *checkpoint)
{
  const struct gr_step_spec *spec = task->step->spec;

  task->seen_ms = 0;
  task->speed_sampled = false;
  task->total_ms = 0;
  task->reject = GR_SAMPLE_ACCEPTED;
  if (spec->lasting || spec->filler)
    task->reject = GR_SAMPLE_KIND;
  else if (checkpoint[0] != '\0')
    task->reject = GR_SAMPLE_RESUMED;
  else if (spec->data_rack != NULL
           && !g_str_equal (spec->data_rack, task->worker->rack))
    task->reject = GR_SAMPLE_FAR;
}

void
gr_samples_disturb_worker (struct worker *worker, enum gr_sample_reject reason)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (task->reject == GR_SAMPLE_ACCEPTED)
        task->reject = reason;
    }
}

void
gr_samples_reject (struct gr_steps *steps, enum gr_sample_reject reason)
{
  if (is_learning (steps))
    steps->samples.counts.rejected[reason]++;
}

static enum gr_sample_reject
run_reject (const struct task *task)
{
  if (task->reject != GR_SAMPLE_ACCEPTED)
    return task->reject;
  if (task->worker == NULL || task->confirmed_ms == 0 || task->tries > 1)
    return GR_SAMPLE_START_UNCLEAR;
  if (task->worker->draining)
    return GR_SAMPLE_DRAINING;
  if (!task->worker->reachable)
    return GR_SAMPLE_SILENT;
  return GR_SAMPLE_ACCEPTED;
}

static enum gr_sample_reject
gang_reject (const struct step *step)
{
  const char *rack = NULL;

  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      const struct task *task = &step->tasks[i];
      enum gr_sample_reject reject = run_reject (task);

      if (reject != GR_SAMPLE_ACCEPTED)
        return reject;
      if (rack != NULL && step->spec->one_rack
          && !g_str_equal (rack, task->worker->rack))
        return GR_SAMPLE_SPREAD;
      rack = task->worker->rack;
    }
  return GR_SAMPLE_ACCEPTED;
}

/* Speeds, from tasks outside gangs. */

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
  return task->state == TASK_RUNNING && run_reject (task) == GR_SAMPLE_ACCEPTED
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

static void
sample_task_speed (struct gr_steps *steps, struct task *task, int64_t ran_ms)
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

/* Speeds, from gangs. */

static bool
needs_gang_samples (const struct worker *worker)
{
  return worker->speed_samples < ENOUGH_OWN_SAMPLES;
}

/* The slowest member of a gang. */
static const struct worker *
slowest_member (const struct step *step)
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
  add_speed (steps, unknown ? unknown : slowest_member (step), ratio,
             GANG_WEIGHT);
}

static void
sample_gang_speeds (struct gr_steps *steps,
                    const struct step *step,
                    int64_t ran_ms)
{
  double reference_ms = forecast_reference_ms (steps, step);
  double ratio = (double)ran_ms / reference_ms;

  if (reference_ms <= 0)
    return;
  if (ratio < slowest_member (step)->learned_slowness)
    sample_fast_gang (steps, step, ratio);
  else
    sample_slow_gang (steps, step, ratio);
}

/* Run times. */

static void
update_error (double *mean, double ratio)
{
  *mean += ERROR_WEIGHT * (fabs (log (ratio)) - *mean);
}

static void
add_run_time (struct gr_steps *steps,
              const struct step *step,
              int64_t ran_ms,
              double slowness)
{
  struct samples *samples = &steps->samples;
  struct job *job = gr_step_job (step);
  int64_t estimate_ms = MAX (step->spec->estimate_ms, 1);
  int64_t sample_ms = MAX ((int64_t)((double)ran_ms / slowness), 1);
  struct step_keys keys;
  int64_t forecast_ms;

  gr_samples_step_keys (step, &keys);
  forecast_ms =
      gr_run_times_expect (samples->run_times, &keys.keys, estimate_ms, 0.5);
  gr_run_times_add (samples->run_times, &keys.keys, estimate_ms, sample_ms);
  samples->counts.run_time_samples++;
  job->queue->run_time_samples++;
  update_error (&samples->counts.estimate_error,
                (double)ran_ms / (double)estimate_ms);
  update_error (&samples->counts.forecast_error,
                (double)sample_ms / (double)forecast_ms);
  job->learned.runs++;
  job->learned.estimate_ms += (double)estimate_ms;
  job->learned.forecast_ms += (double)forecast_ms;
  job->learned.ran_ms += (double)ran_ms;
  job->learned.slowness += slowness;
}

/* Time for which all members of the gang have run. */
static int64_t
gang_ran_ms (const struct gr_steps *steps, const struct step *step)
{
  int64_t complete_ms = 0;

  for (uint32_t i = 0; i < step->n_tasks; i++)
    complete_ms = MAX (complete_ms, step->tasks[i].confirmed_ms);
  return MAX (steps->now_ms - complete_ms, 1);
}

static void
gang_done (struct gr_steps *steps, struct step *step)
{
  enum gr_sample_reject reject = gang_reject (step);
  int64_t ran_ms = gang_ran_ms (steps, step);

  if (reject != GR_SAMPLE_ACCEPTED)
    {
      gr_samples_reject (steps, reject);
      return;
    }
  if (steps->samples.speeds != NULL)
    sample_gang_speeds (steps, step, ran_ms);
  if (steps->samples.run_times != NULL)
    add_run_time (steps, step, ran_ms, slowest_member (step)->learned_slowness);
}

void
gr_samples_run_done (struct gr_steps *steps, struct task *task)
{
  enum gr_sample_reject reject;
  int64_t ran_ms;

  if (!is_learning (steps))
    return;
  if (task->step->spec->gang)
    {
      gang_done (steps, task->step);
      return;
    }
  reject = run_reject (task);
  if (reject != GR_SAMPLE_ACCEPTED)
    {
      gr_samples_reject (steps, reject);
      return;
    }
  ran_ms = MAX (steps->now_ms - task->confirmed_ms, 1);
  task->total_ms = (double)ran_ms / task->worker->learned_slowness;
  if (steps->samples.speeds != NULL)
    sample_task_speed (steps, task, ran_ms);
  if (steps->samples.run_times != NULL)
    add_run_time (steps, task->step, ran_ms, task->worker->learned_slowness);
}

void
gr_samples_log_job (const struct job *job)
{
  double runs = job->learned.runs;
  char text[5][24];

  if (job->learned.runs == 0)
    return;
  g_snprintf (text[0], sizeof text[0], "%u", job->learned.runs);
  g_snprintf (text[1], sizeof text[1], "%.0f", job->learned.estimate_ms / runs);
  g_snprintf (text[2], sizeof text[2], "%.0f", job->learned.forecast_ms / runs);
  g_snprintf (text[3], sizeof text[3], "%.0f", job->learned.ran_ms / runs);
  g_snprintf (text[4], sizeof text[4], "%.2f", job->learned.slowness / runs);
  gr_log_event ("run-time-learned", "job", job->spec->id, "queue",
                job->queue->name, "runs", text[0], "estimate-ms", text[1],
                "forecast-ms", text[2], "ran-ms", text[3], "slowness", text[4],
                NULL);
}

/* Slowness of the workers. */

void
gr_samples_forget_worker (struct gr_steps *steps, struct worker *worker)
{
  worker->learned_slowness = 1.0;
  worker->speed_samples = 0;
  if (steps->samples.speeds == NULL)
    return;
  gr_speeds_forget (steps->samples.speeds, worker->id);
  steps->samples.slowness_stale = true;
}

static void
log_speeds (const struct gr_speeds *speeds)
{
  struct gr_speeds_summary summary;
  char text[3][24];

  gr_speeds_summarize (speeds, &summary);
  g_snprintf (text[0], sizeof text[0], "%u", summary.known);
  g_snprintf (text[1], sizeof text[1], "%.2f", summary.fastest);
  g_snprintf (text[2], sizeof text[2], "%.2f", summary.slowest);
  gr_log_event (gr_speeds_uneven (speeds) ? "speeds-uneven" : "speeds-even",
                "known", text[0], "first-decile", text[1], "last-decile",
                text[2], NULL);
}

void
gr_samples_tick (struct gr_steps *steps)
{
  struct samples *samples = &steps->samples;

  if (samples->speeds == NULL || !samples->slowness_stale
      || steps->now_ms - samples->updated_ms < UPDATE_PERIOD_MS)
    return;
  samples->slowness_stale = false;
  samples->updated_ms = steps->now_ms;
  if (gr_speeds_update (samples->speeds))
    log_speeds (samples->speeds);
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      worker->learned_slowness = gr_speeds_slowness (
          samples->speeds, worker->id, worker->incarnation_unix_ms);
    }
}

/* The stored tables. */

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
  destroy_tables (steps);
  create_tables (steps);
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      worker->learned_slowness = 1.0;
      worker->speed_samples = 0;
    }
}
