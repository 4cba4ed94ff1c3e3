/* Heartbeats between our own processes: calls peer.heartbeat on every member
 * each GR_HEARTBEAT_MS, answers the same call, keeps struct gr_members up to
 * date, and lends out the RPC clients. */
#pragma once

#include "common/clock.h"
#include "members/members.h"
#include "rpc/rpc.h"

#define GR_HEARTBEAT_MS 500

struct gr_peers;

/* fill writes what this process says of itself; name, role, address,
 * data_centre and incarnation are filled already. members is not owned.
 * round, which may be NULL, is called after the answers of one round of
 * heartbeats are in or timed out, with the time at which the round was sent. */
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

/* Made anew at each start of the process. Owned by peers. */
const char *gr_peers_incarnation (const struct gr_peers *peers);

/* Serves a call of method "peer.heartbeat". */
void gr_peers_handle (struct gr_peers *peers,
                      struct gr_rpc_call *call,
                      const msgpack_object *body);

/* The RPC client for an address, made on first use, owned by peers, destroyed
 * when the member is forgotten. */
struct gr_rpc_client *gr_peers_client (struct gr_peers *peers,
                                       const char *address);
