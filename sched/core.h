/* Decision core of one shard. Pure: no I/O, no clock, no randomness but the
 * generator that is passed in. Facts go in through the functions below,
 * commands come out of gr_core_tick (). Invariants are asserted with
 * g_assert () in production builds; see sched/invariants.h. */
#pragma once

#include "common/error.h"
#include "common/report.h"
#include "sched/job.h"
#include "settings/account.h"

#include <glib.h>

struct gr_core;

/* Policies that the benchmark compares. The baselines stay selectable. */
enum gr_core_policy
{
  GR_POLICY_DEFAULT,
  GR_POLICY_FIFO,     /* first in, first out; no backfilling */
  GR_POLICY_BEST_FIT, /* best fit without reservation */
};

struct gr_core_config
{
  char shard[GR_NAME_MAX];
  char holder[GR_NAME_MAX]; /* this instance, as lease holder */
  char data_centre[GR_NAME_MAX];
  uint64_t epoch; /* makes lease ids unique between owners */
  enum gr_core_policy policy;
  int64_t start_lease_term_ms; /* 10 000 */
  int64_t run_lease_term_ms;   /* 30 000 */
  int64_t call_timeout_ms;     /* a call or report that takes longer counts
                                  as lost; 3 000 */
  /* Time between two reports of a worker that holds leases, and of one that
   * holds none; 0 is 2 000 and 5 000. A worker of which nothing was heard for
   * this long and call_timeout_ms more is silent. */
  int64_t report_busy_ms;
  int64_t report_idle_ms;
  uint32_t max_attempts; /* 3 */
};

enum gr_command_kind
{
  GR_COMMAND_GRANT,      /* worker, lease, accelerators, term_ms */
  GR_COMMAND_RENEW,      /* worker, lease, term_ms */
  GR_COMMAND_RELEASE,    /* worker, lease */
  GR_COMMAND_START,      /* worker, lease, task, spec; throttled to zero */
  GR_COMMAND_UNTHROTTLE, /* worker, task */
  GR_COMMAND_CHECKPOINT, /* worker, task */
  GR_COMMAND_STOP,       /* worker, task */
  GR_COMMAND_COMMIT,     /* job: write its record with version */
};

struct gr_command
{
  enum gr_command_kind kind;
  char worker[GR_NAME_MAX];
  char lease[GR_ID_MAX];
  char task[GR_ID_MAX];
  char job[GR_ID_MAX];
  uint32_t accelerators;
  int64_t term_ms;
  uint64_t version;
  const char *spec; /* owned by the core; valid until the next call into it */
};

struct gr_core *gr_core_create (const struct gr_core_config *config,
                                GRand *rand);
void gr_core_destroy (struct gr_core *core);

/* --- Settings ----------------------------------------------------------- */

/* Adds or replaces an account. Its guarantees of other data centres are
 * ignored. */
void gr_core_set_account (struct gr_core *core,
                          const struct gr_account_settings *account);

/* The account's waiting jobs are refused, running ones go on. */
void gr_core_remove_account (struct gr_core *core, const char *name);

/* --- Workers ------------------------------------------------------------ */

/* A fresh report. The first one makes the worker known. */
void gr_core_worker_report (struct gr_core *core,
                            const struct gr_worker_report *report,
                            int64_t now_ms);

/* The worker is on the leaving list, or says so: it gets no new work. */
void
gr_core_worker_leaving (struct gr_core *core, const char *worker, bool leaving);

/* The worker left the list for good and does not answer. */
void
gr_core_worker_gone (struct gr_core *core, const char *worker, int64_t now_ms);

/* --- Answers to commands ------------------------------------------------ */

/* kind none: done. Other kinds as in platform/worker.h. For GRANT, RENEW and
 * RELEASE id is the lease, for the others the task. */
void gr_core_answer (struct gr_core *core,
                     enum gr_command_kind command,
                     const char *id,
                     enum gr_error_kind kind,
                     int64_t now_ms);

/* The record of the job with this version, or a later one, is durable. */
void gr_core_committed (struct gr_core *core,
                        const char *job,
                        uint64_t version,
                        int64_t now_ms);

/* --- Jobs --------------------------------------------------------------- */

/* Adds a job and emits a COMMIT at the next tick. Submitting the same account
 * and key again gives the same job. Kinds: unknown-account, never-fits (no set
 * of workers of this shard could ever hold the shape, or it is above the
 * quota), conflict (same key, other content). *record is owned by the core. */
bool gr_core_submit (struct gr_core *core,
                     const struct gr_job_spec *spec,
                     int64_t now_ms,
                     int64_t unix_ms,
                     const struct gr_job_record **record,
                     struct gr_error *error);

/* Asks for the end of a job. A job that ended already stays as it is. Kind
 * not-found. */
bool gr_core_cancel (struct gr_core *core,
                     const char *job,
                     int64_t now_ms,
                     struct gr_error *error);

/* Puts a record from the store back, before the first tick. Jobs in starting
 * or running wait for reports of their workers for one run lease term: their
 * tasks are adopted, or the job is run again (idempotent) or ends as
 * may-have-run. */
void gr_core_restore (struct gr_core *core,
                      const struct gr_job_record *record,
                      int64_t now_ms);

/* NULL if there is no such job. Valid until the next call that is not const. */
const struct gr_job_record *gr_core_find (const struct gr_core *core,
                                          const char *job);

/* Calls visit for every record, ended ones included. */
void gr_core_each_job (const struct gr_core *core,
                       void (*visit) (const struct gr_job_record *record,
                                      void *context),
                       void *context);

/* Ended jobs older than this are forgotten. */
void gr_core_forget_ended (struct gr_core *core, int64_t ended_before_unix_ms);

/* --- Tick --------------------------------------------------------------- */

/* Runs all systems once and appends the commands to out, an array of struct
 * gr_command. durable says whether the store takes writes: without it, nothing
 * that needs a new record is started. */
void gr_core_tick (struct gr_core *core,
                   int64_t now_ms,
                   int64_t unix_ms,
                   bool durable,
                   GArray *out);

/* --- Status ------------------------------------------------------------- */

struct gr_core_account_status
{
  char name[GR_NAME_MAX];
  uint32_t guaranteed; /* accelerators */
  uint32_t used;
  uint32_t borrowed; /* used beyond the guarantee */
  uint32_t waiting;  /* accelerators of waiting jobs */
  uint32_t waiting_jobs;
  bool guarantee_impossible; /* too few healthy racks */
};

struct gr_core_worker_status
{
  char name[GR_NAME_MAX];
  char rack[GR_NAME_MAX];
  uint32_t accelerators;
  uint32_t used;
  bool silent;
  bool leaving;
  bool quarantined;
};

struct gr_core_status
{
  uint32_t accelerators;
  uint32_t free;
  uint32_t largest_free_block; /* accelerators in one adjacent block */
  uint32_t jobs_waiting;
  uint32_t jobs_running;
  uint32_t preemptions;
  bool witness_holds;
};

void gr_core_get_status (const struct gr_core *core,
                         struct gr_core_status *status);

/* Arrays of the structs above; free with g_array_unref (). */
GArray *gr_core_account_status (const struct gr_core *core);
GArray *gr_core_worker_status (const struct gr_core *core);
