/* The store carries the write of a submission out seconds late, after the
 * client has cancelled the job and was told that there is no such job. The job
 * runs all the same. */
#include "review/rig-2/process-cluster.h"

#include <string.h>

#define WORKERS 4
#define JOBS 12
#define JOB_INTERVAL_MS 80
#define LOST_MS 1200
#define LOST_EVERY 3 /* one write in three; the site file allows 0.35 */
#define LATE_MS 5800 /* the pages name 1 to 6 s */
#define GIVE_UP_MS 600
#define CANCEL_TIMEOUT_MS 3000
#define CANCEL_RETRY_MS 100
#define CANCEL_MS 3000 /* cancel_ms of the site */
#define SETTLE_MS 14000

struct job
{
  struct rig *rig;
  char *id;
  int instance;
  guint handed_in;      /* status of the submission; 0: no answer */
  int64_t cancelled_ms; /* when the cancelling was acknowledged; 0: never */
  guint cancelled_status;
};

struct trouble
{
  struct rig *rig;
  bool losing;
  uint32_t writes;
  uint32_t late;
};

static enum rig_store_action
decide (bool is_txn, const char *body, uint32_t *late_ms, void *context)
{
  struct trouble *trouble = context;

  (void)body;
  if (!is_txn || !trouble->losing || ++trouble->writes % LOST_EVERY != 0)
    return RIG_STORE_PASS;
  trouble->late++;
  *late_ms = LATE_MS;
  return RIG_STORE_LATE;
}

static void cancel (struct job *job);

static gboolean
cancel_again (gpointer data)
{
  cancel (data);
  return G_SOURCE_REMOVE;
}

static void
cancel_done (const struct rig_answer *answer, void *context)
{
  struct job *job = context;

  rig_record (job->rig, "job %s cancelled at front-%d: %u", job->id,
              job->instance, answer->status);
  if ((answer->status >= 200 && answer->status < 300) || answer->status == 410)
    {
      job->cancelled_ms = rig_now_ms ();
      job->cancelled_status = answer->status;
      return;
    }
  job->instance = (job->instance + 1) % RIG_INSTANCES;
  g_timeout_add (CANCEL_RETRY_MS, cancel_again, job);
}

static void
cancel (struct job *job)
{
  rig_call (job->rig, job->instance, "DELETE", job->id, RIG_KEY_A, NULL,
            CANCEL_TIMEOUT_MS, cancel_done, job);
}

/* A client that leaves makes sure that its job does not run. */
static void
submit_done (const struct rig_answer *answer, void *context)
{
  struct job *job = context;

  job->handed_in = answer->status;
  rig_record (job->rig, "job %s handed in at front-%d: %u", job->id,
              job->instance, answer->status);
  job->instance = (job->instance + 1) % RIG_INSTANCES;
  cancel (job);
}

static int
judge (struct rig *rig, const struct job *jobs)
{
  int broken = 0;

  for (int i = 0; i < JOBS; i++)
    {
      const struct job *job = &jobs[i];
      GPtrArray *starts = rig_starts (rig);

      for (guint k = 0; k < starts->len && job->cancelled_ms != 0; k++)
        {
          const struct rig_start *start = starts->pdata[k];
          int64_t after_ms = start->at_ms - job->cancelled_ms;

          if (!g_str_has_prefix (start->task, job->id) || after_ms <= CANCEL_MS)
            continue;
          broken++;
          rig_record (rig,
                      "UNASKED: task %s was started on %s %" G_GINT64_FORMAT
                      " ms after the cancelling of its job was acknowledged "
                      "(%u)",
                      start->task, start->worker, after_ms,
                      job->cancelled_status);
        }
    }
  rig_record (rig, "%d jobs, %d starts later than %d ms after the cancelling",
              JOBS, broken, CANCEL_MS);
  return broken > 0 ? 1 : 0;
}

static gboolean
end_losses (gpointer data)
{
  struct trouble *trouble = data;

  trouble->losing = false;
  rig_record (trouble->rig, "no further answers are lost: %u of %u writes were",
              trouble->late, trouble->writes);
  return G_SOURCE_REMOVE;
}

int
main (int argc, char **argv)
{
  static const char body[] =
      "{\"task-spec\":\"run_ms=500\",\"steps\":[{\"count\":1,\"cpu\":1000,"
      "\"mem-mb\":100,\"gpu\":1,\"estimate-ms\":500}]}";
  struct rig *rig;
  struct job jobs[JOBS] = { 0 };
  struct trouble trouble = { 0 };
  int result;

  if (argc != 2 || (rig = rig_create (argv[1], WORKERS)) == NULL)
    return 2;
  trouble.rig = rig;
  rig_set_store_hook (rig, &(struct rig_store_hook){ decide, &trouble });
  if (!rig_start (rig))
    {
      rig_destroy (rig);
      return 2;
    }
  if (rig_trouble (rig))
    {
      trouble.losing = true;
      rig_record (rig, "from now on one write in %d is carried out %d ms late",
                  LOST_EVERY, LATE_MS);
      g_timeout_add (LOST_MS, end_losses, &trouble);
    }
  for (int i = 0; i < JOBS; i++)
    {
      jobs[i] = (struct job){ .rig = rig,
                              .id = rig_job_id (rig),
                              .instance = i % RIG_INSTANCES };
      rig_call (rig, jobs[i].instance, "POST", jobs[i].id, RIG_KEY_A, body,
                GIVE_UP_MS, submit_done, &jobs[i]);
      rig_wait (rig, JOB_INTERVAL_MS);
    }
  rig_wait (rig, SETTLE_MS);
  result = judge (rig, jobs);
  for (int i = 0; i < JOBS; i++)
    g_free (jobs[i].id);
  rig_destroy (rig);
  return result;
}
