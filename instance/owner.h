/* The owner's work: passes records, configuration and the worker registry to
 * the scheduling core, and carries out the core's decisions. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "instance/config-view.h"
#include "instance/lateness.h"
#include "instance/mirror.h"
#include "settings/document.h"

struct gr_owner;

/* What the owner uses. Not owned, and must outlive it. */
struct gr_owner_deps
{
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  struct gr_config_view *config;
  const struct gr_clock *clock;
  struct gr_counters *counters;
  const struct gr_instance_settings *settings;
  /* Called once when another instance is found to be the owner. The owner must
   * be destroyed then, but not inside this call. */
  void (*superseded) (const char *reason, void *context);
  /* Returns the time (of clock, in ms) until which no other instance can become
   * the owner. */
  int64_t (*lease_until_ms) (void *context);
  void *context;
};

/* Starts the owner's work. epoch is the epoch of this owner, revision the
 * revision of the owner's record, a condition of each write. */
struct gr_owner *gr_owner_create (const struct gr_owner_deps *deps,
                                  int64_t epoch,
                                  int64_t revision);
void gr_owner_destroy (struct gr_owner *owner);

/* Adds or updates a job in the core after a change of its records. */
void gr_owner_job_changed (struct gr_owner *owner,
                           const char *id,
                           const struct gr_mirror_job *job);
/* Passes queues and guarantees of the current configuration, and the evacuated
 * data centres, to the core. */
void gr_owner_config_changed (struct gr_owner *owner);

/* Returns the time in ms for which owners before this one may still be
 * active. */
uint32_t gr_owner_earlier_ms (const struct gr_owner *owner);

/* For metrics: the core's counts, and the recent lateness of the main loop. */
void gr_owner_counts (const struct gr_owner *owner,
                      struct gr_steps_counts *counts,
                      struct gr_lateness *lateness);
void gr_owner_learning (const struct gr_owner *owner,
                        struct gr_steps_learning *learning);
