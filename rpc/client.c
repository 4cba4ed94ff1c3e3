#include "rpc/rpc.h"

#include "common/deadlines.h"

#include <stddef.h>
#include <string.h>

#define READ_BYTES 16384

struct pending_call
{
  uint64_t id;
  struct gr_deadline deadline;
  struct gr_rpc_client *client;
  void (*done) (const msgpack_object *body,
                const struct gr_error *error,
                void *context);
  void *context;
};

/* One connection. It is freed when its last asynchronous operation ends, which
 * may be after the client has dropped it. */
struct connection
{
  struct gr_rpc_client *client; /* NULL once dropped */
  GSocketConnection *stream;    /* NULL while connecting */
  GCancellable *cancellable;
  struct gr_frame_reader *reader;
  GByteArray *outgoing;
  GByteArray *writing;
  int operations; /* asynchronous ones in flight */
  char buffer[READ_BYTES];
};

struct gr_rpc_client
{
  char *address;
  uint64_t next_id;
  GHashTable *pending; /* id to struct pending_call */
  struct gr_deadlines *deadlines;
  struct connection *connection;
};

static void start_read (struct connection *connection);
static void start_write (struct connection *connection);

struct gr_rpc_client *
gr_rpc_client_create (const char *address)
{
  struct gr_rpc_client *client = g_new0 (struct gr_rpc_client, 1);

  client->address = g_strdup (address);
  client->next_id = 1;
  client->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  client->deadlines = gr_deadlines_create ();
  return client;
}

const char *
gr_rpc_client_address (const struct gr_rpc_client *client)
{
  return client->address;
}

static void
connection_free_if_unused (struct connection *connection)
{
  if (connection->client != NULL || connection->operations > 0)
    return;
  g_clear_object (&connection->stream);
  g_clear_object (&connection->cancellable);
  gr_frame_reader_destroy (connection->reader);
  g_byte_array_unref (connection->outgoing);
  g_clear_pointer (&connection->writing, g_byte_array_unref);
  g_free (connection);
}

static void
finish_call (struct pending_call *call,
             const msgpack_object *body,
             const struct gr_error *error)
{
  /* Before the callback, which may destroy the client. */
  gr_deadline_clear (&call->deadline);
  call->done (body, error, call->context);
  g_free (call);
}

/* Drops the connection and ends all calls in flight with error. */
static void
drop_connection (struct gr_rpc_client *client, const struct gr_error *error)
{
  struct connection *connection = client->connection;
  GHashTable *pending = client->pending;
  GHashTableIter iter;
  void *value;

  client->connection = NULL;
  if (connection != NULL)
    {
      connection->client = NULL;
      g_cancellable_cancel (connection->cancellable);
      if (connection->stream != NULL)
        g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
      connection_free_if_unused (connection);
    }
  client->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_hash_table_iter_init (&iter, pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    finish_call (value, NULL, error);
  g_hash_table_destroy (pending);
}

void
gr_rpc_client_destroy (struct gr_rpc_client *client)
{
  struct gr_error error = GR_ERROR_INIT;

  if (client == NULL)
    return;
  gr_error_set (&error, GR_ERROR_CANCELLED, "the client for %s was destroyed",
                client->address);
  drop_connection (client, &error);
  g_hash_table_destroy (client->pending);
  gr_deadlines_destroy (client->deadlines);
  g_free (client->address);
  g_free (client);
}

static void
connection_failed (struct connection *connection,
                   enum gr_error_kind kind,
                   const char *reason)
{
  struct gr_error error = GR_ERROR_INIT;

  if (connection->client == NULL)
    return;
  gr_error_set (&error, kind, "%s: %s", connection->client->address, reason);
  drop_connection (connection->client, &error);
}

static void
handle_frame (struct gr_rpc_client *client, const struct gr_frame *frame)
{
  struct gr_error error = GR_ERROR_INIT;
  struct pending_call *call;
  gint64 id = (gint64)frame->id;
  char *kind;
  char *message;

  call = g_hash_table_lookup (client->pending, &id);
  if (call == NULL)
    return; /* reply to a call that has timed out */
  g_hash_table_remove (client->pending, &id);
  if (frame->type == GR_FRAME_REPLY)
    {
      finish_call (call, frame->body, NULL);
      return;
    }
  kind = gr_unpack_string (frame->body, "kind");
  message = gr_unpack_string (frame->body, "message");
  gr_error_set_retry (&error, gr_error_kind_from_name (kind ? kind : ""),
                      gr_unpack_int (frame->body, "retry_after_ms", 0), "%s",
                      message ? message : "");
  finish_call (call, NULL, &error);
  g_free (kind);
  g_free (message);
}

static void
read_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct connection *connection = data;
  struct gr_error error = GR_ERROR_INIT;
  struct gr_frame frame;
  gssize size =
      g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);

  if (connection->client != NULL && size > 0)
    {
      gr_frame_reader_feed (connection->reader, connection->buffer,
                            (size_t)size);
      while (connection->client != NULL
             && gr_frame_reader_next (connection->reader, &frame, &error))
        handle_frame (connection->client, &frame);
    }
  if (error.kind != GR_ERROR_NONE)
    connection_failed (connection, error.kind, error.message);
  else if (size <= 0)
    connection_failed (connection, GR_ERROR_IO, "connection closed");
  if (connection->client != NULL)
    start_read (connection);
  connection->operations--;
  connection_free_if_unused (connection);
}

static void
start_read (struct connection *connection)
{
  GInputStream *in =
      g_io_stream_get_input_stream (G_IO_STREAM (connection->stream));

  connection->operations++;
  g_input_stream_read_async (in, connection->buffer, READ_BYTES,
                             G_PRIORITY_DEFAULT, connection->cancellable,
                             read_done, connection);
}

static void
write_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct connection *connection = data;
  gboolean written = g_output_stream_write_all_finish (G_OUTPUT_STREAM (source),
                                                       result, NULL, NULL);

  g_clear_pointer (&connection->writing, g_byte_array_unref);
  if (!written)
    connection_failed (connection, GR_ERROR_IO, "write failed");
  if (connection->client != NULL)
    start_write (connection);
  connection->operations--;
  connection_free_if_unused (connection);
}

static void
start_write (struct connection *connection)
{
  GOutputStream *out;

  if (connection->stream == NULL || connection->writing != NULL
      || connection->outgoing->len == 0)
    return;
  connection->writing = connection->outgoing;
  connection->outgoing = g_byte_array_new ();
  out = g_io_stream_get_output_stream (G_IO_STREAM (connection->stream));
  connection->operations++;
  g_output_stream_write_all_async (
      out, connection->writing->data, connection->writing->len,
      G_PRIORITY_DEFAULT, connection->cancellable, write_done, connection);
}

static void
connect_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct connection *connection = data;

  connection->stream = g_socket_client_connect_to_host_finish (
      G_SOCKET_CLIENT (source), result, NULL);
  if (connection->stream == NULL)
    connection_failed (connection, GR_ERROR_NO_TARGET, "cannot connect");
  else if (connection->client != NULL)
    {
      g_socket_set_option (g_socket_connection_get_socket (connection->stream),
                           6 /* TCP */, 1 /* TCP_NODELAY */, 1, NULL);
      start_read (connection);
      start_write (connection);
    }
  connection->operations--;
  connection_free_if_unused (connection);
}

static void
ensure_connection (struct gr_rpc_client *client)
{
  struct connection *connection;
  GSocketClient *connector;

  if (client->connection != NULL)
    return;
  connection = g_new0 (struct connection, 1);
  connection->client = client;
  connection->cancellable = g_cancellable_new ();
  connection->reader = gr_frame_reader_create ();
  connection->outgoing = g_byte_array_new ();
  connection->operations = 1;
  client->connection = connection;
  connector = g_socket_client_new ();
  g_socket_client_set_enable_proxy (connector, FALSE);
  g_socket_client_connect_to_host_async (connector, client->address, 0,
                                         connection->cancellable, connect_done,
                                         connection);
  g_object_unref (connector);
}

static void
call_timed_out (struct gr_deadline *deadline)
{
  struct pending_call *call =
      (struct pending_call *)((char *)deadline
                              - offsetof (struct pending_call, deadline));
  struct gr_error error = GR_ERROR_INIT;
  gint64 id = (gint64)call->id;

  gr_error_set (&error, GR_ERROR_TIMEOUT, "no reply from %s before the timeout",
                call->client->address);
  g_hash_table_remove (call->client->pending, &id);
  finish_call (call, NULL, &error);
}

void
gr_rpc_call (struct gr_rpc_client *client,
             const char *method,
             struct gr_packer *body,
             uint32_t timeout_ms,
             void (*done) (const msgpack_object *body,
                           const struct gr_error *error,
                           void *context),
             void *context)
{
  struct pending_call *call = g_new0 (struct pending_call, 1);
  GBytes *frame;
  gsize size;
  const void *data;

  call->id = client->next_id++;
  call->client = client;
  call->done = done;
  call->context = context;
  gr_deadline_set (client->deadlines, &call->deadline, timeout_ms,
                   call_timed_out);
  g_hash_table_insert (client->pending, &call->id, call);
  ensure_connection (client);
  frame = gr_frame_build (GR_FRAME_CALL, call->id, method, body);
  data = g_bytes_get_data (frame, &size);
  g_byte_array_append (client->connection->outgoing, data, (guint)size);
  g_bytes_unref (frame);
  start_write (client->connection);
}
