#include "http/json.h"

#include <check.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Soak of real instances against the stand-in of the users' platform: instances
 * are killed, paused, stopped and started again by a seed, and the stand-in
 * watches for tasks that run twice. GR_SOAK_SEED and GR_SOAK_S set the seed and
 * the length. */

#define INSTANCES 3
#define DEFAULT_S 12
#define JOBS_PER_S 8
#define SETTLE_S 40

struct world
{
  GRand *rand;
  SoupSession *session;
  pid_t platform;
  pid_t instances[INSTANCES];
  bool paused[INSTANCES];
  guint port;
  uint32_t accepted;
  char *folder;
  GPtrArray *ids;
};

static char *
binary (const char *path)
{
  const char *build = g_getenv ("GR_BUILD_DIR");

  return g_build_filename (build ? build : "build", path, NULL);
}

static pid_t
start (char **words, const char *log)
{
  pid_t pid = fork ();

  ck_assert_int_ge (pid, 0);
  if (pid > 0)
    return pid;
  if (freopen (log, "a", stdout) == NULL || dup2 (1, 2) < 0)
    _exit (127);
  execv (words[0], words);
  _exit (127);
}

static void
start_instance (struct world *world, int i)
{
  g_autofree char *file = g_strdup_printf ("%s/i%d.ini", world->folder, i);
  g_autofree char *log = g_strdup_printf ("%s/i%d.log", world->folder, i);
  g_autofree char *program = binary ("instance/geraniumrack-instance");
  g_autofree char *text = g_strdup_printf (
      "[instance]\nname = i%d\ndata_centre = dc1\n"
      "client_address = 127.0.0.1:%u\nready_address = 127.0.0.1:%u\n"
      "metrics_address = 127.0.0.1:%u\n[platform]\n"
      "store_address = 127.0.0.1:%u\n",
      i, world->port + 10 + (guint)i * 3, world->port + 11 + (guint)i * 3,
      world->port + 12 + (guint)i * 3, world->port);
  char *words[] = { program, (char *)"--settings", file, NULL };

  ck_assert (g_file_set_contents (file, text, -1, NULL));
  world->instances[i] = start (words, log);
  world->paused[i] = false;
}

/* Status, 0 without an answer; the body is copied if wanted. */
static guint
call (struct world *world,
      const char *method,
      const char *url,
      const char *body,
      char **answer)
{
  g_autoptr (SoupMessage) message = soup_message_new (method, url);
  GBytes *bytes;
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
  bytes = soup_session_send_and_read (world->session, message, NULL, NULL);
  if (bytes == NULL)
    return 0;
  text = g_bytes_get_data (bytes, &size);
  if (answer != NULL)
    *answer = g_strndup (text ? text : "", size);
  g_bytes_unref (bytes);
  return soup_message_get_status (message);
}

static const char config[] =
    "{\"put\":{\"key\":\"op/config\",\"text\":\"{\\\"config-version\\\":1,"
    "\\\"routes\\\":[{\\\"name\\\":\\\"q\\\",\\\"host\\\":\\\"h.example\\\","
    "\\\"prefix\\\":\\\"/a/\\\",\\\"service\\\":\\\"render\\\","
    "\\\"priority\\\":1,\\\"max-attempts\\\":3,\\\"stretch\\\":3,"
    "\\\"slo-ms\\\":1000,\\\"public\\\":true}],\\\"services\\\":[{\\\"name\\\":"
    "\\\"render\\\"}],\\\"tenants\\\":[]}\"}}";

static void
world_create (struct world *world, guint32 seed)
{
  g_autofree char *program = binary ("standins/geraniumrack-standin");
  g_autofree char *listen = NULL;
  g_autofree char *control = NULL;
  g_autofree char *log = NULL;
  char *words[] = { program,
                    (char *)"platform",
                    (char *)"--listen",
                    NULL,
                    (char *)"--workers",
                    (char *)"12",
                    (char *)"--per-rack",
                    (char *)"4",
                    (char *)"--accelerators",
                    (char *)"8",
                    (char *)"--cores",
                    (char *)"128",
                    (char *)"--memory-mb",
                    (char *)"256000",
                    NULL };

  memset (world, 0, sizeof *world);
  world->rand = g_rand_new_with_seed (seed);
  world->port = 20000 + (guint)(getpid () % 1000) * 20;
  world->folder = g_dir_make_tmp ("gr-soak-XXXXXX", NULL);
  world->ids = g_ptr_array_new_with_free_func (g_free);
  world->session = soup_session_new_with_options ("timeout", 3,
                                                  "proxy-resolver", NULL, NULL);
  listen = g_strdup_printf ("127.0.0.1:%u", world->port);
  words[3] = listen;
  log = g_build_filename (world->folder, "platform.log", NULL);
  world->platform = start (words, log);
  control = g_strdup_printf ("http://%s/control", listen);
  for (int i = 0; i < 50; i++)
    {
      g_usleep (G_USEC_PER_SEC / 10);
      if (call (world, "POST", control, config, NULL) == 200)
        break;
    }
  for (int i = 0; i < INSTANCES; i++)
    start_instance (world, i);
}

static void
end_process (pid_t pid)
{
  kill (pid, SIGCONT);
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static void
world_destroy (struct world *world)
{
  for (int i = 0; i < INSTANCES; i++)
    end_process (world->instances[i]);
  end_process (world->platform);
  g_object_unref (world->session);
  g_ptr_array_unref (world->ids);
  g_rand_free (world->rand);
  g_free (world->folder);
}

static void
submit (struct world *world)
{
  int i = g_rand_int_range (world->rand, 0, INSTANCES);
  char *id = g_strdup_printf ("%016x", g_rand_int (world->rand));
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/a/%s",
                                          world->port + 10 + (guint)i * 3, id);
  g_autofree char *body = g_strdup_printf (
      "{\"task-spec\":\"run_ms=%d\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
      "\"mem-mb\":10,\"gpu\":%d,\"estimate-ms\":500%s}]}",
      g_rand_int_range (world->rand, 100, 2500),
      g_rand_int_range (world->rand, 1, 6),
      g_rand_int_range (world->rand, 1, 4),
      g_rand_int_range (world->rand, 0, 2) == 1 ? ",\"gang\":true" : "");

  if (!world->paused[i] && call (world, "POST", url, body, NULL) == 200)
    g_ptr_array_add (world->ids, id);
  else
    g_free (id);
}

static void
disturb (struct world *world)
{
  int i = g_rand_int_range (world->rand, 0, INSTANCES);

  if (world->paused[i])
    {
      kill (world->instances[i], SIGCONT);
      world->paused[i] = false;
      return;
    }
  switch (g_rand_int_range (world->rand, 0, 4))
    {
    case 0:
      end_process (world->instances[i]);
      start_instance (world, i);
      return;
    case 1:
      kill (world->instances[i], SIGSTOP);
      world->paused[i] = true;
      return;
    case 2:
      kill (world->instances[i], SIGTERM);
      waitpid (world->instances[i], NULL, 0);
      start_instance (world, i);
      return;
    default:
      kill (world->instances[i], SIGHUP);
      return;
    }
}

static uint32_t
count_completed (struct world *world)
{
  uint32_t completed = 0;

  for (guint i = 0; i < world->ids->len; i++)
    {
      g_autofree char *url =
          g_strdup_printf ("http://127.0.0.1:%u/a/%s", world->port + 10,
                           (char *)world->ids->pdata[i]);
      g_autofree char *answer = NULL;

      if (call (world, "GET", url, NULL, &answer) == 200
          && strstr (answer, "completed") != NULL)
        completed++;
    }
  return completed;
}

static int64_t
control_count (struct world *world, const char *name)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/control", world->port);
  g_autofree char *answer = NULL;
  g_autoptr (GBytes) bytes = NULL;
  struct gr_error error = { 0 };
  JsonObject *body;
  int64_t count = -1;

  ck_assert_uint_eq (call (world, "GET", url, NULL, &answer), 200);
  bytes = g_bytes_new (answer, strlen (answer));
  body = gr_json_parse (bytes, &error);
  ck_assert_ptr_nonnull (body);
  ck_assert (gr_json_get_int (body, name, 0, INT32_MAX, 0, &count));
  json_object_unref (body);
  return count;
}

/* Accepted jobs were lost or ran twice when their owner died, was paused or was
 * stopped. */
START_TEST (accepted_jobs_finish_once)
{
  const char *seed_text = g_getenv ("GR_SOAK_SEED");
  const char *length_text = g_getenv ("GR_SOAK_S");
  guint32 seed = seed_text ? (guint32)atoi (seed_text) : 1;
  int length_s = length_text ? atoi (length_text) : DEFAULT_S;
  struct world world;
  uint32_t completed = 0;

  world_create (&world, seed);
  g_usleep (G_USEC_PER_SEC * 3 / 2);
  for (int i = 0; i < length_s * JOBS_PER_S; i++)
    {
      submit (&world);
      if (g_rand_int_range (world.rand, 0, JOBS_PER_S) == 0)
        disturb (&world);
      g_usleep (G_USEC_PER_SEC / JOBS_PER_S);
    }
  for (int i = 0; i < INSTANCES; i++)
    kill (world.instances[i], SIGCONT);
  for (int i = 0; i < SETTLE_S && completed < world.ids->len; i++)
    {
      g_usleep (G_USEC_PER_SEC);
      completed = count_completed (&world);
    }
  ck_assert_msg (completed == world.ids->len,
                 "seed %u: %u of %u accepted jobs completed, logs in %s", seed,
                 completed, world.ids->len, world.folder);
  ck_assert_uint_gt (world.ids->len, 0);
  ck_assert_msg (control_count (&world, "doubles") == 0,
                 "seed %u: a task ran twice at one time, logs in %s", seed,
                 world.folder);
  ck_assert_msg (control_count (&world, "done_twice") == 0,
                 "seed %u: a task was done twice, logs in %s", seed,
                 world.folder);
  world_destroy (&world);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("process-instance");
  TCase *tests = tcase_create ("soak");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 600);
  tcase_add_test (tests, accepted_jobs_finish_once);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
