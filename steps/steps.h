/* Scheduling core for multi-step jobs: decides which task runs on which worker
 * and when a run is stopped. It does no I/O and reads no clock; the caller
 * passes the time. Inputs are function calls; outputs are orders and changed
 * jobs, which the caller takes after each tick. Only one owner runs the core at
 * a time, identified by its epoch. */
#pragma once

#include "common/mode.h"
#include "learn/run-times.h"
#include "learn/speeds.h"
#include "steps/advice-service.h"
#include "steps/look.h"
#include "steps/spec.h"

#include <glib.h>

struct gr_steps;

struct gr_steps_settings
{
  uint32_t run_lease_ms; /* longest lease on its runs that an owner grants to a
                            worker */
  uint32_t max_hold_ms;  /* longest lease that a worker grants, whatever it is
                            asked for */
  uint32_t gang_wait_ms; /* longest wait of a gang member for the others */
  uint32_t reclaim_ms;   /* guaranteed work starts within this time */
  /* Time for which an owner sends orders and extends leases after its own lease
   * may have expired; see tenure.h. */
  uint32_t isolation_ms;
  /* Interval at which a worker renews its registry entry; the entry is removed
   * after three missed heartbeats. */
  uint32_t heartbeat_ms;
  uint32_t checkpoint_ms;  /* work done between two checkpoints */
  double far_factor;       /* slowdown on racks other than that of the data */
  uint32_t stop_ms;        /* longest time of a stop */
  enum gr_mode run_times;  /* learning of run times; see docs/design/ */
  enum gr_mode speeds;     /* learning of the speeds of workers */
  enum gr_mode objectives; /* order and placement by expected completion */
  enum gr_mode budget;     /* limit for work that is lost to preemption */
};

struct gr_steps_queue
{
  const char *name;
  const char *service;   /* only its workers run the queue's tasks */
  uint32_t priority;     /* 0 is the most urgent */
  uint32_t max_attempts; /* failed runs of one task after which a job fails; 0:
                            as set before, or no limit */
  /* A job should be complete within objective_ms + stretch * the sum of its
   * steps' estimates. */
  uint32_t objective_ms;
  double stretch;
  bool needs_advice; /* starts need a ticket of the advice service */
  /* Time that the advice service needs for a call: advice_decide_ms and
   * advice_each_ms for each worker named. */
  uint32_t advice_decide_ms;
  uint32_t advice_each_ms;
};

struct gr_steps_worker
{
  const char *id;
  const char *service;
  const char *data_centre; /* NULL or "" if unknown */
  const char *rack;
  const char *const *labels; /* NULL-terminated */
  struct gr_resources capacity;
  bool draining;
  int64_t remaining_ms; /* while draining: minimum time from when the entry was
                           written until it leaves; 0: unknown */
  int64_t incarnation_unix_ms; /* start of this incarnation; 0 if unknown */
  int64_t entry_revision; /* revision of its registry entry; rises with each
                             heartbeat */
  int64_t since_ms;       /* a time before the entry was written; 0: unknown */
};

enum gr_job_state
{
  GR_JOB_QUEUED,
  GR_JOB_RUNNING,
  GR_JOB_COMPLETED,
  GR_JOB_FAILED,
  GR_JOB_CANCELLED,
};

/* Failed runs that are remembered per task, so that a failure that is reported
 * again is not counted twice. Each takes 4 bytes of the progress record, which
 * is written with every failure. Failures beyond this number are still counted,
 * as the platform sets no bound for max_attempts. */
#define GR_MAX_FAILED_RUNS 64

#define GR_PROGRESS_WHOLE_OCCURRENCE UINT32_MAX

/* Most workers named in one advice request; the answer takes longer with each
 * of them. */
#define GR_ADVICE_WORKERS 30

/* Asks which of these workers may run a step. */
struct gr_advice_request
{
  uint32_t number;              /* of the call; see steps/advice-service.h */
  char step[GR_TASK_NAME_SIZE]; /* ID.OCCURRENCE.STEP */
  uint32_t n_workers;
  char workers[GR_ADVICE_WORKERS][GR_TASK_NAME_SIZE];
};

struct gr_advice_row
{
  char worker[GR_TASK_NAME_SIZE];
  char ticket[GR_TICKET_SIZE];
};

/* End of an advice request. */
struct gr_advice_answer
{
  enum gr_advice_result result;
  /* If the request was answered: the workers that may run the step, with
   * tickets that are valid for valid_ms. */
  const struct gr_advice_row *rows;
  uint32_t n_rows;
  int64_t valid_ms;
};

/* Durable progress of a task, or of a whole occurrence that is complete. */
struct gr_task_progress
{
  uint32_t occurrence;
  uint32_t step; /* GR_PROGRESS_WHOLE_OCCURRENCE: all steps are done */
  uint32_t index;
  bool done;
  uint32_t failures;
  /* Ring of the last runs that were counted as failures, 0 if unknown: failure
   * N is at index N modulo GR_MAX_FAILED_RUNS. Has gr_failed_runs_kept
   * (failures) entries; NULL if there are none. */
  uint32_t *failed_runs;
  /* Workers that crashed under the task and count as evidence against it, and
   * how many of them soon after its start. */
  uint32_t crashes;
  uint32_t early_crashes;
  /* Workers that were gone after a start that they may not have received. Not
   * included in crashes. */
  uint32_t unconfirmed_crashes;
  /* Crashes right after a start of the task that are no evidence against it.
   * Not included in the others. */
  uint32_t dismissed_crashes;
  char checkpoint[GR_CHECKPOINT_SIZE];
};

struct gr_job_progress
{
  enum gr_job_state state;
  size_t n_tasks; /* only those that differ from a new task */
  struct gr_task_progress *tasks;
};

/* Number of failed runs that are remembered of a task. */
uint32_t gr_failed_runs_kept (uint32_t failures);
/* Frees the tasks and zeroes the struct. */
void gr_job_progress_clear (struct gr_job_progress *progress);

/* Time after which the outcome of an unanswered order is unknown. Workers
 * answer within milliseconds; an owner that is short of processor time waits
 * longer. */
#define GR_ORDER_TIMEOUT_MS 250

/* A worker does not start a run later than this after it was placed, so that a
 * delayed order has no effect. */
#define GR_START_LIMIT_MS 2000

enum gr_order_kind
{
  GR_ORDER_START,
  GR_ORDER_STOP,
  GR_ORDER_PACE, /* limits the processor time of a filler task */
};

struct gr_order
{
  enum gr_order_kind kind;
  char worker[GR_TASK_NAME_SIZE];
  char task[GR_TASK_NAME_SIZE];
  uint32_t run;
  const char *payload; /* owned by the job; valid until the next tick */
  char checkpoint[GR_CHECKPOINT_SIZE];
  char ticket[GR_TICKET_SIZE]; /* from the advice reply; "" if none is needed */
  uint32_t percent;            /* processor share, for GR_ORDER_PACE */
  int64_t start_limit_ms; /* for GR_ORDER_START: the worker must not start the
                             run after this time */
  bool same_process; /* to be sent only to the process that has answered a poll
                        of this owner, else the result is GR_ORDER_NOT_SENT */
};

/* epoch is that of the owner and starts at 1; now_ms is the time at which it
 * became the owner. Settings are copied. Destroy with gr_steps_destroy (). */
struct gr_steps *gr_steps_create (const struct gr_steps_settings *settings,
                                  int64_t epoch,
                                  int64_t now_ms);
void gr_steps_destroy (struct gr_steps *steps);

/* Stops (closed) or resumes placing new work on the worker. */
void
gr_steps_close_worker (struct gr_steps *steps, const char *worker, bool closed);
/* Stops running tasks on the worker that checkpoint, and lasting tasks as far
 * as max_away of their step allows; with force, also every other task that ends
 * by itself. Returns true if no runs are left there, also if the worker is
 * unknown, but not while a former owner may have left runs there. */
bool gr_steps_evacuate_worker (struct gr_steps *steps,
                               const char *worker,
                               bool force);
/* Starts (evacuated) or ends the evacuation of a data centre. While it is
 * evacuated, nothing is started on its workers, starts without a result are
 * withdrawn together with their gangs, and they do not count as capacity;
 * confirmed runs continue, except that lasting tasks move as far as max_away of
 * their step allows. Withdrawals are queued before the call returns. The data
 * centre need not have workers yet. Returns true if this is a change. */
bool gr_steps_set_evacuated (struct gr_steps *steps,
                             const char *data_centre,
                             bool evacuated);
/* Returns the number of starts that evacuations have withdrawn since the last
 * call. */
uint32_t gr_steps_take_starts_withdrawn (struct gr_steps *steps);
/* While held, nothing is placed and queued starts are not taken, because the
 * set of evacuated data centres may be out of date. */
void gr_steps_hold_starts (struct gr_steps *steps, bool held);
/* Number of runs on the worker; 0 if it is unknown, UINT32_MAX if a former
 * owner may have left runs there that are not known yet. */
uint32_t gr_steps_worker_load (const struct gr_steps *steps,
                               const char *worker);

/* Connections to the worker's address are refused. Its process may have ended,
 * but a network that rejects traffic refuses connections as well, so its runs
 * are kept until a new incarnation, a departure or their lease shows that they
 * have ended. If they are lost, the worker counts as crashed at this time.
 * sent_ms: when the refused call was sent. */
void gr_steps_worker_refused (struct gr_steps *steps,
                              const char *id,
                              int64_t sent_ms,
                              int64_t now_ms);

/* Another worker has answered at the worker's address: its process has ended,
 * and all its runs with it. sent_ms: when the call that shows it was sent. */
void gr_steps_worker_gone (struct gr_steps *steps,
                           const char *id,
                           int64_t sent_ms,
                           int64_t now_ms);

/* The worker has another clock than the one on which leases were granted to its
 * runs so far, so its process has been restarted. Leases may last as long as
 * the worker permits, and a poll is requested. */
void gr_steps_worker_clock_changed (struct gr_steps *steps,
                                    const char *id,
                                    int64_t now_ms);

/* Inputs. Structs are copied. */
void gr_steps_set_queue (struct gr_steps *steps,
                         const struct gr_steps_queue *queue);
/* Number of accelerators guaranteed to urgent work of the account. */
void gr_steps_set_guarantee (struct gr_steps *steps,
                             const char *account,
                             uint32_t accelerators);
/* Adds a worker, or updates it, from its registry entry. Returns false, without
 * effect on the worker, if a former process of it wrote the entry: a write can
 * be carried out seconds late. */
bool gr_steps_set_worker (struct gr_steps *steps,
                          const struct gr_steps_worker *worker,
                          int64_t now_ms);
/* Records that the worker has no registry entry any more. If its entry was
 * certainly renewed less than two and a half heartbeats ago and store_healthy
 * is true, the worker has left, and the runs that are older than that have
 * ended; later ones may be on a process that has started since, which a poll
 * shows. Otherwise it is silent, and its runs may continue until their lease
 * has expired. since_ms: a time before the removal; 0: unknown. store_healthy:
 * the store has had no failures, so entries are removed only because the worker
 * left or stopped renewing. */
void gr_steps_worker_unregistered (struct gr_steps *steps,
                                   const char *worker,
                                   int64_t since_ms,
                                   bool store_healthy,
                                   int64_t now_ms);
/* Adds a worker that the durable list of a former owner names: it may have
 * active runs, whether it has a registry entry or not. */
void gr_steps_add_inherited_worker (struct gr_steps *steps,
                                    const char *worker,
                                    int64_t now_ms);
/* Until this time the registry can lack entries of live workers, so inherited
 * jobs may have runs that this owner has not seen. An earlier time than the
 * recorded one is ignored. */
void gr_steps_set_registry_settled (struct gr_steps *steps,
                                    int64_t registry_settled_ms);
/* Lists the workers that must be handed over to the next owner, which may find
 * no registry entry of them: all that are registered, draining or not, and
 * unregistered ones that may still have runs or ends that are not durable. add
 * is called for each and returns false if it cannot be named. Returns the
 * number of the list. */
uint64_t gr_steps_list_handover_workers (struct gr_steps *steps,
                                         bool (*add) (const char *worker,
                                                      void *context),
                                         void *context);
/* The list, which has this number, is what a successor reads from now on. A
 * worker gets no work before a list that names it is durable. */
void gr_steps_set_handover_list_durable (struct gr_steps *steps, uint64_t list);
/* What the lists say of the worker is out of date, such as its address: it gets
 * no work until a further list is durable. */
void gr_steps_set_handover_outdated (struct gr_steps *steps,
                                     const char *worker);
/* True if a worker gets no work only because no durable list names it. */
bool gr_steps_has_workers_held_back (const struct gr_steps *steps);
/* Set to false when calls to the worker fail, and to true when they succeed
 * again. */
void gr_steps_set_worker_reachable (struct gr_steps *steps,
                                    const char *worker,
                                    bool reachable,
                                    int64_t now_ms);
/* Records that leases granted to the worker's runs may last until until_ms (the
 * owner's clock). An earlier time than the recorded one is ignored. */
void gr_steps_extend_worker_lease (struct gr_steps *steps,
                                   const char *worker,
                                   int64_t until_ms);

/* inherited: the job was accepted before this owner started, so it may have
 * runs that this owner has not seen yet. progress may be NULL. Final jobs and
 * jobs that are already known are ignored. */
void gr_steps_add_job (struct gr_steps *steps,
                       const struct gr_job_spec *spec,
                       const struct gr_job_progress *progress,
                       bool inherited,
                       int64_t now_ms);
/* Stops all runs of the job. Unknown and final jobs are ignored. */
void gr_steps_cancel_job (struct gr_steps *steps, const char *id);

/* Processes the result of an order. A result for an earlier run of the task has
 * no effect, unless it is GR_ORDER_FENCED. */
void gr_steps_order_result (struct gr_steps *steps,
                            const struct gr_order *order,
                            enum gr_order_result result,
                            int64_t now_ms);
/* Processes the reply of a worker to a status poll. Returns false if it has no
 * effect, because the worker is unknown or the reply is that of a former
 * process. */
bool gr_steps_process_report (struct gr_steps *steps,
                              const char *worker,
                              const struct gr_run_report *report,
                              int64_t now_ms);
/* Processes the end of an advice request, also if it comes late. */
void gr_steps_advice_reply (struct gr_steps *steps,
                            const struct gr_advice_request *request,
                            const struct gr_advice_answer *answer,
                            int64_t now_ms);
/* Records that all changes up to sequence are durable. */
void gr_steps_committed (struct gr_steps *steps, uint64_t sequence);

/* Runs one scheduling pass. unix_ms is the wall-clock time, used for the due
 * times of occurrences. */
void gr_steps_tick (struct gr_steps *steps, int64_t now_ms, int64_t unix_ms);

/* Outputs. */

/* Takes the first order that can be sent now; the others keep their positions.
 * Returns false if there is none. If can_send is NULL, all orders can be
 * sent. */
bool gr_steps_take_order (struct gr_steps *steps,
                          bool (*can_send) (const char *worker, void *context),
                          void *context,
                          struct gr_order *order);
/* Takes the next advice request; it must be answered with
 * gr_steps_advice_reply (). Returns false if there is none. */
bool gr_steps_take_advice_request (struct gr_steps *steps,
                                   struct gr_advice_request *request);
/* Returns the id of a job whose progress has changed since it was last taken,
 * or NULL if there is none. Valid until the job is removed. */
const char *gr_steps_take_changed (struct gr_steps *steps);
/* Sequence number of the last change. */
uint64_t gr_steps_sequence (const struct gr_steps *steps);
/* Fills in the progress of a job that has to be stored; the caller clears it
 * with gr_job_progress_clear (). For a final job it holds the state only.
 * Returns false if the job is unknown. */
bool gr_steps_progress (const struct gr_steps *steps,
                        const char *id,
                        struct gr_job_progress *progress);
/* Records that a worker has rejected a call because another owner has a higher
 * epoch. */
void gr_steps_set_fenced (struct gr_steps *steps);
/* Returns true if a call was rejected in this way; the owner must then stop. */
bool gr_steps_fenced (const struct gr_steps *steps);
/* Number of the worker's last run end whose effect is durable; ends up to it
 * can be acknowledged to the worker. */
int64_t gr_steps_durable_end (const struct gr_steps *steps, const char *worker);
/* As above, but 0 once the worker has answered a poll that acknowledged it, and
 * after a failed poll until the next answer. A process that has started since
 * under the same id, which the owner may not know of yet, would forget ends of
 * its own up to that number. */
int64_t gr_steps_end_to_acknowledge (const struct gr_steps *steps,
                                     const char *worker);

/* True if the worker's present process has answered a poll of this owner. Until
 * then no lease may be extended there: the process can have runs that this
 * owner does not know of and whose leases it expects to expire. */
bool gr_steps_has_polled (const struct gr_steps *steps, const char *worker);

enum gr_poll_need
{
  GR_POLL_NONE, /* nothing runs there */
  GR_POLL_WAIT, /* runs may end at any time; the poll can wait at the worker for
                   an end */
  GR_POLL_PERIODIC, /* as above, but poll again soon and without waiting: ends
                       are not durable yet or not all listed, unknown runs
                       were ordered to stop, or filler tasks are being paced */
  GR_POLL_NOW,      /* the state of the worker or of a run is unknown, or the
                       next part of its ends can be read */
};
enum gr_poll_need gr_steps_poll_need (const struct gr_steps *steps,
                                      const char *worker);

/* Calls visit for each job that is not final and of which a task has been
 * started. */
void gr_steps_each_started_job (const struct gr_steps *steps,
                                void (*visit) (const char *id, void *context),
                                void *context);

/* Totals since the core was created. Index 0: for guaranteed work, 1: for
 * other urgent work. A core-second of an accelerator counts as 8. */
struct gr_preemption_counts
{
  uint64_t runs[2]; /* stopped */
  double core_s[2]; /* work that these runs lost, in core-seconds */
  /* The rest is counted in the modes observe and on. */
  double planned_core_s; /* work that the stops decided under the budget lose */
  uint64_t awaited_runs; /* runs waited for instead of being stopped */
  uint64_t refused_steps;
};

/* Decisions by expected completion since this owner started. With
 * GR_MODE_OBSERVE, those that would have been taken. */
struct gr_steps_placement
{
  uint64_t gangs_fast_enough; /* their objective is expected to be met */
  uint64_t gangs_too_slow;
  uint64_t steps_expected_late; /* not expected to meet it when first placed */
  uint64_t choices_changed; /* workers differ from the choice without speeds */
  uint64_t orders_changed;  /* looks, five a second with GR_MODE_OBSERVE, at
                               which the order differs from arrival order */
  uint64_t gangs_waited;    /* for faster workers */
  uint64_t reservations_made;
  uint64_t reservations_kept; /* the gang started in time */
  uint64_t reservations_expired;
  uint64_t tasks_backfilled;
};

/* Why a run counts as ended although no end was reported. */
enum gr_loss_reason
{
  GR_LOSS_RESTARTED, /* the worker has a new incarnation */
  GR_LOSS_GONE,      /* another worker has its address */
  GR_LOSS_LEFT,      /* it had drained, and its registry entry was removed */
  GR_LOSS_LEASE,     /* its lease has expired */
  GR_LOSS_CRASHED,   /* the same, and since it refuses connections it has not
                        renewed its registry entry */
  GR_LOSS_MISSING,   /* the worker does not report it */
  GR_LOSS_REASONS,
};

/* Name of the reason for logs and metrics; static. */
const char *gr_loss_reason_name (enum gr_loss_reason reason);

/* Crashes of workers under tasks, by whether they count against the task. */
struct gr_crash_counts
{
  uint64_t counted;
  uint64_t common_cause; /* several other workers crashed at the same time */
  uint64_t not_verified; /* too few other workers have reported since */
};

/* Why a job was shown as failed. */
enum gr_failure_cause
{
  GR_FAILURE_ATTEMPTS, /* a task used up the attempts of its queue */
  GR_FAILURE_CRASHES,  /* a task crashed the workers that started it */
  GR_FAILURE_CAUSES,
};

/* Name of the cause for metrics; static. */
const char *gr_failure_cause_name (enum gr_failure_cause cause);

/* For logs and metrics. */
struct gr_steps_counts
{
  uint32_t jobs;
  uint32_t jobs_waiting; /* no task has been started */
  uint32_t tasks_waiting;
  uint32_t tasks_running;
  uint32_t workers;
  uint32_t workers_usable;
  uint32_t workers_quarantined;
  uint32_t workers_held_back; /* see gr_steps_has_workers_held_back () */
  uint32_t accelerators;
  uint32_t accelerators_used;
  uint32_t orders; /* queued, not taken yet */
  struct gr_preemption_counts preemption;
  struct gr_steps_placement placement;
  uint64_t runs_lost[GR_LOSS_REASONS];     /* since the core was created */
  uint64_t jobs_failed[GR_FAILURE_CAUSES]; /* since the core was created */
  struct gr_crash_counts crashes;          /* since the core was created */
};
void gr_steps_counts (const struct gr_steps *steps,
                      struct gr_steps_counts *counts);

/* Learned run times and speeds; see docs/design/learning.md. */

/* Why nothing was learned from a run. */
enum gr_sample_reject
{
  GR_SAMPLE_ACCEPTED,
  GR_SAMPLE_NOT_DONE,      /* failed, stopped, broken, lapsed or crashed */
  GR_SAMPLE_KIND,          /* a lasting or filler task */
  GR_SAMPLE_ADOPTED,       /* started by a former owner */
  GR_SAMPLE_RESUMED,       /* from a checkpoint */
  GR_SAMPLE_START_UNCLEAR, /* its start was ordered more than once */
  GR_SAMPLE_FAR,           /* not on the rack of its data */
  GR_SAMPLE_SPREAD,        /* a gang for one rack that ran on several racks */
  GR_SAMPLE_SILENT,        /* its worker did not answer */
  GR_SAMPLE_DRAINING,      /* its worker was about to leave */
  GR_SAMPLE_REASONS,
};

/* Name of the reason for logs and metrics; static. */
const char *gr_sample_reject_name (enum gr_sample_reject reason);

struct gr_steps_learning
{
  uint64_t run_time_samples;
  uint64_t speed_samples;
  uint64_t rejected[GR_SAMPLE_REASONS];
  uint32_t keys; /* models of run times */
  bool uneven;
  struct gr_speeds_summary speeds;
  /* Recent mean of the absolute natural logarithm of true to predicted time. */
  double estimate_error;
  double forecast_error;
};
/* Zero for what is not learned. */
void gr_steps_learning (const struct gr_steps *steps,
                        struct gr_steps_learning *learning);

/* Call visit for each row of the tables; no calls if nothing is learned. */
void gr_steps_each_learned_run_time (
    const struct gr_steps *steps,
    void (*visit) (const struct gr_run_time_row *row, void *context),
    void *context);
void gr_steps_each_learned_speed (const struct gr_steps *steps,
                                  void (*visit) (const struct gr_speed_row *row,
                                                 void *context),
                                  void *context);
/* Returns false if speeds are not learned. */
bool gr_steps_learned_speeds_state (const struct gr_steps *steps,
                                    struct gr_speeds_state *state);
/* Restore a row that a former owner has stored. Return false if a value is out
 * of range; true without effect if the table is not learned. */
bool gr_steps_restore_run_time (struct gr_steps *steps,
                                const struct gr_run_time_row *row);
bool gr_steps_restore_speed (struct gr_steps *steps,
                             const struct gr_speed_row *row);
bool gr_steps_restore_speeds_state (struct gr_steps *steps,
                                    const struct gr_speeds_state *state);
/* Discards all that was learned. */
void gr_steps_reset_learned (struct gr_steps *steps);
