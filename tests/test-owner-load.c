/* Tests of the pace of an owner's scheduling passes. */
#include "instance/owner-load.h"

#include <check.h>
#include <stdlib.h>

static struct gr_owner_load
load_after (int64_t pass_us, uint32_t passes)
{
  struct gr_owner_load load = { 0 };

  for (uint32_t i = 0; i < passes; i++)
    gr_owner_load_add_pass (&load, pass_us);
  return load;
}

/* Guards against urgent work that waits for the next pass on a small site. */
START_TEST (short_passes_follow_events_closely)
{
  struct gr_owner_load load = load_after (500, 100);

  ck_assert_uint_le (gr_owner_load_pass_delay_ms (&load), 10);
}
END_TEST

/* Guards against an owner of more than a thousand workers that spends its
 * processor on passes and has none left for the calls: with 5 ms a pass and 8
 * ms between them it was 40 %. */
START_TEST (long_passes_leave_most_of_the_processor)
{
  for (int64_t pass_us = 2000; pass_us <= 10000; pass_us += 1000)
    {
      struct gr_owner_load load = load_after (pass_us, 100);
      double delay_us = 1000.0 * gr_owner_load_pass_delay_ms (&load);

      ck_assert_double_le ((double)pass_us / ((double)pass_us + delay_us), 0.2);
    }
}
END_TEST

/* Guards against a pass that was interrupted for a second and holds up urgent
 * work afterwards. */
START_TEST (delay_is_bounded)
{
  struct gr_owner_load load = load_after (1000000, 10);

  ck_assert_uint_le (gr_owner_load_pass_delay_ms (&load), 100);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("owner-load");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, short_passes_follow_events_closely);
  tcase_add_test (tests, long_passes_leave_most_of_the_processor);
  tcase_add_test (tests, delay_is_bounded);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
