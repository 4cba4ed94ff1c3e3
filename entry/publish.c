#include "entry/publish.h"

#include "entry/confirm.h"
#include "entry/history.h"

#include <string.h>

#define PUSH_INTERVAL_MS 500
#define PUSH_TIMEOUT_MS 1000
#define STORE_RETRY_INTERVAL_MS 100

struct gr_publish
{
  struct gr_entry *entry;
  struct gr_exchange *exchange; /* NULL once the response has been sent */
  char *path;
  char *text;
  char *writer;
  char *key;
  char *history_key;
  char *history; /* new value of history_key */
  int64_t expected;
  int64_t revision; /* 0 until the write is known to have succeeded */
  int64_t deadline_ms;
  /* Number of entries that must hold the document: the larger of the majorities
   * before and after the change. The one before counts only if there was a
   * platform document. */
  uint32_t majority;
  bool outcome_unknown;     /* a write was sent and its response was lost */
  uint32_t calls_in_flight; /* callbacks still due; they use this struct */
  GHashTable *held_by;      /* names of the entries that hold the document */
  guint timer;
};

/* One "settings.push" call to one member. */
struct push
{
  struct gr_publish *publish;
  char name[GR_NAME_MAX];
  enum gr_instance_role role;
};

static void read_history (struct gr_publish *publish);

static void
free_if_unused (struct gr_publish *publish)
{
  if (publish->calls_in_flight > 0 || publish->exchange != NULL)
    return;
  g_clear_handle_id (&publish->timer, g_source_remove);
  g_hash_table_remove (publish->entry->publishes, publish);
  g_hash_table_destroy (publish->held_by);
  g_free (publish->path);
  g_free (publish->text);
  g_free (publish->writer);
  g_free (publish->key);
  g_free (publish->history_key);
  g_free (publish->history);
  g_free (publish);
}

static JsonObject *
to_json (const struct gr_publish *publish)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "path", publish->path);
  json_object_set_int_member (object, "revision", publish->revision);
  return object;
}

static void
fail (struct gr_publish *publish,
      const struct gr_error *error,
      JsonObject *extra)
{
  struct gr_exchange *exchange = publish->exchange;

  publish->exchange = NULL;
  g_clear_handle_id (&publish->timer, g_source_remove);
  gr_entry_increment_counter (publish->entry, "settings_changes_total",
                              "result", gr_error_info (error->kind)->name);
  if (exchange != NULL)
    gr_exchange_fail_with (exchange, error, extra);
  else
    g_clear_pointer (&extra, json_object_unref);
}

static void
fail_conflict (struct gr_publish *publish, int64_t current_revision)
{
  struct gr_error error = GR_ERROR_INIT;
  JsonObject *extra = json_object_new ();

  json_object_set_int_member (extra, "current_revision", current_revision);
  gr_error_set (&error, GR_ERROR_CONFLICT,
                "the document has revision %" G_GINT64_FORMAT,
                (gint64)current_revision);
  fail (publish, &error, extra);
}

/* The change is not known to be written. Fails with store-unavailable (run
 * state not-run) if it cannot have been written, otherwise with unconfirmed. */
static void
fail_write (struct gr_publish *publish, const struct gr_error *cause)
{
  struct gr_error error = GR_ERROR_INIT;

  if (publish->outcome_unknown)
    gr_error_set (
        &error, GR_ERROR_UNCONFIRMED,
        "the key-value service did not confirm whether the change was written");
  else
    gr_error_set_retry (&error, GR_ERROR_STORE_UNAVAILABLE,
                        cause->retry_after_ms, "%s", cause->message);
  fail (publish, &error, publish->outcome_unknown ? to_json (publish) : NULL);
}

static void
check_confirmed (struct gr_publish *publish)
{
  struct gr_exchange *exchange = publish->exchange;
  JsonObject *response;

  if (exchange == NULL
      || g_hash_table_size (publish->held_by) < publish->majority)
    return;
  publish->exchange = NULL;
  g_clear_handle_id (&publish->timer, g_source_remove);
  response = to_json (publish);
  json_object_set_boolean_member (response, "in_force", TRUE);
  gr_entry_increment_counter (publish->entry, "settings_changes_total",
                              "result", "accepted");
  gr_exchange_send_json (exchange, 200, response);
}

static void
push_done (const msgpack_object *body,
           const struct gr_error *error,
           void *context)
{
  struct push *push = context;
  struct gr_publish *publish = push->publish;

  publish->calls_in_flight--;
  if (error == NULL && push->role == GR_ROLE_ENTRY
      && gr_unpack_int (body, "revision", 0) >= publish->revision)
    g_hash_table_add (publish->held_by, g_strdup (push->name));
  g_free (push);
  if (!publish->entry->destroying)
    check_confirmed (publish);
  free_if_unused (publish);
}

static void
push_to_members (struct gr_publish *publish)
{
  struct gr_entry *entry = publish->entry;
  GArray *members = gr_members_list (entry->members);
  struct gr_packer *body = gr_packer_create ();

  gr_pack_string (body, "path", publish->path);
  gr_pack_int (body, "revision", publish->revision);
  gr_pack_string (body, "document", publish->text);
  for (guint i = 0; i < members->len; i++)
    {
      const struct gr_member *member =
          &g_array_index (members, struct gr_member, i);
      struct push *push;

      if (member->address[0] == '\0'
          || (member->role == GR_ROLE_ENTRY
              && g_hash_table_contains (publish->held_by, member->name)))
        continue;
      push = g_new0 (struct push, 1);
      push->publish = publish;
      push->role = member->role;
      g_strlcpy (push->name, member->name, sizeof push->name);
      publish->calls_in_flight++;
      gr_rpc_call (gr_peers_client (entry->peers, member->address),
                   "settings.push", body, PUSH_TIMEOUT_MS, push_done, push);
    }
  gr_packer_destroy (body);
  g_array_unref (members);
}

static gboolean
on_push_timer (gpointer data)
{
  struct gr_publish *publish = data;
  struct gr_error error = GR_ERROR_INIT;

  if (gr_clock_now_ms (publish->entry->clock) < publish->deadline_ms)
    {
      push_to_members (publish);
      return G_SOURCE_CONTINUE;
    }
  publish->timer = 0;
  gr_error_set (&error, GR_ERROR_UNCONFIRMED,
                "written with revision %" G_GINT64_FORMAT
                "; %u entries are known to hold it, %u are required",
                (gint64)publish->revision, g_hash_table_size (publish->held_by),
                publish->majority);
  fail (publish, &error, to_json (publish));
  free_if_unused (publish);
  return G_SOURCE_REMOVE;
}

static void
document_written (struct gr_publish *publish, int64_t revision)
{
  struct gr_entry *entry = publish->entry;

  publish->revision = revision;
  if (gr_confirm_has_platform (entry->confirm))
    publish->majority = gr_majority (entry->platform.entry_instances);
  gr_settings_store_apply (entry->store, publish->path, publish->text,
                           revision);
  publish->majority =
      MAX (publish->majority, gr_majority (entry->platform.entry_instances));
  g_hash_table_add (publish->held_by, g_strdup (entry->process->instance));
  push_to_members (publish);
  publish->timer = g_timeout_add (PUSH_INTERVAL_MS, on_push_timer, publish);
  check_confirmed (publish);
}

static gboolean
retry_store (gpointer data)
{
  struct gr_publish *publish = data;

  publish->timer = 0;
  read_history (publish);
  return G_SOURCE_REMOVE;
}

/* Starts over by reading the history. If the lost write was applied, the
 * history contains its writer id. */
static void
retry_later (struct gr_publish *publish, const struct gr_error *error)
{
  if (gr_clock_now_ms (publish->entry->clock) >= publish->deadline_ms)
    fail_write (publish, error);
  else
    publish->timer =
        g_timeout_add (STORE_RETRY_INTERVAL_MS, retry_store, publish);
}

static const struct gr_kv_entry *
find_entry (const struct gr_kv_result *result, const char *key)
{
  for (size_t i = 0; i < result->n_entries; i++)
    if (strcmp (result->entries[i].key, key) == 0)
      return &result->entries[i];
  return NULL;
}

/* Returns the revision of this change if the history contains it, else 0. */
static int64_t
find_own_revision (const struct gr_publish *publish,
                   const struct gr_kv_entry *history)
{
  JsonArray *versions;
  int64_t revision;

  if (history == NULL)
    return 0;
  versions =
      gr_history_parse (history->value, history->size, history->mod_revision);
  revision = gr_history_find (versions, publish->writer);
  json_array_unref (versions);
  return revision;
}

static void
commit_done (const struct gr_kv_result *result,
             const struct gr_error *error,
             void *context)
{
  struct gr_publish *publish = context;
  const struct gr_kv_entry *document;
  int64_t own_revision;

  publish->calls_in_flight--;
  if (publish->exchange == NULL || publish->entry->destroying)
    ;
  else if (error != NULL)
    {
      if (error->kind != GR_ERROR_STORE_UNAVAILABLE)
        publish->outcome_unknown = true;
      if (publish->outcome_unknown)
        retry_later (publish, error);
      else
        fail_write (publish, error);
    }
  else if (result->succeeded)
    document_written (publish, result->revision);
  else
    {
      own_revision = find_own_revision (
          publish, find_entry (result, publish->history_key));
      document = find_entry (result, publish->key);
      if (own_revision > 0)
        document_written (publish, own_revision);
      else
        fail_conflict (publish, document != NULL && document->size > 0
                                    ? document->mod_revision
                                    : 0);
    }
  free_if_unused (publish);
}

static void
commit (struct gr_publish *publish)
{
  struct gr_kv_txn *txn = gr_kv_txn_create ();

  gr_kv_txn_if_modified_at (txn, publish->key, publish->expected);
  gr_kv_txn_put (txn, publish->key, publish->text, strlen (publish->text), 0);
  gr_kv_txn_put (txn, publish->history_key, publish->history,
                 strlen (publish->history), 0);
  gr_kv_txn_else_get (txn, publish->key);
  gr_kv_txn_else_get (txn, publish->history_key);
  publish->calls_in_flight++;
  gr_kv_commit (publish->entry->kv, "settings", txn,
                publish->entry->process->kv_timeout_ms, commit_done, publish);
}

static void
history_read (const struct gr_kv_result *result,
              const struct gr_error *error,
              void *context)
{
  struct gr_publish *publish = context;
  const struct gr_kv_entry *history;
  int64_t own_revision;

  publish->calls_in_flight--;
  if (publish->exchange == NULL || publish->entry->destroying)
    ;
  else if (error != NULL)
    {
      if (publish->outcome_unknown)
        retry_later (publish, error);
      else
        fail_write (publish, error);
    }
  else
    {
      history = result->n_entries > 0 ? &result->entries[0] : NULL;
      own_revision = find_own_revision (publish, history);
      if (own_revision > 0)
        document_written (publish, own_revision);
      else
        {
          g_free (publish->history);
          publish->history = gr_history_add (
              history == NULL ? json_array_new ()
                              : gr_history_parse (history->value, history->size,
                                                  history->mod_revision),
              publish->text, publish->writer, gr_clock_unix_ms ());
          commit (publish);
        }
    }
  free_if_unused (publish);
}

static void
read_history (struct gr_publish *publish)
{
  publish->calls_in_flight++;
  gr_kv_range (publish->entry->kv, "settings-history", publish->history_key,
               false, 0, publish->entry->process->kv_timeout_ms, history_read,
               publish);
}

void
gr_publish_begin (struct gr_exchange *exchange,
                  const char *path,
                  const char *text,
                  int64_t expected)
{
  struct gr_entry *entry = exchange->entry;
  struct gr_publish *publish = g_new0 (struct gr_publish, 1);

  publish->entry = entry;
  publish->exchange = exchange;
  publish->path = g_strdup (path);
  publish->text = g_strdup (text);
  publish->writer =
      g_strdup_printf ("%s/%s/%08x%08x", entry->process->instance,
                       gr_peers_incarnation (entry->peers),
                       g_rand_int (entry->random), g_rand_int (entry->random));
  publish->key = g_strconcat (GR_SETTINGS_PREFIX, path, NULL);
  publish->history_key = g_strconcat (GR_HISTORY_PREFIX, path, NULL);
  publish->expected = expected;
  publish->deadline_ms = gr_clock_now_ms (entry->clock) + GR_PUBLISH_TIMEOUT_MS;
  publish->held_by =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_add (entry->publishes, publish);
  gr_exchange_pause (exchange);
  read_history (publish);
}

void
gr_publish_cancel_all (struct gr_entry *entry)
{
  struct gr_error error = GR_ERROR_INIT;
  GList *all = g_hash_table_get_keys (entry->publishes);

  gr_error_set (&error, GR_ERROR_UNCONFIRMED, "this process is shutting down");
  for (GList *item = all; item != NULL; item = item->next)
    {
      fail (item->data, &error, NULL);
      free_if_unused (item->data);
    }
  g_list_free (all);
}
