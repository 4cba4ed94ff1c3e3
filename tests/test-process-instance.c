#include "http/json.h"

#include <check.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Soak test of instance processes against the stand-in of the users' platform.
 * Instances are killed, paused, stopped and restarted at random by a seed, data
 * centres are evacuated and restored, and the stand-in checks whether a task
 * runs twice or starts late in an evacuated data centre. GR_SOAK_SEED and
 * GR_SOAK_S set the seed and the duration in seconds. */

#define INSTANCES 3
#define WORKERS 12
#define DEFAULT_DURATION_S 12
#define JOBS_PER_S 8
#define JOBS_PER_CRASHING_JOB 40
#define SETTLE_S 40

struct fixture
{
  GRand *rand;
  SoupSession *session;
  pid_t platform;
  pid_t instances[INSTANCES];
  bool paused[INSTANCES];
  guint port;
  uint32_t accepted;
  char *folder;
  GPtrArray *ids;      /* of accepted jobs that can be completed */
  GPtrArray *crashing; /* of accepted jobs whose tasks crash their workers */
};

static char *
binary_path (const char *path)
{
  const char *build = g_getenv ("GR_BUILD_DIR");

  return g_build_filename (build ? build : "build", path, NULL);
}

static pid_t
start_process (char **args, const char *log)
{
  pid_t pid = fork ();

  ck_assert_int_ge (pid, 0);
  if (pid > 0)
    return pid;
  if (freopen (log, "a", stdout) == NULL || dup2 (1, 2) < 0)
    _exit (127);
  execv (args[0], args);
  _exit (127);
}

static void
start_instance (struct fixture *fixture, int i)
{
  g_autofree char *file = g_strdup_printf ("%s/i%d.ini", fixture->folder, i);
  g_autofree char *log = g_strdup_printf ("%s/i%d.log", fixture->folder, i);
  g_autofree char *program = binary_path ("instance/geraniumrack-instance");
  g_autofree char *text = g_strdup_printf (
      "[instance]\nname = i%d\ndata_centre = dc1\n"
      "client_address = 127.0.0.1:%u\nready_address = 127.0.0.1:%u\n"
      "metrics_address = 127.0.0.1:%u\n"
      "[learning]\nrun_times = on\nspeeds = on\n"
      "[bounds]\nevacuate_ms = 5000\n[platform]\n"
      "store_address = 127.0.0.1:%u\n",
      i, fixture->port + 10 + (guint)i * 3, fixture->port + 11 + (guint)i * 3,
      fixture->port + 12 + (guint)i * 3, fixture->port);
  char *args[] = { program, (char *)"--settings", file, NULL };

  ck_assert (g_file_set_contents (file, text, -1, NULL));
  fixture->instances[i] = start_process (args, log);
  fixture->paused[i] = false;
}

/* Sends a request. Returns the HTTP status, or 0 if there is no response. If
 * answer is not NULL, it receives a copy of the body. */
static guint
call (struct fixture *fixture,
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
  bytes = soup_session_send_and_read (fixture->session, message, NULL, NULL);
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
fixture_create (struct fixture *fixture, guint32 seed)
{
  g_autofree char *program = binary_path ("standins/geraniumrack-standin");
  g_autofree char *listen = NULL;
  g_autofree char *control = NULL;
  g_autofree char *log = NULL;
  char *args[] = { program,
                   (char *)"platform",
                   (char *)"--listen",
                   NULL,
                   (char *)"--workers",
                   (char *)G_STRINGIFY (WORKERS),
                   (char *)"--per-rack",
                   (char *)"4",
                   (char *)"--accelerators",
                   (char *)"8",
                   (char *)"--cores",
                   (char *)"128",
                   (char *)"--memory-mb",
                   (char *)"256000",
                   NULL };

  memset (fixture, 0, sizeof *fixture);
  fixture->rand = g_rand_new_with_seed (seed);
  /* Below the ports of the soak's clusters. */
  fixture->port = 2000 + (guint)(getpid () % 400) * 20;
  fixture->folder = g_dir_make_tmp ("gr-soak-XXXXXX", NULL);
  fixture->ids = g_ptr_array_new_with_free_func (g_free);
  fixture->crashing = g_ptr_array_new_with_free_func (g_free);
  fixture->session = soup_session_new_with_options (
      "timeout", 3, "proxy-resolver", NULL, NULL);
  listen = g_strdup_printf ("127.0.0.1:%u", fixture->port);
  args[3] = listen;
  log = g_build_filename (fixture->folder, "platform.log", NULL);
  fixture->platform = start_process (args, log);
  control = g_strdup_printf ("http://%s/control", listen);
  for (int i = 0; i < 50; i++)
    {
      g_usleep (G_USEC_PER_SEC / 10);
      if (call (fixture, "POST", control, config, NULL) == 200)
        break;
    }
  for (int i = 0; i < INSTANCES; i++)
    start_instance (fixture, i);
}

static void
kill_process (pid_t pid)
{
  kill (pid, SIGCONT);
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static void
fixture_destroy (struct fixture *fixture)
{
  for (int i = 0; i < INSTANCES; i++)
    kill_process (fixture->instances[i]);
  kill_process (fixture->platform);
  g_object_unref (fixture->session);
  g_ptr_array_unref (fixture->ids);
  g_ptr_array_unref (fixture->crashing);
  g_rand_free (fixture->rand);
  g_free (fixture->folder);
}

static void
submit (struct fixture *fixture)
{
  int i = g_rand_int_range (fixture->rand, 0, INSTANCES);
  char *id = g_strdup_printf ("%016x", g_rand_int (fixture->rand));
  g_autofree char *url = g_strdup_printf (
      "http://127.0.0.1:%u/a/%s", fixture->port + 10 + (guint)i * 3, id);
  bool crashes =
      g_rand_int_range (fixture->rand, 0, JOBS_PER_CRASHING_JOB) == 0;
  g_autofree char *body = g_strdup_printf (
      "{\"task-spec\":\"run_ms=%d%s\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
      "\"mem-mb\":10,\"gpu\":%d,\"estimate-ms\":500%s}]}",
      g_rand_int_range (fixture->rand, 100, 2500),
      crashes ? " crash_ms=10" : "",
      crashes ? 1 : g_rand_int_range (fixture->rand, 1, 6),
      g_rand_int_range (fixture->rand, 1, 4),
      g_rand_int_range (fixture->rand, 0, 2) == 1 ? ",\"gang\":true" : "");

  if (!fixture->paused[i] && call (fixture, "POST", url, body, NULL) == 200)
    g_ptr_array_add (crashes ? fixture->crashing : fixture->ids, id);
  else
    g_free (id);
}

static void
evacuate (struct fixture *fixture, int data_centre, bool evacuated)
{
  g_autofree char *control =
      g_strdup_printf ("http://127.0.0.1:%u/control", fixture->port);
  g_autofree char *body = g_strdup_printf (
      evacuated ? "{\"put\":{\"key\":\"op/evacuate/dc%d\",\"text\":\"\"}}"
                : "{\"remove\":\"op/evacuate/dc%d\"}",
      data_centre);

  ck_assert_uint_eq (call (fixture, "POST", control, body, NULL), 200);
}

/* Restarts a worker under its id; the registry shows it at its next
 * heartbeat. */
static void
restart_worker (struct fixture *fixture)
{
  g_autofree char *control =
      g_strdup_printf ("http://127.0.0.1:%u/control", fixture->port);
  g_autofree char *body = g_strdup_printf (
      "{\"restart\":%d}", g_rand_int_range (fixture->rand, 0, WORKERS));

  ck_assert_uint_eq (call (fixture, "POST", control, body, NULL), 200);
}

static void
inject_fault (struct fixture *fixture)
{
  int i = g_rand_int_range (fixture->rand, 0, INSTANCES);

  if (fixture->paused[i])
    {
      kill (fixture->instances[i], SIGCONT);
      fixture->paused[i] = false;
      return;
    }
  switch (g_rand_int_range (fixture->rand, 0, 4))
    {
    case 0:
      kill_process (fixture->instances[i]);
      start_instance (fixture, i);
      return;
    case 1:
      kill (fixture->instances[i], SIGSTOP);
      fixture->paused[i] = true;
      return;
    case 2:
      kill (fixture->instances[i], SIGTERM);
      waitpid (fixture->instances[i], NULL, 0);
      start_instance (fixture, i);
      return;
    default:
      kill (fixture->instances[i], SIGHUP);
      return;
    }
}

static uint32_t
count_in_state (struct fixture *fixture,
                const GPtrArray *ids,
                const char *state)
{
  uint32_t count = 0;

  for (guint i = 0; i < ids->len; i++)
    {
      g_autofree char *url =
          g_strdup_printf ("http://127.0.0.1:%u/a/%s", fixture->port + 10,
                           (char *)ids->pdata[i]);
      g_autofree char *answer = NULL;

      if (call (fixture, "GET", url, NULL, &answer) == 200
          && strstr (answer, state) != NULL)
        count++;
    }
  return count;
}

static int64_t
control_count (struct fixture *fixture, const char *name)
{
  g_autofree char *url =
      g_strdup_printf ("http://127.0.0.1:%u/control", fixture->port);
  g_autofree char *answer = NULL;
  g_autoptr (GBytes) bytes = NULL;
  struct gr_error error = { 0 };
  JsonObject *body;
  int64_t count = -1;

  ck_assert_uint_eq (call (fixture, "GET", url, NULL, &answer), 200);
  bytes = g_bytes_new (answer, strlen (answer));
  body = gr_json_parse (bytes, &error);
  ck_assert_ptr_nonnull (body);
  ck_assert (gr_json_get_int (body, name, 0, INT32_MAX, 0, &count));
  json_object_unref (body);
  return count;
}

/* Guards against accepted jobs that are lost or run twice when their owner is
 * killed, paused or stopped, also beside tasks that crash their workers and
 * workers that restart, and against starts in data centres that are evacuated.
 */
START_TEST (accepted_jobs_finish_once)
{
  const char *seed_text = g_getenv ("GR_SOAK_SEED");
  const char *duration_text = g_getenv ("GR_SOAK_S");
  guint32 seed = seed_text ? (guint32)atoi (seed_text) : 1;
  int duration_s = duration_text ? atoi (duration_text) : DEFAULT_DURATION_S;
  struct fixture fixture;
  uint32_t completed = 0;
  uint32_t failed = 0;

  fixture_create (&fixture, seed);
  g_usleep (G_USEC_PER_SEC * 3 / 2);
  for (int i = 0; i < duration_s * JOBS_PER_S; i++)
    {
      submit (&fixture);
      if (g_rand_int_range (fixture.rand, 0, JOBS_PER_S) == 0)
        inject_fault (&fixture);
      if (g_rand_int_range (fixture.rand, 0, JOBS_PER_S * 2) == 0)
        restart_worker (&fixture);
      if (g_rand_int_range (fixture.rand, 0, JOBS_PER_S * 3) == 0)
        evacuate (&fixture, g_rand_int_range (fixture.rand, 1, 4),
                  g_rand_int_range (fixture.rand, 0, 3) > 0);
      g_usleep (G_USEC_PER_SEC / JOBS_PER_S);
    }
  for (int i = 0; i < INSTANCES; i++)
    kill (fixture.instances[i], SIGCONT);
  for (int i = 1; i <= 3; i++)
    evacuate (&fixture, i, false);
  for (int i = 0;
       i < SETTLE_S
       && (completed < fixture.ids->len || failed < fixture.crashing->len);
       i++)
    {
      g_usleep (G_USEC_PER_SEC);
      completed = count_in_state (&fixture, fixture.ids, "completed");
      failed = count_in_state (&fixture, fixture.crashing, "failed");
    }
  ck_assert_msg (completed == fixture.ids->len,
                 "seed %u: %u of %u accepted jobs completed, logs in %s", seed,
                 completed, fixture.ids->len, fixture.folder);
  ck_assert_uint_gt (fixture.ids->len, 0);
  ck_assert_msg (failed == fixture.crashing->len,
                 "seed %u: %u of %u jobs that crash workers failed, logs in %s",
                 seed, failed, fixture.crashing->len, fixture.folder);
  ck_assert_msg (control_count (&fixture, "doubles") == 0,
                 "seed %u: two runs of a task overlapped, logs in %s", seed,
                 fixture.folder);
  ck_assert_msg (control_count (&fixture, "late_starts") == 0,
                 "seed %u: started in an evacuated data centre, logs in %s",
                 seed, fixture.folder);
  ck_assert_msg (control_count (&fixture, "done_twice") == 0,
                 "seed %u: a task completed twice, logs in %s", seed,
                 fixture.folder);
  fixture_destroy (&fixture);
}
END_TEST

/* Waits until the log of an instance has the event. */
static bool
is_logged (const struct fixture *fixture, int i, const char *event, int wait_s)
{
  g_autofree char *log = g_strdup_printf ("%s/i%d.log", fixture->folder, i);

  for (int left = wait_s * 10; left >= 0; left--)
    {
      g_autofree char *text = NULL;

      if (g_file_get_contents (log, &text, NULL, NULL)
          && strstr (text, event) != NULL)
        return true;
      if (left > 0)
        g_usleep (G_USEC_PER_SEC / 10);
    }
  return false;
}

/* Guards against a successor that waits for a killed owner although the process
 * that was started in its place could tell that it has ended, and against a
 * process that says so of an owner that is alive. */
START_TEST (restarted_owner_announces_that_it_has_stopped)
{
  struct fixture fixture;
  int owner = -1;
  int other;

  fixture_create (&fixture, 1);
  for (int left = 100; left > 0 && owner < 0; left--)
    for (int i = 0; i < INSTANCES; i++)
      if (is_logged (&fixture, i, "owner-acquired", 0))
        owner = i;
      else
        g_usleep (G_USEC_PER_SEC / 30);
  ck_assert_int_ge (owner, 0);
  other = (owner + 1) % INSTANCES;
  kill_process (fixture.instances[other]);
  start_instance (&fixture, other);
  ck_assert (!is_logged (&fixture, other, "owner-released", 3));
  kill_process (fixture.instances[owner]);
  start_instance (&fixture, owner);
  ck_assert_msg (is_logged (&fixture, owner, "former-lease-ended", 5),
                 "logs in %s", fixture.folder);
  ck_assert_msg (is_logged (&fixture, owner, "owner-released", 1), "logs in %s",
                 fixture.folder);
  fixture_destroy (&fixture);
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
  tcase_add_test (tests, restarted_owner_announces_that_it_has_stopped);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
