/* Data of the key-value stand-in: keys with revisions, and leases. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gr_store;

struct gr_store_entry
{
  char *key;
  GBytes *value;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t version;
  int64_t lease;
};

struct gr_store *gr_store_create (void);
void gr_store_destroy (struct gr_store *store);

int64_t gr_store_revision (const struct gr_store *store);

/* NULL if there is no such key. */
const struct gr_store_entry *gr_store_get (const struct gr_store *store,
                                           const char *key);

/* Calls each for all entries with begin <= key < end, in order; end NULL for
 * no end. */
void gr_store_scan (const struct gr_store *store,
                    const char *begin,
                    const char *end,
                    void (*each) (const struct gr_store_entry *entry,
                                  void *context),
                    void *context);

/* Writes between two calls of gr_store_advance () have one revision. */
void gr_store_put (struct gr_store *store,
                   const char *key,
                   GBytes *value,
                   int64_t lease);
bool gr_store_delete (struct gr_store *store, const char *key);
void gr_store_advance (struct gr_store *store);

/* Id of the new lease. */
int64_t gr_store_grant (struct gr_store *store, int64_t ttl_s, int64_t now_ms);
bool gr_store_has_lease (const struct gr_store *store, int64_t lease);

/* The term in seconds, 0 if the lease is gone. */
int64_t
gr_store_keepalive (struct gr_store *store, int64_t lease, int64_t now_ms);

/* Deletes the lease and its keys. */
bool gr_store_revoke (struct gr_store *store, int64_t lease);

/* Revokes all leases whose term is over. */
void gr_store_expire (struct gr_store *store, int64_t now_ms);
