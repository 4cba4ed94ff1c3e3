#include "tests/soak-runs.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define JOB "00000000000000aa"
#define TASK JOB ".0.0.0"
#define TASK_1 JOB ".0.0.1"

/* Guards against a soak that passes because its rules find nothing. The event
 * lines are those that workers print. */

struct fixture
{
  struct soak_runs *runs;
  char *folder;
  GPtrArray *rejected;
  GHashTable *gangs;
};

static struct fixture fixture;

static void
setup (void)
{
  fixture.runs = soak_runs_create ();
  fixture.folder = g_dir_make_tmp ("gr-soak-runs-XXXXXX", NULL);
  fixture.rejected = g_ptr_array_new ();
  fixture.gangs = g_hash_table_new (g_str_hash, g_str_equal);
  soak_runs_set_owner (fixture.runs, 1, 0, 0);
  soak_runs_set_owner (fixture.runs, 2, 1, 1);
}

static void
teardown (void)
{
  for (int i = 0; i < 2; i++)
    for (int life = 0; life < 2; life++)
      {
        g_autofree char *file =
            g_strdup_printf ("%s/w%d-%d.events", fixture.folder, i, life);

        unlink (file);
      }
  rmdir (fixture.folder);
  soak_runs_destroy (fixture.runs);
  g_ptr_array_unref (fixture.rejected);
  g_hash_table_unref (fixture.gangs);
  g_free (fixture.folder);
}

static void
add_process (uint32_t number, uint32_t life, const char *events)
{
  g_autofree char *file =
      g_strdup_printf ("%s/w%u-%u.events", fixture.folder, number, life);

  ck_assert (g_file_set_contents (file, events, -1, NULL));
  soak_runs_add_file (fixture.runs, file, number);
}

static void
add_worker (uint32_t number, const char *events)
{
  add_process (number, 0, events);
}

/* text: in the message; NULL if no rule is broken. */
static void
assert_violation (const char *text)
{
  g_autofree char *violation =
      soak_runs_check (fixture.runs, fixture.rejected, fixture.gangs);

  if (text == NULL)
    ck_assert_msg (violation == NULL, "%s", violation);
  else
    ck_assert_msg (violation != NULL && strstr (violation, text), "%s",
                   violation ? violation : "no violation");
}

START_TEST (runs_of_one_task_must_not_overlap)
{
  add_worker (0, "start 1000000 " TASK " 1 -\n"
                 "end 5000000 " TASK " 1 done\n");
  add_worker (1, "start 4000000 " TASK " 1001 -\n");
  assert_violation ("two runs at once:\n  run 1 of " TASK
                    " on w0-0.events in dc1 (owner i0 in dc1) from 1.000 s to "
                    "5.000 s, done\n  run 1001 of " TASK
                    " on w1-0.events in dc2 (owner i1 in dc2) from 4.000 s");
}
END_TEST

START_TEST (killed_process_ends_its_runs)
{
  add_worker (0, "start 1000000 " TASK " 1 -\n");
  add_worker (1, "start 4000000 " TASK " 2 -\n");
  assert_violation ("two runs at once");
  soak_runs_end_file (fixture.runs, 0, 0, 3000000);
  assert_violation (NULL);
}
END_TEST

/* A run of the next process of a worker goes on after the kill of the former
 * one, also if its number is the same. */
START_TEST (killed_process_ends_no_run_of_the_next_one)
{
  add_process (0, 0, "start 1000000 " TASK " 1 -\n");
  add_process (0, 1, "start 4000000 " TASK " 1 -\n");
  assert_violation ("two runs at once");
  soak_runs_end_file (fixture.runs, 0, 0, 3000000);
  assert_violation (NULL);
  add_worker (1, "start 5000000 " TASK " 1001 -\n");
  assert_violation ("two runs at once:\n  run 1 of " TASK
                    " on w0-1.events in dc1 (owner i0 in dc1) from 4.000 s to "
                    "now\n");
  soak_runs_end_file (fixture.runs, 0, 1, 4500000);
  assert_violation (NULL);
}
END_TEST

/* The former process printed it before it was killed. */
START_TEST (acknowledged_end_of_a_killed_process_is_final)
{
  add_process (0, 0,
               "start 1000000 " TASK " 1 -\n"
               "end 2000000 " TASK " 1 done\n"
               "noted 2500000 " TASK " 1 done\n");
  soak_runs_end_file (fixture.runs, 0, 0, 3000000);
  assert_violation (NULL);
  add_process (0, 1, "start 4000000 " TASK " 2 -\n");
  assert_violation ("started after an end that was acknowledged");
}
END_TEST

/* The end was lost with the process. */
START_TEST (end_of_a_killed_process_is_not_final)
{
  add_process (0, 0,
               "start 1000000 " TASK " 1 -\n"
               "end 2000000 " TASK " 1 done\n");
  soak_runs_end_file (fixture.runs, 0, 0, 3000000);
  add_process (0, 1, "start 4000000 " TASK " 2 -\n");
  assert_violation (NULL);
}
END_TEST

START_TEST (acknowledged_end_is_final)
{
  add_worker (0, "start 1000000 " TASK " 1 -\n"
                 "end 2000000 " TASK " 1 done\n"
                 "noted 6000000 " TASK " 1 done\n");
  add_worker (1, "start 4000000 " TASK " 2 -\n");
  assert_violation ("started after an end that was acknowledged");
}
END_TEST

START_TEST (end_is_not_final_after_a_lapse)
{
  add_worker (0, "start 1000000 " TASK " 1 -\n"
                 "end 2000000 " TASK " 1 done\n"
                 "lapse 3000000 - 0 -\n"
                 "noted 6000000 " TASK " 1 done\n");
  add_worker (1, "start 4000000 " TASK " 2 -\n");
  assert_violation (NULL);
}
END_TEST

START_TEST (runs_of_a_gang_must_not_overlap)
{
  add_worker (0, "start 1000000 " TASK " 1 -\n"
                 "end 5000000 " TASK " 1 stopped\n");
  add_worker (1, "start 1000000 " TASK_1 " 1 -\n"
                 "end 2000000 " TASK_1 " 1 stopped\n"
                 "start 4000000 " TASK_1 " 2 -\n");
  assert_violation (NULL);
  g_hash_table_add (fixture.gangs, JOB ".0.0");
  assert_violation ("two runs of a gang");
}
END_TEST

/* The deadline was on the clock of another process. */
START_TEST (lease_must_not_be_shortened)
{
  add_worker (0, "start 1000000 " TASK " 1 -\n");
  assert_violation (NULL);
  add_worker (1, "shortened 1000000 - 0 -\n");
  assert_violation ("a lease was too long");
}
END_TEST

START_TEST (rejected_job_must_not_run)
{
  add_worker (0, "start 1000000 " TASK " 1 -\n");
  assert_violation (NULL);
  g_ptr_array_add (fixture.rejected, JOB);
  assert_violation ("a rejected job runs");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("soak-runs");
  TCase *tests = tcase_create ("rules");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, runs_of_one_task_must_not_overlap);
  tcase_add_test (tests, killed_process_ends_its_runs);
  tcase_add_test (tests, killed_process_ends_no_run_of_the_next_one);
  tcase_add_test (tests, acknowledged_end_of_a_killed_process_is_final);
  tcase_add_test (tests, end_of_a_killed_process_is_not_final);
  tcase_add_test (tests, acknowledged_end_is_final);
  tcase_add_test (tests, end_is_not_final_after_a_lapse);
  tcase_add_test (tests, runs_of_a_gang_must_not_overlap);
  tcase_add_test (tests, lease_must_not_be_shortened);
  tcase_add_test (tests, rejected_job_must_not_run);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
