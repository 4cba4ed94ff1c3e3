/* Data model of the key-value stand-in: keys with revisions, and leases. */
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
  int64_t version; /* writes since the key was created */
  int64_t lease;   /* id of the lease, 0: none */
};

struct gr_store *gr_store_create (void);

/* store may be NULL. */
void gr_store_destroy (struct gr_store *store);

/* Returns the revision of the last write. */
int64_t gr_store_revision (const struct gr_store *store);

/* Returns the entry of a key, valid until the next write, or NULL if the key
 * does not exist. */
const struct gr_store_entry *gr_store_get (const struct gr_store *store,
                                           const char *key);

/* Calls each for all entries with begin <= key < end in key order. If end is
 * NULL, the range has no upper bound. */
void gr_store_scan (const struct gr_store *store,
                    const char *begin,
                    const char *end,
                    void (*each) (const struct gr_store_entry *entry,
                                  void *context),
                    void *context);

/* Writes a key and attaches it to a lease (0: none). Takes its own reference to
 * value. All writes up to the next gr_store_end_transaction () get the same
 * revision. */
void gr_store_put (struct gr_store *store,
                   const char *key,
                   GBytes *value,
                   int64_t lease);

/* Deletes a key. Returns false if it does not exist. */
bool gr_store_delete (struct gr_store *store, const char *key);

/* Ends the transaction: the next write gets a new revision. */
void gr_store_end_transaction (struct gr_store *store);

/* Creates a lease with a term of ttl_s seconds and returns its id. */
int64_t gr_store_grant (struct gr_store *store, int64_t ttl_s, int64_t now_ms);
bool gr_store_has_lease (const struct gr_store *store, int64_t lease);

/* Renews a lease for its full term. Returns the term in seconds, or 0 if the
 * lease does not exist. */
int64_t
gr_store_keepalive (struct gr_store *store, int64_t lease, int64_t now_ms);

/* Deletes a lease and all keys attached to it. Returns false if the lease does
 * not exist. */
bool gr_store_revoke (struct gr_store *store, int64_t lease);

/* Revokes all leases that have expired at now_ms. */
void gr_store_expire (struct gr_store *store, int64_t now_ms);
