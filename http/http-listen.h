/* Listening sockets of HTTP servers and other services. */
#pragma once

#include "common/error.h"

#include <libsoup/soup.h>
#include <stdbool.h>

/* A listening socket on "IP:PORT", and the address that it listens on, to be
 * freed with g_free (). NULL and error on failure. */
GSocket *
gr_listen (const char *listen, char **effective, struct gr_error *error);

/* libsoup 3.2.3 keeps connections open after a request only while it has a
 * socket to listen on itself. This gives it one that nothing can reach. */
bool gr_http_keep_connections (SoupServer *soup, struct gr_error *error);
