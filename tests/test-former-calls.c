#include "tests/instance-fixture.h"

#include <check.h>
#include <stdlib.h>

/* Calls that were composed for one process of a worker, when another one has
 * started under its id. Its clock starts anew, so a deadline of the former
 * clock is far ahead on it. */

#define RUN_LEASE_MS 1000

/* By then the deadlines of the former process are further ahead on a new clock
 * than any lease that the owner grants. A long poll is on its way. */
#define FORMER_LIFE_MS 2500

/* A few passes of the owner. */
#define STEP_MS 50

/* The poll of some has a connection that is not yet known to be closed. */
#define WORKERS 8

#define JOB "00000000000000a1"
#define TASK JOB ".0.0.0"

static void
check_leases (struct instance_fixture *fixture, uint32_t max_ms)
{
  for (uint32_t i = 0; i < fixture->workers; i++)
    {
      int64_t lease_ms =
          gr_standin_platform_worker_lease_ms (fixture->platform, i);

      ck_assert_msg (lease_ms <= max_ms, "the lease lasts %d ms",
                     (int)lease_ms);
    }
}

static void
restart_workers (struct instance_fixture *fixture)
{
  for (uint32_t i = 0; i < fixture->workers; i++)
    gr_standin_platform_restart_worker (fixture->platform, i);
}

/* Runs for a while, and checks that the leases never last longer. */
static void
run_with_leases_up_to (struct instance_fixture *fixture,
                       uint32_t duration_ms,
                       uint32_t max_ms)
{
  for (uint32_t ms = 0; ms < duration_ms; ms += STEP_MS)
    {
      instance_fixture_run (fixture, STEP_MS);
      check_leases (fixture, max_ms);
    }
}

/* Guards against a poll that is sent again when the worker's process ends, with
 * a deadline on the clock of that process. */
START_TEST (poll_for_a_former_process_grants_no_lease)
{
  struct instance_fixture fixture;

  instance_fixture_create (&fixture, WORKERS, RUN_LEASE_MS);
  instance_fixture_add_job (&fixture, JOB, "run_ms=60000", WORKERS, 8);
  instance_fixture_run (&fixture, FORMER_LIFE_MS);
  ck_assert_uint_eq (gr_standin_platform_running (fixture.platform, TASK), 1);
  restart_workers (&fixture);
  run_with_leases_up_to (&fixture, 1000, 2 * RUN_LEASE_MS);
  instance_fixture_destroy (&fixture);
}
END_TEST

/* Guards against a start that opens a new connection after the process that it
 * was chosen for has ended. */
START_TEST (start_for_a_former_process_is_not_carried_out)
{
  struct instance_fixture fixture;

  instance_fixture_create (&fixture, 1, RUN_LEASE_MS);
  instance_fixture_run (&fixture, FORMER_LIFE_MS);
  restart_workers (&fixture);
  instance_fixture_add_job (&fixture, JOB, "run_ms=60000", 1, 1);
  /* A start carries a deadline of GR_START_LIMIT_MS. */
  run_with_leases_up_to (&fixture, 1000, 2000);
  ck_assert_uint_eq (gr_standin_platform_starts (fixture.platform, TASK), 1);
  instance_fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("former-calls");
  TCase *tests = tcase_create ("former-calls");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, poll_for_a_former_process_grants_no_lease);
  tcase_add_test (tests, start_for_a_former_process_is_not_carried_out);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
