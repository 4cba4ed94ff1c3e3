/* Model of one worker: leases on accelerators, and tasks that run under them.
 * Pure: time is passed in. */
#pragma once

#include "common/report.h"

#include <glib.h>

struct gr_worker_model;

/* What became of a start, for GET /control. */
struct gr_worker_start_record
{
  char task[GR_ID_MAX];
  char lease[GR_ID_MAX];
  char spec[64]; /* its beginning */
  int64_t started_ms;
  int64_t unthrottled_ms; /* first time that it could run; -1: never */
  int64_t ended_ms;       /* -1: still there */
  int64_t ran_ms;
  enum gr_task_state state;
};

enum gr_model_result
{
  GR_MODEL_OK,
  GR_MODEL_CONFLICT,
  GR_MODEL_NOT_FOUND,
};

struct gr_worker_model *gr_worker_model_create (uint32_t accelerators);
void gr_worker_model_destroy (struct gr_worker_model *model);

/* Ends leases and tasks whose time has come. Call before every other call.
 * The time of the next event, or INT64_MAX. */
int64_t gr_worker_model_advance (struct gr_worker_model *model, int64_t now_ms);

/* All tasks that start from now on fail at once. */
void gr_worker_model_set_fail_all (struct gr_worker_model *model, bool fail);

/* Forgets leases and tasks, as after a restart. */
void gr_worker_model_restart (struct gr_worker_model *model, int64_t now_ms);

enum gr_model_result gr_worker_model_grant (struct gr_worker_model *model,
                                            const char *lease,
                                            const char *holder,
                                            uint32_t accelerators,
                                            int64_t term_ms,
                                            int64_t now_ms);
enum gr_model_result gr_worker_model_renew (struct gr_worker_model *model,
                                            const char *lease,
                                            int64_t term_ms,
                                            int64_t now_ms);
enum gr_model_result gr_worker_model_release (struct gr_worker_model *model,
                                              const char *lease,
                                              int64_t now_ms);
/* The spec may hold run_ms=N (default 1000) and fail=1. */
enum gr_model_result gr_worker_model_start (struct gr_worker_model *model,
                                            const char *lease,
                                            const char *task,
                                            uint32_t throttle_percent,
                                            const char *spec,
                                            int64_t now_ms);
enum gr_model_result gr_worker_model_throttle (struct gr_worker_model *model,
                                               const char *task,
                                               uint32_t throttle_percent,
                                               int64_t now_ms);
enum gr_model_result gr_worker_model_checkpoint (struct gr_worker_model *model,
                                                 const char *task,
                                                 int64_t now_ms);
enum gr_model_result gr_worker_model_stop (struct gr_worker_model *model,
                                           const char *task,
                                           int64_t now_ms);

/* Fills the lists of report; they are to be freed with g_free (). */
void gr_worker_model_report (const struct gr_worker_model *model,
                             int64_t now_ms,
                             struct gr_worker_report *report);

/* Elements are struct gr_worker_start_record; owned by the model. */
const GArray *gr_worker_model_starts (const struct gr_worker_model *model);

/* The number after "NAME=" or "\"NAME\":" in text; missing if there is
 * none. */
int64_t gr_spec_number (const char *text,
                        size_t size,
                        const char *name,
                        int64_t missing);
