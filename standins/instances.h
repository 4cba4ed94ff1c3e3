/* Stand-in of the platform's instance list. */
#pragma once

#include "standins/base.h"

struct gr_standin_instances;

/* Starts an empty list on listen ("IP:PORT"). Returns NULL and sets error if
 * the address cannot be listened on. */
struct gr_standin_instances *
gr_standin_instances_create (const char *listen, struct gr_error *error);

/* instances may be NULL. */
void gr_standin_instances_destroy (struct gr_standin_instances *instances);

/* Returns the HTTP part of the stand-in, owned by instances. */
struct gr_standin *
gr_standin_instances_base (struct gr_standin_instances *instances);

/* Sets the delay after which a change becomes visible in the list. It also
 * applies to changes that are not visible yet. */
void gr_standin_instances_set_lag (struct gr_standin_instances *instances,
                                   int64_t lag_ms);
