#include "steps/tables.h"

#include "common/log.h"

/* Work on workers that are about to leave: a stop saves the work of tasks that
 * make checkpoints, and tasks that serve move while others of their step serve.
 * What would be lost stays, as a worker may stay many seconds longer than it
 * says. Answers the load of tens of workers that are taken away two seconds
 * after a notice. */

/* A stop takes 200 ms; the rest is for its way and a main loop that is late. */
#define STOP_BEFORE_MS 500

/* Work that is left of a task. The estimate of its job is rough; the progress
 * that was seen goes before it. */
static int64_t
needs_ms (const struct gr_steps *steps, const struct task *task)
{
  int64_t estimate_ms = task->step->spec->estimate_ms;
  int64_t moved = (int64_t)task->percent - (int64_t)task->first_percent;

  if (moved > 0 && task->first_percent_ms != 0)
    return (100 - (int64_t)task->percent)
               * (task->percent_ms - task->first_percent_ms) / moved
           - (steps->now_ms - task->percent_ms);
  return estimate_ms - (steps->now_ms - task->placed_ms);
}

static bool
must_go (const struct gr_steps *steps, const struct task *task, int64_t left_ms)
{
  const struct gr_step_spec *spec = task->step->spec;

  if (task->state != TASK_RUNNING)
    return false;
  if (spec->lasting)
    return gr_task_may_be_stopped (task);
  return spec->checkpointing && left_ms <= STOP_BEFORE_MS
         && needs_ms (steps, task) > left_ms;
}

static void
leave (struct gr_steps *steps, struct worker *worker)
{
  int64_t left_ms = worker->leave_ms - steps->now_ms;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (!must_go (steps, task, left_ms))
        continue;
      gr_log_event ("run-moved", "job", gr_task_job (task)->spec->id, "worker",
                    worker->id, "reason", "the worker leaves", NULL);
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

      if (worker->registered && worker->draining && worker->leave_ms != 0)
        leave (steps, worker);
    }
}
