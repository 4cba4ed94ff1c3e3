/* Local copy of the shared settings documents. For each path it keeps the
 * document with the highest revision seen. Used by entries and schedulers. */
#pragma once

#include "common/clock.h"
#include "kv/kv.h"
#include "settings/document.h"

/* Maximum age of the last confirmation for the settings to count as current.
 * Must be below 5 s, the time within which an accepted change is in force. */
#define GR_SETTINGS_MAX_AGE_MS 4000

/* Interval of reads from the key-value service. */

#define GR_SETTINGS_POLL_MS 1000

/* Prefix of the keys that hold documents in the key-value service. */
#define GR_SETTINGS_PREFIX "/geraniumrack/settings/"

struct gr_settings_store;

/* Creates a store that reads changed documents from kv every
 * GR_SETTINGS_POLL_MS. changed, which may be NULL, is called for each document
 * that is applied; text is "" for a deleted path. kv and clock are
 * not owned and must outlive the store. kv may be NULL in tests; the store then
 * counts as loaded. */
struct gr_settings_store *
gr_settings_store_create (struct gr_kv *kv,
                          const struct gr_clock *clock,
                          void (*changed) (const char *path,
                                           const char *text,
                                           int64_t revision,
                                           void *context),
                          void *context);
void gr_settings_store_destroy (struct gr_settings_store *store);

/* Applies a document that was pushed or read. Returns true if the store took
 * it; false, without a change, if its revision is not above the stored one or
 * not positive, or if the path is invalid. */
bool gr_settings_store_apply (struct gr_settings_store *store,
                              const char *path,
                              const char *text,
                              int64_t revision);

/* Returns the stored document, or NULL with *revision 0 if the path has none.
 * Owned by the store, valid until the next change of the path. */
const char *gr_settings_store_get (const struct gr_settings_store *store,
                                   const char *path,
                                   int64_t *revision);

/* Returns the sorted paths that start with prefix, without deleted ones. The
 * array owns its strings; free with g_ptr_array_unref (). */
GPtrArray *gr_settings_store_paths (const struct gr_settings_store *store,
                                    const char *prefix);

/* Returns the highest revision applied so far, 0 if there is none. */
int64_t gr_settings_store_revision (const struct gr_settings_store *store);

/* Records that the store holds every document accepted before as_of_ms, a time
 * of its clock: because a read that started then succeeded, or because a
 * majority answered requests sent then. */
void gr_settings_store_confirm (struct gr_settings_store *store,
                                int64_t as_of_ms);

/* Returns true if a read from the key-value service has ever succeeded.
 */
bool gr_settings_store_loaded (const struct gr_settings_store *store);

/* Returns true if the store is loaded and was confirmed as of a time at most
 * GR_SETTINGS_MAX_AGE_MS ago. */
bool gr_settings_store_is_current (const struct gr_settings_store *store);

/* Returns true if a read that started at most GR_SETTINGS_MAX_AGE_MS ago has
 * succeeded. False during an outage of the key-value service. */
bool gr_settings_store_kv_reachable (const struct gr_settings_store *store);

/* Starts a read now, without waiting for the next interval. Does nothing if too
 * many reads are in flight. */
void gr_settings_store_poll (struct gr_settings_store *store);
