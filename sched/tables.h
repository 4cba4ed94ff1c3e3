/* Tables of the decision core. Private to sched/: the systems in the other
 * files read and change these rows; callers use sched/core.h only. */
#pragma once

#include "sched/core.h"

#define GR_N_PRIORITIES 3
#define GR_N_CLASSES 4
#define GR_MAX_WORKER_TYPES 32
#define GR_RENEW_SLOTS 128

/* Part of a cell: accelerators of one worker. */
struct gr_cell_part
{
  struct gr_core_worker *worker;
  uint32_t mask;
};

/* Adjacent accelerators, in the order of the workers. */
struct gr_cell
{
  uint32_t n;
  struct gr_cell_part *parts; /* owned */
};

/* One guaranteed shape of one account. Its cell is its part of the witness:
 * cells of different units never overlap, and hold nothing that cannot be
 * stopped except jobs of the unit itself. */
struct gr_core_unit
{
  struct gr_core_account *account;
  struct gr_shape shape;
  struct gr_cell cell; /* n is 0 while no place is known */
  uint32_t in_use;     /* jobs in the cell and claims on it */
};

struct gr_core_account
{
  struct gr_account_settings settings;
  bool known; /* false: only old jobs refer to it */
  GPtrArray *units;
  uint32_t used;         /* accelerators held by its jobs */
  uint32_t claimed;      /* accelerators of claims of its waiting jobs */
  uint32_t quota_demand; /* kept free for guaranteed work that waits */
  GSequence *waiting[GR_N_PRIORITIES]; /* jobs by time of submission */
  GQueue active;                       /* jobs that hold accelerators */
  GHashTable *learned;                 /* shape -> struct gr_learned */
  double ratio_log2; /* learned run time against the declared one */
  uint32_t n_ratio;
};

struct gr_core_rack
{
  char name[GR_NAME_MAX];
  GPtrArray *workers;     /* by rack_slot */
  uint32_t index;         /* in core->rack_list */
  bool dirty;             /* the numbers below must be computed again */
  uint32_t free_sizes;    /* sizes of free aligned blocks, as a sum of powers
                             of two */
  uint32_t outside_sizes; /* the same outside the cells of units */
  uint32_t usable;        /* accelerators of usable workers */
  uint32_t free;
  uint32_t largest_free; /* adjacent */
};

/* Workers with equal capacity share a type, so that the accelerators that a
 * task needs are computed once for each search. */
struct gr_worker_type
{
  uint32_t accelerators;
  uint32_t cores;
  uint64_t memory_mb;
};

struct gr_core_worker
{
  char name[GR_NAME_MAX];
  char incarnation[GR_NAME_MAX];
  char old_incarnation[GR_NAME_MAX]; /* its late reports are ignored */
  struct gr_core_rack *rack;
  uint32_t rack_slot;
  uint32_t type;
  uint32_t accelerators;
  uint32_t all;     /* masks of accelerators */
  uint32_t held;    /* by our leases */
  uint32_t pinned;  /* part of held that must not be stopped */
  uint32_t foreign; /* by leases that are not ours */
  uint32_t claimed; /* kept free for a job that waits for them */
  uint32_t firm;    /* part of claimed that belongs to guaranteed jobs */
  uint32_t soft[GR_N_PRIORITIES]; /* reserved for jobs of the priority */
  uint32_t in_unit;               /* covered by cells of units */
  int64_t urgent_ms; /* urgent work started or ended here; 0: never */
  struct gr_core_member *holder[GR_MAX_ACCELERATORS];
  struct gr_core_unit *unit[GR_MAX_ACCELERATORS];
  bool usable; /* may get new work: none of the next six */
  bool silent;
  bool suspect; /* refused a connection and was not heard from since */
  bool leaving;
  bool gone;
  bool replaced; /* by another instance; forgotten when it holds nothing */
  bool quarantined;
  bool probing;            /* the probe is running */
  int64_t heard_active_ms; /* in time of core->active_ms */
  GList heard_link;
  GQueue *heard_queue; /* NULL while the worker is silent */
  uint32_t failures;   /* starts that failed since the last success */
  const struct gr_core_job *last_failed; /* compared only, never followed */
  int64_t probe_interval_ms;
  int64_t probe_due_ms;
  GList renew_link;
  bool in_renew;
  uint32_t renew_slot;
};

/* One task of an attempt. The id is that of its lease and of its task. */
struct gr_core_member
{
  struct gr_core_job *job;
  struct gr_core_worker *worker; /* NULL: adopted, not yet reported */
  char *id;
  char *reporter; /* adopted: name of the worker, until it reports */
  uint32_t mask;
  int64_t sent_ms;             /* last call of the present phase */
  int64_t confirmed_active_ms; /* last proof that the lease lived, in time of
                                  core->active_ms */
  uint64_t seen_report; /* number of the last report that shows the lease */
  int64_t may_live_until_ms; /* the lease lives at most as long */
  int64_t ran_ms;
  int64_t checkpoint_ms;
  bool granted;
  bool started;
  bool unthrottled;
  bool finished;
  bool failed;
  bool stopped;
  bool lost;    /* the lease is known to be gone */
  bool settled; /* one of the last four */
  bool checkpointed;
  bool released;
};

enum gr_phase
{
  GR_PHASE_WAITING,
  GR_PHASE_ADOPTING,
  GR_PHASE_GRANTING,
  GR_PHASE_STARTING,
  GR_PHASE_COMMITTING,
  GR_PHASE_UNTHROTTLING,
  GR_PHASE_RUNNING,
  GR_PHASE_CHECKPOINTING, /* before a preemption */
  GR_PHASE_STOPPING,
  GR_PHASE_ENDING, /* the final record must be durable before the release */
  GR_PHASE_RELEASING,
  GR_PHASE_ENDED,
};

/* Why an attempt ends. */
enum gr_stop_cause
{
  GR_STOP_NONE,
  GR_STOP_ABORT, /* not all leases or starts in time */
  GR_STOP_PREEMPT,
  GR_STOP_CANCEL,
  GR_STOP_LOST, /* a member stopped answering or lost its lease */
  GR_STOP_FAILED,
};

struct gr_core_job
{
  struct gr_job_record record;
  struct gr_core_account *account;
  enum gr_phase phase;
  enum gr_stop_cause cause;
  uint64_t durable_version;
  uint64_t emitted_version;
  uint64_t sequence; /* order of submission */
  uint32_t class;    /* by attained service or expected run time */
  bool in_waiting;
  GSequenceIter *waiting_iter; /* in core->waiting */
  GSequenceIter *account_iter; /* in account->waiting */
  GList account_link;          /* in account->active */
  bool in_active;
  bool in_steps;
  bool due; /* an event came since the last step */
  GList step_link;
  GList commit_link;
  bool in_commits;
  int64_t waiting_since_ms;
  int64_t unfit_since_ms; /* 0: fits the known workers */
  int64_t deadline_ms;    /* of the present phase */
  int64_t next_check_ms;
  int64_t running_since_ms; /* all unthrottled; 0: not yet */
  int64_t checkpoint_sent_ms;
  int64_t attained_ms;       /* run time of former attempts */
  int64_t not_before_ms;     /* pause after an attempt that could not start */
  uint32_t held;             /* accelerators of the attempt */
  struct gr_core_unit *unit; /* runs inside this guaranteed shape */
  bool pinned;               /* must not be stopped for others */
  bool backfilled;           /* runs on reserved accelerators */
  bool unthrottle_sent;      /* from here on it may have run */
  bool failure_counts;       /* the failing worker looked healthy */
  bool probe;                /* runs on a quarantined worker */
  char failed_worker[GR_NAME_MAX];
  int64_t avoid_until_ms; /* until then it is not used again */
  struct gr_cell claim;   /* kept free until it can start there */
  struct gr_core_unit *claim_unit;
  struct gr_cell reserve;
  int64_t reserve_start_ms; /* expected */
  uint32_t n_members;
  struct gr_core_member *members; /* owned */
  uint32_t n_granted;
  uint32_t n_started;
  uint32_t n_unthrottled;
  uint32_t n_finished;
  uint32_t n_settled; /* stopped, finished, failed or lost */
  uint32_t n_checkpointed;
  uint32_t n_released;
};

struct gr_core
{
  struct gr_core_config config;
  GRand *rand; /* not owned */
  int64_t now_ms;
  int64_t unix_ms;
  int64_t first_ms; /* time of the first call, -1 before */
  int64_t last_tick_ms;
  int64_t active_ms; /* time in which ticks ran; pauses do not count */
  bool durable;
  GArray *out;     /* where commands go: the tick's array, or pending */
  GArray *pending; /* commands that events between ticks have caused */
  GHashTable *accounts;
  GPtrArray *account_list; /* by name */
  GHashTable *racks;
  GPtrArray *rack_list; /* in order of adjacency */
  uint32_t max_rack_workers;
  GHashTable *workers;
  GHashTable *jobs;
  GHashTable *members; /* id -> member */
  GHashTable *unbound; /* worker name -> array of adopted members */
  uint32_t n_types;
  struct gr_worker_type types[GR_MAX_WORKER_TYPES];
  GSequence *waiting[GR_N_PRIORITIES][GR_N_CLASSES];
  GQueue steps;      /* jobs that are not in a stable phase */
  GQueue commits;    /* jobs whose record must be written */
  GQueue heard_busy; /* workers, the one heard from longest ago first */
  GQueue heard_idle;
  GQueue renewals[GR_RENEW_SLOTS];
  int64_t renew_slot_ms;
  int64_t renew_done;   /* number of the last slot that was served */
  GPtrArray *homeless;  /* units without a cell */
  GPtrArray *reserving; /* jobs with a reservation */
  GPtrArray *claiming;  /* jobs with a claim */
  GPtrArray *quarantined;
  GPtrArray *gone;    /* workers to forget when they hold nothing */
  bool witness_dirty; /* something that units depend on has changed */
  bool place_dirty;
  int64_t next_repack_ms;
  int64_t next_place_ms;
  int64_t next_reserve_ms;
  int64_t next_admit_ms;
  uint64_t next_sequence;
  uint64_t n_reports;
  uint64_t next_attempt;   /* makes lease ids unique under one epoch */
  uint32_t placed;         /* in the present tick */
  uint32_t account_cursor; /* account that is served first */
  uint32_t check_cursor;
  uint32_t search_cursor; /* rack where the next bounded search begins */
  uint32_t jobs_running;
  uint32_t jobs_waiting;
  uint32_t preemptions;
};

/* Time: called by each entry point that has now_ms. */
void gr_core_set_now (struct gr_core *core, int64_t now_ms);

/* The row of an account, made if it is missing. */
struct gr_core_account *gr_account_get (struct gr_core *core, const char *name);

/* The row of a worker, made with its rack if it is missing. */
struct gr_core_worker *gr_worker_get (struct gr_core *core,
                                      const struct gr_worker_report *report);
struct gr_core_worker *gr_worker_find (const struct gr_core *core,
                                       const char *name);
/* Forgets a worker that holds nothing. */
void gr_worker_remove (struct gr_core *core, struct gr_core_worker *worker);
/* Computes usable again; on a change the witness and placement follow. */
void gr_worker_update (struct gr_core *core, struct gr_core_worker *worker);
/* Free space of the worker changed. */
void gr_worker_touch (struct gr_core *core, struct gr_core_worker *worker);
/* An answer or a report came from the worker. */
void gr_worker_heard (struct gr_core *core, struct gr_core_worker *worker);
/* The worker took its first lease or lost its last one: it reports at other
 * times. */
void gr_worker_busy_changed (struct gr_core *core,
                             struct gr_core_worker *worker);
void gr_worker_forget_heard (struct gr_core_worker *worker);
/* Marks workers that were not heard from as silent. */
void gr_system_silence (struct gr_core *core);

void gr_job_free (void *data);
void gr_account_free (void *data);
void gr_rack_free (void *data);
void gr_worker_free (void *data);

void gr_cell_clear (struct gr_cell *cell);
uint32_t gr_cell_accelerators (const struct gr_cell *cell);

static inline uint32_t
gr_mask_count (uint32_t mask)
{
  return (uint32_t)__builtin_popcount (mask);
}

/* Smallest power of two that is not below size: the alignment of a block. */
static inline uint32_t
gr_block_align (uint32_t size)
{
  uint32_t align = 1;

  while (align < size)
    align *= 2;
  return align;
}
