/* Test of logging to a descriptor without blocking. */
#include "common/log.h"

#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LINES 20000
#define EVENTS 400

/* Reads what is in the pipe, up to 64 KB, without blocking. */
static void
drain (int descriptor, GString *text)
{
  char chunk[65536];
  ssize_t size = read (descriptor, chunk, sizeof chunk);

  if (size > 0)
    g_string_append_len (text, chunk, size);
}

/* Guards against a log reader that stops reading: once the pipe was full, the
 * process blocked when it wrote the next line. */
START_TEST (stalled_reader_does_not_block)
{
  int pipe_fds[2];
  GString *text = g_string_new (NULL);
  char event[24];

  ck_assert_int_eq (pipe (pipe_fds), 0);
  ck_assert_int_eq (fcntl (pipe_fds[0], F_SETFL, O_NONBLOCK), 0);
  gr_log_init ("test-log", "test");
  gr_log_set_descriptor (pipe_fds[1]);
  /* More than fits into the pipe and the buffer. Many event names are used,
   * because the rate of lines with one name is limited. */
  for (int i = 0; i < LINES; i++)
    {
      g_snprintf (event, sizeof event, "event-%d", i % EVENTS);
      gr_log_event (event, "filler", "0123456789012345678901234567890123456789",
                    NULL);
    }
  for (int i = 0; i < 20; i++)
    {
      drain (pipe_fds[0], text);
      gr_log_flush ();
    }
  gr_log_event ("last", NULL);
  drain (pipe_fds[0], text);
  ck_assert_ptr_nonnull (strstr (text->str, "\"event\":\"event-0\""));
  ck_assert_ptr_nonnull (strstr (text->str, "\"event\":\"log-dropped\""));
  ck_assert_ptr_nonnull (strstr (text->str, "\"event\":\"last\""));
  g_string_free (text, TRUE);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tests = tcase_create ("log");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 20);
  tcase_add_test (tests, stalled_reader_does_not_block);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
