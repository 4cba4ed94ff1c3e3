#include "sched/gang.h"

#include "sched/faulty.h"
#include "sched/jobs.h"
#include "sched/learn.h"
#include "sched/witness.h"

#include <string.h>

/* Urgent work must start within 3.9 s, and the release, the grant and the start
 * follow the checkpoint, so it may take less than half of that time. */
#define CHECKPOINT_WAIT_MS 1500
/* Pause after an attempt that did not get all its leases, so that a worker
 * in an unclear state is not called again at once. */
#define ABORT_PAUSE_MS 1000

void
gr_gang_set_phase (struct gr_core *core,
                   struct gr_core_job *job,
                   enum gr_phase phase)
{
  job->phase = phase;
  job->deadline_ms = core->now_ms + core->config.start_lease_term_ms;
  gr_job_wake (core, job);
}

void
gr_member_call (struct gr_core *core,
                struct gr_core_member *member,
                enum gr_command_kind kind)
{
  struct gr_command *command;

  member->sent_ms = core->now_ms;
  if (member->worker == NULL)
    return;
  command = gr_emit (core, kind, member->job, member);
  if (kind == GR_COMMAND_GRANT)
    {
      command->term_ms = core->config.start_lease_term_ms;
      member->latest_expiry_ms =
          MAX (member->latest_expiry_ms, core->now_ms + command->term_ms);
    }
  if (kind == GR_COMMAND_START)
    command->spec = member->job->record.spec.spec;
}

void
gr_member_renew (struct gr_core *core,
                 struct gr_core_member *member,
                 int64_t term_ms)
{
  struct gr_command *command =
      gr_emit (core, GR_COMMAND_RENEW, member->job, member);

  command->term_ms = term_ms;
  member->latest_expiry_ms =
      MAX (member->latest_expiry_ms, core->now_ms + term_ms);
}

void
gr_member_allocate (struct gr_core *core, struct gr_core_member *member)
{
  struct gr_core_worker *worker = member->worker;
  bool was_idle = worker->held == 0;

  g_assert ((worker->held & member->mask) == 0);
  worker->held |= member->mask;
  if (was_idle)
    gr_worker_busy_changed (core, worker);
  if (member->job->record.spec.priority == GR_PRIORITY_URGENT)
    worker->last_urgent_ms = core->now_ms;
  if (member->job->pinned)
    worker->pinned |= member->mask;
  for (uint32_t a = 0; a < worker->accelerators; a++)
    if ((member->mask & (1U << a)) != 0)
      worker->holder[a] = member;
  gr_worker_capacity_changed (core, worker);
}

void
gr_gang_activate (struct gr_core *core, struct gr_core_job *job)
{
  job->held = 0;
  for (uint32_t i = 0; i < job->n_members; i++)
    job->held += gr_mask_count (job->members[i].mask);
  job->account->used += job->held;
  g_queue_push_tail_link (&job->account->active, &job->account_link);
  job->in_active = true;
  core->jobs_running++;
}

void
gr_gang_reset (struct gr_core_job *job, uint32_t n_members)
{
  job->members = g_new0 (struct gr_core_member, n_members);
  job->n_members = n_members;
  job->n_granted = 0;
  job->n_started = 0;
  job->n_unthrottled = 0;
  job->n_finished = 0;
  job->n_settled = 0;
  job->n_checkpointed = 0;
  job->n_released = 0;
  job->cause = GR_STOP_NONE;
  job->running_since_ms = 0;
  job->unthrottle_sent = false;
  job->backfilled = false;
  job->probe = false;
}

/* Shard, epoch and attempt number make the id unique. The job id is only
 * hashed, because it alone may be as long as GR_ID_MAX. */
static char *
member_id (struct gr_core *core, const struct gr_core_job *job, uint32_t index)
{
  return g_strdup_printf (
      "%s.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER "x.%08x.%u.%u",
      core->config.shard, (guint64)core->config.epoch,
      (guint64)core->next_attempt, g_str_hash (job->record.id),
      job->record.attempt, index);
}

static void
write_placements (struct gr_core_job *job)
{
  struct gr_job_record *record = &job->record;

  g_free (record->placements);
  record->placements = g_new0 (struct gr_placement, job->n_members);
  record->n_placements = job->n_members;
  for (uint32_t i = 0; i < job->n_members; i++)
    {
      const struct gr_core_member *member = &job->members[i];
      struct gr_placement *placement = &record->placements[i];

      g_strlcpy (placement->worker, member->worker->name,
                 sizeof placement->worker);
      g_strlcpy (placement->lease, member->id, sizeof placement->lease);
      g_strlcpy (placement->task, member->id, sizeof placement->task);
      placement->accelerators = member->mask;
    }
}

void
gr_gang_place (struct gr_core *core,
               struct gr_core_job *job,
               const struct gr_block *block,
               struct gr_guarantee_slot *slot)
{
  g_assert (core->durable);
  g_assert (job->record.spec.idempotent || !job->unthrottle_sent);
  if (slot != NULL)
    gr_guarantee_slot_acquire (slot);
  gr_job_dequeue (core, job);
  core->next_attempt++;
  core->placed++;
  job->record.attempt++;
  job->record.state = GR_JOB_STARTING;
  job->record.reason[0] = '\0';
  gr_gang_reset (job, block->n);
  job->guarantee_slot = slot;
  job->pinned = slot != NULL;
  g_assert (job->pinned || job->record.spec.idempotent);
  for (uint32_t i = 0; i < block->n; i++)
    {
      struct gr_core_member *member = &job->members[i];

      member->job = job;
      member->worker = block->parts[i].worker;
      member->mask = block->parts[i].mask;
      member->id = member_id (core, job, i);
      g_assert ((member->worker->foreign & member->mask) == 0);
      gr_member_allocate (core, member);
      g_hash_table_insert (core->members, member->id, member);
      gr_member_call (core, member, GR_COMMAND_GRANT);
    }
  gr_gang_activate (core, job);
  write_placements (job);
  gr_gang_set_phase (core, job, GR_PHASE_GRANTING);
  gr_job_record_changed (core, job);
}

void
gr_gang_free_attempt (struct gr_core *core, struct gr_core_job *job)
{
  struct gr_guarantee_slot *slot = job->guarantee_slot;

  for (uint32_t i = 0; i < job->n_members; i++)
    {
      g_assert (job->members[i].released);
      g_free (job->members[i].id);
      g_free (job->members[i].expected_worker);
    }
  g_clear_pointer (&job->members, g_free);
  job->n_members = 0;
  job->attained_ms = gr_attained_run_ms (core, job);
  job->running_since_ms = 0;
  job->guarantee_slot = NULL;
  job->pinned = false;
  if (slot != NULL)
    gr_guarantee_slot_release (core, slot);
  g_queue_unlink (&job->account->active, &job->account_link);
  job->in_active = false;
  core->jobs_running--;
}

static bool
may_have_run (const struct gr_core_job *job)
{
  return job->unthrottle_sent && !job->record.spec.idempotent;
}

void
gr_gang_release (struct gr_core *core, struct gr_core_job *job)
{
  gr_gang_set_phase (core, job, GR_PHASE_RELEASING);
  for (uint32_t i = 0; i < job->n_members; i++)
    if (job->members[i].lost)
      gr_member_released (core, &job->members[i]);
    else if (!job->members[i].released)
      gr_member_call (core, &job->members[i], GR_COMMAND_RELEASE);
}

/* Stops a non-idempotent job that may have run: it waits until the outcome of
 * each member is known. The job can no longer finish, so members are released
 * at once. A failed member keeps its lease, so that the worker's report shows
 * the failure to a new owner. */
static void
start_stop (struct gr_core *core, struct gr_core_job *job)
{
  gr_gang_set_phase (core, job, GR_PHASE_STOPPING);
  for (uint32_t i = 0; i < job->n_members; i++)
    if (job->members[i].lost)
      gr_member_released (core, &job->members[i]);
    else if (!job->members[i].failed)
      gr_member_call (core, &job->members[i], GR_COMMAND_RELEASE);
}

static void
start_checkpoint (struct gr_core *core, struct gr_core_job *job)
{
  gr_gang_set_phase (core, job, GR_PHASE_CHECKPOINTING);
  job->deadline_ms = core->now_ms + CHECKPOINT_WAIT_MS;
  job->checkpoint_sent_ms = core->now_ms;
  job->n_checkpointed = 0;
  for (uint32_t i = 0; i < job->n_members; i++)
    {
      job->members[i].checkpointed = job->members[i].finished;
      if (job->members[i].finished)
        job->n_checkpointed++;
      else
        gr_member_call (core, &job->members[i], GR_COMMAND_CHECKPOINT);
    }
}

void
gr_gang_stop (struct gr_core *core,
              struct gr_core_job *job,
              enum gr_stop_cause cause,
              const char *reason)
{
  bool stopping = job->phase >= GR_PHASE_STOPPING;

  g_assert (job->in_active);
  if (job->phase >= GR_PHASE_ENDING
      && gr_job_state_is_final (job->record.state))
    return;
  if (stopping || (job->cause != GR_STOP_NONE && cause <= job->cause))
    return;
  if (job->cause == GR_STOP_NONE)
    {
      job->record.state = GR_JOB_STOPPING;
      gr_job_record_changed (core, job);
    }
  job->cause = cause;
  g_strlcpy (job->record.reason, reason, sizeof job->record.reason);
  if (cause == GR_STOP_PREEMPT)
    {
      g_assert (job->record.spec.idempotent || !job->unthrottle_sent);
      core->preemptions++;
      if (job->record.spec.checkpointable && job->phase == GR_PHASE_RUNNING)
        {
          start_checkpoint (core, job);
          return;
        }
    }
  if (may_have_run (job))
    start_stop (core, job);
  else
    gr_gang_release (core, job);
}

/* Puts the job back into state accepted, after its attempt released all
 * accelerators. */
static void
run_again (struct gr_core *core, struct gr_core_job *job)
{
  bool aborted = job->cause == GR_STOP_ABORT;

  g_assert (!may_have_run (job));
  job->record.state = GR_JOB_ACCEPTED;
  g_clear_pointer (&job->record.placements, g_free);
  job->record.n_placements = 0;
  job->unthrottle_sent = false;
  if (aborted)
    job->not_before_ms = core->now_ms + ABORT_PAUSE_MS;
  else if (job->cause == GR_STOP_FAILED)
    job->not_before_ms = core->now_ms + gr_failure_pause_ms (job);
  gr_job_record_changed (core, job);
}

static void
conclude_failure (struct gr_core *core, struct gr_core_job *job)
{
  bool ran = job->record.started_unix_ms != 0;

  if (may_have_run (job))
    gr_job_end (core, job, GR_JOB_FAILED, "a task failed");
  else if (!gr_job_is_faulty (core, job))
    run_again (core, job);
  else if (ran)
    gr_job_end (core, job, GR_JOB_FAILED, "the job failed on several workers");
  else
    gr_job_end (core, job, GR_JOB_REFUSED,
                "several workers refused to start the job");
}

void
gr_gang_conclude (struct gr_core *core, struct gr_core_job *job)
{
  if (job->n_finished == job->n_members)
    gr_job_end (core, job, GR_JOB_FINISHED, "");
  else if (job->record.cancel_asked)
    gr_job_end (core, job, GR_JOB_CANCELLED, "cancelled by the client");
  else if (job->cause == GR_STOP_FAILED)
    conclude_failure (core, job);
  else if (may_have_run (job))
    gr_job_end (core, job, GR_JOB_MAY_HAVE_RUN, job->record.reason);
  else
    run_again (core, job);
}
