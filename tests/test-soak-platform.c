#include "http/json.h"
#include "tests/soak-runs.h"

#include <check.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* Soak of instances on the platform's contract. The store, each worker and each
 * instance are processes of their own, and all connections go through relays.
 * By a seed, connections are refused, reset, silenced and delayed, and
 * processes are paused, killed, drained and restarted, in series that overlap.
 * What the workers print is checked while it runs.
 *
 * Environment: GR_SOAK_SEED, GR_SOAK_S (seconds with faults), GR_SOAK_WORKERS,
 * GR_SOAK_INSTANCES, GR_SOAK_PORT (first of 1,000 ports). */

#define CLIENTS 4
#define JOBS_PER_S 6 /* of all clients */
#define MAX_TRIES 4
#define TICK_US 100000UL
#define CHECK_TICKS 50

/* Chance that a series of faults begins in a tick. */
#define FAULT_CHANCE 0.18

/* After the last fault, every accepted job must end within this time: leases of
 * 7 s, a takeover that waits 10 s for them, and the work itself. */
#define SETTLE_S 60

struct relay
{
  pid_t pid;
  guint port;
  guint control_port;
};

struct instance
{
  pid_t pid;
  bool paused;
  guint port; /* of clients; the next two are for readiness and metrics */
  struct relay clients;
  struct relay store;
};

struct worker
{
  pid_t pid; /* 0: down */
  guint port;
  uint32_t life; /* number of its processes so far */
  uint32_t identity;
  struct relay relay;
};

enum undo_kind
{
  UNDO_RELAY,
  UNDO_PAUSE, /* of a process */
  UNDO_WORKER_DOWN,
};

struct undo
{
  enum undo_kind kind;
  int64_t at_us;
  struct relay *relay;
  pid_t pid;
  struct worker *worker;
};

struct soak
{
  GRand *rand;
  char *folder;
  SoupSession *session;
  guint next_port;
  guint store_port;
  pid_t store;
  struct relay worker_store; /* between all workers and the store */
  struct instance *instances;
  uint32_t n_instances;
  struct worker *workers;
  uint32_t n_workers;
  GArray *undos;
  struct soak_runs *runs;
  GMutex mutex;
  GPtrArray *accepted; /* ids */
  GPtrArray *rejected; /* ids of jobs of which every try was rejected */
  gint stopping;
};

struct client
{
  struct soak *soak;
  GRand *rand;
};

static uint32_t
setting (const char *name, uint32_t fallback)
{
  const char *text = g_getenv (name);

  return text != NULL ? (uint32_t)strtoul (text, NULL, 10) : fallback;
}

static char *
binary_path (const char *path)
{
  const char *build = g_getenv ("GR_BUILD_DIR");

  return g_build_filename (build ? build : "build", path, NULL);
}

/* Starts a program of the build with the arguments, which end with NULL; its
 * output goes to the file. */
static pid_t
start_process (const char *file, const char *program, const char *const *args)
{
  g_autoptr (GPtrArray) row = g_ptr_array_new ();
  g_autofree char *path = binary_path (program);
  pid_t pid;

  g_ptr_array_add (row, path);
  for (; *args != NULL; args++)
    g_ptr_array_add (row, (char *)*args);
  g_ptr_array_add (row, NULL);
  pid = fork ();
  ck_assert_int_ge (pid, 0);
  if (pid > 0)
    return pid;
  /* A failed check ends the soak at once, and its processes with it. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (freopen (file, "a", stdout) == NULL || dup2 (1, 2) < 0)
    _exit (127);
  execv (path, (char **)row->pdata);
  _exit (127);
}

static void
kill_process (pid_t pid)
{
  if (pid == 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static char *
loopback (guint port)
{
  return g_strdup_printf ("127.0.0.1:%u", port);
}

static void
start_relay (struct soak *soak, struct relay *relay, guint target_port)
{
  g_autofree char *file = g_build_filename (soak->folder, "relays.log", NULL);
  g_autofree char *listen = NULL;
  g_autofree char *control = NULL;
  g_autofree char *target = loopback (target_port);

  relay->port = soak->next_port++;
  relay->control_port = soak->next_port++;
  listen = loopback (relay->port);
  control = loopback (relay->control_port);
  relay->pid = start_process (
      file, "standins/geraniumrack-standin",
      (const char *const[]){ "relay", "--listen", listen, "--control", control,
                             "--target", target, NULL });
}

/* Sends a request. Returns the HTTP status, or 0 without a response. */
static guint
call (SoupSession *session,
      const char *method,
      const char *url,
      const char *body,
      char **answer)
{
  g_autoptr (SoupMessage) message = soup_message_new (method, url);
  g_autoptr (GBytes) bytes = NULL;
  gsize size;
  const char *text;

  soup_message_headers_replace (soup_message_get_request_headers (message),
                                "Host", "h.example");
  if (body != NULL)
    {
      g_autoptr (GBytes) sent = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (message, "application/json",
                                                sent);
    }
  bytes = soup_session_send_and_read (session, message, NULL, NULL);
  if (bytes == NULL)
    return 0;
  text = g_bytes_get_data (bytes, &size);
  if (answer != NULL)
    *answer = g_strndup (text ? text : "", size);
  return soup_message_get_status (message);
}

static guint
control (struct soak *soak, guint port, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/control", port);

  return call (soak->session, "POST", url, body, NULL);
}

static void
start_worker (struct soak *soak, struct worker *worker)
{
  uint32_t number = (uint32_t)(worker - soak->workers);
  g_autofree char *file =
      g_strdup_printf ("%s/w%u-%u.events", soak->folder, number, worker->life);
  g_autofree char *name =
      g_strdup_printf ("i-%04u-%u", number, worker->identity);
  g_autofree char *number_text = g_strdup_printf ("%u", number);
  g_autofree char *listen = loopback (worker->port);
  g_autofree char *advertised = loopback (worker->relay.port);
  g_autofree char *store = loopback (soak->worker_store.port);

  worker->life++;
  worker->pid = start_process (file, "standins/geraniumrack-standin",
                               (const char *const[]){ "platform-worker",
                                                      "--name",
                                                      name,
                                                      "--number",
                                                      number_text,
                                                      "--listen",
                                                      listen,
                                                      "--advertised",
                                                      advertised,
                                                      "--target",
                                                      store,
                                                      "--per-rack",
                                                      "4",
                                                      "--accelerators",
                                                      "8",
                                                      "--cores",
                                                      "128",
                                                      "--memory-mb",
                                                      "256000",
                                                      NULL });
  soak_runs_add_file (soak->runs, file);
}

/* Ends the worker's process, and with it its runs. */
static void
end_worker (struct soak *soak, struct worker *worker)
{
  int64_t now_us = g_get_monotonic_time ();

  if (worker->pid == 0)
    return;
  kill_process (worker->pid);
  worker->pid = 0;
  soak_runs_end_file (soak->runs, (uint32_t)(worker - soak->workers),
                      worker->life - 1, now_us);
}

static void
start_instance (struct soak *soak, struct instance *instance)
{
  uint32_t number = (uint32_t)(instance - soak->instances);
  g_autofree char *file = g_strdup_printf ("%s/i%u.ini", soak->folder, number);
  g_autofree char *log = g_strdup_printf ("%s/i%u.log", soak->folder, number);
  g_autofree char *text = g_strdup_printf (
      "[instance]\nname = i%u\ndata_centre = dc%u\n"
      "client_address = 127.0.0.1:%u\nready_address = 127.0.0.1:%u\n"
      "metrics_address = 127.0.0.1:%u\n[learning]\nrun_times = on\n"
      "speeds = on\n[platform]\nstore_address = 127.0.0.1:%u\n",
      number, number % 3 + 1, instance->port, instance->port + 1,
      instance->port + 2, instance->store.port);

  ck_assert (g_file_set_contents (file, text, -1, NULL));
  instance->pid =
      start_process (log, "instance/geraniumrack-instance",
                     (const char *const[]){ "--settings", file, NULL });
  instance->paused = false;
}

static const char config[] =
    "{\"put\":{\"key\":\"op/config\",\"text\":\"{\\\"config-version\\\":1,"
    "\\\"routes\\\":[{\\\"name\\\":\\\"q\\\",\\\"host\\\":\\\"h.example\\\","
    "\\\"prefix\\\":\\\"/a/\\\",\\\"service\\\":\\\"render\\\","
    "\\\"priority\\\":1,\\\"max-attempts\\\":3,\\\"stretch\\\":3,"
    "\\\"slo-ms\\\":1000,\\\"public\\\":true}],\\\"services\\\":[{\\\"name\\\":"
    "\\\"render\\\"}],\\\"tenants\\\":[]}\"}}";

static void
soak_create (struct soak *soak, uint32_t seed)
{
  g_autofree char *log = NULL;
  g_autofree char *listen = NULL;

  memset (soak, 0, sizeof *soak);
  soak->rand = g_rand_new_with_seed (seed);
  soak->folder = g_dir_make_tmp ("gr-soak-XXXXXX", NULL);
  soak->session = soup_session_new_with_options ("timeout", 3, "proxy-resolver",
                                                 NULL, NULL);
  /* Below the ports that the kernel gives to outgoing connections. */
  soak->next_port =
      setting ("GR_SOAK_PORT", 10000 + (uint32_t)(getpid () % 20) * 1000);
  soak->undos = g_array_new (FALSE, FALSE, sizeof (struct undo));
  soak->runs = soak_runs_create ();
  soak->accepted = g_ptr_array_new_with_free_func (g_free);
  soak->rejected = g_ptr_array_new_with_free_func (g_free);
  g_mutex_init (&soak->mutex);
  soak->n_instances = setting ("GR_SOAK_INSTANCES", 3);
  soak->n_workers = setting ("GR_SOAK_WORKERS", 12);
  soak->instances = g_new0 (struct instance, soak->n_instances);
  soak->workers = g_new0 (struct worker, soak->n_workers);
  soak->store_port = soak->next_port++;
  listen = loopback (soak->store_port);
  log = g_build_filename (soak->folder, "store.log", NULL);
  soak->store =
      start_process (log, "standins/geraniumrack-standin",
                     (const char *const[]){ "platform", "--listen", listen,
                                            "--workers", "0", NULL });
  start_relay (soak, &soak->worker_store, soak->store_port);
  for (int i = 0; i < 50; i++)
    {
      g_usleep (G_USEC_PER_SEC / 10);
      if (control (soak, soak->store_port, config) == 200)
        break;
    }
  for (uint32_t i = 0; i < soak->n_workers; i++)
    {
      soak->workers[i].port = soak->next_port++;
      start_relay (soak, &soak->workers[i].relay, soak->workers[i].port);
    }
  for (uint32_t i = 0; i < soak->n_instances; i++)
    {
      struct instance *instance = &soak->instances[i];

      instance->port = soak->next_port;
      soak->next_port += 3;
      start_relay (soak, &instance->clients, instance->port);
      start_relay (soak, &instance->store, soak->store_port);
    }
  g_usleep (G_USEC_PER_SEC / 2);
  for (uint32_t i = 0; i < soak->n_workers; i++)
    start_worker (soak, &soak->workers[i]);
  for (uint32_t i = 0; i < soak->n_instances; i++)
    start_instance (soak, &soak->instances[i]);
}

static void
soak_destroy (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->n_workers; i++)
    {
      kill_process (soak->workers[i].pid);
      kill_process (soak->workers[i].relay.pid);
    }
  for (uint32_t i = 0; i < soak->n_instances; i++)
    {
      kill_process (soak->instances[i].pid);
      kill_process (soak->instances[i].clients.pid);
      kill_process (soak->instances[i].store.pid);
    }
  kill_process (soak->worker_store.pid);
  kill_process (soak->store);
  soak_runs_destroy (soak->runs);
  g_array_unref (soak->undos);
  g_ptr_array_unref (soak->accepted);
  g_ptr_array_unref (soak->rejected);
  g_object_unref (soak->session);
  g_rand_free (soak->rand);
  g_free (soak->instances);
  g_free (soak->workers);
  g_free (soak->folder);
  g_mutex_clear (&soak->mutex);
}

/* Clients. */

static void
note_job (struct soak *soak, GPtrArray *list, const char *id)
{
  g_mutex_lock (&soak->mutex);
  g_ptr_array_add (list, g_strdup (id));
  g_mutex_unlock (&soak->mutex);
}

/* A call without a response is repeated under the same id, at any instance. */
static void
submit (struct client *client, SoupSession *session)
{
  struct soak *soak = client->soak;
  g_autofree char *id = g_strdup_printf ("%08x%08x", g_rand_int (client->rand),
                                         g_rand_int (client->rand));
  g_autofree char *body = g_strdup_printf (
      "{\"task-spec\":\"run_ms=%d\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
      "\"mem-mb\":10,\"gpu\":1,\"estimate-ms\":2000%s}]}",
      g_rand_int_range (client->rand, 200, 6000),
      g_rand_int_range (client->rand, 1, 9),
      g_rand_int_range (client->rand, 0, 4) == 0 ? ",\"gang\":true" : "");
  bool all_rejected = true;

  for (int i = 0; i < MAX_TRIES; i++)
    {
      uint32_t to = (uint32_t)g_rand_int_range (client->rand, 0,
                                                (gint32)soak->n_instances);
      g_autofree char *url = g_strdup_printf (
          "http://127.0.0.1:%u/a/%s", soak->instances[to].clients.port, id);
      guint status = call (session, "POST", url, body, NULL);

      if (status >= 200 && status < 300)
        {
          note_job (soak, soak->accepted, id);
          return;
        }
      if (status == 429 || status == 503)
        break;
      all_rejected = false;
    }
  if (all_rejected)
    note_job (soak, soak->rejected, id);
}

static gpointer
run_client (gpointer data)
{
  struct client *client = data;
  g_autoptr (SoupSession) session = soup_session_new_with_options (
      "timeout", 3, "proxy-resolver", NULL, NULL);

  while (!g_atomic_int_get (&client->soak->stopping))
    {
      submit (client, session);
      g_usleep ((gulong)G_USEC_PER_SEC * CLIENTS / JOBS_PER_S);
    }
  return NULL;
}

/* Faults. */

static int64_t
in_ms (struct soak *soak, int from_ms, int to_ms)
{
  return g_get_monotonic_time ()
         + (int64_t)g_rand_int_range (soak->rand, from_ms, to_ms) * 1000;
}

static void
disturb_relay (struct soak *soak, struct relay *relay, int max_ms)
{
  static const char *const faults[] = {
    "{\"closed\":true}", "{\"closed\":true}", "{\"drop\":true}",
    "{\"cut\":true}",    "{\"delay_ms\":%d}",
  };
  int delay_ms = g_rand_int_range (soak->rand, 50, 1600);
  int fault = g_rand_int_range (soak->rand, 0, (gint32)G_N_ELEMENTS (faults));
  g_autofree char *delay = g_strdup_printf ("{\"delay_ms\":%d}", delay_ms);
  struct undo undo = {
    .kind = UNDO_RELAY,
    .at_us = in_ms (soak, 300, max_ms),
    .relay = relay,
  };

  control (soak, relay->control_port,
           fault == G_N_ELEMENTS (faults) - 1 ? delay : faults[fault]);
  g_array_append_val (soak->undos, undo);
}

static void
pause_process (struct soak *soak, pid_t pid, int max_ms)
{
  struct undo undo = {
    .kind = UNDO_PAUSE,
    .at_us = in_ms (soak, 300, max_ms),
    .pid = pid,
  };

  kill (pid, SIGSTOP);
  g_array_append_val (soak->undos, undo);
}

static void
disturb_worker (struct soak *soak, struct worker *worker)
{
  int what = g_rand_int_range (soak->rand, 0, 10);
  struct undo undo = { .kind = UNDO_WORKER_DOWN, .worker = worker };

  if (what < 7 || worker->pid == 0)
    {
      disturb_relay (soak, &worker->relay, 9000);
      return;
    }
  if (what < 9)
    {
      end_worker (soak, worker);
      undo.at_us = in_ms (soak, 200, 3000);
    }
  else
    {
      kill (worker->pid, SIGTERM);
      undo.at_us = in_ms (soak, 4000, 6000);
    }
  g_array_append_val (soak->undos, undo);
}

static void
disturb_instance (struct soak *soak, struct instance *instance)
{
  switch (g_rand_int_range (soak->rand, 0, 8))
    {
    case 0:
      kill_process (instance->pid);
      start_instance (soak, instance);
      return;
    case 1:
      kill (instance->pid, SIGCONT);
      kill (instance->pid, SIGTERM);
      waitpid (instance->pid, NULL, 0);
      start_instance (soak, instance);
      return;
    case 2:
    case 3:
      pause_process (soak, instance->pid, 3000);
      return;
    case 4:
      kill (instance->pid, SIGHUP);
      return;
    case 5:
      disturb_relay (soak, &instance->clients, 2000);
      return;
    default:
      disturb_relay (soak, &instance->store, 6000);
      return;
    }
}

/* A series hits several workers at once, or the same kind of process again
 * while earlier faults go on. */
static void
inject_faults (struct soak *soak)
{
  int what = g_rand_int_range (soak->rand, 0, 12);
  uint32_t n = (uint32_t)g_rand_int_range (soak->rand, 1,
                                           (gint32)soak->n_workers / 3 + 2);

  if (what < 6)
    for (uint32_t i = 0; i < n; i++)
      disturb_worker (soak, &soak->workers[g_rand_int_range (
                                soak->rand, 0, (gint32)soak->n_workers)]);
  else if (what < 10)
    disturb_instance (soak, &soak->instances[g_rand_int_range (
                                soak->rand, 0, (gint32)soak->n_instances)]);
  else if (what == 10)
    disturb_relay (soak, &soak->worker_store, 4000);
  else
    pause_process (soak, soak->store, 3000);
}

static void
end_fault (struct soak *soak, const struct undo *undo)
{
  struct worker *worker = undo->worker;

  switch (undo->kind)
    {
    case UNDO_RELAY:
      control (soak, undo->relay->control_port,
               "{\"closed\":false,\"drop\":false,\"delay_ms\":0}");
      return;
    case UNDO_PAUSE:
      kill (undo->pid, SIGCONT);
      return;
    case UNDO_WORKER_DOWN:
      end_worker (soak, worker);
      worker->identity += (uint32_t)g_rand_int_range (soak->rand, 0, 2);
      start_worker (soak, worker);
      return;
    }
}

static void
end_faults (struct soak *soak, bool all)
{
  for (guint i = soak->undos->len; i-- > 0;)
    {
      struct undo undo = g_array_index (soak->undos, struct undo, i);

      if (!all && undo.at_us > g_get_monotonic_time ())
        continue;
      g_array_remove_index_fast (soak->undos, i);
      end_fault (soak, &undo);
    }
}

/* Checks. */

static void
check_runs (struct soak *soak, uint32_t seed)
{
  g_autofree char *violation = NULL;

  g_mutex_lock (&soak->mutex);
  violation = soak_runs_check (soak->runs, soak->rejected);
  g_mutex_unlock (&soak->mutex);
  ck_assert_msg (violation == NULL, "seed %u: %s, logs in %s", seed, violation,
                 soak->folder);
}

/* Returns the number of accepted jobs that are not shown as completed. */
static uint32_t
count_open (struct soak *soak, uint32_t seed)
{
  uint32_t open = 0;

  for (guint i = 0; i < soak->accepted->len; i++)
    {
      const char *id = soak->accepted->pdata[i];
      g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/a/%s",
                                              soak->instances[0].port, id);
      g_autofree char *answer = NULL;
      guint status = call (soak->session, "GET", url, NULL, &answer);

      ck_assert_msg (
          status != 410
              && (answer == NULL || strstr (answer, "failed") == NULL),
          "seed %u: accepted job %s: %u %s, logs in %s", seed, id, status,
          answer, soak->folder);
      open += status != 200 || strstr (answer, "completed") == NULL;
    }
  return open;
}

/* Guards against tasks that run twice at the same time or again after an end
 * that was acknowledged, rejected jobs that run, and accepted jobs that are
 * lost, beside any of the faults above. */
START_TEST (accepted_jobs_finish_once)
{
  uint32_t seed = setting ("GR_SOAK_SEED", 1);
  uint32_t ticks =
      setting ("GR_SOAK_S", 45) * (uint32_t)(G_USEC_PER_SEC / TICK_US);
  struct soak soak;
  struct client clients[CLIENTS];
  GThread *threads[CLIENTS];
  uint32_t open = 1;

  soak_create (&soak, seed);
  g_usleep (2UL * G_USEC_PER_SEC);
  for (uint32_t i = 0; i < CLIENTS; i++)
    {
      clients[i] =
          (struct client){ &soak, g_rand_new_with_seed (seed * CLIENTS + i) };
      threads[i] = g_thread_new ("client", run_client, &clients[i]);
    }
  for (uint32_t i = 0; i < ticks; i++)
    {
      if (g_rand_double (soak.rand) < FAULT_CHANCE)
        inject_faults (&soak);
      end_faults (&soak, false);
      if (i % CHECK_TICKS == 0)
        check_runs (&soak, seed);
      g_usleep (TICK_US);
    }
  end_faults (&soak, true);
  g_atomic_int_set (&soak.stopping, 1);
  for (uint32_t i = 0; i < CLIENTS; i++)
    {
      g_thread_join (threads[i]);
      g_rand_free (clients[i].rand);
    }
  for (int i = 0; i < SETTLE_S && open > 0; i++)
    {
      g_usleep (G_USEC_PER_SEC);
      open = count_open (&soak, seed);
    }
  check_runs (&soak, seed);
  ck_assert_msg (open == 0, "seed %u: %u of %u accepted jobs open, logs in %s",
                 seed, open, soak.accepted->len, soak.folder);
  ck_assert_uint_gt (soak.accepted->len, 0);
  printf ("seed %u: %u jobs accepted, %u rejected, %u runs of %u tasks\n", seed,
          soak.accepted->len, soak.rejected->len, soak_runs_count (soak.runs),
          soak_runs_tasks (soak.runs));
  soak_destroy (&soak);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("soak-platform");
  TCase *tests = tcase_create ("soak");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 900);
  tcase_add_test (tests, accepted_jobs_finish_once);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
