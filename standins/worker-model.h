/* Model of one worker: leases on accelerators, and tasks that run under them.
 * Does no I/O and reads no clock; callers pass the time in. */
#pragma once

#include "common/report.h"

#include <glib.h>

struct gr_worker_model;

/* Record of one task start, returned by GET /control. */
struct gr_worker_start_record
{
  char task[GR_ID_MAX];
  char lease[GR_ID_MAX];
  char spec[64]; /* truncated if it is longer */
  int64_t started_ms;
  int64_t unthrottled_ms; /* first time with a throttle above 0 %, or -1 */
  int64_t ended_ms;       /* -1 while the task runs */
  int64_t ran_ms;         /* run time scaled by the throttle; set at the end */
  enum gr_task_state state;
};

enum gr_model_result
{
  GR_MODEL_OK,
  GR_MODEL_CONFLICT,
  GR_MODEL_NOT_FOUND, /* the lease or task does not exist */
};

struct gr_worker_model *gr_worker_model_create (uint32_t accelerators);

/* model may be NULL. */
void gr_worker_model_destroy (struct gr_worker_model *model);

/* Ends leases that have expired and tasks that have finished at now_ms. Call it
 * before every other function. Returns the time of the next event in ms, or
 * INT64_MAX. */
int64_t gr_worker_model_advance (struct gr_worker_model *model, int64_t now_ms);

/* If set, every task that starts fails at once. */
void gr_worker_model_set_fail_all (struct gr_worker_model *model, bool fail);

/* Stops all tasks and removes all leases and tasks, as a restart does. */
void gr_worker_model_restart (struct gr_worker_model *model, int64_t now_ms);

/* Grants a lease on accelerators (a bit mask) for term_ms. A repeated call with
 * the same holder and accelerators renews the lease. Returns GR_MODEL_CONFLICT
 * if the mask is empty or exceeds the worker, an accelerator is leased already,
 * or the lease exists with other parameters. */
enum gr_model_result gr_worker_model_grant (struct gr_worker_model *model,
                                            const char *lease,
                                            const char *holder,
                                            uint32_t accelerators,
                                            int64_t term_ms,
                                            int64_t now_ms);

/* Extends a lease to term_ms from now. */
enum gr_model_result gr_worker_model_renew (struct gr_worker_model *model,
                                            const char *lease,
                                            int64_t term_ms,
                                            int64_t now_ms);

/* Stops and removes all tasks of a lease, then removes the lease. */
enum gr_model_result gr_worker_model_release (struct gr_worker_model *model,
                                              const char *lease,
                                              int64_t now_ms);

/* Starts a task under a lease. The spec may contain run_ms=N (run time in ms,
 * default 1000) and fail=1. A repeated call with the same lease returns
 * GR_MODEL_OK and starts nothing. Returns GR_MODEL_CONFLICT if the lease does
 * not exist or the task exists under another lease. */
enum gr_model_result gr_worker_model_start (struct gr_worker_model *model,
                                            const char *lease,
                                            const char *task,
                                            uint32_t throttle_percent,
                                            const char *spec,
                                            int64_t now_ms);

/* Sets the speed of a running task: 100 is full speed, 0 pauses it. Returns
 * GR_MODEL_CONFLICT if the task has ended. */
enum gr_model_result gr_worker_model_throttle (struct gr_worker_model *model,
                                               const char *task,
                                               uint32_t throttle_percent,
                                               int64_t now_ms);

/* Records the run time of a running task as its last checkpoint. Returns
 * GR_MODEL_CONFLICT if the task has ended. */
enum gr_model_result gr_worker_model_checkpoint (struct gr_worker_model *model,
                                                 const char *task,
                                                 int64_t now_ms);

/* Stops a task. Returns GR_MODEL_OK also if the task has already ended. */
enum gr_model_result gr_worker_model_stop (struct gr_worker_model *model,
                                           const char *task,
                                           int64_t now_ms);

/* Fills the lists of leases and tasks in report; free them with g_free (). */
void gr_worker_model_report (const struct gr_worker_model *model,
                             int64_t now_ms,
                             struct gr_worker_report *report);

/* Returns an array of struct gr_worker_start_record, owned by the model. */
const GArray *gr_worker_model_starts (const struct gr_worker_model *model);

/* Returns the number after "NAME=" or "\"NAME\":" in text, or fallback if
 * there is none. Digits are no longer read once the number reaches INT32_MAX.
 */
int64_t gr_spec_get_number (const char *text,
                            size_t size,
                            const char *name,
                            int64_t fallback);
