#include "sched/invariants.h"

#include "sched/tables.h"

/* Racks that each tick checks; a pool of 11,000 workers is covered in 86
 * ticks. */
#define RACKS_PER_TICK 16

/* Each accelerator has at most one holder, and the masks agree with the
 * holders. */
static void
check_worker (const struct gr_core_worker *worker)
{
  uint32_t held = 0;
  uint32_t pinned = 0;
  uint32_t slot_mask = 0;

  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      const struct gr_core_member *member = worker->holder[a];
      uint32_t bit = 1U << a;

      if (worker->guarantee_slot[a] != NULL)
        slot_mask |= bit;
      if (member == NULL)
        continue;
      held |= bit;
      g_assert (member->worker == worker);
      g_assert ((member->mask & bit) != 0);
      g_assert (!member->released);
      if (!member->job->pinned)
        continue;
      pinned |= bit;
      /* Non-preemptible work never runs in the block of an unused guarantee
       * slot. */
      g_assert (worker->guarantee_slot[a] == NULL
                || worker->guarantee_slot[a] == member->job->guarantee_slot
                || worker->guarantee_slot[a]->in_use > 0);
    }
  g_assert (held == worker->held);
  g_assert (pinned == worker->pinned);
  g_assert (slot_mask == worker->slot_mask);
  g_assert ((worker->claimed_guaranteed & ~worker->claimed) == 0);
}

/* A gang runs with all its members or not at all: no task is unthrottled before
 * all tasks have started and the record is durable in state running. */
static void
check_job (const struct gr_core_job *job)
{
  bool starting = job->phase == GR_PHASE_GRANTING
                  || job->phase == GR_PHASE_STARTING
                  || job->phase == GR_PHASE_COMMITTING;

  g_assert (job->in_active == (job->n_members > 0));
  g_assert (!(job->in_active && job->in_waiting));
  if (job->n_members == 0)
    return;
  g_assert (job->n_granted <= job->n_members);
  g_assert (job->n_settled <= job->n_members);
  if (starting)
    g_assert (!job->unthrottle_sent);
  if (job->phase == GR_PHASE_STARTING || job->phase == GR_PHASE_COMMITTING)
    g_assert (job->n_granted == job->n_members);
  if (job->phase == GR_PHASE_UNTHROTTLING || job->phase == GR_PHASE_RUNNING)
    {
      g_assert (job->n_started == job->n_members);
      g_assert (job->record.state == GR_JOB_RUNNING);
    }
  /* A non-idempotent job that may have run never waits for another start. */
  if (job->phase == GR_PHASE_WAITING)
    g_assert (!job->unthrottle_sent);
}

static void
check_slot (const struct gr_guarantee_slot *slot)
{
  if (slot->block.n == 0)
    {
      g_assert (slot->in_use == 0);
      return;
    }
  g_assert (slot->block.n == slot->shape.workers);
  for (uint32_t i = 0; i < slot->block.n; i++)
    {
      const struct gr_core_worker *worker = slot->block.parts[i].worker;
      uint32_t mask = slot->block.parts[i].mask;

      g_assert (gr_mask_count (mask) == slot->shape.accelerators_per_worker);
      g_assert (worker->usable || slot->in_use > 0);
      for (uint32_t a = 0; a < worker->accelerators; a++)
        if ((mask & (1U << a)) != 0)
          g_assert (worker->guarantee_slot[a] == slot);
    }
}

static void
check_account (const struct gr_core_account *account)
{
  uint32_t used = 0;
  uint32_t in_use = 0;
  uint32_t slots_used = 0;

  for (const GList *link = account->active.head; link != NULL;
       link = link->next)
    {
      const struct gr_core_job *job = link->data;

      for (uint32_t i = 0; i < job->n_members; i++)
        if (!job->members[i].released)
          used += gr_mask_count (job->members[i].mask);
      if (job->guarantee_slot != NULL)
        in_use++;
    }
  g_assert (used == account->used);
  for (uint32_t i = 0; i < account->guarantee_slots->len; i++)
    {
      const struct gr_guarantee_slot *slot =
          g_ptr_array_index (account->guarantee_slots, i);

      check_slot (slot);
      slots_used += slot->in_use;
    }
  /* Claims of waiting jobs use slots, too. */
  g_assert (in_use <= slots_used);
}

void
gr_core_check_all (const struct gr_core *core)
{
  GHashTableIter iter;
  void *value;
  uint32_t waiting = 0;
  uint32_t active = 0;

  g_hash_table_iter_init (&iter, core->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_worker (value);
  for (uint32_t i = 0; i < core->account_list->len; i++)
    check_account (g_ptr_array_index (core->account_list, i));
  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gr_core_job *job = value;

      check_job (job);
      waiting += job->in_waiting;
      active += job->in_active;
      g_assert (job->in_waiting == (job->phase == GR_PHASE_WAITING));
    }
  g_assert (waiting == core->jobs_waiting);
  g_assert (active == core->jobs_running);
}

void
gr_core_check_tick (struct gr_core *core)
{
  uint32_t n_racks = core->rack_list->len;

  for (const GList *link = core->steps.head; link != NULL; link = link->next)
    check_job (link->data);
  for (uint32_t i = 0; i < MIN (RACKS_PER_TICK, n_racks); i++)
    {
      const struct gr_core_rack *rack =
          g_ptr_array_index (core->rack_list, core->check_cursor++ % n_racks);

      for (uint32_t w = 0; w < rack->workers->len; w++)
        check_worker (g_ptr_array_index (rack->workers, w));
    }
  if (core->account_list->len > 0)
    check_account (g_ptr_array_index (
        core->account_list, core->check_cursor % core->account_list->len));
}
