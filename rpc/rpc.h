/* Asynchronous calls between our own processes, on the default GMainContext. */
#pragma once

#include "common/error.h"
#include "rpc/frame.h"

struct gr_rpc_client;
struct gr_rpc_server;
struct gr_rpc_call;

/* A client for one address ("127.0.0.1:4000"). It connects on the first call
 * and again after a failure. Many calls may be in flight; answers are matched
 * by id, so they may arrive in any order. */
struct gr_rpc_client *gr_rpc_client_create (const char *address);

/* Calls in flight are answered with kind cancelled before this returns. */
void gr_rpc_client_destroy (struct gr_rpc_client *client);

const char *gr_rpc_client_address (const struct gr_rpc_client *client);

/* Sends a call; body may be NULL and stays owned by the caller. done is
 * called exactly once, never from inside this function. On success error is
 * NULL and body is the answer's map, valid during the call. On failure body is
 * NULL; the kind is the remote one, or no-target, timeout, io, cancelled.
 * no-target means that the connection was never made, so the call had no
 * effect; after timeout, io and cancelled it may have had one. */
void gr_rpc_call (struct gr_rpc_client *client,
                  const char *method,
                  struct gr_packer *body,
                  uint32_t timeout_ms,
                  void (*done) (const msgpack_object *body,
                                const struct gr_error *error,
                                void *context),
                  void *context);

/* Serves calls on address; port 0 takes a free one. handle is called for each
 * call and must answer it, at once or later, with exactly one of the two
 * functions below. method and body are valid only during handle. */
struct gr_rpc_server *
gr_rpc_server_create (const char *address,
                      void (*handle) (struct gr_rpc_call *call,
                                      const char *method,
                                      const msgpack_object *body,
                                      void *context),
                      void *context,
                      struct gr_error *error);

/* Closes the listener and all connections. Calls that were not answered stay
 * valid; their answers are dropped. */
void gr_rpc_server_destroy (struct gr_rpc_server *server);

/* The bound address with the real port; owned by the server. */
const char *gr_rpc_server_address (const struct gr_rpc_server *server);

/* Answers and frees the call. body may be NULL and stays the caller's. */
void gr_rpc_answer (struct gr_rpc_call *call, struct gr_packer *body);
void gr_rpc_fail (struct gr_rpc_call *call, const struct gr_error *error);
