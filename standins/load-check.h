/* Comparison of what callers were told with what has run. Internal to the load
 * tool. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What callers were told about one key; several may be set. */
enum gr_load_told
{
  GR_TOLD_RAN = 1,          /* 200, or the job has ended finished or failed */
  GR_TOLD_NOT_RUN = 2,      /* "not-run" or "never", or the job is refused */
  GR_TOLD_MAY_HAVE_RUN = 4, /* also a broken connection, or a job that has not
                               ended */
  GR_TOLD_WRONG = 8,        /* the answer was another request's */
};

struct gr_load_check;

struct gr_load_check *gr_load_check_create (void);
void gr_load_check_destroy (struct gr_load_check *check);

/* Work that is sent. tasks is 1 for a request, the number of workers for a
 * job. */
void gr_load_check_sent (struct gr_load_check *check,
                         const char *key,
                         bool idempotent,
                         uint32_t tasks);
void gr_load_check_told (struct gr_load_check *check,
                         const char *key,
                         enum gr_load_told told);

/* Reads the answer of GET /control of an executor or a worker; NULL if there
 * was none, after which nothing is said about work that did not run. */
void gr_load_check_read (struct gr_load_check *check, JsonObject *control);

/* Appends a report; the number of statements that were not true. */
uint32_t gr_load_check_print (struct gr_load_check *check, GString *text);
