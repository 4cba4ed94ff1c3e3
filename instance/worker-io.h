/* The owner's calls to the workers: sends the orders of the scheduling core,
 * polls the workers for their status, and extends the leases of their runs. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "instance/lateness.h"
#include "platform/worker-calls.h"
#include "steps/steps.h"

struct gr_worker_io;

struct gr_worker_io_events
{
  /* An answer has changed the state of the core, which should run soon. */
  void (*changed) (void *context);
  void *context;
};

/* steps, clock and counters must outlive the returned object. run_lease_ms is
 * the term to which each poll extends the leases of the worker's runs. */
struct gr_worker_io *
gr_worker_io_create (struct gr_steps *steps,
                     int64_t epoch,
                     uint32_t run_lease_ms,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     const struct gr_worker_io_events *events);
void gr_worker_io_destroy (struct gr_worker_io *io);

/* Adds a worker or changes its address (IP:PORT). */
void gr_worker_io_set_address (struct gr_worker_io *io,
                               const char *worker,
                               const char *address);
/* Stops calling the worker. Answers of calls in flight are ignored. */
void gr_worker_io_remove (struct gr_worker_io *io, const char *worker);

/* Reports how late the caller's timer fired. Earlier lateness decays
 * gradually. */
void gr_worker_io_update_loop_late (struct gr_worker_io *io,
                                    int64_t loop_late_ms);

const struct gr_lateness *gr_worker_io_lateness (const struct gr_worker_io *io);

/* Returns the traffic with all workers so far. */
struct gr_worker_traffic gr_worker_io_traffic (const struct gr_worker_io *io);

/* Sends the core's pending orders and the polls that are due. */
void gr_worker_io_run (struct gr_worker_io *io);
