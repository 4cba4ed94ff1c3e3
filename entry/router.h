/* Dispatches HTTP requests to the handlers of the resources. */
#pragma once

#include "entry/internal.h"

/* Request handler for gr_http_server_create (); context is the struct
 * gr_entry. */
void gr_router_handle (SoupServerMessage *message,
                       const char *path,
                       GHashTable *query,
                       void *context);
