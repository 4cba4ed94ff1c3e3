#include "sched/gang.h"

/* Workers are renewed in a ring of time slots; one turn takes a third of the
 * run lease term. All leases of a worker are renewed in the same tick, so that
 * they share one call. */

static void
insert (struct gr_core *core, struct gr_core_worker *worker, int64_t slot)
{
  worker->renew_slot = (uint32_t)(slot % GR_RENEW_SLOTS);
  g_queue_push_tail_link (&core->renewals[worker->renew_slot],
                          &worker->renew_link);
  worker->in_renew = true;
}

void
gr_renew_add (struct gr_core *core, struct gr_core_worker *worker)
{
  if (worker->in_renew)
    return;
  insert (core, worker,
          core->renew_done + 1
              + g_rand_int_range (core->rand, 0, GR_RENEW_SLOTS - 1));
}

/* Delay before a renewal that was held back is tried again. */
#define RETRY_SLOTS 4

/* A member of a gang may have been lost while no worker was heard. The others
 * are renewed only after all have been heard again, so that such a gang ends
 * within the term that its leases had. */
static bool
may_renew (const struct gr_core *core, const struct gr_core_job *job)
{
  if (job->n_members == 1)
    return true;
  if (core->unheard_ms > core->config.call_timeout_ms)
    return false;
  if (core->now_ms - core->heard_since_ms >= core->config.run_lease_term_ms)
    return true;
  for (uint32_t i = 0; i < job->n_members; i++)
    if (job->members[i].worker != NULL
        && job->members[i].worker->last_contact_ms < core->heard_since_ms)
      return false;
  return true;
}

/* Renews the leases of running work; false if the worker runs none. */
static bool
renew_worker (struct gr_core *core,
              struct gr_core_worker *worker,
              bool *held_back)
{
  const struct gr_core_member *last = NULL;
  bool any = false;

  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      struct gr_core_member *member = worker->holder[a];

      if (member == NULL || member == last)
        continue;
      last = member;
      if (member->job->phase != GR_PHASE_RUNNING
          && member->job->phase != GR_PHASE_CHECKPOINTING
          && member->job->phase != GR_PHASE_ENDING)
        continue;
      any = true;
      if (!may_renew (core, member->job))
        *held_back = true;
      else if (!member->lost && !member->failed && !member->stopped)
        gr_member_renew (core, member, core->config.run_lease_term_ms);
    }
  return any;
}

void
gr_tick_renewals (struct gr_core *core)
{
  int64_t slot = core->now_ms / core->renew_slot_ms;

  if (slot - core->renew_done > GR_RENEW_SLOTS)
    core->renew_done = slot - GR_RENEW_SLOTS;
  while (core->renew_done < slot)
    {
      GQueue due;
      GList *link;

      core->renew_done++;
      due = core->renewals[core->renew_done % GR_RENEW_SLOTS];
      g_queue_init (&core->renewals[core->renew_done % GR_RENEW_SLOTS]);
      while ((link = g_queue_pop_head_link (&due)) != NULL)
        {
          struct gr_core_worker *worker = link->data;
          bool held_back = false;

          worker->in_renew = false;
          if (renew_worker (core, worker, &held_back))
            insert (core, worker,
                    core->renew_done
                        + (held_back ? RETRY_SLOTS : GR_RENEW_SLOTS));
        }
    }
}
