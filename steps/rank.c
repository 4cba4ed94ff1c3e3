#include "steps/deadline.h"
#include "steps/inventory.h"
#include "steps/place.h"

/* Order in which steps are tried. Guaranteed work goes first, then the
 * priorities. Within a priority, by arrival (objectives off) or by expected
 * completion (on): work that can still be in time, short before long. */

/* A step with its sort keys, the first one first; lower goes first. */
struct ranked_step
{
  struct step *step;
  uint32_t class;  /* of guarantee, priority and lateness */
  uint32_t length; /* class of the expected run time; 0: by arrival */
  int64_t accepted_ms;
};

enum lateness
{
  IN_TIME,
  LATE,
  WORTHLESS, /* beyond GR_LATE_FACTOR times the objective */
  N_LATENESS,
};

/* A step that has waited for this share of the time that it can wait without
 * missing its objective goes before shorter work, in the order of arrival. The
 * other half is left for those before it, which waited as long. */
#define AGED_SHARE 0.5

#define MAX_PRIORITY 100

/* With GR_MODE_OBSERVE, two orders are computed no more often than this, so
 * that passes stay short. */
#define OBSERVE_INTERVAL_MS 200

static uint32_t
rank_class (const struct step *step, enum lateness lateness)
{
  uint32_t priority = MIN (gr_step_job (step)->queue->priority, MAX_PRIORITY);

  if (gr_step_is_guaranteed (step))
    return 0;
  return 1 + priority * N_LATENESS + lateness;
}

/* By the age of the job alone. */
static enum lateness
estimated_lateness (const struct gr_steps *steps, const struct step *step)
{
  const struct job *job = gr_step_job (step);
  int64_t age_ms = steps->now_ms - job->accepted_ms;
  int64_t objective_ms = gr_job_objective_ms (job);

  if (step->spec->lasting || age_ms <= objective_ms)
    return IN_TIME;
  return age_ms > objective_ms * GR_LATE_FACTOR ? WORTHLESS : LATE;
}

static void
rank_by_arrival (struct gr_steps *steps, struct ranked_step *row)
{
  row->class = rank_class (row->step, estimated_lateness (steps, row->step));
  row->accepted_ms = gr_step_job (row->step)->accepted_ms;
}

/* True if the step has waited so long that it keeps the order of arrival. */
static bool
is_aged (const struct gr_steps *steps, struct step *step, int64_t spare_ms)
{
  int64_t waited_ms = steps->now_ms - step->ready_ms;
  int64_t longest_ms =
      gr_job_objective_ms (gr_step_job (step)) * GR_LATE_FACTOR;

  /* A forecast that is far too long must not defer the age limit. */
  spare_ms = MIN (spare_ms, longest_ms);
  return (double)waited_ms >= (double)(waited_ms + spare_ms) * AGED_SHARE;
}

/* Run times of the tasks of one step differ by a factor of up to 2, so shorter
 * runs go first by powers of two; steps that differ less keep the order of
 * arrival. */
static uint32_t
length_class (int64_t run_ms)
{
  return g_bit_storage ((gulong)run_ms);
}

static void
rank_by_completion (struct gr_steps *steps, struct ranked_step *row)
{
  struct step *step = row->step;
  int64_t run_ms = gr_deadline (steps, step)->run_ms;
  int64_t spare_ms = gr_deadline_left_ms (steps, step, 1) - run_ms;
  enum lateness lateness = IN_TIME;

  row->accepted_ms = gr_step_job (step)->accepted_ms;
  if (spare_ms < 0 && !step->spec->lasting)
    {
      spare_ms = gr_deadline_left_ms (steps, step, GR_LATE_FACTOR) - run_ms;
      lateness = spare_ms < 0 ? WORTHLESS : LATE;
    }
  row->class = rank_class (step, lateness);
  if (!step->spec->lasting && !gr_step_is_guaranteed (step)
      && lateness != WORTHLESS && !is_aged (steps, step, spare_ms))
    row->length = length_class (run_ms);
}

static gint
compare_ranked (gconstpointer left, gconstpointer right)
{
  const struct ranked_step *a = left;
  const struct ranked_step *b = right;

  if (a->class != b->class)
    return a->class < b->class ? -1 : 1;
  if (a->length != b->length)
    return a->length < b->length ? -1 : 1;
  if (a->accepted_ms != b->accepted_ms)
    return a->accepted_ms < b->accepted_ms ? -1 : 1;
  return 0;
}

static void
add_ranked (struct gr_steps *steps,
            struct job *job,
            void (*rank) (struct gr_steps *steps, struct ranked_step *row),
            GArray *ranked)
{
  /* A job that this owner learned of beyond its lease may have been accepted
   * after the election of a successor, which starts it at once. */
  if (gr_job_is_final (job) || !gr_tenure_includes (steps, job->added_ms)
      || job->failed_task != NULL)
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

          if (step->ready_ms == 0 || step->n_waiting == 0
              || (job->inherited && gr_inventory_holds_step (steps, step)))
            continue;
          rank (steps, &row);
          g_array_append_val (ranked, row);
        }
    }
}

static GPtrArray *
rank_steps (struct gr_steps *steps,
            void (*rank) (struct gr_steps *steps, struct ranked_step *row))
{
  g_autoptr (GArray) ranked =
      g_array_new (FALSE, FALSE, sizeof (struct ranked_step));
  GPtrArray *rows;

  for (guint i = 0; i < steps->job_rows->len; i++)
    add_ranked (steps, steps->job_rows->pdata[i], rank, ranked);
  g_array_sort (ranked, compare_ranked);
  rows = g_ptr_array_sized_new (ranked->len);
  for (guint i = 0; i < ranked->len; i++)
    g_ptr_array_add (rows, g_array_index (ranked, struct ranked_step, i).step);
  return rows;
}

static bool
is_same_order (const GPtrArray *a, const GPtrArray *b)
{
  for (guint i = 0; i < a->len; i++)
    if (a->pdata[i] != b->pdata[i])
      return false;
  return true;
}

GPtrArray *
gr_rank_steps (struct gr_steps *steps)
{
  GPtrArray *rows;

  if (steps->settings.objectives == GR_MODE_ON)
    return rank_steps (steps, rank_by_completion);
  rows = rank_steps (steps, rank_by_arrival);
  if (steps->settings.objectives == GR_MODE_OBSERVE
      && steps->now_ms - steps->order_observed_ms >= OBSERVE_INTERVAL_MS)
    {
      g_autoptr (GPtrArray) other = rank_steps (steps, rank_by_completion);

      steps->order_observed_ms = steps->now_ms;
      if (!is_same_order (rows, other))
        steps->placement.orders_changed++;
    }
  return rows;
}
