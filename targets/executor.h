/* Client of the executors' HTTP interface. All calls are asynchronous on the
 * default GMainContext. done is called exactly once for each call and never
 * before the call has returned; destroying the client ends pending calls with
 * error cancelled. */
#pragma once

#include "common/error.h"

#include <gio/gio.h>
#include <stdbool.h>

struct gr_executor_client;

struct gr_executor_response
{
  GBytes *body;
  char *content_type; /* may be NULL */
  int32_t slots_busy; /* as reported by the executor; -1: not reported */
  bool leaving;       /* the executor accepts no new requests */
};

struct gr_executor_status
{
  int32_t slots;
  int32_t slots_busy;
  bool leaving;
};

/* connections: maximum number of connections to one executor, at least 1. */
struct gr_executor_client *gr_executor_client_create (uint32_t connections);
void gr_executor_client_destroy (struct gr_executor_client *client);

/* Sends one request: POST /v1/run with header Request-Key. It is written to a
 * connection at most once; only an idempotent request may use a keep-alive
 * connection. If all connections to the executor are in use, the call fails
 * immediately with overloaded.
 *
 * error is NULL after a complete response with status 200 and the same request
 * key. Otherwise: bad-request: the key is empty or not printable ASCII without
 * spaces; nothing was sent; no-target: the connection attempt failed; the
 * request did not run; overloaded, shutting-down: the executor stated that it
 * did not run the request, or no connection was free; may-have-run, timeout,
 * io, protocol: the request may have run.
 *
 * response is set whenever the executor responded, also with an error, else
 * NULL. It is valid only during done. */
void gr_executor_run (struct gr_executor_client *client,
                      const char *address,
                      const char *request_key,
                      bool idempotent,
                      GBytes *body,
                      uint32_t timeout_ms,
                      void (*done) (const struct gr_executor_response *response,
                                    const struct gr_error *error,
                                    void *context),
                      void *context);

/* Polls the executor's status: GET /v1/status. status is NULL on error and
 * valid only during done. */
void
gr_executor_get_status (struct gr_executor_client *client,
                        const char *address,
                        uint32_t timeout_ms,
                        void (*done) (const struct gr_executor_status *status,
                                      const struct gr_error *error,
                                      void *context),
                        void *context);
