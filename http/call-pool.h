/* HTTP/1.1 client for many small calls to many addresses, for a process that
 * polls hundreds of workers. Responses are parsed by the http-parser library.
 * All sockets are watched by one epoll instance with one main loop source,
 * because the main loop checks each of its own sources in every iteration.
 *
 * Measured against gr_http in docs/policy.md. Has no TLS, redirects, proxies or
 * host names. */
#pragma once

#include "common/error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct gr_call_pool;

/* A POST call; its data is copied. It must be safe to send twice: a call on a
 * connection that the peer closes without a response is sent again once. */
struct gr_pool_request
{
  const char *address; /* IP:PORT */
  const char *path;
  const char *headers; /* complete lines, each with "\r\n"; "" for none */
  const char *body;
  size_t size;
  uint32_t timeout_ms;
  /* The identity of the process that alone may receive the request; 0: any. A
   * connection ends with the process that has accepted it, so the request is
   * sent only on a connection on which this process has answered. */
  int64_t process;
  /* For a process: sent first on a connection on which no process has answered
   * yet. Must have no effect on any process. Its address and timeout are not
   * used. */
  const struct gr_pool_request *probe;
};

struct gr_pool_response
{
  uint32_t status;
  bool resent;      /* the peer may have received the request twice */
  const char *body; /* not terminated; valid during the callback only */
  size_t size;
};

struct gr_pool_stats
{
  uint64_t connections; /* opened so far */
  uint64_t probes;
  uint64_t sent_bytes;
  uint64_t received_bytes;
};

/* Creates a pool that opens up to `connections` connections to an address.
 * Further calls to the address wait for a free one. identify returns the
 * identity of the process that has sent a response, which differs from that of
 * every other process at the address, or 0 if the response does not tell; NULL
 * if no request names a process. */
struct gr_call_pool *gr_call_pool_create (
    uint32_t connections,
    int64_t (*identify) (const struct gr_pool_response *response));

/* Ends all calls in flight with kind cancelled. Must not be called from a done
 * callback. */
void gr_call_pool_destroy (struct gr_call_pool *pool);

/* Sends a request. done is called exactly once, never from within this
 * function. If a complete response of any status was received, error is NULL.
 * Otherwise response is NULL and the kind is not-found if the
 * connection was refused and no byte of the request was sent, other-process if
 * none was sent because another process than the requested one has answered the
 * probe, no-target if none was sent for another reason, or else timeout, io or
 * protocol. If the probe gets another status than 200 and no identity, its
 * response is that of the call.
 *
 * A call that times out does not close its connection: a response that arrives
 * later is discarded, and the connection is used again. It is closed if the
 * address needs it for another call or the response does not arrive. */
void gr_call_pool_send (struct gr_call_pool *pool,
                        const struct gr_pool_request *request,
                        void (*done) (const struct gr_pool_response *response,
                                      const struct gr_error *error,
                                      void *context),
                        void *context);

struct gr_pool_stats gr_call_pool_stats (const struct gr_call_pool *pool);
