/* What a client asks for: a job of steps, each of tasks. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Length of a job id: hexadecimal digits. */
#define GR_JOB_ID_DIGITS 16

/* What one task takes of a worker. */
struct gr_resources
{
  uint32_t cpu_milli; /* thousandths of a core */
  uint32_t memory_mb;
  uint32_t accelerators;
};

struct gr_step_spec
{
  uint32_t count; /* tasks */
  struct gr_resources needs;
  uint32_t estimate_ms; /* of one task; rough */
  uint32_t *after;      /* numbers of earlier steps that must be done first */
  uint32_t n_after;
  bool checkpointing;
  bool gang;               /* the tasks work only together */
  bool one_rack;           /* slow on more than one rack */
  bool copies;             /* a task may run more than once at a time */
  bool lasting;            /* runs until it is cancelled */
  bool filler;             /* takes only processor time that others leave */
  char *label;             /* that the worker must have, or NULL */
  char *data_rack;         /* slow on any other rack, or NULL */
  char *image;             /* what the tasks run, or NULL */
  uint32_t max_per_worker; /* tasks of the step; 0: no limit */
  uint32_t tail_target_ms; /* of the requests that the tasks serve; 0: none */
  uint32_t max_away;       /* tasks that the system may have away at one time */
};

struct gr_job_spec
{
  char id[GR_JOB_ID_DIGITS + 1];
  char *queue;
  char *account; /* "" on a queue that needs no key */
  char *payload; /* handed to the worker with each start */
  struct gr_step_spec *steps;
  uint32_t n_steps;
  uint32_t repeats;          /* occurrences; 0: not by time */
  int64_t first_due_unix_ms; /* of occurrence 0 */
  int64_t interval_ms;
  int64_t accepted_unix_ms;
};

void gr_job_spec_destroy (struct gr_job_spec *spec);
struct gr_job_spec *gr_job_spec_copy (const struct gr_job_spec *spec);
