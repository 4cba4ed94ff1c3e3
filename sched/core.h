/* Decision core of one shard. It does no I/O, reads no clock, and its only
 * randomness is the generator that is passed in. The caller feeds events in
 * through the functions below and gets commands out of gr_core_tick ().
 * Invariants are asserted with g_assert () in production builds, too; see
 * sched/invariants.h. */
#pragma once

#include "common/error.h"
#include "common/report.h"
#include "sched/job.h"
#include "settings/account.h"

#include <glib.h>

struct gr_core;

/* The benchmark compares these policies, so the baselines stay selectable. */
enum gr_core_policy
{
  GR_POLICY_DEFAULT,
  GR_POLICY_FIFO,     /* first in, first out; no backfilling */
  GR_POLICY_BEST_FIT, /* best fit, without reservations */
};

struct gr_core_config
{
  char shard[GR_NAME_MAX];
  char holder[GR_NAME_MAX]; /* name of this instance, as lease holder */
  char data_centre[GR_NAME_MAX];
  uint64_t epoch; /* makes lease ids of successive owners distinct */
  enum gr_core_policy policy;
  int64_t start_lease_term_ms; /* settings default: 10 000 */
  int64_t run_lease_term_ms;   /* settings default: 30 000 */
  int64_t call_timeout_ms; /* a call or report that takes longer counts as lost;
                              3 000 in production */
  /* Report interval of a worker that holds leases, and of one that holds
   * none; 0 selects 2 000 and 5 000. A worker is silent if its last contact is
   * older than this interval plus call_timeout_ms. */
  int64_t report_busy_ms;
  int64_t report_idle_ms;
  uint32_t max_attempts; /* settings default: 3 */
};

enum gr_command_kind
{
  GR_COMMAND_GRANT,   /* worker, lease, accelerators, term_ms */
  GR_COMMAND_RENEW,   /* worker, lease, term_ms */
  GR_COMMAND_RELEASE, /* worker, lease */
  GR_COMMAND_START,   /* worker, lease, task, spec; the task starts throttled to
                         zero */
  GR_COMMAND_UNTHROTTLE, /* worker, task */
  GR_COMMAND_CHECKPOINT, /* worker, task */
  GR_COMMAND_STOP,       /* worker, task */
  GR_COMMAND_COMMIT, /* job: write its record with this version to the store */
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

/* Creates a core without accounts, workers and jobs. rand is not owned and must
 * outlive the core. Free with gr_core_destroy (). */
struct gr_core *gr_core_create (const struct gr_core_config *config,
                                GRand *rand);
void gr_core_destroy (struct gr_core *core);

/* --- Settings ----------------------------------------------------------- */

/* Adds or replaces an account. Guarantees in other data centres are ignored. */
void gr_core_set_account (struct gr_core *core,
                          const struct gr_account_settings *account);

/* Removes an account. Its waiting jobs end as refused, or as failed if they
 * ran before; running jobs continue. */
void gr_core_remove_account (struct gr_core *core, const char *name);

/* --- Workers ------------------------------------------------------------ */

/* Applies a fresh status report. The first report of a worker adds it to the
 * shard. */
void gr_core_worker_report (struct gr_core *core,
                            const struct gr_worker_report *report,
                            int64_t now_ms);

/* Sets whether the worker is leaving, according to the leaving list or to its
 * own report. A leaving worker gets no new work. */
void
gr_core_worker_leaving (struct gr_core *core, const char *worker, bool leaving);

/* True if the worker has reported and was not removed since. */
bool gr_core_has_worker (const struct gr_core *core, const char *worker);

/* Number of listed workers that have not reported to this core yet. They may be
 * of any size, so no shape is refused that they might hold. */
void gr_core_set_unreported (struct gr_core *core, uint32_t n_workers);

/* The worker was removed from the list of workers and does not respond. Its
 * gangs are stopped, and it is freed once it holds no lease. */
void gr_core_worker_removed (struct gr_core *core,
                             const char *worker,
                             int64_t now_ms);

/* --- Results of commands ------------------------------------------------ */

/* Reports the result of a command. Kind none means success; the other kinds
 * are those of platform/worker.h. id is the lease for GRANT, RENEW and RELEASE,
 * and the task for the others. */
void gr_core_command_result (struct gr_core *core,
                             enum gr_command_kind command,
                             const char *id,
                             enum gr_error_kind kind,
                             int64_t now_ms);

/* The record of the job is durable in the store, in this or a later version. */
void gr_core_committed (struct gr_core *core,
                        const char *job,
                        uint64_t version,
                        int64_t now_ms);

/* --- Jobs --------------------------------------------------------------- */

/* Adds a job; the next tick emits its COMMIT. Submitting the same account and
 * key again returns the existing job. *record is owned by the core. Errors:
 * unknown-account; never-fits (the job is for another data centre, exceeds the
 * quota, is non-idempotent and fits no guaranteed shape of its account, or has
 * a shape that no set of workers of this shard can hold); conflict (same key,
 * other content); bad-request. */
bool gr_core_submit (struct gr_core *core,
                     const struct gr_job_spec *spec,
                     int64_t now_ms,
                     int64_t unix_ms,
                     const struct gr_job_record **record,
                     struct gr_error *error);

/* Requests the cancellation of a job. A job that has ended is left
 * unchanged. Error: not-found. */
bool gr_core_cancel (struct gr_core *core,
                     const char *job,
                     int64_t now_ms,
                     struct gr_error *error);

/* Restores a record from the store, before the first tick. A job in state
 * starting or running waits up to one run lease term for the reports of its
 * workers. Either its tasks are adopted, or the job runs again (idempotent) or
 * ends as may-have-run. */
void gr_core_restore (struct gr_core *core,
                      const struct gr_job_record *record,
                      int64_t now_ms);

/* Returns the record of a job, or NULL if it does not exist. Valid until the
 * next call with a non-const core. */
const struct gr_job_record *gr_core_find (const struct gr_core *core,
                                          const char *job);

/* Calls visit for each record, including those of ended jobs. */
void gr_core_each_job (const struct gr_core *core,
                       void (*visit) (const struct gr_job_record *record,
                                      void *context),
                       void *context);

/* Removes ended jobs that ended before the given time and whose final record
 * is durable. */
void gr_core_prune_ended (struct gr_core *core, int64_t ended_before_unix_ms);

/* --- Tick --------------------------------------------------------------- */

/* Runs one scheduling pass and appends the commands to out, an array of struct
 * gr_command. durable: the store accepts writes; if it does not, nothing is
 * started that needs a new record. */
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
  uint32_t borrowed; /* accelerators used outside the guarantee */
  uint32_t waiting;  /* accelerators that waiting jobs need */
  uint32_t waiting_jobs;
  bool guarantee_impossible; /* too few usable workers */
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
  uint32_t largest_free_block; /* accelerators; adjacent */
  uint32_t jobs_waiting;
  uint32_t jobs_running;
  uint32_t preemptions;
  bool all_guarantees_placed; /* every guaranteed shape has a block */
};

void gr_core_get_status (const struct gr_core *core,
                         struct gr_core_status *status);

/* One element for each account or worker, of the structs above. Free with
 * g_array_unref (). */
GArray *gr_core_account_status (const struct gr_core *core);
GArray *gr_core_worker_status (const struct gr_core *core);
