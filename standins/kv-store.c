#include "standins/kv-store.h"

#include <string.h>

struct store_lease
{
  int64_t id;
  int64_t ttl_s;
  int64_t expires_ms;
  GHashTable *keys; /* set of the keys attached to the lease */
};

struct gr_store
{
  GTree *entries;     /* key -> struct gr_store_entry */
  GHashTable *leases; /* id -> struct store_lease */
  int64_t revision;
  int64_t next_lease_id;
  int64_t next_expiry_ms; /* no lease expires earlier */
  bool has_written;       /* whether the current transaction has written */
};

static void
entry_free (void *data)
{
  struct gr_store_entry *entry = data;

  g_free (entry->key);
  g_bytes_unref (entry->value);
  g_free (entry);
}

static void
lease_free (void *data)
{
  struct store_lease *lease = data;

  g_hash_table_destroy (lease->keys);
  g_free (lease);
}

static int
compare_keys (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

struct gr_store *
gr_store_create (void)
{
  struct gr_store *store = g_new0 (struct gr_store, 1);

  store->entries = g_tree_new_full (compare_keys, NULL, NULL, entry_free);
  store->leases =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, lease_free);
  store->revision = 1;
  store->next_expiry_ms = INT64_MAX;
  store->next_lease_id = 1000000 + g_random_int_range (0, 1000000);
  return store;
}

void
gr_store_destroy (struct gr_store *store)
{
  if (store == NULL)
    return;
  g_tree_destroy (store->entries);
  g_hash_table_destroy (store->leases);
  g_free (store);
}

int64_t
gr_store_revision (const struct gr_store *store)
{
  return store->revision;
}

const struct gr_store_entry *
gr_store_get (const struct gr_store *store, const char *key)
{
  return g_tree_lookup (store->entries, key);
}

void
gr_store_scan (const struct gr_store *store,
               const char *begin,
               const char *end,
               void (*each) (const struct gr_store_entry *entry, void *context),
               void *context)
{
  GTreeNode *node = g_tree_lower_bound (store->entries, begin);

  while (node != NULL)
    {
      if (end != NULL && strcmp (g_tree_node_key (node), end) >= 0)
        return;
      each (g_tree_node_value (node), context);
      node = g_tree_node_next (node);
    }
}

static struct store_lease *
find_lease (const struct gr_store *store, int64_t id)
{
  gint64 key = id;

  return g_hash_table_lookup (store->leases, &key);
}

/* Returns the revision of the current transaction. Its first write increases
 * the revision of the store, further writes use the same one. */
static int64_t
get_write_revision (struct gr_store *store)
{
  if (!store->has_written)
    store->revision++;
  store->has_written = true;
  return store->revision;
}

void
gr_store_end_transaction (struct gr_store *store)
{
  store->has_written = false;
}

static void
detach_from_lease (struct gr_store *store, const struct gr_store_entry *entry)
{
  struct store_lease *lease = find_lease (store, entry->lease);

  if (lease != NULL)
    g_hash_table_remove (lease->keys, entry->key);
}

void
gr_store_put (struct gr_store *store,
              const char *key,
              GBytes *value,
              int64_t lease)
{
  struct gr_store_entry *entry = g_tree_lookup (store->entries, key);
  struct store_lease *holder = find_lease (store, lease);
  int64_t revision = get_write_revision (store);

  if (entry == NULL)
    {
      entry = g_new0 (struct gr_store_entry, 1);
      entry->key = g_strdup (key);
      entry->create_revision = revision;
      entry->value = g_bytes_ref (value);
      g_tree_insert (store->entries, entry->key, entry);
    }
  else
    {
      detach_from_lease (store, entry);
      g_bytes_unref (entry->value);
      entry->value = g_bytes_ref (value);
    }
  entry->mod_revision = revision;
  entry->version++;
  entry->lease = lease;
  if (holder != NULL)
    g_hash_table_add (holder->keys, g_strdup (key));
}

bool
gr_store_delete (struct gr_store *store, const char *key)
{
  struct gr_store_entry *entry = g_tree_lookup (store->entries, key);

  if (entry == NULL)
    return false;
  get_write_revision (store);
  detach_from_lease (store, entry);
  g_tree_remove (store->entries, key);
  return true;
}

int64_t
gr_store_grant (struct gr_store *store, int64_t ttl_s, int64_t now_ms)
{
  struct store_lease *lease = g_new0 (struct store_lease, 1);

  lease->id = store->next_lease_id++;
  lease->ttl_s = ttl_s;
  lease->expires_ms = now_ms + ttl_s * 1000;
  lease->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (store->leases, &lease->id, lease);
  store->next_expiry_ms = MIN (store->next_expiry_ms, lease->expires_ms);
  return lease->id;
}

bool
gr_store_has_lease (const struct gr_store *store, int64_t lease)
{
  return find_lease (store, lease) != NULL;
}

int64_t
gr_store_keepalive (struct gr_store *store, int64_t lease, int64_t now_ms)
{
  struct store_lease *found = find_lease (store, lease);

  if (found == NULL)
    return 0;
  found->expires_ms = now_ms + found->ttl_s * 1000;
  return found->ttl_s;
}

bool
gr_store_revoke (struct gr_store *store, int64_t lease)
{
  struct store_lease *found = find_lease (store, lease);
  GList *keys;

  if (found == NULL)
    return false;
  keys = g_hash_table_get_keys (found->keys);
  for (GList *item = keys; item != NULL; item = item->next)
    {
      /* gr_store_delete () frees the lease's own copy of the key. */
      char *key = g_strdup (item->data);

      gr_store_delete (store, key);
      g_free (key);
    }
  g_list_free (keys);
  gr_store_end_transaction (store);
  g_hash_table_remove (store->leases, &found->id);
  return true;
}

void
gr_store_expire (struct gr_store *store, int64_t now_ms)
{
  GList *list;
  int64_t next_ms = INT64_MAX;

  if (now_ms < store->next_expiry_ms)
    return;
  list = g_hash_table_get_values (store->leases);
  for (GList *item = list; item != NULL; item = item->next)
    {
      struct store_lease *lease = item->data;

      if (lease->expires_ms <= now_ms)
        gr_store_revoke (store, lease->id);
      else
        next_ms = MIN (next_ms, lease->expires_ms);
    }
  store->next_expiry_ms = next_ms;
  g_list_free (list);
}
