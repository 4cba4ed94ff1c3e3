#include "http/http-listen.h"

#include <fcntl.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

static GSocketAddress *
parse_address (const char *text)
{
  GSocketConnectable *target = g_network_address_parse (text, 0, NULL);
  GSocketAddress *address = NULL;

  if (target != NULL)
    address = g_inet_socket_address_new_from_string (
        g_network_address_get_hostname (G_NETWORK_ADDRESS (target)),
        g_network_address_get_port (G_NETWORK_ADDRESS (target)));
  g_clear_object (&target);
  return address;
}

GSocket *
gr_listen (const char *listen, char **bound_address, struct gr_error *error)
{
  GSocketAddress *address = parse_address (listen);
  GSocketAddress *local = NULL;
  GSocket *socket = NULL;
  GError *failure = NULL;

  if (address == NULL)
    {
      gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                    "\"%s\" is not an IP address and port", listen);
      return NULL;
    }
  socket = g_socket_new (g_socket_address_get_family (address),
                         G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &failure);
  if (socket != NULL)
    {
      g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
      if (g_socket_bind (socket, address, TRUE, &failure)
          && g_socket_listen (socket, &failure))
        local = g_socket_get_local_address (socket, &failure);
    }
  g_object_unref (address);
  if (local == NULL)
    {
      gr_error_set (error, GR_ERROR_IO, "cannot listen on %s: %s", listen,
                    failure->message);
      g_error_free (failure);
      g_clear_object (&socket);
      return NULL;
    }
  *bound_address =
      g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (local));
  g_object_unref (local);
  return socket;
}

/* Replaces the descriptor of socket by that of an unbound UDP socket, which
 * never becomes readable. */
static bool
make_unreadable (GSocket *socket)
{
  GSocket *unbound = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                                   G_SOCKET_PROTOCOL_UDP, NULL);
  bool replaced =
      unbound != NULL
      && dup3 (g_socket_get_fd (unbound), g_socket_get_fd (socket), O_CLOEXEC)
             >= 0;

  g_clear_object (&unbound);
  return replaced;
}

bool
gr_http_enable_keep_alive (SoupServer *soup, struct gr_error *error)
{
  char *address = NULL;
  GSocket *socket = gr_listen ("127.0.0.1:0", &address, error);
  bool listening = socket != NULL
                   && soup_server_listen_socket (
                       soup, socket, (SoupServerListenOptions)0, NULL);

  /* libsoup refuses sockets that do not listen, so the descriptor is replaced
   * after the call. */
  if (listening)
    listening = make_unreadable (socket);
  g_free (address);
  g_clear_object (&socket);
  return listening
         || gr_error_set (error, GR_ERROR_IO, "cannot set up the HTTP server");
}
