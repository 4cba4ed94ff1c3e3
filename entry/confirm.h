/* Replication of settings documents between members: accepts pushed documents,
 * fetches documents that this entry is missing, and confirms the settings as
 * current when a majority of the entries holds the same documents.
 *
 * Revisions of a single path only increase. The highest revision over all
 * paths does not show whether an earlier change of another path is present,
 * so members compare a digest over all paths and revisions. */
#pragma once

#include "entry/internal.h"

struct gr_confirm *gr_confirm_create (struct gr_entry *entry);
void gr_confirm_destroy (struct gr_confirm *confirm);

/* Updates the digest after the settings store has adopted the document at
 * path with this revision. */
void gr_confirm_document_changed (struct gr_confirm *confirm,
                                  const char *path,
                                  int64_t revision);

/* Returns true if a platform document exists. It states the number of
 * entries; without it no majority can be determined, and the settings are
 * current only while reads from the key-value service succeed. */
bool gr_confirm_has_platform (const struct gr_confirm *confirm);

uint64_t gr_confirm_digest (const struct gr_confirm *confirm);

/* Processes the replies to the heartbeat round that was sent at sent_ms:
 * confirms the settings if a majority of the entries reports the same
 * digest, and fetches from a member whose digest differs, if there is one. */
void gr_confirm_after_heartbeats (struct gr_confirm *confirm, int64_t sent_ms);

/* Handles the RPC methods "settings.push" {"path", "revision", "document"}
 * -> {"revision"}, "settings.revisions" {} -> {"documents": [{"path",
 * "revision"}]} and "settings.fetch" {"path"} -> {"path", "revision",
 * "document"}. Returns false, without replying, for any other method. */
bool gr_confirm_handle (struct gr_confirm *confirm,
                        struct gr_rpc_call *call,
                        const char *method,
                        const msgpack_object *body);
