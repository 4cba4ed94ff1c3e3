/* The cluster's configuration as this instance knows it, and how old that
 * knowledge can be. */
#pragma once

#include "common/clock.h"
#include "platform/config.h"
#include "platform/machines.h"
#include "platform/metastore.h"

struct gr_config_view;

struct gr_config_view *gr_config_view_create (struct gr_metastore *store,
                                              const struct gr_clock *clock,
                                              void (*changed) (void *context),
                                              void *context);
void gr_config_view_destroy (struct gr_config_view *view);

/* NULL until the first one was read. */
const struct gr_cluster_config *
gr_config_view_get (const struct gr_config_view *view);

/* The configuration was the newest one at this time (our clock); 0: not
 * known. */
int64_t gr_config_view_current_ms (const struct gr_config_view *view);

/* The store has answered without a failure since this time; INT64_MAX while it
 * does not answer. */
int64_t gr_config_view_contact_ms (const struct gr_config_view *view);

/* The waves of upkeep that the operator asks for. */
void gr_config_view_each_wave (const struct gr_config_view *view,
                               void (*visit) (const struct gr_wave_spec *wave,
                                              void *context),
                               void *context);

/* Takes the item if it is newer; as read at current_ms. */
void gr_config_view_apply (struct gr_config_view *view,
                           const struct gr_metastore_item *item,
                           int64_t current_ms);
/* The revision that is held was found to be the newest at current_ms. */
void gr_config_view_confirm (struct gr_config_view *view, int64_t current_ms);
