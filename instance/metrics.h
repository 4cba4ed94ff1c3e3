/* The metrics of an instance. They are described in one table, from which
 * docs/metrics.md is generated. */
#pragma once

#include "common/counter.h"
#include "instance/lateness.h"
#include "steps/steps.h"

#include <glib.h>

struct gr_metric
{
  const char *name; /* without the prefix geraniumrack_ */
  const char *type; /* counter, gauge or histogram */
  const char *labels;
  const char *meaning; /* with its unit */
};

/* Returns the table of all metrics, which is static. */
const struct gr_metric *gr_metrics_table (size_t *n_rows);

/* Appends the reference of all metrics as Markdown to out. */
void gr_metrics_print_reference (GString *out);

struct gr_metrics_state
{
  bool is_owner;
  struct gr_steps_counts counts; /* zero unless this instance is the owner */
  struct gr_steps_learning learning; /* zero unless it is the owner */
  uint32_t jobs_known;
  int64_t config_version;
  int64_t config_age_ms;
  int64_t store_silent_ms;
  int64_t owner_lease_ms; /* left of the owner's lease; 0: not the owner */
  struct gr_lateness lateness;
};

/* Updates the gauges; to be called before they are printed. */
void gr_metrics_set (struct gr_counters *counters,
                     const struct gr_metrics_state *state);
