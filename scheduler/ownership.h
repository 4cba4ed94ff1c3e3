/* Ownership of one shard: the owner key in the key-value service, created
 * under a store lease. Everything runs on the default GMainContext. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "kv/kv.h"

#define GR_SHARDS_PREFIX "/geraniumrack/shards/"

/* A scheduler that is not preferred waits this long after it has seen that the
 * owner key is absent, so that the preferred one creates it first. */
#define GR_OWNERSHIP_YIELD_MS 1500

/* After a voluntary release this instance leaves the shard to others. */
#define GR_OWNERSHIP_RELEASED_MS 10000

struct gr_ownership;

enum gr_ownership_state
{
  GR_OWNERSHIP_WAITING,   /* somebody else owns the shard, or nobody */
  GR_OWNERSHIP_ACQUIRING, /* creating the owner key, or reading it back */
  GR_OWNERSHIP_OWNER,
  GR_OWNERSHIP_RECLAIMING, /* the store lease expired, perhaps unnoticed by
                              others: creating the owner key again */
  GR_OWNERSHIP_RELEASING,
};

struct gr_ownership_config
{
  char *shard;
  char *instance;
  char *address; /* RPC */
  char *writer;  /* incarnation of this process; never used twice */
  int64_t ttl_s; /* of the store lease; 9 */
  uint32_t poll_ms;
  uint32_t call_timeout_ms;
};

struct gr_ownership_events
{
  /* Whether this instance comes first for the shard among those that are
   * ready, and whether it may own shards at all now. */
  bool (*preferred) (void *context);
  bool (*eligible) (void *context);

  /* epoch is the create revision of the owner key. */
  void (*acquired) (uint64_t epoch, void *context);

  /* The store lease had expired, nobody else had become owner or committed
   * anything, and the owner key was created again. */
  void (*reacquired) (uint64_t epoch, void *context);

  /* Whether the commit key is as this owner left it; entry is NULL if there is
   * none. Asked before a lost owner key is created again. */
  bool (*commit_unchanged) (const struct gr_kv_entry *entry, void *context);

  /* No command may be sent any more. */
  void (*lost) (const char *reason, void *context);
  void (*released) (void *context);

  /* The store answered, or counts as down. */
  void (*store) (bool up, void *context);
};

/* Strings of config are copied; events is copied; kv and clock are not owned
 * and must live longer. */
struct gr_ownership *
gr_ownership_create (struct gr_kv *kv,
                     const struct gr_clock *clock,
                     const struct gr_ownership_config *config,
                     const struct gr_ownership_events *events,
                     void *context);

/* Does not release the owner key; no event follows. */
void gr_ownership_destroy (struct gr_ownership *ownership);

enum gr_ownership_state gr_ownership_state (const struct gr_ownership *own);

/* 0 if this instance is not the owner. */
uint64_t gr_ownership_epoch (const struct gr_ownership *ownership);

/* Whether commands may be sent to workers: this instance is the owner, and
 * within the last lease term it tried to renew the store lease and was not
 * told that the lease is gone. False after a pause until the store has
 * answered or has been found unreachable. */
bool gr_ownership_may_command (const struct gr_ownership *ownership);

/* Whether the store answers. */
bool gr_ownership_store_is_up (const struct gr_ownership *ownership);

/* Whether worker leases may be renewed: also while the owner key is created
 * again, because a renewal starts nothing and running work would end without
 * it. */
bool gr_ownership_may_renew (const struct gr_ownership *ownership);

/* Counts from the next lease. */
void gr_ownership_set_ttl (struct gr_ownership *ownership, int64_t ttl_s);

/* A commit failed on the compare with the owner key, which is now owner, or
 * NULL if there is none. Ends in lost or reacquired. */
void gr_ownership_contested (struct gr_ownership *ownership,
                             const struct gr_kv_entry *owner);

/* Gives the shard up by revoking the store lease; ends in released. The caller
 * has stopped its commands and commits. */
void gr_ownership_release (struct gr_ownership *ownership);

/* Gives up after a failed recovery; tries again after retry_ms. */
void gr_ownership_abandon (struct gr_ownership *ownership, uint32_t retry_ms);

/* "/geraniumrack/shards/SHARD/NAME"; free with g_free (). */
char *gr_shard_key (const char *shard, const char *name);
