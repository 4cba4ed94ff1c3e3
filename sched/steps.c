#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/learn.h"
#include "sched/quarantine.h"
#include "sched/witness.h"

static void
save_checkpoint (struct gr_core_job *job)
{
  int64_t saved = job->checkpoint_sent_ms - job->running_since_ms;

  if (job->n_checkpointed < job->n_members)
    {
      for (uint32_t i = 0; i < job->n_members; i++)
        if (!job->members[i].finished)
          saved = MIN (saved, job->members[i].checkpoint_ms);
    }
  job->record.saved_ms += MAX (saved, 0);
}

static void
finish (struct gr_core *core, struct gr_core_job *job)
{
  int64_t started_ms =
      job->running_since_ms != 0 ? job->running_since_ms : core->now_ms;

  if (job->running_since_ms != 0)
    gr_learn_run_time (core, &job->record.spec,
                       core->now_ms - job->running_since_ms
                           + job->record.saved_ms);
  job->account->last_passed_ms = MAX (job->account->last_passed_ms, started_ms);
  for (uint32_t i = 0; i < job->n_members; i++)
    {
      struct gr_core_member *member = &job->members[i];

      gr_worker_succeeded (core, member->worker, started_ms);
      if (job->phase == GR_PHASE_RUNNING)
        continue;
      /* The worker keeps the result while the lease lasts, so the lease is
       * renewed until the record is durable. */
      gr_member_renew (core, member, core->config.run_lease_term_ms);
      gr_renew_add (core, member->worker);
    }
  gr_job_end (core, job, GR_JOB_FINISHED, "");
  gr_gang_set_phase (core, job, GR_PHASE_ENDING);
}

static void
start_run (struct gr_core *core, struct gr_core_job *job)
{
  int64_t ran_ms = 0;

  for (uint32_t i = 0; i < job->n_members; i++)
    {
      struct gr_core_member *member = &job->members[i];

      ran_ms = MAX (ran_ms, member->ran_ms);
      gr_member_renew (core, member, core->config.run_lease_term_ms);
      gr_renew_add (core, member->worker);
    }
  job->phase = GR_PHASE_RUNNING;
  job->running_since_ms = core->now_ms - ran_ms;
}

/* Sends the command of the phase again to members that did not respond.
 * done_offset is the offset of the member flag that its success sets. */
static void
retry (struct gr_core *core,
       struct gr_core_job *job,
       enum gr_command_kind kind,
       size_t done_offset)
{
  for (uint32_t i = 0; i < job->n_members; i++)
    {
      struct gr_core_member *member = &job->members[i];
      const bool *done = (const bool *)((const char *)member + done_offset);

      if (!*done && !member->settled
          && core->now_ms - member->sent_ms >= core->config.call_timeout_ms)
        gr_member_call (core, member, kind);
    }
}

/* Renews leases granted for the start term while the start is in progress. */
static void
renew_start (struct gr_core *core, struct gr_core_job *job)
{
  int64_t third_ms = core->config.start_lease_term_ms / 3;

  for (uint32_t i = 0; i < job->n_members; i++)
    {
      struct gr_core_member *member = &job->members[i];
      int64_t sent_ms =
          member->latest_expiry_ms - core->config.start_lease_term_ms;

      if (member->granted && !member->settled
          && core->now_ms - sent_ms >= third_ms)
        gr_member_renew (core, member, core->config.start_lease_term_ms);
    }
}

static void
step_granting (struct gr_core *core, struct gr_core_job *job)
{
  if (job->n_granted < job->n_members
      || job->durable_version < job->record.version)
    {
      if (core->now_ms >= job->deadline_ms)
        gr_gang_stop (core, job, GR_STOP_ABORT,
                      "not all leases were granted in time");
      else
        retry (core, job, GR_COMMAND_GRANT,
               offsetof (struct gr_core_member, granted));
      return;
    }
  gr_gang_set_phase (core, job, GR_PHASE_STARTING);
  for (uint32_t i = 0; i < job->n_members; i++)
    gr_member_call (core, &job->members[i], GR_COMMAND_START);
}

static void
step_starting (struct gr_core *core, struct gr_core_job *job)
{
  if (job->n_started < job->n_members)
    {
      if (core->now_ms >= job->deadline_ms)
        gr_gang_stop (core, job, GR_STOP_ABORT,
                      "not all tasks were started in time");
      else
        retry (core, job, GR_COMMAND_START,
               offsetof (struct gr_core_member, started));
      return;
    }
  job->record.state = GR_JOB_RUNNING;
  if (job->record.started_unix_ms == 0)
    job->record.started_unix_ms = core->unix_ms;
  gr_job_record_changed (core, job);
  gr_gang_set_phase (core, job, GR_PHASE_COMMITTING);
}

static void
step_committing (struct gr_core *core, struct gr_core_job *job)
{
  if (job->durable_version < job->record.version)
    {
      if (core->now_ms >= job->deadline_ms)
        gr_gang_stop (core, job, GR_STOP_ABORT,
                      "the store did not acknowledge the record in time");
      return;
    }
  g_assert (job->n_started == job->n_members);
  g_assert (job->record.state == GR_JOB_RUNNING);
  job->unthrottle_sent = true;
  gr_gang_set_phase (core, job, GR_PHASE_UNTHROTTLING);
  for (uint32_t i = 0; i < job->n_members; i++)
    if (!job->members[i].unthrottled)
      gr_member_call (core, &job->members[i], GR_COMMAND_UNTHROTTLE);
}

static void
step_unthrottling (struct gr_core *core, struct gr_core_job *job)
{
  if (job->n_finished == job->n_members)
    finish (core, job);
  else if (job->n_unthrottled == job->n_members)
    start_run (core, job);
  else if (core->now_ms >= job->deadline_ms)
    gr_gang_stop (core, job, GR_STOP_LOST,
                  "not all tasks were unthrottled in time");
  else
    retry (core, job, GR_COMMAND_UNTHROTTLE,
           offsetof (struct gr_core_member, unthrottled));
}

static void
step_checkpointing (struct gr_core *core, struct gr_core_job *job)
{
  if (job->n_checkpointed < job->n_members && core->now_ms < job->deadline_ms)
    return;
  save_checkpoint (job);
  gr_gang_release (core, job);
}

/* True if the lease has expired even if a call that was still in flight
 * renewed it. */
static bool
is_lease_expired (const struct gr_core *core,
                  const struct gr_core_member *member)
{
  return core->now_ms > member->latest_expiry_ms + core->config.call_timeout_ms;
}

static void
step_stopping (struct gr_core *core, struct gr_core_job *job)
{
  for (uint32_t i = 0; i < job->n_members; i++)
    if (!job->members[i].settled && is_lease_expired (core, &job->members[i]))
      gr_member_lost (core, &job->members[i]);
  if (job->n_settled < job->n_members)
    {
      retry (core, job, GR_COMMAND_RELEASE,
             offsetof (struct gr_core_member, settled));
      return;
    }
  gr_gang_conclude (core, job);
  g_assert (gr_job_state_is_final (job->record.state));
  gr_gang_set_phase (core, job, GR_PHASE_ENDING);
}

static void
step_releasing (struct gr_core *core, struct gr_core_job *job)
{
  for (uint32_t i = 0; i < job->n_members; i++)
    {
      struct gr_core_member *member = &job->members[i];

      if (member->released)
        continue;
      if (is_lease_expired (core, member))
        gr_member_released (core, member);
      else if (core->now_ms - member->sent_ms >= core->config.call_timeout_ms)
        gr_member_call (core, member, GR_COMMAND_RELEASE);
    }
  if (job->n_released < job->n_members)
    return;
  if (!gr_job_state_is_final (job->record.state))
    gr_gang_conclude (core, job);
  gr_gang_free_attempt (core, job);
  job->phase = GR_PHASE_ENDED;
  if (!gr_job_state_is_final (job->record.state))
    gr_job_enqueue (core, job);
}

/* Finds the guarantee slot that an adopted job runs in. */
static void
attach_to_slot (struct gr_core *core, struct gr_core_job *job)
{
  job->guarantee_slot = gr_guarantee_slot_find_for_adopted (core, job);
  if (job->guarantee_slot == NULL)
    return;
  gr_guarantee_slot_acquire (job->guarantee_slot);
  job->pinned = true;
  for (uint32_t i = 0; i < job->n_members; i++)
    if (!job->members[i].released)
      job->members[i].worker->pinned |= job->members[i].mask;
}

/* Continues a restored job after all its members were reported. */
static void
adopt (struct gr_core *core, struct gr_core_job *job)
{
  bool throttled = job->n_unthrottled == 0;

  if (job->n_finished == job->n_members)
    finish (core, job);
  else if (job->record.cancel_asked)
    gr_gang_stop (core, job, GR_STOP_CANCEL, "cancelled by the client");
  else if (job->record.state == GR_JOB_STOPPING)
    gr_gang_stop (core, job, GR_STOP_LOST, "stopped by the previous owner");
  else if (job->record.state == GR_JOB_STARTING && throttled)
    {
      /* Tasks are unthrottled only after the record is durable in state
       * running, so nothing has run. */
      job->unthrottle_sent = false;
      attach_to_slot (core, job);
      step_starting (core, job);
    }
  else if (job->record.state == GR_JOB_RUNNING)
    {
      attach_to_slot (core, job);
      step_committing (core, job);
    }
  else
    gr_gang_stop (core, job, GR_STOP_LOST,
                  "tasks ran before the record was in state running");
}

static void
step_adopting (struct gr_core *core, struct gr_core_job *job)
{
  if (job->n_started == job->n_members)
    adopt (core, job);
  else if (core->now_ms >= job->deadline_ms)
    gr_gang_stop (core, job, GR_STOP_LOST,
                  "a worker did not report after a change of owner");
}

static void
step (struct gr_core *core, struct gr_core_job *job)
{
  if (job->record.cancel_asked && job->cause == GR_STOP_NONE && job->in_active
      && job->n_finished < job->n_members && job->phase < GR_PHASE_STOPPING)
    gr_gang_stop (core, job, GR_STOP_CANCEL, "cancelled by the client");
  switch (job->phase)
    {
    case GR_PHASE_ADOPTING:
      step_adopting (core, job);
      break;
    case GR_PHASE_GRANTING:
      step_granting (core, job);
      break;
    case GR_PHASE_STARTING:
      step_starting (core, job);
      break;
    case GR_PHASE_COMMITTING:
      step_committing (core, job);
      break;
    case GR_PHASE_UNTHROTTLING:
      step_unthrottling (core, job);
      break;
    case GR_PHASE_RUNNING:
      if (job->n_finished == job->n_members)
        finish (core, job);
      break;
    case GR_PHASE_CHECKPOINTING:
      step_checkpointing (core, job);
      break;
    case GR_PHASE_STOPPING:
      step_stopping (core, job);
      break;
    case GR_PHASE_ENDING:
      if (job->durable_version >= job->record.version)
        gr_gang_release (core, job);
      break;
    case GR_PHASE_RELEASING:
      step_releasing (core, job);
      break;
    case GR_PHASE_WAITING:
    case GR_PHASE_ENDED:
      break;
    }
  if (job->phase >= GR_PHASE_GRANTING && job->phase <= GR_PHASE_UNTHROTTLING)
    renew_start (core, job);
}

/* Spreads a burst of stops over several ticks, so that no tick takes long. */
#define MAX_COMMANDS_PER_TICK 8192

/* Interval of timeout checks; events are handled in the next tick. */
#define CHECK_MS 250

static bool
is_stable (const struct gr_core_job *job)
{
  return job->phase == GR_PHASE_WAITING || job->phase == GR_PHASE_RUNNING
         || job->phase == GR_PHASE_ENDED;
}

void
gr_tick_gangs (struct gr_core *core)
{
  GList *link = core->steps.head;

  while (link != NULL && core->out->len < MAX_COMMANDS_PER_TICK)
    {
      struct gr_core_job *job = link->data;
      GList *next = link->next;

      if (job->due || core->now_ms >= job->next_check_ms)
        {
          job->due = false;
          job->next_check_ms = core->now_ms + CHECK_MS;
          step (core, job);
        }
      if (is_stable (job) && !job->due)
        {
          g_queue_unlink (&core->steps, link);
          job->in_steps = false;
        }
      link = next;
    }
}
