#include "steps/place.h"

/* Choice of workers for tasks that need not run at the same time. */

/* The best worker for the task: preferably not the one on which it last failed,
 * then on the rack with the data, then with the least free capacity. NULL if
 * there is none. */
static struct worker *
best_worker (struct gr_steps *steps, const struct task *task)
{
  struct step *step = task->step;
  struct worker *best = NULL;
  uint64_t best_score = UINT64_MAX;

  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];
      struct gr_resources available;
      uint64_t score;

      if (!gr_worker_allowed (steps, worker, step))
        continue;
      available = gr_worker_free_resources (worker, step);
      if (gr_step_slots_in (step, worker, &available) == 0)
        continue;
      score = ((uint64_t)worker->rack_row->free_accelerators << 8)
              + MIN (available.accelerators, 255);
      if (step->spec->data_rack != NULL
          && !g_str_equal (worker->rack, step->spec->data_rack))
        score += (uint64_t)1 << 32;
      if (g_str_equal (task->avoid_worker, worker->id))
        score += (uint64_t)1 << 33;
      if (score >= best_score)
        continue;
      best = worker;
      best_score = score;
    }
  return best;
}

bool
gr_place_tasks (struct gr_steps *steps, struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks && step->n_waiting > 0; i++)
    {
      struct task *task = &step->tasks[i];
      struct worker *worker;

      if (task->state != TASK_WAITING)
        continue;
      if (!gr_place_may_queue_start (steps, step))
        return true;
      worker = best_worker (steps, task);
      if (worker == NULL)
        return false;
      gr_place_task_on (steps, task, worker, gr_next_run (steps, task->run));
    }
  return true;
}
