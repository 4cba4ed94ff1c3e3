#include "steps/tables.h"

#include "common/log.h"

#include <string.h>

/* Room for an urgent step that does not fit: runs of less urgent work are
 * stopped, those that lose least, and the workers are set aside for the step
 * until it starts. */

/* Room that was asked for arrives within the time of a stop (200 ms) and of
 * reading its end; no more is asked for before. */
#define ROOM_WAIT_MS 700

/* After no worker could make room. */
#define NO_OFFER_PAUSE_MS 120

/* One accelerator counts as so many cores (the platform's price of work that
 * is thrown away). */
#define CORES_PER_ACCELERATOR 8

struct offer
{
  struct worker *worker;
  uint32_t slots;
  double loss; /* core-seconds */
};

/* The step may stop work of the other. */
static bool
may_stop (const struct step *step, const struct step *other)
{
  const struct job *job = gr_step_job (step);
  const struct job *victim = gr_step_job (other);

  if (victim->queue->priority > 0)
    return true;
  /* Urgent work gives way only to work that is guaranteed. */
  return victim->account != job->account
         && gr_account_within_guarantee (job->account)
         && !gr_account_within_guarantee (victim->account);
}

/* What a stop throws away of one task. A stop itself makes a checkpoint. */
static double
task_loss (const struct gr_steps *steps, const struct task *task)
{
  const struct gr_step_spec *spec = task->step->spec;
  double cores = spec->needs.cpu_milli / 1000.0
                 + spec->needs.accelerators * CORES_PER_ACCELERATOR;
  int64_t run_ms = steps->now_ms - task->placed_ms;

  if (spec->checkpointing)
    run_ms = MIN (run_ms, (int64_t)steps->settings.checkpoint_ms);
  return cores * (double)run_ms / 1000.0;
}

static double
stop_loss (const struct gr_steps *steps, const struct task *task)
{
  const struct step *step = task->step;
  double loss = 0;

  if (!step->spec->gang)
    return task_loss (steps, task);
  for (uint32_t i = 0; i < step->n_tasks; i++)
    if (gr_task_is_active (&step->tasks[i]))
      loss += task_loss (steps, &step->tasks[i]);
  return loss;
}

static bool
is_victim (const struct step *step, const struct task *task)
{
  return (task->state == TASK_RUNNING || task->state == TASK_STARTING)
         && may_stop (step, task->step) && gr_task_may_be_stopped (task);
}

static void
add_room (struct gr_resources *room, const struct gr_step_spec *spec)
{
  if (!spec->filler)
    room->cpu_milli += spec->needs.cpu_milli;
  room->memory_mb += spec->needs.memory_mb;
  room->accelerators += spec->needs.accelerators;
}

struct victim
{
  struct task *task;
  double loss;
};

static gint
compare_victims (gconstpointer left, gconstpointer right)
{
  const struct victim *a = left;
  const struct victim *b = right;

  return a->loss < b->loss ? -1 : a->loss > b->loss;
}

static GArray *
find_victims (const struct gr_steps *steps,
              const struct step *step,
              const struct worker *worker)
{
  GArray *victims = g_array_new (FALSE, FALSE, sizeof (struct victim));

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct victim row = { .task = worker->tasks->pdata[i] };

      if (!is_victim (step, row.task))
        continue;
      row.loss = stop_loss (steps, row.task);
      g_array_append_val (victims, row);
    }
  g_array_sort (victims, compare_victims);
  return victims;
}

/* Room on the worker with what is being stopped already. */
static struct gr_resources
coming_room (const struct step *step, const struct worker *worker)
{
  struct gr_resources room = gr_worker_room (worker, step);

  if (gr_worker_is_kept (worker, step))
    return room;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];

      if (task->state == TASK_STOPPING)
        add_room (&room, task->step->spec);
    }
  return room;
}

/* Stops victims on the worker until `wanted` tasks of the step fit; returns
 * how many do. With apply false, only computes the loss. */
static uint32_t
make_room (struct gr_steps *steps,
           struct step *step,
           struct worker *worker,
           uint32_t wanted,
           bool apply,
           double *loss)
{
  struct gr_resources room = coming_room (step, worker);
  GArray *victims = find_victims (steps, step, worker);
  uint32_t slots = gr_slots_in (step, worker, &room);

  *loss = 0;
  for (guint i = 0; i < victims->len && slots < wanted; i++)
    {
      const struct victim *victim = &g_array_index (victims, struct victim, i);
      struct step *other = victim->task->step;

      /* The stop of another victim may have changed it. */
      if (!gr_task_is_active (victim->task)
          || victim->task->state == TASK_STOPPING
          || !gr_task_may_be_stopped (victim->task))
        continue;
      add_room (&room, other->spec);
      *loss += victim->loss;
      slots = gr_slots_in (step, worker, &room);
      if (!apply)
        continue;
      gr_log_event ("run-preempted", "job",
                    gr_task_job (victim->task)->spec->id, "worker", worker->id,
                    "for", gr_step_job (step)->spec->id, NULL);
      if (other->spec->gang)
        gr_gang_abort (steps, other);
      else
        gr_order_stop (steps, victim->task);
    }
  g_array_unref (victims);
  return MIN (slots, wanted);
}

/* A guaranteed task on a worker that holds none yet keeps large tasks of other
 * accounts from it; counted as so many core-seconds. */
#define NEW_WORKER_LOSS 60.0

static bool
holds_urgent_work (const struct worker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct task *task = worker->tasks->pdata[i];
      const struct job *job = gr_task_job (task);

      if (job->queue->priority == 0
          && gr_account_within_guarantee (job->account))
        return true;
    }
  return false;
}

static gint
compare_offers (gconstpointer left, gconstpointer right)
{
  const struct offer *a = left;
  const struct offer *b = right;
  double a_loss = a->loss / a->slots;
  double b_loss = b->loss / b->slots;

  return a_loss < b_loss ? -1 : a_loss > b_loss;
}

static bool
worker_may_offer (const struct gr_steps *steps,
                  const struct worker *worker,
                  const struct step *step)
{
  return gr_worker_allowed (steps, worker, step)
         && !gr_worker_is_kept (worker, step);
}

/* Those of the workers that together take `wanted` tasks; NULL if they
 * cannot. */
static GArray *
find_offers (struct gr_steps *steps,
             struct step *step,
             GPtrArray *workers,
             uint32_t wanted,
             double *loss)
{
  GArray *offers = g_array_new (FALSE, FALSE, sizeof (struct offer));
  uint32_t slots = 0;
  guint used = 0;

  *loss = 0;
  for (guint i = 0; i < workers->len; i++)
    {
      struct offer offer = { .worker = workers->pdata[i] };

      if (!worker_may_offer (steps, offer.worker, step))
        continue;
      offer.slots =
          make_room (steps, step, offer.worker, wanted, false, &offer.loss);
      if (!holds_urgent_work (offer.worker))
        offer.loss += NEW_WORKER_LOSS;
      if (offer.slots > 0)
        g_array_append_val (offers, offer);
    }
  g_array_sort (offers, compare_offers);
  for (used = 0; used < offers->len && slots < wanted; used++)
    {
      slots += g_array_index (offers, struct offer, used).slots;
      *loss += g_array_index (offers, struct offer, used).loss;
    }
  g_array_set_size (offers, used);
  if (slots >= wanted)
    return offers;
  g_array_unref (offers);
  return NULL;
}

static GArray *
best_rack_offers (struct gr_steps *steps, struct step *step, uint32_t wanted)
{
  GPtrArray *racks = gr_racks (steps);
  GArray *best = NULL;
  double best_loss = 0;

  for (guint i = 0; i < racks->len; i++)
    {
      struct rack *rack = racks->pdata[i];
      GArray *offers;
      double loss;

      offers = find_offers (steps, step, rack->workers, wanted, &loss);
      if (offers == NULL)
        continue;
      if (best != NULL && loss >= best_loss)
        {
          g_array_unref (offers);
          continue;
        }
      if (best != NULL)
        g_array_unref (best);
      best = offers;
      best_loss = loss;
    }
  return best;
}

void
gr_reclaim_room (struct gr_steps *steps, struct step *step)
{
  uint32_t wanted = step->spec->gang ? step->n_tasks : step->n_waiting;
  GArray *offers = NULL;
  double loss;

  if ((step->room_ms != 0 && steps->now_ms - step->room_ms < ROOM_WAIT_MS)
      || (step->reclaim_ms != 0
          && steps->now_ms - step->reclaim_ms < NO_OFFER_PAUSE_MS))
    return;
  if (step->spec->gang && step->spec->one_rack)
    offers = best_rack_offers (steps, step, wanted);
  /* Before it may spread, room on several racks would be of no use. */
  if (offers == NULL && (!step->spec->gang || gr_step_may_spread (steps, step)))
    offers = find_offers (steps, step, steps->worker_rows, wanted, &loss);
  if (offers == NULL)
    {
      step->reclaim_ms = steps->now_ms;
      return;
    }
  step->room_ms = steps->now_ms;
  for (guint i = 0; i < offers->len && wanted > 0; i++)
    {
      struct offer *offer = &g_array_index (offers, struct offer, i);

      gr_worker_set_room (steps, offer->worker, step);
      wanted -= make_room (steps, step, offer->worker,
                           MIN (wanted, offer->slots), true, &loss);
    }
  g_array_unref (offers);
}
