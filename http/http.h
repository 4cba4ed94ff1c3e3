/* HTTP client with one libsoup session, used for the key-value service, the
 * platform and targets, and by the stand-ins. */
#pragma once

#include "common/error.h"

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* Larger response bodies are a protocol error. */
#define GR_HTTP_MAX_RESPONSE_BYTES ((size_t)8 * 1024 * 1024)

struct gr_http;

struct gr_http_request
{
  const char *method;
  const char *url;
  const char *content_type; /* NULL if there is no body */
  GBytes *body;             /* may be NULL */
  /* Further headers: name, value, name, value, ..., NULL; or NULL for none. */
  const char *const *headers;
  /* If true, the call uses keep-alive connections, and libsoup may send it
   * again if such a connection was closed by the peer. If false, the call gets
   * a new connection and is sent at most once. */
  bool may_resend;
  /* A response with status 200 must have a Content-Length. libsoup accepts a
   * chunked body that is cut off between two chunks as complete. JSON bodies do
   * not need this, because a truncated one does not parse. */
  bool needs_length;
  uint32_t timeout_ms;
  const char *limit_key; /* key for gr_http_open_calls (), or NULL */
  /* If set, nothing is sent and done gets this error. */
  const struct gr_error *refusal;
};

struct gr_http_response
{
  uint32_t status;
  bool resent; /* the peer may have received the request twice */
  GBytes *body;
  SoupMessageHeaders *headers;
};

/* Creates a client. connections is the maximum number of connections that are
 * open to one address at a time. */
struct gr_http *gr_http_create (uint32_t connections);

struct gr_deadlines;

/* Like gr_http_create (), with deadlines that may be shared by several clients.
 * The caller owns them and must destroy them after the clients. Idle
 * connections are not closed by a timeout. */
struct gr_http *gr_http_create_shared (uint32_t connections,
                                       struct gr_deadlines *deadlines);

/* Ends all calls in flight with kind cancelled. */
void gr_http_destroy (struct gr_http *http);

/* Returns the number of calls with limit_key whose connection is still in use.
 * This can include calls that have just timed out. */
uint32_t gr_http_open_calls (const struct gr_http *http, const char *limit_key);

/* Sends a request, whose data is copied. done is called exactly once, never
 * from within this function. If a complete response of any status was received,
 * error is NULL. Otherwise response is NULL and the kind is no-target if no
 * byte of the request was sent, or else timeout, io or protocol. */
void gr_http_call (struct gr_http *http,
                   const struct gr_http_request *request,
                   void (*done) (const struct gr_http_response *response,
                                 const struct gr_error *error,
                                 void *context),
                   void *context);
