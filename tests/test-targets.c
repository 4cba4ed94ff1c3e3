/* Tests of the worker client and of the instance list client against the
 * stand-ins, in one process. */
#include "standins/executor.h"
#include "standins/instances.h"
#include "standins/worker.h"
#include "tests/platform-outcome.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

struct worker_fixture
{
  struct gr_standin_worker *standin;
  struct gr_worker_client *client;
  const char *address;
  struct outcome outcome;
};

static enum gr_error_kind
grant (struct worker_fixture *fixture,
       const char *lease,
       uint32_t accelerators,
       int64_t term_ms)
{
  int calls = fixture->outcome.calls;

  gr_worker_grant (fixture->client, fixture->address, lease, "holder",
                   accelerators, term_ms, 5000, error_done, &fixture->outcome);
  wait_calls (&fixture->outcome, calls + 1);
  return fixture->outcome.error.kind;
}

static enum gr_error_kind
start (struct worker_fixture *fixture,
       const char *lease,
       const char *task,
       uint32_t throttle_percent,
       const char *spec)
{
  int calls = fixture->outcome.calls;

  gr_worker_start (fixture->client, fixture->address, lease, task,
                   throttle_percent, spec, 5000, error_done, &fixture->outcome);
  wait_calls (&fixture->outcome, calls + 1);
  return fixture->outcome.error.kind;
}

static enum gr_error_kind
control_task (struct worker_fixture *fixture,
              const char *task,
              enum gr_task_action action,
              uint32_t throttle_percent)
{
  int calls = fixture->outcome.calls;

  gr_worker_control_task (fixture->client, fixture->address, task, action,
                          throttle_percent, 5000, error_done,
                          &fixture->outcome);
  wait_calls (&fixture->outcome, calls + 1);
  return fixture->outcome.error.kind;
}

static void
read_report (struct worker_fixture *fixture)
{
  int calls = fixture->outcome.calls;

  gr_worker_get_report (fixture->client, fixture->address, 5000, report_done,
                        &fixture->outcome);
  wait_calls (&fixture->outcome, calls + 1);
  ck_assert_int_eq (fixture->outcome.error.kind, GR_ERROR_NONE);
}

static void
worker_setup (struct worker_fixture *fixture)
{
  struct gr_standin_worker_settings settings = {
    .name = "w",
    .rack = "r",
    .rack_slot = 3,
    .data_centre = "dc1",
    .accelerators = 8,
    .cores = 60,
    .memory_mb = 250000,
  };
  struct gr_error error = GR_ERROR_INIT;

  memset (fixture, 0, sizeof *fixture);
  fixture->standin =
      gr_standin_worker_create ("127.0.0.1:0", &settings, &error);
  fixture->client = gr_worker_client_create ();
  fixture->address =
      gr_standin_address (gr_standin_worker_base (fixture->standin));
}

static void
worker_teardown (struct worker_fixture *fixture)
{
  gr_worker_client_destroy (fixture->client);
  gr_standin_worker_destroy (fixture->standin);
}

/* Guards against an accelerator that is granted to two leases, and against work
 * that starts without a lease or runs on after its lease has expired. */
START_TEST (worker_gives_accelerators_to_one_live_lease)
{
  struct worker_fixture fixture;
  struct outcome *outcome = &fixture.outcome;
  const char *renewed[] = { "l/2", "gone" };

  worker_setup (&fixture);
  ck_assert_int_eq (grant (&fixture, "l1", 0x0f, 1500), GR_ERROR_NONE);
  ck_assert_int_eq (grant (&fixture, "l1", 0x0f, 1500), GR_ERROR_NONE);
  ck_assert_int_eq (grant (&fixture, "l/2", 0x18, 60000), GR_ERROR_CONFLICT);
  ck_assert_int_eq (grant (&fixture, "l/2", 0x100, 60000), GR_ERROR_CONFLICT);
  ck_assert_int_eq (grant (&fixture, "l/2", 0xf0, 60000), GR_ERROR_NONE);
  ck_assert_int_eq (start (&fixture, "no", "t", 100, ""), GR_ERROR_CONFLICT);
  ck_assert_int_eq (start (&fixture, "l1", "t1", 100, "run_ms=60000"),
                    GR_ERROR_NONE);
  gr_worker_renew (fixture.client, fixture.address, renewed, 2, 60000, 5000,
                   error_done, outcome);
  wait_calls (outcome, outcome->calls + 1);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_NONE);
  run_for (1600);
  read_report (&fixture);
  ck_assert_uint_eq (outcome->report.n_leases, 1);
  ck_assert_uint_eq (outcome->report.rack_slot, 3);
  ck_assert_int_eq (outcome->task.state, GR_TASK_STOPPED);
  ck_assert_int_eq (start (&fixture, "l1", "t2", 100, ""), GR_ERROR_CONFLICT);
  gr_worker_release (fixture.client, fixture.address, "l/2", 5000, error_done,
                     outcome);
  wait_calls (outcome, outcome->calls + 1);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_NONE);
  ck_assert_int_eq (grant (&fixture, "l3", 0xff, 60000), GR_ERROR_NONE);
  worker_teardown (&fixture);
}
END_TEST

/* Guards against tasks that make progress while throttled to 0 %, and against
 * a start that runs the task twice when it is repeated after its response was
 * lost. */
START_TEST (tasks_run_once_and_only_while_unthrottled)
{
  struct worker_fixture fixture;
  struct outcome *outcome = &fixture.outcome;

  worker_setup (&fixture);
  grant (&fixture, "l1", 0xff, 60000);
  gr_standin_faults (gr_standin_worker_base (fixture.standin))->lose_answers =
      1;
  ck_assert_int_eq (start (&fixture, "l1", "a.b/c", 0, "run_ms=900 fail=1"),
                    GR_ERROR_IO);
  ck_assert_int_eq (start (&fixture, "l1", "a.b/c", 0, "run_ms=900 fail=1"),
                    GR_ERROR_NONE);
  ck_assert_uint_eq (gr_standin_worker_starts (fixture.standin, "a.b/c"), 1);
  run_for (200);
  read_report (&fixture);
  ck_assert_int_eq (outcome->task.state, GR_TASK_RUNNING);
  ck_assert_int_eq (outcome->task.ran_ms, 0);
  ck_assert_int_eq (control_task (&fixture, "x", GR_TASK_THROTTLE, 100),
                    GR_ERROR_NOT_FOUND);
  ck_assert_int_eq (control_task (&fixture, "a.b/c", GR_TASK_THROTTLE, 100),
                    GR_ERROR_NONE);
  run_for (50);
  control_task (&fixture, "a.b/c", GR_TASK_CHECKPOINT, 0);
  do
    {
      run_for (50);
      read_report (&fixture);
    }
  while (outcome->task.state == GR_TASK_RUNNING);
  ck_assert_int_eq (outcome->task.state, GR_TASK_FAILED);
  ck_assert_int_eq (outcome->task.ran_ms, 900);
  ck_assert_int_gt (outcome->task.checkpoint_ms, 0);
  ck_assert_int_eq (control_task (&fixture, "a.b/c", GR_TASK_THROTTLE, 0),
                    GR_ERROR_CONFLICT);
  worker_teardown (&fixture);
}
END_TEST

/* Guards against a list stand-in that shows changes before its lag has passed,
 * and against a client that stops polling after a failed poll or drops the last
 * list. */
START_TEST (instance_list_lags_and_is_polled)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_instances *standin =
      gr_standin_instances_create ("127.0.0.1:0", &error);
  struct outcome outcome = { 0 };
  char *url = g_strconcat (
      "http://", gr_standin_address (gr_standin_instances_base (standin)),
      NULL);
  struct gr_standin_executor_settings settings = {
    .name = "e1",
    .data_centre = "dc1",
    .slots = 8,
    .instances_url = url,
  };
  struct gr_standin_executor *executor =
      gr_standin_executor_create ("127.0.0.1:0", &settings, &error);
  struct gr_standin_executor *late;
  struct gr_instances *instances = gr_instances_create (
      url, 10, instances_changed, instances_failed, &outcome);

  while (outcome.n_instances < 1)
    wait_calls (&outcome, outcome.calls + 1);
  ck_assert (!outcome.leaving);
  gr_standin_faults (gr_standin_instances_base (standin))->down = 1;
  while (outcome.error.kind == GR_ERROR_NONE)
    wait_calls (&outcome, outcome.calls + 1);
  ck_assert_uint_eq (outcome.n_instances, 1);
  gr_standin_faults (gr_standin_instances_base (standin))->down = 0;
  gr_standin_instances_set_lag (standin, 500);
  settings.name = "e2";
  late = gr_standin_executor_create ("127.0.0.1:0", &settings, &error);
  while (gr_standin_call_count (gr_standin_instances_base (standin),
                                "/v1/instances/*")
         < 2)
    wait_calls (&outcome, outcome.calls + 1);
  wait_calls (&outcome, outcome.calls + 2);
  ck_assert_uint_eq (outcome.n_instances, 1);
  while (outcome.n_instances < 2)
    wait_calls (&outcome, outcome.calls + 1);
  gr_instances_destroy (instances);
  gr_standin_executor_destroy (late);
  gr_standin_executor_destroy (executor);
  gr_standin_instances_destroy (standin);
  g_free (url);
}
END_TEST

static Suite *
make_suite (void)
{
  Suite *suite = suite_create ("targets");
  TCase *tcase = tcase_create ("all");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, worker_gives_accelerators_to_one_live_lease);
  tcase_add_test (tcase, tasks_run_once_and_only_while_unthrottled);
  tcase_add_test (tcase, instance_list_lags_and_is_polled);
  suite_add_tcase (suite, tcase);
  return suite;
}

int
main (void)
{
  SRunner *runner = srunner_create (make_suite ());
  int failed;

  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
