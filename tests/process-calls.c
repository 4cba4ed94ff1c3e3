/* Part of tests/process-cluster.h: HTTP calls, jobs, requests and load. */
#include "tests/process-cluster.h"

#include <check.h>
#include <libsoup/soup.h>
#include <string.h>

/* Executors receive the client's key with this prefix, the account. */
#define REQUEST_KEY_PREFIX "clinics."

struct reply
http_call (const char *method,
           const char *address,
           const char *path,
           const char *const *headers,
           const char *body,
           uint32_t timeout_s)
{
  struct reply reply = { 0 };
  char *url = g_strdup_printf ("http://%s%s", address, path);
  SoupSession *session =
      soup_session_new_with_options ("timeout", timeout_s, NULL);
  SoupMessage *message = soup_message_new (method, url);
  GBytes *answer;

  for (int i = 0; headers != NULL && headers[i] != NULL; i += 2)
    soup_message_headers_append (soup_message_get_request_headers (message),
                                 headers[i], headers[i + 1]);
  if (body != NULL)
    {
      GBytes *bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (message, "application/json",
                                                bytes);
      g_bytes_unref (bytes);
    }
  answer = soup_session_send_and_read (session, message, NULL, NULL);
  if (answer != NULL)
    {
      gsize size;
      const char *data = g_bytes_get_data (answer, &size);
      JsonNode *node;

      reply.status = (int)soup_message_get_status (message);
      reply.body = g_strndup (data ? data : "", size);
      reply.etag = g_strdup (soup_message_headers_get_one (
          soup_message_get_response_headers (message), "ETag"));
      node = json_from_string (reply.body, NULL);
      if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
        reply.json = json_node_dup_object (node);
      g_clear_pointer (&node, json_node_unref);
      g_bytes_unref (answer);
    }
  g_object_unref (message);
  g_object_unref (session);
  g_free (url);
  return reply;
}

void
reply_clear (struct reply *reply)
{
  g_free (reply->body);
  g_free (reply->etag);
  g_clear_pointer (&reply->json, json_object_unref);
  memset (reply, 0, sizeof *reply);
}

const char *
reply_string (const struct reply *reply, const char *name)
{
  if (reply->json == NULL)
    return "";
  return json_object_get_string_member_with_default (reply->json, name, "");
}

int64_t
reply_int (const struct reply *reply, const char *name)
{
  if (reply->json == NULL)
    return -1;
  return json_object_get_int_member_with_default (reply->json, name, -1);
}

static struct reply
send_request (const char *address,
              const char *key,
              bool idempotent,
              uint32_t run_ms)
{
  const char *headers[] = { "Authorization",
                            "Bearer token",
                            "Geraniumrack-Account",
                            "clinics",
                            "Idempotency-Key",
                            key,
                            "Geraniumrack-Idempotent",
                            idempotent ? "true" : "false",
                            NULL };
  char *body = g_strdup_printf ("%s run_ms=%u", key, run_ms);
  struct reply reply =
      http_call ("POST", address, "/v1/requests", headers, body, 20);

  g_free (body);
  return reply;
}

struct reply
cluster_request (struct cluster *cluster,
                 const char *entry,
                 const char *key,
                 bool idempotent,
                 uint32_t run_ms)
{
  return send_request (cluster_http_address (cluster, entry), key, idempotent,
                       run_ms);
}

struct reply
cluster_submit (struct cluster *cluster,
                const char *entry,
                const char *key,
                uint32_t workers,
                uint32_t run_ms,
                bool idempotent)
{
  const char *headers[] = { "Authorization", "Bearer token", NULL };
  char *body = g_strdup_printf (
      "{\"account\":\"clinics\",\"key\":\"%s\",\"workers\":%u,"
      "\"accelerators_per_worker\":8,\"run_ms\":%u,\"idempotent\":%s,"
      "\"data_centre\":\"dc1\",\"spec\":\"run_ms=%u\"}",
      key, workers, run_ms, idempotent ? "true" : "false", run_ms);
  struct reply reply = http_call ("POST", cluster_http_address (cluster, entry),
                                  "/v1/jobs", headers, body, 20);

  g_free (body);
  return reply;
}

char *
cluster_job_state (struct cluster *cluster, const char *entry, const char *key)
{
  const char *headers[] = { "Authorization", "Bearer token", NULL };
  char *path = g_strdup_printf ("/v1/jobs/dc1.clinics.%s", key);
  struct reply reply = http_call ("GET", cluster_http_address (cluster, entry),
                                  path, headers, NULL, 10);
  char *state = g_strdup (reply_string (&reply, "state"));

  reply_clear (&reply);
  g_free (path);
  return state;
}

bool
cluster_wait_job (struct cluster *cluster,
                  const char *entry,
                  const char *key,
                  const char *state,
                  int64_t limit_ms)
{
  int64_t deadline_ms = g_get_monotonic_time () / 1000 + limit_ms;

  while (g_get_monotonic_time () / 1000 < deadline_ms)
    {
      char *current = cluster_job_state (cluster, entry, key);
      bool has_state = strcmp (current, state) == 0;

      g_free (current);
      if (has_state)
        return true;
      g_usleep (100000);
    }
  return false;
}

/* Calls count with the records that GET /control of each stand-in PREFIX-0,
 * PREFIX-1 and so on returns. Returns the sum of the results. */
static uint32_t
sum_over_standins (struct cluster *cluster,
                   const char *prefix,
                   uint32_t (*count) (JsonObject *control, const char *key),
                   const char *key)
{
  uint32_t sum = 0;

  for (uint32_t i = 0;; i++)
    {
      char *name = g_strdup_printf ("%s-%u", prefix, i);
      struct reply reply;

      if (!cluster_has_address (cluster, name))
        {
          g_free (name);
          return sum;
        }
      reply = http_call ("GET", cluster_http_address (cluster, name),
                         "/control", NULL, NULL, 10);
      ck_assert_msg (reply.json != NULL,
                     "GET /control of %s returned no records", name);
      sum += count (reply.json, key);
      reply_clear (&reply);
      g_free (name);
    }
}

static uint32_t
count_job_runs (JsonObject *control, const char *key)
{
  JsonArray *starts = json_object_get_array_member (control, "starts");
  char *id = g_strdup_printf ("dc1.clinics.%s", key);
  /* Task ids contain the hash of the job id. */
  char *id_hash = g_strdup_printf (".%08x.", g_str_hash (id));
  uint32_t count = 0;

  for (guint i = 0; i < json_array_get_length (starts); i++)
    {
      JsonObject *start = json_array_get_object_element (starts, i);
      const char *task = json_object_get_string_member (start, "task");

      if (strstr (task, id_hash) != NULL
          && json_object_get_int_member_with_default (start, "unthrottled_ms",
                                                      0)
                 > 0)
        count++;
    }
  g_free (id);
  g_free (id_hash);
  return count;
}

uint32_t
cluster_job_runs (struct cluster *cluster, const char *key)
{
  return sum_over_standins (cluster, "worker", count_job_runs, key);
}

static uint32_t
count_request_runs (JsonObject *control, const char *key)
{
  JsonObject *keys = json_object_get_object_member (control, "keys");
  char *executor_key = g_strconcat (REQUEST_KEY_PREFIX, key, NULL);
  uint32_t started = 0;

  if (json_object_has_member (keys, executor_key))
    started = (uint32_t)json_object_get_int_member (
        json_object_get_object_member (keys, executor_key), "started");
  g_free (executor_key);
  return started;
}

uint32_t
cluster_request_runs (struct cluster *cluster, const char *key)
{
  return sum_over_standins (cluster, "executor", count_request_runs, key);
}

enum outcome
{
  OUTCOME_ANSWERED,
  OUTCOME_NOT_RUN,
  OUTCOME_MAY_HAVE_RUN,
  OUTCOME_INCOMPLETE,
  OUTCOME_WRONG_ANSWER,
};

struct sent_request
{
  char *key;
  bool idempotent;
  enum outcome outcome;
};

struct load
{
  struct cluster *cluster;
  GPtrArray *addresses;
  GPtrArray *threads;
  GMutex lock;
  GArray *sent;
  gint stopping;
  gint next_number;
  bool balanced;
  uint32_t run_ms;
};

static enum outcome
classify_reply (const struct reply *reply, const char *expected)
{
  const char *run_state = reply_string (reply, "run_state");

  if (reply->status == 0)
    return OUTCOME_INCOMPLETE;
  if (reply->status == 200)
    return strcmp (reply->body, expected) == 0 ? OUTCOME_ANSWERED
                                               : OUTCOME_WRONG_ANSWER;
  if (strcmp (run_state, "not-run") == 0)
    return OUTCOME_NOT_RUN;
  return OUTCOME_MAY_HAVE_RUN;
}

static bool
entry_is_ready (const char *address)
{
  struct reply reply = http_call ("GET", address, "/readyz", NULL, NULL, 2);
  bool ready = reply.status == 200;

  reply_clear (&reply);
  return ready;
}

static void *
load_thread (void *data)
{
  struct load *load = data;

  while (!g_atomic_int_get (&load->stopping))
    {
      guint number = (guint)g_atomic_int_add (&load->next_number, 1);
      const char *address =
          load->addresses->pdata[number % load->addresses->len];
      struct sent_request sent = { .idempotent = number % 3 != 0 };
      char *expected;
      struct reply reply;

      if (load->balanced && !entry_is_ready (address))
        {
          g_usleep (20000);
          continue;
        }
      sent.key = g_strdup_printf ("load-%u-%u", load->run_ms, number);
      expected = g_strdup_printf ("%s run_ms=%u", sent.key, load->run_ms);
      reply = send_request (address, sent.key, sent.idempotent, load->run_ms);
      sent.outcome = classify_reply (&reply, expected);
      g_mutex_lock (&load->lock);
      g_array_append_val (load->sent, sent);
      g_mutex_unlock (&load->lock);
      reply_clear (&reply);
      g_free (expected);
      g_usleep (2000);
    }
  return NULL;
}

static struct load *
load_create (struct cluster *cluster,
             const char *const *entries,
             uint32_t threads,
             uint32_t run_ms,
             bool balanced)
{
  struct load *load = g_new0 (struct load, 1);

  load->cluster = cluster;
  load->run_ms = run_ms;
  load->balanced = balanced;
  load->addresses = g_ptr_array_new_with_free_func (g_free);
  load->threads = g_ptr_array_new ();
  load->sent = g_array_new (FALSE, FALSE, sizeof (struct sent_request));
  g_mutex_init (&load->lock);
  for (int i = 0; entries[i] != NULL; i++)
    g_ptr_array_add (load->addresses,
                     g_strdup (cluster_http_address (cluster, entries[i])));
  for (uint32_t i = 0; i < threads; i++)
    g_ptr_array_add (load->threads, g_thread_new ("load", load_thread, load));
  return load;
}

struct load *
load_start (struct cluster *cluster,
            const char *const *entries,
            uint32_t threads)
{
  return load_create (cluster, entries, threads, 10, false);
}

struct load *
load_start_balanced (struct cluster *cluster,
                     const char *const *entries,
                     uint32_t threads,
                     uint32_t run_ms)
{
  return load_create (cluster, entries, threads, run_ms, true);
}

/* Returns how often all executors together started the request of each key. */
static GHashTable *
count_all_request_runs (struct cluster *cluster)
{
  GHashTable *runs =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (uint32_t i = 0;; i++)
    {
      char *name = g_strdup_printf ("executor-%u", i);
      struct reply reply;
      JsonObjectIter iter;
      const char *key;
      JsonNode *node;

      if (!cluster_has_address (cluster, name))
        {
          g_free (name);
          return runs;
        }
      reply = http_call ("GET", cluster_http_address (cluster, name),
                         "/control", NULL, NULL, 10);
      ck_assert_msg (reply.json != NULL,
                     "GET /control of %s returned no records", name);
      json_object_iter_init (
          &iter, json_object_get_object_member (reply.json, "keys"));
      while (json_object_iter_next (&iter, &key, &node))
        {
          gint64 started = json_object_get_int_member (
              json_node_get_object (node), "started");
          const char *client_key = key + strlen (REQUEST_KEY_PREFIX);
          guint previous;

          ck_assert (g_str_has_prefix (key, REQUEST_KEY_PREFIX));
          previous = GPOINTER_TO_UINT (g_hash_table_lookup (runs, client_key));
          g_hash_table_insert (runs, g_strdup (client_key),
                               GUINT_TO_POINTER (previous + (guint)started));
        }
      reply_clear (&reply);
      g_free (name);
    }
}

static void
add_to_result (const struct sent_request *sent,
               guint runs,
               struct load_result *result)
{
  result->answered += sent->outcome == OUTCOME_ANSWERED;
  result->not_run += sent->outcome == OUTCOME_NOT_RUN;
  result->may_have_run += sent->outcome == OUTCOME_MAY_HAVE_RUN;
  result->incomplete += sent->outcome == OUTCOME_INCOMPLETE;
  result->wrong_answer += sent->outcome == OUTCOME_WRONG_ANSWER;
  result->false_not_run += sent->outcome == OUTCOME_NOT_RUN && runs > 0;
  result->repeated_runs += !sent->idempotent && runs > 1;
  /* If an answered request is missing from the records, they are incomplete and
   * the comparison would miss faults. */
  ck_assert (sent->outcome != OUTCOME_ANSWERED || runs > 0);
}

struct load_result
load_stop (struct load *load)
{
  struct load_result result = { 0 };
  GHashTable *runs;

  g_atomic_int_set (&load->stopping, 1);
  for (guint i = 0; i < load->threads->len; i++)
    g_thread_join (load->threads->pdata[i]);
  runs = count_all_request_runs (load->cluster);
  for (guint i = 0; i < load->sent->len; i++)
    {
      struct sent_request *sent =
          &g_array_index (load->sent, struct sent_request, i);

      add_to_result (sent,
                     GPOINTER_TO_UINT (g_hash_table_lookup (runs, sent->key)),
                     &result);
      g_free (sent->key);
    }
  g_hash_table_unref (runs);
  g_array_unref (load->sent);
  g_ptr_array_unref (load->threads);
  g_ptr_array_unref (load->addresses);
  g_mutex_clear (&load->lock);
  g_free (load);
  return result;
}
