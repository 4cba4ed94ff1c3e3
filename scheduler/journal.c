#include "scheduler/journal-private.h"
#include "scheduler/ownership.h"

#include <string.h>

#define FIRST_RETRY_MS 100
#define MAX_RETRY_MS 1000

static void send_write (struct gr_journal *journal);
static void read_back (struct gr_journal *journal);

static void
write_free (struct gr_journal_write *write)
{
  if (write == NULL)
    return;
  for (uint32_t i = 0; i < GR_PAGES; i++)
    g_clear_pointer (&write->pages[i], g_bytes_unref);
  g_array_unref (write->changes);
  g_free (write);
}

static void
journal_free (struct gr_journal *journal)
{
  write_free (journal->write);
  gr_pages_destroy (journal->pages);
  g_free (journal->config.shard);
  g_free (journal->config.writer);
  g_free (journal->owner_key);
  g_free (journal->commit_key);
  g_free (journal);
}

bool
gr_journal_call_ended (struct gr_journal *journal)
{
  journal->calls_in_flight--;
  if (!journal->destroyed)
    return true;
  if (journal->calls_in_flight == 0)
    journal_free (journal);
  return false;
}

void
gr_journal_record_store_result (struct gr_journal *journal,
                                const struct gr_error *error)
{
  if (error == NULL)
    journal->consecutive_failures = 0;
  else if (error->kind == GR_ERROR_STORE_UNAVAILABLE)
    journal->consecutive_failures += GR_JOURNAL_DOWN_FAILURES;
  else
    journal->consecutive_failures++;
  if (error == NULL || !gr_journal_store_is_up (journal))
    journal->events.store (error == NULL, journal->context);
}

/* --- Timer -------------------------------------------------------------- */

static void begin_write (struct gr_journal *journal);

static gboolean
timer_due (gpointer data)
{
  struct gr_journal *journal = data;

  journal->timer = 0;
  if (journal->write == NULL)
    begin_write (journal);
  else if (journal->request_in_flight)
    return G_SOURCE_REMOVE;
  else if (journal->write->outcome_unknown)
    read_back (journal);
  else if (!journal->suspended)
    send_write (journal);
  return G_SOURCE_REMOVE;
}

static void
set_timer (struct gr_journal *journal, uint32_t delay_ms)
{
  if (journal->timer == 0)
    journal->timer = g_timeout_add (delay_ms, timer_due, journal);
}

static void
retry_later (struct gr_journal *journal, const struct gr_error *error)
{
  gr_journal_record_store_result (journal, error);
  set_timer (journal, journal->retry_ms);
  journal->retry_ms = MIN (journal->retry_ms * 2, MAX_RETRY_MS);
}

static bool
any_dirty (const struct gr_journal *journal)
{
  for (uint32_t i = 0; i < GR_PAGES; i++)
    if (gr_pages_is_dirty (journal->pages, i))
      return true;
  return false;
}

static void
schedule_write (struct gr_journal *journal)
{
  if (journal->write == NULL && !journal->suspended && any_dirty (journal))
    set_timer (journal, journal->config.interval_ms);
}

/* --- Outcome of a write ------------------------------------------------- */

static void
write_applied (struct gr_journal *journal, int64_t commit_revision)
{
  struct gr_journal_write *write = journal->write;
  const struct gr_page_change *changes =
      (const struct gr_page_change *)(void *)write->changes->data;
  guint count = write->changes->len;

  journal->write = NULL;
  journal->commit_revision = commit_revision;
  journal->retry_ms = FIRST_RETRY_MS;
  gr_pages_mark_durable (journal->pages, changes, count);
  gr_counter_add (journal->commits, 1);
  gr_histogram_observe (journal->latency, gr_clock_now_ms (journal->clock)
                                              - write->first_sent_ms);
  journal->calls_in_flight++; /* keeps the journal alive if a callback destroys
                                 it */
  for (guint i = 0; i < count && !journal->destroyed; i++)
    journal->events.committed (changes[i].job, changes[i].version,
                               changes[i].state, changes[i].new_state,
                               changes[i].first, journal->context);
  write_free (write);
  if (gr_journal_call_ended (journal))
    schedule_write (journal);
}

/* Whether entry was written by the pending write; compares writer id and
 * sequence number. */
static bool
is_own_write (const struct gr_journal *journal, const struct gr_kv_entry *entry)
{
  msgpack_unpacked unpacked;
  char *writer = NULL;
  int64_t sequence = -1;

  if (journal->write == NULL)
    return false;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, entry->value, entry->size, NULL)
      == MSGPACK_UNPACK_SUCCESS)
    {
      writer = gr_unpack_string (&unpacked.data, "writer");
      sequence = gr_unpack_int (&unpacked.data, "sequence", -1);
    }
  msgpack_unpacked_destroy (&unpacked);
  if (g_strcmp0 (writer, journal->config.writer) != 0)
    sequence = -1;
  g_free (writer);
  return sequence == (int64_t)journal->write->sequence;
}

static const struct gr_kv_entry *
find_entry (const struct gr_kv_result *result, const char *key)
{
  for (size_t i = 0; i < result->n_entries; i++)
    if (strcmp (result->entries[i].key, key) == 0)
      return &result->entries[i];
  return NULL;
}

/* If this process still holds the owner key but another process has changed the
 * commit key, the state in memory is wrong. The owner key is then reported as
 * absent: the reclaim that follows finds the changed commit key and ends the
 * ownership, and the next owner loads the state from the store. */
static void
compare_failed (struct gr_journal *journal, const struct gr_kv_result *result)
{
  const struct gr_kv_entry *owner = find_entry (result, journal->owner_key);
  const struct gr_kv_entry *commit = find_entry (result, journal->commit_key);
  bool still_owner =
      owner != NULL && owner->create_revision == (int64_t)journal->config.epoch;

  if (journal->write->epoch != journal->config.epoch)
    {
      set_timer (journal, 0);
      return;
    }
  journal->calls_in_flight++; /* keeps the journal alive if a callback destroys
                                 it */
  journal->suspended = !still_owner;
  if (commit != NULL && is_own_write (journal, commit))
    write_applied (journal, commit->mod_revision);
  else
    journal->suspended = true;
  if (!journal->destroyed && journal->suspended)
    journal->events.owner_conflict (still_owner ? NULL : owner,
                                    journal->context);
  gr_journal_call_ended (journal);
}

static void
write_done (const struct gr_kv_result *result,
            const struct gr_error *error,
            void *context)
{
  struct gr_journal *journal = context;

  if (!gr_journal_call_ended (journal))
    return;
  journal->request_in_flight = false;
  journal->write->in_flight = false;
  if (error != NULL)
    {
      if (error->kind != GR_ERROR_STORE_UNAVAILABLE)
        journal->write->outcome_unknown = true;
      retry_later (journal, error);
      return;
    }
  gr_journal_record_store_result (journal, NULL);
  if (result->succeeded)
    write_applied (journal, result->revision);
  else
    compare_failed (journal, result);
}

static void
read_back_done (const struct gr_kv_result *result,
                const struct gr_error *error,
                void *context)
{
  struct gr_journal *journal = context;

  if (!gr_journal_call_ended (journal))
    return;
  journal->request_in_flight = false;
  if (error != NULL)
    {
      retry_later (journal, error);
      return;
    }
  gr_journal_record_store_result (journal, NULL);
  if (result->n_entries > 0 && is_own_write (journal, &result->entries[0]))
    write_applied (journal, result->entries[0].mod_revision);
  else if (!journal->suspended)
    send_write (journal);
}

static void
read_back (struct gr_journal *journal)
{
  gr_counter_add (journal->read_backs, 1);
  journal->request_in_flight = true;
  journal->calls_in_flight++;
  gr_kv_range (journal->kv, "journal", journal->commit_key, false, 0,
               journal->config.call_timeout_ms, read_back_done, journal);
}

/* --- Sending ------------------------------------------------------------ */

static void
add_conditions (const struct gr_journal *journal, struct gr_kv_txn *txn)
{
  gr_kv_txn_if_created_at (txn, journal->owner_key,
                           (int64_t)journal->config.epoch);
  if (journal->commit_revision == 0)
    gr_kv_txn_if_created_at (txn, journal->commit_key, 0);
  else
    gr_kv_txn_if_modified_at (txn, journal->commit_key,
                              journal->commit_revision);
  gr_kv_txn_else_get (txn, journal->owner_key);
  gr_kv_txn_else_get (txn, journal->commit_key);
}

static void
add_commit_key (const struct gr_journal *journal, struct gr_kv_txn *txn)
{
  struct gr_packer *value = gr_packer_create ();
  const void *data;
  size_t size;

  gr_pack_int (value, "sequence", (int64_t)journal->write->sequence);
  gr_pack_string (value, "writer", journal->config.writer);
  data = gr_packer_data (value, &size);
  gr_kv_txn_put (txn, journal->commit_key, data, size, 0);
  gr_packer_destroy (value);
}

static void
add_pages (const struct gr_journal *journal, struct gr_kv_txn *txn)
{
  for (uint32_t i = 0; i < GR_PAGES; i++)
    {
      GBytes *bytes = journal->write->pages[i];
      char name[16];
      char *key;
      gsize size;
      const void *data;

      if (bytes == NULL)
        continue;
      g_snprintf (name, sizeof name, "jobs/%02u", i);
      key = gr_shard_key (journal->config.shard, name);
      data = g_bytes_get_data (bytes, &size);
      gr_kv_txn_put (txn, key, data, size, 0);
      gr_counter_add (journal->bytes, (int64_t)size);
      g_free (key);
    }
}

static void
send_write (struct gr_journal *journal)
{
  struct gr_kv_txn *txn = gr_kv_txn_create ();

  add_conditions (journal, txn);
  add_pages (journal, txn);
  add_commit_key (journal, txn);
  journal->write->epoch = journal->config.epoch;
  journal->write->in_flight = true;
  journal->request_in_flight = true;
  journal->calls_in_flight++;
  gr_kv_commit (journal->kv, "journal", txn, journal->config.call_timeout_ms,
                write_done, journal);
}

static void
begin_write (struct gr_journal *journal)
{
  struct gr_journal_write *write;
  size_t total = 0;

  if (journal->suspended || !any_dirty (journal))
    return;
  write = g_new0 (struct gr_journal_write, 1);
  write->changes = g_array_new (FALSE, FALSE, sizeof (struct gr_page_change));
  write->sequence = ++journal->sequence;
  write->first_sent_ms = gr_clock_now_ms (journal->clock);
  for (uint32_t i = 0; i < GR_PAGES; i++)
    {
      size_t size = gr_pages_bytes (journal->pages, i);

      if (!gr_pages_is_dirty (journal->pages, i)
          || (total > 0 && total + size > GR_JOURNAL_MAX_TXN_BYTES))
        continue;
      write->pages[i] = gr_pages_serialize (journal->pages, i, write->changes);
      total += size;
    }
  journal->write = write;
  send_write (journal);
}

/* --- Records ------------------------------------------------------------ */

void
gr_journal_put (struct gr_journal *journal, const struct gr_job_record *record)
{
  if (gr_pages_put (journal->pages, record))
    schedule_write (journal);
}

void
gr_journal_prune (struct gr_journal *journal,
                  bool (*keep) (const char *job, void *context),
                  void *context)
{
  gr_pages_prune (journal->pages, keep, context);
}

bool
gr_journal_has_capacity (const struct gr_journal *journal,
                         const char *job,
                         const struct gr_job_spec *spec,
                         struct gr_error *error)
{
  if (gr_pages_have_capacity (journal->pages, job, spec))
    return true;
  return gr_error_set_retry (error, GR_ERROR_OVERLOADED, 10000,
                             "shard %s holds too many large job records",
                             journal->config.shard);
}

size_t
gr_journal_fullest_page_bytes (const struct gr_journal *journal)
{
  return gr_pages_fullest_bytes (journal->pages);
}

bool
gr_journal_store_is_up (const struct gr_journal *journal)
{
  return journal->consecutive_failures < GR_JOURNAL_DOWN_FAILURES;
}

bool
gr_journal_is_idle (const struct gr_journal *journal)
{
  return journal->write == NULL && !any_dirty (journal);
}

uint64_t
gr_journal_durable_version (const struct gr_journal *journal, const char *job)
{
  return gr_pages_durable_version (journal->pages, job);
}

bool
gr_journal_cancel_or_end_is_durable (const struct gr_journal *journal,
                                     const char *job)
{
  return gr_pages_cancel_or_end_is_durable (journal->pages, job);
}

bool
gr_journal_is_in_flight (const struct gr_journal *journal, const char *job)
{
  const struct gr_journal_write *write = journal->write;

  if (write == NULL || (!write->in_flight && !write->outcome_unknown))
    return false;
  for (guint i = 0; i < write->changes->len; i++)
    if (strcmp (g_array_index (write->changes, struct gr_page_change, i).job,
                job)
        == 0)
      return true;
  return false;
}

bool
gr_journal_commit_unchanged (const struct gr_journal *journal,
                             const struct gr_kv_entry *entry)
{
  int64_t revision = entry != NULL ? entry->mod_revision : 0;

  return revision == journal->commit_revision
         || (entry != NULL && is_own_write (journal, entry));
}

void
gr_journal_set_interval (struct gr_journal *journal, uint32_t interval_ms)
{
  journal->config.interval_ms = interval_ms;
}

void
gr_journal_set_epoch (struct gr_journal *journal, uint64_t epoch)
{
  journal->config.epoch = epoch;
  journal->suspended = false;
  if (journal->write == NULL)
    schedule_write (journal);
  else if (!journal->request_in_flight)
    set_timer (journal, 0);
}

struct gr_journal *
gr_journal_create (struct gr_kv *kv,
                   const struct gr_clock *clock,
                   struct gr_counters *counters,
                   const struct gr_journal_config *config,
                   const struct gr_journal_events *events,
                   void *context)
{
  struct gr_journal *journal = g_new0 (struct gr_journal, 1);
  char *labels = g_strdup_printf ("shard=\"%s\"", config->shard);

  journal->kv = kv;
  journal->clock = clock;
  journal->config = *config;
  journal->config.shard = g_strdup (config->shard);
  journal->config.writer = g_strdup (config->writer);
  journal->events = *events;
  journal->context = context;
  journal->owner_key = gr_shard_key (config->shard, "owner");
  journal->commit_key = gr_shard_key (config->shard, "commit");
  journal->pages = gr_pages_create ();
  journal->retry_ms = FIRST_RETRY_MS;
  journal->commits =
      gr_counters_get (counters, "journal_commits_total", labels);
  journal->read_backs =
      gr_counters_get (counters, "journal_read_backs_total", labels);
  journal->bytes = gr_counters_get (counters, "journal_bytes_total", labels);
  journal->latency =
      gr_counters_histogram (counters, "journal_commit_ms", labels);
  g_free (labels);
  return journal;
}

void
gr_journal_destroy (struct gr_journal *journal)
{
  if (journal == NULL)
    return;
  if (journal->timer != 0)
    g_source_remove (journal->timer);
  journal->timer = 0;
  journal->destroyed = true;
  if (journal->calls_in_flight == 0)
    journal_free (journal);
}
