/* One instance on the users' platform. Serves clients and, while it is the
 * owner, runs the scheduling. */
#pragma once

#include "common/error.h"
#include "settings/document.h"

struct gr_instance;

/* Starts an instance. settings must outlive it. Returns NULL and sets error if
 * it cannot listen on one of its addresses. */
struct gr_instance *
gr_instance_create (const struct gr_instance_settings *settings,
                    struct gr_error *error);
void gr_instance_destroy (struct gr_instance *instance);

/* Starts a graceful shutdown. stopped is called once, when all client
 * connections are closed or just before the grace period ends. Further calls
 * have no effect. */
void gr_instance_stop (struct gr_instance *instance,
                       void (*stopped) (void *context),
                       void *context);
