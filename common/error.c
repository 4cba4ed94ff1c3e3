#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const struct gr_error_info error_table[GR_ERROR_N_KINDS] = {
  [GR_ERROR_NONE] = { "none", 200, GR_RUN_NOT_RUN, 0, "No error" },
  [GR_ERROR_BAD_REQUEST] = { "bad-request", 400, GR_RUN_NEVER, 2,
                             "The request is malformed" },
  [GR_ERROR_TOO_LARGE] = { "too-large", 413, GR_RUN_NEVER, 2,
                           "The body is too large" },
  [GR_ERROR_BAD_SETTINGS] = { "bad-settings", 422, GR_RUN_NEVER, 2,
                              "The settings are not valid" },
  [GR_ERROR_UNAUTHENTICATED] = { "unauthenticated", 401, GR_RUN_NEVER, 3,
                                 "A valid token is required" },
  [GR_ERROR_FORBIDDEN] = { "forbidden", 403, GR_RUN_NEVER, 3,
                           "The token does not allow this" },
  [GR_ERROR_UNKNOWN_ACCOUNT] = { "unknown-account", 404, GR_RUN_NEVER, 4,
                                 "No such client account" },
  [GR_ERROR_NOT_FOUND] = { "not-found", 404, GR_RUN_NEVER, 4,
                           "No such resource" },
  [GR_ERROR_NEVER_FITS] = { "never-fits", 422, GR_RUN_NEVER, 5,
                            "The work can never be placed" },
  [GR_ERROR_CONFLICT] = { "conflict", 409, GR_RUN_NEVER, 6,
                          "Somebody else changed it first" },
  [GR_ERROR_PRECONDITION_REQUIRED] = { "precondition-required", 428,
                                       GR_RUN_NEVER, 2,
                                       "An If-Match header is required" },
  [GR_ERROR_RATE_LIMITED] = { "rate-limited", 429, GR_RUN_NOT_RUN, 7,
                              "The account's rate is used up" },
  [GR_ERROR_OVERLOADED] = { "overloaded", 503, GR_RUN_NOT_RUN, 7,
                            "No capacity at present" },
  [GR_ERROR_DEADLINE] = { "deadline", 503, GR_RUN_NOT_RUN, 7,
                          "The deadline cannot be met" },
  [GR_ERROR_STALE_SETTINGS] = { "stale-settings", 503, GR_RUN_NOT_RUN, 7,
                                "This instance cannot know that its settings "
                                "are current" },
  [GR_ERROR_STORE_UNAVAILABLE] = { "store-unavailable", 503, GR_RUN_NOT_RUN, 7,
                                   "The key-value service does not answer" },
  [GR_ERROR_NO_OWNER] = { "no-owner", 503, GR_RUN_NOT_RUN, 7,
                          "The shard has no owner" },
  [GR_ERROR_NO_TARGET] = { "no-target", 503, GR_RUN_NOT_RUN, 7,
                           "No target is available" },
  [GR_ERROR_OTHER_PROCESS] = { "other-process", 503, GR_RUN_NOT_RUN, 7,
                               "Another process has taken the place of the "
                               "target" },
  [GR_ERROR_SHUTTING_DOWN] = { "shutting-down", 503, GR_RUN_NOT_RUN, 7,
                               "This instance is stopping" },
  [GR_ERROR_UNCONFIRMED] = { "unconfirmed", 504, GR_RUN_MAY_HAVE_RUN, 8,
                             "Written, but not confirmed to be in force" },
  [GR_ERROR_DUPLICATE] = { "duplicate", 409, GR_RUN_MAY_HAVE_RUN, 8,
                           "Work with this key was started before" },
  [GR_ERROR_MAY_HAVE_RUN] = { "may-have-run", 502, GR_RUN_MAY_HAVE_RUN, 8,
                              "The work may have run" },
  [GR_ERROR_TIMEOUT] = { "timeout", 504, GR_RUN_MAY_HAVE_RUN, 8,
                         "No answer in time" },
  [GR_ERROR_IO] = { "io", 502, GR_RUN_MAY_HAVE_RUN, 8,
                    "The connection failed" },
  [GR_ERROR_PROTOCOL] = { "protocol", 502, GR_RUN_MAY_HAVE_RUN, 8,
                          "The answer was not valid" },
  [GR_ERROR_CANCELLED] = { "cancelled", 499, GR_RUN_MAY_HAVE_RUN, 8,
                           "The call was cancelled" },
  [GR_ERROR_INTERNAL] = { "internal", 500, GR_RUN_MAY_HAVE_RUN, 70,
                          "Internal error" },
};

const struct gr_error_info *
gr_error_info (enum gr_error_kind kind)
{
  if ((unsigned)kind >= GR_ERROR_N_KINDS)
    return &error_table[GR_ERROR_INTERNAL];
  return &error_table[kind];
}

enum gr_error_kind
gr_error_kind_from_name (const char *name)
{
  for (int kind = 0; kind < GR_ERROR_N_KINDS; kind++)
    if (strcmp (error_table[kind].name, name) == 0)
      return (enum gr_error_kind)kind;
  return GR_ERROR_INTERNAL;
}

const char *
gr_run_state_name (enum gr_run_state state)
{
  switch (state)
    {
    case GR_RUN_NOT_RUN:
      return "not-run";
    case GR_RUN_NEVER:
      return "never";
    case GR_RUN_MAY_HAVE_RUN:
      return "may-have-run";
    }
  return "may-have-run";
}

static void G_GNUC_PRINTF (4, 0) set_error (struct gr_error *error,
                                            enum gr_error_kind kind,
                                            int64_t retry_after_ms,
                                            const char *format,
                                            va_list args)
{
  error->kind = kind;
  error->retry_after_ms = retry_after_ms;
  g_vsnprintf (error->message, sizeof error->message, format, args);
}

bool
gr_error_set (struct gr_error *error,
              enum gr_error_kind kind,
              const char *format,
              ...)
{
  va_list args;

  va_start (args, format);
  set_error (error, kind, 0, format, args);
  va_end (args);
  return false;
}

bool
gr_error_set_retry (struct gr_error *error,
                    enum gr_error_kind kind,
                    int64_t retry_after_ms,
                    const char *format,
                    ...)
{
  va_list args;

  va_start (args, format);
  set_error (error, kind, retry_after_ms, format, args);
  va_end (args);
  return false;
}
