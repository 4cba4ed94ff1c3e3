/* The table of HTTP resources. */
#pragma once

#include "entry/internal.h"

/* Handler of gr_http_server_create (); context is the entry. */
void gr_router_handle (SoupServerMessage *message,
                       const char *path,
                       GHashTable *query,
                       void *context);
