#include "instance/expiry.h"

#include "common/log.h"

/* Added to state_kept_s: other instances show a job as final some moments after
 * the owner, and a clock can be 2 % slow. */
#define KEPT_SLACK_MS 10000

/* Between two removals. 10 jobs in 2 s are more than a site of 9 machines
 * accepts, and cost one call in 2 s at most. */
#define PAUSE_MS 2000

#define WRITE_TIMEOUT_MS 800

/* The owner's condition, and three records of each job. */
#define JOBS_IN_TXN ((GR_METASTORE_MAX_TXN_ENTRIES - 1) / 3)

struct gr_expiry
{
  struct gr_owner_parts parts;
  int64_t owner_revision;
  int64_t next_ms;
  struct removal *open; /* NULL if none */
};

struct removal
{
  struct gr_expiry *expiry; /* NULL when it was destroyed */
  uint32_t jobs;
};

struct due
{
  const struct gr_expiry *expiry;
  GPtrArray *ids;
};

struct gr_expiry *
gr_expiry_create (const struct gr_owner_parts *parts, int64_t revision)
{
  struct gr_expiry *expiry = g_new0 (struct gr_expiry, 1);

  expiry->parts = *parts;
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
                  int64_t kept_ms,
                  int64_t now_ms)
{
  return job->final_since_ms != 0
         && now_ms - job->final_since_ms >= kept_ms + KEPT_SLACK_MS;
}

static void
add_due (const char *id, const struct gr_mirror_job *job, void *context)
{
  struct due *due = context;
  const struct gr_owner_parts *parts = &due->expiry->parts;

  if (due->ids->len < JOBS_IN_TXN
      && gr_expiry_is_due (job, (int64_t)parts->settings->state_kept_s * 1000,
                           gr_clock_now_ms (parts->clock)))
    g_ptr_array_add (due->ids, g_strdup (id));
}

static void
removed (const struct gr_metastore_result *result,
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
  gr_metastore_commit (expiry->parts.store, txn, WRITE_TIMEOUT_MS,
                       (struct gr_metastore_reply){ removed, expiry->open });
}

void
gr_expiry_run (struct gr_expiry *expiry)
{
  int64_t now_ms = gr_clock_now_ms (expiry->parts.clock);
  struct due due = { .expiry = expiry };

  if (expiry->open != NULL || now_ms < expiry->next_ms)
    return;
  expiry->next_ms = now_ms + PAUSE_MS;
  due.ids = g_ptr_array_new_with_free_func (g_free);
  gr_mirror_each (expiry->parts.mirror, add_due, &due);
  if (due.ids->len > 0)
    remove_records (expiry, due.ids);
  g_ptr_array_unref (due.ids);
}
