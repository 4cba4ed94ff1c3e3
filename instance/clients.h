/* HTTP interface for the clients of the users' platform: submits and cancels
 * jobs, reports a job's state and the number of pending jobs of a queue. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "instance/config-view.h"
#include "instance/mirror.h"
#include "settings/document.h"

struct gr_clients;

/* What the interface uses. Not owned, and must outlive it. */
struct gr_clients_deps
{
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  struct gr_config_view *config;
  const struct gr_clock *clock;
  struct gr_counters *counters;
  const struct gr_instance_settings *settings;
};

/* Starts to listen for clients. Returns NULL and sets error if it cannot
 * listen on the address. */
struct gr_clients *gr_clients_create (const struct gr_clients_deps *deps,
                                      struct gr_error *error);
void gr_clients_destroy (struct gr_clients *clients);

/* Returns true if the configuration is known and recent enough, and the mirror
 * is loaded, so that calls can be served. */
bool gr_clients_ready (const struct gr_clients *clients);

/* Applies the limits of the current configuration. */
void gr_clients_config_changed (struct gr_clients *clients);

/* For a graceful shutdown: accepts no more connections; requests in flight are
 * still answered. */
void gr_clients_stop_accepting (struct gr_clients *clients);
/* Returns true if no client connection is left. */
bool gr_clients_is_idle (const struct gr_clients *clients);
