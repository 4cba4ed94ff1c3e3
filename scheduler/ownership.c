#include "scheduler/ownership-private.h"

#include "rpc/pack.h"

#include <string.h>

static void renew (struct gr_ownership *own);

char *
gr_shard_key (const char *shard, const char *name)
{
  return g_strconcat (GR_SHARDS_PREFIX, shard, "/", name, NULL);
}

int64_t
gr_own_now_ms (const struct gr_ownership *own)
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

bool
gr_own_call_ended (struct gr_ownership *own)
{
  own->calls_in_flight--;
  if (!own->destroyed)
    return true;
  if (own->calls_in_flight == 0)
    ownership_free (own);
  return false;
}

void
gr_own_stop_timer (guint *timer)
{
  if (*timer != 0)
    g_source_remove (*timer);
  *timer = 0;
}

/* A single lost response does not mean that the store is down; a call that
 * could not be sent does. */
void
gr_own_record_store_result (struct gr_ownership *own,
                            const struct gr_error *error)
{
  if (error == NULL)
    own->consecutive_failures = 0;
  else
    own->consecutive_failures +=
        error->kind == GR_ERROR_STORE_UNAVAILABLE ? 2 : 1;
  if (error == NULL || !gr_ownership_store_is_up (own))
    own->events.store (error == NULL, own->context);
}

const struct gr_kv_entry *
gr_own_first_entry (const struct gr_kv_result *result)
{
  return result->n_entries > 0 ? &result->entries[0] : NULL;
}

/* Comparing the writer id is not enough: an earlier ownership of this process
 * used the same id, but another store lease. */
bool
gr_own_wrote_entry (const struct gr_ownership *own,
                    const struct gr_kv_entry *entry)
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
enter_waiting (struct gr_ownership *own)
{
  own->state = GR_OWNERSHIP_WAITING;
  own->epoch = 0;
  own->lease = 0;
  own->owner_absent_since_ms = -1;
  gr_own_stop_timer (&own->renew_timer);
  gr_own_stop_timer (&own->retry_timer);
}

static void
ignore_result (const struct gr_kv_result *result,
               const struct gr_error *error,
               void *context)
{
  (void)result;
  (void)error;
  gr_own_call_ended (context);
}

/* The result is ignored: if the call fails, the unused lease expires by
 * itself. */
static void
revoke_lease (struct gr_ownership *own)
{
  if (own->lease == 0)
    return;
  own->calls_in_flight++;
  gr_kv_lease_revoke (own->kv, "owner", own->lease, own->config.call_timeout_ms,
                      ignore_result, own);
  own->lease = 0;
}

void
gr_own_lose (struct gr_ownership *own, const char *reason)
{
  bool was_owner = own->epoch != 0;

  revoke_lease (own);
  enter_waiting (own);
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

void
gr_own_schedule_renewal (struct gr_ownership *own, int64_t delay_ms)
{
  gr_own_stop_timer (&own->renew_timer);
  own->renew_timer = g_timeout_add ((guint)MAX (delay_ms, 0), renew_due, own);
}

int64_t
gr_own_renew_interval_ms (const struct gr_ownership *own)
{
  return own->term_ms / 3;
}

/* --- Waiting ------------------------------------------------------------ */

static void
owner_absent (struct gr_ownership *own)
{
  int64_t now = gr_own_now_ms (own);
  int64_t yield_ms =
      own->events.preferred (own->context) ? 0 : GR_OWNERSHIP_YIELD_MS;

  if (own->owner_absent_since_ms < 0)
    own->owner_absent_since_ms = now;
  if (now - own->owner_absent_since_ms < yield_ms || now < own->not_before_ms
      || own->attempt_in_flight || !own->events.eligible (own->context))
    return;
  own->state = GR_OWNERSHIP_ACQUIRING;
  own->commit_revision = -1;
  gr_own_acquire (own);
}

static void
poll_done (const struct gr_kv_result *result,
           const struct gr_error *error,
           void *context)
{
  struct gr_ownership *own = context;

  if (!gr_own_call_ended (own))
    return;
  own->polling = false;
  if (own->state != GR_OWNERSHIP_WAITING)
    return;
  gr_own_record_store_result (own, error);
  if (error != NULL)
    return;
  if (result->n_entries == 0)
    owner_absent (own);
  else
    own->owner_absent_since_ms = -1;
}

static gboolean
poll_owner (gpointer data)
{
  struct gr_ownership *own = data;

  if (own->state != GR_OWNERSHIP_WAITING || own->polling
      || !own->events.eligible (own->context))
    return G_SOURCE_CONTINUE;
  own->polling = true;
  own->calls_in_flight++;
  gr_kv_range (own->kv, "owner", own->owner_key, false, 0,
               own->config.call_timeout_ms, poll_done, own);
  return G_SOURCE_CONTINUE;
}

void
gr_ownership_handle_conflict (struct gr_ownership *own,
                              const struct gr_kv_entry *owner)
{
  if (own->state != GR_OWNERSHIP_OWNER)
    return;
  if (owner == NULL)
    gr_own_reclaim (own);
  else if (!gr_own_wrote_entry (own, owner))
    gr_own_lose (own, "another scheduler owns the shard");
}

/* --- Renewal ------------------------------------------------------------ */

static void
renew_done (const struct gr_kv_result *result,
            const struct gr_error *error,
            void *context)
{
  struct gr_ownership *own = context;
  bool lease_expired;

  if (!gr_own_call_ended (own) || own->state != GR_OWNERSHIP_OWNER
      || own->renewed_lease != own->lease)
    return;
  lease_expired =
      error != NULL ? error->kind == GR_ERROR_NOT_FOUND : result->ttl_s <= 0;
  gr_own_record_store_result (own, lease_expired ? NULL : error);
  own->last_renewal_ms = own->lease_requested_ms;
  if (lease_expired)
    gr_own_reclaim (own);
  else if (error != NULL)
    gr_own_schedule_renewal (own, gr_own_renew_interval_ms (own) / 3);
  else
    gr_own_schedule_renewal (own, own->lease_requested_ms
                                      + gr_own_renew_interval_ms (own)
                                      - gr_own_now_ms (own));
}

static void
renew (struct gr_ownership *own)
{
  int64_t limit_ms = gr_own_renew_interval_ms (own);

  own->lease_requested_ms = gr_own_now_ms (own);
  own->renewed_lease = own->lease;
  own->calls_in_flight++;
  gr_kv_lease_keepalive (own->kv, "owner", own->lease,
                         MIN (own->config.call_timeout_ms, (uint32_t)limit_ms),
                         renew_done, own);
}

/* --- Release ------------------------------------------------------------ */

static void
end_release (struct gr_ownership *own)
{
  enter_waiting (own);
  own->not_before_ms = gr_own_now_ms (own) + GR_OWNERSHIP_RELEASE_BACKOFF_MS;
  own->events.released (own->context);
}

static void
release_done (const struct gr_kv_result *result,
              const struct gr_error *error,
              void *context)
{
  struct gr_ownership *own = context;

  (void)result;
  (void)error;
  if (!gr_own_call_ended (own) || own->state != GR_OWNERSHIP_RELEASING)
    return;
  end_release (own);
}

void
gr_ownership_release (struct gr_ownership *own)
{
  if (own->state == GR_OWNERSHIP_RECLAIMING)
    {
      revoke_lease (own);
      end_release (own);
      return;
    }
  if (own->state != GR_OWNERSHIP_OWNER)
    return;
  own->state = GR_OWNERSHIP_RELEASING;
  gr_own_stop_timer (&own->renew_timer);
  own->calls_in_flight++;
  gr_kv_lease_revoke (own->kv, "owner", own->lease, own->config.call_timeout_ms,
                      release_done, own);
}

void
gr_ownership_abandon (struct gr_ownership *own, uint32_t retry_ms)
{
  own->not_before_ms = gr_own_now_ms (own) + retry_ms;
  gr_own_lose (own, "the shard could not be recovered");
}

/* --- Creation and destruction ------------------------------------------- */

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
  own->owner_absent_since_ms = -1;
  own->not_before_ms = INT64_MIN;
  own->commit_revision = -1;
  own->poll_timer = g_timeout_add (config->poll_ms, poll_owner, own);
  poll_owner (own);
  return own;
}

void
gr_ownership_destroy (struct gr_ownership *own)
{
  if (own == NULL)
    return;
  gr_own_stop_timer (&own->poll_timer);
  gr_own_stop_timer (&own->renew_timer);
  gr_own_stop_timer (&own->retry_timer);
  own->destroyed = true;
  if (own->calls_in_flight == 0)
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
         && gr_own_now_ms (own) - own->last_renewal_ms < own->term_ms;
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
  return own->consecutive_failures < 2;
}

void
gr_ownership_set_ttl (struct gr_ownership *own, int64_t ttl_s)
{
  own->config.ttl_s = ttl_s;
}
