/* Tests of the interface for the platform's clients, against the stand-in of
 * the platform's store. */
#include "common/log.h"
#include "http/http.h"
#include "instance/clients.h"
#include "instance/records.h"
#include "platform/job.h"
#include "standins/metastore.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_TIMEOUT_MS 10000

static const char job_id[] = "00000000000000a1";

static const char config_text[] =
    "{\"config-version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\","
    "\"prefix\":\"/a/\",\"service\":\"render\",\"priority\":1,"
    "\"max-attempts\":3,\"stretch\":3,\"slo-ms\":1000,\"public\":true}],"
    "\"services\":[{\"name\":\"render\"}],\"tenants\":[]}";

static const char job_body[] =
    "{\"task-spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100,"
    "\"mem-mb\":100,\"estimate-ms\":100}]}";

struct fixture
{
  struct gr_standin_platform *platform;
  struct gr_counters *counters;
  struct gr_clock *clock;
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  struct gr_config_view *config;
  struct gr_clients *clients;
  struct gr_instance_settings settings;
  struct gr_http *http;
  guint read_timer;
  char address[32];
  bool timed_out;
  bool answered;
  uint32_t status;
  char body[128];
};

static void
ignore_change (void *context)
{
  (void)context;
}

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static bool
is_ready (struct fixture *fixture)
{
  return gr_clients_ready (fixture->clients);
}

static bool
is_overdue (struct fixture *fixture)
{
  return gr_mirror_is_overdue (fixture->mirror);
}

static bool
is_answered (struct fixture *fixture)
{
  return fixture->answered;
}

static void
wait_until (struct fixture *fixture, bool (*condition) (struct fixture *))
{
  guint timer;

  fixture->timed_out = false;
  timer = g_timeout_add (WAIT_TIMEOUT_MS, set_flag, &fixture->timed_out);
  while (!condition (fixture) && !fixture->timed_out)
    g_main_context_iteration (NULL, TRUE);
  ck_assert (!fixture->timed_out);
  g_source_remove (timer);
}

/* The mirror and the view of the configuration pause between two watches. */
static bool
both_watches_wait (struct fixture *fixture)
{
  return gr_standin_platform_waiting_watches (fixture->platform) == 2;
}

static void
choose_address (char *address, size_t size)
{
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();
  guint16 port = g_socket_listener_add_any_inet_port (listener, NULL, NULL);

  ck_assert_uint_ne (port, 0);
  g_snprintf (address, size, "127.0.0.1:%u", port);
  g_socket_listener_close (listener);
}

static void
fixture_create (struct fixture *fixture)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_platform_settings options = { .listen = "127.0.0.1:0" };
  struct gr_mirror_events events = { 0 };
  struct gr_clients_deps deps;

  memset (fixture, 0, sizeof *fixture);
  fixture->platform = gr_standin_platform_create (&options, &error);
  ck_assert_msg (fixture->platform != NULL, "%s", error.message);
  gr_standin_platform_put (fixture->platform, "op/config", config_text);
  choose_address (fixture->address, sizeof fixture->address);
  fixture->settings.client_address = fixture->address;
  fixture->settings.revoke_ms = 5000;
  fixture->counters = gr_counters_create ();
  fixture->clock = gr_clock_create ();
  fixture->store = gr_metastore_create (
      gr_standin_address (gr_standin_platform_base (fixture->platform)),
      fixture->counters);
  fixture->mirror = gr_mirror_create (fixture->store, fixture->clock, &events);
  fixture->config = gr_config_view_create (fixture->store, fixture->clock,
                                           ignore_change, NULL);
  fixture->http = gr_http_create (4);
  deps = (struct gr_clients_deps){
    .store = fixture->store,
    .mirror = fixture->mirror,
    .config = fixture->config,
    .clock = fixture->clock,
    .counters = fixture->counters,
    .settings = &fixture->settings,
  };
  fixture->clients = gr_clients_create (&deps, &error);
  ck_assert_msg (fixture->clients != NULL, "%s", error.message);
  wait_until (fixture, is_ready);
}

static void
fixture_destroy (struct fixture *fixture)
{
  if (fixture->read_timer != 0)
    g_source_remove (fixture->read_timer);
  gr_http_destroy (fixture->http);
  gr_clients_destroy (fixture->clients);
  gr_metastore_destroy (fixture->store);
  gr_config_view_destroy (fixture->config);
  gr_mirror_destroy (fixture->mirror);
  gr_clock_destroy (fixture->clock);
  gr_counters_destroy (fixture->counters);
  gr_standin_platform_destroy (fixture->platform);
}

static void
response_done (const struct gr_http_response *response,
               const struct gr_error *error,
               void *context)
{
  struct fixture *fixture = context;
  gsize size = 0;
  const char *body;

  ck_assert_msg (error == NULL, "%s", error ? error->message : "");
  body = g_bytes_get_data (response->body, &size);
  fixture->answered = true;
  fixture->status = response->status;
  g_snprintf (fixture->body, sizeof fixture->body, "%.*s", (int)size,
              body ? body : "");
}

static void
send_call (struct fixture *fixture, const char *method, const char *body)
{
  g_autofree char *url =
      g_strdup_printf ("http://%s/a/%s", fixture->address, job_id);
  g_autoptr (GBytes) bytes = body ? g_bytes_new (body, strlen (body)) : NULL;
  const char *headers[] = { "Host", "h.example", "Authorization", "Bearer k",
                            NULL };
  struct gr_http_request request = {
    .method = method,
    .url = url,
    .content_type = body ? "application/json" : NULL,
    .body = bytes,
    .headers = headers,
    .may_resend = true,
    .timeout_ms = 5000,
  };

  fixture->answered = false;
  fixture->body[0] = '\0';
  gr_http_call (fixture->http, &request, response_done, fixture);
}

static void
call (struct fixture *fixture, const char *method, const char *body)
{
  send_call (fixture, method, body);
  wait_until (fixture, is_answered);
}

static void
write_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  struct fixture *fixture = context;

  (void)result;
  ck_assert_ptr_null (error);
  fixture->answered = true;
}

/* Writes a record as another instance does. */
static void
write_record (struct fixture *fixture, enum gr_record_kind kind, GBytes *value)
{
  g_autofree char *key = gr_record_key (kind, job_id);
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  fixture->answered = false;
  gr_metastore_txn_put (txn, key, g_bytes_get_data (value, NULL),
                        g_bytes_get_size (value), 0);
  gr_metastore_commit (fixture->store, txn, 1000,
                       (struct gr_metastore_reply){ write_done, fixture });
  wait_until (fixture, is_answered);
}

static void
write_progress (struct fixture *fixture, enum gr_job_state state)
{
  struct gr_job_progress progress = { .state = state };
  g_autoptr (GBytes) value = gr_record_encode_progress (&progress);

  write_record (fixture, GR_RECORD_PROGRESS, value);
}

static void
write_job (struct fixture *fixture)
{
  g_autoptr (GBytes) body = g_bytes_new_static (job_body, strlen (job_body));
  struct gr_error error = GR_ERROR_INIT;
  struct gr_job_spec *spec = gr_job_decode (body, &error);
  g_autoptr (GBytes) value = NULL;

  ck_assert_msg (spec != NULL, "%s", error.message);
  spec->queue = g_strdup ("q");
  spec->account = g_strdup ("");
  value = gr_record_encode_job (spec);
  write_record (fixture, GR_RECORD_JOB, value);
  gr_job_spec_destroy (spec);
}

static void
submit (struct fixture *fixture)
{
  call (fixture, "POST", job_body);
  ck_assert_uint_eq (fixture->status, 200);
}

/* Guards against a state that an instance shows from a copy of the records
 * although the copy misses changes. */
START_TEST (state_is_read_while_the_watch_is_silent)
{
  struct fixture fixture;

  fixture_create (&fixture);
  submit (&fixture);
  call (&fixture, "GET", NULL);
  ck_assert_ptr_nonnull (strstr (fixture.body, "queued"));
  wait_until (&fixture, both_watches_wait);
  gr_standin_platform_silence_watches (fixture.platform);
  wait_until (&fixture, is_overdue);
  write_progress (&fixture, GR_JOB_COMPLETED);
  call (&fixture, "GET", NULL);
  ck_assert_uint_eq (fixture.status, 200);
  ck_assert_msg (strstr (fixture.body, "completed") != NULL, "%s",
                 fixture.body);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against an error for a known job because the store does not answer. */
START_TEST (last_known_state_is_shown_without_the_store)
{
  struct fixture fixture;

  fixture_create (&fixture);
  submit (&fixture);
  wait_until (&fixture, both_watches_wait);
  gr_standin_platform_silence_watches (fixture.platform);
  wait_until (&fixture, is_overdue);
  gr_standin_faults (gr_standin_platform_base (fixture.platform))->silent = 1;
  call (&fixture, "GET", NULL);
  ck_assert_uint_eq (fixture.status, 200);
  ck_assert_ptr_nonnull (strstr (fixture.body, "queued"));
  fixture_destroy (&fixture);
}
END_TEST

static bool
three_watches_wait (struct fixture *fixture)
{
  return gr_standin_platform_waiting_watches (fixture->platform) == 3;
}

/* Guards against a client that learns of the end of its job only with its next
 * call, because its call arrived a moment before the end was recorded. */
START_TEST (state_call_waits_for_the_end_of_the_job)
{
  struct fixture fixture;

  fixture_create (&fixture);
  fixture.settings.state_wait_ms = 5000;
  submit (&fixture);
  wait_until (&fixture, both_watches_wait);
  send_call (&fixture, "GET", NULL);
  wait_until (&fixture, three_watches_wait);
  ck_assert (!fixture.answered);
  write_progress (&fixture, GR_JOB_COMPLETED);
  fixture.answered = fixture.body[0] != '\0';
  wait_until (&fixture, is_answered);
  ck_assert_msg (strstr (fixture.body, "completed") != NULL, "%s",
                 fixture.body);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a state call that waits longer than the settings allow, or
 * that fails because nothing changes. */
START_TEST (state_call_is_answered_without_a_change)
{
  struct fixture fixture;
  int64_t sent_ms;

  fixture_create (&fixture);
  fixture.settings.state_wait_ms = 100;
  submit (&fixture);
  sent_ms = gr_clock_now_ms (fixture.clock);
  call (&fixture, "GET", NULL);
  ck_assert_uint_eq (fixture.status, 200);
  ck_assert_ptr_nonnull (strstr (fixture.body, "queued"));
  ck_assert_int_ge (gr_clock_now_ms (fixture.clock) - sent_ms, 100);
  ck_assert_int_lt (gr_clock_now_ms (fixture.clock) - sent_ms, 1500);
  fixture_destroy (&fixture);
}
END_TEST

static struct gr_standin_faults *
store_faults (struct fixture *fixture)
{
  return gr_standin_faults (gr_standin_platform_base (fixture->platform));
}

static void
run_main_loop (uint32_t duration_ms)
{
  bool elapsed = false;

  g_timeout_add (duration_ms, set_flag, &elapsed);
  while (!elapsed)
    g_main_context_iteration (NULL, TRUE);
}

/* Guards against a job that is stored and runs although its cancelling was
 * answered with 410 before, because the store carries its submission out late.
 * With two late writes the first attempt of the cancelling is late as well. */
START_TEST (late_submission_of_a_cancelled_job_is_kept_out)
{
  struct fixture fixture;

  fixture_create (&fixture);
  store_faults (&fixture)->late_ms = 5000;
  store_faults (&fixture)->late_writes = _i + 1;
  send_call (&fixture, "POST", job_body);
  run_main_loop (_i == 0 ? 300 : 1000);
  do
    call (&fixture, "DELETE", NULL);
  while (fixture.status == 503 || fixture.status == 504);
  ck_assert_uint_eq (fixture.status, 410);
  run_main_loop (6000);
  call (&fixture, "GET", NULL);
  ck_assert_uint_eq (fixture.status, 410);
  fixture_destroy (&fixture);
}
END_TEST

static void
ignore_reply (const struct gr_metastore_result *result,
              const struct gr_error *error,
              void *context)
{
  (void)result;
  (void)error;
  (void)context;
}

static gboolean
read_owner (gpointer data)
{
  struct fixture *fixture = data;

  gr_metastore_get (fixture->store, GR_RECORD_OWNER, 1000,
                    (struct gr_metastore_reply){ ignore_reply, NULL });
  return G_SOURCE_CONTINUE;
}

/* Other calls show that the store answers, as on every instance. */
static void
read_regularly (struct fixture *fixture)
{
  fixture->read_timer = g_timeout_add (100, read_owner, fixture);
}

/* A configuration with a queue for accounts, or without. */
static char *
account_config (uint32_t version, bool has_queue, const char *accounts)
{
  return g_strdup_printf (
      "{\"config-version\":%u,\"routes\":[%s],\"services\":[{\"name\":"
      "\"render\"}],\"tenants\":[%s]}",
      version,
      has_queue ? "{\"name\":\"q\",\"host\":\"h.example\",\"prefix\":"
                  "\"/a/\",\"service\":\"render\",\"priority\":1,"
                  "\"max-attempts\":3,\"stretch\":3,\"slo-ms\":1000}"
                : "",
      accounts);
}

static void
put_config (struct fixture *fixture,
            uint32_t version,
            bool has_queue,
            const char *accounts)
{
  g_autofree char *text = account_config (version, has_queue, accounts);

  gr_standin_platform_put (fixture->platform, "op/config", text);
  run_main_loop (200);
}

#define ACCOUNT_A "{\"name\":\"a\",\"api-keys\":[\"k\"]}"

/* Configurations that do not allow a call of account a any more. */
static const struct
{
  bool has_queue;
  const char *accounts;
} withdrawals[] = {
  { true, "" },                                      /* 401 */
  { false, ACCOUNT_A },                              /* 404 */
  { true, "{\"name\":\"b\",\"api-keys\":[\"k\"]}" }, /* 409 */
};

/* Guards against a job that runs although its submission was rejected: the
 * store has carried an attempt out whose answer was lost, and the configuration
 * does not allow the next one, or gives the key to another account. */
START_TEST (stored_job_is_not_rejected)
{
  struct fixture fixture;

  fixture_create (&fixture);
  read_regularly (&fixture);
  put_config (&fixture, 2, true, ACCOUNT_A);
  store_faults (&fixture)->silent_answers = 1;
  send_call (&fixture, "POST", job_body);
  run_main_loop (200);
  put_config (&fixture, 3, withdrawals[_i].has_queue, withdrawals[_i].accounts);
  wait_until (&fixture, is_answered);
  ck_assert_uint_eq (fixture.status, 200);
  ck_assert_ptr_nonnull (gr_mirror_find (fixture.mirror, job_id));
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a rejection that may be false, and against one that is
 * withheld although the store shows that it is true: the attempt is still on
 * its way, and fails as the configuration has changed. */
START_TEST (rejection_is_sent_once_it_is_certain)
{
  struct fixture fixture;

  fixture_create (&fixture);
  read_regularly (&fixture);
  put_config (&fixture, 2, true, ACCOUNT_A);
  store_faults (&fixture)->late_ms = 3000;
  store_faults (&fixture)->late_writes = 1;
  send_call (&fixture, "POST", job_body);
  run_main_loop (200);
  put_config (&fixture, 3, true, "");
  wait_until (&fixture, is_answered);
  ck_assert_uint_eq (fixture.status, 401);
  run_main_loop (3000);
  ck_assert_ptr_null (gr_mirror_find (fixture.mirror, job_id));
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a rejection while the store does not tell whether the earlier
 * attempt has taken effect. */
START_TEST (outcome_that_is_not_known_is_no_rejection)
{
  struct fixture fixture;

  fixture_create (&fixture);
  read_regularly (&fixture);
  put_config (&fixture, 2, true, ACCOUNT_A);
  store_faults (&fixture)->silent_answers = 1;
  send_call (&fixture, "POST", job_body);
  run_main_loop (200);
  put_config (&fixture, 3, true, "");
  store_faults (&fixture)->silent = 1;
  wait_until (&fixture, is_answered);
  ck_assert_uint_eq (fixture.status, 504);
  ck_assert_ptr_nonnull (strstr (fixture.body, "may-have-run"));
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a job that runs because a copy of its submission arrives after
 * it was cancelled, and against one that cannot be cancelled any more. */
START_TEST (submission_after_the_cancelling_is_rejected)
{
  struct fixture fixture;

  fixture_create (&fixture);
  call (&fixture, "DELETE", NULL);
  ck_assert_uint_eq (fixture.status, 410);
  call (&fixture, "POST", job_body);
  ck_assert_uint_eq (fixture.status, 409);
  ck_assert_ptr_nonnull (strstr (fixture.body, "never"));
  call (&fixture, "DELETE", NULL);
  ck_assert_uint_eq (fixture.status, 410);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a cancelling that takes a job for unknown because the mirror
 * does not show it yet. */
START_TEST (job_that_the_mirror_lacks_is_cancelled)
{
  struct fixture fixture;

  fixture_create (&fixture);
  wait_until (&fixture, both_watches_wait);
  gr_standin_platform_silence_watches (fixture.platform);
  write_job (&fixture);
  call (&fixture, "DELETE", NULL);
  ck_assert_uint_eq (fixture.status, 200);
  fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("clients");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  gr_log_init ("test-clients", "test");
  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, state_is_read_while_the_watch_is_silent);
  tcase_add_test (tests, last_known_state_is_shown_without_the_store);
  tcase_add_test (tests, state_call_waits_for_the_end_of_the_job);
  tcase_add_loop_test (tests, late_submission_of_a_cancelled_job_is_kept_out, 0,
                       2);
  tcase_add_test (tests, submission_after_the_cancelling_is_rejected);
  tcase_add_loop_test (tests, stored_job_is_not_rejected, 0,
                       G_N_ELEMENTS (withdrawals));
  tcase_add_test (tests, rejection_is_sent_once_it_is_certain);
  tcase_add_test (tests, outcome_that_is_not_known_is_no_rejection);
  tcase_add_test (tests, job_that_the_mirror_lacks_is_cancelled);
  tcase_add_test (tests, state_call_is_answered_without_a_change);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
