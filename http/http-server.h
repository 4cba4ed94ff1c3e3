/* HTTP and HTTPS server with limits on connections, sizes and times. SoupServer
 * alone keeps connections open after the client has closed them, and has no
 * such limits. This server owns the listening socket and the connections. It
 * closes connections that are idle, too slow, above the maximum number or
 * closed by the client. */
#pragma once

#include "common/error.h"

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct gr_http_server;

struct gr_http_server_limits
{
  uint32_t max_connections; /* further ones are closed immediately */
  uint32_t idle_ms;         /* between requests, and for a request's headers */
  uint32_t read_ms;        /* from the end of the headers to that of the body */
  uint32_t write_ms;       /* for the client to read a response */
  size_t max_body_bytes;   /* larger bodies are rejected with status 413 */
  uint32_t header_ms;      /* from the first byte of a request to the end of
                              its headers; 0: only idle_ms applies */
  size_t max_header_bytes; /* larger headers are rejected with status 413;
                              0: only libsoup's limit of 100 KB applies */
};

/* Returns the defaults: 4096 connections, 60 s idle, 30 s read, 30 s write,
 * bodies of 8 MB, no further limits on headers. */
struct gr_http_server_limits gr_http_server_default_limits (void);

/* Starts a server on listen ("IP:PORT", port 0 for a free one). It serves HTTPS
 * if certificate is not NULL. handle is called for every request whose body is
 * complete. It either sets the response immediately, or pauses the message
 * (soup_server_message_pause ()), keeps a reference to it and calls
 * gr_http_server_resume () later. Returns NULL and sets error on failure. */
struct gr_http_server *
gr_http_server_create (const char *listen,
                       const struct gr_http_server_limits *limits,
                       GTlsCertificate *certificate,
                       void (*handle) (SoupServerMessage *message,
                                       const char *path,
                                       GHashTable *query,
                                       void *context),
                       void *context,
                       struct gr_error *error);

/* Changes the limits, also for connections that are already open. */
void gr_http_server_set_limits (struct gr_http_server *server,
                                const struct gr_http_server_limits *limits);

/* Closes the listening socket and all connections. Paused messages get no
 * response. */
void gr_http_server_destroy (struct gr_http_server *server);

/* Returns the "IP:PORT" that the server listens on; owned by the server. */
const char *gr_http_server_address (const struct gr_http_server *server);

uint32_t gr_http_server_connections (const struct gr_http_server *server);

/* Returns the number of requests that were read completely and whose response
 * is not yet sent. */
uint32_t gr_http_server_in_flight (const struct gr_http_server *server);

/* Starts a graceful shutdown: accepts no more connections, announces the close
 * of the connection in each response, and closes idle connections after a grace
 * period of 1 s, so that requests already sent by clients still get a response.
 * The shutdown is complete when no connection is left. */
void gr_http_server_stop_accepting (struct gr_http_server *server);

/* Sends the response that was set in a paused message. Does nothing if its
 * connection is closed or the server is destroyed; in these cases
 * soup_server_message_unpause () would fail an assertion. */
void gr_http_server_resume (SoupServerMessage *message);

/* Closes the connection of message without a response. Also resumes a paused
 * message. */
void gr_http_server_drop (SoupServerMessage *message);

/* Sends size bytes unchanged in place of a response, then closes the
 * connection. Used by stand-ins that violate the protocol. */
void gr_http_server_send_raw (SoupServerMessage *message,
                              const void *data,
                              size_t size);
