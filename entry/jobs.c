#include "entry/jobs.h"

#include "common/hash.h"
#include "common/log.h"
#include "entry/job-json.h"
#include "entry/job-shard.h"
#include "entry/owner.h"
#include "http/json.h"
#include "rpc/job-codec.h"

#include <string.h>

/* One call to a shard owner for one job. */
struct job_call
{
  struct gr_exchange *exchange;
  char id[GR_ID_MAX];
  enum
  {
    JOB_SUBMIT,
    JOB_SHOW,
    JOB_CANCEL
  } operation;
};

static bool
has_shard (char **shards, const char *name)
{
  for (size_t i = 0; shards[i] != NULL; i++)
    if (strcmp (shards[i], name) == 0)
      return true;
  return false;
}

/* Returns the data centre of the first guarantee whose shape is at least as
 * large as shape, or NULL. */
static const char *
guaranteed_data_centre (const struct gr_account_settings *account,
                        const struct gr_shape *shape)
{
  for (uint32_t i = 0; i < account->n_guarantees; i++)
    {
      const struct gr_guarantee *guarantee = &account->guarantees[i];

      if (shape->workers <= guarantee->shape.workers
          && shape->accelerators_per_worker
                 <= guarantee->shape.accelerators_per_worker)
        return guarantee->data_centre;
    }
  return NULL;
}

/* Without a data centre in the submission, the shard is derived from the
 * settings: that of a matching guarantee, or else a hash of the job key over
 * all shards. See job-shard.h. */
static bool
choose_shard (struct gr_entry *entry,
              const struct gr_job_spec *spec,
              const struct gr_account_settings *account,
              char *shard,
              struct gr_error *error)
{
  char **shards = gr_entry_shards (entry);
  const char *wanted = spec->data_centre;
  char *key;
  int chosen;
  bool found = true;

  if (wanted[0] == '\0')
    wanted = guaranteed_data_centre (account, &spec->shape);
  if (wanted != NULL && has_shard (shards, wanted))
    g_strlcpy (shard, wanted, GR_NAME_MAX);
  else if (spec->data_centre[0] != '\0')
    found =
        gr_error_set (error, GR_ERROR_NEVER_FITS,
                      "no shard serves data centre \"%s\"", spec->data_centre);
  else
    {
      key = g_strconcat (spec->account, "/", spec->key, NULL);
      chosen = gr_hash_choose (key, (const char *const *)shards,
                               g_strv_length (shards));
      g_free (key);
      if (chosen < 0)
        found =
            gr_error_set (error, GR_ERROR_NO_OWNER, "no shards are configured");
      else
        g_strlcpy (shard, shards[chosen], GR_NAME_MAX);
    }
  g_strfreev (shards);
  return found;
}

static void
job_done (const msgpack_object *body,
          const struct gr_error *error,
          void *context)
{
  struct job_call *call = context;
  struct gr_exchange *exchange = call->exchange;
  struct gr_error client_error = GR_ERROR_INIT;
  struct gr_job_record record;
  char *location;

  if (error != NULL)
    client_error = gr_owner_translate_error (exchange->entry, error,
                                             call->operation == JOB_SHOW);
  else
    gr_unpack_job_record (body, &record, &client_error);
  if (client_error.kind != GR_ERROR_NONE)
    {
      gr_log_event ("job-call-failed", "job", call->id, "kind",
                    gr_error_info (client_error.kind)->name, "message",
                    client_error.message, NULL);
      gr_exchange_fail (exchange, &client_error);
      g_free (call);
      return;
    }
  if (call->operation == JOB_SUBMIT)
    {
      gr_log_event ("job-accepted", "job", record.id, "account",
                    record.spec.account, NULL);
      location = g_strconcat ("/v1/jobs/", record.id, NULL);
      soup_message_headers_replace (
          soup_server_message_get_response_headers (exchange->message),
          "Location", location);
      g_free (location);
    }
  gr_exchange_send_json (exchange, call->operation == JOB_SUBMIT ? 201 : 200,
                         gr_job_to_json (&record));
  gr_job_record_clear (&record);
  g_free (call);
}

static void
call_owner (struct gr_exchange *exchange,
            int operation,
            const char *id,
            const char *shard,
            const char *method,
            struct gr_packer *body)
{
  struct gr_error error = GR_ERROR_INIT;
  struct job_call *call = g_new0 (struct job_call, 1);

  call->exchange = exchange;
  call->operation = operation;
  g_strlcpy (call->id, id, sizeof call->id);
  gr_exchange_pause (exchange);
  if (gr_owner_call (exchange->entry, shard, method, body, job_done, call,
                     &error))
    return;
  g_free (call);
  gr_exchange_fail (exchange, &error);
}

/* Parses the submission and checks the client's access. Returns the account,
 * or NULL with error set. On success clear spec with gr_job_spec_clear (). */
static const struct gr_account_settings *
read_submission (struct gr_exchange *exchange,
                 struct gr_job_spec *spec,
                 struct gr_error *error)
{
  const struct gr_account_settings *account;
  JsonObject *object = gr_json_parse (exchange->body, error);
  bool has_priority = false;
  bool valid;

  if (object == NULL)
    {
      gr_error_set (error, GR_ERROR_BAD_REQUEST,
                    "the body is not a JSON object");
      return NULL;
    }
  valid = gr_job_from_json (object, spec, &has_priority, error);
  json_object_unref (object);
  if (!valid)
    return NULL;
  account = gr_entry_account (exchange->entry, spec->account);
  if (account == NULL)
    gr_error_set (error, GR_ERROR_UNKNOWN_ACCOUNT, "there is no account \"%s\"",
                  spec->account);
  else if (exchange->local)
    gr_error_set (error, GR_ERROR_UNAUTHENTICATED,
                  "the header Authorization: Bearer TOKEN is missing");
  else if (gr_exchange_authorize_account (exchange, spec->account, error))
    {
      if (!has_priority)
        spec->priority = account->priority;
      return account;
    }
  gr_job_spec_clear (spec);
  return NULL;
}

/* A submission whose shard is being determined. */
struct submission
{
  struct gr_exchange *exchange;
  struct gr_job_spec spec;
};

static void
submit_to_shard (struct gr_exchange *exchange,
                 const struct gr_job_spec *spec,
                 const char *shard)
{
  struct gr_packer *body = gr_packer_create ();
  char id[GR_ID_MAX];

  g_snprintf (id, sizeof id, "%s.%s.%s", shard, spec->account, spec->key);
  gr_log_event ("job-submitted", "job", id, "shard", shard, "account",
                spec->account, NULL);
  gr_pack_string (body, "shard", shard);
  gr_pack_job_spec (body, spec);
  call_owner (exchange, JOB_SUBMIT, id, shard, "job.submit", body);
  gr_packer_destroy (body);
}

static void
shard_resolved (const char *shard, const struct gr_error *error, void *context)
{
  struct submission *submission = context;

  if (error != NULL)
    gr_exchange_fail (submission->exchange, error);
  else
    submit_to_shard (submission->exchange, &submission->spec, shard);
  gr_job_spec_clear (&submission->spec);
  g_free (submission);
}

void
gr_jobs_submit (struct gr_exchange *exchange)
{
  const struct gr_account_settings *account = NULL;
  struct gr_error error = GR_ERROR_INIT;
  struct submission *submission;
  struct gr_job_spec spec;
  char shard[GR_NAME_MAX];

  if (gr_entry_is_ready (exchange->entry, &error))
    account = read_submission (exchange, &spec, &error);
  if (account == NULL)
    {
      gr_exchange_fail (exchange, &error);
      return;
    }
  if (!choose_shard (exchange->entry, &spec, account, shard, &error))
    {
      gr_job_spec_clear (&spec);
      gr_exchange_fail (exchange, &error);
      return;
    }
  if (spec.data_centre[0] != '\0')
    {
      submit_to_shard (exchange, &spec, shard);
      gr_job_spec_clear (&spec);
      return;
    }
  submission = g_new0 (struct submission, 1);
  submission->exchange = exchange;
  submission->spec = spec;
  gr_exchange_pause (exchange);
  gr_job_shards_resolve (exchange->entry->job_shards, spec.account, spec.key,
                         shard, shard_resolved, submission);
}

/* Splits SHARD.ACCOUNT.KEY into its parts; NULL with kind bad-request if id
 * has another form. Free with g_strfreev (). */
static char **
split_id (const char *id, struct gr_error *error)
{
  char **parts = g_strsplit (id, ".", 4);

  if (strlen (id) < GR_ID_MAX && g_strv_length (parts) == 3
      && parts[0][0] != '\0' && parts[1][0] != '\0' && parts[2][0] != '\0')
    return parts;
  g_strfreev (parts);
  gr_error_set (error, GR_ERROR_BAD_REQUEST,
                "a job id has the form SHARD.ACCOUNT.KEY");
  return NULL;
}

static void
forward (struct gr_exchange *exchange, int operation, const char *method)
{
  struct gr_error error = GR_ERROR_INIT;
  char **parts = split_id (exchange->path_suffix, &error);
  char **shards = gr_entry_shards (exchange->entry);
  struct gr_packer *body;

  if (parts == NULL
      || !gr_exchange_authorize_account (exchange, parts[1], &error))
    gr_exchange_fail (exchange, &error);
  else if (!has_shard (shards, parts[0]))
    {
      gr_error_set (&error, GR_ERROR_NOT_FOUND, "there is no shard \"%s\"",
                    parts[0]);
      gr_exchange_fail (exchange, &error);
    }
  else
    {
      body = gr_packer_create ();
      gr_pack_string (body, "job", exchange->path_suffix);
      call_owner (exchange, operation, exchange->path_suffix, parts[0], method,
                  body);
      gr_packer_destroy (body);
    }
  g_strfreev (shards);
  g_strfreev (parts);
}

void
gr_jobs_show (struct gr_exchange *exchange)
{
  forward (exchange, JOB_SHOW, "job.show");
}

void
gr_jobs_cancel (struct gr_exchange *exchange)
{
  forward (exchange, JOB_CANCEL, "job.cancel");
}
