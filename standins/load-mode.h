/* Command line of the load tool. */
#pragma once

#include "common/error.h"

struct gr_load_mode;

struct gr_load_mode *gr_load_mode_create (void);

/* mode may be NULL. */
void gr_load_mode_destroy (struct gr_load_mode *mode);

/* Returns the command line options, to be parsed before gr_load_mode_start ().
 * The caller owns the group; mode must outlive the parsing. */
GOptionGroup *gr_load_mode_options (struct gr_load_mode *mode);

/* Starts the load. If instances_url is not NULL, the executors and workers in
 * that instance list are queried at the end for what they have run. Calls done
 * with the number of violations, see gr_load_create (). Returns false and sets
 * error if an option is invalid or the load cannot start. */
bool gr_load_mode_start (struct gr_load_mode *mode,
                         const char *instances_url,
                         void (*done) (uint32_t violations, void *context),
                         void *context,
                         struct gr_error *error);
