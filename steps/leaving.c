#include "steps/forecast.h"

#include "common/log.h"

/* Moves work away from workers that are about to leave. Tasks that checkpoint
 * are stopped in time, so that their work is saved. Lasting tasks move as far
 * as max_away of their step allows. Tasks that would lose their work stay, as a
 * worker may stay many seconds longer than announced. Designed for tens of
 * workers that are removed two seconds after a notice. */

/* A stop takes 200 ms; the rest covers transit times and a main loop that runs
 * late. */
#define STOP_LEAD_MS 500

/* Transit times and a main loop that runs late, as in STOP_LEAD_MS. */
#define STOP_TRANSIT_MS 300

/* Work was lost on platforms where a stop takes longer than STOP_LEAD_MS. */
static int64_t
stop_lead_ms (const struct gr_steps *steps)
{
  if (steps->settings.budget != GR_MODE_ON)
    return STOP_LEAD_MS;
  return MAX (STOP_LEAD_MS, (int64_t)steps->settings.stop_ms + STOP_TRANSIT_MS);
}

static bool
should_move (const struct gr_steps *steps,
             const struct task *task,
             int64_t remaining_ms)
{
  const struct gr_step_spec *spec = task->step->spec;

  if (task->state != TASK_RUNNING)
    return false;
  if (spec->lasting)
    return gr_task_may_be_stopped (steps, task);
  return spec->checkpointing && remaining_ms <= stop_lead_ms (steps)
         && gr_forecast_remaining_ms (steps, task) > remaining_ms;
}

static void
move_tasks (struct gr_steps *steps, struct worker *worker)
{
  int64_t remaining_ms = worker->earliest_leave_ms - steps->now_ms;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (!should_move (steps, task, remaining_ms))
        continue;
      gr_log_event ("run-moved", "job", gr_task_job (task)->spec->id, "worker",
                    worker->id, "reason", "the worker is about to leave", NULL);
      if (task->step->spec->gang)
        gr_gang_abort (steps, task->step);
      else
        gr_order_stop (steps, task);
    }
}

void
gr_leaving_tick (struct gr_steps *steps)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->registered && worker->draining
          && worker->earliest_leave_ms != 0)
        move_tasks (steps, worker);
    }
}
