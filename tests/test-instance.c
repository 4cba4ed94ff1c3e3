#include "common/log.h"
#include "instance/call-budget.h"
#include "instance/metrics.h"
#include "standins/relay.h"
#include "steps/tenure.h"
#include "tests/instance-fixture.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Parts of an instance, run against the stand-in of the users' platform. */

/* Guards against an owner beyond its isolation, as after a pause, that extends
 * leases which its successor takes for expired. */
START_TEST (owner_beyond_its_isolation_sends_nothing)
{
  struct instance_fixture fixture;
  uint32_t calls;

  instance_fixture_create (&fixture, 1, 1000);
  instance_fixture_run (&fixture, 200);
  instance_fixture_add_job (&fixture, "00000000000000a1", "run_ms=60000", 1, 8);
  instance_fixture_run (&fixture, 200);
  gr_steps_set_owner_lease (fixture.steps, gr_clock_now_ms (fixture.clock));
  instance_fixture_run (&fixture, 300);
  calls = gr_standin_call_count (
      gr_standin_platform_worker (fixture.platform, 0), "/v1/hold");
  instance_fixture_run (&fixture, 2000);
  ck_assert_uint_eq (
      gr_standin_call_count (gr_standin_platform_worker (fixture.platform, 0),
                             "/v1/hold"),
      calls);
  ck_assert_int_le (gr_steps_lease_limit_ms (fixture.steps)
                        - gr_clock_now_ms (fixture.clock),
                    0);
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Guards against runs on a dead worker that are never started again elsewhere:
 * each unanswered poll postponed the time at which the lease counted as
 * expired. */
START_TEST (silent_worker_loses_its_runs)
{
  struct instance_fixture fixture;
  uint32_t silent = MAX_WORKERS;

  instance_fixture_create (&fixture, 4, 2500);
  instance_fixture_run (&fixture, 200);
  instance_fixture_add_job (&fixture, "00000000000000a1", "run_ms=60000", 1, 8);
  instance_fixture_run (&fixture, 200);
  for (uint32_t i = 0; i < fixture.workers; i++)
    {
      struct gr_standin *worker =
          gr_standin_platform_worker (fixture.platform, i);

      if (gr_standin_call_count (worker, "/v1/run-start") == 0)
        continue;
      gr_standin_faults (worker)->silent = 1;
      silent = i;
    }
  ck_assert_uint_lt (silent, fixture.workers);
  /* The failure is detected after 1.9 s, and the lease of 2.5 s expires
   * later. */
  instance_fixture_run (&fixture, 6000);
  ck_assert_uint_eq (
      gr_standin_platform_starts (fixture.platform, "00000000000000a1.0.0.0"),
      2);
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Guards against unresponsive workers that block orders to others. Stop orders
 * to unresponsive workers were repeated while the previous ones were still
 * queued, and used up the calls that all workers share: after the loss of 29
 * workers of 350 no task was started any more. */
START_TEST (silent_workers_do_not_hold_up_others)
{
  struct instance_fixture fixture;
  const uint32_t answering = 8;
  const uint32_t tasks = 64; /* as many as the responsive workers can run */
  uint32_t started = 0;

  instance_fixture_create (&fixture, MAX_WORKERS, 7000);
  instance_fixture_run (&fixture, 200);
  instance_fixture_add_job (&fixture, "00000000000000a1", "run_ms=60000",
                            MAX_WORKERS * 8, 1);
  instance_fixture_run (&fixture, 1000);
  for (uint32_t i = answering; i < MAX_WORKERS; i++)
    gr_standin_faults (gr_standin_platform_worker (fixture.platform, i))
        ->silent = 1;
  gr_steps_cancel_job (fixture.steps, "00000000000000a1");
  instance_fixture_run (&fixture, 3000);
  instance_fixture_add_job (&fixture, "00000000000000a2", "run_ms=60000", tasks,
                            1);
  instance_fixture_run (&fixture, 1000);
  for (uint32_t i = 0; i < tasks; i++)
    {
      char task[GR_TASK_NAME_SIZE];

      g_snprintf (task, sizeof task, "00000000000000a2.0.0.%u", i);
      started += gr_standin_platform_starts (fixture.platform, task);
    }
  ck_assert_uint_eq (started, tasks);
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Guards against a second run of a task whose worker is cut off by a network
 * that refuses connections: the refusal was taken as proof that the worker's
 * process had ended. */
START_TEST (refused_connection_ends_no_run)
{
  struct instance_fixture fixture;
  struct gr_relay *relays[2];
  struct gr_error error = GR_ERROR_INIT;
  const char *task = "00000000000000a1.0.0.0";

  instance_fixture_create (&fixture, 2, 4000);
  for (uint32_t i = 0; i < 2; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%04u", i);

      relays[i] = gr_relay_create (
          "127.0.0.1:0",
          gr_standin_address (gr_standin_platform_worker (fixture.platform, i)),
          "127.0.0.1:0", &error);
      ck_assert_msg (relays[i] != NULL, "%s", error.message);
      gr_worker_io_set_address (fixture.io, id, gr_relay_address (relays[i]));
    }
  instance_fixture_run (&fixture, 200);
  instance_fixture_add_job (&fixture, "00000000000000a1", "run_ms=60000", 1, 8);
  instance_fixture_run (&fixture, 200);
  for (uint32_t i = 0; i < 2; i++)
    if (gr_standin_call_count (gr_standin_platform_worker (fixture.platform, i),
                               "/v1/run-start")
        > 0)
      gr_relay_set_closed (relays[i], true);
  /* Its lease was extended at most 1.5 s before. */
  instance_fixture_run (&fixture, 2000);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, task), 1);
  instance_fixture_run (&fixture, 4000);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, task), 2);
  ck_assert_uint_eq (gr_standin_platform_running (fixture.platform, task), 1);
  for (uint32_t i = 0; i < 2; i++)
    gr_relay_destroy (relays[i]);
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Adds a worker that only the former owner's list names. */
static void
inherit_worker (struct instance_fixture *fixture, const char *address)
{
  gr_steps_add_inherited_worker (fixture->steps, "i-gone",
                                 gr_clock_now_ms (fixture->clock));
  gr_worker_io_set_address (fixture->io, "i-gone", address);
}

/* Guards against a successor that starts inherited work again while a worker
 * that it cannot reach, as its connections are refused, may still run it. The
 * work must start once the longest lease has expired: 0.1 s until the former
 * owner is fenced, 3 s and the drift of clocks. */
START_TEST (refused_connection_does_not_show_what_ran_before_a_takeover)
{
  struct instance_fixture fixture;
  const char *task = "00000000000000a1.0.0.0";

  instance_fixture_create (&fixture, 4, 3000);
  inherit_worker (&fixture, "127.0.0.1:1");
  instance_fixture_add_inherited_job (&fixture, "00000000000000a1",
                                      "run_ms=60000", 1, 1);
  instance_fixture_run (&fixture, 2900);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, task), 0);
  instance_fixture_run (&fixture, 1000);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, task), 1);
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Guards against inherited work that waits for the longest lease of a worker
 * that left while there was no owner, although another one has its address
 * since. With 3,000 workers one of them has nearly always left, and serving
 * took 8.5 s after all instances were killed. */
START_TEST (answer_of_another_worker_shows_that_a_worker_is_gone)
{
  struct instance_fixture fixture;
  const char *task = "00000000000000a1.0.0.0";

  instance_fixture_create (&fixture, 4, 7000);
  inherit_worker (&fixture, gr_standin_address (gr_standin_platform_worker (
                                fixture.platform, 0)));
  instance_fixture_add_inherited_job (&fixture, "00000000000000a1",
                                      "run_ms=60000", 1, 1);
  instance_fixture_run (&fixture, 1000);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, task), 1);
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Guards against a second run of tasks on a live worker, as a registry entry of
 * another writer names the address of another worker under its id. */
START_TEST (answer_at_an_address_of_another_writer_ends_no_run)
{
  struct instance_fixture fixture;
  const char *task = "00000000000000a1.0.0.0";

  instance_fixture_create (&fixture, 2, 7000);
  instance_fixture_run (&fixture, 200);
  instance_fixture_add_job (&fixture, "00000000000000a1", "run_ms=60000", 1, 8);
  instance_fixture_run (&fixture, 200);
  for (uint32_t i = 0; i < 2; i++)
    if (gr_steps_worker_load (fixture.steps, i == 0 ? "i-0000" : "i-0001") > 0)
      {
        gr_worker_io_set_address (
            fixture.io, i == 0 ? "i-0000" : "i-0001",
            gr_standin_address (
                gr_standin_platform_worker (fixture.platform, 1 - i)));
        instance_fixture_run (&fixture, 1500);
        instance_fixture_register (&fixture, i, 0);
        break;
      }
  instance_fixture_run (&fixture, 500);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, task), 1);
  ck_assert_uint_eq (gr_standin_platform_running (fixture.platform, task), 1);
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Guards against a second run on a worker whose restart the registry shows
 * after the first one was started there. The worker was idle and not polled. */
START_TEST (restart_that_is_noticed_late_starts_no_task_twice)
{
  struct instance_fixture fixture;
  const char *task = "00000000000000a1.0.0.0";
  int64_t incarnation;

  instance_fixture_create (&fixture, 1, 7000);
  instance_fixture_run (&fixture, 200);
  incarnation = gr_standin_platform_restart_worker (fixture.platform, 0);
  instance_fixture_add_job (&fixture, "00000000000000a1", "run_ms=60000", 1, 1);
  instance_fixture_run (&fixture, 200);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, task), 1);
  instance_fixture_register (&fixture, 0, incarnation);
  instance_fixture_run (&fixture, 500);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, task), 1);
  ck_assert_uint_eq (gr_steps_worker_load (fixture.steps, "i-0000"), 1);
  instance_fixture_destroy (&fixture);
}
END_TEST

static enum gr_job_state
job_state (const struct instance_fixture *fixture, const char *id)
{
  struct gr_job_progress progress;
  enum gr_job_state state;

  ck_assert (gr_steps_progress (fixture->steps, id, &progress));
  state = progress.state;
  gr_job_progress_clear (&progress);
  return state;
}

/* Guards against a task that crashes one worker after the other: a loss that
 * was noticed by a refused connection did not count as an attempt. The platform
 * allows five starts. A crash is certain when the worker is back, after 3 s. */
START_TEST (task_that_crashes_workers_is_given_up)
{
  static const char *const payloads[] = { "crash_ms=10", "crash_ms=0" };
  const char *task = "00000000000000a1.0.0.0";

  for (size_t i = 0; i < G_N_ELEMENTS (payloads); i++)
    {
      struct instance_fixture fixture;

      instance_fixture_create (&fixture, 16, 7000);
      instance_fixture_run (&fixture, 200);
      instance_fixture_add_job (&fixture, "00000000000000a2", "run_ms=2000", 64,
                                1);
      instance_fixture_run (&fixture, 200);
      instance_fixture_add_job (&fixture, "00000000000000a1", payloads[i], 1,
                                1);
      for (int k = 0;
           k < 5 && job_state (&fixture, "00000000000000a1") != GR_JOB_FAILED;
           k++)
        instance_fixture_run (&fixture, 3400);
      ck_assert_uint_ge (gr_standin_platform_starts (fixture.platform, task),
                         2);
      ck_assert_uint_le (gr_standin_platform_starts (fixture.platform, task),
                         5);
      ck_assert_int_eq (job_state (&fixture, "00000000000000a1"),
                        GR_JOB_FAILED);
      ck_assert_int_eq (job_state (&fixture, "00000000000000a2"),
                        GR_JOB_COMPLETED);
      instance_fixture_destroy (&fixture);
    }
}
END_TEST

/* Guards against an owner that takes its own lateness for the failure of its
 * workers. All answers are late when its processor or its link is full: polls
 * timed out, leases were not extended, and work that still ran was started
 * again on another worker. */
START_TEST (late_answers_do_not_lose_runs)
{
  struct instance_fixture fixture;
  const uint32_t tasks = 48;
  const int64_t answer_after_ms = 900;

  instance_fixture_create (&fixture, 16, 6000);
  instance_fixture_run (&fixture, 200);
  instance_fixture_add_job (&fixture, "00000000000000a1", "run_ms=9000", tasks,
                            1);
  instance_fixture_run (&fixture, 500);
  for (uint32_t i = 0; i < fixture.workers; i++)
    gr_standin_faults (gr_standin_platform_worker (fixture.platform, i))
        ->answer_after_ms = answer_after_ms;
  instance_fixture_run (&fixture, 12000);
  for (uint32_t i = 0; i < tasks; i++)
    {
      char task[GR_TASK_NAME_SIZE];

      g_snprintf (task, sizeof task, "00000000000000a1.0.0.%u", i);
      ck_assert_msg (gr_standin_platform_starts (fixture.platform, task) == 1,
                     "%s was started %u times", task,
                     gr_standin_platform_starts (fixture.platform, task));
    }
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Guards against orders that use up all calls in flight. Workers were not
 * polled for 25 s, so leases expired and ended runs were not noticed. */
START_TEST (waiting_orders_do_not_delay_polls)
{
  struct gr_call_budget budget = { 0 };
  struct gr_call_budget_peer peers[100] = { 0 };

  for (size_t i = 0; i < 1000; i++)
    if (gr_call_budget_allows (&budget, &peers[i % 100], GR_BUDGET_ORDER))
      gr_call_budget_begin (&budget, &peers[i % 100], GR_BUDGET_ORDER);
  ck_assert (!gr_call_budget_allows (&budget, &peers[99], GR_BUDGET_ORDER));
  ck_assert (gr_call_budget_allows (&budget, &peers[99], GR_BUDGET_POLL));
}
END_TEST

/* Guards against lost workers that block orders to all others: many workers
 * fail at once, each with orders that wait for their timeout. */
START_TEST (unanswered_calls_do_not_use_up_the_budget)
{
  struct gr_call_budget budget = { 0 };
  struct gr_call_budget_peer lost[100] = { 0 };
  struct gr_call_budget_peer other = { 0 };

  for (size_t i = 0; i < 100; i++)
    {
      bool counted = gr_call_budget_begin (&budget, &lost[i], GR_BUDGET_ORDER);

      gr_call_budget_end (&budget, &lost[i], GR_BUDGET_ORDER, counted, false);
    }
  for (size_t i = 0; i < 100; i++)
    {
      ck_assert (gr_call_budget_allows (&budget, &lost[i], GR_BUDGET_ORDER));
      ck_assert (!gr_call_budget_begin (&budget, &lost[i], GR_BUDGET_ORDER));
      ck_assert (!gr_call_budget_allows (&budget, &lost[i], GR_BUDGET_ORDER));
      ck_assert (gr_call_budget_allows (&budget, &lost[i], GR_BUDGET_POLL));
      gr_call_budget_begin (&budget, &lost[i], GR_BUDGET_POLL);
    }
  ck_assert (gr_call_budget_allows (&budget, &other, GR_BUDGET_ORDER));
  ck_assert (gr_call_budget_allows (&budget, &other, GR_BUDGET_POLL));
  gr_call_budget_end (&budget, &lost[0], GR_BUDGET_ORDER, false, true);
  ck_assert (gr_call_budget_begin (&budget, &lost[0], GR_BUDGET_ORDER));
}
END_TEST

/* Guards against a page docs/metrics.md that was not regenerated after a
 * change of the table. */
START_TEST (page_of_metrics_is_up_to_date)
{
  g_autofree char *file =
      g_build_filename (g_getenv ("GR_SOURCE_DIR"), "docs", "metrics.md", NULL);
  GString *reference = g_string_new (NULL);
  g_autofree char *text = NULL;

  gr_metrics_print_reference (reference);
  ck_assert (g_file_get_contents (file, &text, NULL, NULL));
  ck_assert_msg (g_str_equal (text, reference->str),
                 "docs/metrics.md is out of date, run make docs");
  g_string_free (reference, TRUE);
}
END_TEST

static bool
is_described (const char *printed)
{
  size_t n_rows;
  const struct gr_metric *rows = gr_metrics_table (&n_rows);

  for (size_t i = 0; i < n_rows; i++)
    {
      g_autofree char *name = g_strconcat ("geraniumrack_", rows[i].name, NULL);

      if (g_str_equal (printed, name)
          || (g_str_has_prefix (printed, name)
              && g_str_equal (rows[i].type, "histogram")))
        return true;
    }
  return false;
}

/* Guards against a metric that is exported but not documented, whose meaning
 * an operator would have to guess. */
START_TEST (every_metric_is_described)
{
  struct gr_metrics_state state = { .is_owner = true };
  GString *text = g_string_new (NULL);
  struct instance_fixture fixture;
  g_auto (GStrv) lines = NULL;

  instance_fixture_create (&fixture, 4, 7000);
  instance_fixture_add_job (&fixture, "00000000000000a1", "run_ms=100", 4, 1);
  instance_fixture_run (&fixture, 500);
  gr_steps_counts (fixture.steps, &state.counts);
  gr_metrics_set (fixture.counters, &state);
  gr_counters_print (fixture.counters, text);
  lines = g_strsplit (text->str, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      if (**line == '\0' || **line == '#')
        continue;
      (*line)[strcspn (*line, " {")] = '\0';
      ck_assert_msg (is_described (*line), "%s", *line);
    }
  ck_assert_ptr_nonnull (strstr (text->str, "geraniumrack_workers{} 4"));
  ck_assert_ptr_nonnull (strstr (text->str, "geraniumrack_worker_calls_total"));
  g_string_free (text, TRUE);
  instance_fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("instance");
  TCase *tests = tcase_create ("parts");
  SRunner *runner = srunner_create (suite);
  int failed;

  gr_log_init ("test-instance", "test");
  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, owner_beyond_its_isolation_sends_nothing);
  tcase_add_test (tests, silent_worker_loses_its_runs);
  tcase_add_test (tests, silent_workers_do_not_hold_up_others);
  tcase_add_test (tests, refused_connection_ends_no_run);
  tcase_add_test (tests,
                  refused_connection_does_not_show_what_ran_before_a_takeover);
  tcase_add_test (tests, answer_of_another_worker_shows_that_a_worker_is_gone);
  tcase_add_test (tests, answer_at_an_address_of_another_writer_ends_no_run);
  tcase_add_test (tests, restart_that_is_noticed_late_starts_no_task_twice);
  tcase_add_test (tests, task_that_crashes_workers_is_given_up);
  tcase_add_test (tests, late_answers_do_not_lose_runs);
  tcase_add_test (tests, waiting_orders_do_not_delay_polls);
  tcase_add_test (tests, unanswered_calls_do_not_use_up_the_budget);
  tcase_add_test (tests, page_of_metrics_is_up_to_date);
  tcase_add_test (tests, every_metric_is_described);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
