/* Follows the registry, in which workers describe themselves: reads all entries
 * once and then watches for changes. Each worker renews its entry with every
 * heartbeat, so reading all entries again and again would use a large part of
 * the bandwidth of an owner of hundreds of workers. */
#pragma once

#include "common/clock.h"
#include "platform/metastore.h"
#include "platform/registry.h"

struct gr_worker_registry;

struct gr_worker_registry_events
{
  /* An entry was read, written or renewed. since_ms: a time before that change;
   * 0: unknown. Answers of the store can be seconds late, so the time at which
   * a change is reported says nothing about its age. */
  void (*entry) (const struct gr_registry_entry *entry,
                 int64_t revision,
                 int64_t since_ms,
                 void *context);
  /* An entry was removed. since_ms: as above. */
  void (*removed) (const char *worker, int64_t since_ms, void *context);
  /* An entry can no longer be decoded: another writer has replaced it. This
   * says nothing about the worker. */
  void (*unreadable) (const char *worker, void *context);
  /* All changes so far have been reported; the first time: all entries. */
  void (*current) (void *context);
  void *context;
};

/* Starts reading. store and clock must outlive the registry. Callbacks come
 * from the main loop only. */
struct gr_worker_registry *
gr_worker_registry_create (struct gr_metastore *store,
                           const struct gr_clock *clock,
                           const struct gr_worker_registry_events *events);
void gr_worker_registry_destroy (struct gr_worker_registry *registry);
