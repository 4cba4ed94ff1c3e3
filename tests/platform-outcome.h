/* Callbacks of the platform's clients that note what they got. */
#pragma once

#include "targets/instances.h"
#include "targets/worker.h"

/* What the last callback got. */
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

/* Runs the main loop until there were that many callbacks; fails the test
 * after 20 s. */
void wait_calls (struct outcome *outcome, int calls);

/* Runs the main loop for that time. */
void run_for (guint time_ms);

/* Counts a callback; error may be NULL. */
void note_error (struct outcome *outcome, const struct gr_error *error);

/* Callbacks; context is the outcome. */
void error_done (const struct gr_error *error, void *context);
void report_done (const struct gr_worker_report *report,
                  const struct gr_error *error,
                  void *context);
void instances_changed (const struct gr_instance *list,
                        uint32_t count,
                        void *context);
void instances_failed (const struct gr_error *error, void *context);
