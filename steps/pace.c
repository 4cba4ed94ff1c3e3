#include "steps/tables.h"

#include "common/log.h"

/* Filler tasks slow down tasks that serve requests on the same worker. While
 * the tail latency of a serving task is near its target or above it, the pace
 * of the worker's filler tasks is halved at each adjustment. It is raised again
 * slowly once the tail latency is well below the target. */

#define NEAR_TARGET_PERCENT 80
#define WELL_BELOW_TARGET_PERCENT 50
#define RAISE_STEP_PERCENT 20

/* A pace takes effect 0.1 s after the order, and the figures in a poll reply
 * cover the last half second. */
#define LOWER_INTERVAL_MS 400
#define RAISE_INTERVAL_MS 1500

/* A lower pace would do too little work to be worth the disturbance; the filler
 * tasks are paused instead. */
#define MIN_PACE_PERCENT 10

#define PACE_RESEND_MS 400

static bool
is_running_filler_task (const struct task *task)
{
  return task->step->spec->filler && task->state == TASK_RUNNING;
}

static bool
is_running_serving_task (const struct task *task)
{
  return task->step->spec->tail_target_ms > 0 && task->state == TASK_RUNNING;
}

/* True if filler and serving tasks run on the worker: it then needs polls that
 * return at once instead of waiting for a run to end. */
bool
gr_pace_needs_polling (const struct worker *worker)
{
  bool has_filler_task = false;
  bool has_serving_task = false;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      has_filler_task =
          has_filler_task || is_running_filler_task (worker->tasks->pdata[i]);
      has_serving_task =
          has_serving_task || is_running_serving_task (worker->tasks->pdata[i]);
    }
  return has_filler_task && has_serving_task;
}

/* Highest tail latency of the tasks that serve requests, in percent of its
 * target. */
static uint32_t
worst_tail_percent (const struct worker *worker)
{
  uint64_t worst = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (is_running_serving_task (task))
        worst = MAX (worst, (uint64_t)task->usage * 100
                                / task->step->spec->tail_target_ms);
    }
  return (uint32_t)MIN (worst, UINT32_MAX);
}

static void
update_worker_pace (struct gr_steps *steps, struct worker *worker)
{
  uint32_t tail_percent = worst_tail_percent (worker);
  int64_t since_ms = steps->now_ms - worker->pace_changed_ms;
  uint32_t pace = worker->pace;

  if (!gr_pace_needs_polling (worker))
    pace = 100;
  else if (tail_percent >= NEAR_TARGET_PERCENT && since_ms >= LOWER_INTERVAL_MS)
    pace = pace / 2 < MIN_PACE_PERCENT ? 0 : pace / 2;
  else if (tail_percent < WELL_BELOW_TARGET_PERCENT
           && since_ms >= RAISE_INTERVAL_MS)
    pace = MIN (pace + RAISE_STEP_PERCENT, 100);
  if (pace == worker->pace)
    return;
  worker->pace = pace;
  worker->pace_changed_ms = steps->now_ms;
}

void
gr_pace_update (struct gr_steps *steps, struct worker *worker)
{
  update_worker_pace (steps, worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (is_running_filler_task (task) && task->pace != worker->pace
          && steps->now_ms - task->pace_sent_ms >= PACE_RESEND_MS)
        gr_order_pace (steps, task, worker->pace);
    }
}
