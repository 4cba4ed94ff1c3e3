/* Stand-in of the users' platform in one process: the metadata store, and
 * workers that run tasks and register themselves in the store. */
#pragma once

#include "standins/base.h"

struct gr_standin_platform;

/* Interval at which a worker that is a process of its own writes its entry. */
#define GR_STANDIN_HEARTBEAT_MS 1500

struct gr_standin_platform_settings
{
  const char *listen;    /* address of the store, "IP:PORT" */
  uint32_t workers;      /* in the process of the store */
  uint32_t per_rack;     /* workers in a rack */
  uint32_t accelerators; /* of each worker */
  uint32_t cores;        /* of each worker */
  uint32_t memory_mb;    /* of each worker */

  /* task -> number of runs with outcome "done". Set by the stand-in; callers
   * leave it NULL. */
  GHashTable *done;
};

/* Starts the store and the workers. The settings are copied. Returns NULL and
 * sets error if an address cannot be listened on. */
struct gr_standin_platform *
gr_standin_platform_create (const struct gr_standin_platform_settings *settings,
                            struct gr_error *error);

/* platform may be NULL. */
void gr_standin_platform_destroy (struct gr_standin_platform *platform);

/* Returns the HTTP part of the store, owned by the platform. */
struct gr_standin *gr_standin_platform_base (struct gr_standin_platform *);

/* Returns the HTTP part of a worker, to inject faults. Owned by the platform.
 * number counts from 0. */
struct gr_standin *
gr_standin_platform_worker (struct gr_standin_platform *platform,
                            uint32_t number);

/* Restarts a worker under its id; the registry shows it with the next
 * heartbeat. Returns the start of the new process, in Unix milliseconds. */
int64_t
gr_standin_platform_restart_worker (struct gr_standin_platform *platform,
                                    uint32_t number);

/* Returns how long the lease of a worker still lasts, in ms. */
int64_t
gr_standin_platform_worker_lease_ms (struct gr_standin_platform *platform,
                                     uint32_t number);

/* Writes a key with a text value, as the operator or a worker does. */
void gr_standin_platform_put (struct gr_standin_platform *platform,
                              const char *key,
                              const char *text);

/* Removes a key and discards the history, so that watches do not report the
 * removal but fail. */
void
gr_standin_platform_remove_and_forget (struct gr_standin_platform *platform,
                                       const char *key);

/* Lets all watches that wait now get no response, with open connections. */
void gr_standin_platform_silence_watches (struct gr_standin_platform *platform);
uint32_t gr_standin_platform_waiting_watches (
    const struct gr_standin_platform *platform);

/* Returns how often a task has been started, on all workers together. */
uint32_t gr_standin_platform_starts (struct gr_standin_platform *platform,
                                     const char *task);

/* Returns how many runs of a task are running now, on all workers together. It
 * must be at most 1: a task must never run twice at the same time. */
uint32_t gr_standin_platform_running (struct gr_standin_platform *platform,
                                      const char *task);
