/* Answers of the store are lost while a key is taken away: clients are told 401
 * for jobs that the store holds, and the jobs run. */
#include "review/rig-2/process-cluster.h"

#include <string.h>

#define WORKERS 4
#define JOBS 40
#define JOB_INTERVAL_MS 50
#define REVOKE_AFTER_MS 1000
#define LOST_MS 4500 /* for_s of platform_lost in the site file */
#define LOST_EVERY 3 /* one write in three; the site file allows 0.35 */
#define MAX_ATTEMPTS 5
#define ATTEMPT_TIMEOUT_MS 3000
#define SETTLE_MS 12000

struct job
{
  struct rig *rig;
  char *id;
  int instance;
  int attempts;
  guint last_status;
  bool rejected_only; /* each attempt so far was rejected */
  bool accepted;
  int64_t answered_ms;
};

struct trouble
{
  struct rig *rig;
  bool losing;
  uint32_t writes;
  uint32_t lost;
};

static enum rig_store_action
decide (bool is_txn, const char *body, uint32_t *late_ms, void *context)
{
  struct trouble *trouble = context;

  (void)late_ms;
  (void)body;
  if (!is_txn || !trouble->losing)
    return RIG_STORE_PASS;
  if (++trouble->writes % LOST_EVERY != 0)
    return RIG_STORE_PASS;
  trouble->lost++;
  return RIG_STORE_LOSE;
}

static void send_attempt (struct job *job);

static gboolean
try_again (gpointer data)
{
  send_attempt (data);
  return G_SOURCE_REMOVE;
}

/* As PROTOCOL.md says: 429 and 503: not accepted; no answer, 502 and 504: the
 * same id again, at any node; 401 and 404: not allowed. */
static void
attempt_done (const struct rig_answer *answer, void *context)
{
  struct job *job = context;
  guint status = answer->status;

  job->last_status = status;
  job->answered_ms = rig_now_ms ();
  rig_record (job->rig, "job %s attempt %d at front-%d: %u", job->id,
              job->attempts, job->instance, status);
  if (status >= 200 && status < 300)
    {
      job->accepted = true;
      return;
    }
  if (status == 0 || status == 502 || status == 504)
    job->rejected_only = false;
  if (job->attempts >= MAX_ATTEMPTS || status == 401 || status == 404)
    return;
  job->instance = (job->instance + 1) % RIG_INSTANCES;
  g_timeout_add (status == 503 || status == 429 ? 1000 : 50, try_again, job);
}

static void
send_attempt (struct job *job)
{
  static const char body[] =
      "{\"task-spec\":\"run_ms=300\",\"steps\":[{\"count\":1,\"cpu\":1000,"
      "\"mem-mb\":100,\"gpu\":1,\"estimate-ms\":300}]}";

  job->attempts++;
  rig_call (job->rig, job->instance, "POST", job->id, RIG_KEY_A, body,
            ATTEMPT_TIMEOUT_MS, attempt_done, job);
}

static int
judge (struct rig *rig, const struct job *jobs)
{
  int broken = 0;
  int rejected = 0;

  for (int i = 0; i < JOBS; i++)
    {
      const struct job *job = &jobs[i];
      const struct rig_start *start;

      if (job->accepted || !job->rejected_only || job->last_status == 0)
        continue;
      rejected++;
      start = rig_first_start (rig, job->id);
      if (start == NULL)
        continue;
      broken++;
      rig_record (rig,
                  "REFUSED: all attempts of job %s were rejected (%u), and its "
                  "task %s was started on %s %+" G_GINT64_FORMAT
                  " ms after that answer",
                  job->id, job->last_status, start->task, start->worker,
                  start->at_ms - job->answered_ms);
    }
  rig_record (rig, "%d jobs, %d with rejections only, %d of these ran", JOBS,
              rejected, broken);
  return broken > 0 ? 1 : 0;
}

static gboolean
end_losses (gpointer data)
{
  struct trouble *trouble = data;

  trouble->losing = false;
  rig_record (trouble->rig, "answers are no longer lost: %u of %u writes were",
              trouble->lost, trouble->writes);
  return G_SOURCE_REMOVE;
}

int
main (int argc, char **argv)
{
  static const char *const keys[] = { RIG_KEY_B, NULL };
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
      rig_record (rig, "from now on one write in %d is not answered",
                  LOST_EVERY);
      g_timeout_add (LOST_MS, end_losses, &trouble);
    }
  for (int i = 0; i < JOBS; i++)
    {
      jobs[i] = (struct job){ .rig = rig,
                              .id = rig_job_id (rig),
                              .instance = i % RIG_INSTANCES,
                              .rejected_only = true };
      send_attempt (&jobs[i]);
      rig_wait (rig, JOB_INTERVAL_MS);
      if (i * JOB_INTERVAL_MS == REVOKE_AFTER_MS && rig_trouble (rig))
        rig_put_config (rig, 2, keys);
    }
  rig_wait (rig, SETTLE_MS);
  result = judge (rig, jobs);
  for (int i = 0; i < JOBS; i++)
    g_free (jobs[i].id);
  rig_destroy (rig);
  return result;
}
