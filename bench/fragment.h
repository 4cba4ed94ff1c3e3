/* Fragmentation: free accelerators that a large shape cannot use. */
#pragma once

#include "bench/pool.h"

/* Returns the share (0 to 1) of the shard's free accelerators that cannot be
 * used for the largest shape of its waiting jobs and guarantees, because they
 * do not form aligned blocks on adjacent workers. Returns 0 if no accelerator
 * is free. */
double bench_fragmentation (const struct pool *pool,
                            uint32_t shard,
                            const struct bench_deployment *deployment);
