/* Workers as a table that answers every command after a fixed delay, around
 * the decision cores of all shards. Everything runs in simulated time. */
#pragma once

#include "bench/bench.h"

/* Call to a worker, or group commit of a record. */
#define POOL_DELAY_MS 20

struct pool_job
{
  char id[GR_ID_MAX];
  struct gr_shape shape;
  enum gr_priority priority;
  uint32_t shard;
  uint32_t tag;   /* of the caller */
  int64_t run_ms; /* real run time */
  int64_t submit_ms;
  int64_t started_ms; /* all tasks run; 0: not yet */
  int64_t ended_ms;   /* final record durable; 0: not yet */
  enum gr_job_state state;
  uint32_t n_running; /* tasks of the present attempt */
};

struct pool_task
{
  char id[GR_ID_MAX];
  struct pool_job *job;
  struct pool_worker *worker;
  uint32_t accelerators; /* mask */
  int64_t running_since_ms;
  int64_t finish_ms; /* 0: not running */
  int64_t ran_ms;
  int64_t checkpoint_ms;
  uint64_t sequence;
  bool started;
  enum gr_task_state state;
};

struct pool_worker
{
  char name[GR_NAME_MAX];
  char rack[GR_NAME_MAX];
  uint32_t slot;
  uint32_t incarnation;
  int64_t down_until_ms;
  uint32_t held;    /* mask */
  GPtrArray *tasks; /* struct pool_task, owned */
};

struct pool_shard
{
  struct gr_core *core;
  char name[GR_NAME_MAX];
  uint32_t n_workers;
  struct pool_worker *workers;
  uint64_t n_reports; /* sent so far: workers report in turn */
  GArray *answers;    /* arrive at the next tick */
  int64_t next_tick_ms;
};

struct pool_options
{
  enum gr_core_policy policy;
  uint32_t n_shards;
  uint32_t n_workers; /* over all shards */
  uint32_t cores;
  int64_t tick_ms;   /* while nothing happens */
  int64_t report_ms; /* each worker reports this often */
};

struct pool
{
  struct pool_options options;
  GRand *rand;
  int64_t now_ms;
  uint32_t n_shards;
  struct pool_shard shards[BENCH_N_SHARDS];
  GHashTable *jobs;  /* id -> struct pool_job, owned */
  GPtrArray *list;   /* the same in order of submission */
  GHashTable *tasks; /* id -> struct pool_task */
  GTree *finishes;   /* struct pool_task by finish_ms */
  uint64_t next_sequence;
  uint32_t n_unended;
  double lost_accelerator_ms; /* by stops and dead workers */
  GArray *commands;
};

struct pool *pool_create (const struct pool_options *options,
                          const struct bench_deployment *deployment,
                          uint32_t seed);
void pool_destroy (struct pool *pool);

/* Submits to a shard; NULL if it is refused. Owned by the pool. */
struct pool_job *pool_submit (struct pool *pool,
                              uint32_t shard,
                              const struct gr_job_spec *spec,
                              int64_t run_ms);

/* Runs until the time, which then is now. */
void pool_run (struct pool *pool, int64_t until_ms);

/* One tick of a shard with all that is due before it; returns the time that
 * the core took, in nanoseconds of the process clock. */
int64_t pool_tick (struct pool *pool, struct pool_shard *shard);

/* The worker loses all tasks and is away until the time. */
void
pool_kill (struct pool *pool, struct pool_worker *worker, int64_t until_ms);

struct gr_job_spec pool_spec (const char *account,
                              const char *key,
                              uint32_t workers,
                              uint32_t accelerators,
                              enum gr_priority priority);
