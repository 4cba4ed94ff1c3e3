#include "entry/entry.h"
#include "entry/job-shard.h"

#include "common/log.h"
#include "entry/confirm.h"
#include "entry/exchange.h"
#include "entry/publish.h"
#include "entry/request.h"
#include "entry/router.h"
#include "entry/shares.h"
#include "entry/watch.h"

#include <string.h>

#define INSTANCES_INTERVAL_MS 2000

/* Time between reporting "not ready" and closing the listening socket, in
 * which the load balancer stops sending requests to this instance. */
#define STOP_NOTICE_MS 1000
#define STOP_CHECK_MS 20

/* A shutdown waits at most this long for the outcomes of marks to be
 * written. A mark without an outcome is still safe: it blocks a second run. */
#define STOP_MARKS_TIMEOUT_MS 5000

#define QUEUE_MAX 1024

#define DEFAULT_CONNECTIONS 6

const struct gr_account_settings *
gr_entry_account (const struct gr_entry *entry, const char *name)
{
  return g_hash_table_lookup (entry->accounts, name);
}

bool
gr_entry_is_ready (const struct gr_entry *entry, struct gr_error *error)
{
  if (gr_settings_store_is_current (entry->store))
    return true;
  return gr_error_set (error, GR_ERROR_STALE_SETTINGS,
                       gr_settings_store_loaded (entry->store)
                           ? "neither the key-value service nor a majority of "
                             "entries has confirmed the settings in time"
                           : "the settings have not been read yet");
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

char **
gr_entry_shards (const struct gr_entry *entry)
{
  char **parts = g_strsplit (entry->platform.shards, ";", -1);
  guint n = 0;

  for (size_t i = 0; parts[i] != NULL; i++)
    {
      char *name = g_strstrip (parts[i]);

      if (name[0] != '\0')
        parts[n++] = name;
      else
        g_free (parts[i]);
    }
  parts[n] = NULL;
  qsort (parts, n, sizeof parts[0], compare_names);
  return parts;
}

void
gr_entry_increment_counter (struct gr_entry *entry,
                            const char *name,
                            const char *label,
                            const char *value)
{
  char labels[128];

  g_snprintf (labels, sizeof labels, "%s=\"%s\"", label, value);
  gr_counter_add (gr_counters_get (entry->counters, name, labels), 1);
}

/* The connection limit of the executor client can be replaced only while no
 * request is in flight. Until then, a lower limit is enforced through the
 * executor table, and a higher one has no effect. */
static void
update_connections (struct gr_entry *entry)
{
  uint32_t wanted = entry->platform.connections_per_executor;

  if (wanted != entry->executor_connections
      && gr_executors_in_flight (entry->executors) == 0)
    {
      gr_executor_client_destroy (entry->executor_client);
      entry->executor_client = gr_executor_client_create (wanted);
      entry->executor_connections = wanted;
    }
  gr_executors_configure (entry->executors, GR_POLICY_TWO_CHOICES,
                          MIN (wanted, entry->executor_connections),
                          entry->platform.long_share_percent);
}

static void
apply_platform (struct gr_entry *entry, const char *text)
{
  struct gr_platform_settings platform;
  struct gr_error error = GR_ERROR_INIT;

  if (!gr_document_platform (text, &platform, &error))
    {
      gr_log_warning ("settings-invalid", "path", "platform", "message",
                      error.message, NULL);
      return;
    }
  entry->platform = platform;
  gr_limits_set_instances (entry->limits, platform.entry_instances);
  gr_allot_set_instances (entry->allot, platform.entry_instances);
  gr_retries_set_percent (entry->retries, platform.retry_percent);
  gr_marks_set_interval (entry->marks, platform.commit_interval_ms);
  update_connections (entry);
}

static void
remove_account (struct gr_entry *entry, const char *name)
{
  g_hash_table_remove (entry->accounts, name);
  gr_limits_remove_account (entry->limits, name);
  gr_allot_remove_account (entry->allot, name);
  gr_retries_remove_account (entry->retries, name);
}

static void
apply_team (struct gr_entry *entry, const char *name, const char *text)
{
  struct gr_account_settings *account;
  struct gr_error error = GR_ERROR_INIT;

  if (text[0] == '\0')
    {
      remove_account (entry, name);
      return;
    }
  account = g_new0 (struct gr_account_settings, 1);
  if (!gr_document_team (name, text, account, &error))
    {
      g_free (account);
      return;
    }
  g_hash_table_replace (entry->accounts, g_strdup (name), account);
  gr_limits_set_account (entry->limits, name, account->rate_per_s,
                         gr_clock_now_ms (entry->clock));
  gr_allot_set_account (entry->allot, name, account->rate_per_s);
}

static void
settings_changed (const char *path,
                  const char *text,
                  int64_t revision,
                  void *context)
{
  struct gr_entry *entry = context;

  gr_confirm_document_changed (entry->confirm, path, revision);
  if (strcmp (path, "platform") == 0)
    apply_platform (entry, text);
  else if (g_str_has_prefix (path, "teams/"))
    apply_team (entry, path + strlen ("teams/"), text);
}

static void
instances_changed (const struct gr_instance *list,
                   uint32_t count,
                   void *context)
{
  struct gr_entry *entry = context;

  gr_members_apply_list (entry->members, list, count,
                         gr_clock_now_ms (entry->clock));
  gr_watch_update (entry);
}

static void
instances_failed (const struct gr_error *error, void *context)
{
  (void)context;
  gr_log_warning ("instances-read-failed", "message", error->message, NULL);
}

static void
fill_own_state (struct gr_member *self, void *context)
{
  struct gr_entry *entry = context;

  self->settings_revision = gr_settings_store_revision (entry->store);
  self->settings_digest = gr_confirm_digest (entry->confirm);
  if (!gr_settings_store_loaded (entry->store))
    self->state = GR_MEMBER_UNKNOWN;
  else if (entry->stopping)
    self->state = GR_MEMBER_LEAVING;
  else if (!gr_settings_store_is_current (entry->store))
    self->state = GR_MEMBER_STALE;
  else
    self->state = GR_MEMBER_READY;
}

static void
heartbeat_round_done (int64_t sent_ms, void *context)
{
  struct gr_entry *entry = context;

  gr_confirm_after_heartbeats (entry->confirm, sent_ms);
  update_connections (entry);
  gr_watch_update (entry);
}

static void
handle_rpc (struct gr_rpc_call *call,
            const char *method,
            const msgpack_object *body,
            void *context)
{
  struct gr_entry *entry = context;
  struct gr_error error = GR_ERROR_INIT;

  if (strcmp (method, "peer.heartbeat") == 0)
    gr_peers_handle_heartbeat (entry->peers, call, body);
  else if (strcmp (method, "limits.report") == 0)
    gr_shares_handle (entry->shares, call, body);
  else if (!gr_confirm_handle (entry->confirm, call, method, body))
    {
      gr_error_set (&error, GR_ERROR_NOT_FOUND, "unknown method %s", method);
      gr_rpc_fail (call, &error);
    }
}

static void
create_tables (struct gr_entry *entry)
{
  int64_t now_ms = gr_clock_now_ms (entry->clock);

  entry->accounts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->logged_leaving =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  entry->logged_ready =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  entry->requests = g_hash_table_new (NULL, NULL);
  entry->exchanges = g_hash_table_new (NULL, NULL);
  entry->publishes = g_hash_table_new (NULL, NULL);
  entry->members = gr_members_create ();
  entry->executors = gr_executors_create ();
  entry->classes = gr_classes_create ();
  entry->limits =
      gr_limits_create (GR_LIMIT_ALLOTTED, GR_PACING_WINDOWS, now_ms);
  entry->allot = gr_allot_create (entry->platform.entry_instances);
  entry->retries = gr_retries_create (entry->platform.retry_percent);
  entry->queue = gr_queue_create (QUEUE_MAX);
  entry->confirm = gr_confirm_create (entry);
}

static void
create_clients (struct gr_entry *entry)
{
  const struct gr_process_settings *process = entry->process;
  char *writer;

  entry->executor_connections = DEFAULT_CONNECTIONS;
  entry->executor_client = gr_executor_client_create (DEFAULT_CONNECTIONS);
  entry->kv = gr_kv_create (process->kv_url, process->kv_writes_per_s,
                            process->kv_reads_per_s, entry->counters);
  entry->peers = gr_peers_create (
      entry->members, entry->clock, process->instance, GR_ROLE_ENTRY,
      gr_rpc_server_address (entry->rpc), process->data_centre, fill_own_state,
      heartbeat_round_done, entry);
  writer = g_strconcat (process->instance, "/",
                        gr_peers_incarnation (entry->peers), NULL);
  entry->marks = gr_marks_create (entry->kv, entry->clock, writer,
                                  entry->platform.commit_interval_ms,
                                  process->kv_timeout_ms);
  entry->job_shards =
      gr_job_shards_create (entry->kv, entry->clock, process->kv_timeout_ms);
  g_free (writer);
  apply_platform (entry, "");
  entry->shares = gr_shares_create (entry);
  entry->store = gr_settings_store_create (entry->kv, entry->clock,
                                           settings_changed, entry);
  entry->instances =
      gr_instances_create (process->instances_url, INSTANCES_INTERVAL_MS,
                           instances_changed, instances_failed, entry);
  gr_watch_start (entry);
}

static bool
read_certificate (const struct gr_process_settings *process,
                  GTlsCertificate **certificate,
                  struct gr_error *error)
{
  GError *problem = NULL;

  *certificate = NULL;
  if (process->tls_certificate[0] == '\0' && process->tls_key[0] == '\0')
    return true;
  *certificate = g_tls_certificate_new_from_files (process->tls_certificate,
                                                   process->tls_key, &problem);
  if (*certificate != NULL)
    return true;
  gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                "tls_certificate and tls_key cannot be used: %s",
                problem->message);
  g_error_free (problem);
  return false;
}

static bool
start_servers (struct gr_entry *entry, struct gr_error *error)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();
  const struct gr_process_settings *process = entry->process;
  GTlsCertificate *certificate;

  if (!read_certificate (process, &certificate, error))
    return false;
  entry->rpc =
      gr_rpc_server_create (process->rpc_address, handle_rpc, entry, error);
  if (entry->rpc != NULL)
    entry->http =
        gr_http_server_create (process->http_address, &limits, certificate,
                               gr_router_handle, entry, error);
  g_clear_object (&certificate);
  return entry->http != NULL;
}

struct gr_entry *
gr_entry_create (const struct gr_process_settings *settings,
                 struct gr_error *error)
{
  struct gr_entry *entry = g_new0 (struct gr_entry, 1);

  entry->process = settings;
  entry->clock = gr_clock_create ();
  entry->random = g_rand_new ();
  entry->counters = gr_counters_create ();
  if (!gr_document_platform ("", &entry->platform, error)
      || !start_servers (entry, error))
    {
      gr_rpc_server_destroy (entry->rpc);
      gr_counters_destroy (entry->counters);
      g_rand_free (entry->random);
      gr_clock_destroy (entry->clock);
      g_free (entry);
      return NULL;
    }
  create_tables (entry);
  create_clients (entry);
  return entry;
}

static void
cancel_exchanges (struct gr_entry *entry)
{
  struct gr_error error = GR_ERROR_INIT;
  GList *all = g_hash_table_get_keys (entry->exchanges);

  gr_error_set (&error, GR_ERROR_CANCELLED, "this process is shutting down");
  for (GList *item = all; item != NULL; item = item->next)
    gr_exchange_fail (item->data, &error);
  g_list_free (all);
}

static void
destroy_tables (struct gr_entry *entry)
{
  gr_confirm_destroy (entry->confirm);
  gr_executors_destroy (entry->executors);
  gr_classes_destroy (entry->classes);
  gr_limits_destroy (entry->limits);
  gr_allot_destroy (entry->allot);
  gr_retries_destroy (entry->retries);
  gr_queue_destroy (entry->queue);
  gr_members_destroy (entry->members);
  g_hash_table_destroy (entry->accounts);
  g_hash_table_destroy (entry->logged_leaving);
  g_hash_table_destroy (entry->logged_ready);
  g_hash_table_destroy (entry->requests);
  g_hash_table_destroy (entry->exchanges);
  g_hash_table_destroy (entry->publishes);
}

/* The client objects are destroyed before the tables, because their last
 * callbacks use the tables. */
void
gr_entry_destroy (struct gr_entry *entry)
{
  if (entry == NULL)
    return;
  entry->destroying = true;
  g_clear_handle_id (&entry->queue_timer, g_source_remove);
  g_clear_handle_id (&entry->dispatch_source, g_source_remove);
  g_clear_handle_id (&entry->stop_timer, g_source_remove);
  gr_watch_stop (entry);
  gr_instances_destroy (entry->instances);
  gr_shares_destroy (entry->shares);
  gr_publish_cancel_all (entry);
  gr_request_cancel_queued (entry);
  gr_peers_destroy (entry->peers);
  gr_rpc_server_destroy (entry->rpc);
  gr_executor_client_destroy (entry->executor_client);
  gr_marks_destroy (entry->marks);
  gr_settings_store_destroy (entry->store);
  gr_kv_destroy (entry->kv);
  gr_job_shards_destroy (entry->job_shards);
  cancel_exchanges (entry);
  gr_http_server_destroy (entry->http);
  destroy_tables (entry);
  gr_counters_destroy (entry->counters);
  g_rand_free (entry->random);
  gr_clock_destroy (entry->clock);
  g_free (entry);
}

static bool
is_idle (const struct gr_entry *entry)
{
  return g_hash_table_size (entry->exchanges) == 0
         && gr_http_server_in_flight (entry->http) == 0;
}

static gboolean
check_drained (gpointer data)
{
  struct gr_entry *entry = data;
  int64_t now_ms = gr_clock_now_ms (entry->clock);

  if (!is_idle (entry))
    {
      entry->idle_since_ms = 0;
      return G_SOURCE_CONTINUE;
    }
  if (entry->idle_since_ms == 0)
    entry->idle_since_ms = now_ms;
  if (gr_marks_pending (entry->marks) > 0
      && now_ms - entry->idle_since_ms < STOP_MARKS_TIMEOUT_MS)
    return G_SOURCE_CONTINUE;
  entry->stop_timer = 0;
  gr_log_event ("stopped", NULL);
  if (entry->on_stopped != NULL)
    entry->on_stopped (entry->on_stopped_context);
  return G_SOURCE_REMOVE;
}

static gboolean
stop_accepting (gpointer data)
{
  struct gr_entry *entry = data;

  gr_http_server_stop_accepting (entry->http);
  entry->stop_timer = g_timeout_add (STOP_CHECK_MS, check_drained, entry);
  return G_SOURCE_REMOVE;
}

void
gr_entry_stop (struct gr_entry *entry)
{
  if (entry->stopping)
    return;
  entry->stopping = true;
  gr_log_event ("stopping", NULL);
  entry->stop_timer = g_timeout_add (STOP_NOTICE_MS, stop_accepting, entry);
}

void
gr_entry_on_stopped (struct gr_entry *entry,
                     void (*on_stopped) (void *context),
                     void *context)
{
  entry->on_stopped = on_stopped;
  entry->on_stopped_context = context;
}

const char *
gr_entry_http_address (const struct gr_entry *entry)
{
  return gr_http_server_address (entry->http);
}

const char *
gr_entry_rpc_address (const struct gr_entry *entry)
{
  return gr_rpc_server_address (entry->rpc);
}
