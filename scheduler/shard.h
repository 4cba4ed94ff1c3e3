/* One shard that this process owns: the decision core, its journal and the
 * calls to its workers. Made when the owner key was created, destroyed as soon
 * as it is lost. */
#pragma once

#include "members/members.h"
#include "rpc/rpc.h"
#include "scheduler/ownership.h"
#include "settings/store.h"
#include "targets/worker.h"

struct gr_shard;

/* What the shards of a process share; nothing in it is owned by a shard. */
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

/* What ends with the shard. */
struct gr_shard_events
{
  /* Recovery failed for good; the caller gives the ownership up. */
  void (*failed) (const struct gr_error *error, void *context);

  /* The store answered the journal, or did not. */
  void (*store) (bool up, void *context);

  /* gr_shard_stop () has come to its end. */
  void (*stopped) (void *context);
};

/* Starts the recovery. ownership must be in state owner; it is not owned and
 * must live longer. platform is copied. */
struct gr_shard *gr_shard_create (const struct gr_shard_env *env,
                                  const char *name,
                                  struct gr_ownership *ownership,
                                  const struct gr_platform_settings *platform,
                                  const struct gr_shard_events *events,
                                  void *context);

/* Sends nothing any more. Calls that wait for a commit are answered: as
 * unconfirmed if the store may hold the record, else as not run. */
void gr_shard_destroy (struct gr_shard *shard);

/* Recovered, and not stopping. */
bool gr_shard_is_ready (const struct gr_shard *shard);

/* The owner key was created again after its lease had expired. */
void gr_shard_reacquired (struct gr_shard *shard, uint64_t epoch);

/* Whether the commit key is as the shard left it; entry is NULL if there is
 * none. */
bool gr_shard_commit_unchanged (const struct gr_shard *shard,
                                const struct gr_kv_entry *entry);

/* Terms and attempts count from the next change of owner, the rest at once. */
void gr_shard_apply_platform (struct gr_shard *shard,
                              const struct gr_platform_settings *platform);

/* A document changed. */
void gr_shard_apply_account (struct gr_shard *shard,
                             const struct gr_account_settings *account);
void gr_shard_remove_account (struct gr_shard *shard, const char *account);

/* Takes workers over from the members table. */
void gr_shard_update_workers (struct gr_shard *shard);

/* Starts nothing more, waits for starts and stops that are under way and for
 * the journal, each for a limited time; ends in stopped. */
void gr_shard_stop (struct gr_shard *shard);

/* RPC calls; each is answered, at once or when its record is durable. */
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
