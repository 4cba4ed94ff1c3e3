/* Tables of the core. Private to steps/. */
#pragma once

#include "steps/steps.h"

struct rack;

struct worker
{
  char *id;
  char *service;
  char *rack;
  struct rack *rack_row; /* set by gr_racks () */
  char **labels;
  struct gr_resources capacity;
  struct gr_resources used; /* by the tasks that are on it */
  struct step *room_for;    /* nothing else is placed here; NULL: anything */
  int64_t room_until_ms;
  GPtrArray *tasks; /* struct task; not owned */
  int64_t born_unix_ms;
  bool registered;
  bool draining;
  int64_t leave_ms; /* it stays until then at least; 0: not known */
  bool closed;      /* for its machine's upkeep */
  bool reachable;
  bool seen;              /* looked at by this owner */
  bool look_soon;         /* something about it is not known */
  int64_t look_wanted_ms; /* since then */
  int64_t gone_ms;
  int64_t entry_revision; /* of its entry in the registry */
  int64_t renewed_ms;     /* when the entry was seen to change; 0: never */
  int64_t lease_until_ms;
  int64_t full_until_ms; /* it had less room than was computed */
  int64_t processed;     /* number of the last end that was read */
  int64_t noted;         /* of the last end whose effect is durable */
  int64_t pending_number;
  uint64_t pending_sequence; /* 0: nothing is pending */
  /* Failures in a row, of different jobs; see health.c. */
  uint32_t failures;
  char last_failed_job[GR_JOB_ID_DIGITS + 1];
  int64_t quarantine_until_ms;
  uint32_t quarantine_ms;
  uint32_t pace; /* percent that filling tasks may use here */
  int64_t pace_changed_ms;
};

/* Of a run that a former owner may have paced. */
#define GR_PACE_UNKNOWN 101

struct rack
{
  const char *name;
  uint32_t room; /* accelerators that are free, as the run of placement began */
  GPtrArray *workers;
};

enum task_state
{
  TASK_WAITING,
  TASK_STARTING, /* the order was sent */
  TASK_RUNNING,
  TASK_STOPPING, /* may still run */
  TASK_DONE,
};

struct task
{
  struct step *step;
  uint32_t index;
  enum task_state state;
  struct worker *worker; /* where its resources are taken; NULL if nowhere */
  uint32_t run;          /* highest that is known */
  uint32_t failures;
  uint32_t failed_runs[GR_FAILED_RUNS]; /* task 0 counts for a gang */
  char *checkpoint;                     /* NULL if there is none */
  int64_t placed_ms;
  int64_t order_ms;    /* last order that was sent */
  bool order_open;     /* a start has neither answer nor timeout yet */
  bool stop_open;      /* the same of a stop */
  uint32_t tries;      /* of the start order */
  int64_t answered_ms; /* the run is on the worker since; 0: not known */
  int64_t stop_answered_ms;
  uint32_t percent;
  int64_t percent_ms; /* when percent last rose */
  uint32_t first_percent;
  int64_t first_percent_ms;
  char avoid[GR_TASK_NAME_SIZE]; /* worker of the last failure */
  uint32_t usage;                /* of the last look, see struct gr_running */
  uint32_t pace;                 /* percent that the worker has acknowledged */
  int64_t pace_sent_ms;
};

/* What the advice says of a worker for one step. */
struct advice
{
  bool good; /* does not change */
  char ticket[GR_TICKET_SIZE];
  int64_t born_unix_ms; /* of the worker's incarnation */
  int64_t until_ms;     /* of the ticket */
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
  uint32_t gang_run;  /* of the last start of a gang */
  GHashTable *advice; /* worker id -> struct advice; NULL if none */
  bool advice_open;   /* a request has no answer yet */
  int64_t advice_ms;  /* when it was last asked for */
  int64_t ready_ms;   /* since when it could start; 0: not ready */
  int64_t room_ms;    /* when room was last asked for */
  int64_t reclaim_ms; /* when no worker could make room for it */
  int64_t fit_ms;     /* when fits_rack was looked up; 0: never */
  bool fits_rack;     /* some rack is large enough for the gang */
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
  bool begun;
  bool changed;
  uint64_t final_sequence; /* of the change that made it final */
  int64_t added_ms;
  int64_t accepted_ms; /* our clock, estimated */
  GPtrArray *occurrences;
  uint32_t n_complete;
  uint32_t active; /* tasks that are on workers */
};

struct queue
{
  char *name;
  char *service;
  uint32_t priority;
  uint32_t max_attempts;
  uint32_t objective_ms;
  double stretch;
  bool needs_advice;
};

struct account
{
  char *name;
  uint32_t guaranteed;
  uint32_t urgent_demand; /* computed at each tick: of its jobs of priority 0
                             that are not final */
};

enum order_rank
{
  ORDER_STOP, /* and pace */
  ORDER_URGENT_START,
  ORDER_START,
  ORDER_RANKS,
};

struct gr_steps
{
  struct gr_steps_settings settings;
  int64_t epoch;
  int64_t created_ms;
  int64_t settled_ms; /* the registry may miss living workers before */
  int64_t now_ms;
  GHashTable *queues;
  GHashTable *accounts;
  GHashTable *workers;    /* id -> struct worker */
  GPtrArray *worker_rows; /* the same, in order of their ids */
  GPtrArray *racks;       /* struct rack, of worker_rows */
  bool racks_stale;
  GHashTable *jobs; /* id -> struct job, not final or still active */
  GPtrArray *job_rows;
  GQueue orders[ORDER_RANKS]; /* struct gr_order; see rank_of () */
  GQueue changed;             /* struct job */
  GQueue advice_requests;     /* struct gr_advice_request */
  uint32_t advice_open;
  uint64_t sequence;
  uint64_t committed; /* changes up to this are durable */
  bool fenced;
  bool mostly_free; /* half of the accelerators or more */
  bool all_located; /* no run of an inherited job can be unseen */
};

/* Tasks. */
void gr_task_name (const struct task *task, char name[GR_TASK_NAME_SIZE]);
struct task *gr_task_find (struct gr_steps *steps, const char *name);
bool gr_task_is_active (const struct task *task);
struct job *gr_task_job (const struct task *task);
struct job *gr_step_job (const struct step *step);

/* Takes resources of worker for the task, or gives them back. */
void gr_task_assign (struct task *task, struct worker *worker);
void gr_task_unassign (struct task *task);
/* The run is over; the task waits again. */
void gr_task_release (struct gr_steps *steps, struct task *task);
void gr_task_done (struct gr_steps *steps, struct task *task);

/* The epoch makes runs of different owners differ without a write. */
uint32_t gr_next_run (const struct gr_steps *steps, uint32_t highest);

/* Workers. */
struct worker *gr_worker_find (struct gr_steps *steps, const char *id);
bool gr_worker_usable (const struct gr_steps *steps,
                       const struct worker *worker);
/* A look is needed that is sent from now on. */
void gr_worker_want_look (const struct gr_steps *steps, struct worker *worker);
bool gr_worker_has_label (const struct worker *worker, const char *label);
void gr_workers_tick (struct gr_steps *steps);
/* Racks with their workers, in order of the workers' ids. */
GPtrArray *gr_racks (struct gr_steps *steps);
void gr_workers_destroy (struct gr_steps *steps);
/* The worker says when it was started; another incarnation runs nothing of
 * what the former one ran. */
void gr_worker_born (struct gr_steps *steps,
                     struct worker *worker,
                     int64_t born_unix_ms);
/* Runs were found whose lease a former owner gave: the longest is assumed. */
void gr_worker_lease_unknown (struct gr_steps *steps, struct worker *worker);
/* Sets aside what is free, or becomes free, on the worker for a step. */
void gr_worker_set_room (struct gr_steps *steps,
                         struct worker *worker,
                         struct step *step);

/* Jobs. */
void gr_job_changed (struct gr_steps *steps, struct job *job);
void gr_job_finish (struct gr_steps *steps,
                    struct job *job,
                    enum gr_job_state state);
bool gr_job_is_final (const struct job *job);
void gr_jobs_tick (struct gr_steps *steps, int64_t unix_ms);
void gr_job_destroy (struct job *job);
struct occurrence *gr_job_occurrence (struct job *job, uint32_t number);
bool gr_step_is_ready (const struct step *step);
/* Milliseconds after its acceptance within which the job is in time. */
int64_t gr_job_objective_ms (const struct job *job);

/* Orders. */
void gr_order_start (struct gr_steps *steps, struct task *task);
void gr_order_stop (struct gr_steps *steps, struct task *task);
void gr_order_stop_run (struct gr_steps *steps,
                        const struct worker *worker,
                        const char *task,
                        uint32_t run);
void
gr_order_pace (struct gr_steps *steps, struct task *task, uint32_t percent);
void gr_orders_tick (struct gr_steps *steps);
/* Starts wait to be sent; more would only wait longer. */
bool gr_orders_are_behind (const struct gr_steps *steps);
/* Ends all runs of a gang, because one of them has ended or not begun. */
void gr_gang_abort (struct gr_steps *steps, struct step *step);

/* Ends. */
void gr_task_failed (struct gr_steps *steps,
                     struct task *task,
                     struct worker *worker,
                     uint32_t run);

/* Health of workers. */
void gr_health_failed (struct gr_steps *steps,
                       struct worker *worker,
                       const struct job *job);
void gr_health_done (struct worker *worker);
void gr_health_suspect (struct gr_steps *steps,
                        struct worker *worker,
                        const char *reason);

/* Advice. */
bool gr_advice_allows (const struct gr_steps *steps,
                       const struct step *step,
                       const struct worker *worker);
const char *gr_advice_ticket (const struct step *step,
                              const struct worker *worker);
void gr_advice_expire (struct step *step, const struct worker *worker);
/* Asks about more workers if the step needs it and has not enough. */
void gr_advice_ask (struct gr_steps *steps, struct step *step);

/* Pace of filling tasks beside tasks that serve. */
void gr_pace_look (struct gr_steps *steps, struct worker *worker);
bool gr_pace_watches (const struct worker *worker);

/* Tasks of a lasting step that are not at work, but for one. */
uint32_t gr_step_away (const struct step *step, const struct task *but);
/* A stop of the task keeps to what its step may miss. */
bool gr_task_may_be_stopped (const struct task *task);

/* Moves work from workers that are about to leave. */
void gr_leaving_tick (struct gr_steps *steps);

/* Placement. */
void gr_place_tick (struct gr_steps *steps);
/* The worker is set aside for a step that this one does not outrank. */
bool gr_worker_is_kept (const struct worker *worker, const struct step *step);
/* The tasks need not be on one rack, or it is too late to wait for one. */
bool gr_step_may_spread (struct gr_steps *steps, struct step *step);
/* How many tasks of the step fit into room on the worker. */
uint32_t gr_slots_in (const struct step *step,
                      const struct worker *worker,
                      const struct gr_resources *room);
/* What is free on the worker for the step. */
struct gr_resources gr_worker_room (const struct worker *worker,
                                    const struct step *step);
bool gr_worker_allowed (const struct gr_steps *steps,
                        const struct worker *worker,
                        const struct step *step);
/* The account's urgent work that is not final fits its guarantee. */
bool gr_account_within_guarantee (const struct account *account);

/* Stops runs that lose least, so that an urgent step can start. */
void gr_reclaim_room (struct gr_steps *steps, struct step *step);
