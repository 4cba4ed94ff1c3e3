/* Common code of the benchmarks: deployments, series of values and result rows.
 * The benchmarks run the decision core and the request router without I/O, in
 * simulated time. Only bench/speed.c and bench/calls.c use a real clock. */
#pragma once

#include "sched/core.h"
#include "settings/account.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define BENCH_MAX_ACCOUNTS 8
#define BENCH_N_SHARDS 3
#define BENCH_N_WORKERS 50
#define BENCH_RACK_WORKERS 8
#define BENCH_ACCELERATORS 8
#define BENCH_MEMORY_MB 250000

struct bench_deployment
{
  char name[GR_NAME_MAX];
  uint32_t cores; /* of each worker */
  uint32_t n_accounts;
  struct gr_account_settings accounts[BENCH_MAX_ACCOUNTS];
};

/* Reads the accounts from ETC/NAME/teams, in the order of their file names.
 * Prints an error and exits with status 1 if a file cannot be read or is
 * invalid. */
void bench_deployment_load (struct bench_deployment *deployment,
                            const char *etc,
                            const char *name);

/* Returns the first account with the priority, owned by deployment. Prints an
 * error and exits with status 1 if there is none. */
const struct gr_account_settings *
bench_find_account (const struct bench_deployment *deployment,
                    enum gr_priority priority);

/* Indexed by enum gr_core_policy. */
extern const char *const bench_policy_names[];

/* Conditions under which the value of a result row was measured. NULL strings
 * are printed as "-". */
struct bench_case
{
  const char *deployment;
  const char *load;
  const char *policy;
  uint32_t seed;
};

/* Prints one row to stdout, separated by tabs: measure, deployment, load,
 * policy, seed, value, unit. */
void bench_row (const struct bench_case *bench_case,
                const char *measure,
                double value,
                const char *unit);

/* --- Series of values --------------------------------------------------- */

/* Returns an empty array of double. Free it with g_array_free (). */
GArray *bench_series_create (void);
void bench_series_add (GArray *series, double value);

/* Returns 0 for an empty series. */
double bench_series_mean (const GArray *series);

/* Sorts the series and returns its value at the quantile (0 to 1), or 0 if the
 * series is empty. */
double bench_series_quantile (GArray *series, double quantile);

/* --- Random numbers ----------------------------------------------------- */

/* Returns an exponentially distributed value. */
double bench_exponential (GRand *rand, double mean);

/* Returns a log-normally distributed value: the median times exp (sigma * x),
 * where x has the standard normal distribution. */
double bench_log_normal (GRand *rand, double median, double sigma);

/* --- Benchmarks: each prints its result rows for one seed ---------------- */

/* Slowdown of jobs, fragmentation and lost work under a mixed load. */
void bench_completion (const struct bench_deployment *deployment,
                       uint32_t seed);

/* Wait of urgent jobs at peak load, on workers that are full of batch jobs. */
void bench_peak (const struct bench_deployment *deployment, uint32_t seed);

/* Head-of-line blocking: wait of urgent jobs with and without batch jobs. */
void bench_blocking (const struct bench_deployment *deployment, uint32_t seed);

/* Time until the guaranteed shapes of all urgent and normal accounts run when
 * they are requested at once, on workers that are full of batch jobs. */
void bench_reclaim (const struct bench_deployment *deployment, uint32_t seed);

/* Accuracy of the rate limit of one urgent account across the entries. */
void bench_limits (const struct bench_deployment *deployment, uint32_t seed);

/* Wait of requests until an executor starts them. */
void bench_executors (const struct bench_deployment *deployment, uint32_t seed);

/* Time of a tick and memory of the decision core with many workers. */
void bench_speed (const struct bench_deployment *deployment, uint32_t seed);
/* Processor time and bytes of a call to a worker, with a real clock. */
void bench_calls (const struct bench_deployment *deployment, uint32_t seed);
