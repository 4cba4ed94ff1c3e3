#include "entry/job-shard.h"

#include "sched/job.h"

#include <string.h>

/* The longest job and a day in which its submission may be repeated. */
#define LEASE_TTL_S (GR_JOB_MAX_RUN_MS / 1000 + 24LL * 3600)

/* One store lease is used for the keys of this time. */
#define LEASE_USE_MS (3600LL * 1000)

#define RETRY_MS 1000

struct gr_job_shards
{
  struct gr_kv *kv;
  const struct gr_clock *clock;
  uint32_t timeout_ms;
  int64_t lease; /* 0: none */
  int64_t lease_until_ms;
  bool granting;
  GQueue waiting; /* struct keep, for the lease */
};

struct keep
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
finish (struct keep *keep, const char *shard, const struct gr_error *error)
{
  struct gr_error problem = GR_ERROR_INIT;

  if (error != NULL)
    gr_error_set_retry (&problem, GR_ERROR_STORE_UNAVAILABLE, RETRY_MS,
                        "the shard of the job is not known: %s",
                        error->message);
  keep->done (shard, error != NULL ? &problem : NULL, keep->context);
  g_free (keep->path);
  g_free (keep);
}

/* If the answer was lost the key may be kept; the caller's repeat finds it. */
static void
kept (const struct gr_kv_result *result,
      const struct gr_error *error,
      void *context)
{
  struct keep *keep = context;
  struct gr_error missing = GR_ERROR_INIT;

  if (error != NULL)
    {
      keep->shards->lease = 0; /* the store may have lost it */
      finish (keep, NULL, error);
    }
  else if (result->succeeded)
    finish (keep, keep->wanted, NULL);
  else if (result->n_entries == 1 && result->entries[0].size < GR_NAME_MAX)
    finish (keep, result->entries[0].value, NULL);
  else
    {
      gr_error_set (&missing, GR_ERROR_PROTOCOL, "no value at %s", keep->path);
      finish (keep, NULL, &missing);
    }
}

static void
write_key (struct keep *keep)
{
  struct gr_kv_txn *txn = gr_kv_txn_create ();

  gr_kv_txn_if_created_at (txn, keep->path, 0);
  gr_kv_txn_put (txn, keep->path, keep->wanted, strlen (keep->wanted),
                 keep->shards->lease);
  gr_kv_txn_else_get (txn, keep->path);
  gr_kv_commit (keep->shards->kv, "jobs", txn, keep->shards->timeout_ms, kept,
                keep);
}

static void
lease_granted (const struct gr_kv_result *result,
               const struct gr_error *error,
               void *context)
{
  struct gr_job_shards *shards = context;
  struct keep *keep;

  shards->granting = false;
  if (error == NULL)
    {
      shards->lease = result->lease;
      shards->lease_until_ms = gr_clock_now_ms (shards->clock) + LEASE_USE_MS;
    }
  while ((keep = g_queue_pop_head (&shards->waiting)) != NULL)
    {
      if (error == NULL)
        write_key (keep);
      else
        finish (keep, NULL, error);
    }
}

void
gr_job_shards_keep (struct gr_job_shards *shards,
                    const char *account,
                    const char *key,
                    const char *wanted,
                    void (*done) (const char *shard,
                                  const struct gr_error *error,
                                  void *context),
                    void *context)
{
  struct keep *keep = g_new0 (struct keep, 1);

  keep->shards = shards;
  keep->path = g_strdup_printf ("/geraniumrack/jobs/%s/%s", account, key);
  g_strlcpy (keep->wanted, wanted, sizeof keep->wanted);
  keep->done = done;
  keep->context = context;
  if (shards->lease != 0
      && gr_clock_now_ms (shards->clock) < shards->lease_until_ms)
    {
      write_key (keep);
      return;
    }
  g_queue_push_tail (&shards->waiting, keep);
  if (shards->granting)
    return;
  shards->granting = true;
  gr_kv_lease_grant (shards->kv, "jobs", LEASE_TTL_S, shards->timeout_ms,
                     lease_granted, shards);
}
