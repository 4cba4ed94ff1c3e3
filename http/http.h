/* HTTP calls to the platform, over one libsoup session. Internal to platform/
 * and the stand-ins. */
#pragma once

#include "common/error.h"

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* Larger answers are a protocol error. */
#define GR_HTTP_MAX_ANSWER_BYTES ((size_t)8 * 1024 * 1024)

struct gr_http;

struct gr_http_request
{
  const char *method;
  const char *url;
  const char *content_type; /* NULL if there is no body */
  GBytes *body;             /* may be NULL */
  /* More headers: name, value, name, value, ..., NULL; or NULL. */
  const char *const *headers;
  /* A call that may be sent again uses kept connections; libsoup can repeat a
   * message when a kept connection turns out to be closed. All others get a new
   * connection and are written to it at most once. */
  bool may_resend;
  /* A 200 answer must have a Content-Length: libsoup takes a chunked body that
   * breaks off between two chunks for a whole one. JSON bodies show it
   * themselves. */
  bool needs_length;
  uint32_t timeout_ms;
  const char *limit_key; /* counted by gr_http_open_calls (), or NULL */
  const struct gr_error *refusal; /* if set, nothing is sent and done gets it */
};

struct gr_http_answer
{
  uint32_t status;
  bool resent; /* an earlier attempt may have reached the peer as well */
  GBytes *body;
  SoupMessageHeaders *headers;
};

/* connections: the most that are open to one address at a time. */
struct gr_http *gr_http_create (uint32_t connections);

struct gr_deadlines;

/* The same, with deadlines that several clients share and that outlive
 * them. */
struct gr_http *gr_http_create_shared (uint32_t connections,
                                       struct gr_deadlines *deadlines);

/* Ends all calls with kind cancelled. */
void gr_http_destroy (struct gr_http *http);

/* Calls with limit_key whose connection is still in use. This can include
 * calls that have ended with a timeout a moment ago. */
uint32_t gr_http_open_calls (const struct gr_http *http, const char *limit_key);

/* Request data is copied. done is called exactly once, never from inside the
 * call. error is NULL after a whole answer of any status. Otherwise: no-target
 * if no byte of the request was written; timeout, io or protocol else. */
void gr_http_call (struct gr_http *http,
                   const struct gr_http_request *request,
                   void (*done) (const struct gr_http_answer *answer,
                                 const struct gr_error *error,
                                 void *context),
                   void *context);
