#include "entry/request.h"

#include "common/log.h"
#include "entry/request-data.h"
#include "route/spread.h"

#include <string.h>

/* Interval at which queued requests are checked for free slots and expired
 * deadlines. */
#define QUEUE_TICK_MS 10

/* Time limit for writing a mark, in timeouts of the store: one for the write
 * and one for a read-back. Without it, an outage of the store would hold
 * requests until their deadline instead of refusing them. */
#define MARK_ATTEMPTS 2

/* One in this many idempotent requests whose learned run time does not fit
 * the deadline is admitted, so that a wrong estimate is corrected. */
#define PROBE_ONE_IN 16

static bool
check_client (struct gr_request *request, struct gr_error *error)
{
  const struct gr_account_settings *account;

  if (!gr_entry_is_ready (request->entry, error))
    return false;
  account = gr_entry_account (request->entry, request->account);
  if (account == NULL)
    return gr_error_set (error, GR_ERROR_UNKNOWN_ACCOUNT,
                         "there is no account \"%s\"", request->account);
  /* Work is charged to an account, so a client on a loopback address needs a
   * token too. */
  if (request->exchange->local)
    return gr_error_set (error, GR_ERROR_UNAUTHENTICATED,
                         "the header Authorization: Bearer TOKEN is missing");
  request->priority = account->priority;
  return gr_exchange_authorize_account (request->exchange, request->account,
                                        error);
}

static void
request_free (struct gr_request *request)
{
  g_clear_handle_id (&request->mark_timer, g_source_remove);
  g_clear_handle_id (&request->overrun_timer, g_source_remove);
  g_hash_table_remove (request->entry->requests, request);
  g_free (request->log_id);
  g_free (request);
}

/* Fails the request and frees it. If an executor may have run it in any try, an
 * error with another run state becomes may-have-run. */
static void
refuse (struct gr_request *request, const struct gr_error *error)
{
  struct gr_exchange *exchange = request->exchange;
  struct gr_error reported = *error;
  const struct gr_error_info *info;

  if (request->may_have_run
      && gr_error_info (reported.kind)->run_state != GR_RUN_MAY_HAVE_RUN)
    reported.kind = GR_ERROR_MAY_HAVE_RUN;
  info = gr_error_info (reported.kind);
  if (request->mark != NULL)
    {
      if (request->may_have_run)
        gr_mark_keep (request->mark);
      else
        gr_mark_remove (request->mark);
    }
  gr_log_event ("request-refused", "request", request->log_id, "account",
                request->account, "kind", info->name, "run_state",
                gr_run_state_name (info->run_state), "message",
                reported.message, NULL);
  gr_entry_increment_counter (request->entry, "requests_total", "result",
                              info->name);
  request_free (request);
  gr_exchange_fail (exchange, &reported);
}

/* Returns the estimated number of requests that complete per second.
 */
static double
service_per_s (const struct gr_entry *entry)
{
  int64_t mean_ms = MAX (gr_classes_mean_ms (entry->classes), 1);

  return MAX (gr_executors_in_flight (entry->executors), 1U) * 1000.0
         / (double)mean_ms;
}

static int64_t
retry_after_ms (const struct gr_entry *entry, int64_t wait_ms)
{
  return gr_retry_delay_ms (wait_ms, gr_queue_length (entry->queue) + 1,
                            service_per_s (entry), entry->random);
}

static void
refuse_overloaded (struct gr_request *request, const char *reason)
{
  struct gr_error error = GR_ERROR_INIT;

  gr_error_set_retry (&error, GR_ERROR_OVERLOADED,
                      retry_after_ms (request->entry, 100), "%s", reason);
  refuse (request, &error);
}

static void
refuse_deadline (struct gr_request *request, int64_t wait_ms)
{
  struct gr_error error = GR_ERROR_INIT;

  gr_error_set_retry (
      &error, GR_ERROR_DEADLINE, retry_after_ms (request->entry, wait_ms),
      "the expected wait of %" G_GINT64_FORMAT
      " ms and run time of %" G_GINT64_FORMAT " ms do not fit the deadline",
      (gint64)wait_ms, (gint64)request->estimate_ms);
  refuse (request, &error);
}

static int64_t
expected_wait_ms (const struct gr_request *request)
{
  const struct gr_entry *entry = request->entry;
  uint32_t ahead =
      gr_queue_count_ahead (entry->queue, request->priority, request->is_long,
                            request->deadline_ms - request->estimate_ms);

  if (ahead == 0)
    return 0;
  return (int64_t)(ahead * 1000.0 / service_per_s (entry));
}

/* Returns false if the request was refused. The rate limit is checked last,
 * so that a request refused for another reason does not consume any of it. */
static bool
admit (struct gr_request *request)
{
  struct gr_entry *entry = request->entry;
  struct gr_error error = GR_ERROR_INIT;
  int64_t wait_ms;

  request->estimate_ms =
      gr_classes_estimate_ms (entry->classes, request->account, request->kind);
  request->is_long = request->estimate_ms >= GR_LONG_RUN_MS;
  wait_ms = expected_wait_ms (request);
  if (gr_executors_count (entry->executors) == 0)
    {
      gr_error_set_retry (&error, GR_ERROR_NO_TARGET,
                          gr_retry_delay_ms (1000, 1, 1, entry->random),
                          "no executor is available");
      refuse (request, &error);
      return false;
    }
  if (request->received_ms + wait_ms + request->estimate_ms
      > request->deadline_ms)
    {
      if (wait_ms > 0 || !request->idempotent
          || g_rand_int_range (entry->random, 0, PROBE_ONE_IN) != 0)
        {
          refuse_deadline (request, wait_ms);
          return false;
        }
      request->estimate_ms = 0;
    }
  if (gr_limits_admit (entry->limits, request->account, request->received_ms,
                       entry->random, &error))
    return true;
  refuse (request, &error);
  return false;
}

static gboolean
dispatch_now (gpointer data)
{
  struct gr_entry *entry = data;

  entry->dispatch_source = 0;
  gr_request_dispatch_queued (entry);
  return G_SOURCE_REMOVE;
}

/* Schedules a dispatch of the queued requests on the main loop. The
 * connection of a completed call is released only after its callback
 * returns, so they cannot be dispatched immediately. */
static void
schedule_dispatch (struct gr_entry *entry)
{
  if (entry->dispatch_source == 0 && !entry->destroying)
    entry->dispatch_source =
        g_idle_add_full (G_PRIORITY_DEFAULT, dispatch_now, entry, NULL);
}

static gboolean
queue_tick (gpointer data)
{
  struct gr_entry *entry = data;

  gr_request_dispatch_queued (entry);
  if (gr_queue_length (entry->queue) > 0)
    return G_SOURCE_CONTINUE;
  entry->queue_timer = 0;
  return G_SOURCE_REMOVE;
}

static void
enqueue (struct gr_request *request)
{
  struct gr_entry *entry = request->entry;
  struct gr_request *evicted;

  evicted = gr_queue_add (entry->queue, request->priority, request->is_long,
                          request->deadline_ms - request->estimate_ms, request);
  if (evicted != NULL)
    refuse_overloaded (evicted, "too many requests are waiting for a slot");
  if (entry->queue_timer == 0)
    entry->queue_timer = g_timeout_add (QUEUE_TICK_MS, queue_tick, entry);
}

static void
mark_done (const struct gr_error *error, void *context)
{
  struct gr_request *request = context;
  struct gr_entry *entry = request->entry;

  g_clear_handle_id (&request->mark_timer, g_source_remove);
  if (error != NULL)
    {
      request->mark = NULL;
      refuse (request, error);
      return;
    }
  gr_log_event ("request-mark-written", "request", request->log_id, NULL);
  enqueue (request);
  gr_request_dispatch_queued (entry);
}

/* The store has not confirmed the mark in time. The request has not been
 * sent to an executor. */
static gboolean
on_mark_timeout (gpointer data)
{
  struct gr_request *request = data;
  struct gr_error error = GR_ERROR_INIT;

  request->mark_timer = 0;
  gr_mark_abandon (request->mark);
  request->mark = NULL;
  gr_error_set_retry (&error, GR_ERROR_STORE_UNAVAILABLE,
                      gr_retry_delay_ms (1000, 1, 1, request->entry->random),
                      "the key-value service did not confirm the mark in time");
  refuse (request, &error);
  return G_SOURCE_REMOVE;
}

static void
write_mark (struct gr_request *request)
{
  struct gr_error error = GR_ERROR_INIT;
  int64_t timeout_ms = request->deadline_ms - request->estimate_ms
                       - gr_clock_now_ms (request->entry->clock);
  int64_t max_timeout_ms =
      MARK_ATTEMPTS * (int64_t)request->entry->process->kv_timeout_ms;

  timeout_ms = MIN (timeout_ms, max_timeout_ms);
  request->mark = gr_mark_write (request->entry->marks, request->account,
                                 request->key, mark_done, request, &error);
  if (request->mark == NULL)
    refuse (request, &error);
  else
    request->mark_timer =
        g_timeout_add ((guint)CLAMP (timeout_ms, 1, GR_REQUEST_MAX_DEADLINE_MS),
                       on_mark_timeout, request);
}

void
gr_request_begin (struct gr_exchange *exchange)
{
  struct gr_entry *entry = exchange->entry;
  struct gr_request *request = g_new0 (struct gr_request, 1);
  struct gr_error error = GR_ERROR_INIT;
  bool valid;

  request->entry = entry;
  request->exchange = exchange;
  request->received_ms = gr_clock_now_ms (entry->clock);
  g_hash_table_add (entry->requests, request);
  gr_exchange_pause (exchange);
  valid = gr_request_read (request, &error);
  request->log_id =
      valid ? g_strconcat (request->account, "/", request->key, NULL)
            : g_strdup ("-");
  if (!valid || !check_client (request, &error))
    {
      refuse (request, &error);
      return;
    }
  gr_log_event ("request-received", "request", request->log_id, "account",
                request->account, "request_kind", request->kind, NULL);
  if (!admit (request))
    return;
  gr_retries_record_first_try (entry->retries, request->account);
  if (request->idempotent)
    enqueue (request);
  else
    write_mark (request);
  gr_request_dispatch_queued (entry);
}

/* A request that was classified as short has run for GR_LONG_RUN_MS; it counts
 * as long from now on. */
static gboolean
on_overrun (gpointer data)
{
  struct gr_request *request = data;
  struct gr_entry *entry = request->entry;

  request->overrun_timer = 0;
  request->is_long = true;
  gr_executors_reclassify_long (entry->executors,
                                request->executors[request->tries - 1]);
  gr_classes_record_overrun (entry->classes, request->account, request->kind);
  gr_entry_increment_counter (entry, "requests_reclassed_total", "account",
                              request->account);
  return G_SOURCE_REMOVE;
}

static enum gr_try_result
classify_result (const struct gr_error *error, int64_t elapsed_ms)
{
  if (error == NULL)
    return GR_TRY_OK;
  switch (error->kind)
    {
    case GR_ERROR_OVERLOADED:
      return GR_TRY_BUSY;
    case GR_ERROR_SHUTTING_DOWN:
      return GR_TRY_LEAVING;
    case GR_ERROR_NO_TARGET:
      return GR_TRY_UNREACHABLE;
    case GR_ERROR_CANCELLED:
      return GR_TRY_INCONCLUSIVE;
    case GR_ERROR_TIMEOUT:
      /* A timeout after a short deadline is no sign that the executor
       * failed. */
      return elapsed_ms < GR_LONG_RUN_MS ? GR_TRY_INCONCLUSIVE : GR_TRY_FAILED;
    default:
      return GR_TRY_FAILED;
    }
}

static void
send_response (struct gr_request *request,
               const struct gr_executor_response *response)
{
  struct gr_exchange *exchange = request->exchange;
  struct gr_entry *entry = request->entry;
  int64_t now_ms = gr_clock_now_ms (entry->clock);
  const char *type = response->content_type ? response->content_type
                                            : "application/octet-stream";
  char elapsed[24];

  gr_classes_record_run (entry->classes, request->account, request->kind,
                         now_ms - request->sent_ms);
  gr_histogram_observe (gr_counters_histogram (entry->counters, "request_ms",
                                               request->is_long
                                                   ? "class=\"long\""
                                                   : "class=\"short\""),
                        now_ms - request->received_ms);
  if (request->mark != NULL)
    gr_mark_finish (request->mark, "finished");
  g_snprintf (elapsed, sizeof elapsed, "%" G_GINT64_FORMAT,
              (gint64)(now_ms - request->received_ms));
  gr_log_event ("request-answered", "request", request->log_id, "account",
                request->account, "target",
                request->executors[request->tries - 1], "ms", elapsed, NULL);
  gr_entry_increment_counter (entry, "requests_total", "result", "answered");
  soup_message_headers_replace (
      soup_server_message_get_response_headers (exchange->message),
      "Idempotency-Key", request->key);
  request_free (request);
  gr_exchange_send_bytes (exchange, 200, type, g_bytes_ref (response->body));
}

/* The executor never received the request, so this counts neither as a try nor
 * as a retry: graceful shutdowns and unreachable executors must not fail a
 * request, however many there are at once. The table of executors offers such
 * an executor to no one, except for probes. */
static bool
never_received (enum gr_try_result result)
{
  return result == GR_TRY_LEAVING || result == GR_TRY_UNREACHABLE;
}

static bool
may_retry (struct gr_request *request, enum gr_try_result result)
{
  struct gr_entry *entry = request->entry;
  int64_t now_ms = gr_clock_now_ms (entry->clock);

  if (entry->destroying
      || now_ms + request->estimate_ms >= request->deadline_ms)
    return false;
  if (never_received (result))
    return true;
  if (request->tries >= GR_REQUEST_MAX_TRIES)
    return false;
  if (result == GR_TRY_FAILED && !request->idempotent)
    return false;
  if (result == GR_TRY_INCONCLUSIVE)
    return false;
  if (!gr_retries_take (entry->retries, request->account))
    return false;
  gr_entry_increment_counter (entry, "retries_total", "account",
                              request->account);
  return true;
}

static void
refuse_failed (struct gr_request *request, const struct gr_error *last)
{
  struct gr_error error = *last;

  if (error.kind == GR_ERROR_SHUTTING_DOWN)
    error.kind = GR_ERROR_NO_TARGET;
  if (gr_error_info (error.kind)->run_state == GR_RUN_NOT_RUN)
    error.retry_after_ms = retry_after_ms (request->entry, 200);
  refuse (request, &error);
}

static void
try_done (const struct gr_executor_response *response,
          const struct gr_error *error,
          void *context)
{
  struct gr_request *request = context;
  struct gr_entry *entry = request->entry;
  const char *executor = request->executors[request->tries - 1];
  int64_t now_ms = gr_clock_now_ms (entry->clock);
  int64_t elapsed_ms = now_ms - request->sent_ms;
  enum gr_try_result outcome = classify_result (error, elapsed_ms);

  g_clear_handle_id (&request->overrun_timer, g_source_remove);
  gr_executors_release (entry->executors, executor, request->is_long, outcome,
                        response != NULL ? response->slots_busy : -1,
                        elapsed_ms, now_ms);
  if (response != NULL && response->leaving)
    gr_entry_target_leaving (entry, executor, request->sent_ms);
  if (outcome == GR_TRY_FAILED || outcome == GR_TRY_INCONCLUSIVE)
    request->may_have_run = true;
  request->excluded[request->tries - 1] = outcome != GR_TRY_BUSY;
  if (outcome == GR_TRY_OK && response != NULL)
    send_response (request, response);
  else if (may_retry (request, outcome))
    {
      if (never_received (outcome))
        request->tries--;
      enqueue (request);
    }
  else
    refuse_failed (request, error);
  schedule_dispatch (entry);
}

static void
send_to (struct gr_request *request, const char *executor, int64_t now_ms)
{
  struct gr_entry *entry = request->entry;
  struct gr_executor_info info;
  char *request_key = g_strconcat (request->account, ".", request->key, NULL);

  request->sent_ms = now_ms;
  g_strlcpy (request->executors[request->tries++], executor, GR_NAME_MAX);
  gr_executors_get (entry->executors, executor, &info);
  if (!request->is_long)
    request->overrun_timer =
        g_timeout_add (GR_LONG_RUN_MS, on_overrun, request);
  gr_log_event ("request-sent", "request", request->log_id, "target", executor,
                NULL);
  gr_executor_run (entry->executor_client, info.address, request_key,
                   request->idempotent, request->exchange->body,
                   (uint32_t)MAX (request->deadline_ms - now_ms, 1), try_done,
                   request);
  g_free (request_key);
}

/* Returns false if no executor has a free slot for the request. */
static bool
try_dispatch (struct gr_request *request, int64_t now_ms)
{
  struct gr_entry *entry = request->entry;
  const char *excluded[GR_REQUEST_MAX_TRIES + 1] = { NULL };
  uint32_t n_excluded = 0;
  const char *executor;

  for (uint32_t i = 0; i < request->tries; i++)
    if (request->excluded[i])
      excluded[n_excluded++] = request->executors[i];
  if (n_excluded >= gr_executors_count (entry->executors))
    excluded[0] = NULL; /* no other executor is left; allow all */
  executor = gr_executors_acquire (entry->executors, request->is_long,
                                   request->idempotent, excluded, now_ms,
                                   entry->random);
  if (executor == NULL)
    return false;
  send_to (request, executor, now_ms);
  return true;
}

static void
refuse_expired (struct gr_entry *entry, int64_t now_ms)
{
  struct gr_request *request;

  while ((request = gr_queue_pop_expired (entry->queue, now_ms)) != NULL)
    refuse_overloaded (request, "no slot became free before the deadline");
}

void
gr_request_dispatch_queued (struct gr_entry *entry)
{
  int64_t now_ms = gr_clock_now_ms (entry->clock);
  bool allow[2] = { true, true }; /* indexed by is_long */
  struct gr_request *request;
  GPtrArray *deferred;

  if (entry->destroying)
    return;
  refuse_expired (entry, now_ms);
  deferred = g_ptr_array_new ();
  while ((request = gr_queue_pop (entry->queue, allow[0], allow[1])) != NULL)
    {
      if (try_dispatch (request, now_ms))
        continue;
      /* A request that was sent before needs an executor that it does not
       * exclude. While it waits for one, it must not hold back the rest of
       * its class. */
      if (request->tries == 0)
        allow[request->is_long ? 1 : 0] = false;
      g_ptr_array_add (deferred, request);
    }
  for (guint i = 0; i < deferred->len; i++)
    {
      request = deferred->pdata[i];
      gr_queue_add (entry->queue, request->priority, request->is_long,
                    request->deadline_ms - request->estimate_ms, request);
    }
  g_ptr_array_unref (deferred);
}

void
gr_request_cancel_queued (struct gr_entry *entry)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_request *request;

  gr_error_set (&error, GR_ERROR_SHUTTING_DOWN,
                "this process is shutting down");
  while ((request = gr_queue_pop (entry->queue, true, true)) != NULL)
    refuse (request, &error);
}
