#include "tests/steps-model-private.h"

#include <math.h>
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
model_run_spec (const struct steps_model *model, const struct model_run *run)
{
  return &model_get_job (model, run->job)->spec->steps[run->step];
}

/* Resources that the worker's runs take, those that are being stopped included,
 * together with a new one. Filler tasks use the processor time that others
 * leave. */
static struct gr_resources
sum_needs (const struct steps_model *model,
           const struct model_worker *worker,
           const struct model_run *new_run)
{
  struct gr_resources sum = { 0 };

  for (guint i = 0; i <= worker->runs->len; i++)
    {
      const struct model_run *run =
          i < worker->runs->len ? worker->runs->pdata[i] : new_run;
      const struct gr_step_spec *spec = model_run_spec (model, run);

      sum.cpu_milli += spec->filler ? 0 : spec->needs.cpu_milli;
      sum.memory_mb += spec->needs.memory_mb;
      sum.accelerators += spec->needs.accelerators;
    }
  return sum;
}

static bool
fits_in (const struct gr_resources *sum, const struct gr_resources *capacity)
{
  return sum->cpu_milli <= capacity->cpu_milli
         && sum->memory_mb <= capacity->memory_mb
         && sum->accelerators <= capacity->accelerators;
}

/* The end of a worker whose lease had expired does not bind a former owner, who
 * knows nothing of it; the owner that has acknowledged it is bound. */
static bool
starts_after_done (const struct steps_model *model,
                   const struct model_run *run,
                   int64_t epoch)
{
  const struct model_job *job = model_get_job (model, run->job);

  return g_hash_table_contains (
      epoch == model->owner->epoch ? job->done : job->done_in_lease, run->task);
}

static void
check_start (struct steps_model *model,
             struct model_worker *worker,
             const struct model_run *run,
             int64_t epoch)
{
  const struct gr_step_spec *spec = model_run_spec (model, run);
  struct gr_resources sum = sum_needs (model, worker, run);
  int64_t evacuated_ms = model_evacuated_ms (model, worker);
  uint32_t same_step = 0;

  for (guint i = 0; i < model->workers->len; i++)
    if (model_find_run (model->workers->pdata[i], run->task) != NULL)
      model_report_violation (model, "two runs of a task at the same time",
                              run->task);
  if (evacuated_ms >= 0 && model->now_ms - evacuated_ms > GR_START_LIMIT_MS)
    model_report_violation (model, "started late in an evacuated data centre",
                            run->task);
  if (starts_after_done (model, run, epoch))
    model_report_violation (model, "started after its end was acknowledged",
                            run->task);
  model_check_attempt (model, run);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *other = worker->runs->pdata[i];

      same_step += other->job == run->job && other->step == run->step;
    }
  if (!fits_in (&sum, &worker->limit))
    model_report_violation (model, "exceeds the capacity of its worker",
                            run->task);
  if (spec->max_per_worker > 0 && same_step >= spec->max_per_worker)
    model_report_violation (model, "too many tasks of its step on one worker",
                            run->task);
}

static void
note_start_after_done (struct steps_model *model, const char *task)
{
  for (guint i = 0; i < model->workers->len; i++)
    {
      const struct model_worker *worker = model->workers->pdata[i];

      for (guint k = 0; k < worker->done_ends->len; k++)
        {
          struct model_done_end *end = worker->done_ends->pdata[k];

          if (g_str_equal (end->task, task))
            end->started_again = true;
        }
    }
}

static int64_t
highest_ended_run (const struct model_worker *worker, const char *task)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (worker->ended_runs, task));
}

static void
record_ended_run (struct model_worker *worker, const char *task, uint32_t run)
{
  if (highest_ended_run (worker, task) < run)
    g_hash_table_replace (worker->ended_runs, g_strdup (task),
                          GUINT_TO_POINTER (run));
}

static bool
has_capacity (struct steps_model *model,
              struct model_worker *worker,
              const struct model_run *run)
{
  struct gr_resources sum = sum_needs (model, worker, run);

  return model->allows_overload || fits_in (&sum, &worker->capacity);
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

static void
count_start (struct model_job *job, const char *task)
{
  guint starts =
      GPOINTER_TO_UINT (g_hash_table_lookup (job->task_starts, task));

  job->starts++;
  g_hash_table_replace (job->task_starts, g_strdup (task),
                        GUINT_TO_POINTER (starts + 1));
}

/* Factor of the work of a run, with a log-normal distribution (Box-Muller). */
static double
draw_noise (struct steps_model *model)
{
  double radius;

  if (model->noise <= 0)
    return 1.0;
  radius = sqrt (-2 * log (1 - g_rand_double (model->rand)));
  return exp (model->noise * radius
              * cos (2 * G_PI * g_rand_double (model->rand)));
}

static enum gr_order_result
execute_start (struct steps_model *model,
               struct model_worker *worker,
               const struct gr_order *order,
               int64_t until_ms,
               int64_t epoch)
{
  const struct model_owner *owner = model_find_owner (model, epoch);
  struct model_run *run = model_find_run (worker, order->task);
  struct model_run *new_run;
  unsigned job;
  unsigned step;
  unsigned index;

  if (run != NULL && run->run == order->run)
    return GR_ORDER_DONE;
  if (owner != NULL && model_view (owner, worker)->clock_stale)
    until_ms = model->now_ms + MAX_HOLD_MS;
  worker->lease_until_ms = MAX (worker->lease_until_ms, until_ms);
  if (until_ms < model->now_ms)
    return GR_ORDER_TOO_LATE;
  if (model->needs_tickets && !ticket_is_valid (model, worker, order->ticket))
    return GR_ORDER_NO_TICKET;
  if (order->run <= highest_ended_run (worker, order->task))
    return GR_ORDER_RUN_TOO_OLD;
  new_run = g_new0 (struct model_run, 1);
  sscanf (order->task, "%16x.%*u.%u.%u", &job, &step, &index);
  g_strlcpy (new_run->task, order->task, sizeof new_run->task);
  new_run->job = job;
  new_run->step = step;
  new_run->index = index;
  new_run->run = order->run;
  new_run->started_ms = model->now_ms;
  new_run->pace = 100;
  new_run->noise = draw_noise (model);
  new_run->saved_ms = g_ascii_strtoll (order->checkpoint, NULL, 10);
  new_run->worked_ms = new_run->saved_ms;
  if (!has_capacity (model, worker, new_run)
      || model_chance (model, model->faults.reject_start))
    {
      g_free (new_run);
      return GR_ORDER_NO_ROOM;
    }
  check_start (model, worker, new_run, epoch);
  note_start_after_done (model, new_run->task);
  g_ptr_array_add (worker->runs, new_run);
  worker->starts++;
  count_start (model_get_job (model, job), new_run->task);
  if (model_get_job (model, job)->starts
      == model_get_job (model, job)->spec->steps[0].count)
    model_get_job (model, job)->started_ms = model->now_ms;
  if (!model_run_crashes (model, new_run))
    return GR_ORDER_DONE;
  model_crash_worker (model, worker, &model_get_job (model, job)->crash);
  return GR_ORDER_UNKNOWN;
}

static enum gr_order_result
execute_order (struct steps_model *model,
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
    return execute_start (model, worker, order, until_ms, epoch);
  run = model_find_run (worker, order->task);
  if (order->kind == GR_ORDER_PACE)
    {
      if (run != NULL)
        run->pace = order->percent;
      return run != NULL ? GR_ORDER_DONE : GR_ORDER_REJECTED;
    }
  if (run != NULL && run->run <= order->run && run->stop_ms == 0)
    run->stop_ms = model->now_ms + model->stop_ms;
  else if (run == NULL)
    record_ended_run (worker, order->task, order->run);
  return GR_ORDER_DONE;
}

static void
send_later (struct steps_model *model,
            const struct model_owner *owner,
            const struct gr_order *order,
            int64_t delay_ms,
            bool is_answered)
{
  struct transit_order *transit = g_new0 (struct transit_order, 1);

  transit->order = *order;
  transit->order.payload = NULL;
  transit->worker = model_find_worker (model, order->worker);
  transit->due_ms = model->now_ms + delay_ms;
  transit->until_ms = order->start_limit_ms;
  transit->epoch = owner->epoch;
  transit->incarnation = transit->worker->incarnation;
  transit->is_answered = is_answered;
  g_ptr_array_add (model->transit_orders, transit);
}

static void
report_result (struct steps_model *model,
               struct model_owner *owner,
               const struct gr_order *order,
               enum gr_order_result result)
{
  if (model->drop_results > 0)
    {
      model->drop_results--;
      return;
    }
  gr_steps_order_result (owner->steps, order, result, model->now_ms);
  if (result == GR_ORDER_FENCED)
    model_fence_owner (owner);
}

void
model_send_order (struct steps_model *model,
                  struct model_owner *owner,
                  const struct gr_order *order)
{
  struct model_worker *worker = model_find_worker (model, order->worker);
  enum gr_order_result result = GR_ORDER_UNKNOWN;
  int64_t until_ms = order->start_limit_ms;

  if (order->kind == GR_ORDER_START && model_evacuated_ms (model, worker) >= 0)
    model_report_violation (model, "start sent to an evacuated data centre",
                            order->task);
  if (order->kind == GR_ORDER_START)
    gr_steps_extend_worker_lease (owner->steps, worker->id, until_ms + 100);
  /* Those of a present owner may reach another process here, as the core must
   * bear that as well. */
  if (!gr_steps_is_only_owner (owner->steps, model->now_ms)
      && model_view (owner, worker)->incarnation != worker->incarnation)
    result = GR_ORDER_NOT_SENT;
  else if (model_is_down (worker) && !worker->crash.silent
           && (worker->unreachable || model_gets_answers (owner, worker)))
    result =
        worker->crash.orders_unknown ? GR_ORDER_UNKNOWN : GR_ORDER_NOT_SENT;
  else if (!model_reaches (owner, worker) || model_is_down (worker)
           || model_chance (model, model->faults.lose_order))
    result = GR_ORDER_UNKNOWN;
  else if (model_chance (model, model->faults.late_order))
    send_later (model, owner, order, g_rand_int_range (model->rand, 500, 6000),
                false);
  else if (model->faults.max_transit_ms > 0)
    {
      send_later (model, owner, order, model_transit_ms (model), true);
      return;
    }
  else
    {
      result = execute_order (model, worker, order, until_ms, owner->epoch);
      if (model_chance (model, model->faults.lose_answer)
          || !model_gets_answers (owner, worker))
        result = GR_ORDER_UNKNOWN;
    }
  report_result (model, owner, order, result);
}

void
model_transit_order_free (struct transit_order *transit)
{
  g_free (transit);
}

/* Returns true once the order has been executed and its result, if any, has
 * been reported. */
static bool
advance_order (struct steps_model *model, struct transit_order *transit)
{
  struct model_owner *owner = model_find_owner (model, transit->epoch);
  bool restarted = transit->incarnation != transit->worker->incarnation;
  bool down = restarted || model_is_down (transit->worker);

  if (down && !transit->is_answered)
    return true;
  if (transit->is_answered
      && (down || transit->worker->unreachable
          || (owner != NULL && !transit->executed
              && !model_reaches (owner, transit->worker))))
    {
      transit->executed = true;
      transit->result = GR_ORDER_UNKNOWN;
    }
  if (!transit->executed)
    {
      transit->executed = true;
      transit->result = execute_order (model, transit->worker, &transit->order,
                                       transit->until_ms, transit->epoch);
      if (!transit->is_answered)
        return true;
      if (model_chance (model, model->faults.lose_answer))
        transit->result = GR_ORDER_UNKNOWN;
      transit->due_ms = model->now_ms + model_transit_ms (model);
      return false;
    }
  if (owner == NULL)
    return true;
  /* Answers wait for a paused process. */
  if (owner->paused)
    return false;
  if (!model_gets_answers (owner, transit->worker))
    transit->result = GR_ORDER_UNKNOWN;
  report_result (model, owner, &transit->order, transit->result);
  return true;
}

void
model_advance_orders (struct steps_model *model)
{
  for (guint i = model->transit_orders->len; i-- > 0;)
    {
      struct transit_order *transit = model->transit_orders->pdata[i];

      if (transit->due_ms > model->now_ms || !advance_order (model, transit))
        continue;
      model_transit_order_free (transit);
      g_ptr_array_remove_index_fast (model->transit_orders, i);
    }
}

/* The platform's rule on gangs: a run may wait for the others of its gang in
 * vain only around a fault. */
static void
check_alone (struct steps_model *model, const struct model_run *run)
{
  model->runs_alone++;
  if (!model_get_job (model, run->job)->cancelled
      && model->now_ms - model->last_fault_ms >= CALM_MS)
    model_report_violation (model, "waited alone for its gang", run->task);
}

static void
note_done_end (const struct steps_model *model,
               struct model_worker *worker,
               const struct gr_ended_run *row)
{
  struct model_done_end *end = g_new0 (struct model_done_end, 1);

  g_strlcpy (end->task, row->task, sizeof end->task);
  end->number = row->number;
  end->ended_ms = model->now_ms;
  g_ptr_array_add (worker->done_ends, end);
}

void
model_end_run (struct steps_model *model,
               struct model_worker *worker,
               guint index,
               enum gr_run_end how)
{
  struct model_run *run = worker->runs->pdata[index];
  const struct gr_step_spec *spec = model_run_spec (model, run);
  struct gr_ended_run row = { .number = ++worker->last_number,
                              .run = run->run };

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
  if (how == GR_END_FAILED)
    model_note_failure (model, run->task, run->run);
  if (how == GR_END_ALONE)
    check_alone (model, run);
  if (how == GR_END_DONE)
    note_done_end (model, worker, &row);
  record_ended_run (worker, run->task, run->run);
  g_array_append_val (worker->ends, row);
  g_ptr_array_remove_index (worker->runs, index);
}

/* Number of active members of a gang with this run number. */
static uint32_t
count_gang_runs (struct steps_model *model, const struct model_run *run)
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
end_gang_runs (struct steps_model *model,
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

/* Tail latency of a task that serves requests: each filler task on the same
 * worker adds 60 % of the target at full pace. */
uint32_t
model_tail_ms (struct steps_model *model,
               const struct model_worker *worker,
               const struct model_run *run)
{
  const struct gr_step_spec *spec = model_run_spec (model, run);
  uint32_t tail = spec->tail_target_ms / 5;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *other = worker->runs->pdata[i];

      if (model_run_spec (model, other)->filler)
        tail += spec->tail_target_ms * 6 / 10 * other->pace / 100;
    }
  return tail;
}

/* Checks that a task that serves requests is not over its target for too
 * long. */
static void
check_tail (struct steps_model *model,
            struct model_worker *worker,
            struct model_run *run)
{
  const struct gr_step_spec *spec = model_run_spec (model, run);

  if (spec->tail_target_ms == 0
      || model_tail_ms (model, worker, run) <= spec->tail_target_ms)
    run->over_target_ticks = 0;
  else if (++run->over_target_ticks * TICK_MS > MAX_OVER_TARGET_MS)
    model_report_violation (model, "tail latency over its target for too long",
                            run->task);
}

int64_t
model_run_work_ms (const struct steps_model *model,
                   const struct model_worker *worker,
                   const struct model_run *run)
{
  double slowness = worker->slowness;
  bool gang = model_run_spec (model, run)->gang;

  for (guint i = 0; gang && i < model->workers->len; i++)
    {
      const struct model_worker *other = model->workers->pdata[i];

      for (guint k = 0; k < other->runs->len; k++)
        {
          const struct model_run *member = other->runs->pdata[k];

          if (member->job == run->job && member->step == run->step)
            slowness = MAX (slowness, other->slowness);
        }
    }
  return (int64_t)((double)model_get_job (model, run->job)->work_ms * slowness
                   * (gang ? 1.0 : run->noise));
}

/* Returns whether the run ends in this tick, and how; otherwise advances it. */
static bool
run_has_ended (struct steps_model *model,
               struct model_worker *worker,
               struct model_run *run,
               enum gr_run_end *how)
{
  const struct model_job *job = model_get_job (model, run->job);
  const struct gr_step_spec *spec = model_run_spec (model, run);
  int64_t work_ms;

  if (model->now_ms > worker->lease_until_ms)
    *how = GR_END_LAPSED;
  else if (run->stop_ms != 0 && model->now_ms >= run->stop_ms)
    *how = GR_END_STOPPED;
  else if (spec->gang && count_gang_runs (model, run) < spec->count)
    {
      *how = GR_END_ALONE;
      return model->now_ms > run->started_ms + model->settings.gang_wait_ms;
    }
  else
    {
      check_tail (model, worker, run);
      run->worked_ms += TICK_MS * run->pace / 100;
      if (spec->lasting)
        return false;
      if (run->worked_ms - run->saved_ms >= CHECKPOINT_INTERVAL_MS
          && spec->checkpointing)
        run->saved_ms = run->worked_ms;
      *how =
          job->fails_runs || worker->fails_runs ? GR_END_FAILED : GR_END_DONE;
      work_ms = model_run_work_ms (model, worker, run);
      return run->worked_ms >= (*how == GR_END_FAILED ? work_ms / 3 : work_ms);
    }
  return true;
}

static void
crash_by_runs (struct steps_model *model, struct model_worker *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *run = worker->runs->pdata[i];

      if (!model_run_crashes (model, run))
        continue;
      model_crash_worker (model, worker,
                          &model_get_job (model, run->job)->crash);
      return;
    }
}

void
model_advance_runs (struct steps_model *model)
{
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      crash_by_runs (model, worker);
      if (model->now_ms > worker->lease_until_ms)
        worker->lapsed_ms = model->now_ms;
      for (guint k = worker->runs->len; k-- > 0;)
        {
          struct model_run copy;
          enum gr_run_end how;

          if (k >= worker->runs->len
              || !run_has_ended (model, worker, worker->runs->pdata[k], &how))
            continue;
          copy = *(struct model_run *)worker->runs->pdata[k];
          model_end_run (model, worker, k, how);
          if (model_run_spec (model, &copy)->gang)
            end_gang_runs (model, copy.job, copy.step, copy.run,
                           how == GR_END_DONE ? GR_END_DONE : GR_END_BROKEN);
        }
    }
}
