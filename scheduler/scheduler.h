/* The scheduler process: candidates for every shard of the platform settings,
 * the shards that it owns, membership, settings and the RPC server. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "settings/document.h"

struct gr_scheduler;

/* Starts everything on the default GMainContext. Returns NULL and error if the
 * RPC address cannot be bound. stopped is called once when gr_scheduler_stop ()
 * has come to its end. settings is copied where needed; clock and counters are
 * not owned. */
struct gr_scheduler *
gr_scheduler_create (const struct gr_process_settings *settings,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     void (*stopped) (void *context),
                     void *context,
                     struct gr_error *error);

/* Stops at once, as a crash would: owner keys stay until their leases expire.
 */
void gr_scheduler_destroy (struct gr_scheduler *scheduler);

/* Planned stop: gives all shards to other schedulers. Limited to
 * GR_SCHEDULER_STOP_MS. */
void gr_scheduler_stop (struct gr_scheduler *scheduler);

#define GR_SCHEDULER_STOP_MS 12000

/* NULL if this scheduler is ready to own shards, else why it is not. */
const char *gr_scheduler_not_ready (const struct gr_scheduler *scheduler);

/* The bound RPC address; owned by the scheduler. */
const char *gr_scheduler_address (const struct gr_scheduler *scheduler);
