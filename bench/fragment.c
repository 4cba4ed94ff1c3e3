#include "bench/fragment.h"

#include <string.h>

static uint32_t
count_accelerators (const struct gr_shape *shape)
{
  return shape->workers * shape->accelerators_per_worker;
}

static void
set_if_larger (struct gr_shape *largest, const struct gr_shape *shape)
{
  if (count_accelerators (shape) > count_accelerators (largest))
    *largest = *shape;
}

static struct gr_shape
largest_shape (const struct pool *pool,
               uint32_t shard,
               const struct bench_deployment *deployment)
{
  struct gr_shape largest = { 0, 0 };

  for (guint i = 0; i < pool->submitted_jobs->len; i++)
    {
      const struct pool_job *job = pool->submitted_jobs->pdata[i];

      if (job->shard == shard && job->started_ms == 0 && job->ended_ms == 0)
        set_if_larger (&largest, &job->shape);
    }
  for (uint32_t a = 0; a < deployment->n_accounts; a++)
    for (uint32_t g = 0; g < deployment->accounts[a].n_guarantees; g++)
      {
        const struct gr_guarantee *guarantee =
            &deployment->accounts[a].guarantees[g];

        if (strcmp (guarantee->data_centre, pool->shards[shard].name) == 0)
          set_if_larger (&largest, &guarantee->shape);
      }
  return largest;
}

/* Counts the aligned blocks of size adjacent accelerators in the bit mask
 * free. */
static uint32_t
count_blocks (uint32_t free, uint32_t size)
{
  uint32_t align = 1;
  uint32_t count = 0;

  while (align < size)
    align *= 2;
  for (uint32_t at = 0; at + size <= BENCH_ACCELERATORS; at += align)
    {
      uint32_t block = ((1U << size) - 1) << at;

      count += (free & block) == block;
    }
  return count;
}

double
bench_fragmentation (const struct pool *pool,
                     uint32_t shard,
                     const struct bench_deployment *deployment)
{
  const struct pool_shard *pool_shard = &pool->shards[shard];
  struct gr_shape shape = largest_shape (pool, shard, deployment);
  uint32_t free = 0;
  uint32_t usable = 0;
  uint32_t n_adjacent = 0;

  for (uint32_t i = 0; i < pool_shard->n_workers; i++)
    {
      uint32_t free_mask = 0xff & ~pool_shard->workers[i].leased;
      uint32_t n_blocks =
          count_blocks (free_mask, shape.accelerators_per_worker);

      free += (uint32_t)__builtin_popcount (free_mask);
      if (shape.workers == 1)
        {
          usable += n_blocks * shape.accelerators_per_worker;
          continue;
        }
      if (pool_shard->workers[i].slot == 0
          && shape.workers <= BENCH_RACK_WORKERS)
        n_adjacent = 0;
      n_adjacent = n_blocks > 0 ? n_adjacent + 1 : 0;
      if (n_adjacent < shape.workers)
        continue;
      usable += count_accelerators (&shape);
      n_adjacent = 0;
    }
  return free > 0 ? 1.0 - (double)usable / free : 0;
}
