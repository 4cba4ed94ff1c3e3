/* Membership tables: the entries and schedulers (members) and the workers and
 * executors (targets), built from the instance list, heartbeats and leaving
 * notices. The instance list lags behind the true state. No I/O and no clock:
 * functions take now_ms, the monotonic time in ms. The heartbeat calls are in
 * members/peers.h. */
#pragma once

#include "common/error.h"
#include "targets/instances.h"

#include <glib.h>

/* A member without contact for this long is not ready. */
#define GR_MEMBER_TIMEOUT_MS 2000

/* A member that is not on the list and has had no contact for this long is
 * removed, and so is a target that has been off the list for this long. */
#define GR_MEMBER_FORGET_MS 60000

/* A leaving notice from a source other than the instance list expires this long
 * after the target was last seen leaving. */
#define GR_LEAVING_EXPIRE_MS 60000

/* Older notices are not included in heartbeats, so that members do not keep
 * renewing each other's notices. All members exchange heartbeats directly, so a
 * notice reaches them well within this time. */
#define GR_LEAVING_PROPAGATE_MS 10000

struct gr_members;

enum gr_member_state
{
  GR_MEMBER_UNKNOWN, /* no contact yet, or an entry without settings */
  GR_MEMBER_READY,
  GR_MEMBER_STALE, /* its settings are out of date, or not loaded (scheduler) */
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
  char address[GR_NAME_MAX];  /* IP:PORT of its RPC server */
  char data_centre[GR_NAME_MAX];
  char incarnation[GR_NAME_MAX];
  enum gr_member_state state;
  int64_t last_contact_ms; /* send time of the last heartbeat that it answered
                              or receive time of its last heartbeat, whichever
                              is later; 0: none */
  int64_t answered_ms; /* send time of the last heartbeat that it answered; 0:
                          none */
  int64_t settings_revision;
  uint64_t settings_digest; /* over all paths and revisions that it holds */
  uint32_t n_shards;        /* shards owned; schedulers only */
  struct gr_member_shard shards[16];
};

struct gr_target
{
  char name[GR_NAME_MAX];
  enum gr_instance_role role; /* worker or executor */
  char address[GR_NAME_MAX];
  char data_centre[GR_NAME_MAX];
  bool listed;
  bool leaving; /* according to the list or a leaving notice */
};

/* Returns "unknown", "ready", "stale" or "leaving". */
const char *gr_member_state_name (enum gr_member_state state);

struct gr_members *gr_members_create (void);
void gr_members_destroy (struct gr_members *members);

/* Applies a new instance list. A member that is no longer on the list is kept
 * until it has had no contact for GR_MEMBER_FORGET_MS, a target until it has
 * been off the list for that time. */
void gr_members_apply_list (struct gr_members *members,
                            const struct gr_instance *list,
                            uint32_t count,
                            int64_t now_ms);

/* Applies the state that a peer reported in a heartbeat that it sent. The call
 * may have waited in a socket while this process was paused, so it does not
 * prove when the peer's settings were read: if the peer has replied to a
 * heartbeat before, the settings of its last reply are kept. */
void gr_members_update_from_call (struct gr_members *members,
                                  const struct gr_member *reported,
                                  int64_t now_ms);

/* Applies the state that a peer reported in its reply to a heartbeat that was
 * sent at sent_ms. Includes the settings revision and digest. */
void gr_members_update_from_reply (struct gr_members *members,
                                   const struct gr_member *reported,
                                   int64_t sent_ms);

/* Records that a target was seen leaving at seen_ms, as reported by the target
 * itself or by a peer in an answer to a call that was sent at asked_ms. Ignored
 * if that was before the list with a new address of the target, because it
 * concerns an earlier process. Returns true if there was no leaving notice for
 * it yet. */
bool gr_members_record_target_leaving (struct gr_members *members,
                                       const char *target,
                                       int64_t asked_ms,
                                       int64_t seen_ms);

struct gr_leaving_notice
{
  char target[GR_NAME_MAX];
  int64_t seen_ms;
};

/* Returns the notices to send in heartbeats: an array of struct
 * gr_leaving_notice; free with g_array_unref (). */
GArray *gr_members_leaving_notices (const struct gr_members *members,
                                    int64_t now_ms);

/* Return all members (struct gr_member) and all targets of a role (struct
 * gr_target), sorted by name; free with g_array_unref (). */
GArray *gr_members_list (const struct gr_members *members);
GArray *gr_members_targets (const struct gr_members *members,
                            enum gr_instance_role role,
                            int64_t now_ms);

/* Returns true if the member reported that it is ready and its last contact is
 * less than GR_MEMBER_TIMEOUT_MS ago. */
bool gr_member_is_ready (const struct gr_member *member, int64_t now_ms);

/* Returns the names of the ready members of a role, sorted; the array owns the
 * strings, free it with g_ptr_array_unref (). */
GPtrArray *gr_members_ready (const struct gr_members *members,
                             enum gr_instance_role role,
                             int64_t now_ms);

/* Returns the RPC address of the scheduler that claims the shard with the
 * highest epoch, and sets epoch. Returns NULL and sets epoch to 0 if no
 * scheduler with recent contact claims it. The address is owned by members. */
const char *gr_members_shard_owner (const struct gr_members *members,
                                    const char *shard,
                                    int64_t now_ms,
                                    uint64_t *epoch);
