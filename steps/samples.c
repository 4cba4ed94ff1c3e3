#include "steps/samples.h"

#include "common/log.h"

#include <math.h>
#include <string.h>

/* Selects the runs to learn from, and computes their samples. */

/* Accounts, queues and size classes of a large site: 10 accounts with 10 queues
 * of 5 sizes each. */
#define MAX_KEYS 512

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

void
gr_samples_create_tables (struct gr_steps *steps)
{
  struct samples *samples = &steps->samples;

  if (steps->settings.run_times != GR_MODE_OFF)
    samples->run_times = gr_run_times_create (MAX_KEYS);
  if (steps->settings.speeds != GR_MODE_OFF)
    samples->speeds = gr_speeds_create ();
}

void
gr_samples_destroy_tables (struct gr_steps *steps)
{
  struct samples *samples = &steps->samples;

  if (samples->run_times != NULL)
    gr_run_times_destroy (samples->run_times);
  if (samples->speeds != NULL)
    gr_speeds_destroy (samples->speeds);
  samples->run_times = NULL;
  samples->speeds = NULL;
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

enum gr_sample_reject
gr_sample_run_reject (const struct task *task)
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
      enum gr_sample_reject reject = gr_sample_run_reject (task);

      if (reject != GR_SAMPLE_ACCEPTED)
        return reject;
      if (rack != NULL && step->spec->one_rack
          && !g_str_equal (rack, task->worker->rack))
        return GR_SAMPLE_SPREAD;
      rack = task->worker->rack;
    }
  return GR_SAMPLE_ACCEPTED;
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
    gr_sample_gang_speeds (steps, step, ran_ms);
  if (steps->samples.run_times != NULL)
    add_run_time (steps, step, ran_ms,
                  gr_gang_slowest_member (step)->learned_slowness);
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
  reject = gr_sample_run_reject (task);
  if (reject != GR_SAMPLE_ACCEPTED)
    {
      gr_samples_reject (steps, reject);
      return;
    }
  ran_ms = MAX (steps->now_ms - task->confirmed_ms, 1);
  task->total_ms = (double)ran_ms / task->worker->learned_slowness;
  if (steps->samples.speeds != NULL)
    gr_sample_task_speed (steps, task, ran_ms);
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
