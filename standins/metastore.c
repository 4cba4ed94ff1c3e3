#include "standins/metastore.h"

#include "http/json.h"
#include "standins/platform-worker.h"

#include <string.h>

/* Time after the request to evacuate a data centre at which nothing may be
 * started there any more. */
#define EVACUATE_MS 5000

/* A silenced watch is closed after this time. */
#define SILENT_WATCH_MS 30000

/* Number of past changes that a watch can start from. */
#define MAX_HISTORY_CHANGES 5000

#define EXPIRE_INTERVAL_MS 50
#define HEARTBEAT_INTERVAL_MS 1000

/* The entry of a worker that is a process of its own is removed after three
 * heartbeats without a renewal. */
#define ENTRY_TTL_MS ((int64_t)3 * GR_STANDIN_HEARTBEAT_MS)
#define MAX_PAGE_ITEMS 500
#define OWN_HOST "127.0.0.1"

struct item
{
  char *key;
  char *value;      /* base64, as it was sent */
  int64_t revision; /* of the last write */
  int64_t create_revision;
  int64_t created_ms;
  int64_t lease; /* 0: none */
};

/* An item as it was written by one change. */
struct change
{
  char *key;
  char *value; /* NULL: removed */
  int64_t revision;
  int64_t create_revision;
  int64_t lease;
};

struct lease
{
  int64_t id;
  int64_t ttl_ms;
  int64_t expires_ms;
};

/* A watch call that waits for a change. */
struct watcher
{
  struct gr_standin_call *call;
  char *prefix;  /* of the keys to report */
  int64_t after; /* reports changes with a higher revision */
};

struct gr_standin_platform
{
  struct gr_standin *base;
  GTree *items;        /* key -> struct item */
  GQueue changes;      /* struct change, oldest first */
  GHashTable *leases;  /* id -> struct lease */
  GHashTable *entries; /* key of a worker's entry -> int64_t, when it expires */
  GList *watchers;
  int64_t revision;
  int64_t history_start; /* changes up to this revision were discarded */
  int64_t last_lease_id;
  GSource *check_timer;
  GSource *heartbeat_timer;
  GPtrArray *workers;      /* struct gr_platform_worker */
  uint64_t sequence;       /* number of the last heartbeat */
  GHashTable *done;        /* task -> number of runs with outcome "done" */
  uint32_t duplicate_runs; /* counted again by each check */
  uint32_t late_starts;    /* in evacuated data centres; the same */
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
item_free (void *data)
{
  struct item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static void
change_free (void *data)
{
  struct change *change = data;

  g_free (change->key);
  g_free (change->value);
  g_free (change);
}

/* Returns the value, which is base64, with one host instead of the other in all
 * addresses. Both have the same length. */
static char *
replace_host (const char *value, const char *host, const char *replacement)
{
  g_autofree char *from = g_strconcat (host, ":", NULL);
  gsize length = strlen (from);
  gsize size;
  g_autofree guchar *data = g_base64_decode (value, &size);

  for (gsize i = 0; i + length <= size; i++)
    if (memcmp (data + i, from, length) == 0)
      memcpy (data + i, replacement, length - 1);
  return g_base64_encode (data, size);
}

/* A caller on 127.0.0.2 to 127.0.0.9 sees the addresses on 127.0.0.1 with its
 * own host, and what it writes is changed back. Relays on that host are its
 * paths: on a network the path to one address depends on where the caller is.
 * Returns NULL for a caller whose values stay as they are. */
static char *
caller_host (struct gr_standin_call *call)
{
  GSocketAddress *remote =
      soup_server_message_get_remote_address (call->message);
  char *host = NULL;

  if (G_IS_INET_SOCKET_ADDRESS (remote))
    host = g_inet_address_to_string (
        g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (remote)));
  if (g_strcmp0 (host, OWN_HOST) == 0
      || (host != NULL && strlen (host) != strlen (OWN_HOST)))
    g_clear_pointer (&host, g_free);
  return host;
}

static void
set_value (JsonObject *object, const char *value, const char *host)
{
  g_autofree char *replaced =
      host != NULL ? replace_host (value, OWN_HOST, host) : NULL;

  json_object_set_string_member (object, "value", replaced ? replaced : value);
}

/* host: of the caller, or NULL. */
static JsonObject *
item_to_json (const struct item *item, const char *host)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "key", item->key);
  set_value (object, item->value, host);
  json_object_set_int_member (object, "revision", item->revision);
  json_object_set_int_member (object, "created-rev", item->create_revision);
  json_object_set_int_member (object, "lease", item->lease);
  return object;
}

static JsonObject *
change_to_json (const struct change *change, const char *host)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "key", change->key);
  json_object_set_int_member (object, "revision", change->revision);
  if (change->value == NULL)
    {
      json_object_set_boolean_member (object, "deleted", TRUE);
      return object;
    }
  set_value (object, change->value, host);
  json_object_set_int_member (object, "created-rev", change->create_revision);
  json_object_set_int_member (object, "lease", change->lease);
  return object;
}

static void
add_change (struct gr_standin_platform *platform,
            const char *key,
            const struct item *item)
{
  struct change *change = g_new0 (struct change, 1);

  change->key = g_strdup (key);
  change->revision = platform->revision;
  if (item != NULL)
    {
      change->value = g_strdup (item->value);
      change->create_revision = item->create_revision;
      change->lease = item->lease;
    }
  g_queue_push_tail (&platform->changes, change);
  if (g_queue_get_length (&platform->changes) > MAX_HISTORY_CHANGES)
    change_free (g_queue_pop_head (&platform->changes));
}

static void
put_item (struct gr_standin_platform *platform,
          const char *key,
          const char *value,
          int64_t lease)
{
  struct item *item = g_tree_lookup (platform->items, key);

  if (item == NULL)
    {
      item = g_new0 (struct item, 1);
      item->key = g_strdup (key);
      item->create_revision = platform->revision;
      item->created_ms = now_ms ();
      g_tree_insert (platform->items, item->key, item);
    }
  g_free (item->value);
  item->value = g_strdup (value);
  item->revision = platform->revision;
  item->lease = lease;
  add_change (platform, key, item);
}

static void
remove_item (struct gr_standin_platform *platform, const char *key)
{
  g_autofree char *copy = g_strdup (key);

  if (g_tree_remove (platform->items, copy))
    add_change (platform, copy, NULL);
}

/* Replies with the changes that the watcher asks for, or with the first ones if
 * they do not fit into a page. If there are none, replies only if allow_empty
 * is set. Returns whether it has replied. */
static bool
reply_watch (struct gr_standin_platform *platform,
             struct watcher *watcher,
             bool allow_empty)
{
  g_autofree char *host = caller_host (watcher->call);
  JsonArray *events = json_array_new ();
  int64_t as_of = platform->revision;
  int64_t last_revision = 0;
  JsonObject *body;

  for (GList *next = platform->changes.head; next != NULL; next = next->next)
    {
      struct change *change = next->data;

      if (change->revision <= watcher->after
          || !g_str_has_prefix (change->key, watcher->prefix))
        continue;
      /* Changes of one revision stay together. */
      if (json_array_get_length (events) >= MAX_PAGE_ITEMS
          && change->revision != last_revision)
        {
          as_of = last_revision;
          break;
        }
      json_array_add_object_element (events, change_to_json (change, host));
      last_revision = change->revision;
    }
  if (json_array_get_length (events) == 0 && !allow_empty)
    {
      json_array_unref (events);
      return false;
    }
  body = json_object_new ();
  json_object_set_array_member (body, "events", events);
  json_object_set_int_member (body, "as-of", as_of);
  gr_standin_reply (watcher->call, 200, body);
  return true;
}

static void
watcher_free (struct gr_standin_platform *platform, struct watcher *watcher)
{
  platform->watchers = g_list_remove (platform->watchers, watcher);
  g_free (watcher->prefix);
  g_free (watcher);
}

/* Replies to all watchers that have new changes. */
static void
notify_watchers (struct gr_standin_platform *platform)
{
  GList *next = platform->watchers;

  while (next != NULL)
    {
      struct watcher *watcher = next->data;

      next = next->next;
      if (reply_watch (platform, watcher, false))
        watcher_free (platform, watcher);
    }
}

/* Call of a waiting watch -> its struct gr_standin_platform, since the callback
 * of gr_standin_delay () gets only the call. */
static GHashTable *waiting_watches;

static void
handle_watch_timeout (struct gr_standin_call *call)
{
  struct gr_standin_platform *platform =
      g_hash_table_lookup (waiting_watches, call);

  g_hash_table_remove (waiting_watches, call);
  for (GList *next = platform->watchers; next != NULL; next = next->next)
    {
      struct watcher *watcher = next->data;

      if (watcher->call != call)
        continue;
      reply_watch (platform, watcher, true);
      watcher_free (platform, watcher);
      return;
    }
}

static GHashTable *
parse_query (struct gr_standin_call *call)
{
  const char *query =
      g_uri_get_query (soup_server_message_get_uri (call->message));

  return soup_form_decode (query ? query : "");
}

static int64_t
get_query_int (GHashTable *query, const char *name)
{
  const char *text = g_hash_table_lookup (query, name);

  return text ? g_ascii_strtoll (text, NULL, 10) : 0;
}

static void
apply_watch (struct gr_standin_platform *platform, struct gr_standin_call *call)
{
  g_autoptr (GHashTable) query = parse_query (call);
  struct watcher *watcher = g_new0 (struct watcher, 1);
  struct change *oldest = g_queue_peek_head (&platform->changes);
  const char *prefix = g_hash_table_lookup (query, "prefix");

  watcher->call = call;
  watcher->prefix = g_strdup (prefix ? prefix : "");
  watcher->after = get_query_int (query, "after");
  if (watcher->after < platform->history_start
      || (oldest != NULL
          && g_queue_get_length (&platform->changes) >= MAX_HISTORY_CHANGES
          && watcher->after < oldest->revision))
    {
      /* Changes that the call asks for may have been dropped from the
       * history. */
      g_free (watcher->prefix);
      g_free (watcher);
      gr_standin_reply (call, 410, NULL);
      return;
    }
  platform->watchers = g_list_prepend (platform->watchers, watcher);
  if (reply_watch (platform, watcher, false))
    {
      watcher_free (platform, watcher);
      return;
    }
  g_hash_table_insert (waiting_watches, call, platform);
  gr_standin_delay (call, get_query_int (query, "wait-ms"),
                    handle_watch_timeout);
}

static void
apply_get (struct gr_standin_platform *platform, struct gr_standin_call *call)
{
  g_autoptr (GHashTable) query = parse_query (call);
  g_autofree char *host = caller_host (call);
  const char *key = g_hash_table_lookup (query, "key");
  struct item *item = key ? g_tree_lookup (platform->items, key) : NULL;
  JsonObject *body;

  if (item == NULL)
    {
      gr_standin_reply (call, 404, NULL);
      return;
    }
  body = item_to_json (item, host);
  json_object_set_int_member (body, "as-of", platform->revision);
  gr_standin_reply (call, 200, body);
}

/* State of a range request while the items are scanned. */
struct page
{
  const char *prefix;
  const char *after; /* last key of the previous page, or NULL */
  const char *host;  /* of the caller, or NULL */
  JsonArray *items;
  bool truncated; /* there are more items than fit into the page */
};

static gboolean
add_to_page (gpointer key, gpointer value, gpointer data)
{
  struct page *page = data;

  if (!g_str_has_prefix (key, page->prefix)
      || (page->after != NULL && strcmp (key, page->after) <= 0))
    return FALSE;
  if (json_array_get_length (page->items) >= MAX_PAGE_ITEMS)
    {
      page->truncated = true;
      return TRUE;
    }
  json_array_add_object_element (page->items, item_to_json (value, page->host));
  return FALSE;
}

static void
apply_range (struct gr_standin_platform *platform, struct gr_standin_call *call)
{
  g_autoptr (GHashTable) query = parse_query (call);
  const char *prefix = g_hash_table_lookup (query, "prefix");
  g_autofree char *host = caller_host (call);
  struct page page = { prefix ? prefix : "",
                       g_hash_table_lookup (query, "after"), host,
                       json_array_new (), false };
  JsonObject *body = json_object_new ();

  g_tree_foreach (platform->items, add_to_page, &page);
  json_object_set_array_member (body, "items", page.items);
  json_object_set_boolean_member (body, "truncated", page.truncated);
  json_object_set_int_member (body, "as-of", platform->revision);
  gr_standin_reply (call, 200, body);
}

static int64_t
get_revision (struct gr_standin_platform *platform, const char *key)
{
  const struct item *item = g_tree_lookup (platform->items, key);

  return item ? item->revision : 0;
}

static bool
revisions_match (struct gr_standin_platform *platform, JsonArray *expected)
{
  for (guint i = 0; expected && i < json_array_get_length (expected); i++)
    {
      JsonObject *row = json_array_get_object_element (expected, i);

      if (get_revision (platform, json_object_get_string_member (row, "key"))
          != json_object_get_int_member (row, "revision"))
        return false;
    }
  return true;
}

static void
reply_conflict (struct gr_standin_platform *platform,
                struct gr_standin_call *call,
                JsonArray *expected)
{
  JsonObject *body = json_object_new ();
  g_autofree char *host = caller_host (call);
  JsonArray *items = json_array_new ();

  for (guint i = 0; i < json_array_get_length (expected); i++)
    {
      JsonObject *row = json_array_get_object_element (expected, i);
      const struct item *item = g_tree_lookup (
          platform->items, json_object_get_string_member (row, "key"));

      if (item != NULL)
        json_array_add_object_element (items, item_to_json (item, host));
    }
  json_object_set_array_member (body, "items", items);
  json_object_set_int_member (body, "as-of", platform->revision);
  gr_standin_reply (call, 412, body);
}

static bool
leases_exist (struct gr_standin_platform *platform, JsonArray *writes)
{
  for (guint i = 0; writes && i < json_array_get_length (writes); i++)
    {
      JsonObject *row = json_array_get_object_element (writes, i);
      int64_t id = json_object_get_int_member (row, "lease");

      if (id != 0 && !g_hash_table_contains (platform->leases, &id))
        return false;
    }
  return true;
}

static void
apply_txn (struct gr_standin_platform *platform, struct gr_standin_call *call)
{
  JsonArray *expected = NULL;
  JsonArray *writes = NULL;
  JsonArray *removals = NULL;
  g_autofree char *host = caller_host (call);
  JsonObject *body;

  if (call->body == NULL
      || !gr_json_get_array (call->body, "expected-rev", &expected)
      || !gr_json_get_array (call->body, "writes", &writes)
      || !gr_json_get_array (call->body, "remove", &removals))
    {
      gr_standin_reply (call, 400, NULL);
      return;
    }
  if (!leases_exist (platform, writes))
    {
      gr_standin_reply (call, 404, NULL);
      return;
    }
  if (!revisions_match (platform, expected))
    {
      reply_conflict (platform, call, expected);
      return;
    }
  platform->revision++;
  for (guint i = 0; writes && i < json_array_get_length (writes); i++)
    {
      JsonObject *row = json_array_get_object_element (writes, i);
      const char *value = json_object_get_string_member (row, "value");
      g_autofree char *replaced =
          host != NULL ? replace_host (value, host, OWN_HOST) : NULL;

      put_item (platform, json_object_get_string_member (row, "key"),
                replaced ? replaced : value,
                json_object_get_int_member (row, "lease"));
    }
  for (guint i = 0; removals && i < json_array_get_length (removals); i++)
    remove_item (platform, json_array_get_string_element (removals, i));
  body = json_object_new ();
  json_object_set_int_member (body, "revision", platform->revision);
  gr_standin_reply (call, 200, body);
  notify_watchers (platform);
}

static gboolean
collect_attached_key (gpointer key, gpointer value, gpointer data)
{
  void **args = data;

  if (((struct item *)value)->lease == *(int64_t *)args[0])
    g_ptr_array_add (args[1], g_strdup (key));
  return FALSE;
}

/* Removes a lease and all items attached to it. */
static void
revoke_lease (struct gr_standin_platform *platform, int64_t id)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  void *args[] = { &id, keys };

  g_hash_table_remove (platform->leases, &id);
  g_tree_foreach (platform->items, collect_attached_key, args);
  if (keys->len > 0)
    platform->revision++;
  for (guint i = 0; i < keys->len; i++)
    remove_item (platform, keys->pdata[i]);
  g_ptr_array_unref (keys);
  notify_watchers (platform);
}

static void
reply_lease (struct gr_standin_call *call, const struct lease *lease)
{
  JsonObject *body = json_object_new ();

  json_object_set_int_member (body, "lease", lease->id);
  json_object_set_int_member (body, "ttl-ms", lease->ttl_ms);
  gr_standin_reply (call, 200, body);
}

static void
apply_grant (struct gr_standin_platform *platform, struct gr_standin_call *call)
{
  struct lease *lease = g_new0 (struct lease, 1);

  lease->id = ++platform->last_lease_id;
  if (call->body == NULL
      || !gr_json_get_int (call->body, "ttl-ms", 1000, 600000, 1000,
                           &lease->ttl_ms))
    {
      g_free (lease);
      gr_standin_reply (call, 400, NULL);
      return;
    }
  lease->expires_ms = now_ms () + lease->ttl_ms;
  g_hash_table_insert (platform->leases, &lease->id, lease);
  reply_lease (call, lease);
}

static void
apply_renew_or_revoke (struct gr_standin_platform *platform,
                       struct gr_standin_call *call,
                       const char *id_text,
                       bool revoke)
{
  int64_t id = g_ascii_strtoll (id_text, NULL, 10);
  struct lease *lease = g_hash_table_lookup (platform->leases, &id);

  if (lease == NULL)
    {
      gr_standin_reply (call, 404, NULL);
      return;
    }
  if (revoke)
    {
      gr_standin_reply (call, 200, json_object_new ());
      revoke_lease (platform, id);
      return;
    }
  lease->expires_ms = now_ms () + lease->ttl_ms;
  reply_lease (call, lease);
}

static void
apply (struct gr_standin_call *call, void *context)
{
  static const char renew_prefix[] = "/v1/kv-keep/";
  static const char revoke_prefix[] = "/v1/kv-lease-end/";
  static const struct
  {
    const char *path;
    void (*apply) (struct gr_standin_platform *, struct gr_standin_call *);
  } routes[] = {
    { "/v1/kv-key", apply_get },     { "/v1/kv-range", apply_range },
    { "/v1/kv-watch", apply_watch }, { "/v1/kv-txn", apply_txn },
    { "/v1/kv-lease", apply_grant },
  };
  struct gr_standin_platform *platform = context;

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (g_str_equal (routes[i].path, call->path))
      {
        routes[i].apply (platform, call);
        return;
      }
  if (g_str_has_prefix (call->path, renew_prefix))
    apply_renew_or_revoke (platform, call, call->path + strlen (renew_prefix),
                           false);
  else if (g_str_has_prefix (call->path, revoke_prefix))
    apply_renew_or_revoke (platform, call, call->path + strlen (revoke_prefix),
                           true);
  else
    gr_standin_reply (call, 404, NULL);
}

static bool
is_write (const struct gr_standin_call *call)
{
  return g_str_equal (call->path, "/v1/kv-txn");
}

/* Returns the number of tasks with more than one run with outcome "done". */
static uint32_t
count_done_twice (const struct gr_standin_platform *platform)
{
  uint32_t twice = 0;
  GHashTableIter iter;
  void *count;

  g_hash_table_iter_init (&iter, platform->done);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    twice += GPOINTER_TO_UINT (count) > 1;
  return twice;
}

static void
describe (JsonObject *answer, void *context)
{
  struct gr_standin_platform *platform = context;

  json_object_set_int_member (answer, "revision", platform->revision);
  json_object_set_int_member (answer, "doubles", platform->duplicate_runs);
  json_object_set_int_member (answer, "late_starts", platform->late_starts);
  json_object_set_int_member (answer, "done_twice",
                              count_done_twice (platform));
  json_object_set_int_member (answer, "done",
                              g_hash_table_size (platform->done));
}

/* Reads the start of a worker's process and the number of a heartbeat from its
 * entry. */
static void
read_entry (const char *text, gsize size, int64_t *born, int64_t *sequence)
{
  g_autoptr (GBytes) bytes = g_bytes_new (text, size);
  struct gr_error ignored = GR_ERROR_INIT;
  JsonObject *body = gr_json_parse (bytes, &ignored);

  *born = *sequence = 0;
  if (body == NULL)
    return;
  gr_json_get_int (body, "born", 0, INT64_MAX, 0, born);
  gr_json_get_int (body, "sequence", 0, INT64_MAX, 0, sequence);
  json_object_unref (body);
}

/* True if the text is an entry from before the one that the store has, such as
 * a heartbeat of a former process that a relay has held. */
static bool
is_older_entry (struct gr_standin_platform *platform,
                const char *key,
                const char *text)
{
  const struct item *item = g_tree_lookup (platform->items, key);
  g_autofree char *known = NULL;
  gsize size;
  int64_t born;
  int64_t known_born;
  int64_t sequence;
  int64_t known_sequence;

  if (item == NULL)
    return false;
  known = (char *)g_base64_decode (item->value, &size);
  read_entry (known, size, &known_born, &known_sequence);
  read_entry (text, strlen (text), &born, &sequence);
  return born < known_born || (born == known_born && sequence < known_sequence);
}

static void
renew_entry (struct gr_standin_platform *platform,
             const char *key,
             const char *text)
{
  int64_t expires_ms = now_ms () + ENTRY_TTL_MS;

  if (is_older_entry (platform, key, text))
    return;
  g_hash_table_replace (platform->entries, g_strdup (key),
                        g_memdup2 (&expires_ms, sizeof expires_ms));
  gr_standin_platform_put (platform, key, text);
}

static void
expire_entries (struct gr_standin_platform *platform)
{
  GHashTableIter iter;
  void *key;
  void *expires_ms;

  g_hash_table_iter_init (&iter, platform->entries);
  while (g_hash_table_iter_next (&iter, &key, &expires_ms))
    {
      if (*(int64_t *)expires_ms > now_ms ())
        continue;
      platform->revision++;
      remove_item (platform, key);
      g_hash_table_iter_remove (&iter);
      notify_watchers (platform);
    }
}

/* Writes a key if the body has the member "put", for example
 * {"put":{"key":"op/config","text":"..."}}, removes one if it has the member
 * "remove", such as {"remove":"op/evacuate/dc1"}, and restarts a worker if it
 * has the member "restart", such as {"restart":3}. "heartbeat" is like "put",
 * for the entry of a worker, which expires. */
static bool
control (JsonObject *body, void *context)
{
  struct gr_standin_platform *platform = context;
  JsonObject *put = NULL;
  JsonObject *heartbeat = NULL;
  const char *removed = gr_json_peek_string (body, "remove");
  int64_t restarted;

  if (!gr_json_get_int (body, "restart", 0, MAX (platform->workers->len, 1) - 1,
                        -1, &restarted)
      || !gr_json_get_object (body, "heartbeat", &heartbeat))
    return false;
  if (heartbeat != NULL)
    renew_entry (platform, gr_json_peek_string (heartbeat, "key"),
                 gr_json_peek_string (heartbeat, "text"));
  if (restarted >= 0)
    gr_standin_platform_restart_worker (platform, (uint32_t)restarted);
  if (removed != NULL)
    {
      platform->revision++;
      g_hash_table_remove (platform->entries, removed);
      remove_item (platform, removed);
      notify_watchers (platform);
    }
  if (!gr_json_get_object (body, "put", &put))
    return false;
  if (put == NULL)
    return true;
  gr_standin_platform_put (platform, gr_json_peek_string (put, "key"),
                           gr_json_peek_string (put, "text"));
  return true;
}

static const struct gr_standin_ops ops = { is_write, apply, describe, control };

void
gr_standin_platform_put (struct gr_standin_platform *platform,
                         const char *key,
                         const char *text)
{
  g_autofree char *value =
      g_base64_encode ((const guchar *)text, strlen (text));

  platform->revision++;
  put_item (platform, key, value, 0);
  notify_watchers (platform);
}

void
gr_standin_platform_remove_and_forget (struct gr_standin_platform *platform,
                                       const char *key)
{
  g_tree_remove (platform->items, key);
  platform->history_start = ++platform->revision;
  while (platform->watchers != NULL)
    {
      struct watcher *watcher = platform->watchers->data;
      struct gr_standin_call *call = watcher->call;

      watcher_free (platform, watcher);
      gr_standin_reply (call, 410, NULL);
    }
}

uint32_t
gr_standin_platform_waiting_watches (const struct gr_standin_platform *platform)
{
  return g_list_length (platform->watchers);
}

void
gr_standin_platform_silence_watches (struct gr_standin_platform *platform)
{
  while (platform->watchers != NULL)
    {
      struct watcher *watcher = platform->watchers->data;
      struct gr_standin_call *call = watcher->call;

      watcher_free (platform, watcher);
      gr_standin_delay (call, SILENT_WATCH_MS, gr_standin_drop);
    }
}

/* Adds the runs of tasks that are already running on another worker to
 * duplicate_runs. */
static void
count_duplicate_runs (struct gr_standin_platform *platform)
{
  g_autoptr (GHashTable) running = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < platform->workers->len; i++)
    platform->duplicate_runs +=
        gr_platform_worker_add_running (platform->workers->pdata[i], running);
}

/* Adds the active runs that were started too late in an evacuated data centre
 * to late_starts. */
static void
count_late_starts (struct gr_standin_platform *platform)
{
  for (guint i = 0; i < platform->workers->len; i++)
    {
      const struct gr_platform_worker *worker = platform->workers->pdata[i];
      g_autofree char *key = g_strconcat (
          "op/evacuate/", gr_platform_worker_data_centre (worker), NULL);
      const struct item *item = g_tree_lookup (platform->items, key);

      if (item != NULL)
        platform->late_starts += gr_platform_worker_started_after (
            worker, item->created_ms + EVACUATE_MS);
    }
}

static gboolean
check_leases_and_runs (gpointer data)
{
  struct gr_standin_platform *platform = data;
  GHashTableIter iter;
  void *value;

  count_duplicate_runs (platform);
  count_late_starts (platform);
  expire_entries (platform);
  g_hash_table_iter_init (&iter, platform->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct lease *)value)->expires_ms <= now_ms ())
      {
        /* This changes the table and ends the iteration; the next check revokes
         * further leases. */
        revoke_lease (platform, ((struct lease *)value)->id);
        break;
      }
  return G_SOURCE_CONTINUE;
}

/* Writes the registry key of each worker, as the workers do. */
static gboolean
write_heartbeats (gpointer data)
{
  struct gr_standin_platform *platform = data;

  platform->sequence++;
  for (guint i = 0; i < platform->workers->len; i++)
    {
      struct gr_platform_worker *worker = platform->workers->pdata[i];
      g_autofree char *key =
          g_strconcat ("servers/", gr_platform_worker_id (worker), NULL);
      g_autofree char *text =
          gr_platform_worker_registry_value (worker, platform->sequence);

      if (gr_platform_worker_base (worker) != NULL)
        gr_standin_platform_put (platform, key, text);
    }
  return G_SOURCE_CONTINUE;
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static GSource *
create_timer (uint32_t interval_ms, GSourceFunc call, void *data)
{
  GSource *source = g_timeout_source_new (interval_ms);

  g_source_set_callback (source, call, data, NULL);
  g_source_attach (source, NULL);
  return source;
}

struct gr_standin_platform *
gr_standin_platform_create (const struct gr_standin_platform_settings *settings,
                            struct gr_error *error)
{
  struct gr_standin_platform_settings worker_settings = *settings;
  struct gr_standin_platform *platform = g_new0 (struct gr_standin_platform, 1);

  if (waiting_watches == NULL)
    waiting_watches = g_hash_table_new (NULL, NULL);
  platform->items = g_tree_new_full (compare_keys, NULL, NULL, item_free);
  g_queue_init (&platform->changes);
  platform->leases =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  platform->entries =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  platform->workers = g_ptr_array_new_with_free_func (
      (GDestroyNotify)gr_platform_worker_destroy);
  platform->base = gr_standin_create (settings->listen, &ops, platform, error);
  platform->check_timer =
      create_timer (EXPIRE_INTERVAL_MS, check_leases_and_runs, platform);
  platform->heartbeat_timer =
      create_timer (HEARTBEAT_INTERVAL_MS, write_heartbeats, platform);
  platform->done =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker_settings.done = platform->done;
  for (uint32_t i = 0; platform->base != NULL && i < settings->workers; i++)
    {
      struct gr_platform_worker *worker =
          gr_platform_worker_create (i, &worker_settings, error);

      if (worker == NULL)
        {
          gr_standin_platform_destroy (platform);
          return NULL;
        }
      g_ptr_array_add (platform->workers, worker);
    }
  if (platform->base == NULL)
    {
      gr_standin_platform_destroy (platform);
      return NULL;
    }
  write_heartbeats (platform);
  return platform;
}

void
gr_standin_platform_destroy (struct gr_standin_platform *platform)
{
  if (platform == NULL)
    return;
  g_source_destroy (platform->check_timer);
  g_source_unref (platform->check_timer);
  g_source_destroy (platform->heartbeat_timer);
  g_source_unref (platform->heartbeat_timer);
  while (platform->watchers != NULL)
    {
      struct watcher *watcher = platform->watchers->data;

      g_hash_table_remove (waiting_watches, watcher->call);
      watcher_free (platform, watcher);
    }
  g_ptr_array_unref (platform->workers);
  if (platform->base != NULL)
    gr_standin_destroy (platform->base);
  g_tree_unref (platform->items);
  g_hash_table_destroy (platform->leases);
  g_hash_table_destroy (platform->entries);
  g_hash_table_destroy (platform->done);
  g_queue_clear_full (&platform->changes, change_free);
  g_free (platform);
}

struct gr_standin *
gr_standin_platform_base (struct gr_standin_platform *platform)
{
  return platform->base;
}

struct gr_standin *
gr_standin_platform_worker (struct gr_standin_platform *platform,
                            uint32_t number)
{
  return gr_platform_worker_base (platform->workers->pdata[number]);
}

int64_t
gr_standin_platform_restart_worker (struct gr_standin_platform *platform,
                                    uint32_t number)
{
  return gr_platform_worker_restart (platform->workers->pdata[number]);
}

uint32_t
gr_standin_platform_starts (struct gr_standin_platform *platform,
                            const char *task)
{
  uint32_t starts = 0;

  for (guint i = 0; i < platform->workers->len; i++)
    starts += gr_platform_worker_starts (platform->workers->pdata[i], task);
  return starts;
}

uint32_t
gr_standin_platform_running (struct gr_standin_platform *platform,
                             const char *task)
{
  uint32_t running = 0;

  for (guint i = 0; i < platform->workers->len; i++)
    running += gr_platform_worker_running (platform->workers->pdata[i], task);
  return running;
}

int64_t
gr_standin_platform_worker_lease_ms (struct gr_standin_platform *platform,
                                     uint32_t number)
{
  return gr_platform_worker_lease_ms (platform->workers->pdata[number]);
}
