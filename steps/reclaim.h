/* Capacity that is freed for urgent steps by stopping runs of less urgent work.
 * Private to steps/. */
#pragma once

#include "steps/tables.h"

/* The first guaranteed task on a worker prevents large tasks of other accounts
 * from running there; that counts as this many core-seconds. */
#define FIRST_GUARANTEED_TASK_LOSS 60.0

/* Victims: the runs that may be stopped for a step, and what that costs. */

/* True if a task of guaranteed work is on the worker. */
bool gr_worker_has_guaranteed_work (const struct worker *worker);
/* True if the worker may run tasks of the step and is not reserved for others;
 * its runs may then be stopped for the step. */
bool gr_reclaim_may_use (const struct gr_steps *steps,
                         const struct worker *worker,
                         const struct step *step);
/* True if the step may preempt the run of the task. */
bool gr_victim_is_preemptible (const struct gr_steps *steps,
                               const struct step *step,
                               const struct task *task);
/* Cores of one task of the step; an accelerator counts as 8. */
double gr_step_task_cores (const struct step *step);
/* Work in core-seconds that is lost if the run is stopped: that since its start
 * or the last checkpoint that was reported, and at most one checkpoint interval
 * if it checkpoints. Of a gang, that of all its runs. */
double gr_victim_cost (const struct gr_steps *steps, const struct task *task);
/* Removes the needs of a task from the resources that are in use. */
void gr_subtract_needs (struct gr_resources *used,
                        const struct gr_step_spec *spec);
/* Number of tasks of the step that fit on the worker beside `used`. A worker
 * whose capacity has shrunk can use more than it has. */
uint32_t gr_step_slots_beside (const struct step *step,
                               const struct worker *worker,
                               const struct gr_resources *used);
/* Stops the run for the step, of a gang all its runs, and logs and counts what
 * is lost. */
void
gr_victim_stop (struct gr_steps *steps, struct step *step, struct task *task);
/* Finds tasks to stop on the worker until `wanted` tasks of the step fit, and
 * returns how many fit. Stops them only if apply is true. *loss is set to the
 * lost work in core-seconds. Used without a budget. */
uint32_t gr_preempt_tasks (struct gr_steps *steps,
                           struct step *step,
                           struct worker *worker,
                           uint32_t wanted,
                           bool apply,
                           double *loss);

/* Plans: the workers that a step takes and the runs that are stopped for it. */

/* A worker that a plan takes. */
struct reclaim_share
{
  struct worker *worker;
  uint32_t tasks; /* of the step */
};

struct reclaim_plan
{
  GArray *shares;      /* struct reclaim_share */
  GPtrArray *victims;  /* struct task; of a gang only one */
  double cost;         /* lost work in core-seconds */
  double ranking_cost; /* cost with the surcharges that decide between plans */
  uint32_t jobs;       /* of which runs are stopped */
};

/* Finds workers that together can take `wanted` tasks of the step, once the
 * runs that are expected to end within wait_ms have ended and the victims are
 * stopped. Returns NULL if there are not enough. */
struct reclaim_plan *gr_reclaim_plan_create (struct gr_steps *steps,
                                             struct step *step,
                                             GPtrArray *workers,
                                             uint32_t wanted,
                                             int64_t wait_ms);
void gr_reclaim_plan_destroy (struct reclaim_plan *plan);
/* True if plan a is to be preferred to b; b may be NULL. */
bool gr_reclaim_plan_is_better (const struct reclaim_plan *a,
                                const struct reclaim_plan *b);
/* True if the run is expected, by its observed progress, to end within
 * wait_ms, and has not been waited for in vain. */
bool gr_run_ends_within (const struct gr_steps *steps,
                         const struct task *task,
                         int64_t wait_ms);

/* Rounds: when runs are stopped for a step, and how much that may cost. */

/* Starts a pass, in which the steps share a limited number of searches. */
void gr_reclaim_begin_pass (struct gr_steps *steps);
/* As gr_reclaim_capacity (), with rounds and budgets. Without apply nothing is
 * stopped or reserved; only the step's own record of rounds changes. */
void gr_reclaim_round (struct gr_steps *steps, struct step *step, bool apply);
