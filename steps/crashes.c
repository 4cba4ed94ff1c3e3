#include "steps/crash-evidence.h"
#include "steps/losses.h"

#include "common/log.h"

/* Placement of tasks whose workers crashed: a worker that may have crashed as
 * well is polled before a start, and suspected tasks are kept apart. */

/* A report that was requested at most this long ago shows that the worker is
 * up. Twice the timeout of an order, so that a late answer is still of use. */
#define RECENT_REPORT_MS 500

/* Workers answer within milliseconds. After this time other candidates are
 * asked as well, as a poll of a worker that is cut off takes 350 ms. */
#define REPORT_WAIT_MS 100

/* Suspected tasks are kept apart from all others for this time after a crash,
 * later only from each other. A task for which there is room must run within
 * 3 s. */
#define MAX_APART_MS 2000

/* Polls are charged. A gang needs up to 8 workers. */
#define MAX_REPORTS_REQUESTED 8

bool
gr_crash_is_confirmed (const struct task *task)
{
  return task->confirmed_ms != 0 || task->seen_ms != 0;
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
         && steps->now_ms - step->crashed_ms < GR_CRASH_WINDOW_MS
         && worker->reported_ms <= step->crashed_ms
         && steps->now_ms - worker->reported_ms >= RECENT_REPORT_MS;
}

void
gr_crash_request_poll (struct gr_steps *steps, struct worker *worker)
{
  if (worker->poll_needed || steps->reports_requested >= MAX_REPORTS_REQUESTED)
    return;
  steps->reports_requested++;
  gr_worker_request_poll (steps, worker);
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
  bool from_all =
      step->suspected && steps->now_ms - step->crashed_ms < MAX_APART_MS;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if ((from_all || task->step->suspected)
          && gr_crash_has_just_started (steps, task)
          && gr_task_job (task) != gr_step_job (step))
        return true;
    }
  return false;
}
