/* Data structures and internal functions of the core. Private to steps/. */
#pragma once

#include "steps/crash-log.h"
#include "steps/steps.h"
#include "steps/tenure.h"

struct rack;

/* Further failed jobs of a worker are not remembered. */
#define GR_FAILED_JOBS 8

/* Number of the list that a core inherits; it is durable. */
#define GR_INHERITED_HANDOVER_LIST 1

/* What has been read of the present process of a worker; see inventory.h. */
enum inventory
{
  INVENTORY_UNREAD,   /* it has not answered this owner */
  INVENTORY_RUNS,     /* its runs; no answer has held all its ends yet */
  INVENTORY_COMPLETE, /* its runs and all ends that it had at its first answer
                       */
  INVENTORY_ENDED,    /* the process has ended */
};

struct worker
{
  char *id;
  char *service;
  char *data_centre; /* "" if unknown */
  char *rack;
  struct rack *rack_row; /* set by gr_racks () */
  char **labels;
  struct gr_resources capacity;
  struct gr_resources used;  /* by the tasks assigned to the worker */
  struct step *reserved_for; /* the only step placed here; NULL: any */
  int64_t reserved_until_ms;
  struct gr_resources reserved; /* that are kept for reserved_for; all 0: the
                                   whole worker */
  struct step *planned_for;     /* gang expected to start here; see planned.c */
  int32_t speed; /* class of equal speeds; higher is slower, 0 is typical */
  double class_slowness; /* of the class; set in each placement pass */
  GPtrArray *tasks;      /* struct task; not owned */
  int64_t incarnation_unix_ms;
  int64_t incarnation_seen_ms; /* when it was first seen; 0: unknown */
  bool registered;
  bool evacuated; /* its data centre is; gets no new work */
  bool draining;
  int64_t earliest_leave_ms; /* while draining: it does not leave before this
                                time; 0: unknown */
  bool closed;               /* for upkeep of its machine; gets no new work */
  bool reachable;
  enum inventory inventory;
  bool holds_inherited;      /* work of former owners waits for it; see
                                gr_inventory_tick () */
  bool poll_needed;          /* its state or that of a run is unknown */
  int64_t poll_requested_ms; /* time at which poll_needed was last set */
  int64_t reported_ms;       /* when the poll with the last report was sent; 0:
                                never */
  int64_t refused_ms; /* when it first refused a connection since its last
                         report; 0: it has not */
  bool crash_noted;   /* since its last report; see gr_crash_note_worker () */
  int64_t crashed_ms; /* when its last crash was noted */
  int64_t crash_unreachable_ms; /* since when it had been unreachable then */
  bool crash_restarted;   /* that crash was noticed only when it was back */
  int64_t unreachable_ms; /* since when it is not reachable; 0: it is */
  uint32_t blame;         /* least blame level of runs that its crash counts
                              against; see crash-evidence.c */
  bool unknown_runs; /* the last report listed runs that were then ordered to
                        stop because the core does not know them */
  int64_t unregistered_ms; /* when it was found to have no registry entry; 0:
                              registered */
  int64_t entry_revision;  /* of its registry entry */
  int64_t entry_incarnation_unix_ms; /* of the process that wrote it; 0:
                                        unknown */
  int64_t described_unix_ms; /* start time of the process that labels, capacity
                                and so on are of; 0: unknown */
  int64_t renewed_ms; /* a time before its registry entry was last renewed; 0:
                         unknown */
  uint64_t handover_list; /* first of the handover lists that have named it
                             since without a gap; 0: the last did not */
  int64_t lease_until_ms;
  bool undecided; /* some of its runs have perhaps ended, but the owner's lease
                     did not allow to conclude it; until its next report */
  bool undecided_polled; /* a poll was requested since the lease is certain */
  int64_t full_until_ms; /* no placement until then, as it had less free
                            capacity than computed */
  int64_t processed_end; /* number of the last run end that was processed */
  int64_t durable_end;   /* number of the last run end whose effect is
                                      durable */
  int64_t acknowledged_end; /* acknowledged by a poll that this incarnation has
                               answered */
  int64_t pending_end; /* run end that becomes durable with pending_sequence */
  uint64_t pending_sequence; /* change that makes pending_end durable; 0:
                                nothing is pending */
  /* Jobs that have failed on the worker since a run last succeeded there; see
   * health.c. */
  char failed_jobs[GR_FAILED_JOBS][GR_JOB_ID_DIGITS + 1];
  uint32_t n_failed_jobs;
  int64_t quarantine_until_ms;
  uint32_t quarantine_ms;
  bool quarantined_for_jobs; /* the last quarantine was for failed_jobs */
  bool on_probation;         /* gets one task at a time after a quarantine */
  uint32_t pace; /* percent of processor time that filler tasks may use here */
  int64_t pace_changed_ms;
  double
      learned_slowness;   /* learned; 1.0 if unknown or the workers are alike */
  uint32_t speed_samples; /* of this incarnation, from tasks outside gangs */
};

/* Pace of an adopted run: a former owner may have changed it. */
#define GR_PACE_UNKNOWN 101

struct rack
{
  const char *name;
  uint32_t free_accelerators; /* at the start of the placement pass */
  GPtrArray *workers;
};

enum task_state
{
  TASK_WAITING,
  TASK_STARTING, /* the start order was sent */
  TASK_RUNNING,
  TASK_STOPPING, /* a stop was ordered, but the run may still be active */
  TASK_DONE,
};

struct task
{
  struct step *step;
  uint32_t index;
  enum task_state state;
  struct worker *worker; /* where it is placed; NULL if nowhere */
  uint32_t run;          /* highest known run number */
  uint32_t failures;
  uint32_t *failed_runs;  /* as in struct gr_task_progress; of a gang: only in
                             task 0 */
  uint32_t crashes;       /* workers that crashed under it and count as evidence
                             against it; see crash-evidence.c */
  uint32_t early_crashes; /* of these, soon after its start */
  uint32_t unconfirmed_crashes; /* further workers that were gone after a start
                                   that they may not have received */
  uint32_t dismissed_crashes;   /* further ones right after a start that are no
                                   evidence against it; see crash-evidence.c */
  uint32_t crashes_unassessed;  /* further ones that are not assessed yet */
  uint32_t early_unassessed;    /* of these, soon after a start */
  bool crashes_settling;        /* a counted crash may still be dismissed */
  char *checkpoint;             /* NULL if there is none */
  int64_t placed_ms;            /* when it was placed or adopted */
  bool adopted;                 /* its run was started by a former owner */
  int64_t order_sent_ms;        /* when the last order was queued */
  bool start_sent;          /* a start order for the run has left the queue */
  bool crash_recorded;      /* of its worker, which is not proven yet */
  uint32_t possible_starts; /* start orders of the run that were sent and may
                               have had an effect */
  bool start_pending; /* a start order has neither a result nor a timeout yet */
  int64_t start_result_ms; /* when a start order last had a result or a timeout,
                              or the run was adopted; 0: never */
  bool stop_pending; /* a stop order has neither a result nor a timeout yet */
  uint32_t tries;    /* start orders sent for this run */
  int64_t confirmed_ms; /* since when the run is known to be on the worker; 0:
                           not known */
  int64_t stop_confirmed_ms;
  int64_t incarnation_unix_ms; /* of its worker, as known when the run was
                                  placed or last listed; 0: unknown */
  uint32_t percent;
  int64_t percent_ms; /* when percent last changed */
  uint32_t first_percent;
  int64_t first_percent_ms;
  char avoid_worker[GR_TASK_NAME_SIZE]; /* worker of the last failure; others
                                           are preferred */
  int64_t checkpoint_seen_ms; /* when a new checkpoint was last reported; 0:
                                 never */
  int64_t stop_failed_ms;     /* when a stop of the run last had no effect; 0:
                                 never */
  uint32_t awaited_run;       /* run whose expected end an urgent step waited
                                 for; 0: none */
  int64_t awaited_until_ms;   /* when that run should have ended */
  uint32_t plan;              /* last reclaim plan that stops the run */
  uint32_t usage;             /* from the last poll, see struct gr_run_status */
  uint32_t pace;              /* percent that the worker has acknowledged */
  int64_t pace_sent_ms;
  int64_t seen_ms; /* when a report last listed the run; 0: never */
  enum gr_sample_reject reject; /* why its run teaches nothing */
  bool speed_sampled;           /* the run has given its sample of speed */
  double total_ms; /* of the run that completed it, on a worker of slowness 1.0;
                      0: unknown */
};

/* Advice on whether a worker may run a step. */
struct advice
{
  bool allowed; /* the step may run there; does not change */
  char ticket[GR_TICKET_SIZE];
  int64_t incarnation_unix_ms; /* start time of the worker's incarnation */
  int64_t until_ms;            /* expiry of the ticket */
};

/* Forecast for one quantile of a step's run times. */
struct step_forecast
{
  double quantile;
  int64_t run_ms; /* 0: not computed */
  int64_t computed_ms;
};

#define GR_FORECAST_QUANTILES 2

/* Expected times of a step; see deadline.h. */
struct deadline
{
  int64_t checked_ms;  /* when last computed; 0: never */
  int64_t run_ms;      /* of a task at slowness 1.0, half of the runs */
  int64_t late_run_ms; /* the same, nine of ten runs */
  int64_t accepted_ms; /* when its objective began to count */
  int64_t objective_ms;
  int64_t rest_ms; /* of the longest chain of steps after it */
};

struct step
{
  struct occurrence *occurrence;
  const struct gr_step_spec *spec;
  uint32_t number;
  uint32_t n_tasks;
  struct task *tasks;
  uint32_t n_waiting;
  uint32_t n_done;
  uint32_t gang_run;           /* run number of the last start of a gang */
  GHashTable *advice;          /* worker id -> struct advice; NULL if none */
  uint32_t advice_call;        /* the last one, while its answer is expected;
                                  0: none */
  int64_t advice_requested_ms; /* time of the last request; 0: may be repeated
                                  at once */
  int64_t ready_ms;            /* since when the step can start; 0: not ready */
  int64_t reclaim_started_ms;  /* when capacity was last reclaimed for it */
  int64_t reclaim_failed_ms; /* when reclaiming last found no workers to free */
  int64_t round_failed_ms;   /* when no plan within the budget was last found */
  int64_t round_until_ms;    /* no run is stopped for it until then, unless the
                                round fails; 0: no round yet */
  double reclaim_cost; /* core-seconds lost for it since it last started */
  uint32_t reclaim_gang_run;   /* gang_run when reclaim_cost was last reset */
  bool budget_refused;         /* logged as refused since it last started */
  int64_t rack_fit_checked_ms; /* when fits_rack was last computed; 0: never */
  struct step_forecast *forecasts; /* cache, GR_FORECAST_QUANTILES entries */
  struct deadline deadline;
  int64_t wait_until_ms;  /* it waits for faster workers; 0: never considered */
  bool placement_logged;  /* that speeds decided; once for each step */
  double wait_slowness;   /* of the slowest of these */
  bool placement_counted; /* whether it is expected to be late */
  bool suspected;         /* crashes count against one of its tasks, or are not
                             assessed yet */
  int64_t crashed_ms;     /* when a run of it was last lost in a crash that this
                             owner noticed; 0: never */
  bool fits_rack;         /* some rack is large enough for the whole gang */
  bool enters_plans;      /* lasting work that found no room beside the workers
                             planned for gangs; set while it is placed there */
};

struct occurrence
{
  struct job *job;
  uint32_t number;
  int64_t due_unix_ms; /* 0: at once */
  struct step *steps;
  bool complete;
};

struct job
{
  struct gr_job_spec *spec;
  struct queue *queue;
  struct account *account;
  enum gr_job_state state;
  bool inherited;
  bool fails_by_itself; /* it has failed on a worker where others succeed */
  bool started;         /* a worker has begun one of its tasks */
  bool changed;
  bool has_failures;              /* runs of some task have failed */
  const struct task *failed_task; /* NULL unless the job fails once the owner's
                                     lease is certain; it gets no starts */
  enum gr_failure_cause failure_cause; /* of failed_task */
  uint32_t n_due;          /* occurrences that have been due, in their order */
  uint64_t final_sequence; /* of the change that made it final */
  int64_t added_ms;        /* same as accepted_ms */
  int64_t accepted_ms; /* owner's clock; when the job was added to this core,
                          also after a takeover */
  GPtrArray *occurrences;
  uint32_t n_complete;
  uint32_t active; /* number of tasks assigned to workers */
  uint32_t plan;   /* last reclaim plan that stops runs of the job */
  /* Sums over the runs that run times were learned from. */
  struct
  {
    uint32_t runs;
    double estimate_ms;
    double forecast_ms; /* on a worker of slowness 1.0 */
    double ran_ms;
    double slowness;
  } learned;
};

struct queue
{
  char *name;
  char *service;
  uint32_t priority;
  uint32_t max_attempts; /* 0: not known */
  uint32_t objective_ms;
  double stretch;
  bool needs_advice;
  uint32_t advice_decide_ms; /* as in struct gr_steps_queue */
  uint32_t advice_each_ms;
  /* Workers on which advice was received for the first time for a step, and
   * those of them that were allowed; recent answers count more. */
  uint32_t advice_asked;
  uint32_t advice_allowed;
  uint32_t run_time_samples; /* of its jobs, accepted by this owner */
  struct step *planned_step; /* gang that workers are planned for */
  int64_t planned_ms;        /* when it is expected to start */
  int64_t plan_checked_ms;   /* when a plan was last computed; 0: never */
};

struct account
{
  char *name;
  uint32_t guaranteed;
  uint32_t urgent_demand; /* accelerators that its unfinished urgent jobs
                             (priority 0) need; recomputed at each tick */
};

enum order_rank
{
  ORDER_STOP, /* stop and pace orders */
  ORDER_URGENT_START,
  ORDER_START,
  ORDER_RANKS,
};

/* What is learned from runs; see samples.c. */
struct samples
{
  struct gr_run_times *run_times; /* NULL: not learned */
  struct gr_speeds *speeds;       /* NULL: not learned */
  bool slowness_stale;            /* struct worker holds former figures */
  int64_t updated_ms;
  struct gr_steps_learning counts;
};

struct gr_steps
{
  struct gr_steps_settings settings;
  int64_t epoch;
  int64_t created_ms;
  int64_t registry_settled_ms;  /* until then the registry may lack entries of
                                   live workers */
  int64_t owner_lease_until_ms; /* see tenure.h */
  int64_t former_active_ms;     /* former owners send nothing from then on */
  int64_t now_ms;
  GHashTable *queues;
  GHashTable *accounts;
  GHashTable *workers;    /* id -> struct worker */
  GPtrArray *worker_rows; /* the same workers, sorted by id */
  GPtrArray *racks;       /* struct rack, built from worker_rows */
  bool racks_stale;
  GHashTable *jobs; /* id -> struct job; jobs that are unfinished, still have
                       active tasks or are not durable yet */
  GPtrArray *job_rows;
  GQueue orders[ORDER_RANKS]; /* struct gr_order; see get_order_rank () */
  GQueue changed;             /* struct job */
  GQueue advice_requests;     /* struct gr_advice_request */
  struct gr_advice_service *advice_service;
  GHashTable *advice_calls; /* number -> name of the step (char *) */
  bool advice_without_room; /* the last request was for a step without room */
  GPtrArray *advice_wanted; /* struct step; for which the placement pass would
                               request advice, most urgent first */
  uint64_t sequence;
  uint64_t committed; /* changes up to this sequence number are durable */
  uint32_t plan;      /* number of the last reclaim plan */
  const struct step *held_for; /* step that was refused and for which workers
                                  are kept as their runs end; only compared */
  int64_t held_until_ms;
  int64_t search_cycle_ms; /* since when each refused step may search once */
  bool searches_deferred;  /* in this pass, a step has to wait for the others */
  int64_t searched_ms;     /* pass to which the number of searches belongs */
  uint32_t searches;       /* for room for work beyond its guarantee */
  struct gr_preemption_counts preemption;
  uint64_t runs_lost[GR_LOSS_REASONS];
  uint64_t jobs_failed[GR_FAILURE_CAUSES];
  uint64_t handover_list; /* number of the last handover list */
  uint64_t durable_handover_list;
  bool fenced;
  GHashTable *evacuated; /* names of data centres */
  bool all_evacuated; /* there is an evacuation, and no worker outside of it */
  int64_t evacuation_changed_ms; /* when `evacuated` last changed; 0: never */
  uint32_t starts_withdrawn;     /* not taken yet */
  bool starts_held;              /* see gr_steps_hold_starts () */
  bool mostly_free;          /* at least half of the accelerators are free */
  int64_t order_observed_ms; /* see rank.c */
  int64_t plan_started_ms;   /* pass in which a planned gang last started */
  bool has_plans;            /* some queue has a planned reservation */
  bool uneven_speeds;        /* workers differ in their speed class */
  double fastest;            /* least slowness of a usable worker */
  struct gr_steps_placement placement;
  uint32_t reports_requested; /* until the end of the next placement pass; see
                                 crashes.c */
  struct gr_crash_log *crash_log;
  GArray *crash_reports; /* struct crash_report, in crash-evidence.c */
  struct gr_crash_counts crash_counts;
  bool registry_known;        /* no live worker is missing in worker_rows */
  GPtrArray *holding_workers; /* those with holds_inherited, until the end of
                                 the pass; not owned */
  struct samples samples;
};

/* Tasks. */
void gr_task_name (const struct task *task, char name[GR_TASK_NAME_SIZE]);
struct task *gr_task_find (struct gr_steps *steps, const char *name);
bool gr_task_is_active (const struct task *task);
struct job *gr_task_job (const struct task *task);
struct job *gr_step_job (const struct step *step);

/* Allocates the task's resources on the worker, or frees them. */
void gr_task_assign (struct task *task, struct worker *worker);
void gr_task_unassign (struct task *task);
/* Ends the task's assignment after its run has ended; the task waits to be
 * placed again. */
void gr_task_release (struct gr_steps *steps, struct task *task);
void gr_task_set_done (struct gr_steps *steps, struct task *task);

/* Returns a new run number above highest. It includes the epoch, so that
 * different owners use different run numbers without a write to the store. */
uint32_t gr_next_run (const struct gr_steps *steps, uint32_t highest);

/* Tenure of the owner; see tenure.h. */

/* True if certainly no other owner has been elected. */
bool gr_tenure_is_present (const struct gr_steps *steps);
/* True if certainly no other owner had been elected at time_ms. */
bool gr_tenure_includes (const struct gr_steps *steps, int64_t time_ms);
/* True if the worker's process was known during the tenure. */
bool gr_tenure_knows_process (const struct gr_steps *steps,
                              const struct worker *worker);
/* True if the owner may conclude for this reason that runs of the worker have
 * ended without a report of their end. Once the owner's lease may have expired,
 * only the word of a process that it knew before counts: a successor may have
 * extended the leases of any other, or have its runs in hand. */
bool gr_tenure_may_conclude (struct gr_steps *steps,
                             struct worker *worker,
                             enum gr_loss_reason reason);
/* To be called after a report of the worker has been processed. */
void gr_tenure_reported (const struct gr_steps *steps, struct worker *worker);
/* Polls undecided workers once the owner's lease is certain again. */
void gr_tenure_tick (struct gr_steps *steps);
/* The time at which all that a former owner has started or extended has ended,
 * on workers that this owner has not polled. */
int64_t gr_tenure_former_end_ms (const struct gr_steps *steps);
/* Time left of the owner's lease in ms, negative once it may have expired, as
 * text for the log; "-" if it is not known. */
const char *gr_tenure_left (const struct gr_steps *steps, char text[24]);

/* Workers. */
struct worker *gr_worker_find (struct gr_steps *steps, const char *id);
bool gr_worker_usable (const struct gr_steps *steps,
                       const struct worker *worker);
/* True unless labels, service, capacity and place are those of another process
 * than the present one: a worker can restart under its id as one of another
 * kind. */
bool gr_worker_is_described (const struct worker *worker);
/* True if it gets no work until a handover list that names it is durable. */
bool gr_worker_is_held_back (const struct gr_steps *steps,
                             const struct worker *worker);
/* Requests a poll; one that was sent earlier does not satisfy the request. */
void gr_worker_request_poll (const struct gr_steps *steps,
                             struct worker *worker);
bool gr_worker_has_label (const struct worker *worker, const char *label);
void gr_workers_tick (struct gr_steps *steps);
/* Racks with their workers, sorted by worker id. */
GPtrArray *gr_racks (struct gr_steps *steps);
void gr_workers_destroy (struct gr_steps *steps);
/* Handles a reported start time of the worker. observed_ms: when the poll that
 * reports it was sent; 0 for a registry entry. Returns false if it belongs to
 * a former incarnation. */
bool gr_worker_check_incarnation (struct gr_steps *steps,
                                  struct worker *worker,
                                  int64_t incarnation_unix_ms,
                                  int64_t observed_ms);
/* Assumes the longest possible lease, for runs whose lease was granted by a
 * former owner. */
void gr_worker_assume_longest_lease (struct gr_steps *steps,
                                     struct worker *worker);
/* Assumes the longest lease that a worker grants: a lease that is computed on
 * the clock of its former process can end at any later time on that of the new
 * one. */
void gr_worker_assume_max_hold (struct gr_steps *steps, struct worker *worker);
/* Reserves the worker's capacity that is free, or becomes free, for a step. */
void gr_worker_reserve (struct gr_steps *steps,
                        struct worker *worker,
                        struct step *step);
/* Ends all reservations for the step. */
void gr_workers_release_reserved (struct gr_steps *steps,
                                  const struct step *step);

/* Jobs. */
void gr_job_mark_changed (struct gr_steps *steps, struct job *job);
void gr_job_finish (struct gr_steps *steps,
                    struct job *job,
                    enum gr_job_state state);
/* Ends the task's job as failed, and logs and counts the cause. worker: id of
 * the worker of the last failure or crash. Does nothing if the job is final.
 * While the owner's lease may have expired, the job only gets no further
 * starts. */
void gr_job_fail (struct gr_steps *steps,
                  const struct task *task,
                  const char *worker,
                  enum gr_failure_cause cause);
bool gr_job_is_final (const struct job *job);
void gr_jobs_tick (struct gr_steps *steps, int64_t unix_ms);
void gr_job_destroy (struct job *job);
struct occurrence *gr_job_occurrence (struct job *job, uint32_t number);
bool gr_step_is_ready (const struct step *step);
/* Time after its acceptance, in milliseconds, within which the job should be
 * complete. */
int64_t gr_job_objective_ms (const struct job *job);

/* Orders. */

/* Queues the start order for a task that has a worker and a run number. */
void gr_order_start (struct gr_steps *steps, struct task *task);
/* Queues a stop order for the task's run, unless one was queued already. */
void gr_order_stop (struct gr_steps *steps, struct task *task);
/* Stops a run whose start could not be confirmed, and its gang. reason is a
 * text for the log. */
void gr_order_abandon_start (struct gr_steps *steps,
                             struct task *task,
                             const char *reason);
/* Queues a stop order for any run; changes no task. */
void gr_order_stop_run (struct gr_steps *steps,
                        const struct worker *worker,
                        const char *task,
                        uint32_t run);
/* Queues an order that limits a filler task to this share of its processor
 * time. */
void
gr_order_pace (struct gr_steps *steps, struct task *task, uint32_t percent);
void gr_orders_tick (struct gr_steps *steps);
/* True if so many starts that are not urgent are queued that further ones would
 * only wait longer. */
bool gr_orders_backlogged (const struct gr_steps *steps);

/* Gangs. */

/* Stops all runs of a gang after one of them ended or failed to start. */
void gr_gang_abort (struct gr_steps *steps, struct step *step);
/* True if only a part of the gang has runs. */
bool gr_gang_is_incomplete (const struct step *step);
/* Stops inherited gangs of which only a part was found, if it only waits. */
void gr_gangs_tick (struct gr_steps *steps);

/* Failed runs. */

/* Counts a failed run once, however often it is reported, and fails the job
 * after max_attempts. Runs of lasting tasks are not counted. */
void gr_attempts_count_failure (struct gr_steps *steps,
                                struct task *task,
                                struct worker *worker,
                                uint32_t run);
/* Fails the jobs of which a task waits to be started although it has failed as
 * often as permitted: the limit can be lowered, also before a takeover, or
 * become known later than the failures. */
void gr_attempts_tick (struct gr_steps *steps);

/* Health of workers. */

/* Quarantines the worker if runs of several different jobs failed in a row. */
void gr_health_record_failure (struct gr_steps *steps,
                               struct worker *worker,
                               const struct task *task);
/* Ends such a quarantine: the jobs that failed on the worker fail by
 * themselves. */
void gr_health_record_success (struct gr_steps *steps, struct worker *worker);
/* Ends the probation when it is over. */
void gr_health_tick (struct gr_steps *steps, struct worker *worker);
/* Quarantines the worker unless it already is. reason is a text for the log. */
void gr_health_quarantine (struct gr_steps *steps,
                           struct worker *worker,
                           const char *reason);

/* Tasks that crash their workers. */

/* Notes that the process of the worker has ended, before its runs are released.
 * restarted: this shows only because a new process has taken its place.
 * Does nothing if that was noted since its last report, or if it was leaving.
 */
void gr_crash_note_worker (struct gr_steps *steps,
                           struct worker *worker,
                           bool restarted);
/* The run that the crash has ended has been lost, so the crash is certain. */
void gr_crash_prove (struct gr_steps *steps, struct task *task);
/* There was no crash, or it did not end the run. */
void gr_crash_withdraw (struct gr_steps *steps, struct task *task);
/* The process that is known of the worker was up after since_ms. If that is
 * after its crash was noted, there was none: it only refused connections. */
void gr_crash_withdraw_worker (struct gr_steps *steps,
                               struct worker *worker,
                               int64_t since_ms);
/* Notes a crash of the worker, which was noted before, under a task whose run
 * it ended. It counts once other workers have shown that they did not crash as
 * well. If it is not proven, gr_crash_prove () or gr_crash_withdraw ()
 * follows. Must be called before the run is released. */
void gr_crash_record (struct gr_steps *steps,
                      const struct worker *worker,
                      struct task *task,
                      bool proven);
/* Assesses recent crashes, and fails the jobs of tasks that are likely to crash
 * every worker. */
void gr_crash_tick (struct gr_steps *steps);
/* Continues with the crashes that a former owner has counted. */
void gr_crash_inherit (struct gr_steps *steps, const struct task *task);
/* True if the task is not started now: a crash under it is not assessed yet, or
 * it is suspected and a further crash would show nothing, as other workers
 * crash. */
bool gr_crash_holds_start (const struct gr_steps *steps,
                           const struct task *task);
/* The same for any task of a gang. */
bool gr_crash_holds_gang (const struct gr_steps *steps,
                          const struct step *step);
void gr_crash_create_tables (struct gr_steps *steps);
void gr_crash_destroy_tables (struct gr_steps *steps);
/* True if the process of the worker is known to have received the start of the
 * task's run. */
bool gr_crash_is_confirmed (const struct task *task);
/* Notes whether a start order of the task's run certainly had no effect. */
void gr_crash_start_result (struct task *task, enum gr_order_result result);
/* True if tasks of the step are started on the worker only after it has
 * reported again: runs of the step were lost, and the worker may be gone as
 * well. */
bool gr_crash_needs_report (const struct gr_steps *steps,
                            const struct step *step,
                            const struct worker *worker);
/* Requests a report of the worker, unless one was requested already or too many
 * were in this placement pass. */
void gr_crash_request_report (struct gr_steps *steps,
                              const struct step *step,
                              struct worker *worker);
/* Requests a poll of the worker, unless one was requested already or too many
 * were until the end of the next placement pass. */
void gr_crash_request_poll (struct gr_steps *steps, struct worker *worker);
/* True if the requested report is late, so that other workers are considered
 * meanwhile. */
bool gr_crash_report_is_late (const struct gr_steps *steps,
                              const struct step *step,
                              const struct worker *worker);
/* True if a task of the step must not start on the worker because a task of
 * another job has just started there and one of them is suspected of crashing
 * workers. They are kept apart, so that a crash shows which one caused it. */
bool gr_crash_keeps_apart (const struct gr_steps *steps,
                           const struct step *step,
                           const struct worker *worker);

/* Advice. */

/* True if the step's queue needs no advice, or there is a valid ticket for the
 * worker. */
bool gr_advice_allows (const struct gr_steps *steps,
                       const struct step *step,
                       const struct worker *worker);
/* The ticket to send with a start; "" if there is none. Owned by the step. */
const char *gr_advice_ticket (const struct step *step,
                              const struct worker *worker);
/* Treats the ticket as expired, after the worker has rejected it. */
void gr_advice_expire (struct step *step, const struct worker *worker);
/* Notes that the step could not be placed, and that advice on more workers may
 * help if its queue needs advice. */
void gr_advice_want (struct gr_steps *steps, struct step *step);
/* Requests advice for steps of this placement pass, as far as the service can
 * answer in time. To be called at the end of each pass. */
void gr_advice_send_requests (struct gr_steps *steps);

/* Pace of filler tasks that share a worker with tasks that serve requests. */
void gr_pace_update (struct gr_steps *steps, struct worker *worker);
bool gr_pace_needs_polling (const struct worker *worker);

/* Number of tasks of a lasting step that are not fully started, not counting
 * `excluded`. */
uint32_t gr_step_unavailable_tasks (const struct step *step,
                                    const struct task *excluded);
/* True if the run of a lasting task is fully started. */
bool gr_task_is_at_work (const struct task *task);
/* True if stopping the task certainly keeps its step within max_away. */
bool gr_task_may_be_stopped (const struct gr_steps *steps,
                             const struct task *task);

/* Moves work away from workers that are about to leave. */
void gr_leaving_tick (struct gr_steps *steps);

/* Evacuated data centres. */

/* Applies the evacuations to a worker that is new or has another data
 * centre. */
void gr_evacuation_update_worker (struct gr_steps *steps,
                                  struct worker *worker);
/* Moves lasting tasks away from evacuated data centres, and updates
 * all_evacuated. */
void gr_evacuation_tick (struct gr_steps *steps);

/* Placement. */
void gr_place_tick (struct gr_steps *steps);
/* True if the worker is reserved for another step that this one does not
 * outrank. */
bool gr_worker_is_reserved (const struct worker *worker,
                            const struct step *step);
/* True if the tasks need not be on one rack, or if there is no time left to
 * wait for one. */
bool gr_step_may_spread (struct gr_steps *steps, struct step *step);
/* Number of further tasks of the step that fit into the available resources of
 * the worker. */
uint32_t gr_step_slots_in (const struct step *step,
                           const struct worker *worker,
                           const struct gr_resources *available);
/* Whether a worker has room for a task of the step now. Tickets are ignored, as
 * they are only requested for tasks that wait. */
bool gr_step_has_room (const struct gr_steps *steps, const struct step *step);
/* Resources that are free on the worker for the step. */
struct gr_resources gr_worker_free_resources (const struct worker *worker,
                                              const struct step *step);
/* True if the worker may run tasks of the step, whatever its free capacity. */
bool gr_worker_allowed (const struct gr_steps *steps,
                        const struct worker *worker,
                        const struct step *step);
/* True if the unfinished urgent work of the account fits its guarantee. */
bool gr_account_within_guarantee (const struct account *account);
/* True for urgent work of an account that is within its guarantee. */
bool gr_step_is_guaranteed (const struct step *step);
/* Computes the accelerators that each account's urgent work needs; they decide
 * whether it is within its guarantee. */
void gr_accounts_update_demand (struct gr_steps *steps);

/* Stops runs, those with the least loss first, so that an urgent step can
 * start. */
void gr_reclaim_capacity (struct gr_steps *steps, struct step *step);
