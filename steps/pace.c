#include "steps/tables.h"

#include "common/log.h"

/* Tasks that fill disturb those that serve beside them. When the tail of one
 * that serves comes near its target, the filling tasks of the worker are paced
 * down at once, by half each time; they are let on again slowly, when there is
 * room below the target. */

#define NEAR_TARGET_PERCENT 80
#define CLEAR_OF_TARGET_PERCENT 50
#define RAISE_STEP_PERCENT 20

/* A pace takes effect 0.1 s after the order, and the figures of a look are of
 * the last half second. */
#define LOWER_PAUSE_MS 400
#define RAISE_PAUSE_MS 1500

/* Below this, half of it is too little to be worth the disturbance. */
#define LEAST_PACE_PERCENT 10

#define REPEAT_MS 400

static bool
fills (const struct task *task)
{
  return task->step->spec->filler && task->state == TASK_RUNNING;
}

static bool
serves (const struct task *task)
{
  return task->step->spec->tail_target_ms > 0 && task->state == TASK_RUNNING;
}

/* Looks without waiting are needed where both kinds of tasks run. */
bool
gr_pace_watches (const struct worker *worker)
{
  bool filling = false;
  bool serving = false;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      filling = filling || fills (worker->tasks->pdata[i]);
      serving = serving || serves (worker->tasks->pdata[i]);
    }
  return filling && serving;
}

/* Highest tail of the tasks that serve, in percent of its target. */
static uint32_t
worst_tail (const struct worker *worker)
{
  uint64_t worst = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (serves (task))
        worst = MAX (worst, (uint64_t)task->usage * 100
                                / task->step->spec->tail_target_ms);
    }
  return (uint32_t)MIN (worst, UINT32_MAX);
}

static void
choose_pace (struct gr_steps *steps, struct worker *worker)
{
  uint32_t tail = worst_tail (worker);
  int64_t since_ms = steps->now_ms - worker->pace_changed_ms;
  uint32_t pace = worker->pace;

  if (!gr_pace_watches (worker))
    pace = 100;
  else if (tail >= NEAR_TARGET_PERCENT && since_ms >= LOWER_PAUSE_MS)
    pace = pace / 2 < LEAST_PACE_PERCENT ? 0 : pace / 2;
  else if (tail < CLEAR_OF_TARGET_PERCENT && since_ms >= RAISE_PAUSE_MS)
    pace = MIN (pace + RAISE_STEP_PERCENT, 100);
  if (pace == worker->pace)
    return;
  worker->pace = pace;
  worker->pace_changed_ms = steps->now_ms;
}

void
gr_pace_look (struct gr_steps *steps, struct worker *worker)
{
  choose_pace (steps, worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (fills (task) && task->pace != worker->pace
          && steps->now_ms - task->pace_sent_ms >= REPEAT_MS)
        gr_order_pace (steps, task, worker->pace);
    }
}
