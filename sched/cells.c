#include "sched/cells.h"

#include "sched/learn.h"
#include "sched/windows.h"

#include <string.h>

/* How long the free accelerators of a worker are kept for urgent jobs after
 * urgent work started or ended on it. More urgent work usually follows within
 * seconds; reclaiming borrowed accelerators costs two extra calls to the worker
 * and loses the progress of the preempted work. */
#define URGENT_HEADROOM_MS 60000

static uint32_t
non_preemptible_mask (const struct gr_core *core,
                      const struct gr_core_worker *worker,
                      const struct gr_core_job *job)
{
  uint32_t mask = worker->pinned;
  const struct gr_core_member *last = NULL;

  for (uint32_t i = 0; i < worker->accelerators; i++)
    {
      const struct gr_core_member *member = worker->holder[i];

      if (member == NULL || member == last)
        continue;
      last = member;
      if (!gr_may_preempt (core, member->job, job))
        mask |= member->mask;
    }
  return mask;
}

/* Pinned accelerators, except those of idempotent, less urgent jobs that run
 * in the guarantee slot of the search. */
static uint32_t
pinned_mask (const struct gr_core_worker *worker,
             const struct gr_search *search)
{
  uint32_t mask = worker->pinned;

  g_assert (search->job != NULL);
  for (uint32_t i = 0; i < worker->accelerators; i++)
    {
      const struct gr_core_member *member = worker->holder[i];

      if (member != NULL
          && member->job->guarantee_slot == search->guarantee_slot
          && member->job->record.spec.idempotent
          && member->job->record.spec.priority
                 > search->job->record.spec.priority)
        mask &= ~(1U << i);
    }
  return mask;
}

static uint32_t
slot_mask_of (const struct gr_core_worker *worker,
              const struct gr_guarantee_slot *slot)
{
  uint32_t mask = 0;

  if (slot == NULL)
    return 0;
  for (uint32_t i = 0; i < worker->accelerators; i++)
    if (worker->guarantee_slot[i] == slot)
      mask |= 1U << i;
  return mask;
}

uint32_t
gr_urgent_headroom_mask (const struct gr_core *core,
                         const struct gr_core_worker *worker,
                         const struct gr_core_job *job)
{
  if (core->config.policy != GR_POLICY_DEFAULT || job == NULL
      || job->record.spec.priority == GR_PRIORITY_URGENT
      || worker->last_urgent_ms == 0
      || core->now_ms - worker->last_urgent_ms >= URGENT_HEADROOM_MS)
    return 0;
  return worker->all & ~worker->held;
}

/* A reservation excludes jobs of the same or a lower priority. */
static uint32_t
reserved_mask (const struct gr_core_worker *worker,
               const struct gr_core_job *job)
{
  uint32_t mask = 0;

  if (job == NULL)
    return 0;
  for (uint32_t p = 0; p <= (uint32_t)job->record.spec.priority; p++)
    mask |= worker->reserved[p];
  return mask;
}

static const struct gr_core_account *
account_of (const struct gr_search *search)
{
  if (search->job != NULL)
    return search->job->account;
  return search->guarantee_slot != NULL ? search->guarantee_slot->account
                                        : NULL;
}

static uint32_t
available_mask (const struct gr_core *core,
                const struct gr_core_worker *worker,
                const struct gr_search *search)
{
  uint32_t unavailable = 0;

  if (!worker->usable || gr_worker_is_closed_to (worker, account_of (search)))
    return 0;
  if (search->job != NULL && search->job->avoid_until_ms > core->now_ms
      && strcmp (search->job->failed_worker, worker->name) == 0)
    return 0;
  switch (search->mode)
    {
    case GR_SEARCH_FREE_OUTSIDE_SLOTS:
      unavailable = worker->held | worker->foreign | worker->claimed
                    | reserved_mask (worker, search->job) | worker->slot_mask;
      break;
    case GR_SEARCH_FREE:
      unavailable = worker->held | worker->foreign | worker->claimed
                    | reserved_mask (worker, search->job)
                    | gr_urgent_headroom_mask (core, worker, search->job);
      break;
    case GR_SEARCH_BACKFILL:
      unavailable = worker->held | worker->foreign | worker->claimed
                    | gr_urgent_headroom_mask (core, worker, search->job);
      break;
    case GR_SEARCH_SLOT_FREE:
      unavailable = worker->held | worker->foreign | worker->claimed
                    | (worker->slot_mask
                       & ~slot_mask_of (worker, search->guarantee_slot));
      break;
    case GR_SEARCH_SLOT_PREEMPT:
      unavailable = worker->pinned | worker->claimed_guaranteed
                    | (worker->slot_mask
                       & ~slot_mask_of (worker, search->guarantee_slot));
      break;
    case GR_SEARCH_SLOT_PREEMPT_OWN:
      unavailable = pinned_mask (worker, search) | worker->claimed_guaranteed;
      break;
    case GR_SEARCH_PREEMPT:
      unavailable = worker->claimed | worker->foreign
                    | reserved_mask (worker, search->job)
                    | gr_urgent_headroom_mask (core, worker, search->job)
                    | non_preemptible_mask (core, worker, search->job);
      break;
    case GR_SEARCH_RESERVE:
      unavailable = worker->claimed | worker->foreign
                    | reserved_mask (worker, search->job);
      break;
    }
  return worker->all & ~unavailable;
}

/* Size of the largest free aligned block that contains the block of size
 * align at offset. */
static uint32_t
buddy_size (uint32_t free, uint32_t offset, uint32_t align, uint32_t limit)
{
  uint32_t size = align;

  while (size * 2 <= MIN (limit, GR_MAX_ACCELERATORS))
    {
      uint32_t start = offset / (size * 2) * (size * 2);
      uint32_t block = ((1U << (size * 2)) - 1) << start;

      if ((free & block) != block)
        break;
      size *= 2;
    }
  return size;
}

/* Cost of using accelerators that are held. For a reservation it is the
 * longest time in ms until a holder ends, else the sum of the
 * preemption costs. */
static int64_t
block_cost (const struct gr_core *core,
            const struct gr_core_worker *worker,
            const struct gr_search *search,
            uint32_t mask)
{
  const struct gr_core_member *last = NULL;
  int64_t cost = 0;

  for (uint32_t i = 0; i < worker->accelerators; i++)
    {
      const struct gr_core_member *member = worker->holder[i];

      if ((mask & (1U << i)) == 0 || member == NULL || member == last)
        continue;
      last = member;
      if (search->mode == GR_SEARCH_RESERVE)
        cost = MAX (cost, gr_expected_remaining_ms (core, member->job));
      else
        cost += gr_preemption_cost (core, member->job);
    }
  return cost;
}

/* The score is cost * 64 plus the size by which the free buddy block around
 * the candidate exceeds it, so that large free blocks are kept whole. */
bool
gr_best_block (const struct gr_core *core,
               const struct gr_core_worker *worker,
               const struct gr_search *search,
               uint32_t within,
               struct gr_candidate *best)
{
  uint32_t need = search->need[worker->type];
  uint32_t free = available_mask (core, worker, search) & within;
  bool has_cost = search->mode >= GR_SEARCH_SLOT_PREEMPT;
  uint32_t align;
  bool found = false;

  if (need == 0 || gr_mask_count (free) < need)
    return false;
  align = gr_block_align (need);
  for (uint32_t offset = 0; offset + need <= worker->accelerators;
       offset += align)
    {
      uint32_t mask = ((1U << need) - 1) << offset;
      int64_t cost = 0;
      int64_t score;

      if ((free & mask) != mask)
        continue;
      if (has_cost && (worker->held & mask) != 0)
        cost = block_cost (core, worker, search, mask);
      score = cost * 64
              + buddy_size (free & ~worker->held, offset, align,
                            worker->accelerators)
              - align;
      if (found && score >= best->score)
        continue;
      best->mask = mask;
      best->score = score;
      found = true;
    }
  return found;
}

void
gr_block_resize (struct gr_block *block, uint32_t n)
{
  gr_block_clear (block);
  block->parts = g_new0 (struct gr_block_part, n);
  block->n = n;
}

static uint32_t
min_need (const struct gr_core *core, const struct gr_search *search)
{
  uint32_t need = 0;

  for (uint32_t i = 0; i < core->n_types; i++)
    if (search->need[i] != 0 && (need == 0 || search->need[i] < need))
      need = search->need[i];
  return need;
}

uint32_t
gr_first_rack (struct gr_core *core, const struct gr_search *search)
{
  if (search->mode < GR_SEARCH_SLOT_PREEMPT || core->rack_list->len == 0
      || g_hash_table_size (core->workers) <= GR_MAX_COSTLY_CANDIDATES)
    return search->first_rack;
  core->search_cursor = (core->search_cursor + 97) % core->rack_list->len;
  return core->search_cursor;
}

struct gr_core_rack *
gr_rack_at (const struct gr_core *core, uint32_t index)
{
  return g_ptr_array_index (core->rack_list, index % core->rack_list->len);
}

/* Lower bound of the scores of the rack's workers; -1 if none of them has a
 * free block. Modes that may use held accelerators have no useful bound: 0. */
int64_t
gr_rack_min_score (const struct gr_core *core,
                   const struct gr_search *search,
                   struct gr_core_rack *rack)
{
  uint32_t align = gr_block_align (min_need (core, search));
  uint32_t sizes;

  if (search->mode >= GR_SEARCH_SLOT_PREEMPT)
    return 0;
  gr_rack_refresh (rack);
  sizes = search->mode == GR_SEARCH_FREE_OUTSIDE_SLOTS ? rack->outside_sizes
                                                       : rack->free_sizes;
  sizes &= ~(align - 1);
  return sizes == 0 ? -1 : (int64_t)(sizes & -sizes) - align;
}

static bool
search_single (struct gr_core *core,
               const struct gr_search *search,
               struct gr_block *block)
{
  struct gr_core_worker *best_worker = NULL;
  struct gr_candidate best = { 0, 0 };
  bool free_only = search->mode < GR_SEARCH_SLOT_PREEMPT;
  uint32_t first = gr_first_rack (core, search);
  uint32_t candidates = 0;

  for (uint32_t r = 0; r < core->rack_list->len; r++)
    {
      struct gr_core_rack *rack = gr_rack_at (core, first + r);
      int64_t bound = gr_rack_min_score (core, search, rack);

      if (bound < 0 || (best_worker != NULL && bound >= best.score))
        continue;
      for (uint32_t i = 0; i < rack->workers->len; i++)
        {
          struct gr_core_worker *worker = g_ptr_array_index (rack->workers, i);
          struct gr_candidate found;

          if (!gr_best_block (core, worker, search, UINT32_MAX, &found))
            continue;
          candidates++;
          if (best_worker != NULL && found.score >= best.score)
            continue;
          best = found;
          best_worker = worker;
          if (best.score == 0 || search->first_fit)
            break;
        }
      if (best_worker != NULL && (best.score == 0 || search->first_fit))
        break;
      if (!free_only && candidates >= GR_MAX_COSTLY_CANDIDATES)
        break;
    }
  if (best_worker == NULL)
    return false;
  gr_block_resize (block, 1);
  block->parts[0].worker = best_worker;
  block->parts[0].mask = best.mask;
  return true;
}

bool
gr_search_all (struct gr_core *core,
               const struct gr_search *search,
               struct gr_block *block)
{
  if (search->shape.workers == 1)
    return search_single (core, search, block);
  if (search->shape.workers <= core->max_rack_workers)
    return gr_search_rack (core, search, block);
  return gr_search_racks (core, search, block);
}
