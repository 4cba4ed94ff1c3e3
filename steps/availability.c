#include "steps/availability.h"

#include "steps/forecast.h"
#include "steps/place.h"

/* A worker with the resources that are used there once some runs have ended. */
struct row
{
  struct worker *worker;
  struct gr_resources used;
  uint32_t slots;
};

struct run_end
{
  int64_t end_ms; /* from now */
  const struct task *task;
  guint row;
};

static uint32_t
remaining (uint32_t capacity, uint32_t used)
{
  return capacity > used ? capacity - used : 0;
}

static uint32_t
count_slots (const struct step *step, const struct row *row)
{
  const struct gr_resources *capacity = &row->worker->capacity;
  struct gr_resources available = {
    .cpu_milli = remaining (capacity->cpu_milli, row->used.cpu_milli),
    .memory_mb = remaining (capacity->memory_mb, row->used.memory_mb),
    .accelerators = remaining (capacity->accelerators, row->used.accelerators),
  };

  return gr_step_slots_in (step, row->worker, &available);
}

/* An overdue run is expected to last as long again as it is overdue. */
static int64_t
expected_end_ms (const struct gr_steps *steps, const struct task *task)
{
  int64_t end_ms;

  if (task->state == TASK_DONE)
    return 0;
  end_ms = ABS (gr_forecast_remaining_ms (steps, task));
  if (task->state == TASK_STOPPING)
    end_ms = MIN (end_ms, (int64_t)steps->settings.stop_ms);
  return end_ms;
}

static void
add_worker (struct gr_steps *steps,
            const struct step *step,
            struct worker *worker,
            GArray *rows,
            GArray *ends)
{
  struct row row = { .worker = worker, .used = worker->used };

  row.slots = count_slots (step, &row);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct run_end end = { .task = worker->tasks->pdata[i],
                             .row = rows->len };

      if (end.task->step->spec->lasting)
        continue;
      end.end_ms = expected_end_ms (steps, end.task);
      g_array_append_val (ends, end);
    }
  g_array_append_val (rows, row);
}

static gint
compare_ends (gconstpointer left, gconstpointer right)
{
  const struct run_end *a = left;
  const struct run_end *b = right;

  return a->end_ms < b->end_ms ? -1 : a->end_ms > b->end_ms;
}

/* Releases the resources of the run on its worker. Returns the slots gained. */
static uint32_t
release_run (const struct step *step, const struct run_end *end, GArray *rows)
{
  struct row *row = &g_array_index (rows, struct row, end->row);
  const struct gr_step_spec *spec = end->task->step->spec;
  uint32_t before = row->slots;

  if (!spec->filler)
    row->used.cpu_milli -= spec->needs.cpu_milli;
  row->used.memory_mb -= spec->needs.memory_mb;
  row->used.accelerators -= spec->needs.accelerators;
  row->slots = count_slots (step, row);
  return row->slots - before;
}

/* Most slots first, so that few workers are taken. */
static gint
compare_rows (gconstpointer left, gconstpointer right)
{
  const struct row *a = left;
  const struct row *b = right;

  return a->slots > b->slots ? -1 : a->slots < b->slots;
}

static void
take_workers (const struct step *step,
              GArray *rows,
              struct availability *availability)
{
  uint32_t slots = 0;

  g_array_sort (rows, compare_rows);
  availability->workers = g_ptr_array_new ();
  availability->slowness = 0;
  for (guint i = 0; slots < step->n_tasks; i++)
    {
      const struct row *row = &g_array_index (rows, struct row, i);

      slots += row->slots;
      g_ptr_array_add (availability->workers, row->worker);
      availability->slowness =
          MAX (availability->slowness, row->worker->class_slowness);
    }
}

bool
gr_availability_find (struct gr_steps *steps,
                      struct step *step,
                      GPtrArray *workers,
                      double max_slowness,
                      struct availability *availability)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (struct row));
  g_autoptr (GArray) ends = g_array_new (FALSE, FALSE, sizeof (struct run_end));
  uint32_t slots = 0;
  guint next = 0;

  for (guint i = 0; i < workers->len; i++)
    {
      struct worker *worker = workers->pdata[i];

      if (worker->class_slowness <= max_slowness
          && gr_worker_allowed (steps, worker, step)
          && !gr_worker_is_reserved (worker, step)
          && (worker->planned_for == NULL || worker->planned_for == step))
        add_worker (steps, step, worker, rows, ends);
    }
  for (guint i = 0; i < rows->len; i++)
    slots += g_array_index (rows, struct row, i).slots;
  g_array_sort (ends, compare_ends);
  availability->wait_ms = 0;
  while (slots < step->n_tasks && next < ends->len)
    {
      const struct run_end *end = &g_array_index (ends, struct run_end, next++);

      slots += release_run (step, end, rows);
      availability->wait_ms = end->end_ms;
    }
  if (slots < step->n_tasks)
    return false;
  take_workers (step, rows, availability);
  return true;
}
