/* One instance on the users' platform: serves clients, and owns the scheduling
 * if it is its turn. */
#pragma once

#include "common/error.h"
#include "settings/document.h"

struct gr_instance;

/* settings must outlive the instance. NULL and error if an address cannot be
 * listened on. */
struct gr_instance *
gr_instance_create (const struct gr_instance_settings *settings,
                    struct gr_error *error);
void gr_instance_destroy (struct gr_instance *instance);

/* Planned stop; stopped is called when nothing is left to do. */
void gr_instance_stop (struct gr_instance *instance,
                       void (*stopped) (void *context),
                       void *context);
