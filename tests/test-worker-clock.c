/* Tests of the clocks of workers. */
#include "instance/worker-clock.h"

#include <check.h>
#include <stdlib.h>

#define PROCESS 1700000000000

START_TEST (clock_runs_on_between_answers)
{
  struct gr_worker_clock clock = { 0 };

  ck_assert_int_eq (gr_worker_clock_read (&clock, 1000), 0);
  ck_assert (gr_worker_clock_update (&clock, PROCESS, 500000, 1000, 1004));
  ck_assert_int_eq (gr_worker_clock_read (&clock, 1104), 500100);
  ck_assert (gr_worker_clock_update (&clock, PROCESS, 0, 1200, 1204));
  ck_assert_int_eq (gr_worker_clock_read (&clock, 1304), 500300);
}
END_TEST

/* Guards against restarts that are seen where an answer was only late, or the
 * worker's clock is slow. */
START_TEST (late_answers_and_slow_clocks_are_no_restart)
{
  struct gr_worker_clock clock = { 0 };

  ck_assert (gr_worker_clock_update (&clock, PROCESS, 500000, 1000, 3000));
  ck_assert (gr_worker_clock_update (&clock, PROCESS, 502001, 3001, 3003));
  ck_assert (
      gr_worker_clock_update (&clock, PROCESS, 502001 + 58800, 63001, 65001));
}
END_TEST

/* Guards against leases on a clock that was read long ago: a slow clock makes
 * them longer than a successor allows for. */
START_TEST (old_readings_grant_no_lease)
{
  struct gr_worker_clock clock = { 0 };

  ck_assert (!gr_worker_clock_is_current (&clock, 1000));
  ck_assert (gr_worker_clock_update (&clock, PROCESS, 500000, 1000, 1004));
  ck_assert (gr_worker_clock_is_current (&clock, 11004));
  ck_assert (!gr_worker_clock_is_current (&clock, 11005));
}
END_TEST

/* Guards against leases on the clock of a process that is gone. */
START_TEST (another_clock_shows_a_restart)
{
  struct gr_worker_clock clock = { 0 };

  ck_assert (gr_worker_clock_update (&clock, PROCESS, 500000, 1000, 1004));
  ck_assert (!gr_worker_clock_update (&clock, PROCESS, 7000, 2000, 2004));
  ck_assert_int_eq (gr_worker_clock_read (&clock, 2104), 7100);
  ck_assert (!gr_worker_clock_update (&clock, PROCESS, 900000, 3000, 3004));
  ck_assert (gr_worker_clock_update (&clock, PROCESS, 900100, 3100, 3104));
}
END_TEST

/* Guards against a late answer of the former process that brings its clock
 * back. */
START_TEST (answer_to_an_earlier_call_is_ignored)
{
  struct gr_worker_clock clock = { 0 };

  ck_assert (gr_worker_clock_update (&clock, PROCESS, 7000, 2000, 2004));
  ck_assert (gr_worker_clock_update (&clock, PROCESS, 500000, 1000, 2010));
  ck_assert_int_eq (gr_worker_clock_read (&clock, 2104), 7100);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("worker-clock");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, clock_runs_on_between_answers);
  tcase_add_test (tests, late_answers_and_slow_clocks_are_no_restart);
  tcase_add_test (tests, old_readings_grant_no_lease);
  tcase_add_test (tests, another_clock_shows_a_restart);
  tcase_add_test (tests, answer_to_an_earlier_call_is_ignored);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
