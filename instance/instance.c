#include "instance/instance.h"

#include "common/log.h"
#include "http/http-server.h"
#include "instance/clients.h"
#include "instance/metrics.h"
#include "instance/owner.h"
#include "instance/ownership.h"
#include "instance/release.h"

/* After SIGTERM the load balancer needs two health checks, one per second, to
 * notice that the instance is not ready. New connections are accepted for this
 * long. */
#define READINESS_DRAIN_MS 2500

/* The process exits this long before the end of the grace period, when the
 * platform would kill it. */
#define GRACE_MARGIN_MS 700

#define STOP_CHECK_MS 100

struct gr_instance
{
  const struct gr_instance_settings *settings;
  struct gr_clock *clock;
  struct gr_counters *counters;
  struct gr_metastore *store;
  struct gr_config_view *config;
  struct gr_mirror *mirror;
  struct gr_ownership *ownership;
  struct gr_owner *owner; /* NULL while not the owner */
  int64_t epoch;          /* of owner */
  struct gr_clients *clients;
  struct gr_http_server *ready;
  struct gr_http_server *metrics;
  int64_t stopping_ms; /* 0: not stopping */
  bool accepting;
  guint stop_timer;
  guint resign_idle;
  void (*stopped) (void *context);
  void *context;
};

static void
config_changed (void *context)
{
  struct gr_instance *instance = context;

  if (instance->clients != NULL)
    gr_clients_config_changed (instance->clients);
  if (instance->owner != NULL)
    gr_owner_config_changed (instance->owner);
}

static void
job_changed (const char *id, const struct gr_mirror_job *job, void *context)
{
  struct gr_instance *instance = context;

  if (instance->owner != NULL)
    gr_owner_job_changed (instance->owner, id, job);
}

static void
owner_changed (void *context)
{
  struct gr_instance *instance = context;

  if (instance->ownership != NULL)
    gr_ownership_check (instance->ownership);
}

/* Resigns from an idle callback, because the owner must not be destroyed
 * inside one of its own callbacks. */
static gboolean
on_resign_idle (gpointer data)
{
  struct gr_instance *instance = data;

  instance->resign_idle = 0;
  gr_ownership_resign (instance->ownership, "superseded");
  return G_SOURCE_REMOVE;
}

static void
superseded (const char *reason, void *context)
{
  struct gr_instance *instance = context;

  gr_log_event ("owner-superseded", "reason", reason, NULL);
  if (instance->resign_idle == 0)
    instance->resign_idle = g_idle_add (on_resign_idle, instance);
}

static int64_t
lease_until_ms (void *context)
{
  const struct gr_instance *instance = context;

  return gr_ownership_lease_until_ms (instance->ownership);
}

static void
ownership_acquired (int64_t epoch, int64_t revision, void *context)
{
  struct gr_instance *instance = context;
  struct gr_owner_deps deps = {
    .store = instance->store,
    .mirror = instance->mirror,
    .config = instance->config,
    .clock = instance->clock,
    .counters = instance->counters,
    .settings = instance->settings,
    .superseded = superseded,
    .lease_until_ms = lease_until_ms,
    .context = instance,
  };

  gr_mirror_set_low_latency (instance->mirror, true);
  instance->epoch = epoch;
  instance->owner = gr_owner_create (&deps, epoch, revision);
}

static void
ownership_lost (const char *reason, void *context)
{
  struct gr_instance *instance = context;
  struct gr_release release = { .epoch = instance->epoch };

  (void)reason;
  if (instance->resign_idle != 0)
    g_source_remove (instance->resign_idle);
  instance->resign_idle = 0;
  gr_mirror_set_low_latency (instance->mirror, false);
  release.earlier_ms = gr_owner_earlier_ms (instance->owner);
  g_clear_pointer (&instance->owner, gr_owner_destroy);
  gr_release_announce (instance->store, &release);
}

static bool
is_ready (const struct gr_instance *instance)
{
  return instance->stopping_ms == 0 && gr_clients_ready (instance->clients);
}

static void
handle_ready (SoupServerMessage *message,
              const char *path,
              GHashTable *query,
              void *context)
{
  (void)path;
  (void)query;
  soup_server_message_set_status (message, is_ready (context) ? 200 : 503,
                                  NULL);
}

static void
set_metrics (struct gr_instance *instance)
{
  const struct gr_cluster_config *config =
      gr_config_view_get (instance->config);
  struct gr_metrics_state state = {
    .is_owner = instance->owner != NULL,
    .jobs_known = gr_mirror_size (instance->mirror),
    .config_version = config ? config->version : 0,
    .config_age_ms = gr_clock_now_ms (instance->clock)
                     - gr_config_view_current_ms (instance->config),
    .store_silent_ms = gr_metastore_unresponsive_ms (instance->store),
  };

  if (instance->owner != NULL)
    {
      gr_owner_counts (instance->owner, &state.counts, &state.lateness);
      gr_owner_learning (instance->owner, &state.learning);
      state.owner_lease_ms = gr_ownership_lease_until_ms (instance->ownership)
                             - gr_clock_now_ms (instance->clock);
    }
  gr_metrics_set (instance->counters, &state);
  gr_evacuations_set_metrics (gr_config_view_evacuations (instance->config),
                              instance->settings->evacuate_ms > 0,
                              gr_clock_now_ms (instance->clock),
                              instance->counters);
}

static void
handle_metrics (SoupServerMessage *message,
                const char *path,
                GHashTable *query,
                void *context)
{
  struct gr_instance *instance = context;
  GString *text = g_string_new (NULL);

  (void)path;
  (void)query;
  set_metrics (instance);
  gr_counters_print (instance->counters, text);
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "text/plain; version=0.0.4",
                                    SOUP_MEMORY_COPY, text->str, text->len);
  g_string_free (text, TRUE);
}

static bool
listen_all (struct gr_instance *instance, struct gr_error *error)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();
  struct gr_clients_deps deps = {
    .store = instance->store,
    .mirror = instance->mirror,
    .config = instance->config,
    .clock = instance->clock,
    .counters = instance->counters,
    .settings = instance->settings,
  };

  limits.max_connections = 64;
  instance->clients = gr_clients_create (&deps, error);
  if (instance->clients == NULL)
    return false;
  instance->ready =
      gr_http_server_create (instance->settings->ready_address, &limits, NULL,
                             handle_ready, instance, error);
  if (instance->ready == NULL)
    return false;
  instance->metrics =
      gr_http_server_create (instance->settings->metrics_address, &limits, NULL,
                             handle_metrics, instance, error);
  return instance->metrics != NULL;
}

struct gr_instance *
gr_instance_create (const struct gr_instance_settings *settings,
                    struct gr_error *error)
{
  struct gr_instance *instance = g_new0 (struct gr_instance, 1);
  g_autofree char *process =
      gr_epoch_process (settings->instance, settings->client_address);

  instance->settings = settings;
  instance->accepting = true;
  instance->clock = gr_clock_create ();
  instance->counters = gr_counters_create ();
  instance->store =
      gr_metastore_create (settings->store_address, instance->counters);
  instance->config = gr_config_view_create (instance->store, instance->clock,
                                            config_changed, instance);
  instance->mirror = gr_mirror_create (
      instance->store, instance->clock,
      &(struct gr_mirror_events){ job_changed, owner_changed, instance });
  instance->ownership =
      gr_ownership_create (instance->store, instance->mirror, instance->clock,
                           settings->instance, process, settings->cpu_share,
                           &(struct gr_ownership_events){
                               ownership_acquired, ownership_lost, instance });
  if (listen_all (instance, error))
    {
      gr_log_event ("started", NULL);
      return instance;
    }
  gr_instance_destroy (instance);
  return NULL;
}

void
gr_instance_destroy (struct gr_instance *instance)
{
  if (instance == NULL)
    return;
  if (instance->stop_timer != 0)
    g_source_remove (instance->stop_timer);
  if (instance->resign_idle != 0)
    g_source_remove (instance->resign_idle);
  gr_owner_destroy (instance->owner);
  gr_clients_destroy (instance->clients);
  gr_http_server_destroy (instance->ready);
  gr_http_server_destroy (instance->metrics);
  gr_metastore_destroy (instance->store);
  gr_ownership_destroy (instance->ownership);
  gr_mirror_destroy (instance->mirror);
  gr_config_view_destroy (instance->config);
  gr_counters_destroy (instance->counters);
  gr_clock_destroy (instance->clock);
  g_free (instance);
}

static gboolean
check_stop (gpointer data)
{
  struct gr_instance *instance = data;
  int64_t since_ms = gr_clock_now_ms (instance->clock) - instance->stopping_ms;
  int64_t limit_ms =
      (int64_t)instance->settings->grace_s * 1000 - GRACE_MARGIN_MS;

  if (instance->accepting && since_ms >= READINESS_DRAIN_MS)
    {
      instance->accepting = false;
      gr_clients_stop_accepting (instance->clients);
    }
  if (since_ms < limit_ms
      && (instance->accepting || !gr_clients_is_idle (instance->clients)))
    return G_SOURCE_CONTINUE;
  instance->stop_timer = 0;
  gr_log_event ("stopped", NULL);
  instance->stopped (instance->context);
  return G_SOURCE_REMOVE;
}

void
gr_instance_stop (struct gr_instance *instance,
                  void (*stopped) (void *context),
                  void *context)
{
  if (instance->stopping_ms != 0)
    return;
  gr_log_event ("stopping", NULL);
  instance->stopping_ms = gr_clock_now_ms (instance->clock);
  instance->stopped = stopped;
  instance->context = context;
  gr_ownership_stop (instance->ownership);
  instance->stop_timer = g_timeout_add (STOP_CHECK_MS, check_stop, instance);
}
