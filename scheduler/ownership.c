#include "scheduler/ownership.h"

#include "rpc/pack.h"

#include <string.h>

#define READ_BACK_MS 200

struct gr_ownership
{
  struct gr_kv *kv;
  const struct gr_clock *clock;
  struct gr_ownership_config config;
  struct gr_ownership_events events;
  void *context;
  char *owner_key;
  char *commit_key;
  enum gr_ownership_state state;
  int calls; /* in flight; they keep the struct alive */
  bool destroyed;
  uint32_t failures; /* of calls to the store; 2 and more: it is down */
  bool polling;      /* a read of the owner key is in flight */
  guint poll_timer;
  guint renew_timer;
  guint retry_timer;
  int64_t absent_since_ms; /* -1: the owner key was there */
  int64_t not_before_ms;
  int64_t lease;
  int64_t renewed_lease;  /* of the renewal in flight */
  int64_t lease_asked_ms; /* start of the grant, or of the last renewal */
  uint64_t epoch;
  int64_t commit_revision; /* condition of a reclaim; -1: none */
  int64_t heard_ms;        /* start of the last renewal that has ended */
};

static void create_owner_key (struct gr_ownership *own);
static void renew (struct gr_ownership *own);

char *
gr_shard_key (const char *shard, const char *name)
{
  return g_strconcat (GR_SHARDS_PREFIX, shard, "/", name, NULL);
}

static int64_t
now_ms (const struct gr_ownership *own)
{
  return gr_clock_now_ms (own->clock);
}

static void
ownership_free (struct gr_ownership *own)
{
  g_free (own->config.shard);
  g_free (own->config.instance);
  g_free (own->config.address);
  g_free (own->config.writer);
  g_free (own->owner_key);
  g_free (own->commit_key);
  g_free (own);
}

/* Ends a call: false if the struct was destroyed meanwhile. */
static bool
call_ended (struct gr_ownership *own)
{
  own->calls--;
  if (!own->destroyed)
    return true;
  if (own->calls == 0)
    ownership_free (own);
  return false;
}

static void
stop_timer (guint *timer)
{
  if (*timer != 0)
    g_source_remove (*timer);
  *timer = 0;
}

/* One lost answer does not mean that the store is down; a call that could not
 * be made does. */
static void
note_store (struct gr_ownership *own, const struct gr_error *error)
{
  if (error == NULL)
    own->failures = 0;
  else
    own->failures += error->kind == GR_ERROR_STORE_UNAVAILABLE ? 2 : 1;
  own->events.store (gr_ownership_store_is_up (own), own->context);
}

static bool
is_unknown (const struct gr_error *error)
{
  return error != NULL && error->kind != GR_ERROR_STORE_UNAVAILABLE;
}

static const struct gr_kv_entry *
first_entry (const struct gr_kv_result *result)
{
  return result->n_entries > 0 ? &result->entries[0] : NULL;
}

/* The writer id alone is not enough: an earlier ownership of this process has
 * the same one, but another store lease. */
static bool
is_own (const struct gr_ownership *own, const struct gr_kv_entry *entry)
{
  msgpack_unpacked unpacked;
  char *writer = NULL;
  bool same;

  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, entry->value, entry->size, NULL)
      == MSGPACK_UNPACK_SUCCESS)
    writer = gr_unpack_string (&unpacked.data, "writer");
  msgpack_unpacked_destroy (&unpacked);
  same =
      g_strcmp0 (writer, own->config.writer) == 0 && entry->lease == own->lease;
  g_free (writer);
  return same;
}

static void
go_waiting (struct gr_ownership *own)
{
  own->state = GR_OWNERSHIP_WAITING;
  own->epoch = 0;
  own->lease = 0;
  own->absent_since_ms = -1;
  stop_timer (&own->renew_timer);
  stop_timer (&own->retry_timer);
}

static void
ignore_result (const struct gr_kv_result *result,
               const struct gr_error *error,
               void *context)
{
  (void)result;
  (void)error;
  call_ended (context);
}

/* The answer does not matter: an unused lease expires by itself. */
static void
revoke_unused (struct gr_ownership *own)
{
  if (own->lease == 0)
    return;
  own->calls++;
  gr_kv_lease_revoke (own->kv, "owner", own->lease, own->config.call_timeout_ms,
                      ignore_result, own);
  own->lease = 0;
}

static void
lose (struct gr_ownership *own, const char *reason)
{
  bool was_owner = own->epoch != 0;

  revoke_unused (own);
  go_waiting (own);
  if (was_owner)
    own->events.lost (reason, own->context);
}

static gboolean
renew_due (gpointer data)
{
  struct gr_ownership *own = data;

  own->renew_timer = 0;
  renew (own);
  return G_SOURCE_REMOVE;
}

static void
schedule_renewal (struct gr_ownership *own, int64_t delay_ms)
{
  stop_timer (&own->renew_timer);
  own->renew_timer = g_timeout_add ((guint)MAX (delay_ms, 0), renew_due, own);
}

static int64_t
renew_interval_ms (const struct gr_ownership *own)
{
  return own->config.ttl_s * 1000 / 3;
}

static void
become_owner (struct gr_ownership *own, int64_t create_revision)
{
  bool again = own->state == GR_OWNERSHIP_RECLAIMING;

  own->state = GR_OWNERSHIP_OWNER;
  own->epoch = (uint64_t)create_revision;
  own->heard_ms = own->lease_asked_ms;
  schedule_renewal (own, own->lease_asked_ms + renew_interval_ms (own)
                             - now_ms (own));
  note_store (own, NULL);
  if (again)
    own->events.reacquired (own->epoch, own->context);
  else
    own->events.acquired (own->epoch, own->context);
}

/* A key under the lease cannot outlive it, so the attempt is over then. */
static bool
attempt_is_over (const struct gr_ownership *own)
{
  return now_ms (own) >= own->lease_asked_ms + own->config.ttl_s * 1000;
}

static void read_commit_key (struct gr_ownership *own);

static void read_back_done (const struct gr_kv_result *result,
                            const struct gr_error *error,
                            void *context);

/* A reclaim goes on for as long as nobody else has become owner. */
static void
end_attempt (struct gr_ownership *own)
{
  if (own->state == GR_OWNERSHIP_RECLAIMING)
    read_commit_key (own);
  else
    lose (own, "the owner key could not be created in time");
}

static gboolean
read_back (gpointer data)
{
  struct gr_ownership *own = data;

  own->retry_timer = 0;
  if (attempt_is_over (own))
    {
      end_attempt (own);
      return G_SOURCE_REMOVE;
    }
  own->calls++;
  gr_kv_range (own->kv, "owner", own->owner_key, false, 0,
               own->config.call_timeout_ms, read_back_done, own);
  return G_SOURCE_REMOVE;
}

static void
schedule_read_back (struct gr_ownership *own)
{
  stop_timer (&own->retry_timer);
  own->retry_timer = g_timeout_add (READ_BACK_MS, read_back, own);
}

/* The first creation may still arrive when the key is absent now. Creating it
 * once more with the same lease and value is safe: whichever comes second
 * fails on the compare. */
static void
read_back_done (const struct gr_kv_result *result,
                const struct gr_error *error,
                void *context)
{
  struct gr_ownership *own = context;
  const struct gr_kv_entry *entry;

  if (!call_ended (own))
    return;
  if (error != NULL)
    {
      schedule_read_back (own);
      return;
    }
  entry = first_entry (result);
  if (entry == NULL)
    create_owner_key (own);
  else if (is_own (own, entry))
    become_owner (own, entry->create_revision);
  else
    lose (own, "another scheduler owns the shard");
}

static const struct gr_kv_entry *
find_entry (const struct gr_kv_result *result, const char *key)
{
  for (size_t i = 0; i < result->n_entries; i++)
    if (strcmp (result->entries[i].key, key) == 0)
      return &result->entries[i];
  return NULL;
}

static void
create_done (const struct gr_kv_result *result,
             const struct gr_error *error,
             void *context)
{
  struct gr_ownership *own = context;
  const struct gr_kv_entry *entry;

  if (!call_ended (own))
    return;
  if (is_unknown (error)
      || (error != NULL && own->state == GR_OWNERSHIP_RECLAIMING))
    {
      schedule_read_back (own);
      return;
    }
  if (error != NULL)
    {
      lose (own, error->message);
      return;
    }
  if (result->succeeded)
    {
      become_owner (own, result->revision);
      return;
    }
  entry = find_entry (result, own->owner_key);
  if (entry != NULL && is_own (own, entry))
    become_owner (own, entry->create_revision);
  else
    lose (own, "another scheduler owned the shard meanwhile");
}

static void
create_owner_key (struct gr_ownership *own)
{
  struct gr_kv_txn *txn = gr_kv_txn_create ();
  struct gr_packer *value = gr_packer_create ();
  const void *data;
  size_t size;

  gr_pack_string (value, "instance", own->config.instance);
  gr_pack_string (value, "address", own->config.address);
  gr_pack_string (value, "writer", own->config.writer);
  data = gr_packer_data (value, &size);
  gr_kv_txn_if_created_at (txn, own->owner_key, 0);
  if (own->commit_revision == 0)
    gr_kv_txn_if_created_at (txn, own->commit_key, 0);
  else if (own->commit_revision > 0)
    gr_kv_txn_if_modified_at (txn, own->commit_key, own->commit_revision);
  gr_kv_txn_put (txn, own->owner_key, data, size, own->lease);
  gr_kv_txn_else_get (txn, own->owner_key);
  own->calls++;
  gr_kv_commit (own->kv, "owner", txn, own->config.call_timeout_ms, create_done,
                own);
  gr_packer_destroy (value);
}

static void grant_lease (struct gr_ownership *own);

static gboolean
grant_again (gpointer data)
{
  struct gr_ownership *own = data;

  own->retry_timer = 0;
  grant_lease (own);
  return G_SOURCE_REMOVE;
}

static void
grant_done (const struct gr_kv_result *result,
            const struct gr_error *error,
            void *context)
{
  struct gr_ownership *own = context;

  if (!call_ended (own))
    return;
  if (error == NULL && result->lease != 0)
    {
      own->lease = result->lease;
      create_owner_key (own);
      return;
    }
  note_store (own, error);
  if (own->state == GR_OWNERSHIP_RECLAIMING)
    own->retry_timer = g_timeout_add (READ_BACK_MS, grant_again, own);
  else
    go_waiting (own);
}

static void
grant_lease (struct gr_ownership *own)
{
  own->lease_asked_ms = now_ms (own);
  own->calls++;
  gr_kv_lease_grant (own->kv, "owner", own->config.ttl_s,
                     own->config.call_timeout_ms, grant_done, own);
}

/* --- Waiting ------------------------------------------------------------ */

static void
owner_absent (struct gr_ownership *own)
{
  int64_t now = now_ms (own);
  int64_t wait_ms =
      own->events.preferred (own->context) ? 0 : GR_OWNERSHIP_YIELD_MS;

  if (own->absent_since_ms < 0)
    own->absent_since_ms = now;
  if (now - own->absent_since_ms < wait_ms || now < own->not_before_ms
      || !own->events.eligible (own->context))
    return;
  own->state = GR_OWNERSHIP_ACQUIRING;
  own->commit_revision = -1;
  grant_lease (own);
}

static void
poll_done (const struct gr_kv_result *result,
           const struct gr_error *error,
           void *context)
{
  struct gr_ownership *own = context;

  if (!call_ended (own))
    return;
  own->polling = false;
  if (own->state != GR_OWNERSHIP_WAITING)
    return;
  note_store (own, error);
  if (error != NULL)
    return;
  if (result->n_entries == 0)
    owner_absent (own);
  else
    own->absent_since_ms = -1;
}

static gboolean
poll_owner (gpointer data)
{
  struct gr_ownership *own = data;

  if (own->state != GR_OWNERSHIP_WAITING || own->polling
      || !own->events.eligible (own->context))
    return G_SOURCE_CONTINUE;
  own->polling = true;
  own->calls++;
  gr_kv_range (own->kv, "owner", own->owner_key, false, 0,
               own->config.call_timeout_ms, poll_done, own);
  return G_SOURCE_CONTINUE;
}

/* --- Reclaiming --------------------------------------------------------- */

static gboolean
read_commit_again (gpointer data)
{
  struct gr_ownership *own = data;

  own->retry_timer = 0;
  read_commit_key (own);
  return G_SOURCE_REMOVE;
}

static void
commit_key_done (const struct gr_kv_result *result,
                 const struct gr_error *error,
                 void *context)
{
  struct gr_ownership *own = context;
  const struct gr_kv_entry *entry;

  if (!call_ended (own) || own->state != GR_OWNERSHIP_RECLAIMING)
    return;
  if (error != NULL)
    {
      own->retry_timer = g_timeout_add (READ_BACK_MS, read_commit_again, own);
      return;
    }
  entry = first_entry (result);
  if (!own->events.commit_unchanged (entry, own->context))
    {
      lose (own, "another scheduler has committed");
      return;
    }
  own->commit_revision = entry != NULL ? entry->mod_revision : 0;
  grant_lease (own);
}

static void
read_commit_key (struct gr_ownership *own)
{
  own->calls++;
  gr_kv_range (own->kv, "owner", own->commit_key, false, 0,
               own->config.call_timeout_ms, commit_key_done, own);
}

/* The lease has expired, so no commit on condition of the former owner key can
 * take effect any more. If the commit key is unchanged too, nobody has started
 * anything, and what the core knows is still true. */
static void
reclaim (struct gr_ownership *own)
{
  if (own->state != GR_OWNERSHIP_OWNER)
    return;
  own->state = GR_OWNERSHIP_RECLAIMING;
  own->lease = 0;
  stop_timer (&own->renew_timer);
  read_commit_key (own);
}

void
gr_ownership_contested (struct gr_ownership *own,
                        const struct gr_kv_entry *owner)
{
  if (own->state != GR_OWNERSHIP_OWNER)
    return;
  if (owner == NULL)
    reclaim (own);
  else if (!is_own (own, owner))
    lose (own, "another scheduler owns the shard");
}

/* --- Renewal ------------------------------------------------------------ */

static void
renew_done (const struct gr_kv_result *result,
            const struct gr_error *error,
            void *context)
{
  struct gr_ownership *own = context;

  if (!call_ended (own) || own->state != GR_OWNERSHIP_OWNER
      || own->renewed_lease != own->lease)
    return;
  note_store (own, error);
  own->heard_ms = own->lease_asked_ms;
  if (error != NULL)
    schedule_renewal (own, renew_interval_ms (own) / 3);
  else if (result->ttl_s <= 0)
    reclaim (own);
  else
    schedule_renewal (own, own->lease_asked_ms + renew_interval_ms (own)
                               - now_ms (own));
}

static void
renew (struct gr_ownership *own)
{
  int64_t limit_ms = renew_interval_ms (own);

  own->lease_asked_ms = now_ms (own);
  own->renewed_lease = own->lease;
  own->calls++;
  gr_kv_lease_keepalive (own->kv, "owner", own->lease,
                         MIN (own->config.call_timeout_ms, (uint32_t)limit_ms),
                         renew_done, own);
}

/* --- Release ------------------------------------------------------------ */

static void
release_done (const struct gr_kv_result *result,
              const struct gr_error *error,
              void *context)
{
  struct gr_ownership *own = context;

  (void)result;
  (void)error;
  if (!call_ended (own) || own->state != GR_OWNERSHIP_RELEASING)
    return;
  go_waiting (own);
  own->not_before_ms = now_ms (own) + GR_OWNERSHIP_RELEASED_MS;
  own->events.released (own->context);
}

void
gr_ownership_release (struct gr_ownership *own)
{
  if (own->state != GR_OWNERSHIP_OWNER)
    return;
  own->state = GR_OWNERSHIP_RELEASING;
  stop_timer (&own->renew_timer);
  own->calls++;
  gr_kv_lease_revoke (own->kv, "owner", own->lease, own->config.call_timeout_ms,
                      release_done, own);
}

void
gr_ownership_abandon (struct gr_ownership *own, uint32_t retry_ms)
{
  own->not_before_ms = now_ms (own) + retry_ms;
  lose (own, "the shard could not be recovered");
}

/* --- Life --------------------------------------------------------------- */

struct gr_ownership *
gr_ownership_create (struct gr_kv *kv,
                     const struct gr_clock *clock,
                     const struct gr_ownership_config *config,
                     const struct gr_ownership_events *events,
                     void *context)
{
  struct gr_ownership *own = g_new0 (struct gr_ownership, 1);

  own->kv = kv;
  own->clock = clock;
  own->config = *config;
  own->config.shard = g_strdup (config->shard);
  own->config.instance = g_strdup (config->instance);
  own->config.address = g_strdup (config->address);
  own->config.writer = g_strdup (config->writer);
  own->events = *events;
  own->context = context;
  own->owner_key = gr_shard_key (config->shard, "owner");
  own->commit_key = gr_shard_key (config->shard, "commit");
  own->absent_since_ms = -1;
  own->not_before_ms = INT64_MIN;
  own->commit_revision = -1;
  own->poll_timer = g_timeout_add (config->poll_ms, poll_owner, own);
  return own;
}

void
gr_ownership_destroy (struct gr_ownership *own)
{
  if (own == NULL)
    return;
  stop_timer (&own->poll_timer);
  stop_timer (&own->renew_timer);
  stop_timer (&own->retry_timer);
  own->destroyed = true;
  if (own->calls == 0)
    ownership_free (own);
}

enum gr_ownership_state
gr_ownership_state (const struct gr_ownership *own)
{
  return own->state;
}

uint64_t
gr_ownership_epoch (const struct gr_ownership *own)
{
  return own->epoch;
}

bool
gr_ownership_may_command (const struct gr_ownership *own)
{
  return own->state == GR_OWNERSHIP_OWNER
         && now_ms (own) - own->heard_ms < own->config.ttl_s * 1000;
}

bool
gr_ownership_may_renew (const struct gr_ownership *own)
{
  return own->state == GR_OWNERSHIP_RECLAIMING
         || gr_ownership_may_command (own);
}

bool
gr_ownership_store_is_up (const struct gr_ownership *own)
{
  return own->failures < 2;
}
