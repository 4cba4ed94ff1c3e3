/* Many jobs come at once on a queue that needs advice. The owner gives up on
 * calls that still wait in turn, asks again behind them, and from then on no
 * answer is in time: accepted jobs are never started. */
#include "review/rig-2/process-cluster.h"

#include <stdlib.h>
#include <string.h>

#define WORKERS 7
#define DECIDE_MS 400
#define EACH_MS 100
#define VALID_MS 3000
#define MAX_WAITING 32

#define INTERVAL_MS 1250 /* between two jobs */
#define BURST_X 2.8      /* x and for_s of burst in the site file */
#define BURST_MS 4300
#define BEFORE_MS 4000
#define TRAFFIC_MS 20000
#define MAX_JOBS 60
#define RUN_MS 300

#define FINISH_MS 14000 /* finish_s of the site */
#define IDLE_MS 3000    /* time without a run, of LOST */
#define WATCH_MS 12000

struct advice
{
  struct rig *rig;
  SoupServer *server;
  char *address;
  GQueue calls; /* SoupServerMessage, the first one is handled */
  int answered;
  int rejected;
};

struct job
{
  struct rig *rig;
  char *id;
  guint status;
};

static void handle_first (struct advice *advice);

/* The workers that a call names. */
static JsonArray *
named_workers (SoupServerMessage *message, JsonNode **node)
{
  g_autoptr (GBytes) bytes = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  g_autofree char *body =
      g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));

  *node = json_from_string (body, NULL);
  if (*node == NULL || !JSON_NODE_HOLDS_OBJECT (*node))
    return NULL;
  return json_object_get_array_member (json_node_get_object (*node), "workers");
}

/* All workers may run every step. */
static gboolean
answer_first (gpointer data)
{
  struct advice *advice = data;
  SoupServerMessage *message = g_queue_pop_head (&advice->calls);
  g_autoptr (JsonNode) node = NULL;
  JsonArray *workers = named_workers (message, &node);
  GString *text = g_string_new ("{\"good\":[");

  for (guint i = 0; workers != NULL && i < json_array_get_length (workers); i++)
    g_string_append_printf (text, "%s[\"%s\",\"t-%s\"]", i > 0 ? "," : "",
                            json_array_get_string_element (workers, i),
                            json_array_get_string_element (workers, i));
  g_string_append_printf (text, "],\"valid-ms\":%d}", VALID_MS);
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, text->str, text->len);
  soup_server_message_unpause (message);
  advice->answered++;
  g_string_free (text, TRUE);
  g_object_unref (message);
  handle_first (advice);
  return G_SOURCE_REMOVE;
}

/* One call at a time, as there is one calling machine. */
static void
handle_first (struct advice *advice)
{
  SoupServerMessage *message = g_queue_peek_head (&advice->calls);
  g_autoptr (JsonNode) node = NULL;
  JsonArray *workers;
  guint n;

  if (message == NULL)
    return;
  workers = named_workers (message, &node);
  n = workers != NULL ? json_array_get_length (workers) : 0;
  g_timeout_add (DECIDE_MS + EACH_MS * n, answer_first, advice);
}

static void
handle_call (SoupServer *server,
             SoupServerMessage *message,
             const char *path,
             GHashTable *query,
             gpointer data)
{
  struct advice *advice = data;

  (void)server;
  (void)path;
  (void)query;
  if (g_queue_get_length (&advice->calls) > MAX_WAITING)
    {
      advice->rejected++;
      soup_server_message_set_status (message, 429, NULL);
      return;
    }
  soup_server_message_pause (message);
  g_queue_push_tail (&advice->calls, g_object_ref (message));
  if (g_queue_get_length (&advice->calls) == 1)
    handle_first (advice);
}

static bool
listen_advice (struct advice *advice)
{
  g_autoptr (GSocketAddress) address = NULL;
  g_auto (GStrv) words = NULL;

  advice->address = rig_free_address ();
  words = g_strsplit (advice->address, ":", 2);
  address =
      g_inet_socket_address_new_from_string (words[0], (guint)atoi (words[1]));
  advice->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (advice->server, NULL, handle_call, advice, NULL);
  g_queue_init (&advice->calls);
  return soup_server_listen (advice->server, address, 0, NULL);
}

static void
submit_done (const struct rig_answer *answer, void *context)
{
  struct job *job = context;

  job->status = answer->status;
  rig_record (job->rig, "job %s handed in: %u", job->id, answer->status);
}

static int
send_traffic (struct rig *rig, struct job *jobs)
{
  static const char body[] =
      "{\"task-spec\":\"run_ms=300\",\"steps\":[{\"count\":1,\"cpu\":1000,"
      "\"mem-mb\":100,\"gpu\":1,\"estimate-ms\":300}]}";
  int64_t begun_ms = rig_now_ms ();
  int n = 0;

  while (rig_now_ms () - begun_ms < TRAFFIC_MS && n < MAX_JOBS)
    {
      int64_t at_ms = rig_now_ms () - begun_ms;
      bool burst = rig_trouble (rig) && at_ms >= BEFORE_MS
                   && at_ms < BEFORE_MS + BURST_MS;
      struct job *job = &jobs[n];

      *job = (struct job){ .rig = rig, .id = rig_job_id (rig) };
      rig_call (rig, n % RIG_INSTANCES, "POST", job->id, RIG_KEY_A, body, 2500,
                submit_done, job);
      n++;
      rig_wait (rig, burst ? (uint32_t)(INTERVAL_MS / BURST_X) : INTERVAL_MS);
    }
  return n;
}

/* Last time at which a task may have been at work. */
static int64_t
last_work_ms (struct rig *rig)
{
  GPtrArray *starts = rig_starts (rig);
  int64_t last_ms = 0;

  for (guint i = 0; i < starts->len; i++)
    last_ms = MAX (last_ms, ((struct rig_start *)starts->pdata[i])->at_ms);
  return last_ms + RUN_MS;
}

static int
judge (struct rig *rig, const struct job *jobs, int n)
{
  int64_t end_ms;
  int64_t longest_ms = 0;
  int waiting = 0;

  rig_wait (rig, FINISH_MS);
  rig_record (rig, "%d ms after the end of the traffic", FINISH_MS);
  end_ms = rig_now_ms () + WATCH_MS;
  while (rig_now_ms () < end_ms)
    {
      int64_t idle_ms = MIN (rig_now_ms () - last_work_ms (rig),
                             WATCH_MS - (end_ms - rig_now_ms ()));

      longest_ms = MAX (longest_ms, idle_ms);
      rig_wait (rig, 100);
    }
  for (int i = 0; i < n; i++)
    if (jobs[i].status == 200 && rig_first_start (rig, jobs[i].id) == NULL)
      {
        waiting++;
        rig_record (rig, "accepted job %s has never been started", jobs[i].id);
      }
  rig_record (rig,
              "%d of %d jobs were never started; all executors were idle for "
              "%" G_GINT64_FORMAT " ms on end",
              waiting, n, longest_ms);
  if (waiting == 0 || longest_ms < IDLE_MS)
    return 0;
  rig_record (rig, "LOST: jobs had nothing running for 3 s while all executors "
                   "were idle");
  return 1;
}

int
main (int argc, char **argv)
{
  struct advice advice = { 0 };
  g_autofree char *terms =
      g_strdup_printf ("{\"decide-ms\":%d,\"each-ms\":%d,\"valid-ms\":%d}",
                       DECIDE_MS, EACH_MS, VALID_MS);
  struct job jobs[MAX_JOBS] = { 0 };
  int result = 2;

  if (argc != 2 || (advice.rig = rig_create (argv[1], WORKERS)) == NULL
      || !listen_advice (&advice))
    return 2;
  rig_set_advice (advice.rig, advice.address, terms);
  if (rig_start (advice.rig))
    {
      int n = send_traffic (advice.rig, jobs);

      result = judge (advice.rig, jobs, n);
    }
  rig_record (advice.rig, "advice: %d calls answered, %d rejected, %u waiting",
              advice.answered, advice.rejected,
              g_queue_get_length (&advice.calls));
  rig_destroy (advice.rig);
  return result;
}
