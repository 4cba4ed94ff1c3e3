#include "steps/place.h"

/* Order in which steps are tried. */

/* A step with its sort keys. */
struct ranked_step
{
  struct step *step;
  uint32_t class;      /* lower first */
  int64_t accepted_ms; /* lower first */
};

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

GPtrArray *
gr_rank_steps (struct gr_steps *steps)
{
  g_autoptr (GArray) ranked =
      g_array_new (FALSE, FALSE, sizeof (struct ranked_step));
  GPtrArray *rows;

  for (guint i = 0; i < steps->job_rows->len; i++)
    add_ranked (steps, steps->job_rows->pdata[i], ranked);
  g_array_sort (ranked, compare_ranked);
  rows = g_ptr_array_sized_new (ranked->len);
  for (guint i = 0; i < ranked->len; i++)
    g_ptr_array_add (rows, g_array_index (ranked, struct ranked_step, i).step);
  return rows;
}
