#include "standins/relay.h"

#include "http/http-listen.h"
#include "http/json.h"

#include <string.h>

#define BUFFER_BYTES 16384

/* Interval at which data that is held is tried again. */
#define HOLD_MS 20

struct relay_link;

/* One direction of a relayed connection. At most one chunk of data is in
 * flight: it is read, delayed and written before the next one is read. */
struct relay_direction
{
  struct relay_link *link;
  GSocketConnection *from;
  GSocketConnection *to;
  GSource *timer;
  gsize size; /* 0: the stream has ended */
  bool failed;
  char buffer[BUFFER_BYTES];
};

/* A relayed connection: one of the client and one to the target, which is never
 * opened anew, as what the target said on a connection must hold for all of it.
 * It is freed when no operation is pending, which can be after it was closed.
 */
struct relay_link
{
  struct gr_relay *relay; /* NULL once the link is closed */
  GCancellable *cancellable;
  GSocketConnection *client;
  GSocketConnection *target; /* NULL until connected */
  struct relay_direction to_target;
  struct relay_direction to_client;
  int pending_operations;
};

struct gr_relay
{
  struct gr_standin *base;
  GSocketService *service;
  GHashTable *links; /* set of struct relay_link that are not closed */
  char *address;
  char *target;
  GSocketAddress *source; /* of the connections to the target */
  bool drop;
  bool drop_answers;
  bool hold;
  bool refuse;
  bool closed; /* service is NULL */
  int64_t delay_ms;
  int64_t relayed_bytes;
  int64_t dropped_bytes;
};

static void read_chunk (struct relay_direction *direction);

static void
link_unref (struct relay_link *link)
{
  if (--link->pending_operations > 0)
    return;
  if (link->relay != NULL)
    g_hash_table_remove (link->relay->links, link);
  g_clear_object (&link->client);
  g_clear_object (&link->target);
  g_clear_object (&link->cancellable);
  g_free (link);
}

static void
close_link (struct relay_link *link)
{
  if (link->relay == NULL)
    return;
  g_hash_table_remove (link->relay->links, link);
  link->relay = NULL;
  g_cancellable_cancel (link->cancellable);
  g_io_stream_close (G_IO_STREAM (link->client), NULL, NULL);
  if (link->target != NULL)
    g_io_stream_close (G_IO_STREAM (link->target), NULL, NULL);
}

static void
end_direction (struct relay_direction *direction)
{
  if (direction->link->relay != NULL)
    g_socket_shutdown (g_socket_connection_get_socket (direction->to), FALSE,
                       TRUE, NULL);
  link_unref (direction->link);
}

static void
write_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct relay_direction *direction = data;

  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL,
                                         NULL))
    close_link (direction->link);
  if (direction->link->relay == NULL)
    end_direction (direction);
  else
    read_chunk (direction);
}

static gboolean deliver (gpointer data);

static void
deliver_later (struct relay_direction *direction, int64_t delay_ms)
{
  direction->timer = g_timeout_source_new ((guint)delay_ms);
  g_source_set_callback (direction->timer, deliver, direction, NULL);
  g_source_attach (direction->timer, NULL);
}

static void
deliver_end (struct relay_direction *direction)
{
  if (direction->failed)
    close_link (direction->link);
  end_direction (direction);
}

/* Delivers the chunk, or the end of the stream. */
static gboolean
deliver (gpointer data)
{
  struct relay_direction *direction = data;

  g_clear_pointer (&direction->timer, g_source_unref);
  if (direction->link->relay == NULL)
    {
      end_direction (direction);
      return G_SOURCE_REMOVE;
    }
  if (direction->link->relay->hold)
    {
      deliver_later (direction, HOLD_MS);
      return G_SOURCE_REMOVE;
    }
  if (direction->size == 0)
    {
      deliver_end (direction);
      return G_SOURCE_REMOVE;
    }
  direction->link->relay->relayed_bytes += (int64_t)direction->size;
  g_output_stream_write_all_async (
      g_io_stream_get_output_stream (G_IO_STREAM (direction->to)),
      direction->buffer, direction->size, G_PRIORITY_DEFAULT,
      direction->link->cancellable, write_done, direction);
  return G_SOURCE_REMOVE;
}

static void
read_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct relay_direction *direction = data;
  struct gr_relay *relay = direction->link->relay;
  gssize size =
      g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);

  if (relay == NULL)
    {
      end_direction (direction);
      return;
    }
  direction->size = (gsize)MAX (size, 0);
  direction->failed = size < 0;
  if (size <= 0 && relay->hold)
    {
      deliver_later (direction, HOLD_MS);
      return;
    }
  if (size <= 0)
    {
      deliver_end (direction);
      return;
    }
  if (relay->drop
      || (relay->drop_answers && direction == &direction->link->to_client))
    {
      relay->dropped_bytes += size;
      read_chunk (direction);
      return;
    }
  deliver_later (direction, relay->delay_ms);
}

static void
read_chunk (struct relay_direction *direction)
{
  g_input_stream_read_async (
      g_io_stream_get_input_stream (G_IO_STREAM (direction->from)),
      direction->buffer, BUFFER_BYTES, G_PRIORITY_DEFAULT,
      direction->link->cancellable, read_done, direction);
}

static void
start_direction (struct relay_direction *direction,
                 struct relay_link *link,
                 GSocketConnection *from,
                 GSocketConnection *to)
{
  direction->link = link;
  direction->from = from;
  direction->to = to;
  link->pending_operations++;
  read_chunk (direction);
}

static void
connect_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct relay_link *link = data;

  link->target = g_socket_client_connect_to_host_finish (
      G_SOCKET_CLIENT (source), result, NULL);
  if (link->relay != NULL && link->target == NULL)
    close_link (link);
  if (link->relay != NULL)
    {
      start_direction (&link->to_target, link, link->client, link->target);
      start_direction (&link->to_client, link, link->target, link->client);
    }
  link_unref (link);
}

static void
connect_link (struct relay_link *link)
{
  GSocketClient *connector = g_socket_client_new ();

  g_socket_client_set_enable_proxy (connector, FALSE);
  g_socket_client_set_local_address (connector, link->relay->source);
  g_socket_client_connect_to_host_async (connector, link->relay->target, 0,
                                         link->cancellable, connect_done, link);
  g_object_unref (connector);
}

/* A connection that is opened during the fault "hold" reaches the process that
 * listens when the fault ends. */
static gboolean
connect_held (gpointer data)
{
  struct relay_link *link = data;

  if (link->relay != NULL && link->relay->hold)
    return G_SOURCE_CONTINUE;
  if (link->relay != NULL)
    connect_link (link);
  else
    link_unref (link);
  return G_SOURCE_REMOVE;
}

static gboolean
incoming (GSocketService *service,
          GSocketConnection *client,
          GObject *source,
          gpointer data)
{
  struct gr_relay *relay = data;
  struct relay_link *link;

  (void)service;
  (void)source;
  if (relay->refuse)
    {
      g_io_stream_close (G_IO_STREAM (client), NULL, NULL);
      return TRUE;
    }
  link = g_new0 (struct relay_link, 1);
  link->relay = relay;
  link->client = g_object_ref (client);
  link->cancellable = g_cancellable_new ();
  link->pending_operations = 1;
  g_hash_table_add (relay->links, link);
  if (relay->hold)
    g_timeout_add (HOLD_MS, connect_held, link);
  else
    connect_link (link);
  return TRUE;
}

void
gr_relay_disconnect_all (struct gr_relay *relay)
{
  GList *links = g_hash_table_get_keys (relay->links);

  for (GList *item = links; item != NULL; item = item->next)
    close_link (item->data);
  g_list_free (links);
}

static bool
half_close (struct gr_relay *relay, const char *side)
{
  bool client = strcmp (side, "client") == 0;
  GHashTableIter iter;
  void *key;

  if (!client && strcmp (side, "target") != 0)
    return false;
  g_hash_table_iter_init (&iter, relay->links);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct relay_link *link = key;
      GSocketConnection *stream = client ? link->client : link->target;

      if (stream != NULL)
        g_socket_shutdown (g_socket_connection_get_socket (stream), FALSE, TRUE,
                           NULL);
    }
  return true;
}

static void
start_service (struct gr_relay *relay, GSocket *socket)
{
  relay->service = g_socket_service_new ();
  g_socket_listener_add_socket (G_SOCKET_LISTENER (relay->service), socket,
                                NULL, NULL);
  g_signal_connect (relay->service, "incoming", G_CALLBACK (incoming), relay);
}

static void
stop_service (struct gr_relay *relay)
{
  if (relay->service == NULL)
    return;
  g_signal_handlers_disconnect_by_data (relay->service, relay);
  g_socket_service_stop (relay->service);
  g_socket_listener_close (G_SOCKET_LISTENER (relay->service));
  g_clear_object (&relay->service);
}

bool
gr_relay_set_closed (struct gr_relay *relay, bool closed)
{
  struct gr_error ignored = GR_ERROR_INIT;
  GSocket *socket;
  char *address;

  if (closed == relay->closed)
    return true;
  if (closed)
    {
      stop_service (relay);
      gr_relay_disconnect_all (relay);
      relay->closed = true;
      return true;
    }
  socket = gr_listen (relay->address, &address, &ignored);
  if (socket == NULL)
    return false;
  g_free (address);
  start_service (relay, socket);
  g_object_unref (socket);
  relay->closed = false;
  return true;
}

void
gr_relay_set_hold (struct gr_relay *relay, bool hold)
{
  relay->hold = hold;
}

static bool
control (JsonObject *body, void *context)
{
  struct gr_relay *relay = context;
  const char *side = gr_json_peek_string (body, "half_close");
  bool closed = relay->closed;
  bool cut = false;

  if (!gr_json_get_bool (body, "drop", relay->drop, &relay->drop)
      || !gr_json_get_bool (body, "drop_answers", relay->drop_answers,
                            &relay->drop_answers)
      || !gr_json_get_bool (body, "hold", relay->hold, &relay->hold)
      || !gr_json_get_bool (body, "refuse", relay->refuse, &relay->refuse)
      || !gr_json_get_bool (body, "cut", false, &cut)
      || !gr_json_get_bool (body, "closed", relay->closed, &closed)
      || !gr_json_get_int (body, "delay_ms", 0, 600000, relay->delay_ms,
                           &relay->delay_ms))
    return false;
  if (cut)
    gr_relay_disconnect_all (relay);
  if (!gr_relay_set_closed (relay, closed))
    return false;
  return side == NULL || half_close (relay, side);
}

static void
describe (JsonObject *answer, void *context)
{
  const struct gr_relay *relay = context;

  json_object_set_string_member (answer, "target", relay->target);
  json_object_set_int_member (answer, "connections",
                              g_hash_table_size (relay->links));
  json_object_set_int_member (answer, "relayed_bytes", relay->relayed_bytes);
  json_object_set_int_member (answer, "dropped_bytes", relay->dropped_bytes);
}

static void
apply (struct gr_standin_call *call, void *context)
{
  (void)context;
  gr_standin_reply (call, 404, NULL);
}

static const struct gr_standin_ops ops = {
  .apply = apply,
  .describe = describe,
  .control = control,
};

/* The host that the relay listens on, with a port of the system's choice, so
 * that a target can tell relays apart. */
static GSocketAddress *
source_address (GSocket *socket)
{
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (socket, NULL);

  return g_inet_socket_address_new (
      g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (local)), 0);
}

struct gr_relay *
gr_relay_create (const char *listen,
                 const char *target,
                 const char *control_listen,
                 struct gr_error *error)
{
  struct gr_relay *relay = g_new0 (struct gr_relay, 1);
  GSocket *socket = NULL;

  relay->target = g_strdup (target);
  relay->links = g_hash_table_new (NULL, NULL);
  relay->base = gr_standin_create (control_listen, &ops, relay, error);
  if (relay->base != NULL)
    socket = gr_listen (listen, &relay->address, error);
  if (socket == NULL)
    {
      gr_relay_destroy (relay);
      return NULL;
    }
  relay->source = source_address (socket);
  start_service (relay, socket);
  g_object_unref (socket);
  return relay;
}

void
gr_relay_destroy (struct gr_relay *relay)
{
  if (relay == NULL)
    return;
  stop_service (relay);
  gr_relay_disconnect_all (relay);
  g_hash_table_destroy (relay->links);
  gr_standin_destroy (relay->base);
  g_clear_object (&relay->source);
  g_free (relay->address);
  g_free (relay->target);
  g_free (relay);
}

const char *
gr_relay_address (const struct gr_relay *relay)
{
  return relay->address;
}

struct gr_standin *
gr_relay_base (struct gr_relay *relay)
{
  return relay->base;
}
