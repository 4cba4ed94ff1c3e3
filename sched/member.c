#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/quarantine.h"

#include <string.h>

/* True in phases in which the end of a member was not requested by the core. */
static bool
is_end_unexpected (const struct gr_core_job *job)
{
  return job->phase >= GR_PHASE_ADOPTING
         && job->phase <= GR_PHASE_CHECKPOINTING;
}

static void
set_and_count (struct gr_core *core,
               struct gr_core_member *member,
               bool *flag,
               uint32_t *counter)
{
  if (*flag)
    return;
  *flag = true;
  (*counter)++;
  gr_job_wake (core, member->job);
}

static void
settle (struct gr_core *core, struct gr_core_member *member)
{
  set_and_count (core, member, &member->settled, &member->job->n_settled);
}

void
gr_member_granted (struct gr_core *core, struct gr_core_member *member)
{
  member->lease_confirmed_ms = core->now_ms;
  member->lease_confirmed_active_ms = core->active_ms;
  set_and_count (core, member, &member->granted, &member->job->n_granted);
}

void
gr_member_started (struct gr_core *core, struct gr_core_member *member)
{
  gr_member_granted (core, member);
  set_and_count (core, member, &member->started, &member->job->n_started);
}

void
gr_member_unthrottled (struct gr_core *core, struct gr_core_member *member)
{
  gr_member_started (core, member);
  set_and_count (core, member, &member->unthrottled,
                 &member->job->n_unthrottled);
}

void
gr_member_checkpointed (struct gr_core *core, struct gr_core_member *member)
{
  if (member->job->phase == GR_PHASE_CHECKPOINTING)
    set_and_count (core, member, &member->checkpointed,
                   &member->job->n_checkpointed);
}

void
gr_member_finished (struct gr_core *core, struct gr_core_member *member)
{
  if (member->finished || member->settled)
    return;
  gr_member_unthrottled (core, member);
  gr_member_checkpointed (core, member);
  set_and_count (core, member, &member->finished, &member->job->n_finished);
  settle (core, member);
}

void
gr_member_stopped (struct gr_core *core, struct gr_core_member *member)
{
  if (member->settled)
    return;
  member->stopped = true;
  settle (core, member);
  if (is_end_unexpected (member->job))
    gr_gang_stop (core, member->job, GR_STOP_LOST,
                  "a task stopped unexpectedly");
}

/* The former owner counted a failure in the same commit as the stop of the
 * attempt, so its successor does not count it again. */
static bool
is_failure_counted (const struct gr_core_job *job)
{
  return job->phase == GR_PHASE_ADOPTING
         && job->record.state == GR_JOB_STOPPING;
}

void
gr_member_failed (struct gr_core *core, struct gr_core_member *member)
{
  struct gr_core_job *job = member->job;

  if (member->settled)
    return;
  member->failed = true;
  settle (core, member);
  if (!is_end_unexpected (job))
    return;
  if (member->worker != NULL)
    gr_worker_failed (core, member->worker, job, is_failure_counted (job));
  gr_gang_stop (core, job, GR_STOP_FAILED, "a task failed");
}

void
gr_member_lost (struct gr_core *core, struct gr_core_member *member)
{
  struct gr_core_job *job = member->job;

  if (!member->settled)
    {
      member->lost = true;
      settle (core, member);
      if (is_end_unexpected (job))
        gr_gang_stop (core, job,
                      job->phase >= GR_PHASE_UNTHROTTLING
                              || job->phase == GR_PHASE_ADOPTING
                          ? GR_STOP_LOST
                          : GR_STOP_ABORT,
                      "a member lost its lease");
    }
  gr_member_released (core, member);
}

void
gr_member_unreachable (struct gr_core *core, struct gr_core_member *member)
{
  struct gr_core_job *job = member->job;

  if (member->settled || !is_end_unexpected (job))
    return;
  gr_gang_stop (core, job,
                job->phase >= GR_PHASE_UNTHROTTLING ? GR_STOP_LOST
                                                    : GR_STOP_ABORT,
                "a worker stopped responding");
}

void
gr_member_released (struct gr_core *core, struct gr_core_member *member)
{
  struct gr_core_worker *worker = member->worker;
  struct gr_core_job *job = member->job;

  if (member->released
      || (job->phase != GR_PHASE_STOPPING && job->phase != GR_PHASE_RELEASING))
    return;
  job->account->used -= gr_mask_count (member->mask);
  g_hash_table_remove (core->members, member->id);
  if (worker != NULL)
    {
      for (uint32_t a = 0; a < worker->accelerators; a++)
        if (worker->holder[a] == member)
          worker->holder[a] = NULL;
      worker->held &= ~member->mask;
      if (job->record.spec.priority == GR_PRIORITY_URGENT)
        worker->last_urgent_ms = core->now_ms;
      if (worker->held == 0)
        gr_worker_busy_changed (core, worker);
      worker->pinned &= ~member->mask;
      if (worker->probing && job->probe)
        gr_worker_probe_ended (core, worker);
      gr_worker_capacity_changed (core, worker);
      core->slots_dirty = core->unplaced_slots->len > 0;
    }
  else
    gr_member_unbind (core, member);
  set_and_count (core, member, &member->released, &job->n_released);
}

/* --- Adoption ----------------------------------------------------------- */

void
gr_member_unbind (struct gr_core *core, struct gr_core_member *member)
{
  GPtrArray *list;

  if (member->expected_worker == NULL)
    return;
  list = g_hash_table_lookup (core->unbound, member->expected_worker);
  if (list != NULL)
    g_ptr_array_remove_fast (list, member);
  g_clear_pointer (&member->expected_worker, g_free);
}

static void
wait_for_report (struct gr_core *core,
                 struct gr_core_member *member,
                 const char *worker)
{
  GPtrArray *list = g_hash_table_lookup (core->unbound, worker);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (core->unbound, g_strdup (worker), list);
    }
  member->expected_worker = g_strdup (worker);
  g_ptr_array_add (list, member);
}

void
gr_gang_restore (struct gr_core *core, struct gr_core_job *job)
{
  const struct gr_job_record *record = &job->record;

  gr_gang_reset (job, record->n_placements);
  job->phase = GR_PHASE_ADOPTING;
  job->deadline_ms = core->now_ms + core->config.run_lease_term_ms;
  job->pinned = !record->spec.idempotent;
  /* Assumed until the reports show that the tasks are still throttled. */
  job->unthrottle_sent = true;
  for (uint32_t i = 0; i < record->n_placements; i++)
    {
      struct gr_core_member *member = &job->members[i];

      member->job = job;
      member->id = g_strdup (record->placements[i].lease);
      member->mask = record->placements[i].accelerators;
      member->latest_expiry_ms = core->now_ms + core->config.run_lease_term_ms;
      g_hash_table_insert (core->members, member->id, member);
      wait_for_report (core, member, record->placements[i].worker);
    }
  gr_gang_activate (core, job);
  gr_job_wake (core, job);
}

void
gr_member_bind (struct gr_core *core,
                struct gr_core_member *member,
                struct gr_core_worker *worker)
{
  if ((worker->held & member->mask) != 0 || (member->mask & ~worker->all) != 0)
    {
      gr_member_lost (core, member);
      return;
    }
  member->worker = worker;
  gr_member_allocate (core, member);
}
