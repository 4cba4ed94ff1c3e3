#include "steps/tenure.h"
#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* A worker lists a part of its ends in an answer if many are not acknowledged.
 * Each test guards against a conclusion that an owner draws from such an
 * answer, or against work that waits longer than for the rest of the list. */

#define LISTED_ENDS 4
#define TASKS 20
#define FAILING_JOBS 6

/* A worker runs 8 tasks of steps_plain at a time. With the store away the owner
 * reads the first 4 ends and starts 4 further tasks. */
#define STARTED_WITHOUT_STORE 12

/* Longer than a lease of 7 s on a clock that is 3 % slow. */
#define LEASE_EXPIRED_MS INT64_C (7700)

static void
add_tasks (struct steps_model *model,
           uint32_t job,
           uint32_t tasks,
           int64_t work_ms)
{
  struct gr_step_spec spec = steps_plain;

  spec.count = tasks;
  steps_model_add_job (model, job, "normal", "a", &spec, 1, work_ms);
}

/* The only worker has ended runs of job 1 that are neither durable nor listed
 * in one answer. */
static struct steps_model *
create_long_list (void)
{
  struct steps_model *model = steps_fixture_create (1, 1);

  steps_model_set_listed_ends (model, LISTED_ENDS);
  steps_model_set_store (model, false);
  add_tasks (model, 1, TASKS, 300);
  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_starts (model, 1), STARTED_WITHOUT_STORE);
  ck_assert_uint_eq (steps_model_kept_ends (model, 0), STARTED_WITHOUT_STORE);
  steps_model_set_commit_ms (model, 150);
  return model;
}

/* Guards against a successor that takes tasks whose ends are in the rest of the
 * list for tasks without a run. The loop variable is the number of owners that
 * read a part of it. */
START_TEST (half_read_list_starts_no_ended_task_again)
{
  struct steps_model *model = create_long_list ();

  steps_model_set_store (model, true);
  for (int i = 0; i < _i; i++)
    {
      steps_model_new_owner (model);
      steps_model_run (model, 100);
      ck_assert_uint_eq (steps_model_starts (model, 1), STARTED_WITHOUT_STORE);
    }
  steps_model_run (model, 5000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), TASKS);
  steps_fixture_destroy (model);
}
END_TEST

/* The same while the store does not answer, so that no end can be acknowledged
 * and the list stays half read. */
START_TEST (list_stays_half_read_without_the_store)
{
  struct steps_model *model = create_long_list ();

  steps_model_new_owner (model);
  steps_model_run (model, 2 * LEASE_EXPIRED_MS);
  ck_assert_uint_eq (steps_model_starts (model, 1), STARTED_WITHOUT_STORE);
  steps_model_set_store (model, true);
  steps_model_run (model, 5000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), TASKS);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against jobs of the owner itself that wait for lists of former ones.
 */
START_TEST (later_jobs_do_not_wait)
{
  struct steps_model *model = create_long_list ();

  steps_model_new_owner (model);
  steps_model_run (model, 100);
  add_tasks (model, 2, 2, 1000);
  steps_model_run (model, 300);
  ck_assert_uint_eq (steps_model_running (model, 2), 2);
  steps_model_set_store (model, true);
  steps_model_run (model, 5000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a gang that runs again because the ends of its members are in
 * the rest of a list. */
START_TEST (gang_with_an_unread_end_is_not_started_again)
{
  struct steps_model *model = steps_fixture_create (8, 1);
  struct gr_step_spec whole_workers = steps_plain;

  whole_workers.count = 8;
  whole_workers.needs = steps_gang.needs;
  steps_model_set_listed_ends (model, 1);
  steps_model_set_store (model, false);
  steps_model_add_job (model, 1, "normal", "a", &whole_workers, 1, 200);
  steps_model_run (model, 2000);
  steps_model_add_job (model, 2, "urgent", "a", &steps_gang, 1, 300);
  steps_model_run (model, 2000);
  ck_assert_uint_eq (steps_model_starts (model, 2), 8);
  ck_assert_uint_eq (steps_model_running (model, 2), 0);
  steps_model_set_commit_ms (model, 150);
  steps_model_set_store (model, true);
  steps_model_new_owner (model);
  steps_model_run (model, 20000);
  ck_assert_int_eq (steps_model_state (model, 2), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 2), 8);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against tasks that are started more often than their queue allows,
 * because their failures are in the rest of a list. */
START_TEST (unread_failures_count_before_further_starts)
{
  struct steps_model *model = steps_fixture_create (1, 1);

  steps_model_set_listed_ends (model, 1);
  steps_model_set_store (model, false);
  steps_model_set_queue (model, "normal", 1, 1);
  for (uint32_t job = 1; job <= FAILING_JOBS; job++)
    add_tasks (model, job, 1, 300);
  steps_model_run (model, 200);
  steps_model_fail_runs (model, 0);
  steps_model_run (model, 100);
  ck_assert_uint_eq (steps_model_kept_ends (model, 0), FAILING_JOBS);
  steps_model_new_owner (model);
  steps_model_run (model, 3000);
  steps_model_set_store (model, true);
  steps_model_run (model, 3000);
  for (uint32_t job = 1; job <= FAILING_JOBS; job++)
    {
      ck_assert_int_eq (steps_model_state (model, job), GR_JOB_FAILED);
      ck_assert_uint_eq (steps_model_starts (model, job), 1);
    }
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against inherited work that waits for good for a list of which nobody
 * can read the rest. */
START_TEST (silent_worker_holds_work_for_a_lease_only)
{
  struct steps_model *model = create_long_list ();
  uint32_t other;

  steps_model_set_commit_ms (model, 1000);
  steps_model_set_store (model, true);
  steps_model_new_owner (model);
  steps_model_run (model, 200);
  other = steps_model_add_worker (model);
  steps_model_set_worker_unreachable (model, 0, true);
  steps_model_run (model, 6000);
  ck_assert_uint_eq (steps_model_starts_on (model, other), 0);
  steps_model_run (model, 2500);
  ck_assert_uint_gt (steps_model_starts_on (model, other), 0);
  steps_model_run (model, 8000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* The core alone. */

#define N_JOBS 2

struct fixture
{
  struct gr_steps *steps;
  int64_t now_ms;
  uint32_t starts[N_JOBS]; /* of the jobs with the labels "a" and "b" */
};

static void
add_inherited_job (struct fixture *fixture, const char *id, const char *label)
{
  struct gr_step_spec step = steps_plain;
  struct gr_job_spec spec = {
    .queue = (char *)"normal",
    .account = (char *)"a",
    .payload = (char *)"",
    .steps = &step,
    .n_steps = 1,
  };

  step.count = 1;
  step.label = (char *)label;
  g_strlcpy (spec.id, id, sizeof spec.id);
  gr_steps_add_job (fixture->steps, &spec, NULL, true, fixture->now_ms);
}

static void
register_worker (struct fixture *fixture,
                 const char *id,
                 const char *label,
                 int64_t incarnation_unix_ms)
{
  const char *const labels[] = { label, NULL };
  const struct gr_steps_worker row = {
    .id = id,
    .service = "service",
    .rack = "r1",
    .labels = labels,
    .capacity = { 64000, 256000, 8 },
    .incarnation_unix_ms = incarnation_unix_ms,
  };

  gr_steps_set_worker (fixture->steps, &row, fixture->now_ms);
  gr_steps_add_inherited_worker (fixture->steps, id, fixture->now_ms);
}

/* The worker lists ends up to this one, of a job that is not known. */
static void
report (struct fixture *fixture,
        const char *worker,
        int64_t incarnation_unix_ms,
        int64_t last_end,
        bool all_ended)
{
  struct gr_ended_run ended = { .number = last_end,
                                .task = "00000000000000ff.0.0.0",
                                .run = 1,
                                .how = GR_END_DONE };
  struct gr_run_report reply = {
    .sent_ms = fixture->now_ms,
    .incarnation_unix_ms = incarnation_unix_ms,
    .n_ended = 1,
    .ended = &ended,
    .all_ended = all_ended,
  };

  gr_steps_process_report (fixture->steps, worker, &reply, fixture->now_ms);
}

static void
advance (struct fixture *fixture, int64_t for_ms)
{
  struct gr_order order;

  fixture->now_ms += for_ms;
  gr_steps_tick (fixture->steps, fixture->now_ms, 0);
  while (gr_steps_take_order (fixture->steps, NULL, NULL, &order))
    if (order.kind == GR_ORDER_START)
      fixture->starts[order.task[15] == 'b']++;
}

/* wa has listed a part of its ends to this owner, wb all. An inherited job
 * waits for each of them. */
static void
set_up (struct fixture *fixture)
{
  const struct gr_steps_settings settings = { .run_lease_ms = 7000,
                                              .max_hold_ms = 10000,
                                              .heartbeat_ms = 1500 };

  memset (fixture, 0, sizeof *fixture);
  fixture->now_ms = 100000;
  fixture->steps = gr_steps_create (&settings, 1, fixture->now_ms);
  gr_steps_set_queue (fixture->steps,
                      &(struct gr_steps_queue){ .name = "normal",
                                                .service = "service",
                                                .max_attempts = 3,
                                                .stretch = 1 });
  register_worker (fixture, "wa", "a", 1);
  register_worker (fixture, "wb", "b", 1);
  add_inherited_job (fixture, "000000000000000a", "a");
  add_inherited_job (fixture, "000000000000000b", "b");
  advance (fixture, 10);
  ck_assert_uint_eq (fixture->starts[0] + fixture->starts[1], 0);
  report (fixture, "wa", 1, 4, false);
  report (fixture, "wb", 1, 1, true);
}

static void
check_starts (const struct fixture *fixture, uint32_t a, uint32_t b)
{
  ck_assert_uint_eq (fixture->starts[0], a);
  ck_assert_uint_eq (fixture->starts[1], b);
}

static void
tear_down (struct fixture *fixture)
{
  gr_steps_destroy (fixture->steps);
}

/* Guards against inherited work that stands still for a list in which it cannot
 * be, and against polls that are late to read the rest of a list. */
START_TEST (only_work_that_can_be_in_the_list_waits)
{
  struct fixture fixture;

  set_up (&fixture);
  ck_assert_int_eq (gr_steps_poll_need (fixture.steps, "wa"), GR_POLL_NOW);
  advance (&fixture, 10);
  check_starts (&fixture, 0, 1);
  report (&fixture, "wa", 1, 8, true);
  advance (&fixture, 10);
  check_starts (&fixture, 1, 1);
  tear_down (&fixture);
}
END_TEST

/* Guards against the labels of another process under the same id: its entry
 * comes before its first answer, or late. */
START_TEST (labels_of_another_process_say_nothing)
{
  struct fixture fixture;

  set_up (&fixture);
  report (&fixture, "wa", 2, 1, false);
  advance (&fixture, 10);
  check_starts (&fixture, 0, 0);
  register_worker (&fixture, "wa", "c", 2);
  advance (&fixture, 10);
  check_starts (&fixture, 0, 1);
  tear_down (&fixture);
}
END_TEST

/* Guards against work that waits for the ends of a process that has ended. */
START_TEST (ended_process_holds_no_work)
{
  struct fixture fixture;

  set_up (&fixture);
  gr_steps_worker_gone (fixture.steps, "wa", fixture.now_ms, fixture.now_ms);
  register_worker (&fixture, "wc", "a", 1);
  report (&fixture, "wc", 1, 1, true);
  advance (&fixture, 10);
  check_starts (&fixture, 1, 1);
  tear_down (&fixture);
}
END_TEST

/* Guards against an owner that takes a worker for ended by mistake, and then
 * the first part of its list for the whole. */
START_TEST (worker_that_answers_after_all_is_read_to_the_end)
{
  struct fixture fixture;

  set_up (&fixture);
  gr_steps_worker_gone (fixture.steps, "wa", fixture.now_ms, fixture.now_ms);
  report (&fixture, "wa", 1, 5, false);
  advance (&fixture, 10);
  check_starts (&fixture, 0, 1);
  report (&fixture, "wa", 1, 8, true);
  advance (&fixture, 10);
  check_starts (&fixture, 1, 1);
  tear_down (&fixture);
}
END_TEST

/* Guards against an owner that starts a task although a successor may have read
 * its end, which the worker no longer lists. */
START_TEST (owner_beyond_its_lease_takes_no_list_for_read)
{
  struct fixture fixture;

  set_up (&fixture);
  advance (&fixture, 10);
  check_starts (&fixture, 0, 1);
  gr_steps_set_owner_lease (fixture.steps, fixture.now_ms);
  register_worker (&fixture, "wa", "a", 2);
  report (&fixture, "wa", 2, 1, true);
  advance (&fixture, 10);
  check_starts (&fixture, 0, 1);
  gr_steps_set_owner_lease (fixture.steps, fixture.now_ms + 2000);
  advance (&fixture, 10);
  check_starts (&fixture, 1, 1);
  tear_down (&fixture);
}
END_TEST

/* Guards against an upkeep that ends a process whose list is half read, and
 * with it the only record of these ends. */
START_TEST (worker_is_not_empty_before_its_list_is_read)
{
  struct fixture fixture;

  set_up (&fixture);
  ck_assert_uint_eq (gr_steps_worker_load (fixture.steps, "wa"), UINT32_MAX);
  ck_assert (!gr_steps_evacuate_worker (fixture.steps, "wa", true));
  report (&fixture, "wa", 1, 8, true);
  ck_assert_uint_eq (gr_steps_worker_load (fixture.steps, "wa"), 0);
  ck_assert (gr_steps_evacuate_worker (fixture.steps, "wa", true));
  tear_down (&fixture);
}
END_TEST

static bool
note_worker (const char *worker, void *context)
{
  bool *listed = context;

  *listed = *listed || g_str_equal (worker, "wa");
  return true;
}

/* Guards against a further successor that does not know of a worker without an
 * entry whose list is half read. */
START_TEST (worker_is_handed_over_until_its_list_is_read)
{
  struct fixture fixture;
  bool listed = false;

  set_up (&fixture);
  gr_steps_worker_unregistered (fixture.steps, "wa", 0, false, fixture.now_ms);
  for (int i = 0; i < 4; i++)
    {
      advance (&fixture, LEASE_EXPIRED_MS / 2);
      report (&fixture, "wa", 1, 4, false);
    }
  gr_steps_list_handover_workers (fixture.steps, note_worker, &listed);
  ck_assert (listed);
  advance (&fixture, LEASE_EXPIRED_MS);
  listed = false;
  gr_steps_list_handover_workers (fixture.steps, note_worker, &listed);
  ck_assert (!listed);
  tear_down (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("inventory");
  TCase *tests = tcase_create ("inventory");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, half_read_list_starts_no_ended_task_again, 1, 5);
  tcase_add_test (tests, list_stays_half_read_without_the_store);
  tcase_add_test (tests, later_jobs_do_not_wait);
  tcase_add_test (tests, gang_with_an_unread_end_is_not_started_again);
  tcase_add_test (tests, unread_failures_count_before_further_starts);
  tcase_add_test (tests, silent_worker_holds_work_for_a_lease_only);
  tcase_add_test (tests, only_work_that_can_be_in_the_list_waits);
  tcase_add_test (tests, labels_of_another_process_say_nothing);
  tcase_add_test (tests, ended_process_holds_no_work);
  tcase_add_test (tests, worker_that_answers_after_all_is_read_to_the_end);
  tcase_add_test (tests, owner_beyond_its_lease_takes_no_list_for_read);
  tcase_add_test (tests, worker_is_not_empty_before_its_list_is_read);
  tcase_add_test (tests, worker_is_handed_over_until_its_list_is_read);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
