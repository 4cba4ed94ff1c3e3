/* Calls to the schedulers that own shards. */
#pragma once

#include "entry/internal.h"

/* Calls the owner of shard. done is called exactly once, never from within
 * this call; its body argument is that of gr_rpc_call (). Returns false with
 * kind no-owner, without calling done, if the shard has no owner whose last
 * contact is recent enough. The caller keeps ownership of body. The timeout
 * is GR_OWNER_TIMEOUT_MS. */
bool gr_owner_call (struct gr_entry *entry,
                    const char *shard,
                    const char *method,
                    struct gr_packer *body,
                    void (*done) (const msgpack_object *body,
                                  const struct gr_error *error,
                                  void *context),
                    void *context,
                    struct gr_error *error);

/* Translates the error of an owner call for the client. A call whose
 * connection was never established had no effect and becomes no-owner, with
 * a retry-after time. So does a call with unknown outcome if reads_only is
 * set, since it cannot have changed anything. */
struct gr_error gr_owner_translate_error (struct gr_entry *entry,
                                          const struct gr_error *error,
                                          bool reads_only);
