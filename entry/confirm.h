/* Settings among the members: takes pushed documents, confirms that this entry
 * holds what a majority holds, and fetches what it lacks.
 *
 * The revisions of one path rise, but the highest revision of all paths does
 * not say that an earlier change of another path is held. So members compare a
 * digest of all paths and revisions. */
#pragma once

#include "entry/internal.h"

struct gr_confirm *gr_confirm_create (struct gr_entry *entry);
void gr_confirm_destroy (struct gr_confirm *confirm);

/* A document became the known one. */
void gr_confirm_changed (struct gr_confirm *confirm,
                         const char *path,
                         int64_t revision);

/* Whether the number of entries is known from a platform document. Without one
 * a majority confirms nothing, and settings are current by reads of the store
 * alone. */
bool gr_confirm_has_platform (const struct gr_confirm *confirm);

uint64_t gr_confirm_digest (const struct gr_confirm *confirm);

/* After a round of heartbeats that was sent at sent_ms. */
void gr_confirm_round (struct gr_confirm *confirm, int64_t sent_ms);

/* Serves "settings.push" {"path", "revision", "document"} -> {"revision"},
 * "settings.revisions" {} -> {"documents": [{"path", "revision"}]} and
 * "settings.fetch" {"path"} -> {"path", "revision", "document"}. False if the
 * method is another one. */
bool gr_confirm_handle (struct gr_confirm *confirm,
                        struct gr_rpc_call *call,
                        const char *method,
                        const msgpack_object *body);
