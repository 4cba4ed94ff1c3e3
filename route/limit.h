/* Rate limits of accounts, member role: what this entry admits out of its
 * fixed floor and out of what the account's home entry has allotted to it. The
 * home role is in route/allot.h. Pure: functions take now_ms. */
#pragma once

#include "common/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Term of an allotment, counted by the member from the time at which it sent
 * the report, so that a paused member finds its allotment expired. */
#define GR_LIMIT_TERM_MS 1000

/* Reports are sent this often, so that two lost ones do not end an allotment;
 * after a refusal, this often. */
#define GR_LIMIT_REPORT_MS 300
#define GR_LIMIT_URGENT_REPORT_MS 100

/* Rates are paced in parts of a second of this length. */
#define GR_LIMIT_WINDOW_MS 100

struct gr_limits;

enum gr_limit_mode
{
  GR_LIMIT_STATIC, /* baseline: an equal part of the rate for every entry */
  GR_LIMIT_ALLOTTED,
};

enum gr_limit_pacing
{
  GR_PACING_REFILL,  /* baseline: the rate of a second at its start */
  GR_PACING_WINDOWS, /* cumulative sub-windows */
};

struct gr_limits *gr_limits_create (enum gr_limit_mode mode,
                                    enum gr_limit_pacing pacing,
                                    int64_t now_ms);
void gr_limits_destroy (struct gr_limits *limits);

/* Instances besides the one that is added during a rolling replacement. */
void gr_limits_set_instances (struct gr_limits *limits,
                              uint32_t entry_instances);

/* Adds an account or changes its rate. */
void gr_limits_set_account (struct gr_limits *limits,
                            const char *account,
                            double rate_per_s,
                            int64_t now_ms);
void gr_limits_remove_account (struct gr_limits *limits, const char *account);

/* Names of all accounts, owned by limits; free the array only. */
GPtrArray *gr_limits_accounts (const struct gr_limits *limits);

/* Admits one request. Kinds unknown-account and rate-limited; the time to come
 * back is spread at random over the time in which the rate can serve those
 * that were refused. */
bool gr_limits_take (struct gr_limits *limits,
                     const char *account,
                     int64_t now_ms,
                     GRand *random,
                     struct gr_error *error);

/* Asks to report the account's demand to home. An allotment from another home
 * is dropped at once, and no report is allowed until one term after the last
 * one to that home: so no entry counts for the majorities of two homes within
 * one term. The same holds for the first term after the start, since a former
 * process of this entry may have reported elsewhere. Returns false if the
 * report must not be sent now. */
bool gr_limits_report (struct gr_limits *limits,
                       const char *account,
                       const char *home,
                       int64_t now_ms,
                       double *demand_per_s);

/* Whether a request was refused since the last call; then the demand should be
 * reported without waiting for the usual time. */
bool gr_limits_refused (struct gr_limits *limits);

/* Takes the answer to the report that was sent at sent_ms. Answers from
 * another home than the present one, and from before a change of home, change
 * nothing. */
void gr_limits_allotted (struct gr_limits *limits,
                         const char *account,
                         const char *home,
                         int64_t sent_ms,
                         double rate_per_s);

/* Rate that this entry may admit now: floor and allotment. */
double gr_limits_rate (const struct gr_limits *limits,
                       const char *account,
                       int64_t now_ms);

/* The majority of entry_instances + 1; any two majorities share a member. */
uint32_t gr_majority (uint32_t entry_instances);
