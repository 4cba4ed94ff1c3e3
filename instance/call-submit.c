/* Submission of a job. */
#include "instance/call-private.h"
#include "instance/records.h"

#include <string.h>

/* Records the end of an attempt without a definite result. */
static void
note_unresolved (struct call *call)
{
  gr_attempts_add_unresolved (&call->attempts, call->config_revision,
                              call->spec->account);
}

/* The store holds a job of this id: it was stored by an attempt of this call or
 * by another submission of the same account, or it is a job of another
 * account. */
static void
respond_id_in_use (struct call *call, const struct gr_metastore_item *item)
{
  struct gr_job_spec *job =
      item->value ? gr_record_decode_job (call->job_id, item->value) : NULL;

  if (job == NULL)
    {
      note_unresolved (call);
      gr_call_respond_unconfirmed (call, "the job's record is unreadable");
    }
  else if (g_str_equal (job->account, call->spec->account)
           || gr_attempts_may_own (&call->attempts, job->account))
    gr_call_respond_ok (call, "already accepted");
  else
    {
      gr_attempts_had_no_effect (&call->attempts);
      gr_call_respond_error (call, 409, "the id belongs to another job",
                             "never", NULL);
    }
  gr_job_spec_destroy (job);
}

static void
submit_failed (struct call *call, const struct gr_error *error)
{
  if (error->kind != GR_ERROR_STORE_UNAVAILABLE)
    note_unresolved (call);
  if (gr_attempts_may_reject (&call->attempts)
      || gr_call_is_too_late_to_retry (call)
      || gr_call_store_is_unresponsive (call))
    gr_call_respond_unconfirmed (call, "the store did not confirm the job");
  else
    gr_call_submit (call);
}

static void
submit_done (const struct gr_metastore_result *result,
             const struct gr_error *error,
             void *context)
{
  struct call *call = context;
  g_autofree char *key = gr_record_key (GR_RECORD_JOB, call->job_id);
  const struct gr_metastore_item *job;

  if (gr_call_is_abandoned (call, error))
    return;
  if (error != NULL)
    {
      submit_failed (call, error);
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
      gr_call_respond_ok (call, "accepted");
      return;
    }
  gr_call_apply_items (call, result);
  job = gr_call_find_item (result, key);
  if (job != NULL)
    {
      respond_id_in_use (call, job);
      return;
    }
  /* There is no job, so the configuration or the tombstones have changed since
   * this attempt and all before it. */
  gr_attempts_had_no_effect (&call->attempts);
  if (gr_call_is_too_late_to_retry (call))
    gr_call_respond_unconfirmed (
        call, "the configuration changed during each attempt");
  else
    gr_call_submit (call);
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
      gr_attempts_had_no_effect (&call->attempts);
      gr_call_respond_error (call, 409, "the job was cancelled", "never", NULL);
      return true;
    case GR_TOMBSTONE_UNKNOWN:
      gr_call_respond_unconfirmed (call, "the job may have been cancelled");
      return true;
    }
  return false;
}

static void
job_read (const struct gr_metastore_result *result,
          const struct gr_error *error,
          void *context)
{
  struct call *call = context;

  if (gr_call_is_abandoned (call, error))
    return;
  if (error != NULL)
    {
      gr_call_respond_not_routed (call, &call->rejection);
      return;
    }
  if (result->n_items > 0)
    {
      gr_mirror_apply (call->deps->mirror, &result->items[0]);
      respond_id_in_use (call, &result->items[0]);
      return;
    }
  gr_attempts_job_absent (&call->attempts,
                          gr_config_view_get (call->deps->config)->revision);
  gr_call_respond_not_routed (call, &call->rejection);
}

/* The configuration does not allow the call any more. An attempt that was
 * allowed when it was sent may have stored the job. */
static void
reject_or_confirm (struct call *call, const struct gr_error *error)
{
  g_autofree char *key = gr_record_key (GR_RECORD_JOB, call->job_id);

  if (gr_attempts_may_reject (&call->attempts))
    {
      gr_call_respond_not_routed (call, error);
      return;
    }
  call->rejection = *error;
  gr_metastore_get (call->deps->store, key, gr_call_attempt_timeout_ms (call),
                    (struct gr_metastore_reply){ job_read, call });
}

void
gr_call_submit (struct call *call)
{
  const struct gr_tombstones *tombstones =
      gr_mirror_tombstones (call->deps->mirror);
  struct gr_metastore_txn *txn;
  struct gr_routed_call routed;
  struct gr_error error = GR_ERROR_INIT;
  g_autofree char *key = gr_record_key (GR_RECORD_JOB, call->job_id);
  GBytes *value;
  gsize size;
  const void *data;

  if (respond_if_cancelled (call))
    return;
  if (!gr_call_route (call, &routed, &error))
    {
      reject_or_confirm (call, &error);
      return;
    }
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
  gr_metastore_commit (call->deps->store, txn,
                       gr_call_attempt_timeout_ms (call),
                       (struct gr_metastore_reply){ submit_done, call });
  g_bytes_unref (value);
}
