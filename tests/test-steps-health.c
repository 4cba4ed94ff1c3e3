#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>

static const struct gr_step_spec one_task = {
  .count = 1,
  .needs = { 10000, 20000, 1 },
  .estimate_ms = 2000,
};

/* A worker on which other jobs succeed stayed in quarantine for 4 s. */
START_TEST (success_ends_a_quarantine_for_failed_jobs)
{
  struct steps_model *model = steps_fixture_create (1, 1);

  for (uint32_t i = 1; i <= 2; i++)
    {
      steps_model_add_job (model, i, "normal", "a", &one_task, 1, 900);
      steps_model_fail_job (model, i);
    }
  steps_model_add_job (model, 3, "normal", "a", &one_task, 1, 1500);
  steps_model_run (model, 1700);
  ck_assert_int_eq (steps_model_state (model, 3), GR_JOB_COMPLETED);
  steps_model_add_job (model, 4, "normal", "a", &one_task, 1, 500);
  steps_model_run (model, 1000);
  ck_assert_int_eq (steps_model_state (model, 4), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Such jobs put one worker after the other in quarantine. */
START_TEST (jobs_that_fail_by_themselves_count_against_no_worker)
{
  struct gr_step_spec whole = steps_plain;
  struct steps_model *model = steps_fixture_create (2, 1);
  struct gr_steps_counts counts;

  whole.count = 1;
  whole.needs.accelerators = 8;
  steps_model_add_job (model, 1, "normal", "a", &whole, 1, 1000);
  steps_model_run (model, 100);
  for (uint32_t i = 2; i <= 3; i++)
    {
      steps_model_add_job (model, i, "normal", "a", &one_task, 1, 900);
      steps_model_fail_job (model, i);
    }
  steps_model_run (model, 700);
  gr_steps_counts (steps_model_core (model), &counts);
  ck_assert_uint_eq (counts.workers_quarantined, 1);
  steps_model_add_job (model, 4, "normal", "a", &one_task, 1, 600);
  steps_model_run (model, 1400);
  ck_assert_int_eq (steps_model_state (model, 4), GR_JOB_COMPLETED);
  ck_assert_int_eq (steps_model_state (model, 3), GR_JOB_FAILED);
  gr_steps_counts (steps_model_core (model), &counts);
  ck_assert_uint_eq (counts.workers_quarantined, 0);
  steps_fixture_destroy (model);
}
END_TEST

#define LOAD_WORKERS 48
#define LOAD_JOBS 500
#define LOAD_JOB_INTERVAL_MS 100

struct load
{
  struct steps_model *model;
  bool fails[LOAD_JOBS + 1]; /* by job number */
};

/* A job every 100 ms, of which this share always fails, and 10 s for the last
 * ones. */
static void
run_load (struct load *load, double share, uint32_t seed)
{
  GRand *rand = g_rand_new_with_seed (seed);

  load->model = steps_fixture_create (LOAD_WORKERS, seed);
  for (uint32_t i = 1; i <= LOAD_JOBS; i++)
    {
      struct gr_step_spec step = one_task;

      step.count = (uint32_t)g_rand_int_range (rand, 1, 5);
      step.needs.accelerators = (uint32_t)g_rand_int_range (rand, 1, 3);
      steps_model_add_job (load->model, i, "urgent", "a", &step, 1,
                           g_rand_int_range (rand, 500, 4000));
      load->fails[i] = g_rand_double (rand) < share;
      if (load->fails[i])
        steps_model_fail_job (load->model, i);
      steps_model_run (load->model, LOAD_JOB_INTERVAL_MS);
    }
  steps_model_run (load->model, 10000);
  g_rand_free (rand);
}

/* While half of the jobs always failed, most workers were in quarantine. */
START_TEST (jobs_that_always_fail_do_not_hold_up_others)
{
  struct load load;

  run_load (&load, 0.5, (uint32_t)_i + 1);
  for (uint32_t i = 1; i <= LOAD_JOBS; i++)
    ck_assert_msg (steps_model_state (load.model, i)
                       == (load.fails[i] ? GR_JOB_FAILED : GR_JOB_COMPLETED),
                   "seed %d: job %u is in state %d", _i + 1, i,
                   (int)steps_model_state (load.model, i));
  steps_fixture_destroy (load.model);
}
END_TEST

/* After its first quarantine the worker got the same jobs without a pause. */
START_TEST (same_failed_jobs_renew_a_quarantine)
{
  struct steps_model *model = steps_fixture_create (1, 1);

  for (uint32_t i = 1; i <= 6; i++)
    steps_model_add_job (model, i, "urgent", "a", &one_task, 1, 900);
  steps_model_fail_worker (model, 0, true);
  steps_model_run (model, 35000);
  ck_assert_uint_le (steps_model_starts_on (model, 0), 12);
  steps_fixture_destroy (model);
}
END_TEST

/* A worker was in quarantine for 30 s after six runs had failed at once. */
START_TEST (failures_of_one_moment_make_one_quarantine)
{
  struct steps_model *model = steps_fixture_create (1, 1);

  for (uint32_t i = 1; i <= 6; i++)
    steps_model_add_job (model, i, "urgent", "a", &one_task, 1, 900);
  steps_model_fail_worker (model, 0, true);
  steps_model_run (model, 600);
  steps_model_fail_worker (model, 0, false);
  steps_model_run (model, 10000);
  for (uint32_t i = 1; i <= 6; i++)
    ck_assert_int_eq (steps_model_state (model, i), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a worker that fails as many jobs after each quarantine. */
START_TEST (worker_gets_one_new_task_after_a_quarantine)
{
  struct steps_model *model = steps_fixture_create (1, 1);

  steps_model_fail_worker (model, 0, true);
  for (uint32_t i = 1; i <= 6; i++)
    steps_model_add_job (model, i, "urgent", "a", &one_task, 1, 900);
  steps_model_run (model, 2000);
  for (uint32_t i = 7; i <= 12; i++)
    steps_model_add_job (model, i, "urgent", "a", &one_task, 1, 900);
  steps_model_run (model, 6000);
  ck_assert_uint_eq (steps_model_starts_on (model, 0), 7);
  steps_fixture_destroy (model);
}
END_TEST

/* Tasks that had been at work kept their worker in quarantine for up to 30 s.
 */
START_TEST (failures_of_lasting_work_do_not_quarantine)
{
  struct gr_step_spec lasting = one_task;
  struct steps_model *model = steps_fixture_create (1, 1);

  lasting.lasting = true;
  for (uint32_t i = 1; i <= 3; i++)
    steps_model_add_job (model, i, "normal", "a", &lasting, 1, 1000);
  for (int round = 0; round < 6; round++)
    {
      steps_model_run (model, 2500);
      for (uint32_t i = 1; i <= 3; i++)
        ck_assert_uint_eq (steps_model_running (model, i), 1);
      steps_model_fail_runs (model, 0);
    }
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against taking the failures of such a worker for those of the jobs. */
START_TEST (worker_that_fails_everything_stays_in_quarantine)
{
  struct steps_model *model = steps_fixture_create (8, 1);
  uint32_t number = 0;

  steps_model_fail_worker (model, 0, true);
  for (int i = 0; i < 200; i++)
    {
      steps_model_add_job (model, ++number, "urgent", "a", &steps_plain, 1,
                           600);
      if (i % 5 == 0)
        steps_model_fail_job (model, number);
      steps_model_run (model, 100);
    }
  steps_model_run (model, 5000);
  for (uint32_t i = 1; i <= number; i++)
    ck_assert_int_eq (steps_model_state (model, i),
                      i % 5 == 1 ? GR_JOB_FAILED : GR_JOB_COMPLETED);
  /* At most its 8 accelerators each time, after 0, 4, 12 and 28 s. */
  ck_assert_uint_le (steps_model_starts_on (model, 0), 24);
  steps_fixture_destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("steps-health");
  TCase *tests = tcase_create ("quarantine");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, success_ends_a_quarantine_for_failed_jobs);
  tcase_add_test (tests, jobs_that_fail_by_themselves_count_against_no_worker);
  tcase_add_loop_test (tests, jobs_that_always_fail_do_not_hold_up_others, 0,
                       4);
  tcase_add_test (tests, same_failed_jobs_renew_a_quarantine);
  tcase_add_test (tests, failures_of_one_moment_make_one_quarantine);
  tcase_add_test (tests, worker_gets_one_new_task_after_a_quarantine);
  tcase_add_test (tests, failures_of_lasting_work_do_not_quarantine);
  tcase_add_test (tests, worker_that_fails_everything_stays_in_quarantine);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
