#include "steps/tables.h"

#include <stdio.h>
#include <string.h>

/* Run numbers of one task per owner; far more than attempts and moves need. */
#define MAX_RUNS_PER_EPOCH 1000

struct job *
gr_step_job (const struct step *step)
{
  return step->occurrence->job;
}

struct job *
gr_task_job (const struct task *task)
{
  return gr_step_job (task->step);
}

void
gr_task_name (const struct task *task, char name[GR_TASK_NAME_SIZE])
{
  g_snprintf (name, GR_TASK_NAME_SIZE, "%s.%u.%u.%u",
              gr_task_job (task)->spec->id, task->step->occurrence->number,
              task->step->number, task->index);
}

struct task *
gr_task_find (struct gr_steps *steps, const char *name)
{
  char id[GR_JOB_ID_DIGITS + 1];
  unsigned occurrence_number;
  unsigned step_number;
  unsigned index;
  struct occurrence *occurrence;
  struct job *job;

  if (sscanf (name, "%16[^.].%u.%u.%u", id, &occurrence_number, &step_number,
              &index)
      != 4)
    return NULL;
  job = g_hash_table_lookup (steps->jobs, id);
  if (job == NULL || step_number >= job->spec->n_steps
      || occurrence_number >= MAX (job->spec->repeats, 1))
    return NULL;
  occurrence = gr_job_occurrence (job, occurrence_number);
  if (index >= occurrence->steps[step_number].n_tasks)
    return NULL;
  return &occurrence->steps[step_number].tasks[index];
}

bool
gr_task_is_active (const struct task *task)
{
  return task->state == TASK_STARTING || task->state == TASK_RUNNING
         || task->state == TASK_STOPPING;
}

static void
adjust_resources (struct gr_resources *sum,
                  const struct gr_step_spec *spec,
                  bool add)
{
  const struct gr_resources *needs = &spec->needs;
  uint32_t cpu_milli = spec->filler ? 0 : needs->cpu_milli;

  if (add)
    {
      sum->cpu_milli += cpu_milli;
      sum->memory_mb += needs->memory_mb;
      sum->accelerators += needs->accelerators;
      return;
    }
  g_assert (sum->cpu_milli >= cpu_milli && sum->memory_mb >= needs->memory_mb
            && sum->accelerators >= needs->accelerators);
  sum->cpu_milli -= cpu_milli;
  sum->memory_mb -= needs->memory_mb;
  sum->accelerators -= needs->accelerators;
}

void
gr_task_assign (struct task *task, struct worker *worker)
{
  g_assert (task->worker == NULL);
  task->worker = worker;
  g_ptr_array_add (worker->tasks, task);
  adjust_resources (&worker->used, task->step->spec, true);
  gr_task_job (task)->active++;
}

void
gr_task_unassign (struct task *task)
{
  struct worker *worker = task->worker;

  if (worker == NULL)
    return;
  g_ptr_array_remove_fast (worker->tasks, task);
  adjust_resources (&worker->used, task->step->spec, false);
  gr_task_job (task)->active--;
  task->worker = NULL;
}

void
gr_task_release (struct gr_steps *steps, struct task *task)
{
  (void)steps;
  gr_task_unassign (task);
  task->tries = 0;
  task->confirmed_ms = 0;
  task->stop_confirmed_ms = 0;
  if (!gr_task_is_active (task))
    return;
  task->state = TASK_WAITING;
  task->step->n_waiting++;
}

static void
complete_occurrence (struct gr_steps *steps, struct occurrence *occurrence)
{
  struct job *job = occurrence->job;

  for (uint32_t i = 0; i < job->spec->n_steps; i++)
    if (occurrence->steps[i].n_done < occurrence->steps[i].n_tasks)
      return;
  if (occurrence->complete)
    return;
  occurrence->complete = true;
  job->n_complete++;
  if (job->n_complete >= MAX (job->spec->repeats, 1))
    gr_job_finish (steps, job, GR_JOB_COMPLETED);
}

static bool
is_fully_started (const struct task *task)
{
  return task->state == TASK_RUNNING && task->percent >= 100;
}

uint32_t
gr_step_unavailable_tasks (const struct step *step, const struct task *excluded)
{
  uint32_t unavailable = 0;

  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      const struct task *task = &step->tasks[i];

      if (task != excluded
          && (!is_fully_started (task) || !task->worker->reachable
              || task->worker->undecided))
        unavailable++;
    }
  return unavailable;
}

bool
gr_task_is_at_work (const struct task *task)
{
  return task->step->spec->lasting && is_fully_started (task);
}

/* A task that ends by itself can always be started again. Of a lasting step, no
 * more than max_away tasks may be unavailable. */
bool
gr_task_may_be_stopped (const struct gr_steps *steps, const struct task *task)
{
  if (!gr_task_is_at_work (task))
    return true;
  /* Runs whose end is undecided look as if they were at work. */
  return gr_tenure_is_present (steps)
         && gr_step_unavailable_tasks (task->step, task)
                < task->step->spec->max_away;
}

/* The task stays assigned to its worker until the worker reports the end of its
 * current run. */
void
gr_task_set_done (struct gr_steps *steps, struct task *task)
{
  struct step *step = task->step;

  if (task->state == TASK_DONE)
    return;
  if (task->state == TASK_WAITING)
    step->n_waiting--;
  task->state = TASK_DONE;
  g_clear_pointer (&task->checkpoint, g_free);
  step->n_done++;
  gr_job_mark_changed (steps, gr_task_job (task));
  complete_occurrence (steps, step->occurrence);
}

uint32_t
gr_next_run (const struct gr_steps *steps, uint32_t highest)
{
  uint32_t base = (uint32_t)(steps->epoch - 1) * MAX_RUNS_PER_EPOCH;

  return MAX (highest, base) + 1;
}
