#include "instance/tombstones.h"

#include "common/log.h"
#include "instance/records.h"

#include <string.h>
#include <xxhash.h>

/* The value of a record is text: the number of ids that were ever added, and
 * the last of them, oldest first, one per line. */
struct record
{
  int64_t revision; /* of its last change */
  bool exists;
  uint64_t count;
  uint32_t n_ids;
  char ids[GR_TOMBSTONE_IDS][GR_JOB_ID_DIGITS + 1];
};

struct gr_tombstones
{
  struct record records[GR_TOMBSTONE_RECORDS];
};

struct gr_tombstones *
gr_tombstones_create (void)
{
  return g_new0 (struct gr_tombstones, 1);
}

void
gr_tombstones_destroy (struct gr_tombstones *tombstones)
{
  g_free (tombstones);
}

static uint32_t
record_number (const char *job_id)
{
  return (uint32_t)(XXH64 (job_id, strlen (job_id), 0) % GR_TOMBSTONE_RECORDS);
}

static char *
record_key (uint32_t number)
{
  return g_strdup_printf (GR_RECORD_TOMBSTONES "%02u", number);
}

static bool
parse (const char *text, struct record *record)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  guint n = g_strv_length (lines);

  if (n == 0 || n - 1 > GR_TOMBSTONE_IDS
      || !g_ascii_string_to_unsigned (lines[0], 10, 0, G_MAXUINT64,
                                      &record->count, NULL))
    return false;
  record->n_ids = n - 1;
  for (guint i = 1; i < n; i++)
    if (g_strlcpy (record->ids[i - 1], lines[i], sizeof record->ids[i - 1])
        != GR_JOB_ID_DIGITS)
      return false;
  return true;
}

void
gr_tombstones_apply (struct gr_tombstones *tombstones,
                     const struct gr_metastore_item *item)
{
  struct record record = { .revision = item->revision,
                           .exists = !item->deleted };
  g_autofree char *text = NULL;
  guint64 number;
  gsize size;
  const char *data;

  if (!g_str_has_prefix (item->key, GR_RECORD_TOMBSTONES)
      || !g_ascii_string_to_unsigned (item->key + strlen (GR_RECORD_TOMBSTONES),
                                      10, 0, GR_TOMBSTONE_RECORDS - 1, &number,
                                      NULL)
      || item->revision <= tombstones->records[number].revision)
    return;
  data = item->value ? g_bytes_get_data (item->value, &size) : NULL;
  text = data ? g_strndup (data, size) : g_strdup ("");
  if (record.exists && !parse (text, &record))
    {
      gr_log_warning ("record-unreadable", "key", item->key, NULL);
      record.count = 0;
      record.n_ids = 0;
    }
  tombstones->records[number] = record;
}

uint64_t
gr_tombstones_count (const struct gr_tombstones *tombstones, const char *job_id)
{
  return tombstones->records[record_number (job_id)].count;
}

enum gr_tombstone_state
gr_tombstones_find (const struct gr_tombstones *tombstones,
                    const char *job_id,
                    uint64_t since)
{
  const struct record *record = &tombstones->records[record_number (job_id)];

  for (uint32_t i = 0; i < record->n_ids; i++)
    if (g_str_equal (record->ids[i], job_id))
      return GR_TOMBSTONE_PRESENT;
  return record->count > since + record->n_ids ? GR_TOMBSTONE_UNKNOWN
                                               : GR_TOMBSTONE_ABSENT;
}

void
gr_tombstones_expect (const struct gr_tombstones *tombstones,
                      const char *job_id,
                      struct gr_metastore_txn *txn)
{
  uint32_t number = record_number (job_id);
  const struct record *record = &tombstones->records[number];
  g_autofree char *key = record_key (number);

  gr_metastore_txn_expect (txn, key, record->exists ? record->revision : 0);
}

void
gr_tombstones_add (const struct gr_tombstones *tombstones,
                   const char *job_id,
                   struct gr_metastore_txn *txn)
{
  uint32_t number = record_number (job_id);
  const struct record *record = &tombstones->records[number];
  g_autofree char *key = record_key (number);
  g_autoptr (GString) text = g_string_new (NULL);
  uint32_t first = record->n_ids == GR_TOMBSTONE_IDS ? 1 : 0;

  g_string_printf (text, "%" G_GUINT64_FORMAT, record->count + 1);
  for (uint32_t i = first; i < record->n_ids; i++)
    if (!g_str_equal (record->ids[i], job_id))
      g_string_append_printf (text, "\n%s", record->ids[i]);
  g_string_append_printf (text, "\n%s", job_id);
  gr_tombstones_expect (tombstones, job_id, txn);
  gr_metastore_txn_put (txn, key, text->str, text->len, 0);
}
