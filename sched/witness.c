#include "sched/witness.h"

#include "sched/cells.h"
#include "sched/jobs.h"

/* Minimum time between two repacks, because a repack searches the pool once
 * for each slot. */
#define REPACK_PAUSE_MS 10000

void
gr_guarantee_slot_free (struct gr_guarantee_slot *slot)
{
  gr_block_clear (&slot->block);
  g_free (slot);
}

static void
assign_block (struct gr_core *core,
              const struct gr_block *block,
              struct gr_guarantee_slot *from,
              struct gr_guarantee_slot *to)
{
  for (uint32_t i = 0; i < block->n; i++)
    {
      struct gr_core_worker *worker = block->parts[i].worker;
      uint32_t mask = block->parts[i].mask;

      for (uint32_t a = 0; a < worker->accelerators; a++)
        if ((mask & (1U << a)) != 0)
          {
            g_assert (worker->guarantee_slot[a] == from);
            worker->guarantee_slot[a] = to;
          }
      if (to != NULL)
        worker->slot_mask |= mask;
      else
        worker->slot_mask &= ~mask;
      gr_worker_capacity_changed (core, worker);
    }
}

static void
clear_block (struct gr_core *core, struct gr_guarantee_slot *slot)
{
  assign_block (core, &slot->block, slot, NULL);
  gr_block_clear (&slot->block);
}

static void
unplace_slot (struct gr_core *core, struct gr_guarantee_slot *slot)
{
  g_assert (slot->in_use == 0);
  if (slot->block.n == 0)
    return;
  clear_block (core, slot);
  g_ptr_array_add (core->unplaced_slots, slot);
  core->slots_dirty = true;
}

void
gr_guarantee_slot_set_block (struct gr_core *core,
                             struct gr_guarantee_slot *slot,
                             const struct gr_block *block)
{
  struct gr_block copy = {
    block->n, g_memdup2 (block->parts, block->n * sizeof *block->parts)
  };

  g_assert (slot->in_use == 0 && block->n == slot->shape.workers);
  if (slot->block.n > 0)
    clear_block (core, slot);
  else
    g_ptr_array_remove_fast (core->unplaced_slots, slot);
  slot->block = copy;
  assign_block (core, &slot->block, NULL, slot);
}

void
gr_guarantee_slot_acquire (struct gr_guarantee_slot *slot)
{
  g_assert (slot->block.n > 0);
  slot->in_use++;
}

void
gr_guarantee_slot_release (struct gr_core *core, struct gr_guarantee_slot *slot)
{
  g_assert (slot->in_use > 0);
  slot->in_use--;
  core->slots_dirty = true;
  if (slot->in_use > 0)
    return;
  for (uint32_t i = 0; i < slot->block.n; i++)
    if (!slot->block.parts[i].worker->usable
        || gr_worker_is_closed_to (slot->block.parts[i].worker, slot->account))
      {
        unplace_slot (core, slot);
        return;
      }
}

static int
compare_sizes (const void *a, const void *b)
{
  const struct gr_guarantee_slot *const *left = a;
  const struct gr_guarantee_slot *const *right = b;
  uint32_t left_size =
      (*left)->shape.workers * (*left)->shape.accelerators_per_worker;
  uint32_t right_size =
      (*right)->shape.workers * (*right)->shape.accelerators_per_worker;

  if (left_size != right_size)
    return left_size < right_size ? -1 : 1;
  return 0;
}

static struct gr_guarantee_slot *
slot_create (struct gr_core *core,
             struct gr_core_account *account,
             const struct gr_shape *shape)
{
  struct gr_guarantee_slot *slot = g_new0 (struct gr_guarantee_slot, 1);

  slot->account = account;
  slot->shape = *shape;
  g_ptr_array_add (account->guarantee_slots, slot);
  g_ptr_array_add (core->unplaced_slots, slot);
  return slot;
}

/* Jobs in a removed slot continue without it: they become preemptible,
 * unless they are non-idempotent. */
static void
slot_remove (struct gr_core *core, struct gr_guarantee_slot *slot)
{
  for (GList *link = slot->account->active.head; link; link = link->next)
    {
      struct gr_core_job *job = link->data;

      if (job->guarantee_slot != slot)
        continue;
      job->guarantee_slot = NULL;
      job->pinned = !job->record.spec.idempotent;
      for (uint32_t i = 0; i < job->n_members; i++)
        {
          struct gr_core_member *member = &job->members[i];

          if (member->worker != NULL && !member->released && !job->pinned)
            member->worker->pinned &= ~member->mask;
        }
    }
  for (uint32_t i = core->claiming->len; i > 0; i--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->claiming, i - 1);

      if (job->claim_slot == slot)
        gr_claim_drop (core, job);
    }
  slot->in_use = 0;
  if (slot->block.n > 0)
    clear_block (core, slot);
  else
    g_ptr_array_remove_fast (core->unplaced_slots, slot);
  gr_guarantee_slot_free (slot);
}

void
gr_guarantee_slots_configure (struct gr_core *core,
                              struct gr_core_account *account,
                              const struct gr_account_settings *settings)
{
  GPtrArray *old = account->guarantee_slots;

  account->guarantee_slots = g_ptr_array_new ();
  for (uint32_t g = 0; g < settings->n_guarantees; g++)
    {
      const struct gr_guarantee *guarantee = &settings->guarantees[g];

      if (g_strcmp0 (guarantee->data_centre, core->config.data_centre) != 0
          && guarantee->data_centre[0] != '\0')
        continue;
      for (uint32_t c = 0; c < guarantee->count; c++)
        {
          struct gr_guarantee_slot *kept = NULL;

          for (uint32_t i = 0; i < old->len && kept == NULL; i++)
            {
              struct gr_guarantee_slot *slot = g_ptr_array_index (old, i);

              if (slot->shape.workers == guarantee->shape.workers
                  && slot->shape.accelerators_per_worker
                         == guarantee->shape.accelerators_per_worker)
                kept = slot;
            }
          if (kept == NULL)
            slot_create (core, account, &guarantee->shape);
          else
            {
              g_ptr_array_remove (old, kept);
              g_ptr_array_add (account->guarantee_slots, kept);
            }
        }
    }
  for (uint32_t i = 0; i < old->len; i++)
    slot_remove (core, g_ptr_array_index (old, i));
  /* Small jobs take the smallest slot that they fit into. */
  g_ptr_array_sort (account->guarantee_slots, compare_sizes);
  g_ptr_array_free (old, TRUE);
  core->slots_dirty = true;
  core->next_repack_ms = 0;
  core->place_dirty = true;
}

void
gr_guarantee_slots_worker_changed (struct gr_core *core,
                                   struct gr_core_worker *worker)
{
  core->slots_dirty = true;
  core->next_repack_ms = 0;
  if (worker->usable)
    return;
  for (uint32_t a = 0; a < worker->accelerators; a++)
    if (worker->guarantee_slot[a] != NULL
        && worker->guarantee_slot[a]->in_use == 0)
      unplace_slot (core, worker->guarantee_slot[a]);
}

void
gr_guarantee_slots_worker_closed (struct gr_core *core,
                                  struct gr_core_worker *worker,
                                  const struct gr_core_account *account)
{
  core->slots_dirty = true;
  core->next_repack_ms = 0;
  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      struct gr_guarantee_slot *slot = worker->guarantee_slot[a];

      if (slot != NULL && slot->account == account && slot->in_use == 0)
        unplace_slot (core, slot);
    }
}

/* Unplaces the other unused slots whose blocks overlap the part. */
static void
unplace_overlapping (struct gr_core *core,
                     const struct gr_block_part *part,
                     const struct gr_guarantee_slot *except)
{
  for (uint32_t a = 0; a < part->worker->accelerators; a++)
    {
      struct gr_guarantee_slot *slot = part->worker->guarantee_slot[a];

      if ((part->mask & (1U << a)) != 0 && slot != NULL && slot != except
          && slot->in_use == 0)
        unplace_slot (core, slot);
    }
}

/* Computes the block of the slot's shape around the first member of the job;
 * false if there is no such block. The caller checks that it covers the job and
 * is available, and frees it also on failure. */
static bool
block_around_job (const struct gr_core_job *job,
                  const struct gr_guarantee_slot *slot,
                  struct gr_block *block)
{
  const struct gr_core_worker *first = job->members[0].worker;
  uint32_t size = slot->shape.accelerators_per_worker;
  uint32_t align = gr_block_align (size);
  uint32_t offset =
      (uint32_t)__builtin_ctz (job->members[0].mask) / align * align;
  uint32_t mask = ((1U << size) - 1) << offset;
  uint32_t from = 0;

  if (offset + size > first->accelerators)
    return false;
  while (g_ptr_array_index (first->rack->workers, from) != first)
    from++;
  if (slot->shape.workers > first->rack->workers->len)
    return false;
  from = MIN (from, first->rack->workers->len - slot->shape.workers);
  block->n = slot->shape.workers;
  block->parts = g_new0 (struct gr_block_part, block->n);
  for (uint32_t i = 0; i < block->n; i++)
    {
      struct gr_core_worker *worker =
          g_ptr_array_index (first->rack->workers, from + i);

      block->parts[i].worker = worker;
      block->parts[i].mask = mask;
      if ((worker->all & mask) != mask
          || (i > 0
              && worker->rack_slot
                     != block->parts[i - 1].worker->rack_slot + 1))
        return false;
    }
  return true;
}

static bool
block_covers_job (const struct gr_block *block, const struct gr_core_job *job)
{
  for (uint32_t m = 0; m < job->n_members; m++)
    {
      const struct gr_core_member *member = &job->members[m];
      bool inside = false;

      for (uint32_t i = 0; i < block->n && !inside; i++)
        inside = block->parts[i].worker == member->worker
                 && (member->mask & ~block->parts[i].mask) == 0;
      if (!inside)
        return false;
    }
  return true;
}

/* True if no slot in use and no pinned work of other jobs overlaps the
 * block. */
static bool
is_block_available (const struct gr_block *block, const struct gr_core_job *job)
{
  for (uint32_t i = 0; i < block->n; i++)
    {
      const struct gr_core_worker *worker = block->parts[i].worker;

      for (uint32_t a = 0; a < worker->accelerators; a++)
        {
          if ((block->parts[i].mask & (1U << a)) == 0)
            continue;
          if (worker->guarantee_slot[a] != NULL
              && worker->guarantee_slot[a]->in_use > 0)
            return false;
          if ((worker->pinned & (1U << a)) != 0
              && (worker->holder[a] == NULL || worker->holder[a]->job != job))
            return false;
        }
    }
  return true;
}

struct gr_guarantee_slot *
gr_guarantee_slot_find_for_adopted (struct gr_core *core,
                                    struct gr_core_job *job)
{
  const GPtrArray *slots = job->account->guarantee_slots;

  for (uint32_t i = 0; i < slots->len; i++)
    {
      struct gr_guarantee_slot *slot = g_ptr_array_index (slots, i);

      if (slot->in_use > 0 && block_covers_job (&slot->block, job))
        return slot;
    }
  for (uint32_t i = 0; i < slots->len; i++)
    {
      struct gr_guarantee_slot *slot = g_ptr_array_index (slots, i);
      struct gr_block block = { 0, NULL };
      bool taken = false;

      if (slot->in_use == 0 && gr_job_fits_slot (core, &job->record.spec, slot)
          && block_around_job (job, slot, &block)
          && block_covers_job (&block, job) && is_block_available (&block, job))
        {
          for (uint32_t p = 0; p < block.n; p++)
            unplace_overlapping (core, &block.parts[p], slot);
          gr_guarantee_slot_set_block (core, slot, &block);
          taken = true;
        }
      gr_block_clear (&block);
      if (taken)
        return slot;
    }
  return NULL;
}

/* Finds blocks for core->unplaced_slots; false if some slots still have
 * none. */
static bool
place_slots (struct gr_core *core, bool first_fit)
{
  g_autoptr (GPtrArray) slots =
      g_ptr_array_copy (core->unplaced_slots, NULL, NULL);
  uint32_t first_rack = 0;

  g_ptr_array_sort (slots, compare_sizes);
  for (uint32_t i = slots->len; i > 0; i--)
    {
      struct gr_guarantee_slot *slot = g_ptr_array_index (slots, i - 1);
      struct gr_block block = { 0, NULL };
      struct gr_search search;

      gr_search_init_for_slot (core, slot, &search);
      search.first_fit = first_fit;
      search.first_rack = first_rack;
      search.mode = GR_SEARCH_SLOT_FREE;
      if (first_fit || !gr_search_all (core, &search, &block))
        {
          search.mode = GR_SEARCH_SLOT_PREEMPT;
          if (!gr_search_all (core, &search, &block))
            continue;
        }
      gr_guarantee_slot_set_block (core, slot, &block);
      /* The next slot is not larger, so its search starts here: the racks
       * before this one are full for it, too, or are no better than others. */
      first_rack = block.parts[0].worker->rack->index;
      gr_block_clear (&block);
    }
  return core->unplaced_slots->len == 0;
}

/* Places all unused slots again, the largest first: with aligned blocks
 * of powers of two this finds an assignment within workers whenever there
 * is one. */
static void
repack (struct gr_core *core)
{
  for (uint32_t a = 0; a < core->account_list->len; a++)
    {
      const struct gr_core_account *account =
          g_ptr_array_index (core->account_list, a);

      for (uint32_t i = 0; i < account->guarantee_slots->len; i++)
        {
          struct gr_guarantee_slot *slot =
              g_ptr_array_index (account->guarantee_slots, i);

          if (slot->in_use == 0)
            unplace_slot (core, slot);
        }
    }
  place_slots (core, true);
}

void
gr_tick_guarantee_slots (struct gr_core *core)
{
  if (core->unplaced_slots->len == 0 || !core->slots_dirty)
    {
      core->slots_dirty = false;
      return;
    }
  core->slots_dirty = false;
  if (place_slots (core, false))
    return;
  if (core->now_ms < core->next_repack_ms)
    {
      core->slots_dirty = true;
      return;
    }
  repack (core);
  core->next_repack_ms = core->now_ms + REPACK_PAUSE_MS;
  core->slots_dirty = false;
}
