#include "steps/tables.h"

#include "common/log.h"

#include <string.h>

/* Choice of workers. Designed for gangs on 1 to 8 workers mixed with many small
 * tasks. Steps are tried in order of urgency; each is placed on the workers
 * where it wastes the least capacity, and a gang on one rack if it asks for
 * it. */

/* Share of reclaim_ms after which an urgent gang that fits on no single rack is
 * spread over several. It runs slowly there, but starts in time. */
#define SPREAD_AFTER_SHARE 0.45

#define RACK_FIT_CACHE_MS 1000

/* While most accelerators are free, a gang waits this long for a whole rack:
 * the platform requires that ready work does not wait for 3 s in this case. */
#define WHOLE_RACK_WAIT_MS 2000
#define MOSTLY_FREE_SHARE 0.5

struct candidate
{
  struct worker *worker;
  uint32_t slots;
  uint32_t free_accelerators; /* on the worker; the fewer, the better the fit */
};

/* A step with its sort keys, in the order in which steps are tried. */
struct ranked_step
{
  struct step *step;
  uint32_t class;      /* lower first */
  int64_t accepted_ms; /* lower first */
};

bool
gr_account_within_guarantee (const struct account *account)
{
  return account->urgent_demand <= account->guaranteed;
}

static bool
label_matches (const struct worker *worker, const struct step *step)
{
  return step->spec->label == NULL
         || gr_worker_has_label (worker, step->spec->label);
}

bool
gr_worker_allowed (const struct gr_steps *steps,
                   const struct worker *worker,
                   const struct step *step)
{
  return gr_worker_usable (steps, worker)
         && g_str_equal (worker->service, gr_step_job (step)->queue->service)
         && label_matches (worker, step)
         && !gr_crash_keeps_apart (steps, step, worker)
         && gr_advice_allows (steps, step, worker);
}

static bool
is_guaranteed (const struct step *step)
{
  const struct job *job = gr_step_job (step);

  return job->queue->priority == 0
         && gr_account_within_guarantee (job->account);
}

/* Guaranteed work may use capacity that was reserved for other urgent work. */
bool
gr_worker_is_reserved (const struct worker *worker, const struct step *step)
{
  return worker->reserved_for != NULL && worker->reserved_for != step
         && (is_guaranteed (worker->reserved_for) || !is_guaranteed (step));
}

static uint32_t
remaining (uint32_t capacity, uint32_t used)
{
  return capacity > used ? capacity - used : 0;
}

struct gr_resources
gr_worker_free_resources (const struct worker *worker, const struct step *step)
{
  struct gr_resources used = worker->used;

  if (gr_worker_is_reserved (worker, step))
    {
      if (worker->reserved.memory_mb == 0 && worker->reserved.cpu_milli == 0
          && worker->reserved.accelerators == 0)
        return (struct gr_resources){ 0 };
      used.cpu_milli += worker->reserved.cpu_milli;
      used.memory_mb += worker->reserved.memory_mb;
      used.accelerators += worker->reserved.accelerators;
    }
  return (struct gr_resources){
    .cpu_milli = remaining (worker->capacity.cpu_milli, used.cpu_milli),
    .memory_mb = remaining (worker->capacity.memory_mb, used.memory_mb),
    .accelerators =
        remaining (worker->capacity.accelerators, used.accelerators),
  };
}

static uint32_t
tasks_of_step_on (const struct step *step, const struct worker *worker)
{
  uint32_t n = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (task->step == step)
        n++;
    }
  return n;
}

uint32_t
gr_step_slots_in (const struct step *step,
                  const struct worker *worker,
                  const struct gr_resources *available)
{
  const struct gr_step_spec *spec = step->spec;
  uint32_t slots = step->n_tasks;
  uint32_t present;

  if (spec->needs.cpu_milli > 0 && !spec->filler)
    slots = MIN (slots, available->cpu_milli / spec->needs.cpu_milli);
  if (spec->needs.memory_mb > 0)
    slots = MIN (slots, available->memory_mb / spec->needs.memory_mb);
  if (spec->needs.accelerators > 0)
    slots = MIN (slots, available->accelerators / spec->needs.accelerators);
  if (spec->max_per_worker == 0 || slots == 0)
    return slots;
  present = tasks_of_step_on (step, worker);
  if (present >= spec->max_per_worker)
    return 0;
  return MIN (slots, spec->max_per_worker - present);
}

/* The given workers that have capacity for at least one task of the step. */
static GArray *
find_candidates (struct gr_steps *steps, struct step *step, GPtrArray *workers)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct candidate));

  for (guint i = 0; i < workers->len; i++)
    {
      struct worker *worker = workers->pdata[i];
      struct gr_resources available;
      struct candidate candidate = { .worker = worker };

      if (!gr_worker_allowed (steps, worker, step))
        continue;
      available = gr_worker_free_resources (worker, step);
      candidate.slots = gr_step_slots_in (step, worker, &available);
      candidate.free_accelerators = available.accelerators;
      if (candidate.slots > 0)
        g_array_append_val (found, candidate);
    }
  return found;
}

/* Racks and then workers with the least free capacity first, so that whole
 * racks and workers stay free for gangs and large tasks. */
static gint
compare_candidates (gconstpointer left, gconstpointer right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;
  const struct rack *a_rack = a->worker->rack_row;
  const struct rack *b_rack = b->worker->rack_row;

  if (a_rack != b_rack
      && a_rack->free_accelerators != b_rack->free_accelerators)
    return a_rack->free_accelerators < b_rack->free_accelerators ? -1 : 1;
  if (a->free_accelerators != b->free_accelerators)
    return a->free_accelerators < b->free_accelerators ? -1 : 1;
  return strcmp (a->worker->id, b->worker->id);
}

static uint32_t
total_slots (const GArray *candidates)
{
  uint64_t slots = 0;

  for (guint i = 0; i < candidates->len; i++)
    slots += g_array_index (candidates, struct candidate, i).slots;
  return (uint32_t)MIN (slots, UINT32_MAX);
}

static void
start_task (struct gr_steps *steps,
            struct task *task,
            struct worker *worker,
            uint32_t run)
{
  char name[GR_TASK_NAME_SIZE];
  char text[16];

  gr_task_assign (task, worker);
  task->run = run;
  gr_order_start (steps, task);
  gr_task_name (task, name);
  g_snprintf (text, sizeof text, "%u", run);
  gr_log_event ("run-placed", "task", name, "run", text, "worker", worker->id,
                NULL);
}

static void
start_gang_on (struct gr_steps *steps, struct step *step, GArray *candidates)
{
  uint32_t highest = step->gang_run;
  uint32_t next = 0;

  g_array_sort (candidates, compare_candidates);
  for (uint32_t i = 0; i < step->n_tasks; i++)
    highest = MAX (highest, step->tasks[i].run);
  step->gang_run = gr_next_run (steps, highest);
  for (guint i = 0; i < candidates->len && next < step->n_tasks; i++)
    {
      const struct candidate *candidate =
          &g_array_index (candidates, struct candidate, i);

      for (uint32_t k = 0; k < candidate->slots && next < step->n_tasks; k++)
        start_task (steps, &step->tasks[next++], candidate->worker,
                    step->gang_run);
    }
  g_assert (next == step->n_tasks);
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->reserved_for == step)
        worker->reserved_for = NULL;
    }
}

/* Of the racks that can take the whole gang, the one with the least free
 * capacity; the rack with the data goes first. NULL if there is none. */
static GArray *
best_rack (struct gr_steps *steps, struct step *step)
{
  GPtrArray *racks = gr_racks (steps);
  GArray *best = NULL;
  uint64_t least_rack_free = UINT64_MAX;

  for (guint i = 0; i < racks->len; i++)
    {
      struct rack *rack = racks->pdata[i];
      GArray *candidates = find_candidates (steps, step, rack->workers);
      uint64_t rack_free = 0;

      for (guint k = 0; k < candidates->len; k++)
        rack_free +=
            g_array_index (candidates, struct candidate, k).free_accelerators;
      if (step->spec->data_rack != NULL
          && g_str_equal (rack->name, step->spec->data_rack))
        rack_free = 0;
      if (total_slots (candidates) < step->n_tasks
          || rack_free >= least_rack_free)
        {
          g_array_unref (candidates);
          continue;
        }
      if (best != NULL)
        g_array_unref (best);
      best = candidates;
      least_rack_free = rack_free;
    }
  return best;
}

/* True if an otherwise empty rack could take the whole gang. Computed at most
 * once a second, as racks change rarely. */
static bool
fits_some_rack (struct gr_steps *steps, struct step *step)
{
  GPtrArray *racks = gr_racks (steps);

  if (step->rack_fit_checked_ms != 0
      && steps->now_ms - step->rack_fit_checked_ms < RACK_FIT_CACHE_MS)
    return step->fits_rack;
  step->rack_fit_checked_ms = steps->now_ms;
  step->fits_rack = false;
  for (guint i = 0; i < racks->len && !step->fits_rack; i++)
    {
      const struct rack *rack = racks->pdata[i];
      uint32_t slots = 0;

      for (guint k = 0; k < rack->workers->len; k++)
        {
          const struct worker *worker = rack->workers->pdata[k];

          if (worker->registered && label_matches (worker, step))
            slots += gr_step_slots_in (step, worker, &worker->capacity);
        }
      step->fits_rack = slots >= step->n_tasks;
    }
  return step->fits_rack;
}

bool
gr_step_may_spread (struct gr_steps *steps, struct step *step)
{
  if (!step->spec->one_rack)
    return step->spec->gang;
  if (step->spec->gang && !fits_some_rack (steps, step))
    return true;
  if (steps->mostly_free
      && steps->now_ms - step->ready_ms >= WHOLE_RACK_WAIT_MS)
    return true;
  return gr_step_job (step)->queue->priority == 0
         && steps->now_ms - step->ready_ms
                >= (int64_t)(steps->settings.reclaim_ms * SPREAD_AFTER_SHARE);
}

static bool
place_gang (struct gr_steps *steps, struct step *step)
{
  GArray *candidates;
  bool fits;

  if (step->n_waiting < step->n_tasks)
    return true;
  candidates = best_rack (steps, step);
  if (candidates == NULL && gr_step_may_spread (steps, step))
    candidates = find_candidates (steps, step, steps->worker_rows);
  if (candidates == NULL)
    return false;
  fits = total_slots (candidates) >= step->n_tasks;
  if (fits)
    start_gang_on (steps, step, candidates);
  g_array_unref (candidates);
  return fits;
}

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

/* Urgent starts are sent before others, so a backlog does not hold them
 * back. */
static bool
may_queue_start (const struct gr_steps *steps, const struct step *step)
{
  return gr_step_job (step)->queue->priority == 0
         || !gr_orders_backlogged (steps);
}

/* Returns false if no worker has capacity for one of the tasks. */
static bool
place_tasks (struct gr_steps *steps, struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks && step->n_waiting > 0; i++)
    {
      struct task *task = &step->tasks[i];
      struct worker *worker;

      if (task->state != TASK_WAITING)
        continue;
      if (!may_queue_start (steps, step))
        return true;
      worker = best_worker (steps, task);
      if (worker == NULL)
        return false;
      start_task (steps, task, worker, gr_next_run (steps, task->run));
    }
  return true;
}

/* A step whose job is late ranks after those that can still be on time. Beyond
 * this multiple of its objective a job has no value left and ranks last in its
 * priority. */
#define MAX_LATE_FACTOR 3

static uint32_t
rank_class (const struct gr_steps *steps, const struct step *step)
{
  const struct job *job = gr_step_job (step);
  int64_t age_ms = steps->now_ms - job->accepted_ms;
  int64_t objective_ms = gr_job_objective_ms (job);
  uint32_t late = 0;

  if (job->queue->priority == 0 && gr_account_within_guarantee (job->account))
    return 0;
  if (step->spec->lasting)
    late = 0;
  else if (age_ms > objective_ms * MAX_LATE_FACTOR)
    late = 2;
  else if (age_ms > objective_ms)
    late = 1;
  return 1 + MIN (job->queue->priority, 100) * 3 + late;
}

static gint
compare_ranked (gconstpointer left, gconstpointer right)
{
  const struct ranked_step *a = left;
  const struct ranked_step *b = right;

  if (a->class != b->class)
    return a->class < b->class ? -1 : 1;
  if (a->accepted_ms != b->accepted_ms)
    return a->accepted_ms < b->accepted_ms ? -1 : 1;
  return 0;
}

static void
add_ranked (struct gr_steps *steps, struct job *job, GArray *ranked)
{
  if (gr_job_is_final (job) || (job->inherited && !steps->all_runs_known))
    return;
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct occurrence *occurrence = job->occurrences->pdata[i];

      if (occurrence == NULL || occurrence->complete)
        continue;
      for (uint32_t s = 0; s < job->spec->n_steps; s++)
        {
          struct step *step = &occurrence->steps[s];
          struct ranked_step row = { .step = step };

          if (step->ready_ms == 0 || step->n_waiting == 0)
            continue;
          row.class = rank_class (steps, step);
          row.accepted_ms = job->accepted_ms;
          g_array_append_val (ranked, row);
        }
    }
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
          if (worker->registered)
            capacity += worker->capacity.accelerators;
        }
      available += rack->free_accelerators;
    }
  steps->mostly_free =
      (double)available >= (double)capacity * MOSTLY_FREE_SHARE;
}

/* Computes the accelerators that each account's urgent work needs; they decide
 * whether it is within its guarantee. */
static void
update_urgent_demand (struct gr_steps *steps)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, steps->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct account *)value)->urgent_demand = 0;
  for (guint i = 0; i < steps->job_rows->len; i++)
    {
      struct job *job = steps->job_rows->pdata[i];
      uint32_t demand = 0;

      if (gr_job_is_final (job) || job->queue->priority != 0)
        continue;
      for (uint32_t s = 0; s < job->spec->n_steps; s++)
        demand +=
            job->spec->steps[s].count * job->spec->steps[s].needs.accelerators;
      job->account->urgent_demand += demand;
    }
}

/* True if the step needs at least as much, on the same workers, as one that
 * already failed in this pass. It need not be tried, as free capacity only
 * shrinks within a pass. Keeps a pass short with hundreds of waiting gangs. */
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
  if (step->reclaim_started_ms != 0 || gr_step_may_spread (steps, step))
    return false;
  for (guint i = 0; i < failed->len; i++)
    if (needs_at_least (step, failed->pdata[i]))
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

void
gr_place_tick (struct gr_steps *steps)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (struct ranked_step));
  g_autoptr (GPtrArray) failed = g_ptr_array_new ();

  update_urgent_demand (steps);
  update_free_accelerators (steps);
  for (guint i = 0; i < steps->job_rows->len; i++)
    add_ranked (steps, steps->job_rows->pdata[i], ranked);
  g_array_sort (ranked, compare_ranked);
  for (guint i = 0; i < ranked->len; i++)
    {
      struct step *step = g_array_index (ranked, struct ranked_step, i).step;
      bool placed;

      if (abort_incomplete_gang (steps, step) || !may_queue_start (steps, step))
        continue;
      if (is_known_not_to_fit (steps, step, failed))
        {
          /* Capacity is reclaimed for guaranteed work whatever other steps are
           * waiting. */
          if (is_guaranteed (step))
            gr_reclaim_capacity (steps, step);
          continue;
        }
      placed = step->spec->gang ? place_gang (steps, step)
                                : place_tasks (steps, step);
      if (placed)
        continue;
      if (!gr_step_may_spread (steps, step))
        g_ptr_array_add (failed, step);
      gr_advice_request_if_needed (steps, step);
      if (gr_step_job (step)->queue->priority == 0)
        gr_reclaim_capacity (steps, step);
    }
  g_array_unref (ranked);
}
