#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>

#define WORKERS 32
#define SEEDS 10

/* Seven workers of ten crash at once. */
static void
crash_wave (struct steps_model *model, GRand *rand)
{
  const struct steps_model_crash crash = { .down_ms = 1500 };

  for (uint32_t i = 0; i < WORKERS; i++)
    if (g_rand_double (rand) < 0.7)
      steps_model_crash_worker (model, i, &crash);
}

/* Waves of crashes give up a job that has runs on all workers: no crash of a
 * worker without its runs shows that they have a common cause. */
START_TEST (waves_do_not_fail_a_job_that_uses_all_workers)
{
  struct steps_model *model = steps_fixture_create (WORKERS, (uint32_t)_i + 1);
  g_autoptr (GRand) rand = g_rand_new_with_seed ((uint32_t)_i + 1);
  struct gr_step_spec wide = steps_plain;

  wide.count = WORKERS;
  wide.needs.accelerators = 8;
  wide.checkpointing = true;
  steps_model_add_job (model, 1, "normal", "a", &wide, 1, 12000);
  for (uint32_t wave = 0; wave < 7; wave++)
    {
      steps_model_run (model, g_rand_int_range (rand, 3000, 4500));
      crash_wave (model, rand);
    }
  steps_model_run (model, 60000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("crash-wide");
  TCase *waves = tcase_create ("waves");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (waves, 60);
  tcase_add_loop_test (waves, waves_do_not_fail_a_job_that_uses_all_workers, 0,
                       SEEDS);
  suite_add_tcase (suite, waves);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
