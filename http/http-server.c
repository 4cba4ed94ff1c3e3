#include "http/http-server.h"

#include "common/log.h"
#include "http/http-listen.h"
#include "http/http-stream.h"

#include <string.h>
#include <sys/socket.h>

#define SWEEP_MS 500

/* Limit on the total size of request bodies in memory: half of the memory
 * budget of an instance (256 MB). */
#define MAX_BUFFERED_BYTES ((size_t)128 * 1024 * 1024)

/* Time for libsoup to free a connection after the shutdown of its socket. After
 * it, the sweep closes the connection itself. */
#define SHUTDOWN_TIMEOUT_MS 5000

/* In a graceful shutdown, idle connections are closed only after this time,
 * because the client may have sent a request that has not arrived yet. */
#define STOP_GRACE_MS 1000

/* Data that lies unread at a time limit shows that the server is late. It is
 * read within this time; a client that still sends then is not answered. */
#define LATE_READ_MS 2000

/* Unread bytes are logged up to this number. */
#define MAX_LOGGED_BYTES 4096

#define CONNECTION_KEY "gr-http-connection"

enum phase
{
  PHASE_IDLE,     /* waiting for a request or reading its headers */
  PHASE_READING,  /* reading the body */
  PHASE_HANDLING, /* the handler was called; no response sent yet */
  PHASE_WRITING,
};

struct http_connection
{
  struct gr_http_server *server;
  GSocketConnection *socket;
  GIOStream *stream;      /* stream that libsoup uses, inside TLS for HTTPS */
  GSocketAddress *remote; /* has this connection as CONNECTION_KEY */
  SoupServerMessage *message; /* its signals are connected, or NULL */
  enum phase phase;
  int64_t phase_start_ms;
  int64_t late_since_ms;     /* when a limit of the phase was first found to be
                                reached with unread data; 0: never */
  int64_t shutdown_start_ms; /* 0: not shut down */
  size_t received_bytes;
};

struct gr_http_server
{
  SoupServer *soup;
  GSocket *listener;
  GSocketService *service;
  GTlsCertificate *certificate;
  GSource *sweep;
  GHashTable *connections;
  struct gr_http_server_limits limits;
  char *address;
  uint32_t in_flight;
  size_t buffered_bytes;
  int64_t stop_start_ms; /* 0: not stopping */
  void (*handle) (SoupServerMessage *message,
                  const char *path,
                  GHashTable *query,
                  void *context);
  void *context;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

struct gr_http_server_limits
gr_http_server_default_limits (void)
{
  return (struct gr_http_server_limits){
    4096, 60000, 30000, 30000, (size_t)8 * 1024 * 1024, 0, 0
  };
}

static void
set_phase (struct http_connection *connection, enum phase phase)
{
  struct gr_http_server *server = connection->server;
  bool was_in_flight = connection->phase >= PHASE_HANDLING;
  bool is_in_flight = phase >= PHASE_HANDLING;

  if (is_in_flight && !was_in_flight)
    server->in_flight++;
  if (was_in_flight && !is_in_flight)
    server->in_flight--;
  connection->phase = phase;
  connection->phase_start_ms = now_ms ();
  connection->late_since_ms = 0;
}

/* Shuts the socket down. libsoup then reads the end of the stream and frees the
 * connection. */
static void
shut_down_connection (struct http_connection *connection)
{
  if (connection->shutdown_start_ms == 0)
    connection->shutdown_start_ms = now_ms ();
  g_socket_shutdown (g_socket_connection_get_socket (connection->socket), TRUE,
                     TRUE, NULL);
}

static const char *
phase_name (enum phase phase)
{
  static const char *const names[] = {
    [PHASE_IDLE] = "idle",
    [PHASE_READING] = "reading",
    [PHASE_HANDLING] = "handling",
    [PHASE_WRITING] = "writing",
  };

  return names[phase];
}

/* Logs that the server closes the connection of a client that waits for a
 * response, or whose request is not read yet. */
static void
log_dropped_request (struct http_connection *connection, const char *reason)
{
  int fd =
      g_socket_get_fd (g_socket_connection_get_socket (connection->socket));
  char bytes[MAX_LOGGED_BYTES];
  gssize unread = recv (fd, bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
  bool request_begun =
      connection->phase != PHASE_IDLE
      || gr_http_stream_headers_start_ms (connection->stream) > 0;
  char phase_ms[24];
  char unread_bytes[24];

  if (unread == 0 || (unread < 0 && !request_begun))
    return; /* the client has disconnected, or has sent nothing */
  g_snprintf (phase_ms, sizeof phase_ms, "%" G_GINT64_FORMAT,
              now_ms () - connection->phase_start_ms);
  g_snprintf (unread_bytes, sizeof unread_bytes, "%" G_GSSIZE_FORMAT,
              MAX (unread, 0));
  gr_log_event ("request-dropped", "reason", reason, "phase",
                phase_name (connection->phase), "phase_ms", phase_ms,
                "unread_bytes", unread_bytes, NULL);
}

static void
unwatch_message (struct http_connection *connection)
{
  if (connection->message == NULL)
    return;
  g_signal_handlers_disconnect_by_data (connection->message, connection);
  g_clear_object (&connection->message);
}

/* Resets the state of the request; the connection may get another request. */
static void
end_request (struct http_connection *connection)
{
  connection->server->buffered_bytes -= connection->received_bytes;
  connection->received_bytes = 0;
  set_phase (connection, PHASE_IDLE);
}

static void
connection_free (struct http_connection *connection)
{
  end_request (connection);
  unwatch_message (connection);
  g_hash_table_remove (connection->server->connections, connection);
  g_object_set_data (G_OBJECT (connection->remote), CONNECTION_KEY, NULL);
  g_object_unref (connection->remote);
  g_object_unref (connection->stream);
  g_object_unref (connection->socket);
  g_free (connection);
}

/* Closes the descriptor even if there are still references to one of the
 * connection's messages. */
static void
connection_close (struct http_connection *connection)
{
  g_io_stream_close (G_IO_STREAM (connection->socket), NULL, NULL);
  connection_free (connection);
}

/* Sets the header "Connection: close", so that the client sends no further
 * request on the connection. */
static void
announce_close (SoupServerMessage *message)
{
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), "Connection",
      "close");
}

static void
set_error_response (SoupServerMessage *message, enum gr_error_kind kind)
{
  const struct gr_error_info *info = gr_error_info (kind);
  char *text = g_strdup_printf (
      "{\"title\":\"%s\",\"status\":%d,\"kind\":\"%s\",\"run_state\":\"%s\"}",
      info->title, info->http_status, info->name,
      gr_run_state_name (info->run_state));

  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  soup_server_message_set_status (message, (guint)info->http_status, NULL);
  soup_server_message_set_response (message, "application/problem+json",
                                    SOUP_MEMORY_TAKE, text, strlen (text));
  announce_close (message);
}

/* Size of the request line and the header lines as sent by the client. */
static size_t
header_bytes (SoupServerMessage *message, SoupMessageHeaders *headers)
{
  g_autofree char *uri =
      g_uri_to_string (soup_server_message_get_uri (message));
  size_t bytes = strlen (soup_server_message_get_method (message))
                 + strlen (uri) + strlen ("  HTTP/1.1\r\n\r\n");
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;

  soup_message_headers_iter_init (&iter, headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    bytes += strlen (name) + strlen (value) + strlen (": \r\n");
  return bytes;
}

static bool
is_too_large (SoupServerMessage *message,
              const struct gr_http_server_limits *limits)
{
  SoupMessageHeaders *headers =
      soup_server_message_get_request_headers (message);

  if (limits->max_header_bytes > 0
      && header_bytes (message, headers) > limits->max_header_bytes)
    return true;
  return soup_message_headers_get_encoding (headers)
             == SOUP_ENCODING_CONTENT_LENGTH
         && (uint64_t)soup_message_headers_get_content_length (headers)
                > limits->max_body_bytes;
}

static void
got_headers (SoupServerMessage *message, gpointer data)
{
  struct http_connection *connection = data;

  set_phase (connection, PHASE_READING);
  gr_http_stream_end_headers (connection->stream);
  if (is_too_large (message, &connection->server->limits))
    set_error_response (message, GR_ERROR_TOO_LARGE);
}

static void
got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct http_connection *connection = data;
  struct gr_http_server *server = connection->server;
  size_t size = g_bytes_get_size (chunk);

  if (soup_server_message_get_status (message) != 0)
    return; /* rejected; the rest of the body is discarded */
  connection->received_bytes += size;
  server->buffered_bytes += size;
  if (connection->received_bytes > server->limits.max_body_bytes)
    set_error_response (message, GR_ERROR_TOO_LARGE);
  else if (server->buffered_bytes > MAX_BUFFERED_BYTES)
    set_error_response (message, GR_ERROR_OVERLOADED);
}

static void
wrote_headers (SoupServerMessage *message, gpointer data)
{
  (void)message;
  set_phase (data, PHASE_WRITING);
}

/* Frees the bodies of the message, which libsoup would keep until the next
 * request. */
static void
message_finished (SoupServerMessage *message, gpointer data)
{
  soup_message_body_truncate (soup_server_message_get_request_body (message));
  soup_message_body_truncate (soup_server_message_get_response_body (message));
  end_request (data);
  gr_http_stream_set_between_requests (((struct http_connection *)data)->stream,
                                       true);
}

static void
message_disconnected (SoupServerMessage *message, gpointer data)
{
  (void)message;
  connection_close (data);
}

static struct http_connection *
find_connection (SoupServerMessage *message)
{
  GSocketAddress *remote = soup_server_message_get_remote_address (message);

  return remote ? g_object_get_data (G_OBJECT (remote), CONNECTION_KEY) : NULL;
}

static void
request_started (SoupServer *soup, SoupServerMessage *message, gpointer data)
{
  struct http_connection *connection = find_connection (message);

  (void)soup;
  (void)data;
  if (connection == NULL)
    return;
  unwatch_message (connection);
  connection->message = g_object_ref (message);
  g_signal_connect (message, "got-headers", G_CALLBACK (got_headers),
                    connection);
  g_signal_connect (message, "got-chunk", G_CALLBACK (got_chunk), connection);
  g_signal_connect (message, "wrote-headers", G_CALLBACK (wrote_headers),
                    connection);
  g_signal_connect (message, "finished", G_CALLBACK (message_finished),
                    connection);
  g_signal_connect (message, "disconnected", G_CALLBACK (message_disconnected),
                    connection);
}

static void
dispatch (SoupServer *soup,
          SoupServerMessage *message,
          const char *path,
          GHashTable *query,
          gpointer data)
{
  struct gr_http_server *server = data;
  struct http_connection *connection = find_connection (message);

  (void)soup;
  if (soup_server_message_get_status (message) != 0)
    return; /* rejected while its body was read */
  if (connection != NULL)
    set_phase (connection, PHASE_HANDLING);
  if (server->stop_start_ms > 0)
    announce_close (message);
  server->handle (message, path, query, server->context);
}

/* Checks without blocking whether data can be read from the connection. Returns
 * 1 for data, 0 for the end of the stream, -1 if there is neither or on an
 * error. */
static gssize
peek (struct http_connection *connection)
{
  int fd =
      g_socket_get_fd (g_socket_connection_get_socket (connection->socket));
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

static bool
headers_timed_out (const struct http_connection *connection, int64_t now)
{
  uint32_t limit_ms = connection->server->limits.header_ms;
  int64_t headers_start_ms =
      gr_http_stream_headers_start_ms (connection->stream);

  return limit_ms > 0 && headers_start_ms > 0
         && now - headers_start_ms > limit_ms;
}

/* For a limit that has been reached. True if the client may have kept to it, as
 * the server has not read all that it sent. */
static bool
is_late (struct http_connection *connection, gssize readable, int64_t now)
{
  if (readable <= 0)
    return false;
  if (connection->late_since_ms == 0)
    connection->late_since_ms = now;
  return now - connection->late_since_ms < LATE_READ_MS;
}

static bool
idle_timed_out (struct http_connection *connection, int64_t now)
{
  const struct gr_http_server *server = connection->server;
  gssize readable = peek (connection);
  int64_t stop_ms = server->stop_start_ms + STOP_GRACE_MS;
  /* Headers that have begun to arrive end the idle time. */
  int64_t idle_ms =
      now
      - MAX (connection->phase_start_ms,
             gr_http_stream_headers_start_ms (connection->stream));

  if (readable == 0)
    return true;
  if (idle_ms > server->limits.idle_ms || headers_timed_out (connection, now))
    return !is_late (connection, readable, now);
  return server->stop_start_ms > 0 && readable < 0 && now >= stop_ms
         && idle_ms >= STOP_GRACE_MS;
}

static bool
has_timed_out (struct http_connection *connection, int64_t now)
{
  const struct gr_http_server_limits *limits = &connection->server->limits;
  int64_t elapsed_ms = now - connection->phase_start_ms;

  switch (connection->phase)
    {
    case PHASE_IDLE:
      return idle_timed_out (connection, now);
    case PHASE_READING:
      return elapsed_ms > limits->read_ms
             && !is_late (connection, peek (connection), now);
    case PHASE_WRITING:
      return elapsed_ms > limits->write_ms;
    case PHASE_HANDLING:
      /* The handler has set a response, but its headers are not sent yet. */
      if (connection->message != NULL
          && soup_server_message_get_status (connection->message) != 0)
        set_phase (connection, PHASE_WRITING);
      return false;
    }
  return false;
}

static gboolean
sweep (gpointer data)
{
  struct gr_http_server *server = data;
  GList *connections = g_hash_table_get_keys (server->connections);
  int64_t now = now_ms ();

  for (GList *item = connections; item != NULL; item = item->next)
    {
      struct http_connection *connection = item->data;

      if (connection->shutdown_start_ms > 0
          && now > connection->shutdown_start_ms + SHUTDOWN_TIMEOUT_MS)
        connection_close (connection);
      else if (has_timed_out (connection, now))
        {
          if (connection->shutdown_start_ms == 0)
            log_dropped_request (connection, "time limit");
          shut_down_connection (connection);
        }
    }
  g_list_free (connections);
  return G_SOURCE_CONTINUE;
}

static GIOStream *
wrap_socket (struct gr_http_server *server, GSocketConnection *socket)
{
  GIOStream *stream;
  GIOStream *tls;

  if (server->certificate == NULL)
    return gr_http_stream_create (G_IO_STREAM (socket));
  tls = g_tls_server_connection_new (G_IO_STREAM (socket), server->certificate,
                                     NULL);
  if (tls == NULL)
    return NULL;
  stream = gr_http_stream_create (tls);
  g_object_set_data_full (G_OBJECT (stream), "gr-tls", tls, g_object_unref);
  return stream;
}

static void
accept_socket (struct gr_http_server *server, GSocketConnection *socket)
{
  GSocketAddress *local = g_socket_connection_get_local_address (socket, NULL);
  GSocketAddress *remote =
      g_socket_connection_get_remote_address (socket, NULL);
  GIOStream *stream = wrap_socket (server, socket);
  struct http_connection *connection;

  if (local != NULL && remote != NULL && stream != NULL)
    {
      connection = g_new0 (struct http_connection, 1);
      connection->server = server;
      connection->socket = g_object_ref (socket);
      connection->stream = g_object_ref (stream);
      connection->remote = g_object_ref (remote);
      connection->phase_start_ms = now_ms ();
      g_object_set_data (G_OBJECT (remote), CONNECTION_KEY, connection);
      g_hash_table_add (server->connections, connection);
      g_socket_set_option (g_socket_connection_get_socket (socket), 6 /* TCP */,
                           1 /* TCP_NODELAY */, 1, NULL);
      soup_server_accept_iostream (server->soup, stream, local, remote, NULL);
    }
  g_clear_object (&stream);
  g_clear_object (&local);
  g_clear_object (&remote);
}

static gboolean
accept_incoming (GSocketService *service,
                 GSocketConnection *socket,
                 GObject *source,
                 gpointer data)
{
  struct gr_http_server *server = data;

  (void)service;
  (void)source;
  if (g_hash_table_size (server->connections) >= server->limits.max_connections)
    g_io_stream_close (G_IO_STREAM (socket), NULL, NULL);
  else
    accept_socket (server, socket);
  return TRUE;
}

struct gr_http_server *
gr_http_server_create (const char *listen,
                       const struct gr_http_server_limits *limits,
                       GTlsCertificate *certificate,
                       void (*handle) (SoupServerMessage *message,
                                       const char *path,
                                       GHashTable *query,
                                       void *context),
                       void *context,
                       struct gr_error *error)
{
  struct gr_http_server *server = g_new0 (struct gr_http_server, 1);

  server->limits = *limits;
  server->handle = handle;
  server->context = context;
  server->connections = g_hash_table_new (NULL, NULL);
  server->service = g_socket_service_new ();
  server->soup = soup_server_new (NULL, NULL);
  if (certificate != NULL)
    server->certificate = g_object_ref (certificate);
  soup_server_add_handler (server->soup, NULL, dispatch, server, NULL);
  g_signal_connect (server->soup, "request-started",
                    G_CALLBACK (request_started), server);
  g_signal_connect (server->service, "incoming", G_CALLBACK (accept_incoming),
                    server);
  server->listener = gr_listen (listen, &server->address, error);
  if (server->listener == NULL
      || !gr_http_enable_keep_alive (server->soup, error))
    {
      gr_http_server_destroy (server);
      return NULL;
    }
  g_socket_listener_add_socket (G_SOCKET_LISTENER (server->service),
                                server->listener, NULL, NULL);
  server->sweep = g_timeout_source_new (SWEEP_MS);
  g_source_set_callback (server->sweep, sweep, server, NULL);
  g_source_attach (server->sweep, NULL);
  return server;
}

static void
close_all_connections (struct gr_http_server *server)
{
  GList *connections = g_hash_table_get_keys (server->connections);

  for (GList *item = connections; item != NULL; item = item->next)
    {
      struct http_connection *connection = item->data;

      if (connection->shutdown_start_ms == 0)
        log_dropped_request (connection, "server stopped");
      shut_down_connection (connection);
      connection_close (connection);
    }
  g_list_free (connections);
}

void
gr_http_server_destroy (struct gr_http_server *server)
{
  if (server == NULL)
    return;
  if (server->sweep != NULL)
    {
      g_source_destroy (server->sweep);
      g_source_unref (server->sweep);
    }
  gr_http_server_stop_accepting (server);
  close_all_connections (server);
  g_signal_handlers_disconnect_by_data (server->soup, server);
  soup_server_remove_handler (server->soup, NULL);
  soup_server_disconnect (server->soup);
  g_object_unref (server->soup);
  g_object_unref (server->service);
  g_clear_object (&server->certificate);
  g_clear_object (&server->listener);
  g_hash_table_destroy (server->connections);
  g_free (server->address);
  g_free (server);
}

const char *
gr_http_server_address (const struct gr_http_server *server)
{
  return server->address;
}

void
gr_http_server_set_limits (struct gr_http_server *server,
                           const struct gr_http_server_limits *limits)
{
  server->limits = *limits;
}

uint32_t
gr_http_server_connections (const struct gr_http_server *server)
{
  return g_hash_table_size (server->connections);
}

uint32_t
gr_http_server_in_flight (const struct gr_http_server *server)
{
  return server->in_flight;
}

/* Accepts the connections in the backlog of the listening socket, because the
 * kernel resets them when the socket is closed. */
static void
accept_backlog (struct gr_http_server *server)
{
  GSocketConnection *connection;
  GSocket *socket;

  g_socket_set_blocking (server->listener, FALSE);
  socket = g_socket_accept (server->listener, NULL, NULL);
  while (socket != NULL)
    {
      connection = g_socket_connection_factory_create_connection (socket);
      accept_incoming (server->service, connection, NULL, server);
      g_object_unref (connection);
      g_object_unref (socket);
      socket = g_socket_accept (server->listener, NULL, NULL);
    }
}

void
gr_http_server_stop_accepting (struct gr_http_server *server)
{
  GHashTableIter iter;
  void *key;

  if (server->stop_start_ms > 0)
    return;
  server->stop_start_ms = now_ms ();
  g_signal_handlers_disconnect_by_data (server->service, server);
  g_socket_service_stop (server->service);
  if (server->listener != NULL)
    accept_backlog (server);
  g_socket_listener_close (G_SOCKET_LISTENER (server->service));
  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct http_connection *connection = key;

      if (connection->phase == PHASE_HANDLING)
        announce_close (connection->message);
    }
}

void
gr_http_server_resume (SoupServerMessage *message)
{
  struct http_connection *connection = find_connection (message);

  /* A response that was set before the message is resumed can already count as
   * being written. */
  if (connection != NULL && connection->message == message
      && connection->phase >= PHASE_HANDLING)
    soup_server_message_unpause (message);
}

void
gr_http_server_drop (SoupServerMessage *message)
{
  struct http_connection *connection = find_connection (message);

  if (connection == NULL || connection->message != message)
    return;
  shut_down_connection (connection);
  gr_http_server_resume (message);
}

static void
raw_sent (GObject *source, GAsyncResult *result, gpointer data)
{
  GIOStream *socket = data;

  g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL,
                                    NULL);
  g_io_stream_close (socket, NULL, NULL);
  g_object_unref (socket);
}

void
gr_http_server_send_raw (SoupServerMessage *message,
                         const void *data,
                         size_t size)
{
  struct http_connection *connection = find_connection (message);
  GIOStream *stream;
  GObject *socket;
  void *copy;

  if (connection == NULL || connection->message != message)
    return;
  socket = g_object_ref (G_OBJECT (connection->socket));
  connection_free (connection);
  stream = soup_server_message_steal_connection (message);
  copy = g_memdup2 (data, size);
  g_object_set_data_full (socket, "gr-raw", copy, g_free);
  g_object_set_data_full (socket, "gr-stream", stream, g_object_unref);
  g_output_stream_write_all_async (g_io_stream_get_output_stream (stream), copy,
                                   size, G_PRIORITY_DEFAULT, NULL, raw_sent,
                                   socket);
}
