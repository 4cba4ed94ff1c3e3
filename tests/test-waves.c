#include "steps/tenure.h"
#include "steps/waves.h"
#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>

#define MACHINES 6
#define CAP 2
#define UPKEEP_MS 2000
#define TICK_MS 100

/* Model of machines whose upkeep takes some time; answers to orders can be
 * lost, so that orders are repeated. */
struct machine_model
{
  struct gr_steps *steps;
  struct gr_waves *waves;
  struct gr_machine machines[MACHINES];
  /* When the machine is up again; 0: it is up. */
  int64_t upkeep_end_ms[MACHINES];
  bool done[MACHINES];
  int64_t now_ms;
  uint32_t max_down;
  uint32_t upkeeps;
  /* Every Nth order takes effect without an answer; 0: none. */
  uint32_t lose_every;
  uint32_t orders;
  bool complete;
  bool store_works;
  int first_ordered; /* machine; -1: none */
  /* Lists in this time do not name the last machine. */
  int64_t missing_from_ms;
  int64_t missing_until_ms;
};

static void
machine_model_create (struct machine_model *model)
{
  static const char *const names[] = {
    "m0", "m1", "m2", "m3", "m4", "m5", NULL
  };
  static const struct gr_steps_settings settings = {
    .run_lease_ms = 7000,
    .heartbeat_ms = 1500,
    .gang_wait_ms = 3000,
    .reclaim_ms = 2700,
    .isolation_ms = 2500,
    .checkpoint_ms = 1000,
    .far_factor = 3,
  };

  *model = (struct machine_model){ .now_ms = 1000,
                                   .store_works = true,
                                   .first_ordered = -1 };
  model->steps = gr_steps_create (&settings, 1, 1000);
  model->waves = gr_waves_create (model->steps);
  for (int i = 0; i < MACHINES; i++)
    {
      model->machines[i].machine = g_strdup (names[i]);
      model->machines[i].worker = g_strdup_printf ("w%d", i);
    }
  gr_waves_set (model->waves, 1, names, CAP);
}

static void
machine_model_destroy (struct machine_model *model)
{
  gr_waves_destroy (model->waves);
  gr_steps_destroy (model->steps);
  for (int i = 0; i < MACHINES; i++)
    {
      g_free (model->machines[i].machine);
      g_free (model->machines[i].worker);
    }
}

static void
execute_upkeep (struct machine_model *model, int machine)
{
  if (model->done[machine])
    return;
  model->done[machine] = true;
  model->upkeeps++;
  model->machines[machine].state = GR_MACHINE_UPKEEP;
  model->upkeep_end_ms[machine] = model->now_ms + UPKEEP_MS;
}

/* The progress is stored at once. */
static void
store_progress (const struct gr_wave_progress *progress, void *context)
{
  struct machine_model *model = context;

  model->complete = progress->complete;
  if (model->store_works)
    gr_waves_stored (model->waves, progress->wave, progress->sequence);
}

static void
tick_waves (struct machine_model *model, int64_t now_ms)
{
  gr_waves_tick (model->waves, now_ms);
  gr_waves_each (model->waves, store_progress, model);
}

static size_t
listed_machines (const struct machine_model *model)
{
  bool misses = model->now_ms >= model->missing_from_ms
                && model->now_ms < model->missing_until_ms;

  return misses ? MACHINES - 1 : MACHINES;
}

static void
machine_model_tick (struct machine_model *model)
{
  struct gr_upkeep_order order;
  uint32_t down = 0;

  model->now_ms += TICK_MS;
  for (int i = 0; i < MACHINES; i++)
    {
      if (model->upkeep_end_ms[i] != 0
          && model->now_ms >= model->upkeep_end_ms[i])
        {
          model->upkeep_end_ms[i] = 0;
          model->machines[i].state = GR_MACHINE_UP;
        }
      down += model->upkeep_end_ms[i] != 0;
    }
  model->max_down = MAX (model->max_down, down);
  if (model->now_ms % 700 < TICK_MS)
    gr_waves_update_machines (model->waves, model->machines,
                              listed_machines (model), model->now_ms);
  gr_waves_tick (model->waves, model->now_ms);
  while (gr_waves_take_order (model->waves, &order))
    {
      enum gr_upkeep_result result = GR_UPKEEP_DONE;

      if (model->first_ordered < 0)
        model->first_ordered = order.machine[1] - '0';
      execute_upkeep (model, order.machine[1] - '0');
      model->orders++;
      if (model->lose_every > 0 && model->orders % model->lose_every == 0)
        result = GR_UPKEEP_UNKNOWN;
      gr_waves_result (model->waves, &order, result, model->now_ms);
    }
  gr_waves_each (model->waves, store_progress, model);
}

static void
machine_model_run (struct machine_model *model, int64_t for_ms)
{
  int64_t until_ms = model->now_ms + for_ms;

  while (model->now_ms < until_ms)
    machine_model_tick (model);
}

/* When answers were lost, more machines than the cap were down. */
START_TEST (wave_keeps_to_its_cap)
{
  for (uint32_t lose = 0; lose < 4; lose++)
    {
      struct machine_model model;

      machine_model_create (&model);
      model.lose_every = lose;
      machine_model_run (&model, 30000);
      ck_assert_uint_eq (model.upkeeps, MACHINES);
      ck_assert_uint_le (model.max_down, CAP);
      ck_assert (model.complete);
      machine_model_destroy (&model);
    }
}
END_TEST

/* A wave was reported complete before the upkeep of its last machine had
 * begun. */
START_TEST (wave_is_complete_only_at_the_end)
{
  struct machine_model model;

  machine_model_create (&model);
  while (!model.complete && model.now_ms < 60000)
    machine_model_tick (&model);
  ck_assert (model.complete);
  for (int i = 0; i < MACHINES; i++)
    ck_assert (model.done[i]);
  machine_model_destroy (&model);
}
END_TEST

/* One list without a machine ended its upkeep for good. */
START_TEST (machine_missing_from_one_list_has_its_upkeep)
{
  struct machine_model model;

  machine_model_create (&model);
  model.missing_from_ms = 2000;
  model.missing_until_ms = 2700;
  machine_model_run (&model, 30000);
  ck_assert_uint_eq (model.upkeeps, MACHINES);
  ck_assert_uint_le (model.max_down, CAP);
  ck_assert (model.complete);
  machine_model_destroy (&model);
}
END_TEST

/* A machine that was back in the lists was left out of its wave. */
START_TEST (machine_that_is_listed_again_has_its_upkeep)
{
  struct machine_model model;

  machine_model_create (&model);
  model.missing_until_ms = 20000;
  machine_model_run (&model, 18000);
  ck_assert_uint_eq (model.upkeeps, MACHINES - 1);
  ck_assert (model.complete);
  machine_model_run (&model, 10000);
  ck_assert_uint_eq (model.upkeeps, MACHINES);
  ck_assert (model.complete);
  machine_model_destroy (&model);
}
END_TEST

/* Guards against a former owner that goes on with a wave beside its successor,
 * which has started tasks on the machines: it had lost the store. */
START_TEST (wave_waits_without_a_lease)
{
  struct machine_model model;
  uint32_t before;

  machine_model_create (&model);
  machine_model_run (&model, 3000);
  before = model.upkeeps;
  ck_assert_uint_gt (before, 0);
  gr_steps_set_owner_lease (model.steps, model.now_ms);
  machine_model_run (&model, 9000);
  ck_assert_uint_eq (model.upkeeps, before);
  ck_assert (!model.complete);
  gr_steps_set_owner_lease (model.steps, INT64_MAX);
  machine_model_run (&model, 30000);
  ck_assert_uint_eq (model.upkeeps, MACHINES);
  ck_assert (model.complete);
  machine_model_destroy (&model);
}
END_TEST

/* A new owner repeated the upkeep of machines that a former owner had
 * finished. */
START_TEST (done_machines_are_not_ordered_again)
{
  struct machine_model model;

  machine_model_create (&model);
  gr_waves_restore (model.waves, 1, "m0");
  gr_waves_restore (model.waves, 1, "m3");
  machine_model_run (&model, 30000);
  ck_assert_uint_eq (model.upkeeps, MACHINES - 2);
  ck_assert (!model.done[0] && !model.done[3]);
  ck_assert (model.complete);
  machine_model_destroy (&model);
}
END_TEST

/* Guards against a machine that an order of a killed owner takes down while the
 * successor, which does not know of the order, has as many others down as
 * allowed. */
START_TEST (late_order_of_a_former_owner_counts_as_down)
{
  struct machine_model model;

  machine_model_create (&model);
  gr_waves_restore_open (model.waves, 1, "m4");
  gr_waves_restore_open (model.waves, 1, "m5");
  machine_model_run (&model, 1500);
  ck_assert_uint_eq (model.upkeeps, 2);
  ck_assert (model.done[4] && model.done[5]);
  machine_model_run (&model, 30000);
  ck_assert_uint_le (model.max_down, CAP);
  ck_assert (model.complete);
  machine_model_destroy (&model);
}
END_TEST

/* The same if the order is carried out before the successor sends its own. */
START_TEST (machine_in_upkeep_by_a_former_order_is_waited_for)
{
  struct machine_model model;

  machine_model_create (&model);
  gr_waves_restore_open (model.waves, 1, "m4");
  gr_waves_restore_open (model.waves, 1, "m5");
  execute_upkeep (&model, 4);
  execute_upkeep (&model, 5);
  machine_model_run (&model, 30000);
  ck_assert_uint_eq (model.upkeeps, MACHINES);
  ck_assert_uint_le (model.max_down, CAP);
  ck_assert (model.complete);
  machine_model_destroy (&model);
}
END_TEST

/* Guards against orders that are repeated behind one that a slow platform still
 * handles. */
START_TEST (order_is_not_repeated_before_its_result)
{
  struct machine_model model;
  struct gr_upkeep_order first = { 0 };
  struct gr_upkeep_order order;
  uint32_t taken = 0;

  machine_model_create (&model);
  gr_waves_update_machines (model.waves, model.machines, MACHINES, 1000);
  for (int64_t now_ms = 1100; now_ms < 5000; now_ms += TICK_MS)
    {
      tick_waves (&model, now_ms);
      while (gr_waves_take_order (model.waves, &order))
        if (taken++ == 0)
          first = order;
    }
  ck_assert_uint_eq (taken, CAP);
  gr_waves_result (model.waves, &first, GR_UPKEEP_UNKNOWN, 5000);
  tick_waves (&model, 5600);
  ck_assert (gr_waves_take_order (model.waves, &order));
  ck_assert_str_eq (order.machine, first.machine);
  ck_assert (!gr_waves_take_order (model.waves, &order));
  machine_model_destroy (&model);
}
END_TEST

/* Guards against an order that a successor cannot know of. */
START_TEST (machine_is_ordered_only_after_it_was_announced)
{
  struct machine_model model;

  machine_model_create (&model);
  model.store_works = false;
  machine_model_run (&model, 10000);
  ck_assert_int_eq (model.first_ordered, -1);
  model.store_works = true;
  machine_model_run (&model, 30000);
  ck_assert (model.complete);
  machine_model_destroy (&model);
}
END_TEST

static void
register_worker (struct gr_steps *steps, const char *id)
{
  static const char *const labels[] = { NULL };
  struct gr_steps_worker worker = { .id = id,
                                    .service = "s",
                                    .rack = "",
                                    .labels = labels,
                                    .capacity = { 9, 9, 9 } };

  gr_steps_set_worker (steps, &worker, 1000);
  gr_steps_add_inherited_worker (steps, id, 1000);
}

/* A worker that has answered a poll. */
static void
add_worker (struct gr_steps *steps, const char *id)
{
  struct gr_run_report report = { .all_ended = true };

  register_worker (steps, id);
  gr_steps_process_report (steps, id, &report, 1000);
}

static void
add_job (struct gr_steps *steps)
{
  struct gr_steps_queue queue = { .name = "q",
                                  .service = "s",
                                  .max_attempts = 3 };
  struct gr_step_spec step = { .count = 1, .needs = { 1, 1, 1 } };
  struct gr_job_spec job = { .id = "00000000000000a1",
                             .queue = (char *)"q",
                             .account = (char *)"a",
                             .payload = (char *)"",
                             .steps = &step,
                             .n_steps = 1 };

  gr_steps_set_queue (steps, &queue);
  gr_steps_add_job (steps, &job, NULL, false, 1000);
}

/* A machine's worker was replaced while the machine was closed for upkeep. The
 * new worker was not closed, so its runs ended with the upkeep. */
START_TEST (replaced_worker_of_a_closed_machine_gets_no_work)
{
  struct machine_model model;
  struct gr_order order;

  machine_model_create (&model);
  add_worker (model.steps, "w0");
  add_worker (model.steps, "new");
  gr_waves_update_machines (model.waves, model.machines, 1, 1000);
  gr_waves_tick (model.waves, 1100);
  g_free (model.machines[0].worker);
  model.machines[0].worker = g_strdup ("new");
  gr_waves_update_machines (model.waves, model.machines, 1, 1200);
  gr_waves_tick (model.waves, 1300);
  add_job (model.steps);
  gr_steps_tick (model.steps, 1400, 1400);
  ck_assert (gr_steps_take_order (model.steps, NULL, NULL, &order));
  ck_assert_str_eq (order.worker, "w0");
  machine_model_destroy (&model);
}
END_TEST

/* Guards against a new owner that takes workers which it has not polled yet for
 * empty ones, prefers them, and ends their runs by upkeeps. It need not wait
 * for a worker that never answers longer than for the leases of its runs. */
START_TEST (machine_of_a_worker_that_was_not_polled_is_not_empty)
{
  struct machine_model model;
  struct gr_order order;
  struct gr_upkeep_order upkeep;

  machine_model_create (&model);
  add_worker (model.steps, "w1");
  register_worker (model.steps, "w0");
  add_job (model.steps);
  gr_steps_tick (model.steps, 1400, 1400);
  ck_assert (gr_steps_take_order (model.steps, NULL, NULL, &order));
  ck_assert_str_eq (order.worker, "w1");
  gr_waves_update_machines (model.waves, model.machines, 2, 1500);
  tick_waves (&model, 1600);
  tick_waves (&model, 1700);
  ck_assert (!gr_waves_take_order (model.waves, &upkeep));
  gr_steps_tick (model.steps, 12000, 12000);
  gr_waves_update_machines (model.waves, model.machines, 2, 12000);
  tick_waves (&model, 12100);
  ck_assert (gr_waves_take_order (model.waves, &upkeep));
  machine_model_destroy (&model);
}
END_TEST

/* A wave that was added after the last machine list took its machines for up
 * and without a worker, and ordered their upkeep before they were emptied. */
START_TEST (machines_of_a_new_wave_are_listed_before_their_upkeep)
{
  static const char *const names[] = { "m5", NULL };
  struct machine_model model;
  struct gr_upkeep_order order;

  machine_model_create (&model);
  gr_waves_update_machines (model.waves, model.machines, MACHINES, 1000);
  tick_waves (&model, 1100);
  gr_waves_set (model.waves, 2, names, 1);
  for (int64_t now_ms = 1200; now_ms < 1600; now_ms += TICK_MS)
    tick_waves (&model, now_ms);
  while (gr_waves_take_order (model.waves, &order))
    ck_assert_int_eq (order.wave, 1);
  gr_waves_update_machines (model.waves, model.machines, MACHINES, 1600);
  for (int64_t now_ms = 1700; now_ms < 2000; now_ms += TICK_MS)
    tick_waves (&model, now_ms);
  do
    ck_assert (gr_waves_take_order (model.waves, &order));
  while (order.wave != 2);
  machine_model_destroy (&model);
}
END_TEST

/* A wave of one machine beside a model of workers with lasting tasks. Each
 * worker is taken by one lasting task, or two if they need half of it. */
struct lasting_model
{
  struct steps_model *model;
  struct gr_waves *waves;
  struct gr_machine machine; /* of the first worker */
  int64_t order_ms;          /* from the begin of the wave; -1: none yet */
};

static void
lasting_model_create (struct lasting_model *test,
                      uint32_t workers,
                      uint32_t tasks,
                      uint32_t accelerators,
                      uint32_t max_away)
{
  static const char *const names[] = { "m0", NULL };
  struct gr_step_spec lasting = steps_plain;

  test->model = steps_fixture_create (workers, 1);
  test->waves = gr_waves_create (steps_model_core (test->model));
  test->machine =
      (struct gr_machine){ .machine = (char *)"m0", .worker = (char *)"w000" };
  test->order_ms = -1;
  lasting.count = tasks;
  lasting.needs.accelerators = accelerators;
  lasting.lasting = true;
  lasting.max_away = max_away;
  steps_model_add_job (test->model, 1, "normal", "a", &lasting, 1, 500);
  steps_model_run (test->model, 2000);
  ck_assert_uint_eq (steps_model_running (test->model, 1),
                     MIN (tasks, workers * 8 / accelerators));
  ck_assert_uint_gt (steps_model_starts_on (test->model, 0), 0);
  gr_waves_set (test->waves, 1, names, 1);
}

static void
lasting_model_destroy (struct lasting_model *test)
{
  gr_waves_destroy (test->waves);
  steps_fixture_destroy (test->model);
}

/* Plays the wave for some time. Returns the fewest tasks that ran meanwhile. */
static uint32_t
play_wave (struct lasting_model *test, int64_t for_ms)
{
  int64_t begin_ms = steps_model_now_ms (test->model);
  uint32_t fewest = UINT32_MAX;

  for (int64_t at_ms = 0; at_ms < for_ms; at_ms += TICK_MS)
    {
      int64_t now_ms = begin_ms + at_ms;
      struct gr_upkeep_order order;

      gr_waves_update_machines (test->waves, &test->machine, 1, now_ms);
      gr_waves_tick (test->waves, now_ms);
      gr_waves_stored (test->waves, 1, 1);
      if (gr_waves_take_order (test->waves, &order) && test->order_ms < 0)
        test->order_ms = at_ms;
      steps_model_run (test->model, TICK_MS);
      fewest = MIN (fewest, steps_model_running (test->model, 1));
    }
  return fewest;
}

/* Guards against an upkeep that never begins, because a lasting task of a step
 * without max_away is at work on the machine. It moves to another worker at
 * once, as waiting would not end it. */
START_TEST (lasting_task_moves_before_an_upkeep)
{
  struct lasting_model test;

  lasting_model_create (&test, 2, 1, 8, 0);
  play_wave (&test, 3000);
  ck_assert_int_ge (test.order_ms, 0);
  ck_assert_int_le (test.order_ms, 1000);
  ck_assert_uint_eq (steps_model_running (test.model, 1), 1);
  ck_assert_uint_eq (steps_model_starts_on (test.model, 1), 1);
  lasting_model_destroy (&test);
}
END_TEST

/* Guards against lasting tasks that are all stopped together, although they can
 * move one by one. */
START_TEST (lasting_tasks_move_one_by_one)
{
  struct lasting_model test;

  lasting_model_create (&test, 2, 2, 4, 0);
  ck_assert_uint_eq (steps_model_starts_on (test.model, 0), 2);
  ck_assert_uint_ge (play_wave (&test, 3500), 1);
  ck_assert_int_ge (test.order_ms, 0);
  ck_assert_uint_eq (steps_model_starts_on (test.model, 1), 2);
  lasting_model_destroy (&test);
}
END_TEST

/* Guards against an upkeep that never begins, because no other worker has room
 * for a lasting task of the machine, or another task of its step waits for room
 * for good. It stays at work until the time limit for other runs. */
START_TEST (lasting_task_without_room_ends_for_an_upkeep)
{
  struct lasting_model test;

  lasting_model_create (&test, 2, (uint32_t)_i, 8, 0);
  ck_assert_uint_eq (play_wave (&test, 3500), 2);
  ck_assert_int_eq (test.order_ms, -1);
  play_wave (&test, 3000);
  ck_assert_int_ge (test.order_ms, 0);
  ck_assert_uint_eq (steps_model_running (test.model, 1), 1);
  lasting_model_destroy (&test);
}
END_TEST

/* Guards against an upkeep that ends a task of a step with max_away while as
 * many others are away: the third one has no room. */
START_TEST (max_away_holds_for_an_upkeep)
{
  struct lasting_model test;

  lasting_model_create (&test, 2, 3, 8, 1);
  ck_assert_uint_eq (play_wave (&test, 20000), 2);
  ck_assert_int_eq (test.order_ms, -1);
  lasting_model_destroy (&test);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("waves");
  TCase *tests = tcase_create ("waves");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, lasting_task_moves_before_an_upkeep);
  tcase_add_test (tests, lasting_tasks_move_one_by_one);
  tcase_add_loop_test (tests, lasting_task_without_room_ends_for_an_upkeep, 2,
                       4);
  tcase_add_test (tests, max_away_holds_for_an_upkeep);
  tcase_add_test (tests, wave_keeps_to_its_cap);
  tcase_add_test (tests, wave_is_complete_only_at_the_end);
  tcase_add_test (tests, machine_missing_from_one_list_has_its_upkeep);
  tcase_add_test (tests, machine_that_is_listed_again_has_its_upkeep);
  tcase_add_test (tests, wave_waits_without_a_lease);
  tcase_add_test (tests, done_machines_are_not_ordered_again);
  tcase_add_test (tests, late_order_of_a_former_owner_counts_as_down);
  tcase_add_test (tests, machine_in_upkeep_by_a_former_order_is_waited_for);
  tcase_add_test (tests, machine_is_ordered_only_after_it_was_announced);
  tcase_add_test (tests, order_is_not_repeated_before_its_result);
  tcase_add_test (tests, replaced_worker_of_a_closed_machine_gets_no_work);
  tcase_add_test (tests, machine_of_a_worker_that_was_not_polled_is_not_empty);
  tcase_add_test (tests, machines_of_a_new_wave_are_listed_before_their_upkeep);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
