/* Tests of the client for many small calls, against a server that answers as
 * each test scripts it. */
#include "http/call-pool.h"
#include "http/http.h"

#include <arpa/inet.h>
#include <check.h>
#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_TIMEOUT_MS 10000
#define CALL_TIMEOUT_MS 5000
#define MAX_REPLIES 8

/* What the server does with one request. The zero value closes the connection
 * without a response. */
struct reply
{
  const char *text;
  uint32_t delay_ms;
  bool close_after;
};

struct server
{
  GSocketListener *listener;
  GThread *thread;
  char address[32];
  const struct reply *replies; /* one for each request, in order of arrival */
  int n_replies;
  int requests;    /* atomic */
  int connections; /* atomic */
  char last_request[512];
};

struct fixture
{
  struct server server;
  struct gr_call_pool *pool;
  int callbacks;
  uint32_t status;
  bool resent;
  char body[64];
  struct gr_error error;
};

#define OK(body_text, length)                                                  \
  "HTTP/1.1 200 OK\r\nContent-Length: " length "\r\n\r\n" body_text

/* Reads until the end of the headers and of a body of Content-Length bytes. */
static bool
read_request (GInputStream *input, char *text, size_t size)
{
  size_t used = 0;

  while (used < size - 1)
    {
      gssize n = g_input_stream_read (input, text + used, 1, NULL, NULL);
      const char *end;
      const char *length;

      if (n <= 0)
        return false;
      used += (size_t)n;
      text[used] = '\0';
      end = strstr (text, "\r\n\r\n");
      if (end == NULL)
        continue;
      length = strstr (text, "Content-Length: ");
      ck_assert_ptr_nonnull (length);
      if (strlen (end + 4)
          >= (size_t)strtol (length + strlen ("Content-Length: "), NULL, 10))
        return true;
    }
  return false;
}

static void *
serve_connection (void *data)
{
  void **arguments = data;
  struct server *server = arguments[0];
  GSocketConnection *connection = arguments[1];
  GInputStream *input = g_io_stream_get_input_stream (G_IO_STREAM (connection));
  GOutputStream *output =
      g_io_stream_get_output_stream (G_IO_STREAM (connection));
  char text[512] = "";

  while (read_request (input, text, sizeof text))
    {
      int number = g_atomic_int_add (&server->requests, 1);
      struct reply reply = { 0 };

      g_strlcpy (server->last_request, text, sizeof server->last_request);
      if (number < server->n_replies)
        reply = server->replies[number];
      if (reply.delay_ms > 0)
        g_usleep ((gulong)reply.delay_ms * 1000);
      if (reply.text != NULL)
        g_output_stream_write_all (output, reply.text, strlen (reply.text),
                                   NULL, NULL, NULL);
      if (reply.text == NULL || reply.close_after)
        break;
      text[0] = '\0';
    }
  g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
  g_object_unref (connection);
  g_free (arguments);
  return NULL;
}

static void *
accept_connections (void *data)
{
  struct server *server = data;

  for (;;)
    {
      GSocketConnection *connection =
          g_socket_listener_accept (server->listener, NULL, NULL, NULL);
      void **arguments;

      if (connection == NULL)
        return NULL;
      if (g_atomic_int_get (&server->connections) < 0)
        {
          g_object_unref (connection);
          return NULL;
        }
      g_atomic_int_inc (&server->connections);
      arguments = g_new0 (void *, 2);
      arguments[0] = server;
      arguments[1] = connection;
      g_thread_unref (g_thread_new ("connection", serve_connection, arguments));
    }
}

/* A body "pN" is from process N. */
static int64_t
identify (const struct gr_pool_response *response)
{
  return response->size > 1 && response->body[0] == 'p'
             ? response->body[1] - '0'
             : 0;
}

static void
fixture_create (struct fixture *fixture,
                const struct reply *replies,
                int n_replies)
{
  guint16 port;

  memset (fixture, 0, sizeof *fixture);
  fixture->server.listener = g_socket_listener_new ();
  port = g_socket_listener_add_any_inet_port (fixture->server.listener, NULL,
                                              NULL);
  ck_assert_uint_ne (port, 0);
  g_snprintf (fixture->server.address, sizeof fixture->server.address,
              "127.0.0.1:%u", port);
  fixture->server.replies = replies;
  fixture->server.n_replies = n_replies;
  fixture->server.thread =
      g_thread_new ("listener", accept_connections, &fixture->server);
  fixture->pool = gr_call_pool_create (2, identify);
}

static void
fixture_destroy (struct fixture *fixture)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  GSocketConnection *wake;

  gr_call_pool_destroy (fixture->pool);
  g_atomic_int_set (&fixture->server.connections, -1);
  wake = g_socket_client_connect_to_host (client, fixture->server.address, 0,
                                          NULL, NULL);
  ck_assert_ptr_nonnull (wake);
  g_object_unref (wake);
  g_thread_join (fixture->server.thread);
  g_object_unref (fixture->server.listener);
}

static void
record (const struct gr_pool_response *response,
        const struct gr_error *error,
        void *context)
{
  struct fixture *fixture = context;

  fixture->callbacks++;
  fixture->error = error ? *error : (struct gr_error)GR_ERROR_INIT;
  fixture->status = response ? response->status : 0;
  fixture->resent = response != NULL && response->resent;
  g_snprintf (fixture->body, sizeof fixture->body, "%.*s",
              response ? (int)response->size : 0,
              response && response->size > 0 ? response->body : "");
}

static void
send_with (struct fixture *fixture,
           const char *address,
           uint32_t timeout_ms,
           int64_t process)
{
  static const struct gr_pool_request probe = {
    .path = "/v1/probe",
    .headers = "",
    .body = "{}",
    .size = 2,
  };
  struct gr_pool_request request = {
    .address = address,
    .path = "/v1/call",
    .headers = "X-Extra: 1\r\n",
    .body = "{}",
    .size = 2,
    .timeout_ms = timeout_ms,
    .process = process,
    .probe = &probe,
  };

  gr_call_pool_send (fixture->pool, &request, record, fixture);
}

static void
send_to (struct fixture *fixture, const char *address, uint32_t timeout_ms)
{
  send_with (fixture, address, timeout_ms, 0);
}

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
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
wait_for (struct fixture *fixture, int callbacks)
{
  bool timed_out = false;
  guint timer = g_timeout_add (WAIT_TIMEOUT_MS, set_flag, &timed_out);

  while (fixture->callbacks < callbacks && !timed_out)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (!timed_out, "%d of %d calls have ended", fixture->callbacks,
                 callbacks);
  g_source_remove (timer);
}

static void
call (struct fixture *fixture, uint32_t timeout_ms)
{
  int before = fixture->callbacks;

  send_to (fixture, fixture->server.address, timeout_ms);
  ck_assert_int_eq (fixture->callbacks, before);
  wait_for (fixture, before + 1);
}

/* Guards against a new connection for each call, which costs a worker's
 * connection limit and the owner's link. */
START_TEST (calls_share_a_connection)
{
  static const struct reply replies[] = {
    { .text = OK ("one", "3") },
    { .text = "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\ntwo\r\n0\r\n\r\n" },
    { .text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  call (&fixture, CALL_TIMEOUT_MS);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NONE);
  ck_assert_str_eq (fixture.body, "one");
  ck_assert_ptr_nonnull (
      strstr (fixture.server.last_request, "POST /v1/call HTTP/1.1\r\n"));
  ck_assert_ptr_nonnull (
      strstr (fixture.server.last_request, "X-Extra: 1\r\n"));
  call (&fixture, CALL_TIMEOUT_MS);
  ck_assert_uint_eq (fixture.status, 409);
  ck_assert_str_eq (fixture.body, "two");
  call (&fixture, CALL_TIMEOUT_MS);
  ck_assert_uint_eq (fixture.status, 200);
  ck_assert_int_eq (g_atomic_int_get (&fixture.server.connections), 1);
  ck_assert_uint_eq (gr_call_pool_stats (fixture.pool).connections, 1);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against losing a call because the peer closed an idle connection, and
 * against hiding that the peer may have received it twice. */
START_TEST (closed_idle_connection_is_replaced)
{
  static const struct reply replies[] = {
    { .text = OK ("one", "3") },
    { .text = NULL },
    { .text = OK ("two", "3") },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  call (&fixture, CALL_TIMEOUT_MS);
  call (&fixture, CALL_TIMEOUT_MS);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NONE);
  ck_assert_str_eq (fixture.body, "two");
  ck_assert (fixture.resent);
  fixture_destroy (&fixture);
}
END_TEST

static void
call_process (struct fixture *fixture, int64_t process)
{
  int before = fixture->callbacks;

  send_with (fixture, fixture->server.address, CALL_TIMEOUT_MS, process);
  wait_for (fixture, before + 1);
}

static void
check_last_request (const struct fixture *fixture, int number, const char *path)
{
  ck_assert_int_eq (g_atomic_int_get (&fixture->server.requests), number);
  ck_assert_msg (strstr (fixture->server.last_request, path) != NULL, "%s",
                 fixture->server.last_request);
}

/* Guards against a probe before each call. */
START_TEST (connection_is_probed_once)
{
  static const struct reply replies[] = {
    { .text = OK ("p7", "2") },
    { .text = OK ("two", "3") },
    { .text = OK ("three", "5") },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  call_process (&fixture, 7);
  check_last_request (&fixture, 2, "/v1/call");
  ck_assert_str_eq (fixture.body, "two");
  call_process (&fixture, 7);
  check_last_request (&fixture, 3, "/v1/call");
  ck_assert_str_eq (fixture.body, "three");
  ck_assert_int_eq (g_atomic_int_get (&fixture.server.connections), 1);
  ck_assert_uint_eq (gr_call_pool_stats (fixture.pool).probes, 1);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a call that reaches another process than the one that it is
 * meant for, on a new connection or on one of that process. */
START_TEST (call_for_a_process_is_not_sent_to_another)
{
  static const struct reply replies[] = {
    { .text = OK ("p8", "2") },
    { .text = OK ("p8", "2") },
    { .text = OK ("three", "5") },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  for (int i = 1; i <= 2; i++)
    {
      call_process (&fixture, 7);
      ck_assert_int_eq (fixture.error.kind, GR_ERROR_OTHER_PROCESS);
      check_last_request (&fixture, i, "/v1/probe");
    }
  call_process (&fixture, 8);
  ck_assert_str_eq (fixture.body, "three");
  check_last_request (&fixture, 3, "/v1/call");
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a call that is sent again to the process that has taken the
 * place of its own. */
START_TEST (call_is_not_sent_again_to_another_process)
{
  static const struct reply replies[] = {
    { .text = OK ("p7", "2") },
    { .text = OK ("two", "3") },
    { .text = NULL },
    { .text = OK ("p8", "2") },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  call_process (&fixture, 7);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NONE);
  call_process (&fixture, 7);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_IO);
  check_last_request (&fixture, 4, "/v1/probe");
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a call that is sent after a probe that no process has answered
 * for: a rejection is that of the call, any other answer fails it. */
START_TEST (probe_without_identity_sends_no_call)
{
  static const struct reply replies[] = {
    { .text = "HTTP/1.1 409 Conflict\r\nContent-Length: 3\r\n\r\nold" },
    { .text = OK ("one", "3") },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  call_process (&fixture, 7);
  ck_assert_uint_eq (fixture.status, 409);
  ck_assert_str_eq (fixture.body, "old");
  call_process (&fixture, 7);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NO_TARGET);
  check_last_request (&fixture, 2, "/v1/probe");
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a call that counts as sent, or is sent late, although its time
 * ran out during the probe. */
START_TEST (call_that_times_out_during_the_probe_is_not_sent)
{
  static const struct reply replies[] = {
    { .text = OK ("p7", "2"), .delay_ms = 100 },
    { .text = OK ("two", "3") },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  send_with (&fixture, fixture.server.address, 30, 7);
  wait_for (&fixture, 1);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NO_TARGET);
  run_loop_for (200);
  check_last_request (&fixture, 1, "/v1/probe");
  call_process (&fixture, 7);
  ck_assert_str_eq (fixture.body, "two");
  check_last_request (&fixture, 2, "/v1/call");
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against sending a call again on a new connection that failed: the
 * peer may have carried it out. */
START_TEST (failed_new_connection_is_reported)
{
  static const struct reply replies[] = { { .text = NULL } };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  call (&fixture, CALL_TIMEOUT_MS);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_IO);
  ck_assert_int_eq (g_atomic_int_get (&fixture.server.requests), 1);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a response that ends or disturbs the process, or that is
 * passed on although it is incomplete. */
START_TEST (malformed_responses_fail)
{
  static const struct reply replies[] = {
    { .text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
      .close_after = true },
    { .text = "complete nonsense\r\n\r\n" },
    { .text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nlonger" },
    { .text = "HTTP/1.1 200 OK\r\n\r\nno length", .close_after = true },
    { .text = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n"
              "\r\n" },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  for (size_t i = 0; i < G_N_ELEMENTS (replies); i++)
    {
      call (&fixture, CALL_TIMEOUT_MS);
      ck_assert_msg (fixture.error.kind == GR_ERROR_PROTOCOL, "case %zu: %s", i,
                     gr_error_info (fixture.error.kind)->name);
    }
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against an overloaded process that closes the connections of slow
 * peers, and against the late response of one call being taken for that of the
 * next. */
START_TEST (late_response_keeps_the_connection)
{
  static const struct reply replies[] = {
    { .text = OK ("late", "4"), .delay_ms = 300 },
    { .text = OK ("second", "6") },
    { .text = OK ("third", "5") },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  call (&fixture, 100);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_TIMEOUT);
  call (&fixture, CALL_TIMEOUT_MS);
  ck_assert_str_eq (fixture.body, "second");
  run_loop_for (400);
  ck_assert_int_eq (fixture.callbacks, 2);
  call (&fixture, CALL_TIMEOUT_MS);
  ck_assert_str_eq (fixture.body, "third");
  ck_assert_uint_eq (gr_call_pool_stats (fixture.pool).connections, 2);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against connections beyond the limit of a worker, and against calls
 * that never end because all connections wait for a response. */
START_TEST (waiting_calls_replace_silent_connections)
{
  static const struct reply replies[] = {
    { .text = OK ("a", "1"), .delay_ms = 6000 },
    { .text = OK ("b", "1"), .delay_ms = 6000 },
    { .text = OK ("c", "1") },
  };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  /* The timeouts leave room for a machine on which 100 ms take 2 s. */
  send_to (&fixture, fixture.server.address, 2000);
  send_to (&fixture, fixture.server.address, 2000);
  run_loop_for (50);
  send_to (&fixture, fixture.server.address, CALL_TIMEOUT_MS);
  run_loop_for (50);
  ck_assert_int_eq (fixture.callbacks, 0);
  ck_assert_uint_eq (gr_call_pool_stats (fixture.pool).connections, 2);
  wait_for (&fixture, 3);
  ck_assert_str_eq (fixture.body, "c");
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against reporting that a request may have arrived although nothing
 * was sent, and against taking an address that refuses connections for one that
 * cannot be reached. */
START_TEST (refused_connection_is_reported_as_not_found)
{
  struct fixture fixture;

  fixture_create (&fixture, NULL, 0);
  send_to (&fixture, "127.0.0.1:1", CALL_TIMEOUT_MS);
  wait_for (&fixture, 1);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NOT_FOUND);
  send_to (&fixture, "not an address", CALL_TIMEOUT_MS);
  wait_for (&fixture, 2);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NO_TARGET);
  fixture_destroy (&fixture);
}
END_TEST

/* Opens a listening socket that accepts nothing, and fills its queue, so that
 * further connections to it wait. Sets port if it is 0. */
static int
listen_without_room (uint16_t *port, int *queued)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (*port) };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, size), 0);
  ck_assert_int_eq (listen (fd, 0), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&address, &size), 0);
  *port = ntohs (address.sin_port);
  *queued = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (connect (*queued, (struct sockaddr *)&address, size), 0);
  return fd;
}

/* Guards against a refusal that was received before a call was sent, but is
 * reported as the result of that call: since then a process has begun to
 * listen. */
START_TEST (refusal_of_an_earlier_attempt_is_not_that_of_a_later_call)
{
  struct fixture fixture;
  uint16_t port = 0;
  char address[32];
  int queued;
  int fd;

  fixture_create (&fixture, NULL, 0);
  gr_call_pool_destroy (fixture.pool);
  fixture.pool = gr_call_pool_create (1, identify);
  fd = listen_without_room (&port, &queued);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
  send_to (&fixture, address, 100);
  wait_for (&fixture, 1);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NO_TARGET);
  close (fd);
  close (queued);
  /* The connection is attempted again 1 s after the first attempt, and then
   * refused. */
  g_usleep (G_USEC_PER_SEC * 3 / 2);
  fd = listen_without_room (&port, &queued);
  send_to (&fixture, address, 300);
  wait_for (&fixture, 2);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NO_TARGET);
  close (fd);
  close (queued);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against calls whose callback never comes, or comes after the pool has
 * been destroyed. */
START_TEST (destroying_ends_open_calls)
{
  static const struct reply replies[] = { { .text = OK ("a", "1"),
                                            .delay_ms = 200 } };
  struct fixture fixture;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  for (int i = 0; i < 4; i++)
    send_to (&fixture, fixture.server.address, CALL_TIMEOUT_MS);
  run_loop_for (50);
  gr_call_pool_destroy (fixture.pool);
  fixture.pool = NULL;
  ck_assert_int_eq (fixture.callbacks, 4);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_CANCELLED);
  run_loop_for (300);
  ck_assert_int_eq (fixture.callbacks, 4);
  fixture_destroy (&fixture);
}
END_TEST

static void
record_http_response (const struct gr_http_response *response,
                      const struct gr_error *error,
                      void *context)
{
  struct fixture *fixture = context;

  fixture->callbacks++;
  fixture->status = response ? response->status : 0;
  fixture->error = error ? *error : (struct gr_error)GR_ERROR_INIT;
}

/* Guards against a timeout that is reported although the response has arrived
 * in time and is unread because the main loop is late. Checks libsoup's client;
 * the store is called with it. */
START_TEST (late_client_reads_a_response_that_is_unread)
{
  static const struct reply replies[] = { { OK ("x", "1"), 100, false } };
  struct fixture fixture;
  struct gr_http *http = gr_http_create (2);
  GBytes *body = g_bytes_new_static ("{}", 2);
  struct gr_http_request request = {
    .method = "POST",
    .content_type = "application/json",
    .body = body,
    .may_resend = true,
    .timeout_ms = 200,
  };
  g_autofree char *url = NULL;

  fixture_create (&fixture, replies, G_N_ELEMENTS (replies));
  url = g_strdup_printf ("http://%s/x", fixture.server.address);
  request.url = url;
  gr_http_call (http, &request, record_http_response, &fixture);
  run_loop_for (50);
  g_usleep (400 * G_TIME_SPAN_MILLISECOND);
  wait_for (&fixture, 1);
  ck_assert_uint_eq (fixture.status, 200);
  run_loop_for (100);
  ck_assert_int_eq (fixture.callbacks, 1);
  gr_http_destroy (http);
  g_bytes_unref (body);
  fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("call-pool");
  TCase *tests = tcase_create ("core");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, calls_share_a_connection);
  tcase_add_test (tests, closed_idle_connection_is_replaced);
  tcase_add_test (tests, connection_is_probed_once);
  tcase_add_test (tests, call_for_a_process_is_not_sent_to_another);
  tcase_add_test (tests, call_is_not_sent_again_to_another_process);
  tcase_add_test (tests, probe_without_identity_sends_no_call);
  tcase_add_test (tests, call_that_times_out_during_the_probe_is_not_sent);
  tcase_add_test (tests, failed_new_connection_is_reported);
  tcase_add_test (tests, malformed_responses_fail);
  tcase_add_test (tests, late_response_keeps_the_connection);
  tcase_add_test (tests, waiting_calls_replace_silent_connections);
  tcase_add_test (tests, refused_connection_is_reported_as_not_found);
  tcase_add_test (tests,
                  refusal_of_an_earlier_attempt_is_not_that_of_a_later_call);
  tcase_add_test (tests, destroying_ends_open_calls);
  tcase_add_test (tests, late_client_reads_a_response_that_is_unread);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
