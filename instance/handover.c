#include "instance/handover.h"

#include "common/log.h"

#include <string.h>

/* Period of the writes. Counts shown to clients may be 2 s old. */
#define PERIOD_MS 900
#define WRITE_TIMEOUT_MS 800

/* While workers wait for the list, writes follow each other after this time,
 * which lets the workers that join together share one. */
#define MIN_INTERVAL_MS 100
/* Bounds the size of the writes to a fifth of the smallest link, 2 Mbit/s: 1.1
 * s for 1,100 workers of 48 bytes. */
#define MAX_BYTES_PER_MS 50
/* As for the progress of jobs, a little slower: nothing that runs waits. */
#define RETRY_MS 300

struct write
{
  struct gr_handover *handover; /* NULL after it was destroyed */
  char *workers;                /* NULL: only the started jobs */
};

/* A list that was sent to the store. */
struct attempt
{
  char *workers;
  uint64_t list;
  int64_t sent_ms;
};

struct gr_handover
{
  struct gr_owner_deps deps;
  struct gr_steps *steps;
  struct gr_worker_io *io;
  int64_t owner_revision;
  struct gr_handover_events events;
  GHashTable *addresses; /* worker id -> IP:PORT, the last known address */
  char *started;         /* as last written; NULL: must be written */
  GPtrArray *attempts;   /* struct attempt; to replace the stored list */
  int64_t revision;      /* of the stored list */
  bool uncertain;        /* an attempt may take effect without an answer */
  int64_t sent_ms;       /* last write */
  int64_t next_ms;       /* no write before this time */
  int64_t period_ms;
  struct write *open; /* write in flight, or NULL */
};

static void
attempt_free (void *data)
{
  struct attempt *attempt = data;

  g_free (attempt->workers);
  g_free (attempt);
}

static int64_t
now_ms (const struct gr_handover *handover)
{
  return gr_clock_now_ms (handover->deps.clock);
}

static void
log_durable (const struct gr_handover *handover, const struct attempt *attempt)
{
  char list[24];
  char bytes[24];
  char age[24];

  g_snprintf (list, sizeof list, "%" G_GUINT64_FORMAT, attempt->list);
  g_snprintf (bytes, sizeof bytes, "%zu", strlen (attempt->workers));
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              now_ms (handover) - attempt->sent_ms);
  gr_log_event ("handover-durable", "list", list, "bytes", bytes, "sent_ms",
                age, NULL);
}

static void
log_failure (const struct gr_handover *handover, const char *reason)
{
  struct gr_steps_counts counts;
  char held_back[16];
  char age[24];

  gr_steps_counts (handover->steps, &counts);
  g_snprintf (held_back, sizeof held_back, "%u", counts.workers_held_back);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              now_ms (handover) - handover->sent_ms);
  gr_log_event ("handover-not-written", "reason", reason, "workers_held_back",
                held_back, "sent_ms", age, NULL);
}

/* The mirror shows writes whose answer was lost, too. Each write requires the
 * revision that it replaces, so none that was sent before can follow. */
static void
update_durable (struct gr_handover *handover)
{
  const char *stored;
  int64_t revision =
      gr_mirror_handover_workers (handover->deps.mirror, &stored);

  if (revision == handover->revision)
    return;
  handover->revision = revision;
  handover->uncertain = false;
  for (guint i = handover->attempts->len; i-- > 0;)
    {
      const struct attempt *attempt = handover->attempts->pdata[i];

      if (!g_str_equal (stored, attempt->workers))
        continue;
      log_durable (handover, attempt);
      gr_steps_set_handover_list_durable (handover->steps, attempt->list);
      handover->events.durable (handover->events.context);
      break;
    }
  g_ptr_array_set_size (handover->attempts, 0);
}

static void
apply_stored (const struct gr_handover *handover,
              const char *workers,
              const struct gr_metastore_result *result)
{
  struct gr_metastore_item item = { .key = (char *)GR_RECORD_HANDOVER,
                                    .revision = result->revision };

  if (result->conditions_held)
    {
      item.value = g_bytes_new (workers, strlen (workers));
      gr_mirror_apply (handover->deps.mirror, &item);
      g_bytes_unref (item.value);
      return;
    }
  for (size_t i = 0; i < result->n_items; i++)
    if (g_str_equal (result->items[i].key, GR_RECORD_HANDOVER)
        && result->items[i].value != NULL)
      gr_mirror_apply (handover->deps.mirror, &result->items[i]);
}

static void
write_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  struct write *write = context;
  struct gr_handover *handover = write->handover;
  g_autofree char *workers = write->workers;

  g_free (write);
  if (handover == NULL)
    return;
  handover->open = NULL;
  if (error == NULL)
    {
      if (workers != NULL)
        apply_stored (handover, workers, result);
      update_durable (handover);
      if (result->conditions_held)
        return;
    }
  else if (workers != NULL && error->kind != GR_ERROR_STORE_UNAVAILABLE)
    handover->uncertain = true;
  log_failure (handover,
               error != NULL ? error->message : "a record has changed");
  g_clear_pointer (&handover->started, g_free);
  handover->next_ms = MAX (handover->next_ms, now_ms (handover) + RETRY_MS);
}

static void
write_lists (struct gr_handover *handover, const char *workers, bool started)
{
  const struct
  {
    const char *key;
    const char *text;
    bool changed;
  } rows[] = {
    { GR_RECORD_STARTED, handover->started, started },
    { GR_RECORD_HANDOVER, workers, workers != NULL },
  };
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();
  struct write *write = g_new0 (struct write, 1);
  size_t bytes = 0;

  gr_metastore_txn_expect (txn, GR_RECORD_OWNER, handover->owner_revision);
  if (workers != NULL)
    gr_metastore_txn_expect (txn, GR_RECORD_HANDOVER, handover->revision);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    if (rows[i].changed)
      {
        bytes += strlen (rows[i].text);
        gr_metastore_txn_put (txn, rows[i].key, rows[i].text,
                              strlen (rows[i].text), 0);
      }
  write->handover = handover;
  write->workers = g_strdup (workers);
  handover->open = write;
  handover->sent_ms = now_ms (handover);
  handover->next_ms =
      handover->sent_ms
      + MAX (MIN_INTERVAL_MS, (int64_t)(bytes / MAX_BYTES_PER_MS));
  gr_metastore_commit (handover->deps.store, txn, WRITE_TIMEOUT_MS,
                       (struct gr_metastore_reply){ write_done, write });
}

struct list
{
  const struct gr_handover *handover;
  GString *text;
};

static bool
add_worker (const char *worker, void *context)
{
  struct list *list = context;
  const char *address = g_hash_table_lookup (list->handover->addresses, worker);

  if (address == NULL)
    return false;
  g_string_append_printf (list->text, "%s %s\n", worker, address);
  return true;
}

static void
append_id (const char *id, void *context)
{
  GString *text = context;

  g_string_append (text, id);
  g_string_append_c (text, '\n');
}

/* Returns the list of workers if it must be written, or NULL. A list that
 * equals the stored one is durable without a write, unless an attempt may still
 * replace that. */
static const char *
update_workers (struct gr_handover *handover)
{
  struct list list = { handover, g_string_new (NULL) };
  struct attempt *attempt = g_new0 (struct attempt, 1);
  const char *stored;

  attempt->list =
      gr_steps_list_handover_workers (handover->steps, add_worker, &list);
  attempt->workers = g_string_free (list.text, FALSE);
  attempt->sent_ms = now_ms (handover);
  gr_mirror_handover_workers (handover->deps.mirror, &stored);
  if (handover->uncertain || !g_str_equal (stored, attempt->workers))
    {
      g_ptr_array_add (handover->attempts, attempt);
      return attempt->workers;
    }
  gr_steps_set_handover_list_durable (handover->steps, attempt->list);
  handover->events.durable (handover->events.context);
  attempt_free (attempt);
  return NULL;
}

static bool
update_started (struct gr_handover *handover)
{
  g_autofree char *former = g_steal_pointer (&handover->started);
  GString *text = g_string_new (NULL);

  gr_steps_each_started_job (handover->steps, append_id, text);
  handover->started = g_string_free (text, FALSE);
  return g_strcmp0 (former, handover->started) != 0;
}

void
gr_handover_run (struct gr_handover *handover)
{
  int64_t time_ms = now_ms (handover);
  const char *workers;
  bool started;

  update_durable (handover);
  if (handover->open != NULL || time_ms < handover->next_ms)
    return;
  if (time_ms < handover->period_ms
      && !gr_steps_has_workers_held_back (handover->steps))
    return;
  handover->period_ms = time_ms + PERIOD_MS;
  workers = update_workers (handover);
  started = update_started (handover);
  if (workers != NULL || started)
    write_lists (handover, workers, started);
}

void
gr_handover_set_address (struct gr_handover *handover,
                         const char *worker,
                         const char *address)
{
  const char *known = g_hash_table_lookup (handover->addresses, worker);

  gr_worker_io_set_address (handover->io, worker, address);
  if (g_strcmp0 (known, address) == 0)
    return;
  if (known != NULL)
    gr_steps_set_handover_outdated (handover->steps, worker);
  g_hash_table_replace (handover->addresses, g_strdup (worker),
                        g_strdup (address));
}

/* The registry is newer than the list of a former owner. A refused connection
 * to an address of a former process would release runs that are active. */
static void
inherit_worker (struct gr_handover *handover,
                const char *worker,
                const char *address)
{
  const char *registered = g_hash_table_lookup (handover->addresses, worker);

  gr_steps_add_inherited_worker (handover->steps, worker, now_ms (handover));
  if (registered == NULL)
    gr_handover_set_address (handover, worker, address);
  else if (!g_str_equal (registered, address))
    gr_steps_set_handover_outdated (handover->steps, worker);
}

void
gr_handover_inherit (struct gr_handover *handover)
{
  g_auto (GStrv) lines = NULL;
  const char *stored;
  uint32_t n = 0;
  char workers[16];

  handover->revision =
      gr_mirror_handover_workers (handover->deps.mirror, &stored);
  lines = g_strsplit (stored, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      g_auto (GStrv) words = g_strsplit (*line, " ", 2);

      if (g_strv_length (words) != 2)
        continue;
      inherit_worker (handover, words[0], words[1]);
      n++;
    }
  g_snprintf (workers, sizeof workers, "%u", n);
  gr_log_event ("workers-inherited", "workers", workers, NULL);
}

struct gr_handover *
gr_handover_create (const struct gr_owner_deps *deps,
                    struct gr_steps *steps,
                    struct gr_worker_io *io,
                    int64_t owner_revision,
                    const struct gr_handover_events *events)
{
  struct gr_handover *handover = g_new0 (struct gr_handover, 1);

  handover->deps = *deps;
  handover->steps = steps;
  handover->io = io;
  handover->owner_revision = owner_revision;
  handover->events = *events;
  handover->attempts = g_ptr_array_new_with_free_func (attempt_free);
  handover->addresses =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return handover;
}

void
gr_handover_destroy (struct gr_handover *handover)
{
  if (handover == NULL)
    return;
  if (handover->open != NULL)
    handover->open->handover = NULL;
  g_hash_table_destroy (handover->addresses);
  g_free (handover->started);
  g_ptr_array_unref (handover->attempts);
  g_free (handover);
}
