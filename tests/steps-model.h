/* Model of workers for tests of the core: plays orders and looks in memory on
 * a clock that the test moves, and checks the promises at every step. */
#pragma once

#include "steps/steps.h"

struct steps_model;

struct steps_model_faults
{
  double lose_answer; /* share of orders that are carried out unanswered */
  double lose_order;  /* share of orders that are not carried out */
  double late_order;  /* share of orders that are carried out 0.5 to 6 s later,
                         unanswered */
  double lose_look;   /* share of looks without an answer */
};

struct steps_model *
steps_model_create (uint32_t workers, uint32_t per_rack, uint32_t seed);
void steps_model_destroy (struct steps_model *model);

struct gr_steps *steps_model_core (struct steps_model *model);
int64_t steps_model_now_ms (const struct steps_model *model);
void steps_model_set_faults (struct steps_model *model,
                             const struct steps_model_faults *faults);
void steps_model_set_queue (struct steps_model *model,
                            const char *name,
                            uint32_t priority,
                            uint32_t max_attempts);
void steps_model_set_guarantee (struct steps_model *model,
                                const char *account,
                                uint32_t accelerators);

/* The number of an added job is its id. The step is taken as it is. */
void steps_model_add_job (struct steps_model *model,
                          uint32_t number,
                          const char *queue,
                          const char *account,
                          const struct gr_step_spec *steps,
                          uint32_t n_steps,
                          int64_t work_ms);
void steps_model_cancel (struct steps_model *model, uint32_t number);
/* Runs of the job end as failed from now on. */
void steps_model_fail_job (struct steps_model *model, uint32_t number);
/* Runs on the worker end as failed from now on, or not any more. */
void steps_model_fail_worker (struct steps_model *model,
                              uint32_t worker,
                              bool fails);
/* Calls to the worker are not answered; it runs on under its lease. */
void
steps_model_cut_worker (struct steps_model *model, uint32_t worker, bool cut);
void steps_model_restart_worker (struct steps_model *model, uint32_t worker);
void steps_model_drain_worker (struct steps_model *model,
                               uint32_t worker,
                               bool drains);
/* It drains and says that it stays so long at least. */
void steps_model_notify_leave (struct steps_model *model,
                               uint32_t worker,
                               int64_t remaining_ms);
/* The model plays workers in this order. */
void
steps_model_swap_workers (struct steps_model *model, uint32_t a, uint32_t b);
/* The worker writes its entry once more. */
void steps_model_renew (struct steps_model *model, uint32_t worker);
/* Its entry is gone; the worker runs on. */
void steps_model_drop_entry (struct steps_model *model, uint32_t worker);
/* Its entry is gone, and no owner has seen that before the next takeover. */
void steps_model_lose_entry (struct steps_model *model, uint32_t worker);
/* It does not answer any more, and its entry, which it renews at this moment,
 * goes so long after that. If that is soon, it has left and runs nothing. */
void steps_model_remove_worker (struct steps_model *model,
                                uint32_t worker,
                                int64_t silent_ms);
/* The owner sends no more orders in 20 ms; the others wait in the core. */
void steps_model_set_orders_per_tick (struct steps_model *model,
                                      uint32_t orders);
/* The core is not told the results of so many of the next orders. */
void steps_model_swallow_results (struct steps_model *model, uint32_t results);
/* A new owner with the next epoch takes over from what is durable. */
void steps_model_take_over (struct steps_model *model);
/* Starts need a ticket of the advice, which allows only workers with an even
 * number. */
void steps_model_need_tickets (struct steps_model *model);
uint32_t steps_model_advice_calls (const struct steps_model *model);
/* All runs on the worker end as failed. */
void steps_model_kill_runs (struct steps_model *model, uint32_t worker);
/* Runs of the job that are alive. */
uint32_t steps_model_running (const struct steps_model *model, uint32_t number);
/* Progress is not made durable while it is false. */
void steps_model_set_store (struct steps_model *model, bool works);

/* Progress is durable so long after the core has given it out; until then every
 * job is added again at each tick, as echoes of its records do. */
void steps_model_set_commit_ms (struct steps_model *model, int64_t commit_ms);

void steps_model_run (struct steps_model *model, int64_t for_ms);

enum gr_job_state steps_model_state (const struct steps_model *model,
                                     uint32_t number);
/* Failures that are durable, of all its tasks. */
uint32_t steps_model_failures (const struct steps_model *model,
                               uint32_t number);
/* Time from adding the job until its last task of the first start began; -1
 * if it has not. */
int64_t steps_model_begun_ms (const struct steps_model *model, uint32_t number);
/* Time from adding the job until its state was durable and final; -1 if it is
 * not. */
int64_t steps_model_took_ms (const struct steps_model *model, uint32_t number);
uint32_t steps_model_starts (const struct steps_model *model, uint32_t number);
uint32_t steps_model_starts_on (const struct steps_model *model,
                                uint32_t worker);
/* Accelerator seconds of runs that were stopped, lapsed or broken. */
double steps_model_wasted_s (const struct steps_model *model);
/* First promise that was broken, or NULL. */
const char *steps_model_broken (const struct steps_model *model);
