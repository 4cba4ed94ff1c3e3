/* The entry process: serves clients and operators over HTTP, routes requests
 * to executors, enforces rate limits and replicates shared settings. Runs on
 * the default GMainContext. */
#pragma once

#include "common/error.h"
#include "settings/document.h"

struct gr_entry;

/* Starts the HTTP and RPC servers, member discovery and the settings reader.
 * settings must outlive the entry. Returns NULL and sets error if the
 * certificate cannot be loaded or an address cannot be bound. Free with
 * gr_entry_destroy (). */
struct gr_entry *gr_entry_create (const struct gr_process_settings *settings,
                                  struct gr_error *error);

/* Stops immediately; requests in flight lose their connection. entry may be
 * NULL. */
void gr_entry_destroy (struct gr_entry *entry);

/* Begins a graceful shutdown. Reports "not ready" immediately, so that the
 * load balancer stops sending requests; later stops accepting connections;
 * calls the on_stopped callback once every request in flight has been
 * answered. Further calls have no effect. */
void gr_entry_stop (struct gr_entry *entry);

/* Sets the callback that runs once when a graceful shutdown is complete,
 * including a shutdown requested with POST /v1/drain. */
void gr_entry_on_stopped (struct gr_entry *entry,
                          void (*on_stopped) (void *context),
                          void *context);

/* "IP:PORT" with the port that was actually bound; owned by the entry. */
const char *gr_entry_http_address (const struct gr_entry *entry);
const char *gr_entry_rpc_address (const struct gr_entry *entry);
