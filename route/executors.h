/* The executors as this entry knows them, and the choice between them. Pure:
 * functions take now_ms, and the caller passes the random numbers. */
#pragma once

#include "common/report.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Assumed until an executor has said how many slots it has. */
#define GR_EXECUTOR_DEFAULT_SLOTS 8

/* This many failures in a row without a success put an executor into
 * quarantine. One refused connection is enough. */
#define GR_QUARANTINE_FAILURES 4

/* Time until the first probe; doubles with each probe that fails. */
#define GR_QUARANTINE_MIN_MS 500
#define GR_QUARANTINE_MAX_MS 60000

/* After a refusal as busy an executor gets nothing for this long; doubles with
 * each refusal in a row. */
#define GR_BUSY_MIN_MS 20
#define GR_BUSY_MAX_MS 1000

/* A report that all slots are busy keeps work away for this long only: slots
 * become free within the run time of short requests, and an executor without
 * work of this entry reports only every two seconds. */
#define GR_FULL_REPORT_MS 100

struct gr_executors;

/* Entries share the slots of an executor without talking to each other: each
 * has a window for it, which a refusal as busy cuts to what is in flight, and
 * which whole answers let grow again. */

enum gr_choice
{
  GR_CHOICE_RANDOM,      /* baseline: any executor with a free connection */
  GR_CHOICE_TWO_CHOICES, /* the less loaded of two random ones */
};

enum gr_try_result
{
  GR_TRY_OK,          /* whole answer to the request */
  GR_TRY_BUSY,        /* refused before it started */
  GR_TRY_LEAVING,     /* the same, and the executor is leaving */
  GR_TRY_UNREACHABLE, /* no connection was made */
  GR_TRY_FAILED,      /* anything else */
  GR_TRY_GIVEN_UP,    /* ended by this process; says nothing of the executor */
};

struct gr_executor_info
{
  char name[GR_NAME_MAX];
  char address[GR_NAME_MAX];
  uint32_t slots;
  uint32_t in_flight; /* of this entry */
  uint32_t long_in_flight;
  int32_t others_busy; /* slots that others held at the last report */
  int64_t latency_ms;  /* smoothed */
  bool leaving;
  bool quarantined;
};

struct gr_executors *gr_executors_create (void);
void gr_executors_destroy (struct gr_executors *executors);

/* connections: the most requests in flight to one executor; long_share_percent:
 * the part of all slots that long kinds may hold. */
void gr_executors_configure (struct gr_executors *executors,
                             enum gr_choice choice,
                             uint32_t connections,
                             uint32_t long_share_percent);

/* Takes the list over: begin, one call for each executor, end. Executors that
 * are not on it get no new work; those in flight stay until they end. */
void gr_executors_list_begin (struct gr_executors *executors);
void gr_executors_list_add (struct gr_executors *executors,
                            const char *name,
                            const char *address,
                            bool leaving);
void gr_executors_list_end (struct gr_executors *executors);

/* Takes a status report. It ends a quarantine that is due to refused
 * connections alone. */
void gr_executors_report (struct gr_executors *executors,
                          const char *name,
                          int32_t slots,
                          int32_t busy,
                          bool leaving,
                          int64_t now_ms);

/* Chooses an executor and counts the request as in flight there. Returns its
 * name, owned by the table, or NULL if none can take it now. not_this may be
 * NULL: names, NULL terminated, that were tried before. Only idempotent work
 * probes an executor in quarantine. */
const char *gr_executors_take (struct gr_executors *executors,
                               bool is_long,
                               bool idempotent,
                               const char *const *not_this,
                               int64_t now_ms,
                               GRand *random);

/* A request that was taken as short runs too long and counts as long now. */
void gr_executors_overrun (struct gr_executors *executors, const char *name);

/* Ends a request. busy: as the answer reported it, or -1. */
void gr_executors_done (struct gr_executors *executors,
                        const char *name,
                        bool is_long,
                        enum gr_try_result result,
                        int32_t busy,
                        int64_t latency_ms,
                        int64_t now_ms);

/* Executors that are on the list and not leaving. */
uint32_t gr_executors_count (const struct gr_executors *executors);

/* Requests of this entry in flight. */
uint32_t gr_executors_in_flight (const struct gr_executors *executors);

/* False if there is no such executor. */
bool gr_executors_get (const struct gr_executors *executors,
                       const char *name,
                       struct gr_executor_info *info);

/* Array of struct gr_executor_info; free with g_array_unref (). */
GArray *gr_executors_all (const struct gr_executors *executors);
