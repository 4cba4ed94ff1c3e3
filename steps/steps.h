/* Decision core for jobs of steps: which task runs on which worker, and when a
 * run is stopped. Pure: no I/O, no clock; the caller passes the time. Inputs
 * are function calls, outputs are orders and changed jobs that the caller takes
 * after each tick. One owner runs it at a time, under an epoch. */
#pragma once

#include "steps/look.h"
#include "steps/spec.h"

#include <glib.h>

struct gr_steps;

struct gr_steps_settings
{
  uint32_t hold_ms;      /* longest lease that an owner gives runs */
  uint32_t gang_wait_ms; /* a member waits so long for the others */
  uint32_t reclaim_ms;   /* guaranteed work starts within this time */
  uint32_t
      isolation_ms; /* a former owner may go on so long without the store */
  uint32_t heartbeat_ms;  /* between two entries of a worker; three are missing
                             before it is removed for its silence */
  uint32_t checkpoint_ms; /* work between two checkpoints */
  double far_factor;      /* slowdown on another rack than the data's */
};

struct gr_steps_queue
{
  const char *name;
  const char *service;
  uint32_t priority; /* 0 is the most urgent */
  uint32_t max_attempts;
  uint32_t objective_ms;
  double stretch;
  bool needs_advice;
};

struct gr_steps_worker
{
  const char *id;
  const char *service;
  const char *rack;
  const char *const *labels; /* NULL-terminated */
  struct gr_resources capacity;
  bool draining;
  int64_t remaining_ms;   /* it drains, and stays so long at least; 0: not
                             known */
  int64_t born_unix_ms;   /* 0 if not known */
  int64_t entry_revision; /* of its entry; rises with each heartbeat */
};

enum gr_job_state
{
  GR_JOB_QUEUED,
  GR_JOB_RUNNING,
  GR_JOB_COMPLETED,
  GR_JOB_FAILED,
  GR_JOB_CANCELLED,
};

/* Failed runs that are remembered, so that none counts twice when its end is
 * listed again. Attempts are few; more than this are counted all the same. */
#define GR_FAILED_RUNS 8

#define GR_PROGRESS_WHOLE_OCCURRENCE UINT32_MAX

/* Most workers that one call for advice names; an answer takes longer with each
 * of them. */
#define GR_ADVICE_WORKERS 30

/* A question which of these workers may run a step. */
struct gr_advice_request
{
  char step[GR_TASK_NAME_SIZE]; /* ID.OCCURRENCE.STEP */
  uint32_t n_workers;
  char workers[GR_ADVICE_WORKERS][GR_TASK_NAME_SIZE];
};

struct gr_advice_row
{
  char worker[GR_TASK_NAME_SIZE];
  char ticket[GR_TICKET_SIZE];
};

/* What lasts of a task, or of a whole occurrence that is complete. */
struct gr_task_progress
{
  uint32_t occurrence;
  uint32_t step; /* GR_PROGRESS_WHOLE_OCCURRENCE: all of it is done */
  uint32_t index;
  bool done;
  uint32_t failures;
  /* The last runs that were counted as failures; run N of them is in place
   * N modulo the size. */
  uint32_t failed_runs[GR_FAILED_RUNS];
  char checkpoint[GR_CHECKPOINT_SIZE];
};

struct gr_job_progress
{
  enum gr_job_state state;
  size_t n_tasks; /* only those that differ from a new one */
  struct gr_task_progress *tasks;
};

void gr_job_progress_clear (struct gr_job_progress *progress);

/* Time after which an order that is not answered counts as unknown; workers
 * answer within milliseconds. An owner that is short of processor time waits
 * longer. */
#define GR_ORDER_TIMEOUT_MS 250

enum gr_order_kind
{
  GR_ORDER_START,
  GR_ORDER_STOP,
  GR_ORDER_PACE, /* how much processor time a filling task may use */
};

struct gr_order
{
  enum gr_order_kind kind;
  char worker[GR_TASK_NAME_SIZE];
  char task[GR_TASK_NAME_SIZE];
  uint32_t run;
  const char *payload; /* owned by the job; valid until the next tick */
  char checkpoint[GR_CHECKPOINT_SIZE];
  char ticket[GR_TICKET_SIZE]; /* of the advice, "" if none is needed */
  uint32_t percent;            /* for a pace */
  int64_t start_limit_ms; /* for a start: it must not begin after so long */
};

/* epoch of the owner, from 1; now_ms is when it became owner. */
struct gr_steps *gr_steps_create (const struct gr_steps_settings *settings,
                                  int64_t epoch,
                                  int64_t now_ms);
void gr_steps_destroy (struct gr_steps *steps);

/* A closed worker gets no new work. */
void
gr_steps_close_worker (struct gr_steps *steps, const char *worker, bool closed);
/* Stops what loses little, and what serves others as far as its step may miss
 * it; with force, everything that ends by itself too. True if nothing runs
 * there. An unknown worker runs nothing. */
bool gr_steps_evacuate_worker (struct gr_steps *steps,
                               const char *worker,
                               bool force);
/* Runs on the worker. */
uint32_t gr_steps_worker_load (const struct gr_steps *steps,
                               const char *worker);

/* Inputs. Structs are copied. */
void gr_steps_set_queue (struct gr_steps *steps,
                         const struct gr_steps_queue *queue);
void gr_steps_set_guarantee (struct gr_steps *steps,
                             const char *account,
                             uint32_t accelerators);
void gr_steps_set_worker (struct gr_steps *steps,
                          const struct gr_steps_worker *worker,
                          int64_t now_ms);
/* The worker is not in the registry any more. An entry that was seen to be
 * renewed less than two heartbeats ago was removed because the worker has left,
 * and all its runs with it; else it is silent, and its runs may go on until
 * their lease has expired. steady: the store has been without a failure, so
 * that it removes entries for no other cause. */
void gr_steps_worker_gone (struct gr_steps *steps,
                           const char *worker,
                           bool steady,
                           int64_t now_ms);
/* A former owner knew the worker: runs can be alive there, whether it has an
 * entry in the registry or not. */
void gr_steps_set_absent (struct gr_steps *steps,
                          const char *worker,
                          int64_t now_ms);
/* Until this time the registry can miss workers that are alive, so that runs
 * of inherited jobs may exist that are not seen. */
void gr_steps_set_registry_settled (struct gr_steps *steps, int64_t settled_ms);
/* Calls visit for each worker that a successor must know of, if it finds no
 * entry of it: all that are registered and do not drain, and those that have
 * left the registry and may have runs. */
void gr_steps_each_inherited (const struct gr_steps *steps,
                              void (*visit) (const char *worker, void *context),
                              void *context);
/* Set false when calls to the worker fail, true when they succeed again. */
void gr_steps_worker_reachable (struct gr_steps *steps,
                                const char *worker,
                                bool reachable,
                                int64_t now_ms);
/* No lease that was given so far lasts longer than until_ms (our clock). */
void gr_steps_worker_lease (struct gr_steps *steps,
                            const char *worker,
                            int64_t until_ms);

/* inherited: accepted before this owner began, so that runs may exist that it
 * has not seen yet. progress may be NULL. Jobs that are final are ignored, as
 * are those that are known. */
void gr_steps_add_job (struct gr_steps *steps,
                       const struct gr_job_spec *spec,
                       const struct gr_job_progress *progress,
                       bool inherited,
                       int64_t now_ms);
void gr_steps_cancel_job (struct gr_steps *steps, const char *id);

/* Answer to an order. */
void gr_steps_order_result (struct gr_steps *steps,
                            const struct gr_order *order,
                            enum gr_order_result result,
                            int64_t now_ms);
void gr_steps_look (struct gr_steps *steps,
                    const char *worker,
                    const struct gr_look *look,
                    int64_t now_ms);
/* Answer to a request: the workers that may run the step, with their tickets;
 * rows is NULL if there was no answer. */
void gr_steps_advice (struct gr_steps *steps,
                      const struct gr_advice_request *request,
                      const struct gr_advice_row *rows,
                      uint32_t n_rows,
                      int64_t valid_ms,
                      int64_t now_ms);
/* Changes up to sequence are durable. */
void gr_steps_committed (struct gr_steps *steps, uint64_t sequence);

/* Runs all systems. unix_ms is the time of day, for occurrences. */
void gr_steps_tick (struct gr_steps *steps, int64_t now_ms, int64_t unix_ms);

/* Outputs. */
/* The first order that can be sent now; the others keep their places. can_send
 * may be NULL: all can. */
bool gr_steps_take_order (struct gr_steps *steps,
                          bool (*can_send) (const char *worker, void *context),
                          void *context,
                          struct gr_order *order);
bool gr_steps_take_advice_request (struct gr_steps *steps,
                                   struct gr_advice_request *request);
/* Id of a job whose progress has changed since it was last taken; NULL if
 * there is none. Valid until the job is removed. */
const char *gr_steps_take_changed (struct gr_steps *steps);
/* Sequence of the last change. */
uint64_t gr_steps_sequence (const struct gr_steps *steps);
/* What lasts of a job, to be cleared by the caller; false if not known. */
bool gr_steps_progress (const struct gr_steps *steps,
                        const char *id,
                        struct gr_job_progress *progress);
/* A worker has refused a call because of a higher epoch. */
void gr_steps_set_fenced (struct gr_steps *steps);
bool gr_steps_fenced (const struct gr_steps *steps);
/* Number of the last end of the worker whose effect is durable. */
int64_t gr_steps_noted (const struct gr_steps *steps, const char *worker);

enum gr_look_need
{
  GR_LOOK_NONE,     /* nothing runs there */
  GR_LOOK_WAIT,     /* runs that can end at any time */
  GR_LOOK_PERIODIC, /* the same; to be looked at again soon, without waiting:
                       ends are not durable yet, or a filling task is paced */
  GR_LOOK_NOW,      /* something is not known */
};
enum gr_look_need gr_steps_look_need (const struct gr_steps *steps,
                                      const char *worker);

/* Calls visit for each job of which a task has begun and that is not final. */
void gr_steps_each_begun (const struct gr_steps *steps,
                          void (*visit) (const char *id, void *context),
                          void *context);

/* For logs and metrics. */
struct gr_steps_counts
{
  uint32_t jobs;
  uint32_t jobs_waiting; /* no task has begun */
  uint32_t tasks_waiting;
  uint32_t tasks_running;
  uint32_t workers;
  uint32_t workers_usable;
  uint32_t workers_quarantined;
  uint32_t accelerators;
  uint32_t accelerators_used;
  uint32_t orders; /* that wait to be taken */
};
void gr_steps_counts (const struct gr_steps *steps,
                      struct gr_steps_counts *counts);
