/* Who owns the scheduling: one instance at a time, by a record under a lease
 * of the store. */
#pragma once

#include "common/clock.h"
#include "instance/mirror.h"

/* An owner that cannot reach the store goes on for so long after its lease; a
 * successor waits so long for runs on workers that it cannot reach. */
#define GR_OWNER_ISOLATION_MS 9000

struct gr_ownership;

struct gr_ownership_events
{
  /* This instance is the owner now, with this epoch; revision is that of the
   * owner's record, a condition of each write. */
  void (*acquired) (int64_t epoch, int64_t revision, void *context);
  void (*lost) (const char *reason, void *context);
  void *context;
};

/* cores is the processor time of the instance. */
struct gr_ownership *
gr_ownership_create (struct gr_metastore *store,
                     struct gr_mirror *mirror,
                     const struct gr_clock *clock,
                     const char *instance,
                     double cores,
                     const struct gr_ownership_events *events);
void gr_ownership_destroy (struct gr_ownership *ownership);

/* To be called when the owner's record or the mirror has changed. */
void gr_ownership_check (struct gr_ownership *ownership);

bool gr_ownership_is_owner (const struct gr_ownership *ownership);

/* Gives the ownership up: the record is removed, so that another instance
 * follows at once. */
void gr_ownership_resign (struct gr_ownership *ownership, const char *reason);

/* Does not try to become owner any more, for a planned stop. */
void gr_ownership_stop (struct gr_ownership *ownership);
