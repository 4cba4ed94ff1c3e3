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
  const char *instances_url; /* NULL: not registered */
};

struct gr_standin_worker *
gr_standin_worker_create (const char *listen,
                          const struct gr_standin_worker_settings *settings,
                          struct gr_error *error);
void gr_standin_worker_destroy (struct gr_standin_worker *worker);
struct gr_standin *gr_standin_worker_base (struct gr_standin_worker *worker);

/* Starts so far of a task. */
uint32_t gr_standin_worker_starts (const struct gr_standin_worker *worker,
                                   const char *task);
