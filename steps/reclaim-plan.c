#include "steps/reclaim.h"

#include "steps/forecast.h"

/* Plans which workers a step takes and which runs are stopped for it. Workers
 * are chosen one after the other, that with the least cost per task first.
 * Once a gang is to be stopped, what it frees on other workers costs nothing
 * more. */

/* Polls show the state of a run every 100 ms, so costs that differ by less work
 * than this count as equal. */
#define COST_RESOLUTION_S 0.1

/* Added for each job of which the first run is stopped, so that of solutions
 * with about equal cost the one with fewer jobs is preferred: 0.5 s of one
 * accelerator, about the time until a stopped task runs again. */
#define JOB_SURCHARGE 4.0

/* Plans whose costs differ by less than this share count as equal; the one that
 * stops fewer jobs is preferred. */
#define EQUAL_COST_SHARE 0.05

/* A run or gang that may be stopped. */
struct unit
{
  struct task *task; /* one of its tasks on the worker */
  double cost;       /* in core-seconds */
  double ranking_cost;
  int64_t remaining_ms;
};

struct row
{
  struct worker *worker;
  uint32_t taken;   /* tasks of the step that the plan puts there */
  uint32_t offered; /* further tasks for which it can be taken now */
  double rate;      /* ranking cost for each of them */
  bool stale;       /* the offer must be computed again */
};

struct planner
{
  struct gr_steps *steps;
  struct step *step;
  int64_t wait_ms;
  bool share_gangs; /* count a gang on each worker only in proportion */
  bool saw_gangs;
  uint32_t number;
  GArray *rows;  /* struct row */
  GArray *units; /* struct unit; of find_units () */
  struct reclaim_plan *plan;
};

bool
gr_run_ends_within (const struct gr_steps *steps,
                    const struct task *task,
                    int64_t wait_ms)
{
  if (wait_ms < 0 || task->state != TASK_RUNNING || task->step->spec->lasting
      || task->first_percent_ms == 0 || task->percent <= task->first_percent
      || gr_forecast_remaining_ms (steps, task) > wait_ms)
    return false;
  return task->awaited_run != task->run
         || steps->now_ms < task->awaited_until_ms;
}

static bool
is_coming_free (const struct planner *planner, const struct task *task)
{
  if (task->state == TASK_STOPPING)
    return task->stop_failed_ms == 0;
  return task->plan == planner->number
         || gr_run_ends_within (planner->steps, task, planner->wait_ms);
}

/* Resources in use on the worker once stops and ending runs are done. */
static struct gr_resources
expected_used (const struct planner *planner, const struct worker *worker)
{
  struct gr_resources used = worker->used;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (is_coming_free (planner, task))
        gr_subtract_needs (&used, task->step->spec);
    }
  return used;
}

static uint32_t
members_on (const struct step *gang, const struct worker *worker)
{
  uint32_t members = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    members += ((struct task *)worker->tasks->pdata[i])->step == gang;
  return members;
}

static uint32_t
active_members (const struct step *gang)
{
  uint32_t members = 0;

  for (uint32_t i = 0; i < gang->n_tasks; i++)
    members += gr_task_is_active (&gang->tasks[i]);
  return members;
}

static gint
compare_units (gconstpointer left, gconstpointer right)
{
  const struct unit *a = left;
  const struct unit *b = right;

  if (a->ranking_cost != b->ranking_cost)
    return a->ranking_cost < b->ranking_cost ? -1 : 1;
  return a->remaining_ms > b->remaining_ms ? -1
                                           : a->remaining_ms < b->remaining_ms;
}

static bool
has_unit_of (const GArray *units, const struct step *gang)
{
  for (guint i = 0; i < units->len; i++)
    if (g_array_index (units, struct unit, i).task->step == gang)
      return true;
  return false;
}

static void
add_unit (struct planner *planner, GArray *units, struct task *task)
{
  const struct step *other = task->step;
  double resolution = COST_RESOLUTION_S * gr_step_task_cores (other);
  struct unit unit = { .task = task };

  if (other->spec->gang && has_unit_of (units, other))
    return;
  unit.cost = gr_victim_cost (planner->steps, task);
  unit.remaining_ms = gr_forecast_remaining_ms (planner->steps, task);
  unit.ranking_cost = unit.cost;
  if (other->spec->gang)
    {
      planner->saw_gangs = true;
      if (planner->share_gangs)
        unit.ranking_cost *=
            (double)members_on (other, task->worker) / active_members (other);
    }
  if (resolution > 0)
    unit.ranking_cost =
        (double)(int64_t)(unit.ranking_cost / resolution) * resolution;
  if (gr_task_job (task)->plan != planner->number)
    unit.ranking_cost += JOB_SURCHARGE;
  g_array_append_val (units, unit);
}

/* True if stopping the task, after what the plan and the units stop already,
 * makes more tasks of a lasting step unavailable than permitted. */
static bool
exceeds_max_away (const struct planner *planner,
                  const GArray *units,
                  const struct task *task)
{
  const struct step *step = task->step;
  uint32_t away;

  if (!step->spec->lasting)
    return false;
  away = gr_step_unavailable_tasks (step, task);
  for (uint32_t i = 0; i < step->n_tasks; i++)
    away += step->tasks[i].plan == planner->number;
  for (guint i = 0; i < units->len; i++)
    away += g_array_index (units, struct unit, i).task->step == step;
  return away >= step->spec->max_away;
}

/* The runs and gangs that may be stopped on the worker, cheapest first. Valid
 * until the next call. */
static GArray *
find_units (struct planner *planner, const struct worker *worker)
{
  GArray *units = planner->units;

  g_array_set_size (units, 0);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (gr_victim_is_preemptible (planner->steps, planner->step, task)
          && !is_coming_free (planner, task)
          && !exceeds_max_away (planner, units, task))
        add_unit (planner, units, task);
    }
  g_array_sort (units, compare_units);
  return units;
}

static void
subtract_unit (struct gr_resources *used,
               const struct worker *worker,
               const struct unit *unit)
{
  const struct step *step = unit->task->step;
  uint32_t members = step->spec->gang ? members_on (step, worker) : 1;

  for (uint32_t i = 0; i < members; i++)
    gr_subtract_needs (used, step->spec);
}

static uint32_t
free_slots (const struct planner *planner,
            const struct row *row,
            const struct gr_resources *used)
{
  uint32_t slots = gr_step_slots_beside (planner->step, row->worker, used);

  return slots > row->taken ? slots - row->taken : 0;
}

static double
opening_cost (const struct row *row)
{
  if (row->taken > 0 || gr_worker_has_guaranteed_work (row->worker))
    return 0;
  return FIRST_GUARANTEED_TASK_LOSS;
}

/* Computes for how many further tasks, at most `wanted`, the worker can be
 * taken at the lowest cost for each. */
static void
update_offer (struct planner *planner, struct row *row, uint32_t wanted)
{
  struct gr_resources used = expected_used (planner, row->worker);
  uint32_t slots = MIN (free_slots (planner, row, &used), wanted);
  double cost = opening_cost (row);
  GArray *units;

  row->stale = false;
  row->offered = slots;
  row->rate = slots > 0 ? cost / slots : 0;
  if (slots > 0)
    return;
  units = find_units (planner, row->worker);
  for (guint i = 0; i < units->len && slots < wanted; i++)
    {
      const struct unit *unit = &g_array_index (units, struct unit, i);

      subtract_unit (&used, row->worker, unit);
      cost += unit->ranking_cost;
      slots = MIN (free_slots (planner, row, &used), wanted);
      if (slots == 0 || (row->offered > 0 && cost / slots >= row->rate))
        continue;
      row->offered = slots;
      row->rate = cost / slots;
    }
}

static void
set_stale (struct planner *planner, const struct worker *worker)
{
  for (guint i = 0; i < planner->rows->len; i++)
    {
      struct row *row = &g_array_index (planner->rows, struct row, i);

      if (row->worker == worker)
        row->stale = true;
    }
}

static void
add_victim (struct planner *planner, const struct unit *unit)
{
  struct step *step = unit->task->step;
  struct job *job = gr_step_job (step);

  planner->plan->cost += unit->cost;
  g_ptr_array_add (planner->plan->victims, unit->task);
  if (job->plan != planner->number)
    planner->plan->jobs++;
  job->plan = planner->number;
  unit->task->plan = planner->number;
  if (!step->spec->gang && !step->spec->lasting)
    return;
  /* A gang is stopped as a whole, and of a lasting step fewer others may be
   * stopped now. */
  for (uint32_t i = 0; i < step->n_tasks; i++)
    if (gr_task_is_active (&step->tasks[i]))
      {
        if (step->spec->gang)
          step->tasks[i].plan = planner->number;
        set_stale (planner, step->tasks[i].worker);
      }
}

/* Keeps of the first n units those without which the offer would not fit. */
static void
add_needed_victims (struct planner *planner,
                    const struct row *row,
                    const GArray *units,
                    guint n)
{
  for (guint left_out = n; left_out-- > 0;)
    {
      struct gr_resources used = expected_used (planner, row->worker);

      /* The more expensive ones that are needed are already part of the plan
       * and of `used`. */
      for (guint i = 0; i < left_out; i++)
        subtract_unit (&used, row->worker,
                       &g_array_index (units, struct unit, i));
      if (free_slots (planner, row, &used) < row->offered)
        add_victim (planner, &g_array_index (units, struct unit, left_out));
    }
}

static void
take_offer (struct planner *planner, struct row *row)
{
  struct gr_resources used = expected_used (planner, row->worker);
  guint n = 0;

  if (free_slots (planner, row, &used) < row->offered)
    {
      GArray *units = find_units (planner, row->worker);

      while (n < units->len && free_slots (planner, row, &used) < row->offered)
        subtract_unit (&used, row->worker,
                       &g_array_index (units, struct unit, n++));
      add_needed_victims (planner, row, units, n);
    }
  planner->plan->ranking_cost += row->rate * row->offered;
  row->taken += row->offered;
  row->stale = true;
}

static struct row *
cheapest_row (struct planner *planner, uint32_t wanted)
{
  struct row *best = NULL;

  for (guint i = 0; i < planner->rows->len; i++)
    {
      struct row *row = &g_array_index (planner->rows, struct row, i);

      if (row->stale)
        update_offer (planner, row, wanted);
      if (row->offered > 0 && (best == NULL || row->rate < best->rate))
        best = row;
    }
  return best;
}

/* An offer for more tasks than are wanted any more is at least as cheap for
 * each as one for fewer, so only the cheapest need be computed again. */
static struct row *
best_row (struct planner *planner, uint32_t wanted)
{
  struct row *best = cheapest_row (planner, wanted);

  while (best != NULL && best->offered > wanted)
    {
      update_offer (planner, best, wanted);
      best = cheapest_row (planner, wanted);
    }
  return best;
}

static void
add_shares (struct planner *planner)
{
  for (guint i = 0; i < planner->rows->len; i++)
    {
      const struct row *row = &g_array_index (planner->rows, struct row, i);
      struct reclaim_share share = { row->worker, row->taken };

      if (share.tasks > 0)
        g_array_append_val (planner->plan->shares, share);
    }
}

static struct reclaim_plan *
make_plan (struct planner *planner, GPtrArray *workers, uint32_t wanted)
{
  struct reclaim_plan *plan = g_new0 (struct reclaim_plan, 1);

  plan->shares = g_array_new (FALSE, FALSE, sizeof (struct reclaim_share));
  plan->victims = g_ptr_array_new ();
  planner->plan = plan;
  planner->number = ++planner->steps->plan;
  planner->units = g_array_new (FALSE, FALSE, sizeof (struct unit));
  planner->rows = g_array_new (FALSE, FALSE, sizeof (struct row));
  for (guint i = 0; i < workers->len; i++)
    {
      struct row row = { .worker = workers->pdata[i], .stale = true };

      if (gr_reclaim_may_use (planner->steps, row.worker, planner->step))
        g_array_append_val (planner->rows, row);
    }
  while (wanted > 0)
    {
      struct row *row = best_row (planner, wanted);

      if (row == NULL)
        break;
      wanted -= row->offered;
      take_offer (planner, row);
    }
  add_shares (planner);
  g_array_unref (planner->units);
  g_array_unref (planner->rows);
  if (wanted == 0)
    return plan;
  gr_reclaim_plan_destroy (plan);
  return NULL;
}

struct reclaim_plan *
gr_reclaim_plan_create (struct gr_steps *steps,
                        struct step *step,
                        GPtrArray *workers,
                        uint32_t wanted,
                        int64_t wait_ms)
{
  struct planner planner = { .steps = steps, .step = step, .wait_ms = wait_ms };
  struct reclaim_plan *whole = make_plan (&planner, workers, wanted);
  struct reclaim_plan *shared;

  if (whole == NULL || !planner.saw_gangs)
    return whole;
  /* A gang on several workers looks expensive on each of them, but can be
   * cheaper than single runs on all of them. */
  planner.share_gangs = true;
  shared = make_plan (&planner, workers, wanted);
  if (shared == NULL || shared->cost >= whole->cost)
    {
      gr_reclaim_plan_destroy (shared);
      return whole;
    }
  gr_reclaim_plan_destroy (whole);
  return shared;
}

void
gr_reclaim_plan_destroy (struct reclaim_plan *plan)
{
  if (plan == NULL)
    return;
  g_array_unref (plan->shares);
  g_ptr_array_unref (plan->victims);
  g_free (plan);
}

bool
gr_reclaim_plan_is_better (const struct reclaim_plan *a,
                           const struct reclaim_plan *b)
{
  double tolerance;

  if (b == NULL)
    return true;
  tolerance = MAX (a->ranking_cost, b->ranking_cost) * EQUAL_COST_SHARE;
  if (ABS (a->ranking_cost - b->ranking_cost) <= tolerance
      && a->jobs != b->jobs)
    return a->jobs < b->jobs;
  return a->ranking_cost < b->ranking_cost;
}
