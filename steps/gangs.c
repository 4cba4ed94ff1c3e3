#include "steps/inventory.h"

#include "common/log.h"

/* Members of a gang start one after the other, and those that have started wait
 * for the rest for gang_wait_ms at most. A gang that cannot become complete is
 * stopped before. */

/* A successor stops members that it found without the rest of their gang once
 * they have shown no progress for this share of the time that they wait. They
 * may have waited before they were found. */
#define FOUND_GANG_WAIT_SHARE 0.5

void
gr_gang_abort (struct gr_steps *steps, struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks; i++)
    if (gr_task_is_active (&step->tasks[i]))
      gr_order_stop (steps, &step->tasks[i]);
}

bool
gr_gang_is_incomplete (const struct step *step)
{
  return step->spec->gang && step->n_waiting > 0
         && step->n_waiting < step->n_tasks;
}

/* The percentage of long work changes rarely. Work that has begun is not risked
 * unless checkpoints preserve it. */
static bool
may_have_stalled (const struct gr_steps *steps, const struct task *task)
{
  if (task->percent > 0 && !task->step->spec->checkpointing)
    return false;
  return (double)(steps->now_ms - task->percent_ms)
         >= steps->settings.gang_wait_ms * FOUND_GANG_WAIT_SHARE;
}

/* A gang at work shows progress, so that it is not stopped while some of its
 * workers have not answered. */
static bool
is_stalled (const struct gr_steps *steps, const struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      const struct task *task = &step->tasks[i];

      if (task->state == TASK_STOPPING)
        return false;
      if (gr_task_is_active (task) && !may_have_stalled (steps, task))
        return false;
    }
  return true;
}

static void
stop_stalled_gangs (struct gr_steps *steps, const struct job *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const struct occurrence *occurrence = job->occurrences->pdata[i];

      for (uint32_t s = 0; occurrence != NULL && s < job->spec->n_steps; s++)
        {
          struct step *step = &occurrence->steps[s];

          if (!gr_gang_is_incomplete (step) || !is_stalled (steps, step)
              || !gr_inventory_holds_step (steps, step))
            continue;
          gr_log_event ("gang-stalled", "job", job->spec->id, NULL);
          gr_gang_abort (steps, step);
        }
    }
}

void
gr_gangs_tick (struct gr_steps *steps)
{
  if (gr_inventory_holds_nothing (steps))
    return;
  for (guint i = 0; i < steps->job_rows->len; i++)
    {
      const struct job *job = steps->job_rows->pdata[i];

      if (job->inherited && !gr_job_is_final (job))
        stop_stalled_gangs (steps, job);
    }
}
