/* Search for blocks of adjacent accelerators. */
#pragma once

#include "sched/tables.h"

/* Which accelerators a search may use. Modes from GR_SEARCH_SLOT_PREEMPT on
 * may also use accelerators that jobs hold. */
enum gr_search_mode
{
  /* Free and outside the blocks of all guarantee slots. */
  GR_SEARCH_FREE_OUTSIDE_SLOTS,
  /* Free and not reserved. */
  GR_SEARCH_FREE,
  /* Free, including reserved ones. */
  GR_SEARCH_BACKFILL,
  /* Free and outside the blocks of other slots. */
  GR_SEARCH_SLOT_FREE,
  /* Free, preemptible or held by unknown leases, and outside the blocks of
   * other slots. */
  GR_SEARCH_SLOT_PREEMPT,
  /* Like the previous one, and also held by less urgent, idempotent jobs of the
   * slot. Only for gr_search_in_slot (). */
  GR_SEARCH_SLOT_PREEMPT_OWN,
  /* Free or held by jobs that the job may preempt. */
  GR_SEARCH_PREEMPT,
  /* Free now or as soon as their holders end: neither claimed, nor reserved for
   * others, nor held by unknown leases. */
  GR_SEARCH_RESERVE,
};

struct gr_search
{
  enum gr_search_mode mode;
  struct gr_shape shape;
  const struct gr_core_job *job; /* NULL: for a guarantee slot */
  /* Guarantee slot whose block the search may use; NULL: none. */
  const struct gr_guarantee_slot *guarantee_slot;
  uint32_t need[GR_MAX_WORKER_TYPES]; /* accelerators per task on each worker
                                         type; 0: does not fit */
  bool first_fit;      /* use the first block found, not the best */
  uint32_t first_rack; /* index of the rack where the search starts */
};

/* Initialises a search for the job or the guarantee slot; the caller sets
 * the mode. For a job, need includes the share of accelerators that corresponds
 * to its cores and memory, so that a task never uses the cores or memory that
 * belong to accelerators of others. */
void gr_search_init_for_job (const struct gr_core *core,
                             const struct gr_core_job *job,
                             struct gr_search *search);
void gr_search_init_for_slot (const struct gr_core *core,
                              const struct gr_guarantee_slot *slot,
                              struct gr_search *search);

/* Finds the best block in the whole shard. The caller frees it with
 * gr_block_clear (). */
bool gr_search_all (struct gr_core *core,
                    const struct gr_search *search,
                    struct gr_block *block);

/* Finds the best part of the block of search->guarantee_slot. The caller
 * frees it with gr_block_clear (). */
bool gr_search_in_slot (const struct gr_core *core,
                        const struct gr_search *search,
                        struct gr_block *block);

/* Recomputes the totals of the rack if they are dirty, and returns the rack. */
struct gr_core_rack *gr_rack_refresh (struct gr_core_rack *rack);

/* How long a worker that was removed, or that is listed and has not reported,
 * still counts in gr_shape_fits (). A cut of a region lasts about an hour. */
#define GR_ABSENT_MS (90LL * 60 * 1000)

/* True if some set of workers, whatever their state, can hold the shape: known
 * ones, and those that have been absent for less than GR_ABSENT_MS. Also true
 * while no worker was ever known. */
bool gr_shape_fits (const struct gr_core *core, const struct gr_job_spec *spec);

/* Accelerators that a task takes, including its share of cores and memory,
 * on the worker type where it takes the fewest; 0 if it fits no known
 * worker. */
uint32_t gr_min_accelerators_per_task (const struct gr_core *core,
                                       const struct gr_job_spec *spec);

/* True if the job fits into the guaranteed shape of the slot. */
bool gr_job_fits_slot (const struct gr_core *core,
                       const struct gr_job_spec *spec,
                       const struct gr_guarantee_slot *slot);

/* Accelerator-seconds lost if the job is preempted now; less is better. */
int64_t gr_preemption_cost (const struct gr_core *core,
                            const struct gr_core_job *job);

/* Free accelerators that the job may not borrow, because urgent work started
 * or ended on their worker recently and more is likely to follow. Always 0 for
 * urgent jobs. */
uint32_t gr_urgent_headroom_mask (const struct gr_core *core,
                                  const struct gr_core_worker *worker,
                                  const struct gr_core_job *job);

/* True if the running victim may be preempted to start the job. */
bool gr_may_preempt (const struct gr_core *core,
                     const struct gr_core_job *victim,
                     const struct gr_core_job *job);
