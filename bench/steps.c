/* Time of a pass of the core for multi-step jobs, at the size of a large
 * deployment, with placement by expected completion off, observe and on. The
 * time is the processor time of gr_steps_tick () alone. It is a program of its
 * own, as steps/ and sched/ have names in common. */
#include "steps/steps.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define N_WORKERS 350
#define RACK_WORKERS 14
#define N_WAITING 500
#define N_TICKS 200
#define TICK_MS 20
#define MAX_JOBS 5000

struct testbed
{
  struct gr_steps *steps;
  GRand *rand;
  int64_t now_ms;
  uint32_t n_jobs;
};

static void
add_queues (const struct testbed *testbed)
{
  static const struct gr_steps_queue queues[] = {
    { "urgent", "bench", 0, 3, 275, 1.5, false, 0, 0 },
    { "rebuild", "bench", 1, 3, 1000, 3, false, 0, 0 },
    { "batch", "bench", 2, 3, 3000, 3, false, 0, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (queues); i++)
    gr_steps_set_queue (testbed->steps, &queues[i]);
}

static void
add_workers (const struct testbed *testbed)
{
  static const char *const labels[] = { NULL };

  for (uint32_t i = 0; i < N_WORKERS; i++)
    {
      char id[16];
      char rack[16];
      struct gr_steps_worker worker = { .id = id,
                                        .service = "bench",
                                        .rack = rack,
                                        .labels = labels,
                                        .capacity = { 128000, 262144, 8 },
                                        .incarnation_unix_ms = 1 };
      struct gr_run_report report = { .incarnation_unix_ms = 1,
                                      .all_ended = true };

      g_snprintf (id, sizeof id, "w%03u", i);
      g_snprintf (rack, sizeof rack, "rack%u", i / RACK_WORKERS);
      gr_steps_set_worker (testbed->steps, &worker, testbed->now_ms);
      gr_steps_add_inherited_worker (testbed->steps, id, testbed->now_ms);
      gr_steps_process_report (testbed->steps, id, &report, testbed->now_ms);
    }
}

/* A third of the jobs each: a rebuild gang, and batch jobs of two lengths. */
static void
add_job (struct testbed *testbed)
{
  bool gang = testbed->n_jobs % 3 == 0;
  struct gr_step_spec step = {
    .count = (uint32_t)g_rand_int_range (testbed->rand, 2, gang ? 12 : 30),
    .needs = { 8000, 16000,
               gang ? 1U << g_rand_int_range (testbed->rand, 0, 4) : 1 },
    .estimate_ms = testbed->n_jobs % 3 == 1 ? 2000 : 8500,
    .gang = gang,
    .one_rack = gang,
  };
  struct gr_job_spec spec = { .queue = (char *)(gang ? "rebuild" : "batch"),
                              .account = (char *)"a",
                              .payload = (char *)"",
                              .steps = &step,
                              .n_steps = 1 };

  g_snprintf (spec.id, sizeof spec.id, "%016x", testbed->n_jobs++);
  gr_steps_add_job (testbed->steps, &spec, NULL, false, testbed->now_ms);
}

/* Runs one pass and confirms its starts. Returns its processor time in us. */
static double
run_pass (struct testbed *testbed)
{
  struct timespec before;
  struct timespec after;
  struct gr_order order;

  testbed->now_ms += TICK_MS;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &before);
  gr_steps_tick (testbed->steps, testbed->now_ms, testbed->now_ms);
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &after);
  while (gr_steps_take_order (testbed->steps, NULL, NULL, &order))
    if (order.kind == GR_ORDER_START)
      gr_steps_order_result (testbed->steps, &order, GR_ORDER_DONE,
                             testbed->now_ms);
  return (double)(after.tv_sec - before.tv_sec) * 1e6
         + (double)(after.tv_nsec - before.tv_nsec) / 1e3;
}

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return a < b ? -1 : a > b;
}

/* Adds jobs until enough of them wait for a worker. Nothing ends. */
static void
fill (struct testbed *testbed, struct gr_steps_counts *counts)
{
  *counts = (struct gr_steps_counts){ 0 };
  while (counts->jobs_waiting < N_WAITING && testbed->n_jobs < MAX_JOBS)
    {
      add_job (testbed);
      run_pass (testbed);
      gr_steps_counts (testbed->steps, counts);
    }
}

static void
measure (enum gr_mode objectives, const char *name, uint32_t seed)
{
  struct gr_steps_settings settings = { .run_lease_ms = 600000,
                                        .gang_wait_ms = 3000,
                                        .reclaim_ms = 2700,
                                        .checkpoint_ms = 1000,
                                        .far_factor = 3,
                                        .objectives = objectives };
  struct testbed testbed = { .now_ms = 1000 };
  struct gr_steps_counts counts;
  double times[N_TICKS];
  double sum = 0;

  testbed.steps = gr_steps_create (&settings, 1, testbed.now_ms);
  testbed.rand = g_rand_new_with_seed (seed);
  add_queues (&testbed);
  add_workers (&testbed);
  fill (&testbed, &counts);
  for (uint32_t i = 0; i < N_TICKS; i++)
    {
      times[i] = run_pass (&testbed);
      sum += times[i];
    }
  qsort (times, N_TICKS, sizeof times[0], compare_doubles);
  printf ("steps-tick\t%s\t%u\t%u waiting\tp50 %.0f us\tmean %.0f us\n", name,
          seed, counts.jobs_waiting, times[N_TICKS / 2], sum / N_TICKS);
  g_rand_free (testbed.rand);
  gr_steps_destroy (testbed.steps);
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t)g_ascii_strtoull (argv[1], NULL, 10) : 1;

  measure (GR_MODE_OFF, "off", seed);
  measure (GR_MODE_OBSERVE, "observe", seed);
  measure (GR_MODE_ON, "on", seed);
  return 0;
}
