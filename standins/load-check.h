/* Compares the outcomes that clients got with what the stand-ins of executors
 * and workers have run. Internal to the load tool. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Outcome that a client got for one key. A bit mask, since a request may be
 * sent more than once. */
enum gr_load_outcome
{
  GR_LOAD_RAN = 1,          /* status 200, or a job in state finished or
                               failed */
  GR_LOAD_NOT_RUN = 2,      /* run state "not-run" or "never", a refused job,
                               or a call that was not sent */
  GR_LOAD_MAY_HAVE_RUN = 4, /* any other outcome, such as a broken connection or
                               a job that has not ended */
  GR_LOAD_WRONG_ANSWER = 8, /* the response belongs to another request */
};

struct gr_load_check;

struct gr_load_check *gr_load_check_create (void);

/* check may be NULL. */
void gr_load_check_destroy (struct gr_load_check *check);

/* Adds a request or job that is about to be sent. tasks is 1 for a request and
 * the number of workers for a job. */
void gr_load_check_add_work (struct gr_load_check *check,
                             const char *key,
                             bool idempotent,
                             uint32_t tasks);

/* Adds an outcome that a client got. Unknown keys are ignored. */
void gr_load_check_add_outcome (struct gr_load_check *check,
                                const char *key,
                                enum gr_load_outcome outcome);

/* Reads the response to GET /control of an executor or worker. If control is
 * NULL (no response) or invalid, work without a recorded start is no longer
 * reported as a violation, since it may have run on that target. */
void gr_load_check_read_control (struct gr_load_check *check,
                                 JsonObject *control);

/* Appends a report to text. Returns the number of violations. */
uint32_t gr_load_check_append_report (struct gr_load_check *check,
                                      GString *text);
