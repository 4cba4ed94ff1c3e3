#include "sched/cells.h"
#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/learn.h"
#include "sched/place.h"
#include "sched/witness.h"

/* Limit of failed placements per account in one pass; the remaining jobs are
 * tried in a later pass. */
#define MAX_FAILED_PLACEMENTS 16

bool
gr_quota_allows (const struct gr_core_account *account, uint32_t n)
{
  uint32_t quota = account->settings.quota_accelerators;

  return quota == 0 || account->used + account->claimed + n <= quota;
}

static void
stop_holders (struct gr_core *core, const struct gr_block *block)
{
  for (uint32_t i = 0; i < block->n; i++)
    {
      const struct gr_core_worker *worker = block->parts[i].worker;

      for (uint32_t a = 0; a < worker->accelerators; a++)
        {
          struct gr_core_member *member = worker->holder[a];

          if ((block->parts[i].mask & (1U << a)) == 0 || member == NULL)
            continue;
          gr_gang_stop (core, member->job, GR_STOP_PREEMPT,
                        "preempted by other work");
        }
    }
}

void
gr_claim_and_stop (struct gr_core *core,
                   struct gr_core_job *job,
                   const struct gr_block *block,
                   struct gr_guarantee_slot *slot)
{
  gr_claim_set (core, job, block, slot);
  stop_holders (core, block);
}

static bool
all_usable (const struct gr_block *block)
{
  for (uint32_t i = 0; i < block->n; i++)
    if (!block->parts[i].worker->usable)
      return false;
  return true;
}

static bool
all_free (const struct gr_block *block)
{
  for (uint32_t i = 0; i < block->n; i++)
    {
      const struct gr_core_worker *worker = block->parts[i].worker;

      if (((worker->held | worker->foreign) & block->parts[i].mask) != 0)
        return false;
    }
  return true;
}

void
gr_start_ready_claims (struct gr_core *core)
{
  for (uint32_t i = core->claiming->len; i > 0; i--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->claiming, i - 1);

      if (!all_usable (&job->claim))
        gr_claim_drop (core, job);
      else if (core->durable && all_free (&job->claim))
        {
          struct gr_block block = job->claim;
          struct gr_guarantee_slot *slot = job->claim_slot;

          block.parts = g_memdup2 (block.parts, block.n * sizeof *block.parts);
          /* The claim counts against the quota until the job is placed. */
          gr_gang_place (core, job, &block, slot);
          gr_block_clear (&block);
        }
    }
}

/* True if the reserved block is free except for backfilled work, which can
 * be stopped, and work that is already stopping. */
static bool
is_reservation_ready (const struct gr_core *core, const struct gr_core_job *job)
{
  const struct gr_block *block = &job->reservation;

  for (uint32_t i = 0; i < block->n; i++)
    {
      const struct gr_core_worker *worker = block->parts[i].worker;
      uint32_t mask = block->parts[i].mask;

      if (((worker->foreign | worker->claimed | worker->pinned
            | gr_urgent_headroom_mask (core, worker, job))
           & mask)
          != 0)
        return false;
      for (uint32_t a = 0; a < worker->accelerators; a++)
        if ((mask & (1U << a)) != 0 && worker->holder[a] != NULL
            && !worker->holder[a]->job->backfilled
            && worker->holder[a]->job->phase < GR_PHASE_CHECKPOINTING)
          return false;
    }
  return true;
}

void
gr_claim_ready_reservations (struct gr_core *core)
{
  for (uint32_t i = core->reserving->len; i > 0; i--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->reserving, i - 1);
      bool ready = is_reservation_ready (core, job);

      if (!all_usable (&job->reservation)
          || (!ready && core->now_ms > job->reserved_start_ms))
        gr_reservation_drop (core, job);
      else if (core->durable && ready
               && gr_quota_allows (job->account,
                                   gr_block_accelerators (&job->reservation)
                                       + job->account->quota_demand))
        {
          struct gr_block block = job->reservation;

          block.parts = g_memdup2 (block.parts, block.n * sizeof *block.parts);
          gr_claim_and_stop (core, job, &block, NULL);
          gr_block_clear (&block);
        }
    }
}

void
gr_reserve_block (struct gr_core *core, struct gr_core_job *job)
{
  struct gr_search search;
  struct gr_block block = { 0, NULL };
  int64_t wait_ms = 0;

  gr_search_init_for_job (core, job, &search);
  search.mode = GR_SEARCH_RESERVE;
  if (!gr_search_all (core, &search, &block))
    return;
  for (uint32_t i = 0; i < block.n; i++)
    for (uint32_t a = 0; a < block.parts[i].worker->accelerators; a++)
      {
        const struct gr_core_member *member = block.parts[i].worker->holder[a];

        if ((block.parts[i].mask & (1U << a)) != 0 && member != NULL)
          wait_ms = MAX (wait_ms, gr_expected_remaining_ms (core, member->job));
      }
  gr_reservation_set (core, job, &block, core->now_ms + wait_ms);
  gr_block_clear (&block);
}

/* --- Guarantees --------------------------------------------------------- */

/* Accelerators of the borrowed work of the account, which its
 * guaranteed work may reclaim; being_freed gets those of jobs that are
 * already stopping. */
static uint32_t
count_borrowed (const struct gr_core_account *account, uint32_t *being_freed)
{
  uint32_t borrowed = 0;

  *being_freed = 0;
  for (GList *link = account->active.head; link != NULL; link = link->next)
    {
      const struct gr_core_job *job = link->data;

      if (!job->pinned)
        borrowed += job->held;
      if (job->phase >= GR_PHASE_CHECKPOINTING)
        *being_freed += job->held;
    }
  return borrowed;
}

static struct gr_core_job *
cheapest_to_preempt (const struct gr_core *core,
                     const struct gr_core_account *account)
{
  struct gr_core_job *best = NULL;
  int64_t best_loss = 0;

  for (GList *link = account->active.head; link != NULL; link = link->next)
    {
      struct gr_core_job *job = link->data;
      int64_t loss = gr_preemption_cost (core, job);

      if (job->pinned || job->phase >= GR_PHASE_CHECKPOINTING
          || (best != NULL && loss >= best_loss))
        continue;
      best = job;
      best_loss = loss;
    }
  return best;
}

/* Preempts borrowed work of the account if its quota does not cover both that
 * work and the guaranteed work. Until the guaranteed work is placed, the
 * account starts no more borrowed work. */
static void
preempt_for_quota (struct gr_core *core,
                   struct gr_core_account *account,
                   uint32_t n)
{
  uint32_t quota = account->settings.quota_accelerators;
  uint32_t being_freed;
  uint32_t borrowed = count_borrowed (account, &being_freed);

  if (account->used + account->claimed + n > quota + borrowed)
    return;
  account->quota_demand = n;
  while (account->used + account->claimed + n > quota + being_freed)
    {
      struct gr_core_job *job = cheapest_to_preempt (core, account);

      if (job == NULL)
        return;
      being_freed += job->held;
      gr_gang_stop (core, job, GR_STOP_PREEMPT,
                    "preempted by guaranteed work of the account");
    }
}

/* Places the job on the block, or claims the block, within the quota. */
static bool
place_or_claim (struct gr_core *core,
                struct gr_core_job *job,
                struct gr_guarantee_slot *slot,
                const struct gr_block *block)
{
  uint32_t n = gr_block_accelerators (block);

  /* The job may hold a claim on another block as borrowed work. */
  gr_claim_drop (core, job);
  if (!gr_quota_allows (job->account, n))
    {
      preempt_for_quota (core, job->account, n);
      return false;
    }
  gr_claims_drop_overlapping (core, block);
  if (all_free (block))
    gr_gang_place (core, job, block, slot);
  else
    gr_claim_and_stop (core, job, block, slot);
  return true;
}

static bool
place_in_slot (struct gr_core *core,
               struct gr_core_job *job,
               struct gr_guarantee_slot *slot,
               enum gr_search_mode mode)
{
  struct gr_search search;
  struct gr_block block = { 0, NULL };
  bool placed;

  if (slot->block.n == 0)
    return false;
  gr_search_init_for_job (core, job, &search);
  search.guarantee_slot = slot;
  search.mode = mode;
  placed = gr_search_in_slot (core, &search, &block)
           && place_or_claim (core, job, slot, &block);
  gr_block_clear (&block);
  return placed;
}

/* Moves an unused slot to the block with the lowest preemption cost. */
static bool
move_slot (struct gr_core *core,
           struct gr_guarantee_slot *slot,
           enum gr_search_mode mode)
{
  struct gr_search search;
  struct gr_block block = { 0, NULL };
  bool found;

  gr_search_init_for_slot (core, slot, &search);
  search.mode = mode;
  found = gr_search_all (core, &search, &block);
  if (found)
    gr_guarantee_slot_set_block (core, slot, &block);
  gr_block_clear (&block);
  return found;
}

/* One way to place a job in the guarantee slots of its account. */
struct slot_strategy
{
  enum gr_search_mode mode;
  bool in_use; /* consider slots in use, or unused ones */
  bool move;   /* an unused slot may move to another block */
};

/* Free accelerators come first, in slots that are in use before unused ones.
 * Then an unused slot is moved to free accelerators, then other work is
 * preempted, and last less urgent work of the account itself. */
static const struct slot_strategy strategies[] = {
  { GR_SEARCH_SLOT_FREE, true, false },
  { GR_SEARCH_SLOT_FREE, false, false },
  { GR_SEARCH_SLOT_FREE, false, true },
  { GR_SEARCH_SLOT_PREEMPT, false, true },
  { GR_SEARCH_SLOT_PREEMPT, true, false },
  { GR_SEARCH_SLOT_PREEMPT_OWN, true, false },
};

static bool
same_shape (const struct gr_guarantee_slot *a,
            const struct gr_guarantee_slot *b)
{
  return a->shape.workers == b->shape.workers
         && a->shape.accelerators_per_worker
                == b->shape.accelerators_per_worker;
}

static bool
try_slots (struct gr_core *core,
           struct gr_core_job *job,
           const struct slot_strategy *strategy)
{
  const GPtrArray *slots = job->account->guarantee_slots;
  const struct gr_guarantee_slot *failed = NULL;

  for (uint32_t i = 0; i < slots->len; i++)
    {
      struct gr_guarantee_slot *slot = g_ptr_array_index (slots, i);

      if (slot->block.n == 0 || (slot->in_use > 0) != strategy->in_use
          || !gr_job_fits_slot (core, &job->record.spec, slot)
          || (strategy->move && failed != NULL && same_shape (failed, slot)))
        continue;
      if (strategy->move && !move_slot (core, slot, strategy->mode))
        failed = slot;
      else if (place_in_slot (core, job, slot, strategy->mode))
        return true;
    }
  return false;
}

static bool
place_guaranteed_job (struct gr_core *core, struct gr_core_job *job)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (strategies); i++)
    if (try_slots (core, job, &strategies[i]))
      return true;
  return false;
}

static void
place_account (struct gr_core *core, struct gr_core_account *account)
{
  uint32_t n_failed = 0;

  account->quota_demand = 0;
  for (uint32_t priority = 0; priority < GR_N_PRIORITIES; priority++)
    {
      const struct gr_job_spec *failed = NULL;
      GSequenceIter *iter =
          g_sequence_get_begin_iter (account->waiting[priority]);

      while (!g_sequence_iter_is_end (iter) && n_failed < MAX_FAILED_PLACEMENTS
             && core->placed < GR_MAX_PLACED)
        {
          struct gr_core_job *job = g_sequence_get (iter);
          const struct gr_job_spec *spec = &job->record.spec;

          iter = g_sequence_iter_next (iter);
          if (job->claim_slot != NULL || job->not_before_ms > core->now_ms
              || (failed != NULL && failed->shape.workers <= spec->shape.workers
                  && failed->shape.accelerators_per_worker
                         <= spec->shape.accelerators_per_worker))
            continue;
          if (place_guaranteed_job (core, job))
            continue;
          failed = spec;
          n_failed++;
        }
    }
}

void
gr_place_guaranteed (struct gr_core *core)
{
  uint32_t n = core->account_list->len;

  /* The number of starts per tick is bounded, so each pass begins with
   * another account. */
  core->account_cursor++;
  for (uint32_t i = 0; i < n; i++)
    {
      struct gr_core_account *account = g_ptr_array_index (
          core->account_list, (core->account_cursor + i) % n);

      if (account->guarantee_slots->len > 0)
        place_account (core, account);
    }
}
