/* In-memory workers and a store around one decision core, for tests. Everything
 * runs in simulated time. The model asserts the invariants that workers and
 * store can observe. */
#pragma once

#include "sched/core.h"
#include "sched/invariants.h"

#define MODEL_TICK_MS 100
#define MODEL_ACCELERATORS 8

struct model_task
{
  char id[GR_ID_MAX];
  char job[GR_ID_MAX];
  uint32_t accelerators;
  int64_t expires_ms; /* when the lease expires */
  bool late;          /* granted by a delayed call */
  bool started;
  bool running;
  enum gr_task_state state;
  int64_t ran_ms;
  int64_t run_ms; /* run time until it finishes */
  int64_t checkpoint_ms;
};

struct model_worker
{
  char name[GR_NAME_MAX];
  char rack[GR_NAME_MAX];
  uint32_t slot;
  uint32_t incarnation;
  bool dead;
  bool unreachable;             /* runs, but no call or report gets through */
  bool failing;                 /* refuses every start */
  bool refuses_as_leaving;      /* refuses every start because it leaves */
  bool loses_releases;          /* no release gets through */
  bool fails_before_unthrottle; /* every task fails between its start and its
                                   unthrottle */
  GPtrArray *tasks;             /* struct model_task, one for each lease */
};

struct model
{
  struct gr_core *core;
  struct gr_core_config config;
  GRand *rand;
  int64_t now_ms;
  bool durable;
  bool instant; /* responses and commits arrive before the next tick */
  bool is_late; /* a delayed call is being handled */
  double loss;  /* probability that a call or its response is lost */
  uint32_t n_workers;
  struct model_worker *workers;
  GHashTable *by_name;
  GHashTable *records; /* job -> durable record */
  GHashTable *run_ms;  /* job -> real run time */
  GHashTable *ran;     /* non-idempotent job -> attempt that ran */
  GHashTable *started; /* attempt -> number of tasks that started */
  /* Attempt -> number of tasks in its durable record of state running. */
  GHashTable *committed;
  GHashTable *finished;           /* job -> number of tasks that finished */
  GHashTable *tasks_ever_started; /* tasks that ever started */
  GHashTable *jobs_ever_run;      /* jobs that had a task unthrottled */
  GHashTable *accounts;           /* name -> struct gr_account_settings */
  GPtrArray *writes;              /* records being written to the store */
  GPtrArray *events;              /* responses and reports in flight */
  GArray *out;
  uint64_t n_commands[GR_COMMAND_COMMIT + 1];
};

struct model *model_create (uint32_t seed,
                            uint32_t n_racks,
                            uint32_t per_rack,
                            enum gr_core_policy policy);
void model_destroy (struct model *model);

struct model_worker *model_worker (struct model *model, const char *name);

/* Replaces the owner by a new core that restores the durable records. */
void model_replace_owner (struct model *model);

void model_set_account (struct model *model,
                        const char *name,
                        uint32_t quota,
                        uint32_t workers,
                        uint32_t accelerators,
                        uint32_t count);

/* Advances the simulation by one step: workers run, reports and responses
 * arrive, and the core ticks. */
void model_step (struct model *model);
void model_run (struct model *model, int64_t for_ms);

/* Submits a job that runs for run_ms; NULL if it was refused. With a
 * negative run_ms the job fails after that time. */
const struct gr_job_record *model_submit (struct model *model,
                                          const struct gr_job_spec *spec,
                                          int64_t run_ms,
                                          struct gr_error *error);
struct gr_job_spec model_spec (const char *account,
                               const char *key,
                               uint32_t workers,
                               uint32_t accelerators);
enum gr_job_state model_state (const struct model *model, const char *key);

/* Creates a small pool with account "a", instant responses, and all workers
 * reported. */
struct model *model_create_ready (uint32_t n_racks, uint32_t per_rack);

/* Submits a job and aborts if it is refused. */
void model_must_submit (struct model *model,
                        const struct gr_job_spec *spec,
                        int64_t run_ms);

/* Number of tasks of the job that run now. */
uint32_t model_count_running (const struct model *model, const char *job);

/* The worker crashes and loses all its leases and tasks. */
void model_kill (struct model *model, struct model_worker *worker);

/* Functions that the files of the model share. */
GPtrArray *model_events_create (void);
GPtrArray *model_writes_create (void);
void model_drop_events (struct model *model);
enum gr_error_kind model_command (struct model *model,
                                  struct model_worker *worker,
                                  const struct gr_command *command);
void model_store (struct model *model, const struct gr_job_record *record);
void model_run_worker (struct model *model, struct model_worker *worker);
