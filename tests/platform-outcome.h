/* Test helpers: callbacks for the clients of the platform that record their
 * results in a struct outcome, and functions that run the main loop. */
#pragma once

#include "targets/instances.h"
#include "targets/worker.h"

/* Number of callbacks so far, and the results of the last one of each kind. */
struct outcome
{
  int calls;
  struct gr_error error;
  bool succeeded;
  int64_t revision;
  int64_t lease;
  int64_t ttl_s;
  size_t n_entries;
  char value[64];
  struct gr_worker_report report;
  struct gr_task_report task;
  char body[64];
  int32_t slots_busy;
  bool leaving;
  bool answered;
  uint32_t n_instances;
};

/* Runs the main loop until outcome->calls reaches calls; fails the test after
 * 20 s. */
void wait_calls (struct outcome *outcome, int calls);

/* Runs the main loop for time_ms. */
void run_for (guint time_ms);

/* Counts a callback and stores a copy of its error; NULL: no error. */
void record_callback (struct outcome *outcome, const struct gr_error *error);

/* Callbacks of the clients; context is the struct outcome. */
void error_done (const struct gr_error *error, void *context);
void report_done (const struct gr_worker_report *report,
                  const struct gr_error *error,
                  void *context);
void instances_changed (const struct gr_instance *list,
                        uint32_t count,
                        void *context);
void instances_failed (const struct gr_error *error, void *context);
