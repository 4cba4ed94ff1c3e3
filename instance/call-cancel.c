/* Cancelling of a job. */
#include "instance/call-private.h"
#include "instance/records.h"

static void
cancelled_job (struct call *call, const struct gr_metastore_result *result)
{
  g_autofree char *key = gr_record_key (GR_RECORD_CANCEL, call->job_id);
  struct gr_metastore_item item = { key, NULL, result->revision,
                                    result->revision, false };

  gr_mirror_apply (call->deps->mirror, &item);
  gr_call_respond_ok (call, "cancelled");
}

/* The conditions did not hold: the store has other records than the mirror. */
static void
cancel_again (struct call *call, const struct gr_metastore_result *result)
{
  g_autofree char *job_key = gr_record_key (GR_RECORD_JOB, call->job_id);
  g_autofree char *key = gr_record_key (GR_RECORD_CANCEL, call->job_id);

  gr_call_apply_items (call, result);
  call->job_absent = gr_call_find_item (result, job_key) == NULL;
  if (gr_call_find_item (result, key) != NULL)
    gr_call_respond_ok (call, "already cancelled");
  else if (gr_call_is_too_late_to_retry (call))
    gr_call_respond_unconfirmed (
        call, "the job's record changed during each attempt");
  else
    gr_call_cancel (call);
}

static void
cancel_done (const struct gr_metastore_result *result,
             const struct gr_error *error,
             void *context)
{
  struct call *call = context;

  if (gr_call_is_abandoned (call, error))
    return;
  if (error != NULL)
    {
      if (error->kind != GR_ERROR_STORE_UNAVAILABLE)
        gr_attempts_add_unresolved (&call->attempts, 0, NULL);
      if (gr_call_is_too_late_to_retry (call)
          || gr_call_store_is_unresponsive (call))
        gr_call_respond_unconfirmed (
            call, "the store did not confirm the cancellation");
      else if (error->kind == GR_ERROR_STORE_UNAVAILABLE)
        gr_call_respond_unconfirmed (call, "the store is not available");
      else
        gr_call_cancel (call);
      return;
    }
  if (!result->conditions_held)
    cancel_again (call, result);
  else if (call->job_absent)
    gr_call_respond_error (call, 410, "no such job", "never", NULL);
  else
    cancelled_job (call, result);
}

void
gr_call_cancel (struct call *call)
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
  gr_metastore_commit (call->deps->store, txn,
                       gr_call_attempt_timeout_ms (call),
                       (struct gr_metastore_reply){ cancel_done, call });
}
