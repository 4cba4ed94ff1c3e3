/* Fragmentation: free accelerators that a shape cannot use. */
#pragma once

#include "bench/pool.h"

/* Share of the free accelerators of the shard that the largest waiting shape,
 * or the largest guaranteed one if nothing larger waits, cannot use, because
 * they do not form aligned blocks on adjacent workers. 0 if nothing is free. */
double bench_fragmentation (const struct pool *pool,
                            uint32_t shard,
                            const struct bench_deployment *deployment);
