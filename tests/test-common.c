/* Tests of errors, clocks, limits of calls, hashing, logical time and counters.
 */
#include "common/call-limit.h"
#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Guards against an error kind without a table row: such errors would be
 * returned with HTTP status 0. */
START_TEST (every_error_kind_has_a_table_row)
{
  for (int kind = 0; kind < GR_ERROR_N_KINDS; kind++)
    {
      const struct gr_error_info *info =
          gr_error_info ((enum gr_error_kind)kind);

      ck_assert_ptr_nonnull (info->name);
      ck_assert_int_ge (info->http_status, 200);
      ck_assert_int_eq (gr_error_kind_from_name (info->name), kind);
    }
}
END_TEST

/* Guards against keys that move between members that stay: when a member is
 * removed, only its own keys may be assigned to another member. */
START_TEST (rendezvous_moves_only_keys_of_the_lost_member)
{
  const char *all[] = { "a", "b", "c", "d" };
  const char *fewer[] = { "a", "b", "c" };
  char key[16];

  for (int i = 0; i < 1000; i++)
    {
      int before;

      g_snprintf (key, sizeof key, "key-%d", i);
      before = gr_hash_choose (key, all, 4);
      if (before < 3)
        ck_assert_int_eq (gr_hash_choose (key, fewer, 3), before);
    }
}
END_TEST

/* Guards against a logical time that is not larger than an observed remote
 * time, which happens if only the local wall clock is used. */
START_TEST (logical_time_passes_observed_time)
{
  uint64_t remote = gr_hlc_now () + ((uint64_t)5000 << 16);

  gr_hlc_observe (remote);
  ck_assert_uint_gt (gr_hlc_now (), remote);
}
END_TEST

/* Guards against histograms that print the count of each bucket instead of the
 * cumulative count. */
START_TEST (histogram_prints_cumulative_buckets)
{
  struct gr_counters *counters = gr_counters_create ();
  struct gr_histogram *wait = gr_counters_histogram (counters, "wait_ms", "");
  GString *text = g_string_new (NULL);

  gr_histogram_observe (wait, 3);
  gr_histogram_observe (wait, 3000);
  gr_counter_add (gr_counters_get (counters, "calls_total", "cause=\"x\""), 2);
  gr_counters_print (counters, text);
  ck_assert_ptr_nonnull (
      strstr (text->str, "geraniumrack_wait_ms_bucket{le=\"3900\"} 2"));
  ck_assert_ptr_nonnull (
      strstr (text->str, "geraniumrack_calls_total{cause=\"x\"} 2"));
  g_string_free (text, TRUE);
  gr_counters_destroy (counters);
}
END_TEST

START_TEST (manual_clock_moves_only_by_advance)
{
  struct gr_clock *clock = gr_clock_create_manual (100);

  gr_clock_advance (clock, 50);
  ck_assert_int_eq (gr_clock_now_ms (clock), 150);
  gr_clock_destroy (clock);
}
END_TEST

/* Guards against a service that always takes longer than the limit, so that no
 * call is ever answered in time. */
START_TEST (limit_of_calls_follows_a_slow_service)
{
  struct gr_call_limit limit = { .least_ms = 1500, .most_ms = 15000 };

  ck_assert_uint_eq (gr_call_limit_ms (&limit), 1500);
  gr_call_limit_timed_out (&limit);
  gr_call_limit_timed_out (&limit);
  ck_assert_uint_eq (gr_call_limit_ms (&limit), 6000);
  gr_call_limit_answered (&limit, 4000);
  ck_assert_uint_eq (gr_call_limit_ms (&limit), 8000);
  for (int i = 0; i < 10; i++)
    gr_call_limit_timed_out (&limit);
  ck_assert_uint_eq (gr_call_limit_ms (&limit), 15000);
  gr_call_limit_answered (&limit, 10);
  ck_assert_uint_eq (gr_call_limit_ms (&limit), 1500);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("common");
  TCase *tcase = tcase_create ("common");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, every_error_kind_has_a_table_row);
  tcase_add_test (tcase, rendezvous_moves_only_keys_of_the_lost_member);
  tcase_add_test (tcase, logical_time_passes_observed_time);
  tcase_add_test (tcase, histogram_prints_cumulative_buckets);
  tcase_add_test (tcase, manual_clock_moves_only_by_advance);
  tcase_add_test (tcase, limit_of_calls_follows_a_slow_service);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
