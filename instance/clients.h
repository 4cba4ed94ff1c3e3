/* HTTP interface for the clients of the users' platform: hand in a job, ask
 * for its state, cancel it, count the pending ones. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "instance/config-view.h"
#include "instance/mirror.h"
#include "settings/document.h"

struct gr_clients;

struct gr_clients_parts
{
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  struct gr_config_view *config;
  const struct gr_clock *clock;
  struct gr_counters *counters;
  const struct gr_instance_settings *settings;
};

/* NULL and error if the address cannot be listened on. */
struct gr_clients *gr_clients_create (const struct gr_clients_parts *parts,
                                      struct gr_error *error);
void gr_clients_destroy (struct gr_clients *clients);

/* The configuration is known and fresh enough to serve calls. */
bool gr_clients_ready (const struct gr_clients *clients);

/* Takes over the limits of the configuration. */
void gr_clients_config_changed (struct gr_clients *clients);

/* For a planned stop: no more connections; open requests are answered. */
void gr_clients_stop_accepting (struct gr_clients *clients);
bool gr_clients_is_idle (const struct gr_clients *clients);
