#include "steps/losses.h"

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

/* Crashes after a start that the process may not have received also count to
 * MAX_CRASHES, but not as early ones. A task that crashes each worker before it
 * answers is thus given up after four starts, one less than the platform
 * permits: an owner may end before it has noted a crash. */

/* A report that was requested at most this long ago shows that the worker is
 * up. Twice the timeout of an order, so that a late answer is still of use. */
#define RECENT_REPORT_MS 500

/* Workers answer within milliseconds. After this time other candidates are
 * asked as well, as a poll of a worker that is cut off takes 350 ms. */
#define REPORT_WAIT_MS 100

/* Polls are charged. A gang needs up to 8 workers. */
#define MAX_REPORTS_REQUESTED 8

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
is_counted (const struct gr_steps *steps,
            const struct task *task,
            bool confirmed)
{
  if (task->state == TASK_DONE || (!confirmed && task->possible_starts == 0))
    return false;
  if (has_just_started (steps, task))
    return true;
  return !task->step->spec->lasting
         && steps->now_ms - task->placed_ms < CRASH_WINDOW_MS;
}

static void
log_crash (const struct gr_steps *steps,
           const struct task *task,
           const char *worker,
           const char *start)
{
  char name[GR_TASK_NAME_SIZE];
  char crashes[2][16];
  char age[24];

  gr_task_name (task, name);
  g_snprintf (crashes[0], sizeof crashes[0], "%u", task->crashes);
  g_snprintf (crashes[1], sizeof crashes[1], "%u", task->unconfirmed_crashes);
  gr_log_event ("worker-crashed", "worker", worker, "task", name, "start",
                start, "placed_ms", gr_loss_age (steps, task->placed_ms, age),
                "crashes", crashes[0], "unconfirmed", crashes[1], NULL);
}

static void
give_up_if_due (struct gr_steps *steps, const struct task *task)
{
  if (task->early_crashes < MAX_EARLY_CRASHES
      && task->crashes + task->unconfirmed_crashes < MAX_CRASHES)
    return;
  gr_job_fail (steps, task, task->avoid_worker, GR_FAILURE_CRASHES);
}

bool
gr_crash_is_confirmed (const struct task *task)
{
  return task->confirmed_ms != 0 || task->seen_ms != 0;
}

void
gr_crash_record (struct gr_steps *steps,
                 const struct worker *worker,
                 struct task *task,
                 bool confirmed)
{
  struct job *job = gr_task_job (task);

  if (gr_job_is_final (job) || is_leaving (worker))
    return;
  task->step->crashed_ms = steps->now_ms;
  if (!is_counted (steps, task, confirmed))
    return;
  if (confirmed)
    task->crashes++;
  else
    task->unconfirmed_crashes++;
  if (confirmed && has_just_started (steps, task))
    task->early_crashes++;
  task->step->suspected = true;
  g_strlcpy (task->avoid_worker, worker->id, sizeof task->avoid_worker);
  gr_job_mark_changed (steps, job);
  log_crash (steps, task, worker->id,
             confirmed ? "confirmed" : "not confirmed");
  give_up_if_due (steps, task);
}

/* A run that is too old may be one that an earlier order started, and that has
 * ended. */
void
gr_crash_start_result (struct task *task, enum gr_order_result result)
{
  if (result == GR_ORDER_DONE || result == GR_ORDER_UNKNOWN
      || result == GR_ORDER_RUN_TOO_OLD || task->possible_starts == 0)
    return;
  task->possible_starts--;
}

bool
gr_crash_needs_report (const struct gr_steps *steps,
                       const struct step *step,
                       const struct worker *worker)
{
  return step->crashed_ms != 0
         && steps->now_ms - step->crashed_ms < CRASH_WINDOW_MS
         && worker->reported_ms <= step->crashed_ms
         && steps->now_ms - worker->reported_ms >= RECENT_REPORT_MS;
}

void
gr_crash_request_report (struct gr_steps *steps,
                         const struct step *step,
                         struct worker *worker)
{
  char reported[24];

  if (worker->poll_needed || steps->reports_requested >= MAX_REPORTS_REQUESTED)
    return;
  steps->reports_requested++;
  gr_worker_request_poll (steps, worker);
  gr_log_event ("placement-waits", "job", gr_step_job (step)->spec->id,
                "worker", worker->id, "reported_ms",
                gr_loss_age (steps, worker->reported_ms, reported), NULL);
}

bool
gr_crash_report_is_late (const struct gr_steps *steps,
                         const struct step *step,
                         const struct worker *worker)
{
  return worker->poll_needed
         && steps->now_ms - worker->poll_requested_ms >= REPORT_WAIT_MS
         && gr_crash_needs_report (steps, step, worker);
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
