/* JSON form of a worker's report. Internal to platform/. */
#pragma once

#include "common/error.h"
#include "common/report.h"

/* False and error (protocol) if malformed. The report is to be cleared in both
 * cases. */
bool gr_worker_report_decode (GBytes *body,
                              struct gr_worker_report *report,
                              struct gr_error *error);
void gr_worker_report_clear (struct gr_worker_report *report);

/* Names of task states: "running", "finished", "failed", "stopped". */
const char *gr_task_state_name (enum gr_task_state state);
