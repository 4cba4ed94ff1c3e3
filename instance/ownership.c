#include "instance/ownership.h"

#include "common/log.h"
#include "instance/former-process.h"
#include "steps/tenure.h"

#include <string.h>

/* TTL of the owner's lease, and time between its renewals. A TTL of 2 s
 * tolerates slow answers of the store (up to 400 ms) and several lost renewals.
 * After an owner has crashed, this is the longest time until a successor can be
 * elected. */
#define LEASE_TTL_MS 2000
#define RENEW_MS 500
#define CALL_TIMEOUT_MS 700

/* Instances contend after different delays, so that few transactions conflict.
 * Those with NO_DELAY_CORES or more contend without this delay, smaller ones
 * later: it grows with the fourth power of the missing share of cores, to
 * 0.1 s for 0.25 cores and 0.5 s for 0.12 cores. An owner of 350 workers needs
 * more processor time than the smallest instances have. */
#define MAX_CONTEND_DELAY_MS 1600
#define NO_DELAY_CORES 0.5

/* Each instance adds a random delay below its jitter. The others detect the
 * winner within about 20 ms, so about one in fifteen of them tries as well; the
 * first of 9 instances tries after 30 ms. An attempt takes up to three writes,
 * and the store accepts 400 writes per second. An instance doubles its jitter
 * with each refused attempt, up to what 1,000 instances need. */
#define INITIAL_JITTER_MS 300
#define MAX_JITTER_MS 4800
#define RETRY_MS 300

enum state
{
  STATE_IDLE,
  STATE_WAITING,  /* until its contention delay has passed */
  STATE_GRANTING, /* the lease was requested */
  STATE_WRITING,  /* the owner's record is being written */
  STATE_OWNER,
  STATE_STOPPED,
};

struct gr_ownership
{
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  const struct gr_clock *clock;
  char *instance;
  char *process; /* NULL: not named in the record of the epoch */
  struct gr_ownership_events events;
  enum state state;
  int64_t lease;
  int64_t epoch;
  int64_t revision;
  int64_t renewed_ms; /* when the last successful renewal was sent */
  int64_t sent_ms;
  char *value; /* of the owner's record, unique to this attempt */
  double cores;
  uint32_t jitter_ms;
  bool stopping;
  bool former_released;
  int64_t renewing; /* the lease whose renewal is unanswered; 0: none */
  guint timer;
};

static void try_acquire (struct gr_ownership *ownership);

static void
lease_end_done (const struct gr_metastore_result *result,
                const struct gr_error *error,
                void *context)
{
  (void)result;
  (void)context;
  if (error != NULL && error->kind != GR_ERROR_CANCELLED)
    gr_log_event ("owner-lease-end-failed", "reason", error->message, NULL);
}

static void
set_timer (struct gr_ownership *ownership,
           uint32_t delay_ms,
           GSourceFunc callback)
{
  if (ownership->timer != 0)
    g_source_remove (ownership->timer);
  ownership->timer = g_timeout_add (delay_ms, callback, ownership);
}

static void
clear_timer (struct gr_ownership *ownership)
{
  if (ownership->timer != 0)
    g_source_remove (ownership->timer);
  ownership->timer = 0;
}

static void
reset_to_idle (struct gr_ownership *ownership)
{
  ownership->state = ownership->stopping ? STATE_STOPPED : STATE_IDLE;
  ownership->lease = 0;
}

static gboolean
on_check_timer (gpointer data)
{
  struct gr_ownership *ownership = data;

  ownership->timer = 0;
  gr_ownership_check (ownership);
  return G_SOURCE_REMOVE;
}

static void
lose_ownership (struct gr_ownership *ownership, const char *reason)
{
  clear_timer (ownership);
  reset_to_idle (ownership);
  gr_log_event ("owner-lost", "reason", reason, NULL);
  ownership->events.lost (reason, ownership->events.context);
  if (!ownership->stopping)
    set_timer (ownership, RETRY_MS, on_check_timer);
}

static void
end_lease (struct gr_ownership *ownership)
{
  if (ownership->lease != 0)
    gr_metastore_lease_revoke (
        ownership->store, ownership->lease, CALL_TIMEOUT_MS,
        (struct gr_metastore_reply){ lease_end_done, NULL });
  ownership->lease = 0;
}

int64_t
gr_ownership_lease_until_ms (const struct gr_ownership *ownership)
{
  return ownership->renewed_ms
         + (int64_t)(LEASE_TTL_MS / GR_CLOCK_DRIFT_FACTOR);
}

struct renewal
{
  struct gr_ownership *ownership;
  int64_t lease;
  int64_t sent_ms;
};

static void
renew_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  g_autofree struct renewal *renewal = context;
  struct gr_ownership *ownership = renewal->ownership;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  if (ownership->renewing == renewal->lease)
    ownership->renewing = 0;
  /* The answer may be late, and be for the lease of a former ownership. */
  if (ownership->state != STATE_OWNER || ownership->lease != renewal->lease)
    return;
  if (error == NULL && result->ttl_ms > 0)
    {
      ownership->renewed_ms = MAX (ownership->renewed_ms, renewal->sent_ms);
      return;
    }
  if (error != NULL && error->kind == GR_ERROR_NOT_FOUND)
    {
      lose_ownership (ownership, "the lease has expired");
      return;
    }
  if (gr_clock_now_ms (ownership->clock)
      >= gr_ownership_lease_until_ms (ownership) + GR_OWNER_ISOLATION_MS)
    lose_ownership (ownership, "the store was unreachable for too long");
}

static gboolean
on_renew_timer (gpointer data)
{
  struct gr_ownership *ownership = data;
  struct renewal *renewal;

  if (ownership->renewing == ownership->lease)
    return G_SOURCE_CONTINUE;
  ownership->renewing = ownership->lease;
  renewal = g_new (struct renewal, 1);
  renewal->ownership = ownership;
  renewal->lease = ownership->lease;
  renewal->sent_ms = gr_clock_now_ms (ownership->clock);
  gr_metastore_lease_renew (ownership->store, ownership->lease, CALL_TIMEOUT_MS,
                            (struct gr_metastore_reply){ renew_done, renewal });
  return G_SOURCE_CONTINUE;
}

static void
become_owner (struct gr_ownership *ownership, int64_t revision)
{
  char epoch[24];

  /* A process that stops gives up its address while it may still run, so the
   * one started in its place must not find it as the owner. */
  if (ownership->stopping)
    {
      end_lease (ownership);
      reset_to_idle (ownership);
      return;
    }
  ownership->state = STATE_OWNER;
  ownership->revision = revision;
  ownership->renewed_ms = ownership->sent_ms;
  g_snprintf (epoch, sizeof epoch, "%" G_GINT64_FORMAT, ownership->epoch);
  gr_log_event ("owner-acquired", "epoch", epoch, NULL);
  set_timer (ownership, RENEW_MS, on_renew_timer);
  ownership->events.acquired (ownership->epoch, revision,
                              ownership->events.context);
}

static void
retry_later (struct gr_ownership *ownership, const char *reason)
{
  gr_log_event ("owner-not-acquired", "reason", reason, NULL);
  ownership->jitter_ms = MIN (ownership->jitter_ms * 2, MAX_JITTER_MS);
  end_lease (ownership);
  reset_to_idle (ownership);
  if (!ownership->stopping)
    set_timer (ownership, RETRY_MS, on_check_timer);
}

/* After a lost answer the record shows whether the write took effect. */
static void
owner_read_done (const struct gr_metastore_result *result,
                 const struct gr_error *error,
                 void *context)
{
  struct gr_ownership *ownership = context;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  if (error == NULL && result->n_items == 1 && result->items[0].value != NULL)
    {
      gsize size = 0;
      const char *text = g_bytes_get_data (result->items[0].value, &size);

      if (size == strlen (ownership->value)
          && memcmp (text, ownership->value, size) == 0)
        {
          become_owner (ownership, result->items[0].revision);
          return;
        }
    }
  retry_later (ownership, "the write of the owner's record was not confirmed");
}

static void
write_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  struct gr_ownership *ownership = context;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  if (error != NULL && error->kind != GR_ERROR_STORE_UNAVAILABLE
      && error->kind != GR_ERROR_NOT_FOUND)
    {
      gr_metastore_get (
          ownership->store, GR_RECORD_OWNER, CALL_TIMEOUT_MS,
          (struct gr_metastore_reply){ owner_read_done, ownership });
      return;
    }
  if (error != NULL)
    {
      retry_later (ownership, error->message);
      return;
    }
  if (!result->conditions_held)
    {
      for (size_t i = 0; i < result->n_items; i++)
        gr_mirror_apply (ownership->mirror, &result->items[i]);
      retry_later (ownership, "another instance became the owner first");
      return;
    }
  become_owner (ownership, result->revision);
}

static void
grant_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  struct gr_ownership *ownership = context;
  struct gr_metastore_txn *txn;
  int64_t last_epoch_revision;
  g_autofree char *epoch_record = NULL;

  if (error != NULL && error->kind == GR_ERROR_CANCELLED)
    return;
  if (error != NULL)
    {
      retry_later (ownership, error->message);
      return;
    }
  ownership->lease = result->lease;
  ownership->epoch =
      gr_mirror_last_epoch (ownership->mirror, &last_epoch_revision) + 1;
  ownership->state = STATE_WRITING;
  g_free (ownership->value);
  ownership->value =
      g_strdup_printf ("%s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                       ownership->instance, ownership->epoch, ownership->lease);
  epoch_record = gr_epoch_record_next (
      gr_mirror_epoch_record (ownership->mirror), ownership->process);
  txn = gr_metastore_txn_create ();
  gr_metastore_txn_expect (txn, GR_RECORD_OWNER, 0);
  gr_metastore_txn_expect (txn, GR_RECORD_EPOCH, last_epoch_revision);
  gr_metastore_txn_put (txn, GR_RECORD_OWNER, ownership->value,
                        strlen (ownership->value), ownership->lease);
  gr_metastore_txn_put (txn, GR_RECORD_EPOCH, epoch_record,
                        strlen (epoch_record), 0);
  gr_metastore_commit (ownership->store, txn, CALL_TIMEOUT_MS,
                       (struct gr_metastore_reply){ write_done, ownership });
}

static void
try_acquire (struct gr_ownership *ownership)
{
  ownership->state = STATE_GRANTING;
  ownership->sent_ms = gr_clock_now_ms (ownership->clock);
  gr_metastore_lease_grant (
      ownership->store, LEASE_TTL_MS, CALL_TIMEOUT_MS,
      (struct gr_metastore_reply){ grant_done, ownership });
}

static gboolean
on_contend_timer (gpointer data)
{
  struct gr_ownership *ownership = data;
  const char *owner;

  ownership->timer = 0;
  ownership->state = STATE_IDLE;
  if (!ownership->stopping && gr_mirror_owner (ownership->mirror, &owner) == 0)
    try_acquire (ownership);
  return G_SOURCE_REMOVE;
}

static uint32_t
contend_delay_ms (const struct gr_ownership *ownership)
{
  double shortfall = 1 - MIN (ownership->cores / NO_DELAY_CORES, 1);

  return (uint32_t)(shortfall * shortfall * shortfall * shortfall
                    * MAX_CONTEND_DELAY_MS)
         + (uint32_t)g_random_int_range (0, (gint32)ownership->jitter_ms);
}

static void
follow_owner (struct gr_ownership *ownership)
{
  ownership->jitter_ms = INITIAL_JITTER_MS;
  gr_mirror_set_low_latency (ownership->mirror, false);
  if (ownership->state != STATE_WAITING)
    return;
  clear_timer (ownership);
  reset_to_idle (ownership);
}

void
gr_ownership_check (struct gr_ownership *ownership)
{
  const char *owner;
  int64_t revision = gr_mirror_owner (ownership->mirror, &owner);

  if (!gr_mirror_is_loaded (ownership->mirror))
    return;
  if (!ownership->former_released)
    {
      ownership->former_released = true;
      gr_former_process_release (ownership->store, ownership->mirror,
                                 ownership->instance, ownership->process);
    }
  if (ownership->state == STATE_OWNER)
    {
      if (revision != ownership->revision && revision != 0
          && revision > ownership->revision)
        lose_ownership (ownership, "another instance is the owner");
      return;
    }
  if (revision != 0)
    {
      follow_owner (ownership);
      return;
    }
  if (ownership->state != STATE_IDLE || ownership->stopping)
    return;
  ownership->state = STATE_WAITING;
  /* So that a faster instance is noticed at once. */
  gr_mirror_set_low_latency (ownership->mirror, true);
  set_timer (ownership, contend_delay_ms (ownership), on_contend_timer);
}

struct gr_ownership *
gr_ownership_create (struct gr_metastore *store,
                     struct gr_mirror *mirror,
                     const struct gr_clock *clock,
                     const char *instance,
                     const char *process,
                     double cores,
                     const struct gr_ownership_events *events)
{
  struct gr_ownership *ownership = g_new0 (struct gr_ownership, 1);

  ownership->store = store;
  ownership->mirror = mirror;
  ownership->clock = clock;
  ownership->instance = g_strdup (instance);
  ownership->process = g_strdup (process);
  ownership->cores = cores;
  ownership->jitter_ms = INITIAL_JITTER_MS;
  ownership->events = *events;
  return ownership;
}

void
gr_ownership_destroy (struct gr_ownership *ownership)
{
  if (ownership == NULL)
    return;
  clear_timer (ownership);
  g_free (ownership->instance);
  g_free (ownership->process);
  g_free (ownership->value);
  g_free (ownership);
}

bool
gr_ownership_is_owner (const struct gr_ownership *ownership)
{
  return ownership->state == STATE_OWNER;
}

void
gr_ownership_resign (struct gr_ownership *ownership, const char *reason)
{
  if (ownership->state != STATE_OWNER)
    return;
  end_lease (ownership);
  lose_ownership (ownership, reason);
}

void
gr_ownership_stop (struct gr_ownership *ownership)
{
  ownership->stopping = true;
  if (ownership->state == STATE_OWNER)
    gr_ownership_resign (ownership, "graceful shutdown");
  else if (ownership->state == STATE_WAITING)
    {
      clear_timer (ownership);
      reset_to_idle (ownership);
    }
}
