/* Client of the executors' HTTP interface. Asynchronous on the default
 * GMainContext; done is called exactly once, never from inside the call, also
 * on destroy (kind cancelled). */
#pragma once

#include "common/error.h"

#include <gio/gio.h>
#include <stdbool.h>

struct gr_executor_client;

struct gr_executor_answer
{
  GBytes *body;
  char *content_type; /* may be NULL */
  int32_t slots_busy; /* as the executor reports it; -1: not given */
  bool leaving;       /* the executor takes no new work */
};

struct gr_executor_status
{
  int32_t slots;
  int32_t slots_busy;
  bool leaving;
};

/* connections: the most that are open to one executor at a time. */
struct gr_executor_client *gr_executor_client_create (uint32_t connections);
void gr_executor_client_destroy (struct gr_executor_client *client);

/* Sends one request: POST /v1/run with header Request-Key. It is written to a
 * connection at most once; an idempotent one may use a kept connection. Calls
 * above the connection limit fail at once with overloaded.
 *
 * error is NULL after a whole 200 answer with the same request key. Otherwise:
 * bad-request: the key is not printable ASCII, not sent;
 * no-target: no connection was made, not run; overloaded or shutting-down: the
 * executor said that it did not run it; may-have-run,
 * timeout, io, protocol: may have run. answer is set in all cases where the
 * executor answered, with slots_busy and leaving; else NULL. It is valid
 * during done. */
void gr_executor_run (struct gr_executor_client *client,
                      const char *address,
                      const char *request_key,
                      bool idempotent,
                      GBytes *body,
                      uint32_t timeout_ms,
                      void (*done) (const struct gr_executor_answer *answer,
                                    const struct gr_error *error,
                                    void *context),
                      void *context);

void
gr_executor_get_status (struct gr_executor_client *client,
                        const char *address,
                        uint32_t timeout_ms,
                        void (*done) (const struct gr_executor_status *status,
                                      const struct gr_error *error,
                                      void *context),
                        void *context);
