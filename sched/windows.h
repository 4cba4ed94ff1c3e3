/* Search for cells of several workers. */
#pragma once

#include "sched/cells.h"

/* Searches that look at what runs in each cell are bounded in large pools:
 * the best of 128 cells loses hardly more than the best of all. */
#define GR_MAX_COSTLY_CANDIDATES 128

struct gr_candidate
{
  uint32_t mask;
  int64_t score; /* less is better */
};

/* Best aligned block of the worker within the mask. The score puts the cost
 * first, then the size of the buddy block that is broken up. */
bool gr_best_block (const struct gr_core *core,
                    const struct gr_core_worker *worker,
                    const struct gr_search *search,
                    uint32_t within,
                    struct gr_candidate *best);

/* Gives the cell n empty parts. */
void gr_cell_set (struct gr_cell *cell, uint32_t n);

/* Rack where a search begins; bounded searches begin elsewhere each time. */
uint32_t gr_first_rack (struct gr_core *core, const struct gr_search *search);
struct gr_core_rack *gr_rack_at (const struct gr_core *core, uint32_t index);

int64_t gr_rack_bound (const struct gr_core *core,
                       const struct gr_search *search,
                       struct gr_core_rack *rack);

/* Adjacent workers of one rack. */
bool gr_search_rack (struct gr_core *core,
                     const struct gr_search *search,
                     struct gr_cell *cell);

/* Workers of a run of adjacent racks. */
bool gr_search_racks (struct gr_core *core,
                      const struct gr_search *search,
                      struct gr_cell *cell);
