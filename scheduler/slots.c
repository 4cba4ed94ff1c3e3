#include "scheduler/scheduler-private.h"

#include "common/hash.h"
#include "common/log.h"

#include <string.h>

#define OWNER_POLL_MS 1000

/* After a failed recovery this instance does not try to acquire the shard again
 * for this long, so that another scheduler can acquire it. */
#define RECOVERY_RETRY_MS 5000

static void
log_shard (const char *event,
           const struct gr_shard_slot *slot,
           const char *reason)
{
  char epoch[24];

  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT, slot->epoch);
  gr_log_event (event, "shard", slot->name, "epoch", epoch, "reason", reason,
                NULL);
}

static void
set_owned_gauge (const struct gr_shard_slot *slot, bool owned)
{
  char *labels = g_strdup_printf ("shard=\"%s\"", slot->name);

  gr_counter_set (
      gr_counters_get (slot->scheduler->counters, "shard_owned", labels),
      owned);
  g_free (labels);
}

static void
count_event (const struct gr_shard_slot *slot, const char *name)
{
  char *labels = g_strdup_printf ("shard=\"%s\"", slot->name);

  gr_counter_add (gr_counters_get (slot->scheduler->counters, name, labels), 1);
  g_free (labels);
}

static void
answer_drain_calls (struct gr_shard_slot *slot, const char *state)
{
  struct gr_packer *body = gr_packer_create ();

  gr_pack_string (body, "shard", slot->name);
  gr_pack_string (body, "state", state);
  for (guint i = 0; i < slot->drain_calls->len; i++)
    gr_rpc_reply (slot->drain_calls->pdata[i], body);
  g_ptr_array_set_size (slot->drain_calls, 0);
  gr_packer_destroy (body);
}

/* --- Shard events ------------------------------------------------------- */

static void
on_recovery_failed (const struct gr_error *error, void *context)
{
  struct gr_shard_slot *slot = context;

  gr_log_warning ("shard-recovery-failed", "shard", slot->name, "message",
                  error->message, NULL);
  gr_ownership_abandon (slot->ownership, RECOVERY_RETRY_MS);
}

static void
on_shard_stopped (void *context)
{
  struct gr_shard_slot *slot = context;

  gr_ownership_release (slot->ownership);
}

static void
on_store (bool up, void *context)
{
  struct gr_shard_slot *slot = context;

  gr_scheduler_set_store_up (slot->scheduler, up);
}

static void
create_shard (struct gr_shard_slot *slot)
{
  static const struct gr_shard_events events = {
    .failed = on_recovery_failed,
    .store = on_store,
    .stopped = on_shard_stopped,
  };
  struct gr_scheduler *scheduler = slot->scheduler;
  struct gr_shard_env env = {
    .kv = scheduler->kv,
    .clock = scheduler->clock,
    .counters = scheduler->counters,
    .workers = scheduler->workers,
    .settings = scheduler->settings,
    .members = scheduler->members,
    .instance = scheduler->instance,
    .writer = gr_peers_incarnation (scheduler->peers),
    .call_timeout_ms = scheduler->kv_timeout_ms,
  };

  slot->shard = gr_shard_create (&env, slot->name, slot->ownership,
                                 &scheduler->platform, &events, slot);
}

/* --- Ownership events --------------------------------------------------- */

/* Shortly after startup the list of ready members may not contain this process
 * yet. */
static bool
on_preferred (void *context)
{
  const struct gr_shard_slot *slot = context;
  const struct gr_scheduler *scheduler = slot->scheduler;
  GPtrArray *names = gr_members_ready (scheduler->members, GR_ROLE_SCHEDULER,
                                       gr_clock_now_ms (scheduler->clock));
  int first;
  bool preferred;

  if (!g_ptr_array_find_with_equal_func (names, scheduler->instance,
                                         g_str_equal, NULL))
    g_ptr_array_add (names, g_strdup (scheduler->instance));
  first = gr_hash_choose (slot->name, (const char *const *)names->pdata,
                          names->len);
  preferred = strcmp (names->pdata[first], scheduler->instance) == 0;
  g_ptr_array_unref (names);
  return preferred;
}

static bool
on_eligible (void *context)
{
  const struct gr_shard_slot *slot = context;

  return slot->configured && !slot->scheduler->stopping;
}

static void
on_acquired (uint64_t epoch, void *context)
{
  struct gr_shard_slot *slot = context;

  slot->epoch = epoch;
  if (!on_eligible (slot))
    {
      gr_ownership_release (slot->ownership);
      return;
    }
  log_shard ("shard-acquired", slot, NULL);
  count_event (slot, "shard_acquired_total");
  set_owned_gauge (slot, true);
  create_shard (slot);
}

static void
on_reacquired (uint64_t epoch, void *context)
{
  struct gr_shard_slot *slot = context;

  slot->epoch = epoch;
  log_shard ("shard-reacquired", slot, NULL);
  gr_shard_reacquired (slot->shard, epoch);
}

static bool
on_commit_unchanged (const struct gr_kv_entry *entry, void *context)
{
  const struct gr_shard_slot *slot = context;

  return slot->shard != NULL && gr_shard_commit_unchanged (slot->shard, entry);
}

static void
destroy_owned_shard (struct gr_shard_slot *slot)
{
  set_owned_gauge (slot, false);
  g_clear_pointer (&slot->shard, gr_shard_destroy);
  answer_drain_calls (slot, "released");
}

static void
on_lost (const char *reason, void *context)
{
  struct gr_shard_slot *slot = context;

  log_shard ("shard-lost", slot, reason);
  count_event (slot, "shard_lost_total");
  destroy_owned_shard (slot);
}

static void
on_released (void *context)
{
  struct gr_shard_slot *slot = context;

  if (slot->shard != NULL)
    log_shard ("shard-released", slot, NULL);
  destroy_owned_shard (slot);
}

/* --- Slots -------------------------------------------------------------- */

static struct gr_ownership *
create_ownership (struct gr_shard_slot *slot)
{
  static const struct gr_ownership_events events = {
    .preferred = on_preferred,
    .eligible = on_eligible,
    .acquired = on_acquired,
    .reacquired = on_reacquired,
    .commit_unchanged = on_commit_unchanged,
    .lost = on_lost,
    .released = on_released,
    .store = on_store,
  };
  struct gr_scheduler *scheduler = slot->scheduler;
  struct gr_ownership_config config = {
    .shard = slot->name,
    .instance = scheduler->instance,
    .address = (char *)gr_rpc_server_address (scheduler->server),
    .writer = (char *)gr_peers_incarnation (scheduler->peers),
    .ttl_s = scheduler->platform.owner_lease_ttl_s,
    .poll_ms = OWNER_POLL_MS,
    .call_timeout_ms = scheduler->kv_timeout_ms,
  };

  return gr_ownership_create (scheduler->kv, scheduler->clock, &config, &events,
                              slot);
}

static struct gr_shard_slot *
slot_create (struct gr_scheduler *scheduler, const char *name)
{
  struct gr_shard_slot *slot = g_new0 (struct gr_shard_slot, 1);

  slot->scheduler = scheduler;
  g_strlcpy (slot->name, name, sizeof slot->name);
  slot->drain_calls = g_ptr_array_new ();
  slot->ownership = create_ownership (slot);
  return slot;
}

void
gr_shard_slot_free (void *data)
{
  struct gr_shard_slot *slot = data;

  gr_shard_destroy (slot->shard);
  gr_ownership_destroy (slot->ownership);
  answer_drain_calls (slot, "stopped");
  g_ptr_array_unref (slot->drain_calls);
  g_free (slot);
}

static void
clear_configured (struct gr_scheduler *scheduler)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, scheduler->slots);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gr_shard_slot *slot = value;

      slot->configured = false;
    }
}

static void
apply_settings (struct gr_scheduler *scheduler)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, scheduler->slots);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gr_shard_slot *slot = value;

      gr_ownership_set_ttl (slot->ownership,
                            scheduler->platform.owner_lease_ttl_s);
      if (slot->shard != NULL)
        gr_shard_apply_platform (slot->shard, &scheduler->platform);
      if (!slot->configured)
        gr_shard_slot_drain (slot, NULL);
    }
}

void
gr_shard_slots_update (struct gr_scheduler *scheduler)
{
  char **names = g_strsplit (scheduler->platform.shards, ";", -1);

  clear_configured (scheduler);
  for (char **name = names; *name != NULL; name++)
    {
      const char *trimmed = g_strstrip (*name);
      struct gr_shard_slot *slot =
          g_hash_table_lookup (scheduler->slots, trimmed);

      if (trimmed[0] == '\0' || strlen (trimmed) >= GR_NAME_MAX)
        continue;
      if (slot == NULL)
        {
          slot = slot_create (scheduler, trimmed);
          g_hash_table_insert (scheduler->slots, slot->name, slot);
        }
      slot->configured = true;
    }
  g_strfreev (names);
  apply_settings (scheduler);
}

void
gr_shard_slot_drain (struct gr_shard_slot *slot, struct gr_rpc_call *call)
{
  if (call != NULL)
    g_ptr_array_add (slot->drain_calls, call);
  if (slot->shard != NULL)
    gr_shard_stop (slot->shard);
  else if (call != NULL)
    answer_drain_calls (slot, "not-owned");
}

bool
gr_shard_slot_is_idle (const struct gr_shard_slot *slot)
{
  return gr_ownership_state (slot->ownership) == GR_OWNERSHIP_WAITING;
}
