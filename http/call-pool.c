#include "http/call-pool.h"

#include "common/deadlines.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Larger response bodies are a protocol error. */
#define MAX_RESPONSE_BYTES ((size_t)8 * 1024 * 1024)

#define READ_BYTES 16384

/* Socket events handled per iteration of the main loop. */
#define MAX_EVENTS 64

/* A connection whose call has timed out is kept this long for a late response.
 */
#define LATE_RESPONSE_MS 5000

/* After this many timeouts in a row without a response, the idle connections to
 * the address are closed as well: a partition can silence all of them. */
#define MAX_TIMEOUTS_IN_A_ROW 2

struct address
{
  char *text;
  struct sockaddr_in socket_address;
  bool valid;
  uint32_t timeouts_in_a_row;
  GPtrArray *connections; /* struct connection */
  GQueue waiting;         /* struct pool_call that have no connection yet */
};

struct connection
{
  struct gr_call_pool *pool;
  struct address *address;
  struct pool_call *call; /* NULL if there is none, or if it has timed out */
  int fd;                 /* -1 after the connection was closed */
  int64_t process;        /* that has answered on it; 0: not known */
  bool connected;
  bool taken_over;        /* by a later call than that it was opened for */
  bool reused;            /* it has carried a response before */
  bool probing;           /* the request is the probe of the call */
  bool awaits_late;       /* for the response to a call that has timed out */
  bool watches_write;     /* epoll reports when it becomes writable */
  bool response_begun;    /* bytes of the current response were received */
  bool response_complete; /* set by the parser */
  bool keep_alive;        /* of the complete response */
  GByteArray *request;    /* bytes to send */
  size_t sent;            /* of the request */
  GByteArray *body;       /* of the response */
  struct http_parser parser;
  struct gr_deadline late_deadline;
};

struct pool_call
{
  struct gr_call_pool *pool;
  struct address *address;
  struct connection *connection; /* NULL while waiting for one */
  GByteArray *request;
  GByteArray *probe; /* NULL if any process may receive the request */
  int64_t process;
  struct gr_deadline deadline;
  bool written; /* bytes of the request may have been sent */
  bool resent;
  struct gr_error failure; /* reported when the deadline expires, if set */
  void (*done) (const struct gr_pool_response *response,
                const struct gr_error *error,
                void *context);
  void *context;
};

struct gr_call_pool
{
  int64_t (*identify) (const struct gr_pool_response *response);
  uint32_t max_connections;
  int epoll_fd;
  guint source;
  GHashTable *addresses; /* text -> struct address */
  GHashTable *calls;     /* struct pool_call; all that have not ended */
  GPtrArray *closed;     /* struct connection, freed after the dispatch */
  struct gr_deadlines *deadlines;
  struct gr_pool_stats stats;
  bool dispatching;
};

static void serve_address (struct gr_call_pool *pool, struct address *address);

static void
connection_free (void *data)
{
  struct connection *connection = data;

  g_byte_array_unref (connection->request);
  g_byte_array_unref (connection->body);
  g_free (connection);
}

/* Events of the same dispatch can still refer to the connection, so it is freed
 * later. Does not end its call. */
static void
connection_close (struct connection *connection)
{
  if (connection->fd < 0)
    return;
  gr_deadline_clear (&connection->late_deadline);
  close (connection->fd);
  connection->fd = -1;
  g_ptr_array_remove_fast (connection->address->connections, connection);
  g_ptr_array_add (connection->pool->closed, connection);
}

static void
free_closed (struct gr_call_pool *pool)
{
  if (!pool->dispatching)
    g_ptr_array_set_size (pool->closed, 0);
}

static void
address_free (void *data)
{
  struct address *address = data;

  g_ptr_array_unref (address->connections);
  g_queue_clear (&address->waiting);
  g_free (address->text);
  g_free (address);
}

static void
call_free (struct pool_call *call)
{
  gr_deadline_clear (&call->deadline);
  g_byte_array_unref (call->request);
  if (call->probe != NULL)
    g_byte_array_unref (call->probe);
  g_free (call);
}

/* Removes the call from the pool and calls done. */
static void
call_end (struct pool_call *call,
          const struct gr_pool_response *response,
          const struct gr_error *error)
{
  gr_deadline_clear (&call->deadline);
  g_hash_table_remove (call->pool->calls, call);
  call->done (response, error, call->context);
  call_free (call);
}

/* The kind to report for a failure of the given kind. */
static enum gr_error_kind
failure_kind (const struct pool_call *call, enum gr_error_kind kind)
{
  if (kind == GR_ERROR_NOT_FOUND || kind == GR_ERROR_OTHER_PROCESS)
    return call->written ? GR_ERROR_IO : kind;
  return call->written ? kind : GR_ERROR_NO_TARGET;
}

static void
call_fail (struct pool_call *call, enum gr_error_kind kind, const char *message)
{
  struct gr_error error = GR_ERROR_INIT;

  gr_error_set (&error, failure_kind (call, kind), "%s", message);
  call_end (call, NULL, &error);
}

static void
on_failure_deadline (struct gr_deadline *deadline)
{
  struct pool_call *call =
      (struct pool_call *)((char *)deadline
                           - offsetof (struct pool_call, deadline));

  call_end (call, NULL, &call->failure);
}

/* Ends the call from the main loop. */
static void
call_fail_later (struct pool_call *call,
                 enum gr_error_kind kind,
                 const char *message)
{
  gr_error_set (&call->failure, failure_kind (call, kind), "%s", message);
  call->connection = NULL;
  gr_deadline_clear (&call->deadline);
  gr_deadline_set (call->pool->deadlines, &call->deadline, 0,
                   on_failure_deadline);
}

/* Closes a connection that has failed. A call on a reused connection that got
 * no byte of a response is sent again once: the peer may have closed the
 * connection while it was idle. A call that has taken over an attempt to
 * connect makes one of its own: the attempt can have failed before the call. */
static void
connection_fail (struct connection *connection,
                 enum gr_error_kind kind,
                 const char *message)
{
  struct pool_call *call = connection->call;
  struct address *address = connection->address;
  bool may_resend =
      connection->reused && !connection->response_begun && call != NULL;
  bool is_earlier = connection->taken_over && !connection->connected;

  connection->call = NULL;
  connection_close (connection);
  if (call != NULL && is_earlier)
    {
      call->connection = NULL;
      g_queue_push_head (&address->waiting, call);
    }
  else if (call != NULL && may_resend && !call->resent)
    {
      call->connection = NULL;
      call->resent = true;
      g_queue_push_head (&address->waiting, call);
    }
  else if (call != NULL)
    call_fail_later (call, kind, message);
  serve_address (connection->pool, address);
}

static void
watch_socket (struct connection *connection, bool write)
{
  struct epoll_event event = {
    .events = EPOLLIN | (write ? EPOLLOUT : 0),
    .data.ptr = connection,
  };

  if (connection->watches_write == write)
    return;
  connection->watches_write = write;
  if (epoll_ctl (connection->pool->epoll_fd, EPOLL_CTL_MOD, connection->fd,
                 &event)
      != 0)
    connection_fail (connection, GR_ERROR_IO, g_strerror (errno));
}

static void
write_request (struct connection *connection)
{
  struct gr_call_pool *pool = connection->pool;
  size_t left = connection->request->len - connection->sent;
  ssize_t size;

  if (!connection->connected || left == 0)
    return;
  if (connection->call != NULL && !connection->probing)
    connection->call->written = true;
  size = send (connection->fd, connection->request->data + connection->sent,
               left, MSG_NOSIGNAL);
  if (size < 0 && errno != EAGAIN && errno != EINTR)
    {
      connection_fail (connection, GR_ERROR_IO, g_strerror (errno));
      return;
    }
  if (size > 0)
    {
      connection->sent += (size_t)size;
      pool->stats.sent_bytes += (uint64_t)size;
    }
  watch_socket (connection, connection->sent < connection->request->len);
}

static int
on_message_begin (struct http_parser *parser)
{
  struct connection *connection = parser->data;

  g_byte_array_set_size (connection->body, 0);
  return 0;
}

static int
on_body (struct http_parser *parser, const char *bytes, size_t size)
{
  struct connection *connection = parser->data;

  if (connection->body->len + size > MAX_RESPONSE_BYTES)
    return -1;
  g_byte_array_append (connection->body, (const guint8 *)bytes, (guint)size);
  return 0;
}

static int
on_message_complete (struct http_parser *parser)
{
  struct connection *connection = parser->data;

  connection->response_complete = true;
  connection->keep_alive = http_should_keep_alive (parser) != 0;
  /* Ends http_parser_execute (): nothing may follow the response. */
  http_parser_pause (parser, 1);
  return 0;
}

static const struct http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Returns whether a call for a process may be written to the connection. */
static bool
reaches_process (const struct connection *connection,
                 const struct pool_call *call)
{
  return call->process == 0 || connection->process == call->process;
}

/* Gives the call to a connection without one. On one whose process is not known
 * the probe goes first. */
static void
assign_call (struct connection *connection, struct pool_call *call)
{
  const GByteArray *bytes;

  connection->probing = !reaches_process (connection, call);
  bytes = connection->probing ? call->probe : call->request;
  if (connection->probing)
    connection->pool->stats.probes++;
  gr_deadline_clear (&connection->late_deadline);
  connection->call = call;
  call->connection = connection;
  connection->response_begun = false;
  connection->response_complete = false;
  connection->sent = 0;
  g_byte_array_set_size (connection->request, 0);
  g_byte_array_append (connection->request, bytes->data, bytes->len);
  http_parser_init (&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
  write_request (connection);
}

/* Returns NULL and sets errno if the connection fails at once. */
static struct connection *
connection_open (struct gr_call_pool *pool, struct address *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct connection *connection;
  struct epoll_event event = { .events = EPOLLIN | EPOLLOUT };
  int on = 1;

  if (fd < 0)
    return NULL;
  connection = g_new0 (struct connection, 1);
  connection->pool = pool;
  connection->address = address;
  connection->fd = fd;
  connection->request = g_byte_array_new ();
  connection->body = g_byte_array_new ();
  connection->watches_write = true;
  event.data.ptr = connection;
  /* Without TCP_NODELAY, small requests wait for earlier ones to be
   * acknowledged. */
  if (setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) != 0
      || (connect (fd, (const struct sockaddr *)&address->socket_address,
                   sizeof address->socket_address)
              != 0
          && errno != EINPROGRESS)
      || epoll_ctl (pool->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    {
      int saved_errno = errno;

      close (fd);
      connection_free (connection);
      errno = saved_errno;
      return NULL;
    }
  pool->stats.connections++;
  g_ptr_array_add (address->connections, connection);
  return connection;
}

static bool
is_idle (const struct connection *connection)
{
  return connection->call == NULL && !connection->awaits_late;
}

/* Returns an open connection without a call, if possible one on which the
 * call's process has answered. Never one on which another process has. */
static struct connection *
find_idle (const struct address *address, const struct pool_call *call)
{
  struct connection *unknown = NULL;

  for (guint i = 0; i < address->connections->len; i++)
    {
      struct connection *connection = address->connections->pdata[i];

      if (!is_idle (connection) || !connection->connected)
        continue;
      if (reaches_process (connection, call))
        return connection;
      if (connection->process == 0)
        unknown = connection;
    }
  return unknown;
}

/* Returns a connection for the next call to the address, or NULL if all are in
 * use. *failed is set if one could not be opened. At the limit of connections,
 * one that waits for a late response or belongs to another process gives
 * way. */
static struct connection *
get_connection (struct gr_call_pool *pool,
                struct address *address,
                const struct pool_call *call,
                bool *failed)
{
  struct connection *late = find_idle (address, call);

  *failed = false;
  if (late != NULL)
    return late;
  for (guint i = 0; i < address->connections->len; i++)
    {
      struct connection *connection = address->connections->pdata[i];

      if (connection->call == NULL && (late == NULL || connection->awaits_late))
        late = connection;
    }
  if (address->connections->len >= pool->max_connections)
    {
      if (late == NULL)
        return NULL;
      /* The call that opened it has timed out, but it may still connect. */
      if (!late->connected && !late->awaits_late)
        {
          late->taken_over = true;
          return late;
        }
      connection_close (late);
    }
  late = connection_open (pool, address);
  *failed = late == NULL;
  return late;
}

/* A firewall or a proxy on the way refuses connections like an address at which
 * nothing listens. */
static enum gr_error_kind
connect_error_kind (int error)
{
  return error == ECONNREFUSED ? GR_ERROR_NOT_FOUND : GR_ERROR_IO;
}

static void
serve_address (struct gr_call_pool *pool, struct address *address)
{
  while (!g_queue_is_empty (&address->waiting))
    {
      struct pool_call *call = g_queue_peek_head (&address->waiting);
      struct connection *connection;
      bool failed;

      connection = get_connection (pool, address, call, &failed);
      if (connection == NULL && !failed)
        return;
      g_queue_pop_head (&address->waiting);
      if (failed)
        call_fail_later (call, connect_error_kind (errno), g_strerror (errno));
      else
        assign_call (connection, call);
    }
}

/* The probe of a call was answered: sends the call itself if the answer is from
 * its process. Returns false if it is that of the call as well. */
static bool
probe_answered (struct connection *connection,
                struct pool_call *call,
                uint32_t status)
{
  if (connection->fd >= 0 && reaches_process (connection, call))
    assign_call (connection, call);
  else if (connection->process == 0 && status != 200)
    return false;
  else if (reaches_process (connection, call))
    call_fail_later (call, GR_ERROR_IO,
                     "the peer closed the connection after the probe");
  else if (connection->process == 0)
    call_fail_later (call, GR_ERROR_PROTOCOL,
                     "the response to the probe names no process");
  else
    call_fail_later (call, GR_ERROR_OTHER_PROCESS,
                     "another process has answered at the address");
  return true;
}

static void
finish_response (struct connection *connection)
{
  struct gr_call_pool *pool = connection->pool;
  struct address *address = connection->address;
  struct pool_call *call = connection->call;
  bool probing = connection->probing;
  struct gr_pool_response response = {
    .status = connection->parser.status_code,
    .resent = call != NULL && call->resent,
    .body = (const char *)connection->body->data,
    .size = connection->body->len,
  };

  if (connection->process == 0 && pool->identify != NULL)
    connection->process = pool->identify (&response);
  connection->call = NULL;
  connection->probing = false;
  connection->awaits_late = false;
  connection->reused = true;
  gr_deadline_clear (&connection->late_deadline);
  address->timeouts_in_a_row = 0;
  if (!connection->keep_alive || connection->sent < connection->request->len)
    connection_close (connection);
  if (call != NULL && probing
      && probe_answered (connection, call, response.status))
    call = NULL;
  serve_address (pool, address);
  if (call != NULL)
    call_end (call, &response, NULL);
}

static void
receive_bytes (struct connection *connection, const char *bytes, size_t size)
{
  size_t parsed;

  connection->pool->stats.received_bytes += size;
  if (is_idle (connection))
    {
      connection_fail (connection, GR_ERROR_PROTOCOL,
                       "the peer sent data without a request");
      return;
    }
  connection->response_begun = true;
  parsed =
      http_parser_execute (&connection->parser, &parser_settings, bytes, size);
  if (connection->response_complete && parsed == size)
    finish_response (connection);
  else if (connection->response_complete)
    connection_fail (connection, GR_ERROR_PROTOCOL,
                     "the response is longer than it says");
  else if (HTTP_PARSER_ERRNO (&connection->parser) != HPE_OK)
    connection_fail (
        connection, GR_ERROR_PROTOCOL,
        http_errno_description (HTTP_PARSER_ERRNO (&connection->parser)));
}

static void
read_response (struct connection *connection)
{
  char buffer[READ_BYTES];
  ssize_t size = recv (connection->fd, buffer, sizeof buffer, 0);

  if (size > 0)
    receive_bytes (connection, buffer, (size_t)size);
  else if (size == 0)
    connection_fail (connection,
                     connection->response_begun ? GR_ERROR_PROTOCOL
                                                : GR_ERROR_IO,
                     "the peer closed the connection");
  else if (errno != EAGAIN && errno != EINTR)
    connection_fail (connection, GR_ERROR_IO, g_strerror (errno));
}

static void
finish_connect (struct connection *connection)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    error = errno;
  if (error != 0)
    {
      connection_fail (connection, connect_error_kind (error),
                       g_strerror (error));
      return;
    }
  connection->connected = true;
  if (connection->call != NULL)
    {
      write_request (connection);
      return;
    }
  /* The call that opened the connection has timed out. */
  gr_deadline_clear (&connection->late_deadline);
  watch_socket (connection, false);
  if (connection->fd >= 0)
    serve_address (connection->pool, connection->address);
}

static void
handle_event (struct connection *connection, uint32_t events)
{
  if (connection->fd >= 0 && !connection->connected)
    {
      if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0)
        finish_connect (connection);
      return;
    }
  if (connection->fd >= 0 && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
    read_response (connection);
  if (connection->fd >= 0 && (events & EPOLLOUT) != 0)
    write_request (connection);
}

static gboolean
on_sockets_ready (gint fd, GIOCondition condition, gpointer data)
{
  struct gr_call_pool *pool = data;
  struct epoll_event events[MAX_EVENTS];
  int n = epoll_wait (fd, events, MAX_EVENTS, 0);

  (void)condition;
  pool->dispatching = true;
  for (int i = 0; i < n; i++)
    handle_event (events[i].data.ptr, events[i].events);
  pool->dispatching = false;
  free_closed (pool);
  return G_SOURCE_CONTINUE;
}

static void
on_late_deadline (struct gr_deadline *deadline)
{
  struct connection *connection =
      (struct connection *)((char *)deadline
                            - offsetof (struct connection, late_deadline));
  struct gr_call_pool *pool = connection->pool;
  struct address *address = connection->address;

  connection_close (connection);
  serve_address (pool, address);
  free_closed (pool);
}

static void
close_idle (struct address *address)
{
  for (guint i = address->connections->len; i-- > 0;)
    {
      struct connection *connection = address->connections->pdata[i];

      if (is_idle (connection))
        connection_close (connection);
    }
}

/* Leaves the connection of a call that has timed out open for a late response,
 * unless a part of the request is still unsent. */
static void
detach_call (struct pool_call *call)
{
  struct connection *connection = call->connection;
  bool partly_sent =
      connection->sent > 0 && connection->sent < connection->request->len;

  connection->call = NULL;
  call->connection = NULL;
  if (partly_sent)
    {
      connection_close (connection);
      return;
    }
  connection->awaits_late = connection->sent > 0;
  g_byte_array_set_size (connection->request,
                         (guint)connection->sent); /* nothing more to send */
  gr_deadline_set (call->pool->deadlines, &connection->late_deadline,
                   LATE_RESPONSE_MS, on_late_deadline);
}

static void
on_call_deadline (struct gr_deadline *deadline)
{
  struct pool_call *call =
      (struct pool_call *)((char *)deadline
                           - offsetof (struct pool_call, deadline));
  struct gr_call_pool *pool = call->pool;
  struct address *address = call->address;

  if (call->connection == NULL)
    g_queue_remove (&address->waiting, call);
  else
    {
      detach_call (call);
      if (++address->timeouts_in_a_row >= MAX_TIMEOUTS_IN_A_ROW)
        close_idle (address);
    }
  serve_address (pool, address);
  free_closed (pool);
  call_fail (call, GR_ERROR_TIMEOUT, "no response before the timeout");
}

static bool
parse_address (const char *text, struct sockaddr_in *parsed)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *host = colon ? g_strndup (text, colon - text) : NULL;
  guint64 port;

  parsed->sin_family = AF_INET;
  if (host == NULL || inet_pton (AF_INET, host, &parsed->sin_addr) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &port,
                                      NULL))
    return false;
  parsed->sin_port = htons ((uint16_t)port);
  return true;
}

static struct address *
get_address (struct gr_call_pool *pool, const char *text)
{
  struct address *address = g_hash_table_lookup (pool->addresses, text);

  if (address != NULL)
    return address;
  address = g_new0 (struct address, 1);
  address->text = g_strdup (text);
  address->valid = parse_address (text, &address->socket_address);
  address->connections = g_ptr_array_new ();
  g_queue_init (&address->waiting);
  g_hash_table_insert (pool->addresses, address->text, address);
  return address;
}

static GByteArray *
build_request (const struct gr_pool_request *request, const char *address)
{
  GByteArray *bytes = g_byte_array_sized_new ((guint)request->size + 256);
  g_autofree char *head = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Type: application/json\r\n"
      "Content-Length: %zu\r\n\r\n",
      request->path, address, request->headers, request->size);

  g_byte_array_append (bytes, (const guint8 *)head, (guint)strlen (head));
  g_byte_array_append (bytes, (const guint8 *)request->body,
                       (guint)request->size);
  return bytes;
}

void
gr_call_pool_send (struct gr_call_pool *pool,
                   const struct gr_pool_request *request,
                   void (*done) (const struct gr_pool_response *response,
                                 const struct gr_error *error,
                                 void *context),
                   void *context)
{
  struct pool_call *call = g_new0 (struct pool_call, 1);

  call->pool = pool;
  call->address = get_address (pool, request->address);
  call->request = build_request (request, request->address);
  call->process = request->process;
  if (request->process != 0)
    call->probe = build_request (request->probe, request->address);
  call->done = done;
  call->context = context;
  g_hash_table_add (pool->calls, call);
  if (!call->address->valid)
    {
      call_fail_later (call, GR_ERROR_NO_TARGET, "the address is not valid");
      return;
    }
  gr_deadline_set (pool->deadlines, &call->deadline, request->timeout_ms,
                   on_call_deadline);
  g_queue_push_tail (&call->address->waiting, call);
  serve_address (pool, call->address);
  free_closed (pool);
}

struct gr_pool_stats
gr_call_pool_stats (const struct gr_call_pool *pool)
{
  return pool->stats;
}

struct gr_call_pool *
gr_call_pool_create (
    uint32_t connections,
    int64_t (*identify) (const struct gr_pool_response *response))
{
  struct gr_call_pool *pool = g_new0 (struct gr_call_pool, 1);

  pool->identify = identify;

  pool->max_connections = connections;
  pool->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  g_assert (pool->epoll_fd >= 0);
  pool->source =
      g_unix_fd_add (pool->epoll_fd, G_IO_IN, on_sockets_ready, pool);
  pool->addresses =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, address_free);
  pool->calls = g_hash_table_new (NULL, NULL);
  pool->closed = g_ptr_array_new_with_free_func (connection_free);
  pool->deadlines = gr_deadlines_create ();
  return pool;
}

static void
close_all (struct gr_call_pool *pool)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, pool->addresses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct address *address = value;

      while (address->connections->len > 0)
        connection_close (address->connections->pdata[0]);
    }
}

void
gr_call_pool_destroy (struct gr_call_pool *pool)
{
  struct gr_error error = GR_ERROR_INIT;
  GHashTableIter iter;
  void *key;

  if (pool == NULL)
    return;
  g_assert (!pool->dispatching);
  close_all (pool);
  gr_error_set (&error, GR_ERROR_CANCELLED, "the HTTP client was destroyed");
  g_hash_table_iter_init (&iter, pool->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct pool_call *call = key;

      g_hash_table_iter_steal (&iter);
      gr_deadline_clear (&call->deadline);
      call->done (NULL, &error, call->context);
      call_free (call);
    }
  g_source_remove (pool->source);
  g_ptr_array_unref (pool->closed);
  g_hash_table_destroy (pool->addresses);
  g_hash_table_destroy (pool->calls);
  gr_deadlines_destroy (pool->deadlines);
  close (pool->epoll_fd);
  g_free (pool);
}
