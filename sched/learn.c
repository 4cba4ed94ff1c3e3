#include "sched/learn.h"

#include "learn/run-times.h"

/* Accounts and shapes whose run times are remembered; about 200 KB. */
#define MAX_KEYS 1024

/* Upper bounds of the classes. Ten minutes and two hours separate
 * interactive work, ordinary runs and overnight batches in both deployments.
 * Each bound is at least four times the previous one (Tiresias, NSDI 2019, uses
 * few queues with exponentially growing bounds). */
static const int64_t class_bounds_ms[GR_N_CLASSES - 1] = {
  600LL * 1000,
  2 * 3600LL * 1000,
  8 * 3600LL * 1000,
};

struct gr_run_times *
gr_learned_create (void)
{
  return gr_run_times_create (MAX_KEYS);
}

void
gr_learned_destroy (struct gr_run_times *times)
{
  gr_run_times_destroy (times);
}

/* Writes the key of the account and the shape to text. */
static struct gr_run_time_keys
keys_of (const struct gr_job_spec *spec, char *text, size_t size)
{
  g_snprintf (text, size, "%s/%ux%u", spec->account, spec->shape.workers,
              spec->shape.accelerators_per_worker);
  return (struct gr_run_time_keys){ { text, spec->account } };
}

void
gr_learn_run_time (struct gr_core *core,
                   const struct gr_job_spec *spec,
                   int64_t ran_ms)
{
  char text[GR_NAME_MAX + 24];
  struct gr_run_time_keys keys = keys_of (spec, text, sizeof text);

  gr_run_times_add (core->run_times, &keys, spec->run_ms, ran_ms);
}

int64_t
gr_expected_run_ms (const struct gr_core *core,
                    const struct gr_job_spec *spec,
                    double quantile)
{
  char text[GR_NAME_MAX + 24];
  struct gr_run_time_keys keys = keys_of (spec, text, sizeof text);
  int64_t expected =
      gr_run_times_expect (core->run_times, &keys, spec->run_ms, quantile);

  return MIN (expected, GR_JOB_MAX_RUN_MS);
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
  int64_t total = gr_expected_run_ms (core, &job->record.spec, 0.5);
  int64_t attained = gr_attained_run_ms (core, job);

  return MAX (total - job->record.saved_ms - attained, attained / 10 + 1000);
}
