/* What the owner does: feeds the core with records, configuration and the
 * registry, and carries out what it decides. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "instance/config-view.h"
#include "instance/mirror.h"
#include "settings/document.h"

struct gr_owner;

struct gr_owner_parts
{
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  struct gr_config_view *config;
  const struct gr_clock *clock;
  struct gr_counters *counters;
  const struct gr_instance_settings *settings;
  /* Another instance is the owner. */
  void (*superseded) (const char *reason, void *context);
  void *context;
};

struct gr_owner *gr_owner_create (const struct gr_owner_parts *parts,
                                  int64_t epoch,
                                  int64_t revision);
void gr_owner_destroy (struct gr_owner *owner);

void gr_owner_job_changed (struct gr_owner *owner,
                           const char *id,
                           const struct gr_mirror_job *job);
void gr_owner_config_changed (struct gr_owner *owner);

/* For metrics. late_ms: of the main loop, of late. */
void gr_owner_counts (const struct gr_owner *owner,
                      struct gr_steps_counts *counts,
                      int64_t *late_ms);
