/* Table of the executors with their state as known to this entry, and the
 * choice of an executor for a request. No I/O, no clock and no random source:
 * functions take now_ms, the monotonic time in ms, and a GRand. */
#pragma once

#include "common/report.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Assumed until the first status report with a number of slots. */
#define GR_EXECUTOR_DEFAULT_SLOTS 8

/* An executor is quarantined after this many failures without a success in
 * between, or after one refused connection. */
#define GR_QUARANTINE_FAILURES 4

/* Time until the first probe of a quarantined executor; doubles with each probe
 * that fails, up to GR_QUARANTINE_MAX_MS. */
#define GR_QUARANTINE_MIN_MS 500
#define GR_QUARANTINE_MAX_MS 60000

/* An executor that refused a request as busy gets no new requests for this
 * time; it doubles with each consecutive refusal, up to GR_BUSY_MAX_MS. */
#define GR_BUSY_MIN_MS 20
#define GR_BUSY_MAX_MS 1000

/* A report that all slots are busy expires after this time: slots become free
 * within the run time of short requests, and an executor that has no work of
 * this entry is polled only every two seconds. */
#define GR_FULL_REPORT_VALID_MS 100

struct gr_executors;

/* Entries share the slots of an executor without coordination: each entry
 * limits its requests in flight there by a window. A refusal as busy cuts the
 * window to the number in flight, each complete response lets it grow again. */

enum gr_executor_policy
{
  GR_POLICY_RANDOM,      /* baseline: any executor with a free connection */
  GR_POLICY_TWO_CHOICES, /* the less loaded one of two chosen at random */
};

enum gr_try_result
{
  GR_TRY_OK,           /* complete response to the request */
  GR_TRY_BUSY,         /* refused as busy, not run */
  GR_TRY_LEAVING,      /* refused because the executor is leaving, not run */
  GR_TRY_UNREACHABLE,  /* the connection attempt failed, not run */
  GR_TRY_FAILED,       /* any other failure, may have run */
  GR_TRY_INCONCLUSIVE, /* cancelled or ended by a short deadline; neither a
                          success nor a failure of the executor */
};

struct gr_executor_info
{
  char name[GR_NAME_MAX];
  char address[GR_NAME_MAX];
  uint32_t slots;
  uint32_t in_flight; /* requests of this entry */
  uint32_t long_in_flight;
  int32_t others_busy; /* slots held by others at the last report */
  int64_t latency_ms;  /* moving average */
  bool leaving;
  bool quarantined;
};

struct gr_executors *gr_executors_create (void);
void gr_executors_destroy (struct gr_executors *executors);

/* connections: maximum number of requests in flight to one executor.
 * long_share_percent: share of all slots that requests of long kinds may
 * hold. */
void gr_executors_configure (struct gr_executors *executors,
                             enum gr_executor_policy policy,
                             uint32_t connections,
                             uint32_t long_share_percent);

/* Applies a new list of executors: call begin, add once for each executor, end.
 * Executors that are not on the list get no new requests and are removed once
 * none is in flight. An executor with a new address is a new process: results
 * and reports of calls that were sent until now_ms say nothing about it. */
void gr_executors_list_begin (struct gr_executors *executors, int64_t now_ms);
void gr_executors_list_add (struct gr_executors *executors,
                            const char *name,
                            const char *address,
                            bool leaving);
void gr_executors_list_end (struct gr_executors *executors);

/* Applies a status report that was requested at requested_ms, with the numbers
 * of all slots and of busy slots. The report ends a quarantine that was caused
 * by refused connections alone. The first one since requests began to fail
 * permits a probe at once, by any request: this entry may have been cut off. */
void gr_executors_apply_report (struct gr_executors *executors,
                                const char *name,
                                int32_t slots,
                                int32_t busy,
                                bool leaving,
                                int64_t requested_ms);

/* Chooses an executor and counts the request as in flight there. Returns the
 * executor's name, owned by the table, or NULL if none can accept the request
 * now. excluded: NULL-terminated names of executors that were tried before, or
 * NULL. Only idempotent requests are used to probe a quarantined executor. */
const char *gr_executors_acquire (struct gr_executors *executors,
                                  bool is_long,
                                  bool idempotent,
                                  const char *const *excluded,
                                  int64_t now_ms,
                                  GRand *random);

/* Counts a request in flight that was acquired as short as long from now on,
 * because it has run too long. The caller then sets is_long in
 * gr_executors_release (). */
void gr_executors_reclassify_long (struct gr_executors *executors,
                                   const char *name);

/* Ends a request that was counted by gr_executors_acquire () and sent
 * latency_ms before now_ms. busy: number of busy slots as reported in the
 * response, or -1. */
void gr_executors_release (struct gr_executors *executors,
                           const char *name,
                           bool is_long,
                           enum gr_try_result result,
                           int32_t busy,
                           int64_t latency_ms,
                           int64_t now_ms);

/* Returns the number of executors that are on the list and not leaving. */
uint32_t gr_executors_count (const struct gr_executors *executors);

/* Returns the number of requests of this entry in flight. */
uint32_t gr_executors_in_flight (const struct gr_executors *executors);

/* Fills info; returns false if there is no such executor. */
bool gr_executors_get (const struct gr_executors *executors,
                       const char *name,
                       struct gr_executor_info *info);

/* Returns all executors, an array of struct gr_executor_info; free with
 * g_array_unref (). */
GArray *gr_executors_all (const struct gr_executors *executors);
