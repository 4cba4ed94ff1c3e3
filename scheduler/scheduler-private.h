/* Internals of struct gr_scheduler, shared by scheduler.c, slots.c and
 * server.c. */
#pragma once

#include "members/peers.h"
#include "scheduler/scheduler.h"
#include "scheduler/shard.h"

/* A shard that this process may own, and its state while it is owned. */
struct gr_shard_slot
{
  struct gr_scheduler *scheduler;
  char name[GR_NAME_MAX];
  bool configured; /* listed in the platform settings */
  struct gr_ownership *ownership;
  struct gr_shard *shard; /* NULL: not owned */
  uint64_t epoch;
  GPtrArray *drain_calls; /* struct gr_rpc_call; answered on release */
};

struct gr_scheduler
{
  char *instance;
  char *data_centre;
  uint32_t kv_timeout_ms;
  const struct gr_clock *clock;
  struct gr_counters *counters;
  void (*stopped) (void *context);
  void *context;
  struct gr_kv *kv;
  struct gr_worker_client *workers;
  struct gr_members *members;
  struct gr_instances *instances;
  struct gr_rpc_server *server;
  struct gr_peers *peers;
  struct gr_settings_store *settings;
  struct gr_platform_settings platform;
  GHashTable *slots; /* name to struct gr_shard_slot */
  bool store_up;
  bool stopping;
  int64_t stop_ms;
  guint stop_timer;
};

/* slots.c: creates a slot for each shard in the platform settings. A slot
 * whose shard is no longer listed releases the shard, but is kept. */
void gr_shard_slots_update (struct gr_scheduler *scheduler);
void gr_shard_slot_free (void *data);

/* Releases the shard if it is owned. call may be NULL; it is answered once the
 * shard has been released, or at once if it is not owned. */
void gr_shard_slot_drain (struct gr_shard_slot *slot, struct gr_rpc_call *call);

/* Whether the shard is neither owned nor being acquired or released. */
bool gr_shard_slot_is_idle (const struct gr_shard_slot *slot);

void gr_scheduler_set_store_up (struct gr_scheduler *scheduler, bool up);

/* server.c: handles one RPC call. */
void gr_scheduler_handle (struct gr_rpc_call *call,
                          const char *method,
                          const msgpack_object *body,
                          void *context);
