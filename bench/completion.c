/* Completion time and fragmentation under a day's mix of work. */
#include "bench/fragment.h"
#include "bench/pool.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define ARRIVALS_MS (4LL * 3600000)
#define DRAIN_MS (12LL * 3600000)
#define SAMPLE_MS 60000
/* Run times below this count as this in the slowdown, as is usual (bounded
 * slowdown): a wait of a second is no harm to a run of a second. */
#define MIN_RUN_MS 10000
#define STRAGGLERS 0.02
#define LARGE_ACCELERATORS 16
#define MAX_SHAPES 6

/* Work of one priority. */
struct kind
{
  double share; /* of all accelerators, when share_is_rest is false */
  bool share_is_rest;
  double median_ms;
  double sigma;
  double burst; /* mean number of jobs that arrive together */
  uint32_t n_shapes;
  struct gr_shape shapes[MAX_SHAPES];
};

/* The shares of urgent and normal work stay below the quotas of etc/. */
static const struct kind cedar_kinds[GR_PRIORITY_BATCH + 1] = {
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

static const struct kind himal_kinds[GR_PRIORITY_BATCH + 1] = {
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

struct day
{
  const struct bench_deployment *deployment;
  const struct kind *kinds;
  double load;
  GRand *rand;
  GArray *arrivals; /* struct arrival, by time */
};

static const struct gr_account_settings *
choose_account (const struct day *day, enum gr_priority priority)
{
  const struct bench_deployment *deployment = day->deployment;
  double sum = 0;
  double at;

  for (uint32_t a = 0; a < deployment->n_accounts; a++)
    if (deployment->accounts[a].priority == priority)
      sum += deployment->accounts[a].quota_accelerators + 1;
  at = g_rand_double (day->rand) * sum;
  for (uint32_t a = 0; a < deployment->n_accounts; a++)
    {
      if (deployment->accounts[a].priority != priority)
        continue;
      at -= deployment->accounts[a].quota_accelerators + 1;
      if (at <= 0)
        return &deployment->accounts[a];
    }
  return bench_account_of (deployment, priority);
}

/* Callers mostly name a data centre where they have a guarantee. */
static uint32_t
choose_shard (const struct day *day, const struct gr_account_settings *account)
{
  uint32_t any = (uint32_t)g_rand_int_range (day->rand, 0, BENCH_N_SHARDS);
  uint32_t guarantee;

  if (account->n_guarantees == 0 || g_rand_double (day->rand) < 0.3)
    return any;
  guarantee =
      (uint32_t)g_rand_int_range (day->rand, 0, (gint32)account->n_guarantees);
  return (uint32_t)(account->guarantees[guarantee].data_centre[2] - '1');
}

static void
add_arrival (struct day *day, enum gr_priority priority, int64_t at_ms)
{
  const struct kind *kind = &day->kinds[priority];
  const struct gr_account_settings *account = choose_account (day, priority);
  const struct gr_shape *shape =
      &kind->shapes[g_rand_int_range (day->rand, 0, (gint32)kind->n_shapes)];
  double run_ms = bench_log_normal (day->rand, kind->median_ms, kind->sigma);
  double wrong = pow (10, g_rand_double_range (day->rand, -1, 1));
  struct arrival arrival = { .at_ms = at_ms };
  char key[GR_JOB_KEY_MAX];

  if (g_rand_double (day->rand) < STRAGGLERS)
    run_ms *= g_rand_double_range (day->rand, 5, 20);
  g_snprintf (key, sizeof key, "j%u", day->arrivals->len);
  arrival.spec = pool_spec (account->name, key, shape->workers,
                            shape->accelerators_per_worker, priority);
  arrival.run_ms = (int64_t)CLAMP (run_ms, 1000, 6 * 3600e3);
  arrival.spec.run_ms = MAX (1, (int64_t)((double)arrival.run_ms * wrong));
  arrival.spec.checkpointable =
      g_rand_double (day->rand) < 0.2 * priority + 0.2;
  arrival.shard = choose_shard (day, account);
  g_array_append_val (day->arrivals, arrival);
}

static double
mean_accelerators (const struct kind *kind)
{
  double sum = 0;

  for (uint32_t i = 0; i < kind->n_shapes; i++)
    sum += kind->shapes[i].workers * kind->shapes[i].accelerators_per_worker;
  return sum / kind->n_shapes;
}

static double
share_of (const struct day *day, const struct kind *kind)
{
  if (!kind->share_is_rest)
    return kind->share;
  return day->load - day->kinds[GR_PRIORITY_URGENT].share
         - day->kinds[GR_PRIORITY_NORMAL].share;
}

static void
add_kind (struct day *day, enum gr_priority priority)
{
  const struct kind *kind = &day->kinds[priority];
  double run_ms = kind->median_ms * exp (kind->sigma * kind->sigma / 2)
                  * (1 + STRAGGLERS * 11.5);
  double accelerators =
      share_of (day, kind) * BENCH_N_WORKERS * BENCH_ACCELERATORS;
  double gap_ms =
      run_ms * mean_accelerators (kind) / accelerators * kind->burst;
  double at_ms = bench_exponential (day->rand, gap_ms);

  while (at_ms < ARRIVALS_MS)
    {
      uint32_t n =
          1 + (uint32_t)bench_exponential (day->rand, kind->burst - 0.5);

      for (uint32_t i = 0; i < n; i++)
        add_arrival (day, priority, (int64_t)at_ms);
      at_ms += bench_exponential (day->rand, gap_ms);
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
day_init (struct day *day,
          const struct bench_deployment *deployment,
          double load,
          uint32_t seed)
{
  bool himal = strcmp (deployment->name, "himal") == 0;

  day->deployment = deployment;
  day->kinds = himal ? himal_kinds : cedar_kinds;
  day->load = load;
  day->rand = g_rand_new_with_seed (seed);
  day->arrivals = g_array_new (FALSE, FALSE, sizeof (struct arrival));
  for (uint32_t p = 0; p <= GR_PRIORITY_BATCH; p++)
    add_kind (day, p);
  g_array_sort (day->arrivals, compare_arrivals);
}

static void
day_clear (struct day *day)
{
  g_rand_free (day->rand);
  g_array_free (day->arrivals, TRUE);
}

/* --- Results ------------------------------------------------------------ */

static double
slowdown_of (const struct pool *pool, const struct pool_job *job)
{
  int64_t end_ms = job->ended_ms != 0 ? job->ended_ms : pool->now_ms;
  double base_ms = (double)MAX (job->run_ms, MIN_RUN_MS);

  return MAX (1, (double)(end_ms - job->submit_ms) / base_ms);
}

static void
print_priority (const struct pool *pool,
                const struct bench_case *of,
                enum gr_priority priority)
{
  g_autoptr (GArray) slowdown = bench_series_create ();
  g_autofree char *mean = NULL;
  g_autofree char *p99 = NULL;

  for (guint i = 0; i < pool->list->len; i++)
    {
      const struct pool_job *job = pool->list->pdata[i];

      if (job->priority == priority)
        bench_series_add (slowdown, slowdown_of (pool, job));
    }
  mean = g_strdup_printf ("slowdown-mean-%s", gr_priority_name (priority));
  p99 = g_strdup_printf ("slowdown-p99-%s", gr_priority_name (priority));
  bench_row (of, mean, bench_series_mean (slowdown), "x");
  bench_row (of, p99, bench_series_quantile (slowdown, 0.99), "x");
}

static void
print_jobs (const struct pool *pool, const struct bench_case *of)
{
  g_autoptr (GArray) slowdown = bench_series_create ();
  g_autoptr (GArray) large = bench_series_create ();
  double work_ms = 0;

  for (guint i = 0; i < pool->list->len; i++)
    {
      const struct pool_job *job = pool->list->pdata[i];
      uint32_t n = job->shape.workers * job->shape.accelerators_per_worker;
      int64_t start_ms = job->started_ms != 0 ? job->started_ms : pool->now_ms;

      bench_series_add (slowdown, slowdown_of (pool, job));
      work_ms += (double)job->run_ms * n;
      if (n >= LARGE_ACCELERATORS)
        bench_series_add (large, (double)(start_ms - job->submit_ms) / 1000);
    }
  bench_row (of, "slowdown-mean", bench_series_mean (slowdown), "x");
  bench_row (of, "slowdown-p99", bench_series_quantile (slowdown, 0.99), "x");
  for (uint32_t p = 0; p <= GR_PRIORITY_BATCH; p++)
    print_priority (pool, of, p);
  bench_row (of, "large-wait-mean", bench_series_mean (large), "s");
  bench_row (of, "large-wait-p99", bench_series_quantile (large, 0.99), "s");
  bench_row (of, "lost-work", 100 * pool->lost_accelerator_ms / work_ms, "%");
  bench_row (of, "jobs-unended", pool->n_unended, "jobs");
}

static void
run_day (const struct day *day, struct pool *pool, const struct bench_case *of)
{
  g_autoptr (GArray) fragments = bench_series_create ();
  int64_t begin_ms = pool->now_ms + 5000;
  int64_t fault_ms = begin_ms + ARRIVALS_MS / 2;
  guint next = 0;

  for (int64_t at_ms = begin_ms;
       at_ms < begin_ms + ARRIVALS_MS + DRAIN_MS
       && (pool->n_unended > 0 || next < day->arrivals->len);
       at_ms += SAMPLE_MS)
    {
      for (; next < day->arrivals->len; next++)
        {
          const struct arrival *arrival =
              &g_array_index (day->arrivals, struct arrival, next);

          if (begin_ms + arrival->at_ms >= at_ms + SAMPLE_MS)
            break;
          pool_run (pool, begin_ms + arrival->at_ms);
          pool_submit (pool, arrival->shard, &arrival->spec, arrival->run_ms);
        }
      pool_run (pool, at_ms + SAMPLE_MS);
      if (fault_ms < pool->now_ms && fault_ms > 0)
        {
          pool_kill (pool, &pool->shards[0].workers[3], pool->now_ms + 600000);
          fault_ms = 0;
        }
      for (uint32_t s = 0; s < pool->n_shards && next < day->arrivals->len; s++)
        bench_series_add (fragments,
                          100 * bench_fragmentation (pool, s, day->deployment));
    }
  bench_row (of, "fragmentation-mean", bench_series_mean (fragments), "%");
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
                                        .tick_ms = 1000,
                                        .report_ms = 2000 };
        g_autofree char *load = g_strdup_printf ("%.0f%%", 100 * loads[l]);
        struct bench_case of = { deployment->name, load, bench_policy_names[p],
                                 seed };
        struct pool *pool = pool_create (&options, deployment, seed);
        struct day day;

        day_init (&day, deployment, loads[l], seed);
        run_day (&day, pool, &of);
        print_jobs (pool, &of);
        day_clear (&day);
        pool_destroy (pool);
      }
}
