/* Tests merging of logs and the check of their order. */
#include "timeline/timeline.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const struct gr_timeline_filter no_filter = { NULL, NULL, NULL, NULL };

static void
add_log (struct gr_timeline *timeline, const char *name, const char *text)
{
  FILE *stream = fmemopen ((char *)text, strlen (text), "r");

  ck_assert_ptr_nonnull (stream);
  gr_timeline_add_stream (timeline, name, stream);
  fclose (stream);
}

static char *
print_to_string (struct gr_timeline *timeline,
                 const struct gr_timeline_filter *filter,
                 void (*print) (struct gr_timeline *timeline,
                                const struct gr_timeline_filter *filter,
                                FILE *out))
{
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);

  print (timeline, filter, out);
  fclose (out);
  return text;
}

#define LINE(hlc, instance, event, fields)                                     \
  "{\"time\":\"t\",\"hlc\":" #hlc ",\"level\":\"info\",\"process\":\"p\","     \
  "\"instance\":\"" instance "\",\"event\":\"" event "\"" fields "}\n"

#define JOB(id) ",\"job\":\"" id "\""
#define REQUEST(key) ",\"request\":\"" key "\""

/* Guards against records in file order instead of order of logical time, and
 * against accepting lines that are not records. */
START_TEST (records_are_merged_by_logical_time)
{
  struct gr_timeline *timeline = gr_timeline_create ();
  const GPtrArray *records;

  add_log (timeline, "a", LINE (10, "a", "one", "") LINE (30, "a", "four", ""));
  add_log (timeline, "b",
           LINE (20, "b", "three", "") LINE (21, "b", "other", ""));
  add_log (timeline, "c",
           "Bail out! an assertion\n{\"hlc\":\"x\"}\n[]\n\n" LINE (20, "a",
                                                                   "two", ""));
  records = gr_timeline_records (timeline);
  ck_assert_uint_eq (records->len, 5);
  ck_assert_str_eq (((struct gr_record *)records->pdata[0])->event, "one");
  ck_assert_str_eq (((struct gr_record *)records->pdata[1])->event, "two");
  ck_assert_str_eq (((struct gr_record *)records->pdata[2])->event, "three");
  ck_assert_str_eq (((struct gr_record *)records->pdata[4])->event, "four");
  ck_assert_uint_eq (gr_timeline_skipped (timeline), 3);
  gr_timeline_destroy (timeline);
}
END_TEST

struct order_case
{
  const char *a;
  const char *b;
  guint violations;
  const char *shown; /* text in the first violation; NULL: not checked */
};

static const struct order_case orders[] = {
  { LINE (1, "a", "job-accepted", JOB ("j"))
        LINE (5, "a", "job-running", JOB ("j")),
    LINE (3, "b", "job-starting", JOB ("j")), 0, NULL },
  /* An effect that precedes its cause in another process. */
  { LINE (4, "a", "job-starting", JOB ("j")),
    LINE (3, "b", "job-running", JOB ("j")), 1, "b:1:" },
  /* Equal times, as when a message did not carry the time of its sender. */
  { LINE (4, "a", "request-sent", REQUEST ("r")),
    LINE (4, "b", "request-answered", REQUEST ("r")), 1, "a:1:" },
  /* The cause is missing from the logs; there is only that of another job. */
  { LINE (4, "a", "job-starting", JOB ("j")),
    LINE (3, "b", "job-running", JOB ("k")), 0, NULL },
  /* A second attempt: the cause of the first one is early enough. */
  { LINE (2, "a", "job-starting", JOB ("j"))
        LINE (6, "a", "job-starting", JOB ("j")),
    LINE (3, "b", "job-running", JOB ("j")), 0, NULL },
  /* The cause of the first attempt may be among the dropped lines. */
  { LINE (6, "a", "job-starting", JOB ("j") ",\"dropped\":\"3\""),
    LINE (3, "b", "job-running", JOB ("j")), 0, NULL },
  /* A cause must have the same epoch as the effect. */
  { LINE (6, "a", "shard-acquired", ",\"shard\":\"s\",\"epoch\":\"2\""),
    LINE (3, "b", "shard-lost", ",\"shard\":\"s\",\"epoch\":\"1\""), 0, NULL },
  { LINE (6, "a", "shard-acquired", ",\"shard\":\"s\",\"epoch\":\"2\""),
    LINE (3, "b", "shard-lost", ",\"shard\":\"s\",\"epoch\":\"2\""), 1,
    "b:1:" },
  /* Logical time must increase within a process. Between processes it may
   * decrease. */
  { LINE (6, "a", "x", "") LINE (5, "a", "y", ""), LINE (1, "b", "x", ""), 1,
    "a:2:" },
  { LINE (6, "a", "x", "") LINE (6, "a", "y", ""), LINE (1, "b", "x", ""), 1,
    "a:2:" },
  { LINE (6, "a", "x", "") LINE (5, "b", "y", ""), LINE (1, "b", "x", ""), 0,
    NULL },
};

/* Guards against a check that misses a violation or reports a correct order. */
START_TEST (order_is_checked)
{
  const struct order_case *order = &orders[_i];
  struct gr_timeline *timeline = gr_timeline_create ();
  GPtrArray *violations;

  add_log (timeline, "a", order->a);
  add_log (timeline, "b", order->b);
  violations = gr_timeline_check (timeline);
  ck_assert_uint_eq (violations->len, order->violations);
  if (order->shown != NULL)
    ck_assert_ptr_nonnull (strstr (violations->pdata[0], order->shown));
  g_ptr_array_unref (violations);
  gr_timeline_destroy (timeline);
}
END_TEST

/* Guards against filters that select too many or too few records. */
START_TEST (filters_select_records)
{
  char *jobs[] = { (char *)"j", NULL };
  char *events[] = { (char *)"job-running", (char *)"job-finished", NULL };
  struct gr_timeline_filter filter = { NULL, jobs, NULL, events };
  struct gr_timeline *timeline = gr_timeline_create ();
  char *text;

  add_log (timeline, "a",
           LINE (65536001, "a", "job-starting", JOB ("j"))
               LINE (65536002, "a", "job-running", JOB ("j"))
                   LINE (65536003, "a", "job-running", JOB ("k"))
                       LINE (65536004, "a", "job-running", ""));
  text = print_to_string (timeline, &filter, gr_timeline_print_text);
  ck_assert_str_eq (text,
                    "1970-01-01T00:00:01.000Z+2  p/a  job-running job=j\n");
  free (text);
  text = print_to_string (timeline, &filter, gr_timeline_print_json);
  ck_assert_str_eq (text, LINE (65536002, "a", "job-running", JOB ("j")));
  free (text);
  gr_timeline_destroy (timeline);
}
END_TEST

/* Guards against unescaped log text in the markup of the HTML page. */
START_TEST (page_escapes_text)
{
  struct gr_timeline *timeline = gr_timeline_create ();
  char *text;

  add_log (timeline, "a",
           LINE (1, "a", "x", ",\"message\":\"<script>\\\"&\"")
               LINE (2, "<b>", "y", ""));
  text = print_to_string (timeline, &no_filter, gr_timeline_print_html);
  ck_assert_ptr_nonnull (strstr (text, "message=&lt;script&gt;&quot;&amp;"));
  ck_assert_ptr_nonnull (strstr (text, "<th>p/&lt;b&gt;</th>"));
  ck_assert_ptr_null (strstr (text, "<b></th>"));
  free (text);
  gr_timeline_destroy (timeline);
}
END_TEST

static int
run_on (const char *text, const char *option)
{
  char *name = NULL;
  int fd = g_file_open_tmp ("geraniumrack-XXXXXX", &name, NULL);
  char *argv[] = { (char *)"geraniumrack-timeline", (char *)option, name };
  FILE *null = fopen ("/dev/null", "w");
  int exit_code;

  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (name, text, -1, NULL));
  exit_code = gr_timeline_run (3, argv, null, null);
  fclose (null);
  unlink (name);
  g_free (name);
  return exit_code;
}

/* Guards against violations that are not reported by the exit code, on which
 * scripts rely, for example if a filter excludes the records. */
START_TEST (exit_code_reports_violations)
{
  const char *wrong = LINE (6, "a", "x", "") LINE (5, "a", "y", "");

  ck_assert_int_eq (run_on (LINE (5, "a", "x", ""), "--json"), 0);
  ck_assert_int_eq (run_on (wrong, "--json"), 1);
  ck_assert_int_eq (run_on (wrong, "--html"), 1);
  ck_assert_int_eq (run_on (wrong, "--event=none"), 1);
  ck_assert_int_eq (run_on (wrong, "--wrong"), 2);
  ck_assert_int_eq (run_on (wrong, "/nonexistent"), 2);
}
END_TEST

/* Adds a line in the format of fleetbench --log. */
static void
add_day_line (struct gr_timeline *timeline,
              int hlc,
              const char *event,
              const char *field,
              const char *value)
{
  g_autofree char *line = g_strdup_printf (
      "   0.5000 front-a-1 {\"hlc\":%d,\"process\":\"p\",\"instance\":\"a\","
      "\"event\":\"%s\",\"%s\":\"%s\"}\n",
      hlc, event, field, value);

  add_log (timeline, "day", line);
}

/* Guards against a job filter that misses records of a job on the users'
 * platform, where runs refer to the job by their task's name and recorded
 * progress by a list of jobs. Ids of other jobs with the same prefix must not
 * match. */
START_TEST (jobs_of_the_platform_are_found_by_their_id)
{
  static const char id[] = "5c0e7a21d94b36f8";
  struct gr_timeline *timeline = gr_timeline_create ();
  char *jobs[] = { (char *)id, NULL };
  struct gr_timeline_filter filter = { .jobs = jobs };
  char *text;

  add_log (timeline, "day", "the day has begun {at 0 s}\n");
  add_day_line (timeline, 10, "client-answer", "job", id);
  add_day_line (timeline, 20, "run-placed", "task", "5c0e7a21d94b36f8.0.0.1");
  add_day_line (timeline, 21, "run-placed", "task", "5c0e7a21d94b36f80.0.0");
  add_day_line (timeline, 30, "run-preempted", "for", id);
  add_day_line (timeline, 40, "progress-noted", "jobs", "1,5c0e7a21d94b36f8");
  add_day_line (timeline, 50, "progress-noted", "jobs", "1,2");
  ck_assert_uint_eq (gr_timeline_records (timeline)->len, 6);
  ck_assert_uint_eq (gr_timeline_skipped (timeline), 1);
  text = print_to_string (timeline, &filter, gr_timeline_print_json);
  ck_assert_ptr_nonnull (strstr (text, "client-answer"));
  ck_assert_ptr_nonnull (strstr (text, "f8.0.0.1"));
  ck_assert_ptr_null (strstr (text, "f80.0.0"));
  ck_assert_ptr_nonnull (strstr (text, "run-preempted"));
  ck_assert_ptr_nonnull (strstr (text, "1,5c0e7a21d94b36f8"));
  ck_assert_ptr_null (strstr (text, "\"1,2\""));
  free (text);
  text = print_to_string (timeline, &filter, gr_timeline_print_topics);
  ck_assert_ptr_nonnull (strstr (text,
                                 "<th>3 clients</th><th>4 starts</th>"
                                 "<th>5 ends</th><th>6 recorded ends</th>"));
  ck_assert_ptr_nonnull (strstr (text, "<span>p/a</span>"));
  free (text);
  gr_timeline_destroy (timeline);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("timeline");
  TCase *tcase = tcase_create ("timeline");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, records_are_merged_by_logical_time);
  tcase_add_loop_test (tcase, order_is_checked, 0, (int)G_N_ELEMENTS (orders));
  tcase_add_test (tcase, filters_select_records);
  tcase_add_test (tcase, page_escapes_text);
  tcase_add_test (tcase, exit_code_reports_violations);
  tcase_add_test (tcase, jobs_of_the_platform_are_found_by_their_id);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
