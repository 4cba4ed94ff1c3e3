#include "instance/owner.h"

#include "common/log.h"
#include "instance/advice-calls.h"
#include "instance/evacuation-control.h"
#include "instance/expiry.h"
#include "instance/handover.h"
#include "instance/learned.h"
#include "instance/owner-load.h"
#include "instance/ownership.h"
#include "instance/progress-log.h"
#include "instance/release.h"
#include "instance/upkeep.h"
#include "instance/worker-io.h"
#include "instance/worker-registry.h"
#include "steps/tenure.h"

#include <string.h>

/* Lease of the runs on a worker, extended by each status poll. Long enough for
 * a takeover after a store outage of a few seconds. When the lease of an
 * unreachable worker expires, its work is started again elsewhere. */
#define RUN_LEASE_MS 7000

/* Registry entries that expired during an outage of the store are registered
 * again within two seconds after it ends (a bound of the platform). */
#define REGISTRY_SETTLE_MS 2500

/* The store counts as stable when it has answered without failure for this
 * long. The platform's bound contact-ms is 3 or 4 s. */
#define STORE_STABLE_MS 5000

/* Period of the core's scheduling passes when no event triggers one. */
#define TICK_MS 100

struct gr_owner
{
  struct gr_owner_deps deps;
  int64_t epoch;
  int64_t revision;
  struct gr_steps *steps;
  struct gr_worker_io *io;
  struct gr_progress_log *log;
  struct gr_learned *learned;
  struct gr_upkeep *upkeep;
  struct gr_expiry *expiry;
  struct gr_advice_calls *advice;
  struct gr_evacuation_control *evacuation;
  struct gr_worker_registry *registry;
  struct gr_handover *handover;
  bool loaded;
  bool registry_read;
  bool superseded;
  bool lease_expired;          /* as last logged */
  bool former_done_announced;  /* that no former owner is active */
  uint32_t applied_earlier_ms; /* of the announcement that was applied */
  guint tick_timer;
  int64_t last_tick_ms;
  guint pass_timer;
  struct gr_owner_load load;
  struct owner_call *reload_call; /* NULL: none is open */
};

/* A call that may end after the owner was destroyed. */
struct owner_call
{
  struct gr_owner *owner; /* NULL after the owner was destroyed */
};

static void run_pass (struct gr_owner *owner);

static void
report_superseded (struct gr_owner *owner, const char *reason)
{
  if (owner->superseded)
    return;
  owner->superseded = true;
  owner->deps.superseded (reason, owner->deps.context);
}

static void
write_progress (struct gr_owner *owner)
{
  const char *id;

  while ((id = gr_steps_take_changed (owner->steps)) != NULL)
    {
      struct gr_job_progress progress;
      GBytes *value;

      if (!gr_steps_progress (owner->steps, id, &progress))
        continue;
      value = gr_record_encode_progress (&progress);
      gr_progress_log_add (owner->log, id, value);
      g_bytes_unref (value);
      gr_job_progress_clear (&progress);
    }
  gr_progress_log_flush (owner->log, gr_steps_sequence (owner->steps));
}

/* Passes the end of the owner's own lease to the core, and logs when it may
 * have expired and when it is certain again. */
static void
update_lease (struct gr_owner *owner)
{
  int64_t until_ms = owner->deps.lease_until_ms (owner->deps.context);
  int64_t now_ms = gr_clock_now_ms (owner->deps.clock);
  bool expired = now_ms >= until_ms;
  char age[24];

  gr_steps_set_owner_lease (owner->steps, until_ms);
  if (expired == owner->lease_expired)
    return;
  owner->lease_expired = expired;
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT, now_ms - until_ms);
  gr_log_event (expired ? "owner-lease-expired" : "owner-lease-renewed",
                "expired_ms", age, NULL);
}

/* The last owner is announced to have stopped, so what remains to be waited for
 * are owners before it and the leases that it has granted. The announcement can
 * come at any time, and be followed by a better one. */
static void
apply_release (struct gr_owner *owner)
{
  struct gr_release release = gr_mirror_released (owner->deps.mirror);

  if (owner->former_done_announced || !release.announced
      || release.epoch != owner->epoch - 1
      || release.earlier_ms >= owner->applied_earlier_ms)
    return;
  owner->applied_earlier_ms = release.earlier_ms;
  gr_steps_former_owner_stopped (owner->steps, release.earlier_ms,
                                 gr_clock_now_ms (owner->deps.clock));
}

/* Announces once that no former owner is active any more. A process that is
 * started in place of this owner cannot know it otherwise. */
static void
announce_former_done (struct gr_owner *owner)
{
  struct gr_release known = gr_mirror_released (owner->deps.mirror);
  struct gr_release release = { .epoch = owner->epoch - 1 };

  if (owner->former_done_announced || gr_owner_earlier_ms (owner) > 0)
    return;
  owner->former_done_announced = true;
  if (!known.announced || known.epoch != release.epoch || known.earlier_ms > 0)
    gr_release_announce_after (owner->deps.store, &release, GR_RECORD_OWNER,
                               owner->revision);
}

static void
run_pass (struct gr_owner *owner)
{
  int64_t start_us = g_get_monotonic_time ();

  if (!owner->loaded || !owner->registry_read || owner->superseded)
    return;
  update_lease (owner);
  apply_release (owner);
  gr_evacuation_control_run (owner->evacuation);
  gr_steps_tick (owner->steps, gr_clock_now_ms (owner->deps.clock),
                 gr_clock_unix_ms ());
  gr_worker_io_run (owner->io);
  gr_advice_calls_run (owner->advice);
  gr_upkeep_run (owner->upkeep);
  gr_expiry_run (owner->expiry);
  write_progress (owner);
  gr_handover_run (owner->handover);
  gr_learned_run (owner->learned);
  announce_former_done (owner);
  gr_owner_load_add_pass (&owner->load, g_get_monotonic_time () - start_us);
  if (gr_steps_fenced (owner->steps))
    report_superseded (owner, "a worker has seen a higher epoch");
}

static gboolean
on_pass_timer (gpointer data)
{
  struct gr_owner *owner = data;

  owner->pass_timer = 0;
  run_pass (owner);
  return G_SOURCE_REMOVE;
}

/* Triggers a scheduling pass. Answers that arrive together share it. */
static void
schedule_pass (void *context)
{
  struct gr_owner *owner = context;

  if (owner->pass_timer == 0 && !owner->superseded)
    owner->pass_timer = g_timeout_add (
        gr_owner_load_pass_delay_ms (&owner->load), on_pass_timer, owner);
}

static void
log_load (struct gr_owner *owner, int64_t now_ms)
{
  struct gr_worker_traffic traffic = gr_worker_io_traffic (owner->io);
  struct gr_steps_counts counts;

  gr_steps_counts (owner->steps, &counts);
  gr_owner_load_log (&owner->load, now_ms, gr_worker_io_lateness (owner->io),
                     &counts, &traffic);
}

static gboolean
on_tick (gpointer data)
{
  struct gr_owner *owner = data;
  int64_t now_ms = gr_clock_now_ms (owner->deps.clock);

  gr_worker_io_update_loop_late (
      owner->io, MAX (now_ms - owner->last_tick_ms - TICK_MS, 0));
  owner->last_tick_ms = now_ms;
  run_pass (owner);
  log_load (owner, now_ms);
  return G_SOURCE_CONTINUE;
}

static void
committed (uint64_t sequence, void *context)
{
  struct gr_owner *owner = context;

  gr_steps_committed (owner->steps, sequence);
  schedule_pass (owner);
}

static void
not_owner (void *context)
{
  report_superseded (context, "the owner's record has changed");
}

/* The worker gets no new work, but it may be alive: its runs keep their
 * lease. */
static void
worker_unreadable (const char *worker, void *context)
{
  struct gr_owner *owner = context;

  gr_steps_worker_unregistered (owner->steps, worker, 0, false,
                                gr_clock_now_ms (owner->deps.clock));
}

static void
set_worker (const struct gr_registry_entry *entry,
            int64_t revision,
            int64_t since_ms,
            void *context)
{
  struct gr_owner *owner = context;
  struct gr_steps_worker worker = {
    .id = entry->worker,
    .service = entry->service,
    .data_centre = entry->data_centre,
    .rack = entry->rack,
    .labels = (const char *const *)entry->labels,
    .capacity = entry->capacity,
    .draining = entry->draining,
    .remaining_ms = entry->remaining_ms,
    .incarnation_unix_ms = entry->incarnation_unix_ms,
    .entry_revision = revision,
    .since_ms = since_ms,
  };
  const struct gr_cluster_config *config =
      gr_config_view_get (owner->deps.config);

  /* Such an entry is from another writer, whoever's id and address it has. */
  if (config != NULL
      && !gr_cluster_config_names_service (config, entry->service))
    {
      gr_log_warning ("registry-entry-of-unknown-service", "worker",
                      entry->worker, "service", entry->service, NULL);
      worker_unreadable (entry->worker, owner);
      return;
    }
  if (!gr_steps_set_worker (owner->steps, &worker,
                            gr_clock_now_ms (owner->deps.clock)))
    return;
  gr_handover_set_address (owner->handover, entry->worker, entry->address);
}

static int64_t
store_up_since (const struct gr_owner *owner)
{
  int64_t now_ms = gr_clock_now_ms (owner->deps.clock);

  return MIN (gr_config_view_store_up_since_ms (owner->deps.config), now_ms);
}

/* While the store is not stable, entries can disappear although their workers
 * are alive. */
static bool
store_is_stable (const struct gr_owner *owner)
{
  return store_up_since (owner) + STORE_STABLE_MS
         <= gr_clock_now_ms (owner->deps.clock);
}

static void
worker_unregistered (const char *worker, int64_t since_ms, void *context)
{
  struct gr_owner *owner = context;

  gr_steps_worker_unregistered (owner->steps, worker, since_ms,
                                store_is_stable (owner),
                                gr_clock_now_ms (owner->deps.clock));
}

static void
registry_current (void *context)
{
  struct gr_owner *owner = context;

  owner->registry_read = true;
  schedule_pass (owner);
}

static void
set_job (struct gr_owner *owner,
         const char *id,
         const struct gr_mirror_job *job,
         bool inherited)
{
  gr_steps_add_job (owner->steps, job->spec,
                    job->progress_revision ? &job->progress : NULL, inherited,
                    gr_clock_now_ms (owner->deps.clock));
  if (job->cancel_revision != 0)
    gr_steps_cancel_job (owner->steps, id);
}

static void
inherit_job (const char *id, const struct gr_mirror_job *job, void *context)
{
  set_job (context, id, job, true);
}

void
gr_owner_job_changed (struct gr_owner *owner,
                      const char *id,
                      const struct gr_mirror_job *job)
{
  if (!owner->loaded)
    return;
  set_job (owner, id, job, false);
  schedule_pass (owner);
}

void
gr_owner_config_changed (struct gr_owner *owner)
{
  const struct gr_cluster_config *config =
      gr_config_view_get (owner->deps.config);

  gr_evacuation_control_run (owner->evacuation);
  if (config == NULL)
    return;
  for (size_t i = 0; i < config->n_queues; i++)
    {
      const struct gr_queue_config *row = &config->queues[i];
      struct gr_steps_queue queue = {
        .name = row->name,
        .service = row->service,
        .priority = row->priority,
        .max_attempts = row->max_attempts,
        .objective_ms = row->objective_ms,
        .stretch = row->stretch,
        .needs_advice = row->needs_advice,
        .advice_decide_ms = row->advice_decide_ms,
        .advice_each_ms = row->advice_each_ms,
      };

      gr_steps_set_queue (owner->steps, &queue);
    }
  for (size_t i = 0; i < config->n_accounts; i++)
    gr_steps_set_guarantee (owner->steps, config->accounts[i].name,
                            config->accounts[i].guaranteed_accelerators);
  schedule_pass (owner);
}

static void reload (struct gr_owner *owner);

static void
reload_done (bool loaded, void *context)
{
  struct owner_call *call = context;
  struct gr_owner *owner = call->owner;

  g_free (call);
  if (owner == NULL)
    return;
  owner->reload_call = NULL;
  if (!loaded)
    {
      reload (owner);
      return;
    }
  owner->loaded = true;
  gr_learned_restore (owner->learned);
  gr_handover_inherit (owner->handover);
  gr_mirror_each (owner->deps.mirror, inherit_job, owner);
  schedule_pass (owner);
}

/* Reads every record that was written before the takeover. */
static void
reload (struct gr_owner *owner)
{
  owner->reload_call = g_new0 (struct owner_call, 1);
  owner->reload_call->owner = owner;
  gr_mirror_reload (owner->deps.mirror, reload_done, owner->reload_call);
}

struct gr_owner *
gr_owner_create (const struct gr_owner_deps *deps,
                 int64_t epoch,
                 int64_t revision)
{
  struct gr_owner *owner = g_new0 (struct gr_owner, 1);
  const struct gr_instance_settings *settings = deps->settings;
  struct gr_steps_settings core = {
    .run_lease_ms = MIN (RUN_LEASE_MS, settings->max_hold_ms),
    .max_hold_ms = settings->max_hold_ms,
    .gang_wait_ms = settings->gang_wait_ms,
    .reclaim_ms = settings->reclaim_ms,
    .isolation_ms = GR_OWNER_ISOLATION_MS,
    .heartbeat_ms = settings->heartbeat_ms,
    .checkpoint_ms = (uint32_t)(settings->checkpoint_s * 1000),
    .far_factor = settings->far_factor,
    .stop_ms = settings->stop_ms,
    .run_times = gr_mode_from_name (settings->run_times),
    .speeds = gr_mode_from_name (settings->speeds),
    .objectives = gr_mode_from_name (settings->objectives),
    .budget = gr_mode_from_name (settings->budget),
  };

  owner->deps = *deps;
  owner->epoch = epoch;
  owner->revision = revision;
  owner->applied_earlier_ms = UINT32_MAX;
  owner->steps = gr_steps_create (&core, epoch, gr_clock_now_ms (deps->clock));
  owner->io = gr_worker_io_create (
      owner->steps, epoch, core.run_lease_ms, deps->clock, deps->counters,
      &(struct gr_worker_io_events){ schedule_pass, owner });
  owner->log = gr_progress_log_create (
      deps->store, deps->mirror, revision,
      &(struct gr_progress_log_events){ committed, not_owner, owner });
  owner->learned = gr_learned_create (deps, owner->steps, revision);
  gr_steps_set_registry_settled (owner->steps,
                                 store_up_since (owner) + REGISTRY_SETTLE_MS);
  owner->handover =
      gr_handover_create (deps, owner->steps, owner->io, revision,
                          &(struct gr_handover_events){ schedule_pass, owner });
  owner->expiry = gr_expiry_create (deps, revision);
  owner->upkeep = gr_upkeep_create (deps, owner->steps, epoch, revision);
  owner->advice =
      gr_advice_calls_create (deps, owner->steps, schedule_pass, owner);
  owner->evacuation = gr_evacuation_control_create (&owner->deps, owner->steps);
  /* Registry events arrive before the first pass. */
  update_lease (owner);
  gr_owner_config_changed (owner);
  owner->last_tick_ms = gr_clock_now_ms (deps->clock);
  owner->tick_timer = g_timeout_add (TICK_MS, on_tick, owner);
  reload (owner);
  owner->registry = gr_worker_registry_create (
      deps->store, deps->clock,
      &(struct gr_worker_registry_events){ set_worker, worker_unregistered,
                                           worker_unreadable, registry_current,
                                           owner });
  return owner;
}

uint32_t
gr_owner_earlier_ms (const struct gr_owner *owner)
{
  return gr_steps_former_owner_ms (owner->steps,
                                   gr_clock_now_ms (owner->deps.clock));
}

void
gr_owner_counts (const struct gr_owner *owner,
                 struct gr_steps_counts *counts,
                 struct gr_lateness *lateness)
{
  gr_steps_counts (owner->steps, counts);
  *lateness = *gr_worker_io_lateness (owner->io);
}

void
gr_owner_learning (const struct gr_owner *owner,
                   struct gr_steps_learning *learning)
{
  gr_steps_learning (owner->steps, learning);
}

void
gr_owner_destroy (struct gr_owner *owner)
{
  if (owner == NULL)
    return;
  if (owner->reload_call != NULL)
    owner->reload_call->owner = NULL;
  g_source_remove (owner->tick_timer);
  if (owner->pass_timer != 0)
    g_source_remove (owner->pass_timer);
  gr_worker_registry_destroy (owner->registry);
  gr_upkeep_destroy (owner->upkeep);
  gr_expiry_destroy (owner->expiry);
  gr_advice_calls_destroy (owner->advice);
  gr_evacuation_control_destroy (owner->evacuation);
  gr_handover_destroy (owner->handover);
  gr_worker_io_destroy (owner->io);
  gr_progress_log_destroy (owner->log);
  gr_learned_destroy (owner->learned);
  gr_steps_destroy (owner->steps);
  g_free (owner);
}
