/* GET /v1/jobs: queries the shards one after another in the order of their
 * names, which is also the order of job ids, until the page is full. */
#include "common/log.h"
#include "entry/job-json.h"
#include "entry/jobs.h"
#include "entry/owner.h"
#include "rpc/job-codec.h"

#include <string.h>

struct list_call
{
  struct gr_exchange *exchange;
  char **shards;
  size_t shard_index; /* index of the shard being queried */
  char *account;      /* "": all accounts */
  char *state;
  char *after;
  char *next;
  uint32_t limit;
  JsonArray *items;
  JsonArray *missing;
};

static void request_page (struct list_call *call);

static void
list_free (struct list_call *call)
{
  g_strfreev (call->shards);
  g_free (call->account);
  g_free (call->state);
  g_free (call->after);
  g_free (call->next);
  json_array_unref (call->items);
  json_array_unref (call->missing);
  g_free (call);
}

static void
finish (struct list_call *call)
{
  JsonObject *response = json_object_new ();

  json_object_set_array_member (response, "items",
                                json_array_ref (call->items));
  if (call->next != NULL)
    json_object_set_string_member (response, "next", call->next);
  if (json_array_get_length (call->missing) > 0)
    json_object_set_array_member (response, "missing_shards",
                                  json_array_ref (call->missing));
  gr_exchange_send_json (call->exchange, 200, response);
  list_free (call);
}

static void
append_jobs (struct list_call *call, const msgpack_object *body)
{
  size_t count;
  const msgpack_object *jobs = gr_unpack_array (body, "jobs", &count);

  for (size_t i = 0; i < count; i++)
    {
      struct gr_error error = GR_ERROR_INIT;
      struct gr_job_record record;

      if (!gr_unpack_job_record (&jobs[i], &record, &error))
        {
          gr_log_warning ("job-record-invalid", "shard",
                          call->shards[call->shard_index], "message",
                          error.message, NULL);
          continue;
        }
      json_array_add_object_element (call->items, gr_job_to_json (&record));
      gr_job_record_clear (&record);
    }
}

static void
page_done (const msgpack_object *body,
           const struct gr_error *error,
           void *context)
{
  struct list_call *call = context;
  char *next = NULL;

  if (error != NULL)
    json_array_add_string_element (call->missing,
                                   call->shards[call->shard_index]);
  else
    {
      append_jobs (call, body);
      next = gr_unpack_string (body, "next");
    }
  if (next != NULL && next[0] != '\0')
    {
      g_free (call->next);
      call->next = next;
      finish (call);
      return;
    }
  g_free (next);
  call->shard_index++;
  request_page (call);
}

/* Queries the shard at shard_index, skipping shards without an owner, or
 * sends the response after the last one. */
static void
request_page (struct list_call *call)
{
  struct gr_entry *entry = call->exchange->entry;

  while (call->shards[call->shard_index] != NULL)
    {
      const char *shard = call->shards[call->shard_index];
      uint32_t n_items = json_array_get_length (call->items);
      struct gr_error error = GR_ERROR_INIT;
      struct gr_packer *body;
      bool sent;

      if (n_items >= call->limit)
        {
          JsonObject *last =
              json_array_get_object_element (call->items, n_items - 1);

          g_free (call->next);
          call->next = g_strdup (json_object_get_string_member (last, "id"));
          break;
        }
      body = gr_packer_create ();
      gr_pack_string (body, "shard", shard);
      gr_pack_string (body, "account", call->account);
      gr_pack_string (body, "state", call->state);
      gr_pack_int (body, "limit", call->limit - n_items);
      gr_pack_string (body, "after", call->after);
      sent = gr_owner_call (entry, shard, "job.list", body, page_done, call,
                            &error);
      gr_packer_destroy (body);
      if (sent)
        return;
      json_array_add_string_element (call->missing, shard);
      call->shard_index++;
    }
  finish (call);
}

/* Returns the index of the first shard that can hold jobs with ids greater
 * than after. */
static size_t
first_shard (char **shards, const char *after)
{
  size_t first = 0;
  char **parts = g_strsplit (after, ".", 2);

  while (shards[first] != NULL && parts[0] != NULL
         && strcmp (shards[first], parts[0]) < 0)
    first++;
  g_strfreev (parts);
  return first;
}

static bool
check_query (struct gr_exchange *exchange,
             const char *account,
             const char *state,
             uint32_t *limit,
             struct gr_error *error)
{
  enum gr_job_state parsed;

  if (!gr_exchange_page_limit (exchange, limit, error))
    return false;
  if (state[0] != '\0' && !gr_job_state_from_name (state, &parsed))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "unknown job state \"%.32s\"", state);
  if (account[0] == '\0')
    return gr_exchange_authorize_operator (exchange, error);
  return gr_exchange_authorize_account (exchange, account, error);
}

void
gr_jobs_list (struct gr_exchange *exchange)
{
  const char *account = gr_exchange_query (exchange, "account");
  const char *state = gr_exchange_query (exchange, "state");
  const char *after = gr_exchange_query (exchange, "after");
  struct gr_error error = GR_ERROR_INIT;
  struct list_call *call;
  uint32_t limit = 0;

  account = account != NULL ? account : "";
  state = state != NULL ? state : "";
  after = after != NULL ? after : "";
  if (!check_query (exchange, account, state, &limit, &error))
    {
      gr_exchange_fail (exchange, &error);
      return;
    }
  call = g_new0 (struct list_call, 1);
  call->exchange = exchange;
  call->account = g_strdup (account);
  call->state = g_strdup (state);
  call->after = g_strdup (after);
  call->limit = limit;
  call->items = json_array_new ();
  call->missing = json_array_new ();
  call->shards = gr_entry_shards (exchange->entry);
  call->shard_index = first_shard (call->shards, after);
  gr_exchange_pause (exchange);
  request_page (call);
}
