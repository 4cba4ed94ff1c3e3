#include "steps/reclaim.h"

#include "common/log.h"
#include "steps/forecast.h"

/* Rounds of stops for an urgent step, and the budget of what they may cost. The
 * state of a round is in struct step; it is not stored, and a successor starts
 * anew. */

/* Pause after no set of workers could free enough capacity within the
 * budget. */
#define RECLAIM_RETRY_MS 120

/* Searches for room for work beyond its guarantee in one pass, in the order of
 * the steps. A search of 350 workers takes about 0.6 ms; with 500 waiting
 * gangs, searches of all refused steps made a pass 4 to 8 times as long. */
#define MAX_SEARCHES 1

/* A refused step that is not tried again within this time, two retries, no
 * longer holds its workers. */
#define HOLD_MS 300

/* Longest duration of a stop where the platform states none. */
#define DEFAULT_STOP_MS 200

/* Time from the decision to stop a run until the order is at the worker, with
 * the queue of the owner; orders time out after 250 ms. */
#define STOP_TRANSIT_MS 150

/* Workers with runs are polled about every 100 ms. */
#define END_POLL_MS 100

/* Time that the starts of guaranteed work need after its room is free: one
 * scheduling pass and the transit. */
#define START_MS 200

static int64_t
longest_stop_ms (const struct gr_steps *steps)
{
  return steps->settings.stop_ms > 0 ? steps->settings.stop_ms
                                     : DEFAULT_STOP_MS;
}

static int64_t
round_ms (const struct gr_steps *steps)
{
  return longest_stop_ms (steps) + STOP_TRANSIT_MS + END_POLL_MS;
}

/* Latest start of a round after which guaranteed work still starts in time. */
static int64_t
last_round_ms (const struct gr_steps *steps, const struct step *step)
{
  return step->ready_ms + (int64_t)steps->settings.reclaim_ms - START_MS
         - round_ms (steps);
}

/* A round that starts now ends early enough for another one. */
static int64_t
round_end_ms (const struct gr_steps *steps, const struct step *step)
{
  int64_t end_ms = steps->now_ms + round_ms (steps);
  int64_t last_ms = last_round_ms (steps, step);

  if (gr_step_is_guaranteed (step) && steps->now_ms < last_ms)
    end_ms = MIN (end_ms, last_ms);
  return end_ms;
}

/* Time within which runs that end by themselves are waited for. In the last
 * round for guaranteed work only stops count. */
static int64_t
longest_wait_ms (const struct gr_steps *steps, const struct step *step)
{
  if (!gr_step_is_guaranteed (step))
    return longest_stop_ms (steps);
  return MIN (longest_stop_ms (steps),
              last_round_ms (steps, step) - steps->now_ms - END_POLL_MS);
}

/* True if a stop for the step had no effect or a worker that it waits for is
 * lost. */
static bool
round_has_failed (const struct gr_steps *steps, const struct step *step)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->reserved_for != step)
        continue;
      if (!gr_worker_usable (steps, worker))
        return true;
      for (guint k = 0; k < worker->tasks->len; k++)
        {
          const struct task *task = worker->tasks->pdata[k];

          if (task->state == TASK_STOPPING
              && task->stop_failed_ms > step->reclaim_started_ms)
            return true;
        }
    }
  return false;
}

static bool
is_held (const struct gr_steps *steps, const struct step *step)
{
  return step == steps->held_for && steps->now_ms < steps->held_until_ms;
}

/* Counts a search for room. Returns false if there were enough in this pass. */
static bool
may_search (struct gr_steps *steps, const struct step *step)
{
  if (gr_step_is_guaranteed (step))
    return true;
  if (is_held (steps, step))
    return true; /* otherwise its workers would be given up */
  /* A refused step searches again once each of the others had a search, so that
   * the first ones in the order do not use up all searches. */
  if (step->round_failed_ms != 0
      && step->round_failed_ms >= steps->search_cycle_ms)
    {
      steps->searches_deferred = true;
      return false;
    }
  if (steps->searched_ms != steps->now_ms)
    {
      steps->searched_ms = steps->now_ms;
      steps->searches = 0;
    }
  return steps->searches++ < MAX_SEARCHES;
}

static bool
may_start_round (const struct gr_steps *steps, const struct step *step)
{
  if (steps->now_ms < step->round_until_ms && !round_has_failed (steps, step))
    return false;
  return step->round_failed_ms == 0
         || steps->now_ms - step->round_failed_ms >= RECLAIM_RETRY_MS;
}

/* A gang that has started and was stopped again has a new budget. */
static void
reset_after_start (struct step *step)
{
  if (!step->spec->gang || step->reclaim_gang_run == step->gang_run)
    return;
  step->reclaim_gang_run = step->gang_run;
  step->reclaim_cost = 0;
  step->budget_refused = false;
}

/* Core-seconds that the step may cost. It grows by the step's own work for each
 * objective that it has waited: without that, a wide gang beyond its guarantee
 * waits until runs end by themselves, 25 s and more for batch work, and the
 * largest jobs of a kind would be served less often than the others. */
static double
budget_of (const struct gr_steps *steps, const struct step *step)
{
  double work = gr_step_task_cores (step) * step->n_tasks
                * (double)gr_forecast_run_ms (steps, step, 0.5) / 1000.0;
  double waited = (double)(steps->now_ms - step->ready_ms)
                  / (double)MAX (gr_job_objective_ms (gr_step_job (step)), 1);

  return work * (1.0 + waited);
}

static bool
is_within_budget (const struct gr_steps *steps,
                  const struct step *step,
                  const struct reclaim_plan *plan)
{
  return plan->cost <= 0 || gr_step_is_guaranteed (step)
         || step->reclaim_cost + plan->cost <= budget_of (steps, step);
}

struct search
{
  struct gr_steps *steps;
  struct step *step;
  uint32_t wanted;
  int64_t wait_ms;
};

static struct reclaim_plan *
plan_on (const struct search *search, GPtrArray *workers)
{
  return gr_reclaim_plan_create (search->steps, search->step, workers,
                                 search->wanted, search->wait_ms);
}

static struct reclaim_plan *
best_rack_plan (const struct search *search)
{
  GPtrArray *racks = gr_racks (search->steps);
  struct reclaim_plan *best = NULL;

  for (guint i = 0; i < racks->len; i++)
    {
      const struct rack *rack = racks->pdata[i];
      struct reclaim_plan *plan = plan_on (search, rack->workers);

      if (plan == NULL)
        continue;
      if (!gr_reclaim_plan_is_better (plan, best))
        {
          gr_reclaim_plan_destroy (plan);
          continue;
        }
      gr_reclaim_plan_destroy (best);
      best = plan;
    }
  return best;
}

static struct reclaim_plan *
best_plan (const struct search *search)
{
  struct gr_steps *steps = search->steps;
  struct step *step = search->step;
  struct reclaim_plan *on_rack = NULL;
  struct reclaim_plan *anywhere;

  if (step->spec->gang && step->spec->one_rack)
    on_rack = best_rack_plan (search);
  if (on_rack != NULL && is_within_budget (steps, step, on_rack))
    return on_rack;
  /* Unless the gang may spread, capacity on several racks would be of no
   * use. */
  if (step->spec->gang && !gr_step_may_spread (steps, step))
    return on_rack;
  anywhere = plan_on (search, steps->worker_rows);
  if (anywhere == NULL)
    return on_rack;
  gr_reclaim_plan_destroy (on_rack);
  return anywhere;
}

static struct reclaim_plan *
find_plan (struct gr_steps *steps, struct step *step)
{
  struct search search = {
    .steps = steps,
    .step = step,
    .wanted = step->spec->gang ? step->n_tasks : step->n_waiting,
    .wait_ms = longest_wait_ms (steps, step),
  };

  return best_plan (&search);
}

static void
refuse (struct gr_steps *steps,
        struct step *step,
        const struct reclaim_plan *plan)
{
  char cost[32];
  char budget[32];

  if (step->budget_refused)
    return;
  step->budget_refused = true;
  steps->preemption.refused_steps++;
  g_snprintf (cost, sizeof cost, "%.1f", step->reclaim_cost + plan->cost);
  g_snprintf (budget, sizeof budget, "%.1f", budget_of (steps, step));
  gr_log_event ("preemption-refused", "job", gr_step_job (step)->spec->id,
                "cost", cost, "budget", budget, NULL);
}

static bool
is_victim (const struct reclaim_plan *plan, const struct task *task)
{
  return g_ptr_array_find (plan->victims, task, NULL);
}

/* Records which runs the plan waits for, so that none is waited for twice.
 * Returns their number. */
static uint32_t
mark_awaited_runs (struct gr_steps *steps,
                   struct step *step,
                   const struct reclaim_plan *plan,
                   int64_t wait_ms)
{
  uint32_t runs = 0;

  for (guint i = 0; i < plan->shares->len; i++)
    {
      const struct worker *worker =
          g_array_index (plan->shares, struct reclaim_share, i).worker;

      for (guint k = 0; k < worker->tasks->len; k++)
        {
          struct task *task = worker->tasks->pdata[k];

          if (!gr_run_ends_within (steps, task, wait_ms)
              || is_victim (plan, task) || task->awaited_run == task->run)
            continue;
          task->awaited_run = task->run;
          task->awaited_until_ms = step->round_until_ms;
          runs++;
        }
    }
  return runs;
}

static void
drop_reservations (struct gr_steps *steps, const struct step *step)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->reserved_for == step)
        worker->reserved_for = NULL;
    }
}

static void
reserve_workers (struct gr_steps *steps,
                 struct step *step,
                 const struct reclaim_plan *plan,
                 int64_t until_ms)
{
  /* Workers of a former round that this one does not use are of no use. */
  drop_reservations (steps, step);
  for (guint i = 0; i < plan->shares->len; i++)
    {
      const struct reclaim_share *share =
          &g_array_index (plan->shares, struct reclaim_share, i);
      struct worker *worker = share->worker;

      gr_worker_reserve (steps, worker, step);
      worker->reserved = (struct gr_resources){
        .cpu_milli = step->spec->needs.cpu_milli * share->tasks,
        .memory_mb = step->spec->needs.memory_mb * share->tasks,
        .accelerators = step->spec->needs.accelerators * share->tasks,
      };
      worker->reserved_until_ms = until_ms;
    }
}

/* Keeps the workers of a plan that was too expensive, so that it becomes
 * cheaper as runs end there. For one step at a time, as room is idle
 * meanwhile. */
static void
hold_workers (struct gr_steps *steps,
              struct step *step,
              const struct reclaim_plan *plan)
{
  if (steps->held_for != step && steps->now_ms < steps->held_until_ms)
    return;
  steps->held_for = step;
  steps->held_until_ms = steps->now_ms + HOLD_MS;
  reserve_workers (steps, step, plan, steps->held_until_ms);
}

static void
log_round (const struct step *step,
           const struct reclaim_plan *plan,
           uint32_t awaited,
           bool apply)
{
  char workers[16];
  char victims[16];
  char awaited_text[16];
  char cost[32];

  g_snprintf (workers, sizeof workers, "%u", plan->shares->len);
  g_snprintf (victims, sizeof victims, "%u", plan->victims->len);
  g_snprintf (awaited_text, sizeof awaited_text, "%u", awaited);
  g_snprintf (cost, sizeof cost, "%.1f", plan->cost);
  gr_log_event ("reclaim-round", "job", gr_step_job (step)->spec->id, "workers",
                workers, "victims", victims, "awaited", awaited_text, "cost",
                cost, "guaranteed", gr_step_is_guaranteed (step) ? "yes" : "no",
                "applied", apply ? "yes" : "no", NULL);
}

static void
start_round (struct gr_steps *steps,
             struct step *step,
             const struct reclaim_plan *plan,
             bool apply)
{
  int64_t wait_ms = longest_wait_ms (steps, step);
  uint32_t awaited;

  step->round_until_ms = round_end_ms (steps, step);
  step->reclaim_cost += plan->cost;
  steps->preemption.planned_core_s += plan->cost;
  awaited = mark_awaited_runs (steps, step, plan, wait_ms);
  steps->preemption.awaited_runs += awaited;
  if (plan->victims->len > 0 || awaited > 0)
    log_round (step, plan, awaited, apply);
  if (!apply)
    return;
  step->reclaim_started_ms = steps->now_ms;
  reserve_workers (steps, step, plan,
                   steps->now_ms + round_ms (steps) + START_MS);
  for (guint i = 0; i < plan->victims->len; i++)
    if (gr_victim_is_preemptible (steps, step, plan->victims->pdata[i]))
      gr_victim_stop (steps, step, plan->victims->pdata[i]);
}

void
gr_reclaim_begin_pass (struct gr_steps *steps)
{
  if (steps->searches_deferred && steps->searches == 0)
    steps->search_cycle_ms = steps->now_ms;
  steps->searches_deferred = false;
  steps->searches = 0;
}

void
gr_reclaim_round (struct gr_steps *steps, struct step *step, bool apply)
{
  struct reclaim_plan *plan;

  reset_after_start (step);
  if (!may_start_round (steps, step) || !may_search (steps, step))
    return;
  plan = find_plan (steps, step);
  if (plan != NULL && is_within_budget (steps, step, plan))
    start_round (steps, step, plan, apply);
  else
    {
      step->round_failed_ms = steps->now_ms;
      if (plan != NULL)
        {
          refuse (steps, step, plan);
          if (apply)
            hold_workers (steps, step, plan);
        }
    }
  gr_reclaim_plan_destroy (plan);
}
