#include "instance/call.h"

#include "common/log.h"
#include "http/http-server.h"
#include "http/json.h"
#include "instance/records.h"
#include "instance/routing.h"
#include "platform/job.h"

#include <string.h>

/* One attempt of a transaction, and all attempts of a call. The platform's
 * slowest answers while it works were 0.4 s. */
#define ATTEMPT_TIMEOUT_MS 700
#define CALL_LIMIT_MS 1500

/* The client's own limit leaves room for the answer's way back. */
#define DEADLINE_MARGIN_MS 100

/* The store counts as not answering when a call has been open for so long and
 * none that was sent later was answered; slow answers took 0.4 s. */
#define STORE_SILENT_MS 500

/* When to come back after a refusal: the store's outages last seconds, and an
 * instance learns of their end within one. */
#define STORE_RETRY_S "1"
#define STALE_RETRY_S "1"

struct call
{
  const struct gr_clients_parts *parts;
  SoupServerMessage *message;
  char *path;
  enum gr_call_kind kind;
  char job_id[GR_JOB_ID_DIGITS + 1];
  struct gr_job_spec *spec; /* of a submission */
  int64_t config_revision;  /* that the open transaction rests on */
  int64_t begun_ms;
  int64_t limit_ms; /* when an answer must be sent */
  bool maybe_done;  /* an attempt has no answer and may take effect */
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

/* Milliseconds as text for a line of the log. */
static const char *
ms_text (char text[24], int64_t ms)
{
  g_snprintf (text, 24, "%" G_GINT64_FORMAT, ms);
  return text;
}

/* The answer with what decided it: how old the knowledge of the configuration
 * was, and how long the store had not answered. */
static void
log_answer (const struct call *call, const char *reason)
{
  const struct gr_clients_parts *parts = call->parts;
  int64_t now_ms = gr_clock_now_ms (parts->clock);
  char status[24];
  char took[24];
  char age[24];
  char silent[24];

  gr_log_event (
      "client-answer", "job", call->job_id, "method",
      soup_server_message_get_method (call->message), "status",
      ms_text (status, soup_server_message_get_status (call->message)),
      "reason", reason, "took_ms", ms_text (took, now_ms - call->begun_ms),
      "config_age_ms",
      ms_text (age, now_ms - gr_config_view_current_ms (parts->config)),
      "store_silent_ms",
      ms_text (silent, gr_metastore_unanswered_ms (parts->store)), NULL);
}

static void
call_free (struct call *call)
{
  g_object_unref (call->message);
  gr_job_spec_destroy (call->spec);
  g_free (call->path);
  g_free (call);
}

/* The answer is set in the message. */
static void
end_call (struct call *call, const char *reason)
{
  struct gr_counters *counters = call->parts->counters;
  char labels[32];

  log_answer (call, reason);
  g_snprintf (labels, sizeof labels, "status=\"%u\"",
              soup_server_message_get_status (call->message));
  gr_counter_add (gr_counters_get (counters, "client_answers_total", labels),
                  1);
  gr_histogram_observe (gr_counters_histogram (counters, "client_call_ms", ""),
                        gr_clock_now_ms (call->parts->clock) - call->begun_ms);
  gr_http_server_resume (call->message);
  call_free (call);
}

static void
answer_ok (struct call *call, const char *reason)
{
  soup_server_message_set_status (call->message, 200, NULL);
  set_json (call->message, json_object_new ());
  end_call (call, reason);
}

static void
answer_error (struct call *call,
              guint status,
              const char *reason,
              const char *run_state,
              const char *retry_s)
{
  set_error (call->message, status, reason, run_state, retry_s);
  end_call (call, reason);
}

/* Nothing was stored, or nobody knows. */
static void
answer_failed (struct call *call, const char *reason)
{
  if (call->maybe_done)
    answer_error (call, 504, reason, "may-have-run", NULL);
  else
    answer_error (call, 503, reason, "not-run", STORE_RETRY_S);
}

/* Finds queue and account again, in the newest configuration. */
static bool
route_again (struct call *call, struct gr_call *found)
{
  const struct gr_cluster_config *config =
      gr_config_view_get (call->parts->config);
  SoupMessageHeaders *headers =
      soup_server_message_get_request_headers (call->message);
  struct gr_error error = GR_ERROR_INIT;

  if (gr_route_call (config, soup_server_message_get_method (call->message),
                     soup_message_headers_get_one (headers, "Host"), call->path,
                     soup_message_headers_get_one (headers, "Authorization"),
                     found, &error))
    {
      call->config_revision = config->revision;
      return true;
    }
  answer_error (call, (guint)gr_error_answer (error.kind)->http_status,
                error.message, call->maybe_done ? "may-have-run" : "never",
                NULL);
  return false;
}

static bool
time_is_up (const struct call *call)
{
  return gr_clock_now_ms (call->parts->clock) + ATTEMPT_TIMEOUT_MS / 2
         >= call->limit_ms;
}

/* A call that needs the store would only wait for it. */
static bool
store_is_silent (const struct call *call)
{
  return gr_metastore_unanswered_ms (call->parts->store) >= STORE_SILENT_MS;
}

static uint32_t
attempt_timeout (const struct call *call)
{
  int64_t left_ms = call->limit_ms - gr_clock_now_ms (call->parts->clock);

  return (uint32_t)CLAMP (left_ms, 50, ATTEMPT_TIMEOUT_MS);
}

/* Items of the conditions of a transaction that did not hold. */
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
      gr_config_view_apply (call->parts->config, item, call->begun_ms);
      gr_mirror_apply (call->parts->mirror, item);
    }
}

/* The same id with another account or queue is another caller's job. */
static void
answer_existing (struct call *call)
{
  const struct gr_mirror_job *job =
      gr_mirror_find (call->parts->mirror, call->job_id);

  if (job != NULL && g_str_equal (job->spec->account, call->spec->account))
    answer_ok (call, "accepted before");
  else
    answer_error (call, 409, "the id belongs to another job", "never", NULL);
}

static void
submitted (const struct gr_metastore_result *result,
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
        call->maybe_done = true;
      if (!call->maybe_done || time_is_up (call) || store_is_silent (call))
        answer_failed (call, "the store did not confirm the job");
      else
        submit (call);
      return;
    }
  if (result->conditions_held)
    {
      GBytes *value = gr_record_encode_job (call->spec);
      struct gr_metastore_item item = { key, value, result->revision,
                                        result->revision, false };

      gr_config_view_confirm (call->parts->config, call->begun_ms);
      gr_mirror_apply (call->parts->mirror, &item);
      g_bytes_unref (value);
      answer_ok (call, "accepted");
      return;
    }
  apply_items (call, result);
  if (find_item (result, key) != NULL)
    answer_existing (call);
  else if (time_is_up (call))
    answer_failed (call, "the configuration changes too fast");
  else
    submit (call);
}

static void
submit (struct call *call)
{
  struct gr_metastore_txn *txn;
  struct gr_call found;
  g_autofree char *key = gr_record_key (GR_RECORD_JOB, call->job_id);
  GBytes *value;
  gsize size;
  const void *data;

  if (!route_again (call, &found))
    return;
  g_free (call->spec->queue);
  g_free (call->spec->account);
  call->spec->queue = g_strdup (found.queue->name);
  call->spec->account = g_strdup (found.account ? found.account->name : "");
  value = gr_record_encode_job (call->spec);
  data = g_bytes_get_data (value, &size);
  txn = gr_metastore_txn_create ();
  gr_metastore_txn_expect (txn, gr_cluster_config_key, call->config_revision);
  gr_metastore_txn_expect (txn, key, 0);
  gr_metastore_txn_put (txn, key, data, size, 0);
  gr_metastore_commit (call->parts->store, txn, attempt_timeout (call),
                       (struct gr_metastore_reply){ submitted, call });
  g_bytes_unref (value);
}

static void
cancelled (const struct gr_metastore_result *result,
           const struct gr_error *error,
           void *context)
{
  struct call *call = context;
  g_autofree char *job_key = gr_record_key (GR_RECORD_JOB, call->job_id);
  g_autofree char *key = gr_record_key (GR_RECORD_CANCEL, call->job_id);

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    {
      call_free (call);
      return;
    }
  if (error != NULL)
    {
      if (error->kind != GR_ERROR_STORE_UNAVAILABLE)
        call->maybe_done = true;
      if (time_is_up (call) || store_is_silent (call))
        answer_failed (call, "the store did not confirm the cancelling");
      else if (error->kind == GR_ERROR_STORE_UNAVAILABLE)
        answer_failed (call, "the store is not available");
      else
        cancel (call);
      return;
    }
  if (result->conditions_held)
    {
      struct gr_metastore_item item = { key, NULL, result->revision,
                                        result->revision, false };

      gr_mirror_apply (call->parts->mirror, &item);
      answer_ok (call, "cancelled");
      return;
    }
  apply_items (call, result);
  if (find_item (result, key) != NULL)
    answer_ok (call, "cancelled before");
  else if (find_item (result, job_key) == NULL)
    answer_error (call, 410, "no such job", "never", NULL);
  else if (time_is_up (call))
    answer_failed (call, "the job's record changes too fast");
  else
    cancel (call);
}

static void
cancel (struct call *call)
{
  const struct gr_mirror_job *job =
      gr_mirror_find (call->parts->mirror, call->job_id);
  g_autofree char *job_key = gr_record_key (GR_RECORD_JOB, call->job_id);
  g_autofree char *key = gr_record_key (GR_RECORD_CANCEL, call->job_id);
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  /* A revision that cannot hold makes the store say which job there is. */
  gr_metastore_txn_expect (txn, job_key, job ? job->job_revision : 1);
  gr_metastore_txn_expect (txn, key, 0);
  gr_metastore_txn_put (txn, key, "1", 1, 0);
  gr_metastore_commit (call->parts->store, txn, attempt_timeout (call),
                       (struct gr_metastore_reply){ cancelled, call });
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
  if (job->begun || job->progress_revision != 0)
    return names[GR_JOB_RUNNING];
  return names[GR_JOB_QUEUED];
}

static void
answer_state (struct call *call, const struct gr_mirror_job *job)
{
  JsonObject *body = json_object_new ();

  json_object_set_string_member (body, "state", state_name (job));
  soup_server_message_set_status (call->message, 200, NULL);
  set_json (call->message, body);
  end_call (call, state_name (job));
}

/* The copy may lag behind an acceptance at another instance. */
static void
job_read (const struct gr_metastore_result *result,
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
      answer_failed (call, "the job's record was not read");
      return;
    }
  for (size_t i = 0; i < result->n_items; i++)
    gr_mirror_apply (call->parts->mirror, &result->items[i]);
  job = gr_mirror_find (call->parts->mirror, call->job_id);
  if (job == NULL)
    answer_error (call, 410, "no such job", "never", NULL);
  else
    answer_state (call, job);
}

static void
show_state (struct call *call)
{
  const struct gr_mirror_job *job =
      gr_mirror_find (call->parts->mirror, call->job_id);
  g_autofree char *key = NULL;

  if (job != NULL)
    {
      answer_state (call, job);
      return;
    }
  key = gr_record_key (GR_RECORD_JOB, call->job_id);
  gr_metastore_get (call->parts->store, key, attempt_timeout (call),
                    (struct gr_metastore_reply){ job_read, call });
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
  if (!g_str_equal (job->spec->queue, count->queue) || job->begun
      || job->cancel_revision != 0 || job->progress_revision != 0)
    return;
  count->pending++;
}

static void
answer_pending (struct call *call, const struct gr_queue_config *queue)
{
  struct count count = { .queue = queue->name };
  JsonObject *body = json_object_new ();

  gr_mirror_each (call->parts->mirror, count_pending, &count);
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
      answer_error (call, 400, error.message, "never", NULL);
      return false;
    }
  g_strlcpy (call->spec->id, call->job_id, sizeof call->spec->id);
  call->spec->accepted_unix_ms = gr_clock_unix_ms ();
  return true;
}

/* How long the client waits, in milliseconds. */
static int64_t
client_limit_ms (SoupServerMessage *message)
{
  const char *text = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "X-Request-Deadline");
  int64_t wait_ms = text ? g_ascii_strtoll (text, NULL, 10) : 0;

  if (wait_ms <= 0 || wait_ms > CALL_LIMIT_MS + DEADLINE_MARGIN_MS)
    return CALL_LIMIT_MS;
  return MAX (wait_ms - DEADLINE_MARGIN_MS, 0);
}

static struct call *
call_create (const struct gr_clients_parts *parts,
             SoupServerMessage *message,
             const char *path)
{
  struct call *call = g_new0 (struct call, 1);

  call->parts = parts;
  call->message = g_object_ref (message);
  call->path = g_strdup (path);
  call->begun_ms = gr_clock_now_ms (parts->clock);
  call->limit_ms = call->begun_ms + client_limit_ms (message);
  soup_server_message_pause (message);
  return call;
}

static void
dispatch (struct call *call, const struct gr_call *found)
{
  call->kind = found->kind;
  if (found->job_id != NULL)
    g_strlcpy (call->job_id, found->job_id, sizeof call->job_id);
  switch (found->kind)
    {
    case GR_CALL_SUBMIT:
      if (store_is_silent (call))
        answer_failed (call, "the store does not answer");
      else if (read_spec (call))
        submit (call);
      return;
    case GR_CALL_STATE:
      show_state (call);
      return;
    case GR_CALL_CANCEL:
      if (store_is_silent (call))
        answer_failed (call, "the store does not answer");
      else
        cancel (call);
      return;
    case GR_CALL_PENDING:
      answer_pending (call, found->queue);
      return;
    }
}

void
gr_call_handle (const struct gr_clients_parts *parts,
                SoupServerMessage *message,
                const char *path,
                bool fresh)
{
  struct call *call = call_create (parts, message, path);
  struct gr_call found;

  if (!fresh)
    {
      answer_error (call, 503, "the configuration is not known to be current",
                    "not-run", STALE_RETRY_S);
      return;
    }
  if (route_again (call, &found))
    dispatch (call, &found);
}
