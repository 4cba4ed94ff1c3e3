#include "instance/clients.h"

#include "common/log.h"
#include "http/http-server.h"
#include "http/json.h"
#include "instance/call.h"
#include "instance/routing.h"

#include <string.h>

/* A revoked key must be refused within revoke_ms. The configuration is trusted
 * for this much less, because clock error and answers in transit use up part
 * of that time. */
#define REVOKE_MARGIN_MS 700

/* Client connections, all from the load balancer. The platform limits an
 * instance to 4,100 file descriptors. */
#define MAX_CONNECTIONS 2000

/* Time to receive a request body. No client waits longer than this for a call
 * (the deadline of the platform's clients). */
#define BODY_TIMEOUT_MS 3000

struct gr_clients
{
  struct gr_clients_deps deps;
  struct gr_http_server *server;
};

bool
gr_clients_ready (const struct gr_clients *clients)
{
  const struct gr_clients_deps *deps = &clients->deps;
  int64_t current_ms = gr_config_view_current_ms (deps->config);
  int64_t age_ms = gr_clock_now_ms (deps->clock) - current_ms;
  int64_t max_age_ms = (int64_t)deps->settings->revoke_ms - REVOKE_MARGIN_MS;

  return gr_config_view_get (deps->config) != NULL && current_ms != 0
         && age_ms < max_age_ms && gr_mirror_is_loaded (deps->mirror);
}

static void
handle_call (SoupServerMessage *message,
             const char *path,
             GHashTable *query,
             void *context)
{
  struct gr_clients *clients = context;

  (void)query;
  gr_call_handle (&clients->deps, message, path, gr_clients_ready (clients));
}

/* Returns the limits of the configuration. Where it is not known or sets none,
 * the platform's example values apply. */
static struct gr_http_server_limits
client_limits (const struct gr_cluster_config *config)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();

  limits.max_connections = MAX_CONNECTIONS;
  limits.max_body_bytes = 262144;
  limits.max_header_bytes = 16384;
  limits.idle_ms = 15000;
  limits.header_ms = 3000;
  limits.read_ms = BODY_TIMEOUT_MS;
  if (config == NULL)
    return limits;
  /* A limit of zero would refuse every call, so zero counts as not set. */
  if (config->limits.max_body_bytes > 0)
    limits.max_body_bytes = config->limits.max_body_bytes;
  if (config->limits.max_header_bytes > 0)
    limits.max_header_bytes = config->limits.max_header_bytes;
  if (config->limits.idle_timeout_ms > 0)
    limits.idle_ms = config->limits.idle_timeout_ms;
  if (config->limits.header_timeout_ms > 0)
    limits.header_ms = config->limits.header_timeout_ms;
  return limits;
}

void
gr_clients_config_changed (struct gr_clients *clients)
{
  struct gr_http_server_limits limits =
      client_limits (gr_config_view_get (clients->deps.config));

  gr_http_server_set_limits (clients->server, &limits);
}

struct gr_clients *
gr_clients_create (const struct gr_clients_deps *deps, struct gr_error *error)
{
  struct gr_clients *clients = g_new0 (struct gr_clients, 1);
  struct gr_http_server_limits limits =
      client_limits (gr_config_view_get (deps->config));

  clients->deps = *deps;
  clients->server =
      gr_http_server_create (deps->settings->client_address, &limits, NULL,
                             handle_call, clients, error);
  if (clients->server != NULL)
    return clients;
  g_free (clients);
  return NULL;
}

void
gr_clients_destroy (struct gr_clients *clients)
{
  if (clients == NULL)
    return;
  gr_http_server_destroy (clients->server);
  g_free (clients);
}

void
gr_clients_stop_accepting (struct gr_clients *clients)
{
  gr_http_server_stop_accepting (clients->server);
}

bool
gr_clients_is_idle (const struct gr_clients *clients)
{
  return gr_http_server_connections (clients->server) == 0;
}
