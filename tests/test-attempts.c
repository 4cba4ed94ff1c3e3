#include "instance/attempts.h"

#include <check.h>
#include <stdlib.h>

/* Guards against a rejection while an attempt may take effect. */
START_TEST (unresolved_attempts_forbid_rejections)
{
  struct gr_attempts attempts = { 0 };

  ck_assert (gr_attempts_may_reject (&attempts));
  gr_attempts_add_unresolved (&attempts, 10, "a");
  ck_assert (!gr_attempts_may_reject (&attempts));
  gr_attempts_had_no_effect (&attempts);
  ck_assert (gr_attempts_may_reject (&attempts));
  gr_attempts_clear (&attempts);
}
END_TEST

/* Guards against an absent job that is taken for proof although the attempt can
 * still store it, as the configuration that it requires is in force. */
START_TEST (absent_job_proves_only_attempts_for_earlier_configurations)
{
  struct gr_attempts attempts = { 0 };

  gr_attempts_add_unresolved (&attempts, 10, "a");
  gr_attempts_add_unresolved (&attempts, 12, "a");
  gr_attempts_job_absent (&attempts, 11);
  ck_assert (!gr_attempts_may_reject (&attempts));
  gr_attempts_job_absent (&attempts, 12);
  ck_assert (!gr_attempts_may_reject (&attempts));
  gr_attempts_job_absent (&attempts, 13);
  ck_assert (gr_attempts_may_reject (&attempts));
  gr_attempts_clear (&attempts);
}
END_TEST

/* Guards against a caller's own job that counts as that of another account. */
START_TEST (job_of_each_account_that_was_tried_may_be_owned)
{
  struct gr_attempts attempts = { 0 };

  ck_assert (!gr_attempts_may_own (&attempts, "a"));
  gr_attempts_add_unresolved (&attempts, 10, "a");
  gr_attempts_add_unresolved (&attempts, 11, "b");
  ck_assert (gr_attempts_may_own (&attempts, "a"));
  ck_assert (gr_attempts_may_own (&attempts, "b"));
  ck_assert (!gr_attempts_may_own (&attempts, "c"));
  gr_attempts_clear (&attempts);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("attempts");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, unresolved_attempts_forbid_rejections);
  tcase_add_test (tests,
                  absent_job_proves_only_attempts_for_earlier_configurations);
  tcase_add_test (tests, job_of_each_account_that_was_tried_may_be_owned);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
