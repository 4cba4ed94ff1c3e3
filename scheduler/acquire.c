/* Acquires the shard: grants a store lease and creates the owner key, for the
 * first time or again after the lease has expired. */
#include "scheduler/ownership-private.h"

#include "common/log.h"
#include "rpc/pack.h"

#include <string.h>

#define RETRY_DELAY_MS 200

static void create_owner_key (struct gr_ownership *own);

static void
begin_call (struct gr_ownership *own)
{
  own->calls_in_flight++;
  own->attempt_in_flight = true;
}

/* To be called first by each response handler. False if the attempt has ended
 * since the call was sent: a shard that was released must not be acquired
 * because of it. */
static bool
is_attempt_current (struct gr_ownership *own)
{
  if (!gr_own_call_ended (own))
    return false;
  own->attempt_in_flight = false;
  if (own->state == GR_OWNERSHIP_ACQUIRING
      || own->state == GR_OWNERSHIP_RECLAIMING)
    return true;
  gr_log_event ("owner-answer-outdated", "shard", own->config.shard, NULL);
  return false;
}

static bool
outcome_is_unknown (const struct gr_error *error)
{
  return error != NULL && error->kind != GR_ERROR_STORE_UNAVAILABLE;
}

static void
become_owner (struct gr_ownership *own, int64_t create_revision)
{
  bool reclaimed = own->state == GR_OWNERSHIP_RECLAIMING;

  own->state = GR_OWNERSHIP_OWNER;
  own->epoch = (uint64_t)create_revision;
  own->last_renewal_ms = own->lease_requested_ms;
  gr_own_schedule_renewal (own, own->lease_requested_ms
                                    + gr_own_renew_interval_ms (own)
                                    - gr_own_now_ms (own));
  gr_own_record_store_result (own, NULL);
  if (reclaimed)
    own->events.reacquired (own->epoch, own->context);
  else
    own->events.acquired (own->epoch, own->context);
}

/* The owner key is deleted when its lease expires, so after one lease term no
 * key can be left from this attempt. */
static bool
attempt_expired (const struct gr_ownership *own)
{
  return gr_own_now_ms (own) >= own->lease_requested_ms + own->term_ms;
}

static void read_commit_key (struct gr_ownership *own);

static void read_back_done (const struct gr_kv_result *result,
                            const struct gr_error *error,
                            void *context);

/* A reclaim is retried until another scheduler has become owner or has
 * committed changes to the shard. */
static void
end_attempt (struct gr_ownership *own)
{
  if (own->state == GR_OWNERSHIP_RECLAIMING)
    read_commit_key (own);
  else
    gr_own_lose (own, "the owner key could not be created in time");
}

static gboolean
read_back (gpointer data)
{
  struct gr_ownership *own = data;

  own->retry_timer = 0;
  if (attempt_expired (own))
    {
      end_attempt (own);
      return G_SOURCE_REMOVE;
    }
  begin_call (own);
  gr_kv_range (own->kv, "owner", own->owner_key, false, 0,
               own->config.call_timeout_ms, read_back_done, own);
  return G_SOURCE_REMOVE;
}

static void
schedule_read_back (struct gr_ownership *own)
{
  gr_own_stop_timer (&own->retry_timer);
  own->retry_timer = g_timeout_add (RETRY_DELAY_MS, read_back, own);
}

/* If the key is absent, the first create request may still arrive later.
 * Sending it again with the same lease and value is safe: whichever arrives
 * second fails its compare. */
static void
read_back_done (const struct gr_kv_result *result,
                const struct gr_error *error,
                void *context)
{
  struct gr_ownership *own = context;
  const struct gr_kv_entry *entry;

  if (!is_attempt_current (own))
    return;
  if (error != NULL)
    {
      schedule_read_back (own);
      return;
    }
  entry = gr_own_first_entry (result);
  if (entry == NULL)
    create_owner_key (own);
  else if (gr_own_wrote_entry (own, entry))
    become_owner (own, entry->create_revision);
  else
    gr_own_lose (own, "another scheduler owns the shard");
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

  if (!is_attempt_current (own))
    return;
  if (error != NULL && error->kind == GR_ERROR_NOT_FOUND)
    {
      /* The lease does not exist any more, so no earlier request of this
       * attempt can have left a key behind. */
      end_attempt (own);
      return;
    }
  if (outcome_is_unknown (error)
      || (error != NULL && own->state == GR_OWNERSHIP_RECLAIMING))
    {
      schedule_read_back (own);
      return;
    }
  if (error != NULL)
    {
      gr_own_lose (own, error->message);
      return;
    }
  if (result->succeeded)
    {
      become_owner (own, result->revision);
      return;
    }
  entry = find_entry (result, own->owner_key);
  if (entry != NULL && gr_own_wrote_entry (own, entry))
    become_owner (own, entry->create_revision);
  else
    gr_own_lose (own, "another scheduler acquired the shard first");
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
  begin_call (own);
  gr_kv_commit (own->kv, "owner", txn, own->config.call_timeout_ms, create_done,
                own);
  gr_packer_destroy (value);
}

void gr_own_acquire (struct gr_ownership *own);

static gboolean
grant_again (gpointer data)
{
  struct gr_ownership *own = data;

  own->retry_timer = 0;
  gr_own_acquire (own);
  return G_SOURCE_REMOVE;
}

static void
grant_done (const struct gr_kv_result *result,
            const struct gr_error *error,
            void *context)
{
  struct gr_ownership *own = context;

  if (!is_attempt_current (own))
    return;
  if (error == NULL && result->lease != 0)
    {
      own->lease = result->lease;
      create_owner_key (own);
      return;
    }
  gr_own_record_store_result (own, error);
  if (own->state == GR_OWNERSHIP_RECLAIMING)
    own->retry_timer = g_timeout_add (RETRY_DELAY_MS, grant_again, own);
  else
    gr_own_lose (own, "the store lease could not be granted");
}

void
gr_own_acquire (struct gr_ownership *own)
{
  own->lease_requested_ms = gr_own_now_ms (own);
  own->term_ms = own->config.ttl_s * 1000;
  begin_call (own);
  gr_kv_lease_grant (own->kv, "owner", own->config.ttl_s,
                     own->config.call_timeout_ms, grant_done, own);
}

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

  if (!is_attempt_current (own))
    return;
  if (error != NULL)
    {
      own->retry_timer = g_timeout_add (RETRY_DELAY_MS, read_commit_again, own);
      return;
    }
  entry = gr_own_first_entry (result);
  if (!own->events.commit_unchanged (entry, own->context))
    {
      gr_own_lose (own, "another scheduler has changed the shard");
      return;
    }
  own->commit_revision = entry != NULL ? entry->mod_revision : 0;
  gr_own_acquire (own);
}

static void
read_commit_key (struct gr_ownership *own)
{
  begin_call (own);
  gr_kv_range (own->kv, "owner", own->commit_key, false, 0,
               own->config.call_timeout_ms, commit_key_done, own);
}

/* The lease has expired, so a commit that is conditional on the old owner key
 * cannot succeed any more. If the commit key is also unchanged, no other
 * scheduler has started anything, and the state in memory is still valid. */
void
gr_own_reclaim (struct gr_ownership *own)
{
  if (own->state != GR_OWNERSHIP_OWNER)
    return;
  own->state = GR_OWNERSHIP_RECLAIMING;
  gr_own_stop_timer (&own->renew_timer);
  read_commit_key (own);
}
