#include "steps/tables.h"

#include "common/log.h"

#include <string.h>

/* Reading of what workers list: runs are adopted or stopped, ends change the
 * progress of jobs. */

static void
set_checkpoint (struct task *task, const char *checkpoint)
{
  struct task *owner = task->step->spec->gang ? &task->step->tasks[0] : task;

  if (checkpoint[0] == '\0' || owner->state == TASK_DONE)
    return;
  if (owner->checkpoint != NULL && g_str_equal (owner->checkpoint, checkpoint))
    return;
  g_free (owner->checkpoint);
  owner->checkpoint = g_strdup (checkpoint);
}

static void
log_end (const struct worker *worker,
         const struct gr_ended *ended,
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

static bool
was_counted (const struct task *task, uint32_t run)
{
  for (uint32_t i = 0; i < MIN (task->failures, GR_FAILED_RUNS); i++)
    if (task->failed_runs[i] == run)
      return true;
  return false;
}

/* A gang's run counts as one failure, whichever members report it. */
void
gr_task_failed (struct gr_steps *steps,
                struct task *task,
                struct worker *worker,
                uint32_t run)
{
  struct step *step = task->step;
  struct job *job = gr_task_job (task);
  struct task *counted = step->spec->gang ? &step->tasks[0] : task;

  g_strlcpy (task->avoid, worker->id, sizeof task->avoid);
  if (step->spec->lasting)
    return;
  /* An end that is not noted is listed again to the next owner. */
  if (was_counted (counted, run))
    return;
  counted->failed_runs[counted->failures % GR_FAILED_RUNS] = run;
  counted->failures++;
  gr_job_changed (steps, job);
  if (counted->failures >= job->queue->max_attempts && !gr_job_is_final (job))
    {
      gr_log_event ("job-failed", "job", job->spec->id, "worker", worker->id,
                    NULL);
      gr_job_finish (steps, job, GR_JOB_FAILED);
    }
}

static void
gang_done (struct gr_steps *steps, struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks; i++)
    gr_task_done (steps, &step->tasks[i]);
}

static void
end_done (struct gr_steps *steps, struct task *task, bool own, uint32_t run)
{
  struct step *step = task->step;
  struct worker *worker = task->worker;

  if (step->spec->lasting)
    {
      if (own)
        gr_task_release (steps, task);
      return;
    }
  if (!own && gr_task_is_active (task) && run < task->run)
    {
      char name[GR_TASK_NAME_SIZE];

      /* An earlier run was done after all. */
      gr_task_name (task, name);
      gr_order_stop_run (steps, worker, name, task->run);
    }
  if (own)
    gr_task_unassign (task);
  if (step->spec->gang)
    gang_done (steps, step);
  else
    gr_task_done (steps, task);
}

static void
read_end (struct gr_steps *steps,
          struct worker *worker,
          const struct gr_ended *ended)
{
  struct task *task = gr_task_find (steps, ended->task);
  bool own;

  if (task == NULL)
    {
      log_end (worker, ended, "the job is not known or is final");
      return;
    }
  own = task->worker == worker && task->run == ended->run;
  if (!own && ended->run > task->run)
    task->run = ended->run;
  if (task->step->spec->gang)
    task->step->gang_run = MAX (task->step->gang_run, ended->run);
  if (task->state == TASK_DONE)
    {
      if (own)
        gr_task_unassign (task);
      return;
    }
  log_end (worker, ended, own ? "own run" : "earlier run");
  if (ended->how == GR_END_DONE)
    {
      gr_health_done (worker);
      end_done (steps, task, own, ended->run);
      return;
    }
  if (ended->checkpoint[0] != '\0' && (own || !gr_task_is_active (task)))
    {
      set_checkpoint (task, ended->checkpoint);
      gr_job_changed (steps, gr_task_job (task));
    }
  if (ended->how == GR_END_FAILED)
    {
      gr_health_failed (steps, worker, gr_task_job (task));
      gr_task_failed (steps, task, worker, ended->run);
    }
  if (!own)
    return;
  gr_task_release (steps, task);
  if (task->step->spec->gang)
    gr_gang_abort (steps, task->step);
}

static void
adopt (struct gr_steps *steps,
       struct worker *worker,
       struct task *task,
       const struct gr_running *running)
{
  gr_log_event ("run-adopted", "task", running->task, "worker", worker->id,
                NULL);
  gr_worker_lease_unknown (steps, worker);
  gr_task_assign (task, worker);
  task->state = TASK_RUNNING;
  task->step->n_waiting--;
  task->run = running->run;
  if (task->step->spec->gang)
    task->step->gang_run = MAX (task->step->gang_run, running->run);
  task->placed_ms = steps->now_ms;
  task->answered_ms = steps->now_ms;
  task->stop_answered_ms = 0;
  task->percent = running->percent;
  task->percent_ms = steps->now_ms;
  task->first_percent_ms = 0;
  task->pace = GR_PACE_UNKNOWN;
  task->usage = running->usage;
  gr_task_job (task)->begun = true;
  if (gr_job_is_final (gr_task_job (task)))
    gr_order_stop (steps, task);
}

static void
update_running (struct gr_steps *steps,
                struct task *task,
                const struct gr_running *running)
{
  set_checkpoint (task, running->checkpoint);
  if (task->state == TASK_STARTING)
    {
      task->state = TASK_RUNNING;
      task->answered_ms = steps->now_ms;
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
    }
}

/* A run that was released is over, also if an older list still shows it. */
static bool
can_adopt (const struct task *task, const struct gr_running *running)
{
  return task->state == TASK_WAITING && task->worker == NULL
         && running->run > task->run
         && (!task->step->spec->gang || running->run >= task->step->gang_run);
}

static void
read_running (struct gr_steps *steps,
              struct worker *worker,
              const struct gr_running *running)
{
  struct task *task = gr_task_find (steps, running->task);

  if (task != NULL && task->worker == worker && task->run == running->run)
    {
      if (gr_task_is_active (task))
        update_running (steps, task, running);
      return;
    }
  if (task != NULL && can_adopt (task, running))
    {
      adopt (steps, worker, task, running);
      return;
    }
  gr_log_event ("run-unwanted", "task", running->task, "worker", worker->id,
                NULL);
  gr_order_stop_run (steps, worker, running->task, running->run);
}

static bool
is_listed (const struct gr_look *look, const char *name, uint32_t run)
{
  for (size_t i = 0; i < look->n_running; i++)
    if (look->running[i].run == run
        && g_str_equal (look->running[i].task, name))
      return true;
  return false;
}

/* Runs that the worker should have at the time of the look and has not. */
static void
release_missing (struct gr_steps *steps,
                 struct worker *worker,
                 const struct gr_look *look)
{
  for (guint i = worker->tasks->len; i-- > 0;)
    {
      struct task *task;
      int64_t since_ms;
      char name[GR_TASK_NAME_SIZE];

      if (i >= worker->tasks->len)
        continue;
      task = worker->tasks->pdata[i];
      since_ms = task->state == TASK_STOPPING && task->stop_answered_ms != 0
                     ? task->stop_answered_ms
                     : task->answered_ms;
      if (since_ms == 0 || look->sent_ms <= since_ms)
        continue;
      gr_task_name (task, name);
      if (is_listed (look, name, task->run))
        continue;
      gr_log_event ("run-missing", "task", name, "worker", worker->id, NULL);
      gr_task_release (steps, task);
      if (task->step->spec->gang)
        gr_gang_abort (steps, task->step);
    }
}

void
gr_steps_look (struct gr_steps *steps,
               const char *id,
               const struct gr_look *look,
               int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, id);

  steps->now_ms = now_ms;
  if (worker == NULL)
    return;
  gr_worker_born (steps, worker, look->born_unix_ms);
  worker->seen = true;
  worker->reachable = true;
  /* One that was sent before does not show what it was wanted for. */
  if (look->sent_ms >= worker->look_wanted_ms)
    worker->look_soon = false;
  for (size_t i = 0; i < look->n_ended; i++)
    {
      if (look->ended[i].number <= worker->processed)
        continue;
      read_end (steps, worker, &look->ended[i]);
      worker->processed = look->ended[i].number;
    }
  for (size_t i = 0; i < look->n_running; i++)
    read_running (steps, worker, &look->running[i]);
  if (look->all_ended)
    release_missing (steps, worker, look);
  gr_pace_look (steps, worker);
}
