#include "steps/reclaim.h"

#include "common/log.h"
#include "steps/forecast.h"

/* Which runs may be stopped for an urgent step, and what that costs. */

/* One accelerator counts as this many cores, as in the platform's price of lost
 * work. */
#define CORES_PER_ACCELERATOR 8

/* True if the step may preempt tasks of the other. */
static bool
may_preempt (const struct step *step, const struct step *other)
{
  const struct job *job = gr_step_job (step);
  const struct job *victim = gr_step_job (other);

  if (victim->queue->priority > 0)
    return true;
  /* Urgent work beyond its account's guarantee is preempted only for guaranteed
   * work of another account. */
  return victim->account != job->account
         && gr_account_within_guarantee (job->account)
         && !gr_account_within_guarantee (victim->account);
}

bool
gr_worker_has_guaranteed_work (const struct worker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (gr_step_is_guaranteed (task->step))
        return true;
    }
  return false;
}

bool
gr_reclaim_may_use (const struct gr_steps *steps,
                    const struct worker *worker,
                    const struct step *step)
{
  return gr_worker_allowed (steps, worker, step)
         && !gr_worker_is_reserved (worker, step);
}

double
gr_step_task_cores (const struct step *step)
{
  const struct gr_resources *needs = &step->spec->needs;

  return needs->cpu_milli / 1000.0
         + needs->accelerators * CORES_PER_ACCELERATOR;
}

/* Work that counts as lost if the task is stopped, in core-seconds. For a task
 * that checkpoints it is at most that of one checkpoint interval, although the
 * stop itself makes a checkpoint. */
static double
task_loss (const struct gr_steps *steps, const struct task *task)
{
  const struct gr_step_spec *spec = task->step->spec;
  int64_t run_ms = steps->now_ms - task->placed_ms;

  if (spec->checkpointing)
    run_ms = MIN (run_ms, (int64_t)steps->settings.checkpoint_ms);
  return gr_step_task_cores (task->step) * (double)run_ms / 1000.0;
}

static double
stop_loss (const struct gr_steps *steps, const struct task *task)
{
  const struct step *step = task->step;
  double loss = 0;

  if (!step->spec->gang)
    return task_loss (steps, task);
  for (uint32_t i = 0; i < step->n_tasks; i++)
    if (gr_task_is_active (&step->tasks[i]))
      loss += task_loss (steps, &step->tasks[i]);
  return loss;
}

/* Time of the run whose work is not in a checkpoint that was reported. */
static int64_t
unsaved_ms (const struct gr_steps *steps, const struct task *task)
{
  const struct step *step = task->step;
  const struct task *checkpoint_task =
      step->spec->gang ? &step->tasks[0] : task;
  int64_t run_ms;

  /* A start that was not sent is taken back without a call. */
  if (task->state == TASK_STARTING && !task->start_sent)
    return 0;
  run_ms = steps->now_ms - task->placed_ms;
  if (!step->spec->checkpointing)
    return run_ms;
  if (checkpoint_task->checkpoint_seen_ms > task->placed_ms)
    run_ms = steps->now_ms - checkpoint_task->checkpoint_seen_ms;
  return MIN (run_ms, (int64_t)steps->settings.checkpoint_ms);
}

double
gr_victim_cost (const struct gr_steps *steps, const struct task *task)
{
  const struct step *step = task->step;
  int64_t lost_ms = 0;

  if (!step->spec->gang)
    lost_ms = unsaved_ms (steps, task);
  else
    for (uint32_t i = 0; i < step->n_tasks; i++)
      if (gr_task_is_active (&step->tasks[i]))
        lost_ms += unsaved_ms (steps, &step->tasks[i]);
  return gr_step_task_cores (step) * (double)lost_ms / 1000.0;
}

bool
gr_victim_is_preemptible (const struct gr_steps *steps,
                          const struct step *step,
                          const struct task *task)
{
  return (task->state == TASK_RUNNING || task->state == TASK_STARTING)
         && may_preempt (step, task->step)
         && gr_task_may_be_stopped (steps, task);
}

void
gr_subtract_needs (struct gr_resources *used, const struct gr_step_spec *spec)
{
  if (!spec->filler)
    used->cpu_milli -= spec->needs.cpu_milli;
  used->memory_mb -= spec->needs.memory_mb;
  used->accelerators -= spec->needs.accelerators;
}

static uint32_t
remaining (uint32_t capacity, uint32_t used)
{
  return capacity > used ? capacity - used : 0;
}

uint32_t
gr_step_slots_beside (const struct step *step,
                      const struct worker *worker,
                      const struct gr_resources *used)
{
  struct gr_resources available = {
    .cpu_milli = remaining (worker->capacity.cpu_milli, used->cpu_milli),
    .memory_mb = remaining (worker->capacity.memory_mb, used->memory_mb),
    .accelerators =
        remaining (worker->capacity.accelerators, used->accelerators),
  };

  return gr_step_slots_in (step, worker, &available);
}

static uint32_t
count_runs (const struct task *task)
{
  const struct step *step = task->step;
  uint32_t runs = 0;

  if (!step->spec->gang)
    return 1;
  for (uint32_t i = 0; i < step->n_tasks; i++)
    runs += gr_task_is_active (&step->tasks[i]);
  return runs;
}

void
gr_victim_stop (struct gr_steps *steps, struct step *step, struct task *task)
{
  struct gr_preemption_counts *counts = &steps->preemption;
  uint32_t kind = gr_step_is_guaranteed (step) ? 0 : 1;
  uint32_t runs = count_runs (task);
  double cost = gr_victim_cost (steps, task);
  char runs_text[16];
  char cost_text[32];
  char remaining_text[32];

  g_snprintf (runs_text, sizeof runs_text, "%u", runs);
  g_snprintf (cost_text, sizeof cost_text, "%.1f", cost);
  g_snprintf (remaining_text, sizeof remaining_text, "%" G_GINT64_FORMAT,
              gr_forecast_remaining_ms (steps, task));
  gr_log_event ("run-preempted", "job", gr_task_job (task)->spec->id, "worker",
                task->worker->id, "for", gr_step_job (step)->spec->id, "runs",
                runs_text, "lost_core_s", cost_text, "remaining_ms",
                remaining_text, NULL);
  counts->runs[kind] += runs;
  counts->core_s[kind] += cost;
  if (task->step->spec->gang)
    gr_gang_abort (steps, task->step);
  else
    gr_order_stop (steps, task);
}

struct victim
{
  struct task *task;
  double loss;
};

static gint
compare_victims (gconstpointer left, gconstpointer right)
{
  const struct victim *a = left;
  const struct victim *b = right;

  return a->loss < b->loss ? -1 : a->loss > b->loss;
}

static GArray *
find_victims (const struct gr_steps *steps,
              const struct step *step,
              const struct worker *worker)
{
  GArray *victims = g_array_new (FALSE, FALSE, sizeof (struct victim));

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct victim row = { .task = worker->tasks->pdata[i] };

      if (!gr_victim_is_preemptible (steps, step, row.task))
        continue;
      row.loss = stop_loss (steps, row.task);
      g_array_append_val (victims, row);
    }
  g_array_sort (victims, compare_victims);
  return victims;
}

/* Resources that are used on the worker once its pending stops are done. */
static struct gr_resources
expected_used_resources (const struct worker *worker)
{
  struct gr_resources used = worker->used;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (task->state == TASK_STOPPING)
        gr_subtract_needs (&used, task->step->spec);
    }
  return used;
}

uint32_t
gr_preempt_tasks (struct gr_steps *steps,
                  struct step *step,
                  struct worker *worker,
                  uint32_t wanted,
                  bool apply,
                  double *loss)
{
  struct gr_resources used = expected_used_resources (worker);
  GArray *victims = find_victims (steps, step, worker);
  uint32_t slots = gr_step_slots_beside (step, worker, &used);

  *loss = 0;
  for (guint i = 0; i < victims->len && slots < wanted; i++)
    {
      const struct victim *victim = &g_array_index (victims, struct victim, i);
      struct step *other = victim->task->step;

      /* Stopping the gang of another victim may have stopped this task too. */
      if (!gr_task_is_active (victim->task)
          || victim->task->state == TASK_STOPPING
          || !gr_task_may_be_stopped (steps, victim->task))
        continue;
      gr_subtract_needs (&used, other->spec);
      *loss += victim->loss;
      slots = gr_step_slots_beside (step, worker, &used);
      if (!apply)
        continue;
      gr_victim_stop (steps, step, victim->task);
    }
  g_array_unref (victims);
  return MIN (slots, wanted);
}
