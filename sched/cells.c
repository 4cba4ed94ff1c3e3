#include "sched/cells.h"

#include "sched/learn.h"
#include "sched/windows.h"

#include <string.h>

/* Urgent work comes back within seconds. A cell that is lent in between must
 * be taken back by stopping work, which costs two more calls to the worker and
 * what that work has done. */
#define KEEP_MS 60000

static uint32_t
unstoppable_mask (const struct gr_core *core,
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
      if (!gr_gives_way (core, member->job, job))
        mask |= member->mask;
    }
  return mask;
}

/* Pinned accelerators, less those of less urgent work of the same unit. */
static uint32_t
pinned_for (const struct gr_core_worker *worker, const struct gr_search *search)
{
  uint32_t mask = worker->pinned;

  g_assert (search->job != NULL);
  for (uint32_t i = 0; i < worker->accelerators; i++)
    {
      const struct gr_core_member *member = worker->holder[i];

      if (member != NULL && member->job->unit == search->unit
          && member->job->record.spec.idempotent
          && member->job->record.spec.priority
                 > search->job->record.spec.priority)
        mask &= ~(1U << i);
    }
  return mask;
}

static uint32_t
own_unit_mask (const struct gr_core_worker *worker,
               const struct gr_core_unit *unit)
{
  uint32_t mask = 0;

  if (unit == NULL)
    return 0;
  for (uint32_t i = 0; i < worker->accelerators; i++)
    if (worker->unit[i] == unit)
      mask |= 1U << i;
  return mask;
}

uint32_t
gr_kept_mask (const struct gr_core *core,
              const struct gr_core_worker *worker,
              const struct gr_core_job *job)
{
  if (core->config.policy != GR_POLICY_DEFAULT || job == NULL
      || job->record.spec.priority == GR_PRIORITY_URGENT
      || worker->urgent_ms == 0 || core->now_ms - worker->urgent_ms >= KEEP_MS)
    return 0;
  return worker->all & ~worker->held;
}

/* Reservations bind work of the same and of lower priorities. */
static uint32_t
reserved_mask (const struct gr_core_worker *worker,
               const struct gr_core_job *job)
{
  uint32_t mask = 0;

  if (job == NULL)
    return 0;
  for (uint32_t p = 0; p <= (uint32_t)job->record.spec.priority; p++)
    mask |= worker->soft[p];
  return mask;
}

static uint32_t
available (const struct gr_core *core,
           const struct gr_core_worker *worker,
           const struct gr_search *search)
{
  uint32_t taken = 0;

  if (!worker->usable)
    return 0;
  if (search->job != NULL && search->job->avoid_until_ms > core->now_ms
      && strcmp (search->job->failed_worker, worker->name) == 0)
    return 0;
  switch (search->mode)
    {
    case GR_SEARCH_FREE_OUTSIDE:
      taken = worker->held | worker->foreign | worker->claimed
              | reserved_mask (worker, search->job) | worker->in_unit;
      break;
    case GR_SEARCH_FREE:
      taken = worker->held | worker->foreign | worker->claimed
              | reserved_mask (worker, search->job)
              | gr_kept_mask (core, worker, search->job);
      break;
    case GR_SEARCH_BACKFILL:
      taken = worker->held | worker->foreign | worker->claimed
              | gr_kept_mask (core, worker, search->job);
      break;
    case GR_SEARCH_UNIT_FREE:
      taken = worker->held | worker->foreign | worker->claimed
              | (worker->in_unit & ~own_unit_mask (worker, search->unit));
      break;
    case GR_SEARCH_UNIT:
      taken = worker->pinned | worker->firm
              | (worker->in_unit & ~own_unit_mask (worker, search->unit));
      break;
    case GR_SEARCH_OWN:
      taken = pinned_for (worker, search) | worker->firm;
      break;
    case GR_SEARCH_PREEMPT:
      taken = worker->claimed | worker->foreign
              | reserved_mask (worker, search->job)
              | gr_kept_mask (core, worker, search->job)
              | unstoppable_mask (core, worker, search->job);
      break;
    case GR_SEARCH_RESERVE:
      taken = worker->claimed | worker->foreign
              | reserved_mask (worker, search->job);
      break;
    }
  return worker->all & ~taken;
}

/* Size of the largest aligned free block around the given one. */
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

/* Victims cost what stopping them loses; reservations cost waiting time. */
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
        cost = MAX (cost, gr_expected_rest_ms (core, member->job));
      else
        cost += gr_loss_of_stop (core, member->job);
    }
  return cost;
}

/* Best aligned block of the worker for the search. The score puts the cost
 * first, then the size of the buddy block that is broken up. */
bool
gr_best_block (const struct gr_core *core,
               const struct gr_core_worker *worker,
               const struct gr_search *search,
               uint32_t within,
               struct gr_candidate *best)
{
  uint32_t need = search->need[worker->type];
  uint32_t free = available (core, worker, search) & within;
  bool may_cost = search->mode >= GR_SEARCH_UNIT;
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
      if (may_cost && (worker->held & mask) != 0)
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
gr_cell_set (struct gr_cell *cell, uint32_t n)
{
  gr_cell_clear (cell);
  cell->parts = g_new0 (struct gr_cell_part, n);
  cell->n = n;
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
  if (search->mode < GR_SEARCH_UNIT || core->rack_list->len == 0
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

/* The least score that a worker of the rack can have; -1 if none has a block.
 * Other modes than those for free accelerators are not bounded. */
int64_t
gr_rack_bound (const struct gr_core *core,
               const struct gr_search *search,
               struct gr_core_rack *rack)
{
  uint32_t align = gr_block_align (min_need (core, search));
  uint32_t sizes;

  if (search->mode >= GR_SEARCH_UNIT)
    return 0;
  gr_rack_refresh (rack);
  sizes = search->mode == GR_SEARCH_FREE_OUTSIDE ? rack->outside_sizes
                                                 : rack->free_sizes;
  sizes &= ~(align - 1);
  return sizes == 0 ? -1 : (int64_t)(sizes & -sizes) - align;
}

static bool
search_single (struct gr_core *core,
               const struct gr_search *search,
               struct gr_cell *cell)
{
  struct gr_core_worker *best_worker = NULL;
  struct gr_candidate best = { 0, 0 };
  bool only_free = search->mode < GR_SEARCH_UNIT;
  uint32_t first = gr_first_rack (core, search);
  uint32_t candidates = 0;

  for (uint32_t r = 0; r < core->rack_list->len; r++)
    {
      struct gr_core_rack *rack = gr_rack_at (core, first + r);
      int64_t bound = gr_rack_bound (core, search, rack);

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
      if (!only_free && candidates >= GR_MAX_COSTLY_CANDIDATES)
        break;
    }
  if (best_worker == NULL)
    return false;
  gr_cell_set (cell, 1);
  cell->parts[0].worker = best_worker;
  cell->parts[0].mask = best.mask;
  return true;
}

bool
gr_search_all (struct gr_core *core,
               const struct gr_search *search,
               struct gr_cell *cell)
{
  if (search->shape.workers == 1)
    return search_single (core, search, cell);
  if (search->shape.workers <= core->max_rack_workers)
    return gr_search_rack (core, search, cell);
  return gr_search_racks (core, search, cell);
}
