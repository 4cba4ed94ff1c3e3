/* Ownership of one shard. The owner holds the owner key in the key-value
 * service, which is bound to a store lease. Everything runs on the default
 * GMainContext. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "kv/kv.h"

#define GR_SHARDS_PREFIX "/geraniumrack/shards/"

/* A scheduler that is not preferred waits this long after it has first found
 * the owner key absent, so that the preferred one can create it first. */
#define GR_OWNERSHIP_YIELD_MS 1500

/* After a voluntary release this instance does not try to acquire the shard
 * again for this long, so that another scheduler can acquire it. */
#define GR_OWNERSHIP_RELEASE_BACKOFF_MS 10000

struct gr_ownership;

enum gr_ownership_state
{
  GR_OWNERSHIP_WAITING,   /* another scheduler owns the shard, or none does */
  GR_OWNERSHIP_ACQUIRING, /* creating the owner key, or checking whether it was
                             created */
  GR_OWNERSHIP_OWNER,
  GR_OWNERSHIP_RECLAIMING, /* the store lease has expired, and another scheduler
                              may have acquired the shard: trying to create the
                              owner key again */
  GR_OWNERSHIP_RELEASING,
};

struct gr_ownership_config
{
  char *shard;
  char *instance;
  char *address; /* RPC address, "IP:PORT" */
  char *writer;  /* incarnation of this process; never reused */
  int64_t ttl_s; /* TTL of the store lease; settings default: 9 */
  uint32_t poll_ms;
  uint32_t call_timeout_ms;
};

struct gr_ownership_events
{
  /* preferred: whether this instance is the first choice for the shard among
   * the ready schedulers. eligible: whether it may currently own the shard at
   * all. */
  bool (*preferred) (void *context);
  bool (*eligible) (void *context);

  /* This instance is the owner. epoch is the create revision of the owner key.
   */
  void (*acquired) (uint64_t epoch, void *context);

  /* The store lease had expired and the owner key was created again; no other
   * scheduler had become owner or committed anything in between. */
  void (*reacquired) (uint64_t epoch, void *context);

  /* Whether the commit key was last written by this owner; entry is NULL if
   * the key is absent. Called before a lost owner key is created again. */
  bool (*commit_unchanged) (const struct gr_kv_entry *entry, void *context);

  /* lost: this instance is not the owner any more and must send no commands.
   * released: gr_ownership_release () has finished. */
  void (*lost) (const char *reason, void *context);
  void (*released) (void *context);

  /* up: the store responded. Otherwise it counts as down. */
  void (*store) (bool up, void *context);
};

/* config, its strings and events are copied; kv and clock are not owned and
 * must outlive the ownership. */
struct gr_ownership *
gr_ownership_create (struct gr_kv *kv,
                     const struct gr_clock *clock,
                     const struct gr_ownership_config *config,
                     const struct gr_ownership_events *events,
                     void *context);

/* Does not delete the owner key: it stays until its lease expires. No events
 * are emitted any more. */
void gr_ownership_destroy (struct gr_ownership *ownership);

enum gr_ownership_state gr_ownership_state (const struct gr_ownership *own);

/* Create revision of the owner key; 0 if this instance is not the owner. */
uint64_t gr_ownership_epoch (const struct gr_ownership *ownership);

/* Whether commands may be sent to workers: this instance is the owner, and
 * within the last lease term it sent a grant or renewal request for the store
 * lease that was not answered with "expired". After the process was paused
 * this is false until the store has responded to a renewal or the renewal has
 * failed. */
bool gr_ownership_may_command (const struct gr_ownership *ownership);

/* Whether the store is reachable: false after two failed calls in a row, or
 * after one that could not be sent. */
bool gr_ownership_store_is_up (const struct gr_ownership *ownership);

/* Whether worker leases may be renewed. This is also allowed while the owner
 * key is being created again: a renewal starts no work, and without it running
 * work would end. */
bool gr_ownership_may_renew (const struct gr_ownership *ownership);

/* Sets the TTL of the store lease in seconds; used from the next lease on. */
void gr_ownership_set_ttl (struct gr_ownership *ownership, int64_t ttl_s);

/* To be called when a commit has failed its compare with the owner key. owner
 * is the current owner key, or NULL if it is absent. If the key is absent the
 * owner tries to reclaim the shard, which ends with the event lost or
 * reacquired; if another scheduler owns it, lost follows at once. */
void gr_ownership_handle_conflict (struct gr_ownership *ownership,
                                   const struct gr_kv_entry *owner);

/* Releases the shard by revoking the store lease; released is emitted at the
 * end. The caller must already have stopped its commands and commits. */
void gr_ownership_release (struct gr_ownership *ownership);

/* Releases the shard after a failed recovery. This instance does not try to
 * acquire it again for retry_ms. */
void gr_ownership_abandon (struct gr_ownership *ownership, uint32_t retry_ms);

/* Returns "/geraniumrack/shards/SHARD/NAME"; free with g_free (). */
char *gr_shard_key (const char *shard, const char *name);
