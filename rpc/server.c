#include "rpc/rpc.h"

#include <string.h>

#define READ_BYTES 16384

/* A connection is closed when more than this is queued for a peer that does not
 * read its replies. */
#define MAX_OUTGOING_BYTES (8 * 1024 * 1024)

struct server_connection
{
  struct gr_rpc_server *server; /* NULL once closed */
  GSocketConnection *stream;
  GCancellable *cancellable;
  struct gr_frame_reader *reader;
  GByteArray *outgoing;
  GByteArray *writing;
  int references; /* operations in flight and calls without a reply */
  char buffer[READ_BYTES];
};

struct gr_rpc_call
{
  struct server_connection *connection;
  uint64_t id;
  char method[64];
};

struct gr_rpc_server
{
  GSocketService *service;
  char *address;
  GPtrArray *connections;
  void (*handle) (struct gr_rpc_call *call,
                  const char *method,
                  const msgpack_object *body,
                  void *context);
  void *context;
};

static void start_read (struct server_connection *connection);
static void start_write (struct server_connection *connection);

static void
connection_unref (struct server_connection *connection)
{
  if (--connection->references > 0 || connection->server != NULL)
    return;
  g_clear_object (&connection->stream);
  g_clear_object (&connection->cancellable);
  gr_frame_reader_destroy (connection->reader);
  g_byte_array_unref (connection->outgoing);
  g_clear_pointer (&connection->writing, g_byte_array_unref);
  g_free (connection);
}

/* The caller must hold a reference. */
static void
close_connection (struct server_connection *connection)
{
  if (connection->server == NULL)
    return;
  g_ptr_array_remove_fast (connection->server->connections, connection);
  connection->server = NULL;
  g_cancellable_cancel (connection->cancellable);
  g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
}

static void
dispatch_frame (struct server_connection *connection,
                const struct gr_frame *frame)
{
  struct gr_rpc_server *server = connection->server;
  struct gr_rpc_call *call;

  if (frame->type != GR_FRAME_CALL)
    {
      close_connection (connection);
      return;
    }
  call = g_new0 (struct gr_rpc_call, 1);
  call->connection = connection;
  call->id = frame->id;
  g_strlcpy (call->method, frame->method, sizeof call->method);
  connection->references++;
  server->handle (call, call->method, frame->body, server->context);
}

static void
read_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct server_connection *connection = data;
  struct gr_error error = GR_ERROR_INIT;
  struct gr_frame frame;
  gssize size =
      g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);

  if (connection->server != NULL && size > 0)
    {
      gr_frame_reader_feed (connection->reader, connection->buffer,
                            (size_t)size);
      while (connection->server != NULL
             && gr_frame_reader_next (connection->reader, &frame, &error))
        dispatch_frame (connection, &frame);
    }
  if (size <= 0 || error.kind != GR_ERROR_NONE)
    close_connection (connection);
  if (connection->server != NULL)
    start_read (connection);
  connection_unref (connection);
}

static void
start_read (struct server_connection *connection)
{
  GInputStream *in =
      g_io_stream_get_input_stream (G_IO_STREAM (connection->stream));

  connection->references++;
  g_input_stream_read_async (in, connection->buffer, READ_BYTES,
                             G_PRIORITY_DEFAULT, connection->cancellable,
                             read_done, connection);
}

static void
write_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct server_connection *connection = data;
  gboolean written = g_output_stream_write_all_finish (G_OUTPUT_STREAM (source),
                                                       result, NULL, NULL);

  g_clear_pointer (&connection->writing, g_byte_array_unref);
  if (!written)
    close_connection (connection);
  if (connection->server != NULL)
    start_write (connection);
  connection_unref (connection);
}

static void
start_write (struct server_connection *connection)
{
  GOutputStream *out;

  if (connection->writing != NULL || connection->outgoing->len == 0)
    return;
  connection->writing = connection->outgoing;
  connection->outgoing = g_byte_array_new ();
  out = g_io_stream_get_output_stream (G_IO_STREAM (connection->stream));
  connection->references++;
  g_output_stream_write_all_async (
      out, connection->writing->data, connection->writing->len,
      G_PRIORITY_DEFAULT, connection->cancellable, write_done, connection);
}

static gboolean
accept_connection (GSocketService *service,
                   GSocketConnection *stream,
                   GObject *source,
                   gpointer data)
{
  struct gr_rpc_server *server = data;
  struct server_connection *connection = g_new0 (struct server_connection, 1);

  (void)service;
  (void)source;
  connection->server = server;
  connection->stream = g_object_ref (stream);
  connection->cancellable = g_cancellable_new ();
  connection->reader = gr_frame_reader_create ();
  connection->outgoing = g_byte_array_new ();
  g_socket_set_option (g_socket_connection_get_socket (stream), 6 /* TCP */,
                       1 /* TCP_NODELAY */, 1, NULL);
  g_ptr_array_add (server->connections, connection);
  start_read (connection);
  return TRUE;
}

static bool
listen_on (struct gr_rpc_server *server,
           const char *address,
           struct gr_error *error)
{
  GSocketConnectable *parsed = g_network_address_parse (address, 0, NULL);
  GInetAddress *ip = NULL;
  GSocketAddress *requested = NULL;
  GSocketAddress *bound = NULL;
  GError *failure = NULL;
  gboolean added;

  if (parsed != NULL)
    ip = g_inet_address_new_from_string (
        g_network_address_get_hostname (G_NETWORK_ADDRESS (parsed)));
  if (ip == NULL)
    {
      g_clear_object (&parsed);
      return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                           "address \"%s\" is not IP:PORT", address);
    }
  requested = g_inet_socket_address_new (
      ip, g_network_address_get_port (G_NETWORK_ADDRESS (parsed)));
  added = g_socket_listener_add_address (
      G_SOCKET_LISTENER (server->service), requested, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, NULL, &bound, &failure);
  if (added)
    server->address = g_strdup_printf (
        "%s:%u", g_network_address_get_hostname (G_NETWORK_ADDRESS (parsed)),
        g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
  else
    gr_error_set (error, GR_ERROR_IO, "cannot listen on %s: %s", address,
                  failure->message);
  g_clear_error (&failure);
  g_clear_object (&bound);
  g_object_unref (requested);
  g_object_unref (ip);
  g_object_unref (parsed);
  return added;
}

struct gr_rpc_server *
gr_rpc_server_create (const char *address,
                      void (*handle) (struct gr_rpc_call *call,
                                      const char *method,
                                      const msgpack_object *body,
                                      void *context),
                      void *context,
                      struct gr_error *error)
{
  struct gr_rpc_server *server = g_new0 (struct gr_rpc_server, 1);

  server->handle = handle;
  server->context = context;
  server->connections = g_ptr_array_new ();
  server->service = g_socket_service_new ();
  if (!listen_on (server, address, error))
    {
      gr_rpc_server_destroy (server);
      return NULL;
    }
  g_signal_connect (server->service, "incoming", G_CALLBACK (accept_connection),
                    server);
  g_socket_service_start (server->service);
  return server;
}

void
gr_rpc_server_destroy (struct gr_rpc_server *server)
{
  if (server == NULL)
    return;
  g_socket_service_stop (server->service);
  g_socket_listener_close (G_SOCKET_LISTENER (server->service));
  while (server->connections->len > 0)
    close_connection (server->connections->pdata[0]);
  g_ptr_array_free (server->connections, TRUE);
  g_object_unref (server->service);
  g_free (server->address);
  g_free (server);
}

const char *
gr_rpc_server_address (const struct gr_rpc_server *server)
{
  return server->address;
}

static void
send_frame (struct gr_rpc_call *call,
            enum gr_frame_type type,
            struct gr_packer *body)
{
  struct server_connection *connection = call->connection;

  if (connection->server != NULL)
    {
      GBytes *frame = gr_frame_build (type, call->id, call->method, body);
      gsize size;
      const void *data = g_bytes_get_data (frame, &size);

      g_byte_array_append (connection->outgoing, data, (guint)size);
      g_bytes_unref (frame);
      if (connection->outgoing->len > MAX_OUTGOING_BYTES)
        close_connection (connection);
      else
        start_write (connection);
    }
  connection_unref (connection);
  g_free (call);
}

void
gr_rpc_reply (struct gr_rpc_call *call, struct gr_packer *body)
{
  send_frame (call, GR_FRAME_REPLY, body);
}

void
gr_rpc_fail (struct gr_rpc_call *call, const struct gr_error *error)
{
  struct gr_packer *body = gr_packer_create ();

  gr_pack_string (body, "kind", gr_error_info (error->kind)->name);
  gr_pack_string (body, "message", error->message);
  gr_pack_int (body, "retry_after_ms", error->retry_after_ms);
  send_frame (call, GR_FRAME_ERROR, body);
  gr_packer_destroy (body);
}
