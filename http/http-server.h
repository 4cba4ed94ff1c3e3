/* An HTTP server with bounds. SoupServer alone keeps connections open after
 * the client has closed them and has no limits on size or time; this one owns
 * the listening socket and the connections, and closes those that are idle,
 * closed by the client, too slow or too many. Also serves HTTPS. */
#pragma once

#include "common/error.h"

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct gr_http_server;

struct gr_http_server_limits
{
  uint32_t max_connections; /* more are closed at once */
  uint32_t idle_ms;         /* between requests, and for a request's headers */
  uint32_t read_ms;         /* from the headers to the end of the body */
  uint32_t write_ms;        /* for the client to read an answer */
  size_t max_body_bytes;    /* larger bodies are answered 413 */
  uint32_t header_ms;       /* from the first byte of a request to the end of
                               its headers; 0: idle_ms alone */
  size_t max_header_bytes;  /* larger headers are answered 413; 0: libsoup's
                               limit of 100 KB alone */
};

/* 4096 connections, 60 s idle, 30 s read, 30 s write, 8 MB. */
struct gr_http_server_limits gr_http_server_default_limits (void);

/* listen is "IP:PORT", port 0 for a free one. certificate may be NULL.
 * handle is called for every request whose body is complete. It sets the
 * answer at once, or pauses the message (soup_server_message_pause ()), keeps
 * a reference and calls gr_http_server_resume () later. NULL and error on
 * failure. */
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

/* For connections and requests from now on; those that are open too. */
void gr_http_server_set_limits (struct gr_http_server *server,
                                const struct gr_http_server_limits *limits);

/* Closes everything; messages that are paused end without an answer. */
void gr_http_server_destroy (struct gr_http_server *server);

/* "IP:PORT" that it listens on. */
const char *gr_http_server_address (const struct gr_http_server *server);

uint32_t gr_http_server_connections (const struct gr_http_server *server);

/* Requests that were read and are not yet answered. */
uint32_t gr_http_server_in_flight (const struct gr_http_server *server);

/* For a planned stop: accepts no more connections, tells clients with each
 * answer that the connection ends, and closes idle connections after a grace
 * time of 1 s, in which requests that are on their way still get an answer.
 * The stop is complete when there are no connections. */
void gr_http_server_stop_accepting (struct gr_http_server *server);

/* Sends the answer that was set in a paused message. Nothing happens if its
 * client or the server has gone; soup_server_message_unpause () would fail an
 * assertion then. */
void gr_http_server_resume (SoupServerMessage *message);

/* Closes the connection of message without an answer. A paused message is
 * resumed by this call. */
void gr_http_server_drop (SoupServerMessage *message);

/* Sends size bytes as they are instead of an answer, then closes the
 * connection. For stand-ins that break the protocol. */
void gr_http_server_send_raw (SoupServerMessage *message,
                              const void *data,
                              size_t size);
