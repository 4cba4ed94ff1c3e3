/* Stand-in of a worker. */
#pragma once

#include "common/report.h"
#include "standins/base.h"

struct gr_standin_worker;

struct gr_standin_worker_settings
{
  const char *name;
  const char *rack;
  uint32_t rack_slot;
  const char *data_centre;
  uint32_t accelerators;
  uint32_t cores;
  uint64_t memory_mb;
  const char *instances_url; /* instance list to register in, or NULL */
};

/* Starts a worker on listen ("IP:PORT"). The settings are copied. Returns NULL
 * and sets error if the address cannot be listened on. */
struct gr_standin_worker *
gr_standin_worker_create (const char *listen,
                          const struct gr_standin_worker_settings *settings,
                          struct gr_error *error);

/* worker may be NULL. */
void gr_standin_worker_destroy (struct gr_standin_worker *worker);

/* Returns the HTTP part of the stand-in, owned by the worker. */
struct gr_standin *gr_standin_worker_base (struct gr_standin_worker *worker);

/* Returns how often a task has been started. */
uint32_t gr_standin_worker_starts (const struct gr_standin_worker *worker,
                                   const char *task);
