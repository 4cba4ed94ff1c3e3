/* Model of workers for tests of the core: handles orders and status polls in
 * memory, with a clock that the test advances, and checks the invariants of
 * runs at each tick. */
#pragma once

#include "steps/steps.h"

struct steps_model;

struct steps_model_faults
{
  double lose_answer;  /* share of orders that take effect without an answer */
  double lose_order;   /* share of orders that have no effect and no answer */
  double late_order;   /* share of orders that take effect 0.5 to 6 s late,
                          without an answer */
  double lose_poll;    /* share of polls without an answer */
  double reject_start; /* share of starts that the worker rejects for lack of
                          capacity; does not count as a fault */
  int32_t max_transit_ms; /* orders, polls and their answers take up to this
                             long each way and can overtake each other; does
                             not count as a fault */
};

/* How a worker crashes. It loses all its runs and ends. */
struct steps_model_crash
{
  int64_t after_ms; /* from the start of a run that crashes its worker; 0: the
                       start order is not answered */
  int64_t down_ms;  /* until the worker is back, with a later incarnation */
  bool silent;      /* while it is down, connections are not refused but get no
                       answer */
  bool new_id;      /* a new worker takes its place; its registry entry is
                       removed after three heartbeats */
  bool unnoticed;   /* it was cut off before, so the owner learns of the crash
                       only when it calls the worker */
  bool orders_unknown; /* while it is down, the results of orders are unknown
                          instead of "not sent" */
};

#define STEPS_MODEL_ALL_TASKS UINT32_MAX

/* How an owner reaches a worker. */
enum steps_model_reach
{
  STEPS_MODEL_REACH_BOTH,  /* calls and answers arrive */
  STEPS_MODEL_REACH_NONE,  /* calls do not arrive */
  STEPS_MODEL_REACH_CALLS, /* calls arrive, answers are lost */
};

struct steps_model *
steps_model_create (uint32_t workers, uint32_t per_rack, uint32_t seed);
/* The same, with placement by expected completion. */
struct steps_model *steps_model_create_with (uint32_t workers,
                                             uint32_t per_rack,
                                             uint32_t seed,
                                             enum gr_mode objectives);
void steps_model_destroy (struct steps_model *model);
/* Sets the mode of the preemption budget and how long a stop takes, 60 ms by
 * default. Replaces the core, so it must be called before anything else. */
void steps_model_set_preemption (struct steps_model *model,
                                 enum gr_mode budget,
                                 uint32_t stop_ms);
/* As steps_model_create (), with the budget on and stops of 200 ms. */
struct steps_model *steps_model_create_with_budget (uint32_t workers,
                                                    uint32_t per_rack,
                                                    uint32_t seed);

struct gr_steps *steps_model_core (struct steps_model *model);
int64_t steps_model_now_ms (const struct steps_model *model);
void steps_model_set_faults (struct steps_model *model,
                             const struct steps_model_faults *faults);
void steps_model_set_queue (struct steps_model *model,
                            const char *name,
                            uint32_t priority,
                            uint32_t max_attempts);
/* The next owner does not know the queue until it is set again, as when its
 * configuration is missing or lacks the queue. */
void steps_model_forget_queue (struct steps_model *model, const char *name);
/* Time for which a member of a gang waits for the others, 3 s by default. The
 * core knows it from the next owner on. */
void steps_model_set_gang_wait (struct steps_model *model, uint32_t wait_ms);
void steps_model_set_guarantee (struct steps_model *model,
                                const char *account,
                                uint32_t accelerators);

/* Adds a job whose id is number. Its steps are used as given; each task takes
 * work_ms. */
void steps_model_add_job (struct steps_model *model,
                          uint32_t number,
                          const char *queue,
                          const char *account,
                          const struct gr_step_spec *steps,
                          uint32_t n_steps,
                          int64_t work_ms);
void steps_model_cancel_job (struct steps_model *model, uint32_t number);
/* From now on runs of the job end as failed. */
void steps_model_fail_job (struct steps_model *model, uint32_t number);
/* From now on runs of this task of the job's steps, or of all, crash the worker
 * that starts them. */
void steps_model_crash_job (struct steps_model *model,
                            uint32_t number,
                            uint32_t index,
                            const struct steps_model_crash *crash);
/* The worker crashes now. */
void steps_model_crash_worker (struct steps_model *model,
                               uint32_t worker,
                               const struct steps_model_crash *crash);
/* Number of workers, those that have crashed included. */
uint32_t steps_model_workers (const struct steps_model *model);
/* Returns false while the worker is down after a crash; for ever if another one
 * has taken its place. */
bool steps_model_worker_is_up (const struct steps_model *model,
                               uint32_t worker);
/* The worker's capacity changes now; the registry shows it one heartbeat
 * later. */
void steps_model_set_capacity (struct steps_model *model,
                               uint32_t worker,
                               const struct gr_resources *capacity);
/* Workers start runs that exceed their capacity instead of rejecting them. */
void steps_model_allow_overload (struct steps_model *model);
/* While fails is true, runs on the worker end as failed. */
void steps_model_fail_worker (struct steps_model *model,
                              uint32_t worker,
                              bool fails);
/* While unreachable is true, calls to the worker get no answer; its runs
 * continue under their lease. */
void steps_model_set_worker_unreachable (struct steps_model *model,
                                         uint32_t worker,
                                         bool unreachable);
/* Runs on the worker take slowness times as long; a gang runs at the pace of
 * its slowest member. */
void steps_model_set_slowness (struct steps_model *model,
                               uint32_t worker,
                               double slowness);
/* The work of each run outside gangs is random: standard deviation of its
 * natural logarithm. */
void steps_model_set_noise (struct steps_model *model, double deviation);
/* The core knows the modes from the next owner on. */
void steps_model_set_learning (struct steps_model *model,
                               enum gr_mode run_times,
                               enum gr_mode speeds);
/* A new worker registers itself. Returns its number. */
uint32_t steps_model_add_worker (struct steps_model *model);
void steps_model_restart_worker (struct steps_model *model, uint32_t worker);
/* The worker restarts; the core learns it from its next poll or, after_ms
 * later, from the registry. Until its next poll the worker grants the longest
 * lease to runs, as the owner's idea of its clock is that of the former
 * process. */
void steps_model_restart_unnoticed (struct steps_model *model,
                                    uint32_t worker,
                                    int64_t after_ms);
void steps_model_drain_worker (struct steps_model *model,
                               uint32_t worker,
                               bool draining);
/* Workers are in data centre "dc0" unless set otherwise. */
void steps_model_set_data_centre (struct steps_model *model,
                                  uint32_t worker,
                                  const char *data_centre);
/* Evacuates a data centre or ends its evacuation; the core knows it at once,
 * and the next owner before it places work. From then on, sending a start to
 * its workers violates an invariant, and so does a start that takes effect
 * later than it may. */
void steps_model_evacuate (struct steps_model *model,
                           const char *data_centre,
                           bool evacuated);
/* The core is told that the worker has announced, up to late_ms ago, that it
 * drains and does not leave within remaining_ms of that. */
void steps_model_notify_leave (struct steps_model *model,
                               uint32_t worker,
                               int64_t remaining_ms,
                               int64_t late_ms);
/* Swaps the order in which the model handles two workers. */
void
steps_model_swap_workers (struct steps_model *model, uint32_t a, uint32_t b);
/* The core is told that the worker has renewed its registry entry, up to
 * late_ms ago. */
void steps_model_renew_entry (struct steps_model *model,
                              uint32_t worker,
                              int64_t late_ms);
/* A write of the worker's former process is carried out late: it replaces the
 * registry entry by one of that process, which was draining. */
void steps_model_write_former_entry (struct steps_model *model,
                                     uint32_t worker);
/* The core is told that the worker's registry entry was removed, up to late_ms
 * ago; its runs continue. */
void steps_model_unregister_worker (struct steps_model *model,
                                    uint32_t worker,
                                    int64_t late_ms);
/* The worker's registry entry is missing when the next owner reads the
 * registry; the current owner does not notice. */
void steps_model_lose_entry_at_takeover (struct steps_model *model,
                                         uint32_t worker);
/* The worker stops answering. Its registry entry is renewed now and removed
 * after silent_ms. If that is less than a heartbeat interval, the worker has
 * drained and left, and its runs have ended. */
void steps_model_remove_worker (struct steps_model *model,
                                uint32_t worker,
                                int64_t silent_ms);
/* Limits the orders that the owner sends in each tick of 20 ms; the others stay
 * queued in the core. */
void steps_model_set_orders_per_tick (struct steps_model *model,
                                      uint32_t orders);
/* While held is true, orders to the worker stay queued in the core, as when too
 * many calls to it are open. */
void
steps_model_hold_orders (struct steps_model *model, uint32_t worker, bool held);
/* A worker lists at most this many ends that are not acknowledged in an answer,
 * 500 by default. */
void steps_model_set_listed_ends (struct steps_model *model, uint32_t ends);
/* Number of ends that the worker keeps because they are not acknowledged. */
uint32_t steps_model_kept_ends (const struct steps_model *model,
                                uint32_t worker);
/* Does not report the results of the next `results` orders to the core. */
void steps_model_drop_results (struct steps_model *model, uint32_t results);
/* Replaces the owner by one with the next epoch, which starts from durable
 * progress. */
void steps_model_new_owner (struct steps_model *model);
/* Several owners at the same time. An owner is identified by its epoch, which
 * is 1 for the first one. */

/* From now on owners hold a lease of 2 s, which they renew each 0.5 s if they
 * reach the store and it works. An owner ends 9 s after its lease, or when a
 * worker rejects its epoch. Without this call, owners have no lease. */
void steps_model_use_owner_leases (struct steps_model *model);
int64_t steps_model_epoch (const struct steps_model *model);
/* While the store is cut off from the owner, it renews no lease, nothing that
 * it decides becomes durable, and it learns nothing of the registry and of
 * jobs. A former owner ends at its first renewal that reaches the store. */
void steps_model_cut_store (struct steps_model *model, int64_t epoch, bool cut);
/* While shown is true, the owner learns of the registry and of jobs even if its
 * lease cannot be renewed. */
void
steps_model_show_store (struct steps_model *model, int64_t epoch, bool shown);
/* The process of the owner stops running, or continues. It renews its lease
 * within 0.2 s after that. */
void
steps_model_pause_owner (struct steps_model *model, int64_t epoch, bool paused);
void steps_model_set_reach (struct steps_model *model,
                            int64_t epoch,
                            uint32_t worker,
                            enum steps_model_reach reach);
/* Returns true while an owner has not ended. */
bool steps_model_owner_is_active (const struct steps_model *model,
                                  int64_t epoch);
/* The lease of the present owner, which does not renew it, expires, and a
 * successor is created from what is durable. The present owner becomes a former
 * one, which continues beside it. The successor reaches all workers. */
void steps_model_elect_successor (struct steps_model *model);

/* Start orders need an advice ticket from now on, and the advice allows only
 * workers with an even number. */
void steps_model_require_tickets (struct steps_model *model);
/* The advice service needs decide_ms for a call and each_ms for each worker
 * that it names, as the queues say, and handles one call after the other. */
void steps_model_set_advice_ms (struct steps_model *model,
                                uint32_t decide_ms,
                                uint32_t each_ms);
uint32_t steps_model_advice_calls (const struct steps_model *model);
/* All runs on the worker end as failed. */
void steps_model_fail_runs (struct steps_model *model, uint32_t worker);
/* Number of active runs of the job. */
uint32_t steps_model_running (const struct steps_model *model, uint32_t number);
/* While works is false, progress does not become durable. */
void steps_model_set_store (struct steps_model *model, bool works);

/* Progress becomes durable commit_ms after the core reported it. While this is
 * not 0, every job is added again at each tick, as when its stored records are
 * read back. */
void steps_model_set_commit_ms (struct steps_model *model, int64_t commit_ms);

void steps_model_run (struct steps_model *model, int64_t for_ms);

enum gr_job_state steps_model_state (const struct steps_model *model,
                                     uint32_t number);
/* Durable failures of all tasks of the job. */
uint32_t steps_model_failures (const struct steps_model *model,
                               uint32_t number);
/* Time from adding the job until the last task of its first start began; -1 if
 * it has not. */
int64_t steps_model_start_delay_ms (const struct steps_model *model,
                                    uint32_t number);
/* Time from adding the job until its final state was durable; -1 if it is
 * not. */
int64_t steps_model_completion_ms (const struct steps_model *model,
                                   uint32_t number);
uint32_t steps_model_starts (const struct steps_model *model, uint32_t number);
/* Starts of a task of the job's first step. */
uint32_t steps_model_task_starts (const struct steps_model *model,
                                  uint32_t number,
                                  uint32_t index);
uint32_t steps_model_starts_on (const struct steps_model *model,
                                uint32_t worker);
/* Accelerator-seconds of work lost by runs that were stopped, lapsed or
 * broken. */
double steps_model_wasted_accelerator_s (const struct steps_model *model);
/* Number of runs that ended because the other members of their gang did not
 * start in time. */
uint32_t steps_model_runs_alone (const struct steps_model *model);
/* The first violation of an invariant, or NULL. Such an end of a run violates
 * one, unless its job was cancelled or there was a fault within the last 4 s:
 * of a worker, of the owner, of the store, or a lost or late call. */
const char *steps_model_violation (const struct steps_model *model);
