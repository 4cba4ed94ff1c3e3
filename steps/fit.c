#include "steps/place.h"

/* What fits where: free resources of workers, the tasks of a step that they can
 * take, and whether a gang may be spread over racks. */

/* Share of reclaim_ms after which an urgent gang that fits on no single rack is
 * spread over several. It runs slowly there, but starts in time. */
#define SPREAD_AFTER_SHARE 0.45

#define RACK_FIT_CACHE_MS 1000

/* While most accelerators are free, a gang waits this long for a whole rack:
 * the platform requires that ready work does not wait for 3 s in this case. */
#define WHOLE_RACK_WAIT_MS 2000

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

/* Guaranteed work may use capacity that was reserved for other urgent work. */
bool
gr_worker_is_reserved (const struct worker *worker, const struct step *step)
{
  return worker->reserved_for != NULL && worker->reserved_for != step
         && (gr_step_is_guaranteed (worker->reserved_for)
             || !gr_step_is_guaranteed (step));
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

bool
gr_rack_is_known_full (const struct gr_steps *steps,
                       const struct rack *rack,
                       const struct step *step,
                       uint32_t n_tasks)
{
  return steps->settings.objectives == GR_MODE_ON
         && (uint64_t)step->spec->needs.accelerators * n_tasks
                > rack->free_accelerators;
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
  if (worker->on_probation)
    slots = MIN (slots, worker->tasks->len == 0 ? 1 : 0);
  if (spec->max_per_worker == 0 || slots == 0)
    return slots;
  present = tasks_of_step_on (step, worker);
  if (present >= spec->max_per_worker)
    return 0;
  return MIN (slots, spec->max_per_worker - present);
}

bool
gr_step_has_room (const struct gr_steps *steps, const struct step *step)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];
      struct gr_resources available;

      if (!gr_worker_usable (steps, worker)
          || !g_str_equal (worker->service, gr_step_job (step)->queue->service)
          || !label_matches (worker, step))
        continue;
      available = gr_worker_free_resources (worker, step);
      if (gr_step_slots_in (step, worker, &available) > 0)
        return true;
    }
  return false;
}

/* True if an otherwise empty rack could take the whole gang. Computed at most
 * once a second, as racks change rarely. */
static bool
fits_some_rack (struct gr_steps *steps, struct step *step)
{
  GPtrArray *racks = gr_racks (steps);

  if (step->rack_fit_checked_ms > steps->evacuation_changed_ms
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

          if (worker->registered && !worker->evacuated
              && label_matches (worker, step))
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
