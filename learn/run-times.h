/* Run times learned from finished runs. Predicts the run time of a task from
 * the client's estimate, with one model per key; old samples lose weight.
 * Pure: no I/O and no clock. Memory is bounded by the number of keys. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct gr_run_times;

/* Keeps at most max_keys models; the least recently used one is evicted.
 * Destroy with gr_run_times_destroy (). */
struct gr_run_times *gr_run_times_create (uint32_t max_keys);
void gr_run_times_destroy (struct gr_run_times *times);

/* Keys of a sample or prediction, from the most specific to the widest. With
 * too few samples of a key the next one is used. Keys are copied; unused ones
 * are NULL. All samples together form the widest level of their own. */
struct gr_run_time_keys
{
  const char *keys[2];
};

/* Adds a sample: a run that was estimated to take estimate_ms took ran_ms.
 * Values below 1 count as 1. */
void gr_run_times_add (struct gr_run_times *times,
                       const struct gr_run_time_keys *keys,
                       int64_t estimate_ms,
                       int64_t ran_ms);

/* Returns the quantile (0 to 1) of the expected run time in ms, at least 1.
 * With no samples at all it is the estimate, whatever the quantile. */
int64_t gr_run_times_expect (const struct gr_run_times *times,
                             const struct gr_run_time_keys *keys,
                             int64_t estimate_ms,
                             double quantile);

/* A model as it is stored; see gr_run_times_each () and gr_run_times_restore
 * (). Sums are of the natural logarithms of times in ms, weighted by age. */
struct gr_run_time_row
{
  const char *key; /* "" for all samples */
  double weight;
  double mean_estimate;
  double mean_time;
  double var_estimate;
  double covariance;
  double var_time;
};

void gr_run_times_each (const struct gr_run_times *times,
                        void (*visit) (const struct gr_run_time_row *row,
                                       void *context),
                        void *context);
/* Sets the model of a key. Returns false, and changes nothing, if a value is
 * not finite or out of range. */
bool gr_run_times_restore (struct gr_run_times *times,
                           const struct gr_run_time_row *row);
