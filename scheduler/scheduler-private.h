/* Parts of struct gr_scheduler that scheduler.c, slots.c and server.c share. */
#pragma once

#include "members/peers.h"
#include "scheduler/scheduler.h"
#include "scheduler/shard.h"

/* A shard that this process may own. */
struct gr_slot
{
  struct gr_scheduler *scheduler;
  char name[GR_NAME_MAX];
  bool named; /* in the platform settings */
  struct gr_ownership *ownership;
  struct gr_shard *shard; /* NULL: not owned */
  uint64_t epoch;
  GPtrArray *drains; /* struct gr_rpc_call that wait for the release */
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
  GHashTable *slots; /* name to struct gr_slot */
  bool store_up;
  bool stopping;
  int64_t stop_ms;
  guint stop_timer;
};

/* slots.c: one slot for each shard of the platform settings. A slot that is no
 * longer named there gives its shard up, and stays. */
void gr_slots_update (struct gr_scheduler *scheduler);
void gr_slot_free (void *data);

/* Gives the shard up, if it is owned; call, which may be NULL, is answered
 * then. */
void gr_slot_drain (struct gr_slot *slot, struct gr_rpc_call *call);

/* Whether nothing of the slot has to be released. */
bool gr_slot_is_free (const struct gr_slot *slot);

void gr_scheduler_note_store (struct gr_scheduler *scheduler, bool up);

/* server.c */
void gr_scheduler_handle (struct gr_rpc_call *call,
                          const char *method,
                          const msgpack_object *body,
                          void *context);
