#include "steps/reclaim.h"

/* Reclaims capacity for an urgent step that does not fit: stops runs of less
 * urgent work with the least loss, and reserves the workers for the step until
 * it starts. */

/* Reclaimed capacity becomes free within the time of a stop (200 ms) and of
 * reading its end; no more is reclaimed for the step until then. */
#define RECLAIM_WAIT_MS 700

/* Pause after no set of workers could free enough capacity. */
#define RECLAIM_RETRY_MS 120

struct candidate
{
  struct worker *worker;
  uint32_t slots;
  double loss; /* core-seconds */
};

static gint
compare_candidates (gconstpointer left, gconstpointer right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;
  double a_loss = a->loss / a->slots;
  double b_loss = b->loss / b->slots;

  return a_loss < b_loss ? -1 : a_loss > b_loss;
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

      if (!gr_reclaim_may_use (steps, candidate.worker, step))
        continue;
      candidate.slots = gr_preempt_tasks (steps, step, candidate.worker, wanted,
                                          false, &candidate.loss);
      if (!gr_worker_has_guaranteed_work (candidate.worker))
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

static void
reclaim_without_budget (struct gr_steps *steps, struct step *step)
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
      wanted -= gr_preempt_tasks (steps, step, candidate->worker,
                                  MIN (wanted, candidate->slots), true, &loss);
    }
  g_array_unref (candidates);
}

void
gr_reclaim_capacity (struct gr_steps *steps, struct step *step)
{
  if (steps->settings.budget != GR_MODE_OFF)
    gr_reclaim_round (steps, step, steps->settings.budget == GR_MODE_ON);
  if (steps->settings.budget != GR_MODE_ON)
    reclaim_without_budget (steps, step);
}
