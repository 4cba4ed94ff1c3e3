#include "steps/planned.h"

#include "steps/availability.h"
#include "steps/deadline.h"
#include "steps/place.h"
#include "steps/reclaim.h"

#include "common/log.h"

/* Computing a plan looks at every run of the site, and the ends that it is
 * computed from are known no better than this. */
#define PLAN_INTERVAL_MS 200

/* A gang that has not started this long after its planned time has missed it
 * clearly: a run that ends is known within 0.3 s, so the runs there take longer
 * than expected. */
#define PLAN_MISSED_MS 1000

/* Planned workers may be a tenth of all, or one rack if that is more. They are
 * idle only for work that would end too late; so reservations cost less than
 * this share of the capacity. */
#define MAX_PLANNED_SHARE 0.1

static void
drop_plan (struct gr_steps *steps, struct queue *queue)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->planned_for == queue->planned_step)
        worker->planned_for = NULL;
    }
  queue->planned_step = NULL;
}

static bool
has_unusable_worker (struct gr_steps *steps, const struct step *step)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->planned_for == step
          && !gr_worker_allowed (steps, worker, step))
        return true;
    }
  return false;
}

static struct gr_resources
used_by_lasting_runs (const struct worker *worker)
{
  struct gr_resources used = { 0 };

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];
      const struct gr_step_spec *spec = task->step->spec;

      if (!spec->lasting)
        continue;
      used.cpu_milli += spec->filler ? 0 : spec->needs.cpu_milli;
      used.memory_mb += spec->needs.memory_mb;
      used.accelerators += spec->needs.accelerators;
    }
  return used;
}

static bool
has_lasting_run (const struct worker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    if (((struct task *)worker->tasks->pdata[i])->step->spec->lasting)
      return true;
  return false;
}

/* True if the gang does not fit on its workers any more, because lasting tasks,
 * which do not end by themselves, were started there. */
static bool
is_obstructed (const struct gr_steps *steps, const struct step *step)
{
  bool obstructed = false;
  uint32_t slots = 0;

  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];
      struct gr_resources used;

      if (worker->planned_for != step)
        continue;
      obstructed |= has_lasting_run (worker);
      used = used_by_lasting_runs (worker);
      slots += gr_step_slots_beside (step, worker, &used);
    }
  return obstructed && slots < step->n_tasks;
}

static void
expire_plan (struct gr_steps *steps, struct queue *queue, const char *reason)
{
  steps->placement.reservations_expired++;
  gr_log_event ("gang-reservation-expired", "job",
                gr_step_job (queue->planned_step)->spec->id, "reason", reason,
                NULL);
  drop_plan (steps, queue);
}

static void
check_plan (struct gr_steps *steps, struct queue *queue)
{
  struct step *step = queue->planned_step;

  if (gr_job_is_final (gr_step_job (step)) || step->n_waiting < step->n_tasks)
    {
      drop_plan (steps, queue);
      return;
    }
  if (steps->now_ms >= queue->planned_ms + PLAN_MISSED_MS)
    expire_plan (steps, queue, "the planned time has passed");
  else if (has_unusable_worker (steps, step))
    expire_plan (steps, queue, "a worker cannot be used");
  else if (is_obstructed (steps, step))
    {
      expire_plan (steps, queue, "lasting tasks have taken the room");
      /* At once, as other work would take the room of the next plan. */
      queue->plan_checked_ms = 0;
      gr_planned_make (steps, step);
    }
}

void
gr_planned_tick (struct gr_steps *steps)
{
  GHashTableIter iter;
  void *value;

  steps->has_plans = false;
  g_hash_table_iter_init (&iter, steps->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct queue *queue = value;

      if (queue->planned_step != NULL)
        check_plan (steps, queue);
      if (queue->planned_step != NULL
          && steps->settings.objectives == GR_MODE_ON)
        steps->has_plans = true;
    }
}

static guint
count_planned (const struct gr_steps *steps)
{
  guint n = 0;

  for (guint i = 0; i < steps->worker_rows->len; i++)
    n += ((struct worker *)steps->worker_rows->pdata[i])->planned_for != NULL;
  return n;
}

/* The rack on which the gang is expected to complete first. */
static bool
find_rack (struct gr_steps *steps, struct step *step, struct availability *best)
{
  GPtrArray *racks = gr_racks (steps);
  double run_ms = (double)gr_deadline (steps, step)->run_ms;
  guint planned = count_planned (steps);
  double best_ms = G_MAXDOUBLE;

  *best = (struct availability){ 0 };
  for (guint i = 0; i < racks->len; i++)
    {
      struct rack *rack = racks->pdata[i];
      guint limit =
          MAX (rack->workers->len,
               (guint)((double)steps->worker_rows->len * MAX_PLANNED_SHARE));
      struct availability found;
      double expected_ms;

      if (!gr_availability_find (steps, step, rack->workers, G_MAXDOUBLE,
                                 &found))
        continue;
      expected_ms = (double)found.wait_ms + run_ms * found.slowness;
      if (expected_ms < best_ms && planned + found.workers->len <= limit)
        {
          struct availability worse = *best;

          *best = found;
          found = worse;
          best_ms = expected_ms;
        }
      g_clear_pointer (&found.workers, g_ptr_array_unref);
    }
  return best->workers != NULL;
}

/* Urgent gangs reclaim capacity instead, those that may spread need no rack,
 * and work whose value is lost need not be served before others. */
static bool
may_plan (struct gr_steps *steps, struct step *step)
{
  const struct queue *queue = gr_step_job (step)->queue;

  if (steps->settings.objectives == GR_MODE_OFF || !step->spec->gang
      || step->n_waiting < step->n_tasks || queue->priority == 0
      || queue->planned_step != NULL || steps->plan_started_ms == steps->now_ms)
    return false;
  if (queue->plan_checked_ms != 0
      && steps->now_ms - queue->plan_checked_ms < PLAN_INTERVAL_MS)
    return false;
  return !gr_step_may_spread (steps, step)
         && gr_deadline_left_ms (steps, step, GR_LATE_FACTOR)
                > gr_deadline (steps, step)->run_ms;
}

static void
log_plan (const struct step *step, const struct availability *plan)
{
  const struct worker *worker = plan->workers->pdata[0];
  char text[2][24];

  g_snprintf (text[0], sizeof text[0], "%" G_GINT64_FORMAT, plan->wait_ms);
  g_snprintf (text[1], sizeof text[1], "%u", plan->workers->len);
  gr_log_event ("gang-reserved", "job", gr_step_job (step)->spec->id, "rack",
                worker->rack, "in-ms", text[0], "workers", text[1], NULL);
}

void
gr_planned_make (struct gr_steps *steps, struct step *step)
{
  struct queue *queue = gr_step_job (step)->queue;
  struct availability plan;

  if (!may_plan (steps, step))
    return;
  queue->plan_checked_ms = steps->now_ms;
  if (!find_rack (steps, step, &plan))
    return;
  queue->planned_step = step;
  queue->planned_ms = steps->now_ms + plan.wait_ms;
  steps->placement.reservations_made++;
  if (steps->settings.objectives == GR_MODE_ON)
    {
      steps->has_plans = true;
      for (guint i = 0; i < plan.workers->len; i++)
        ((struct worker *)plan.workers->pdata[i])->planned_for = step;
    }
  log_plan (step, &plan);
  g_ptr_array_unref (plan.workers);
}

/* The steps that go first have failed in this pass before the workers were
 * given up. They are asked first in the next one, so that a queue with many
 * gangs does not keep its workers from the gangs of others. */
static void
allow_plans_again (struct gr_steps *steps)
{
  GHashTableIter iter;
  void *value;

  steps->plan_started_ms = steps->now_ms;
  g_hash_table_iter_init (&iter, steps->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct queue *)value)->plan_checked_ms = 0;
}

void
gr_planned_started (struct gr_steps *steps, struct step *step)
{
  struct queue *queue = gr_step_job (step)->queue;

  if (queue->planned_step != step)
    return;
  steps->placement.reservations_kept++;
  drop_plan (steps, queue);
  allow_plans_again (steps);
}

bool
gr_worker_is_planned (const struct gr_steps *steps,
                      const struct worker *worker,
                      struct step *step)
{
  const struct queue *queue = gr_step_job (step)->queue;
  const struct queue *planned;
  int64_t run_ms;

  if (worker->planned_for == step)
    return false;
  planned = gr_step_job (worker->planned_for)->queue;
  /* Urgent work does not wait, nor does work that goes before the gang. */
  if (queue->priority == 0 || queue->priority < planned->priority)
    return false;
  if (step->spec->lasting)
    return !step->enters_plans;
  run_ms = (int64_t)((double)gr_deadline (steps, step)->late_run_ms
                     * worker->class_slowness);
  return steps->now_ms + run_ms > planned->planned_ms;
}
