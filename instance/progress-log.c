#include "instance/progress-log.h"

#include "common/log.h"

#include <string.h>

/* A transaction holds the condition on the owner's record, and a condition and
 * a write for each job. */
#define MAX_JOBS_IN_TXN ((GR_METASTORE_MAX_TXN_ENTRIES - 1) / 2)

#define COMMIT_TIMEOUT_MS 800
#define RETRY_MS 150

struct row
{
  GBytes *value;
  uint64_t sequence; /* of the oldest change that is not durable */
};

struct gr_progress_log
{
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  int64_t owner_revision;
  struct gr_progress_log_events events;
  GHashTable *pending;   /* job id -> struct row */
  GHashTable *in_flight; /* rows of the transaction in flight, or NULL */
  uint64_t last_sequence;
  uint64_t committed;
  bool owner_replaced; /* another instance is the owner */
  guint timer;
  struct commit *open; /* transaction in flight, or NULL */
};

struct commit
{
  struct gr_progress_log *log; /* NULL after the log was destroyed */
};

static void write_next (struct gr_progress_log *log);

static void
row_destroy (void *data)
{
  struct row *row = data;

  g_bytes_unref (row->value);
  g_free (row);
}

static GHashTable *
rows_create (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_destroy);
}

static uint64_t
durable_sequence (const struct gr_progress_log *log)
{
  uint64_t durable = log->last_sequence;
  GHashTable *tables[] = { log->pending, log->in_flight };

  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    {
      GHashTableIter iter;
      void *value;

      if (tables[i] == NULL)
        continue;
      g_hash_table_iter_init (&iter, tables[i]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        durable = MIN (durable, ((struct row *)value)->sequence - 1);
    }
  return durable;
}

static void
report_committed (struct gr_progress_log *log)
{
  uint64_t durable = durable_sequence (log);

  if (durable <= log->committed)
    return;
  log->committed = durable;
  log->events.committed (durable, log->events.context);
}

/* Moves rows that were not written back to pending, unless the job has newer
 * progress there. */
static void
requeue_in_flight (struct gr_progress_log *log)
{
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, log->in_flight);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct row *newer = g_hash_table_lookup (log->pending, key);
      struct row *row = value;

      if (newer != NULL)
        {
          newer->sequence = MIN (newer->sequence, row->sequence);
          continue;
        }
      g_hash_table_iter_steal (&iter);
      g_hash_table_insert (log->pending, key, row);
    }
  g_clear_pointer (&log->in_flight, g_hash_table_destroy);
}

static gboolean
on_retry_timer (gpointer data)
{
  struct gr_progress_log *log = data;

  log->timer = 0;
  write_next (log);
  return G_SOURCE_REMOVE;
}

static void
finish_written (struct gr_progress_log *log, int64_t revision)
{
  g_autoptr (GString) ids = g_string_new (NULL);
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, log->in_flight);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct gr_metastore_item item = {
        .key = gr_record_key (GR_RECORD_PROGRESS, key),
        .value = ((struct row *)value)->value,
        .revision = revision,
      };

      gr_mirror_apply (log->mirror, &item);
      g_free (item.key);
      g_string_append_printf (ids, "%s%s", ids->len > 0 ? "," : "",
                              (const char *)key);
    }
  gr_log_event ("progress-noted", "jobs", ids->str, NULL);
  g_clear_pointer (&log->in_flight, g_hash_table_destroy);
}

/* Handles a transaction whose conditions did not hold. Drops rows that are
 * already stored by an earlier attempt whose answer was lost. Returns false if
 * another instance is the owner. */
static bool
resolve_conflict (struct gr_progress_log *log,
                  const struct gr_metastore_result *result)
{
  for (size_t i = 0; i < result->n_items; i++)
    {
      const struct gr_metastore_item *item = &result->items[i];
      const char *id;
      struct row *row;

      if (gr_record_kind (item->key, &id) != GR_RECORD_PROGRESS
          || item->revision == 0 || item->value == NULL)
        continue;
      gr_mirror_apply (log->mirror, item);
      row = g_hash_table_lookup (log->in_flight, id);
      if (row != NULL && g_bytes_equal (row->value, item->value))
        g_hash_table_remove (log->in_flight, id);
    }
  for (size_t i = 0; i < result->n_items; i++)
    if (g_str_equal (result->items[i].key, GR_RECORD_OWNER)
        && result->items[i].revision == log->owner_revision)
      return true;
  return false;
}

static void
commit_done (const struct gr_metastore_result *result,
             const struct gr_error *error,
             void *context)
{
  struct commit *commit = context;
  struct gr_progress_log *log = commit->log;

  g_free (commit);
  if (log == NULL)
    return;
  log->open = NULL;
  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  if (error != NULL)
    {
      gr_log_event ("progress-not-written", "reason", error->message, NULL);
      requeue_in_flight (log);
      if (log->timer == 0)
        log->timer = g_timeout_add (RETRY_MS, on_retry_timer, log);
      return;
    }
  if (result->conditions_held)
    finish_written (log, result->revision);
  else
    {
      log->owner_replaced = !resolve_conflict (log, result);
      requeue_in_flight (log);
    }
  if (log->owner_replaced)
    {
      log->events.not_owner (log->events.context);
      return;
    }
  report_committed (log);
  write_next (log);
}

static void
add_row (struct gr_progress_log *log,
         struct gr_metastore_txn *txn,
         const char *id,
         struct row *row)
{
  const struct gr_mirror_job *job = gr_mirror_find (log->mirror, id);
  g_autofree char *key = gr_record_key (GR_RECORD_PROGRESS, id);
  gsize size;
  const void *data = g_bytes_get_data (row->value, &size);

  gr_metastore_txn_expect (txn, key, job ? job->progress_revision : 0);
  gr_metastore_txn_put (txn, key, data, size, 0);
}

static void
write_next (struct gr_progress_log *log)
{
  struct gr_metastore_txn *txn;
  struct commit *commit;
  GHashTableIter iter;
  void *key;
  void *value;

  if (log->in_flight != NULL || log->owner_replaced || log->timer != 0
      || g_hash_table_size (log->pending) == 0)
    return;
  log->in_flight = rows_create ();
  txn = gr_metastore_txn_create ();
  gr_metastore_txn_expect (txn, GR_RECORD_OWNER, log->owner_revision);
  g_hash_table_iter_init (&iter, log->pending);
  while (g_hash_table_size (log->in_flight) < MAX_JOBS_IN_TXN
         && g_hash_table_iter_next (&iter, &key, &value))
    {
      add_row (log, txn, key, value);
      g_hash_table_iter_steal (&iter);
      g_hash_table_insert (log->in_flight, key, value);
    }
  commit = g_new0 (struct commit, 1);
  commit->log = log;
  log->open = commit;
  gr_metastore_commit (log->store, txn, COMMIT_TIMEOUT_MS,
                       (struct gr_metastore_reply){ commit_done, commit });
}

struct gr_progress_log *
gr_progress_log_create (struct gr_metastore *store,
                        struct gr_mirror *mirror,
                        int64_t owner_revision,
                        const struct gr_progress_log_events *events)
{
  struct gr_progress_log *log = g_new0 (struct gr_progress_log, 1);

  log->store = store;
  log->mirror = mirror;
  log->owner_revision = owner_revision;
  log->events = *events;
  log->pending = rows_create ();
  return log;
}

void
gr_progress_log_destroy (struct gr_progress_log *log)
{
  if (log == NULL)
    return;
  if (log->timer != 0)
    g_source_remove (log->timer);
  if (log->open != NULL)
    log->open->log = NULL;
  g_hash_table_destroy (log->pending);
  g_clear_pointer (&log->in_flight, g_hash_table_destroy);
  g_free (log);
}

void
gr_progress_log_add (struct gr_progress_log *log,
                     const char *job_id,
                     GBytes *value)
{
  struct row *row = g_hash_table_lookup (log->pending, job_id);

  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      /* The row's first change came after the last flush. */
      row->sequence = log->last_sequence + 1;
      g_hash_table_insert (log->pending, g_strdup (job_id), row);
    }
  else
    g_bytes_unref (row->value);
  row->value = g_bytes_ref (value);
}

void
gr_progress_log_flush (struct gr_progress_log *log, uint64_t sequence)
{
  log->last_sequence = sequence;
  write_next (log);
  report_committed (log);
}
