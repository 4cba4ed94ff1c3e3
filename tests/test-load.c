/* Checks and figures of the load tool. */
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
  gr_load_check_read (check, control);
  json_object_unref (control);
  g_bytes_unref (bytes);
}

/* What is found about one key under the given statement and control answer. */
static uint32_t
count_violations (bool idempotent,
                  uint32_t tasks,
                  unsigned told,
                  const char *control)
{
  struct gr_load_check *check = gr_load_check_create ();
  GString *text = g_string_new (NULL);
  uint32_t violations;

  gr_load_check_sent (check, "k", idempotent, tasks);
  gr_load_check_told (check, "k", (enum gr_load_told)told);
  read_control (check, control);
  violations = gr_load_check_print (check, text);
  ck_assert_int_eq (strstr (text->str, "violation: k:") != NULL,
                    violations > 0);
  g_string_free (text, TRUE);
  gr_load_check_destroy (check);
  return violations;
}

#define NOTHING "{\"keys\":{}}"
#define ONCE "{\"keys\":{\"a.k\":{\"started\":1}}}"
#define TWICE "{\"keys\":{\"a.k\":{\"started\":2}}}"
#define START(id, unthrottled)                                                 \
  "{\"task\":\"" id                                                            \
  "\",\"spec\":\"run_ms=1 job=k\",\"unthrottled_ms\":" unthrottled "}"

/* Guards against a load tool that sees no violation, or one where there is
 * none. */
START_TEST (false_statements_are_found)
{
  static const struct
  {
    const char *control;
    uint32_t tasks;
    unsigned told;
    uint32_t violations;
    bool idempotent;
  } cases[] = {
    { ONCE, 1, GR_TOLD_RAN, 0, false },
    { TWICE, 1, GR_TOLD_RAN, 1, false },
    { TWICE, 1, GR_TOLD_RAN, 0, true },
    { TWICE, 1, GR_TOLD_MAY_HAVE_RUN, 1, false },
    { NOTHING, 1, GR_TOLD_NOT_RUN, 0, true },
    { ONCE, 1, GR_TOLD_NOT_RUN, 1, true },
    /* Sent twice: one was refused, the other ran. */
    { ONCE, 1, GR_TOLD_NOT_RUN | GR_TOLD_RAN, 0, true },
    { NOTHING, 1, GR_TOLD_RAN, 1, true },
    { ONCE, 1, GR_TOLD_RAN | GR_TOLD_WRONG, 1, true },
    { NOTHING, 1, GR_TOLD_MAY_HAVE_RUN, 0, true },
    { "{\"starts\":[" START ("x.1.0", "5") "," START ("x.1.1", "5") "]}", 2,
      GR_TOLD_RAN, 0, false },
    { "{\"starts\":[" START ("x.1.0", "-1") "," START ("x.2.0", "5") "]}", 2,
      GR_TOLD_RAN, 0, false },
    { "{\"starts\":[" START ("x.1.0", "5") "," START ("x.2.0", "5") "]}", 1,
      GR_TOLD_RAN, 1, false },
    { "{\"starts\":[" START ("x.1.0", "-1") "]}", 1, GR_TOLD_NOT_RUN, 0, true },
    { "{\"starts\":[" START ("x.1.0", "0") "]}", 1, GR_TOLD_NOT_RUN, 1, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (count_violations (cases[i].idempotent, cases[i].tasks,
                                     cases[i].told, cases[i].control)
                       == cases[i].violations,
                   "case %zu", i);
}
END_TEST

/* Guards against a target that was not read being taken for one on which
 * nothing ran. */
START_TEST (unread_targets_prove_nothing)
{
  struct gr_load_check *check = gr_load_check_create ();
  GString *text = g_string_new (NULL);

  gr_load_check_sent (check, "k", true, 1);
  gr_load_check_told (check, "k", GR_TOLD_RAN);
  read_control (check, NOTHING);
  gr_load_check_read (check, NULL);
  ck_assert_uint_eq (gr_load_check_print (check, text), 0);
  ck_assert_ptr_nonnull (strstr (text->str, "1 targets unread"));
  g_string_free (text, TRUE);
  gr_load_check_destroy (check);
}
END_TEST

/* Guards against percentiles that are off by one rank. */
START_TEST (percentiles_are_by_rank)
{
  struct gr_load_stats *stats = gr_load_stats_create ();
  GString *text = g_string_new (NULL);

  for (int i = 200; i >= 1; i--)
    gr_load_stats_add (stats, "request ok", i * INT64_C (1000));
  gr_load_stats_add (stats, "one", 7000);
  gr_load_stats_print (stats, text);
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

  tcase_add_test (tcase, false_statements_are_found);
  tcase_add_test (tcase, unread_targets_prove_nothing);
  tcase_add_test (tcase, percentiles_are_by_rank);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
