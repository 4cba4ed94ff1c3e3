/* Stand-in of a worker of the users' platform: runs tasks under a lease and
 * lists what runs and what has ended. The payload of a task says what it does:
 * "run_ms=500" (default 200), "fail" to end as failed. */
#pragma once

#include "standins/metastore.h"

struct gr_platform_worker;

struct gr_platform_worker *
gr_platform_worker_create (uint32_t number,
                           const struct gr_standin_platform_options *options,
                           struct gr_error *error);
void gr_platform_worker_destroy (struct gr_platform_worker *worker);

struct gr_standin *gr_platform_worker_base (struct gr_platform_worker *worker);
const char *gr_platform_worker_id (const struct gr_platform_worker *worker);
/* Its entry in the registry as JSON text, to be freed with g_free (). */
char *gr_platform_worker_entry (const struct gr_platform_worker *worker,
                                uint64_t sequence);

/* Adds the tasks that run to seen; returns how many were there already. */
uint32_t
gr_platform_worker_add_running (const struct gr_platform_worker *worker,
                                GHashTable *seen);
uint32_t gr_platform_worker_starts (const struct gr_platform_worker *worker,
                                    const char *task);
uint32_t gr_platform_worker_running (const struct gr_platform_worker *worker,
                                     const char *task);
