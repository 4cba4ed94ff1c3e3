#include "targets/worker.h"

#include "http/http.h"
#include "http/json.h"
#include "targets/worker-report.h"

/* Connections to one worker. Few calls run at the same time: reports, renewals
 * and starts. */
#define CONNECTIONS 4

struct gr_worker_client
{
  struct gr_http *http;
};

struct worker_call
{
  /* Exactly one of report_done and done is set. */
  void (*report_done) (const struct gr_worker_report *report,
                       const struct gr_error *error,
                       void *context);
  void (*done) (const struct gr_error *error, void *context);
  void *context;
};

struct gr_worker_client *
gr_worker_client_create (void)
{
  struct gr_worker_client *client = g_new0 (struct gr_worker_client, 1);

  client->http = gr_http_create (CONNECTIONS);
  return client;
}

void
gr_worker_client_destroy (struct gr_worker_client *client)
{
  if (client == NULL)
    return;
  gr_http_destroy (client->http);
  g_free (client);
}

static bool
check_status (const struct gr_http_response *response, struct gr_error *error)
{
  const char *leaving =
      soup_message_headers_get_one (response->headers, "Leaving");

  switch (response->status)
    {
    case 200:
      return true;
    case 409:
      return gr_error_set (error, GR_ERROR_CONFLICT,
                           "the worker refused the call");
    case 404:
      return gr_error_set (error, GR_ERROR_NOT_FOUND,
                           "the lease or task does not exist on the worker");
    case 400:
      return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                           "the worker rejected the call as malformed");
    case 503:
      if (leaving != NULL && strcmp (leaving, "true") == 0)
        return gr_error_set (error, GR_ERROR_SHUTTING_DOWN,
                             "the worker is leaving");
      return gr_error_set (error, GR_ERROR_IO, "the worker is not available");
    default:
      return gr_error_set (error, GR_ERROR_IO,
                           "the worker responded with status %u",
                           response->status);
    }
}

static void
finish_call (const struct gr_http_response *response,
             const struct gr_error *error,
             void *context)
{
  struct worker_call *call = context;
  struct gr_error failure = GR_ERROR_INIT;
  struct gr_worker_report report = { 0 };

  if (error != NULL)
    failure = *error;
  else if (check_status (response, &failure) && call->report_done != NULL)
    gr_worker_report_decode (response->body, &report, &failure);
  error = failure.kind == GR_ERROR_NONE ? NULL : &failure;
  if (call->report_done != NULL)
    call->report_done (error ? NULL : &report, error, call->context);
  else
    call->done (error, call->context);
  gr_worker_report_clear (&report);
  g_free (call);
}

void
gr_worker_get_report (struct gr_worker_client *client,
                      const char *address,
                      uint32_t timeout_ms,
                      void (*done) (const struct gr_worker_report *report,
                                    const struct gr_error *error,
                                    void *context),
                      void *context)
{
  struct worker_call *call = g_new0 (struct worker_call, 1);
  char *url = g_strdup_printf ("http://%s/v1/report", address);
  struct gr_http_request request = {
    .method = "GET",
    .url = url,
    .may_resend = true,
    .timeout_ms = timeout_ms,
  };

  call->report_done = done;
  call->context = context;
  gr_http_call (client->http, &request, finish_call, call);
  g_free (url);
}

/* Posts body to /v1/KIND[/ID][/ACTION]. Takes ownership of body. */
static void
post (struct gr_worker_client *client,
      const char *address,
      const char *kind,
      const char *id,
      const char *action,
      JsonObject *body,
      uint32_t timeout_ms,
      void (*done) (const struct gr_error *error, void *context),
      void *context)
{
  struct worker_call *call = g_new0 (struct worker_call, 1);
  char *escaped = id ? g_uri_escape_string (id, NULL, FALSE) : NULL;
  char *url =
      g_strconcat ("http://", address, "/v1/", kind, escaped ? "/" : "",
                   escaped ? escaped : "", action ? "/" : "", action, NULL);
  struct gr_http_request request = {
    .method = "POST",
    .url = url,
    .content_type = "application/json",
    .body = gr_json_to_bytes (body),
    .may_resend = true,
    .timeout_ms = timeout_ms,
  };

  call->done = done;
  call->context = context;
  gr_http_call (client->http, &request, finish_call, call);
  g_bytes_unref (request.body);
  g_free (url);
  g_free (escaped);
}

void
gr_worker_grant (struct gr_worker_client *client,
                 const char *address,
                 const char *lease,
                 const char *holder,
                 uint32_t accelerators,
                 int64_t term_ms,
                 uint32_t timeout_ms,
                 void (*done) (const struct gr_error *error, void *context),
                 void *context)
{
  JsonObject *body = json_object_new ();

  json_object_set_string_member (body, "lease", lease);
  json_object_set_string_member (body, "holder", holder);
  json_object_set_int_member (body, "accelerators", accelerators);
  json_object_set_int_member (body, "term_ms", term_ms);
  post (client, address, "leases", NULL, NULL, body, timeout_ms, done, context);
}

void
gr_worker_renew (struct gr_worker_client *client,
                 const char *address,
                 const char *const *leases,
                 uint32_t n_leases,
                 int64_t term_ms,
                 uint32_t timeout_ms,
                 void (*done) (const struct gr_error *error, void *context),
                 void *context)
{
  JsonObject *body = json_object_new ();
  JsonArray *list = json_array_new ();

  for (uint32_t i = 0; i < n_leases; i++)
    json_array_add_string_element (list, leases[i]);
  json_object_set_array_member (body, "leases", list);
  json_object_set_int_member (body, "term_ms", term_ms);
  post (client, address, "renew", NULL, NULL, body, timeout_ms, done, context);
}

void
gr_worker_release (struct gr_worker_client *client,
                   const char *address,
                   const char *lease,
                   uint32_t timeout_ms,
                   void (*done) (const struct gr_error *error, void *context),
                   void *context)
{
  post (client, address, "leases", lease, "release", json_object_new (),
        timeout_ms, done, context);
}

void
gr_worker_start (struct gr_worker_client *client,
                 const char *address,
                 const char *lease,
                 const char *task,
                 uint32_t throttle_percent,
                 const char *spec,
                 uint32_t timeout_ms,
                 void (*done) (const struct gr_error *error, void *context),
                 void *context)
{
  JsonObject *body = json_object_new ();

  json_object_set_string_member (body, "lease", lease);
  json_object_set_string_member (body, "task", task);
  json_object_set_int_member (body, "throttle_percent", throttle_percent);
  json_object_set_string_member (body, "spec", spec);
  post (client, address, "tasks", NULL, NULL, body, timeout_ms, done, context);
}

void
gr_worker_control_task (struct gr_worker_client *client,
                        const char *address,
                        const char *task,
                        enum gr_task_action action,
                        uint32_t throttle_percent,
                        uint32_t timeout_ms,
                        void (*done) (const struct gr_error *error,
                                      void *context),
                        void *context)
{
  static const char *const names[] = {
    [GR_TASK_THROTTLE] = "throttle",
    [GR_TASK_CHECKPOINT] = "checkpoint",
    [GR_TASK_STOP] = "stop",
  };
  JsonObject *body = json_object_new ();

  if (action == GR_TASK_THROTTLE)
    json_object_set_int_member (body, "throttle_percent", throttle_percent);
  post (client, address, "tasks", task, names[action], body, timeout_ms, done,
        context);
}
