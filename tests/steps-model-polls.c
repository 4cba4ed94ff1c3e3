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
note_done_end (struct steps_model *model, const struct model_done_end *end)
{
  uint32_t job = (uint32_t)g_ascii_strtoull (end->task, NULL, 16);

  g_hash_table_add (model_get_job (model, job)->done_in_lease,
                    g_strdup (end->task));
  if (end->started_again)
    model_report_violation (
        model, "started after an end that was acknowledged later", end->task);
}

/* The platform's rule: a start after a run has ended done breaks it when that
 * end is acknowledged at any time, unless the lease of its worker has expired
 * between the two. */
static void
check_done_ends (struct steps_model *model,
                 struct model_worker *worker,
                 int64_t durable_end)
{
  for (guint i = worker->done_ends->len; i-- > 0;)
    {
      const struct model_done_end *end = worker->done_ends->pdata[i];

      if (end->number > durable_end)
        continue;
      if (worker->lapsed_ms < end->ended_ms)
        note_done_end (model, end);
      g_ptr_array_remove_index (worker->done_ends, i);
    }
}

static void
acknowledge_ends (struct steps_model *model,
                  struct model_worker *worker,
                  int64_t durable_end)
{
  check_done_ends (model, worker, durable_end);
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

static void
list_ends (const struct steps_model *model,
           const struct model_worker *worker,
           struct gr_run_report *report)
{
  uint32_t listed = MIN (worker->ends->len, model->listed_ends);

  report->n_ended = listed;
  report->ended =
      g_memdup2 (worker->ends->data, listed * sizeof (struct gr_ended_run));
  report->all_ended = listed < model->listed_ends;
}

/* The worker handles the poll. Returns false if it rejects its epoch. */
static bool
execute_poll (struct steps_model *model,
              const struct model_owner *owner,
              struct model_poll *poll)
{
  struct model_worker *worker = poll->worker;

  if (poll->epoch < worker->highest_epoch)
    return false;
  worker->highest_epoch = poll->epoch;
  acknowledge_ends (model, worker, poll->durable_end);
  if (owner != NULL && model_view (owner, worker)->clock_stale)
    {
      if (poll->lease_until_ms > 0)
        poll->lease_until_ms = model->now_ms + MAX_HOLD_MS;
      model_view (owner, worker)->clock_stale = false;
    }
  worker->lease_until_ms = MAX (worker->lease_until_ms, poll->lease_until_ms);
  poll->report.clock_ms = model->now_ms;
  poll->report.incarnation_unix_ms = worker->incarnation;
  list_runs (model, worker, &poll->report);
  list_ends (model, worker, &poll->report);
  return true;
}

bool
model_reaches (const struct model_owner *owner, struct model_worker *worker)
{
  return !worker->unreachable
         && model_view (owner, worker)->reach != STEPS_MODEL_REACH_NONE;
}

bool
model_gets_answers (const struct model_owner *owner,
                    struct model_worker *worker)
{
  return !worker->unreachable
         && model_view (owner, worker)->reach == STEPS_MODEL_REACH_BOTH;
}

static void
deliver_poll (struct steps_model *model,
              struct model_owner *owner,
              const struct model_poll *poll)
{
  struct model_view *view = model_view (owner, poll->worker);

  view->poll_in_flight = false;
  view->clock_known = true;
  view->incarnation = poll->report.incarnation_unix_ms;
  gr_steps_process_report (owner->steps, poll->worker->id, &poll->report,
                           model->now_ms);
}

static void
poll_failed (struct steps_model *model,
             struct model_owner *owner,
             struct model_worker *worker)
{
  model_view (owner, worker)->poll_in_flight = false;
  gr_steps_set_worker_reachable (owner->steps, worker->id, false,
                                 model->now_ms);
}

/* Returns true once the poll has ended. owner is NULL if it has ended; its poll
 * is executed all the same. */
static bool
advance_poll (struct steps_model *model,
              struct model_owner *owner,
              struct model_poll *poll)
{
  struct model_worker *worker = poll->worker;

  if (worker->unreachable || model_is_down (worker)
      || poll->incarnation != worker->incarnation
      || (owner != NULL && !poll->executed && !model_reaches (owner, worker)))
    {
      if (owner != NULL)
        poll_failed (model, owner, worker);
      return true;
    }
  if (!poll->executed)
    {
      bool accepted = execute_poll (model, owner, poll);

      if (owner != NULL && !model_gets_answers (owner, worker))
        poll_failed (model, owner, worker);
      else if (owner != NULL && !accepted)
        model_fence_owner (owner);
      if (!accepted || owner == NULL || !model_gets_answers (owner, worker))
        return true;
      poll->executed = true;
      poll->due_ms = model->now_ms + model_transit_ms (model);
      if (poll->due_ms > model->now_ms || owner->paused)
        return false;
    }
  if (owner != NULL && model_gets_answers (owner, worker))
    deliver_poll (model, owner, poll);
  else if (owner != NULL)
    poll_failed (model, owner, worker);
  return true;
}

static void
send_poll (struct steps_model *model,
           struct model_owner *owner,
           struct model_worker *worker)
{
  struct model_poll *poll = g_new0 (struct model_poll, 1);
  struct model_view *view = model_view (owner, worker);

  poll->worker = worker;
  poll->epoch = owner->epoch;
  poll->incarnation = worker->incarnation;
  poll->durable_end = gr_steps_end_to_acknowledge (owner->steps, worker->id);
  poll->report.acknowledged_end = poll->durable_end;
  poll->report.sent_ms = model->now_ms;
  poll->due_ms = model->now_ms + model_transit_ms (model);
  if (view->clock_known)
    {
      poll->lease_until_ms = model->now_ms + RUN_LEASE_MS;
      gr_steps_extend_worker_lease (owner->steps, worker->id,
                                    poll->lease_until_ms + 200);
    }
  if (poll->due_ms <= model->now_ms && advance_poll (model, owner, poll))
    {
      poll_free (poll);
      return;
    }
  view->poll_in_flight = true;
  g_ptr_array_add (model->polls, poll);
}

static void
poll_worker (struct steps_model *model,
             struct model_owner *owner,
             struct model_worker *worker)
{
  model_view (owner, worker)->next_poll_ms = model->now_ms + POLL_INTERVAL_MS;
  if (gr_steps_poll_need (owner->steps, worker->id) == GR_POLL_NONE
      && gr_steps_durable_end (owner->steps, worker->id) == 0)
    return;
  if (model_is_down (worker) && !worker->crash.silent
      && (worker->unreachable || model_gets_answers (owner, worker)))
    {
      model_refuse_poll (model, owner, worker);
      return;
    }
  if (!model_reaches (owner, worker) || model_is_down (worker)
      || model_chance (model, model->faults.lose_poll))
    {
      poll_failed (model, owner, worker);
      return;
    }
  send_poll (model, owner, worker);
}

static void
poll_workers (struct steps_model *model, struct model_owner *owner)
{
  for (guint i = 0; i < model->workers->len && !owner->ended; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];
      const struct model_view *view = model_view (owner, worker);

      if (model->now_ms >= view->next_poll_ms && !view->poll_in_flight)
        poll_worker (model, owner, worker);
    }
}

void
model_advance_polls (struct steps_model *model)
{
  for (guint i = model->polls->len; i-- > 0;)
    {
      struct model_poll *poll = model->polls->pdata[i];
      struct model_owner *owner = model_find_owner (model, poll->epoch);

      /* Answers wait for a paused process. */
      if (poll->due_ms > model->now_ms
          || (owner != NULL && owner->paused && poll->executed)
          || !advance_poll (model, owner, poll))
        continue;
      poll_free (poll);
      g_ptr_array_remove_index_fast (model->polls, i);
    }
  for (uint32_t i = 0; i < model_n_owners (model); i++)
    if (!model_nth_owner (model, i)->paused)
      poll_workers (model, model_nth_owner (model, i));
}

void
model_drop_polls (struct steps_model *model)
{
  for (guint i = 0; i < model->polls->len; i++)
    poll_free (model->polls->pdata[i]);
  g_ptr_array_set_size (model->polls, 0);
}
