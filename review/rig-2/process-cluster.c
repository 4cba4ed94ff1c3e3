#include "review/rig-2/process-cluster.h"

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>

#define INSTANCE_PROGRAM "target/instance/geraniumrack-instance"
#define STANDIN_PROGRAM "target/standins/geraniumrack-standin"
#define HOST "h.example"
#define PREFIX "/a/"

#define READY_LIMIT_MS 20000
#define CONTROL_TIMEOUT_MS 2000

struct child
{
  char *name;
  GSubprocess *process;
  char *output;
};

struct held
{
  struct rig *rig;
  SoupServerMessage *message;
};

struct rig
{
  bool trouble;
  char *dir;
  char *store;    /* address of the stand-in */
  char *proxy;    /* address that the instances are given */
  char *machines; /* may be NULL */
  char *advice;   /* the same */
  char *terms;    /* of the advice; the same */
  char *clients[RIG_INSTANCES];
  char *ready[RIG_INSTANCES];
  char *metrics[RIG_INSTANCES];
  char *worker_ids[RIG_MAX_WORKERS];
  char *workers[RIG_MAX_WORKERS];
  struct child instances[RIG_INSTANCES];
  struct child executors[RIG_MAX_WORKERS];
  struct child platform;
  GPtrArray
      *outputs; /* struct child copies of all executors, for their output */
  GPtrArray *starts;
  SoupSession *session; /* of clients and of the operator */
  SoupSession *forward; /* of the proxy */
  SoupServer *server;
  struct rig_store_hook hook;
  GPtrArray *held; /* SoupServerMessage */
  FILE *record;
  int64_t begun_ms;
  uint32_t next_job;
  int n_workers;
  uint32_t next_worker;
  uint32_t next_output;
};

int64_t
rig_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

bool
rig_trouble (const struct rig *rig)
{
  return rig->trouble;
}

void
rig_record (struct rig *rig, const char *format, ...)
{
  va_list args;

  fprintf (rig->record, "%8.3f ",
           (double)(rig_now_ms () - rig->begun_ms) / 1000);
  va_start (args, format);
  vfprintf (rig->record, format, args);
  va_end (args);
  fputc ('\n', rig->record);
  fflush (rig->record);
}

static gboolean
quit_loop (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

void
rig_wait (struct rig *rig, uint32_t ms)
{
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);

  (void)rig;
  g_timeout_add (ms, quit_loop, loop);
  g_main_loop_run (loop);
  g_main_loop_unref (loop);
}

/* Below the ports that the kernel gives to outgoing connections. */
#define FIRST_PORT 14000
#define LAST_PORT 31000

static bool
is_free (int port)
{
  g_autoptr (GSocket) socket = g_socket_new (
      G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) address =
      g_inet_socket_address_new_from_string ("127.0.0.1", (guint)port);

  return socket != NULL && g_socket_bind (socket, address, FALSE, NULL);
}

char *
rig_free_address (void)
{
  int port;

  do
    port = g_random_int_range (FIRST_PORT, LAST_PORT);
  while (!is_free (port));
  return g_strdup_printf ("127.0.0.1:%d", port);
}

char *
rig_job_id (struct rig *rig)
{
  return g_strdup_printf ("c0de%012x", ++rig->next_job);
}

/* Ends with this process, also if that is killed. */
static void
setup_child (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static bool
start_child (struct rig *rig,
             struct child *child,
             const char *name,
             const char *settings,
             const char *const *argv)
{
  g_autoptr (GSubprocessLauncher) launcher =
      g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_autoptr (GError) error = NULL;

  child->name = g_strdup (name);
  child->output =
      g_strdup_printf ("%s/%s.%u.log", rig->dir, name, ++rig->next_output);
  g_subprocess_launcher_set_child_setup (launcher, setup_child, NULL, NULL);
  g_subprocess_launcher_set_stdout_file_path (launcher, child->output);
  if (settings != NULL)
    g_subprocess_launcher_setenv (launcher, "GERANIUMRACK_NODE_FILE", settings,
                                  TRUE);
  child->process = g_subprocess_launcher_spawnv (launcher, argv, &error);
  if (child->process != NULL)
    return true;
  fprintf (stderr, "%s: %s\n", name, error->message);
  return false;
}

static void
kill_child (struct child *child)
{
  if (child->process == NULL)
    return;
  g_subprocess_send_signal (child->process, SIGKILL);
  g_subprocess_wait (child->process, NULL, NULL);
  g_clear_object (&child->process);
}

/* Proxy in front of the store. */

struct forward
{
  struct rig *rig;
  SoupServerMessage *message; /* NULL: the answer is thrown away */
  SoupMessage *request;
  bool hold;
};

static void
forward_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct forward *forward = data;
  GBytes *bytes =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  if (forward->message != NULL && forward->hold)
    g_ptr_array_add (forward->rig->held, g_object_ref (forward->message));
  else if (forward->message != NULL)
    {
      gsize size = 0;
      const char *text = bytes ? g_bytes_get_data (bytes, &size) : NULL;

      soup_server_message_set_status (
          forward->message,
          bytes ? soup_message_get_status (forward->request) : 503, NULL);
      soup_server_message_set_response (forward->message, "application/json",
                                        SOUP_MEMORY_COPY, text ? text : "{}",
                                        text ? size : 2);
      soup_server_message_unpause (forward->message);
    }
  g_clear_pointer (&bytes, g_bytes_unref);
  g_clear_object (&forward->message);
  g_object_unref (forward->request);
  g_free (forward);
}

static gboolean
send_forward (gpointer data)
{
  struct forward *forward = data;

  soup_session_send_and_read_async (forward->rig->forward, forward->request,
                                    G_PRIORITY_DEFAULT, NULL, forward_done,
                                    forward);
  return G_SOURCE_REMOVE;
}

static void
answer_busy (SoupServerMessage *message)
{
  soup_server_message_set_status (message, 503, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_STATIC, "{}", 2);
}

static void
handle_store_call (SoupServer *server,
                   SoupServerMessage *message,
                   const char *path,
                   GHashTable *query,
                   gpointer data)
{
  struct rig *rig = data;
  const char *text = g_uri_get_query (soup_server_message_get_uri (message));
  g_autofree char *url = g_strdup_printf ("http://%s%s%s%s", rig->store, path,
                                          text ? "?" : "", text ? text : "");
  g_autoptr (GBytes) body = soup_message_body_flatten (
      soup_server_message_get_request_body (message));
  g_autofree char *content =
      g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  enum rig_store_action action = RIG_STORE_PASS;
  uint32_t late_ms = 0;
  struct forward *forward;

  (void)server;
  (void)query;
  if (rig->hook.decide != NULL)
    action = rig->hook.decide (g_str_equal (path, "/v1/kv-txn"), content,
                               &late_ms, rig->hook.context);
  if (action == RIG_STORE_BUSY)
    {
      answer_busy (message);
      return;
    }
  soup_server_message_pause (message);
  forward = g_new0 (struct forward, 1);
  forward->rig = rig;
  forward->hold = action == RIG_STORE_RESET;
  if (action == RIG_STORE_PASS || action == RIG_STORE_RESET)
    forward->message = g_object_ref (message);
  forward->request =
      soup_message_new (soup_server_message_get_method (message), url);
  if (g_bytes_get_size (body) > 0)
    soup_message_set_request_body_from_bytes (forward->request,
                                              "application/json", body);
  if (late_ms > 0)
    g_timeout_add (late_ms, send_forward, forward);
  else
    send_forward (forward);
}

void
rig_reset_held (struct rig *rig)
{
  for (guint i = 0; i < rig->held->len; i++)
    {
      SoupServerMessage *message = rig->held->pdata[i];
      GSocket *socket = soup_server_message_get_socket (message);

      if (socket == NULL)
        continue;
      rig_record (rig, "proxy resets the connection of a call that the store "
                       "has carried out");
      g_socket_shutdown (socket, TRUE, TRUE, NULL);
    }
  g_ptr_array_set_size (rig->held, 0);
}

void
rig_set_store_hook (struct rig *rig, const struct rig_store_hook *hook)
{
  rig->hook = *hook;
}

/* Calls. */

struct client_call
{
  SoupMessage *message;
  GCancellable *cancellable;
  guint timer;
  void (*done) (const struct rig_answer *answer, void *context);
  void *context;
};

static gboolean
cancel_call (gpointer data)
{
  struct client_call *call = data;

  call->timer = 0;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

static void
call_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct client_call *call = data;
  struct rig_answer answer = { 0 };
  GBytes *bytes =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  char *text = NULL;

  if (bytes != NULL)
    {
      text =
          g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
      answer.status = soup_message_get_status (call->message);
      answer.body = text;
      g_bytes_unref (bytes);
    }
  if (call->timer != 0)
    g_source_remove (call->timer);
  call->done (&answer, call->context);
  g_free (text);
  g_object_unref (call->message);
  g_object_unref (call->cancellable);
  g_free (call);
}

static void
send_call (struct rig *rig,
           SoupMessage *message,
           const char *body,
           uint32_t timeout_ms,
           void (*done) (const struct rig_answer *answer, void *context),
           void *context)
{
  struct client_call *call = g_new0 (struct client_call, 1);

  call->message = message;
  call->cancellable = g_cancellable_new ();
  call->done = done;
  call->context = context;
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (message, "application/json",
                                                bytes);
    }
  call->timer = g_timeout_add (timeout_ms, cancel_call, call);
  soup_session_send_and_read_async (rig->session, message, G_PRIORITY_DEFAULT,
                                    call->cancellable, call_done, call);
}

void
rig_call (struct rig *rig,
          int instance,
          const char *method,
          const char *job,
          const char *key,
          const char *body,
          uint32_t timeout_ms,
          void (*done) (const struct rig_answer *answer, void *context),
          void *context)
{
  g_autofree char *url = g_strdup_printf (
      "http://%s" PREFIX "%s", rig->clients[instance], job ? job : "");
  SoupMessage *message = soup_message_new (method, url);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);
  g_autofree char *deadline = g_strdup_printf ("%u", timeout_ms);

  soup_message_headers_replace (headers, "Host", HOST);
  soup_message_headers_replace (headers, "X-Request-Deadline", deadline);
  if (key != NULL)
    {
      g_autofree char *value = g_strconcat ("Bearer ", key, NULL);

      soup_message_headers_replace (headers, "Authorization", value);
    }
  send_call (rig, message, body, timeout_ms, done, context);
}

struct sync
{
  GMainLoop *loop;
  guint status;
  char *body;
};

static void
sync_done (const struct rig_answer *answer, void *context)
{
  struct sync *sync = context;

  sync->status = answer->status;
  sync->body = g_strdup (answer->body ? answer->body : "");
  g_main_loop_quit (sync->loop);
}

/* Calls a URL and runs the main loop until the answer. Returns the status. */
static guint
call_url (struct rig *rig,
          const char *method,
          const char *url,
          const char *body,
          char **answer)
{
  struct sync sync = { .loop = g_main_loop_new (NULL, FALSE) };

  send_call (rig, soup_message_new (method, url), body, CONTROL_TIMEOUT_MS,
             sync_done, &sync);
  g_main_loop_run (sync.loop);
  g_main_loop_unref (sync.loop);
  if (answer != NULL)
    *answer = sync.body;
  else
    g_free (sync.body);
  return sync.status;
}

static char *
json_text (JsonObject *object)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);

  json_node_take_object (node, object);
  return json_to_string (node, FALSE);
}

static bool
call_control (struct rig *rig, JsonObject *object)
{
  g_autofree char *url = g_strdup_printf ("http://%s/control", rig->store);
  g_autofree char *body = json_text (object);

  return call_url (rig, "POST", url, body, NULL) == 200;
}

bool
rig_put (struct rig *rig, const char *key, const char *text)
{
  JsonObject *put = json_object_new ();
  JsonObject *body = json_object_new ();

  json_object_set_string_member (put, "key", key);
  json_object_set_string_member (put, "text", text);
  json_object_set_object_member (body, "put", put);
  return call_control (rig, body);
}

char *
rig_get (struct rig *rig, const char *key)
{
  g_autofree char *url =
      g_strdup_printf ("http://%s/v1/kv-key?key=%s", rig->store, key);
  g_autofree char *answer = NULL;
  g_autoptr (JsonNode) node = NULL;
  gsize size;
  guchar *value;
  char *text;

  if (call_url (rig, "GET", url, NULL, &answer) != 200)
    return NULL;
  node = json_from_string (answer, NULL);
  if (node == NULL)
    return NULL;
  value = g_base64_decode (
      json_object_get_string_member (json_node_get_object (node), "value"),
      &size);
  text = g_strndup ((const char *)value, size);
  g_free (value);
  return text;
}

bool
rig_put_config (struct rig *rig, int version, const char *const *keys)
{
  GString *list = g_string_new (NULL);
  g_autofree char *text = NULL;
  bool done;

  for (; *keys != NULL; keys++)
    g_string_append_printf (list, "%s\"%s\"", list->len > 0 ? "," : "", *keys);
  text = g_strdup_printf (
      "{\"config-version\":%d,\"routes\":[{\"name\":\"q\",\"host\":\"" HOST
      "\",\"prefix\":\"" PREFIX "\",\"route-kind\":\"unsafe\","
      "\"timeout-ms\":3000,\"slo-ms\":1000,\"priority\":1,"
      "\"service\":\"render\",\"max-attempts\":2,\"stretch\":3.0,"
      "%s%s\"public\":false}],\"services\":[{\"name\":\"render\","
      "\"health-path\":\"/health\",\"max-conns\":64,\"protocol\":\"h1\","
      "\"tls\":false,\"rejects-overload\":true,\"standby\":false}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
      "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[%s],\"priority\":1,"
      "\"guaranteed\":{\"gpu\":8}}]}",
      version, rig->terms ? "\"advice\":" : "", rig->terms ? rig->terms : "",
      list->str);
  g_string_free (list, TRUE);
  done = rig_put (rig, "op/config", text);
  rig_record (rig, "operator: configuration %d acknowledged: %s", version,
              done ? "yes" : "no");
  return done;
}

/* Processes. */

void
rig_set_machines_address (struct rig *rig, const char *address)
{
  rig->machines = g_strdup (address);
}

void
rig_set_advice (struct rig *rig, const char *address, const char *terms)
{
  rig->advice = g_strdup (address);
  rig->terms = g_strconcat (terms, ",", NULL);
}

/* As the platform fills in deploy/settings.ini. */
bool
rig_start_instance (struct rig *rig, int i)
{
  g_autofree char *name = g_strdup_printf ("front-%d", i);
  g_autofree char *file = g_strdup_printf ("%s/%s.ini", rig->dir, name);
  g_autofree char *text = g_strdup_printf (
      "[instance]\nname = %s\ndata_centre = dc%d\ncpu_share = 0.25\n"
      "client_address = %s\nready_address = %s\nmetrics_address = %s\n"
      "[platform]\nstore_address = %s\nadvice_address = %s\n"
      "machines_address = %s\nheartbeat_ms = 1500\n"
      "[learning]\nrun_times = on\nspeeds = on\n[placement]\nobjectives = on\n"
      "[preemption]\nbudget = on\n[bounds]\nrevoke_ms = 5000\ngrace_s = 6\n"
      "max_hold_ms = 10000\ngang_wait_ms = 3000\nreclaim_ms = 2700\n"
      "checkpoint_s = 1\nfar_factor = 3\nstop_ms = 200\nstate_kept_s = 120\n"
      "[clients]\nstate_wait_ms = 100\n",
      name, i + 1, rig->clients[i], rig->ready[i], rig->metrics[i], rig->proxy,
      rig->advice ? rig->advice : "", rig->machines ? rig->machines : "");
  const char *argv[] = { INSTANCE_PROGRAM, NULL };
  struct child *child = &rig->instances[i];

  g_clear_pointer (&child->name, g_free);
  g_clear_pointer (&child->output, g_free);
  rig_record (rig, "%s starts", name);
  return g_file_set_contents (file, text, -1, NULL)
         && start_child (rig, child, name, file, argv);
}

void
rig_kill_instance (struct rig *rig, int i)
{
  rig_record (rig, "front-%d is killed", i);
  kill_child (&rig->instances[i]);
}

int
rig_owner (struct rig *rig)
{
  g_autofree char *text = rig_get (rig, "gr/owner");

  if (text == NULL || !g_str_has_prefix (text, "front-"))
    return -1;
  return text[strlen ("front-")] - '0';
}

bool
rig_restart_worker (struct rig *rig, int i)
{
  g_autofree char *number = g_strdup_printf ("%d", i);
  const char *argv[] = { STANDIN_PROGRAM,
                         "platform-worker",
                         "--name",
                         NULL,
                         "--number",
                         number,
                         "--listen",
                         NULL,
                         "--advertised",
                         NULL,
                         "--target",
                         rig->store,
                         "--per-rack",
                         "4",
                         "--accelerators",
                         "8",
                         "--cores",
                         "128",
                         "--memory-mb",
                         "256000",
                         NULL };
  struct child *output;

  argv[3] = rig->worker_ids[i];
  argv[7] = rig->workers[i];
  argv[9] = rig->workers[i];
  g_clear_pointer (&rig->executors[i].name, g_free);
  g_clear_pointer (&rig->executors[i].output, g_free);
  if (!start_child (rig, &rig->executors[i], rig->worker_ids[i], NULL, argv))
    return false;
  output = g_new0 (struct child, 1);
  output->name = g_strdup (rig->worker_ids[i]);
  output->output = g_strdup (rig->executors[i].output);
  g_ptr_array_add (rig->outputs, output);
  return true;
}

bool
rig_start_worker (struct rig *rig, int i)
{
  g_free (rig->worker_ids[i]);
  g_free (rig->workers[i]);
  rig->worker_ids[i] = g_strdup_printf ("i-%04u", ++rig->next_worker);
  rig->workers[i] = rig_free_address ();
  return rig_restart_worker (rig, i);
}

void
rig_kill_worker (struct rig *rig, int i)
{
  kill_child (&rig->executors[i]);
}

const char *
rig_worker_id (struct rig *rig, int i)
{
  return rig->worker_ids[i];
}

static void
start_free (void *data)
{
  struct rig_start *start = data;

  g_free (start->task);
  g_free (start->worker);
  g_free (start);
}

/* Lines of the stand-in: EVENT MICROSECONDS TASK RUN HOW. */
static void
read_starts (struct rig *rig, const struct child *child)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (child->output, &text, NULL, NULL))
    return;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      g_auto (GStrv) words = g_strsplit (*line, " ", -1);
      struct rig_start *start;

      if (g_strv_length (words) < 5 || !g_str_equal (words[0], "start"))
        continue;
      start = g_new0 (struct rig_start, 1);
      start->at_ms = g_ascii_strtoll (words[1], NULL, 10) / 1000;
      start->task = g_strdup (words[2]);
      start->worker = g_strdup (child->name);
      g_ptr_array_add (rig->starts, start);
    }
}

GPtrArray *
rig_starts (struct rig *rig)
{
  g_ptr_array_set_size (rig->starts, 0);
  for (guint i = 0; i < rig->outputs->len; i++)
    read_starts (rig, rig->outputs->pdata[i]);
  return rig->starts;
}

const struct rig_start *
rig_first_start (struct rig *rig, const char *job)
{
  GPtrArray *starts = rig_starts (rig);
  const struct rig_start *first = NULL;

  for (guint i = 0; i < starts->len; i++)
    {
      const struct rig_start *start = starts->pdata[i];

      if (g_str_has_prefix (start->task, job)
          && (first == NULL || start->at_ms < first->at_ms))
        first = start;
    }
  return first;
}

static bool
wait_for_url (struct rig *rig, const char *address, const char *path)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  int64_t end_ms = rig_now_ms () + READY_LIMIT_MS;

  while (rig_now_ms () < end_ms)
    {
      if (call_url (rig, "GET", url, NULL, NULL) == 200)
        return true;
      rig_wait (rig, 50);
    }
  fprintf (stderr, "%s does not answer\n", url);
  return false;
}

/* The first job shows that the deployment works. */
static bool
run_first_job (struct rig *rig)
{
  static const char body[] =
      "{\"task-spec\":\"run_ms=100\",\"steps\":[{\"count\":1,\"cpu\":1000,"
      "\"mem-mb\":100,\"gpu\":1,\"estimate-ms\":100}]}";
  g_autofree char *job = rig_job_id (rig);
  struct sync sync = { .loop = g_main_loop_new (NULL, FALSE) };
  int64_t end_ms = rig_now_ms () + READY_LIMIT_MS;

  rig_call (rig, 0, "POST", job, RIG_KEY_A, body, 2500, sync_done, &sync);
  g_main_loop_run (sync.loop);
  g_main_loop_unref (sync.loop);
  g_free (sync.body);
  if (sync.status != 200)
    return false;
  while (rig_now_ms () < end_ms)
    {
      if (rig_first_start (rig, job) != NULL)
        {
          rig_wait (rig, 1500);
          return true;
        }
      rig_wait (rig, 100);
    }
  return false;
}

bool
rig_start (struct rig *rig)
{
  static const char *const keys[] = { RIG_KEY_A, RIG_KEY_B, NULL };
  const char *argv[] = { STANDIN_PROGRAM, "platform", "--listen", rig->store,
                         "--workers",     "0",        NULL };
  g_autofree char *ready = NULL;

  if (!start_child (rig, &rig->platform, "platform", NULL, argv)
      || !wait_for_url (rig, rig->store, "/control"))
    return false;
  for (int i = 0; i < rig->n_workers; i++)
    if (!rig_start_worker (rig, i))
      return false;
  if (!rig_put_config (rig, 1, keys))
    return false;
  for (int i = 0; i < RIG_INSTANCES; i++)
    if (!rig_start_instance (rig, i))
      return false;
  for (int i = 0; i < RIG_INSTANCES; i++)
    if (!wait_for_url (rig, rig->ready[i], "/v1/readiness"))
      return false;
  if (run_first_job (rig))
    return true;
  fprintf (stderr, "the first job did not run\n");
  return false;
}

static void
child_free (void *data)
{
  struct child *child = data;

  g_free (child->name);
  g_free (child->output);
  g_free (child);
}

static bool
listen_proxy (struct rig *rig)
{
  g_auto (GStrv) words = g_strsplit (rig->proxy, ":", 2);
  g_autoptr (GSocketAddress) address =
      g_inet_socket_address_new_from_string (words[0], (guint)atoi (words[1]));

  rig->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (rig->server, NULL, handle_store_call, rig, NULL);
  return soup_server_listen (rig->server, address, 0, NULL);
}

struct rig *
rig_create (const char *folder, int workers)
{
  struct rig *rig = g_new0 (struct rig, 1);
  g_autofree char *record = g_build_filename (folder, "record.txt", NULL);

  rig->trouble = g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
  rig->n_workers = MIN (workers, RIG_MAX_WORKERS);
  rig->begun_ms = rig_now_ms ();
  rig->dir = g_dir_make_tmp ("geraniumrack-review-XXXXXX", NULL);
  rig->record = fopen (record, "w");
  rig->store = rig_free_address ();
  rig->proxy = rig_free_address ();
  for (int i = 0; i < RIG_INSTANCES; i++)
    {
      rig->clients[i] = rig_free_address ();
      rig->ready[i] = rig_free_address ();
      rig->metrics[i] = rig_free_address ();
    }
  rig->outputs = g_ptr_array_new_with_free_func (child_free);
  rig->starts = g_ptr_array_new_with_free_func (start_free);
  rig->held = g_ptr_array_new_with_free_func (g_object_unref);
  rig->session =
      soup_session_new_with_options ("max-conns", 1000, "max-conns-per-host",
                                     500, "proxy-resolver", NULL, NULL);
  rig->forward =
      soup_session_new_with_options ("max-conns", 1000, "max-conns-per-host",
                                     500, "proxy-resolver", NULL, NULL);
  if (rig->dir != NULL && rig->record != NULL && listen_proxy (rig))
    return rig;
  fprintf (stderr, "the proxy or the record could not be created\n");
  exit (2);
}

static void
remove_folder (const char *path)
{
  g_autoptr (GDir) dir = g_dir_open (path, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *file = g_build_filename (path, name, NULL);

      g_remove (file);
    }
  g_rmdir (path);
}

void
rig_destroy (struct rig *rig)
{
  for (int i = 0; i < RIG_INSTANCES; i++)
    kill_child (&rig->instances[i]);
  for (int i = 0; i < rig->n_workers; i++)
    kill_child (&rig->executors[i]);
  kill_child (&rig->platform);
  if (g_getenv ("KEEP") == NULL)
    remove_folder (rig->dir);
  else
    fprintf (stderr, "logs: %s\n", rig->dir);
  fclose (rig->record);
}
