/* Calls of the owner to the workers: sends the core's orders, looks at what
 * runs, keeps the leases of runs alive. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "steps/steps.h"

struct gr_worker_io;

struct gr_worker_io_events
{
  /* An answer has changed the core; it should be run soon. */
  void (*changed) (void *context);
  void *context;
};

/* The core must outlive it. hold_ms is the lease that a look gives runs. */
struct gr_worker_io *
gr_worker_io_create (struct gr_steps *steps,
                     int64_t epoch,
                     uint32_t hold_ms,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     const struct gr_worker_io_events *events);
void gr_worker_io_destroy (struct gr_worker_io *io);

/* The worker is at this address (IP:PORT). */
void gr_worker_io_set (struct gr_worker_io *io,
                       const char *worker,
                       const char *address);
void gr_worker_io_remove (struct gr_worker_io *io, const char *worker);

/* The main loop was late by so much, as the caller's timer shows it. */
void gr_worker_io_set_late (struct gr_worker_io *io, int64_t late_ms);

int64_t gr_worker_io_late_ms (const struct gr_worker_io *io);

/* Sends what the core has ordered, and the looks that it needs. */
void gr_worker_io_run (struct gr_worker_io *io);
