#include "tests/steps-model.h"

#include <check.h>
#include <stdlib.h>
#include <time.h>

/* Simulates about half a minute of mixed load and checks that guaranteed work
 * starts in time. */

#define WORKERS 96
#define PER_RACK 12
#define ACCOUNTS 5
#define GUARANTEE 96 /* accelerators of each account; together 62 % of all */
#define RECLAIM_MS 2700
#define MAX_JOBS 2000

#define MANY_WORKERS 20000
#define MAX_ADD_MS 1000

struct load
{
  struct steps_model *model;
  GRand *rand;
  uint32_t next;
  /* Account, accelerators and guarantee of each job, by number; guaranteed is
   * set for urgent jobs that fit their account's guarantee. */
  uint32_t account[MAX_JOBS];
  uint32_t needs[MAX_JOBS];
  bool guaranteed[MAX_JOBS];
};

static const char *const accounts[ACCOUNTS] = { "a0", "a1", "a2", "a3", "a4" };

static uint32_t
add_gang (struct load *load,
          const char *queue,
          uint32_t account,
          uint32_t max_accelerators,
          int64_t max_work_ms)
{
  static const uint32_t sizes[] = { 1, 2, 4, 8, 8 };
  struct gr_step_spec step = {
    .needs = { 15000, 22000, 0 },
    .estimate_ms = 2000,
    .gang = true,
    .one_rack = g_rand_int_range (load->rand, 0, 10) < 8,
  };
  uint32_t number = ++load->next;

  step.needs.accelerators = sizes[g_rand_int_range (load->rand, 0, 5)];
  step.count = (uint32_t)g_rand_int_range (load->rand, 1, PER_RACK);
  step.count = MIN (step.count, max_accelerators / step.needs.accelerators);
  step.count = MAX (step.count, 1);
  load->account[number] = account;
  load->needs[number] = step.count * step.needs.accelerators;
  steps_model_add_job (
      load->model, number, queue, accounts[account], &step, 1,
      g_rand_int_range (load->rand, 800, (int32_t)max_work_ms));
  return number;
}

static uint32_t
unfinished_demand (const struct load *load, uint32_t account)
{
  uint32_t demand = 0;

  for (uint32_t i = 1; i <= load->next; i++)
    if (load->guaranteed[i] && load->account[i] == account
        && steps_model_completion_ms (load->model, i) < 0)
      demand += load->needs[i];
  return demand;
}

/* Account 0 submits far more urgent work than its guarantee; the others stay
 * within theirs. */
static void
add_urgent (struct load *load)
{
  uint32_t account = (uint32_t)g_rand_int_range (load->rand, 1, ACCOUNTS);
  uint32_t demand;
  uint32_t number;

  add_gang (load, "urgent", 0, 96, 15000);
  demand = unfinished_demand (load, account);
  if (demand + 8 > GUARANTEE)
    return;
  number = add_gang (load, "urgent", account, GUARANTEE - demand, 4000);
  load->guaranteed[number] = true;
}

static void
add_batch (struct load *load)
{
  struct gr_step_spec step = {
    .count = (uint32_t)g_rand_int_range (load->rand, 10, 60),
    .needs = { 11000, 23000, 1 },
    .estimate_ms = 8000,
    .checkpointing = g_rand_int_range (load->rand, 0, 2) == 1,
  };

  steps_model_add_job (load->model, ++load->next, "batch", accounts[0], &step,
                       1, 8000);
}

static void
run_load (uint32_t seed)
{
  struct load load = { 0 };

  load.model = steps_model_create (WORKERS, PER_RACK, seed);
  load.rand = g_rand_new_with_seed (seed);
  steps_model_set_queue (load.model, "urgent", 0, 3);
  steps_model_set_queue (load.model, "batch", 2, 3);
  for (uint32_t i = 0; i < ACCOUNTS; i++)
    steps_model_set_guarantee (load.model, accounts[i], GUARANTEE);
  for (int i = 0; i < 300; i++)
    {
      if (i % 4 == 0)
        add_batch (&load);
      add_urgent (&load);
      steps_model_run (load.model, 100);
    }
  steps_model_run (load.model, RECLAIM_MS + 500);
  ck_assert_msg (steps_model_violation (load.model) == NULL, "seed %u: %s",
                 seed, steps_model_violation (load.model));
  for (uint32_t i = 1; i <= load.next; i++)
    if (load.guaranteed[i])
      {
        int64_t start_delay_ms = steps_model_start_delay_ms (load.model, i);

        ck_assert_msg (start_delay_ms >= 0 && start_delay_ms <= RECLAIM_MS,
                       "seed %u: job %u (%u accelerators) started after %ld ms",
                       seed, i, load.needs[i], (long)start_delay_ms);
      }
  g_rand_free (load.rand);
  steps_model_destroy (load.model);
}

/* Regression: work within its account's guarantee waited longer than RECLAIM_MS
 * while another account's urgent work and batch jobs held the accelerators. */
START_TEST (guaranteed_work_starts_in_time)
{
  run_load ((uint32_t)_i + 1);
}
END_TEST

/* Guards against a new owner that adds its workers in quadratic time and is
 * away meanwhile: 3,000 workers took 0.9 s of a quarter of a processor. */
START_TEST (many_workers_are_added_quickly)
{
  static const struct gr_steps_settings settings = { .run_lease_ms = 7000 };
  struct gr_steps *steps = gr_steps_create (&settings, 1, 1000);
  clock_t begin = clock ();

  for (int i = 0; i < MANY_WORKERS; i++)
    {
      char id[16];

      /* In no order: the multiplier is odd, so no id occurs twice. */
      g_snprintf (id, sizeof id, "i-%08x", (uint32_t)i * 2654435761U);
      gr_steps_add_inherited_worker (steps, id, 1000);
    }
  ck_assert_int_lt ((clock () - begin) / (CLOCKS_PER_SEC / 1000), MAX_ADD_MS);
  gr_steps_destroy (steps);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("steps-load");
  TCase *tests = tcase_create ("load");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, guaranteed_work_starts_in_time, 0, 12);
  tcase_add_test (tests, many_workers_are_added_quickly);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
