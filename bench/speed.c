/* Time and memory of the decision core at the size expected in two years. The
 * time is the processor time of a tick of the core alone. */
#include "bench/pool.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#define N_ACCOUNTS 110
#define POOL_WORKERS 11000
#define POOL_TASKS 74000
#define SHARD_WORKERS 611
/* The whole pool is measured only for seeds up to this one, since filling it
 * takes half a minute. */
#define MAX_POOL_SEED 3
#define GANG_TASKS 8
#define TICK_MS 100
#define N_TICKS 100
/* Jobs that are cancelled and replaced before each measured tick. This is more
 * than ten times the rate of starts and ends at 8,700 jobs a day. */
#define CHANGED_JOBS 3

struct testbed
{
  struct pool *pool;
  struct pool_shard *shard;
  GRand *rand;
  uint32_t n_jobs;
  GPtrArray *single_task_jobs; /* struct pool_job, running */
};

static void
add_accounts (const struct testbed *testbed)
{
  for (uint32_t i = 0; i < N_ACCOUNTS; i++)
    {
      struct gr_account_settings account = { .priority = GR_PRIORITY_NORMAL };

      g_snprintf (account.name, sizeof account.name, "team%u", i);
      account.n_guarantees = 1;
      g_strlcpy (account.guarantees[0].name, "share", GR_NAME_MAX);
      g_strlcpy (account.guarantees[0].data_centre, "dc1", GR_NAME_MAX);
      account.guarantees[0].shape.workers = 1;
      account.guarantees[0].shape.accelerators_per_worker = 8;
      account.guarantees[0].count = 1 + testbed->shard->n_workers / 2750;
      gr_core_set_account (testbed->shard->core, &account);
    }
}

static struct pool_job *
submit_job (struct testbed *testbed, uint32_t workers, uint32_t accelerators)
{
  char account[GR_NAME_MAX];
  char key[GR_JOB_KEY_MAX];
  struct gr_job_spec spec;

  g_snprintf (account, sizeof account, "team%u",
              (uint32_t)g_rand_int_range (testbed->rand, 0, N_ACCOUNTS));
  g_snprintf (key, sizeof key, "j%u", testbed->n_jobs++);
  spec =
      pool_job_spec (account, key, workers, accelerators, GR_PRIORITY_NORMAL);
  spec.run_ms = g_rand_int_range (testbed->rand, 3600000, 36000000);
  return pool_submit (testbed->pool, 0, &spec, 100 * 3600000LL);
}

/* Submits jobs with n_tasks tasks in total, then runs until no job is waiting,
 * for 3 s to 60 s. Nine of ten tasks are single-task jobs, the others belong to
 * gangs of eight. */
static void
fill_pool (struct testbed *testbed, uint32_t n_tasks)
{
  uint32_t n_submitted = 0;

  while (n_submitted < n_tasks)
    {
      for (uint32_t i = 0; i < 256 && n_submitted < n_tasks; i++)
        if (g_rand_double (testbed->rand) < 0.1 / GANG_TASKS)
          {
            submit_job (testbed, GANG_TASKS, 1);
            n_submitted += GANG_TASKS;
          }
        else
          {
            g_ptr_array_add (testbed->single_task_jobs,
                             submit_job (testbed, 1, 1));
            n_submitted++;
          }
      pool_run_until (testbed->pool, testbed->pool->now_ms + TICK_MS);
    }
  for (uint32_t i = 0; i < 600; i++)
    {
      struct gr_core_status status;

      pool_run_until (testbed->pool, testbed->pool->now_ms + TICK_MS);
      gr_core_get_status (testbed->shard->core, &status);
      if (status.jobs_waiting == 0 && i > 30)
        break;
    }
}

static void
testbed_init (struct testbed *testbed,
              const struct bench_deployment *deployment,
              uint32_t n_workers,
              uint32_t seed)
{
  struct pool_options options = { .policy = GR_POLICY_DEFAULT,
                                  .n_shards = 1,
                                  .n_workers = n_workers,
                                  .cores = deployment->cores,
                                  .tick_interval_ms = TICK_MS,
                                  .report_interval_ms = 2000 };

  testbed->pool = pool_create (&options, deployment, seed);
  testbed->shard = &testbed->pool->shards[0];
  testbed->rand = g_rand_new_with_seed (seed);
  testbed->n_jobs = 0;
  testbed->single_task_jobs = g_ptr_array_new ();
  add_accounts (testbed);
  pool_run_until (testbed->pool, testbed->pool->now_ms + 3000);
  fill_pool (testbed,
             (uint32_t)((uint64_t)POOL_TASKS * n_workers / POOL_WORKERS));
}

/* Cancels CHANGED_JOBS random single-task jobs and submits new ones instead. */
static void
change_jobs (struct testbed *testbed)
{
  for (uint32_t i = 0; i < CHANGED_JOBS && testbed->single_task_jobs->len > 0;
       i++)
    {
      guint index = (guint)g_rand_int_range (
          testbed->rand, 0, (gint32)testbed->single_task_jobs->len);
      struct pool_job *job = testbed->single_task_jobs->pdata[index];
      struct gr_error error = GR_ERROR_INIT;

      gr_core_cancel (testbed->shard->core, job->id, testbed->pool->now_ms,
                      &error);
      testbed->single_task_jobs->pdata[index] = submit_job (testbed, 1, 1);
    }
}

/* Returns the median time of N_TICKS ticks in microseconds, and the maximum in
 * *max_us. */
static double
measure_ticks (struct testbed *testbed, bool changes, double *max_us)
{
  g_autoptr (GArray) times = bench_series_create ();

  for (uint32_t i = 0; i < N_TICKS; i++)
    {
      int64_t ns;

      if (changes)
        change_jobs (testbed);
      testbed->pool->now_ms += TICK_MS;
      ns = pool_tick (testbed->pool, testbed->shard);
      bench_series_add (times, (double)ns / 1000);
    }
  *max_us = bench_series_quantile (times, 1);
  return bench_series_quantile (times, 0.5);
}

static void
print_ticks (struct testbed *testbed, const struct bench_case *bench_case)
{
  double max_us;

  bench_row (bench_case, "tick-unchanged-p50",
             measure_ticks (testbed, false, &max_us), "us");
  bench_row (bench_case, "tick-unchanged-max", max_us, "us");
  bench_row (bench_case, "tick-changes-p50",
             measure_ticks (testbed, true, &max_us), "us");
  bench_row (bench_case, "tick-changes-max", max_us, "us");
}

/* Submits jobs that each need a whole worker, until n_waiting jobs are waiting
 * for a free worker. */
static void
add_waiting (struct testbed *testbed, uint32_t n_waiting)
{
  struct gr_core_status status;

  do
    {
      for (uint32_t i = 0; i < 200; i++)
        submit_job (testbed, 1, 8);
      pool_run_until (testbed->pool, testbed->pool->now_ms + 500);
      gr_core_get_status (testbed->shard->core, &status);
    }
  while (status.jobs_waiting < 200);
  while (status.jobs_waiting < n_waiting)
    {
      submit_job (testbed, 1, 8);
      status.jobs_waiting++;
    }
  pool_run_until (testbed->pool, testbed->pool->now_ms + 1000);
}

static void
print_waiting (struct testbed *testbed, struct bench_case *bench_case)
{
  static const uint32_t counts[] = { 1000, 4000, 16000 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      g_autofree char *load =
          g_strdup_printf ("%s+%uwaiting", bench_case->load, counts[i]);
      struct bench_case waiting_case = { bench_case->deployment, load,
                                         bench_case->policy, bench_case->seed };

      add_waiting (testbed, counts[i]);
      print_ticks (testbed, &waiting_case);
    }
}

static void
print_memory (struct testbed *testbed, const struct bench_case *bench_case)
{
  struct rusage usage;
  size_t before = mallinfo2 ().uordblks;
  size_t after;

  gr_core_destroy (testbed->shard->core);
  testbed->shard->core = NULL;
  after = mallinfo2 ().uordblks;
  getrusage (RUSAGE_SELF, &usage);
  bench_row (bench_case, "memory-core", (double)(before - after) / 1048576,
             "MiB");
  bench_row (bench_case, "memory-process", (double)usage.ru_maxrss / 1024,
             "MiB");
}

static void
testbed_clear (struct testbed *testbed)
{
  pool_destroy (testbed->pool);
  g_ptr_array_free (testbed->single_task_jobs, TRUE);
  g_rand_free (testbed->rand);
}

void
bench_speed (const struct bench_deployment *deployment, uint32_t seed)
{
  static const uint32_t sizes[] = { SHARD_WORKERS, 2444, POOL_WORKERS };

  for (uint32_t s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      g_autofree char *load = g_strdup_printf ("%uworkers", sizes[s]);
      struct bench_case bench_case = { deployment->name, load, "default",
                                       seed };
      struct testbed testbed;

      if (sizes[s] == POOL_WORKERS && seed > MAX_POOL_SEED)
        return;
      testbed_init (&testbed, deployment, sizes[s], seed);
      print_ticks (&testbed, &bench_case);
      print_memory (&testbed, &bench_case);
      testbed_clear (&testbed);
      if (sizes[s] != SHARD_WORKERS)
        continue;
      testbed_init (&testbed, deployment, sizes[s], seed);
      print_waiting (&testbed, &bench_case);
      testbed_clear (&testbed);
    }
}
