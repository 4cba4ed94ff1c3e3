#include "scheduler/pages.h"

#include "common/hash.h"
#include "scheduler/page-codec.h"

#include <string.h>

/* Fixed size of a placement in msgpack: keys, headers and the bit mask. */
#define PLACEMENT_FIXED_BYTES 48

/* Estimate of how much longer a lease or task id is than the job id. The core
 * forms these ids from the shard, the epoch, the attempt, a hash of the job id
 * and the index of the member. */
#define ID_SUFFIX_BYTES 48

struct entry
{
  GBytes *bytes;
  size_t reserved;
  uint64_t version;
  uint64_t durable_version;
  enum gr_job_state state;
  enum gr_job_state durable_state;
  bool unreadable;
  bool cancel_or_end;
  bool durable_cancel_or_end;
};

struct page
{
  GHashTable *entries; /* job id to struct entry */
  size_t bytes;
  size_t reserved;
  bool dirty;
};

struct gr_pages
{
  struct page pages[GR_PAGES];
};

static void
entry_free (void *data)
{
  struct entry *entry = data;

  g_bytes_unref (entry->bytes);
  g_free (entry);
}

struct gr_pages *
gr_pages_create (void)
{
  struct gr_pages *pages = g_new0 (struct gr_pages, 1);

  for (uint32_t i = 0; i < GR_PAGES; i++)
    pages->pages[i].entries =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  return pages;
}

void
gr_pages_destroy (struct gr_pages *pages)
{
  if (pages == NULL)
    return;
  for (uint32_t i = 0; i < GR_PAGES; i++)
    g_hash_table_destroy (pages->pages[i].entries);
  g_free (pages);
}

uint32_t
gr_page_of_job (const char *job)
{
  return (uint32_t)(gr_hash_string (job) % GR_PAGES);
}

static struct page *
page_of (struct gr_pages *pages, const char *job)
{
  return &pages->pages[gr_page_of_job (job)];
}

static const struct entry *
find_entry (const struct gr_pages *pages, const char *job)
{
  const struct page *page = &pages->pages[gr_page_of_job (job)];

  return g_hash_table_lookup (page->entries, job);
}

static size_t
placements_bytes (const char *job, const struct gr_job_spec *spec)
{
  size_t bytes_per_worker = PLACEMENT_FIXED_BYTES + GR_NAME_MAX / 2
                            + 2 * (strlen (job) + ID_SUFFIX_BYTES);

  return spec->shape.workers * bytes_per_worker;
}

bool
gr_pages_have_capacity (const struct gr_pages *pages,
                        const char *job,
                        const struct gr_job_spec *spec)
{
  const struct page *page = &pages->pages[gr_page_of_job (job)];
  size_t spec_bytes = spec->spec != NULL ? strlen (spec->spec) : 0;
  size_t needed =
      sizeof (struct gr_job_record) + spec_bytes + placements_bytes (job, spec);

  return page->reserved + needed <= GR_PAGE_RESERVE_BYTES;
}

static GBytes *
pack_record (const struct gr_job_record *record)
{
  struct gr_job_record packed = *record;
  struct gr_packer *packer;
  const void *data;
  size_t size;
  GBytes *bytes;

  if (gr_job_state_is_final (record->state))
    packed.n_placements = 0;
  packer = gr_pack_job_record (&packed);
  data = gr_packer_data (packer, &size);
  bytes = g_bytes_new (data, size);
  gr_packer_destroy (packer);
  return bytes;
}

static size_t
reserved_bytes (const struct gr_job_record *record, GBytes *bytes)
{
  size_t size = g_bytes_get_size (bytes);

  if (gr_job_state_is_final (record->state) || record->n_placements > 0)
    return size;
  return size + placements_bytes (record->id, &record->spec);
}

static struct entry *
insert_entry (struct page *page, const char *job)
{
  struct entry *entry = g_new0 (struct entry, 1);

  entry->bytes = g_bytes_new (NULL, 0);
  g_hash_table_insert (page->entries, g_strdup (job), entry);
  return entry;
}

static void
set_entry (struct page *page,
           struct entry *entry,
           const struct gr_job_record *record)
{
  page->bytes -= g_bytes_get_size (entry->bytes);
  g_bytes_unref (entry->bytes);
  entry->bytes = pack_record (record);
  page->bytes += g_bytes_get_size (entry->bytes);
  page->reserved -= entry->reserved;
  /* Keep the reservation: a job that returns to waiting needs the space for
   * its placements again. */
  entry->reserved =
      MAX (reserved_bytes (record, entry->bytes),
           gr_job_state_is_final (record->state) ? 0 : entry->reserved);
  page->reserved += entry->reserved;
  entry->version = record->version;
  entry->state = record->state;
  entry->cancel_or_end =
      record->cancel_asked || gr_job_state_is_final (record->state);
}

bool
gr_pages_put (struct gr_pages *pages, const struct gr_job_record *record)
{
  struct page *page = page_of (pages, record->id);
  struct entry *entry = g_hash_table_lookup (page->entries, record->id);

  if (entry == NULL)
    entry = insert_entry (page, record->id);
  else if (entry->version >= record->version)
    return false;
  set_entry (page, entry, record);
  page->dirty = true;
  return true;
}

static void
prune_page (struct page *page,
            bool (*keep) (const char *job, void *context),
            void *context)
{
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, page->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct entry *entry = value;

      if (entry->unreadable || keep (key, context))
        continue;
      page->bytes -= g_bytes_get_size (entry->bytes);
      page->reserved -= entry->reserved;
      g_hash_table_iter_remove (&iter);
    }
}

void
gr_pages_prune (struct gr_pages *pages,
                bool (*keep) (const char *job, void *context),
                void *context)
{
  for (uint32_t i = 0; i < GR_PAGES; i++)
    prune_page (&pages->pages[i], keep, context);
}

bool
gr_pages_is_dirty (const struct gr_pages *pages, uint32_t page)
{
  return pages->pages[page].dirty;
}

size_t
gr_pages_bytes (const struct gr_pages *pages, uint32_t page)
{
  /* 16 bytes for the map and array headers. */
  return pages->pages[page].bytes + 16;
}

size_t
gr_pages_fullest_bytes (const struct gr_pages *pages)
{
  size_t max_reserved = 0;

  for (uint32_t i = 0; i < GR_PAGES; i++)
    max_reserved = MAX (max_reserved, pages->pages[i].reserved);
  return max_reserved;
}

static void
append_change (const char *job, const struct entry *entry, GArray *changes)
{
  struct gr_page_change change = { .version = entry->version,
                                   .state = entry->state,
                                   .new_state =
                                       entry->durable_version == 0
                                       || entry->state != entry->durable_state,
                                   .first = entry->durable_version == 0,
                                   .cancel_or_end = entry->cancel_or_end };

  if (entry->version == entry->durable_version)
    return;
  g_strlcpy (change.job, job, sizeof change.job);
  g_array_append_val (changes, change);
}

GBytes *
gr_pages_serialize (struct gr_pages *pages, uint32_t page, GArray *changes)
{
  struct page *source = &pages->pages[page];
  msgpack_sbuffer buffer;
  msgpack_packer out;
  GHashTableIter iter;
  void *key;
  void *value;
  GBytes *bytes;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_map (&out, 1);
  msgpack_pack_str_with_body (&out, "jobs", 4);
  msgpack_pack_array (&out, g_hash_table_size (source->entries));
  g_hash_table_iter_init (&iter, source->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct entry *entry = value;
      gsize size;
      const void *data = g_bytes_get_data (entry->bytes, &size);

      msgpack_sbuffer_write (&buffer, data, size);
      append_change (key, entry, changes);
    }
  bytes = gr_page_compress (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  source->dirty = false;
  return bytes;
}

void
gr_pages_mark_durable (struct gr_pages *pages,
                       const struct gr_page_change *changes,
                       uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct page *page = page_of (pages, changes[i].job);
      struct entry *entry = g_hash_table_lookup (page->entries, changes[i].job);

      if (entry == NULL)
        continue;
      entry->durable_version = changes[i].version;
      entry->durable_state = changes[i].state;
      entry->durable_cancel_or_end = changes[i].cancel_or_end;
    }
}

uint64_t
gr_pages_durable_version (const struct gr_pages *pages, const char *job)
{
  const struct entry *entry = find_entry (pages, job);

  return entry != NULL ? entry->durable_version : 0;
}

bool
gr_pages_cancel_or_end_is_durable (const struct gr_pages *pages,
                                   const char *job)
{
  const struct entry *entry = find_entry (pages, job);

  return entry != NULL && entry->durable_cancel_or_end;
}

/* --- Loading ------------------------------------------------------------ */

static void
add_unreadable_record (struct page *page, const msgpack_object *object)
{
  char *name =
      g_strdup_printf ("unreadable/%u", g_hash_table_size (page->entries));
  struct entry *entry = insert_entry (page, name);
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_object (&out, *object);
  g_bytes_unref (entry->bytes);
  entry->bytes = g_bytes_new (buffer.data, buffer.size);
  entry->reserved = buffer.size;
  entry->unreadable = true;
  page->reserved += buffer.size;
  page->bytes += buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  g_free (name);
}

static void
add_durable_record (struct page *page, const struct gr_job_record *record)
{
  struct entry *entry = insert_entry (page, record->id);

  set_entry (page, entry, record);
  entry->durable_version = record->version;
  entry->durable_state = record->state;
  entry->durable_cancel_or_end = entry->cancel_or_end;
}

static void
load_jobs (struct page *page,
           const msgpack_object *jobs,
           size_t count,
           void (*visit) (const struct gr_job_record *record, void *context),
           void *context,
           uint32_t *unreadable)
{
  for (size_t i = 0; i < count; i++)
    {
      struct gr_error ignored = GR_ERROR_INIT;
      struct gr_job_record record;

      if (!gr_unpack_job_record (&jobs[i], &record, &ignored))
        {
          add_unreadable_record (page, &jobs[i]);
          (*unreadable)++;
          continue;
        }
      add_durable_record (page, &record);
      visit (&record, context);
      gr_job_record_clear (&record);
    }
}

bool
gr_pages_load (struct gr_pages *pages,
               uint32_t page,
               const void *bytes,
               size_t size,
               void (*visit) (const struct gr_job_record *record,
                              void *context),
               void *context,
               uint32_t *unreadable,
               struct gr_error *error)
{
  GBytes *text = gr_page_uncompress (bytes, size, GR_PAGE_MAX_BYTES);
  const msgpack_object *jobs;
  msgpack_unpacked unpacked;
  gsize length = 0;
  const char *data = text != NULL ? g_bytes_get_data (text, &length) : NULL;
  size_t count;
  bool readable;

  msgpack_unpacked_init (&unpacked);
  readable = data != NULL
             && msgpack_unpack_next (&unpacked, data, length, NULL)
                    == MSGPACK_UNPACK_SUCCESS
             && unpacked.data.type == MSGPACK_OBJECT_MAP;
  if (readable)
    {
      jobs = gr_unpack_array (&unpacked.data, "jobs", &count);
      load_jobs (&pages->pages[page], jobs, count, visit, context, unreadable);
    }
  msgpack_unpacked_destroy (&unpacked);
  if (text != NULL)
    g_bytes_unref (text);
  return readable
         || gr_error_set (error, GR_ERROR_PROTOCOL,
                          "page %u of job records cannot be decoded", page);
}
