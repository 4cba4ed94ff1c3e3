/* One executor goes down and up by turns. A job whose task is on it is shown as
 * failed, although no run of it has ended so. */
#include "review/rig-2/rig.h"

#include <string.h>

#define WORKERS 7
#define RUN_MS 14000
#define BUSY_RUN_MS 100000
/* As in the site files: gap_s 1.4, for_s 6.5; one of seven executors is less
 * than the share of 0.15. */
#define GAP_MS 1400
#define FLAP_MS 6500
#define SPANS 2
#define CALM_MS 5000
#define POLL_MS 250
#define LIMIT_MS 60000

struct job
{
  struct rig *rig;
  char *id;
  guint status;   /* of the submission; 0: no answer yet */
  char state[16]; /* last known */
  bool asking;
};

static void
submit_done (const struct rig_answer *answer, void *context)
{
  struct job *job = context;

  job->status = answer->status;
  rig_record (job->rig, "job %s handed in: %u", job->id, answer->status);
}

static void
state_done (const struct rig_answer *answer, void *context)
{
  struct job *job = context;
  g_autoptr (JsonNode) node = NULL;
  const char *state = NULL;

  job->asking = false;
  if (answer->status != 200)
    return;
  node = json_from_string (answer->body, NULL);
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    state = json_object_get_string_member_with_default (
        json_node_get_object (node), "state", NULL);
  if (state == NULL || g_str_equal (state, job->state))
    return;
  g_strlcpy (job->state, state, sizeof job->state);
  rig_record (job->rig, "job %s is shown as %s", job->id, state);
}

static void
ask (struct job *job)
{
  if (job->asking)
    return;
  job->asking = true;
  rig_call (job->rig, 1, "GET", job->id, RIG_KEY_A, NULL, 2500, state_done,
            job);
}

/* Runs the main loop and asks for the state of the job now and then. */
static void
watch (struct job *job, int64_t ms)
{
  int64_t end_ms = rig_now_ms () + ms;

  while (rig_now_ms () < end_ms)
    {
      ask (job);
      rig_wait (job->rig, (uint32_t)MIN (POLL_MS, end_ms - rig_now_ms () + 1));
    }
}

static void
hand_in (struct job *job, int count, int run_ms)
{
  g_autofree char *body = g_strdup_printf (
      "{\"task-spec\":\"run_ms=%d\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
      "\"mem-mb\":100,\"gpu\":8,\"estimate-ms\":%d}]}",
      run_ms, count, run_ms);

  rig_call (job->rig, 0, "POST", job->id, RIG_KEY_A, body, 2500, submit_done,
            job);
  rig_wait (job->rig, 1500);
}

/* The executor on which the job's task was started; -1: none. */
static int
executor_of (struct job *job)
{
  const struct rig_start *start = rig_first_start (job->rig, job->id);

  for (int i = 0; start != NULL && i < WORKERS; i++)
    if (g_str_equal (start->worker, rig_worker_id (job->rig, i)))
      return i;
  return -1;
}

static void
flap (struct job *job, int executor)
{
  int64_t end_ms = rig_now_ms () + FLAP_MS;

  while (rig_now_ms () < end_ms)
    {
      rig_record (job->rig, "%s goes down", rig_worker_id (job->rig, executor));
      rig_kill_worker (job->rig, executor);
      watch (job, GAP_MS);
      rig_record (job->rig, "%s is up again",
                  rig_worker_id (job->rig, executor));
      rig_restart_worker (job->rig, executor);
      watch (job, MIN (GAP_MS, end_ms - rig_now_ms ()));
    }
}

static int
judge (struct job *job)
{
  GPtrArray *starts = rig_starts (job->rig);
  int64_t end_ms = rig_now_ms () + LIMIT_MS;
  int n = 0;

  while (rig_now_ms () < end_ms && !g_str_equal (job->state, "completed")
         && !g_str_equal (job->state, "failed"))
    watch (job, POLL_MS);
  starts = rig_starts (job->rig);
  for (guint i = 0; i < starts->len; i++)
    n += g_str_has_prefix (((struct rig_start *)starts->pdata[i])->task,
                           job->id);
  rig_record (job->rig,
              "%d runs of its task; runs that ended failed: none; it "
              "is shown as %s",
              n, job->state);
  if (!g_str_equal (job->state, "failed"))
    return 0;
  rig_record (job->rig, "LOST: job %s is shown as failed without cause",
              job->id);
  return 1;
}

int
main (int argc, char **argv)
{
  struct rig *rig;
  struct job busy = { 0 };
  struct job job = { 0 };
  int executor = -1;
  int result = 2;

  if (argc != 2 || (rig = rig_create (argv[1], WORKERS)) == NULL)
    return 2;
  busy.rig = job.rig = rig;
  busy.id = rig_job_id (rig);
  job.id = rig_job_id (rig);
  if (rig_start (rig))
    {
      hand_in (&busy, WORKERS - 1, BUSY_RUN_MS);
      hand_in (&job, 1, RUN_MS);
      executor = executor_of (&job);
    }
  if (executor >= 0 && job.status == 200 && busy.status == 200)
    {
      for (int i = 0; i < SPANS && rig_trouble (rig); i++)
        {
          flap (&job, executor);
          watch (&job, CALM_MS);
        }
      result = judge (&job);
    }
  rig_destroy (rig);
  g_free (busy.id);
  g_free (job.id);
  return result;
}
