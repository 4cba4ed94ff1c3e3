/* Client of the executors against the stand-in, in one process. */
#include "http/http.h"
#include "standins/executor.h"
#include "standins/relay.h"
#include "targets/executor.h"

#include <check.h>
#include <dirent.h>
#include <stdlib.h>
#include <string.h>

#define LIMIT_MS 30000

struct outcome
{
  int calls;
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
wait_calls (struct outcome *outcome, int calls)
{
  bool late = false;
  guint timer = g_timeout_add (LIMIT_MS, set_flag, &late);

  while (outcome->calls < calls && !late)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (!late, "%d of %d callbacks came", outcome->calls, calls);
  g_source_remove (timer);
}

static void
run_for (guint time_ms)
{
  bool over = false;

  g_timeout_add (time_ms, set_flag, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

static void
run_done (const struct gr_executor_answer *answer,
          const struct gr_error *error,
          void *context)
{
  static const struct gr_error none = GR_ERROR_INIT;
  struct outcome *outcome = context;
  gsize size = 0;
  const char *body;

  outcome->calls++;
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
send (struct fixture *fixture,
      const char *key,
      bool idempotent,
      const char *text,
      uint32_t timeout_ms)
{
  GBytes *body = g_bytes_new (text, strlen (text));

  gr_executor_run (fixture->client, fixture->address, key, idempotent, body,
                   timeout_ms, run_done, &fixture->outcome);
  g_bytes_unref (body);
}

static enum gr_error_kind
run (struct fixture *fixture,
     const char *key,
     bool idempotent,
     const char *text,
     uint32_t timeout_ms)
{
  int calls = fixture->outcome.calls;

  send (fixture, key, idempotent, text, timeout_ms);
  wait_calls (&fixture->outcome, calls + 1);
  return fixture->outcome.error.kind;
}

static void
control_done (const struct gr_http_response *answer,
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

  gr_http_call (fixture->http, &request, control_done, &done);
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

/* Guards against answers that are taken for whole, or for those of this
 * request, when they are not, and against refusals that are not true. */
START_TEST (each_answer_has_its_kind)
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
      kind = run (&fixture, key, idempotent, "run_ms=1 hello", 5000);
      ck_assert_msg (kind == cases[i / 2].kind, "%s: %s", text,
                     fixture.outcome.error.message);
      ck_assert_int_eq (fixture.outcome.answered, cases[i / 2].answered);
      ck_assert_uint_eq (
          gr_standin_executor_key (fixture.standin, key)->started,
          cases[i / 2].started);
      g_snprintf (text, sizeof text, "{\"%s\":false}", cases[i / 2].fault);
      set_control (&fixture, fixture.address, text);
    }
  ck_assert (fixture.outcome.leaving);
  ck_assert_int_eq (fixture.outcome.slots_busy, 0);
  ck_assert_int_eq (run (&fixture, "last", true, "run_ms=1 hello", 5000),
                    GR_ERROR_NONE);
  ck_assert_str_eq (fixture.outcome.body, "run_ms=1 hello");
  teardown (&fixture);
}
END_TEST

/* Guards against more connections than the limit, and against calls without
 * the idempotent flag that wait for kept connections to go away. */
START_TEST (connections_are_bounded)
{
  struct fixture fixture;

  setup (&fixture, 2);
  send (&fixture, "a", true, "run_ms=50", 5000);
  send (&fixture, "b", true, "run_ms=50", 5000);
  send (&fixture, "c", true, "run_ms=50", 5000);
  wait_calls (&fixture.outcome, 1);
  ck_assert_int_eq (fixture.outcome.error.kind, GR_ERROR_OVERLOADED);
  wait_calls (&fixture.outcome, 3);
  ck_assert_int_eq (fixture.outcome.error.kind, GR_ERROR_NONE);
  send (&fixture, "d", false, "run_ms=50", 5000);
  send (&fixture, "e", false, "run_ms=50", 5000);
  wait_calls (&fixture.outcome, 5);
  ck_assert_int_eq (fixture.outcome.error.kind, GR_ERROR_NONE);
  ck_assert_ptr_null (gr_standin_executor_key (fixture.standin, "c"));
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
send_next (const struct gr_executor_answer *answer,
           const struct gr_error *error,
           void *context)
{
  struct fixture *fixture = context;

  ck_assert (answer != NULL && error == NULL);
  fixture->outcome.calls++;
  if (fixture->outcome.calls < 5)
    gr_executor_run (fixture->client, fixture->address, "next", true,
                     answer->body, 5000, send_next, fixture);
}

/* Guards against a connection that counts as used while its answer is
 * delivered, so that the next call is refused. */
START_TEST (connections_are_free_when_answers_come)
{
  struct fixture fixture;
  GBytes *body = g_bytes_new_static ("x", 1);

  setup (&fixture, 1);
  gr_executor_run (fixture.client, fixture.address, "first", true, body, 5000,
                   send_next, &fixture);
  wait_calls (&fixture.outcome, 5);
  g_bytes_unref (body);
  teardown (&fixture);
}
END_TEST

/* Guards against an answer that comes after its call has timed out and reaches
 * the next call, and against connections that stay open after a timeout. */
START_TEST (late_answers_reach_nobody)
{
  struct fixture fixture;
  int before;

  setup (&fixture, 1);
  before = count_descriptors ();
  for (int i = 0; i < 20; i++)
    {
      enum gr_error_kind kind =
          run (&fixture, "slow", true, "run_ms=40 slow", 20);

      ck_assert_int_eq (kind, GR_ERROR_TIMEOUT);
      run_for (2); /* the connection of the call is given back */
      kind = run (&fixture, "quick", true, "run_ms=0 quick", 5000);
      ck_assert_int_eq (kind, GR_ERROR_NONE);
      ck_assert_str_eq (fixture.outcome.body, "run_ms=0 quick");
    }
  gr_executor_client_destroy (g_steal_pointer (&fixture.client));
  for (int i = 0; i < 100 && count_descriptors () > before; i++)
    run_for (20);
  ck_assert_int_eq (count_descriptors (), before);
  teardown (&fixture);
}
END_TEST

static uint32_t
arrivals (struct fixture *fixture, const char *key)
{
  const struct gr_executor_key *record =
      gr_standin_executor_key (fixture->standin, key);

  return record ? record->arrived : 0;
}

/* Guards against libsoup repeating a request whose kept connection was closed
 * after the request had been read. */
START_TEST (closed_connections_never_send_twice)
{
  struct fixture fixture;

  setup (&fixture, 4);
  ck_assert_int_eq (run (&fixture, "warm", true, "", 5000), GR_ERROR_NONE);
  set_control (&fixture, fixture.address, "{\"close_after_read\":true}");
  ck_assert_int_eq (run (&fixture, "once", false, "", 5000), GR_ERROR_IO);
  run_for (20);
  ck_assert_uint_eq (gr_standin_executor_key (fixture.standin, "once")->arrived,
                     1);
  teardown (&fixture);
}
END_TEST

/* Guards against a request that is sent twice, or reported wrongly as not run,
 * when its connection is cut at any moment around the send. Idempotent calls
 * before each one leave kept connections behind. */
START_TEST (cut_connections_never_send_twice)
{
  struct fixture fixture;
  struct gr_error error = GR_ERROR_INIT;
  struct gr_relay *relay;
  int ended[GR_ERROR_N_KINDS] = { 0 };

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
      int calls = fixture.outcome.calls;

      g_snprintf (warm, sizeof warm, "warm-%d", i);
      g_snprintf (key, sizeof key, "once-%d", i);
      run (&fixture, warm, true, "run_ms=0", 5000);
      send (&fixture, key, false, "run_ms=3 x", 5000);
      for (int step = 0; step < i % 30; step++)
        g_main_context_iteration (NULL, FALSE);
      if (i % 2 == 0)
        run_for (i % 5);
      gr_relay_cut (relay);
      wait_calls (&fixture.outcome, calls + 2);
      run_for (i % 3); /* what was relayed before the cut may still arrive */
      arrived = arrivals (&fixture, key);
      ended[fixture.outcome.error.kind]++;
      ck_assert_uint_le (arrived, 1);
      if (fixture.outcome.error.kind == GR_ERROR_NONE)
        ck_assert_uint_eq (arrived, 1);
      if (fixture.outcome.error.kind == GR_ERROR_NO_TARGET)
        ck_assert_uint_eq (arrived, 0);
    }
  /* The cuts did race with the calls. */
  ck_assert_int_gt (ended[GR_ERROR_IO], 0);
  gr_relay_destroy (relay);
  for (int i = 0; i < 300; i++)
    {
      char key[32];

      g_snprintf (key, sizeof key, "once-%d", i);
      ck_assert_uint_le (arrivals (&fixture, key), 1);
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
  tcase_add_test (tcase, each_answer_has_its_kind);
  tcase_add_test (tcase, connections_are_bounded);
  tcase_add_test (tcase, connections_are_free_when_answers_come);
  tcase_add_test (tcase, late_answers_reach_nobody);
  tcase_add_test (tcase, closed_connections_never_send_twice);
  tcase_add_test (tcase, cut_connections_never_send_twice);
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
