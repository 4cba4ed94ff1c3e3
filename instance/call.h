/* One call of a client, from its request to its response. */
#pragma once

#include "instance/clients.h"

#include <libsoup/soup.h>

/* Handles a client's call and responds to message, either before it returns or
 * later. deps must outlive the call. config_current: the configuration is
 * known and recent enough; otherwise the call is refused with status 503. */
void gr_call_handle (const struct gr_clients_deps *deps,
                     SoupServerMessage *message,
                     const char *path,
                     bool config_current);
