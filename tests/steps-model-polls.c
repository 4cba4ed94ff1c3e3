#include "tests/steps-model-private.h"

#include <stdio.h>

int64_t
model_transit_ms (struct steps_model *model)
{
  if (model->faults.max_transit_ms <= 0)
    return 0;
  return g_rand_int_range (model->rand, 0, model->faults.max_transit_ms + 1);
}

static void
poll_free (struct model_poll *poll)
{
  g_free (poll->report.running);
  g_free (poll->report.ended);
  g_free (poll);
}

static void
acknowledge_ends (struct steps_model *model,
                  struct model_worker *worker,
                  int64_t durable_end)
{
  while (worker->ends->len > 0)
    {
      struct gr_ended_run *row =
          &g_array_index (worker->ends, struct gr_ended_run, 0);
      unsigned job;

      if (row->number > durable_end)
        return;
      sscanf (row->task, "%16x", &job);
      if (row->how == GR_END_DONE)
        g_hash_table_add (model_get_job (model, job)->done,
                          g_strdup (row->task));
      else if (row->how == GR_END_FAILED)
        model_note_acknowledged_failure (model, row->task, row->run);
      g_array_remove_index (worker->ends, 0);
    }
}

static void
list_runs (struct steps_model *model,
           const struct model_worker *worker,
           struct gr_run_report *report)
{
  report->n_running = worker->runs->len;
  report->running = g_new0 (struct gr_run_status, worker->runs->len + 1);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *run = worker->runs->pdata[i];
      struct gr_run_status *status = &report->running[i];
      int64_t work_ms = MAX (model_run_work_ms (model, worker, run), 1);

      g_strlcpy (status->task, run->task, sizeof status->task);
      status->run = run->run;
      status->percent = (uint32_t)MIN (run->worked_ms * 100 / work_ms, 99);
      if (model_run_spec (model, run)->lasting && run->worked_ms >= STARTUP_MS)
        status->percent = 100;
      status->usage = model_tail_ms (model, worker, run);
    }
}

/* The worker handles the poll. Returns false if it rejects its epoch. */
static bool
execute_poll (struct steps_model *model, struct model_poll *poll)
{
  struct model_worker *worker = poll->worker;

  if (poll->epoch < worker->highest_epoch)
    return false;
  worker->highest_epoch = poll->epoch;
  acknowledge_ends (model, worker, poll->durable_end);
  if (worker->clock_stale && poll->lease_until_ms > 0)
    poll->lease_until_ms = model->now_ms + MAX_HOLD_MS;
  worker->clock_stale = false;
  worker->lease_until_ms = MAX (worker->lease_until_ms, poll->lease_until_ms);
  poll->report.clock_ms = model->now_ms;
  poll->report.incarnation_unix_ms = worker->incarnation;
  poll->report.all_ended = true;
  list_runs (model, worker, &poll->report);
  poll->report.n_ended = worker->ends->len;
  poll->report.ended = g_memdup2 (
      worker->ends->data, worker->ends->len * sizeof (struct gr_ended_run));
  return true;
}

static void
deliver_poll (struct steps_model *model, const struct model_poll *poll)
{
  if (poll->epoch != model->epoch)
    return;
  poll->worker->poll_in_flight = false;
  poll->worker->clock_known = true;
  gr_steps_process_report (model->steps, poll->worker->id, &poll->report,
                           model->now_ms);
}

static void
poll_failed (struct steps_model *model, struct model_worker *worker)
{
  worker->poll_in_flight = false;
  gr_steps_set_worker_reachable (model->steps, worker->id, false,
                                 model->now_ms);
}

/* Returns true once the poll has ended. */
static bool
advance_poll (struct steps_model *model, struct model_poll *poll)
{
  if (poll->worker->unreachable || model_is_down (poll->worker)
      || poll->incarnation != poll->worker->incarnation)
    {
      if (poll->epoch == model->epoch)
        poll_failed (model, poll->worker);
      return true;
    }
  if (!poll->executed)
    {
      if (!execute_poll (model, poll))
        return true;
      poll->executed = true;
      poll->due_ms = model->now_ms + model_transit_ms (model);
      if (poll->due_ms > model->now_ms)
        return false;
    }
  deliver_poll (model, poll);
  return true;
}

static void
send_poll (struct steps_model *model, struct model_worker *worker)
{
  struct model_poll *poll = g_new0 (struct model_poll, 1);

  poll->worker = worker;
  poll->epoch = model->epoch;
  poll->incarnation = worker->incarnation;
  poll->durable_end = gr_steps_end_to_acknowledge (model->steps, worker->id);
  poll->report.acknowledged_end = poll->durable_end;
  poll->report.sent_ms = model->now_ms;
  poll->due_ms = model->now_ms + model_transit_ms (model);
  if (worker->clock_known)
    {
      poll->lease_until_ms = model->now_ms + RUN_LEASE_MS;
      gr_steps_extend_worker_lease (model->steps, worker->id,
                                    poll->lease_until_ms + 200);
    }
  if (poll->due_ms <= model->now_ms && advance_poll (model, poll))
    {
      poll_free (poll);
      return;
    }
  worker->poll_in_flight = true;
  g_ptr_array_add (model->polls, poll);
}

static void
poll_worker (struct steps_model *model, struct model_worker *worker)
{
  worker->next_poll_ms = model->now_ms + POLL_INTERVAL_MS;
  if (gr_steps_poll_need (model->steps, worker->id) == GR_POLL_NONE
      && gr_steps_durable_end (model->steps, worker->id) == 0)
    return;
  if (model_is_down (worker) && !worker->crash.silent)
    {
      model_refuse_poll (model, worker);
      return;
    }
  if (worker->unreachable || model_is_down (worker)
      || model_chance (model, model->faults.lose_poll))
    {
      poll_failed (model, worker);
      return;
    }
  if (model->epoch >= worker->highest_epoch)
    send_poll (model, worker);
}

void
model_advance_polls (struct steps_model *model)
{
  for (guint i = model->polls->len; i-- > 0;)
    {
      struct model_poll *poll = model->polls->pdata[i];

      if (poll->due_ms > model->now_ms || !advance_poll (model, poll))
        continue;
      poll_free (poll);
      g_ptr_array_remove_index_fast (model->polls, i);
    }
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      if (model->now_ms >= worker->next_poll_ms && !worker->poll_in_flight)
        poll_worker (model, worker);
    }
}

void
model_drop_polls (struct steps_model *model)
{
  for (guint i = 0; i < model->polls->len; i++)
    poll_free (model->polls->pdata[i]);
  g_ptr_array_set_size (model->polls, 0);
}
