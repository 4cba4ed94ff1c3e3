/* Simulated workers and decision cores of all shards, in simulated time.
 * Workers answer every command after a fixed delay. */
#pragma once

#include "bench/bench.h"

/* Time from a command until its answer: a call to a worker, or the group commit
 * of a record. */
#define POOL_ANSWER_DELAY_MS 20

struct pool_job
{
  char id[GR_ID_MAX];
  struct gr_shape shape;
  enum gr_priority priority;
  uint32_t shard;
  uint32_t tag;   /* set by the caller to group jobs */
  int64_t run_ms; /* actual run time; the spec has an estimate */
  int64_t submit_ms;
  int64_t started_ms; /* first time when all tasks were running; 0: not yet */
  int64_t ended_ms;   /* when the final record was durable; 0: not yet */
  enum gr_job_state state;
  uint32_t n_running; /* running tasks */
};

struct pool_task
{
  char id[GR_ID_MAX];
  struct pool_job *job;
  struct pool_worker *worker;
  uint32_t accelerators;    /* bit mask */
  int64_t running_since_ms; /* 0: never unthrottled */
  int64_t finish_ms;        /* 0: not running */
  int64_t ran_ms;           /* run time without the current run */
  int64_t checkpoint_ms;    /* run time at the last checkpoint */
  uint64_t sequence;        /* orders tasks with the same finish_ms */
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
  uint32_t leased;  /* bit mask of accelerators */
  GPtrArray *tasks; /* struct pool_task, owned */
};

struct pool_shard
{
  struct gr_core *core;
  char name[GR_NAME_MAX];
  uint32_t n_workers;
  struct pool_worker *workers;
  /* Number of reports that were due so far. The workers report in turn; a
   * report that is due while its worker is down is skipped. */
  uint64_t n_reports;
  GArray *answers; /* delivered at the next tick */
  int64_t next_tick_ms;
};

struct pool_options
{
  enum gr_core_policy policy;
  uint32_t n_shards;
  uint32_t n_workers; /* over all shards */
  uint32_t cores;
  int64_t tick_interval_ms;   /* while no answer is pending */
  int64_t report_interval_ms; /* of each worker */
};

struct pool
{
  struct pool_options options;
  GRand *rand;
  int64_t now_ms;
  uint32_t n_shards;
  struct pool_shard shards[BENCH_N_SHARDS];
  GHashTable *jobs;          /* id -> struct pool_job, owned */
  GPtrArray *submitted_jobs; /* the same jobs in order of submission */
  GHashTable *tasks;         /* id -> struct pool_task */
  GTree *running_tasks;      /* struct pool_task, ordered by finish_ms */
  uint64_t next_sequence;
  uint32_t n_nonfinal_jobs; /* jobs without a final record */
  /* Run time since the last checkpoint, multiplied by the number of
   * accelerators, that was lost when tasks were stopped or workers failed. */
  double lost_accelerator_ms;
  GArray *commands;
};

/* Creates the shards dc1, dc2 and so on with all accounts of the deployment.
 * Free the pool with pool_destroy (). */
struct pool *pool_create (const struct pool_options *options,
                          const struct bench_deployment *deployment,
                          uint32_t seed);
void pool_destroy (struct pool *pool);

/* Submits a job to a shard. Returns the job, owned by the pool, or NULL if the
 * shard refused it. run_ms: actual run time. */
struct pool_job *pool_submit (struct pool *pool,
                              uint32_t shard,
                              const struct gr_job_spec *spec,
                              int64_t run_ms);

/* Runs all ticks that are due by until_ms, then sets the simulated time to
 * until_ms. */
void pool_run_until (struct pool *pool, int64_t until_ms);

/* Ends the tasks that have finished, delivers pending answers and due reports
 * to the shard, runs one tick of its core and executes the commands. Returns
 * the processor time of gr_core_tick () in nanoseconds. */
int64_t pool_tick (struct pool *pool, struct pool_shard *shard);

/* Fails all tasks of the worker, which is down until until_ms and then returns
 * with a new incarnation. */
void pool_fail_worker (struct pool *pool,
                       struct pool_worker *worker,
                       int64_t until_ms);

/* Returns the spec of an idempotent job with an estimated run time of 60 s. */
struct gr_job_spec pool_job_spec (const char *account,
                                  const char *key,
                                  uint32_t workers,
                                  uint32_t accelerators,
                                  enum gr_priority priority);
