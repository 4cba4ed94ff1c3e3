/* Error kinds, and a table that maps each kind to what callers and operators
 * see: name, HTTP status, run state, exit code and title. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum gr_error_kind
{
  GR_ERROR_NONE,
  GR_ERROR_BAD_REQUEST,
  GR_ERROR_TOO_LARGE,
  GR_ERROR_BAD_SETTINGS,
  GR_ERROR_UNAUTHENTICATED,
  GR_ERROR_FORBIDDEN,
  GR_ERROR_UNKNOWN_ACCOUNT,
  GR_ERROR_NOT_FOUND,
  GR_ERROR_NEVER_FITS,
  GR_ERROR_CONFLICT,
  GR_ERROR_PRECONDITION_REQUIRED,
  GR_ERROR_RATE_LIMITED,
  GR_ERROR_OVERLOADED,
  GR_ERROR_DEADLINE,
  GR_ERROR_STALE_SETTINGS,
  GR_ERROR_STORE_UNAVAILABLE,
  GR_ERROR_NO_OWNER,
  GR_ERROR_NO_TARGET,
  GR_ERROR_OTHER_PROCESS,
  GR_ERROR_SHUTTING_DOWN,
  GR_ERROR_UNCONFIRMED,
  GR_ERROR_DUPLICATE,
  GR_ERROR_MAY_HAVE_RUN,
  GR_ERROR_TIMEOUT,
  GR_ERROR_IO,
  GR_ERROR_PROTOCOL,
  GR_ERROR_CANCELLED,
  GR_ERROR_INTERNAL,
  GR_ERROR_N_KINDS
};

/* What the caller of a failed request may assume about its work. */
enum gr_run_state
{
  GR_RUN_NOT_RUN,      /* did not run; retry after retry_after_ms */
  GR_RUN_NEVER,        /* did not run; the same request can never run */
  GR_RUN_MAY_HAVE_RUN, /* outcome unknown: it may or may not have run */
};

struct gr_error
{
  enum gr_error_kind kind;
  int64_t retry_after_ms; /* 0: no retry time is given */
  char message[240];
};

struct gr_error_info
{
  const char *name; /* as written in problem documents and logs */
  int http_status;
  enum gr_run_state run_state;
  int exit_code; /* of geraniumrackctl */
  const char *title;
};

#define GR_ERROR_INIT                                                          \
  {                                                                            \
    GR_ERROR_NONE, 0, ""                                                       \
  }

/* Returns the table row for kind, or that of GR_ERROR_INTERNAL if kind is out
 * of range. Never NULL. */
const struct gr_error_info *gr_error_info (enum gr_error_kind kind);

/* Returns the kind with this name, or GR_ERROR_INTERNAL if there is none. */
enum gr_error_kind gr_error_kind_from_name (const char *name);

/* Returns "not-run", "never" or "may-have-run". */
const char *gr_run_state_name (enum gr_run_state state);

/* Sets kind and message, with a retry time of 0. Returns false, so that the
 * caller can return the result of the call. */
bool gr_error_set (struct gr_error *error,
                   enum gr_error_kind kind,
                   const char *format,
                   ...) G_GNUC_PRINTF (3, 4);

/* Like gr_error_set (), and also sets the time after which to retry. */
bool gr_error_set_retry (struct gr_error *error,
                         enum gr_error_kind kind,
                         int64_t retry_after_ms,
                         const char *format,
                         ...) G_GNUC_PRINTF (4, 5);
