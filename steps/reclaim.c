#include "steps/tables.h"

#include "common/log.h"

#include <string.h>

/* Reclaims capacity for an urgent step that does not fit: stops runs of less
 * urgent work with the least loss, and reserves the workers for the step until
 * it starts. */

/* Reclaimed capacity becomes free within the time of a stop (200 ms) and of
 * reading its end; no more is reclaimed for the step until then. */
#define RECLAIM_WAIT_MS 700

/* Pause after no set of workers could free enough capacity. */
#define RECLAIM_RETRY_MS 120

/* One accelerator counts as this many cores, as in the platform's price of lost
 * work. */
#define CORES_PER_ACCELERATOR 8

struct candidate
{
  struct worker *worker;
  uint32_t slots;
  double loss; /* core-seconds */
};

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

/* Work that counts as lost if the task is stopped, in core-seconds. For a task
 * that checkpoints it is at most that of one checkpoint interval, although the
 * stop itself makes a checkpoint. */
static double
task_loss (const struct gr_steps *steps, const struct task *task)
{
  const struct gr_step_spec *spec = task->step->spec;
  double cores = spec->needs.cpu_milli / 1000.0
                 + spec->needs.accelerators * CORES_PER_ACCELERATOR;
  int64_t run_ms = steps->now_ms - task->placed_ms;

  if (spec->checkpointing)
    run_ms = MIN (run_ms, (int64_t)steps->settings.checkpoint_ms);
  return cores * (double)run_ms / 1000.0;
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

static bool
is_preemptible (const struct step *step, const struct task *task)
{
  return (task->state == TASK_RUNNING || task->state == TASK_STARTING)
         && may_preempt (step, task->step) && gr_task_may_be_stopped (task);
}

static void
subtract_task_resources (struct gr_resources *used,
                         const struct gr_step_spec *spec)
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

/* Number of tasks of the step that fit on the worker beside `used`. A worker
 * whose capacity has shrunk can use more than it has. */
static uint32_t
slots_beside (const struct step *step,
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

      if (!is_preemptible (step, row.task))
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
        subtract_task_resources (&used, task->step->spec);
    }
  return used;
}

/* Finds tasks to stop on the worker until `wanted` tasks of the step fit, and
 * returns how many fit. Stops them only if apply is true. *loss is set to the
 * lost work in core-seconds. */
static uint32_t
preempt_tasks (struct gr_steps *steps,
               struct step *step,
               struct worker *worker,
               uint32_t wanted,
               bool apply,
               double *loss)
{
  struct gr_resources used = expected_used_resources (worker);
  GArray *victims = find_victims (steps, step, worker);
  uint32_t slots = slots_beside (step, worker, &used);

  *loss = 0;
  for (guint i = 0; i < victims->len && slots < wanted; i++)
    {
      const struct victim *victim = &g_array_index (victims, struct victim, i);
      struct step *other = victim->task->step;

      /* Stopping the gang of another victim may have stopped this task too. */
      if (!gr_task_is_active (victim->task)
          || victim->task->state == TASK_STOPPING
          || !gr_task_may_be_stopped (victim->task))
        continue;
      subtract_task_resources (&used, other->spec);
      *loss += victim->loss;
      slots = slots_beside (step, worker, &used);
      if (!apply)
        continue;
      gr_log_event ("run-preempted", "job",
                    gr_task_job (victim->task)->spec->id, "worker", worker->id,
                    "for", gr_step_job (step)->spec->id, NULL);
      if (other->spec->gang)
        gr_gang_abort (steps, other);
      else
        gr_order_stop (steps, victim->task);
    }
  g_array_unref (victims);
  return MIN (slots, wanted);
}

/* The first guaranteed task on a worker prevents large tasks of other accounts
 * from running there; that counts as this many core-seconds. */
#define FIRST_GUARANTEED_TASK_LOSS 60.0

static bool
has_guaranteed_work (const struct worker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];
      const struct job *job = gr_task_job (task);

      if (job->queue->priority == 0
          && gr_account_within_guarantee (job->account))
        return true;
    }
  return false;
}

static gint
compare_candidates (gconstpointer left, gconstpointer right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;
  double a_loss = a->loss / a->slots;
  double b_loss = b->loss / b->slots;

  return a_loss < b_loss ? -1 : a_loss > b_loss;
}

static bool
is_usable_for (const struct gr_steps *steps,
               const struct worker *worker,
               const struct step *step)
{
  return gr_worker_allowed (steps, worker, step)
         && !gr_worker_is_reserved (worker, step);
}

/* Workers that together can take `wanted` tasks, those with the least loss per
 * task first; NULL if there are not enough. *loss is set to their total. */
static GArray *
find_candidates (struct gr_steps *steps,
                 struct step *step,
                 GPtrArray *workers,
                 uint32_t wanted,
                 double *loss)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  uint32_t slots = 0;
  guint used = 0;

  *loss = 0;
  for (guint i = 0; i < workers->len; i++)
    {
      struct candidate candidate = { .worker = workers->pdata[i] };

      if (!is_usable_for (steps, candidate.worker, step))
        continue;
      candidate.slots = preempt_tasks (steps, step, candidate.worker, wanted,
                                       false, &candidate.loss);
      if (!has_guaranteed_work (candidate.worker))
        candidate.loss += FIRST_GUARANTEED_TASK_LOSS;
      if (candidate.slots > 0)
        g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  for (used = 0; used < candidates->len && slots < wanted; used++)
    {
      slots += g_array_index (candidates, struct candidate, used).slots;
      *loss += g_array_index (candidates, struct candidate, used).loss;
    }
  g_array_set_size (candidates, used);
  if (slots >= wanted)
    return candidates;
  g_array_unref (candidates);
  return NULL;
}

static GArray *
best_rack_candidates (struct gr_steps *steps,
                      struct step *step,
                      uint32_t wanted)
{
  GPtrArray *racks = gr_racks (steps);
  GArray *best = NULL;
  double best_loss = 0;

  for (guint i = 0; i < racks->len; i++)
    {
      struct rack *rack = racks->pdata[i];
      GArray *candidates;
      double loss;

      candidates = find_candidates (steps, step, rack->workers, wanted, &loss);
      if (candidates == NULL)
        continue;
      if (best != NULL && loss >= best_loss)
        {
          g_array_unref (candidates);
          continue;
        }
      if (best != NULL)
        g_array_unref (best);
      best = candidates;
      best_loss = loss;
    }
  return best;
}

void
gr_reclaim_capacity (struct gr_steps *steps, struct step *step)
{
  uint32_t wanted = step->spec->gang ? step->n_tasks : step->n_waiting;
  GArray *candidates = NULL;
  double loss;

  if ((step->reclaim_started_ms != 0
       && steps->now_ms - step->reclaim_started_ms < RECLAIM_WAIT_MS)
      || (step->reclaim_failed_ms != 0
          && steps->now_ms - step->reclaim_failed_ms < RECLAIM_RETRY_MS))
    return;
  if (step->spec->gang && step->spec->one_rack)
    candidates = best_rack_candidates (steps, step, wanted);
  /* Unless the gang may spread, capacity on several racks would be of no
   * use. */
  if (candidates == NULL
      && (!step->spec->gang || gr_step_may_spread (steps, step)))
    candidates =
        find_candidates (steps, step, steps->worker_rows, wanted, &loss);
  if (candidates == NULL)
    {
      step->reclaim_failed_ms = steps->now_ms;
      return;
    }
  step->reclaim_started_ms = steps->now_ms;
  for (guint i = 0; i < candidates->len && wanted > 0; i++)
    {
      struct candidate *candidate =
          &g_array_index (candidates, struct candidate, i);

      gr_worker_reserve (steps, candidate->worker, step);
      wanted -= preempt_tasks (steps, step, candidate->worker,
                               MIN (wanted, candidate->slots), true, &loss);
    }
  g_array_unref (candidates);
}
