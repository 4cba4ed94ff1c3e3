/* Listening sockets of HTTP servers and other services. */
#pragma once

#include "common/error.h"

#include <libsoup/soup.h>
#include <stdbool.h>

/* Returns a socket that listens on listen ("IP:PORT", port 0 for a free one),
 * and stores its address in *bound_address, to be freed with g_free (). Returns
 * NULL and sets error on failure. */
GSocket *
gr_listen (const char *listen, char **bound_address, struct gr_error *error);

/* Makes soup keep connections open after a request. libsoup 3.2.3 does so only
 * while it has a listening socket of its own, so this gives it one to which no
 * client can connect. Returns false and sets error on failure. */
bool gr_http_enable_keep_alive (SoupServer *soup, struct gr_error *error);
