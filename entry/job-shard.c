#include "entry/job-shard.h"

#include "sched/job.h"

#include <string.h>

/* Longest run time of a job, plus one day in which its submission may be
 * repeated. */
#define LEASE_TTL_S (GR_JOB_MAX_RUN_MS / 1000 + 24LL * 3600)

/* The keys written within this time share one store lease. */
#define LEASE_REUSE_MS (3600LL * 1000)

#define RETRY_MS 1000

struct gr_job_shards
{
  struct gr_kv *kv;
  const struct gr_clock *clock;
  uint32_t timeout_ms;
  int64_t lease; /* 0: no lease */
  int64_t lease_until_ms;
  bool granting;
  GQueue waiting; /* struct lookup, waiting for the lease */
};

struct lookup
{
  struct gr_job_shards *shards;
  char *path;
  char wanted[GR_NAME_MAX];
  void (*done) (const char *shard, const struct gr_error *error, void *context);
  void *context;
};

struct gr_job_shards *
gr_job_shards_create (struct gr_kv *kv,
                      const struct gr_clock *clock,
                      uint32_t timeout_ms)
{
  struct gr_job_shards *shards = g_new0 (struct gr_job_shards, 1);

  shards->kv = kv;
  shards->clock = clock;
  shards->timeout_ms = timeout_ms;
  return shards;
}

void
gr_job_shards_destroy (struct gr_job_shards *shards)
{
  g_free (shards);
}

static void
finish (struct lookup *lookup, const char *shard, const struct gr_error *error)
{
  struct gr_error unresolved = GR_ERROR_INIT;

  if (error != NULL)
    gr_error_set_retry (&unresolved, GR_ERROR_STORE_UNAVAILABLE, RETRY_MS,
                        "the shard of the job cannot be determined: %s",
                        error->message);
  lookup->done (shard, error != NULL ? &unresolved : NULL, lookup->context);
  g_free (lookup->path);
  g_free (lookup);
}

/* If the store's response was lost, the key may have been written; a repeated
 * submission then finds it. */
static void
lookup_done (const struct gr_kv_result *result,
             const struct gr_error *error,
             void *context)
{
  struct lookup *lookup = context;
  struct gr_error invalid = GR_ERROR_INIT;

  if (error != NULL)
    {
      lookup->shards->lease = 0; /* the store may have dropped the lease */
      finish (lookup, NULL, error);
    }
  else if (result->succeeded)
    finish (lookup, lookup->wanted, NULL);
  else if (result->n_entries == 1 && result->entries[0].size < GR_NAME_MAX)
    finish (lookup, result->entries[0].value, NULL);
  else
    {
      gr_error_set (&invalid, GR_ERROR_PROTOCOL, "no valid shard name at %s",
                    lookup->path);
      finish (lookup, NULL, &invalid);
    }
}

static void
send_lookup (struct lookup *lookup)
{
  struct gr_kv_txn *txn = gr_kv_txn_create ();

  gr_kv_txn_if_created_at (txn, lookup->path, 0);
  gr_kv_txn_put (txn, lookup->path, lookup->wanted, strlen (lookup->wanted),
                 lookup->shards->lease);
  gr_kv_txn_else_get (txn, lookup->path);
  gr_kv_commit (lookup->shards->kv, "jobs", txn, lookup->shards->timeout_ms,
                lookup_done, lookup);
}

static void
lease_granted (const struct gr_kv_result *result,
               const struct gr_error *error,
               void *context)
{
  struct gr_job_shards *shards = context;
  struct lookup *lookup;

  shards->granting = false;
  if (error == NULL)
    {
      shards->lease = result->lease;
      shards->lease_until_ms = gr_clock_now_ms (shards->clock) + LEASE_REUSE_MS;
    }
  while ((lookup = g_queue_pop_head (&shards->waiting)) != NULL)
    {
      if (error == NULL)
        send_lookup (lookup);
      else
        finish (lookup, NULL, error);
    }
}

void
gr_job_shards_resolve (struct gr_job_shards *shards,
                       const char *account,
                       const char *key,
                       const char *wanted,
                       void (*done) (const char *shard,
                                     const struct gr_error *error,
                                     void *context),
                       void *context)
{
  struct lookup *lookup = g_new0 (struct lookup, 1);

  lookup->shards = shards;
  lookup->path = g_strdup_printf ("/geraniumrack/jobs/%s/%s", account, key);
  g_strlcpy (lookup->wanted, wanted, sizeof lookup->wanted);
  lookup->done = done;
  lookup->context = context;
  if (shards->lease != 0
      && gr_clock_now_ms (shards->clock) < shards->lease_until_ms)
    {
      send_lookup (lookup);
      return;
    }
  g_queue_push_tail (&shards->waiting, lookup);
  if (shards->granting)
    return;
  shards->granting = true;
  gr_kv_lease_grant (shards->kv, "jobs", LEASE_TTL_S, shards->timeout_ms,
                     lease_granted, shards);
}
