/* RPC calls about jobs. Submissions and cancellations are answered once their
 * record is durable. */
#include "scheduler/shard-private.h"

#include "rpc/job-codec.h"

#include <string.h>

/* Wait in ms for a call that sets no timeout_ms. */
#define DEFAULT_WAIT_MS 4000
#define MAX_WAIT_MS 60000

#define RETRY_AFTER_MS 1000

#define DEFAULT_LIMIT 100
#define MAX_LIMIT 1000

/* Below GR_FRAME_MAX_BYTES, with space left for the rest of the frame. */
#define MAX_LIST_BYTES 700000

/* A call that waits until a record is durable. */
struct waiter
{
  struct gr_shard *shard;
  struct gr_rpc_call *call;
  char job[GR_ID_MAX];
  bool for_cancellation; /* wait for the cancellation or end of the job;
                            otherwise for any record of it */
  guint timer;
};

static void
waiter_free (struct waiter *waiter)
{
  if (waiter->timer != 0)
    g_source_remove (waiter->timer);
  g_free (waiter);
}

void
gr_shard_init_waiters (struct gr_shard *shard)
{
  shard->waiters =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
answer_record (struct gr_shard *shard,
               struct gr_rpc_call *call,
               const char *job)
{
  const struct gr_job_record *record = gr_core_find (shard->core, job);
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *body;

  if (record == NULL)
    {
      gr_error_set (&error, GR_ERROR_NOT_FOUND, "job \"%s\" does not exist",
                    job);
      gr_rpc_fail (call, &error);
      return;
    }
  body = gr_pack_job_record (record);
  gr_rpc_reply (call, body);
  gr_packer_destroy (body);
}

static bool
is_satisfied (const struct waiter *waiter)
{
  const struct gr_journal *journal = waiter->shard->journal;

  if (waiter->for_cancellation)
    return gr_journal_cancel_or_end_is_durable (journal, waiter->job);
  return gr_journal_durable_version (journal, waiter->job) > 0;
}

/* Removes the waiters of a job from the table and returns them as a list. */
static GSList *
steal_waiters (struct gr_shard *shard, const char *job)
{
  void *key = NULL;
  void *list = NULL;

  if (!g_hash_table_steal_extended (shard->waiters, job, &key, &list))
    return NULL;
  g_free (key);
  return list;
}

static void
add_waiter (struct waiter *waiter)
{
  GSList *list = steal_waiters (waiter->shard, waiter->job);

  list = g_slist_prepend (list, waiter);
  g_hash_table_insert (waiter->shard->waiters, g_strdup (waiter->job), list);
}

void
gr_shard_job_durable (struct gr_shard *shard, const char *job)
{
  GSList *list = steal_waiters (shard, job);

  for (GSList *link = list; link != NULL; link = link->next)
    {
      struct waiter *waiter = link->data;

      if (!is_satisfied (waiter))
        {
          add_waiter (waiter);
          continue;
        }
      answer_record (shard, waiter->call, job);
      waiter_free (waiter);
    }
  g_slist_free (list);
}

/* Answers with kind unconfirmed. The client must not conclude that the call
 * had no effect: the store may hold the record, or the job is still in memory
 * and will be written. */
static void
fail_unconfirmed (struct gr_rpc_call *call, const char *job)
{
  struct gr_error error = GR_ERROR_INIT;

  gr_error_set_retry (&error, GR_ERROR_UNCONFIRMED, RETRY_AFTER_MS,
                      "cannot confirm that the record of job %s is durable",
                      job);
  gr_rpc_fail (call, &error);
}

static gboolean
wait_timed_out (gpointer data)
{
  struct waiter *waiter = data;
  GSList *list = steal_waiters (waiter->shard, waiter->job);

  waiter->timer = 0;
  list = g_slist_remove (list, waiter);
  if (list != NULL)
    g_hash_table_insert (waiter->shard->waiters, g_strdup (waiter->job), list);
  fail_unconfirmed (waiter->call, waiter->job);
  waiter_free (waiter);
  return G_SOURCE_REMOVE;
}

static void
fail_waiter (struct waiter *waiter)
{
  struct gr_error error = GR_ERROR_INIT;

  if (gr_journal_is_in_flight (waiter->shard->journal, waiter->job))
    {
      fail_unconfirmed (waiter->call, waiter->job);
      return;
    }
  gr_error_set_retry (&error, GR_ERROR_NO_OWNER, RETRY_AFTER_MS,
                      "the owner of shard %s is changing", waiter->shard->name);
  gr_rpc_fail (waiter->call, &error);
}

void
gr_shard_fail_waiters (struct gr_shard *shard)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, shard->waiters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GSList *list = value;

      for (GSList *link = list; link != NULL; link = link->next)
        {
          fail_waiter (link->data);
          waiter_free (link->data);
        }
      g_slist_free (list);
    }
  g_hash_table_destroy (shard->waiters);
}

/* Answers the call with the record, now if it is already durable, otherwise
 * when it becomes durable or the timeout of the call expires. */
static void
answer_when_durable (struct gr_shard *shard,
                     struct gr_rpc_call *call,
                     const char *job,
                     bool for_cancellation,
                     const msgpack_object *body)
{
  int64_t wait_ms = gr_unpack_int (body, "timeout_ms", DEFAULT_WAIT_MS);
  struct waiter *waiter = g_new0 (struct waiter, 1);

  waiter->shard = shard;
  waiter->call = call;
  waiter->for_cancellation = for_cancellation;
  g_strlcpy (waiter->job, job, sizeof waiter->job);
  if (is_satisfied (waiter))
    {
      answer_record (shard, call, job);
      waiter_free (waiter);
      return;
    }
  waiter->timer = g_timeout_add ((guint)CLAMP (wait_ms, 1, MAX_WAIT_MS),
                                 wait_timed_out, waiter);
  add_waiter (waiter);
}

/* --- Submissions and cancellations -------------------------------------- */

static bool
check_writable (struct gr_shard *shard, struct gr_error *error)
{
  if (!gr_shard_is_ready (shard))
    return gr_error_set_retry (error, GR_ERROR_NO_OWNER, RETRY_AFTER_MS,
                               "the owner of shard %s is changing",
                               shard->name);
  if (!gr_shard_accepts_writes (shard))
    return gr_error_set_retry (error, GR_ERROR_STORE_UNAVAILABLE,
                               RETRY_AFTER_MS,
                               "the record cannot be made durable now");
  if (!gr_settings_store_is_current (shard->env.settings))
    return gr_error_set_retry (error, GR_ERROR_STALE_SETTINGS, RETRY_AFTER_MS,
                               "cannot confirm that the settings are current");
  return true;
}

/* A repeated submission of a known job needs no new record. */
static bool
check_submission (struct gr_shard *shard,
                  const struct gr_job_spec *spec,
                  struct gr_error *error)
{
  char job[GR_ID_MAX];

  g_snprintf (job, sizeof job, "%s.%s.%s", shard->name, spec->account,
              spec->key);
  if (gr_core_find (shard->core, job) != NULL)
    return gr_shard_is_ready (shard) || check_writable (shard, error);
  return check_writable (shard, error)
         && gr_journal_has_capacity (shard->journal, job, spec, error);
}

void
gr_shard_submit (struct gr_shard *shard,
                 struct gr_rpc_call *call,
                 const msgpack_object *body)
{
  struct gr_error error = GR_ERROR_INIT;
  const struct gr_job_record *record = NULL;
  struct gr_job_spec spec;
  char job[GR_ID_MAX];

  if (!gr_unpack_job_spec (body, &spec, &error))
    {
      gr_rpc_fail (call, &error);
      return;
    }
  if (!check_submission (shard, &spec, &error)
      || !gr_core_submit (shard->core, &spec,
                          gr_clock_now_ms (shard->env.clock),
                          gr_clock_unix_ms (), &record, &error))
    {
      gr_job_spec_clear (&spec);
      gr_rpc_fail (call, &error);
      return;
    }
  gr_job_spec_clear (&spec);
  g_strlcpy (job, record->id, sizeof job);
  gr_journal_put (shard->journal, record);
  answer_when_durable (shard, call, job, false, body);
}

static char *
job_from_body (const msgpack_object *body, struct gr_error *error)
{
  char *job = gr_unpack_string (body, "job");

  if (job == NULL)
    gr_error_set (error, GR_ERROR_BAD_REQUEST, "the field \"job\" is missing");
  return job;
}

static bool
cancel_job (struct gr_shard *shard, const char *job, struct gr_error *error)
{
  return check_writable (shard, error)
         && gr_core_cancel (shard->core, job,
                            gr_clock_now_ms (shard->env.clock), error);
}

void
gr_shard_cancel (struct gr_shard *shard,
                 struct gr_rpc_call *call,
                 const msgpack_object *body)
{
  struct gr_error error = GR_ERROR_INIT;
  char *job = job_from_body (body, &error);

  if (job == NULL || !cancel_job (shard, job, &error))
    {
      gr_rpc_fail (call, &error);
      g_free (job);
      return;
    }
  gr_journal_put (shard->journal, gr_core_find (shard->core, job));
  gr_shard_tick_within (shard, 0);
  answer_when_durable (shard, call, job, true, body);
  g_free (job);
}

/* --- Reading ------------------------------------------------------------ */

bool
gr_shard_check_readable (const struct gr_shard *shard, struct gr_error *error)
{
  if (shard->phase != GR_SHARD_RECOVERING)
    return true;
  return gr_error_set_retry (error, GR_ERROR_NO_OWNER, RETRY_AFTER_MS,
                             "shard %s is being recovered", shard->name);
}

void
gr_shard_show (struct gr_shard *shard,
               struct gr_rpc_call *call,
               const msgpack_object *body)
{
  struct gr_error error = GR_ERROR_INIT;
  char *job = job_from_body (body, &error);

  if (job == NULL || !gr_shard_check_readable (shard, &error))
    gr_rpc_fail (call, &error);
  else
    answer_record (shard, call, job);
  g_free (job);
}

struct list_query
{
  char *account; /* NULL: all accounts */
  char *after;
  bool any_state;
  enum gr_job_state state;
  uint32_t limit;
  GPtrArray *found; /* const struct gr_job_record */
};

static void
match_record (const struct gr_job_record *record, void *context)
{
  struct list_query *query = context;

  if (query->account != NULL
      && strcmp (query->account, record->spec.account) != 0)
    return;
  if (!query->any_state && record->state != query->state)
    return;
  if (query->after != NULL && strcmp (record->id, query->after) <= 0)
    return;
  g_ptr_array_add (query->found, (void *)record);
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const struct gr_job_record *const *left = a;
  const struct gr_job_record *const *right = b;

  return strcmp ((*left)->id, (*right)->id);
}

/* Placements are omitted from lists: those of a gang of 1024 can take 200 KB.
 * job.show returns them. */
static struct gr_packer *
pack_list (const struct list_query *query)
{
  struct gr_packer *body = gr_packer_create ();
  size_t total = 0;
  guint i;

  gr_pack_array_begin (body, "jobs");
  for (i = 0; i < query->found->len && i < query->limit; i++)
    {
      struct gr_job_record record =
          *(const struct gr_job_record *)query->found->pdata[i];
      struct gr_packer *element;
      size_t size;

      record.n_placements = 0;
      element = gr_pack_job_record (&record);
      gr_packer_data (element, &size);
      total += size;
      gr_pack_array_add (body, element);
      if (total > MAX_LIST_BYTES)
        {
          i++;
          break;
        }
    }
  gr_pack_array_end (body);
  if (i > 0 && i < query->found->len)
    {
      const struct gr_job_record *last = query->found->pdata[i - 1];

      gr_pack_string (body, "next", last->id);
    }
  return body;
}

static bool
read_query (const msgpack_object *body,
            struct list_query *query,
            struct gr_error *error)
{
  char *state = gr_unpack_string (body, "state");
  int64_t limit = gr_unpack_int (body, "limit", DEFAULT_LIMIT);
  bool valid;

  query->any_state = state == NULL || state[0] == '\0';
  valid = query->any_state || gr_job_state_from_name (state, &query->state);
  if (!valid)
    gr_error_set (error, GR_ERROR_BAD_REQUEST,
                  "job state \"%s\" does not exist", state);
  g_free (state);
  query->limit = (uint32_t)CLAMP (limit, 1, MAX_LIMIT);
  query->account = gr_unpack_string (body, "account");
  if (query->account != NULL && query->account[0] == '\0')
    g_clear_pointer (&query->account, g_free);
  query->after = gr_unpack_string (body, "after");
  query->found = g_ptr_array_new ();
  return valid;
}

void
gr_shard_list (struct gr_shard *shard,
               struct gr_rpc_call *call,
               const msgpack_object *body)
{
  struct gr_error error = GR_ERROR_INIT;
  struct list_query query = { 0 };
  struct gr_packer *answer;

  if (!read_query (body, &query, &error)
      || !gr_shard_check_readable (shard, &error))
    gr_rpc_fail (call, &error);
  else
    {
      gr_core_each_job (shard->core, match_record, &query);
      g_ptr_array_sort (query.found, compare_ids);
      answer = pack_list (&query);
      gr_rpc_reply (call, answer);
      gr_packer_destroy (answer);
    }
  g_free (query.account);
  g_free (query.after);
  g_ptr_array_unref (query.found);
}
