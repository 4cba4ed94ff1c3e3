#include "steps/place.h"

#include <string.h>

/* Choice of workers for gangs: on one rack if the gang asks for it. */

struct candidate
{
  struct worker *worker;
  uint32_t slots;
  uint32_t free_accelerators; /* on the worker; the fewer, the better the fit */
};

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
        gr_place_task_on (steps, &step->tasks[next++], candidate->worker,
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

bool
gr_place_gang (struct gr_steps *steps, struct step *step)
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
