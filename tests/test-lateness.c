/* Tests of the timeouts that follow from an owner's lateness. */
#include "instance/lateness.h"

#include <check.h>
#include <stdlib.h>

#define BASE_MS 250

static void
add_responses (struct gr_lateness *lateness, int64_t time_ms, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    gr_lateness_add_response (lateness, time_ms);
}

/* Guards against slow detection of failed workers on a site without load. */
START_TEST (prompt_answers_add_little)
{
  struct gr_lateness lateness = { 0 };

  add_responses (&lateness, 4, 100);
  ck_assert_uint_lt (gr_lateness_timeout_ms (&lateness, BASE_MS), BASE_MS + 20);
  ck_assert (!gr_lateness_is_overloaded (&lateness));
}
END_TEST

/* Guards against timeouts that stay short while all answers are late. */
START_TEST (late_answers_extend_timeouts)
{
  struct gr_lateness lateness = { 0 };

  add_responses (&lateness, 4, 100);
  add_responses (&lateness, 900, 100);
  ck_assert_uint_gt (gr_lateness_timeout_ms (&lateness, BASE_MS), 900);
  ck_assert (gr_lateness_is_overloaded (&lateness));
  add_responses (&lateness, 4, 300);
  ck_assert_uint_lt (gr_lateness_timeout_ms (&lateness, BASE_MS),
                     BASE_MS + 100);
  ck_assert (!gr_lateness_is_overloaded (&lateness));
}
END_TEST

/* Guards against a few lost workers that make the owner treat all others as
 * late: of 350 workers 20 fail at once. */
START_TEST (lost_workers_do_not_look_like_lateness)
{
  struct gr_lateness lateness = { 0 };

  add_responses (&lateness, 4, 100);
  for (uint32_t i = 0; i < 20; i++)
    {
      add_responses (&lateness, BASE_MS, 1);
      add_responses (&lateness, 4, 10);
    }
  ck_assert (!gr_lateness_is_overloaded (&lateness));
}
END_TEST

/* Guards against timeouts that are as long as the leases of runs. */
START_TEST (timeouts_are_bounded)
{
  struct gr_lateness lateness = { 0 };

  add_responses (&lateness, 60000, 100);
  gr_lateness_add_loop (&lateness, 60000);
  ck_assert_uint_le (gr_lateness_timeout_ms (&lateness, BASE_MS),
                     BASE_MS + 2000);
}
END_TEST

/* Guards against a late main loop that is forgotten after one punctual tick. */
START_TEST (loop_lateness_decays)
{
  struct gr_lateness lateness = { 0 };

  gr_lateness_add_loop (&lateness, 400);
  gr_lateness_add_loop (&lateness, 0);
  ck_assert (gr_lateness_is_overloaded (&lateness));
  for (uint32_t i = 0; i < 30; i++)
    gr_lateness_add_loop (&lateness, 0);
  ck_assert (!gr_lateness_is_overloaded (&lateness));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("lateness");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, prompt_answers_add_little);
  tcase_add_test (tests, late_answers_extend_timeouts);
  tcase_add_test (tests, lost_workers_do_not_look_like_lateness);
  tcase_add_test (tests, timeouts_are_bounded);
  tcase_add_test (tests, loop_lateness_decays);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
