/* One call of a client, from its request to its answer. */
#pragma once

#include "instance/clients.h"

#include <libsoup/soup.h>

/* Answers message, at once or later. fresh: the configuration is known and not
 * too old. */
void gr_call_handle (const struct gr_clients_parts *parts,
                     SoupServerMessage *message,
                     const char *path,
                     bool fresh);
