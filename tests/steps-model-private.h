/* Data structures and functions of the worker model. Private to
 * steps-model*.c. */
#pragma once

#include "tests/steps-model.h"

#include "steps/tenure.h"

#define TICK_MS 20
#define POLL_INTERVAL_MS 100
#define RUN_LEASE_MS 7000
#define MAX_HOLD_MS 10000
#define ANSWER_MS 2
#define GANG_WAIT_MS 3000
#define STOP_MS 60
#define CHECKPOINT_INTERVAL_MS 1000
#define HEARTBEAT_MS 1500
#define MAX_OVER_TARGET_MS 4000
#define STARTUP_MS 300
#define TICKET_MS 3000
#define CALM_MS 4000

/* Ends that a worker lists in one answer, according to the platform. */
#define LISTED_ENDS 500

/* Time from a change of a worker's capacity until the registry shows it. */
#define CAPACITY_REPORT_MS HEARTBEAT_MS

/* Time for which starts may still rely on the capacity that a worker had before
 * it shrank: 3 s of contact and one heartbeat, according to the platform. */
#define SHRINK_GRACE_MS 4500

/* Pause after a failed poll. */
#define FAILED_POLL_PAUSE_MS 300

/* Lease of an owner, and the interval at which it renews it. */
#define OWNER_LEASE_MS 2000
#define OWNER_RENEWAL_MS 500
#define RENEWAL_AFTER_PAUSE_MS 200

/* Owners that are active at the same time. Each lasts 11 s at most after its
 * last renewal or, if it is paused, until it continues; a successor is elected
 * 1.5 s after that at the earliest. */
#define MAX_OWNERS 16

struct model_run
{
  char task[GR_TASK_NAME_SIZE];
  uint32_t job;
  uint32_t step;
  uint32_t index;
  uint32_t run;
  int64_t started_ms;
  int64_t worked_ms;         /* includes the work restored from a checkpoint */
  int64_t saved_ms;          /* work that the last checkpoint holds */
  int64_t stop_ms;           /* when it ends by a stop order; 0: not stopped */
  uint32_t pace;             /* percent of its full speed */
  double noise;              /* factor of its work */
  int64_t over_target_ticks; /* consecutive ticks with a tail latency over its
                                target */
};

/* An end of a run as done that is not acknowledged yet. */
struct model_done_end
{
  char task[GR_TASK_NAME_SIZE];
  int64_t number;
  int64_t ended_ms;
  bool started_again; /* a run of the task has started since */
};

/* What an owner knows of a worker, and how it reaches it. */
struct model_view
{
  enum steps_model_reach reach;
  int64_t next_poll_ms;
  bool poll_in_flight;
  int64_t incarnation; /* that has last answered a poll */
  bool clock_known;    /* after the first poll; that poll therefore grants no
                          lease */
  bool
      clock_stale; /* the owner uses the clock of the worker's former process */
};

struct model_owner
{
  struct gr_steps *steps;
  int64_t epoch;
  uint32_t slot;          /* of its views */
  int64_t lease_until_ms; /* INT64_MAX: its lease is not modelled */
  int64_t renewal_ms;     /* of the next renewal */
  uint64_t committed;     /* last sequence number reported to the core */
  bool store_cut;         /* the owner does not reach the store */
  bool
      reads_store; /* it reads the registry and jobs even if store_cut is set */
  bool paused;     /* its process does not run */
  bool ended;
};

struct model_worker
{
  char id[16];
  char rack[16];
  char data_centre[16];
  GPtrArray *runs;
  GArray *ends;           /* struct gr_ended_run; not acknowledged yet */
  GHashTable *ended_runs; /* task -> highest run that ended or was stopped */
  int64_t lease_until_ms;
  int64_t last_number; /* of the last run end */
  int64_t highest_epoch;
  int64_t incarnation;
  int64_t entry_revision;
  bool unreachable;
  bool fails_runs;
  bool draining;
  bool entry_lost;
  bool held_orders;
  int64_t remaining_ms;
  struct gr_resources capacity;
  struct gr_resources limit; /* that no start may exceed: the capacity, and for
                                a time that from before it shrank */
  int64_t limit_until_ms;    /* when limit becomes the capacity; 0: it is */
  int64_t report_ms; /* when the registry shows the capacity; 0: it does */
  struct gr_resources reported;   /* capacity in the registry */
  struct steps_model_crash crash; /* the last one */
  int64_t down_until_ms;          /* after a crash; 0: it is up */
  int64_t register_ms;   /* when the registry shows its restart; 0: it does */
  int64_t unregister_ms; /* when its registry entry is removed; 0: never */
  struct model_view views[MAX_OWNERS];
  GPtrArray *done_ends; /* struct model_done_end */
  int64_t lapsed_ms;    /* last time at which its lease had expired */
  uint32_t starts;
  double slowness;
};

/* Runs that ended in some way, each counted once, by what they belong to: a
 * task or a gang. */
struct model_attempts
{
  GHashTable *runs;   /* name and run */
  GHashTable *counts; /* name -> number of runs */
  uint32_t most;      /* largest of these numbers */
};

struct model_job
{
  struct gr_job_spec *spec;
  struct gr_job_progress durable;
  bool has_durable_progress;
  bool cancelled;
  bool fails_runs;
  bool crashes; /* runs of crash_index crash their workers */
  uint32_t crash_index;
  struct steps_model_crash crash;
  int64_t work_ms;
  int64_t added_ms;
  int64_t started_ms;
  int64_t final_ms;
  uint32_t starts;
  GHashTable *done; /* names of tasks whose end as done was acknowledged */
  GHashTable *done_in_lease; /* those of them where the lease of the worker had
                                not expired since the end */
  GHashTable *task_starts;   /* name of a task -> number of its starts */
  struct model_attempts *failures;
  struct model_attempts *acknowledged_failures;
  struct model_attempts *crashed_runs; /* of tasks, also in gangs */
};

/* An order that the worker executes later. */
struct transit_order
{
  struct gr_order order;
  struct model_worker *worker;
  int64_t due_ms;
  int64_t until_ms;
  int64_t epoch;
  int64_t incarnation;
  bool is_answered; /* false: the core has its result already */
  bool executed;    /* the answer is on its way */
  enum gr_order_result result;
};

/* A status poll that waits for its transit or that of its answer. */
struct model_poll
{
  struct model_worker *worker;
  int64_t due_ms;
  int64_t epoch;
  int64_t incarnation;
  int64_t durable_end;
  int64_t lease_until_ms; /* 0: grants no lease */
  bool executed;
  struct gr_run_report report;
};

/* Progress that is being written to the store. */
struct commit
{
  int64_t due_ms;
  char id[GR_JOB_ID_DIGITS + 1]; /* "" for the sequence number alone */
  struct gr_job_progress progress;
  uint64_t sequence;
};

/* A call that the advice service has received. */
struct model_advice
{
  int64_t epoch; /* of the owner that has sent it */
  struct gr_advice_request request;
  int64_t due_ms;
};

struct steps_model
{
  struct model_owner *owner;
  GPtrArray *former_owners; /* struct model_owner, oldest first */
  struct gr_steps_settings settings;
  int64_t now_ms;
  int64_t stop_ms; /* time that a stop takes */
  GRand *rand;
  struct steps_model_faults faults;
  GPtrArray *workers;
  GPtrArray *jobs; /* by number; NULL where there is none */
  GPtrArray *queues;
  GHashTable *limits;          /* name of a queue -> max_attempts */
  GPtrArray *handover_workers; /* ids, as last published by an owner */
  GPtrArray *transit_orders;   /* struct transit_order */
  GPtrArray *polls;            /* struct model_poll */
  GHashTable *evacuated;       /* data centre -> time in ms (gint) */
  bool owner_leases;           /* see steps_model_use_owner_leases () */
  bool store_works;
  int64_t commit_ms;
  GQueue commits; /* struct commit, oldest first */
  double wasted_s;
  uint32_t advice_calls;
  uint32_t advice_decide_ms; /* see steps_model_set_advice_ms () */
  uint32_t advice_each_ms;
  GQueue advice; /* struct model_advice, oldest first */
  uint32_t orders_per_tick;
  uint32_t listed_ends; /* see steps_model_set_listed_ends () */
  uint32_t drop_results;
  uint32_t runs_alone;
  int64_t last_fault_ms;
  double noise; /* see steps_model_set_noise () */
  bool needs_tickets;
  bool allows_overload;
  char *violation;
};

/* Records a violation of an invariant; only the first one is kept. */
void model_report_violation (struct steps_model *model,
                             const char *rule,
                             const char *task);
/* Returns NULL if there is no such job. */
struct model_job *model_get_job (const struct steps_model *model,
                                 uint32_t number);
bool model_chance (struct steps_model *model, double share);
struct model_worker *model_find_worker (struct steps_model *model,
                                        const char *id);

/* Owners. */

/* Creates the present owner, without workers and jobs. */
void model_create_owner (struct steps_model *model, int64_t epoch);
/* Replaces the present owner, which has been removed or is a former one, by one
 * that starts from what is durable. */
void model_start_owner (struct steps_model *model, int64_t epoch);
void model_destroy_owners (struct steps_model *model);
/* Ends the present owner. */
void model_remove_owner (struct steps_model *model);
/* Number of owners that have not been removed; the last one is the present
 * one. */
uint32_t model_n_owners (const struct steps_model *model);
struct model_owner *model_nth_owner (const struct steps_model *model,
                                     uint32_t nth);
/* Returns NULL if there is no such owner or it has ended. */
struct model_owner *model_find_owner (const struct steps_model *model,
                                      int64_t epoch);
struct model_view *model_view (const struct model_owner *owner,
                               struct model_worker *worker);
bool model_reads_store (const struct model_owner *owner);
bool model_writes_store (const struct steps_model *model,
                         const struct model_owner *owner);
/* Renews the leases of owners and ends those that must end. */
void model_update_owners (struct steps_model *model);
/* A worker has rejected a call of the owner because of its epoch. */
void model_fence_owner (struct model_owner *owner);
/* Removes former owners that have ended. */
void model_remove_ended_owners (struct steps_model *model);

/* Workers. */
struct model_worker *model_add_worker (struct steps_model *model,
                                       const char *rack);
void model_register_worker (struct steps_model *model,
                            struct model_worker *worker);
/* Tells one owner of the worker's registry entry. since_ms: a time before the
 * entry was written; 0: unknown. */
void model_show_entry (struct steps_model *model,
                       const struct model_owner *owner,
                       const struct model_worker *worker,
                       int64_t since_ms);
/* Tells the owners that the worker's registry entry was removed. since_ms: a
 * time before that. */
void model_unregister (struct steps_model *model,
                       const struct model_worker *worker,
                       int64_t since_ms);
/* Tells one owner of a job that has been accepted. */
void model_show_job (struct steps_model *model,
                     const struct model_owner *owner,
                     const struct model_job *job,
                     bool inherited);
/* The worker crashes: it loses all its runs and all ends that were not
 * acknowledged. */
void model_forget_runs (struct steps_model *model, struct model_worker *worker);
/* Time since which the worker's data centre is evacuated; -1 if it is not. */
int64_t model_evacuated_ms (const struct steps_model *model,
                            const struct model_worker *worker);
struct model_run *model_find_run (struct model_worker *worker,
                                  const char *task);
const struct gr_step_spec *model_run_spec (const struct steps_model *model,
                                           const struct model_run *run);
/* Time that the run takes on its worker in all. */
int64_t model_run_work_ms (const struct steps_model *model,
                           const struct model_worker *worker,
                           const struct model_run *run);
void model_send_order (struct steps_model *model,
                       struct model_owner *owner,
                       const struct gr_order *order);
void model_transit_order_free (struct transit_order *transit);
void model_advance_orders (struct steps_model *model);
void model_end_run (struct steps_model *model,
                    struct model_worker *worker,
                    guint index,
                    enum gr_run_end how);
uint32_t model_tail_ms (struct steps_model *model,
                        const struct model_worker *worker,
                        const struct model_run *run);
void model_advance_runs (struct steps_model *model);

/* Status polls. */
void model_advance_polls (struct steps_model *model);
void model_drop_polls (struct steps_model *model);
/* Whether calls of the owner reach the worker. */
bool model_reaches (const struct model_owner *owner,
                    struct model_worker *worker);
/* Whether answers of the worker reach the owner as well. */
bool model_gets_answers (const struct model_owner *owner,
                         struct model_worker *worker);
/* A random time for one way of a call; 0 if calls take no time. */
int64_t model_transit_ms (struct steps_model *model);

/* Crashes and changes of capacity. */
void model_crash_worker (struct steps_model *model,
                         struct model_worker *worker,
                         const struct steps_model_crash *crash);
bool model_is_down (const struct model_worker *worker);
/* Whether the run crashes its worker now. */
bool model_run_crashes (const struct steps_model *model,
                        const struct model_run *run);
void model_refuse_poll (struct steps_model *model,
                        struct model_owner *owner,
                        struct model_worker *worker);
/* Restarts crashed workers and updates the registry. */
void model_update_workers (struct steps_model *model);

/* Attempts. */
struct model_attempts *model_attempts_create (void);
void model_attempts_destroy (struct model_attempts *attempts);
void model_attempts_add (struct model_attempts *attempts,
                         const char *unit,
                         uint32_t run);
uint32_t model_attempts_count (const struct model_attempts *attempts,
                               const char *unit);
void
model_note_failure (struct steps_model *model, const char *task, uint32_t run);
void model_note_acknowledged_failure (struct steps_model *model,
                                      const char *task,
                                      uint32_t run);
/* Notes the runs on a worker that crashes. */
void model_note_crash (struct steps_model *model,
                       const struct model_worker *worker);
/* 0: the limit does not change. */
void model_set_limit (struct steps_model *model,
                      const char *queue,
                      uint32_t max_attempts);
/* Check a run that starts, and a job whose failure is durable. */
void model_check_attempt (struct steps_model *model,
                          const struct model_run *run);
void model_check_failed (struct steps_model *model,
                         const struct model_job *job);

/* The store. */
void model_commit_progress (struct steps_model *model);
void model_drop_commits (struct steps_model *model);
/* Publishes the workers for the next owner, unless the store does not work. */
void model_publish_workers (struct steps_model *model);
