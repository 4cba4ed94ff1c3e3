/* Waits of urgent jobs at peak load and beside long batch jobs, and of
 * guaranteed shapes that are all requested at once. */
#include "bench/pool.h"

#include <string.h>

/* Urgent jobs must start within this time. */
#define URGENT_START_LIMIT_MS 3900
/* Time for batch jobs to start before the measurement. */
#define FILL_TIME_MS 600000
/* Tag of the jobs whose wait is measured. */
#define TAG_MEASURED 1

static struct pool *
create_pool (const struct bench_deployment *deployment,
             enum gr_core_policy policy,
             uint32_t seed)
{
  struct pool_options options = { .policy = policy,
                                  .n_shards = BENCH_N_SHARDS,
                                  .n_workers = BENCH_N_WORKERS,
                                  .cores = deployment->cores,
                                  .tick_interval_ms = 100,
                                  .report_interval_ms = 2000 };
  struct pool *pool = pool_create (&options, deployment, seed);

  pool_run_until (pool, pool->now_ms + 5000);
  return pool;
}

/* Submits long batch jobs to all shards and runs FILL_TIME_MS. The jobs
 * need 1.3 times all accelerators, so that some of them stay queued. */
static void
fill_with_batch_jobs (struct pool *pool,
                      const struct bench_deployment *deployment,
                      GRand *rand)
{
  static const struct gr_shape shapes[] = { { 1, 1 }, { 1, 2 }, { 1, 4 },
                                            { 1, 8 }, { 2, 8 }, { 4, 8 } };
  const char *account =
      bench_find_account (deployment, GR_PRIORITY_BATCH)->name;
  uint32_t n_accelerators = 0;

  for (uint32_t i = 0;
       n_accelerators < BENCH_N_WORKERS * BENCH_ACCELERATORS * 13 / 10; i++)
    {
      const struct gr_shape *shape =
          &shapes[g_rand_int_range (rand, 0, G_N_ELEMENTS (shapes))];
      struct gr_job_spec spec;
      char key[GR_JOB_KEY_MAX];

      g_snprintf (key, sizeof key, "fill%u", i);
      spec = pool_job_spec (account, key, shape->workers,
                            shape->accelerators_per_worker, GR_PRIORITY_BATCH);
      spec.run_ms = g_rand_int_range (rand, 600000, 36000000);
      spec.checkpointable = g_rand_boolean (rand);
      pool_submit (pool, i % BENCH_N_SHARDS, &spec, 36000000);
      n_accelerators += shape->workers * shape->accelerators_per_worker;
    }
  pool_run_until (pool, pool->now_ms + FILL_TIME_MS);
}

/* Submits an urgent job that fits within a guaranteed shape of the account, in
 * the data centre of that guarantee. */
static void
submit_urgent (struct pool *pool,
               const struct gr_account_settings *account,
               GRand *rand,
               double run_ms,
               uint32_t tag)
{
  const struct gr_guarantee *guarantee = &account->guarantees[g_rand_int_range (
      rand, 0, (gint32)account->n_guarantees)];
  uint32_t size = MIN (4, guarantee->shape.accelerators_per_worker);
  uint32_t shard = (uint32_t)(guarantee->data_centre[2] - '1');
  int64_t actual_ms = (int64_t)bench_exponential (rand, run_ms) + 1000;
  char key[GR_JOB_KEY_MAX];
  struct gr_job_spec spec;
  struct pool_job *job;

  g_snprintf (key, sizeof key, "u%u", pool->submitted_jobs->len);
  spec =
      pool_job_spec (account->name, key, 1, 1U << g_rand_int_range (rand, 0, 3),
                     GR_PRIORITY_URGENT);
  spec.shape.accelerators_per_worker =
      MIN (spec.shape.accelerators_per_worker, size);
  spec.run_ms = (int64_t)run_ms;
  job = pool_submit (pool, shard, &spec, actual_ms);
  if (job != NULL)
    job->tag = tag;
}

/* Submits jobs of all urgent accounts for for_ms, as Poisson arrivals. Each
 * account uses about the given share of its quota. */
static void
run_urgent_jobs (struct pool *pool,
                 const struct bench_deployment *deployment,
                 GRand *rand,
                 int64_t for_ms,
                 double share,
                 uint32_t tag)
{
  const double run_ms = 8000;
  int64_t end_ms = pool->now_ms + for_ms;
  double next_ms[BENCH_MAX_ACCOUNTS] = { 0 };
  double mean_gap_ms[BENCH_MAX_ACCOUNTS] = { 0 };

  for (uint32_t a = 0; a < deployment->n_accounts; a++)
    {
      const struct gr_account_settings *account = &deployment->accounts[a];

      /* A job holds 2.1 accelerators on average, for its run time and 2 s until
       * its end is detected. */
      mean_gap_ms[a] = (run_ms + 2000) * 2.1
                       / (share * MAX (1, account->quota_accelerators));
      next_ms[a] =
          account->priority == GR_PRIORITY_URGENT
              ? (double)pool->now_ms + bench_exponential (rand, mean_gap_ms[a])
              : (double)G_MAXINT64;
    }
  for (;;)
    {
      uint32_t first = 0;

      for (uint32_t a = 1; a < deployment->n_accounts; a++)
        if (next_ms[a] < next_ms[first])
          first = a;
      if (next_ms[first] >= (double)end_ms)
        break;
      pool_run_until (pool, (int64_t)next_ms[first]);
      submit_urgent (pool, &deployment->accounts[first], rand, run_ms, tag);
      next_ms[first] += bench_exponential (rand, mean_gap_ms[first]);
    }
  pool_run_until (pool, end_ms);
}

/* Returns the waits of the jobs with the tag in ms. Jobs that have not started
 * count with their wait so far. */
static GArray *
job_waits (const struct pool *pool, uint32_t tag)
{
  GArray *waits = bench_series_create ();

  for (guint i = 0; i < pool->submitted_jobs->len; i++)
    {
      const struct pool_job *job = pool->submitted_jobs->pdata[i];
      int64_t start_ms = job->started_ms != 0 ? job->started_ms : pool->now_ms;

      if (job->tag == tag)
        bench_series_add (waits, (double)(start_ms - job->submit_ms));
    }
  return waits;
}

/* Returns the percentage of waits up to limit_ms. */
static double
percent_within (const GArray *waits, double limit_ms)
{
  uint32_t n = 0;

  for (guint i = 0; i < waits->len; i++)
    n += g_array_index (waits, double, i) <= limit_ms;
  return waits->len > 0 ? 100.0 * n / waits->len : 100;
}

void
bench_peak (const struct bench_deployment *deployment, uint32_t seed)
{
  for (uint32_t p = GR_POLICY_DEFAULT; p <= GR_POLICY_BEST_FIT; p++)
    {
      struct bench_case bench_case = { deployment->name, "peak-10x",
                                       bench_policy_names[p], seed };
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      struct pool *pool = create_pool (deployment, p, seed);
      g_autoptr (GArray) waits = NULL;

      fill_with_batch_jobs (pool, deployment, rand);
      run_urgent_jobs (pool, deployment, rand, 60000, 0.06, 0);
      run_urgent_jobs (pool, deployment, rand, 60000, 0.6, TAG_MEASURED);
      run_urgent_jobs (pool, deployment, rand, 30000, 0.06, 0);
      waits = job_waits (pool, TAG_MEASURED);
      bench_row (&bench_case, "peak-urgent-in-time",
                 percent_within (waits, URGENT_START_LIMIT_MS), "%");
      bench_row (&bench_case, "peak-urgent-wait-p99",
                 bench_series_quantile (waits, 0.99), "ms");
      pool_destroy (pool);
    }
}

/* Returns the 99th percentile of the waits of urgent jobs in ms, and their mean
 * in *mean_ms. */
static double
measure_urgent_waits (const struct bench_deployment *deployment,
                      enum gr_core_policy policy,
                      uint32_t seed,
                      bool with_batches,
                      double *mean_ms)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  g_autoptr (GRand) batch_rand = g_rand_new_with_seed (seed + 1000);
  struct pool *pool = create_pool (deployment, policy, seed);
  g_autoptr (GArray) waits = NULL;
  double p99_ms;

  if (with_batches)
    fill_with_batch_jobs (pool, deployment, batch_rand);
  else
    pool_run_until (pool, pool->now_ms + FILL_TIME_MS);
  /* The first five minutes are not measured: urgent jobs arrive all day, so
   * only the steady state counts. */
  run_urgent_jobs (pool, deployment, rand, 300000, 0.3, 0);
  run_urgent_jobs (pool, deployment, rand, 1800000, 0.3, TAG_MEASURED);
  pool_run_until (pool, pool->now_ms + 30000);
  waits = job_waits (pool, TAG_MEASURED);
  *mean_ms = bench_series_mean (waits);
  p99_ms = bench_series_quantile (waits, 0.99);
  pool_destroy (pool);
  return p99_ms;
}

void
bench_blocking (const struct bench_deployment *deployment, uint32_t seed)
{
  for (uint32_t p = GR_POLICY_DEFAULT; p <= GR_POLICY_BEST_FIT; p++)
    {
      struct bench_case bench_case = { deployment->name, "urgent-30%",
                                       bench_policy_names[p], seed };
      double mean_alone_ms;
      double mean_with_batches_ms;
      double p99_alone_ms =
          measure_urgent_waits (deployment, p, seed, false, &mean_alone_ms);
      double p99_with_batches_ms = measure_urgent_waits (
          deployment, p, seed, true, &mean_with_batches_ms);

      bench_row (&bench_case, "blocking-wait-p99-alone", p99_alone_ms, "ms");
      bench_row (&bench_case, "blocking-wait-p99-batches", p99_with_batches_ms,
                 "ms");
      bench_row (&bench_case, "blocking-ratio",
                 p99_with_batches_ms / p99_alone_ms, "x");
      bench_row (&bench_case, "blocking-ratio-of-means",
                 mean_with_batches_ms / mean_alone_ms, "x");
    }
}

static void
submit_guaranteed_jobs (struct pool *pool,
                        const struct gr_account_settings *account)
{
  for (uint32_t g = 0; g < account->n_guarantees; g++)
    for (uint32_t i = 0; i < account->guarantees[g].count; i++)
      {
        const struct gr_guarantee *guarantee = &account->guarantees[g];
        char key[GR_JOB_KEY_MAX];
        struct gr_job_spec spec;
        struct pool_job *job;

        g_snprintf (key, sizeof key, "g%u", pool->submitted_jobs->len);
        spec = pool_job_spec (account->name, key, guarantee->shape.workers,
                              guarantee->shape.accelerators_per_worker,
                              account->priority);
        job = pool_submit (pool, (uint32_t)(guarantee->data_centre[2] - '1'),
                           &spec, 600000);
        if (job != NULL)
          job->tag = TAG_MEASURED;
      }
}

void
bench_reclaim (const struct bench_deployment *deployment, uint32_t seed)
{
  for (uint32_t p = GR_POLICY_DEFAULT; p <= GR_POLICY_BEST_FIT; p++)
    {
      struct bench_case bench_case = { deployment->name, "all-guarantees",
                                       bench_policy_names[p], seed };
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      struct pool *pool = create_pool (deployment, p, seed);
      g_autoptr (GArray) waits = NULL;

      fill_with_batch_jobs (pool, deployment, rand);
      pool->lost_accelerator_ms = 0;
      for (uint32_t a = 0; a < deployment->n_accounts; a++)
        if (deployment->accounts[a].priority != GR_PRIORITY_BATCH)
          submit_guaranteed_jobs (pool, &deployment->accounts[a]);
      pool_run_until (pool, pool->now_ms + 60000);
      waits = job_waits (pool, TAG_MEASURED);
      bench_row (&bench_case, "reclaim-in-time",
                 percent_within (waits, URGENT_START_LIMIT_MS), "%");
      bench_row (&bench_case, "reclaim-time-p50",
                 bench_series_quantile (waits, 0.5), "ms");
      bench_row (&bench_case, "reclaim-time-max",
                 bench_series_quantile (waits, 1), "ms");
      bench_row (&bench_case, "reclaim-lost-work",
                 pool->lost_accelerator_ms / 3600e3, "accelerator-hours");
      pool_destroy (pool);
    }
}
