#include "tests/steps-fixture.h"
#include "tests/steps-model-private.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

/* Preemption with a budget (settings.budget): rounds, runs that are waited for,
 * victims, the limit of the cost, and a load with the budget off and on. */

#define RECLAIM_MS 2700 /* of the model */
#define STOP_DURATION_MS 900

/* Fills one worker. */
static const struct gr_step_spec batch_step = {
  .count = 8,
  .needs = { 10000, 20000, 1 },
  .estimate_ms = 8000,
};

static const struct gr_step_spec urgent_step = {
  .count = 1,
  .needs = { 15000, 20000, 8 },
  .estimate_ms = 500,
  .gang = true,
  .one_rack = true,
};

static struct steps_model *
create_model (uint32_t workers, enum gr_mode budget)
{
  struct steps_model *model = steps_model_create (workers, 8, 1);

  steps_model_set_preemption (model, budget, STOP_DURATION_MS);
  steps_model_set_queue (model, "urgent", 0, 3);
  steps_model_set_queue (model, "normal", 1, 3);
  steps_model_set_queue (model, "batch", 2, 3);
  steps_model_set_guarantee (model, "guaranteed", 64);
  return model;
}

static struct gr_preemption_counts
get_counts (struct steps_model *model)
{
  struct gr_steps_counts counts;

  gr_steps_counts (steps_model_core (model), &counts);
  return counts.preemption;
}

/* Job 1 fills worker 0, and job 2 worker 1 half a second later. */
static struct steps_model *
create_full_pair (int64_t work_ms, int64_t later_work_ms)
{
  struct steps_model *model = create_model (2, GR_MODE_ON);

  steps_model_add_job (model, 1, "batch", "", &batch_step, 1, work_ms);
  steps_model_run (model, 500);
  steps_model_add_job (model, 2, "batch", "", &batch_step, 1, later_work_ms);
  return model;
}

/* Runs that were about to end were stopped, and their work was lost. */
START_TEST (runs_that_end_soon_are_waited_for)
{
  struct steps_model *model = create_full_pair (8000, 20000);

  steps_model_run (model, 6900);
  steps_model_add_job (model, 3, "urgent", "guaranteed", &urgent_step, 1, 500);
  steps_model_run (model, 1200);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 3), 0);
  ck_assert_uint_eq (get_counts (model).runs[0], 0);
  ck_assert_uint_eq (get_counts (model).awaited_runs, 8);
  steps_fixture_destroy (model);
}
END_TEST

/* A run stalls just before its end. Guaranteed work must not wait for it
 * again: the second round stops it and still leaves time for the start. */
START_TEST (run_that_does_not_end_is_stopped_in_the_next_round)
{
  struct steps_model *model = create_full_pair (8000, 20000);
  struct model_worker *worker = model->workers->pdata[0];

  steps_model_run (model, 6900);
  steps_model_add_job (model, 3, "urgent", "guaranteed", &urgent_step, 1, 500);
  steps_model_run (model, 20);
  for (guint i = 0; i < worker->runs->len; i++)
    ((struct model_run *)worker->runs->pdata[i])->pace = 0;
  steps_model_run (model, RECLAIM_MS);
  ck_assert_int_gt (steps_model_start_delay_ms (model, 3), STOP_DURATION_MS);
  ck_assert_int_le (steps_model_start_delay_ms (model, 3), RECLAIM_MS);
  ck_assert_uint_eq (get_counts (model).runs[0], 8);
  steps_fixture_destroy (model);
}
END_TEST

/* Reclaiming tried again after 700 ms, before stops of 900 ms had ended. Until
 * then no further run may be stopped for the step. */
START_TEST (no_further_run_is_stopped_within_a_round)
{
  struct steps_model *model = create_full_pair (20000, 20000);

  steps_model_run (model, 2000);
  steps_model_add_job (model, 3, "urgent", "guaranteed", &urgent_step, 1, 500);
  for (int i = 0; i < 45; i++)
    {
      steps_model_run (model, 20);
      ck_assert_uint_eq (get_counts (model).runs[0], 8);
    }
  steps_model_run (model, 200);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 3), 0);
  ck_assert_uint_eq (steps_model_running (model, 1), 8);
  steps_fixture_destroy (model);
}
END_TEST

/* The worker with the stops is lost; waiting for the end of the round would
 * leave too little time. */
START_TEST (lost_worker_ends_the_round)
{
  struct steps_model *model = create_full_pair (20000, 20000);

  steps_model_run (model, 2000);
  steps_model_add_job (model, 3, "urgent", "guaranteed", &urgent_step, 1, 500);
  steps_model_run (model, 60);
  steps_model_set_worker_unreachable (model, 1, true);
  steps_model_run (model, 400 + STOP_DURATION_MS);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 3), 0);
  ck_assert_uint_eq (get_counts (model).runs[0], 16);
  steps_fixture_destroy (model);
}
END_TEST

/* A gang on two workers was counted on each of them, so two workers with more
 * to lose in total were chosen. */
START_TEST (gang_is_counted_once)
{
  struct gr_step_spec gang = urgent_step;
  struct gr_step_spec urgent = urgent_step;
  struct steps_model *model = create_model (4, GR_MODE_ON);
  struct gr_preemption_counts counts;

  gang.count = 4;
  gang.needs = (struct gr_resources){ 10000, 20000, 4 };
  urgent.count = 2;
  steps_model_add_job (model, 1, "normal", "", &gang, 1, 20000);
  steps_model_run (model, 500);
  for (uint32_t i = 2; i <= 3; i++)
    steps_model_add_job (model, i, "batch", "", &batch_step, 1, 20000);
  steps_model_run (model, 2000);
  steps_model_add_job (model, 4, "urgent", "guaranteed", &urgent, 1, 500);
  steps_model_run (model, 1200);
  counts = get_counts (model);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 4), 0);
  ck_assert_uint_eq (counts.runs[0], gang.count);
  ck_assert_double_eq_tol (counts.core_s[0], counts.planned_core_s, 0.01);
  steps_fixture_destroy (model);
}
END_TEST

/* Urgent work beyond the guarantee cost far more than it used. It must be
 * refused once and start when the runs have ended. */
START_TEST (work_beyond_the_guarantee_keeps_its_budget)
{
  struct steps_model *model = create_full_pair (6000, 6000);

  steps_model_run (model, 2000);
  steps_model_add_job (model, 3, "urgent", "other", &urgent_step, 1, 500);
  steps_model_run (model, 2000);
  ck_assert_int_eq (steps_model_start_delay_ms (model, 3), -1);
  steps_model_run (model, 2500);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 3), 0);
  ck_assert_uint_eq (get_counts (model).refused_steps, 1);
  ck_assert_double_le (get_counts (model).core_s[1], 79 * 0.5);
  steps_fixture_destroy (model);
}
END_TEST

/* A gang that was stopped must not lose its place to one that came later. */
START_TEST (stopped_gang_keeps_its_place)
{
  struct gr_step_spec gang = urgent_step;
  struct steps_model *model = create_model (1, GR_MODE_ON);

  steps_model_run (model, 200);
  steps_model_add_job (model, 1, "normal", "", &gang, 1, 3000);
  steps_model_run (model, 500);
  steps_model_add_job (model, 2, "normal", "", &gang, 1, 3000);
  steps_model_add_job (model, 3, "urgent", "guaranteed", &urgent_step, 1, 500);
  steps_model_run (model, 12000);
  ck_assert_uint_eq (get_counts (model).runs[0], 1);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  ck_assert_int_lt (steps_model_completion_ms (model, 1), 6500);
  ck_assert_int_gt (steps_model_completion_ms (model, 2), 6500);
  steps_fixture_destroy (model);
}
END_TEST

/* Stops began 500 ms before a worker left and took longer, so work that a
 * checkpoint could have saved was lost. */
START_TEST (work_is_saved_before_a_worker_leaves)
{
  struct gr_step_spec saved = batch_step;
  struct steps_model *model = create_model (1, GR_MODE_ON);

  saved.checkpointing = true;
  steps_model_add_job (model, 1, "batch", "", &saved, 1, 20000);
  steps_model_run (model, 2500);
  steps_model_notify_leave (model, 0, 1500, 0);
  steps_model_run (model, 1500);
  ck_assert_uint_eq (steps_model_running (model, 1), 0);
  ck_assert_double_le (steps_model_wasted_accelerator_s (model), 0.01);
  steps_fixture_destroy (model);
}
END_TEST

/* One plan must not stop more tasks of a lasting step than max_away, and none
 * for a gang that cannot fit then. */
START_TEST (plan_respects_max_away)
{
  struct gr_step_spec lasting = urgent_step;
  struct gr_step_spec urgent = urgent_step;
  struct steps_model *model = create_model (4, GR_MODE_ON);

  lasting.count = 4;
  lasting.gang = false;
  lasting.lasting = true;
  lasting.max_away = 1;
  urgent.count = 2;
  steps_model_add_job (model, 1, "normal", "", &lasting, 1, 1000);
  steps_model_run (model, 2000);
  steps_model_add_job (model, 2, "urgent", "guaranteed", &urgent, 1, 500);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (get_counts (model).runs[0], 0);
  urgent.count = 1;
  steps_model_add_job (model, 3, "urgent", "guaranteed", &urgent, 1, 500);
  for (int i = 0; i < 200; i++)
    {
      steps_model_run (model, 20);
      ck_assert_uint_ge (steps_model_running (model, 1), 3);
    }
  ck_assert_int_ge (steps_model_start_delay_ms (model, 3), 0);
  steps_fixture_destroy (model);
}
END_TEST

/* The load: 64 workers full of batch tasks whose run times differ by a factor
 * of up to 3.3, and 4.5 urgent gangs per 1.2 s for 30 s. Four accounts stay
 * within their guarantees, a fifth has none. */
#define WORKERS 64
#define PER_RACK 16
#define ACCOUNTS 4
#define GUARANTEE 80 /* accelerators; together 62 % of all */
#define FILL_MS 9000
#define LOAD_MS 30000
#define LOAD_STEP_MS 100
#define MAX_JOBS 2000
#define NEVER_MS 100000
#define SEEDS 12

struct load
{
  struct steps_model *model;
  GRand *rand;
  uint32_t next;
  uint32_t account[MAX_JOBS]; /* 0: of no urgent job or without a guarantee */
  uint32_t accelerators[MAX_JOBS]; /* of urgent jobs */
};

struct outcome
{
  double wasted_s;
  GArray *delays_ms; /* int64_t, of urgent jobs */
  int64_t latest_guaranteed_ms;
  struct gr_preemption_counts counts;
};

static const char *const accounts[] = { "a0", "a1", "a2", "a3", "a4" };

static void
add_urgent (struct load *load, uint32_t account, uint32_t max_accelerators)
{
  static const uint32_t sizes[] = { 1, 1, 2, 4, 8 };
  struct gr_step_spec step = {
    .needs = { 15000, 22000, sizes[g_rand_int_range (load->rand, 0, 5)] },
    .estimate_ms = 2300,
    .gang = true,
    .one_rack = g_rand_int_range (load->rand, 0, 10) < 8,
  };
  int32_t work_ms = g_rand_int_range (load->rand, 2100, 2500);

  /* 1 to 32, about 7 on average */
  step.count = 1 + (uint32_t)(32 * pow (g_rand_double (load->rand), 4));
  step.count = MIN (step.count, max_accelerators / step.needs.accelerators);
  if (step.count == 0)
    return;
  load->next++;
  load->account[load->next] = account;
  load->accelerators[load->next] = step.count * step.needs.accelerators;
  steps_model_add_job (load->model, load->next, "urgent", accounts[account],
                       &step, 1, work_ms);
}

static uint32_t
unused_guarantee (const struct load *load, uint32_t account)
{
  uint32_t unused = GUARANTEE;

  for (uint32_t i = 1; i <= load->next; i++)
    if (load->account[i] == account
        && steps_model_completion_ms (load->model, i) < 0)
      unused -= load->accelerators[i];
  return unused;
}

static void
add_batch (struct load *load)
{
  struct gr_step_spec step = batch_step;
  double spread = g_rand_double_range (load->rand, -0.6, 0.6);

  step.needs = (struct gr_resources){ 11000, 23000, 1 };
  steps_model_add_job (load->model, ++load->next, "batch", accounts[0], &step,
                       1, (int64_t)(8500 * exp (spread)));
}

static void
add_load (struct load *load)
{
  for (int i = 0; i < FILL_MS / LOAD_STEP_MS; i++)
    {
      add_batch (load);
      steps_model_run (load->model, LOAD_STEP_MS);
    }
  for (int i = 0; i < LOAD_MS / LOAD_STEP_MS; i++)
    {
      uint32_t account = 1 + (uint32_t)(i / 4) % ACCOUNTS;

      add_batch (load);
      if (i % 4 == 0)
        add_urgent (load, account, unused_guarantee (load, account));
      if (i % 8 == 0)
        add_urgent (load, 0, PER_RACK * 8);
      steps_model_run (load->model, LOAD_STEP_MS);
    }
  steps_model_run (load->model, RECLAIM_MS);
}

/* Adds to the outcome what the load shows. */
static void
play_load (uint32_t seed, enum gr_mode budget, struct outcome *outcome)
{
  struct load *load = g_new0 (struct load, 1);

  load->model = steps_model_create (WORKERS, PER_RACK, seed);
  load->rand = g_rand_new_with_seed (seed);
  steps_model_set_preemption (load->model, budget, STOP_DURATION_MS);
  steps_model_set_queue (load->model, "urgent", 0, 3);
  steps_model_set_queue (load->model, "batch", 2, 3);
  for (uint32_t i = 1; i <= ACCOUNTS; i++)
    steps_model_set_guarantee (load->model, accounts[i], GUARANTEE);
  add_load (load);
  outcome->wasted_s += steps_model_wasted_accelerator_s (load->model);
  outcome->counts = get_counts (load->model);
  for (uint32_t i = 1; i <= load->next; i++)
    if (load->accelerators[i] > 0)
      {
        int64_t delay_ms = steps_model_start_delay_ms (load->model, i);

        if (delay_ms < 0)
          delay_ms = NEVER_MS;
        g_array_append_val (outcome->delays_ms, delay_ms);
        if (load->account[i] > 0)
          outcome->latest_guaranteed_ms =
              MAX (outcome->latest_guaranteed_ms, delay_ms);
      }
  g_rand_free (load->rand);
  steps_fixture_destroy (load->model);
  g_free (load);
}

static gint
compare_delays (gconstpointer left, gconstpointer right)
{
  const int64_t *a = left;
  const int64_t *b = right;

  return *a < *b ? -1 : *a > *b;
}

static struct outcome
play_seeds (uint32_t first, uint32_t last, enum gr_mode budget)
{
  struct outcome outcome = {
    .delays_ms = g_array_new (FALSE, FALSE, sizeof (int64_t)),
  };

  for (uint32_t seed = first; seed <= last; seed++)
    play_load (seed, budget, &outcome);
  g_array_sort (outcome.delays_ms, compare_delays);
  return outcome;
}

static int64_t
delay_at (const struct outcome *outcome, double share)
{
  return g_array_index (outcome->delays_ms, int64_t,
                        (guint)(share * outcome->delays_ms->len));
}

/* Work was wasted by stops that were not needed or cost more than they gained.
 * The budget must halve the waste without later starts. */
START_TEST (budget_halves_the_waste)
{
  struct outcome off = play_seeds (1, SEEDS, GR_MODE_OFF);
  struct outcome on = play_seeds (1, SEEDS, GR_MODE_ON);

  g_printerr ("wasted accelerator-seconds off %.0f on %.0f, start median %d %d,"
              " nine tenths %d %d, guaranteed %d %d ms\n",
              off.wasted_s, on.wasted_s, (int)delay_at (&off, 0.5),
              (int)delay_at (&on, 0.5), (int)delay_at (&off, 0.9),
              (int)delay_at (&on, 0.9), (int)off.latest_guaranteed_ms,
              (int)on.latest_guaranteed_ms);
  ck_assert_double_le (on.wasted_s, off.wasted_s / 2);
  ck_assert_int_le (delay_at (&on, 0.5), delay_at (&off, 0.5));
  ck_assert_int_le (delay_at (&on, 0.9), delay_at (&off, 0.9));
  ck_assert_int_le (off.latest_guaranteed_ms, RECLAIM_MS);
  ck_assert_int_le (on.latest_guaranteed_ms, RECLAIM_MS);
  g_array_unref (off.delays_ms);
  g_array_unref (on.delays_ms);
}
END_TEST

/* The mode observe must count what the budget would do and change nothing. */
START_TEST (observing_changes_nothing)
{
  struct outcome off = play_seeds (1, 1, GR_MODE_OFF);
  struct outcome observed = play_seeds (1, 1, GR_MODE_OBSERVE);

  ck_assert_double_eq (observed.wasted_s, off.wasted_s);
  ck_assert_uint_eq (observed.delays_ms->len, off.delays_ms->len);
  ck_assert_mem_eq (observed.delays_ms->data, off.delays_ms->data,
                    off.delays_ms->len * sizeof (int64_t));
  ck_assert_double_eq (off.counts.planned_core_s, 0);
  ck_assert_double_gt (observed.counts.planned_core_s, 0);
  ck_assert_uint_gt (observed.counts.awaited_runs, 0);
  g_array_unref (off.delays_ms);
  g_array_unref (observed.delays_ms);
}
END_TEST

/* Guards against a last round that waits for runs which make no progress, so
 * that guaranteed work starts late. */
START_TEST (last_round_waits_for_no_run)
{
  struct steps_model *model = steps_model_create (2, 8, 1);
  struct model_worker *worker;

  steps_model_set_preemption (model, GR_MODE_ON, 2300);
  steps_model_set_queue (model, "urgent", 0, 3);
  steps_model_set_queue (model, "batch", 2, 3);
  steps_model_set_guarantee (model, "guaranteed", 64);
  steps_model_add_job (model, 1, "batch", "", &batch_step, 1, 8000);
  steps_model_run (model, 500);
  steps_model_add_job (model, 2, "batch", "", &batch_step, 1, 20000);
  steps_model_run (model, 6900);
  worker = model->workers->pdata[0];
  for (guint i = 0; i < worker->runs->len; i++)
    ((struct model_run *)worker->runs->pdata[i])->pace = 0;
  steps_model_run (model, 1500);
  steps_model_add_job (model, 3, "urgent", "guaranteed", &urgent_step, 1, 500);
  steps_model_run (model, 6000);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 3), 0);
  ck_assert_int_le (steps_model_start_delay_ms (model, 3), RECLAIM_MS);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against refused steps that use up all searches for room, so that a
 * step behind them never gets one although it is within its budget. */
START_TEST (refused_steps_leave_searches_to_others)
{
  struct gr_step_spec wide = urgent_step;
  struct gr_step_spec small = urgent_step;
  struct steps_model *model = create_model (4, GR_MODE_ON);

  wide.count = 2;
  wide.estimate_ms = 5000;
  small.estimate_ms = 60000;
  steps_model_add_job (model, 1, "batch", "", &batch_step, 1, 60000);
  for (uint32_t i = 11; i <= 13; i++)
    steps_model_add_job (model, i, "batch", "", &batch_step, 1, 60000);
  steps_model_run (model, 6000);
  for (uint32_t i = 0; i < 12; i++)
    steps_model_add_job (model, 20 + i, "urgent", "other", &wide, 1, 500);
  steps_model_run (model, 1500);
  steps_model_add_job (model, 99, "urgent", "another", &small, 1, 500);
  steps_model_run (model, RECLAIM_MS);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 99), 0);
  steps_model_destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("preemption");
  TCase *tests = tcase_create ("preemption");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, runs_that_end_soon_are_waited_for);
  tcase_add_test (tests, run_that_does_not_end_is_stopped_in_the_next_round);
  tcase_add_test (tests, no_further_run_is_stopped_within_a_round);
  tcase_add_test (tests, lost_worker_ends_the_round);
  tcase_add_test (tests, gang_is_counted_once);
  tcase_add_test (tests, work_beyond_the_guarantee_keeps_its_budget);
  tcase_add_test (tests, stopped_gang_keeps_its_place);
  tcase_add_test (tests, work_is_saved_before_a_worker_leaves);
  tcase_add_test (tests, plan_respects_max_away);
  tcase_add_test (tests, budget_halves_the_waste);
  tcase_add_test (tests, observing_changes_nothing);
  tcase_add_test (tests, last_round_waits_for_no_run);
  tcase_add_test (tests, refused_steps_leave_searches_to_others);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
