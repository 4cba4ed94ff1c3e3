/* Stand-in of the users' platform: its metadata store and workers that run
 * tasks, in one process. Workers register themselves in the store. */
#pragma once

#include "standins/base.h"

struct gr_standin_platform;

struct gr_standin_platform_options
{
  const char *listen; /* of the store, IP:PORT */
  uint32_t workers;
  uint32_t per_rack;
  uint32_t accelerators; /* of each worker */
  uint32_t cores;
  uint32_t memory_mb;
  GHashTable
      *done; /* task -> times that it ended as done; set by the stand-in */
};

/* NULL and error if an address cannot be listened on. */
struct gr_standin_platform *
gr_standin_platform_create (const struct gr_standin_platform_options *options,
                            struct gr_error *error);
void gr_standin_platform_destroy (struct gr_standin_platform *platform);
struct gr_standin *gr_standin_platform_base (struct gr_standin_platform *);

/* Of a worker by its number, for faults. */
struct gr_standin *
gr_standin_platform_worker (struct gr_standin_platform *platform,
                            uint32_t number);

/* Writes a key as the operator or a worker does. */
void gr_standin_platform_put (struct gr_standin_platform *platform,
                              const char *key,
                              const char *text);

/* Starts of a task so far, and how many of its runs are alive at this time;
 * for checks of "runs once". */
uint32_t gr_standin_platform_starts (struct gr_standin_platform *platform,
                                     const char *task);
uint32_t gr_standin_platform_running (struct gr_standin_platform *platform,
                                      const char *task);
