/* State of a job, and number of pending jobs of a queue. */
#include "instance/call-private.h"
#include "instance/records.h"

/* Limit for the read of a job's progress. Without an answer, the last known
 * state is sent. */
#define PROGRESS_TIMEOUT_MS 400

/* A call that waits for a change gives up this long after its wait. The store
 * answers within some milliseconds, and the last known state is better than an
 * answer that comes after the client could have asked again. */
#define STATE_WAIT_MARGIN_MS 100

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
  gr_call_set_json (call->message, body);
  gr_call_end (call, state_name (job));
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

  if (gr_call_is_abandoned (call, error))
    return;
  if (error != NULL)
    {
      gr_call_respond_unconfirmed (call, "the job's record could not be read");
      return;
    }
  for (size_t i = 0; i < result->n_items; i++)
    gr_mirror_apply (call->deps->mirror, &result->items[i]);
  job = gr_mirror_find (call->deps->mirror, call->job_id);
  if (job == NULL)
    gr_call_respond_error (call, 410, "no such job", "never", NULL);
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

  if (gr_call_is_abandoned (call, error))
    return;
  for (size_t i = 0; error == NULL && i < result->n_items; i++)
    gr_mirror_apply (call->deps->mirror, &result->items[i]);
  job = gr_mirror_find (call->deps->mirror, call->job_id);
  if (job == NULL)
    gr_call_respond_error (call, 410, "no such job", "never", NULL);
  else
    respond_state (call, job);
}

/* A job that ended while the mirror misses changes would be shown as running
 * until the mirror has caught up. */
static void
read_progress (struct call *call)
{
  g_autofree char *key = gr_record_key (GR_RECORD_PROGRESS, call->job_id);

  gr_metastore_get (
      call->deps->store, key,
      MIN (gr_call_attempt_timeout_ms (call), PROGRESS_TIMEOUT_MS),
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
  uint32_t timeout_ms = gr_call_attempt_timeout_ms (call);
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

void
gr_call_show_state (struct call *call)
{
  const struct gr_mirror_job *job =
      gr_mirror_find (call->deps->mirror, call->job_id);
  g_autofree char *key = NULL;

  if (job != NULL && job->progress.state < GR_JOB_COMPLETED
      && gr_mirror_is_overdue (call->deps->mirror)
      && !gr_call_store_is_unresponsive (call))
    {
      read_progress (call);
      return;
    }
  if (job != NULL && may_change (job) && call->deps->settings->state_wait_ms > 0
      && gr_metastore_open_watches (call->deps->store) < MAX_OPEN_WATCHES
      && !gr_call_store_is_unresponsive (call))
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
  gr_metastore_get (call->deps->store, key, gr_call_attempt_timeout_ms (call),
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

void
gr_call_respond_pending (struct call *call, const struct gr_queue_config *queue)
{
  struct count count = { .queue = queue->name };
  JsonObject *body = json_object_new ();

  gr_mirror_each (call->deps->mirror, count_pending, &count);
  json_object_set_int_member (body, "pending", count.pending);
  soup_server_message_set_status (call->message, 200, NULL);
  gr_call_set_json (call->message, body);
  gr_call_end (call, "pending");
}
