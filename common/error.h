/* Errors: one closed list of kinds, and a table from each kind to the answer
 * that callers and operators get. */
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

/* What a refusal says about the refused work. */
enum gr_run_state
{
  GR_RUN_NOT_RUN,      /* did not run; come back after retry_after_ms */
  GR_RUN_NEVER,        /* did not run and cannot, as it was stated */
  GR_RUN_MAY_HAVE_RUN, /* nobody may assume either */
};

struct gr_error
{
  enum gr_error_kind kind;
  int64_t retry_after_ms; /* 0 if there is nothing to come back for */
  char message[240];
};

struct gr_error_answer
{
  const char *name; /* as it stands in problem documents and logs */
  int http_status;
  enum gr_run_state run_state;
  int exit_code; /* of geraniumrackctl */
  const char *title;
};

#define GR_ERROR_INIT                                                          \
  {                                                                            \
    GR_ERROR_NONE, 0, ""                                                       \
  }

/* The row of the table for kind. Never NULL. */
const struct gr_error_answer *gr_error_answer (enum gr_error_kind kind);

/* Kind by name; GR_ERROR_INTERNAL if no kind has that name. */
enum gr_error_kind gr_error_kind_from_name (const char *name);

/* "not-run", "never" or "may-have-run". */
const char *gr_run_state_name (enum gr_run_state state);

/* Sets the error and returns false, so that a caller can return it at once. */
bool gr_error_set (struct gr_error *error,
                   enum gr_error_kind kind,
                   const char *format,
                   ...) G_GNUC_PRINTF (3, 4);

/* The same, with the time to come back. */
bool gr_error_set_retry (struct gr_error *error,
                         enum gr_error_kind kind,
                         int64_t retry_after_ms,
                         const char *format,
                         ...) G_GNUC_PRINTF (4, 5);
