/* Jobs, shards and takeovers under failure, with real processes. */
#include "tests/process-cluster.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

static const struct cluster_options job_options = { .entries = 3,
                                                    .schedulers = 3,
                                                    .workers = 8 };

/* Waits until another scheduler than old owns the shard; returns its name. */
static char *
wait_new_owner (struct cluster *cluster, const char *old, int64_t limit_ms)
{
  int64_t limit = g_get_monotonic_time () / 1000 + limit_ms;

  while (g_get_monotonic_time () / 1000 < limit)
    {
      int64_t epoch;
      char *owner = cluster_owner (cluster, "entry-1", &epoch);

      if (owner != NULL && strcmp (owner, old) != 0)
        return owner;
      g_free (owner);
      g_usleep (100000);
    }
  ck_abort_msg ("no new owner of the shard of %s", old);
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

  ck_assert_msg (reply.status / 100 == 2, "%d %s", reply.status, reply.body);
  reply_clear (&reply);
}

/* Guards against a running gang that a takeover restarts or loses. */
START_TEST (owner_killed_running_gang_is_adopted)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t epoch;
  char *owner = cluster_owner (cluster, "entry-1", &epoch);
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

/* Guards against a paused owner that wakes after a takeover and starts work
 * that its successor has started too. */
START_TEST (paused_owner_wakes_harmlessly)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t epoch;
  char *owner = cluster_owner (cluster, "entry-1", &epoch);
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
      int64_t limit = g_get_monotonic_time () + 40 * (int64_t)G_USEC_PER_SEC;

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
      while (g_get_monotonic_time () < limit);
      ck_assert_msg (state != NULL, "job %s did not end", key);
      ck_assert_uint_le (cluster_job_runs (cluster, key), 1);
      g_free (state);
    }
  g_free (owner);
  g_free (successor);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against both schedulers of a pair dying at once with work accepted:
 * the third must finish what was accepted. */
START_TEST (two_schedulers_killed_at_once)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t epoch;
  char *owner = cluster_owner (cluster, "entry-1", &epoch);
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

/* Guards against accepted jobs lost, and submissions accepted without a
 * record, while the store is down for longer than every lease. */
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
      "%d %s", reply.status, reply.body);
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

/* Guards against lost answers taken as failures: whatever is accepted ends,
 * and nothing answered not-run has run. */
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

/* Worker of the job's placement number index. */
static char *
member_of (struct cluster *cluster, const char *key, guint index)
{
  const char *headers[] = { "Authorization", "Bearer token", NULL };
  char *path = g_strdup_printf ("/v1/jobs/dc1.clinics.%s", key);
  struct reply reply = http_call ("GET", cluster_http (cluster, "entry-1"),
                                  path, headers, NULL, 10);
  JsonArray *placements =
      json_object_get_array_member (reply.json, "placements");
  char *worker = g_strdup (json_object_get_string_member (
      json_array_get_object_element (placements, index), "worker"));

  reply_clear (&reply);
  g_free (path);
  return worker;
}

static guint
n_leases (struct cluster *cluster, const char *worker)
{
  struct reply report = http_call ("GET", cluster_http (cluster, worker),
                                   "/v1/report", NULL, NULL, 5);
  guint count = json_array_get_length (
      json_object_get_array_member (report.json, "leases"));

  reply_clear (&report);
  return count;
}

/* Guards against a gang of which a part goes on when a member is lost. The
 * worker with a task falls silent; the other member must end. */
START_TEST (silent_member_stops_the_gang)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t limit;
  char *silent;
  char *other;

  submit_ok (cluster, "entry-1", "gang", 2, 60000, false);
  ck_assert (cluster_wait_job (cluster, "entry-1", "gang", "running", 8000));
  ck_assert_uint_eq (cluster_job_runs (cluster, "gang"), 2);
  silent = member_of (cluster, "gang", 0);
  other = member_of (cluster, "gang", 1);
  cluster_control (cluster, silent, "{\"silent\":true}");
  /* One run lease term of 12 s and the time to notice the silent member. */
  limit = g_get_monotonic_time () + 15 * (int64_t)G_USEC_PER_SEC;
  while (n_leases (cluster, other) > 0)
    {
      ck_assert_msg (g_get_monotonic_time () < limit,
                     "%s still holds its lease", other);
      g_usleep (200000);
    }
  ck_assert (
      cluster_wait_job (cluster, "entry-2", "gang", "may-have-run", 30000));
  g_free (silent);
  g_free (other);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a planned stop of the owner that loses or restarts work. */
START_TEST (planned_stop_of_the_owner)
{
  struct cluster *cluster = cluster_create (&job_options);
  int64_t epoch;
  char *owner = cluster_owner (cluster, "entry-1", &epoch);
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

/* Guards against a guarantee that is not delivered while other work fills all
 * workers: the guaranteed gang must start within the 3.9 s of urgent work. */
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
      reply = http_call ("POST", cluster_http (cluster, "entry-1"), "/v1/jobs",
                         headers, body, 10);
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
  tcase_add_test (tcase, paused_owner_wakes_harmlessly);
  tcase_add_test (tcase, two_schedulers_killed_at_once);
  tcase_add_test (tcase, store_down_longer_than_every_lease);
  tcase_add_test (tcase, lost_answers_while_submitting);
  tcase_add_test (tcase, silent_member_stops_the_gang);
  tcase_add_test (tcase, planned_stop_of_the_owner);
  tcase_add_test (tcase, guarantee_is_reclaimed_from_other_work);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
