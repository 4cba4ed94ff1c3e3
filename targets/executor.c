#include "targets/executor.h"

#include "http/http.h"
#include "http/json.h"

#include <string.h>

struct gr_executor_client
{
  struct gr_http *http;
  uint32_t connections;
};

struct run_call
{
  char *request_key;
  void (*done) (const struct gr_executor_response *response,
                const struct gr_error *error,
                void *context);
  void *context;
};

struct status_call
{
  void (*done) (const struct gr_executor_status *status,
                const struct gr_error *error,
                void *context);
  void *context;
};

struct gr_executor_client *
gr_executor_client_create (uint32_t connections)
{
  struct gr_executor_client *client = g_new0 (struct gr_executor_client, 1);

  client->connections = MAX (connections, 1);
  client->http = gr_http_create (client->connections);
  return client;
}

void
gr_executor_client_destroy (struct gr_executor_client *client)
{
  if (client == NULL)
    return;
  gr_http_destroy (client->http);
  g_free (client);
}

static bool
header_equals (const struct gr_http_response *response,
               const char *name,
               const char *value)
{
  const char *text = soup_message_headers_get_one (response->headers, name);

  return text != NULL && strcmp (text, value) == 0;
}

static int32_t
slots_busy (const struct gr_http_response *response)
{
  const char *text =
      soup_message_headers_get_one (response->headers, "Slots-Busy");
  guint64 value = 0;

  if (text == NULL
      || !g_ascii_string_to_unsigned (text, 10, 0, 1000000, &value, NULL))
    return -1;
  return (int32_t)value;
}

/* Sets error according to the response. Only a refusal that the executor itself
 * states, a 503 with header Leaving or Run-State, counts as not run. */
static void
check_run_response (const struct gr_http_response *response,
                    const char *request_key,
                    struct gr_error *error)
{
  if (response->status == 200)
    {
      if (!header_equals (response, "Request-Key", request_key))
        gr_error_set (
            error, GR_ERROR_PROTOCOL,
            "the request key in the response is not that of the request");
    }
  else if (response->status == 503
           && header_equals (response, "Leaving", "true"))
    gr_error_set (error, GR_ERROR_SHUTTING_DOWN, "the executor is leaving");
  else if (response->status == 503
           && header_equals (response, "Run-State", "not-run"))
    gr_error_set (error, GR_ERROR_OVERLOADED, "the executor has no free slot");
  else
    gr_error_set (error, GR_ERROR_MAY_HAVE_RUN,
                  "the executor responded with status %u", response->status);
}

static void
run_done (const struct gr_http_response *response,
          const struct gr_error *error,
          void *context)
{
  struct run_call *call = context;
  struct gr_error failure = GR_ERROR_INIT;
  struct gr_executor_response result = { .slots_busy = -1 };
  const char *type = NULL;

  if (error != NULL)
    failure = *error;
  else
    {
      check_run_response (response, call->request_key, &failure);
      type = soup_message_headers_get_one (response->headers, "Content-Type");
      result.body = response->body;
      result.content_type = g_strdup (type);
      result.slots_busy = slots_busy (response);
      result.leaving = header_equals (response, "Leaving", "true");
    }
  call->done (response ? &result : NULL,
              failure.kind == GR_ERROR_NONE ? NULL : &failure, call->context);
  g_free (result.content_type);
  g_free (call->request_key);
  g_free (call);
}

/* The key is sent as a header, so a control character in it could change the
 * request. */
static bool
key_is_valid (const char *key)
{
  for (const char *c = key; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c))
      return false;
  return key[0] != '\0';
}

void
gr_executor_run (struct gr_executor_client *client,
                 const char *address,
                 const char *request_key,
                 bool idempotent,
                 GBytes *body,
                 uint32_t timeout_ms,
                 void (*done) (const struct gr_executor_response *response,
                               const struct gr_error *error,
                               void *context),
                 void *context)
{
  struct run_call *call = g_new0 (struct run_call, 1);
  struct gr_error refusal = GR_ERROR_INIT;
  const char *headers[] = { "Request-Key", request_key, NULL };
  char *url = g_strdup_printf ("http://%s/v1/run", address);
  struct gr_http_request request = {
    .method = "POST",
    .url = url,
    .content_type = "application/octet-stream",
    .body = body,
    .headers = headers,
    .may_resend = idempotent,
    .needs_length = true,
    .timeout_ms = timeout_ms,
    .limit_key = address,
  };

  call->request_key = g_strdup (request_key);
  call->done = done;
  call->context = context;
  if (!key_is_valid (request_key))
    {
      gr_error_set (&refusal, GR_ERROR_BAD_REQUEST,
                    "the request key must be printable ASCII without spaces");
      request.refusal = &refusal;
    }
  else if (gr_http_open_calls (client->http, address) >= client->connections)
    {
      gr_error_set (&refusal, GR_ERROR_OVERLOADED,
                    "all connections to %s are in use", address);
      request.refusal = &refusal;
    }
  gr_http_call (client->http, &request, run_done, call);
  g_free (url);
}

static bool
decode_status (GBytes *body,
               struct gr_executor_status *status,
               struct gr_error *error)
{
  JsonObject *object = gr_json_parse (body, error);
  int64_t slots = 0;
  int64_t busy = 0;
  bool valid;

  if (object == NULL)
    return false;
  valid = gr_json_get_int (object, "slots", 1, 100000, 0, &slots)
          && gr_json_get_int (object, "busy", 0, 1000000, 0, &busy)
          && gr_json_get_bool (object, "leaving", false, &status->leaving)
          && slots > 0;
  json_object_unref (object);
  status->slots = (int32_t)slots;
  status->slots_busy = (int32_t)busy;
  if (!valid)
    gr_error_set (error, GR_ERROR_PROTOCOL,
                  "the executor's status is malformed");
  return valid;
}

static void
status_done (const struct gr_http_response *response,
             const struct gr_error *error,
             void *context)
{
  struct status_call *call = context;
  struct gr_error failure = GR_ERROR_INIT;
  struct gr_executor_status status = { 0 };

  if (error != NULL)
    failure = *error;
  else if (response->status != 200)
    gr_error_set (&failure, GR_ERROR_IO,
                  "the executor responded with status %u", response->status);
  else
    decode_status (response->body, &status, &failure);
  if (failure.kind == GR_ERROR_NONE)
    call->done (&status, NULL, call->context);
  else
    call->done (NULL, &failure, call->context);
  g_free (call);
}

void
gr_executor_get_status (struct gr_executor_client *client,
                        const char *address,
                        uint32_t timeout_ms,
                        void (*done) (const struct gr_executor_status *status,
                                      const struct gr_error *error,
                                      void *context),
                        void *context)
{
  struct status_call *call = g_new0 (struct status_call, 1);
  char *url = g_strdup_printf ("http://%s/v1/status", address);
  struct gr_http_request request = {
    .method = "GET",
    .url = url,
    .may_resend = true,
    .timeout_ms = timeout_ms,
    /* Counted together with the requests, so that all calls stay within the
     * connection limit. */
    .limit_key = address,
  };

  call->done = done;
  call->context = context;
  gr_http_call (client->http, &request, status_done, call);
  g_free (url);
}
