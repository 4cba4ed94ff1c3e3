/* Jobs and takeovers of shards while processes, workers and the store fail,
 * with real processes. */
#include "tests/process-cluster.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

static const struct cluster_options job_options = { .entries = 3,
                                                    .schedulers = 3,
                                                    .workers = 8 };

/* Waits until a scheduler other than old_owner owns the shard. Returns its
 * name; free it with g_free (). The test fails after limit_ms. */
static char *
wait_new_owner (struct cluster *cluster,
                const char *old_owner,
                int64_t limit_ms)
{
  int64_t deadline_ms = g_get_monotonic_time () / 1000 + limit_ms;

  while (g_get_monotonic_time () / 1000 < deadline_ms)
    {
      int64_t epoch;
      char *owner = cluster_shard_owner (cluster, "entry-1", &epoch);

      if (owner != NULL && strcmp (owner, old_owner) != 0)
        return owner;
      g_free (owner);
      g_usleep (100000);
    }
  ck_abort_msg ("no other scheduler took over the shard of %s", old_owner);
  return NULL;
}

static void
submit_ok (struct cluster *cluster,
           const char *entry,
           const char *key,
           uint32_t workers,
           uint32_t run_ms,
           bool idempotent)
{
  struct reply reply =
      cluster_submit (cluster, entry, key, workers, run_ms, idempotent);

  ck_assert_msg (reply.status / 100 == 2, "status %d: %s", reply.status,
                 reply.body);
  reply_clear (&reply);
}

/* Guards against a takeover that restarts or loses a running gang: the owner of
 * the shard is killed while both tasks run, and the new owner must adopt them.
 */
START_TEST (owner_killed_running_gang_is_adopted)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t epoch;
  char *owner = cluster_shard_owner (cluster, "entry-1", &epoch);
  char *successor;

  submit_ok (cluster, "entry-1", "adopt", 2, 12000, false);
  ck_assert (cluster_wait_job (cluster, "entry-2", "adopt", "running", 8000));
  cluster_kill (cluster, owner);
  successor = wait_new_owner (cluster, owner, 20000);
  ck_assert (cluster_wait_job (cluster, "entry-3", "adopt", "finished", 30000));
  ck_assert_uint_eq (cluster_job_runs (cluster, "adopt"), 2);
  g_free (owner);
  g_free (successor);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against jobs that run twice after a pause: the owner of the shard is
 * paused with jobs pending, another scheduler takes over, and the former owner
 * resumes and must not start jobs that its successor has started. */
START_TEST (paused_owner_resumes_after_takeover)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t epoch;
  char *owner = cluster_shard_owner (cluster, "entry-1", &epoch);
  char *successor;
  char key[16];

  for (int i = 0; i < 4; i++)
    {
      g_snprintf (key, sizeof key, "pause-%d", i);
      submit_ok (cluster, "entry-1", key, 1, 500, false);
    }
  cluster_signal (cluster, owner, SIGSTOP);
  successor = wait_new_owner (cluster, owner, 20000);
  cluster_signal (cluster, owner, SIGCONT);
  for (int i = 0; i < 4; i++)
    {
      char *state;
      int64_t deadline_us =
          g_get_monotonic_time () + 40 * (int64_t)G_USEC_PER_SEC;

      g_snprintf (key, sizeof key, "pause-%d", i);
      do
        {
          g_usleep (200000);
          state = cluster_job_state (cluster, "entry-2", key);
          if (strcmp (state, "finished") == 0
              || strcmp (state, "may-have-run") == 0)
            break;
          g_clear_pointer (&state, g_free);
        }
      while (g_get_monotonic_time () < deadline_us);
      ck_assert_msg (state != NULL, "job %s did not reach a final state", key);
      ck_assert_uint_le (cluster_job_runs (cluster, key), 1);
      g_free (state);
    }
  g_free (owner);
  g_free (successor);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against accepted jobs that are lost when two of three schedulers are
 * killed at once: the third one must finish them. */
START_TEST (two_schedulers_killed_at_once)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t epoch;
  char *owner = cluster_shard_owner (cluster, "entry-1", &epoch);
  const char *other =
      strcmp (owner, "scheduler-1") == 0 ? "scheduler-2" : "scheduler-1";

  submit_ok (cluster, "entry-1", "pair-1", 2, 1000, true);
  submit_ok (cluster, "entry-2", "pair-2", 1, 1000, true);
  cluster_kill (cluster, owner);
  cluster_kill (cluster, other);
  ck_assert (
      cluster_wait_job (cluster, "entry-3", "pair-1", "finished", 60000));
  ck_assert (
      cluster_wait_job (cluster, "entry-3", "pair-2", "finished", 60000));
  g_free (owner);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against lost or restarted jobs while the store is down for longer than
 * the owner, start and run lease terms. Meanwhile no job may be accepted, since
 * its record cannot be written. */
START_TEST (store_down_longer_than_every_lease)
{
  struct cluster *cluster = cluster_create (&job_options);
  struct reply reply;

  submit_ok (cluster, "entry-1", "long", 2, 20000, false);
  ck_assert (cluster_wait_job (cluster, "entry-1", "long", "running", 8000));
  cluster_control (cluster, "kv", "{\"down\":true}");
  g_usleep (3 * (gulong)G_USEC_PER_SEC);
  reply = cluster_submit (cluster, "entry-2", "refused", 1, 500, true);
  ck_assert_msg (
      strcmp (reply_string (&reply, "run_state"), "not-run") == 0
          || strcmp (reply_string (&reply, "run_state"), "may-have-run") == 0,
      "status %d: %s", reply.status, reply.body);
  reply_clear (&reply);
  g_usleep (12 * (gulong)G_USEC_PER_SEC);
  cluster_control (cluster, "kv", "{\"down\":false}");
  ck_assert (cluster_wait_job (cluster, "entry-3", "long", "finished", 40000));
  ck_assert_uint_eq (cluster_job_runs (cluster, "long"), 2);
  submit_ok (cluster, "entry-1", "after", 1, 500, true);
  ck_assert (cluster_wait_job (cluster, "entry-1", "after", "finished", 20000));
  cluster_destroy (cluster);
}
END_TEST

/* Guards against treating a write as failed because the answer of the store was
 * lost: the write was applied. While writes or their answers are lost, accepted
 * jobs must finish, jobs refused as not-run must not run, and no job may run
 * twice. */
START_TEST (lost_answers_while_submitting)
{
  struct cluster *cluster = cluster_create (&job_options);
  bool accepted[12];
  bool refused[12];
  char key[16];

  for (int i = 0; i < 12; i++)
    {
      struct reply reply;

      g_snprintf (key, sizeof key, "lost-%d", i);
      cluster_control (cluster, "kv",
                       i % 2 == 0 ? "{\"lose_answers\":1}"
                                  : "{\"lose_requests\":1}");
      reply = cluster_submit (cluster, i % 3 == 0 ? "entry-1" : "entry-2", key,
                              1, 300, false);
      accepted[i] = reply.status / 100 == 2;
      refused[i] = strcmp (reply_string (&reply, "run_state"), "not-run") == 0;
      reply_clear (&reply);
    }
  g_usleep (10 * (gulong)G_USEC_PER_SEC);
  for (int i = 0; i < 12; i++)
    {
      g_snprintf (key, sizeof key, "lost-%d", i);
      if (accepted[i])
        ck_assert_msg (
            cluster_wait_job (cluster, "entry-3", key, "finished", 30000),
            "accepted job %s did not finish", key);
      if (refused[i])
        ck_assert_uint_eq (cluster_job_runs (cluster, key), 0);
      ck_assert_uint_le (cluster_job_runs (cluster, key), 1);
    }
  cluster_destroy (cluster);
}
END_TEST

/* Returns the worker of the job's placement with this index. Free it with
 * g_free (). */
static char *
placement_worker (struct cluster *cluster, const char *key, guint index)
{
  const char *headers[] = { "Authorization", "Bearer token", NULL };
  char *path = g_strdup_printf ("/v1/jobs/dc1.clinics.%s", key);
  struct reply reply =
      http_call ("GET", cluster_http_address (cluster, "entry-1"), path,
                 headers, NULL, 10);
  JsonArray *placements =
      json_object_get_array_member (reply.json, "placements");
  char *worker = g_strdup (json_object_get_string_member (
      json_array_get_object_element (placements, index), "worker"));

  reply_clear (&reply);
  g_free (path);
  return worker;
}

static guint
count_leases (struct cluster *cluster, const char *worker)
{
  struct reply report =
      http_call ("GET", cluster_http_address (cluster, worker), "/v1/report",
                 NULL, NULL, 5);
  guint count = json_array_get_length (
      json_object_get_array_member (report.json, "leases"));

  reply_clear (&report);
  return count;
}

/* Guards against a gang that keeps running in part when one of its workers is
 * lost: one worker stops answering, and the task on the other one must be
 * stopped. */
START_TEST (silent_member_stops_the_gang)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t deadline_us;
  char *silent_worker;
  char *other;

  submit_ok (cluster, "entry-1", "gang", 2, 60000, false);
  ck_assert (cluster_wait_job (cluster, "entry-1", "gang", "running", 8000));
  ck_assert_uint_eq (cluster_job_runs (cluster, "gang"), 2);
  silent_worker = placement_worker (cluster, "gang", 0);
  other = placement_worker (cluster, "gang", 1);
  cluster_control (cluster, silent_worker, "{\"silent\":true}");
  /* One run lease term of 12 s, plus the time to detect the silent worker. */
  deadline_us = g_get_monotonic_time () + 15 * (int64_t)G_USEC_PER_SEC;
  while (count_leases (cluster, other) > 0)
    {
      ck_assert_msg (g_get_monotonic_time () < deadline_us,
                     "%s still holds a lease", other);
      g_usleep (200000);
    }
  ck_assert (
      cluster_wait_job (cluster, "entry-2", "gang", "may-have-run", 30000));
  g_free (silent_worker);
  g_free (other);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a graceful shutdown of the owner that loses or restarts a
 * running job. */
START_TEST (graceful_shutdown_of_the_owner)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t epoch;
  char *owner = cluster_shard_owner (cluster, "entry-1", &epoch);
  char *successor;

  submit_ok (cluster, "entry-1", "drain", 2, 10000, false);
  ck_assert (cluster_wait_job (cluster, "entry-2", "drain", "running", 8000));
  ck_assert_int_eq (cluster_stop (cluster, owner, 15000), 0);
  successor = wait_new_owner (cluster, owner, 5000);
  ck_assert (cluster_wait_job (cluster, "entry-3", "drain", "finished", 30000));
  ck_assert_uint_eq (cluster_job_runs (cluster, "drain"), 2);
  g_free (owner);
  g_free (successor);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a guarantee that is not reclaimed in time: batch jobs fill all
 * workers, and a gang of the guaranteed shape must start within 3.9 s, the
 * limit for urgent jobs. */
START_TEST (guarantee_is_reclaimed_from_other_work)
{
  struct cluster *cluster = cluster_create (&job_options);
  char key[16];
  struct reply reply;
  const char *headers[] = { "Authorization", "Bearer token", NULL };

  for (int i = 0; i < 8; i++)
    {
      char *body;

      g_snprintf (key, sizeof key, "fill-%d", i);
      body = g_strdup_printf (
          "{\"account\":\"overnight\",\"key\":\"%s\",\"workers\":1,"
          "\"accelerators_per_worker\":8,\"run_ms\":600000,"
          "\"idempotent\":true,\"checkpointable\":true,"
          "\"data_centre\":\"dc1\",\"spec\":\"run_ms=600000\"}",
          key);
      reply = http_call ("POST", cluster_http_address (cluster, "entry-1"),
                         "/v1/jobs", headers, body, 10);
      ck_assert_msg (reply.status / 100 == 2, "%s", reply.body);
      reply_clear (&reply);
      g_free (body);
    }
  g_usleep (6 * (gulong)G_USEC_PER_SEC);
  submit_ok (cluster, "entry-2", "mine", 2, 1000, true);
  ck_assert (cluster_wait_job (cluster, "entry-2", "mine", "running", 3900)
             || cluster_wait_job (cluster, "entry-2", "mine", "finished", 1));
  ck_assert (cluster_wait_job (cluster, "entry-3", "mine", "finished", 20000));
  cluster_destroy (cluster);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("process-jobs");
  TCase *tcase = tcase_create ("process-jobs");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 180);
  tcase_add_test (tcase, owner_killed_running_gang_is_adopted);
  tcase_add_test (tcase, paused_owner_resumes_after_takeover);
  tcase_add_test (tcase, two_schedulers_killed_at_once);
  tcase_add_test (tcase, store_down_longer_than_every_lease);
  tcase_add_test (tcase, lost_answers_while_submitting);
  tcase_add_test (tcase, silent_member_stops_the_gang);
  tcase_add_test (tcase, graceful_shutdown_of_the_owner);
  tcase_add_test (tcase, guarantee_is_reclaimed_from_other_work);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
