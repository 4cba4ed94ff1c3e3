#include "steps/tenure.h"
#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>

/* Ends of runs that change no job: they were acknowledged only once some job
 * had made progress, so a worker that lists 500 ends in an answer showed none
 * of its later ones. */

#define WORKER "w1"
#define LISTED_ENDS 4
#define LASTING_TASKS 6

static void
fail_all_runs (struct steps_model *model)
{
  for (uint32_t i = 0; i < steps_model_workers (model); i++)
    steps_model_fail_runs (model, i);
}

/* Guards against lasting tasks that stay down for good, as the worker lists the
 * same ends with each answer, and those of later runs are never read. */
START_TEST (lasting_tasks_are_restarted_after_many_failures)
{
  struct steps_model *model = steps_fixture_create (1, 1);
  struct gr_step_spec lasting = steps_plain;

  lasting.count = LASTING_TASKS;
  lasting.lasting = true;
  steps_model_set_listed_ends (model, LISTED_ENDS);
  steps_model_add_job (model, 1, "normal", "a", &lasting, 1, 500);
  for (int i = 0; i < 10; i++)
    {
      steps_model_run (model, 500);
      ck_assert_uint_eq (steps_model_running (model, 1), LASTING_TASKS);
      fail_all_runs (model);
    }
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_running (model, 1), LASTING_TASKS);
  ck_assert_uint_eq (steps_model_kept_ends (model, 0), 0);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against the same for ends of cancelled jobs, whose record has been
 * stored before. */
START_TEST (ends_of_cancelled_jobs_are_acknowledged)
{
  struct steps_model *model = steps_fixture_create (2, 1);

  steps_model_add_job (model, 1, "normal", "a", &steps_plain, 1, 20000);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_running (model, 1), 4);
  steps_model_cancel_job (model, 1);
  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_running (model, 1), 0);
  for (uint32_t i = 0; i < 2; i++)
    ck_assert_uint_eq (steps_model_kept_ends (model, i), 0);
  steps_fixture_destroy (model);
}
END_TEST

struct fixture
{
  struct gr_steps *steps;
  int64_t now_ms;
  int64_t last_end;
};

static void
fixture_init (struct fixture *fixture)
{
  const struct gr_steps_settings settings = { .run_lease_ms = 7000,
                                              .max_hold_ms = 10000,
                                              .heartbeat_ms = 1500 };
  const char *const labels[] = { NULL };
  const struct gr_steps_worker row = {
    .id = WORKER,
    .service = "service",
    .rack = "r1",
    .labels = labels,
    .capacity = { 64000, 256000, 8 },
    .incarnation_unix_ms = 1,
  };

  *fixture = (struct fixture){ .now_ms = 100000 };
  fixture->steps = gr_steps_create (&settings, 1, fixture->now_ms);
  gr_steps_set_queue (fixture->steps,
                      &(struct gr_steps_queue){ .name = "normal",
                                                .service = "service",
                                                .max_attempts = 3,
                                                .stretch = 1 });
  gr_steps_set_worker (fixture->steps, &row, fixture->now_ms);
}

/* The worker reports one more end, of a task of this job. */
static void
report_end (struct fixture *fixture, const char *job)
{
  struct gr_ended_run ended = { .number = ++fixture->last_end,
                                .run = 1,
                                .how = GR_END_DONE };
  struct gr_run_report report = {
    .sent_ms = fixture->now_ms,
    .incarnation_unix_ms = 1,
    .n_ended = 1,
    .ended = &ended,
    .all_ended = true,
  };

  g_snprintf (ended.task, sizeof ended.task, "%s.0.0.0", job);
  gr_steps_process_report (fixture->steps, WORKER, &report, fixture->now_ms);
}

static void
tick (struct fixture *fixture)
{
  fixture->now_ms += 100;
  gr_steps_tick (fixture->steps, fixture->now_ms, 0);
}

static void
add_job (struct fixture *fixture, const char *id)
{
  struct gr_step_spec step = steps_plain;
  struct gr_job_spec spec = {
    .queue = (char *)"normal",
    .account = (char *)"a",
    .payload = (char *)"",
    .steps = &step,
    .n_steps = 1,
  };

  g_strlcpy (spec.id, id, sizeof spec.id);
  gr_steps_add_job (fixture->steps, &spec, NULL, true, fixture->now_ms);
}

/* Guards against an end that is acknowledged, and so forgotten, before its
 * effect is stored, or because a later end has none. */
START_TEST (end_is_acknowledged_once_its_change_is_durable)
{
  struct fixture fixture;

  fixture_init (&fixture);
  add_job (&fixture, "0000000000000001");
  report_end (&fixture, "0000000000000001");
  report_end (&fixture, "00000000000000ff");
  tick (&fixture);
  ck_assert_int_eq (gr_steps_end_to_acknowledge (fixture.steps, WORKER), 0);
  gr_steps_committed (fixture.steps, gr_steps_sequence (fixture.steps));
  tick (&fixture);
  ck_assert_int_eq (gr_steps_end_to_acknowledge (fixture.steps, WORKER), 2);
  gr_steps_destroy (fixture.steps);
}
END_TEST

/* Guards against an owner that makes a worker forget the end of a job that only
 * its successor knows. */
START_TEST (owner_beyond_its_lease_acknowledges_no_further_end)
{
  struct fixture fixture;

  fixture_init (&fixture);
  gr_steps_set_owner_lease (fixture.steps, fixture.now_ms);
  report_end (&fixture, "00000000000000ff");
  tick (&fixture);
  ck_assert_int_eq (gr_steps_end_to_acknowledge (fixture.steps, WORKER), 0);
  gr_steps_set_owner_lease (fixture.steps, fixture.now_ms + 2000);
  tick (&fixture);
  ck_assert_int_eq (gr_steps_end_to_acknowledge (fixture.steps, WORKER), 1);
  gr_steps_destroy (fixture.steps);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ends");
  TCase *tests = tcase_create ("ends");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, lasting_tasks_are_restarted_after_many_failures);
  tcase_add_test (tests, ends_of_cancelled_jobs_are_acknowledged);
  tcase_add_test (tests, end_is_acknowledged_once_its_change_is_durable);
  tcase_add_test (tests, owner_beyond_its_lease_acknowledges_no_further_end);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
