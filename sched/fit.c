#include "sched/cells.h"

#include "sched/learn.h"

#include <string.h>

/* A long job may be preempted for a shorter one of the same priority only
 * after it has run for this time, so that two jobs do not preempt each other in
 * turn. */
#define MIN_QUANTUM_MS 600000
#define MIN_WAIT_MS 30000
/* Each accelerator of a preempted job is idle for about a minute until the
 * job is placed again and has loaded its data. Without this cost a
 * checkpointable gang of a thousand tasks would be preempted to free one
 * accelerator. */
#define RESTART_S 60

/* Accelerators that a task of the job takes on a worker of the type,
 * including its share of cores and memory; 0 if it does not fit. */
static uint32_t
job_need (const struct gr_worker_type *type, const struct gr_job_spec *spec)
{
  uint64_t need = spec->shape.accelerators_per_worker;

  if (type->accelerators == 0)
    return 0;
  if (spec->cores_per_task > 0)
    {
      if (type->cores == 0)
        return 0;
      need = MAX (need, ((uint64_t)spec->cores_per_task * type->accelerators
                         + type->cores - 1)
                            / type->cores);
    }
  if (spec->memory_mb_per_task > 0)
    {
      if (type->memory_mb == 0)
        return 0;
      need = MAX (need, ((uint64_t)spec->memory_mb_per_task * type->accelerators
                         + type->memory_mb - 1)
                            / type->memory_mb);
    }
  return need <= type->accelerators ? (uint32_t)need : 0;
}

void
gr_search_init_for_job (const struct gr_core *core,
                        const struct gr_core_job *job,
                        struct gr_search *search)
{
  memset (search, 0, sizeof *search);
  search->shape = job->record.spec.shape;
  search->job = job;
  search->first_fit = core->config.policy == GR_POLICY_FIFO;
  for (uint32_t i = 0; i < core->n_types; i++)
    search->need[i] = job_need (&core->types[i], &job->record.spec);
}

void
gr_search_init_for_slot (const struct gr_core *core,
                         const struct gr_guarantee_slot *slot,
                         struct gr_search *search)
{
  memset (search, 0, sizeof *search);
  search->shape = slot->shape;
  search->guarantee_slot = slot;
  for (uint32_t i = 0; i < core->n_types; i++)
    if (slot->shape.accelerators_per_worker <= core->types[i].accelerators)
      search->need[i] = slot->shape.accelerators_per_worker;
}

int64_t
gr_preemption_cost (const struct gr_core *core, const struct gr_core_job *job)
{
  int64_t lost_s = RESTART_S;

  /* A checkpoint preserves the progress of the job. */
  if (!job->record.spec.checkpointable)
    lost_s += gr_attained_run_ms (core, job) / 1000;
  return lost_s * MAX (job->held, 1);
}

bool
gr_may_preempt (const struct gr_core *core,
                const struct gr_core_job *victim,
                const struct gr_core_job *job)
{
  const struct gr_job_spec *victim_spec = &victim->record.spec;
  const struct gr_job_spec *spec = &job->record.spec;

  if (victim->pinned || victim->phase == GR_PHASE_ADOPTING)
    return false;
  if (spec->priority == GR_PRIORITY_URGENT
      && victim_spec->priority > spec->priority)
    return true;
  return victim_spec->checkpointable && victim_spec->priority >= spec->priority
         && victim->phase == GR_PHASE_RUNNING
         && gr_run_time_class (gr_attained_run_ms (core, victim)) > job->class
         && core->now_ms - victim->running_since_ms >= MIN_QUANTUM_MS
         && core->now_ms - job->waiting_since_ms >= MIN_WAIT_MS;
}

uint32_t
gr_min_accelerators_per_task (const struct gr_core *core,
                              const struct gr_job_spec *spec)
{
  uint32_t least = 0;

  for (uint32_t i = 0; i < core->n_types; i++)
    {
      uint32_t need = job_need (&core->types[i], spec);

      if (need != 0 && (least == 0 || need < least))
        least = need;
    }
  return least;
}

bool
gr_job_fits_slot (const struct gr_core *core,
                  const struct gr_job_spec *spec,
                  const struct gr_guarantee_slot *slot)
{
  return spec->shape.workers <= slot->shape.workers
         && spec->shape.accelerators_per_worker
                <= slot->shape.accelerators_per_worker
         && gr_min_accelerators_per_task (core, spec)
                <= slot->shape.accelerators_per_worker;
}

/* The place of a worker in a rack. */
struct place
{
  uint32_t rack_slot;
  bool fits; /* a task of the job fits there */
};

static int
compare_places (const void *a, const void *b)
{
  const struct place *left = a;
  const struct place *right = b;

  if (left->rack_slot != right->rack_slot)
    return left->rack_slot < right->rack_slot ? -1 : 1;
  return 0;
}

static bool
is_taken (const struct gr_core_rack *rack, uint32_t rack_slot)
{
  for (uint32_t i = 0; i < rack->workers->len; i++)
    {
      const struct gr_core_worker *worker =
          g_ptr_array_index (rack->workers, i);

      if (worker->rack_slot == rack_slot)
        return true;
    }
  return false;
}

/* Fills places with those of the rack, also of absent workers, in the order of
 * their slots. */
static void
list_places (const struct gr_core *core,
             const struct gr_core_rack *rack,
             const uint32_t *need,
             GArray *places)
{
  g_array_set_size (places, 0);
  for (uint32_t i = 0; i < rack->workers->len; i++)
    {
      const struct gr_core_worker *worker =
          g_ptr_array_index (rack->workers, i);
      struct place place = { worker->rack_slot, need[worker->type] != 0 };

      g_array_append_val (places, place);
    }
  for (guint i = 0; i < rack->absent->len; i++)
    {
      const struct gr_absent_worker *absent =
          &g_array_index (rack->absent, struct gr_absent_worker, i);
      struct place place = { absent->rack_slot, need[absent->type] != 0 };

      if (core->now_ms - absent->removed_ms < GR_ABSENT_MS
          && !is_taken (rack, absent->rack_slot))
        g_array_append_val (places, place);
    }
  if (places->len > rack->workers->len)
    g_array_sort (places, compare_places);
}

/* Length of the longest run of adjacent places that fit; n_fitting gets the
 * number of all that fit. */
static uint32_t
longest_run (const GArray *places, uint32_t *n_fitting)
{
  uint32_t longest = 0;
  uint32_t run = 0;

  *n_fitting = 0;
  for (guint i = 0; i < places->len; i++)
    {
      const struct place *place = &g_array_index (places, struct place, i);

      if (i > 0 && place->rack_slot != place[-1].rack_slot + 1)
        run = 0;
      run = place->fits ? run + 1 : 0;
      if (place->fits)
        (*n_fitting)++;
      longest = MAX (longest, run);
    }
  return longest;
}

/* True if tasks of the job fit on n_workers adjacent workers. */
static bool
fits_adjacent (const struct gr_core *core,
               const struct gr_job_spec *spec,
               uint32_t n_workers)
{
  g_autoptr (GArray) places = g_array_new (FALSE, FALSE, sizeof (struct place));
  uint32_t need[GR_MAX_WORKER_TYPES] = { 0 };
  uint32_t run_of_racks = 0;
  bool found = n_workers == 0;

  for (uint32_t i = 0; i < core->n_types; i++)
    need[i] = job_need (&core->types[i], spec);
  for (uint32_t r = 0; r < core->rack_list->len && !found; r++)
    {
      uint32_t n_fitting;

      list_places (core, g_ptr_array_index (core->rack_list, r), need, places);
      found = longest_run (places, &n_fitting) >= n_workers;
      run_of_racks = n_fitting > 0 ? run_of_racks + n_fitting : 0;
      if (spec->shape.workers > core->max_rack_workers)
        found = found || run_of_racks >= n_workers;
    }
  return found;
}

/* Listed workers that have not reported may be of any type and in any place. */
bool
gr_shape_fits (const struct gr_core *core, const struct gr_job_spec *spec)
{
  uint32_t unknown =
      core->now_ms - core->first_ms < GR_ABSENT_MS ? core->n_unreported : 0;
  uint32_t n_workers = spec->shape.workers - MIN (unknown, spec->shape.workers);

  return core->n_types == 0 || fits_adjacent (core, spec, n_workers);
}
