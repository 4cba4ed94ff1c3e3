#include "settings/store.h"

#include "common/log.h"

#include <string.h>

/* A read confirms the settings as of its start, so a read that takes longer
 * than this cannot make them current. */
#define READ_TIMEOUT_MS GR_SETTINGS_MAX_AGE_MS

/* Maximum number of reads in flight. Reads may overlap, so that a slow service
 * delays updates but does not stop them: the timer starts five within
 * READ_TIMEOUT_MS, and callers of gr_settings_store_poll () start others. */
#define MAX_READS 8

struct document
{
  char *text;
  int64_t revision;
};

struct gr_settings_store
{
  struct gr_kv *kv;
  const struct gr_clock *clock;
  void (*changed) (const char *path,
                   const char *text,
                   int64_t revision,
                   void *context);
  void *context;
  GHashTable *documents; /* path to struct document */
  GPtrArray *reads;      /* struct read in flight, not owned */
  int64_t revision;      /* highest one applied */
  int64_t read_revision; /* highest one returned by a read */
  int64_t confirmed_ms;  /* see gr_settings_store_confirm () */
  int64_t last_read_ms;  /* latest start of a read that succeeded */
  bool loaded;
  guint timer;
};

/* Owned by the call in flight. */
struct read
{
  struct gr_settings_store *store; /* NULL once the store was destroyed */
  int64_t start_ms;
};

static void
document_free (void *data)
{
  struct document *document = data;

  g_free (document->text);
  g_free (document);
}

static void
log_applied (const char *path, int64_t revision)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, revision);
  gr_log_event ("settings-applied", "path", path, "revision", text, NULL);
}

/* Logs a document that this release cannot parse. The store keeps it because a
 * newer release may have written it. Parsing it into a struct fails, so callers
 * keep the values of the previous document. */
static void
log_if_invalid (enum gr_document_kind kind, const char *path, const char *text)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);

  if (!gr_document_check (kind, text, problems))
    gr_log_warning ("settings-invalid", "path", path, "message",
                    (const char *)problems->pdata[0], NULL);
  g_ptr_array_unref (problems);
}

bool
gr_settings_store_apply (struct gr_settings_store *store,
                         const char *path,
                         const char *text,
                         int64_t revision)
{
  struct document *document = g_hash_table_lookup (store->documents, path);
  struct gr_error error = GR_ERROR_INIT;
  enum gr_document_kind kind;

  if (document != NULL && revision <= document->revision)
    return false;
  if (revision <= 0 || !gr_document_kind_of_path (path, &kind, &error))
    {
      gr_log_warning ("settings-ignored", "path", path, "message",
                      error.message, NULL);
      return false;
    }
  document = g_new0 (struct document, 1);
  document->text = g_strdup (text);
  document->revision = revision;
  g_hash_table_replace (store->documents, g_strdup (path), document);
  store->revision = MAX (store->revision, revision);
  log_if_invalid (kind, path, text);
  log_applied (path, revision);
  if (store->changed != NULL)
    store->changed (path, document->text, revision, store->context);
  return true;
}

static void
apply_entries (struct gr_settings_store *store,
               const struct gr_kv_result *result)
{
  size_t prefix = strlen (GR_SETTINGS_PREFIX);

  for (size_t i = 0; i < result->n_entries; i++)
    {
      const struct gr_kv_entry *entry = &result->entries[i];

      if (g_str_has_prefix (entry->key, GR_SETTINGS_PREFIX))
        gr_settings_store_apply (store, entry->key + prefix, entry->value,
                                 entry->mod_revision);
    }
}

static void
on_read (const struct gr_kv_result *result,
         const struct gr_error *error,
         void *context)
{
  struct read *read = context;
  struct gr_settings_store *store = read->store;
  int64_t start_ms = read->start_ms;

  if (store != NULL)
    g_ptr_array_remove_fast (store->reads, read);
  g_free (read);
  if (store == NULL)
    return;
  if (error != NULL && error->kind != GR_ERROR_NONE)
    {
      gr_log_warning ("settings-read-failed", "kind",
                      gr_error_info (error->kind)->name, "message",
                      error->message, NULL);
      return;
    }
  apply_entries (store, result);
  store->read_revision = MAX (store->read_revision, result->revision);
  store->loaded = true;
  store->last_read_ms = MAX (store->last_read_ms, start_ms);
  gr_settings_store_confirm (store, start_ms);
}

void
gr_settings_store_poll (struct gr_settings_store *store)
{
  struct read *read;
  int64_t min_revision;

  if (store->kv == NULL || store->reads->len >= MAX_READS)
    return;
  read = g_new0 (struct read, 1);
  read->store = store;
  read->start_ms = gr_clock_now_ms (store->clock);
  g_ptr_array_add (store->reads, read);
  /* Based on the last read, not on the highest revision applied: after a push
   * of one path, earlier changes of other paths may still be unknown. */
  min_revision = store->loaded ? store->read_revision + 1 : 0;
  gr_kv_range (store->kv, "settings", GR_SETTINGS_PREFIX, true, min_revision,
               READ_TIMEOUT_MS, on_read, read);
}

static gboolean
on_timer (gpointer data)
{
  gr_settings_store_poll (data);
  return G_SOURCE_CONTINUE;
}

struct gr_settings_store *
gr_settings_store_create (struct gr_kv *kv,
                          const struct gr_clock *clock,
                          void (*changed) (const char *path,
                                           const char *text,
                                           int64_t revision,
                                           void *context),
                          void *context)
{
  struct gr_settings_store *store = g_new0 (struct gr_settings_store, 1);

  store->kv = kv;
  store->clock = clock;
  store->changed = changed;
  store->context = context;
  store->documents =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, document_free);
  store->reads = g_ptr_array_new ();
  store->confirmed_ms = INT64_MIN;
  store->last_read_ms = INT64_MIN;
  store->loaded = kv == NULL;
  if (kv == NULL)
    return store;
  store->timer = g_timeout_add (GR_SETTINGS_POLL_MS, on_timer, store);
  gr_settings_store_poll (store);
  return store;
}

void
gr_settings_store_destroy (struct gr_settings_store *store)
{
  if (store == NULL)
    return;
  if (store->timer != 0)
    g_source_remove (store->timer);
  for (guint i = 0; i < store->reads->len; i++)
    ((struct read *)store->reads->pdata[i])->store = NULL;
  g_ptr_array_unref (store->reads);
  g_hash_table_destroy (store->documents);
  g_free (store);
}

const char *
gr_settings_store_get (const struct gr_settings_store *store,
                       const char *path,
                       int64_t *revision)
{
  const struct document *document =
      g_hash_table_lookup (store->documents, path);

  *revision = document == NULL ? 0 : document->revision;
  return document == NULL ? NULL : document->text;
}

static gint
compare_paths (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
gr_settings_store_paths (const struct gr_settings_store *store,
                         const char *prefix)
{
  GPtrArray *paths = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer path;
  gpointer data;

  g_hash_table_iter_init (&iter, store->documents);
  while (g_hash_table_iter_next (&iter, &path, &data))
    {
      const struct document *document = data;

      if (document->text[0] != '\0' && g_str_has_prefix (path, prefix))
        g_ptr_array_add (paths, g_strdup (path));
    }
  g_ptr_array_sort (paths, compare_paths);
  return paths;
}

int64_t
gr_settings_store_revision (const struct gr_settings_store *store)
{
  return store->revision;
}

void
gr_settings_store_confirm (struct gr_settings_store *store, int64_t as_of_ms)
{
  store->confirmed_ms = MAX (store->confirmed_ms, as_of_ms);
}

bool
gr_settings_store_loaded (const struct gr_settings_store *store)
{
  return store->loaded;
}

bool
gr_settings_store_kv_reachable (const struct gr_settings_store *store)
{
  return store->last_read_ms != INT64_MIN
         && gr_clock_now_ms (store->clock) - store->last_read_ms
                <= GR_SETTINGS_MAX_AGE_MS;
}

bool
gr_settings_store_is_current (const struct gr_settings_store *store)
{
  if (!store->loaded || store->confirmed_ms == INT64_MIN)
    return false;
  return gr_clock_now_ms (store->clock) - store->confirmed_ms
         <= GR_SETTINGS_MAX_AGE_MS;
}
