#include "sched/quarantine.h"

#include "sched/cells.h"
#include "sched/faulty.h"
#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/witness.h"

#include <string.h>

/* A worker is quarantined after failures of this many different jobs without
 * a success in between. */
#define MAX_FAILURES 3
#define PROBE_FIRST_MS 30000
#define PROBE_LIMIT_MS (30LL * 60 * 1000)
/* A probe that has run for this time has passed: a faulty worker fails tasks
 * at their start. */
#define PROBE_PASSED_MS 60000

/* closed_to: the account whose jobs get no more work here; NULL: all. */
static void
quarantine (struct gr_core *core,
            struct gr_core_worker *worker,
            const struct gr_core_account *closed_to)
{
  if (!worker->quarantined)
    g_ptr_array_add (core->quarantined, worker);
  worker->quarantined = true;
  worker->closed_to = closed_to;
  worker->probe_interval_ms =
      worker->probe_interval_ms == 0
          ? PROBE_FIRST_MS
          : MIN (worker->probe_interval_ms * 2, PROBE_LIMIT_MS);
  worker->probe_due_ms = core->now_ms + worker->probe_interval_ms;
  if (closed_to != NULL)
    gr_guarantee_slots_worker_closed (core, worker, closed_to);
  gr_worker_update (core, worker);
}

static void
end_quarantine (struct gr_core *core, struct gr_core_worker *worker)
{
  worker->quarantined = false;
  worker->closed_to = NULL;
  g_ptr_array_remove_fast (core->quarantined, worker);
  core->slots_dirty = true;
  gr_worker_capacity_changed (core, worker);
  gr_worker_update (core, worker);
}

/* A job that failed on a second worker is more likely at fault than the
 * workers, so the failure no longer counts against the first one. */
static void
retract_failure (struct gr_core *core, const struct gr_core_job *job)
{
  struct gr_core_worker *first = gr_worker_find (core, job->failed_worker);

  if (first != NULL && first->last_failed == job && first->failures > 0
      && !first->quarantined)
    {
      first->failures--;
      first->last_failed = NULL;
    }
}

/* True if another job of the account was started since since_ms and has run for
 * longer than this one did. */
static bool
has_longer_run (const struct gr_core *core,
                const struct gr_core_job *job,
                int64_t since_ms)
{
  int64_t ran_ms =
      job->running_since_ms != 0 ? core->now_ms - job->running_since_ms : 0;

  for (GList *link = job->account->active.head; link; link = link->next)
    {
      const struct gr_core_job *other = link->data;

      if (other != job && other->phase == GR_PHASE_RUNNING
          && other->running_since_ms >= since_ms
          && core->now_ms - other->running_since_ms
                 > MAX (ran_ms, GR_MIN_PASSED_MS))
        return true;
    }
  return false;
}

/* True if the earlier failures on the worker point to the worker. Those of a
 * single account do so only if jobs of it that were started since then pass
 * elsewhere: jobs of one account often share their fault. */
static bool
is_suspect (const struct gr_core *core,
            const struct gr_core_worker *worker,
            const struct gr_core_job *job)
{
  const struct gr_core_account *account = job->account;

  if (worker->failures == 0)
    return false;
  if (worker->failed_account == NULL || worker->failed_account != account)
    return true;
  return account->last_passed_ms >= worker->failing_since_ms
         || has_longer_run (core, job, worker->failing_since_ms);
}

static void
add_failure (const struct gr_core *core,
             struct gr_core_worker *worker,
             const struct gr_core_job *job)
{
  if (worker->failures == 0)
    {
      worker->failing_since_ms = core->now_ms;
      worker->failed_account = job->account;
    }
  else if (worker->failed_account != NULL
           && worker->failed_account != job->account)
    {
      /* The failures of one account count as one beside those of others. */
      worker->failed_account = NULL;
      worker->failures = 1;
    }
  worker->failures++;
}

void
gr_worker_failed (struct gr_core *core,
                  struct gr_core_worker *worker,
                  struct gr_core_job *job,
                  bool counted)
{
  bool second = job->failed_worker[0] != '\0'
                && strcmp (job->failed_worker, worker->name) != 0;

  if (!counted)
    job->record.failures++;
  if (worker->quarantined
      && (worker->closed_to == NULL || worker->closed_to == job->account))
    {
      if (worker->probing)
        {
          worker->probe_interval_ms =
              MIN (worker->probe_interval_ms * 2, PROBE_LIMIT_MS);
          worker->probe_due_ms = core->now_ms + worker->probe_interval_ms;
        }
      worker->last_failed = job;
      gr_job_note_failure (core, worker, job);
      return;
    }
  if (second && worker->failures == 0)
    retract_failure (core, job);
  else if (worker->last_failed != job)
    add_failure (core, worker, job);
  worker->last_failed = job;
  gr_job_note_failure (core, worker, job);
  if (worker->failures >= MAX_FAILURES)
    quarantine (core, worker,
                is_suspect (core, worker, job) ? NULL : job->account);
}

void
gr_worker_succeeded (struct gr_core *core,
                     struct gr_core_worker *worker,
                     int64_t started_ms)
{
  worker->last_passed_ms = MAX (worker->last_passed_ms, started_ms);
  worker->failures = 0;
  worker->last_failed = NULL;
  worker->probe_interval_ms = 0;
  if (!worker->quarantined)
    return;
  worker->probing = false;
  end_quarantine (core, worker);
}

void
gr_worker_probe_ended (struct gr_core *core, struct gr_core_worker *worker)
{
  worker->probing = false;
  worker->probe_due_ms =
      MAX (worker->probe_due_ms, core->now_ms + worker->probe_interval_ms);
}

static bool
may_probe (const struct gr_core *core, const struct gr_core_job *job)
{
  const struct gr_core_account *account = job->account;

  return job->record.spec.idempotent && job->record.spec.shape.workers == 1
         && job->record.failures < core->config.max_attempts
         && job->claim.n == 0 && account->configured
         && job->not_before_ms <= core->now_ms
         && (account->settings.quota_accelerators == 0
             || account->used + account->claimed + GR_MAX_ACCELERATORS
                    <= account->settings.quota_accelerators);
}

/* The least urgent waiting job that can run again if the probe fails. A job
 * that has failed elsewhere is taken only if there is no other, because its
 * failure says little about the worker; after max_attempts failures it is not
 * taken, because failed probes could end it. Only the first 16 jobs of each
 * queue are examined. */
static struct gr_core_job *
find_probe (const struct gr_core *core, const struct gr_core_worker *worker)
{
  struct gr_core_job *failed = NULL;

  for (int priority = GR_N_PRIORITIES - 1; priority >= 0; priority--)
    for (uint32_t class = 0; class < GR_N_CLASSES; class ++)
      {
        uint32_t seen = 0;

        for (GSequenceIter *iter =
                 g_sequence_get_begin_iter (core->waiting[priority][class]);
             !g_sequence_iter_is_end (iter) && seen < 16;
             iter = g_sequence_iter_next (iter), seen++)
          {
            struct gr_core_job *job = g_sequence_get (iter);

            if (!may_probe (core, job)
                || (worker->closed_to != NULL
                    && worker->closed_to != job->account)
                || strcmp (job->failed_worker, worker->name) == 0)
              continue;
            if (job->failed_worker[0] == '\0')
              return job;
            if (failed == NULL)
              failed = job;
          }
      }
  return failed;
}

/* No waiting job can serve as a probe, so the worker is used again until
 * its next failure. Otherwise a gang that needs the whole pool would
 * never start. */
static void
release_without_probe (struct gr_core *core, struct gr_core_worker *worker)
{
  worker->failures = MAX_FAILURES - 1;
  end_quarantine (core, worker);
}

static bool
has_waiting_jobs (const struct gr_core *core,
                  const struct gr_core_account *account)
{
  if (account == NULL)
    return core->jobs_waiting > 0;
  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    if (!g_sequence_is_empty (account->waiting[p]))
      return true;
  return false;
}

static void
probe (struct gr_core *core, struct gr_core_worker *worker)
{
  struct gr_core_job *job = find_probe (core, worker);
  struct gr_block_part part = { worker, 0 };
  struct gr_block block = { 1, &part };
  struct gr_search search;
  uint32_t need;

  if (job == NULL)
    {
      if (has_waiting_jobs (core, worker->closed_to))
        release_without_probe (core, worker);
      return;
    }
  gr_search_init_for_job (core, job, &search);
  need = search.need[worker->type];
  part.mask = (1U << need) - 1;
  if (need == 0
      || (part.mask & (worker->held | worker->foreign | worker->claimed)) != 0)
    return;
  worker->probing = true;
  gr_gang_place (core, job, &block, NULL);
  job->probe = true;
}

static bool
probe_passed (const struct gr_core *core, const struct gr_core_worker *worker)
{
  for (uint32_t a = 0; a < worker->accelerators; a++)
    {
      const struct gr_core_member *member = worker->holder[a];

      if (member != NULL && member->job->probe
          && member->job->phase == GR_PHASE_RUNNING
          && core->now_ms - member->job->running_since_ms >= PROBE_PASSED_MS)
        return true;
    }
  return false;
}

void
gr_tick_quarantine (struct gr_core *core)
{
  for (uint32_t i = core->quarantined->len; i > 0; i--)
    {
      struct gr_core_worker *worker =
          g_ptr_array_index (core->quarantined, i - 1);

      if (worker->probing && probe_passed (core, worker))
        gr_worker_succeeded (core, worker, core->now_ms - PROBE_PASSED_MS);
      else if (core->durable && !worker->probing && !worker->silent
               && !worker->leaving && !worker->removed && !worker->replaced
               && worker->probe_due_ms <= core->now_ms)
        probe (core, worker);
    }
}
