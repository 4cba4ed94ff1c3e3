#include "sched/core.h"

#include "sched/gang.h"
#include "sched/invariants.h"
#include "sched/jobs.h"
#include "sched/learn.h"
#include "sched/place.h"
#include "sched/quarantine.h"
#include "sched/witness.h"

#include <string.h>

/* A longer time between two ticks means that this process was paused. The
 * excess does not count as silence of the workers. */
#define MAX_TICK_MS 1500

#define REPORT_BUSY_MS 2000
#define REPORT_IDLE_MS 5000

static void
free_list (void *data)
{
  g_ptr_array_free (data, TRUE);
}

struct gr_core *
gr_core_create (const struct gr_core_config *config, GRand *rand)
{
  struct gr_core *core = g_new0 (struct gr_core, 1);

  core->config = *config;
  if (config->report_busy_ms == 0)
    core->config.report_busy_ms = REPORT_BUSY_MS;
  if (config->report_idle_ms == 0)
    core->config.report_idle_ms = REPORT_IDLE_MS;
  core->rand = rand;
  core->first_ms = -1;
  core->renew_slot_ms = MAX (1, config->run_lease_term_ms / 3 / GR_RENEW_SLOTS);
  core->run_times = gr_learned_create ();
  core->accounts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gr_account_free);
  core->account_list = g_ptr_array_new ();
  core->racks =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gr_rack_free);
  core->rack_list = g_ptr_array_new ();
  core->workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gr_worker_free);
  core->jobs =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gr_job_free);
  core->members = g_hash_table_new (g_str_hash, g_str_equal);
  core->unbound =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_list);
  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    for (uint32_t c = 0; c < GR_N_CLASSES; c++)
      core->waiting[p][c] = g_sequence_new (NULL);
  core->unplaced_slots = g_ptr_array_new ();
  core->reserving = g_ptr_array_new ();
  core->claiming = g_ptr_array_new ();
  core->quarantined = g_ptr_array_new ();
  core->removed_workers = g_ptr_array_new ();
  core->pending = g_array_new (FALSE, FALSE, sizeof (struct gr_command));
  core->out = core->pending;
  return core;
}

void
gr_core_destroy (struct gr_core *core)
{
  if (core == NULL)
    return;
  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    for (uint32_t c = 0; c < GR_N_CLASSES; c++)
      g_sequence_free (core->waiting[p][c]);
  g_hash_table_destroy (core->members);
  g_hash_table_destroy (core->unbound);
  g_hash_table_destroy (core->jobs);
  g_hash_table_destroy (core->accounts);
  gr_learned_destroy (core->run_times);
  g_hash_table_destroy (core->workers);
  g_hash_table_destroy (core->racks);
  g_ptr_array_free (core->account_list, TRUE);
  g_ptr_array_free (core->rack_list, TRUE);
  g_ptr_array_free (core->unplaced_slots, TRUE);
  g_ptr_array_free (core->reserving, TRUE);
  g_ptr_array_free (core->claiming, TRUE);
  g_ptr_array_free (core->quarantined, TRUE);
  g_ptr_array_free (core->removed_workers, TRUE);
  g_array_free (core->pending, TRUE);
  g_free (core);
}

/* --- Settings ----------------------------------------------------------- */

void
gr_core_set_account (struct gr_core *core,
                     const struct gr_account_settings *settings)
{
  struct gr_core_account *account = gr_account_get (core, settings->name);

  account->configured = true;
  account->settings = *settings;
  gr_guarantee_slots_configure (core, account, settings);
}

void
gr_core_remove_account (struct gr_core *core, const char *name)
{
  struct gr_core_account *account = g_hash_table_lookup (core->accounts, name);
  struct gr_account_settings none = { 0 };

  if (account == NULL)
    return;
  account->configured = false;
  gr_guarantee_slots_configure (core, account, &none);
  account->settings.n_guarantees = 0;
  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    while (!g_sequence_is_empty (account->waiting[p]))
      {
        struct gr_core_job *job =
            g_sequence_get (g_sequence_get_begin_iter (account->waiting[p]));

        gr_job_end (core, job,
                    job->record.started_unix_ms != 0 ? GR_JOB_FAILED
                                                     : GR_JOB_REFUSED,
                    "the client account was removed");
      }
}

/* --- Jobs --------------------------------------------------------------- */

static bool
same_spec (const struct gr_job_spec *a, const struct gr_job_spec *b)
{
  return a->shape.workers == b->shape.workers
         && a->shape.accelerators_per_worker == b->shape.accelerators_per_worker
         && a->run_ms == b->run_ms && a->priority == b->priority
         && a->idempotent == b->idempotent
         && a->checkpointable == b->checkpointable
         && a->cores_per_task == b->cores_per_task
         && a->memory_mb_per_task == b->memory_mb_per_task
         && strcmp (a->data_centre, b->data_centre) == 0
         && g_strcmp0 (a->spec, b->spec) == 0;
}

bool
gr_core_submit (struct gr_core *core,
                const struct gr_job_spec *spec,
                int64_t now_ms,
                int64_t unix_ms,
                const struct gr_job_record **record,
                struct gr_error *error)
{
  struct gr_job_record fresh = { 0 };
  const struct gr_core_account *account;
  struct gr_core_job *job;

  gr_core_set_now (core, now_ms);
  core->unix_ms = unix_ms;
  g_snprintf (fresh.id, sizeof fresh.id, "%s.%s.%s", core->config.shard,
              spec->account, spec->key);
  job = g_hash_table_lookup (core->jobs, fresh.id);
  if (job != NULL)
    {
      *record = &job->record;
      return same_spec (&job->record.spec, spec)
             || gr_error_set (
                 error, GR_ERROR_CONFLICT,
                 "job \"%s\" already exists with different content", fresh.id);
    }
  account = g_hash_table_lookup (core->accounts, spec->account);
  if (account == NULL || !account->configured)
    return gr_error_set (error, GR_ERROR_UNKNOWN_ACCOUNT,
                         "client account \"%s\" does not exist", spec->account);
  if (!gr_job_spec_check (spec, error) || gr_never_fits (core, spec, error))
    return false;
  fresh.spec = *spec;
  fresh.state = GR_JOB_ACCEPTED;
  fresh.submitted_unix_ms = unix_ms;
  job = gr_job_create (core, &fresh);
  gr_job_enqueue (core, job);
  gr_job_record_changed (core, job);
  *record = &job->record;
  return true;
}

bool
gr_core_cancel (struct gr_core *core,
                const char *id,
                int64_t now_ms,
                struct gr_error *error)
{
  struct gr_core_job *job = g_hash_table_lookup (core->jobs, id);

  gr_core_set_now (core, now_ms);
  if (job == NULL)
    return gr_error_set (error, GR_ERROR_NOT_FOUND, "job \"%s\" does not exist",
                         id);
  if (job->record.cancel_asked || gr_job_state_is_final (job->record.state))
    return true;
  job->record.cancel_asked = true;
  if (job->in_waiting)
    {
      gr_job_end (core, job, GR_JOB_CANCELLED, "cancelled by the client");
      return true;
    }
  gr_job_record_changed (core, job);
  /* The next tick sends the stop. */
  gr_job_wake (core, job);
  return true;
}

void
gr_core_restore (struct gr_core *core,
                 const struct gr_job_record *record,
                 int64_t now_ms)
{
  struct gr_core_job *job;

  gr_core_set_now (core, now_ms);
  if (g_hash_table_contains (core->jobs, record->id))
    return;
  job = gr_job_create (core, record);
  job->restored = true;
  job->durable_version = record->version;
  job->emitted_version = record->version;
  if (gr_job_state_is_final (record->state))
    job->phase = GR_PHASE_ENDED;
  else if (record->state == GR_JOB_ACCEPTED || record->n_placements == 0)
    {
      job->record.state = GR_JOB_ACCEPTED;
      gr_job_enqueue (core, job);
    }
  else
    gr_gang_restore (core, job);
}

const struct gr_job_record *
gr_core_find (const struct gr_core *core, const char *id)
{
  const struct gr_core_job *job = g_hash_table_lookup (core->jobs, id);

  return job != NULL ? &job->record : NULL;
}

void
gr_core_each_job (const struct gr_core *core,
                  void (*visit) (const struct gr_job_record *record,
                                 void *context),
                  void *context)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (&((const struct gr_core_job *)value)->record, context);
}

void
gr_core_prune_ended (struct gr_core *core, int64_t ended_before_unix_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gr_core_job *job = value;

      if (job->phase == GR_PHASE_ENDED && !job->in_steps && !job->in_commits
          && job->durable_version >= job->record.version
          && job->record.ended_unix_ms < ended_before_unix_ms)
        g_hash_table_iter_remove (&iter);
    }
}

void
gr_core_committed (struct gr_core *core,
                   const char *id,
                   uint64_t version,
                   int64_t now_ms)
{
  struct gr_core_job *job = g_hash_table_lookup (core->jobs, id);

  gr_core_set_now (core, now_ms);
  if (job == NULL || version <= job->durable_version)
    return;
  job->durable_version = MIN (version, job->record.version);
  if (job->in_active)
    gr_job_wake (core, job);
}

/* --- Tick --------------------------------------------------------------- */

/* A longer time than call_timeout_ms without contact to any worker is a fault
 * of this process or of its links, so it does not count as silence of the
 * workers. Running leases are renewed every third of their term, so each has
 * two thirds left when the contact is lost. After that time they lapse, no job
 * can be saved any more, and the whole time counts. */
static void
advance_active_time (struct gr_core *core)
{
  int64_t elapsed_ms = MIN (core->now_ms - core->last_tick_ms, MAX_TICK_MS);
  int64_t limit_ms = core->config.run_lease_term_ms / 3 * 2;
  int64_t before_ms = core->unheard_ms;

  core->unheard_ms += elapsed_ms;
  if (core->unheard_ms > limit_ms)
    core->active_ms += before_ms > limit_ms ? elapsed_ms : core->unheard_ms;
  else if (core->contacted && core->unheard_ms <= core->config.call_timeout_ms)
    core->active_ms += core->unheard_ms;
  if (core->contacted && core->unheard_ms > core->config.call_timeout_ms)
    core->heard_since_ms = core->last_tick_ms;
  if (core->contacted)
    core->unheard_ms = 0;
  core->contacted = false;
}

void
gr_core_tick (struct gr_core *core,
              int64_t now_ms,
              int64_t unix_ms,
              bool durable,
              GArray *out)
{
  gr_core_set_now (core, now_ms);
  advance_active_time (core);
  core->last_tick_ms = core->now_ms;
  core->unix_ms = unix_ms;
  core->durable = durable;
  core->out = out;
  if (core->pending->len > 0)
    g_array_append_vals (out, core->pending->data, core->pending->len);
  g_array_set_size (core->pending, 0);
  gr_tick_contact_timeouts (core);
  gr_tick_gangs (core);
  gr_tick_guarantee_slots (core);
  gr_tick_admission (core);
  gr_tick_quarantine (core);
  gr_tick_placement (core);
  gr_tick_renewals (core);
  gr_tick_commits (core);
  gr_core_check_tick (core);
  core->out = core->pending;
}
