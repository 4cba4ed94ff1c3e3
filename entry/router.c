#include "entry/router.h"

#include "entry/admin.h"
#include "entry/documents.h"
#include "entry/exchange.h"
#include "entry/jobs.h"
#include "entry/request.h"

#include <string.h>

enum access
{
  ACCESS_OPEN,     /* no authentication */
  ACCESS_CLIENT,   /* the handler checks the access */
  ACCESS_OPERATOR, /* operators only */
};

struct route
{
  const char *method;
  const char *path; /* a trailing '/' makes it a prefix */
  enum access access;
  void (*handle) (struct gr_exchange *exchange);
};

static void
send_text (struct gr_exchange *exchange, const char *text)
{
  gr_exchange_send_bytes (exchange, 200, "text/plain; charset=utf-8",
                          g_bytes_new (text, strlen (text)));
}

static void
healthz (struct gr_exchange *exchange)
{
  send_text (exchange, "alive\n");
}

static void
readyz (struct gr_exchange *exchange)
{
  struct gr_error error = GR_ERROR_INIT;

  if (!exchange->entry->stopping && gr_entry_is_ready (exchange->entry, &error))
    {
      send_text (exchange,
                 gr_settings_store_kv_reachable (exchange->entry->store)
                     ? "ready\n"
                     : "ready; the key-value service does not answer\n");
      return;
    }
  if (exchange->entry->stopping)
    gr_error_set (&error, GR_ERROR_SHUTTING_DOWN,
                  "this instance is shutting down");
  gr_exchange_fail (exchange, &error);
}

static void
set_gauge (struct gr_entry *entry, const char *name, int64_t value)
{
  gr_counter_set (gr_counters_get (entry->counters, name, ""), value);
}

static void
metrics (struct gr_exchange *exchange)
{
  struct gr_entry *entry = exchange->entry;
  GString *text = g_string_new (NULL);

  set_gauge (entry, "requests_waiting", gr_queue_length (entry->queue));
  set_gauge (entry, "requests_in_flight",
             gr_executors_in_flight (entry->executors));
  set_gauge (entry, "marks_waiting", gr_marks_pending (entry->marks));
  set_gauge (entry, "executors", gr_executors_count (entry->executors));
  set_gauge (entry, "http_connections",
             gr_http_server_connections (entry->http));
  set_gauge (entry, "settings_revision",
             gr_settings_store_revision (entry->store));
  set_gauge (entry, "settings_current",
             gr_settings_store_is_current (entry->store) ? 1 : 0);
  set_gauge (entry, "store_up",
             gr_settings_store_kv_reachable (entry->store) ? 1 : 0);
  gr_counters_print (entry->counters, text);
  gr_exchange_send_bytes (exchange, 200, "text/plain; version=0.0.4",
                          g_string_free_to_bytes (text));
}

static const struct route routes[] = {
  { "GET", "/healthz", ACCESS_OPEN, healthz },
  { "GET", "/readyz", ACCESS_OPEN, readyz },
  { "GET", "/metrics", ACCESS_OPEN, metrics },
  { "POST", "/v1/requests", ACCESS_CLIENT, gr_request_begin },
  { "POST", "/v1/jobs", ACCESS_CLIENT, gr_jobs_submit },
  { "GET", "/v1/jobs", ACCESS_CLIENT, gr_jobs_list },
  { "GET", "/v1/jobs/", ACCESS_CLIENT, gr_jobs_show },
  { "DELETE", "/v1/jobs/", ACCESS_CLIENT, gr_jobs_cancel },
  { "GET", "/v1/settings", ACCESS_CLIENT, gr_documents_list },
  { "GET", "/v1/settings/", ACCESS_CLIENT, gr_documents_get },
  { "PUT", "/v1/settings/", ACCESS_CLIENT, gr_documents_put },
  { "DELETE", "/v1/settings/", ACCESS_CLIENT, gr_documents_delete },
  { "GET", "/v1/settings-history/", ACCESS_CLIENT, gr_documents_history },
  { "GET", "/v1/accounts", ACCESS_OPERATOR, gr_admin_accounts },
  { "GET", "/v1/accounts/", ACCESS_CLIENT, gr_admin_account },
  { "GET", "/v1/shards", ACCESS_OPERATOR, gr_admin_shards },
  { "POST", "/v1/shards/", ACCESS_OPERATOR, gr_admin_drain_shard },
  { "GET", "/v1/workers", ACCESS_OPERATOR, gr_admin_workers },
  { "GET", "/v1/members", ACCESS_OPERATOR, gr_admin_members },
  { "POST", "/v1/drain", ACCESS_OPERATOR, gr_admin_drain },
};

static bool
path_matches (const struct route *route, const char *path)
{
  size_t size = strlen (route->path);

  if (route->path[size - 1] == '/')
    return strncmp (route->path, path, size) == 0 && path[size] != '\0';
  return strcmp (route->path, path) == 0;
}

static const struct route *
find_route (const char *method, const char *path, bool *known_path)
{
  *known_path = false;
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      if (!path_matches (&routes[i], path))
        continue;
      *known_path = true;
      if (strcmp (routes[i].method, method) == 0)
        return &routes[i];
    }
  return NULL;
}

void
gr_router_handle (SoupServerMessage *message,
                  const char *path,
                  GHashTable *query,
                  void *context)
{
  struct gr_entry *entry = context;
  const char *method = soup_server_message_get_method (message);
  bool valid_path = g_utf8_validate (path, -1, NULL);
  struct gr_exchange *exchange =
      gr_exchange_create (entry, message, valid_path ? path : "", query);
  struct gr_error error = GR_ERROR_INIT;
  const struct route *route;
  bool known_path;

  route = find_route (method, exchange->path, &known_path);
  if (!valid_path)
    gr_error_set (&error, GR_ERROR_BAD_REQUEST, "the path is not UTF-8");
  else if (route == NULL && known_path)
    gr_error_set (&error, GR_ERROR_BAD_REQUEST,
                  "this resource does not support method %.16s", method);
  else if (route == NULL)
    gr_error_set (&error, GR_ERROR_NOT_FOUND, "there is no resource \"%.128s\"",
                  exchange->path);
  else if (route->access != ACCESS_OPERATOR
           || gr_exchange_authorize_operator (exchange, &error))
    {
      if (route->path[strlen (route->path) - 1] == '/')
        exchange->path_suffix = exchange->path + strlen (route->path);
      route->handle (exchange);
      return;
    }
  gr_exchange_fail (exchange, &error);
}
