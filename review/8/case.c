/* The store goes down: it has carried out the calls that are under way, their
 * connections are reset, and then it answers 503 for some seconds. Clients are
 * told 503, which says that their jobs never run, and the jobs run. */
#include "review/rig-2/rig.h"

#include <string.h>

#define JOBS 3
#define DOWN_MS 4500   /* for_s of platform_down in the site file */
#define UNDERWAY_MS 60 /* calls that arrived so long before are under way */
#define ATTEMPT_TIMEOUT_MS 2500
#define DEADLINE_MS 3000 /* of the site's clients */
#define RETRY_MS 1000    /* Retry-After of the answers */
#define MAX_ATTEMPTS 5
#define SETTLE_MS 14000

struct job
{
  struct rig *rig;
  char *id;
  int instance;
  int attempts;
  int64_t begun_ms;
  int64_t answered_ms;
  guint last_status;
  bool rejected_only;
  bool accepted;
};

enum store_state
{
  STORE_UP,
  STORE_STOPPING, /* the calls that arrive now are under way when it goes down
                   */
  STORE_DOWN,
};

struct trouble
{
  enum store_state state;
};

static enum rig_store_action
decide (bool is_txn, const char *body, uint32_t *late_ms, void *context)
{
  struct trouble *trouble = context;

  (void)body;
  (void)late_ms;
  if (trouble->state == STORE_DOWN)
    return RIG_STORE_BUSY;
  return trouble->state == STORE_STOPPING && is_txn ? RIG_STORE_RESET
                                                    : RIG_STORE_PASS;
}

static void send_attempt (struct job *job);

static gboolean
try_again (gpointer data)
{
  send_attempt (data);
  return G_SOURCE_REMOVE;
}

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
  if (job->attempts >= MAX_ATTEMPTS
      || job->answered_ms + RETRY_MS > job->begun_ms + DEADLINE_MS)
    return;
  job->instance = (job->instance + 1) % RIG_INSTANCES;
  g_timeout_add (RETRY_MS, try_again, job);
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

  for (int i = 0; i < JOBS; i++)
    {
      const struct job *job = &jobs[i];
      const struct rig_start *start = rig_first_start (rig, job->id);

      if (job->accepted || !job->rejected_only || start == NULL)
        continue;
      broken++;
      rig_record (rig,
                  "REFUSED: all %d attempts of job %s were rejected (%u), and "
                  "its task %s was started on %s %" G_GINT64_FORMAT
                  " ms after the last answer",
                  job->attempts, job->id, job->last_status, start->task,
                  start->worker, start->at_ms - job->answered_ms);
    }
  rig_record (rig, "%d jobs, %d ran although all attempts were rejected", JOBS,
              broken);
  return broken > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  struct rig *rig;
  struct job jobs[JOBS] = { 0 };
  struct trouble trouble = { STORE_UP };
  int result;

  if (argc != 2 || (rig = rig_create (argv[1])) == NULL)
    return 2;
  rig_set_store_hook (rig, &(struct rig_store_hook){ decide, &trouble });
  if (!rig_start (rig))
    {
      rig_destroy (rig);
      return 2;
    }
  if (rig_trouble (rig))
    trouble.state = STORE_STOPPING;
  for (int i = 0; i < JOBS; i++)
    {
      jobs[i] = (struct job){ .rig = rig,
                              .id = rig_job_id (rig),
                              .instance = i % RIG_INSTANCES,
                              .begun_ms = rig_now_ms (),
                              .rejected_only = true };
      send_attempt (&jobs[i]);
    }
  rig_wait (rig, UNDERWAY_MS);
  if (rig_trouble (rig))
    {
      trouble.state = STORE_DOWN;
      rig_record (rig, "the store is down for %d ms", DOWN_MS);
      rig_reset_held (rig);
    }
  rig_wait (rig, DOWN_MS);
  trouble.state = STORE_UP;
  rig_record (rig, "the store is up");
  rig_wait (rig, SETTLE_MS);
  result = judge (rig, jobs);
  for (int i = 0; i < JOBS; i++)
    g_free (jobs[i].id);
  rig_destroy (rig);
  return result;
}
