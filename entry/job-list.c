/* GET /v1/jobs: walks the shards in the order of their names, which is the
 * order of job ids, until the page is full. */
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
  size_t at;     /* shard that is asked */
  char *account; /* "": all */
  char *state;
  char *after;
  char *next;
  uint32_t limit;
  JsonArray *items;
  JsonArray *missing;
};

static void ask (struct list_call *call);

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
  JsonObject *answer = json_object_new ();

  json_object_set_array_member (answer, "items", json_array_ref (call->items));
  if (call->next != NULL)
    json_object_set_string_member (answer, "next", call->next);
  if (json_array_get_length (call->missing) > 0)
    json_object_set_array_member (answer, "missing_shards",
                                  json_array_ref (call->missing));
  gr_exchange_json (call->exchange, 200, answer);
  list_free (call);
}

static void
take_page (struct list_call *call, const msgpack_object *body)
{
  size_t count;
  const msgpack_object *jobs = gr_unpack_array (body, "jobs", &count);

  for (size_t i = 0; i < count; i++)
    {
      struct gr_error error = GR_ERROR_INIT;
      struct gr_job_record record;

      if (!gr_unpack_job_record (&jobs[i], &record, &error))
        {
          gr_log_problem ("job-record-invalid", "shard", call->shards[call->at],
                          "message", error.message, NULL);
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
    json_array_add_string_element (call->missing, call->shards[call->at]);
  else
    {
      take_page (call, body);
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
  call->at++;
  ask (call);
}

/* Asks the shard at call->at, or ends after the last one. */
static void
ask (struct list_call *call)
{
  struct gr_entry *entry = call->exchange->entry;

  while (call->shards[call->at] != NULL)
    {
      const char *shard = call->shards[call->at];
      uint32_t held = json_array_get_length (call->items);
      struct gr_error error = GR_ERROR_INIT;
      struct gr_packer *body;
      bool sent;

      if (held >= call->limit)
        {
          JsonObject *last =
              json_array_get_object_element (call->items, held - 1);

          g_free (call->next);
          call->next = g_strdup (json_object_get_string_member (last, "id"));
          break;
        }
      body = gr_packer_create ();
      gr_pack_string (body, "shard", shard);
      gr_pack_string (body, "account", call->account);
      gr_pack_string (body, "state", call->state);
      gr_pack_int (body, "limit", call->limit - held);
      gr_pack_string (body, "after", call->after);
      sent = gr_owner_call (entry, shard, "job.list", body, page_done, call,
                            &error);
      gr_packer_destroy (body);
      if (sent)
        return;
      json_array_add_string_element (call->missing, shard);
      call->at++;
    }
  finish (call);
}

/* First shard whose jobs can come after the id. */
static size_t
first_shard (char **shards, const char *after)
{
  size_t at = 0;
  char **parts = g_strsplit (after, ".", 2);

  while (shards[at] != NULL && parts[0] != NULL
         && strcmp (shards[at], parts[0]) < 0)
    at++;
  g_strfreev (parts);
  return at;
}

static bool
check_query (struct gr_exchange *exchange,
             const char *account,
             const char *state,
             uint32_t *limit,
             struct gr_error *error)
{
  enum gr_job_state known;

  if (!gr_exchange_limit (exchange, limit, error))
    return false;
  if (state[0] != '\0' && !gr_job_state_from_name (state, &known))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "there is no job state \"%.32s\"", state);
  if (account[0] == '\0')
    return gr_exchange_is_operator (exchange, error);
  return gr_exchange_may (exchange, account, error);
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
  call->at = first_shard (call->shards, after);
  gr_exchange_pause (exchange);
  ask (call);
}
