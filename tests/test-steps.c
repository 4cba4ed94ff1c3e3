#include "tests/steps-model.h"

#include <check.h>
#include <stdlib.h>

static const struct gr_step_spec plain = {
  .count = 4,
  .needs = { 10000, 20000, 1 },
  .estimate_ms = 2000,
};

static const struct gr_step_spec gang = {
  .count = 8,
  .needs = { 50000, 20000, 8 },
  .estimate_ms = 2000,
  .gang = true,
  .one_rack = true,
};

static struct steps_model *
create (uint32_t workers, uint32_t seed)
{
  struct steps_model *model = steps_model_create (workers, 8, seed);

  steps_model_set_queue (model, "urgent", 0, 3);
  steps_model_set_queue (model, "normal", 1, 2);
  steps_model_set_queue (model, "batch", 2, 2);
  return model;
}

static void
finish (struct steps_model *model)
{
  ck_assert_msg (steps_model_broken (model) == NULL, "%s",
                 steps_model_broken (model));
  steps_model_destroy (model);
}

/* Guards against a core that does not place, look or note at all. */
START_TEST (jobs_of_each_kind_complete)
{
  struct steps_model *model = create (16, 1);
  struct gr_step_spec steps[2] = { plain, plain };
  uint32_t first = 0;

  steps[1].after = &first;
  steps[1].n_after = 1;
  steps_model_add_job (model, 1, "normal", "a", &plain, 1, 500);
  steps_model_add_job (model, 2, "urgent", "a", &gang, 1, 500);
  steps_model_add_job (model, 3, "batch", "a", steps, 2, 500);
  steps_model_run (model, 4000);
  for (uint32_t i = 1; i <= 3; i++)
    ck_assert_int_eq (steps_model_state (model, i), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 4);
  ck_assert_uint_eq (steps_model_starts (model, 2), 8);
  finish (model);
}
END_TEST

/* A new owner does not know the leases that the former one gave; it took them
 * for expired at once, and started everything a second time. */
START_TEST (adopted_runs_keep_their_lease)
{
  struct steps_model *model = create (16, 1);

  steps_model_add_job (model, 1, "normal", "a", &gang, 1, 5000);
  steps_model_add_job (model, 2, "normal", "a", &plain, 1, 5000);
  steps_model_run (model, 1000);
  steps_model_take_over (model);
  steps_model_run (model, 6000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 8);
  ck_assert_uint_eq (steps_model_starts (model, 2), 4);
  finish (model);
}
END_TEST

/* A job that was complete left the core before its state was durable; an echo
 * of its records added it again, and it ran a second time. */
START_TEST (echo_does_not_bring_a_completed_job_back)
{
  struct steps_model *model = create (16, 1);

  steps_model_set_commit_ms (model, 300);
  steps_model_add_job (model, 1, "normal", "a", &plain, 1, 500);
  steps_model_add_job (model, 2, "normal", "a", &gang, 1, 500);
  steps_model_run (model, 4000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 4);
  ck_assert_uint_eq (steps_model_starts (model, 2), 8);
  finish (model);
}
END_TEST

/* An end as failed that was durable and not yet noted was listed again to the
 * next owner, which counted it a second time and gave the job up too early. */
START_TEST (failure_counts_once_over_a_takeover)
{
  struct steps_model *model = create (16, 1);

  steps_model_add_job (model, 1, "urgent", "a", &gang, 1, 900);
  steps_model_fail_job (model, 1);
  for (int i = 0; i < 200 && steps_model_failures (model, 1) == 0; i++)
    steps_model_run (model, 20);
  steps_model_take_over (model);
  steps_model_run (model, 8000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 3 * gang.count);
  finish (model);
}
END_TEST

/* Two failed ends of one task, on two workers, were read in the wrong order
 * after a takeover; the older one was not counted, and the task was started
 * once too often. */
START_TEST (failures_count_in_any_order)
{
  struct gr_step_spec one = plain;
  struct steps_model *model = create (2, 1);

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 300);
  steps_model_fail_job (model, 1);
  steps_model_set_store (model, false);
  steps_model_run (model, 1500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_model_set_store (model, true);
  steps_model_swap_workers (model, 0, 1);
  steps_model_take_over (model);
  steps_model_run (model, 4000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  finish (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("steps");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, jobs_of_each_kind_complete);
  tcase_add_test (tests, adopted_runs_keep_their_lease);
  tcase_add_test (tests, echo_does_not_bring_a_completed_job_back);
  tcase_add_test (tests, failure_counts_once_over_a_takeover);
  tcase_add_test (tests, failures_count_in_any_order);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
