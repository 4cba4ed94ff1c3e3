#include "sched/place.h"

#include "sched/cells.h"
#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/learn.h"

#include <string.h>

/* Bounds on the work of one tick; the rest waits for the next one. */
#define MAX_JOBS_PER_PASS 20000
#define MAX_FAILED_SHAPES 16
#define MAX_PREEMPT_SEARCHES 16
/* Only the first waiting jobs get reservations: each one withholds accelerators
 * from long work. */
#define MAX_RESERVATIONS 4
/* A search for a reservation examines every running job of the shard. */
#define RESERVE_PAUSE_MS 200
/* Interval of checks for conditions that depend on time alone. */
#define PLACE_PAUSE_MS 500
#define ADMIT_PAUSE_MS 5000
/* A waiting job that cannot run in this shard ends after this time, within
 * which a worker that is being replaced reports again. */
#define UNFIT_MS 60000

struct pass
{
  uint32_t n_jobs;
  uint32_t preempt_searches;
  uint32_t n_failed;
  struct gr_job_spec failed[MAX_FAILED_SHAPES]; /* shallow copies */
  /* Account to which workers are closed, so that its failure does not apply to
   * others; NULL: the failure applies to all. */
  const struct gr_core_account *only_for[MAX_FAILED_SHAPES];
};

/* True if the settings never allow the job to run. */
static bool
is_excluded_by_settings (const struct gr_core *core,
                         const struct gr_job_spec *spec,
                         struct gr_error *error)
{
  const struct gr_core_account *account =
      g_hash_table_lookup (core->accounts, spec->account);
  uint32_t quota = account->settings.quota_accelerators;
  uint32_t wanted = spec->shape.workers
                    * MAX (spec->shape.accelerators_per_worker,
                           gr_min_accelerators_per_task (core, spec));
  bool in_slot = false;

  if (spec->data_centre[0] != '\0'
      && strcmp (spec->data_centre, core->config.data_centre) != 0)
    return !gr_error_set (error, GR_ERROR_NEVER_FITS,
                          "this shard has no workers in data centre \"%s\"",
                          spec->data_centre);
  if (quota > 0 && wanted > quota)
    return !gr_error_set (error, GR_ERROR_NEVER_FITS,
                          "%u accelerators exceed the quota of %u", wanted,
                          quota);
  for (uint32_t i = 0; i < account->guarantee_slots->len && !in_slot; i++)
    in_slot = gr_job_fits_slot (
        core, spec, g_ptr_array_index (account->guarantee_slots, i));
  if (!spec->idempotent && !in_slot)
    return !gr_error_set (error, GR_ERROR_NEVER_FITS,
                          "a non-idempotent job must fit into a guaranteed "
                          "shape of its account");
  return false;
}

/* True if the pool can never hold the job. The pool is judged only if it has
 * been known for known_ms. */
static bool
is_too_large_for_pool (const struct gr_core *core,
                       const struct gr_job_spec *spec,
                       int64_t known_ms,
                       struct gr_error *error)
{
  if (core->first_ms < 0 || core->now_ms - core->first_ms < known_ms
      || gr_shape_fits (core, spec))
    return false;
  return !gr_error_set (error, GR_ERROR_NEVER_FITS,
                        "this shard has no workers for %u x %u accelerators "
                        "with %u cores and %u MB per task",
                        spec->shape.workers,
                        spec->shape.accelerators_per_worker,
                        spec->cores_per_task, spec->memory_mb_per_task);
}

bool
gr_never_fits (const struct gr_core *core,
               const struct gr_job_spec *spec,
               struct gr_error *error)
{
  /* The pool of a new owner is incomplete until all workers have reported. */
  return is_excluded_by_settings (core, spec, error)
         || is_too_large_for_pool (core, spec, core->config.run_lease_term_ms,
                                   error);
}

/* Like gr_never_fits (), but a restored job fitted the pool of a former owner,
 * and workers that left before this one took over are not known here. */
static bool
is_unfit (const struct gr_core *core,
          const struct gr_core_job *job,
          struct gr_error *error)
{
  if (!job->restored)
    return gr_never_fits (core, &job->record.spec, error);
  return is_excluded_by_settings (core, &job->record.spec, error)
         || is_too_large_for_pool (core, &job->record.spec, GR_ABSENT_MS,
                                   error);
}

static void
admit_job (struct gr_core *core, struct gr_core_job *job)
{
  struct gr_error error = GR_ERROR_INIT;
  bool unfit = !job->account->configured;

  if (unfit)
    gr_error_set (&error, GR_ERROR_UNKNOWN_ACCOUNT,
                  "the client account does not exist");
  else
    unfit = is_unfit (core, job, &error);
  if (!unfit)
    job->unfit_since_ms = 0;
  else if (job->unfit_since_ms == 0)
    job->unfit_since_ms = core->now_ms;
  else if (core->now_ms - job->unfit_since_ms >= UNFIT_MS)
    gr_job_end (core, job,
                job->record.started_unix_ms != 0 ? GR_JOB_FAILED
                                                 : GR_JOB_REFUSED,
                error.message);
}

void
gr_tick_admission (struct gr_core *core)
{
  if (core->now_ms < core->next_admit_ms)
    return;
  core->next_admit_ms = core->now_ms + ADMIT_PAUSE_MS;
  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    for (uint32_t c = 0; c < GR_N_CLASSES; c++)
      for (GSequenceIter *iter =
               g_sequence_get_begin_iter (core->waiting[p][c]);
           !g_sequence_iter_is_end (iter);)
        {
          struct gr_core_job *job = g_sequence_get (iter);

          iter = g_sequence_iter_next (iter);
          admit_job (core, job);
        }
}

/* --- Work outside guarantees -------------------------------------------- */

/* A shape cannot be placed if a smaller one with the same or lower needs
 * failed in this pass. */
static bool
is_known_not_to_fit (const struct gr_core *core,
                     const struct pass *pass,
                     const struct gr_core_job *job)
{
  const struct gr_job_spec *spec = &job->record.spec;

  for (uint32_t i = 0; i < pass->n_failed; i++)
    {
      const struct gr_job_spec *failed = &pass->failed[i];
      bool spans = spec->shape.workers > core->max_rack_workers;

      if (pass->only_for[i] != NULL && pass->only_for[i] != job->account)
        continue;
      if (failed->shape.workers <= spec->shape.workers
          && failed->shape.accelerators_per_worker
                 <= spec->shape.accelerators_per_worker
          && failed->cores_per_task <= spec->cores_per_task
          && failed->memory_mb_per_task <= spec->memory_mb_per_task
          && spans == (failed->shape.workers > core->max_rack_workers))
        return true;
    }
  return false;
}

static bool
has_closed_worker (const struct gr_core *core,
                   const struct gr_core_account *account)
{
  for (uint32_t i = 0; i < core->quarantined->len; i++)
    if (gr_worker_is_closed_to (g_ptr_array_index (core->quarantined, i),
                                account))
      return true;
  return false;
}

static void
remember_failure (const struct gr_core *core,
                  struct pass *pass,
                  const struct gr_core_job *job)
{
  /* The job avoids a worker, so its failure does not apply to other jobs. */
  if (pass->n_failed == MAX_FAILED_SHAPES || job->avoid_until_ms > core->now_ms)
    return;
  pass->only_for[pass->n_failed] =
      has_closed_worker (core, job->account) ? job->account : NULL;
  pass->failed[pass->n_failed++] = job->record.spec;
}

static bool
overlaps_reservation (const struct gr_block *block)
{
  for (uint32_t i = 0; i < block->n; i++)
    for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
      if ((block->parts[i].worker->reserved[p] & block->parts[i].mask) != 0)
        return true;
  return false;
}

/* Backfilled work must be expected to end before all reserved starts; work
 * that runs longer is stopped when a reserved start is due. */
static bool
may_backfill (const struct gr_core *core, const struct gr_core_job *job)
{
  int64_t end_ms =
      core->now_ms + gr_expected_run_ms (core, &job->record.spec, 0.9);

  if (core->reserving->len == 0)
    return false;
  for (uint32_t i = 0; i < core->reserving->len; i++)
    {
      const struct gr_core_job *other = g_ptr_array_index (core->reserving, i);

      if (end_ms > other->reserved_start_ms)
        return false;
    }
  return true;
}

static bool
place_free (struct gr_core *core, struct gr_core_job *job)
{
  static const enum gr_search_mode modes[] = {
    GR_SEARCH_FREE_OUTSIDE_SLOTS,
    GR_SEARCH_FREE,
    GR_SEARCH_BACKFILL,
  };
  struct gr_search search;
  struct gr_block block = { 0, NULL };
  bool placed = false;

  gr_search_init_for_job (core, job, &search);
  for (uint32_t i = 0; i < G_N_ELEMENTS (modes) && !placed; i++)
    {
      if (modes[i] == GR_SEARCH_BACKFILL && !may_backfill (core, job))
        continue;
      search.mode = modes[i];
      if (!gr_search_all (core, &search, &block))
        continue;
      if (!gr_quota_allows (job->account, gr_block_accelerators (&block)
                                              + job->account->quota_demand))
        break;
      placed = true;
    }
  if (placed)
    {
      bool backfilled = overlaps_reservation (&block);

      gr_gang_place (core, job, &block, NULL);
      job->backfilled = backfilled;
    }
  gr_block_clear (&block);
  return placed;
}

static bool
place_by_preempting (struct gr_core *core, struct gr_core_job *job)
{
  struct gr_search search;
  struct gr_block block = { 0, NULL };
  bool placed;

  gr_search_init_for_job (core, job, &search);
  search.mode = GR_SEARCH_PREEMPT;
  placed = gr_search_all (core, &search, &block)
           && gr_quota_allows (job->account, gr_block_accelerators (&block)
                                                 + job->account->quota_demand);
  if (placed)
    gr_claim_and_stop (core, job, &block, NULL);
  gr_block_clear (&block);
  return placed;
}

static bool
may_place (const struct gr_core *core, const struct gr_core_job *job)
{
  const struct gr_job_spec *spec = &job->record.spec;
  int64_t age_ms = core->now_ms - core->first_ms;

  if (!spec->idempotent || !job->account->configured || job->claim.n > 0
      || job->not_before_ms > core->now_ms)
    return false;
  /* The size of racks is not known before all workers have reported. */
  if (spec->shape.workers > core->max_rack_workers
      && age_ms < core->config.call_timeout_ms)
    return false;
  return gr_quota_allows (
      job->account, spec->shape.workers * spec->shape.accelerators_per_worker);
}

/* Starts the job now, or claims a block and preempts the work there. */
static bool
start_job (struct gr_core *core, struct gr_core_job *job, struct pass *pass)
{
  if (!is_known_not_to_fit (core, pass, job))
    {
      if (place_free (core, job))
        return true;
      remember_failure (core, pass, job);
    }
  if (core->config.policy == GR_POLICY_FIFO
      || pass->preempt_searches >= MAX_PREEMPT_SEARCHES)
    return false;
  if (job->record.spec.priority != GR_PRIORITY_URGENT
      && (core->config.policy != GR_POLICY_DEFAULT
          || pass->preempt_searches > 0))
    return false;
  pass->preempt_searches++;
  return place_by_preempting (core, job);
}

/* Returns false if the pass must end because no other job may overtake this
 * one. */
static bool
place_job (struct gr_core *core, struct gr_core_job *job, struct pass *pass)
{
  bool started;

  if (!may_place (core, job))
    return true;
  gr_reservation_suspend (job);
  started = start_job (core, job, pass);
  if (started)
    return true;
  gr_reservation_resume (job);
  if (core->config.policy == GR_POLICY_FIFO)
    return false;
  if (core->config.policy == GR_POLICY_DEFAULT && job->reservation.n == 0
      && core->reserving->len < MAX_RESERVATIONS
      && core->now_ms >= core->next_reserve_ms)
    {
      core->next_reserve_ms = core->now_ms + RESERVE_PAUSE_MS;
      gr_reserve_block (core, job);
    }
  return true;
}

static void
place_queues (struct gr_core *core)
{
  struct pass pass = { 0 };

  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    for (uint32_t c = 0; c < GR_N_CLASSES; c++)
      for (GSequenceIter *iter =
               g_sequence_get_begin_iter (core->waiting[p][c]);
           !g_sequence_iter_is_end (iter);)
        {
          struct gr_core_job *job = g_sequence_get (iter);

          iter = g_sequence_iter_next (iter);
          if (++pass.n_jobs > MAX_JOBS_PER_PASS || core->placed >= GR_MAX_PLACED
              || !place_job (core, job, &pass))
            return;
        }
}

void
gr_tick_placement (struct gr_core *core)
{
  core->placed = 0;
  gr_start_ready_claims (core);
  if (!core->durable
      || (!core->place_dirty && core->now_ms < core->next_place_ms))
    return;
  core->place_dirty = false;
  core->next_place_ms = core->now_ms + PLACE_PAUSE_MS;
  if (core->jobs_waiting == 0)
    return;
  gr_place_guaranteed (core);
  gr_claim_ready_reservations (core);
  place_queues (core);
}
