#include "steps/tables.h"

#include "common/log.h"

/* Tasks that crash their workers. A task under which several workers have
 * crashed is given up, because each further start would take down another one
 * and all other work there. */

/* A crash that is noticed within this time after a start was likely caused by
 * it: a refused connection shows a crash after about 300 ms. */
#define EARLY_CRASH_MS 1000

/* The platform permits giving up a task after two crashes, and requires it
 * before the sixth start. */
#define MAX_EARLY_CRASHES 3

/* Later crashes count up to this time after a start, which includes the lease
 * of a run on a worker that crashes silently. They often have other causes, so
 * more of them are needed. */
#define CRASH_WINDOW_MS 7000
#define MAX_CRASHES 4

static bool
has_just_started (const struct gr_steps *steps, const struct task *task)
{
  return steps->now_ms - task->placed_ms < EARLY_CRASH_MS;
}

/* A worker that leaves ends its runs without a fault of theirs. */
static bool
is_leaving (const struct worker *worker)
{
  return worker->draining || worker->closed;
}

/* True if the crash counts against the task. Lasting tasks run for so long that
 * later crashes show nothing. */
static bool
is_counted (const struct gr_steps *steps, const struct task *task)
{
  if (!task->start_sent || task->state == TASK_DONE)
    return false;
  if (has_just_started (steps, task))
    return true;
  return !task->step->spec->lasting
         && steps->now_ms - task->placed_ms < CRASH_WINDOW_MS;
}

static void
log_crash (const struct worker *worker, const struct task *task)
{
  char name[GR_TASK_NAME_SIZE];
  char crashes[16];

  gr_task_name (task, name);
  g_snprintf (crashes, sizeof crashes, "%u", task->crashes);
  gr_log_event ("worker-crashed", "worker", worker->id, "task", name, "crashes",
                crashes, NULL);
}

void
gr_crash_record (struct gr_steps *steps,
                 const struct worker *worker,
                 struct task *task)
{
  struct job *job = gr_task_job (task);

  if (gr_job_is_final (job) || is_leaving (worker) || !is_counted (steps, task))
    return;
  task->crashes++;
  if (has_just_started (steps, task))
    task->early_crashes++;
  task->step->suspected = true;
  g_strlcpy (task->avoid_worker, worker->id, sizeof task->avoid_worker);
  gr_job_mark_changed (steps, job);
  log_crash (worker, task);
  if (task->early_crashes < MAX_EARLY_CRASHES && task->crashes < MAX_CRASHES)
    return;
  gr_log_event ("job-failed", "job", job->spec->id, "worker", worker->id,
                "reason", "workers crashed under one of its tasks", NULL);
  gr_job_finish (steps, job, GR_JOB_FAILED);
}

bool
gr_crash_keeps_apart (const struct gr_steps *steps,
                      const struct step *step,
                      const struct worker *worker)
{
  if (!step->suspected)
    return false;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (task->step->suspected && has_just_started (steps, task)
          && gr_task_job (task) != gr_step_job (step))
        return true;
    }
  return false;
}
