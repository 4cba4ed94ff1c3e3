#include "instance/call.h"

#include "common/log.h"
#include "http/http-server.h"
#include "http/json.h"
#include "instance/records.h"
#include "instance/routing.h"
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

/* Limit for the read of a job's progress. Without an answer, the last known
 * state is sent. */
#define PROGRESS_TIMEOUT_MS 400

/* A call that waits for a change gives up this long after its wait. The store
 * answers within some milliseconds, and the last known state is better than an
 * answer that comes after the client could have asked again. */
#define STATE_WAIT_MARGIN_MS 100

struct call
{
  const struct gr_clients_deps *deps;
  SoupServerMessage *message;
  char *path;
  enum gr_call_kind kind;
  char job_id[GR_JOB_ID_DIGITS + 1];
  struct gr_job_spec *spec; /* NULL unless the call submits a job */
  int64_t config_revision;  /* condition of the transaction in flight, for a
                               submission */
  uint64_t tombstones;      /* count of the id's record when a submission began;
                               see tombstones.h */
  bool job_absent;          /* the store holds no job of this id */
  int64_t started_ms;
  int64_t deadline_ms;  /* time by which the response must be sent */
  bool outcome_unknown; /* an attempt failed without a definite result and may
                           take effect */
};

static void submit (struct call *call);
static void cancel (struct call *call);

static void
set_json (SoupServerMessage *message, JsonObject *body)
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
  set_json (message, body);
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

static void
call_free (struct call *call)
{
  g_object_unref (call->message);
  gr_job_spec_destroy (call->spec);
  g_free (call->path);
  g_free (call);
}

/* Logs, counts and sends the response, which is already set in the message,
 * and frees the call. */
static void
end_call (struct call *call, const char *reason)
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
  call_free (call);
}

static void
respond_ok (struct call *call, const char *reason)
{
  soup_server_message_set_status (call->message, 200, NULL);
  set_json (call->message, json_object_new ());
  end_call (call, reason);
}

static void
respond_error (struct call *call,
               guint status,
               const char *reason,
               const char *run_state,
               const char *retry_s)
{
  set_error (call->message, status, reason, run_state, retry_s);
  end_call (call, reason);
}

/* Reports that the store did not confirm the call: status 504 if the outcome
 * is unknown, 503 if nothing was stored. */
static void
respond_unconfirmed (struct call *call, const char *reason)
{
  if (call->outcome_unknown)
    respond_error (call, 504, reason, "may-have-run", NULL);
  else
    respond_error (call, 503, reason, "not-run", STORE_RETRY_S);
}

/* Finds the queue and the account in the newest configuration, before each
 * attempt. Responds with an error if they are not found. */
static bool
route_call (struct call *call, struct gr_routed_call *routed)
{
  const struct gr_cluster_config *config =
      gr_config_view_get (call->deps->config);
  SoupMessageHeaders *headers =
      soup_server_message_get_request_headers (call->message);
  struct gr_error error = GR_ERROR_INIT;

  if (gr_route_call (config, soup_server_message_get_method (call->message),
                     soup_message_headers_get_one (headers, "Host"), call->path,
                     soup_message_headers_get_one (headers, "Authorization"),
                     routed, &error))
    {
      call->config_revision = config->revision;
      return true;
    }
  respond_error (call, (guint)gr_error_info (error.kind)->http_status,
                 error.message,
                 call->outcome_unknown ? "may-have-run" : "never", NULL);
  return false;
}

static bool
too_late_to_retry (const struct call *call)
{
  return gr_clock_now_ms (call->deps->clock) + ATTEMPT_TIMEOUT_MS / 2
         >= call->deadline_ms;
}

/* Calls that need the store are refused while it is unresponsive, since they
 * would only wait for it. */
static bool
store_is_unresponsive (const struct call *call)
{
  return gr_metastore_unresponsive_ms (call->deps->store)
         >= STORE_UNRESPONSIVE_MS;
}

static uint32_t
attempt_timeout_ms (const struct call *call)
{
  int64_t left_ms = call->deadline_ms - gr_clock_now_ms (call->deps->clock);

  return (uint32_t)CLAMP (left_ms, 50, ATTEMPT_TIMEOUT_MS);
}

/* Finds an existing record among the items that a transaction returned because
 * its conditions did not hold. NULL if there is none. */
static const struct gr_metastore_item *
find_item (const struct gr_metastore_result *result, const char *key)
{
  for (size_t i = 0; i < result->n_items; i++)
    if (g_str_equal (result->items[i].key, key)
        && result->items[i].revision != 0 && !result->items[i].deleted)
      return &result->items[i];
  return NULL;
}

static void
apply_items (struct call *call, const struct gr_metastore_result *result)
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

/* The id is in use: by an earlier submission of the same account, or by a job
 * of another account. */
static void
respond_id_in_use (struct call *call)
{
  const struct gr_mirror_job *job =
      gr_mirror_find (call->deps->mirror, call->job_id);

  if (job != NULL && g_str_equal (job->spec->account, call->spec->account))
    respond_ok (call, "already accepted");
  else
    respond_error (call, 409, "the id belongs to another job", "never", NULL);
}

static void
submit_done (const struct gr_metastore_result *result,
             const struct gr_error *error,
             void *context)
{
  struct call *call = context;
  g_autofree char *key = gr_record_key (GR_RECORD_JOB, call->job_id);

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    {
      call_free (call);
      return;
    }
  if (error != NULL)
    {
      if (error->kind != GR_ERROR_STORE_UNAVAILABLE)
        call->outcome_unknown = true;
      if (!call->outcome_unknown || too_late_to_retry (call)
          || store_is_unresponsive (call))
        respond_unconfirmed (call, "the store did not confirm the job");
      else
        submit (call);
      return;
    }
  if (result->conditions_held)
    {
      GBytes *value = gr_record_encode_job (call->spec);
      struct gr_metastore_item item = { key, value, result->revision,
                                        result->revision, false };

      gr_config_view_confirm (call->deps->config, call->started_ms);
      gr_mirror_apply (call->deps->mirror, &item);
      g_bytes_unref (value);
      respond_ok (call, "accepted");
      return;
    }
  apply_items (call, result);
  if (find_item (result, key) != NULL)
    respond_id_in_use (call);
  else if (too_late_to_retry (call))
    respond_unconfirmed (call, "the configuration changed during each attempt");
  else
    submit (call);
}

/* Responds if the job was cancelled before it could be stored, or may have
 * been. An attempt that is still on its way fails then, as the record of
 * tombstones has changed. */
static bool
respond_if_cancelled (struct call *call)
{
  switch (gr_tombstones_find (gr_mirror_tombstones (call->deps->mirror),
                              call->job_id, call->tombstones))
    {
    case GR_TOMBSTONE_ABSENT:
      return false;
    case GR_TOMBSTONE_PRESENT:
      respond_error (call, 409, "the job was cancelled", "never", NULL);
      return true;
    case GR_TOMBSTONE_UNKNOWN:
      respond_unconfirmed (call, "the job may have been cancelled");
      return true;
    }
  return false;
}

static void
submit (struct call *call)
{
  const struct gr_tombstones *tombstones =
      gr_mirror_tombstones (call->deps->mirror);
  struct gr_metastore_txn *txn;
  struct gr_routed_call routed;
  g_autofree char *key = gr_record_key (GR_RECORD_JOB, call->job_id);
  GBytes *value;
  gsize size;
  const void *data;

  if (respond_if_cancelled (call) || !route_call (call, &routed))
    return;
  g_free (call->spec->queue);
  g_free (call->spec->terms.service);
  g_free (call->spec->account);
  call->spec->queue = g_strdup (routed.queue->name);
  call->spec->terms = (struct gr_queue_terms){
    .service = g_strdup (routed.queue->service),
    .priority = routed.queue->priority,
    .max_attempts = routed.queue->max_attempts,
    .objective_ms = routed.queue->objective_ms,
    .stretch = routed.queue->stretch,
    .needs_advice = routed.queue->needs_advice,
    .advice_decide_ms = routed.queue->advice_decide_ms,
    .advice_each_ms = routed.queue->advice_each_ms,
  };
  call->spec->account = g_strdup (routed.account ? routed.account->name : "");
  value = gr_record_encode_job (call->spec);
  data = g_bytes_get_data (value, &size);
  txn = gr_metastore_txn_create ();
  gr_metastore_txn_expect (txn, gr_cluster_config_key, call->config_revision);
  gr_metastore_txn_expect (txn, key, 0);
  gr_tombstones_expect (tombstones, call->job_id, txn);
  gr_metastore_txn_put (txn, key, data, size, 0);
  gr_metastore_commit (call->deps->store, txn, attempt_timeout_ms (call),
                       (struct gr_metastore_reply){ submit_done, call });
  g_bytes_unref (value);
}

static void
cancelled_job (struct call *call, const struct gr_metastore_result *result)
{
  g_autofree char *key = gr_record_key (GR_RECORD_CANCEL, call->job_id);
  struct gr_metastore_item item = { key, NULL, result->revision,
                                    result->revision, false };

  gr_mirror_apply (call->deps->mirror, &item);
  respond_ok (call, "cancelled");
}

/* The conditions did not hold: the store has other records than the mirror. */
static void
cancel_again (struct call *call, const struct gr_metastore_result *result)
{
  g_autofree char *job_key = gr_record_key (GR_RECORD_JOB, call->job_id);
  g_autofree char *key = gr_record_key (GR_RECORD_CANCEL, call->job_id);

  apply_items (call, result);
  call->job_absent = find_item (result, job_key) == NULL;
  if (find_item (result, key) != NULL)
    respond_ok (call, "already cancelled");
  else if (too_late_to_retry (call))
    respond_unconfirmed (call, "the job's record changed during each attempt");
  else
    cancel (call);
}

static void
cancel_done (const struct gr_metastore_result *result,
             const struct gr_error *error,
             void *context)
{
  struct call *call = context;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    {
      call_free (call);
      return;
    }
  if (error != NULL)
    {
      if (error->kind != GR_ERROR_STORE_UNAVAILABLE)
        call->outcome_unknown = true;
      if (too_late_to_retry (call) || store_is_unresponsive (call))
        respond_unconfirmed (call,
                             "the store did not confirm the cancellation");
      else if (error->kind == GR_ERROR_STORE_UNAVAILABLE)
        respond_unconfirmed (call, "the store is not available");
      else
        cancel (call);
      return;
    }
  if (!result->conditions_held)
    cancel_again (call, result);
  else if (call->job_absent)
    respond_error (call, 410, "no such job", "never", NULL);
  else
    cancelled_job (call, result);
}

static void
cancel (struct call *call)
{
  const struct gr_mirror_job *job =
      gr_mirror_find (call->deps->mirror, call->job_id);
  g_autofree char *job_key = gr_record_key (GR_RECORD_JOB, call->job_id);
  g_autofree char *key = gr_record_key (GR_RECORD_CANCEL, call->job_id);
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  call->job_absent = call->job_absent || job == NULL;
  if (call->job_absent)
    {
      /* A submission of the job may still be on its way. */
      gr_metastore_txn_expect (txn, job_key, 0);
      gr_tombstones_add (gr_mirror_tombstones (call->deps->mirror),
                         call->job_id, txn);
    }
  else
    {
      gr_metastore_txn_expect (txn, job_key, job->job_revision);
      gr_metastore_txn_expect (txn, key, 0);
      gr_metastore_txn_put (txn, key, "1", 1, 0);
    }
  gr_metastore_commit (call->deps->store, txn, attempt_timeout_ms (call),
                       (struct gr_metastore_reply){ cancel_done, call });
}

/* Progress is also noted of tasks that have not begun: a worker may have
 * crashed before it received the start. */
static bool
has_begun (const struct gr_mirror_job *job)
{
  if (job->started || job->progress.state >= GR_JOB_RUNNING)
    return true;
  for (uint32_t i = 0; i < job->progress.n_tasks; i++)
    {
      const struct gr_task_progress *task = &job->progress.tasks[i];

      if (task->done || task->failures > 0 || task->crashes > 0
          || task->checkpoint[0] != '\0')
        return true;
    }
  return false;
}

static const char *
state_name (const struct gr_mirror_job *job)
{
  static const char *const names[] = {
    [GR_JOB_QUEUED] = "queued",       [GR_JOB_RUNNING] = "running",
    [GR_JOB_COMPLETED] = "completed", [GR_JOB_FAILED] = "failed",
    [GR_JOB_CANCELLED] = "cancelled",
  };

  if (job->progress.state >= GR_JOB_COMPLETED)
    return names[job->progress.state];
  if (job->cancel_revision != 0)
    return names[GR_JOB_CANCELLED];
  if (has_begun (job))
    return names[GR_JOB_RUNNING];
  return names[GR_JOB_QUEUED];
}

static void
respond_state (struct call *call, const struct gr_mirror_job *job)
{
  JsonObject *body = json_object_new ();

  json_object_set_string_member (body, "state", state_name (job));
  soup_server_message_set_status (call->message, 200, NULL);
  set_json (call->message, body);
  end_call (call, state_name (job));
}

/* A job accepted by another instance may not be in the mirror yet, so its
 * record is read from the store. */
static void
read_done (const struct gr_metastore_result *result,
           const struct gr_error *error,
           void *context)
{
  struct call *call = context;
  const struct gr_mirror_job *job;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    {
      call_free (call);
      return;
    }
  if (error != NULL)
    {
      respond_unconfirmed (call, "the job's record could not be read");
      return;
    }
  for (size_t i = 0; i < result->n_items; i++)
    gr_mirror_apply (call->deps->mirror, &result->items[i]);
  job = gr_mirror_find (call->deps->mirror, call->job_id);
  if (job == NULL)
    respond_error (call, 410, "no such job", "never", NULL);
  else
    respond_state (call, job);
}

/* If the read has failed, the state in the mirror is the last known one. */
static void
progress_read_done (const struct gr_metastore_result *result,
                    const struct gr_error *error,
                    void *context)
{
  struct call *call = context;
  const struct gr_mirror_job *job;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    {
      call_free (call);
      return;
    }
  for (size_t i = 0; error == NULL && i < result->n_items; i++)
    gr_mirror_apply (call->deps->mirror, &result->items[i]);
  job = gr_mirror_find (call->deps->mirror, call->job_id);
  if (job == NULL)
    respond_error (call, 410, "no such job", "never", NULL);
  else
    respond_state (call, job);
}

/* A job that ended while the mirror misses changes would be shown as running
 * until the mirror has caught up. */
static void
read_progress (struct call *call)
{
  g_autofree char *key = gr_record_key (GR_RECORD_PROGRESS, call->job_id);

  gr_metastore_get (call->deps->store, key,
                    MIN (attempt_timeout_ms (call), PROGRESS_TIMEOUT_MS),
                    (struct gr_metastore_reply){ progress_read_done, call });
}

/* State calls that wait leave enough connections to the store for other calls:
 * up to three watches are always open, and a waiting call is the exception. */
#define MAX_OPEN_WATCHES 7

/* Waits at the store for a change of the job's progress. Clients ask as soon as
 * their job has ended, some ten milliseconds before its progress is durable and
 * up to a quarter of a second before the mirror shows it; without the wait they
 * learn of it with their next call. */
static void
wait_for_progress (struct call *call)
{
  g_autofree char *key = gr_record_key (GR_RECORD_PROGRESS, call->job_id);
  uint32_t timeout_ms = attempt_timeout_ms (call);
  uint32_t wait_ms = MIN (call->deps->settings->state_wait_ms, timeout_ms / 2);

  gr_metastore_watch (call->deps->store, key,
                      gr_mirror_watched_revision (call->deps->mirror), wait_ms,
                      MIN (timeout_ms, wait_ms + STATE_WAIT_MARGIN_MS),
                      (struct gr_metastore_reply){ progress_read_done, call });
}

static bool
may_change (const struct gr_mirror_job *job)
{
  return job->progress.state < GR_JOB_COMPLETED && job->cancel_revision == 0;
}

static void
show_state (struct call *call)
{
  const struct gr_mirror_job *job =
      gr_mirror_find (call->deps->mirror, call->job_id);
  g_autofree char *key = NULL;

  if (job != NULL && job->progress.state < GR_JOB_COMPLETED
      && gr_mirror_is_overdue (call->deps->mirror)
      && !store_is_unresponsive (call))
    {
      read_progress (call);
      return;
    }
  if (job != NULL && may_change (job) && call->deps->settings->state_wait_ms > 0
      && gr_metastore_open_watches (call->deps->store) < MAX_OPEN_WATCHES
      && !store_is_unresponsive (call))
    {
      wait_for_progress (call);
      return;
    }
  if (job != NULL)
    {
      respond_state (call, job);
      return;
    }
  key = gr_record_key (GR_RECORD_JOB, call->job_id);
  gr_metastore_get (call->deps->store, key, attempt_timeout_ms (call),
                    (struct gr_metastore_reply){ read_done, call });
}

struct count
{
  const char *queue;
  uint32_t pending;
};

static void
count_pending (const char *id, const struct gr_mirror_job *job, void *context)
{
  struct count *count = context;

  (void)id;
  if (!g_str_equal (job->spec->queue, count->queue) || job->cancel_revision != 0
      || has_begun (job))
    return;
  count->pending++;
}

static void
respond_pending (struct call *call, const struct gr_queue_config *queue)
{
  struct count count = { .queue = queue->name };
  JsonObject *body = json_object_new ();

  gr_mirror_each (call->deps->mirror, count_pending, &count);
  json_object_set_int_member (body, "pending", count.pending);
  soup_server_message_set_status (call->message, 200, NULL);
  set_json (call->message, body);
  end_call (call, "pending");
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
      respond_error (call, 400, error.message, "never", NULL);
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
      if (store_is_unresponsive (call))
        respond_unconfirmed (call, "the store does not answer");
      else if (read_spec (call))
        {
          call->tombstones = gr_tombstones_count (
              gr_mirror_tombstones (call->deps->mirror), call->job_id);
          submit (call);
        }
      return;
    case GR_CALL_STATE:
      show_state (call);
      return;
    case GR_CALL_CANCEL:
      if (store_is_unresponsive (call))
        respond_unconfirmed (call, "the store does not answer");
      else
        cancel (call);
      return;
    case GR_CALL_PENDING:
      respond_pending (call, routed->queue);
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

  if (!config_current)
    {
      respond_error (call, 503, "the configuration is not known to be current",
                     "not-run", STALE_RETRY_S);
      return;
    }
  if (route_call (call, &routed))
    dispatch (call, &routed);
}
