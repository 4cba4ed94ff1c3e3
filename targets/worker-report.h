/* JSON form of a worker's report, for the client in targets/worker.c and the
 * stand-in worker. */
#pragma once

#include "common/error.h"
#include "common/report.h"

/* Decodes a report. Returns false and sets error (protocol) if it is malformed.
 * The caller clears the report in both cases. */
bool gr_worker_report_decode (GBytes *body,
                              struct gr_worker_report *report,
                              struct gr_error *error);
void gr_worker_report_clear (struct gr_worker_report *report);

/* Returns "running", "finished", "failed" or "stopped". */
const char *gr_task_state_name (enum gr_task_state state);
