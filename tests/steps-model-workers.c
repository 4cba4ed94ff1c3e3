#include "tests/steps-model-private.h"

#include <stdio.h>
#include <string.h>

struct model_run *
model_find_run (struct model_worker *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct model_run *run = worker->runs->pdata[i];

      if (g_str_equal (run->task, task))
        return run;
    }
  return NULL;
}

const struct gr_step_spec *
model_spec_of (const struct steps_model *model, const struct model_run *run)
{
  return &model_job_of (model, run->job)->spec->steps[run->step];
}

static void
check_start (struct steps_model *model,
             struct model_worker *worker,
             const struct model_run *run)
{
  const struct gr_step_spec *spec = model_spec_of (model, run);
  struct model_job *job = model_job_of (model, run->job);
  uint32_t accelerators = 0;
  uint32_t beside = 0;

  for (guint i = 0; i < model->workers->len; i++)
    if (model_find_run (model->workers->pdata[i], run->task) != NULL)
      model_break_promise (model, "two runs at one time", run->task);
  if (g_hash_table_contains (job->done, run->task))
    model_break_promise (model, "a start after its end was noted", run->task);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *other = worker->runs->pdata[i];

      accelerators += model_spec_of (model, other)->needs.accelerators;
      beside += other->job == run->job && other->step == run->step;
    }
  if (accelerators + spec->needs.accelerators > 8)
    model_break_promise (model, "more than the worker's capacity", run->task);
  if (spec->max_per_worker > 0 && beside >= spec->max_per_worker)
    model_break_promise (model, "too many tasks of a step on a worker",
                         run->task);
}

static int64_t
over_run (const struct model_worker *worker, const char *task)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (worker->over, task));
}

static void
note_over (struct model_worker *worker, const char *task, uint32_t run)
{
  if (over_run (worker, task) < run)
    g_hash_table_replace (worker->over, g_strdup (task),
                          GUINT_TO_POINTER (run));
}

static bool
has_room (struct steps_model *model,
          struct model_worker *worker,
          const struct model_run *run)
{
  uint32_t accelerators = model_spec_of (model, run)->needs.accelerators;

  for (guint i = 0; i < worker->runs->len; i++)
    accelerators +=
        model_spec_of (model, worker->runs->pdata[i])->needs.accelerators;
  return accelerators <= 8;
}

static bool
ticket_is_valid (const struct steps_model *model,
                 const struct model_worker *worker,
                 const char *ticket)
{
  size_t length = strlen (worker->id);

  return strncmp (ticket, worker->id, length) == 0 && ticket[length] == '@'
         && g_ascii_strtoll (ticket + length + 1, NULL, 10) >= model->now_ms;
}

static enum gr_order_result
carry_out_start (struct steps_model *model,
                 struct model_worker *worker,
                 const struct gr_order *order,
                 int64_t until_ms)
{
  struct model_run *run = model_find_run (worker, order->task);
  struct model_run *new_run;
  unsigned job;
  unsigned step;

  if (run != NULL && run->run == order->run)
    return GR_ORDER_DONE;
  worker->lease_until_ms = MAX (worker->lease_until_ms, until_ms);
  if (until_ms < model->now_ms)
    return GR_ORDER_TOO_LATE;
  if (model->needs_tickets && !ticket_is_valid (model, worker, order->ticket))
    return GR_ORDER_NO_TICKET;
  if (order->run <= over_run (worker, order->task))
    return GR_ORDER_RUN_TOO_OLD;
  new_run = g_new0 (struct model_run, 1);
  sscanf (order->task, "%16x.%*u.%u", &job, &step);
  g_strlcpy (new_run->task, order->task, sizeof new_run->task);
  new_run->job = job;
  new_run->step = step;
  new_run->run = order->run;
  new_run->begun_ms = model->now_ms;
  new_run->pace = 100;
  new_run->saved_ms = g_ascii_strtoll (order->checkpoint, NULL, 10);
  new_run->worked_ms = new_run->saved_ms;
  if (!has_room (model, worker, new_run))
    {
      g_free (new_run);
      return GR_ORDER_NO_ROOM;
    }
  check_start (model, worker, new_run);
  g_ptr_array_add (worker->runs, new_run);
  worker->starts++;
  model_job_of (model, job)->starts++;
  if (model_job_of (model, job)->starts
      == model_job_of (model, job)->spec->steps[0].count)
    model_job_of (model, job)->begun_ms = model->now_ms;
  return GR_ORDER_DONE;
}

static enum gr_order_result
carry_out (struct steps_model *model,
           struct model_worker *worker,
           const struct gr_order *order,
           int64_t until_ms,
           int64_t epoch)
{
  struct model_run *run;

  if (epoch < worker->highest_epoch)
    return GR_ORDER_FENCED;
  worker->highest_epoch = epoch;
  if (order->kind == GR_ORDER_START)
    return carry_out_start (model, worker, order, until_ms);
  run = model_find_run (worker, order->task);
  if (order->kind == GR_ORDER_PACE)
    {
      if (run != NULL)
        run->pace = order->percent;
      return run != NULL ? GR_ORDER_DONE : GR_ORDER_REJECTED;
    }
  if (run != NULL && run->run <= order->run && run->stop_ms == 0)
    run->stop_ms = model->now_ms + STOP_MS;
  else if (run == NULL)
    note_over (worker, order->task, order->run);
  return GR_ORDER_DONE;
}

static void
keep_late (struct steps_model *model,
           const struct gr_order *order,
           int64_t until_ms)
{
  struct late_order *late = g_new0 (struct late_order, 1);

  late->order = *order;
  late->order.payload = NULL;
  late->at_ms = model->now_ms + g_rand_int_range (model->rand, 500, 6000);
  late->until_ms = until_ms;
  late->epoch = model->epoch;
  g_ptr_array_add (model->late, late);
}

void
model_send_order (struct steps_model *model, const struct gr_order *order)
{
  struct model_worker *worker = model_find_worker (model, order->worker);
  enum gr_order_result result = GR_ORDER_UNKNOWN;
  int64_t until_ms = order->start_limit_ms;

  if (order->kind == GR_ORDER_START)
    gr_steps_worker_lease (model->steps, worker->id, until_ms + 100);
  if (worker->cut || model_happens (model, model->faults.lose_order))
    result = GR_ORDER_UNKNOWN;
  else if (model_happens (model, model->faults.late_order))
    keep_late (model, order, until_ms);
  else
    {
      result = carry_out (model, worker, order, until_ms, model->epoch);
      if (model_happens (model, model->faults.lose_answer))
        result = GR_ORDER_UNKNOWN;
    }
  if (model->swallow > 0)
    {
      model->swallow--;
      return;
    }
  gr_steps_order_result (model->steps, order, result, model->now_ms);
}

void
model_late_free (struct late_order *late)
{
  g_free (late->payload);
  g_free (late);
}

void
model_carry_out_late (struct steps_model *model)
{
  for (guint i = model->late->len; i-- > 0;)
    {
      struct late_order *late = model->late->pdata[i];

      if (late->at_ms > model->now_ms)
        continue;
      carry_out (model, model_find_worker (model, late->order.worker),
                 &late->order, late->until_ms, late->epoch);
      model_late_free (late);
      g_ptr_array_remove_index_fast (model->late, i);
    }
}

void
model_end_run (struct steps_model *model,
               struct model_worker *worker,
               guint index,
               enum gr_run_end how)
{
  struct model_run *run = worker->runs->pdata[index];
  const struct gr_step_spec *spec = model_spec_of (model, run);
  struct gr_ended row = { .number = ++worker->last_number, .run = run->run };

  row.how = how;
  g_strlcpy (row.task, run->task, sizeof row.task);
  if (spec->checkpointing && how != GR_END_DONE)
    {
      if (how == GR_END_STOPPED)
        run->saved_ms = run->worked_ms;
      g_snprintf (row.checkpoint, sizeof row.checkpoint, "%" G_GINT64_FORMAT,
                  run->saved_ms);
    }
  if (how != GR_END_DONE && how != GR_END_FAILED)
    model->wasted_s += (double)(run->worked_ms - run->saved_ms) / 1000.0
                       * spec->needs.accelerators;
  note_over (worker, run->task, run->run);
  g_array_append_val (worker->ends, row);
  g_ptr_array_remove_index (worker->runs, index);
}

/* Members of a gang's run that are present. */
static uint32_t
members (struct steps_model *model, const struct model_run *run)
{
  uint32_t n = 0;

  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      for (guint k = 0; k < worker->runs->len; k++)
        {
          const struct model_run *other = worker->runs->pdata[k];

          n += other->job == run->job && other->step == run->step
               && other->run == run->run;
        }
    }
  return n;
}

static void
break_gang (struct steps_model *model,
            uint32_t job,
            uint32_t step,
            uint32_t number,
            enum gr_run_end how)
{
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      for (guint k = worker->runs->len; k-- > 0;)
        {
          const struct model_run *other = worker->runs->pdata[k];

          if (other->job == job && other->step == step && other->run == number)
            model_end_run (model, worker, k, how);
        }
    }
}

/* Tail of a task that serves: each task that fills beside it, at full pace,
 * adds 60 % of the target. */
uint32_t
model_tail_ms (struct steps_model *model,
               const struct model_worker *worker,
               const struct model_run *run)
{
  const struct gr_step_spec *spec = model_spec_of (model, run);
  uint32_t tail = spec->tail_target_ms / 5;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *other = worker->runs->pdata[i];

      if (model_spec_of (model, other)->filler)
        tail += spec->tail_target_ms * 6 / 10 * other->pace / 100;
    }
  return tail;
}

/* Promise that a task that serves is not over its target for too long. */
static void
check_tail (struct steps_model *model,
            struct model_worker *worker,
            struct model_run *run)
{
  const struct gr_step_spec *spec = model_spec_of (model, run);

  if (spec->tail_target_ms == 0
      || model_tail_ms (model, worker, run) <= spec->tail_target_ms)
    run->over_ms = 0;
  else if (++run->over_ms * TICK_MS > HARM_MS)
    model_break_promise (model, "over its target for too long", run->task);
}

/* How the run ends now; false if it goes on. */
static bool
ends_now (struct steps_model *model,
          struct model_worker *worker,
          struct model_run *run,
          enum gr_run_end *how)
{
  const struct model_job *job = model_job_of (model, run->job);
  const struct gr_step_spec *spec = model_spec_of (model, run);

  if (model->now_ms > worker->lease_until_ms)
    *how = GR_END_LAPSED;
  else if (run->stop_ms != 0 && model->now_ms >= run->stop_ms)
    *how = GR_END_STOPPED;
  else if (spec->gang && members (model, run) < spec->count)
    {
      *how = GR_END_ALONE;
      return model->now_ms > run->begun_ms + GANG_WAIT_MS;
    }
  else
    {
      check_tail (model, worker, run);
      run->worked_ms += TICK_MS * run->pace / 100;
      if (spec->lasting)
        return false;
      if (run->worked_ms - run->saved_ms >= SAVE_MS && spec->checkpointing)
        run->saved_ms = run->worked_ms;
      *how = job->fails || worker->fails ? GR_END_FAILED : GR_END_DONE;
      return run->worked_ms
             >= (*how == GR_END_FAILED ? job->work_ms / 3 : job->work_ms);
    }
  return true;
}

void
model_move_runs (struct steps_model *model)
{
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      for (guint k = worker->runs->len; k-- > 0;)
        {
          struct model_run copy;
          enum gr_run_end how;

          if (k >= worker->runs->len
              || !ends_now (model, worker, worker->runs->pdata[k], &how))
            continue;
          copy = *(struct model_run *)worker->runs->pdata[k];
          model_end_run (model, worker, k, how);
          if (model_spec_of (model, &copy)->gang)
            break_gang (model, copy.job, copy.step, copy.run,
                        how == GR_END_DONE ? GR_END_DONE : GR_END_BROKEN);
        }
    }
}
