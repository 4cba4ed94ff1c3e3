#include "sched/place.h"

#include "sched/cells.h"
#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/learn.h"

#include <string.h>

/* Bounds on the work of one tick; what is left over waits for the next. */
#define MAX_LOOKED_AT 20000
#define MAX_FAILED_SHAPES 16
#define MAX_PREEMPT_SEARCHES 16
/* Reservations are for the first jobs in line only: each keeps accelerators
 * from being used by long work. */
#define MAX_RESERVATIONS 4
/* A search for a reservation looks at every running job of the shard. */
#define RESERVE_PAUSE_MS 200
/* Conditions that depend on time alone are looked at this often. */
#define PLACE_PAUSE_MS 500
#define ADMIT_PAUSE_MS 5000
/* Workers that are being replaced come back within this time. */
#define UNFIT_MS 60000

struct pass
{
  uint32_t looked_at;
  uint32_t preempt_searches;
  uint32_t n_failed;
  struct gr_job_spec failed[MAX_FAILED_SHAPES]; /* shallow copies */
};

bool
gr_never_fits (const struct gr_core *core,
               const struct gr_job_spec *spec,
               struct gr_error *error)
{
  const struct gr_core_account *account =
      g_hash_table_lookup (core->accounts, spec->account);
  uint32_t quota = account->settings.quota_accelerators;
  uint32_t wanted =
      spec->shape.workers
      * MAX (spec->shape.accelerators_per_worker, gr_least_need (core, spec));
  bool in_unit = false;

  if (spec->data_centre[0] != '\0'
      && strcmp (spec->data_centre, core->config.data_centre) != 0)
    return !gr_error_set (error, GR_ERROR_NEVER_FITS,
                          "this shard has no workers in data centre \"%s\"",
                          spec->data_centre);
  if (quota > 0 && wanted > quota)
    return !gr_error_set (error, GR_ERROR_NEVER_FITS,
                          "%u accelerators are above the quota of %u", wanted,
                          quota);
  for (uint32_t i = 0; i < account->units->len && !in_unit; i++)
    in_unit =
        gr_job_fits_unit (core, spec, g_ptr_array_index (account->units, i));
  if (!spec->idempotent && !in_unit)
    return !gr_error_set (error, GR_ERROR_NEVER_FITS,
                          "work that must not run again needs a guaranteed "
                          "shape of its account that holds it");
  /* An owner that has just started does not know all workers yet. */
  if (core->first_ms < 0
      || core->now_ms - core->first_ms < core->config.run_lease_term_ms)
    return false;
  if (!gr_shape_fits (core, spec))
    return !gr_error_set (error, GR_ERROR_NEVER_FITS,
                          "no workers of this shard hold %u x %u accelerators "
                          "with %u cores and %u MB for each task",
                          spec->shape.workers,
                          spec->shape.accelerators_per_worker,
                          spec->cores_per_task, spec->memory_mb_per_task);
  return false;
}

static void
admit_job (struct gr_core *core, struct gr_core_job *job)
{
  struct gr_error error = GR_ERROR_INIT;
  bool unfit = !job->account->known;

  if (unfit)
    gr_error_set (&error, GR_ERROR_UNKNOWN_ACCOUNT,
                  "there is no client account of this name");
  else
    unfit = gr_never_fits (core, &job->record.spec, &error);
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
gr_system_admit (struct gr_core *core)
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

/* A larger shape fails where a smaller one of the same kind has failed. */
static bool
is_hopeless (const struct gr_core *core,
             const struct pass *pass,
             const struct gr_job_spec *spec)
{
  for (uint32_t i = 0; i < pass->n_failed; i++)
    {
      const struct gr_job_spec *failed = &pass->failed[i];
      bool spans = spec->shape.workers > core->max_rack_workers;

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

static void
remember_failure (const struct gr_core *core,
                  struct pass *pass,
                  const struct gr_core_job *job)
{
  /* A job that avoids a worker says nothing about others. */
  if (pass->n_failed == MAX_FAILED_SHAPES || job->avoid_until_ms > core->now_ms)
    return;
  pass->failed[pass->n_failed++] = job->record.spec;
}

static bool
overlaps_reservation (const struct gr_cell *cell)
{
  for (uint32_t i = 0; i < cell->n; i++)
    for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
      if ((cell->parts[i].worker->soft[p] & cell->parts[i].mask) != 0)
        return true;
  return false;
}

/* Backfilled work must be expected to end before any reserved start; work
 * that does not is stopped when the start is due. */
static bool
may_backfill (const struct gr_core *core, const struct gr_core_job *job)
{
  int64_t end_ms =
      core->now_ms + gr_expected_run_ms (job->account, &job->record.spec, 0.9);

  if (core->reserving->len == 0)
    return false;
  for (uint32_t i = 0; i < core->reserving->len; i++)
    {
      const struct gr_core_job *other = g_ptr_array_index (core->reserving, i);

      if (end_ms > other->reserve_start_ms)
        return false;
    }
  return true;
}

static bool
place_free (struct gr_core *core, struct gr_core_job *job)
{
  static const enum gr_search_mode modes[] = {
    GR_SEARCH_FREE_OUTSIDE,
    GR_SEARCH_FREE,
    GR_SEARCH_BACKFILL,
  };
  struct gr_search search;
  struct gr_cell cell = { 0, NULL };
  bool placed = false;

  gr_search_for_job (core, job, &search);
  for (uint32_t i = 0; i < G_N_ELEMENTS (modes) && !placed; i++)
    {
      if (modes[i] == GR_SEARCH_BACKFILL && !may_backfill (core, job))
        continue;
      search.mode = modes[i];
      if (!gr_search_all (core, &search, &cell))
        continue;
      if (!gr_quota_allows (job->account, gr_cell_accelerators (&cell)
                                              + job->account->quota_demand))
        break;
      placed = true;
    }
  if (placed)
    {
      bool backfilled = overlaps_reservation (&cell);

      gr_gang_place (core, job, &cell, NULL);
      job->backfilled = backfilled;
    }
  gr_cell_clear (&cell);
  return placed;
}

static bool
place_by_stopping (struct gr_core *core, struct gr_core_job *job)
{
  struct gr_search search;
  struct gr_cell cell = { 0, NULL };
  bool placed;

  gr_search_for_job (core, job, &search);
  search.mode = GR_SEARCH_PREEMPT;
  placed = gr_search_all (core, &search, &cell)
           && gr_quota_allows (job->account, gr_cell_accelerators (&cell)
                                                 + job->account->quota_demand);
  if (placed)
    gr_claim_and_stop (core, job, &cell, NULL);
  gr_cell_clear (&cell);
  return placed;
}

static bool
may_place (const struct gr_core *core, const struct gr_core_job *job)
{
  const struct gr_job_spec *spec = &job->record.spec;
  int64_t age_ms = core->now_ms - core->first_ms;

  if (!spec->idempotent || !job->account->known || job->claim.n > 0
      || job->not_before_ms > core->now_ms)
    return false;
  /* Until all workers have reported, the size of racks is not known. */
  if (spec->shape.workers > core->max_rack_workers
      && age_ms < core->config.call_timeout_ms)
    return false;
  return gr_quota_allows (
      job->account, spec->shape.workers * spec->shape.accelerators_per_worker);
}

/* Tries to start the job now, or as soon as others have stopped for it. */
static bool
start_job (struct gr_core *core, struct gr_core_job *job, struct pass *pass)
{
  if (!is_hopeless (core, pass, &job->record.spec))
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
  return place_by_stopping (core, job);
}

/* False if the pass must end: nothing may overtake the job. */
static bool
place_job (struct gr_core *core, struct gr_core_job *job, struct pass *pass)
{
  bool started;

  if (!may_place (core, job))
    return true;
  gr_reserve_lift (job);
  started = start_job (core, job, pass);
  if (started)
    return true;
  gr_reserve_restore (job);
  if (core->config.policy == GR_POLICY_FIFO)
    return false;
  if (core->config.policy == GR_POLICY_DEFAULT && job->reserve.n == 0
      && core->reserving->len < MAX_RESERVATIONS
      && core->now_ms >= core->next_reserve_ms)
    {
      core->next_reserve_ms = core->now_ms + RESERVE_PAUSE_MS;
      gr_reserve (core, job);
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
          if (++pass.looked_at > MAX_LOOKED_AT || core->placed >= GR_MAX_PLACED
              || !place_job (core, job, &pass))
            return;
        }
}

void
gr_system_place (struct gr_core *core)
{
  core->placed = 0;
  gr_serve_claims (core);
  if (!core->durable
      || (!core->place_dirty && core->now_ms < core->next_place_ms))
    return;
  core->place_dirty = false;
  core->next_place_ms = core->now_ms + PLACE_PAUSE_MS;
  if (core->jobs_waiting == 0)
    return;
  gr_place_guaranteed (core);
  gr_serve_reservations (core);
  place_queues (core);
}
