/* Tests of order and placement by expected completion, on a model of workers.
 * The slowness that the core expects of a worker is that of the model. */
#include "steps/forecast.h"
#include "tests/steps-model.h"

#include <check.h>
#include <stdlib.h>

#define WORKERS 48
#define PER_RACK 12
#define FAST 0.55
#define SLOW 1.2

static double slowness_of[WORKERS];

double __wrap_gr_forecast_slowness (const struct gr_steps *steps,
                                    const struct worker *worker);

/* Replaces the learned slowness; see wrapped_functions in meson.build. */
double
__wrap_gr_forecast_slowness (const struct gr_steps *steps,
                             const struct worker *worker)
{
  (void)steps;
  return slowness_of[g_ascii_strtoull (worker->id + 1, NULL, 10)];
}

/* Which workers of each rack are fast; the others are slow. */
enum fast
{
  FIRST_3,
  LAST_3,
  ALIKE, /* all workers have a slowness of 1.0 */
};

static double
slowness_in_rack (enum fast fast, uint32_t number)
{
  if (fast == ALIKE)
    return 1.0;
  return (fast == FIRST_3 ? number : PER_RACK - 1 - number) < 3 ? FAST : SLOW;
}

static struct steps_model *
create (enum gr_mode mode, enum fast fast, uint32_t seed)
{
  struct steps_model *model =
      steps_model_create_with (WORKERS, PER_RACK, seed, mode);

  steps_model_set_queue (model, "urgent", 0, 3);
  steps_model_set_queue (model, "rebuild", 1, 3);
  steps_model_set_queue (model, "batch", 2, 3);
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      slowness_of[i] = slowness_in_rack (fast, i % PER_RACK);
      steps_model_set_slowness (model, i, slowness_of[i]);
    }
  steps_model_run (model, 500);
  return model;
}

static void
set_objective (struct steps_model *model,
               const char *name,
               uint32_t priority,
               uint32_t objective_ms,
               double stretch)
{
  struct gr_steps_queue queue = {
    .name = name,
    .service = "render",
    .priority = priority,
    .max_attempts = 3,
    .objective_ms = objective_ms,
    .stretch = stretch,
  };

  gr_steps_set_queue (steps_model_core (model), &queue);
}

static void
destroy (struct steps_model *model)
{
  ck_assert_msg (steps_model_violation (model) == NULL, "%s",
                 steps_model_violation (model));
  steps_model_destroy (model);
}

static void
add (struct steps_model *model,
     uint32_t number,
     const char *queue,
     uint32_t count,
     uint32_t accelerators,
     uint32_t run_ms)
{
  bool gang = !g_str_equal (queue, "batch");
  struct gr_step_spec step = {
    .count = count,
    .needs = { 1000, 1000, accelerators },
    .estimate_ms = run_ms,
    .gang = gang,
    .one_rack = gang,
  };

  steps_model_add_job (model, number, queue, "a", &step, 1, run_ms);
}

static uint32_t
starts_on (const struct steps_model *model, double slowness)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < WORKERS; i++)
    if (slowness_of[i] == slowness)
      n += steps_model_starts_on (model, i);
  return n;
}

/* Half of the load needs fast workers for its objective, the other half has
 * slack. Guards against work with slack that takes the fast workers, so that
 * urgent work runs on slow ones. */
START_TEST (work_with_slack_leaves_fast_workers_free)
{
  struct steps_model *model = create (GR_MODE_ON, FIRST_3, 1);

  set_objective (model, "urgent", 0, 300, 1.5);
  add (model, 1, "batch", 200, 1, 8000);
  add (model, 2, "rebuild", 4, 8, 8000);
  steps_model_run (model, 100);
  ck_assert_uint_eq (starts_on (model, FAST), 0);
  add (model, 3, "urgent", 3, 8, 2200);
  steps_model_run (model, 100);
  ck_assert_uint_eq (starts_on (model, FAST), 3);
  steps_model_run (model, 1400);
  ck_assert_int_eq (steps_model_state (model, 3), GR_JOB_COMPLETED);
  /* At full load the fast workers fill up too. */
  add (model, 4, "batch", 400, 1, 8000);
  steps_model_run (model, 100);
  ck_assert_uint_ge (starts_on (model, FAST), 3 + 12 * 8);
  destroy (model);
}
END_TEST

/* A batch job that is short of time beside free workers of both kinds. Guards
 * against work with slack that stays on slow workers once they would make it
 * late. */
START_TEST (work_without_slack_takes_fast_workers)
{
  struct steps_model *model = create (GR_MODE_ON, LAST_3, 1);

  set_objective (model, "batch", 2, 0, 1.1);
  add (model, 1, "batch", 8, 1, 4000);
  steps_model_run (model, 100);
  ck_assert_uint_eq (starts_on (model, FAST), 8);
  destroy (model);
}
END_TEST

/* A gang of five on racks with three fast workers each. Guards against a gang
 * that takes fast workers although its slowest member makes it slow. */
START_TEST (gang_takes_no_fast_member_beside_a_slow_one)
{
  struct steps_model *model = create (GR_MODE_ON, FIRST_3, 1);

  set_objective (model, "urgent", 0, 300, 1.5);
  add (model, 1, "urgent", 5, 8, 2200);
  steps_model_run (model, 100);
  ck_assert_uint_eq (starts_on (model, SLOW), 5);
  destroy (model);
}
END_TEST

/* The number of starts on each worker, over a load of small jobs that never has
 * to wait. */
static void
play_light_load (enum gr_mode mode, enum fast fast, uint32_t starts[WORKERS])
{
  struct steps_model *model = create (mode, fast, 7);
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  static const char *const queues[] = { "urgent", "rebuild", "batch" };

  for (uint32_t number = 1; number <= 150; number++)
    {
      add (model, number, queues[g_rand_int_range (rand, 0, 3)],
           (uint32_t)g_rand_int_range (rand, 1, 17),
           (uint32_t)g_rand_int_range (rand, 1, 5),
           (uint32_t)g_rand_int_range (rand, 500, 3000));
      steps_model_run (model, 160);
    }
  for (uint32_t i = 0; i < WORKERS; i++)
    starts[i] = steps_model_starts_on (model, i);
  destroy (model);
}

/* Guards against a choice that differs from the plain one although all workers
 * are alike, and against one that is applied in observe mode. */
START_TEST (alike_workers_and_observing_change_nothing)
{
  uint32_t plain[WORKERS];
  uint32_t others[WORKERS];

  play_light_load (GR_MODE_OFF, ALIKE, plain);
  play_light_load (GR_MODE_ON, ALIKE, others);
  ck_assert_mem_eq (plain, others, sizeof plain);
  play_light_load (GR_MODE_OFF, LAST_3, plain);
  play_light_load (GR_MODE_OBSERVE, LAST_3, others);
  ck_assert_mem_eq (plain, others, sizeof plain);
}
END_TEST

/* What callers get under an overload of batch jobs. */
struct outcome
{
  uint32_t in_time;
  uint32_t large; /* jobs of the largest tenth */
  uint32_t large_in_time;
  uint32_t unfinished;
};

#define OVERLOAD_JOBS 160

/* For 40 s, batch jobs arrive that need 1.4 times what 384 accelerators can do:
 * 10 to 80 tasks of 2 or 9 s each, then nothing for 60 s. */
static struct outcome
play_overload (enum gr_mode mode, uint32_t seed)
{
  struct steps_model *model = create (mode, ALIKE, seed);
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  int64_t objective_ms[OVERLOAD_JOBS + 1];
  uint32_t counts[OVERLOAD_JOBS + 1];
  struct outcome outcome = { 0 };

  set_objective (model, "batch", 2, 2000, 2);
  for (uint32_t i = 1; i <= OVERLOAD_JOBS; i++)
    {
      uint32_t run_ms = g_rand_boolean (rand) ? 2000 : 9000;

      counts[i] = (uint32_t)g_rand_int_range (rand, 10, 51);
      if (i % 10 == 0)
        counts[i] = 80;
      objective_ms[i] = 2000 + 2 * run_ms;
      add (model, i, "batch", counts[i], 1, run_ms);
      steps_model_run (model, 250);
    }
  steps_model_run (model, 60000);
  for (uint32_t i = 1; i <= OVERLOAD_JOBS; i++)
    {
      int64_t completion_ms = steps_model_completion_ms (model, i);
      bool in_time = completion_ms >= 0 && completion_ms <= objective_ms[i];

      outcome.in_time += in_time;
      outcome.large += counts[i] == 80;
      outcome.large_in_time += in_time && counts[i] == 80;
      outcome.unfinished += completion_ms < 0;
    }
  destroy (model);
  return outcome;
}

/* Guards against an order under which fewer jobs meet their objective than by
 * arrival, large jobs are served less than half as often as the others, or some
 * are never served. */
START_TEST (overload_serves_more_jobs_in_time)
{
  struct outcome by_arrival = play_overload (GR_MODE_OFF, (uint32_t)_i + 1);
  struct outcome ordered = play_overload (GR_MODE_ON, (uint32_t)_i + 1);
  double large_share;

  ck_assert_uint_gt (ordered.in_time, by_arrival.in_time);
  large_share = (double)ordered.large_in_time / ordered.large;
  ck_assert_double_ge (large_share,
                       0.5 * (double)ordered.in_time / OVERLOAD_JOBS);
  ck_assert_uint_eq (ordered.unfinished, 0);
}
END_TEST

/* Four urgent gangs run on all fast workers; a fifth arrives 0.3 s before they
 * end. Returns the time until it completes. */
static int64_t
play_late_gang (uint32_t guarantee, int64_t *start_delay_ms)
{
  struct steps_model *model = create (GR_MODE_ON, FIRST_3, 1);
  int64_t completion_ms;

  set_objective (model, "urgent", 0, 300, 1.2);
  for (uint32_t i = 1; i <= 4; i++)
    add (model, i, "urgent", 3, 8, 2200);
  steps_model_run (model, 900);
  ck_assert_uint_eq (starts_on (model, FAST), 12);
  steps_model_set_guarantee (model, "a", guarantee);
  add (model, 5, "urgent", 3, 8, 2200);
  steps_model_run (model, 3000);
  completion_ms = steps_model_completion_ms (model, 5);
  *start_delay_ms = steps_model_start_delay_ms (model, 5);
  destroy (model);
  return completion_ms;
}

/* Guards against an urgent gang that runs for 2.6 s on slow workers although
 * fast ones are free in 0.3 s, and against guaranteed work that waits. */
START_TEST (urgent_gang_waits_for_fast_workers_that_are_nearly_free)
{
  int64_t start_delay_ms;

  ck_assert_int_lt (play_late_gang (0, &start_delay_ms), 2000);
  ck_assert_int_le (start_delay_ms, 600);
  ck_assert_int_gt (play_late_gang (400, &start_delay_ms), 2400);
  ck_assert_int_le (start_delay_ms, 100);
}
END_TEST

/* Batch tasks, one half of 0.2 s, the other of 1 to 4 s, keep all workers busy;
 * after 6 s a gang arrives that needs 10 of the 12 workers of a rack. Returns
 * how long it waits, or -1.
 */
static int64_t
play_wide_gang (enum gr_mode mode, uint32_t seed)
{
  struct steps_model *model = create (mode, ALIKE, seed);
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  struct gr_steps_counts counts;
  uint32_t most_idle = 0;
  int64_t waited_ms;

  set_objective (model, "rebuild", 1, 30000, 3);
  set_objective (model, "batch", 2, 60000, 3);
  for (uint32_t i = 1; i <= 300; i++)
    {
      add (model, i, "batch", 20, 1,
           i % 2 == 0 ? 200 : (uint32_t)g_rand_int_range (rand, 1000, 4000));
      if (i == 100)
        add (model, 1000, "rebuild", 10, 8, 3000);
      steps_model_run (model, 60);
      gr_steps_counts (steps_model_core (model), &counts);
      if (i > 100)
        most_idle =
            MAX (most_idle, counts.accelerators - counts.accelerators_used);
    }
  waited_ms = steps_model_start_delay_ms (model, 1000);
  if (mode == GR_MODE_ON)
    {
      ck_assert_uint_ge (counts.placement.reservations_kept, 1);
      ck_assert_uint_gt (counts.placement.tasks_backfilled, 0);
      /* One rack, and what ends between two passes. */
      ck_assert_uint_le (most_idle, PER_RACK * 8 + 24);
    }
  destroy (model);
  return waited_ms;
}

/* Guards against small tasks that take each accelerator as it becomes free, so
 * that a wide gang never finds a rack. */
START_TEST (wide_gang_keeps_its_turn)
{
  int64_t waited_ms = play_wide_gang (GR_MODE_ON, (uint32_t)_i + 1);

  ck_assert_int_eq (play_wide_gang (GR_MODE_OFF, (uint32_t)_i + 1), -1);
  ck_assert_int_ge (waited_ms, 0);
  /* The longest run that was there, and one that was expected to end sooner. */
  ck_assert_int_le (waited_ms, 8000);
}
END_TEST

/* Guards against a gang that waits for faster workers and loses them to batch
 * work that arrives all the time, because their reservation ends before the
 * wait. */
START_TEST (gang_that_waits_keeps_its_workers)
{
  struct steps_model *model = create (GR_MODE_ON, FIRST_3, 1);

  set_objective (model, "urgent", 0, 300, 1.3);
  for (uint32_t i = 1; i <= 12; i++)
    add (model, i, "urgent", 1, 8, 8000 + i * 100);
  steps_model_run (model, 2400);
  add (model, 500, "urgent", 3, 8, 8000);
  for (uint32_t i = 0; i < 150; i++)
    {
      add (model, 1000 + i, "batch", 20, 1, 6000);
      steps_model_run (model, 100);
    }
  ck_assert_int_ge (steps_model_completion_ms (model, 500), 0);
  /* Its objective: 300 ms and 1.3 times its run time of 8 s. */
  ck_assert_int_le (steps_model_completion_ms (model, 500), 10700);
  steps_model_destroy (model);
}
END_TEST

/* Guards against a queue with many wide gangs that plans the next rack for each
 * of them in turn, so that the gang of another queue, which is due first, never
 * starts. */
START_TEST (wide_gangs_of_two_queues_take_turns)
{
  struct steps_model *model = create (GR_MODE_ON, ALIKE, 3);

  steps_model_set_queue (model, "nightly", 1, 3);
  set_objective (model, "rebuild", 1, 30000, 3);
  set_objective (model, "nightly", 1, 30000, 3);
  set_objective (model, "batch", 2, 60000, 3);
  for (uint32_t i = 1; i <= 1500; i++)
    {
      if (i % 2 == 0)
        add (model, i, "batch", 20, 1, 2000);
      if (i % 6 == 0)
        add (model, 10000 + i, "rebuild", 10, 8, 3000);
      if (i == 300)
        add (model, 5000, "nightly", 12, 8, 8000);
      steps_model_run (model, 100);
    }
  ck_assert_int_ge (steps_model_start_delay_ms (model, 5000), 0);
  /* Its objective: 30 s and 3 times its run time of 8 s. */
  ck_assert_int_le (steps_model_start_delay_ms (model, 5000), 54000);
  steps_model_destroy (model);
}
END_TEST

/* Adds runs of the queue "batch" that only workers of the rack may take, at
 * most one on each worker. */
static void
fill_rack (struct steps_model *model,
           uint32_t number,
           const char *rack,
           uint32_t count,
           uint32_t accelerators,
           uint32_t run_ms)
{
  g_autofree char *label = g_strdup (rack);
  struct gr_step_spec step = {
    .count = count,
    .needs = { 1000, 1000, accelerators },
    .estimate_ms = run_ms,
    .label = label,
    .max_per_worker = 1,
  };

  steps_model_add_job (model, number, "batch", "a", &step, 1, run_ms);
}

#define PLANNED_GANG 100
#define LASTING 101

/* A gang needs a whole rack. The first one is planned for it, and one
 * accelerator of each worker there is in use for 40 s. The second rack is in
 * use for 50 s, by a job with its number for each worker, and the others for
 * 80 s, but for free_workers of the last one. A lasting task of one accelerator
 * arrives while the gang waits. */
static struct steps_model *
add_lasting_task_beside_plan (uint32_t free_workers)
{
  struct steps_model *model = create (GR_MODE_ON, ALIKE, 3);
  struct gr_steps_counts counts;
  struct gr_step_spec lasting = {
    .count = 1,
    .needs = { 1000, 1000, 1 },
    .lasting = true,
  };

  set_objective (model, "rebuild", 1, 60000, 3);
  set_objective (model, "batch", 2, 60000, 3);
  for (uint32_t i = 0; i < PER_RACK; i++)
    fill_rack (model, PER_RACK + i, "rack1", 1, 8, 50000);
  fill_rack (model, 1, "rack0", PER_RACK, 1, 40000);
  fill_rack (model, 2, "rack2", PER_RACK, 8, 80000);
  fill_rack (model, 3, "rack3", PER_RACK - free_workers, 8, 80000);
  steps_model_run (model, 500);
  add (model, PLANNED_GANG, "rebuild", PER_RACK, 8, 3000);
  steps_model_run (model, 500);
  gr_steps_counts (steps_model_core (model), &counts);
  ck_assert_uint_eq (counts.placement.reservations_made, 1);
  steps_model_add_job (model, LASTING, "rebuild", "a", &lasting, 1, 500);
  steps_model_run (model, 500);
  ck_assert_int_ge (steps_model_start_delay_ms (model, LASTING), 0);
  ck_assert_int_le (steps_model_start_delay_ms (model, LASTING), 200);
  return model;
}

/* Guards against a lasting task that waits behind the plan of a gang, for as
 * long as the longest run that is in the way of the gang. */
START_TEST (lasting_task_does_not_wait_for_a_planned_gang)
{
  destroy (add_lasting_task_beside_plan (0));
}
END_TEST

/* Guards against a lasting task that is not tried, because a task of its queue
 * that goes before it, and needs as much, may not enter the plan. */
START_TEST (lasting_task_passes_a_task_that_waits_for_a_plan)
{
  struct steps_model *model = create (GR_MODE_ON, ALIKE, 3);
  struct gr_step_spec step = {
    .count = 1,
    .needs = { 1000, 1000, 1 },
    .estimate_ms = 60000,
  };

  set_objective (model, "rebuild", 1, 60000, 3);
  set_objective (model, "batch", 2, 60000, 3);
  /* Its tasks of 60 s are aged after 1.5 s. */
  set_objective (model, "nightly", 1, 3000, 1);
  fill_rack (model, 1, "rack0", PER_RACK, 1, 40000);
  for (uint32_t i = 2; i <= 4; i++)
    {
      g_autofree char *rack = g_strdup_printf ("rack%u", i - 1);

      fill_rack (model, i, rack, PER_RACK, 8, 80000);
    }
  steps_model_run (model, 500);
  add (model, PLANNED_GANG, "rebuild", PER_RACK, 8, 3000);
  steps_model_run (model, 500);
  steps_model_add_job (model, 5, "nightly", "a", &step, 1, 60000);
  steps_model_run (model, 2000);
  ck_assert_int_eq (steps_model_start_delay_ms (model, 5), -1);
  step.lasting = true;
  steps_model_add_job (model, LASTING, "nightly", "a", &step, 1, 500);
  steps_model_run (model, 500);
  ck_assert_int_ge (steps_model_start_delay_ms (model, LASTING), 0);
  ck_assert_int_le (steps_model_start_delay_ms (model, LASTING), 200);
  destroy (model);
}
END_TEST

/* Guards against a gang whose plan stays on a rack that a lasting task has
 * entered: long tasks, which arrive all the time, take the workers of the next
 * rack, which become free one by one. */
START_TEST (gang_is_planned_elsewhere_after_a_lasting_task)
{
  struct steps_model *model = add_lasting_task_beside_plan (0);

  for (uint32_t i = 0; i < 100; i++)
    {
      if (i % 5 == 0 && i / 5 < PER_RACK)
        steps_model_cancel_job (model, PER_RACK + i / 5);
      add (model, 1000 + i, "batch", 20, 1, 60000);
      steps_model_run (model, 100);
    }
  ck_assert_int_ge (steps_model_start_delay_ms (model, PLANNED_GANG), 0);
  ck_assert_int_le (steps_model_start_delay_ms (model, PLANNED_GANG), 8000);
  destroy (model);
}
END_TEST

/* Guards against a lasting task that enters a planned rack, although another
 * one with more free room can take it, so that the gang starts later without
 * need. */
START_TEST (lasting_task_prefers_room_that_is_not_planned)
{
  struct steps_model *model = add_lasting_task_beside_plan (PER_RACK - 1);

  steps_model_run (model, 42000);
  ck_assert_int_ge (steps_model_start_delay_ms (model, PLANNED_GANG), 0);
  ck_assert_int_le (steps_model_start_delay_ms (model, PLANNED_GANG), 41000);
  destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placement");
  TCase *tests = tcase_create ("placement");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, gang_that_waits_keeps_its_workers);
  tcase_add_test (tests, wide_gangs_of_two_queues_take_turns);
  tcase_add_test (tests, lasting_task_does_not_wait_for_a_planned_gang);
  tcase_add_test (tests, lasting_task_passes_a_task_that_waits_for_a_plan);
  tcase_add_test (tests, gang_is_planned_elsewhere_after_a_lasting_task);
  tcase_add_test (tests, lasting_task_prefers_room_that_is_not_planned);
  tcase_add_test (tests, work_with_slack_leaves_fast_workers_free);
  tcase_add_test (tests, work_without_slack_takes_fast_workers);
  tcase_add_test (tests, gang_takes_no_fast_member_beside_a_slow_one);
  tcase_add_test (tests, alike_workers_and_observing_change_nothing);
  tcase_add_test (tests,
                  urgent_gang_waits_for_fast_workers_that_are_nearly_free);
  tcase_add_loop_test (tests, wide_gang_keeps_its_turn, 0, 3);
  tcase_add_loop_test (tests, overload_serves_more_jobs_in_time, 0, 5);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
