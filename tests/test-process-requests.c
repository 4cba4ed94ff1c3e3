/* Requests under failure, with real processes. */
#include "tests/process-cluster.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

static const char *const three_entries[] = { "entry-1", "entry-2", "entry-3",
                                             NULL };

static const struct cluster_options request_options = { .entries = 3,
                                                        .executors = 4 };

static void
assert_truthful (const struct load_result *result)
{
  ck_assert_uint_eq (result->wrong, 0);
  ck_assert_uint_eq (result->untrue, 0);
  ck_assert_uint_eq (result->twice, 0);
}

static void
run_load_for (uint32_t seconds)
{
  g_usleep (seconds * (gulong)G_USEC_PER_SEC);
}

/* Guards against work that runs twice or is refused untruthfully when an entry
 * dies with requests in flight. */
START_TEST (entry_killed_under_load)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load = load_start (cluster, three_entries, 6);
  struct load_result result;

  run_load_for (1);
  cluster_kill (cluster, "entry-2");
  run_load_for (2);
  cluster_start_entry (cluster, "entry-2");
  run_load_for (1);
  result = load_stop (load);
  assert_truthful (&result);
  ck_assert_uint_gt (result.answered, 0);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a planned stop that cuts off a request. The requests run for
 * 400 ms, so some are in flight when the stop begins; the balancer learns of it
 * from readyz. */
START_TEST (planned_stop_cuts_off_nothing)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load = load_start_balanced (cluster, three_entries, 9, 400);
  struct load_result result;

  run_load_for (2);
  ck_assert_int_eq (cluster_stop (cluster, "entry-2", 15000), 0);
  run_load_for (1);
  result = load_stop (load);
  assert_truthful (&result);
  ck_assert_uint_gt (result.answered, 0);
  ck_assert_uint_eq (result.broken, 0);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a non-idempotent request that runs again when its caller
 * retries through another entry, also after the first entry has died. */
START_TEST (retry_elsewhere_does_not_run_again)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct reply reply = cluster_request (cluster, "entry-1", "tag-1", false, 10);

  ck_assert_int_eq (reply.status, 200);
  reply_clear (&reply);
  cluster_kill (cluster, "entry-1");
  reply = cluster_request (cluster, "entry-2", "tag-1", false, 10);
  ck_assert_str_eq (reply_string (&reply, "run_state"), "may-have-run");
  reply_clear (&reply);
  ck_assert_uint_eq (cluster_request_runs (cluster, "tag-1"), 1);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against losing idempotent requests, or starting non-idempotent ones
 * without a mark, while the key-value service is down for longer than every
 * lease; and against instances that stop serving although they are current. */
START_TEST (store_down_keeps_idempotent_requests)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct reply reply;

  cluster_control (cluster, "kv", "{\"down\":true}");
  g_usleep (8 * (gulong)G_USEC_PER_SEC);
  reply = cluster_request (cluster, "entry-3", "down-1", true, 10);
  ck_assert_msg (reply.status == 200, "%d %s", reply.status, reply.body);
  reply_clear (&reply);
  reply = cluster_request (cluster, "entry-3", "down-2", false, 10);
  ck_assert_str_eq (reply_string (&reply, "run_state"), "not-run");
  ck_assert_int_gt (reply_int (&reply, "retry_after_ms"), 0);
  reply_clear (&reply);
  ck_assert_uint_eq (cluster_request_runs (cluster, "down-2"), 0);
  cluster_control (cluster, "kv", "{\"down\":false}");
  g_usleep (2 * (gulong)G_USEC_PER_SEC);
  reply = cluster_request (cluster, "entry-3", "down-2", false, 10);
  ck_assert_msg (reply.status == 200, "%d %s", reply.status, reply.body);
  reply_clear (&reply);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against taking a lost answer of the store for a failure, or for a
 * success: the mark was written, the request must run once or be refused. */
START_TEST (lost_answers_of_the_store)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load;
  struct load_result result;

  load = load_start (cluster, three_entries, 6);
  for (int i = 0; i < 10; i++)
    {
      cluster_control (cluster, "kv", "{\"lose_answers\":3}");
      g_usleep (200000);
      cluster_control (cluster, "kv", "{\"lose_requests\":3}");
      g_usleep (200000);
    }
  result = load_stop (load);
  assert_truthful (&result);
  ck_assert_uint_eq (result.broken, 0);
  ck_assert_uint_gt (result.answered, 0);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against cut, half-closed, delayed and silent connections to the store
 * that are taken for an answer: requests are refused with the truth, and what
 * must run once does. */
START_TEST (connections_to_the_store_break)
{
  static const char *const faults[] = {
    "{\"cut\":true}", "{\"half_close\":\"client\"}",
    "{\"half_close\":\"target\"}", "{\"delay_ms\":300}", "{\"drop\":true}"
  };
  struct cluster_options options = request_options;
  struct cluster *cluster;
  struct load *load;
  struct load_result result;
  struct reply reply;

  options.relay_kv = true;
  cluster = cluster_create (&options);
  load = load_start (cluster, three_entries, 6);
  for (int round = 0; round < 3; round++)
    for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
      {
        cluster_control (cluster, "relay", faults[i]);
        g_usleep (400000);
        cluster_control (cluster, "relay", "{\"delay_ms\":0,\"drop\":false}");
        g_usleep (200000);
      }
  result = load_stop (load);
  assert_truthful (&result);
  ck_assert_uint_eq (result.broken, 0);
  ck_assert_uint_gt (result.answered, 0);
  run_load_for (3);
  reply = cluster_request (cluster, "entry-1", "relay-1", false, 10);
  ck_assert_msg (reply.status == 200, "%d %s", reply.status, reply.body);
  reply_clear (&reply);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a store that answers in 2 s: callers are refused with the
 * truth or answered, and nothing runs twice. */
START_TEST (slow_store)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load;
  struct load_result result;

  cluster_control (cluster, "kv", "{\"delay_ms\":2000}");
  load = load_start (cluster, three_entries, 6);
  run_load_for (6);
  result = load_stop (load);
  cluster_control (cluster, "kv", "{\"delay_ms\":0}");
  assert_truthful (&result);
  ck_assert_uint_eq (result.broken, 0);
  ck_assert_uint_gt (result.answered, 0);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against answers given to another request, cut answers passed on as
 * whole, and work sent again that may have run. */
START_TEST (executors_that_answer_wrongly)
{
  static const char *const faults[] = { "{\"wrong_key\":true}",
                                        "{\"truncate\":true}",
                                        "{\"close_after_read\":true}",
                                        "{\"duplicate\":true}",
                                        "{\"late\":true,\"late_ms\":1500}",
                                        "{\"fail_all\":true}",
                                        "{\"refuse_all\":true}" };
  struct cluster *cluster = cluster_create (&request_options);

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      struct load *load;
      struct load_result result;
      char *undo;

      cluster_control (cluster, "executor-0", faults[i]);
      cluster_control (cluster, "executor-1", faults[i]);
      load = load_start (cluster, three_entries, 6);
      run_load_for (2);
      result = load_stop (load);
      assert_truthful (&result);
      ck_assert_uint_eq (result.broken, 0);
      ck_assert_msg (result.answered > 0, "nothing answered under %s",
                     faults[i]);
      undo = g_strdup_printf (
          "{\"%.*s\":false}",
          (int)(strchr (faults[i] + 2, '"') - faults[i] - 2), faults[i] + 2);
      cluster_control (cluster, "executor-0", undo);
      cluster_control (cluster, "executor-1", undo);
      g_free (undo);
    }
  cluster_destroy (cluster);
}
END_TEST

/* Guards against new work to a target 3 s after the first sign that it leaves,
 * with an instance list that shows the change 30 s late. */
START_TEST (leaving_target_gets_nothing_new)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load;
  struct reply before;
  struct reply after;
  struct load_result result;

  cluster_control (cluster, "instances", "{\"lag_ms\":30000}");
  load = load_start (cluster, three_entries, 6);
  run_load_for (1);
  cluster_control (cluster, "executor-0", "{\"leaving\":true}");
  run_load_for (3);
  before = http_call ("GET", cluster_http (cluster, "executor-0"), "/control",
                      NULL, NULL, 5);
  run_load_for (3);
  after = http_call ("GET", cluster_http (cluster, "executor-0"), "/control",
                     NULL, NULL, 5);
  result = load_stop (load);
  ck_assert_uint_gt (result.answered, 0);
  ck_assert_uint_eq (result.broken, 0);
  assert_truthful (&result);
  ck_assert_uint_eq (json_object_get_size (
                         json_object_get_object_member (before.json, "keys")),
                     json_object_get_size (
                         json_object_get_object_member (after.json, "keys")));
  reply_clear (&before);
  reply_clear (&after);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against an instance that was paused and serves with settings or
 * allotments that have expired meanwhile. */
START_TEST (paused_entry_wakes)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load = load_start (cluster, three_entries, 6);
  struct load_result result;

  run_load_for (1);
  cluster_signal (cluster, "entry-1", SIGSTOP);
  run_load_for (6);
  cluster_signal (cluster, "entry-1", SIGCONT);
  run_load_for (2);
  result = load_stop (load);
  assert_truthful (&result);
  ck_assert_uint_gt (result.answered, 0);
  cluster_destroy (cluster);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("process-requests");
  TCase *tcase = tcase_create ("process-requests");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 180);
  tcase_add_test (tcase, entry_killed_under_load);
  tcase_add_test (tcase, planned_stop_cuts_off_nothing);
  tcase_add_test (tcase, retry_elsewhere_does_not_run_again);
  tcase_add_test (tcase, store_down_keeps_idempotent_requests);
  tcase_add_test (tcase, lost_answers_of_the_store);
  tcase_add_test (tcase, connections_to_the_store_break);
  tcase_add_test (tcase, slow_store);
  tcase_add_test (tcase, executors_that_answer_wrongly);
  tcase_add_test (tcase, leaving_target_gets_nothing_new);
  tcase_add_test (tcase, paused_entry_wakes);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
