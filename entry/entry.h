/* The entry process: HTTP for callers and operators, routing of requests,
 * limits, shared settings. Runs on the default GMainContext. */
#pragma once

#include "common/error.h"
#include "settings/document.h"

struct gr_entry;

/* Starts to listen and to look for other members. settings must outlive the
 * entry. NULL and error on failure. */
struct gr_entry *gr_entry_create (const struct gr_process_settings *settings,
                                  struct gr_error *error);

/* Ends at once: requests in flight lose their connection. */
void gr_entry_destroy (struct gr_entry *entry);

/* Planned stop: not ready at once, so that the balancer sends nothing more;
 * then no new connections; stopped is called when all that was in flight is
 * answered. Further calls change nothing. */
void gr_entry_stop (struct gr_entry *entry);

/* stopped is called once at the end of a planned stop, also of one that was
 * asked for over HTTP. */
void gr_entry_on_stopped (struct gr_entry *entry,
                          void (*stopped) (void *context),
                          void *context);

/* "IP:PORT" with the real port; owned by the entry. */
const char *gr_entry_http_address (const struct gr_entry *entry);
const char *gr_entry_rpc_address (const struct gr_entry *entry);
