#include "instance/clients.h"

#include "common/log.h"
#include "http/http-server.h"
#include "http/json.h"
#include "instance/call.h"
#include "instance/routing.h"

#include <string.h>

/* The knowledge of the configuration is trusted until so long before the bound
 * for keys that were taken away: clocks and answers on their way take some
 * of it. */
#define REVOKE_MARGIN_MS 700

/* Of a connection from the balancer; the platform's limits for one instance
 * are 4,100 descriptors. */
#define MAX_CONNECTIONS 2000

/* For a body; longer than that no call of a client waits (deadline of the
 * platform's clients). */
#define BODY_MS 3000

struct gr_clients
{
  struct gr_clients_parts parts;
  struct gr_http_server *server;
};

bool
gr_clients_ready (const struct gr_clients *clients)
{
  const struct gr_clients_parts *parts = &clients->parts;
  int64_t current_ms = gr_config_view_current_ms (parts->config);
  int64_t age_ms = gr_clock_now_ms (parts->clock) - current_ms;
  int64_t bound_ms = (int64_t)parts->settings->revoke_ms - REVOKE_MARGIN_MS;

  return gr_config_view_get (parts->config) != NULL && current_ms != 0
         && age_ms < bound_ms && gr_mirror_is_loaded (parts->mirror);
}

static void
handle (SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        void *context)
{
  struct gr_clients *clients = context;

  (void)query;
  gr_call_handle (&clients->parts, message, path, gr_clients_ready (clients));
}

/* The configuration's limits, once it is known; before, the platform's
 * examples of them. */
static struct gr_http_server_limits
client_limits (const struct gr_cluster_config *config)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();

  limits.max_connections = MAX_CONNECTIONS;
  limits.max_body_bytes = 262144;
  limits.max_header_bytes = 16384;
  limits.idle_ms = 15000;
  limits.header_ms = 3000;
  limits.read_ms = BODY_MS;
  if (config == NULL)
    return limits;
  /* A limit of zero would refuse every call; it stands for none here. */
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
      client_limits (gr_config_view_get (clients->parts.config));

  gr_http_server_set_limits (clients->server, &limits);
}

struct gr_clients *
gr_clients_create (const struct gr_clients_parts *parts, struct gr_error *error)
{
  struct gr_clients *clients = g_new0 (struct gr_clients, 1);
  struct gr_http_server_limits limits =
      client_limits (gr_config_view_get (parts->config));

  clients->parts = *parts;
  clients->server = gr_http_server_create (
      parts->settings->client_address, &limits, NULL, handle, clients, error);
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
