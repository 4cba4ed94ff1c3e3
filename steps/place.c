#include "steps/place.h"
#include "steps/deadline.h"
#include "steps/losses.h"
#include "steps/planned.h"
#include "steps/reclaim.h"

#include "common/log.h"

/* The placement pass. Steps are tried in order of urgency; each is placed on
 * the workers where it wastes the least capacity, and a gang on one rack if it
 * asks for it. Designed for gangs on 1 to 8 workers mixed with many small
 * tasks. */

/* Share of the accelerators that are free while "most" of them are; the
 * platform's bounds for ready work apply then. */
#define MOSTLY_FREE_SHARE 0.5

void
gr_place_task_on (struct gr_steps *steps,
                  struct task *task,
                  struct worker *worker,
                  uint32_t run)
{
  char name[GR_TASK_NAME_SIZE];
  char text[16];
  char reported[24];

  if (worker->planned_for != NULL && worker->planned_for != task->step)
    steps->placement.tasks_backfilled++;
  gr_task_assign (task, worker);
  task->run = run;
  gr_order_start (steps, task);
  gr_task_name (task, name);
  g_snprintf (text, sizeof text, "%u", run);
  gr_log_event ("run-placed", "task", name, "run", text, "worker", worker->id,
                "reported_ms",
                gr_loss_age (steps, worker->reported_ms, reported), NULL);
}

bool
gr_place_may_queue_start (const struct gr_steps *steps, const struct step *step)
{
  return gr_step_job (step)->queue->priority == 0
         || !gr_orders_backlogged (steps);
}

bool
gr_place_by_speed (const struct gr_steps *steps, const struct step *step)
{
  return steps->settings.objectives != GR_MODE_OFF && steps->uneven_speeds
         && !step->spec->lasting;
}

void
gr_place_count_expected (struct gr_steps *steps,
                         struct step *step,
                         double slowness)
{
  struct gr_steps_placement *counts = &steps->placement;
  int64_t run_ms;

  if (step->spec->lasting || step->placement_counted)
    return;
  step->placement_counted = true;
  run_ms = (int64_t)((double)gr_deadline (steps, step)->run_ms * slowness);
  if (run_ms > gr_deadline_left_ms (steps, step, 1))
    counts->steps_expected_late++;
  if (!step->spec->gang)
    return;
  if (slowness <= gr_deadline_max_slowness (steps, step))
    counts->gangs_fast_enough++;
  else
    counts->gangs_too_slow++;
}

static void
update_free_accelerators (struct gr_steps *steps)
{
  GPtrArray *racks = gr_racks (steps);
  uint64_t available = 0;
  uint64_t capacity = 0;

  for (guint i = 0; i < racks->len; i++)
    {
      struct rack *rack = racks->pdata[i];

      rack->free_accelerators = 0;
      for (guint k = 0; k < rack->workers->len; k++)
        {
          const struct worker *worker = rack->workers->pdata[k];

          if (gr_worker_usable (steps, worker)
              && worker->capacity.accelerators > worker->used.accelerators)
            rack->free_accelerators +=
                worker->capacity.accelerators - worker->used.accelerators;
          if (worker->registered && !worker->evacuated)
            capacity += worker->capacity.accelerators;
        }
      available += rack->free_accelerators;
    }
  steps->mostly_free =
      (double)available >= (double)capacity * MOSTLY_FREE_SHARE;
}

/* Short and lasting work may fit on planned workers where longer work does
 * not. */
static bool
may_fit_beside_plans (const struct gr_steps *steps,
                      const struct step *step,
                      const struct step *failed)
{
  return steps->has_plans && gr_step_job (step)->queue->priority > 0
         && (step->spec->lasting != failed->spec->lasting
             || step->deadline.late_run_ms < failed->deadline.late_run_ms);
}

/* True if the step needs at least as much, on the same workers, as one that
 * already failed in this pass. It need not be tried, as free
 * capacity only shrinks within a pass. Keeps a pass short with hundreds of
 * waiting gangs. */
static bool
needs_at_least (const struct step *step, const struct step *failed)
{
  const struct gr_step_spec *a = step->spec;
  const struct gr_step_spec *b = failed->spec;

  return gr_step_job (step)->queue == gr_step_job (failed)->queue
         && !gr_step_job (step)->queue->needs_advice && a->gang == b->gang
         && a->one_rack == b->one_rack && a->filler == b->filler
         && g_strcmp0 (a->label, b->label) == 0 && b->max_per_worker == 0
         && a->needs.cpu_milli >= b->needs.cpu_milli
         && a->needs.memory_mb >= b->needs.memory_mb
         && a->needs.accelerators >= b->needs.accelerators
         && (!a->gang || a->count >= b->count);
}

static bool
is_known_not_to_fit (struct gr_steps *steps,
                     struct step *step,
                     const GPtrArray *failed)
{
  /* Workers may be reserved for it by now, or it may spread over racks. */
  if (step->reclaim_started_ms != 0 || step->wait_slowness > 0
      || steps->held_for == step || gr_step_may_spread (steps, step)
      || gr_step_job (step)->queue->planned_step == step)
    return false;
  for (guint i = 0; i < failed->len; i++)
    if (needs_at_least (step, failed->pdata[i])
        && !may_fit_beside_plans (steps, step, failed->pdata[i]))
      return true;
  return false;
}

/* Stops a gang of which only some runs were found, when all runs are known. */
static bool
abort_incomplete_gang (struct gr_steps *steps, struct step *step)
{
  if (!gr_gang_is_incomplete (step))
    return false;
  gr_gang_abort (steps, step);
  return true;
}

static bool
place_step (struct gr_steps *steps, struct step *step)
{
  return step->spec->gang ? gr_place_gang (steps, step)
                          : gr_place_tasks (steps, step);
}

/* A plan can be for as long as the longest run, which lasting work must not
 * wait for; it takes planned workers where no other has room. */
static bool
place_among_plans (struct gr_steps *steps, struct step *step)
{
  bool placed;

  if (!step->spec->lasting || !steps->has_plans)
    return false;
  step->enters_plans = true;
  placed = place_step (steps, step);
  step->enters_plans = false;
  return placed;
}

/* Tries to start the step, and records it in `failed` if it does not fit. */
static void
try_step (struct gr_steps *steps, struct step *step, GPtrArray *failed)
{
  if (abort_incomplete_gang (steps, step) || steps->all_evacuated
      || !gr_place_may_queue_start (steps, step))
    return;
  if (is_known_not_to_fit (steps, step, failed))
    {
      /* Capacity is reclaimed for guaranteed work whatever other steps are
       * waiting. */
      if (gr_step_is_guaranteed (step))
        gr_reclaim_capacity (steps, step);
      return;
    }
  if (place_step (steps, step) || place_among_plans (steps, step))
    return;
  if (!gr_step_may_spread (steps, step))
    g_ptr_array_add (failed, step);
  gr_planned_make (steps, step);
  gr_advice_want (steps, step);
  if (gr_step_job (step)->queue->priority == 0)
    gr_reclaim_capacity (steps, step);
}

void
gr_place_tick (struct gr_steps *steps)
{
  g_autoptr (GPtrArray) ranked = NULL;
  g_autoptr (GPtrArray) failed = g_ptr_array_new ();

  gr_accounts_update_demand (steps);
  update_free_accelerators (steps);
  if (steps->settings.objectives != GR_MODE_OFF)
    {
      gr_workers_update_speeds (steps);
      gr_planned_tick (steps);
    }
  gr_reclaim_begin_pass (steps);
  ranked = gr_rank_steps (steps);
  for (guint i = 0; i < ranked->len; i++)
    try_step (steps, ranked->pdata[i], failed);
  gr_advice_send_requests (steps);
  steps->reports_requested = 0;
}
