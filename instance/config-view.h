/* This instance's copy of the cluster configuration, and of the upkeep waves
 * and evacuations that the operator requests, kept up to date by a watch. Also
 * tracks how old the copy can be and whether the store answers. */
#pragma once

#include "common/clock.h"
#include "instance/evacuations.h"
#include "platform/config.h"
#include "platform/machines.h"
#include "platform/metastore.h"

struct gr_config_view;

/* Starts to read and watch the configuration. changed is called after each
 * change of the configuration, a wave or an evacuation. clock must outlive the
 * view. The store must be destroyed before the view, which ends the call in
 * flight. */
struct gr_config_view *gr_config_view_create (struct gr_metastore *store,
                                              const struct gr_clock *clock,
                                              void (*changed) (void *context),
                                              void *context);
void gr_config_view_destroy (struct gr_config_view *view);

/* Returns the current configuration, valid until the next change; NULL until
 * it was read once. */
const struct gr_cluster_config *
gr_config_view_get (const struct gr_config_view *view);

/* Returns the last time (of clock, in ms) at which the copy was known to be the
 * newest configuration; 0 if it is unknown. */
int64_t gr_config_view_current_ms (const struct gr_config_view *view);

/* Returns since when (time of clock, in ms) the store has answered every call
 * without a failure; INT64_MAX while it does not answer. */
int64_t gr_config_view_store_up_since_ms (const struct gr_config_view *view);

/* Calls visit for each upkeep wave that the operator requests. */
void gr_config_view_each_wave (const struct gr_config_view *view,
                               void (*visit) (const struct gr_wave_spec *wave,
                                              void *context),
                               void *context);

/* Returns the evacuated data centres, owned by the view. */
const struct gr_evacuations *
gr_config_view_evacuations (const struct gr_config_view *view);

/* Returns the last time (of clock, in ms) at which all requests to evacuate a
 * data centre, and their deletions, were known; 0 if there is none. */
int64_t
gr_config_view_evacuations_current_ms (const struct gr_config_view *view);

/* Returns true if the last call to the store failed, and a call that was sent
 * at since_ms (time of clock) or later has failed. */
bool gr_config_view_store_failed_since (const struct gr_config_view *view,
                                        int64_t since_ms);

/* Reads everything now instead of waiting for the watch. */
void gr_config_view_refresh (struct gr_config_view *view);

/* Applies an item that was read from the store at current_ms: a newer
 * configuration, a wave or an evacuation. Other items, and those that are older
 * than what is known, are ignored. */
void gr_config_view_apply (struct gr_config_view *view,
                           const struct gr_metastore_item *item,
                           int64_t current_ms);
/* Records that the copy was still the newest configuration at current_ms. */
void gr_config_view_confirm (struct gr_config_view *view, int64_t current_ms);
