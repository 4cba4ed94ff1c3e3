/* Tests the outcome check and the statistics of the load tool. */
#include "http/json.h"
#include "standins/load-check.h"
#include "standins/load-stats.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static void
read_control (struct gr_load_check *check, const char *text)
{
  struct gr_error error = GR_ERROR_INIT;
  GBytes *bytes = g_bytes_new (text, strlen (text));
  JsonObject *control = gr_json_parse (bytes, &error);

  ck_assert_msg (control != NULL, "%s", text);
  gr_load_check_read_control (check, control);
  json_object_unref (control);
  g_bytes_unref (bytes);
}

/* Returns the number of violations for one key with these reported outcomes and
 * this response of GET /control. */
static uint32_t
count_violations (bool idempotent,
                  uint32_t tasks,
                  unsigned outcomes,
                  const char *control)
{
  struct gr_load_check *check = gr_load_check_create ();
  GString *text = g_string_new (NULL);
  uint32_t violations;

  gr_load_check_add_work (check, "k", idempotent, tasks);
  gr_load_check_add_outcome (check, "k", (enum gr_load_outcome)outcomes);
  read_control (check, control);
  violations = gr_load_check_append_report (check, text);
  ck_assert_int_eq (strstr (text->str, "violation: k:") != NULL,
                    violations > 0);
  g_string_free (text, TRUE);
  gr_load_check_destroy (check);
  return violations;
}

#define NO_STARTS "{\"keys\":{}}"
#define ONE_START "{\"keys\":{\"a.k\":{\"started\":1}}}"
#define TWO_STARTS "{\"keys\":{\"a.k\":{\"started\":2}}}"
#define TASK_START(id, unthrottled_ms)                                         \
  "{\"task\":\"" id                                                            \
  "\",\"spec\":\"run_ms=1 job=k\",\"unthrottled_ms\":" unthrottled_ms "}"

/* Guards against missed violations and false ones: each case combines the
 * outcomes reported to the client with the starts that the targets report. */
START_TEST (wrong_outcomes_are_violations)
{
  static const struct
  {
    const char *control;
    uint32_t tasks;
    unsigned outcomes;
    uint32_t violations;
    bool idempotent;
  } cases[] = {
    { ONE_START, 1, GR_LOAD_RAN, 0, false },
    { TWO_STARTS, 1, GR_LOAD_RAN, 1, false },
    { TWO_STARTS, 1, GR_LOAD_RAN, 0, true },
    { TWO_STARTS, 1, GR_LOAD_MAY_HAVE_RUN, 1, false },
    { NO_STARTS, 1, GR_LOAD_NOT_RUN, 0, true },
    { ONE_START, 1, GR_LOAD_NOT_RUN, 1, true },
    /* The request was sent twice: one copy was refused, the other one ran. */
    { ONE_START, 1, GR_LOAD_NOT_RUN | GR_LOAD_RAN, 0, true },
    { NO_STARTS, 1, GR_LOAD_RAN, 1, true },
    { ONE_START, 1, GR_LOAD_RAN | GR_LOAD_WRONG_ANSWER, 1, true },
    { NO_STARTS, 1, GR_LOAD_MAY_HAVE_RUN, 0, true },
    { "{\"starts\":[" TASK_START ("x.1.0", "5") "," TASK_START ("x.1.1",
                                                                "5") "]}",
      2, GR_LOAD_RAN, 0, false },
    { "{\"starts\":[" TASK_START ("x.1.0", "-1") "," TASK_START ("x.2.0",
                                                                 "5") "]}",
      2, GR_LOAD_RAN, 0, false },
    { "{\"starts\":[" TASK_START ("x.1.0", "5") "," TASK_START ("x.2.0",
                                                                "5") "]}",
      1, GR_LOAD_RAN, 1, false },
    { "{\"starts\":[" TASK_START ("x.1.0", "-1") "]}", 1, GR_LOAD_NOT_RUN, 0,
      true },
    { "{\"starts\":[" TASK_START ("x.1.0", "0") "]}", 1, GR_LOAD_NOT_RUN, 1,
      true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (count_violations (cases[i].idempotent, cases[i].tasks,
                                     cases[i].outcomes, cases[i].control)
                       == cases[i].violations,
                   "case %zu", i);
}
END_TEST

/* Guards against treating a target without a response as one that ran nothing:
 * a request reported as run may have run there. */
START_TEST (unread_targets_cause_no_violation)
{
  struct gr_load_check *check = gr_load_check_create ();
  GString *text = g_string_new (NULL);

  gr_load_check_add_work (check, "k", true, 1);
  gr_load_check_add_outcome (check, "k", GR_LOAD_RAN);
  read_control (check, NO_STARTS);
  gr_load_check_read_control (check, NULL);
  ck_assert_uint_eq (gr_load_check_append_report (check, text), 0);
  ck_assert_ptr_nonnull (strstr (text->str, "1 targets unread"));
  g_string_free (text, TRUE);
  gr_load_check_destroy (check);
}
END_TEST

/* Guards against percentiles that are off by one rank. */
START_TEST (percentiles_use_nearest_rank)
{
  struct gr_load_stats *stats = gr_load_stats_create ();
  GString *text = g_string_new (NULL);

  for (int i = 200; i >= 1; i--)
    gr_load_stats_add (stats, "request ok", i * INT64_C (1000));
  gr_load_stats_add (stats, "one", 7000);
  gr_load_stats_append_table (stats, text);
  ck_assert_msg (strstr (text->str, "200     100.0     198.0     200.0")
                     != NULL,
                 "%s", text->str);
  ck_assert_msg (strstr (text->str, "1       7.0       7.0       7.0") != NULL,
                 "%s", text->str);
  g_string_free (text, TRUE);
  gr_load_stats_destroy (stats);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load");
  TCase *tcase = tcase_create ("load");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, wrong_outcomes_are_violations);
  tcase_add_test (tcase, unread_targets_cause_no_violation);
  tcase_add_test (tcase, percentiles_use_nearest_rank);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
