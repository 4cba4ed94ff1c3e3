/* Job specification as submitted by a client: a job consists of steps, a step
 * of tasks. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Length of a job id in hexadecimal digits. */
#define GR_JOB_ID_DIGITS 16

/* Resources that one task uses on a worker. */
struct gr_resources
{
  uint32_t cpu_milli; /* thousandths of a core */
  uint32_t memory_mb;
  uint32_t accelerators;
};

struct gr_step_spec
{
  uint32_t count; /* number of tasks */
  struct gr_resources needs;
  uint32_t estimate_ms; /* rough run time of one task */
  uint32_t *after;      /* numbers of earlier steps that must be done first */
  uint32_t n_after;
  bool checkpointing; /* a stopped task saves its work, and its next run resumes
                         from it */
  bool gang;          /* all tasks must run at the same time */
  bool one_rack;      /* the tasks run slowly if spread over several racks */
  bool copies;        /* a task may have several runs at the same time */
  bool lasting;       /* runs until it is cancelled */
  bool filler; /* opportunistic: uses only processor time that other tasks leave
                  idle */
  char *label; /* label that the worker must have, or NULL */
  char *data_rack; /* rack with the input data, or NULL; tasks run slowly on
                      other racks */
  char *image;     /* image that the tasks run, or NULL */
  uint32_t max_per_worker; /* limit for tasks of the step; 0: none */
  uint32_t tail_target_ms; /* target for the tail latency of the requests that
                              the tasks serve; 0: none */
  uint32_t max_away; /* most tasks of a lasting step that the scheduler may make
                        unavailable at the same time */
};

/* What a configuration says of a queue. It is kept with each job, for owners
 * that take over after the queue was removed. */
struct gr_queue_terms
{
  char *service; /* NULL: unknown */
  uint32_t priority;
  uint32_t max_attempts; /* 0: not stated */
  uint32_t objective_ms;
  double stretch;
  bool needs_advice;
  uint32_t advice_decide_ms; /* as in struct gr_steps_queue */
  uint32_t advice_each_ms;
};

struct gr_job_spec
{
  char id[GR_JOB_ID_DIGITS + 1];
  char *queue;
  struct gr_queue_terms terms; /* of the queue when the job was accepted */
  char *account;               /* "" on a queue that needs no API key */
  char *payload;               /* passed to the worker with each start */
  struct gr_step_spec *steps;
  uint32_t n_steps;
  uint32_t repeats; /* number of scheduled occurrences; 0: the job runs once, at
                       once */
  int64_t first_due_unix_ms; /* due time of occurrence 0 */
  int64_t interval_ms;
  int64_t accepted_unix_ms;
};

void gr_job_spec_destroy (struct gr_job_spec *spec);
/* Returns a deep copy; free it with gr_job_spec_destroy (). */
struct gr_job_spec *gr_job_spec_copy (const struct gr_job_spec *spec);
