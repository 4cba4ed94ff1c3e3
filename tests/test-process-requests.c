/* Requests while entries, executors and the store fail, with real processes. */
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
assert_correct_outcomes (const struct load_result *result)
{
  ck_assert_uint_eq (result->wrong_answer, 0);
  ck_assert_uint_eq (result->false_not_run, 0);
  ck_assert_uint_eq (result->repeated_runs, 0);
}

static void
sleep_s (uint32_t seconds)
{
  g_usleep (seconds * (gulong)G_USEC_PER_SEC);
}

/* Guards against non-idempotent requests that run twice, and requests that run
 * although they were reported as not-run, when an entry is killed with requests
 * in flight. */
START_TEST (entry_killed_under_load)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load = load_start (cluster, three_entries, 6);
  struct load_result result;

  sleep_s (1);
  cluster_kill (cluster, "entry-2");
  sleep_s (2);
  cluster_start_entry (cluster, "entry-2");
  sleep_s (1);
  result = load_stop (load);
  assert_correct_outcomes (&result);
  ck_assert_uint_gt (result.answered, 0);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a graceful shutdown of an entry that aborts requests. Requests
 * run for 400 ms, so that some are in flight when the shutdown begins. The load
 * balancer detects the shutdown with GET /readyz. */
START_TEST (graceful_shutdown_aborts_no_request)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load = load_start_balanced (cluster, three_entries, 9, 400);
  struct load_result result;

  sleep_s (2);
  ck_assert_int_eq (cluster_stop (cluster, "entry-2", 15000), 0);
  sleep_s (1);
  result = load_stop (load);
  assert_correct_outcomes (&result);
  ck_assert_uint_gt (result.answered, 0);
  ck_assert_uint_eq (result.incomplete, 0);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a non-idempotent request that runs again when its client
 * retries it through another entry after the first entry was killed. */
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

/* Guards against failures while the key-value service is down for 8 s:
 * idempotent requests that are refused, non-idempotent requests that start
 * without a mark, and entries that stop serving although their settings are
 * current. */
START_TEST (store_down_keeps_idempotent_requests)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct reply reply;

  cluster_control (cluster, "kv", "{\"down\":true}");
  g_usleep (8 * (gulong)G_USEC_PER_SEC);
  reply = cluster_request (cluster, "entry-3", "down-1", true, 10);
  ck_assert_msg (reply.status == 200, "status %d: %s", reply.status,
                 reply.body);
  reply_clear (&reply);
  reply = cluster_request (cluster, "entry-3", "down-2", false, 10);
  ck_assert_str_eq (reply_string (&reply, "run_state"), "not-run");
  ck_assert_int_gt (reply_int (&reply, "retry_after_ms"), 0);
  reply_clear (&reply);
  ck_assert_uint_eq (cluster_request_runs (cluster, "down-2"), 0);
  cluster_control (cluster, "kv", "{\"down\":false}");
  g_usleep (2 * (gulong)G_USEC_PER_SEC);
  reply = cluster_request (cluster, "entry-3", "down-2", false, 10);
  ck_assert_msg (reply.status == 200, "status %d: %s", reply.status,
                 reply.body);
  reply_clear (&reply);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against treating a lost answer of the store as a failure or as a
 * success. The mark may or may not have been written; a non-idempotent request
 * must run at most once, and not at all if it is reported as not-run. */
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
  assert_correct_outcomes (&result);
  ck_assert_uint_eq (result.incomplete, 0);
  ck_assert_uint_gt (result.answered, 0);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against treating closed, half-closed, delayed or silent connections to
 * the store as an answer: the reported run state of requests must be
 * correct, non-idempotent requests must run at most once, and must be served
 * again afterwards. */
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
  assert_correct_outcomes (&result);
  ck_assert_uint_eq (result.incomplete, 0);
  ck_assert_uint_gt (result.answered, 0);
  sleep_s (3);
  reply = cluster_request (cluster, "entry-1", "relay-1", false, 10);
  ck_assert_msg (reply.status == 200, "status %d: %s", reply.status,
                 reply.body);
  reply_clear (&reply);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against wrong results while the store takes 2 s to answer: each
 * request must be answered, or refused with the correct run state, and no
 * non-idempotent request may run twice. */
START_TEST (slow_store)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load;
  struct load_result result;

  cluster_control (cluster, "kv", "{\"delay_ms\":2000}");
  load = load_start (cluster, three_entries, 6);
  sleep_s (6);
  result = load_stop (load);
  cluster_control (cluster, "kv", "{\"delay_ms\":0}");
  assert_correct_outcomes (&result);
  ck_assert_uint_eq (result.incomplete, 0);
  ck_assert_uint_gt (result.answered, 0);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against faulty executors: answers that belong to another request,
 * truncated answers that are passed on as complete, and non-idempotent requests
 * that are sent again although they may have run. */
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
      char *clear_fault;

      cluster_control (cluster, "executor-0", faults[i]);
      cluster_control (cluster, "executor-1", faults[i]);
      load = load_start (cluster, three_entries, 6);
      sleep_s (2);
      result = load_stop (load);
      assert_correct_outcomes (&result);
      ck_assert_uint_eq (result.incomplete, 0);
      ck_assert_msg (result.answered > 0,
                     "no request was answered with the fault %s", faults[i]);
      clear_fault = g_strdup_printf (
          "{\"%.*s\":false}",
          (int)(strchr (faults[i] + 2, '"') - faults[i] - 2), faults[i] + 2);
      cluster_control (cluster, "executor-0", clear_fault);
      cluster_control (cluster, "executor-1", clear_fault);
      g_free (clear_fault);
    }
  cluster_destroy (cluster);
}
END_TEST

/* Guards against requests that are sent to a leaving executor later than 3 s
 * after it began to report that it is leaving. The instance list shows the
 * change only after 30 s. */
START_TEST (leaving_target_gets_no_new_requests)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load;
  struct reply before;
  struct reply after;
  struct load_result result;

  cluster_control (cluster, "instances", "{\"lag_ms\":30000}");
  load = load_start (cluster, three_entries, 6);
  sleep_s (1);
  cluster_control (cluster, "executor-0", "{\"leaving\":true}");
  sleep_s (3);
  before = http_call ("GET", cluster_http_address (cluster, "executor-0"),
                      "/control", NULL, NULL, 5);
  sleep_s (3);
  after = http_call ("GET", cluster_http_address (cluster, "executor-0"),
                     "/control", NULL, NULL, 5);
  result = load_stop (load);
  ck_assert_uint_gt (result.answered, 0);
  ck_assert_uint_eq (result.incomplete, 0);
  assert_correct_outcomes (&result);
  ck_assert_uint_eq (json_object_get_size (
                         json_object_get_object_member (before.json, "keys")),
                     json_object_get_size (
                         json_object_get_object_member (after.json, "keys")));
  reply_clear (&before);
  reply_clear (&after);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against wrong outcomes at an entry that was paused for 6 s, so that
 * its settings and allotments have expired when it resumes. */
START_TEST (paused_entry_resumes)
{
  struct cluster *cluster = cluster_create (&request_options);
  struct load *load = load_start (cluster, three_entries, 6);
  struct load_result result;

  sleep_s (1);
  cluster_signal (cluster, "entry-1", SIGSTOP);
  sleep_s (6);
  cluster_signal (cluster, "entry-1", SIGCONT);
  sleep_s (2);
  result = load_stop (load);
  assert_correct_outcomes (&result);
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
  tcase_add_test (tcase, graceful_shutdown_aborts_no_request);
  tcase_add_test (tcase, retry_elsewhere_does_not_run_again);
  tcase_add_test (tcase, store_down_keeps_idempotent_requests);
  tcase_add_test (tcase, lost_answers_of_the_store);
  tcase_add_test (tcase, connections_to_the_store_break);
  tcase_add_test (tcase, slow_store);
  tcase_add_test (tcase, executors_that_answer_wrongly);
  tcase_add_test (tcase, leaving_target_gets_no_new_requests);
  tcase_add_test (tcase, paused_entry_resumes);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
