/* Stand-in of a worker of the users' platform: runs tasks while its lease is
 * valid and reports running and ended runs. The payload of a task controls the
 * run: "run_ms=500" sets the run time in ms (default 200), "fail" makes the run
 * end as failed, and "crash_ms=10" crashes the worker 10 ms after the start. A
 * worker that has crashed refuses connections for 3 s and then returns, at the
 * same address, as a new incarnation without runs. Three racks in turn are in
 * the data centres dc1, dc2 and dc3. Each worker has the labels "a", that of
 * its rack and "nNUMBER". A reply lists 500 ends at most. The clock of each
 * process starts anew, and no lease lasts longer than 10 s. */
#pragma once

#include "standins/metastore.h"

struct gr_platform_worker;

/* Starts a worker on a free loopback port. Its id and rack follow from number.
 * settings->done must be set and outlive the worker. Returns NULL and sets
 * error if no address can be listened on. */
struct gr_platform_worker *
gr_platform_worker_create (uint32_t number,
                           const struct gr_standin_platform_settings *settings,
                           struct gr_error *error);
void gr_platform_worker_destroy (struct gr_platform_worker *worker);

/* A worker that is a process of its own. */
struct gr_platform_worker_process
{
  const char *id;
  const char *listen;     /* "IP:PORT" */
  const char *advertised; /* address in its entry, such as that of a relay */
  /* Called with "start", "end", "noted" (an end that was acknowledged) and,
   * without a task, "lapse" (of the lease) and "shortened" (a lease was asked
   * for that is longer than the limit). */
  void (*event) (const char *event,
                 int64_t at_us, /* of the monotonic clock */
                 const char *task,
                 int64_t run,
                 const char *how,
                 void *context);
  void *context;
};

/* The strings of process must outlive the worker. */
struct gr_platform_worker *gr_platform_worker_create_process (
    uint32_t number,
    const struct gr_standin_platform_settings *settings,
    const struct gr_platform_worker_process *process,
    struct gr_error *error);

/* Its entry says from now on that it is draining. */
void gr_platform_worker_drain (struct gr_platform_worker *worker);

/* Ends the worker's process and starts a new one at the same address and under
 * the same id. Returns the start of the new one, in Unix milliseconds. */
int64_t gr_platform_worker_restart (struct gr_platform_worker *worker);

/* Returns the HTTP part of the stand-in, owned by the worker; NULL while it is
 * down after a crash. */
struct gr_standin *gr_platform_worker_base (struct gr_platform_worker *worker);

/* Returns the id of the worker, owned by the worker. */
const char *gr_platform_worker_id (const struct gr_platform_worker *worker);

/* Returns the worker's value in the registry as JSON text; free it with
 * g_free (). sequence is the number of the heartbeat. */
char *
gr_platform_worker_registry_value (const struct gr_platform_worker *worker,
                                   uint64_t sequence);

/* Returns the data centre of the worker, owned by the worker. */
const char *
gr_platform_worker_data_centre (const struct gr_platform_worker *worker);

/* Returns the number of active runs that were started after this time, in ms of
 * the monotonic clock. */
uint32_t
gr_platform_worker_started_after (const struct gr_platform_worker *worker,
                                  int64_t after_ms);

/* Adds the running tasks to the set tasks. Returns how many of them it already
 * contained. The strings in the set are owned by the worker. */
uint32_t
gr_platform_worker_add_running (const struct gr_platform_worker *worker,
                                GHashTable *tasks);

/* Returns how often a task has been started on this worker. */
uint32_t gr_platform_worker_starts (const struct gr_platform_worker *worker,
                                    const char *task);

/* Returns how many runs of a task are running on this worker. */
uint32_t gr_platform_worker_running (const struct gr_platform_worker *worker,
                                     const char *task);

/* Returns how long the worker's lease still lasts, in ms. */
int64_t gr_platform_worker_lease_ms (const struct gr_platform_worker *worker);
