/* Shared parts of the benchmark: deployments, series and result rows. The
 * benchmark measures the decision core and the request router alone, in
 * simulated time; only bench/speed.c reads a clock. */
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
  uint32_t cores; /* of one worker */
  uint32_t n_accounts;
  struct gr_account_settings accounts[BENCH_MAX_ACCOUNTS];
};

/* Reads etc/NAME/teams; ends the process if that fails. */
void bench_deployment_load (struct bench_deployment *deployment,
                            const char *etc,
                            const char *name);

/* First account of the priority. */
const struct gr_account_settings *
bench_account_of (const struct bench_deployment *deployment,
                  enum gr_priority priority);

extern const char *const bench_policy_names[];

/* What one row of the result is about; NULL strings are printed as "-". */
struct bench_case
{
  const char *deployment;
  const char *load;
  const char *policy;
  uint32_t seed;
};

/* Prints one row: measure, deployment, load, policy, seed, value, unit. */
void bench_row (const struct bench_case *of,
                const char *measure,
                double value,
                const char *unit);

/* --- Series of numbers -------------------------------------------------- */

GArray *bench_series_create (void);
void bench_series_add (GArray *series, double value);
double bench_series_mean (const GArray *series);

/* Sorts the series. Value at the quantile (0 to 1); 0 for an empty series. */
double bench_series_quantile (GArray *series, double quantile);

/* --- Random numbers ----------------------------------------------------- */

/* Exponentially distributed. */
double bench_exponential (GRand *rand, double mean);

/* Log-normal: median times e to the power of a normal value times sigma. */
double bench_log_normal (GRand *rand, double median, double sigma);

/* --- Parts: each prints its rows for one seed --------------------------- */

void bench_completion (const struct bench_deployment *deployment,
                       uint32_t seed);
void bench_peak (const struct bench_deployment *deployment, uint32_t seed);
void bench_blocking (const struct bench_deployment *deployment, uint32_t seed);
void bench_reclaim (const struct bench_deployment *deployment, uint32_t seed);
void bench_limits (const struct bench_deployment *deployment, uint32_t seed);
void bench_executors (const struct bench_deployment *deployment, uint32_t seed);
void bench_speed (const struct bench_deployment *deployment, uint32_t seed);
