/* Slowdown of jobs and fragmentation under a mix of urgent, normal and batch
 * jobs, with one failure of a worker. */
#include "bench/fragment.h"
#include "bench/pool.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define ARRIVALS_MS (4LL * 3600000)
/* Time for the remaining jobs to end after the last arrival. */
#define DRAIN_MS (12LL * 3600000)
#define SAMPLE_MS 60000
/* Lower limit of the run time in the slowdown (the usual bounded slowdown),
 * since a wait of a second does not matter for a run of a second. */
#define MIN_SLOWDOWN_RUN_MS 10000
/* Share of the jobs that run 5 to 20 times as long. */
#define STRAGGLER_SHARE 0.02
/* Jobs with at least this many accelerators count as large. */
#define LARGE_JOB_ACCELERATORS 16
#define MAX_SHAPES 6

/* Load of one priority. */
struct workload
{
  double share;            /* 0 to 1, of all accelerators */
  bool share_is_remainder; /* the share is the load minus the other shares */
  double median_ms;        /* of the log-normally distributed run time */
  double sigma;
  double burst_size; /* mean number of jobs that arrive together */
  uint32_t n_shapes;
  struct gr_shape shapes[MAX_SHAPES];
};

/* The shares of urgent and normal jobs are below the quotas in etc/. */
static const struct workload cedar_workloads[GR_PRIORITY_BATCH + 1] = {
  { 0.15,
    false,
    30e3,
    0.8,
    4,
    5,
    { { 1, 1 }, { 1, 2 }, { 1, 4 }, { 1, 4 }, { 2, 8 } } },
  { 0.12,
    false,
    240e3,
    1.0,
    3,
    5,
    { { 1, 1 }, { 1, 1 }, { 1, 2 }, { 1, 4 }, { 1, 8 } } },
  { 0,
    true,
    1800e3,
    0.8,
    1.5,
    6,
    { { 1, 4 }, { 1, 8 }, { 1, 8 }, { 2, 8 }, { 4, 8 }, { 8, 8 } } },
};

static const struct workload himal_workloads[GR_PRIORITY_BATCH + 1] = {
  { 0.08, false, 10e3, 0.8, 4, 4, { { 1, 1 }, { 1, 1 }, { 1, 2 }, { 1, 2 } } },
  { 0.25,
    false,
    300e3,
    1.0,
    2,
    5,
    { { 1, 1 }, { 1, 2 }, { 1, 4 }, { 1, 8 }, { 2, 8 } } },
  { 0,
    true,
    3600e3,
    0.8,
    1.5,
    5,
    { { 1, 4 }, { 1, 8 }, { 2, 8 }, { 4, 8 }, { 6, 8 } } },
};

struct arrival
{
  int64_t at_ms;
  int64_t run_ms;
  uint32_t shard;
  struct gr_job_spec spec;
};

struct trace
{
  const struct bench_deployment *deployment;
  const struct workload *workloads;
  double load;
  GRand *rand;
  GArray *arrivals; /* struct arrival, ordered by time */
};

/* Chooses an account of the priority at random, weighted by quota. */
static const struct gr_account_settings *
choose_account (const struct trace *trace, enum gr_priority priority)
{
  const struct bench_deployment *deployment = trace->deployment;
  double sum = 0;
  double remaining;

  for (uint32_t a = 0; a < deployment->n_accounts; a++)
    if (deployment->accounts[a].priority == priority)
      sum += deployment->accounts[a].quota_accelerators + 1;
  remaining = g_rand_double (trace->rand) * sum;
  for (uint32_t a = 0; a < deployment->n_accounts; a++)
    {
      if (deployment->accounts[a].priority != priority)
        continue;
      remaining -= deployment->accounts[a].quota_accelerators + 1;
      if (remaining <= 0)
        return &deployment->accounts[a];
    }
  return bench_find_account (deployment, priority);
}

/* Clients submit most jobs to a data centre in which their account has a
 * guarantee, and 30 % to any data centre. */
static uint32_t
choose_shard (const struct trace *trace,
              const struct gr_account_settings *account)
{
  uint32_t any_shard =
      (uint32_t)g_rand_int_range (trace->rand, 0, BENCH_N_SHARDS);
  uint32_t guarantee;

  if (account->n_guarantees == 0 || g_rand_double (trace->rand) < 0.3)
    return any_shard;
  guarantee = (uint32_t)g_rand_int_range (trace->rand, 0,
                                          (gint32)account->n_guarantees);
  return (uint32_t)(account->guarantees[guarantee].data_centre[2] - '1');
}

static void
add_arrival (struct trace *trace, enum gr_priority priority, int64_t at_ms)
{
  const struct workload *workload = &trace->workloads[priority];
  const struct gr_account_settings *account = choose_account (trace, priority);
  const struct gr_shape *shape = &workload->shapes[g_rand_int_range (
      trace->rand, 0, (gint32)workload->n_shapes)];
  double run_ms =
      bench_log_normal (trace->rand, workload->median_ms, workload->sigma);
  double estimate_factor = pow (10, g_rand_double_range (trace->rand, -1, 1));
  struct arrival arrival = { .at_ms = at_ms };
  char key[GR_JOB_KEY_MAX];

  if (g_rand_double (trace->rand) < STRAGGLER_SHARE)
    run_ms *= g_rand_double_range (trace->rand, 5, 20);
  g_snprintf (key, sizeof key, "j%u", trace->arrivals->len);
  arrival.spec = pool_job_spec (account->name, key, shape->workers,
                                shape->accelerators_per_worker, priority);
  arrival.run_ms = (int64_t)CLAMP (run_ms, 1000, 6 * 3600e3);
  arrival.spec.run_ms =
      MAX (1, (int64_t)((double)arrival.run_ms * estimate_factor));
  arrival.spec.checkpointable =
      g_rand_double (trace->rand) < 0.2 * priority + 0.2;
  arrival.shard = choose_shard (trace, account);
  g_array_append_val (trace->arrivals, arrival);
}

static double
mean_accelerators (const struct workload *workload)
{
  double sum = 0;

  for (uint32_t i = 0; i < workload->n_shapes; i++)
    sum += workload->shapes[i].workers
           * workload->shapes[i].accelerators_per_worker;
  return sum / workload->n_shapes;
}

static double
workload_share (const struct trace *trace, const struct workload *workload)
{
  if (!workload->share_is_remainder)
    return workload->share;
  return trace->load - trace->workloads[GR_PRIORITY_URGENT].share
         - trace->workloads[GR_PRIORITY_NORMAL].share;
}

/* Adds bursts of jobs as Poisson arrivals. The mean run time includes
 * stragglers, which run 12.5 times as long on average. */
static void
add_workload (struct trace *trace, enum gr_priority priority)
{
  const struct workload *workload = &trace->workloads[priority];
  double run_ms = workload->median_ms
                  * exp (workload->sigma * workload->sigma / 2)
                  * (1 + STRAGGLER_SHARE * 11.5);
  double accelerators =
      workload_share (trace, workload) * BENCH_N_WORKERS * BENCH_ACCELERATORS;
  double gap_ms = run_ms * mean_accelerators (workload) / accelerators
                  * workload->burst_size;
  double at_ms = bench_exponential (trace->rand, gap_ms);

  while (at_ms < ARRIVALS_MS)
    {
      uint32_t n = 1
                   + (uint32_t)bench_exponential (trace->rand,
                                                  workload->burst_size - 0.5);

      for (uint32_t i = 0; i < n; i++)
        add_arrival (trace, priority, (int64_t)at_ms);
      at_ms += bench_exponential (trace->rand, gap_ms);
    }
}

static int
compare_arrivals (const void *a, const void *b)
{
  const struct arrival *left = a;
  const struct arrival *right = b;

  return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}

static void
trace_init (struct trace *trace,
            const struct bench_deployment *deployment,
            double load,
            uint32_t seed)
{
  bool himal = strcmp (deployment->name, "himal") == 0;

  trace->deployment = deployment;
  trace->workloads = himal ? himal_workloads : cedar_workloads;
  trace->load = load;
  trace->rand = g_rand_new_with_seed (seed);
  trace->arrivals = g_array_new (FALSE, FALSE, sizeof (struct arrival));
  for (uint32_t p = 0; p <= GR_PRIORITY_BATCH; p++)
    add_workload (trace, p);
  g_array_sort (trace->arrivals, compare_arrivals);
}

static void
trace_clear (struct trace *trace)
{
  g_rand_free (trace->rand);
  g_array_free (trace->arrivals, TRUE);
}

/* --- Results ------------------------------------------------------------ */

static double
job_slowdown (const struct pool *pool, const struct pool_job *job)
{
  int64_t end_ms = job->ended_ms != 0 ? job->ended_ms : pool->now_ms;
  double bounded_run_ms = (double)MAX (job->run_ms, MIN_SLOWDOWN_RUN_MS);

  return MAX (1, (double)(end_ms - job->submit_ms) / bounded_run_ms);
}

static void
print_priority (const struct pool *pool,
                const struct bench_case *bench_case,
                enum gr_priority priority)
{
  g_autoptr (GArray) slowdowns = bench_series_create ();
  g_autofree char *mean = NULL;
  g_autofree char *p99 = NULL;

  for (guint i = 0; i < pool->submitted_jobs->len; i++)
    {
      const struct pool_job *job = pool->submitted_jobs->pdata[i];

      if (job->priority == priority)
        bench_series_add (slowdowns, job_slowdown (pool, job));
    }
  mean = g_strdup_printf ("slowdown-mean-%s", gr_priority_name (priority));
  p99 = g_strdup_printf ("slowdown-p99-%s", gr_priority_name (priority));
  bench_row (bench_case, mean, bench_series_mean (slowdowns), "x");
  bench_row (bench_case, p99, bench_series_quantile (slowdowns, 0.99), "x");
}

static void
print_jobs (const struct pool *pool, const struct bench_case *bench_case)
{
  g_autoptr (GArray) slowdowns = bench_series_create ();
  g_autoptr (GArray) large_waits = bench_series_create ();
  double work_ms = 0;

  for (guint i = 0; i < pool->submitted_jobs->len; i++)
    {
      const struct pool_job *job = pool->submitted_jobs->pdata[i];
      uint32_t n = job->shape.workers * job->shape.accelerators_per_worker;
      int64_t start_ms = job->started_ms != 0 ? job->started_ms : pool->now_ms;

      bench_series_add (slowdowns, job_slowdown (pool, job));
      work_ms += (double)job->run_ms * n;
      if (n >= LARGE_JOB_ACCELERATORS)
        bench_series_add (large_waits,
                          (double)(start_ms - job->submit_ms) / 1000);
    }
  bench_row (bench_case, "slowdown-mean", bench_series_mean (slowdowns), "x");
  bench_row (bench_case, "slowdown-p99",
             bench_series_quantile (slowdowns, 0.99), "x");
  for (uint32_t p = 0; p <= GR_PRIORITY_BATCH; p++)
    print_priority (pool, bench_case, p);
  bench_row (bench_case, "large-wait-mean", bench_series_mean (large_waits),
             "s");
  bench_row (bench_case, "large-wait-p99",
             bench_series_quantile (large_waits, 0.99), "s");
  bench_row (bench_case, "lost-work", 100 * pool->lost_accelerator_ms / work_ms,
             "%");
  bench_row (bench_case, "jobs-unended", pool->n_nonfinal_jobs, "jobs");
}

/* Submits the arrivals, fails one worker for 10 minutes half-way through them
 * and samples the fragmentation until the last arrival. */
static void
run_trace (const struct trace *trace,
           struct pool *pool,
           const struct bench_case *bench_case)
{
  g_autoptr (GArray) fragmentation = bench_series_create ();
  int64_t begin_ms = pool->now_ms + 5000;
  int64_t failure_ms = begin_ms + ARRIVALS_MS / 2;
  guint next = 0;

  for (int64_t at_ms = begin_ms;
       at_ms < begin_ms + ARRIVALS_MS + DRAIN_MS
       && (pool->n_nonfinal_jobs > 0 || next < trace->arrivals->len);
       at_ms += SAMPLE_MS)
    {
      for (; next < trace->arrivals->len; next++)
        {
          const struct arrival *arrival =
              &g_array_index (trace->arrivals, struct arrival, next);

          if (begin_ms + arrival->at_ms >= at_ms + SAMPLE_MS)
            break;
          pool_run_until (pool, begin_ms + arrival->at_ms);
          pool_submit (pool, arrival->shard, &arrival->spec, arrival->run_ms);
        }
      pool_run_until (pool, at_ms + SAMPLE_MS);
      if (failure_ms < pool->now_ms && failure_ms > 0)
        {
          pool_fail_worker (pool, &pool->shards[0].workers[3],
                            pool->now_ms + 600000);
          failure_ms = 0;
        }
      for (uint32_t s = 0; s < pool->n_shards && next < trace->arrivals->len;
           s++)
        bench_series_add (
            fragmentation,
            100 * bench_fragmentation (pool, s, trace->deployment));
    }
  bench_row (bench_case, "fragmentation-mean",
             bench_series_mean (fragmentation), "%");
}

void
bench_completion (const struct bench_deployment *deployment, uint32_t seed)
{
  static const double loads[] = { 0.7, 0.95 };

  for (uint32_t l = 0; l < G_N_ELEMENTS (loads); l++)
    for (uint32_t p = GR_POLICY_DEFAULT; p <= GR_POLICY_BEST_FIT; p++)
      {
        struct pool_options options = { .policy = p,
                                        .n_shards = BENCH_N_SHARDS,
                                        .n_workers = BENCH_N_WORKERS,
                                        .cores = deployment->cores,
                                        .tick_interval_ms = 1000,
                                        .report_interval_ms = 2000 };
        g_autofree char *load = g_strdup_printf ("%.0f%%", 100 * loads[l]);
        struct bench_case bench_case = { deployment->name, load,
                                         bench_policy_names[p], seed };
        struct pool *pool = pool_create (&options, deployment, seed);
        struct trace trace;

        trace_init (&trace, deployment, loads[l], seed);
        run_trace (&trace, pool, &bench_case);
        print_jobs (pool, &bench_case);
        trace_clear (&trace);
        pool_destroy (pool);
      }
}
