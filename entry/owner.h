/* Calls to the schedulers that own shards. */
#pragma once

#include "entry/internal.h"

/* Calls the owner of shard. done is called exactly once, never from inside the
 * call; body as in gr_rpc_call (). Returns false and kind no-owner, and done is
 * not called, if the shard has no owner that was heard from in time. body stays
 * owned by the caller. */
bool gr_owner_call (struct gr_entry *entry,
                    const char *shard,
                    const char *method,
                    struct gr_packer *body,
                    void (*done) (const msgpack_object *body,
                                  const struct gr_error *error,
                                  void *context),
                    void *context,
                    struct gr_error *error);

/* The error of an owner call as the caller of this entry gets it: a connection
 * that was never made means that nothing was done. A call that only reads has
 * no effect in any case. */
struct gr_error gr_owner_error (struct gr_entry *entry,
                                const struct gr_error *error,
                                bool reads_only);
