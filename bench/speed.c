/* Time and memory of the decision core at the size of two years from now.
 * Time is processor time of the tick itself. */
#include "bench/pool.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#define N_TEAMS 110
#define POOL_WORKERS 11000
#define POOL_TASKS 74000
#define SHARD_WORKERS 611
#define POOL_SEEDS 3 /* filling the large pool takes half a minute */
#define GANG 8
#define TICK_MS 100
#define N_TICKS 100
/* Changes for each measured tick: more than ten times the 8,700 jobs a day
 * with their starts and ends. */
#define CHANGES 3

struct bed
{
  struct pool *pool;
  struct pool_shard *shard;
  GRand *rand;
  uint32_t n_jobs;
  GPtrArray *singles; /* running jobs of one task */
};

static void
add_teams (const struct bed *bed)
{
  for (uint32_t i = 0; i < N_TEAMS; i++)
    {
      struct gr_account_settings account = { .priority = GR_PRIORITY_NORMAL };

      g_snprintf (account.name, sizeof account.name, "team%u", i);
      account.n_guarantees = 1;
      g_strlcpy (account.guarantees[0].name, "share", GR_NAME_MAX);
      g_strlcpy (account.guarantees[0].data_centre, "dc1", GR_NAME_MAX);
      account.guarantees[0].shape.workers = 1;
      account.guarantees[0].shape.accelerators_per_worker = 8;
      account.guarantees[0].count = 1 + bed->shard->n_workers / 2750;
      gr_core_set_account (bed->shard->core, &account);
    }
}

static struct pool_job *
submit (struct bed *bed, uint32_t workers, uint32_t accelerators)
{
  char account[GR_NAME_MAX];
  char key[GR_JOB_KEY_MAX];
  struct gr_job_spec spec;

  g_snprintf (account, sizeof account, "team%u",
              (uint32_t)g_rand_int_range (bed->rand, 0, N_TEAMS));
  g_snprintf (key, sizeof key, "j%u", bed->n_jobs++);
  spec = pool_spec (account, key, workers, accelerators, GR_PRIORITY_NORMAL);
  spec.run_ms = g_rand_int_range (bed->rand, 3600000, 36000000);
  return pool_submit (bed->pool, 0, &spec, 100 * 3600000LL);
}

/* Nine of ten tasks stand alone, the others in gangs of eight. */
static void
fill (struct bed *bed, uint32_t n_tasks)
{
  uint32_t n = 0;

  while (n < n_tasks)
    {
      for (uint32_t i = 0; i < 256 && n < n_tasks; i++)
        if (g_rand_double (bed->rand) < 0.1 / GANG)
          {
            submit (bed, GANG, 1);
            n += GANG;
          }
        else
          {
            g_ptr_array_add (bed->singles, submit (bed, 1, 1));
            n++;
          }
      pool_run (bed->pool, bed->pool->now_ms + TICK_MS);
    }
  for (uint32_t i = 0; i < 600; i++)
    {
      struct gr_core_status status;

      pool_run (bed->pool, bed->pool->now_ms + TICK_MS);
      gr_core_get_status (bed->shard->core, &status);
      if (status.jobs_waiting == 0 && i > 30)
        break;
    }
}

static void
bed_init (struct bed *bed,
          const struct bench_deployment *deployment,
          uint32_t n_workers,
          uint32_t seed)
{
  struct pool_options options = { .policy = GR_POLICY_DEFAULT,
                                  .n_shards = 1,
                                  .n_workers = n_workers,
                                  .cores = deployment->cores,
                                  .tick_ms = TICK_MS,
                                  .report_ms = 2000 };

  bed->pool = pool_create (&options, deployment, seed);
  bed->shard = &bed->pool->shards[0];
  bed->rand = g_rand_new_with_seed (seed);
  bed->n_jobs = 0;
  bed->singles = g_ptr_array_new ();
  add_teams (bed);
  pool_run (bed->pool, bed->pool->now_ms + 3000);
  fill (bed, (uint32_t)((uint64_t)POOL_TASKS * n_workers / POOL_WORKERS));
}

static void
change (struct bed *bed)
{
  for (uint32_t i = 0; i < CHANGES && bed->singles->len > 0; i++)
    {
      guint at =
          (guint)g_rand_int_range (bed->rand, 0, (gint32)bed->singles->len);
      struct pool_job *job = bed->singles->pdata[at];
      struct gr_error error = GR_ERROR_INIT;

      gr_core_cancel (bed->shard->core, job->id, bed->pool->now_ms, &error);
      bed->singles->pdata[at] = submit (bed, 1, 1);
    }
}

/* Median of the ticks; the worst goes to *max_us. */
static double
measure (struct bed *bed, bool changes, double *max_us)
{
  g_autoptr (GArray) times = bench_series_create ();

  for (uint32_t i = 0; i < N_TICKS; i++)
    {
      int64_t ns;

      if (changes)
        change (bed);
      bed->pool->now_ms += TICK_MS;
      ns = pool_tick (bed->pool, bed->shard);
      bench_series_add (times, (double)ns / 1000);
    }
  *max_us = bench_series_quantile (times, 1);
  return bench_series_quantile (times, 0.5);
}

static void
print_ticks (struct bed *bed, const struct bench_case *of)
{
  double max_us;

  bench_row (of, "tick-unchanged-p50", measure (bed, false, &max_us), "us");
  bench_row (of, "tick-unchanged-max", max_us, "us");
  bench_row (of, "tick-changes-p50", measure (bed, true, &max_us), "us");
  bench_row (of, "tick-changes-max", max_us, "us");
}

/* Jobs that find no place: more whole workers than there are. */
static void
add_waiting (struct bed *bed, uint32_t n)
{
  struct gr_core_status status;

  do
    {
      for (uint32_t i = 0; i < 200; i++)
        submit (bed, 1, 8);
      pool_run (bed->pool, bed->pool->now_ms + 500);
      gr_core_get_status (bed->shard->core, &status);
    }
  while (status.jobs_waiting < 200);
  while (status.jobs_waiting < n)
    {
      submit (bed, 1, 8);
      status.jobs_waiting++;
    }
  pool_run (bed->pool, bed->pool->now_ms + 1000);
}

static void
print_waiting (struct bed *bed, struct bench_case *of)
{
  static const uint32_t counts[] = { 1000, 4000, 16000 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      g_autofree char *load =
          g_strdup_printf ("%s+%uwaiting", of->load, counts[i]);
      struct bench_case with = { of->deployment, load, of->policy, of->seed };

      add_waiting (bed, counts[i]);
      print_ticks (bed, &with);
    }
}

static void
print_memory (struct bed *bed, const struct bench_case *of)
{
  struct rusage usage;
  size_t before = mallinfo2 ().uordblks;
  size_t after;

  gr_core_destroy (bed->shard->core);
  bed->shard->core = NULL;
  after = mallinfo2 ().uordblks;
  getrusage (RUSAGE_SELF, &usage);
  bench_row (of, "memory-core", (double)(before - after) / 1048576, "MiB");
  bench_row (of, "memory-process", (double)usage.ru_maxrss / 1024, "MiB");
}

static void
bed_clear (struct bed *bed)
{
  pool_destroy (bed->pool);
  g_ptr_array_free (bed->singles, TRUE);
  g_rand_free (bed->rand);
}

void
bench_speed (const struct bench_deployment *deployment, uint32_t seed)
{
  static const uint32_t sizes[] = { SHARD_WORKERS, 2444, POOL_WORKERS };

  for (uint32_t s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      g_autofree char *load = g_strdup_printf ("%uworkers", sizes[s]);
      struct bench_case of = { deployment->name, load, "default", seed };
      struct bed bed;

      if (sizes[s] == POOL_WORKERS && seed > POOL_SEEDS)
        return;
      bed_init (&bed, deployment, sizes[s], seed);
      print_ticks (&bed, &of);
      print_memory (&bed, &of);
      bed_clear (&bed);
      if (sizes[s] != SHARD_WORKERS)
        continue;
      bed_init (&bed, deployment, sizes[s], seed);
      print_waiting (&bed, &of);
      bed_clear (&bed);
    }
}
