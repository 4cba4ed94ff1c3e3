/* Data structures of the decision core. Private to sched/, whose files read
 * and change them; callers use only sched/core.h. */
#pragma once

#include "sched/core.h"

#define GR_N_PRIORITIES 3
#define GR_N_CLASSES 4
#define GR_MAX_WORKER_TYPES 32
#define GR_RENEW_SLOTS 128

/* The accelerators of a block on one worker. */
struct gr_block_part
{
  struct gr_core_worker *worker;
  uint32_t mask;
};

/* A block of adjacent accelerators on one or more workers, in the order of
 * the workers. */
struct gr_block
{
  uint32_t n;
  struct gr_block_part *parts; /* owned */
};

/* One copy of a guaranteed shape of an account. Its block proves that
 * the shape can be provided: blocks of different slots never overlap, and hold
 * no non-preemptible work except that of the slot itself. */
struct gr_guarantee_slot
{
  struct gr_core_account *account;
  struct gr_shape shape;
  struct gr_block block; /* n is 0 while the slot has no block */
  uint32_t in_use;       /* jobs in the block and claims on it */
};

struct gr_core_account
{
  struct gr_account_settings settings;
  bool configured; /* false: removed, or only in restored jobs */
  GPtrArray *guarantee_slots;
  int64_t last_passed_ms; /* latest start of a job of it that finished */
  uint32_t used;          /* accelerators held by its jobs */
  uint32_t claimed;       /* accelerators claimed by its waiting jobs */
  uint32_t quota_demand;  /* accelerators of the quota set aside for waiting
                             guaranteed work */
  GSequence *waiting[GR_N_PRIORITIES]; /* jobs in order of submission */
  GQueue active;                       /* jobs that hold accelerators */
};

/* A worker that was removed, and whose place counts for some time in the
 * decision whether a shape can ever run. */
struct gr_absent_worker
{
  uint32_t rack_slot;
  uint32_t type;
  int64_t removed_ms;
};

struct gr_core_rack
{
  char name[GR_NAME_MAX];
  GPtrArray *workers; /* ordered by rack_slot */
  GArray *absent;     /* struct gr_absent_worker */
  uint32_t index;     /* position in core->rack_list */
  bool dirty;         /* the numbers below are out of date */
  /* Sizes of free aligned blocks, as a sum of powers of two. */
  uint32_t free_sizes;
  uint32_t outside_sizes; /* the same outside the blocks of slots */
  uint32_t usable;        /* accelerators of usable workers */
  uint32_t free;
  uint32_t largest_free; /* size of the largest adjacent free block */
};

/* Workers of equal capacity share a type, so that a search computes the
 * accelerators per task only once for each type. */
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
  char old_incarnation[GR_NAME_MAX]; /* late reports of it are ignored */
  struct gr_core_rack *rack;
  uint32_t rack_slot;
  uint32_t type;
  uint32_t accelerators;
  uint32_t all;     /* this and the next masks: one bit per accelerator */
  uint32_t held;    /* by leases of this core */
  uint32_t pinned;  /* part of held that must not be preempted */
  uint32_t foreign; /* held by unknown leases */
  uint32_t claimed; /* claimed by waiting jobs */
  uint32_t claimed_guaranteed;        /* part of claimed, for guaranteed jobs */
  uint32_t reserved[GR_N_PRIORITIES]; /* reserved for jobs of each priority */
  uint32_t slot_mask;                 /* covered by blocks of guarantee slots */
  int64_t last_urgent_ms; /* time when urgent work last started or ended here;
                             0: never */
  struct gr_core_member *holder[GR_MAX_ACCELERATORS];
  struct gr_guarantee_slot *guarantee_slot[GR_MAX_ACCELERATORS];
  bool usable; /* may get new work: none of the next six is set, except
                  quarantined for a single account */
  bool silent;
  bool suspect; /* refused a connection; no contact since */
  bool leaving;
  bool removed;
  bool replaced; /* by another machine; freed when it holds nothing */
  bool quarantined;
  bool probing; /* a probe is running */
  int64_t last_contact_ms;
  int64_t last_contact_active_ms; /* on the clock of core->active_ms */
  GList contact_link;
  GQueue *contact_queue; /* NULL while the worker is silent */
  uint32_t failures;     /* failed jobs since the last success */
  const struct gr_core_account *closed_to; /* quarantined only for its jobs;
                                              NULL: for all */
  int64_t failing_since_ms;                /* time of the first of them */
  const struct gr_core_account *failed_account; /* of all of them; NULL: of
                                                   several accounts */
  int64_t last_passed_ms; /* latest start of a job that passed here */
  const struct gr_core_job *last_failed; /* only compared, never dereferenced */
  int64_t probe_interval_ms;
  int64_t probe_due_ms;
  GList renew_link;
  bool in_renew;
  uint32_t renew_slot;
};

/* One task of an attempt. id names both its lease and its task. */
struct gr_core_member
{
  struct gr_core_job *job;
  struct gr_core_worker *worker; /* NULL: adopted, not reported yet */
  char *id;
  char *expected_worker; /* adopted: name of the worker that must report it;
                            NULL once reported */
  uint32_t mask;
  int64_t sent_ms;            /* time of the last command of this phase */
  int64_t lease_confirmed_ms; /* last confirmation of the lease */
  int64_t lease_confirmed_active_ms; /* the same on the clock of
                                        core->active_ms */
  uint64_t last_report;     /* number of the last report that shows the lease */
  int64_t latest_expiry_ms; /* upper bound of the time when the lease expires */
  int64_t ran_ms;
  int64_t checkpoint_ms;
  bool granted;
  bool started;
  bool unthrottled;
  bool finished;
  bool failed;
  bool stopped;
  bool lost;    /* the lease no longer exists */
  bool settled; /* finished, failed, stopped or lost */
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

/* Why an attempt is stopped, from the weakest to the strongest cause. */
enum gr_stop_cause
{
  GR_STOP_NONE,
  GR_STOP_ABORT, /* not all leases or starts in time */
  GR_STOP_PREEMPT,
  GR_STOP_CANCEL,
  GR_STOP_LOST, /* a worker stopped responding or a lease was lost */
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
  uint32_t class;    /* by attained or expected run time */
  bool in_waiting;
  GSequenceIter *waiting_iter; /* position in core->waiting */
  GSequenceIter *account_iter; /* position in account->waiting */
  GList account_link;          /* link of account->active */
  bool in_active;
  bool in_steps;
  bool due;      /* has an event since its last step */
  bool restored; /* accepted by a former owner */
  GList step_link;
  GList commit_link;
  bool in_commits;
  int64_t waiting_since_ms;
  int64_t unfit_since_ms; /* 0: fits the known workers */
  int64_t deadline_ms;    /* of the current phase */
  int64_t next_check_ms;
  int64_t running_since_ms; /* all members unthrottled; 0: not yet */
  int64_t checkpoint_sent_ms;
  int64_t attained_ms;   /* run time of earlier attempts */
  int64_t not_before_ms; /* earliest time of the next attempt */
  uint32_t held;         /* accelerators of the attempt */
  struct gr_guarantee_slot *guarantee_slot; /* runs in it, or NULL */
  bool pinned;                              /* must not be preempted */
  bool backfilled;                          /* runs on reserved accelerators */
  bool unthrottle_sent;                     /* the job may have run */
  bool probe;                               /* runs on a quarantined worker */
  GPtrArray *failed_workers; /* names, one for each failed attempt under this
                                owner; NULL: none */
  int64_t first_failed_ms;   /* time of the first of them */
  char failed_worker[GR_NAME_MAX]; /* the last of them */
  int64_t avoid_until_ms; /* failed_worker is not used before this time */
  struct gr_block claim;  /* block claimed for the job until it is free */
  struct gr_guarantee_slot *claim_slot;
  struct gr_block reservation;
  int64_t reserved_start_ms; /* expected start */
  uint32_t n_members;
  struct gr_core_member *members; /* owned */
  uint32_t n_granted;
  uint32_t n_started;
  uint32_t n_unthrottled;
  uint32_t n_finished;
  uint32_t n_settled; /* members that stopped, finished, failed or were lost */
  uint32_t n_checkpointed;
  uint32_t n_released;
};

struct gr_core
{
  struct gr_core_config config;
  GRand *rand; /* not owned */
  int64_t now_ms;
  int64_t unix_ms;
  int64_t first_ms; /* time of the first call; -1: none yet */
  int64_t last_tick_ms;
  /* Running time without pauses of the process, and without times in which it
   * had no contact to any worker. */
  int64_t active_ms;
  int64_t unheard_ms; /* running time since the last contact to any worker */
  bool contacted;     /* some worker was contacted since the last tick */
  int64_t heard_since_ms; /* end of the last time without contact */
  bool durable;
  GArray *out; /* destination of commands: the array of the tick, or pending */
  GArray *pending;                /* commands of events between ticks */
  struct gr_run_times *run_times; /* learned from finished jobs */
  GHashTable *accounts;
  GPtrArray *account_list; /* ordered by name */
  GHashTable *racks;
  GPtrArray *rack_list; /* ordered by adjacency */
  uint32_t max_rack_workers;
  uint32_t n_unreported; /* listed workers that have not reported yet */
  GHashTable *workers;
  GHashTable *jobs;
  GHashTable *members; /* id -> member */
  /* Worker name -> array of adopted members that wait for its report. */
  GHashTable *unbound;
  uint32_t n_types;
  struct gr_worker_type types[GR_MAX_WORKER_TYPES];
  GSequence *waiting[GR_N_PRIORITIES][GR_N_CLASSES];
  GQueue steps;        /* jobs that are not in a stable phase */
  GQueue commits;      /* jobs with a record to commit */
  GQueue contact_busy; /* workers, ordered by last contact, oldest first */
  GQueue contact_idle;
  GQueue renewals[GR_RENEW_SLOTS];
  int64_t renew_slot_ms;
  int64_t renew_done;        /* number of the last time slot handled */
  GPtrArray *unplaced_slots; /* guarantee slots without a block */
  GPtrArray *reserving;      /* jobs with a reservation */
  GPtrArray *claiming;       /* jobs with a claim */
  GPtrArray *quarantined;
  GPtrArray *removed_workers; /* workers to free when they hold nothing */
  bool slots_dirty; /* a condition for placing guarantee slots changed */
  bool place_dirty;
  int64_t next_repack_ms;
  int64_t next_place_ms;
  int64_t next_reserve_ms;
  int64_t next_admit_ms;
  uint64_t next_sequence;
  uint64_t n_reports;
  uint64_t next_attempt;   /* makes lease ids unique within one epoch */
  uint32_t placed;         /* jobs placed in this tick */
  uint32_t account_cursor; /* account that was first in the last pass */
  uint32_t check_cursor;
  uint32_t search_cursor; /* rack where the next bounded search starts */
  uint32_t jobs_running;
  uint32_t jobs_waiting;
  uint32_t preemptions;
};

/* Sets the current time; each entry point with now_ms calls it. */
void gr_core_set_now (struct gr_core *core, int64_t now_ms);

/* Returns the account; creates it if it does not exist. */
struct gr_core_account *gr_account_get (struct gr_core *core, const char *name);

/* Returns the worker; creates it and its rack if they do not exist. */
struct gr_core_worker *gr_worker_get (struct gr_core *core,
                                      const struct gr_worker_report *report);
struct gr_core_worker *gr_worker_find (const struct gr_core *core,
                                       const char *name);
/* Frees a worker that holds nothing. */
void gr_worker_remove (struct gr_core *core, struct gr_core_worker *worker);
/* Recomputes usable; a change schedules the placement of guarantee slots and
 * jobs. */
void gr_worker_update (struct gr_core *core, struct gr_core_worker *worker);
/* The free accelerators of the worker changed. */
void gr_worker_capacity_changed (struct gr_core *core,
                                 struct gr_core_worker *worker);
/* A report or a response came from the worker. */
void gr_worker_mark_contacted (struct gr_core *core,
                               struct gr_core_worker *worker);
/* The worker got its first lease or lost its last one, which changes its
 * report interval. */
void gr_worker_busy_changed (struct gr_core *core,
                             struct gr_core_worker *worker);
/* Stops the contact timeout of the worker. */
void gr_worker_untrack_contact (struct gr_core_worker *worker);
/* Marks workers as silent whose last contact is too long ago. */
void gr_tick_contact_timeouts (struct gr_core *core);

void gr_job_free (void *data);
void gr_account_free (void *data);
void gr_rack_free (void *data);
void gr_worker_free (void *data);

void gr_block_clear (struct gr_block *block);
uint32_t gr_block_accelerators (const struct gr_block *block);

static inline bool
gr_worker_is_closed_to (const struct gr_core_worker *worker,
                        const struct gr_core_account *account)
{
  return worker->quarantined && account != NULL && worker->closed_to == account;
}

static inline uint32_t
gr_mask_count (uint32_t mask)
{
  return (uint32_t)__builtin_popcount (mask);
}

/* Smallest power of two that is at least size: the alignment of a block. */
static inline uint32_t
gr_block_align (uint32_t size)
{
  uint32_t align = 1;

  while (align < size)
    align *= 2;
  return align;
}
