/* The status report of a worker. Plain data: filled by targets/worker-report.h,
 * read by the scheduling core in sched/. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Sizes of the buffers for names and ids in bytes, including the terminating
 * NUL. */
#define GR_NAME_MAX 64
#define GR_ID_MAX 192
#define GR_MAX_ACCELERATORS 16

enum gr_task_state
{
  GR_TASK_RUNNING,
  GR_TASK_FINISHED,
  GR_TASK_FAILED,
  GR_TASK_STOPPED,
};

/* A lease on accelerators of one worker. */
struct gr_lease_report
{
  char lease[GR_ID_MAX];
  char holder[GR_NAME_MAX];
  uint32_t accelerators; /* bit mask */
  int64_t remaining_ms;
};

/* A task on one worker. Finished tasks stay in the report for at least 60 s or
 * until their lease is released. */
struct gr_task_report
{
  char task[GR_ID_MAX];
  char lease[GR_ID_MAX];
  enum gr_task_state state;
  uint32_t throttle_percent; /* 0: started, but not running */
  int64_t ran_ms;            /* time spent running so far */
  int64_t checkpoint_ms;     /* part of ran_ms that is saved in a checkpoint */
};

struct gr_worker_report
{
  char worker[GR_NAME_MAX];
  char incarnation[GR_NAME_MAX]; /* changes with each restart of the worker */
  char rack[GR_NAME_MAX];
  uint32_t rack_slot; /* position in the rack; consecutive ones are adjacent */
  char data_centre[GR_NAME_MAX];
  uint32_t accelerators;
  uint32_t cores;
  uint64_t memory_mb;
  bool leaving;
  uint32_t n_leases;
  struct gr_lease_report *leases;
  uint32_t n_tasks;
  struct gr_task_report *tasks;
};
