/* What the owner publishes in the store: for a successor the workers that may
 * have runs, whether the registry names them or not, and for the counts shown
 * to clients the jobs that have started. */
#pragma once

#include "instance/owner.h"
#include "instance/worker-io.h"

struct gr_handover;

struct gr_handover_events
{
  /* More workers can get work, because a list that names them is durable. */
  void (*durable) (void *context);
  void *context;
};

/* owner_revision is the revision of the owner's record, a condition of each
 * write. */
struct gr_handover *
gr_handover_create (const struct gr_owner_deps *deps,
                    struct gr_steps *steps,
                    struct gr_worker_io *io,
                    int64_t owner_revision,
                    const struct gr_handover_events *events);
void gr_handover_destroy (struct gr_handover *handover);

/* Passes the workers of the former owner's list to the core. */
void gr_handover_inherit (struct gr_handover *handover);

/* Sets the address of a worker, "IP:PORT", from its registry entry. */
void gr_handover_set_address (struct gr_handover *handover,
                              const char *worker,
                              const char *address);

/* Writes the lists if they have changed: soon if a worker waits for it,
 * otherwise periodically. */
void gr_handover_run (struct gr_handover *handover);
