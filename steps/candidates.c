#include "steps/candidates.h"

#include "steps/place.h"
#include "steps/planned.h"

#include <string.h>

GArray *
gr_candidates_find (struct gr_steps *steps,
                    struct step *step,
                    GPtrArray *workers)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct candidate));

  for (guint i = 0; i < workers->len; i++)
    {
      struct worker *worker = workers->pdata[i];
      struct gr_resources available;
      struct candidate candidate = { .worker = worker };

      if (!gr_worker_allowed (steps, worker, step)
          || (worker->planned_for != NULL
              && gr_worker_is_planned (steps, worker, step)))
        continue;
      available = gr_worker_free_resources (worker, step);
      candidate.slots = gr_step_slots_in (step, worker, &available);
      candidate.free_accelerators = available.accelerators;
      if (candidate.slots > 0)
        g_array_append_val (found, candidate);
    }
  return found;
}

uint32_t
gr_candidates_slots (const GArray *candidates)
{
  uint64_t slots = 0;

  for (guint i = 0; i < candidates->len; i++)
    slots += g_array_index (candidates, struct candidate, i).slots;
  return (uint32_t)MIN (slots, UINT32_MAX);
}

static gint
compare_fit (gconstpointer left, gconstpointer right)
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

void
gr_candidates_sort_by_fit (GArray *candidates)
{
  g_array_sort (candidates, compare_fit);
}

static gint
compare_slowest_first (gconstpointer left, gconstpointer right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;

  if (a->worker->speed != b->worker->speed)
    return a->worker->speed > b->worker->speed ? -1 : 1;
  return compare_fit (left, right);
}

/* The slowness below which candidates with n_tasks slots remain. The candidates
 * are sorted with the slowest first. */
static double
slowness_needed (const GArray *candidates, uint32_t n_tasks)
{
  uint64_t slots = 0;

  for (guint i = candidates->len; i-- > 0;)
    {
      const struct candidate *row =
          &g_array_index (candidates, struct candidate, i);

      slots += row->slots;
      if (slots >= n_tasks)
        return row->worker->class_slowness;
    }
  g_assert_not_reached ();
}

struct gang_choice
gr_candidates_choose (GArray *candidates, uint32_t n_tasks, double max_slowness)
{
  struct gang_choice choice = { 0 };
  guint first = 0;
  guint end;
  double bound;

  g_array_sort (candidates, compare_slowest_first);
  bound = MAX (slowness_needed (candidates, n_tasks), max_slowness);
  while (
      g_array_index (candidates, struct candidate, first).worker->class_slowness
      > bound)
    first++;
  g_array_remove_range (candidates, 0, first);
  choice.slowness =
      g_array_index (candidates, struct candidate, 0).worker->class_slowness;
  for (end = 0; n_tasks > 0; end++)
    {
      const struct candidate *row =
          &g_array_index (candidates, struct candidate, end);
      uint32_t used = MIN (row->slots, n_tasks);

      choice.cost += used * (uint64_t)(1000 / row->worker->class_slowness);
      n_tasks -= used;
    }
  g_array_set_size (candidates, end);
  return choice;
}
