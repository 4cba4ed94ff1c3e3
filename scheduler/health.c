#include "scheduler/health.h"

#include "http/http-server.h"

#include <string.h>

/* A few monitoring clients are the only users. */
#define MAX_CONNECTIONS 32

struct gr_health
{
  struct gr_http_server *server;
  const struct gr_counters *counters;
  const char *(*reason) (void *context);
  void *context;
};

static void
answer (SoupServerMessage *message, guint status, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "text/plain; charset=utf-8",
                                    SOUP_MEMORY_COPY, text, strlen (text));
}

static void
answer_ready (const struct gr_health *health, SoupServerMessage *message)
{
  const char *reason = health->reason (health->context);

  if (reason == NULL)
    answer (message, 200, "ready\n");
  else
    answer (message, 503, reason);
}

static void
answer_metrics (const struct gr_health *health, SoupServerMessage *message)
{
  GString *text = g_string_new (NULL);

  gr_counters_print (health->counters, text);
  answer (message, 200, text->str);
  g_string_free (text, TRUE);
}

static void
handle (SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        void *context)
{
  const struct gr_health *health = context;

  (void)query;
  if (strcmp (soup_server_message_get_method (message), "GET") != 0)
    answer (message, 405, "only GET is allowed\n");
  else if (strcmp (path, "/healthz") == 0)
    answer (message, 200, "alive\n");
  else if (strcmp (path, "/readyz") == 0)
    answer_ready (health, message);
  else if (strcmp (path, "/metrics") == 0)
    answer_metrics (health, message);
  else
    answer (message, 404, "no such resource\n");
}

struct gr_health *
gr_health_create (const char *address,
                  const struct gr_counters *counters,
                  const char *(*reason) (void *context),
                  void *context,
                  struct gr_error *error)
{
  struct gr_health *health = g_new0 (struct gr_health, 1);
  struct gr_http_server_limits limits = gr_http_server_default_limits ();

  limits.max_connections = MAX_CONNECTIONS;
  health->counters = counters;
  health->reason = reason;
  health->context = context;
  health->server =
      gr_http_server_create (address, &limits, NULL, handle, health, error);
  if (health->server != NULL)
    return health;
  g_free (health);
  return NULL;
}

void
gr_health_destroy (struct gr_health *health)
{
  if (health == NULL)
    return;
  gr_http_server_destroy (health->server);
  g_free (health);
}

const char *
gr_health_address (const struct gr_health *health)
{
  return gr_http_server_address (health->server);
}
