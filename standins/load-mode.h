/* Command line of the load tool. */
#pragma once

#include "common/error.h"

struct gr_load_mode;

struct gr_load_mode *gr_load_mode_create (void);
void gr_load_mode_destroy (struct gr_load_mode *mode);

/* The options of the mode, to be parsed before the start. Owned by the
 * caller. */
GOptionGroup *gr_load_mode_options (struct gr_load_mode *mode);

/* With an instance list, its executors and workers are asked what has run.
 * done gets the number of statements
 * to callers that were not true. */
bool gr_load_mode_start (struct gr_load_mode *mode,
                         const char *instances_url,
                         void (*done) (uint32_t violations, void *context),
                         void *context,
                         struct gr_error *error);
