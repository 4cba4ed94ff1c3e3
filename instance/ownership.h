/* Elects the owner of the scheduling: one instance at a time, which holds a
 * record in the store under a lease. */
#pragma once

#include "common/clock.h"
#include "instance/mirror.h"

struct gr_ownership;

struct gr_ownership_events
{
  /* This instance has become the owner, with this epoch. revision is that of
   * the owner's record, a condition of each write. */
  void (*acquired) (int64_t epoch, int64_t revision, void *context);
  /* This instance is not the owner any more. reason is a text for the log. */
  void (*lost) (const char *reason, void *context);
  void *context;
};

/* mirror and clock must outlive it. The main loop must not run between its
 * destruction and that of the store, which ends the calls in flight. process
 * names this process in the record of the epoch (see gr_epoch_process ()); it
 * may be NULL, and must be bound to its address before the main loop runs.
 * cores is the processor time that the instance may use; an instance with less
 * of it contends later. */
struct gr_ownership *
gr_ownership_create (struct gr_metastore *store,
                     struct gr_mirror *mirror,
                     const struct gr_clock *clock,
                     const char *instance,
                     const char *process,
                     double cores,
                     const struct gr_ownership_events *events);
void gr_ownership_destroy (struct gr_ownership *ownership);

/* Contends for the ownership if there is no owner, or gives it up if another
 * instance has it. To be called when the owner's record or the mirror has
 * changed. */
void gr_ownership_check (struct gr_ownership *ownership);

bool gr_ownership_is_owner (const struct gr_ownership *ownership);

/* Returns the time (of clock, in ms) until which the lease on the owner's
 * record holds, by the last renewal that was answered. */
int64_t gr_ownership_lease_until_ms (const struct gr_ownership *ownership);
/* Gives up the ownership. The lease is ended, which removes the record, so
 * that another instance can take over at once. */
void gr_ownership_resign (struct gr_ownership *ownership, const char *reason);

/* For a graceful shutdown: gives up the ownership and no longer contends for
 * it. */
void gr_ownership_stop (struct gr_ownership *ownership);
