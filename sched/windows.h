/* Search for blocks that span several workers. */
#pragma once

#include "sched/cells.h"

/* Searches that compute preemption or waiting costs stop after this many
 * candidates in large pools: the best of 128 costs hardly more than the best of
 * all. Searches for adjacent workers in one rack count, in all modes, only
 * candidates that improve on the best one so far. */
#define GR_MAX_COSTLY_CANDIDATES 128

struct gr_candidate
{
  uint32_t mask;
  int64_t score; /* less is better */
};

/* Finds the best aligned block of the worker inside the mask. The score
 * orders by cost, then by the size of the free buddy block that is
 * broken up. */
bool gr_best_block (const struct gr_core *core,
                    const struct gr_core_worker *worker,
                    const struct gr_search *search,
                    uint32_t within,
                    struct gr_candidate *best);

/* Clears the block and gives it n empty parts. */
void gr_block_resize (struct gr_block *block, uint32_t n);

/* Index of the rack where a search starts. Bounded searches start at another
 * rack each time. */
uint32_t gr_first_rack (struct gr_core *core, const struct gr_search *search);
struct gr_core_rack *gr_rack_at (const struct gr_core *core, uint32_t index);

int64_t gr_rack_min_score (const struct gr_core *core,
                           const struct gr_search *search,
                           struct gr_core_rack *rack);

/* Finds adjacent workers in one rack. */
bool gr_search_rack (struct gr_core *core,
                     const struct gr_search *search,
                     struct gr_block *block);

/* Finds workers in a run of adjacent racks. */
bool gr_search_racks (struct gr_core *core,
                      const struct gr_search *search,
                      struct gr_block *block);
