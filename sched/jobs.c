#include "sched/jobs.h"

#include "sched/learn.h"
#include "sched/witness.h"

#include <string.h>

struct gr_core_job *
gr_job_create (struct gr_core *core, const struct gr_job_record *record)
{
  struct gr_core_job *job = g_new0 (struct gr_core_job, 1);

  gr_job_record_copy (&job->record, record);
  job->account = gr_account_get (core, record->spec.account);
  job->sequence = core->next_sequence++;
  job->account_link.data = job;
  job->step_link.data = job;
  job->commit_link.data = job;
  g_hash_table_insert (core->jobs, job->record.id, job);
  return job;
}

void
gr_job_record_changed (struct gr_core *core, struct gr_core_job *job)
{
  job->record.version++;
  if (job->in_commits)
    return;
  g_queue_push_tail_link (&core->commits, &job->commit_link);
  job->in_commits = true;
}

void
gr_job_wake (struct gr_core *core, struct gr_core_job *job)
{
  job->due = true;
  if (job->in_steps)
    return;
  g_queue_push_tail_link (&core->steps, &job->step_link);
  job->in_steps = true;
}

/* Class of a waiting job, by the run time it has attained or its expected
 * run time, whichever is longer. The baseline policies use one class. */
static uint32_t
waiting_class (const struct gr_core *core, const struct gr_core_job *job)
{
  int64_t expected = gr_expected_run_ms (core, &job->record.spec, 0.5);

  if (core->config.policy != GR_POLICY_DEFAULT)
    return 0;
  return gr_run_time_class (MAX (expected, job->attained_ms));
}

/* The FIFO policy ignores priorities. */
static GSequence *
queue_of (struct gr_core *core, const struct gr_core_job *job)
{
  if (core->config.policy == GR_POLICY_FIFO)
    return core->waiting[0][0];
  return core->waiting[job->record.spec.priority][job->class];
}

/* Order of submission. Preempted jobs keep their position. */
static int
compare_jobs (const void *a, const void *b, void *context)
{
  const struct gr_core_job *left = a;
  const struct gr_core_job *right = b;

  (void)context;
  if (left->record.submitted_unix_ms != right->record.submitted_unix_ms)
    return left->record.submitted_unix_ms < right->record.submitted_unix_ms ? -1
                                                                            : 1;
  return left->sequence < right->sequence ? -1 : 1;
}

void
gr_job_enqueue (struct gr_core *core, struct gr_core_job *job)
{
  enum gr_priority priority = job->record.spec.priority;

  g_assert (!job->in_waiting && !job->in_active && job->n_members == 0);
  job->class = waiting_class (core, job);
  job->phase = GR_PHASE_WAITING;
  job->waiting_since_ms = core->now_ms;
  job->in_waiting = true;
  job->waiting_iter =
      g_sequence_insert_sorted (queue_of (core, job), job, compare_jobs, NULL);
  job->account_iter = g_sequence_insert_sorted (job->account->waiting[priority],
                                                job, compare_jobs, NULL);
  core->jobs_waiting++;
  core->place_dirty = true;
}

void
gr_job_dequeue (struct gr_core *core, struct gr_core_job *job)
{
  g_assert (job->in_waiting);
  gr_reservation_drop (core, job);
  gr_claim_drop (core, job);
  g_sequence_remove (job->waiting_iter);
  g_sequence_remove (job->account_iter);
  job->in_waiting = false;
  core->jobs_waiting--;
}

void
gr_job_end (struct gr_core *core,
            struct gr_core_job *job,
            enum gr_job_state state,
            const char *reason)
{
  g_assert (gr_job_state_is_final (state));
  g_assert (!gr_job_state_is_final (job->record.state));
  job->record.state = state;
  /* A new owner has no wall-clock time before its first tick. */
  job->record.ended_unix_ms =
      MAX (core->unix_ms, job->record.submitted_unix_ms);
  g_strlcpy (job->record.reason, reason, sizeof job->record.reason);
  g_clear_pointer (&job->record.placements, g_free);
  job->record.n_placements = 0;
  if (job->in_waiting)
    {
      gr_job_dequeue (core, job);
      job->phase = GR_PHASE_ENDED;
    }
  gr_job_record_changed (core, job);
}

static struct gr_block
copy_block (const struct gr_block *block)
{
  struct gr_block copy = {
    block->n, g_memdup2 (block->parts, block->n * sizeof *block->parts)
  };

  return copy;
}

void
gr_claim_set (struct gr_core *core,
              struct gr_core_job *job,
              const struct gr_block *block,
              struct gr_guarantee_slot *slot)
{
  g_assert (job->claim.n == 0);
  gr_reservation_drop (core, job);
  job->claim = copy_block (block);
  job->claim_slot = slot;
  if (slot != NULL)
    gr_guarantee_slot_acquire (slot);
  for (uint32_t i = 0; i < block->n; i++)
    {
      struct gr_core_worker *worker = block->parts[i].worker;

      g_assert ((worker->claimed & block->parts[i].mask) == 0);
      worker->claimed |= block->parts[i].mask;
      if (slot != NULL)
        worker->claimed_guaranteed |= block->parts[i].mask;
      gr_worker_capacity_changed (core, worker);
    }
  job->account->claimed += gr_block_accelerators (block);
  g_ptr_array_add (core->claiming, job);
}

void
gr_claim_drop (struct gr_core *core, struct gr_core_job *job)
{
  if (job->claim.n == 0)
    return;
  for (uint32_t i = 0; i < job->claim.n; i++)
    {
      struct gr_core_worker *worker = job->claim.parts[i].worker;

      worker->claimed &= ~job->claim.parts[i].mask;
      worker->claimed_guaranteed &= ~job->claim.parts[i].mask;
      gr_worker_capacity_changed (core, worker);
    }
  job->account->claimed -= gr_block_accelerators (&job->claim);
  gr_block_clear (&job->claim);
  g_ptr_array_remove_fast (core->claiming, job);
  if (job->claim_slot != NULL)
    gr_guarantee_slot_release (core, job->claim_slot);
  job->claim_slot = NULL;
}

void
gr_claims_drop_overlapping (struct gr_core *core, const struct gr_block *block)
{
  for (uint32_t c = core->claiming->len; c > 0; c--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->claiming, c - 1);
      bool overlaps = false;

      for (uint32_t i = 0; i < job->claim.n && !overlaps; i++)
        for (uint32_t k = 0; k < block->n && !overlaps; k++)
          overlaps = job->claim.parts[i].worker == block->parts[k].worker
                     && (job->claim.parts[i].mask & block->parts[k].mask) != 0;
      if (overlaps)
        gr_claim_drop (core, job);
    }
}

static bool
has_worker (const struct gr_block *block, const struct gr_core_worker *worker)
{
  for (uint32_t i = 0; i < block->n; i++)
    if (block->parts[i].worker == worker)
      return true;
  return false;
}

void
gr_claims_drop_worker (struct gr_core *core,
                       const struct gr_core_worker *worker)
{
  for (uint32_t i = core->claiming->len; i > 0; i--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->claiming, i - 1);

      if (has_worker (&job->claim, worker))
        gr_claim_drop (core, job);
    }
  for (uint32_t i = core->reserving->len; i > 0; i--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->reserving, i - 1);

      if (has_worker (&job->reservation, worker))
        gr_reservation_drop (core, job);
    }
}

void
gr_reservation_suspend (struct gr_core_job *job)
{
  for (uint32_t i = 0; i < job->reservation.n; i++)
    job->reservation.parts[i].worker->reserved[job->record.spec.priority] &=
        ~job->reservation.parts[i].mask;
}

void
gr_reservation_resume (struct gr_core_job *job)
{
  for (uint32_t i = 0; i < job->reservation.n; i++)
    {
      const struct gr_block_part *part = &job->reservation.parts[i];
      uint32_t *reserved = &part->worker->reserved[job->record.spec.priority];

      g_assert ((*reserved & part->mask) == 0);
      *reserved |= part->mask;
    }
}

void
gr_reservation_set (struct gr_core *core,
                    struct gr_core_job *job,
                    const struct gr_block *block,
                    int64_t start_ms)
{
  g_assert (job->reservation.n == 0);
  job->reservation = copy_block (block);
  job->reserved_start_ms = start_ms;
  gr_reservation_resume (job);
  g_ptr_array_add (core->reserving, job);
}

void
gr_reservation_drop (struct gr_core *core, struct gr_core_job *job)
{
  if (job->reservation.n == 0)
    return;
  gr_reservation_suspend (job);
  for (uint32_t i = 0; i < job->reservation.n; i++)
    gr_worker_capacity_changed (core, job->reservation.parts[i].worker);
  gr_block_clear (&job->reservation);
  g_ptr_array_remove_fast (core->reserving, job);
}

struct gr_command *
gr_emit (struct gr_core *core,
         enum gr_command_kind kind,
         const struct gr_core_job *job,
         const struct gr_core_member *member)
{
  struct gr_command *command;
  guint index = core->out->len;

  g_array_set_size (core->out, index + 1);
  command = &g_array_index (core->out, struct gr_command, index);
  /* Fields are set one by one instead of clearing the struct: a command has 700
   * bytes, and a gang may emit 1024 of them. */
  command->kind = kind;
  command->worker[0] = '\0';
  command->lease[0] = '\0';
  command->task[0] = '\0';
  command->accelerators = 0;
  command->term_ms = 0;
  command->version = job->record.version;
  command->spec = NULL;
  g_strlcpy (command->job, job->record.id, sizeof command->job);
  if (member == NULL)
    return command;
  g_strlcpy (command->worker, member->worker->name, sizeof command->worker);
  g_strlcpy (command->lease, member->id, sizeof command->lease);
  g_strlcpy (command->task, member->id, sizeof command->task);
  command->accelerators = member->mask;
  return command;
}

void
gr_tick_commits (struct gr_core *core)
{
  GList *link;

  while ((link = g_queue_pop_head_link (&core->commits)) != NULL)
    {
      struct gr_core_job *job = link->data;

      job->in_commits = false;
      job->emitted_version = job->record.version;
      gr_emit (core, GR_COMMAND_COMMIT, job, NULL);
    }
}
