#include "instance/expiry.h"

#include "common/log.h"

/* Added to state_kept_s: other instances show a job as final a moment after
 * the owner, and a clock can be 2 % slow. */
#define RETENTION_MARGIN_MS 10000

/* Time between two removals. 10 jobs in 2 s are more than a site of 9 machines
 * accepts, and removing them costs at most one store call in 2 s. */
#define REMOVAL_PERIOD_MS 2000

#define WRITE_TIMEOUT_MS 800

/* A transaction holds the condition on the owner's record and three removals
 * for each job. */
#define MAX_JOBS_IN_TXN ((GR_METASTORE_MAX_TXN_ENTRIES - 1) / 3)

struct gr_expiry
{
  struct gr_owner_deps deps;
  int64_t owner_revision;
  int64_t next_ms;
  struct removal *open; /* removal in flight, or NULL */
};

struct removal
{
  struct gr_expiry *expiry; /* NULL after the expiry was destroyed */
  uint32_t jobs;
};

struct expired_jobs
{
  const struct gr_expiry *expiry;
  GPtrArray *ids;
};

struct gr_expiry *
gr_expiry_create (const struct gr_owner_deps *deps, int64_t revision)
{
  struct gr_expiry *expiry = g_new0 (struct gr_expiry, 1);

  expiry->deps = *deps;
  expiry->owner_revision = revision;
  return expiry;
}

void
gr_expiry_destroy (struct gr_expiry *expiry)
{
  if (expiry == NULL)
    return;
  if (expiry->open != NULL)
    expiry->open->expiry = NULL;
  g_free (expiry);
}

bool
gr_expiry_is_due (const struct gr_mirror_job *job,
                  int64_t retention_ms,
                  int64_t now_ms)
{
  return job->final_since_ms != 0
         && now_ms - job->final_since_ms >= retention_ms + RETENTION_MARGIN_MS;
}

static void
add_if_expired (const char *id, const struct gr_mirror_job *job, void *context)
{
  struct expired_jobs *expired_jobs = context;
  const struct gr_owner_deps *deps = &expired_jobs->expiry->deps;

  if (expired_jobs->ids->len < MAX_JOBS_IN_TXN
      && gr_expiry_is_due (job, (int64_t)deps->settings->state_kept_s * 1000,
                           gr_clock_now_ms (deps->clock)))
    g_ptr_array_add (expired_jobs->ids, g_strdup (id));
}

static void
removal_done (const struct gr_metastore_result *result,
              const struct gr_error *error,
              void *context)
{
  struct removal *removal = context;
  char text[16];

  g_snprintf (text, sizeof text, "%u", removal->jobs);
  if (error != NULL)
    gr_log_event ("records-not-removed", "jobs", text, "reason", error->message,
                  NULL);
  else
    gr_log_event (result->conditions_held ? "records-removed"
                                          : "records-not-removed",
                  "jobs", text, NULL);
  if (removal->expiry != NULL)
    removal->expiry->open = NULL;
  g_free (removal);
}

static void
remove_records (struct gr_expiry *expiry, const GPtrArray *ids)
{
  static const enum gr_record_kind kinds[] = {
    GR_RECORD_JOB,
    GR_RECORD_PROGRESS,
    GR_RECORD_CANCEL,
  };
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  gr_metastore_txn_expect (txn, GR_RECORD_OWNER, expiry->owner_revision);
  for (guint i = 0; i < ids->len; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (kinds); k++)
      {
        g_autofree char *key = gr_record_key (kinds[k], ids->pdata[i]);

        gr_metastore_txn_remove (txn, key);
      }
  expiry->open = g_new0 (struct removal, 1);
  expiry->open->expiry = expiry;
  expiry->open->jobs = ids->len;
  gr_metastore_commit (
      expiry->deps.store, txn, WRITE_TIMEOUT_MS,
      (struct gr_metastore_reply){ removal_done, expiry->open });
}

void
gr_expiry_run (struct gr_expiry *expiry)
{
  int64_t now_ms = gr_clock_now_ms (expiry->deps.clock);
  struct expired_jobs expired_jobs = { .expiry = expiry };

  if (expiry->open != NULL || now_ms < expiry->next_ms)
    return;
  expiry->next_ms = now_ms + REMOVAL_PERIOD_MS;
  expired_jobs.ids = g_ptr_array_new_with_free_func (g_free);
  gr_mirror_each (expiry->deps.mirror, add_if_expired, &expired_jobs);
  if (expired_jobs.ids->len > 0)
    remove_records (expiry, expired_jobs.ids);
  g_ptr_array_unref (expired_jobs.ids);
}
