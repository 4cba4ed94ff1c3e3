#include "instance/call.h"

#include "common/log.h"
#include "http/http-server.h"
#include "http/json.h"
#include "instance/call-private.h"
#include "platform/job.h"

#include <string.h>

/* Timeout of one store call, and time limit of a client's call with all its
 * attempts. A working store can take up to 400 ms to answer. */
#define ATTEMPT_TIMEOUT_MS 700
#define CALL_LIMIT_MS 1500

/* Subtracted from the client's deadline, to leave time for the response to
 * reach the client. */
#define DEADLINE_MARGIN_MS 100

/* The store counts as unresponsive when a call has been pending this long and
 * no call that was sent later was answered. Slow answers can take 400 ms. */
#define STORE_UNRESPONSIVE_MS 500

/* Retry-After of refused calls, in seconds. Outages of the store last seconds,
 * and an instance detects their end within one second. */
#define STORE_RETRY_S "1"
#define STALE_RETRY_S "1"

void
gr_call_set_json (SoupServerMessage *message, JsonObject *body)
{
  GBytes *bytes = gr_json_to_bytes (body);
  gsize size;
  const char *data = g_bytes_get_data (bytes, &size);

  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, data, size);
  g_bytes_unref (bytes);
}

static void
set_error (SoupServerMessage *message,
           guint status,
           const char *reason,
           const char *run_state,
           const char *retry_s)
{
  JsonObject *body = json_object_new ();

  if (retry_s != NULL)
    soup_message_headers_replace (
        soup_server_message_get_response_headers (message), "Retry-After",
        retry_s);
  json_object_set_string_member (body, "error", reason);
  json_object_set_string_member (body, "run_state", run_state);
  soup_server_message_set_status (message, status, NULL);
  gr_call_set_json (message, body);
}

/* Formats a number as a value of a log line. Returns text. */
static const char *
format_int (char text[24], int64_t value)
{
  g_snprintf (text, 24, "%" G_GINT64_FORMAT, value);
  return text;
}

/* Logs the response and what led to it: the age of the configuration and how
 * long the store has not answered. */
static void
log_response (const struct call *call, const char *reason)
{
  const struct gr_clients_deps *deps = call->deps;
  int64_t now_ms = gr_clock_now_ms (deps->clock);
  char status[24];
  char took[24];
  char age[24];
  char silent[24];

  gr_log_event (
      "client-answer", "job", call->job_id, "method",
      soup_server_message_get_method (call->message), "status",
      format_int (status, soup_server_message_get_status (call->message)),
      "reason", reason, "took_ms", format_int (took, now_ms - call->started_ms),
      "config_age_ms",
      format_int (age, now_ms - gr_config_view_current_ms (deps->config)),
      "store_silent_ms",
      format_int (silent, gr_metastore_unresponsive_ms (deps->store)), NULL);
}

void
gr_call_free (struct call *call)
{
  g_object_unref (call->message);
  gr_job_spec_destroy (call->spec);
  gr_attempts_clear (&call->attempts);
  g_free (call->path);
  g_free (call);
}

bool
gr_call_is_abandoned (struct call *call, const struct gr_error *error)
{
  if (error == NULL || error->kind != GR_ERROR_CANCELLED)
    return false;
  gr_call_free (call);
  return true;
}

void
gr_call_end (struct call *call, const char *reason)
{
  struct gr_counters *counters = call->deps->counters;
  char labels[32];

  log_response (call, reason);
  g_snprintf (labels, sizeof labels, "status=\"%u\"",
              soup_server_message_get_status (call->message));
  gr_counter_add (gr_counters_get (counters, "client_answers_total", labels),
                  1);
  gr_histogram_observe (gr_counters_histogram (counters, "client_call_ms", ""),
                        gr_clock_now_ms (call->deps->clock) - call->started_ms);
  gr_http_server_resume (call->message);
  gr_call_free (call);
}

void
gr_call_respond_ok (struct call *call, const char *reason)
{
  soup_server_message_set_status (call->message, 200, NULL);
  gr_call_set_json (call->message, json_object_new ());
  gr_call_end (call, reason);
}

/* Keeps the rule of docs/design/rejections.md for all errors of submissions. */
void
gr_call_respond_error (struct call *call,
                       guint status,
                       const char *reason,
                       const char *run_state,
                       const char *retry_s)
{
  bool is_submission = call->spec != NULL;

  if (is_submission && !gr_attempts_may_reject (&call->attempts))
    set_error (call->message, 504, reason, "may-have-run", NULL);
  else
    set_error (call->message, status, reason, run_state, retry_s);
  gr_call_end (call, reason);
}

void
gr_call_respond_unconfirmed (struct call *call, const char *reason)
{
  if (gr_attempts_may_reject (&call->attempts))
    gr_call_respond_error (call, 503, reason, "not-run", STORE_RETRY_S);
  else
    gr_call_respond_error (call, 504, reason, "may-have-run", NULL);
}

bool
gr_call_route (struct call *call,
               struct gr_routed_call *routed,
               struct gr_error *error)
{
  const struct gr_cluster_config *config =
      gr_config_view_get (call->deps->config);
  SoupMessageHeaders *headers =
      soup_server_message_get_request_headers (call->message);

  if (!gr_route_call (config, soup_server_message_get_method (call->message),
                      soup_message_headers_get_one (headers, "Host"),
                      call->path,
                      soup_message_headers_get_one (headers, "Authorization"),
                      routed, error))
    return false;
  call->config_revision = config->revision;
  return true;
}

void
gr_call_respond_not_routed (struct call *call, const struct gr_error *error)
{
  gr_call_respond_error (call, (guint)gr_error_info (error->kind)->http_status,
                         error->message, "never", NULL);
}

bool
gr_call_is_too_late_to_retry (const struct call *call)
{
  return gr_clock_now_ms (call->deps->clock) + ATTEMPT_TIMEOUT_MS / 2
         >= call->deadline_ms;
}

bool
gr_call_store_is_unresponsive (const struct call *call)
{
  return gr_metastore_unresponsive_ms (call->deps->store)
         >= STORE_UNRESPONSIVE_MS;
}

uint32_t
gr_call_attempt_timeout_ms (const struct call *call)
{
  int64_t left_ms = call->deadline_ms - gr_clock_now_ms (call->deps->clock);

  return (uint32_t)CLAMP (left_ms, 50, ATTEMPT_TIMEOUT_MS);
}

const struct gr_metastore_item *
gr_call_find_item (const struct gr_metastore_result *result, const char *key)
{
  for (size_t i = 0; i < result->n_items; i++)
    if (g_str_equal (result->items[i].key, key)
        && result->items[i].revision != 0 && !result->items[i].deleted)
      return &result->items[i];
  return NULL;
}

void
gr_call_apply_items (struct call *call,
                     const struct gr_metastore_result *result)
{
  for (size_t i = 0; i < result->n_items; i++)
    {
      const struct gr_metastore_item *item = &result->items[i];

      if (item->revision == 0)
        continue;
      gr_config_view_apply (call->deps->config, item, call->started_ms);
      gr_mirror_apply (call->deps->mirror, item);
    }
}

static bool
read_spec (struct call *call)
{
  SoupMessageBody *body = soup_server_message_get_request_body (call->message);
  GBytes *bytes = soup_message_body_flatten (body);
  struct gr_error error = GR_ERROR_INIT;

  call->spec = gr_job_decode (bytes, &error);
  g_bytes_unref (bytes);
  if (call->spec == NULL)
    {
      gr_call_respond_error (call, 400, error.message, "never", NULL);
      return false;
    }
  g_strlcpy (call->spec->id, call->job_id, sizeof call->spec->id);
  call->spec->accepted_unix_ms = gr_clock_unix_ms ();
  return true;
}

/* Time until the response must be sent, in ms: the client's deadline without
 * the margin, at most CALL_LIMIT_MS. */
static int64_t
client_timeout_ms (SoupServerMessage *message)
{
  const char *text = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "X-Request-Deadline");
  int64_t wait_ms = text ? g_ascii_strtoll (text, NULL, 10) : 0;

  if (wait_ms <= 0 || wait_ms > CALL_LIMIT_MS + DEADLINE_MARGIN_MS)
    return CALL_LIMIT_MS;
  return MAX (wait_ms - DEADLINE_MARGIN_MS, 0);
}

static struct call *
call_create (const struct gr_clients_deps *deps,
             SoupServerMessage *message,
             const char *path)
{
  struct call *call = g_new0 (struct call, 1);

  call->deps = deps;
  call->message = g_object_ref (message);
  call->path = g_strdup (path);
  call->started_ms = gr_clock_now_ms (deps->clock);
  call->deadline_ms = call->started_ms + client_timeout_ms (message);
  soup_server_message_pause (message);
  return call;
}

static void
dispatch (struct call *call, const struct gr_routed_call *routed)
{
  call->kind = routed->kind;
  if (routed->job_id != NULL)
    g_strlcpy (call->job_id, routed->job_id, sizeof call->job_id);
  switch (routed->kind)
    {
    case GR_CALL_SUBMIT:
      if (gr_call_store_is_unresponsive (call))
        gr_call_respond_unconfirmed (call, "the store does not answer");
      else if (read_spec (call))
        {
          call->tombstones = gr_tombstones_count (
              gr_mirror_tombstones (call->deps->mirror), call->job_id);
          gr_call_submit (call);
        }
      return;
    case GR_CALL_STATE:
      gr_call_show_state (call);
      return;
    case GR_CALL_CANCEL:
      if (gr_call_store_is_unresponsive (call))
        gr_call_respond_unconfirmed (call, "the store does not answer");
      else
        gr_call_cancel (call);
      return;
    case GR_CALL_PENDING:
      gr_call_respond_pending (call, routed->queue);
      return;
    }
}

void
gr_call_handle (const struct gr_clients_deps *deps,
                SoupServerMessage *message,
                const char *path,
                bool config_current)
{
  struct call *call = call_create (deps, message, path);
  struct gr_routed_call routed;
  struct gr_error error = GR_ERROR_INIT;

  if (!config_current)
    {
      gr_call_respond_error (call, 503,
                             "the configuration is not known to be current",
                             "not-run", STALE_RETRY_S);
      return;
    }
  if (gr_call_route (call, &routed, &error))
    dispatch (call, &routed);
  else
    gr_call_respond_not_routed (call, &error);
}
