/* Rate limits of accounts, reporting side: admits requests within this entry's
 * fixed floor and the allotment that the account's home entry has granted to
 * it. The home side is in route/allot.h, which also explains the protocol. No
 * I/O and no clock: functions take now_ms, the monotonic time in ms. */
#pragma once

#include "common/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Term of an allotment. The reporting entry counts it from the time when it
 * sent the report, so that its allotment has expired if it was paused for
 * longer. */
#define GR_LIMIT_TERM_MS 1000

/* Interval between reports, short enough that an allotment survives two lost
 * ones; and the shorter interval after a refusal. */
#define GR_LIMIT_REPORT_MS 300
#define GR_LIMIT_URGENT_REPORT_MS 100

/* Length of the windows that divide a second for pacing. */
#define GR_LIMIT_WINDOW_MS 100

struct gr_limits;

enum gr_limit_mode
{
  GR_LIMIT_STATIC,   /* baseline: the rate divided equally among all entries */
  GR_LIMIT_ALLOTTED, /* floor plus allotment */
};

enum gr_limit_pacing
{
  GR_PACING_REFILL,  /* baseline: all credit of a second at its start */
  GR_PACING_WINDOWS, /* a part of the credit in each window; unused credit stays
                        valid within the second */
};

struct gr_limits *gr_limits_create (enum gr_limit_mode mode,
                                    enum gr_limit_pacing pacing,
                                    int64_t now_ms);
void gr_limits_destroy (struct gr_limits *limits);

/* Sets the number of entries, not counting the one that is added during a
 * rolling replacement. */
void gr_limits_set_instances (struct gr_limits *limits,
                              uint32_t entry_instances);

/* Adds an account or changes its rate. */
void gr_limits_set_account (struct gr_limits *limits,
                            const char *account,
                            double rate_per_s,
                            int64_t now_ms);
void gr_limits_remove_account (struct gr_limits *limits, const char *account);

/* Returns the names of all accounts. limits owns the strings; free only the
 * array. */
GPtrArray *gr_limits_accounts (const struct gr_limits *limits);

/* Admits one request, or returns false and sets error: unknown-account or
 * rate-limited. The retry-after time of the latter is spread at random over the
 * time in which the rate can serve the requests that were refused in this
 * second. */
bool gr_limits_admit (struct gr_limits *limits,
                      const char *account,
                      int64_t now_ms,
                      GRand *random,
                      struct gr_error *error);

/* Starts a report of the account's demand, in requests per second, to home.
 * Returns false if the report must not be sent now or the account does not
 * exist.
 *
 * If home differs from the home of the last report, the allotment of the
 * previous home is dropped immediately, and no report is allowed until one term
 * after the last report to the previous home. So no entry counts for the
 * majorities of two homes within one term. No report is allowed in the first
 * term after the start either, since a previous process of this entry may have
 * reported to another home. */
bool gr_limits_begin_report (struct gr_limits *limits,
                             const char *account,
                             const char *home,
                             int64_t now_ms,
                             double *demand_per_s);

/* Returns true if a request was refused since the last call, and clears this
 * state. The demand should then be reported after GR_LIMIT_URGENT_REPORT_MS. */
bool gr_limits_clear_refused (struct gr_limits *limits);

/* Applies the reply to the report that was sent at sent_ms. Ignores replies
 * from a home other than the current one, and replies to reports that were sent
 * before a change of home or before the report whose reply was last applied. */
void gr_limits_apply_allotment (struct gr_limits *limits,
                                const char *account,
                                const char *home,
                                int64_t sent_ms,
                                double rate_per_s);

/* Returns the rate that this entry may admit now, in requests per second: floor
 * plus allotment. */
double gr_limits_rate (const struct gr_limits *limits,
                       const char *account,
                       int64_t now_ms);

/* Returns the size of a majority of entry_instances + 1 entries; any two
 * majorities have an entry in common. */
uint32_t gr_majority (uint32_t entry_instances);
