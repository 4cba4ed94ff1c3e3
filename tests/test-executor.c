/* Tests the executor client against the executor stand-in in one process. */
#include "http/http.h"
#include "standins/executor.h"
#include "standins/relay.h"
#include "targets/executor.h"

#include <check.h>
#include <dirent.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_TIMEOUT_MS 30000

/* Number of callbacks so far, and the result passed to the last one. */
struct outcome
{
  int callbacks;
  struct gr_error error;
  bool answered;
  char body[64];
  int32_t slots_busy;
  bool leaving;
};

struct fixture
{
  struct gr_standin_executor *standin;
  struct gr_executor_client *client;
  struct gr_http *http;
  const char *address;
  struct outcome outcome;
};

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static void
wait_for_callbacks (struct outcome *outcome, int callbacks)
{
  bool timed_out = false;
  guint timer = g_timeout_add (WAIT_TIMEOUT_MS, set_flag, &timed_out);

  while (outcome->callbacks < callbacks && !timed_out)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (!timed_out, "timeout after %d of %d callbacks",
                 outcome->callbacks, callbacks);
  g_source_remove (timer);
}

static void
run_loop_for (guint time_ms)
{
  bool elapsed = false;

  g_timeout_add (time_ms, set_flag, &elapsed);
  while (!elapsed)
    g_main_context_iteration (NULL, TRUE);
}

static void
handle_run_end (const struct gr_executor_response *answer,
                const struct gr_error *error,
                void *context)
{
  static const struct gr_error none = GR_ERROR_INIT;
  struct outcome *outcome = context;
  gsize size = 0;
  const char *body;

  outcome->callbacks++;
  outcome->error = error ? *error : none;
  outcome->answered = answer != NULL;
  if (answer == NULL)
    return;
  body = g_bytes_get_data (answer->body, &size);
  g_snprintf (outcome->body, sizeof outcome->body, "%.*s", (int)size,
              body ? body : "");
  outcome->slots_busy = answer->slots_busy;
  outcome->leaving = answer->leaving;
}

static void
send_request (struct fixture *fixture,
              const char *key,
              bool idempotent,
              const char *text,
              uint32_t timeout_ms)
{
  GBytes *body = g_bytes_new (text, strlen (text));

  gr_executor_run (fixture->client, fixture->address, key, idempotent, body,
                   timeout_ms, handle_run_end, &fixture->outcome);
  g_bytes_unref (body);
}

static enum gr_error_kind
run_request (struct fixture *fixture,
             const char *key,
             bool idempotent,
             const char *text,
             uint32_t timeout_ms)
{
  int callbacks = fixture->outcome.callbacks;

  send_request (fixture, key, idempotent, text, timeout_ms);
  wait_for_callbacks (&fixture->outcome, callbacks + 1);
  return fixture->outcome.error.kind;
}

static void
handle_control_response (const struct gr_http_response *answer,
                         const struct gr_error *error,
                         void *context)
{
  ck_assert (error == NULL && answer->status == 200);
  *(bool *)context = true;
}

static void
set_control (struct fixture *fixture, const char *address, const char *text)
{
  char *url = g_strdup_printf ("http://%s/control", address);
  struct gr_http_request request = {
    .method = "POST",
    .url = url,
    .content_type = "application/json",
    .body = g_bytes_new (text, strlen (text)),
    .timeout_ms = 5000,
  };
  bool done = false;

  gr_http_call (fixture->http, &request, handle_control_response, &done);
  while (!done)
    g_main_context_iteration (NULL, TRUE);
  g_bytes_unref (request.body);
  g_free (url);
}

static void
setup (struct fixture *fixture, uint32_t connections)
{
  struct gr_standin_executor_settings settings = {
    .name = "e",
    .data_centre = "dc1",
    .slots = 8,
  };
  struct gr_error error = GR_ERROR_INIT;

  memset (fixture, 0, sizeof *fixture);
  fixture->standin =
      gr_standin_executor_create ("127.0.0.1:0", &settings, &error);
  ck_assert_msg (fixture->standin != NULL, "%s", error.message);
  fixture->client = gr_executor_client_create (connections);
  fixture->http = gr_http_create (2);
  fixture->address =
      gr_standin_address (gr_standin_executor_base (fixture->standin));
}

static void
teardown (struct fixture *fixture)
{
  gr_executor_client_destroy (fixture->client);
  gr_http_destroy (fixture->http);
  gr_standin_executor_destroy (fixture->standin);
}

/* Guards against accepting a truncated response, or the response to another
 * request, as valid, and against reporting a request as refused although it
 * started. The stand-in breaks its responses in each of these ways. */
START_TEST (responses_map_to_error_kinds)
{
  static const struct
  {
    const char *fault;
    enum gr_error_kind kind;
    bool answered;
    uint32_t started;
  } cases[] = {
    { "", GR_ERROR_NONE, true, 1 },
    { "wrong_key", GR_ERROR_PROTOCOL, true, 1 },
    { "truncate", GR_ERROR_PROTOCOL, false, 1 },
    { "cut_chunk", GR_ERROR_PROTOCOL, false, 1 },
    { "cut_chunks", GR_ERROR_PROTOCOL, false, 1 },
    { "no_length", GR_ERROR_PROTOCOL, false, 1 },
    { "close_after_read", GR_ERROR_IO, false, 1 },
    { "duplicate", GR_ERROR_NONE, true, 1 },
    { "fail_all", GR_ERROR_MAY_HAVE_RUN, true, 1 },
    { "refuse_all", GR_ERROR_OVERLOADED, true, 0 },
    { "leaving", GR_ERROR_SHUTTING_DOWN, true, 0 },
  };
  struct fixture fixture;
  char text[64];
  char key[32];

  setup (&fixture, 6);
  for (int i = 0; i < (int)(2 * G_N_ELEMENTS (cases)); i++)
    {
      bool idempotent = i % 2 == 0;
      enum gr_error_kind kind;

      g_snprintf (text, sizeof text, "{\"%s\":true}", cases[i / 2].fault);
      set_control (&fixture, fixture.address, text);
      g_snprintf (key, sizeof key, "key-%d", i);
      kind = run_request (&fixture, key, idempotent, "run_ms=1 hello", 5000);
      ck_assert_msg (kind == cases[i / 2].kind, "%s: %s", text,
                     fixture.outcome.error.message);
      ck_assert_int_eq (fixture.outcome.answered, cases[i / 2].answered);
      ck_assert_uint_eq (
          gr_standin_executor_key_counts (fixture.standin, key)->started,
          cases[i / 2].started);
      g_snprintf (text, sizeof text, "{\"%s\":false}", cases[i / 2].fault);
      set_control (&fixture, fixture.address, text);
    }
  ck_assert (fixture.outcome.leaving);
  ck_assert_int_eq (fixture.outcome.slots_busy, 0);
  ck_assert_int_eq (
      run_request (&fixture, "last", true, "run_ms=1 hello", 5000),
      GR_ERROR_NONE);
  ck_assert_str_eq (fixture.outcome.body, "run_ms=1 hello");
  teardown (&fixture);
}
END_TEST

/* Guards against opening more connections than the limit, and against calls
 * that are not idempotent waiting until idle keep-alive connections close. Such
 * calls always open a new connection. */
START_TEST (connections_are_bounded)
{
  struct fixture fixture;

  setup (&fixture, 2);
  send_request (&fixture, "a", true, "run_ms=50", 5000);
  send_request (&fixture, "b", true, "run_ms=50", 5000);
  send_request (&fixture, "c", true, "run_ms=50", 5000);
  wait_for_callbacks (&fixture.outcome, 1);
  ck_assert_int_eq (fixture.outcome.error.kind, GR_ERROR_OVERLOADED);
  wait_for_callbacks (&fixture.outcome, 3);
  ck_assert_int_eq (fixture.outcome.error.kind, GR_ERROR_NONE);
  send_request (&fixture, "d", false, "run_ms=50", 5000);
  send_request (&fixture, "e", false, "run_ms=50", 5000);
  wait_for_callbacks (&fixture.outcome, 5);
  ck_assert_int_eq (fixture.outcome.error.kind, GR_ERROR_NONE);
  ck_assert_ptr_null (gr_standin_executor_key_counts (fixture.standin, "c"));
  teardown (&fixture);
}
END_TEST

static int
count_descriptors (void)
{
  DIR *directory = opendir ("/proc/self/fd");
  int count = 0;

  while (readdir (directory) != NULL)
    count++;
  closedir (directory);
  return count;
}

static void
send_next (const struct gr_executor_response *answer,
           const struct gr_error *error,
           void *context)
{
  struct fixture *fixture = context;

  ck_assert (answer != NULL && error == NULL);
  fixture->outcome.callbacks++;
  if (fixture->outcome.callbacks < 5)
    gr_executor_run (fixture->client, fixture->address, "next", true,
                     answer->body, 5000, send_next, fixture);
}

/* Guards against refusing a call that is made in the callback of the previous
 * one: with a limit of one connection, the connection must count as free before
 * the response is delivered. */
START_TEST (connection_is_free_in_response_callback)
{
  struct fixture fixture;
  GBytes *body = g_bytes_new_static ("x", 1);

  setup (&fixture, 1);
  gr_executor_run (fixture.client, fixture.address, "first", true, body, 5000,
                   send_next, &fixture);
  wait_for_callbacks (&fixture.outcome, 5);
  g_bytes_unref (body);
  teardown (&fixture);
}
END_TEST

/* Guards against delivering a response that arrives after its call has timed
 * out to the next call, and against connections that stay open after a
 * timeout. It arrives while the next call is under way. A late main loop
 * postpones the timeout by 20 ms, so it comes later than that. */
START_TEST (late_responses_are_discarded)
{
  struct fixture fixture;
  int n_before;

  setup (&fixture, 1);
  n_before = count_descriptors ();
  for (int i = 0; i < 20; i++)
    {
      enum gr_error_kind kind =
          run_request (&fixture, "slow", true, "run_ms=100 slow", 20);

      ck_assert_int_eq (kind, GR_ERROR_TIMEOUT);
      run_loop_for (2); /* until the connection of the call is released */
      kind = run_request (&fixture, "next", true, "run_ms=110 next", 5000);
      ck_assert_int_eq (kind, GR_ERROR_NONE);
      ck_assert_str_eq (fixture.outcome.body, "run_ms=110 next");
    }
  gr_executor_client_destroy (g_steal_pointer (&fixture.client));
  for (int i = 0; i < 100 && count_descriptors () > n_before; i++)
    run_loop_for (20);
  ck_assert_int_eq (count_descriptors (), n_before);
  teardown (&fixture);
}
END_TEST

static uint32_t
count_arrivals (struct fixture *fixture, const char *key)
{
  const struct gr_executor_key_counts *counts =
      gr_standin_executor_key_counts (fixture->standin, key);

  return counts ? counts->arrived : 0;
}

/* Guards against libsoup resending a request when its keep-alive connection was
 * closed after the server had read the request. */
START_TEST (close_after_read_does_not_resend)
{
  struct fixture fixture;

  setup (&fixture, 4);
  ck_assert_int_eq (run_request (&fixture, "warm", true, "", 5000),
                    GR_ERROR_NONE);
  set_control (&fixture, fixture.address, "{\"close_after_read\":true}");
  ck_assert_int_eq (run_request (&fixture, "once", false, "", 5000),
                    GR_ERROR_IO);
  run_loop_for (20);
  ck_assert_uint_eq (
      gr_standin_executor_key_counts (fixture.standin, "once")->arrived, 1);
  teardown (&fixture);
}
END_TEST

/* Guards against a request being sent twice, or reported as not run although it
 * arrived, when its connection is closed while it is being sent. The
 * connections are closed at varying times, and an idempotent call before each
 * request leaves an idle keep-alive connection that could be reused. */
START_TEST (cut_connection_does_not_resend)
{
  struct fixture fixture;
  struct gr_error error = GR_ERROR_INIT;
  struct gr_relay *relay;
  int n_by_error_kind[GR_ERROR_N_KINDS] = { 0 };

  setup (&fixture, 4);
  relay =
      gr_relay_create ("127.0.0.1:0", fixture.address, "127.0.0.1:0", &error);
  ck_assert_msg (relay != NULL, "%s", error.message);
  fixture.address = gr_relay_address (relay);
  for (int i = 0; i < 300; i++)
    {
      char warm[32];
      char key[32];
      uint32_t arrived;
      int callbacks = fixture.outcome.callbacks;

      g_snprintf (warm, sizeof warm, "warm-%d", i);
      g_snprintf (key, sizeof key, "once-%d", i);
      run_request (&fixture, warm, true, "run_ms=0", 5000);
      send_request (&fixture, key, false, "run_ms=3 x", 5000);
      for (int step = 0; step < i % 30; step++)
        g_main_context_iteration (NULL, FALSE);
      if (i % 2 == 0)
        run_loop_for (i % 5);
      gr_relay_disconnect_all (relay);
      wait_for_callbacks (&fixture.outcome, callbacks + 2);
      run_loop_for (i % 3); /* data that was already relayed may still arrive */
      arrived = count_arrivals (&fixture, key);
      n_by_error_kind[fixture.outcome.error.kind]++;
      ck_assert_uint_le (arrived, 1);
      if (fixture.outcome.error.kind == GR_ERROR_NONE)
        ck_assert_uint_eq (arrived, 1);
      if (fixture.outcome.error.kind == GR_ERROR_NO_TARGET)
        ck_assert_uint_eq (arrived, 0);
    }
  /* Some of the calls were in flight when their connection was closed. */
  ck_assert_int_gt (n_by_error_kind[GR_ERROR_IO], 0);
  gr_relay_destroy (relay);
  for (int i = 0; i < 300; i++)
    {
      char key[32];

      g_snprintf (key, sizeof key, "once-%d", i);
      ck_assert_uint_le (count_arrivals (&fixture, key), 1);
    }
  teardown (&fixture);
}
END_TEST

static Suite *
make_suite (void)
{
  Suite *suite = suite_create ("executor");
  TCase *tcase = tcase_create ("executor");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, responses_map_to_error_kinds);
  tcase_add_test (tcase, connections_are_bounded);
  tcase_add_test (tcase, connection_is_free_in_response_callback);
  tcase_add_test (tcase, late_responses_are_discarded);
  tcase_add_test (tcase, close_after_read_does_not_resend);
  tcase_add_test (tcase, cut_connection_does_not_resend);
  suite_add_tcase (suite, tcase);
  return suite;
}

int
main (void)
{
  SRunner *runner = srunner_create (make_suite ());
  int failed;

  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
