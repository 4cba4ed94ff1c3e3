/* Stand-in of a worker of the users' platform: runs tasks while its lease is
 * valid and reports running and ended runs. The payload of a task controls the
 * run: "run_ms=500" sets the run time in ms (default 200), and "fail" makes the
 * run end as failed. */
#pragma once

#include "standins/metastore.h"

struct gr_platform_worker;

/* Starts a worker on a free loopback port. number gives its id and rack.
 * options->done must be set and outlive the worker. Returns NULL and sets error
 * if no address can be listened on. */
struct gr_platform_worker *
gr_platform_worker_create (uint32_t number,
                           const struct gr_standin_platform_options *options,
                           struct gr_error *error);
void gr_platform_worker_destroy (struct gr_platform_worker *worker);

/* The results of these two are owned by the worker. */
struct gr_standin *gr_platform_worker_base (struct gr_platform_worker *worker);
const char *gr_platform_worker_id (const struct gr_platform_worker *worker);

/* Returns the worker's value in the registry as JSON text; free it with
 * g_free (). sequence is the number of the heartbeat. */
char *gr_platform_worker_registration (const struct gr_platform_worker *worker,
                                       uint64_t sequence);

/* Adds the running tasks to the set tasks and returns how many it contained
 * already. The strings in the set are owned by the worker. */
uint32_t
gr_platform_worker_add_running (const struct gr_platform_worker *worker,
                                GHashTable *tasks);

/* Returns how often a task has been started on this worker. */
uint32_t gr_platform_worker_starts (const struct gr_platform_worker *worker,
                                    const char *task);

/* Returns how many runs of a task are running on this worker. */
uint32_t gr_platform_worker_running (const struct gr_platform_worker *worker,
                                     const char *task);
