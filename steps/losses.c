#include "steps/losses.h"

#include "common/log.h"
#include "steps/samples.h"

/* Releases runs that have ended without a report of their end, and logs what
 * shows it and how old that is: it must be later than the start of the run. */

static const struct
{
  const char *name;
  const char *text;
  bool crashed; /* the process has ended, and may not have been leaving */
} reasons[GR_LOSS_REASONS] = {
  [GR_LOSS_RESTARTED] = { "restarted", "the worker was restarted", true },
  [GR_LOSS_GONE] = { "gone", "another worker has its address", true },
  [GR_LOSS_LEFT] = { "left", "the worker left", false },
  [GR_LOSS_LEASE] = { "lease", "the lease expired", false },
  [GR_LOSS_CRASHED] = { "crashed", "the worker crashed and its lease expired",
                        true },
  [GR_LOSS_MISSING] = { "missing", "the worker does not report it", false },
};

const char *
gr_loss_reason_name (enum gr_loss_reason reason)
{
  return reasons[reason].name;
}

const char *
gr_loss_age (const struct gr_steps *steps, int64_t time_ms, char text[24])
{
  if (time_ms == 0)
    g_strlcpy (text, "-", 24);
  else
    g_snprintf (text, 24, "%" G_GINT64_FORMAT, steps->now_ms - time_ms);
  return text;
}

static const char *
start_state (const struct task *task)
{
  if (!task->start_sent)
    return "not sent";
  return task->confirmed_ms != 0 ? "confirmed" : "not confirmed";
}

static void
log_loss (const struct gr_steps *steps,
          const struct task *task,
          const struct gr_loss *loss)
{
  char name[GR_TASK_NAME_SIZE];
  char run[16];
  char ages[3][24];
  char left[24];

  gr_task_name (task, name);
  g_snprintf (run, sizeof run, "%u", task->run);
  gr_log_event ("run-lost", "task", name, "run", run, "worker",
                task->worker->id, "reason", reasons[loss->reason].text, "start",
                start_state (task), "placed_ms",
                gr_loss_age (steps, task->placed_ms, ages[0]), "confirmed_ms",
                gr_loss_age (steps, task->confirmed_ms, ages[1]), "observed_ms",
                gr_loss_age (steps, loss->observed_ms, ages[2]),
                "owner_lease_ms", gr_tenure_left (steps, left), NULL);
}

/* A process that has restarted confirms stops of runs that it never had. */
static bool
was_stopped (const struct task *task, enum gr_loss_reason reason)
{
  return gr_crash_is_confirmed (task) && task->stop_confirmed_ms != 0
         && reason != GR_LOSS_RESTARTED;
}

/* A start that is on its way can begin at any later time. */
bool
gr_loss_began_before (const struct task *task, int64_t time_ms)
{
  if (!task->start_sent)
    return true;
  return !task->start_pending && task->start_result_ms < time_ms;
}

static void
release (struct gr_steps *steps, struct task *task, const struct gr_loss *loss)
{
  bool crashed = reasons[loss->reason].crashed;

  log_loss (steps, task, loss);
  steps->runs_lost[loss->reason]++;
  gr_samples_reject (steps, GR_SAMPLE_NOT_DONE);
  if (task->crash_recorded && crashed)
    gr_crash_prove (steps, task);
  else if (task->crash_recorded)
    gr_crash_withdraw (steps, task);
  else if (crashed && !was_stopped (task, loss->reason))
    gr_crash_record (steps, task->worker, task, true);
  gr_task_release (steps, task);
}

bool
gr_loss_release (struct gr_steps *steps,
                 struct task *task,
                 const struct gr_loss *loss)
{
  if (!gr_tenure_may_conclude (steps, task->worker, loss->reason))
    return false;
  release (steps, task, loss);
  return true;
}

void
gr_loss_record_refusal (struct gr_steps *steps,
                        struct worker *worker,
                        int64_t sent_ms)
{
  if (worker->refused_ms == 0)
    gr_crash_note_worker (steps, worker, false);
  /* Since the first refusal, its registry entry has shown that it is up. */
  if (!worker->crash_noted)
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (task->crash_recorded || !gr_loss_began_before (task, sent_ms)
          || was_stopped (task, GR_LOSS_CRASHED))
        continue;
      gr_crash_record (steps, worker, task, false);
    }
}

void
gr_loss_release_all (struct gr_steps *steps,
                     struct worker *worker,
                     const struct gr_loss *loss)
{
  if (!gr_tenure_may_conclude (steps, worker, loss->reason))
    return;
  if (reasons[loss->reason].crashed)
    gr_crash_note_worker (steps, worker, false);
  while (worker->tasks->len > 0)
    {
      struct task *task = worker->tasks->pdata[worker->tasks->len - 1];
      struct step *step = task->step;

      release (steps, task, loss);
      if (step->spec->gang)
        gr_gang_abort (steps, step);
    }
}

static void
log_kept (const struct gr_steps *steps,
          const struct task *task,
          const struct gr_loss *loss)
{
  char name[GR_TASK_NAME_SIZE];
  char run[16];
  char ages[2][24];

  gr_task_name (task, name);
  g_snprintf (run, sizeof run, "%u", task->run);
  gr_log_event (
      "run-kept", "task", name, "run", run, "worker", task->worker->id,
      "reason", reasons[loss->reason].text, "started_ms",
      task->start_pending ? "pending"
                          : gr_loss_age (steps, task->start_result_ms, ages[0]),
      "observed_ms", gr_loss_age (steps, loss->observed_ms, ages[1]), NULL);
}

bool
gr_loss_release_older (struct gr_steps *steps,
                       struct worker *worker,
                       const struct gr_loss *loss)
{
  if (!gr_tenure_may_conclude (steps, worker, loss->reason))
    return false;
  if (reasons[loss->reason].crashed)
    gr_crash_note_worker (steps, worker, false);
  for (guint i = worker->tasks->len; i-- > 0;)
    {
      struct task *task;
      struct step *step;

      /* Aborting a gang releases further tasks. */
      if (i >= worker->tasks->len)
        continue;
      task = worker->tasks->pdata[i];
      step = task->step;
      if (!gr_loss_began_before (task, loss->observed_ms))
        {
          log_kept (steps, task, loss);
          continue;
        }
      release (steps, task, loss);
      if (step->spec->gang)
        gr_gang_abort (steps, step);
    }
  return worker->tasks->len == 0;
}
