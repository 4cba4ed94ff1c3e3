/* One shard that this process owns: the decision core, its journal and the
 * calls to its workers. Created when the owner key has been created, destroyed
 * as soon as the ownership is lost. */
#pragma once

#include "members/members.h"
#include "rpc/rpc.h"
#include "scheduler/ownership.h"
#include "settings/store.h"
#include "targets/worker.h"

struct gr_shard;

/* Context shared by all shards of the process. A shard owns none of it. */
struct gr_shard_env
{
  struct gr_kv *kv;
  const struct gr_clock *clock;
  struct gr_counters *counters;
  struct gr_worker_client *workers;
  const struct gr_settings_store *settings;
  struct gr_members *members;
  const char *instance;
  const char *writer; /* incarnation of this process */
  uint32_t call_timeout_ms;
};

/* Callbacks to the creator of the shard. */
struct gr_shard_events
{
  /* Recovery failed permanently; the callee must abandon the ownership. */
  void (*failed) (const struct gr_error *error, void *context);

  /* up: the store responded to the journal. Otherwise it counts as down. */
  void (*store) (bool up, void *context);

  /* The stop that was requested with gr_shard_stop () has finished. */
  void (*stopped) (void *context);
};

/* Starts recovery. ownership must be in state owner; it is not owned and must
 * outlive the shard. env, platform and events are copied. */
struct gr_shard *gr_shard_create (const struct gr_shard_env *env,
                                  const char *name,
                                  struct gr_ownership *ownership,
                                  const struct gr_platform_settings *platform,
                                  const struct gr_shard_events *events,
                                  void *context);

/* Drops unsent commands. RPC calls that wait for a commit are answered: with
 * kind unconfirmed if the store may hold the record, otherwise with kind
 * no-owner, which means not run. */
void gr_shard_destroy (struct gr_shard *shard);

/* Whether recovery has finished and no stop was requested. */
bool gr_shard_is_ready (const struct gr_shard *shard);

/* The owner key was created again, with this epoch, after its lease had
 * expired. */
void gr_shard_reacquired (struct gr_shard *shard, uint64_t epoch);

/* Whether the commit key was last written by this shard; entry is NULL if the
 * key is absent. */
bool gr_shard_commit_unchanged (const struct gr_shard *shard,
                                const struct gr_kv_entry *entry);

/* Lease terms and the maximum number of attempts take effect at the next
 * change of owner, all other settings immediately. */
void gr_shard_apply_platform (struct gr_shard *shard,
                              const struct gr_platform_settings *platform);

/* Applies a changed account document. */
void gr_shard_apply_account (struct gr_shard *shard,
                             const struct gr_account_settings *account);
void gr_shard_remove_account (struct gr_shard *shard, const char *account);

/* Copies the addresses and states of workers from the members table. */
void gr_shard_update_workers (struct gr_shard *shard);

/* Stops starting work, then waits for pending starts and stops and after that
 * for the journal, each with a time limit. stopped is emitted at the end. */
void gr_shard_stop (struct gr_shard *shard);

/* RPC calls. Each is answered, either immediately or when its record is
 * durable. */
void gr_shard_submit (struct gr_shard *shard,
                      struct gr_rpc_call *call,
                      const msgpack_object *body);
void gr_shard_cancel (struct gr_shard *shard,
                      struct gr_rpc_call *call,
                      const msgpack_object *body);
void gr_shard_show (struct gr_shard *shard,
                    struct gr_rpc_call *call,
                    const msgpack_object *body);
void gr_shard_list (struct gr_shard *shard,
                    struct gr_rpc_call *call,
                    const msgpack_object *body);
void gr_shard_status (struct gr_shard *shard, struct gr_rpc_call *call);
