#include "scheduler/scheduler-private.h"

#include "common/log.h"

#include <string.h>

#define INSTANCES_POLL_MS 2000
#define STOP_CHECK_MS 50

void
gr_scheduler_set_store_up (struct gr_scheduler *scheduler, bool up)
{
  if (scheduler->store_up == up)
    return;
  scheduler->store_up = up;
  if (up)
    gr_log_event ("store-up", NULL);
  else
    gr_log_warning ("store-down", NULL);
  gr_counter_set (gr_counters_get (scheduler->counters, "store_up", ""), up);
}

/* --- Settings ----------------------------------------------------------- */

static void
apply_platform (struct gr_scheduler *scheduler, const char *text)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_platform_settings platform;

  if (!gr_document_platform (text, &platform, &error))
    {
      gr_log_warning ("settings-invalid", "path", "platform", "message",
                      error.message, NULL);
      return;
    }
  scheduler->platform = platform;
  if (gr_settings_store_loaded (scheduler->settings))
    gr_shard_slots_update (scheduler);
}

static void
apply_to_shard (struct gr_shard *shard,
                const char *name,
                const struct gr_account_settings *account)
{
  if (account != NULL)
    gr_shard_apply_account (shard, account);
  else
    gr_shard_remove_account (shard, name);
}

static void
apply_account (struct gr_scheduler *scheduler,
               const char *name,
               const char *text)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_account_settings account;
  GHashTableIter iter;
  void *value;

  if (text[0] != '\0' && !gr_document_team (name, text, &account, &error))
    {
      gr_log_warning ("settings-invalid", "path", name, "message",
                      error.message, NULL);
      return;
    }
  g_hash_table_iter_init (&iter, scheduler->slots);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gr_shard_slot *slot = value;

      if (slot->shard != NULL)
        apply_to_shard (slot->shard, name, text[0] != '\0' ? &account : NULL);
    }
}

static void
on_settings (const char *path,
             const char *text,
             int64_t revision,
             void *context)
{
  struct gr_scheduler *scheduler = context;

  (void)revision;
  if (strcmp (path, "platform") == 0)
    apply_platform (scheduler, text);
  else if (g_str_has_prefix (path, "teams/"))
    apply_account (scheduler, path + strlen ("teams/"), text);
}

/* --- Membership --------------------------------------------------------- */

static void
on_instances (const struct gr_instance *list, uint32_t count, void *context)
{
  struct gr_scheduler *scheduler = context;

  gr_members_apply_list (scheduler->members, list, count,
                         gr_clock_now_ms (scheduler->clock));
}

static void
on_instances_failed (const struct gr_error *error, void *context)
{
  struct gr_scheduler *scheduler = context;

  (void)error;
  gr_counter_add (
      gr_counters_get (scheduler->counters, "instance_list_failures_total", ""),
      1);
}

static enum gr_member_state
own_state (const struct gr_scheduler *scheduler)
{
  if (scheduler->stopping)
    return GR_MEMBER_LEAVING;
  if (!gr_settings_store_loaded (scheduler->settings))
    return GR_MEMBER_STALE;
  return GR_MEMBER_READY;
}

static void
fill_self (struct gr_member *self, void *context)
{
  struct gr_scheduler *scheduler = context;
  GHashTableIter iter;
  void *value;

  self->state = own_state (scheduler);
  self->settings_revision = gr_settings_store_revision (scheduler->settings);
  self->n_shards = 0;
  g_hash_table_iter_init (&iter, scheduler->slots);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && self->n_shards < G_N_ELEMENTS (self->shards))
    {
      const struct gr_shard_slot *slot = value;
      struct gr_member_shard *member_shard = &self->shards[self->n_shards];

      if (slot->shard == NULL)
        continue;
      g_strlcpy (member_shard->name, slot->name, sizeof member_shard->name);
      member_shard->epoch = slot->epoch;
      self->n_shards++;
    }
}

/* Creates the slots once the settings have been loaded. apply_platform () alone
 * is not enough: if the first read of the store finds no platform document,
 * on_settings () is never called. */
static void
on_heartbeat_round (int64_t sent_ms, void *context)
{
  struct gr_scheduler *scheduler = context;

  (void)sent_ms;
  if (g_hash_table_size (scheduler->slots) == 0
      && gr_settings_store_loaded (scheduler->settings) && !scheduler->stopping)
    gr_shard_slots_update (scheduler);
}

const char *
gr_scheduler_not_ready_reason (const struct gr_scheduler *scheduler)
{
  switch (own_state (scheduler))
    {
    case GR_MEMBER_READY:
      return NULL;
    case GR_MEMBER_LEAVING:
      return "stopping\n";
    default:
      return "the settings have not been read yet\n";
    }
}

/* --- Stop --------------------------------------------------------------- */

static bool
all_slots_idle (const struct gr_scheduler *scheduler)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, scheduler->slots);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!gr_shard_slot_is_idle (value))
      return false;
  return true;
}

static gboolean
stop_due (gpointer data)
{
  struct gr_scheduler *scheduler = data;
  int64_t now_ms = gr_clock_now_ms (scheduler->clock);

  if (!all_slots_idle (scheduler)
      && now_ms - scheduler->stop_ms < GR_SCHEDULER_STOP_TIMEOUT_MS)
    return G_SOURCE_CONTINUE;
  scheduler->stop_timer = 0;
  scheduler->stopped (scheduler->context);
  return G_SOURCE_REMOVE;
}

void
gr_scheduler_stop (struct gr_scheduler *scheduler)
{
  GHashTableIter iter;
  void *value;

  if (scheduler->stopping)
    return;
  scheduler->stopping = true;
  scheduler->stop_ms = gr_clock_now_ms (scheduler->clock);
  g_hash_table_iter_init (&iter, scheduler->slots);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gr_shard_slot_drain (value, NULL);
  scheduler->stop_timer = g_timeout_add (STOP_CHECK_MS, stop_due, scheduler);
}

/* --- Creation and destruction ------------------------------------------- */

static void
create_clients (struct gr_scheduler *scheduler,
                const struct gr_process_settings *settings)
{
  struct gr_error error = GR_ERROR_INIT;

  gr_document_platform ("", &scheduler->platform, &error);
  scheduler->kv = gr_kv_create (settings->kv_url, settings->kv_writes_per_s,
                                settings->kv_reads_per_s, scheduler->counters);
  scheduler->workers = gr_worker_client_create ();
  scheduler->members = gr_members_create ();
  scheduler->settings = gr_settings_store_create (
      scheduler->kv, scheduler->clock, on_settings, scheduler);
  scheduler->peers = gr_peers_create (
      scheduler->members, scheduler->clock, scheduler->instance,
      GR_ROLE_SCHEDULER, gr_rpc_server_address (scheduler->server),
      scheduler->data_centre, fill_self, on_heartbeat_round, scheduler);
  scheduler->instances =
      gr_instances_create (settings->instances_url, INSTANCES_POLL_MS,
                           on_instances, on_instances_failed, scheduler);
}

struct gr_scheduler *
gr_scheduler_create (const struct gr_process_settings *settings,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     void (*stopped) (void *context),
                     void *context,
                     struct gr_error *error)
{
  struct gr_scheduler *scheduler = g_new0 (struct gr_scheduler, 1);

  scheduler->instance = g_strdup (settings->instance);
  scheduler->data_centre = g_strdup (settings->data_centre);
  scheduler->kv_timeout_ms = settings->kv_timeout_ms;
  scheduler->clock = clock;
  scheduler->counters = counters;
  scheduler->stopped = stopped;
  scheduler->context = context;
  scheduler->store_up = true;
  /* Set at startup so that alerts on this metric always have a time series. */
  gr_counter_set (gr_counters_get (counters, "store_up", ""), 1);
  scheduler->slots =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, gr_shard_slot_free);
  scheduler->server = gr_rpc_server_create (
      settings->rpc_address, gr_scheduler_handle, scheduler, error);
  if (scheduler->server == NULL)
    {
      gr_scheduler_destroy (scheduler);
      return NULL;
    }
  create_clients (scheduler, settings);
  return scheduler;
}

void
gr_scheduler_destroy (struct gr_scheduler *scheduler)
{
  if (scheduler == NULL)
    return;
  if (scheduler->stop_timer != 0)
    g_source_remove (scheduler->stop_timer);
  g_hash_table_destroy (scheduler->slots);
  if (scheduler->server != NULL)
    gr_rpc_server_destroy (scheduler->server);
  if (scheduler->kv != NULL)
    {
      gr_instances_destroy (scheduler->instances);
      gr_peers_destroy (scheduler->peers);
      gr_settings_store_destroy (scheduler->settings);
      gr_worker_client_destroy (scheduler->workers);
      gr_kv_destroy (scheduler->kv);
      gr_members_destroy (scheduler->members);
    }
  g_free (scheduler->instance);
  g_free (scheduler->data_centre);
  g_free (scheduler);
}

const char *
gr_scheduler_address (const struct gr_scheduler *scheduler)
{
  return gr_rpc_server_address (scheduler->server);
}
