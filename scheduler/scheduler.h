/* The scheduler process: competes for every shard in the platform settings and
 * runs the shards that it owns; also handles membership, settings and the RPC
 * server. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "settings/document.h"

struct gr_scheduler;

/* Starts everything on the default GMainContext. Returns NULL and sets error
 * if the RPC address cannot be bound. stopped is called once, when a stop that
 * was requested with gr_scheduler_stop () has finished. settings is copied
 * where needed; clock and counters are not owned and must outlive the
 * scheduler. */
struct gr_scheduler *
gr_scheduler_create (const struct gr_process_settings *settings,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     void (*stopped) (void *context),
                     void *context,
                     struct gr_error *error);

/* Stops immediately without releasing any shard, as in a crash: owner keys
 * remain until their leases expire. */
void gr_scheduler_destroy (struct gr_scheduler *scheduler);

/* Graceful stop: releases all shards so that other schedulers can acquire them.
 * Takes at most GR_SCHEDULER_STOP_TIMEOUT_MS. */
void gr_scheduler_stop (struct gr_scheduler *scheduler);

#define GR_SCHEDULER_STOP_TIMEOUT_MS 12000

/* NULL if this scheduler is ready to own shards, otherwise the reason why it
 * is not. */
const char *
gr_scheduler_not_ready_reason (const struct gr_scheduler *scheduler);

/* The bound RPC address; owned by the scheduler. */
const char *gr_scheduler_address (const struct gr_scheduler *scheduler);
