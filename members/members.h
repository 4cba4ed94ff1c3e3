/* Membership: our own processes and the targets, from the lagging instance
 * list, heartbeats and direct evidence. Pure tables: functions take now_ms;
 * members/peers.h does the calls. */
#pragma once

#include "common/error.h"
#include "targets/instances.h"

#include <glib.h>

/* A member that was not heard from for this long is not ready. */
#define GR_MEMBER_TIMEOUT_MS 2000

/* A member that does not answer and is not on the list is forgotten then. */
#define GR_MEMBER_FORGET_MS 60000

/* "Leaving" learned from a source other than the list is kept this long after
 * the last sign of it. */
#define GR_LEAVING_KEEP_MS 60000

/* Signs that are older are not spread any more, so that members do not keep
 * renewing each other's signs. All members exchange heartbeats directly, so a
 * sign has reached them long before. */
#define GR_LEAVING_SPREAD_MS 10000

struct gr_members;

enum gr_member_state
{
  GR_MEMBER_UNKNOWN, /* listed, not heard from */
  GR_MEMBER_READY,
  GR_MEMBER_STALE, /* heard from, but not current */
  GR_MEMBER_LEAVING,
};

struct gr_member_shard
{
  char name[GR_NAME_MAX];
  uint64_t epoch;
};

struct gr_member
{
  char name[GR_NAME_MAX];
  enum gr_instance_role role; /* entry or scheduler */
  char address[GR_NAME_MAX];  /* RPC */
  char data_centre[GR_NAME_MAX];
  char incarnation[GR_NAME_MAX];
  enum gr_member_state state;
  int64_t heard_ms;    /* start of the last call that was answered, or the last
                          call that it made */
  int64_t answered_ms; /* start of the last call that was answered */
  int64_t settings_revision;
  uint64_t settings_digest; /* of all paths and revisions that it holds */
  uint32_t n_shards;        /* owned, of a scheduler */
  struct gr_member_shard shards[16];
};

struct gr_target
{
  char name[GR_NAME_MAX];
  enum gr_instance_role role; /* worker or executor */
  char address[GR_NAME_MAX];
  char data_centre[GR_NAME_MAX];
  bool listed;
  bool leaving; /* by any source */
};

/* "unknown", "ready", "stale" or "leaving". */
const char *gr_member_state_name (enum gr_member_state state);

struct gr_members *gr_members_create (void);
void gr_members_destroy (struct gr_members *members);

/* Takes a list over. Entries that are gone from it stay while they are heard
 * from. */
void gr_members_apply_list (struct gr_members *members,
                            const struct gr_instance *list,
                            uint32_t count,
                            int64_t now_ms);

/* Takes what a peer said of itself in a call that it made. The call may have
 * waited in a socket while this process was paused, so it says nothing about
 * when the peer's settings were read. */
void gr_members_heard (struct gr_members *members,
                       const struct gr_member *said,
                       int64_t now_ms);

/* The same from the answer to a heartbeat that was sent at sent_ms. */
void gr_members_answered (struct gr_members *members,
                          const struct gr_member *said,
                          int64_t sent_ms);

/* A target is leaving, learned from itself or from a peer; seen_ms is the time
 * of the sign. Returns true if it was not known to be leaving before. */
bool gr_members_target_leaving (struct gr_members *members,
                                const char *target,
                                int64_t seen_ms);

struct gr_leaving_sign
{
  char target[GR_NAME_MAX];
  int64_t seen_ms;
};

/* Signs to be spread in heartbeats: struct gr_leaving_sign; free with
 * g_array_unref (). */
GArray *gr_members_leaving_signs (const struct gr_members *members,
                                  int64_t now_ms);

/* All members, arrays of struct gr_member and struct gr_target; free with
 * g_array_unref (). */
GArray *gr_members_list (const struct gr_members *members);
GArray *gr_members_targets (const struct gr_members *members,
                            enum gr_instance_role role,
                            int64_t now_ms);

/* A member counts as ready if it says so and was heard from in time. */
bool gr_member_is_ready (const struct gr_member *member, int64_t now_ms);

/* Names of ready members of a role, sorted; owned strings. */
GPtrArray *gr_members_ready (const struct gr_members *members,
                             enum gr_instance_role role,
                             int64_t now_ms);

/* RPC address of the scheduler that claims the shard with the highest epoch,
 * or NULL. Owned by members. */
const char *gr_members_shard_owner (const struct gr_members *members,
                                    const char *shard,
                                    int64_t now_ms,
                                    uint64_t *epoch);
