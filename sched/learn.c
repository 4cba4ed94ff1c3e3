#include "sched/learn.h"

#include <math.h>

#define N_BUCKETS 40 /* powers of two in ms; cover more than 30 days */
#define MIN_SAMPLES 3
/* Counts are halved when their sum reaches this value, so that old samples
 * lose weight. */
#define MAX_WEIGHT 256

struct gr_learned
{
  uint32_t weight;
  uint32_t buckets[N_BUCKETS];
};

/* Upper bounds of the classes. Ten minutes and two hours separate
 * interactive work, ordinary runs and overnight batches in both deployments.
 * Each bound is at least four times the previous one (Tiresias, NSDI 2019, uses
 * few queues with exponentially growing bounds). */
static const int64_t class_bounds_ms[GR_N_CLASSES - 1] = {
  600LL * 1000,
  2 * 3600LL * 1000,
  8 * 3600LL * 1000,
};

GHashTable *
gr_learned_table_create (void)
{
  return g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
}

static void *
shape_key (const struct gr_job_spec *spec)
{
  return GUINT_TO_POINTER (spec->shape.workers * 64
                           + spec->shape.accelerators_per_worker);
}

static uint32_t
bucket_of (int64_t ran_ms)
{
  uint32_t bucket = 0;

  while (bucket < N_BUCKETS - 1 && (1LL << bucket) < ran_ms)
    bucket++;
  return bucket;
}

void
gr_learn_run_time (struct gr_core_account *account,
                   const struct gr_job_spec *spec,
                   int64_t ran_ms)
{
  struct gr_learned *learned =
      g_hash_table_lookup (account->learned, shape_key (spec));
  double ratio = log2 ((double)MAX (ran_ms, 1) / (double)spec->run_ms);

  if (learned == NULL)
    {
      learned = g_new0 (struct gr_learned, 1);
      g_hash_table_insert (account->learned, shape_key (spec), learned);
    }
  learned->buckets[bucket_of (ran_ms)]++;
  learned->weight++;
  if (learned->weight >= MAX_WEIGHT)
    {
      learned->weight = 0;
      for (uint32_t i = 0; i < N_BUCKETS; i++)
        {
          learned->buckets[i] /= 2;
          learned->weight += learned->buckets[i];
        }
    }
  account->n_ratio = MIN (account->n_ratio + 1, 32);
  account->ratio_log2 += (ratio - account->ratio_log2) / account->n_ratio;
}

int64_t
gr_expected_run_ms (const struct gr_core_account *account,
                    const struct gr_job_spec *spec,
                    double quantile)
{
  const struct gr_learned *learned =
      g_hash_table_lookup (account->learned, shape_key (spec));
  double wanted;
  uint32_t sum = 0;

  if (learned == NULL || learned->weight < MIN_SAMPLES)
    {
      double ratio = account->n_ratio >= MIN_SAMPLES ? account->ratio_log2 : 0;
      double expected = (double)spec->run_ms * exp2 (ratio);

      return (int64_t)CLAMP (expected, 1, (double)GR_JOB_MAX_RUN_MS);
    }
  wanted = quantile * learned->weight;
  for (uint32_t i = 0; i < N_BUCKETS; i++)
    {
      sum += learned->buckets[i];
      if (sum >= wanted && sum > 0)
        return 1LL << i;
    }
  return 1LL << (N_BUCKETS - 1);
}

uint32_t
gr_run_time_class (int64_t run_ms)
{
  uint32_t class = 0;

  while (class < GR_N_CLASSES - 1 && run_ms > class_bounds_ms[class])
    class ++;
  return class;
}

int64_t
gr_attained_run_ms (const struct gr_core *core, const struct gr_core_job *job)
{
  if (job->running_since_ms == 0)
    return job->attained_ms;
  return job->attained_ms + core->now_ms - job->running_since_ms;
}

int64_t
gr_expected_remaining_ms (const struct gr_core *core,
                          const struct gr_core_job *job)
{
  int64_t total = gr_expected_run_ms (job->account, &job->record.spec, 0.5);
  int64_t attained = gr_attained_run_ms (core, job);

  return MAX (total - job->record.saved_ms - attained, attained / 10 + 1000);
}
