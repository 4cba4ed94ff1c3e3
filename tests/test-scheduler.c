/* Tests of scheduler processes in one main context, against stand-ins of the
 * key-value service, the instance list and the workers. */
#include "common/log.h"
#include "kv/kv.h"
#include "rpc/job-codec.h"
#include "rpc/rpc.h"
#include "scheduler/scheduler.h"
#include "standins/instances.h"
#include "standins/kv.h"
#include "standins/register.h"
#include "standins/worker.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS 20000
#define N_WORKERS 2

static const char platform_text[] = "[shards]\n"
                                    "names = dc1\n"
                                    "owner_lease_ttl_s = 3\n"
                                    "start_lease_term_ms = 3000\n"
                                    "run_lease_term_ms = 9000\n"
                                    "tick_ms = 20\n";
/* Work that is not idempotent runs only inside a guarantee. */
static const char team_text[] = "[account]\n"
                                "priority = normal\n"
                                "[guarantee \"all\"]\n"
                                "workers = 2\n"
                                "accelerators_per_worker = 8\n"
                                "data_centre = dc1\n"
                                "count = 1\n";

struct scheduler_instance
{
  struct gr_scheduler *scheduler;
  struct gr_registration *registration;
  struct gr_rpc_client *client;
  bool stopped;
};

struct fixture
{
  struct gr_standin_kv *store;
  struct gr_standin_instances *instances;
  struct gr_standin_worker *workers[N_WORKERS];
  struct gr_clock *clock;
  struct gr_counters *counters;
  struct gr_kv *kv;
  char *kv_url;
  char *instances_url;
  struct scheduler_instance schedulers[2];
};

/* Result of an RPC call. */
struct answer
{
  bool done;
  enum gr_error_kind kind;
  int64_t retry_after_ms;
  enum gr_job_state state;
  uint32_t attempt;
  char next[GR_ID_MAX];
  size_t jobs;
  int64_t running;
  size_t workers;
};

static struct fixture *fixture;

static gboolean
set_flag (gpointer data)
{
  bool *flag = data;

  *flag = true;
  return G_SOURCE_REMOVE;
}

static void
run_for (guint ms)
{
  bool over = false;

  g_timeout_add (ms, set_flag, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

static void
read_answer_body (const msgpack_object *body, struct answer *answer)
{
  char *state = gr_unpack_string (body, "state");
  char *next = gr_unpack_string (body, "next");

  if (state == NULL || !gr_job_state_from_name (state, &answer->state))
    answer->state = GR_JOB_ACCEPTED;
  g_strlcpy (answer->next, next != NULL ? next : "", sizeof answer->next);
  answer->attempt = (uint32_t)gr_unpack_int (body, "attempt", 0);
  answer->running = gr_unpack_int (body, "jobs_running", -1);
  gr_unpack_array (body, "jobs", &answer->jobs);
  gr_unpack_array (body, "workers", &answer->workers);
  g_free (state);
  g_free (next);
}

static void
record_answer (const msgpack_object *body,
               const struct gr_error *error,
               void *context)
{
  struct answer *answer = context;

  answer->done = true;
  answer->kind = error != NULL ? error->kind : GR_ERROR_NONE;
  answer->retry_after_ms = error != NULL ? error->retry_after_ms : 0;
  if (body != NULL)
    read_answer_body (body, answer);
}

/* Sends a request and waits for its result. Destroys body. */
static struct answer
call (int index, const char *method, struct gr_packer *body)
{
  struct answer answer = { 0 };

  gr_rpc_call (fixture->schedulers[index].client, method, body, WAIT_MS,
               record_answer, &answer);
  gr_packer_destroy (body);
  while (!answer.done)
    g_main_context_iteration (NULL, TRUE);
  return answer;
}

static struct gr_packer *
body_of (const char *key, const char *text)
{
  struct gr_packer *body = gr_packer_create ();

  gr_pack_string (body, "shard", "dc1");
  if (key != NULL)
    gr_pack_string (body, key, text);
  return body;
}

static struct answer
submit (int index, const char *key, uint32_t workers, bool idempotent, int run)
{
  struct gr_packer *body = gr_packer_create ();
  struct gr_job_spec spec = { .priority = GR_PRIORITY_NORMAL };

  g_strlcpy (spec.account, "team", sizeof spec.account);
  g_strlcpy (spec.key, key, sizeof spec.key);
  spec.shape.workers = workers;
  spec.shape.accelerators_per_worker = 8;
  spec.run_ms = run;
  spec.idempotent = idempotent;
  spec.checkpointable = idempotent;
  spec.spec = g_strdup_printf ("run_ms=%d", run);
  gr_pack_string (body, "shard", "dc1");
  gr_pack_int (body, "timeout_ms", 1500);
  gr_pack_job_spec (body, &spec);
  gr_job_spec_clear (&spec);
  return call (index, "job.submit", body);
}

static struct answer
show (int index, const char *job)
{
  return call (index, "job.show", body_of ("job", job));
}

static struct answer
status (int index)
{
  return call (index, "shard.status", body_of (NULL, NULL));
}

static void
wait_for_state (int index, const char *job, enum gr_job_state state)
{
  bool late = false;
  guint timer = g_timeout_add (WAIT_MS, set_flag, &late);
  struct answer answer;

  do
    {
      run_for (50);
      answer = show (index, job);
    }
  while (!late && (answer.kind != GR_ERROR_NONE || answer.state != state));
  ck_assert_msg (!late, "timed out: job %s is %s, expected %s", job,
                 gr_job_state_name (answer.state), gr_job_state_name (state));
  g_source_remove (timer);
}

static void
wait_for_owner (int index)
{
  bool late = false;
  guint timer = g_timeout_add (WAIT_MS, set_flag, &late);
  struct answer answer;

  do
    {
      run_for (50);
      answer = status (index);
    }
  while (!late && (answer.kind != GR_ERROR_NONE || answer.workers < N_WORKERS));
  ck_assert_msg (!late, "timed out: no owner with all workers");
  g_source_remove (timer);
}

/* Number of task starts on all workers. */
static int64_t
count_starts (void)
{
  int64_t sum = 0;

  for (int i = 0; i < N_WORKERS; i++)
    sum += gr_standin_call_count (gr_standin_worker_base (fixture->workers[i]),
                                  "/v1/tasks");
  return sum;
}

static void
on_stopped (void *context)
{
  ((struct scheduler_instance *)context)->stopped = true;
}

static void
start_scheduler_instance (int index, const char *instance)
{
  struct scheduler_instance *sched = &fixture->schedulers[index];
  struct gr_error error = GR_ERROR_INIT;
  struct gr_process_settings settings = {
    .instance = (char *)instance,
    .data_centre = (char *)"dc1",
    .rpc_address = (char *)"127.0.0.1:0",
    .kv_url = fixture->kv_url,
    .instances_url = fixture->instances_url,
    .kv_writes_per_s = 1000,
    .kv_reads_per_s = 1000,
    .kv_timeout_ms = 500,
  };

  sched->scheduler = gr_scheduler_create (
      &settings, fixture->clock, fixture->counters, on_stopped, sched, &error);
  ck_assert_msg (sched->scheduler != NULL, "%s", error.message);
  sched->client =
      gr_rpc_client_create (gr_scheduler_address (sched->scheduler));
  sched->registration =
      gr_registration_create (fixture->instances_url, instance, "scheduler",
                              "dc1", gr_scheduler_address (sched->scheduler));
}

/* Ends the instance as a crash would: the owner key remains. */
static void
crash_scheduler_instance (int index)
{
  struct scheduler_instance *sched = &fixture->schedulers[index];

  g_clear_pointer (&sched->registration, gr_registration_destroy);
  g_clear_pointer (&sched->client, gr_rpc_client_destroy);
  g_clear_pointer (&sched->scheduler, gr_scheduler_destroy);
}

static void
settings_written (const struct gr_kv_result *result,
                  const struct gr_error *error,
                  void *context)
{
  bool *done = context;

  ck_assert_ptr_null (error);
  ck_assert (result->succeeded);
  *done = true;
}

static void
put_settings (const char *path, const char *text)
{
  char *key = g_strconcat ("/geraniumrack/settings/", path, NULL);
  struct gr_kv_txn *txn = gr_kv_txn_create ();
  bool done = false;

  gr_kv_txn_put (txn, key, text, strlen (text), 0);
  gr_kv_commit (fixture->kv, "test", txn, 5000, settings_written, &done);
  while (!done)
    g_main_context_iteration (NULL, TRUE);
  g_free (key);
}

static void
start_worker (int index)
{
  char *name = g_strdup_printf ("worker-%d", index);
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_worker_settings settings = {
    .name = name,
    .rack = "rack-1",
    .rack_slot = (uint32_t)index,
    .data_centre = "dc1",
    .accelerators = 8,
    .cores = 60,
    .memory_mb = 250000,
    .instances_url = fixture->instances_url,
  };

  fixture->workers[index] =
      gr_standin_worker_create ("127.0.0.1:0", &settings, &error);
  ck_assert_msg (fixture->workers[index] != NULL, "%s", error.message);
  g_free (name);
}

static void
set_up (void)
{
  struct gr_error error = GR_ERROR_INIT;

  gr_log_set_level (g_getenv ("GR_TEST_LOG") != NULL ? G_LOG_LEVEL_INFO
                                                     : G_LOG_LEVEL_CRITICAL);
  fixture = g_new0 (struct fixture, 1);
  fixture->clock = gr_clock_create ();
  fixture->counters = gr_counters_create ();
  fixture->store = gr_standin_kv_create ("127.0.0.1:0", &error);
  fixture->instances = gr_standin_instances_create ("127.0.0.1:0", &error);
  fixture->kv_url = g_strconcat (
      "http://", gr_standin_address (gr_standin_kv_base (fixture->store)),
      NULL);
  fixture->instances_url = g_strconcat (
      "http://",
      gr_standin_address (gr_standin_instances_base (fixture->instances)),
      NULL);
  fixture->kv = gr_kv_create (fixture->kv_url, 1000, 1000, fixture->counters);
  for (int i = 0; i < N_WORKERS; i++)
    start_worker (i);
  put_settings ("platform", platform_text);
  put_settings ("teams/team", team_text);
  start_scheduler_instance (0, "scheduler-1");
  wait_for_owner (0);
}

static void
tear_down (void)
{
  crash_scheduler_instance (0);
  crash_scheduler_instance (1);
  for (int i = 0; i < N_WORKERS; i++)
    gr_standin_worker_destroy (fixture->workers[i]);
  gr_kv_destroy (fixture->kv);
  gr_standin_instances_destroy (fixture->instances);
  gr_standin_kv_destroy (fixture->store);
  gr_counters_destroy (fixture->counters);
  gr_clock_destroy (fixture->clock);
  g_free (fixture->kv_url);
  g_free (fixture->instances_url);
  g_clear_pointer (&fixture, g_free);
}

/* Guards against submissions that are answered before they are in the store,
 * and against accepted jobs that do not finish. */
START_TEST (accepted_jobs_are_durable_and_run)
{
  struct answer answer = submit (0, "a", 2, true, 300);

  ck_assert_int_eq (answer.kind, GR_ERROR_NONE);
  crash_scheduler_instance (0);
  ck_assert_int_eq (count_starts (), 0);
  start_scheduler_instance (0, "scheduler-1");
  wait_for_owner (0);
  wait_for_state (0, "dc1.team.a", GR_JOB_FINISHED);
  ck_assert_int_eq (count_starts (), 2);
  ck_assert_int_eq (submit (0, "a", 2, true, 300).state, GR_JOB_FINISHED);
  ck_assert_int_eq (submit (0, "a", 1, true, 300).kind, GR_ERROR_CONFLICT);
  ck_assert_int_eq (submit (0, "big", 3, false, 300).kind, GR_ERROR_NEVER_FITS);
  ck_assert_int_eq (submit (0, "b", 1, true, 300).kind, GR_ERROR_NONE);
  answer = call (0, "job.list", body_of ("account", "team"));
  ck_assert_uint_eq (answer.jobs, 2);
  answer = call (0, "job.list", body_of ("after", "dc1.team.a"));
  ck_assert_uint_eq (answer.jobs, 1);
  ck_assert_int_eq (show (0, "dc1.team.none").kind, GR_ERROR_NOT_FOUND);
}
END_TEST

/* Guards against starting work twice, and against ending running work, when
 * the owner restarts. */
START_TEST (restarted_owner_adopts)
{
  submit (0, "once", 1, false, 6000);
  submit (0, "again", 1, true, 6000);
  wait_for_state (0, "dc1.team.once", GR_JOB_RUNNING);
  wait_for_state (0, "dc1.team.again", GR_JOB_RUNNING);
  crash_scheduler_instance (0);
  start_scheduler_instance (0, "scheduler-1");
  run_for (500);
  ck_assert_int_eq (status (0).kind, GR_ERROR_NO_OWNER);
  ck_assert_int_gt (status (0).retry_after_ms, 0);
  wait_for_owner (0);
  wait_for_state (0, "dc1.team.once", GR_JOB_FINISHED);
  wait_for_state (0, "dc1.team.again", GR_JOB_FINISHED);
  ck_assert_int_eq (show (0, "dc1.team.once").attempt, 1);
  ck_assert_int_eq (show (0, "dc1.team.again").attempt, 1);
  ck_assert_int_eq (count_starts (), 2);
}
END_TEST

/* Guards against a second start of work that is not idempotent when its worker
 * restarts while the shard has no owner. */
START_TEST (lost_work_may_have_run)
{
  struct gr_standin_worker *worker;

  submit (0, "once", 2, false, 15000);
  wait_for_state (0, "dc1.team.once", GR_JOB_RUNNING);
  crash_scheduler_instance (0);
  worker = fixture->workers[0];
  fixture->workers[0] = NULL;
  gr_standin_worker_destroy (worker);
  start_worker (0);
  start_scheduler_instance (0, "scheduler-1");
  wait_for_owner (0);
  wait_for_state (0, "dc1.team.once", GR_JOB_MAY_HAVE_RUN);
  run_for (500);
  ck_assert_int_eq (count_starts (), 1);
}
END_TEST

/* Guards against wrong rejections, and against ending running work, in a store
 * outage that lasts longer than the lease of the owner. */
START_TEST (store_outage)
{
  struct gr_standin_faults *faults =
      gr_standin_faults (gr_standin_kv_base (fixture->store));
  struct answer answer;

  submit (0, "long", 2, false, 7000);
  wait_for_state (0, "dc1.team.long", GR_JOB_RUNNING);
  run_for (300); /* wait until this state is durable */
  faults->down = 1;
  /* The first submission may be sent before the outage is detected. */
  answer = submit (0, "early", 1, true, 100);
  ck_assert (answer.kind == GR_ERROR_STORE_UNAVAILABLE
             || answer.kind == GR_ERROR_UNCONFIRMED);
  run_for (2500);
  answer = submit (0, "refused", 1, true, 100);
  ck_assert_int_eq (answer.kind, GR_ERROR_STORE_UNAVAILABLE);
  ck_assert_int_gt (answer.retry_after_ms, 0);
  ck_assert_int_eq (show (0, "dc1.team.refused").kind, GR_ERROR_NOT_FOUND);
  ck_assert_int_eq (show (0, "dc1.team.long").state, GR_JOB_RUNNING);
  faults->down = 0;
  wait_for_state (0, "dc1.team.long", GR_JOB_FINISHED);
  ck_assert_int_eq (show (0, "dc1.team.long").attempt, 1);
  answer = submit (0, "refused", 1, true, 100);
  ck_assert_int_eq (answer.kind, GR_ERROR_NONE);
  wait_for_state (0, "dc1.team.refused", GR_JOB_FINISHED);
}
END_TEST

/* Guards against cancellations that are acknowledged and then lost when the
 * owner crashes. */
START_TEST (cancel_is_durable)
{
  submit (0, "long", 2, true, 60000);
  wait_for_state (0, "dc1.team.long", GR_JOB_RUNNING);
  submit (0, "waiting", 1, true, 60000);
  ck_assert_int_eq (
      call (0, "job.cancel", body_of ("job", "dc1.team.long")).kind,
      GR_ERROR_NONE);
  crash_scheduler_instance (0);
  start_scheduler_instance (0, "scheduler-1");
  wait_for_owner (0);
  wait_for_state (0, "dc1.team.long", GR_JOB_CANCELLED);
  wait_for_state (0, "dc1.team.waiting", GR_JOB_RUNNING);
  ck_assert_int_eq (
      call (0, "job.cancel", body_of ("job", "dc1.team.none")).kind,
      GR_ERROR_NOT_FOUND);
}
END_TEST

/* Guards against a drain (round 0) or a graceful stop (round 1) that ends
 * running work or leaves the shard without an owner until a lease expires. */
START_TEST (drained_shard_moves)
{
  int64_t before_us;

  submit (0, "long", 2, false, 4000);
  wait_for_state (0, "dc1.team.long", GR_JOB_RUNNING);
  start_scheduler_instance (1, "scheduler-2");
  run_for (1500);
  before_us = g_get_monotonic_time ();
  if (_i == 0)
    ck_assert_int_eq (call (0, "shard.drain", body_of (NULL, NULL)).kind,
                      GR_ERROR_NONE);
  else
    {
      gr_scheduler_stop (fixture->schedulers[0].scheduler);
      while (!fixture->schedulers[0].stopped)
        g_main_context_iteration (NULL, TRUE);
    }
  ck_assert_int_eq (submit (0, "x", 1, true, 100).kind, GR_ERROR_NO_OWNER);
  wait_for_owner (1);
  wait_for_state (1, "dc1.team.long", GR_JOB_FINISHED);
  ck_assert_int_eq (show (1, "dc1.team.long").attempt, 1);
  ck_assert_int_eq (count_starts (), 2);
  ck_assert_int_gt (g_get_monotonic_time (), before_us);
}
END_TEST

/* Guards against pushed settings that are applied out of order or without
 * validation. */
START_TEST (pushed_settings_are_applied_in_order)
{
  struct gr_packer *body = gr_packer_create ();
  struct answer answer;

  gr_pack_string (body, "path", "teams/other");
  gr_pack_string (body, "document", "[account]\npriority = silly\n");
  gr_pack_int (body, "revision", 1000);
  answer = call (0, "settings.push", body);
  ck_assert_int_eq (answer.kind, GR_ERROR_BAD_SETTINGS);
  body = gr_packer_create ();
  gr_pack_string (body, "path", "teams/team");
  gr_pack_string (body, "document", "");
  gr_pack_int (body, "revision", 1000);
  ck_assert_int_eq (call (0, "settings.push", body).kind, GR_ERROR_NONE);
  answer = submit (0, "gone", 1, true, 100);
  ck_assert_int_eq (answer.kind, GR_ERROR_UNKNOWN_ACCOUNT);
  body = gr_packer_create ();
  gr_pack_string (body, "path", "teams/team");
  gr_pack_string (body, "document", team_text);
  gr_pack_int (body, "revision", 999);
  ck_assert_int_eq (call (0, "settings.push", body).kind, GR_ERROR_NONE);
  answer = submit (0, "gone", 1, true, 100);
  ck_assert_int_eq (answer.kind, GR_ERROR_UNKNOWN_ACCOUNT);
}
END_TEST

/* One case per test, so that CK_RUN_CASE can select it. */
static void
add_case (Suite *suite, const char *name, const TTest *test, int rounds)
{
  TCase *tcase = tcase_create (name);

  tcase_set_timeout (tcase, 90);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, test, 0, rounds);
  suite_add_tcase (suite, tcase);
}

int
main (void)
{
  Suite *suite = suite_create ("scheduler");
  SRunner *runner = srunner_create (suite);
  int failed;

  gr_log_init ("test-scheduler", "test");
  add_case (suite, "durable", accepted_jobs_are_durable_and_run, 1);
  add_case (suite, "adopt", restarted_owner_adopts, 1);
  add_case (suite, "lost", lost_work_may_have_run, 1);
  add_case (suite, "outage", store_outage, 1);
  add_case (suite, "cancel", cancel_is_durable, 1);
  add_case (suite, "drain", drained_shard_moves, 2);
  add_case (suite, "settings", pushed_settings_are_applied_in_order, 1);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
