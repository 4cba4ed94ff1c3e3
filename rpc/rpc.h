/* Asynchronous calls between the processes of this system, on the default
 * GMainContext. */
#pragma once

#include "common/error.h"
#include "rpc/frame.h"

struct gr_rpc_client;
struct gr_rpc_server;
struct gr_rpc_call;

/* Creates a client for one address, for example "127.0.0.1:4000". It connects
 * on the first call, and again on the first call after a failure. Many calls
 * may be in flight; replies are matched by id, so they may arrive in any
 * order. */
struct gr_rpc_client *gr_rpc_client_create (const char *address);

/* Calls in flight end with kind cancelled before this function returns. */
void gr_rpc_client_destroy (struct gr_rpc_client *client);

const char *gr_rpc_client_address (const struct gr_rpc_client *client);

/* Sends a call. body may be NULL and stays owned by the caller. done is called
 * exactly once, never from within this function. On success, error is NULL and
 * body is the map of the reply, valid only during done. On failure, body is
 * NULL and the kind is the one that the server returned, or no-target, timeout,
 * io, protocol or cancelled. no-target means that no connection was
 * established, so the call had no effect. After timeout, io,
 * protocol and cancelled it may have had one. timeout is reported up to 20 ms
 * late if the main loop is late, so that replies that are unread are read. */
void gr_rpc_call (struct gr_rpc_client *client,
                  const char *method,
                  struct gr_packer *body,
                  uint32_t timeout_ms,
                  void (*done) (const msgpack_object *body,
                                const struct gr_error *error,
                                void *context),
                  void *context);

/* Starts a server on address ("IP:PORT", port 0 for a free one). handle is
 * called for each call and must end it, immediately or later, with either
 * gr_rpc_reply () or gr_rpc_fail (). method and body are valid only during
 * handle. Returns NULL and sets error on failure. */
struct gr_rpc_server *
gr_rpc_server_create (const char *address,
                      void (*handle) (struct gr_rpc_call *call,
                                      const char *method,
                                      const msgpack_object *body,
                                      void *context),
                      void *context,
                      struct gr_error *error);

/* Closes the listening socket and all connections. Calls without a reply stay
 * valid and must still be ended; their replies are dropped. */
void gr_rpc_server_destroy (struct gr_rpc_server *server);

/* Returns the bound address with the actual port; owned by the server. */
const char *gr_rpc_server_address (const struct gr_rpc_server *server);

/* Send a reply or an error and free the call. body may be NULL and stays owned
 * by the caller. */
void gr_rpc_reply (struct gr_rpc_call *call, struct gr_packer *body);
void gr_rpc_fail (struct gr_rpc_call *call, const struct gr_error *error);
