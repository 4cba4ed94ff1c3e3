/* Heartbeats between entries and schedulers: calls peer.heartbeat on every
 * member each GR_HEARTBEAT_MS, answers the same call, keeps struct gr_members
 * up to date, and provides the RPC clients for the members' addresses. */
#pragma once

#include "common/clock.h"
#include "members/members.h"
#include "rpc/rpc.h"

#define GR_HEARTBEAT_MS 500

struct gr_peers;

/* Starts the heartbeats. fill writes the state of this process into self; name,
 * role, address, data_centre and incarnation are already set. round, which may
 * be NULL, is called once every call of a round of heartbeats has been answered
 * or has failed; sent_ms is the time when the round was sent. members and clock
 * are not owned and must outlive peers. */
struct gr_peers *
gr_peers_create (struct gr_members *members,
                 const struct gr_clock *clock,
                 const char *name,
                 enum gr_instance_role role,
                 const char *rpc_address,
                 const char *data_centre,
                 void (*fill) (struct gr_member *self, void *context),
                 void (*round) (int64_t sent_ms, void *context),
                 void *context);
void gr_peers_destroy (struct gr_peers *peers);

/* Returns the incarnation, an id that is different after each start of the
 * process. Owned by peers. */
const char *gr_peers_incarnation (const struct gr_peers *peers);

/* Handles a call of method "peer.heartbeat" and replies to it. body is
 * borrowed. */
void gr_peers_handle_heartbeat (struct gr_peers *peers,
                                struct gr_rpc_call *call,
                                const msgpack_object *body);

/* Returns the RPC client for an address and creates it on first use. Owned by
 * peers; destroyed once no member has this address any more. */
struct gr_rpc_client *gr_peers_client (struct gr_peers *peers,
                                       const char *address);
