/* Search for adjacent accelerators. */
#pragma once

#include "sched/tables.h"

/* Which accelerators a search may use. */
enum gr_search_mode
{
  GR_SEARCH_FREE_OUTSIDE, /* free and outside all guaranteed cells */
  GR_SEARCH_FREE,         /* free */
  GR_SEARCH_BACKFILL,     /* free, also those that are reserved */
  GR_SEARCH_UNIT_FREE,    /* free and outside cells of other units */
  GR_SEARCH_UNIT,         /* stoppable and outside cells of other units */
  GR_SEARCH_OWN,          /* also held by less urgent jobs of the unit itself */
  GR_SEARCH_PREEMPT,      /* free or held by work that gives way to the job */
  GR_SEARCH_RESERVE,      /* everything that becomes free by itself */
};

struct gr_search
{
  enum gr_search_mode mode;
  struct gr_shape shape;
  const struct gr_core_job *job;      /* NULL: for a unit */
  const struct gr_core_unit *unit;    /* whose cell may be used, or NULL */
  uint32_t need[GR_MAX_WORKER_TYPES]; /* accelerators, 0: does not fit */
  bool first_fit;                     /* take the first, not the best */
  uint32_t first_rack;                /* index of the rack where to begin */
};

/* For a job: need is what its cores and memory take, in accelerators, so that
 * no task uses the share of accelerators that others hold. */
void gr_search_for_job (const struct gr_core *core,
                        const struct gr_core_job *job,
                        struct gr_search *search);
void gr_search_for_unit (const struct gr_core *core,
                         const struct gr_core_unit *unit,
                         struct gr_search *search);

/* Best cell in the whole shard; the caller frees it with gr_cell_clear (). */
bool gr_search_all (struct gr_core *core,
                    const struct gr_search *search,
                    struct gr_cell *cell);

/* Best part of the cell of search->unit. */
bool gr_search_in_unit (const struct gr_core *core,
                        const struct gr_search *search,
                        struct gr_cell *cell);

/* Computes the numbers of the rack again if something changed. */
struct gr_core_rack *gr_rack_refresh (struct gr_core_rack *rack);

/* True if some set of known workers, in whatever state, holds the shape. */
bool gr_shape_fits (const struct gr_core *core, const struct gr_job_spec *spec);

/* Accelerators that a task takes on the worker that suits it best, with its
 * share of cores and memory; 0 if it fits none of the known workers. */
uint32_t gr_least_need (const struct gr_core *core,
                        const struct gr_job_spec *spec);

/* True if the job fits into the guaranteed shape. */
bool gr_job_fits_unit (const struct gr_core *core,
                       const struct gr_job_spec *spec,
                       const struct gr_core_unit *unit);

/* What is lost if the job is stopped now; less is better. */
int64_t gr_loss_of_stop (const struct gr_core *core,
                         const struct gr_core_job *job);

/* Free accelerators that are not lent to the job: urgent work started or ended
 * on their worker lately and will probably come back. Urgent jobs may use
 * them. */
uint32_t gr_kept_mask (const struct gr_core *core,
                       const struct gr_core_worker *worker,
                       const struct gr_core_job *job);

/* True if the running victim may be stopped to start the job. */
bool gr_gives_way (const struct gr_core *core,
                   const struct gr_core_job *victim,
                   const struct gr_core_job *job);
