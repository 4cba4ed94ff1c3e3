#include "scheduler/shard-private.h"

#include "common/log.h"

#include <string.h>

/* Delay between an event and the tick that handles it, so that a burst of
 * events shares one tick. */
#define EVENT_TICK_MS 5

/* Tick interval while no job waits and the last tick issued no commands. It
 * must stay below the gap between two ticks that the core treats as a pause of
 * the process (1500 ms). Lease renewals are due only every third of a lease
 * term, 3.3 s by default. */
#define IDLE_TICK_MS 900

/* A tick that runs later than this means that the process was paused. */
#define PAUSE_MS 1500

/* Wait after a pause: all workers are polled before the next scheduling
 * decision, and the poll may have to wait for a command in flight. */
#define PAUSE_REPORT_WAIT_MS (GR_WORKER_CALL_TIMEOUT_MS + GR_REPORT_TIMEOUT_MS)

#define REFRESH_MS 1000
#define QUIESCE_TIMEOUT_MS 5000
#define FLUSH_TIMEOUT_MS 2000
#define STOP_POLL_MS 20

#define PRUNE_INTERVAL_MS 60000
#define HOUR_MS (3600LL * 1000)

static int64_t
now_ms (const struct gr_shard *shard)
{
  return gr_clock_now_ms (shard->env.clock);
}

bool
gr_shard_accepts_writes (const struct gr_shard *shard)
{
  return gr_ownership_state (shard->ownership) == GR_OWNERSHIP_OWNER
         && gr_ownership_store_is_up (shard->ownership)
         && gr_journal_store_is_up (shard->journal);
}

/* Starting work requires settings that are known to be current. */
static bool
may_start (const struct gr_shard *shard)
{
  return shard->phase == GR_SHARD_ACTIVE && gr_shard_accepts_writes (shard)
         && gr_ownership_may_command (shard->ownership)
         && gr_settings_store_is_current (shard->env.settings);
}

/* --- Tick --------------------------------------------------------------- */

static void
commit_record (struct gr_shard *shard, const struct gr_command *command)
{
  const struct gr_job_record *record = gr_core_find (shard->core, command->job);

  if (record != NULL)
    gr_journal_put (shard->journal, record);
}

static void
apply_results (struct gr_shard *shard)
{
  for (guint i = 0; i < shard->results->len; i++)
    {
      const struct gr_command_result *result =
          &g_array_index (shard->results, struct gr_command_result, i);

      gr_core_command_result (shard->core, result->command, result->id,
                              result->kind, now_ms (shard));
    }
  g_array_set_size (shard->results, 0);
}

/* The strings in commands belong to the core and are valid until the next call
 * into it. Results that arrive during dispatch are therefore queued until all
 * commands have been dispatched. */
static void
dispatch_commands (struct gr_shard *shard)
{
  shard->dispatching = true;
  for (guint i = 0; i < shard->commands->len; i++)
    {
      const struct gr_command *command =
          &g_array_index (shard->commands, struct gr_command, i);

      if (command->kind == GR_COMMAND_COMMIT)
        commit_record (shard, command);
      else
        gr_worker_io_send (shard->workers, command);
    }
  shard->dispatching = false;
  apply_results (shard);
}

static int64_t
next_tick_ms (const struct gr_shard *shard)
{
  struct gr_core_status status;

  if (shard->commands->len > 0 || shard->phase == GR_SHARD_QUIESCING)
    return shard->platform.tick_ms;
  gr_core_get_status (shard->core, &status);
  return status.jobs_waiting > 0 ? shard->platform.tick_ms : IDLE_TICK_MS;
}

static void
run_tick (struct gr_shard *shard)
{
  int64_t start_us = g_get_monotonic_time ();

  g_array_set_size (shard->commands, 0);
  gr_core_tick (shard->core, now_ms (shard), gr_clock_unix_ms (),
                may_start (shard), shard->commands);
  dispatch_commands (shard);
  gr_counter_add (shard->ticks, 1);
  gr_histogram_observe (shard->tick_time,
                        (g_get_monotonic_time () - start_us) / 1000);
}

static gboolean
tick_due (gpointer data)
{
  struct gr_shard *shard = data;

  shard->tick_timer = 0;
  if (now_ms (shard) - shard->tick_at_ms > PAUSE_MS)
    {
      gr_worker_io_poll_all (shard->workers);
      gr_shard_tick_within (shard, PAUSE_REPORT_WAIT_MS);
      return G_SOURCE_REMOVE;
    }
  run_tick (shard);
  gr_shard_tick_within (shard, next_tick_ms (shard));
  return G_SOURCE_REMOVE;
}

void
gr_shard_tick_within (struct gr_shard *shard, int64_t delay_ms)
{
  int64_t at_ms = now_ms (shard) + delay_ms;

  if (shard->phase != GR_SHARD_ACTIVE && shard->phase != GR_SHARD_QUIESCING)
    return;
  if (shard->tick_timer != 0 && shard->tick_at_ms <= at_ms)
    return;
  if (shard->tick_timer != 0)
    g_source_remove (shard->tick_timer);
  shard->tick_at_ms = at_ms;
  shard->tick_timer = g_timeout_add ((guint)delay_ms, tick_due, shard);
}

/* --- Journal events ----------------------------------------------------- */

static void
log_state (const struct gr_shard *shard,
           const char *job,
           enum gr_job_state state)
{
  /* Logged here as well as by the entry that answers the client, because the
   * job may start before that entry has received the response. */
  if (state == GR_JOB_ACCEPTED)
    gr_log_event ("job-accepted", "job", job, "shard", shard->name, NULL);
  else if (state == GR_JOB_STARTING)
    gr_log_event ("job-starting", "job", job, "shard", shard->name, NULL);
  else if (state == GR_JOB_RUNNING)
    gr_log_event ("job-running", "job", job, "shard", shard->name, NULL);
  else if (gr_job_state_is_final (state))
    gr_log_event ("job-finished", "job", job, "shard", shard->name, "state",
                  gr_job_state_name (state), NULL);
}

static void
on_committed (const char *job,
              uint64_t version,
              enum gr_job_state state,
              bool new_state,
              bool first,
              void *context)
{
  struct gr_shard *shard = context;

  /* A later state may become durable in the same commit as the acceptance. */
  if (first && state != GR_JOB_ACCEPTED)
    log_state (shard, job, GR_JOB_ACCEPTED);
  if (new_state)
    log_state (shard, job, state);
  gr_core_committed (shard->core, job, version, now_ms (shard));
  gr_shard_job_durable (shard, job);
  gr_shard_tick_within (shard, EVENT_TICK_MS);
}

static void
on_owner_conflict (const struct gr_kv_entry *owner, void *context)
{
  struct gr_shard *shard = context;

  gr_ownership_handle_conflict (shard->ownership, owner);
}

static void
on_store (bool up, void *context)
{
  struct gr_shard *shard = context;

  shard->events.store (up, shard->context);
}

/* --- Worker events ------------------------------------------------------ */

static void
on_report (const struct gr_worker_report *report,
           int64_t requested_ms,
           void *context)
{
  struct gr_shard *shard = context;

  gr_core_worker_report (shard->core, report, now_ms (shard));
  if (report->leaving)
    gr_members_record_target_leaving (shard->env.members, report->worker,
                                      requested_ms, now_ms (shard));
  if (report->n_tasks > 0)
    gr_shard_tick_within (shard, EVENT_TICK_MS);
}

static void
on_worker_removed (const char *worker, void *context)
{
  struct gr_shard *shard = context;

  gr_core_worker_removed (shard->core, worker, now_ms (shard));
}

static void
on_command_result (enum gr_command_kind command,
                   const char *id,
                   enum gr_error_kind kind,
                   void *context)
{
  struct gr_shard *shard = context;
  struct gr_command_result result = { .command = command, .kind = kind };

  if (shard->dispatching)
    {
      g_strlcpy (result.id, id, sizeof result.id);
      g_array_append_val (shard->results, result);
      return;
    }
  gr_core_command_result (shard->core, command, id, kind, now_ms (shard));
  if (command != GR_COMMAND_RENEW || kind != GR_ERROR_NONE)
    gr_shard_tick_within (shard, EVENT_TICK_MS);
}

static bool
on_may_command (void *context)
{
  const struct gr_shard *shard = context;

  return gr_ownership_may_command (shard->ownership);
}

static bool
on_may_renew (void *context)
{
  const struct gr_shard *shard = context;

  return gr_ownership_may_renew (shard->ownership);
}

/* Adds the workers in the data centre of the shard; a shard has the name of
 * its data centre. */
void
gr_shard_update_workers (struct gr_shard *shard)
{
  GArray *targets =
      gr_members_targets (shard->env.members, GR_ROLE_WORKER, now_ms (shard));
  uint32_t n_unreported = 0;

  for (guint i = 0; i < targets->len; i++)
    {
      const struct gr_target *target =
          &g_array_index (targets, struct gr_target, i);

      if (strcmp (target->data_centre, shard->name) != 0)
        continue;
      gr_worker_io_set_target (shard->workers, target->name, target->address,
                               target->listed);
      gr_core_worker_leaving (shard->core, target->name, target->leaving);
      if (target->listed && !target->leaving
          && !gr_core_has_worker (shard->core, target->name))
        n_unreported++;
    }
  gr_core_set_unreported (shard->core, n_unreported);
  gr_worker_io_finish_targets (shard->workers);
  g_array_unref (targets);
}

/* --- Periodic refresh --------------------------------------------------- */

static bool
job_exists (const char *job, void *context)
{
  const struct gr_shard *shard = context;

  return gr_core_find (shard->core, job) != NULL;
}

/* Ended jobs are kept for 24 hours, as request marks are; a submission that is
 * repeated after that runs again. When a page is more than 80 % full they are
 * kept for only 4 hours, because on a full page no jobs could be accepted at
 * all. */
static int64_t
retention_ms (const struct gr_shard *shard)
{
  size_t fullest = gr_journal_fullest_page_bytes (shard->journal);

  return fullest > GR_JOURNAL_MAX_TXN_BYTES * 8 / 10 ? 4 * HOUR_MS
                                                     : 24 * HOUR_MS;
}

static void
prune_ended_jobs (struct gr_shard *shard)
{
  if (now_ms (shard) - shard->last_prune_ms < PRUNE_INTERVAL_MS)
    return;
  shard->last_prune_ms = now_ms (shard);
  gr_core_prune_ended (shard->core, gr_clock_unix_ms () - retention_ms (shard));
  gr_journal_prune (shard->journal, job_exists, shard);
}

static gboolean
refresh_due (gpointer data)
{
  struct gr_shard *shard = data;

  gr_shard_update_workers (shard);
  gr_shard_publish_status (shard);
  prune_ended_jobs (shard);
  return G_SOURCE_CONTINUE;
}

/* --- Recovery ----------------------------------------------------------- */

static void
restore_record (const struct gr_job_record *record, void *context)
{
  struct gr_shard *shard = context;

  gr_core_restore (shard->core, record, now_ms (shard));
}

static void
restore_done (const struct gr_error *error, void *context)
{
  struct gr_shard *shard = context;

  if (error != NULL)
    {
      shard->events.failed (error, shard->context);
      return;
    }
  shard->phase = GR_SHARD_ACTIVE;
  gr_shard_update_workers (shard);
  shard->periodic_timer = g_timeout_add (REFRESH_MS, refresh_due, shard);
  shard->tick_timer = 0;
  gr_shard_tick_within (shard, EVENT_TICK_MS);
}

static void
set_accounts (struct gr_shard *shard)
{
  GPtrArray *paths = gr_settings_store_paths (shard->env.settings, "teams/");

  for (guint i = 0; i < paths->len; i++)
    {
      const char *path = paths->pdata[i];
      int64_t revision;
      struct gr_account_settings account;
      struct gr_error error = GR_ERROR_INIT;
      const char *text =
          gr_settings_store_get (shard->env.settings, path, &revision);

      if (gr_document_team (path + strlen ("teams/"), text, &account, &error))
        gr_core_set_account (shard->core, &account);
    }
  g_ptr_array_unref (paths);
}

/* --- Stop --------------------------------------------------------------- */

static void
check_transition (const struct gr_job_record *record, void *context)
{
  bool *in_transition = context;

  if (record->state == GR_JOB_STARTING || record->state == GR_JOB_STOPPING)
    *in_transition = true;
}

static bool
is_quiesced (const struct gr_shard *shard)
{
  bool in_transition = false;

  gr_core_each_job (shard->core, check_transition, &in_transition);
  return !in_transition && gr_worker_io_pending (shard->workers) == 0;
}

static gboolean
stop_due (gpointer data)
{
  struct gr_shard *shard = data;
  int64_t elapsed_ms = now_ms (shard) - shard->phase_since_ms;

  if (shard->phase == GR_SHARD_QUIESCING
      && (elapsed_ms >= QUIESCE_TIMEOUT_MS || is_quiesced (shard)))
    {
      shard->phase = GR_SHARD_FLUSHING;
      shard->phase_since_ms = now_ms (shard);
      return G_SOURCE_CONTINUE;
    }
  if (shard->phase == GR_SHARD_FLUSHING
      && (elapsed_ms >= FLUSH_TIMEOUT_MS
          || gr_journal_is_idle (shard->journal)))
    {
      shard->phase = GR_SHARD_STOPPED;
      shard->periodic_timer = 0;
      shard->events.stopped (shard->context);
      return G_SOURCE_REMOVE;
    }
  return G_SOURCE_CONTINUE;
}

void
gr_shard_stop (struct gr_shard *shard)
{
  if (shard->phase > GR_SHARD_ACTIVE)
    return;
  if (shard->periodic_timer != 0)
    g_source_remove (shard->periodic_timer);
  shard->phase =
      shard->phase == GR_SHARD_ACTIVE ? GR_SHARD_QUIESCING : GR_SHARD_FLUSHING;
  shard->phase_since_ms = now_ms (shard);
  shard->periodic_timer = g_timeout_add (STOP_POLL_MS, stop_due, shard);
}

/* --- Creation and destruction ------------------------------------------- */

static struct gr_core *
create_core (const struct gr_shard *shard)
{
  struct gr_core_config config = {
    .epoch = gr_ownership_epoch (shard->ownership),
    .policy = GR_POLICY_DEFAULT,
    .start_lease_term_ms = shard->platform.start_lease_term_ms,
    .run_lease_term_ms = shard->platform.run_lease_term_ms,
    .call_timeout_ms = GR_WORKER_LOST_CALL_MS,
    .max_attempts = shard->platform.max_attempts,
  };

  g_strlcpy (config.shard, shard->name, sizeof config.shard);
  g_strlcpy (config.holder, shard->env.instance, sizeof config.holder);
  g_strlcpy (config.data_centre, shard->name, sizeof config.data_centre);
  return gr_core_create (&config, shard->rand);
}

static struct gr_journal *
create_journal (struct gr_shard *shard)
{
  static const struct gr_journal_events events = {
    .committed = on_committed,
    .owner_conflict = on_owner_conflict,
    .store = on_store,
  };
  struct gr_journal_config config = {
    .shard = shard->name,
    .writer = (char *)shard->env.writer,
    .epoch = gr_ownership_epoch (shard->ownership),
    .interval_ms = shard->platform.commit_interval_ms,
    .call_timeout_ms = shard->env.call_timeout_ms,
  };

  return gr_journal_create (shard->env.kv, shard->env.clock,
                            shard->env.counters, &config, &events, shard);
}

static struct gr_worker_io *
create_worker_io (struct gr_shard *shard)
{
  static const struct gr_worker_io_events events = {
    .report = on_report,
    .removed = on_worker_removed,
    .command_result = on_command_result,
    .may_command = on_may_command,
    .may_renew = on_may_renew,
  };

  return gr_worker_io_create (shard->env.workers, shard->env.clock,
                              shard->env.counters, shard->name,
                              shard->env.instance, &events, shard);
}

struct gr_shard *
gr_shard_create (const struct gr_shard_env *env,
                 const char *name,
                 struct gr_ownership *ownership,
                 const struct gr_platform_settings *platform,
                 const struct gr_shard_events *events,
                 void *context)
{
  struct gr_shard *shard = g_new0 (struct gr_shard, 1);
  char *labels = g_strdup_printf ("shard=\"%s\"", name);

  shard->env = *env;
  g_strlcpy (shard->name, name, sizeof shard->name);
  shard->ownership = ownership;
  shard->platform = *platform;
  shard->events = *events;
  shard->context = context;
  shard->rand = g_rand_new ();
  shard->core = create_core (shard);
  shard->journal = create_journal (shard);
  shard->workers = create_worker_io (shard);
  shard->commands = g_array_new (FALSE, FALSE, sizeof (struct gr_command));
  shard->results =
      g_array_new (FALSE, FALSE, sizeof (struct gr_command_result));
  shard->ticks = gr_counters_get (env->counters, "core_ticks_total", labels);
  shard->tick_time =
      gr_counters_histogram (env->counters, "core_tick_ms", labels);
  shard->last_prune_ms = now_ms (shard);
  shard->impossible_guarantees =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  shard->quarantined_workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gr_shard_init_waiters (shard);
  set_accounts (shard);
  gr_journal_load (shard->journal, restore_record, restore_done);
  g_free (labels);
  return shard;
}

void
gr_shard_destroy (struct gr_shard *shard)
{
  if (shard == NULL)
    return;
  if (shard->tick_timer != 0)
    g_source_remove (shard->tick_timer);
  if (shard->periodic_timer != 0)
    g_source_remove (shard->periodic_timer);
  gr_shard_fail_waiters (shard);
  gr_worker_io_destroy (shard->workers);
  gr_journal_destroy (shard->journal);
  gr_core_destroy (shard->core);
  g_rand_free (shard->rand);
  g_array_unref (shard->commands);
  g_array_unref (shard->results);
  g_hash_table_destroy (shard->impossible_guarantees);
  g_hash_table_destroy (shard->quarantined_workers);
  g_free (shard);
}

bool
gr_shard_is_ready (const struct gr_shard *shard)
{
  return shard->phase == GR_SHARD_ACTIVE;
}

void
gr_shard_reacquired (struct gr_shard *shard, uint64_t epoch)
{
  gr_journal_set_epoch (shard->journal, epoch);
  gr_shard_tick_within (shard, EVENT_TICK_MS);
}

bool
gr_shard_commit_unchanged (const struct gr_shard *shard,
                           const struct gr_kv_entry *entry)
{
  return gr_journal_commit_unchanged (shard->journal, entry);
}

void
gr_shard_apply_platform (struct gr_shard *shard,
                         const struct gr_platform_settings *platform)
{
  shard->platform = *platform;
  gr_journal_set_interval (shard->journal, platform->commit_interval_ms);
}

void
gr_shard_apply_account (struct gr_shard *shard,
                        const struct gr_account_settings *account)
{
  gr_core_set_account (shard->core, account);
  gr_shard_tick_within (shard, EVENT_TICK_MS);
}

void
gr_shard_remove_account (struct gr_shard *shard, const char *account)
{
  gr_core_remove_account (shard->core, account);
  gr_shard_tick_within (shard, EVENT_TICK_MS);
}
