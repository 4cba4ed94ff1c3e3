#include "steps/ends.h"
#include "steps/inventory.h"
#include "steps/losses.h"
#include "steps/samples.h"

#include "common/log.h"

#include <string.h>

/* Processes poll replies of workers: reported runs are adopted, updated or
 * stopped, and run ends change the progress of jobs. */

static void
set_checkpoint (const struct gr_steps *steps,
                struct task *task,
                const char *checkpoint)
{
  struct task *checkpoint_task =
      task->step->spec->gang ? &task->step->tasks[0] : task;

  if (checkpoint[0] == '\0' || checkpoint_task->state == TASK_DONE)
    return;
  if (checkpoint_task->checkpoint != NULL
      && g_str_equal (checkpoint_task->checkpoint, checkpoint))
    return;
  g_free (checkpoint_task->checkpoint);
  checkpoint_task->checkpoint = g_strdup (checkpoint);
  checkpoint_task->checkpoint_seen_ms = steps->now_ms;
}

static void
log_end (const struct worker *worker,
         const struct gr_ended_run *ended,
         const char *outcome)
{
  static const char *const names[] = {
    [GR_END_DONE] = "done",       [GR_END_FAILED] = "failed",
    [GR_END_STOPPED] = "stopped", [GR_END_LAPSED] = "lapsed",
    [GR_END_BROKEN] = "broken",   [GR_END_ALONE] = "alone",
  };
  char run[16];

  g_snprintf (run, sizeof run, "%u", ended->run);
  gr_log_event ("run-ended", "task", ended->task, "run", run, "worker",
                worker->id, "how", names[ended->how], "outcome", outcome, NULL);
}

static void
set_gang_done (struct gr_steps *steps, struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks; i++)
    gr_task_set_done (steps, &step->tasks[i]);
}

static void
handle_done (struct gr_steps *steps,
             struct task *task,
             bool current_run,
             uint32_t run)
{
  struct step *step = task->step;

  if (step->spec->lasting)
    {
      if (current_run)
        gr_task_release (steps, task);
      return;
    }
  /* An earlier run completed the task, so the current one is not needed. */
  if (!current_run && gr_task_is_active (task) && run < task->run)
    gr_order_stop (steps, task);
  if (current_run)
    {
      gr_samples_run_done (steps, task);
      gr_task_unassign (task);
    }
  if (step->spec->gang)
    set_gang_done (steps, step);
  else
    gr_task_set_done (steps, task);
}

static void
handle_end (struct gr_steps *steps,
            struct worker *worker,
            const struct gr_ended_run *ended)
{
  struct task *task = gr_task_find (steps, ended->task);
  bool current_run;

  if (task == NULL)
    {
      log_end (worker, ended, "the job is unknown or final");
      return;
    }
  gr_task_job (task)->started = true;
  current_run = task->worker == worker && task->run == ended->run;
  if (!current_run && ended->run > task->run)
    task->run = ended->run;
  if (task->step->spec->gang)
    task->step->gang_run = MAX (task->step->gang_run, ended->run);
  if (task->state == TASK_DONE)
    {
      if (current_run)
        gr_task_unassign (task);
      return;
    }
  log_end (worker, ended, current_run ? "current run" : "not the current run");
  if (ended->how == GR_END_DONE)
    {
      gr_health_record_success (steps, worker);
      handle_done (steps, task, current_run, ended->run);
      return;
    }
  if (ended->checkpoint[0] != '\0'
      && (current_run || !gr_task_is_active (task)))
    {
      set_checkpoint (steps, task, ended->checkpoint);
      gr_job_mark_changed (steps, gr_task_job (task));
    }
  if (ended->how == GR_END_FAILED)
    {
      gr_health_record_failure (steps, worker, task);
      gr_attempts_count_failure (steps, task, worker, ended->run);
    }
  if (!current_run)
    return;
  gr_samples_reject (steps, GR_SAMPLE_NOT_DONE);
  gr_task_release (steps, task);
  if (task->step->spec->gang)
    gr_gang_abort (steps, task->step);
}

static void
adopt_run (struct gr_steps *steps,
           struct worker *worker,
           struct task *task,
           const struct gr_run_status *running)
{
  gr_log_event ("run-adopted", "task", running->task, "worker", worker->id,
                NULL);
  gr_worker_assume_longest_lease (steps, worker);
  gr_task_assign (task, worker);
  task->state = TASK_RUNNING;
  task->step->n_waiting--;
  task->run = running->run;
  if (task->step->spec->gang)
    task->step->gang_run = MAX (task->step->gang_run, running->run);
  task->placed_ms = steps->now_ms;
  task->adopted = true;
  task->confirmed_ms = steps->now_ms;
  task->stop_confirmed_ms = 0;
  task->percent = running->percent;
  task->percent_ms = steps->now_ms;
  task->first_percent_ms = 0;
  task->pace = GR_PACE_UNKNOWN;
  task->usage = running->usage;
  task->reject = GR_SAMPLE_ADOPTED;
  task->start_sent = true;
  task->start_pending = false;
  task->start_result_ms = steps->now_ms;
  task->incarnation_unix_ms = worker->incarnation_unix_ms;
  gr_task_job (task)->started = true;
  if (gr_job_is_final (gr_task_job (task)))
    gr_order_stop (steps, task);
}

static void
update_running (struct gr_steps *steps,
                struct task *task,
                const struct gr_run_status *running)
{
  set_checkpoint (steps, task, running->checkpoint);
  task->incarnation_unix_ms = task->worker->incarnation_unix_ms;
  if (task->state == TASK_STARTING)
    {
      task->state = TASK_RUNNING;
      task->confirmed_ms = steps->now_ms;
      gr_task_job (task)->started = true;
    }
  if (task->first_percent_ms == 0)
    {
      task->first_percent_ms = steps->now_ms;
      task->first_percent = running->percent;
    }
  task->usage = running->usage;
  if (running->percent != task->percent)
    {
      task->percent = running->percent;
      task->percent_ms = steps->now_ms;
      if (gr_task_is_at_work (task))
        gr_health_record_success (steps, task->worker);
    }
  task->seen_ms = steps->now_ms;
  gr_samples_run_seen (steps, task);
}

/* A released run has ended, even if an outdated reply still reports it. */
static bool
may_adopt_run (const struct task *task, const struct gr_run_status *running)
{
  return task->state == TASK_WAITING && task->worker == NULL
         && running->run > task->run
         && (!task->step->spec->gang || running->run >= task->step->gang_run);
}

static void
handle_run (struct gr_steps *steps,
            struct worker *worker,
            const struct gr_run_status *running)
{
  struct task *task = gr_task_find (steps, running->task);

  if (task != NULL && task->worker == worker && task->run == running->run)
    {
      if (gr_task_is_active (task))
        update_running (steps, task, running);
      return;
    }
  if (task != NULL && may_adopt_run (task, running))
    {
      adopt_run (steps, worker, task, running);
      return;
    }
  gr_log_event ("run-unwanted", "task", running->task, "worker", worker->id,
                NULL);
  worker->unknown_runs = true;
  gr_order_stop_run (steps, worker, running->task, running->run);
}

static bool
is_reported (const struct gr_run_report *report, const char *name, uint32_t run)
{
  for (size_t i = 0; i < report->n_running; i++)
    if (report->running[i].run == run
        && g_str_equal (report->running[i].task, name))
      return true;
  return false;
}

/* True if the run was placed on an earlier incarnation of its worker, and the
 * current one has not listed it. */
static bool
is_of_former_incarnation (const struct task *task)
{
  return task->incarnation_unix_ms != 0
         && task->incarnation_unix_ms != task->worker->incarnation_unix_ms;
}

/* Releases runs that the worker should have had when the poll was sent, but
 * does not report. */
static void
release_missing (struct gr_steps *steps,
                 struct worker *worker,
                 const struct gr_run_report *report)
{
  for (guint i = worker->tasks->len; i-- > 0;)
    {
      struct gr_loss loss = { GR_LOSS_MISSING, report->sent_ms };
      struct task *task;
      int64_t since_ms;
      char name[GR_TASK_NAME_SIZE];

      if (i >= worker->tasks->len)
        continue;
      task = worker->tasks->pdata[i];
      since_ms = (task->state == TASK_STOPPING || task->state == TASK_DONE)
                         && task->stop_confirmed_ms != 0
                     ? task->stop_confirmed_ms
                     : task->confirmed_ms;
      if (since_ms == 0 || report->sent_ms <= since_ms)
        continue;
      gr_task_name (task, name);
      if (is_reported (report, name, task->run))
        continue;
      if (is_of_former_incarnation (task))
        {
          if (!gr_loss_began_before (task, report->sent_ms))
            continue;
          loss.reason = GR_LOSS_RESTARTED;
        }
      if (!gr_loss_release (steps, task, &loss))
        continue;
      if (task->step->spec->gang)
        gr_gang_abort (steps, task->step);
    }
}

/* Either process may have received a start without an answer, so it is stopped
 * instead of being sent again. */
static void
abandon_unanswered (struct gr_steps *steps, struct worker *worker)
{
  for (guint i = worker->tasks->len; i-- > 0;)
    {
      struct task *task;

      if (i >= worker->tasks->len)
        continue;
      task = worker->tasks->pdata[i];
      if (task->state == TASK_STARTING && task->start_sent
          && !task->start_pending && is_of_former_incarnation (task))
        gr_order_abandon_start (steps, task, "the worker was restarted");
    }
}

static void
log_outdated (const struct gr_steps *steps,
              const struct worker *worker,
              const struct gr_run_report *report)
{
  char observed[24];

  gr_log_event ("report-outdated", "worker", worker->id, "observed_ms",
                gr_loss_age (steps, report->sent_ms, observed), NULL);
}

bool
gr_steps_process_report (struct gr_steps *steps,
                         const char *id,
                         const struct gr_run_report *report,
                         int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, id);

  steps->now_ms = now_ms;
  if (worker == NULL)
    return false;
  /* Ends of a former process have numbers of their own, and its runs have
   * ended. */
  if (!gr_worker_check_incarnation (steps, worker, report->incarnation_unix_ms,
                                    report->sent_ms))
    {
      log_outdated (steps, worker, report);
      return false;
    }
  if (report->incarnation_unix_ms != 0)
    gr_crash_withdraw_worker (steps, worker, report->sent_ms);
  /* A former owner may have extended its lease just before, and it holds for
   * runs that start later as well. */
  if (!gr_inventory_has_answered (worker))
    gr_worker_assume_longest_lease (steps, worker);
  if (report->sent_ms > worker->incarnation_seen_ms)
    worker->acknowledged_end =
        MAX (worker->acknowledged_end, report->acknowledged_end);
  worker->reported_ms = MAX (worker->reported_ms, report->sent_ms);
  worker->reachable = true;
  worker->unreachable_ms = 0;
  /* A poll that was sent before the request cannot answer it. */
  if (report->sent_ms >= worker->poll_requested_ms)
    worker->poll_needed = false;
  for (size_t i = 0; i < report->n_ended; i++)
    {
      if (report->ended[i].number <= worker->processed_end)
        continue;
      handle_end (steps, worker, &report->ended[i]);
      worker->processed_end = report->ended[i].number;
    }
  worker->unknown_runs = false;
  for (size_t i = 0; i < report->n_running; i++)
    handle_run (steps, worker, &report->running[i]);
  if (gr_inventory_report_is_whole (report))
    release_missing (steps, worker, report);
  abandon_unanswered (steps, worker);
  gr_tenure_reported (steps, worker);
  gr_ends_update (steps, worker);
  gr_inventory_reported (worker, report);
  worker->refused_ms = 0;
  worker->crash_noted = false;
  gr_pace_update (steps, worker);
  return true;
}
