/* Stand-in of the platform's instance list. */
#pragma once

#include "standins/base.h"

struct gr_standin_instances;

struct gr_standin_instances *
gr_standin_instances_create (const char *listen, struct gr_error *error);
void gr_standin_instances_destroy (struct gr_standin_instances *instances);
struct gr_standin *
gr_standin_instances_base (struct gr_standin_instances *instances);

/* Changes are shown in the list that much later. */
void gr_standin_instances_set_lag (struct gr_standin_instances *instances,
                                   int64_t lag_ms);
