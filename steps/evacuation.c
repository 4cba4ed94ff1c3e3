#include "steps/tables.h"

#include "common/log.h"

/* Evacuation of data centres. Workers of an evacuated data centre are not
 * usable: nothing is placed there and no start is sent there. Starts that are
 * not known to have taken effect are withdrawn, reservations are dropped, and
 * lasting tasks move away as far as max_away of their step allows. Confirmed
 * runs continue to their end. Designed for a few data centres of some hundred
 * workers each. */

/* Capacity that was reclaimed on an evacuated worker is of no use, so the step
 * may reclaim elsewhere without the usual pause. */
static void
drop_reservation (struct gr_steps *steps, struct worker *worker)
{
  struct step *step = worker->reserved_for;

  if (step == NULL)
    return;
  step->round_until_ms = 0;
  if (steps->settings.budget != GR_MODE_ON)
    step->reclaim_started_ms = 0;
  /* A time of 0 would allow the gang to wait for faster workers again. */
  if (step->wait_until_ms != 0)
    step->wait_until_ms = MIN (step->wait_until_ms, steps->now_ms);
  worker->reserved_for = NULL;
}

static void
log_withdrawn (struct gr_steps *steps,
               const struct task *task,
               const char *data_centre)
{
  char name[GR_TASK_NAME_SIZE];
  char run[16];
  char age[24];

  gr_task_name (task, name);
  g_snprintf (run, sizeof run, "%u", task->run);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              steps->now_ms - task->placed_ms);
  gr_log_event ("start-withdrawn", "task", name, "run", run, "worker",
                task->worker->id, "data-centre", data_centre, "sent",
                task->start_sent ? "yes" : "no", "placed-ms-ago", age, NULL);
  steps->starts_withdrawn++;
}

/* A gang can no longer become complete, so its members elsewhere are stopped
 * too. */
static void
withdraw_start (struct gr_steps *steps,
                struct task *task,
                const char *data_centre)
{
  struct step *step = task->step;

  if (!step->spec->gang)
    {
      log_withdrawn (steps, task, data_centre);
      gr_order_stop (steps, task);
      return;
    }
  for (uint32_t i = 0; i < step->n_tasks; i++)
    if (step->tasks[i].state == TASK_STARTING)
      log_withdrawn (steps, &step->tasks[i], data_centre);
  gr_gang_abort (steps, step);
}

static struct task *
find_start (const struct worker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (task->state == TASK_STARTING)
        return task;
    }
  return NULL;
}

static void
apply_to_worker (struct gr_steps *steps, struct worker *worker)
{
  struct task *task;

  worker->evacuated = true;
  drop_reservation (steps, worker);
  /* Each withdrawal changes the list of tasks, so it is searched again. */
  while ((task = find_start (worker)) != NULL)
    withdraw_start (steps, task, worker->data_centre);
}

void
gr_evacuation_update_worker (struct gr_steps *steps, struct worker *worker)
{
  if (g_hash_table_contains (steps->evacuated, worker->data_centre))
    apply_to_worker (steps, worker);
  else
    worker->evacuated = false;
}

bool
gr_steps_set_evacuated (struct gr_steps *steps,
                        const char *data_centre,
                        bool evacuated)
{
  if (g_hash_table_contains (steps->evacuated, data_centre) == evacuated)
    return false;
  if (evacuated)
    g_hash_table_add (steps->evacuated, g_strdup (data_centre));
  else
    g_hash_table_remove (steps->evacuated, data_centre);
  steps->evacuation_changed_ms = steps->now_ms;
  for (guint i = 0; i < steps->worker_rows->len; i++)
    gr_evacuation_update_worker (steps, steps->worker_rows->pdata[i]);
  return true;
}

uint32_t
gr_steps_take_starts_withdrawn (struct gr_steps *steps)
{
  uint32_t withdrawn = steps->starts_withdrawn;

  steps->starts_withdrawn = 0;
  return withdrawn;
}

/* Lasting tasks whose step has no room elsewhere stay: a stop would only end
 * their service. */
static void
move_lasting_tasks (struct gr_steps *steps, const struct worker *worker)
{
  const struct step *without_room = NULL;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (!task->step->spec->lasting || task->state != TASK_RUNNING
          || task->step == without_room
          || !gr_task_may_be_stopped (steps, task))
        continue;
      if (!gr_step_has_room (steps, task->step))
        {
          without_room = task->step;
          continue;
        }
      gr_log_event ("run-moved", "job", gr_task_job (task)->spec->id, "worker",
                    worker->id, "reason", "the data centre is evacuated", NULL);
      if (task->step->spec->gang)
        gr_gang_abort (steps, task->step);
      else
        gr_order_stop (steps, task);
    }
}

void
gr_evacuation_tick (struct gr_steps *steps)
{
  steps->all_evacuated = g_hash_table_size (steps->evacuated) > 0;
  if (!steps->all_evacuated)
    return;
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      const struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->evacuated)
        move_lasting_tasks (steps, worker);
      else if (worker->registered)
        steps->all_evacuated = false;
    }
}

void
gr_steps_hold_starts (struct gr_steps *steps, bool held)
{
  steps->starts_held = held;
}
