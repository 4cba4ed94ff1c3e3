#include "tests/process-cluster.h"

#include <check.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#define START_LIMIT_MS 15000
#define POLL_MS 50

struct process
{
  char *name;
  GSubprocess *subprocess; /* NULL after the process has exited */
  char *output_path;
};

struct cluster
{
  struct cluster_options options;
  char *dir;
  GPtrArray *processes;
  GHashTable *addresses; /* "IP:PORT" by name, and by NAME/rpc and NAME/tcp */
  char *kv_url;
  char *instances_url;
};

static void
process_free (void *data)
{
  struct process *process = data;

  g_free (process->name);
  g_free (process->output_path);
  g_clear_object (&process->subprocess);
  g_free (process);
}

static struct process *
find_process (const struct cluster *cluster, const char *name)
{
  for (guint i = cluster->processes->len; i > 0; i--)
    {
      struct process *process = cluster->processes->pdata[i - 1];

      if (strcmp (process->name, name) == 0)
        return process;
    }
  ck_abort_msg ("unknown process %s", name);
  return NULL;
}

/* Returns the text after key, such as "http=", in a line of words separated by
 * spaces; NULL if no word begins with key. */
static char *
word_value (const char *line, const char *key)
{
  char **words = g_strsplit (line, " ", -1);
  size_t length = strlen (key);
  char *value = NULL;

  for (char **word = words; *word != NULL && value == NULL; word++)
    if (strncmp (*word, key, length) == 0)
      value = g_strdup (*word + length);
  g_strfreev (words);
  return value;
}

/* Stores the addresses of the complete "listening" lines in the output of the
 * process, and returns the number of these lines. */
static uint32_t
read_addresses (struct cluster *cluster, const struct process *process)
{
  char *text = NULL;
  char **lines;
  uint32_t count = 0;

  if (!g_file_get_contents (process->output_path, &text, NULL, NULL))
    return 0;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      char *http = word_value (*line, "http=");
      char *rpc = word_value (*line, "rpc=");
      char *tcp = word_value (*line, "tcp=");
      char *name = word_value (*line, "name=");

      if (g_str_has_prefix (*line, "listening ") && *(line + 1) != NULL)
        {
          count++;
          if (http != NULL)
            g_hash_table_insert (cluster->addresses,
                                 g_strdup (name ? name : process->name),
                                 g_strdup (http));
          if (rpc != NULL)
            g_hash_table_insert (cluster->addresses,
                                 g_strconcat (process->name, "/rpc", NULL),
                                 g_strdup (rpc));
          if (tcp != NULL)
            g_hash_table_insert (cluster->addresses,
                                 g_strconcat (process->name, "/tcp", NULL),
                                 g_strdup (tcp));
        }
      g_free (tcp);
      g_free (http);
      g_free (rpc);
      g_free (name);
    }
  g_strfreev (lines);
  g_free (text);
  return count;
}

/* Runs in the child process. A failing test exits without cluster_destroy (),
 * so its processes must be killed when it exits. */
static void
kill_with_parent (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* Starts a process and waits until it has printed n_lines lines with
 * addresses. */
static void
start_process (struct cluster *cluster,
               const char *name,
               const char *const *arguments,
               uint32_t n_lines)
{
  struct process *process = g_new0 (struct process, 1);
  GSubprocessLauncher *launcher =
      g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  char *log_path = g_strdup_printf ("%s/%s.log", cluster->dir, name);
  int64_t deadline_ms = g_get_monotonic_time () / 1000 + START_LIMIT_MS;

  process->name = g_strdup (name);
  process->output_path = g_strdup_printf ("%s/%s-%u.out", cluster->dir, name,
                                          cluster->processes->len);
  g_subprocess_launcher_set_stdout_file_path (launcher, process->output_path);
  g_subprocess_launcher_set_stderr_file_path (launcher, log_path);
  g_subprocess_launcher_set_child_setup (launcher, kill_with_parent, NULL,
                                         NULL);
  process->subprocess =
      g_subprocess_launcher_spawnv (launcher, arguments, NULL);
  ck_assert_msg (process->subprocess != NULL, "cannot start %s", arguments[0]);
  g_ptr_array_add (cluster->processes, process);
  while (read_addresses (cluster, process) < n_lines)
    {
      ck_assert_msg (g_get_monotonic_time () / 1000 < deadline_ms,
                     "%s did not start; see %s", name, log_path);
      g_usleep (POLL_MS * (gulong)1000);
    }
  g_object_unref (launcher);
  g_free (log_path);
}

static char *
program_path (const char *folder, const char *name)
{
  const char *build = g_getenv ("GR_BUILD_DIR");

  ck_assert_msg (build != NULL, "GR_BUILD_DIR is not set");
  return g_build_filename (build, folder, name, NULL);
}

static void
start_standin (struct cluster *cluster,
               const char *mode,
               const char *name,
               const char *count_option,
               uint32_t count)
{
  char *program = program_path ("standins", "geraniumrack-standin");
  char *count_text = g_strdup_printf ("%u", count);
  const char *arguments[24];
  int n = 0;

  arguments[n++] = program;
  arguments[n++] = mode;
  arguments[n++] = "--listen";
  arguments[n++] = "127.0.0.1:0";
  if (count_option != NULL)
    {
      arguments[n++] = "--instances-url";
      arguments[n++] = cluster->instances_url;
      arguments[n++] = "--name";
      arguments[n++] = name;
      arguments[n++] = "--data-centre";
      arguments[n++] = "dc1";
      arguments[n++] = count_option;
      arguments[n++] = count_text;
    }
  arguments[n] = NULL;
  start_process (cluster, name, arguments, count);
  g_free (program);
  g_free (count_text);
}

/* Starts a relay through which all later processes connect to the key-value
 * service. */
static void
start_relay (struct cluster *cluster)
{
  char *program = program_path ("standins", "geraniumrack-standin");
  const char *arguments[] = { program,     "relay",
                              "--listen",  "127.0.0.1:0",
                              "--control", "127.0.0.1:0",
                              "--target",  cluster_http_address (cluster, "kv"),
                              NULL };

  start_process (cluster, "relay", arguments, 1);
  g_free (cluster->kv_url);
  cluster->kv_url = g_strconcat (
      "http://", cluster_http_address (cluster, "relay/tcp"), NULL);
  g_free (program);
}

static void
register_process (struct cluster *cluster, const char *name, const char *role)
{
  char *path = g_strdup_printf ("/v1/instances/%s", name);
  char *rpc_name = g_strconcat (name, "/rpc", NULL);
  char *body = g_strdup_printf (
      "{\"name\":\"%s\",\"role\":\"%s\",\"data_centre\":\"dc1\","
      "\"address\":\"%s\",\"leaving\":false}",
      name, role,
      (const char *)g_hash_table_lookup (cluster->addresses, rpc_name));
  struct reply reply = http_call (
      "PUT", cluster_http_address (cluster, "instances"), path, NULL, body, 5);

  ck_assert_msg (reply.status / 100 == 2, "cannot register %s", name);
  reply_clear (&reply);
  g_free (path);
  g_free (rpc_name);
  g_free (body);
}

static void
start_program (struct cluster *cluster, const char *folder, const char *name)
{
  char *file = g_strdup_printf ("%s/%s.ini", cluster->dir, name);
  char *binary_name = g_strdup_printf ("geraniumrack-%s", folder);
  char *program = program_path (folder, binary_name);
  char *text = g_strdup_printf (
      "[process]\ninstance = %s\ndata_centre = dc1\nregion = test\n"
      "http_address = 127.0.0.1:0\nrpc_address = 127.0.0.1:0\n"
      "[platform]\nkv_url = %s\ninstances_url = %s\nkv_timeout_ms = 1000\n"
      "kv_writes_per_s = 200\n",
      name, cluster->kv_url, cluster->instances_url);
  const char *arguments[] = { program, "--settings", file, NULL };

  ck_assert (g_file_set_contents (file, text, -1, NULL));
  start_process (cluster, name, arguments, 1);
  register_process (cluster, name, folder);
  g_free (file);
  g_free (binary_name);
  g_free (program);
  g_free (text);
}

void
cluster_start_entry (struct cluster *cluster, const char *name)
{
  start_program (cluster, "entry", name);
}

void
cluster_start_scheduler (struct cluster *cluster, const char *name)
{
  start_program (cluster, "scheduler", name);
}

static void
put_document (struct cluster *cluster, const char *path, const char *text)
{
  char *key = g_strconcat ("/geraniumrack/settings/", path, NULL);
  char *key64 = g_base64_encode ((const guchar *)key, strlen (key));
  char *value64 = g_base64_encode ((const guchar *)text, strlen (text));
  char *body = g_strdup_printf (
      "{\"compare\":[],\"success\":[{\"request_put\":{\"key\":\"%s\","
      "\"value\":\"%s\"}}]}",
      key64, value64);
  struct reply reply = http_call ("POST", cluster_http_address (cluster, "kv"),
                                  "/v3/kv/txn", NULL, body, 5);

  ck_assert_int_eq (reply.status, 200);
  reply_clear (&reply);
  g_free (key);
  g_free (key64);
  g_free (value64);
  g_free (body);
}

static uint32_t
or_default (uint32_t value, uint32_t fallback)
{
  return value != 0 ? value : fallback;
}

static void
put_documents (struct cluster *cluster)
{
  const struct cluster_options *options = &cluster->options;
  char *platform = g_strdup_printf (
      "[members]\nentry_instances = %u\n[shards]\nnames = dc1\n"
      "owner_lease_ttl_s = %u\nstart_lease_term_ms = %u\n"
      "run_lease_term_ms = %u\n",
      options->entries, or_default (options->owner_lease_ttl_s, 3),
      or_default (options->start_lease_term_ms, 4000),
      or_default (options->run_lease_term_ms, 12000));
  /* SHA-256 of "token". */
  const char *hash =
      "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";
  char *urgent = g_strdup_printf (
      "[account]\npriority = urgent\nrate_per_s = 10000\n"
      "token_sha256 = %s\n[guarantee \"imaging\"]\nworkers = 2\n"
      "accelerators_per_worker = 8\ndata_centre = dc1\n",
      hash);
  char *batch = g_strdup_printf ("[account]\npriority = batch\n"
                                 "rate_per_s = 10\ntoken_sha256 = %s\n",
                                 hash);

  put_document (cluster, "platform", platform);
  put_document (cluster, "teams/clinics", urgent);
  put_document (cluster, "teams/overnight", batch);
  g_free (platform);
  g_free (urgent);
  g_free (batch);
}

static bool
entry_is_ready (struct cluster *cluster, const char *entry)
{
  struct reply reply = http_call ("GET", cluster_http_address (cluster, entry),
                                  "/readyz", NULL, NULL, 2);
  bool ready = reply.status == 200;

  reply_clear (&reply);
  return ready;
}

static void
wait_until_ready (struct cluster *cluster)
{
  int64_t deadline_ms = g_get_monotonic_time () / 1000 + 30000;
  char *owner;
  int64_t epoch;

  for (uint32_t i = 1; i <= cluster->options.entries; i++)
    {
      char *name = g_strdup_printf ("entry-%u", i);

      while (!entry_is_ready (cluster, name))
        {
          ck_assert_msg (g_get_monotonic_time () / 1000 < deadline_ms,
                         "%s did not become ready; see %s", name, cluster->dir);
          g_usleep (POLL_MS * (gulong)1000);
        }
      g_free (name);
    }
  for (uint32_t i = 1;
       cluster->options.schedulers > 0 && i <= cluster->options.entries; i++)
    {
      char *name = g_strdup_printf ("entry-%u", i);

      while ((owner = cluster_shard_owner (cluster, name, &epoch)) == NULL)
        {
          ck_assert_msg (g_get_monotonic_time () / 1000 < deadline_ms,
                         "%s reports no owner of shard dc1; see %s", name,
                         cluster->dir);
          g_usleep (POLL_MS * (gulong)1000);
        }
      g_free (owner);
      g_free (name);
    }
}

struct cluster *
cluster_create (const struct cluster_options *options)
{
  struct cluster *cluster = g_new0 (struct cluster, 1);

  cluster->options = *options;
  cluster->dir = g_dir_make_tmp ("geraniumrack-test-XXXXXX", NULL);
  cluster->processes = g_ptr_array_new_with_free_func (process_free);
  cluster->addresses =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  start_standin (cluster, "kv", "kv", NULL, 1);
  start_standin (cluster, "instances", "instances", NULL, 1);
  cluster->kv_url =
      g_strconcat ("http://", cluster_http_address (cluster, "kv"), NULL);
  cluster->instances_url = g_strconcat (
      "http://", cluster_http_address (cluster, "instances"), NULL);
  if (options->relay_kv)
    start_relay (cluster);
  if (options->workers > 0)
    start_standin (cluster, "worker", "worker", "--workers", options->workers);
  if (options->executors > 0)
    start_standin (cluster, "executor", "executor", "--executors",
                   options->executors);
  put_documents (cluster);
  for (uint32_t i = 1; i <= MAX (options->entries, options->schedulers); i++)
    {
      char *entry = g_strdup_printf ("entry-%u", i);
      char *scheduler = g_strdup_printf ("scheduler-%u", i);

      if (i <= options->entries)
        cluster_start_entry (cluster, entry);
      if (i <= options->schedulers)
        cluster_start_scheduler (cluster, scheduler);
      g_free (entry);
      g_free (scheduler);
    }
  wait_until_ready (cluster);
  return cluster;
}

static void
remove_dir (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *file = g_build_filename (path, name, NULL);

      g_unlink (file);
      g_free (file);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (path);
}

void
cluster_destroy (struct cluster *cluster)
{
  for (guint i = 0; i < cluster->processes->len; i++)
    {
      struct process *process = cluster->processes->pdata[i];

      if (process->subprocess != NULL)
        {
          g_subprocess_force_exit (process->subprocess);
          g_subprocess_wait (process->subprocess, NULL, NULL);
        }
    }
  if (g_getenv ("GR_KEEP_LOGS") == NULL)
    remove_dir (cluster->dir);
  else
    g_printerr ("logs in %s\n", cluster->dir);
  g_ptr_array_unref (cluster->processes);
  g_hash_table_unref (cluster->addresses);
  g_free (cluster->dir);
  g_free (cluster->kv_url);
  g_free (cluster->instances_url);
  g_free (cluster);
}

void
cluster_kill (struct cluster *cluster, const char *name)
{
  struct process *process = find_process (cluster, name);

  g_subprocess_force_exit (process->subprocess);
  g_subprocess_wait (process->subprocess, NULL, NULL);
  g_clear_object (&process->subprocess);
}

int
cluster_stop (struct cluster *cluster, const char *name, int64_t limit_ms)
{
  struct process *process = find_process (cluster, name);
  int64_t deadline_ms = g_get_monotonic_time () / 1000 + limit_ms;
  pid_t pid = (pid_t)g_ascii_strtoll (
      g_subprocess_get_identifier (process->subprocess), NULL, 10);
  GMainContext *context = g_main_context_default ();
  int status = -1;

  kill (pid, SIGTERM);
  while (g_get_monotonic_time () / 1000 < deadline_ms
         && g_subprocess_get_identifier (process->subprocess) != NULL)
    {
      g_main_context_iteration (context, FALSE);
      g_usleep (5000);
    }
  if (g_subprocess_get_identifier (process->subprocess) != NULL)
    return -1;
  g_subprocess_wait (process->subprocess, NULL, NULL);
  if (g_subprocess_get_if_exited (process->subprocess))
    status = g_subprocess_get_exit_status (process->subprocess);
  g_clear_object (&process->subprocess);
  return status;
}

void
cluster_signal (struct cluster *cluster, const char *name, int signal_number)
{
  g_subprocess_send_signal (find_process (cluster, name)->subprocess,
                            signal_number);
}

const char *
cluster_http_address (const struct cluster *cluster, const char *name)
{
  const char *address = g_hash_table_lookup (cluster->addresses, name);

  ck_assert_msg (address != NULL, "%s has no known address", name);
  return address;
}

bool
cluster_has_address (const struct cluster *cluster, const char *name)
{
  return g_hash_table_contains (cluster->addresses, name);
}

void
cluster_unregister (struct cluster *cluster, const char *name)
{
  char *path = g_strdup_printf ("/v1/instances/%s", name);
  struct reply reply =
      http_call ("DELETE", cluster_http_address (cluster, "instances"), path,
                 NULL, NULL, 5);

  reply_clear (&reply);
  g_free (path);
}

char *
cluster_shard_owner (struct cluster *cluster, const char *entry, int64_t *epoch)
{
  struct reply reply = http_call ("GET", cluster_http_address (cluster, entry),
                                  "/v1/shards", NULL, NULL, 5);
  JsonArray *items = reply.json != NULL
                         ? json_object_get_array_member (reply.json, "items")
                         : NULL;
  char *owner = NULL;

  *epoch = 0;
  if (items != NULL && json_array_get_length (items) > 0)
    {
      JsonObject *shard = json_array_get_object_element (items, 0);

      *epoch = json_object_get_int_member_with_default (shard, "epoch", 0);
      if (*epoch > 0)
        owner = g_strdup (
            json_object_get_string_member_with_default (shard, "owner", ""));
    }
  reply_clear (&reply);
  return owner;
}

void
cluster_control (struct cluster *cluster, const char *standin, const char *json)
{
  struct reply reply =
      http_call ("POST", cluster_http_address (cluster, standin), "/control",
                 NULL, json, 5);

  ck_assert_msg (reply.status == 200, "POST /control of %s returned %d: %s",
                 standin, reply.status, reply.body);
  reply_clear (&reply);
}
