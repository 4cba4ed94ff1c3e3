#include "sched/cells.h"

static uint32_t
block_max (uint32_t free, uint32_t limit)
{
  for (uint32_t size = GR_MAX_ACCELERATORS; size > 0; size /= 2)
    for (uint32_t offset = 0; offset + size <= MIN (limit, GR_MAX_ACCELERATORS);
         offset += size)
      {
        uint32_t block = ((1U << size) - 1) << offset;

        if ((free & block) == block)
          return size;
      }
  return 0;
}

/* Sizes of the maximal free aligned blocks, as a sum of powers of two. An
 * entirely free worker counts as the next power of two. */
static uint32_t
block_sizes (const struct gr_core_worker *worker, uint32_t free)
{
  uint32_t sizes = 0;

  if (free == worker->all)
    return gr_block_align (worker->accelerators);
  while (free != 0)
    {
      uint32_t size = block_max (free, worker->accelerators);

      sizes |= size;
      for (uint32_t offset = 0;
           offset + size <= MIN (worker->accelerators, GR_MAX_ACCELERATORS);
           offset += size)
        {
          uint32_t block = ((1U << size) - 1) << offset;

          if ((free & block) == block)
            free &= ~block;
        }
    }
  return sizes;
}

/* Adjacent workers that are entirely free count as one block. */
static void
add_worker (struct gr_core_rack *rack,
            const struct gr_core_worker *worker,
            uint32_t *run)
{
  uint32_t free = worker->all & ~(worker->held | worker->foreign);
  uint32_t block = block_max (free, worker->accelerators);

  rack->usable += worker->accelerators;
  rack->free += gr_mask_count (free);
  *run = free == worker->all ? *run + worker->accelerators : 0;
  rack->largest_free = MAX (rack->largest_free, MAX (*run, block));
  rack->free_sizes |= block_sizes (worker, free);
  rack->outside_sizes |= block_sizes (worker, free & ~worker->slot_mask);
}

struct gr_core_rack *
gr_rack_refresh (struct gr_core_rack *rack)
{
  uint32_t run = 0;

  if (!rack->dirty)
    return rack;
  rack->dirty = false;
  rack->free_sizes = 0;
  rack->outside_sizes = 0;
  rack->usable = 0;
  rack->free = 0;
  rack->largest_free = 0;
  for (uint32_t i = 0; i < rack->workers->len; i++)
    {
      const struct gr_core_worker *worker =
          g_ptr_array_index (rack->workers, i);
      const struct gr_core_worker *before =
          i > 0 ? g_ptr_array_index (rack->workers, i - 1) : NULL;

      if (!worker->usable
          || (before != NULL && worker->rack_slot != before->rack_slot + 1))
        run = 0;
      if (worker->usable)
        add_worker (rack, worker, &run);
    }
  return rack;
}

void
gr_core_get_status (const struct gr_core *core, struct gr_core_status *status)
{
  struct gr_core_status fresh = { 0 };

  for (uint32_t i = 0; i < core->rack_list->len; i++)
    {
      const struct gr_core_rack *rack =
          gr_rack_refresh (g_ptr_array_index (core->rack_list, i));

      fresh.accelerators += rack->usable;
      fresh.free += rack->free;
      fresh.largest_free_block =
          MAX (fresh.largest_free_block, rack->largest_free);
    }
  fresh.jobs_waiting = core->jobs_waiting;
  fresh.jobs_running = core->jobs_running;
  fresh.preemptions = core->preemptions;
  fresh.all_guarantees_placed = core->unplaced_slots->len == 0;
  *status = fresh;
}

static void
fill_account (const struct gr_core_account *account,
              struct gr_core_account_status *status)
{
  g_strlcpy (status->name, account->settings.name, sizeof status->name);
  status->used = account->used;
  for (uint32_t i = 0; i < account->guarantee_slots->len; i++)
    {
      const struct gr_guarantee_slot *slot =
          g_ptr_array_index (account->guarantee_slots, i);

      status->guaranteed +=
          slot->shape.workers * slot->shape.accelerators_per_worker;
      if (slot->block.n == 0)
        status->guarantee_impossible = true;
    }
  for (GList *link = account->active.head; link != NULL; link = link->next)
    {
      const struct gr_core_job *job = link->data;

      if (job->guarantee_slot == NULL)
        status->borrowed += job->held;
    }
  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    for (GSequenceIter *iter = g_sequence_get_begin_iter (account->waiting[p]);
         !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
      {
        const struct gr_core_job *job = g_sequence_get (iter);

        status->waiting_jobs++;
        status->waiting += job->record.spec.shape.workers
                           * job->record.spec.shape.accelerators_per_worker;
      }
}

GArray *
gr_core_account_status (const struct gr_core *core)
{
  GArray *list =
      g_array_new (FALSE, TRUE, sizeof (struct gr_core_account_status));

  for (uint32_t i = 0; i < core->account_list->len; i++)
    {
      struct gr_core_account_status status = { 0 };

      fill_account (g_ptr_array_index (core->account_list, i), &status);
      g_array_append_val (list, status);
    }
  return list;
}

GArray *
gr_core_worker_status (const struct gr_core *core)
{
  GArray *list =
      g_array_new (FALSE, TRUE, sizeof (struct gr_core_worker_status));

  for (uint32_t r = 0; r < core->rack_list->len; r++)
    {
      const struct gr_core_rack *rack = g_ptr_array_index (core->rack_list, r);

      for (uint32_t i = 0; i < rack->workers->len; i++)
        {
          const struct gr_core_worker *worker =
              g_ptr_array_index (rack->workers, i);
          struct gr_core_worker_status status = { 0 };

          g_strlcpy (status.name, worker->name, sizeof status.name);
          g_strlcpy (status.rack, rack->name, sizeof status.rack);
          status.accelerators = worker->accelerators;
          status.used = gr_mask_count (worker->held);
          status.silent = worker->silent;
          status.leaving = worker->leaving;
          status.quarantined = worker->quarantined;
          g_array_append_val (list, status);
        }
    }
  return list;
}
