#include "bench/fragment.h"

#include <string.h>

static uint32_t
size_of (const struct gr_shape *shape)
{
  return shape->workers * shape->accelerators_per_worker;
}

static void
take_larger (struct gr_shape *largest, const struct gr_shape *shape)
{
  if (size_of (shape) > size_of (largest))
    *largest = *shape;
}

static struct gr_shape
largest_shape (const struct pool *pool,
               uint32_t shard,
               const struct bench_deployment *deployment)
{
  struct gr_shape largest = { 0, 0 };

  for (guint i = 0; i < pool->list->len; i++)
    {
      const struct pool_job *job = pool->list->pdata[i];

      if (job->shard == shard && job->started_ms == 0 && job->ended_ms == 0)
        take_larger (&largest, &job->shape);
    }
  for (uint32_t a = 0; a < deployment->n_accounts; a++)
    for (uint32_t g = 0; g < deployment->accounts[a].n_guarantees; g++)
      {
        const struct gr_guarantee *guarantee =
            &deployment->accounts[a].guarantees[g];

        if (strcmp (guarantee->data_centre, pool->shards[shard].name) == 0)
          take_larger (&largest, &guarantee->shape);
      }
  return largest;
}

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
  const struct pool_shard *row = &pool->shards[shard];
  struct gr_shape shape = largest_shape (pool, shard, deployment);
  uint32_t free = 0;
  uint32_t usable = 0;
  uint32_t run = 0;

  for (uint32_t i = 0; i < row->n_workers; i++)
    {
      uint32_t mask = 0xff & ~row->workers[i].held;
      uint32_t blocks = count_blocks (mask, shape.accelerators_per_worker);

      free += (uint32_t)__builtin_popcount (mask);
      if (shape.workers == 1)
        {
          usable += blocks * shape.accelerators_per_worker;
          continue;
        }
      if (row->workers[i].slot == 0 && shape.workers <= BENCH_RACK_WORKERS)
        run = 0;
      run = blocks > 0 ? run + 1 : 0;
      if (run < shape.workers)
        continue;
      usable += size_of (&shape);
      run = 0;
    }
  return free > 0 ? 1.0 - (double)usable / free : 0;
}
