#include "tests/soak-cluster.h"

#include "http/json.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define WORKERS_PER_RACK 4 /* the racks are in the zones in turn */
#define STANDIN "standins/geraniumrack-standin"
#define OWN_HOST "127.0.0.1"

#define FIRST_PORT 10000
#define N_PORTS 1000 /* of a cluster */
#define PORT_RANGES 20

uint32_t
soak_setting (const char *name, uint32_t fallback)
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

uint32_t
soak_count_events (const struct soak_cluster *cluster, const char *event)
{
  g_autofree char *wanted = g_strdup_printf ("\"event\":\"%s\"", event);
  uint32_t n = 0;

  for (uint32_t i = 0; i < cluster->n_instances; i++)
    {
      g_autofree char *file =
          g_strdup_printf ("%s/i%u.log", cluster->folder, i);
      g_autofree char *text = NULL;

      if (!g_file_get_contents (file, &text, NULL, NULL))
        continue;
      for (const char *at = strstr (text, wanted); at != NULL;
           at = strstr (at + 1, wanted))
        n++;
    }
  return n;
}

void
soak_kill (pid_t pid)
{
  if (pid == 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static char *
address (const char *host, guint port)
{
  return g_strdup_printf ("%s:%u", host, port);
}

static void
set_path (struct soak_path *path, uint32_t zone, guint port, guint control_port)
{
  g_snprintf (path->host, sizeof path->host, "127.0.0.%u", zone + 2);
  path->port = port;
  path->control_port = control_port;
}

/* Starts a process with relays for the path and for n - 1 more, on the ports
 * that follow its ports. */
static void
start_relays (struct soak_cluster *cluster,
              const struct soak_path *path,
              guint target_port,
              uint32_t n)
{
  g_autofree char *file =
      g_build_filename (cluster->folder, "relays.log", NULL);
  g_autofree char *listen = address (path->host, path->port);
  g_autofree char *control = address (path->host, path->control_port);
  g_autofree char *target = address (OWN_HOST, target_port);
  g_autofree char *paths = g_strdup_printf ("%u", n);
  pid_t pid = start_process (
      file, STANDIN,
      (const char *const[]){ "relay", "--listen", listen, "--control", control,
                             "--target", target, "--paths", paths, NULL });

  g_array_append_val (cluster->relays, pid);
}

static void
start_relay (struct soak_cluster *cluster,
             struct soak_path *path,
             uint32_t zone,
             guint target_port)
{
  set_path (path, zone, cluster->next_port, cluster->next_port + 1);
  cluster->next_port += 2;
  start_relays (cluster, path, target_port, 1);
}

guint
soak_call (SoupSession *session,
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
  soup_message_headers_replace (soup_message_get_request_headers (message),
                                "Authorization", "Bearer " SOAK_KEY);
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

guint
soak_control (struct soak_cluster *cluster,
              const char *host,
              guint port,
              const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s:%u/control", host, port);

  return soak_call (cluster->session, "POST", url, body, NULL);
}

void
soak_put (struct soak_cluster *cluster, const char *key, const char *text)
{
  g_autofree char *escaped = g_strescape (text, NULL);
  g_autofree char *body = g_strdup_printf (
      "{\"put\":{\"key\":\"%s\",\"text\":\"%s\"}}", key, escaped);

  soak_control (cluster, OWN_HOST, cluster->store_port, body);
}

void
soak_find_owner (struct soak_cluster *cluster)
{
  g_autofree char *url = g_strdup_printf (
      "http://" OWN_HOST ":%u/v1/kv-key?key=gr/owner", cluster->store_port);
  g_autofree char *answer = NULL;
  g_autofree char *value = NULL;
  g_autoptr (JsonParser) parser = json_parser_new ();
  gsize size;
  uint32_t owner;
  uint32_t epoch;

  if (soak_call (cluster->session, "GET", url, NULL, &answer) != 200
      || !json_parser_load_from_data (parser, answer, -1, NULL))
    return;
  value = (char *)g_base64_decode (
      gr_json_peek_string (json_node_get_object (json_parser_get_root (parser)),
                           "value"),
      &size);
  if (sscanf (value, "i%u %u", &owner, &epoch) != 2
      || owner >= cluster->n_instances)
    return;
  cluster->owner = owner;
  soak_runs_set_owner (cluster->runs, epoch, owner,
                       cluster->instances[owner].zone);
}

void
soak_start_worker (struct soak_cluster *cluster, struct soak_worker *worker)
{
  uint32_t number = (uint32_t)(worker - cluster->workers);
  g_autofree char *file = g_strdup_printf ("%s/w%u-%u.events", cluster->folder,
                                           number, worker->life);
  g_autofree char *name =
      g_strdup_printf ("i-%04u-%u", number, worker->identity);
  g_autofree char *number_text = g_strdup_printf ("%u", number);
  g_autofree char *per_rack = g_strdup_printf ("%u", WORKERS_PER_RACK);
  g_autofree char *listen = address (OWN_HOST, worker->port);
  const struct soak_path *store_path = &cluster->worker_store[worker->zone];
  g_autofree char *store = address (store_path->host, store_path->port);

  worker->life++;
  worker->pid = start_process (file, STANDIN,
                               (const char *const[]){ "platform-worker",
                                                      "--name",
                                                      name,
                                                      "--number",
                                                      number_text,
                                                      "--listen",
                                                      listen,
                                                      "--advertised",
                                                      listen,
                                                      "--target",
                                                      store,
                                                      "--per-rack",
                                                      per_rack,
                                                      "--accelerators",
                                                      "8",
                                                      "--cores",
                                                      "128",
                                                      "--memory-mb",
                                                      "256000",
                                                      NULL });
  soak_runs_add_file (cluster->runs, file, worker->zone);
}

void
soak_end_worker (struct soak_cluster *cluster, struct soak_worker *worker)
{
  int64_t now_us = g_get_monotonic_time ();

  if (worker->pid == 0)
    return;
  soak_kill (worker->pid);
  worker->pid = 0;
  soak_runs_end_file (cluster->runs, (uint32_t)(worker - cluster->workers),
                      worker->life - 1, now_us);
}

void
soak_start_instance (struct soak_cluster *cluster,
                     struct soak_instance *instance)
{
  uint32_t number = (uint32_t)(instance - cluster->instances);
  g_autofree char *file =
      g_strdup_printf ("%s/i%u.ini", cluster->folder, number);
  g_autofree char *log =
      g_strdup_printf ("%s/i%u.log", cluster->folder, number);
  const struct soak_path *advice = &cluster->advice_paths[instance->zone];
  g_autofree char *text = g_strdup_printf (
      "[instance]\nname = i%u\ndata_centre = dc%u\n"
      "client_address = " OWN_HOST ":%u\nready_address = " OWN_HOST ":%u\n"
      "metrics_address = " OWN_HOST ":%u\n[learning]\nrun_times = on\n"
      "speeds = on\n[platform]\nstore_address = %s:%u\n"
      "advice_address = %s:%u\n",
      number, instance->zone + 1, instance->port, instance->port + 1,
      instance->port + 2, instance->store.host, instance->store.port,
      advice->host, advice->port);

  ck_assert (g_file_set_contents (file, text, -1, NULL));
  instance->pid =
      start_process (log, "instance/geraniumrack-instance",
                     (const char *const[]){ "--settings", file, NULL });
}

static void
start_store (struct soak_cluster *cluster)
{
  g_autofree char *listen = NULL;
  g_autofree char *log = g_build_filename (cluster->folder, "store.log", NULL);

  cluster->store_port = cluster->next_port++;
  listen = address (OWN_HOST, cluster->store_port);
  cluster->store =
      start_process (log, STANDIN,
                     (const char *const[]){ "platform", "--listen", listen,
                                            "--workers", "0", NULL });
  for (uint32_t zone = 0; zone < SOAK_ZONES; zone++)
    start_relay (cluster, &cluster->worker_store[zone], zone,
                 cluster->store_port);
  for (int i = 0; i < 50; i++)
    {
      g_usleep (G_USEC_PER_SEC / 10);
      if (soak_control (cluster, OWN_HOST, cluster->store_port, "{}") == 200)
        return;
    }
  ck_abort_msg ("the store does not answer");
}

void
soak_set_advice (struct soak_cluster *cluster,
                 uint32_t decide_ms,
                 uint32_t each_ms,
                 uint32_t allowed_percent)
{
  g_autofree char *body = g_strdup_printf (
      "{\"decide_ms\":%u,\"each_ms\":%u,\"allowed_percent\":%u}", decide_ms,
      each_ms, allowed_percent);

  soak_control (cluster, OWN_HOST, cluster->advice_port, body);
}

static void
start_advice (struct soak_cluster *cluster)
{
  g_autofree char *listen = NULL;
  g_autofree char *log = g_build_filename (cluster->folder, "advice.log", NULL);

  cluster->advice_port = cluster->next_port++;
  listen = address (OWN_HOST, cluster->advice_port);
  cluster->advice = start_process (
      log, STANDIN,
      (const char *const[]){ "advice", "--listen", listen, NULL });
  for (uint32_t zone = 0; zone < SOAK_ZONES; zone++)
    start_relay (cluster, &cluster->advice_paths[zone], zone,
                 cluster->advice_port);
}

/* One process for each zone relays its paths to all workers, with the worker's
 * own port on the host of the zone. */
static void
start_worker_paths (struct soak_cluster *cluster)
{
  guint first = cluster->next_port;
  guint control = first + cluster->n_workers;

  cluster->next_port += 2 * cluster->n_workers;
  for (uint32_t i = 0; i < cluster->n_workers; i++)
    {
      struct soak_worker *worker = &cluster->workers[i];

      worker->port = first + i;
      worker->zone = i / WORKERS_PER_RACK % SOAK_ZONES;
      for (uint32_t zone = 0; zone < SOAK_ZONES; zone++)
        set_path (&worker->paths[zone], zone, first + i, control + i);
    }
  for (uint32_t zone = 0; zone < SOAK_ZONES; zone++)
    start_relays (cluster, &cluster->workers[0].paths[zone], first,
                  cluster->n_workers);
}

/* Takes a range of ports that no other cluster uses: its first port is kept
 * bound. The ranges are below the ports that the kernel gives to outgoing
 * connections. */
static void
reserve_ports (struct soak_cluster *cluster)
{
  uint32_t wanted = soak_setting (
      "GR_SOAK_PORT", FIRST_PORT + (uint32_t)getpid () % PORT_RANGES * N_PORTS);

  for (uint32_t i = 0; i < PORT_RANGES; i++)
    {
      uint32_t offset =
          (wanted - FIRST_PORT + i * N_PORTS) % (PORT_RANGES * N_PORTS);
      struct sockaddr_in row = { .sin_family = AF_INET,
                                 .sin_port =
                                     htons ((uint16_t)(FIRST_PORT + offset)),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

      cluster->port_guard = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      ck_assert_int_ge (cluster->port_guard, 0);
      if (bind (cluster->port_guard, (struct sockaddr *)&row, sizeof row) == 0
          && listen (cluster->port_guard, 1) == 0)
        {
          cluster->next_port = FIRST_PORT + offset + 1;
          return;
        }
      close (cluster->port_guard);
    }
  ck_abort_msg ("no range of ports is free");
}

void
soak_cluster_create (struct soak_cluster *cluster)
{
  memset (cluster, 0, sizeof *cluster);
  cluster->folder = g_dir_make_tmp ("gr-soak-XXXXXX", NULL);
  cluster->session = soup_session_new_with_options (
      "timeout", 3, "proxy-resolver", NULL, NULL);
  reserve_ports (cluster);
  cluster->relays = g_array_new (FALSE, FALSE, sizeof (pid_t));
  cluster->runs = soak_runs_create ();
  cluster->n_instances = soak_setting ("GR_SOAK_INSTANCES", 3);
  cluster->n_workers = soak_setting ("GR_SOAK_WORKERS", 12);
  cluster->instances = g_new0 (struct soak_instance, cluster->n_instances);
  cluster->workers = g_new0 (struct soak_worker, cluster->n_workers);
  start_store (cluster);
  start_advice (cluster);
  start_worker_paths (cluster);
  for (uint32_t i = 0; i < cluster->n_instances; i++)
    {
      struct soak_instance *instance = &cluster->instances[i];

      instance->zone = i % SOAK_ZONES;
      instance->port = cluster->next_port;
      cluster->next_port += 3;
      start_relay (cluster, &instance->clients, instance->zone, instance->port);
      start_relay (cluster, &instance->store, instance->zone,
                   cluster->store_port);
    }
  g_usleep (G_USEC_PER_SEC / 2);
  for (uint32_t i = 0; i < cluster->n_workers; i++)
    soak_start_worker (cluster, &cluster->workers[i]);
  for (uint32_t i = 0; i < cluster->n_instances; i++)
    soak_start_instance (cluster, &cluster->instances[i]);
}

void
soak_cluster_destroy (struct soak_cluster *cluster)
{
  for (uint32_t i = 0; i < cluster->n_workers; i++)
    soak_kill (cluster->workers[i].pid);
  for (uint32_t i = 0; i < cluster->n_instances; i++)
    soak_kill (cluster->instances[i].pid);
  for (guint i = 0; i < cluster->relays->len; i++)
    soak_kill (g_array_index (cluster->relays, pid_t, i));
  soak_kill (cluster->store);
  soak_kill (cluster->advice);
  close (cluster->port_guard);
  soak_runs_destroy (cluster->runs);
  g_array_unref (cluster->relays);
  g_object_unref (cluster->session);
  g_free (cluster->instances);
  g_free (cluster->workers);
  g_free (cluster->folder);
}
