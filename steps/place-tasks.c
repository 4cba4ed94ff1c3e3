#include "steps/deadline.h"
#include "steps/place.h"
#include "steps/planned.h"

#include "common/log.h"

/* Choice of workers for tasks that need not run at the same time. */

/* A score has the least free capacity in its lowest bits, and above them what
 * takes precedence over it. */
#define RACK_SHIFT 8
#define SPEED_SHIFT 32
#define OTHER_RACK ((uint64_t)1 << 48)
#define AVOIDED ((uint64_t)1 << 49)

/* Above all speed classes, so that workers that are too slow follow all that
 * are fast enough. */
#define TOO_SLOW_RANK 128

static uint64_t
fit_score (const struct task *task,
           const struct worker *worker,
           const struct gr_resources *available)
{
  const struct step *step = task->step;
  uint64_t score;

  score = ((uint64_t)worker->rack_row->free_accelerators << RACK_SHIFT)
          + MIN (available->accelerators, 255);
  if (step->spec->data_rack != NULL
      && !g_str_equal (worker->rack, step->spec->data_rack))
    score += OTHER_RACK;
  if (g_str_equal (task->avoid_worker, worker->id)
      || (worker->on_probation && task->failures > 0))
    score += AVOIDED;
  return score;
}

/* The slowest worker that is fast enough comes first, so that fast ones stay
 * free for work that needs them; of those that are too slow, the fastest. */
static uint64_t
speed_score (const struct worker *worker, double max_slowness)
{
  int32_t rank = worker->class_slowness <= max_slowness
                     ? TOO_SLOW_RANK / 2 - worker->speed
                     : TOO_SLOW_RANK + TOO_SLOW_RANK / 2 + worker->speed;

  return (uint64_t)rank << SPEED_SHIFT;
}

struct choice
{
  struct worker *plain;    /* the best regardless of speeds; NULL: none */
  struct worker *by_speed; /* the best by expected completion */
  bool awaited;            /* a worker was left out until it reports */
};

/* The best worker for the task: preferably not the one on which it last failed,
 * nor one on probation if it has failed, as that could be its last attempt;
 * then on the rack with the data, then by speed if speeds differ, then with the
 * least free capacity. */
static struct choice
find_workers (struct gr_steps *steps, const struct task *task)
{
  struct step *step = task->step;
  bool uneven = gr_place_by_speed (steps, step);
  double max_slowness =
      uneven ? gr_deadline_max_slowness (steps, step) : G_MAXDOUBLE;
  struct choice best = { 0 };
  uint64_t best_score[2] = { UINT64_MAX, UINT64_MAX };

  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];
      struct gr_resources available;
      uint64_t score;

      if (gr_rack_is_known_full (steps, worker->rack_row, step, 1)
          || !gr_worker_allowed (steps, worker, step)
          || (worker->planned_for != NULL
              && gr_worker_is_planned (steps, worker, step)))
        continue;
      available = gr_worker_free_resources (worker, step);
      if (gr_step_slots_in (step, worker, &available) == 0)
        continue;
      if (gr_crash_report_is_late (steps, step, worker))
        {
          best.awaited = true;
          continue;
        }
      score = fit_score (task, worker, &available);
      if (score < best_score[0])
        {
          best.plain = worker;
          best_score[0] = score;
        }
      if (uneven)
        score += speed_score (worker, max_slowness);
      if (score < best_score[1])
        {
          best.by_speed = worker;
          best_score[1] = score;
        }
    }
  return best;
}

static void
log_choice (const struct gr_steps *steps,
            struct step *step,
            const struct worker *worker)
{
  char text[2][24];

  if (step->placement_logged)
    return;
  step->placement_logged = true;
  g_snprintf (text[0], sizeof text[0], "%" G_GINT64_FORMAT,
              gr_deadline_left_ms (steps, step, 1));
  g_snprintf (text[1], sizeof text[1], "%.2f", worker->class_slowness);
  gr_log_event (
      "tasks-placed", "job", gr_step_job (step)->spec->id, "left-ms", text[0],
      "first-worker", worker->id, "slowness", text[1], "mode",
      steps->settings.objectives == GR_MODE_ON ? "on" : "observe", NULL);
}

static struct worker *
choose_worker (struct gr_steps *steps, const struct task *task, bool *awaited)
{
  struct choice choice = find_workers (steps, task);

  *awaited = choice.awaited;
  if (choice.plain == NULL || steps->settings.objectives == GR_MODE_OFF)
    return choice.plain;
  gr_place_count_expected (steps, task->step, choice.by_speed->class_slowness);
  if (choice.plain != choice.by_speed)
    {
      steps->placement.choices_changed++;
      log_choice (steps, task->step, choice.by_speed);
    }
  return steps->settings.objectives == GR_MODE_ON ? choice.by_speed
                                                  : choice.plain;
}

bool
gr_place_tasks (struct gr_steps *steps, struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks && step->n_waiting > 0; i++)
    {
      struct task *task = &step->tasks[i];
      struct worker *worker;
      bool awaited;

      if (task->state != TASK_WAITING || gr_crash_holds_start (steps, task))
        continue;
      if (!gr_place_may_queue_start (steps, step))
        return true;
      worker = choose_worker (steps, task, &awaited);
      if (worker == NULL)
        return awaited;
      if (gr_crash_needs_report (steps, step, worker))
        {
          gr_crash_request_report (steps, step, worker);
          return true;
        }
      gr_place_task_on (steps, task, worker, gr_next_run (steps, task->run));
    }
  /* The reserved room is in use now and would count twice. */
  if (steps->settings.budget == GR_MODE_ON && step->reclaim_started_ms != 0)
    gr_workers_release_reserved (steps, step);
  return true;
}
