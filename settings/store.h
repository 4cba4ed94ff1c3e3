/* Shared settings as this process knows them: one document a path, applied in
 * rising revision order only. Used by entries and schedulers. */
#pragma once

#include "common/clock.h"
#include "kv/kv.h"
#include "settings/document.h"

/* Time within which what is known must have been confirmed for the process to
 * be current. Below the 5 s in which an accepted change is in force. */
#define GR_SETTINGS_CURRENT_MS 4000

#define GR_SETTINGS_POLL_MS 1000

/* Prefix of the documents in the key-value service. */
#define GR_SETTINGS_PREFIX "/geraniumrack/settings/"

struct gr_settings_store;

/* Reads changed documents from kv each GR_SETTINGS_POLL_MS. changed is called
 * for every document that becomes the known one; text is "" for a deleted
 * path. kv may be NULL in tests; the store then counts as loaded. kv and clock
 * are not owned and must outlive the store. */
struct gr_settings_store *
gr_settings_store_create (struct gr_kv *kv,
                          const struct gr_clock *clock,
                          void (*changed) (const char *path,
                                           const char *text,
                                           int64_t revision,
                                           void *context),
                          void *context);
void gr_settings_store_destroy (struct gr_settings_store *store);

/* Applies a document, from a push or a read. Returns true if it became the
 * known one; an older or equal revision changes nothing. */
bool gr_settings_store_apply (struct gr_settings_store *store,
                              const char *path,
                              const char *text,
                              int64_t revision);

/* The known document or NULL; *revision is 0 then. Owned by the store. */
const char *gr_settings_store_get (const struct gr_settings_store *store,
                                   const char *path,
                                   int64_t *revision);

/* Paths with the prefix, sorted, without deleted ones; owned strings. */
GPtrArray *gr_settings_store_paths (const struct gr_settings_store *store,
                                    const char *prefix);

/* Highest revision that was applied. */
int64_t gr_settings_store_revision (const struct gr_settings_store *store);

/* All documents accepted before as_of_ms are known: after a read that began
 * then, or by the answers of a majority to calls sent then. */
void gr_settings_store_confirm (struct gr_settings_store *store,
                                int64_t as_of_ms);

/* Whether the first read from the key-value service has succeeded. */
bool gr_settings_store_loaded (const struct gr_settings_store *store);

/* Loaded, and confirmed within GR_SETTINGS_CURRENT_MS. */
bool gr_settings_store_is_current (const struct gr_settings_store *store);

/* Whether a read that began within GR_SETTINGS_CURRENT_MS has succeeded; false
 * in an outage of the key-value service. */
bool gr_settings_store_reads (const struct gr_settings_store *store);

/* Reads now instead of at the next poll. */
void gr_settings_store_poll (struct gr_settings_store *store);
