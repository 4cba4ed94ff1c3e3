/* Loads the job records of a shard from the store when this process has become
 * its owner. */
#include "scheduler/journal-private.h"
#include "scheduler/ownership.h"

/* 20 retries of 100 ms: two seconds of waiting in all, well below the lease
 * term of the owner. */
#define LOAD_RETRIES 20
#define LOAD_RETRY_MS 100

static void load_next (struct gr_journal *journal);

static gboolean
load_again (gpointer data)
{
  struct gr_journal *journal = data;

  journal->timer = 0;
  load_next (journal);
  return G_SOURCE_REMOVE;
}

static bool
load_entry (struct gr_journal *journal,
            const struct gr_kv_entry *entry,
            struct gr_error *error)
{
  if (journal->load_page == GR_PAGES)
    {
      journal->commit_revision = entry->mod_revision;
      return true;
    }
  return gr_pages_load (journal->pages, journal->load_page, entry->value,
                        entry->size, journal->visit, journal->context,
                        &journal->unreadable_records, error);
}

static void
load_ended (struct gr_journal *journal, const struct gr_error *error)
{
  if (error == NULL && journal->unreadable_records > 0)
    g_warning (
        "shard %s: %u job records cannot be decoded and are kept unchanged",
        journal->config.shard, journal->unreadable_records);
  journal->loaded (error, journal->context);
}

static void
load_done (const struct gr_kv_result *result,
           const struct gr_error *error,
           void *context)
{
  struct gr_journal *journal = context;
  struct gr_error failure = GR_ERROR_INIT;

  if (!gr_journal_call_ended (journal))
    return;
  gr_journal_record_store_result (journal, error);
  if (error != NULL && journal->load_retries++ < LOAD_RETRIES)
    {
      journal->timer = g_timeout_add (LOAD_RETRY_MS, load_again, journal);
      return;
    }
  if (error != NULL)
    {
      load_ended (journal, error);
      return;
    }
  if (result->n_entries > 0
      && !load_entry (journal, &result->entries[0], &failure))
    {
      load_ended (journal, &failure);
      return;
    }
  if (journal->load_page == 0)
    {
      load_ended (journal, NULL);
      return;
    }
  journal->load_page--;
  load_next (journal);
}

/* Reads the commit key first, then the pages from the last to the first. They
 * cannot change while they are read: commits of former owners fail their
 * compare with the owner key. */
static void
load_next (struct gr_journal *journal)
{
  char name[16] = "commit";
  char *key;

  if (journal->load_page < GR_PAGES)
    g_snprintf (name, sizeof name, "jobs/%02u", journal->load_page);
  key = gr_shard_key (journal->config.shard, name);
  journal->calls_in_flight++;
  gr_kv_range (journal->kv, "recovery", key, false, 0,
               journal->config.call_timeout_ms, load_done, journal);
  g_free (key);
}

void
gr_journal_load (struct gr_journal *journal,
                 void (*visit) (const struct gr_job_record *record,
                                void *context),
                 void (*done) (const struct gr_error *error, void *context))
{
  journal->visit = visit;
  journal->loaded = done;
  journal->load_page = GR_PAGES;
  journal->load_retries = 0;
  load_next (journal);
}
