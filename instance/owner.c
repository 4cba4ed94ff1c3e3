#include "instance/owner.h"

#include "common/log.h"
#include "instance/advice-calls.h"
#include "instance/expiry.h"
#include "instance/ownership.h"
#include "instance/progress-log.h"
#include "instance/upkeep.h"
#include "instance/worker-io.h"
#include "platform/registry.h"

#include <string.h>

/* Lease of what runs, from each look on. Long enough for a takeover after a
 * store outage of some seconds; work on a worker that is cut off is started
 * again elsewhere after it. */
#define HOLD_MS 7000

/* A former owner looks at each worker that runs something every 1.5 s, and
 * stops when one of them has seen the epoch of its successor. */
#define FENCED_WITHIN_MS 2500

/* Entries that lapsed in an outage of the store are back within two seconds of
 * its return (platform's pages). */
#define REGISTRY_SETTLE_MS 2500

/* The store is steady when it has answered for so long; contact-ms of the
 * platform's bounds is 3 or 4 s. */
#define STEADY_MS 5000

/* Time between two runs of the core when nothing happens. */
#define TICK_MS 100

/* Answers that arrive within this time are followed by one run of the core. */
#define GATHER_MS 8

/* The registry is read so often: a draining worker gets nothing new 2 s after
 * it has said so (drain-ms), and a read may take a second. */
#define REGISTRY_MS 600
#define REGISTRY_TIMEOUT_MS 900

/* Which jobs have begun is published so often; clients may see counts that
 * are 2 s old. */
#define PUBLISH_MS 900
#define PUBLISH_TIMEOUT_MS 800

struct gr_owner
{
  struct gr_owner_parts parts;
  int64_t epoch;
  int64_t revision;
  struct gr_steps *steps;
  struct gr_worker_io *io;
  struct gr_progress_log *log;
  struct gr_upkeep *upkeep;
  struct gr_expiry *expiry;
  struct gr_advice_calls *advice;
  GHashTable *addresses;  /* worker id -> IP:PORT, last that was seen */
  GHashTable *registered; /* worker ids in the registry */
  GHashTable *listed;     /* the same, of the read that runs */
  bool loaded;
  bool registry_read;
  bool superseded;
  char *published_begun;
  char *published_absent;
  bool begun_changed;
  bool absent_changed;
  int64_t published_revision;
  guint tick;
  int64_t last_tick_ms;
  guint soon;
  guint registry_timer;
  guint publish_timer;
  struct owner_call *calls[3];
};

/* A call of the owner that may outlive it. */
struct owner_call
{
  struct gr_owner *owner; /* NULL when it was destroyed */
  struct owner_call **slot;
};

enum call_slot
{
  SLOT_REGISTRY,
  SLOT_PUBLISH,
  SLOT_RELOAD,
};

static void run (struct gr_owner *owner);

static struct owner_call *
open_call (struct gr_owner *owner, enum call_slot slot)
{
  struct owner_call *call = g_new0 (struct owner_call, 1);

  call->owner = owner;
  call->slot = &owner->calls[slot];
  owner->calls[slot] = call;
  return call;
}

static struct gr_owner *
end_call (struct owner_call *call)
{
  struct gr_owner *owner = call->owner;

  if (owner != NULL)
    *call->slot = NULL;
  g_free (call);
  return owner;
}

static void
take_superseded (struct gr_owner *owner, const char *reason)
{
  if (owner->superseded)
    return;
  owner->superseded = true;
  owner->parts.superseded (reason, owner->parts.context);
}

static void
write_progress (struct gr_owner *owner)
{
  const char *id;

  while ((id = gr_steps_take_changed (owner->steps)) != NULL)
    {
      struct gr_job_progress progress;
      GBytes *value;

      if (!gr_steps_progress (owner->steps, id, &progress))
        continue;
      value = gr_record_encode_progress (&progress);
      gr_progress_log_add (owner->log, id, value);
      g_bytes_unref (value);
      gr_job_progress_clear (&progress);
    }
  gr_progress_log_flush (owner->log, gr_steps_sequence (owner->steps));
}

static void
run (struct gr_owner *owner)
{
  if (!owner->loaded || !owner->registry_read || owner->superseded)
    return;
  gr_steps_tick (owner->steps, gr_clock_now_ms (owner->parts.clock),
                 gr_clock_unix_ms ());
  gr_worker_io_run (owner->io);
  gr_advice_calls_run (owner->advice);
  gr_upkeep_run (owner->upkeep);
  gr_expiry_run (owner->expiry);
  write_progress (owner);
  if (gr_steps_fenced (owner->steps))
    take_superseded (owner, "a worker has seen a higher epoch");
}

static gboolean
run_soon (gpointer data)
{
  struct gr_owner *owner = data;

  owner->soon = 0;
  run (owner);
  return G_SOURCE_REMOVE;
}

/* Several answers that arrive together are followed by one run. */
static void
schedule_run (void *context)
{
  struct gr_owner *owner = context;

  if (owner->soon == 0 && !owner->superseded)
    owner->soon = g_timeout_add (GATHER_MS, run_soon, owner);
}

static gboolean
on_tick (gpointer data)
{
  struct gr_owner *owner = data;
  int64_t now_ms = gr_clock_now_ms (owner->parts.clock);

  gr_worker_io_set_late (owner->io,
                         MAX (now_ms - owner->last_tick_ms - TICK_MS, 0));
  owner->last_tick_ms = now_ms;
  run (owner);
  return G_SOURCE_CONTINUE;
}

static void
committed (uint64_t sequence, void *context)
{
  struct gr_owner *owner = context;

  gr_steps_committed (owner->steps, sequence);
  schedule_run (owner);
}

static void
not_owner (void *context)
{
  take_superseded (context, "a write was refused");
}

static void
set_worker (struct gr_owner *owner,
            const struct gr_registry_entry *entry,
            int64_t revision)
{
  struct gr_steps_worker worker = {
    .id = entry->worker,
    .service = entry->service,
    .rack = entry->rack,
    .labels = (const char *const *)entry->labels,
    .capacity = entry->capacity,
    .draining = entry->draining,
    /* The entry may have been written a whole period ago. */
    .remaining_ms = MAX (entry->remaining_ms - REGISTRY_MS, 0),
    .born_unix_ms = entry->born_unix_ms,
    .entry_revision = revision,
  };

  gr_steps_set_worker (owner->steps, &worker,
                       gr_clock_now_ms (owner->parts.clock));
  gr_worker_io_set (owner->io, entry->worker, entry->address);
  g_hash_table_replace (owner->addresses, g_strdup (entry->worker),
                        g_strdup (entry->address));
  g_hash_table_add (owner->listed, g_strdup (entry->worker));
}

static int64_t
contact_since (const struct gr_owner *owner)
{
  int64_t now_ms = gr_clock_now_ms (owner->parts.clock);

  return MIN (gr_config_view_contact_ms (owner->parts.config), now_ms);
}

/* Entries can also be removed while the store is not steady. */
static bool
is_steady (const struct gr_owner *owner)
{
  return contact_since (owner) + STEADY_MS
         <= gr_clock_now_ms (owner->parts.clock);
}

static void
read_entry (struct gr_owner *owner, const struct gr_metastore_item *item)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_registry_entry *entry =
      gr_registry_decode (item->key, item->value, &error);

  if (entry == NULL)
    {
      gr_log_problem ("registry-entry-unreadable", "key", item->key, "reason",
                      error.message, NULL);
      return;
    }
  set_worker (owner, entry, item->revision);
  gr_registry_entry_destroy (entry);
}

static void
remove_missing (struct gr_owner *owner)
{
  GHashTableIter iter;
  void *id;

  g_hash_table_iter_init (&iter, owner->registered);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (owner->listed, id))
      gr_steps_worker_gone (owner->steps, id, is_steady (owner),
                            gr_clock_now_ms (owner->parts.clock));
  g_hash_table_destroy (owner->registered);
  owner->registered = g_steal_pointer (&owner->listed);
}

static void read_registry (struct gr_owner *owner, const char *after);

static gboolean
read_registry_again (gpointer data)
{
  struct gr_owner *owner = data;

  owner->registry_timer = 0;
  read_registry (owner, NULL);
  return G_SOURCE_REMOVE;
}

static void
registry_done (const struct gr_metastore_result *result,
               const struct gr_error *error,
               void *context)
{
  struct gr_owner *owner = end_call (context);

  if (owner == NULL || (error != NULL && error->kind == GR_ERROR_CANCELLED))
    return;
  if (error != NULL)
    gr_log_event ("registry-not-read", "reason", error->message, NULL);
  else
    {
      for (size_t i = 0; i < result->n_items; i++)
        read_entry (owner, &result->items[i]);
      if (result->truncated && result->n_items > 0)
        {
          read_registry (owner, result->items[result->n_items - 1].key);
          return;
        }
      remove_missing (owner);
      owner->registry_read = true;
      schedule_run (owner);
    }
  owner->registry_timer = g_timeout_add (error ? REGISTRY_MS / 3 : REGISTRY_MS,
                                         read_registry_again, owner);
}

static void
read_registry (struct gr_owner *owner, const char *after)
{
  if (after == NULL)
    {
      g_clear_pointer (&owner->listed, g_hash_table_destroy);
      owner->listed =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  gr_metastore_range (owner->parts.store, gr_registry_prefix, after, false,
                      REGISTRY_TIMEOUT_MS,
                      (struct gr_metastore_reply){
                          registry_done, open_call (owner, SLOT_REGISTRY) });
}

static void
append_id (const char *id, void *context)
{
  GString *text = context;

  g_string_append (text, id);
  g_string_append_c (text, '\n');
}

static void
publish_done (const struct gr_metastore_result *result,
              const struct gr_error *error,
              void *context)
{
  struct gr_owner *owner = end_call (context);

  if (owner == NULL)
    return;
  /* It is written again with the next change, or after a failure. */
  if (error == NULL && result->conditions_held)
    return;
  g_clear_pointer (&owner->published_begun, g_free);
  g_clear_pointer (&owner->published_absent, g_free);
}

struct absent_text
{
  struct gr_owner *owner;
  GString *text;
};

static void
append_absent (const char *worker, void *context)
{
  struct absent_text *absent = context;
  const char *address = g_hash_table_lookup (absent->owner->addresses, worker);

  if (address != NULL)
    g_string_append_printf (absent->text, "%s %s\n", worker, address);
}

static void
write_published (struct gr_owner *owner)
{
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();
  const struct
  {
    const char *key;
    const char *text;
    bool changed;
  } rows[] = {
    { GR_RECORD_BEGUN, owner->published_begun, owner->begun_changed },
    { GR_RECORD_ABSENT, owner->published_absent, owner->absent_changed },
  };

  gr_metastore_txn_expect (txn, GR_RECORD_OWNER, owner->revision);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    if (rows[i].changed)
      gr_metastore_txn_put (txn, rows[i].key, rows[i].text,
                            strlen (rows[i].text), 0);
  gr_metastore_commit (owner->parts.store, txn, PUBLISH_TIMEOUT_MS,
                       (struct gr_metastore_reply){
                           publish_done, open_call (owner, SLOT_PUBLISH) });
}

/* Takes text; true if it differs from what was published. */
static bool
replace_published (char **published, GString *text)
{
  g_autofree char *former = *published;

  *published = g_string_free (text, FALSE);
  return g_strcmp0 (former, *published) != 0;
}

/* For clients' counts, and for a successor: workers that may run something and
 * that it may not find in the registry. Few of them come or go in a second, so
 * that the list is written when it changes only. */
static gboolean
publish (gpointer data)
{
  struct gr_owner *owner = data;
  struct absent_text absent = { owner, NULL };
  GString *begun;

  if (owner->calls[SLOT_PUBLISH] != NULL || owner->superseded || !owner->loaded)
    return G_SOURCE_CONTINUE;
  begun = g_string_new (NULL);
  absent.text = g_string_new (NULL);
  gr_steps_each_begun (owner->steps, append_id, begun);
  gr_steps_each_inherited (owner->steps, append_absent, &absent);
  owner->begun_changed = replace_published (&owner->published_begun, begun);
  owner->absent_changed =
      replace_published (&owner->published_absent, absent.text);
  if (owner->begun_changed || owner->absent_changed)
    write_published (owner);
  return G_SOURCE_CONTINUE;
}

/* Lines of a worker's id and its address. */
static void
inherit_absent (struct gr_owner *owner)
{
  g_auto (GStrv) lines =
      g_strsplit (gr_mirror_absent (owner->parts.mirror), "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    {
      g_auto (GStrv) words = g_strsplit (*line, " ", 2);

      if (g_strv_length (words) != 2)
        continue;
      gr_steps_set_absent (owner->steps, words[0],
                           gr_clock_now_ms (owner->parts.clock));
      g_hash_table_replace (owner->addresses, g_strdup (words[0]),
                            g_strdup (words[1]));
      gr_worker_io_set (owner->io, words[0], words[1]);
    }
}

static void
add_job (struct gr_owner *owner,
         const char *id,
         const struct gr_mirror_job *job,
         bool inherited)
{
  gr_steps_add_job (owner->steps, job->spec,
                    job->progress_revision ? &job->progress : NULL, inherited,
                    gr_clock_now_ms (owner->parts.clock));
  if (job->cancel_revision != 0)
    gr_steps_cancel_job (owner->steps, id);
}

static void
inherit_job (const char *id, const struct gr_mirror_job *job, void *context)
{
  add_job (context, id, job, true);
}

void
gr_owner_job_changed (struct gr_owner *owner,
                      const char *id,
                      const struct gr_mirror_job *job)
{
  if (!owner->loaded)
    return;
  add_job (owner, id, job, false);
  schedule_run (owner);
}

void
gr_owner_config_changed (struct gr_owner *owner)
{
  const struct gr_cluster_config *config =
      gr_config_view_get (owner->parts.config);

  if (config == NULL)
    return;
  for (size_t i = 0; i < config->n_queues; i++)
    {
      const struct gr_queue_config *row = &config->queues[i];
      struct gr_steps_queue queue = {
        .name = row->name,
        .service = row->service,
        .priority = row->priority,
        .max_attempts = row->max_attempts,
        .objective_ms = row->objective_ms,
        .stretch = row->stretch,
        .needs_advice = row->needs_advice,
      };

      gr_steps_set_queue (owner->steps, &queue);
    }
  for (size_t i = 0; i < config->n_accounts; i++)
    gr_steps_set_guarantee (owner->steps, config->accounts[i].name,
                            config->accounts[i].guaranteed_accelerators);
  schedule_run (owner);
}

static void reload (struct gr_owner *owner);

static void
reload_done (bool loaded, void *context)
{
  struct owner_call *call = context;
  struct gr_owner *owner = end_call (call);

  if (owner == NULL)
    return;
  if (!loaded)
    {
      reload (owner);
      return;
    }
  owner->loaded = true;
  inherit_absent (owner);
  gr_mirror_each (owner->parts.mirror, inherit_job, owner);
  schedule_run (owner);
}

/* Every record that was written before the takeover is read. */
static void
reload (struct gr_owner *owner)
{
  gr_mirror_reload (owner->parts.mirror, reload_done,
                    open_call (owner, SLOT_RELOAD));
}

struct gr_owner *
gr_owner_create (const struct gr_owner_parts *parts,
                 int64_t epoch,
                 int64_t revision)
{
  struct gr_owner *owner = g_new0 (struct gr_owner, 1);
  const struct gr_instance_settings *settings = parts->settings;
  struct gr_steps_settings core = {
    .hold_ms = MIN (HOLD_MS, settings->max_hold_ms),
    .gang_wait_ms = settings->gang_wait_ms,
    .reclaim_ms = settings->reclaim_ms,
    .isolation_ms = FENCED_WITHIN_MS,
    .heartbeat_ms = settings->heartbeat_ms,
    .checkpoint_ms = (uint32_t)(settings->checkpoint_s * 1000),
    .far_factor = settings->far_factor,
  };

  owner->parts = *parts;
  owner->epoch = epoch;
  owner->revision = revision;
  owner->steps = gr_steps_create (&core, epoch, gr_clock_now_ms (parts->clock));
  owner->io = gr_worker_io_create (
      owner->steps, epoch, core.hold_ms, parts->clock, parts->counters,
      &(struct gr_worker_io_events){ schedule_run, owner });
  owner->log = gr_progress_log_create (
      parts->store, parts->mirror, revision,
      &(struct gr_progress_log_events){ committed, not_owner, owner });
  gr_steps_set_registry_settled (owner->steps,
                                 contact_since (owner) + REGISTRY_SETTLE_MS);
  owner->addresses =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  owner->expiry = gr_expiry_create (parts, revision);
  owner->upkeep = gr_upkeep_create (parts, owner->steps, epoch, revision);
  owner->advice =
      gr_advice_calls_create (parts, owner->steps, schedule_run, owner);
  owner->registered =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gr_owner_config_changed (owner);
  owner->last_tick_ms = gr_clock_now_ms (parts->clock);
  owner->tick = g_timeout_add (TICK_MS, on_tick, owner);
  owner->publish_timer = g_timeout_add (PUBLISH_MS, publish, owner);
  reload (owner);
  read_registry (owner, NULL);
  return owner;
}

void
gr_owner_counts (const struct gr_owner *owner,
                 struct gr_steps_counts *counts,
                 int64_t *late_ms)
{
  gr_steps_counts (owner->steps, counts);
  *late_ms = gr_worker_io_late_ms (owner->io);
}

void
gr_owner_destroy (struct gr_owner *owner)
{
  if (owner == NULL)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (owner->calls); i++)
    if (owner->calls[i] != NULL)
      owner->calls[i]->owner = NULL;
  g_source_remove (owner->tick);
  g_source_remove (owner->publish_timer);
  if (owner->soon != 0)
    g_source_remove (owner->soon);
  if (owner->registry_timer != 0)
    g_source_remove (owner->registry_timer);
  gr_upkeep_destroy (owner->upkeep);
  gr_expiry_destroy (owner->expiry);
  gr_advice_calls_destroy (owner->advice);
  gr_worker_io_destroy (owner->io);
  gr_progress_log_destroy (owner->log);
  gr_steps_destroy (owner->steps);
  g_clear_pointer (&owner->listed, g_hash_table_destroy);
  g_hash_table_destroy (owner->registered);
  g_hash_table_destroy (owner->addresses);
  g_free (owner->published_begun);
  g_free (owner->published_absent);
  g_free (owner);
}
