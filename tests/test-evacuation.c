/* Tests of the decisions about evacuated data centres. That no start is sent to
 * one is an invariant of the model. */
#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>

#define PER_RACK 8

/* Racks of 8 workers, each in a data centre of its own: rack N in dcN. */
static struct steps_model *
create_data_centres (uint32_t n, uint32_t seed)
{
  struct steps_model *model = steps_fixture_create (n * PER_RACK, seed);
  char name[16];

  for (uint32_t i = PER_RACK; i < n * PER_RACK; i++)
    {
      g_snprintf (name, sizeof name, "dc%u", i / PER_RACK);
      steps_model_set_data_centre (model, i, name);
    }
  steps_model_run (model, 200);
  return model;
}

/* Guards against starts that are sent, or stay in effect, after the evacuation:
 * queued ones need no call, and one without a result takes its gang with it. */
START_TEST (starts_without_a_result_are_withdrawn)
{
  bool sent = _i == 1;
  struct steps_model *model = create_data_centres (2, 1);
  uint32_t before;

  steps_model_add_job (model, 1, "normal", "a", &steps_gang, 1, 1500);
  if (sent)
    steps_model_drop_results (model, 1);
  else
    steps_model_hold_orders (model, 3, true);
  steps_model_run (model, 20);
  before = steps_model_starts (model, 1);
  ck_assert_uint_eq (before, sent ? 8 : 7);
  steps_model_evacuate (model, "dc0", true);
  ck_assert_uint_eq (gr_steps_take_starts_withdrawn (steps_model_core (model)),
                     1);
  steps_model_hold_orders (model, 3, false);
  steps_model_run (model, 4000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), before + 8);
  ck_assert_uint_eq (steps_model_starts_on (model, 3), sent ? 1 : 0);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against confirmed runs that are stopped, also for the room that urgent
 * work needs, and against waiting work that is lost when all data centres are
 * evacuated, by this owner or a successor. */
START_TEST (confirmed_runs_continue_and_waiting_work_waits)
{
  struct steps_model *model = create_data_centres (2, 1);
  struct gr_step_spec full = steps_gang;

  full.gang = false;
  full.label = "rack0";
  steps_model_add_job (model, 1, "batch", "a", &full, 1, 4000);
  steps_model_run (model, 300);
  steps_model_evacuate (model, "dc0", true);
  steps_model_evacuate (model, "dc1", true);
  steps_model_set_guarantee (model, "b", 64);
  steps_model_add_job (model, 2, "urgent", "b", &steps_gang, 1, 500);
  steps_model_run (model, 1000);
  steps_model_new_owner (model);
  steps_model_run (model, 4000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 8);
  ck_assert_uint_eq (steps_model_starts (model, 2), 0);
  steps_model_evacuate (model, "dc1", false);
  steps_model_run (model, 2000);
  ck_assert_int_eq (steps_model_state (model, 2), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a reservation that keeps guaranteed work waiting for room in
 * an evacuated data centre. */
START_TEST (room_is_reclaimed_elsewhere)
{
  struct steps_model *model = create_data_centres (2, 1);
  struct gr_step_spec full = steps_gang;

  full.gang = false;
  full.count = 16;
  steps_model_add_job (model, 1, "batch", "a", &full, 1, 20000);
  steps_model_run (model, 300);
  steps_model_set_guarantee (model, "b", 64);
  steps_model_add_job (model, 2, "urgent", "b", &steps_gang, 1, 500);
  steps_model_run (model, 20);
  /* Both racks cost the same, so the first one is chosen. */
  steps_model_evacuate (model, "dc0", true);
  steps_model_run (model, 600);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 2), 0);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a gang that waits for a whole rack that only an evacuated data
 * centre has: its workers counted as capacity. */
START_TEST (evacuated_workers_are_not_capacity)
{
  struct steps_model *model = create_data_centres (3, 1);

  steps_model_evacuate (model, "dc0", true);
  for (uint32_t i = PER_RACK + 4; i < 2 * PER_RACK + 4; i++)
    steps_model_set_data_centre (model, i, "dc0");
  steps_model_add_job (model, 1, "normal", "a", &steps_gang, 1, 500);
  steps_model_run (model, 300);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 1), 0);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against lasting tasks that move all at once, stay for ever, or are
 * stopped although there is no room elsewhere. */
START_TEST (lasting_tasks_move_within_max_away)
{
  struct steps_model *model = create_data_centres (2, 1);
  struct gr_step_spec lasting = steps_plain;

  lasting.lasting = true;
  lasting.max_away = 1;
  steps_model_add_job (model, 1, "normal", "a", &lasting, 1, 500);
  steps_model_run (model, 1500);
  steps_model_evacuate (model, "dc1", true);
  steps_model_evacuate (model, "dc0", true);
  for (int i = 0; i < 300; i++)
    {
      if (i == 50)
        steps_model_evacuate (model, "dc1", false);
      steps_model_run (model, 20);
      ck_assert_uint_ge (steps_model_running (model, 1), i < 50 ? 4 : 3);
    }
  ck_assert_uint_eq (steps_model_running (model, 1), 4);
  ck_assert_uint_eq (steps_model_starts (model, 1), 8);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against starts by an owner that may not know of an evacuation yet. */
START_TEST (held_starts_wait)
{
  struct steps_model *model = create_data_centres (1, 1);
  struct gr_steps_counts counts;

  steps_model_add_job (model, 1, "urgent", "a", &steps_plain, 1, 500);
  steps_model_set_orders_per_tick (model, 0);
  steps_model_run (model, 20);
  gr_steps_hold_starts (steps_model_core (model), true);
  steps_model_set_orders_per_tick (model, UINT32_MAX);
  steps_model_add_job (model, 2, "urgent", "a", &steps_plain, 1, 500);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 0);
  gr_steps_counts (steps_model_core (model), &counts);
  ck_assert_uint_eq (counts.tasks_waiting, steps_plain.count);
  gr_steps_hold_starts (steps_model_core (model), false);
  steps_model_run (model, 3000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

static void
add_random_job (struct steps_model *model, GRand *rand, uint32_t number)
{
  static const char *const queues[] = { "urgent", "normal", "batch" };
  struct gr_step_spec step = steps_plain;

  step.gang = g_rand_boolean (rand);
  step.one_rack = step.gang && g_rand_boolean (rand);
  step.count = (uint32_t)g_rand_int_range (rand, 1, 9);
  step.needs.accelerators = (uint32_t)g_rand_int_range (rand, 1, 9);
  step.checkpointing = g_rand_boolean (rand);
  steps_model_add_job (model, number, queues[g_rand_int_range (rand, 0, 3)],
                       "a", &step, 1, g_rand_int_range (rand, 200, 3000));
}

/* Guards against broken rules, and jobs that never finish, when evacuations
 * begin and end at any moment, beside lost and late calls and takeovers. */
START_TEST (random_evacuations_break_no_rule)
{
  static const struct steps_model_faults faults = {
    .lose_answer = 0.02,
    .lose_order = 0.02,
    .late_order = 0.02,
    .lose_poll = 0.02,
    .max_transit_ms = 60,
  };
  struct steps_model *model = create_data_centres (3, (uint32_t)_i);
  GRand *rand = g_rand_new_with_seed ((guint32)_i);
  char name[16];

  steps_model_set_guarantee (model, "a", 64);
  steps_model_set_faults (model, &faults);
  for (uint32_t i = 1; i <= 80; i++)
    {
      add_random_job (model, rand, i);
      steps_model_run (model, (int64_t)g_rand_int_range (rand, 1, 20) * 20);
      g_snprintf (name, sizeof name, "dc%d", g_rand_int_range (rand, 0, 3));
      steps_model_evacuate (model, name, g_rand_int_range (rand, 0, 3) == 0);
      if (i % 40 == 0)
        steps_model_new_owner (model);
    }
  for (uint32_t i = 0; i < 3; i++)
    {
      g_snprintf (name, sizeof name, "dc%u", i);
      steps_model_evacuate (model, name, false);
    }
  steps_model_run (model, 60000);
  for (uint32_t i = 1; i <= 80; i++)
    ck_assert_msg (steps_model_state (model, i) == GR_JOB_COMPLETED,
                   "seed %d: job %u is not completed", _i, i);
  g_rand_free (rand);
  steps_fixture_destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("evacuation");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 30);
  tcase_add_loop_test (tests, starts_without_a_result_are_withdrawn, 0, 2);
  tcase_add_test (tests, confirmed_runs_continue_and_waiting_work_waits);
  tcase_add_test (tests, room_is_reclaimed_elsewhere);
  tcase_add_test (tests, evacuated_workers_are_not_capacity);
  tcase_add_test (tests, lasting_tasks_move_within_max_away);
  tcase_add_test (tests, held_starts_wait);
  tcase_add_loop_test (tests, random_evacuations_break_no_rule, 1, 13);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
