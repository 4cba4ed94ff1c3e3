/* Tests of the limits of the HTTP server, with raw sockets as clients. */
#include "http/http-server.h"

#include <arpa/inet.h>
#include <check.h>
#include <dirent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_LIMIT_MS INT64_C (20000)

#define REQUEST "GET /small HTTP/1.1\r\nHost: a\r\n\r\n"

struct fixture
{
  struct gr_http_server *server;
  GPtrArray *held; /* paused messages of requests for /hold */
  int requests;
  size_t body_bytes;
};

static void
handle (SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        void *context)
{
  struct fixture *fixture = context;

  (void)query;
  fixture->requests++;
  fixture->body_bytes =
      (size_t)soup_server_message_get_request_body (message)->length;
  if (strcmp (path, "/hold") == 0)
    {
      g_ptr_array_add (fixture->held, g_object_ref (message));
      soup_server_message_pause (message);
      return;
    }
  soup_server_message_set_status (message, 200, NULL);
  if (strcmp (path, "/large") == 0)
    soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_TAKE,
                                      g_strnfill (30000000, 'x'), 30000000);
  else
    soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_STATIC,
                                      "small", 5);
}

static void
setup (struct fixture *fixture, const struct gr_http_server_limits *limits)
{
  struct gr_error error = GR_ERROR_INIT;

  memset (fixture, 0, sizeof *fixture);
  fixture->held = g_ptr_array_new_with_free_func (g_object_unref);
  fixture->server = gr_http_server_create ("127.0.0.1:0", limits, NULL, handle,
                                           fixture, &error);
  ck_assert_msg (fixture->server != NULL, "%s", error.message);
}

static SoupServerMessage *
last_held (const struct fixture *fixture)
{
  return g_ptr_array_index (fixture->held, fixture->held->len - 1);
}

static void
resume (gpointer message, gpointer data)
{
  (void)data;
  gr_http_server_resume (message);
}

static void
teardown (struct fixture *fixture)
{
  gr_http_server_destroy (fixture->server);
  g_ptr_array_unref (fixture->held);
}

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

/* Runs the main loop until *value equals expected. */
static void
wait_until (const int *value, int expected)
{
  bool timed_out = false;
  guint timer = g_timeout_add ((guint)WAIT_LIMIT_MS, set_flag, &timed_out);

  while (*value != expected && !timed_out)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (!timed_out, "timed out: value is %d instead of %d", *value,
                 expected);
  g_source_remove (timer);
}

static void
run_loop_ms (guint duration_ms)
{
  bool ended = false;

  g_timeout_add (duration_ms, set_flag, &ended);
  while (!ended)
    g_main_context_iteration (NULL, TRUE);
}

static void
wait_connections (struct gr_http_server *server, uint32_t expected)
{
  gint64 end_us = g_get_monotonic_time () + WAIT_LIMIT_MS * 1000;

  while (gr_http_server_connections (server) != expected
         && g_get_monotonic_time () < end_us)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (100);
    }
  ck_assert_uint_eq (gr_http_server_connections (server), expected);
}

static int
open_client (const struct gr_http_server *server)
{
  const char *address = gr_http_server_address (server);
  struct sockaddr_in target = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  target.sin_port = htons ((uint16_t)atoi (strrchr (address, ':') + 1));
  target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_ge (fd, 0);
  if (connect (fd, (struct sockaddr *)&target, sizeof target) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL),
                    (int)strlen (text));
}

/* Returns what the server sends, up to the first occurrence of until (if not
 * NULL) or the end of the connection. */
static char *
receive (int fd, const char *until)
{
  gint64 end_us = g_get_monotonic_time () + WAIT_LIMIT_MS * 1000;
  GString *text = g_string_new ("");
  char piece[4096];
  gssize size = -1;

  while (size != 0 && (until == NULL || strstr (text->str, until) == NULL))
    {
      ck_assert_msg (g_get_monotonic_time () < end_us,
                     "timed out; received: %s", text->str);
      g_main_context_iteration (NULL, FALSE);
      size = recv (fd, piece, sizeof piece, MSG_DONTWAIT);
      if (size < 0 && errno != EAGAIN)
        break;
      if (size > 0)
        g_string_append_len (text, piece, size);
      else if (size < 0)
        g_usleep (100);
    }
  return g_string_free (text, FALSE);
}

static void
expect (int fd, const char *until)
{
  char *text = receive (fd, until);

  ck_assert_msg (strstr (text, until) != NULL, "expected %s, received: %s",
                 until, text);
  g_free (text);
}

static void
expect_closed (int fd)
{
  char *text = receive (fd, NULL);

  ck_assert_msg (strstr (text, "200 OK") == NULL, "unexpected response: %s",
                 text);
  g_free (text);
  close (fd);
}

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

/* Waits until no connection is left. On a busy machine, some requests arrive
 * only after their round, so held requests are resumed here too: the server
 * detects that the client of a held request has disconnected only when it
 * responds. */
static void
wait_abandoned (struct fixture *fixture)
{
  gint64 end_us = g_get_monotonic_time () + WAIT_LIMIT_MS * 1000;

  while (gr_http_server_connections (fixture->server) > 0
         && g_get_monotonic_time () < end_us)
    {
      g_main_context_iteration (NULL, FALSE);
      g_ptr_array_foreach (fixture->held, resume, NULL);
      g_usleep (100);
    }
}

/* Guards against descriptors that stay open after the client has closed its
 * connection, at any point of a request. */
START_TEST (dropped_connections_release_descriptors)
{
  static const char *const sent[] = {
    "",
    "GET /sm",
    REQUEST,
    "POST /small HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\npart",
    "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /large HTTP/1.1\r\nHost: a\r\n\r\n",
    "nonsense\r\n\r\n",
  };
  struct gr_http_server_limits limits = gr_http_server_default_limits ();
  struct fixture fixture;
  int fds[200];
  int before;

  setup (&fixture, &limits);
  before = count_descriptors ();
  for (int round = 0; round < 20; round++)
    {
      for (int i = 0; i < 200; i++)
        {
          /* Only a few large responses, because all are held in memory. */
          int kind = i < 5 ? 5 : i % 5;

          fds[i] = open_client (fixture.server);
          ck_assert_int_ge (fds[i], 0);
          send_text (fds[i], sent[i == 199 ? 6 : kind]);
        }
      for (int i = 0; i < round; i++)
        g_main_context_iteration (NULL, FALSE);
      for (int i = 0; i < 200; i++)
        close (fds[i]);
      /* The server detects that the clients of held requests have
       * disconnected only when it responds. */
      while (g_main_context_iteration (NULL, FALSE))
        g_ptr_array_foreach (fixture.held, resume, NULL);
      g_ptr_array_set_size (fixture.held, 0);
    }
  wait_abandoned (&fixture);
  wait_connections (fixture.server, 0);
  ck_assert_int_eq (count_descriptors (), before);
  teardown (&fixture);
}
END_TEST

/* Guards against clients that occupy connections by being idle, sending a
 * request slowly or not reading the response. */
START_TEST (slow_clients_are_cut_off)
{
  struct gr_http_server_limits limits = {
    .max_connections = 4,
    .idle_ms = 300,
    .read_ms = 300,
    .write_ms = 300,
    .max_body_bytes = 1000,
  };
  struct fixture fixture;
  int fds[5];

  setup (&fixture, &limits);
  for (int i = 0; i < 5; i++)
    fds[i] = open_client (fixture.server);
  send_text (fds[0], "GET /small HT");
  send_text (fds[1],
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
  send_text (fds[2], "GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
  expect_closed (fds[4]); /* exceeds max_connections */
  wait_connections (fixture.server, 0);
  ck_assert_int_eq (fixture.requests, 1);
  ck_assert_uint_eq (gr_http_server_in_flight (fixture.server), 0);
  for (int i = 0; i < 4; i++)
    close (fds[i]);
  teardown (&fixture);
}
END_TEST

/* Guards against clients that send headers slowly, or so large that they fill
 * the memory, although header_ms and max_header_bytes are set. */
START_TEST (slow_and_large_headers_are_refused)
{
  struct gr_http_server_limits limits = {
    .max_connections = 4,
    .idle_ms = 60000,
    .read_ms = 60000,
    .write_ms = 60000,
    .max_body_bytes = 1000,
  };
  struct fixture fixture;
  g_autofree char *long_value = g_strnfill (300, 'x');
  g_autofree char *large = g_strdup_printf (
      "GET /small HTTP/1.1\r\nHost: a\r\nA: %s\r\n\r\n", long_value);
  static const char small[] = "GET /small HTTP/1.1\r\nHost: a\r\n\r\n";
  int slow;
  int idle;
  int other;

  setup (&fixture, &limits);
  limits.header_ms = 300;
  limits.max_header_bytes = 200;
  gr_http_server_set_limits (fixture.server, &limits);
  slow = open_client (fixture.server);
  idle = open_client (fixture.server);
  other = open_client (fixture.server);
  send_text (other, large);
  expect (other, "413");
  close (other);
  send_text (idle, small);
  expect (idle, "200 OK");
  send_text (slow, small);
  expect (slow, "200 OK");
  send_text (slow, "GET /small HT");
  expect_closed (slow);
  wait_connections (fixture.server, 1);
  close (idle);
  teardown (&fixture);
}
END_TEST

/* Guards against bodies that fill the memory, with and without a
 * Content-Length, and against an off-by-one error in the limit. */
START_TEST (large_bodies_are_refused)
{
  static const struct
  {
    const char *head;
    int body_bytes;
    const char *tail;
    const char *response;
  } cases[] = {
    { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n", 1000, "",
      "200 OK" },
    { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", 1001, "",
      "413 " },
    { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n",
      1000, "\r\n0\r\n\r\n", "200 OK" },
    { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n",
      1001, "\r\n0\r\n\r\n", "413 " },
    { "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Content-Length: 99999999999\r\n\r\n",
      0, "", "413 " },
  };
  struct gr_http_server_limits limits = gr_http_server_default_limits ();
  struct fixture fixture;

  limits.max_body_bytes = 1000;
  setup (&fixture, &limits);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int fd = open_client (fixture.server);
      char *body = g_strnfill ((gsize)cases[i].body_bytes, 'x');

      send_text (fd, cases[i].head);
      send_text (fd, body);
      send_text (fd, cases[i].tail);
      expect (fd, cases[i].response);
      close (fd);
      g_free (body);
    }
  ck_assert_int_eq (fixture.requests, 2);
  ck_assert_uint_eq (fixture.body_bytes, 1000);
  teardown (&fixture);
}
END_TEST

/* Guards against a graceful shutdown that interrupts a request: one that is
 * being handled, one that arrives on a keep-alive connection, or one in the
 * backlog of the listening socket. */
START_TEST (graceful_shutdown_interrupts_no_request)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();
  struct fixture fixture;
  int handled;
  int keep_alive;
  int queued;

  setup (&fixture, &limits);
  handled = open_client (fixture.server);
  keep_alive = open_client (fixture.server);
  send_text (keep_alive, REQUEST);
  expect (keep_alive, "small");
  send_text (handled, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  wait_until (&fixture.requests, 2);
  queued = open_client (fixture.server);
  send_text (queued, REQUEST);
  gr_http_server_stop_accepting (fixture.server);
  ck_assert_int_lt (open_client (fixture.server), 0);
  send_text (keep_alive, REQUEST);
  expect (keep_alive, "Connection: close");
  expect (queued, "small");
  wait_connections (fixture.server, 1);
  soup_server_message_set_status (last_held (&fixture), 200, NULL);
  gr_http_server_resume (last_held (&fixture));
  expect (handled, "Connection: close");
  wait_connections (fixture.server, 0);
  close (handled);
  close (keep_alive);
  close (queued);
  teardown (&fixture);
}
END_TEST

/* Guards against use of freed memory when a held request is resumed after its
 * client has disconnected or the server was destroyed. */
START_TEST (held_requests_can_be_resumed_late)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();
  struct fixture fixture;
  int fd;

  setup (&fixture, &limits);
  fd = open_client (fixture.server);
  send_text (fd, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  wait_until (&fixture.requests, 1);
  close (fd);
  soup_server_message_set_status (last_held (&fixture), 200, NULL);
  gr_http_server_resume (last_held (&fixture));
  wait_connections (fixture.server, 0);
  gr_http_server_resume (last_held (&fixture));
  fd = open_client (fixture.server);
  send_text (fd, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  wait_until (&fixture.requests, 2);
  gr_http_server_destroy (fixture.server);
  soup_server_message_set_status (last_held (&fixture), 200, NULL);
  gr_http_server_resume (last_held (&fixture));
  gr_http_server_drop (last_held (&fixture));
  g_ptr_array_unref (fixture.held);
  expect_closed (fd);
}
END_TEST

/* Guards against a sweep that closes an idle or slow connection although the
 * main loop was late and data of the client is still unread. */
START_TEST (late_server_answers_requests_that_wait_unread)
{
  struct gr_http_server_limits limits = {
    .max_connections = 4,
    .idle_ms = 500,
    .read_ms = 500,
    .write_ms = 60000,
    .header_ms = 500,
    .max_body_bytes = 1000,
  };
  struct fixture fixture;
  int idle;
  int headers;
  int body;

  setup (&fixture, &limits);
  idle = open_client (fixture.server);
  headers = open_client (fixture.server);
  body = open_client (fixture.server);
  send_text (idle, REQUEST);
  send_text (headers, REQUEST);
  expect (idle, "small");
  expect (headers, "small");
  send_text (headers, "GET /small HT");
  send_text (body, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  run_loop_ms (100);
  send_text (idle, REQUEST);
  send_text (headers, "TP/1.1\r\nHost: a\r\n\r\n");
  send_text (body, "cd");
  g_usleep (1200 * G_TIME_SPAN_MILLISECOND);
  expect (idle, "200 OK");
  expect (headers, "200 OK");
  expect (body, "200 OK");
  close (idle);
  close (headers);
  close (body);
  wait_connections (fixture.server, 0);
  teardown (&fixture);
}
END_TEST

/* Sends the headers of a second request in two parts, with a pause that is
 * longer than the interval of the sweep. */
static void
check_begun_request (const struct gr_http_server_limits *limits, bool stopping)
{
  struct fixture fixture;
  int fd;

  setup (&fixture, limits);
  fd = open_client (fixture.server);
  send_text (fd, REQUEST);
  expect (fd, "200 OK");
  run_loop_ms (800);
  if (stopping)
    gr_http_server_stop_accepting (fixture.server);
  run_loop_ms (500);
  send_text (fd, "GET /small HTTP/1.1\r\nHo");
  run_loop_ms (1000);
  send_text (fd, "st: a\r\n\r\n");
  expect (fd, "200 OK");
  close (fd);
  teardown (&fixture);
}

/* Guards against an idle limit that closes a connection on which a request has
 * begun to arrive. */
START_TEST (begun_requests_are_not_idle)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();

  limits.idle_ms = 1500;
  limits.header_ms = 5000;
  check_begun_request (&limits, false);
}
END_TEST

/* Guards against a graceful shutdown that closes a connection on which a
 * request has begun to arrive. */
START_TEST (graceful_shutdown_finishes_begun_requests)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();

  check_begun_request (&limits, true);
}
END_TEST

/* Sends the chunk again and again until the socket buffer is full. Returns the
 * offset at which the next call has to continue. */
static size_t
send_chunks (int fd, const char *chunk, size_t size, size_t offset)
{
  ssize_t sent;

  while ((sent = send (fd, chunk + offset, size - offset,
                       MSG_DONTWAIT | MSG_NOSIGNAL))
         > 0)
    offset = (offset + (size_t)sent) % size;
  return offset;
}

/* Guards against a client that keeps its connection open without limit by
 * sending faster than the server reads, so that unread data never ends. */
START_TEST (endless_bodies_are_cut_off)
{
  struct gr_http_server_limits limits = {
    .max_connections = 4,
    .idle_ms = 500,
    .read_ms = 500,
    .write_ms = 60000,
    .header_ms = 500,
    .max_body_bytes = 1000,
  };
  g_autofree char *data = g_strnfill (0x1000, 'x');
  g_autofree char *chunk = g_strdup_printf ("1000\r\n%s\r\n", data);
  struct fixture fixture;
  size_t offset = 0;
  gint64 end_us;
  int fd;

  setup (&fixture, &limits);
  fd = open_client (fixture.server);
  send_text (fd, "POST / HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
  run_loop_ms (50);
  ck_assert_uint_eq (gr_http_server_connections (fixture.server), 1);
  end_us = g_get_monotonic_time () + 5 * G_TIME_SPAN_SECOND;
  while (gr_http_server_connections (fixture.server) > 0
         && g_get_monotonic_time () < end_us)
    {
      offset = send_chunks (fd, chunk, strlen (chunk), offset);
      g_main_context_iteration (NULL, FALSE);
    }
  ck_assert_uint_eq (gr_http_server_connections (fixture.server), 0);
  close (fd);
  teardown (&fixture);
}
END_TEST

static Suite *
make_suite (void)
{
  Suite *suite = suite_create ("http-server");
  TCase *tcase = tcase_create ("http-server");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, dropped_connections_release_descriptors);
  tcase_add_test (tcase, slow_clients_are_cut_off);
  tcase_add_test (tcase, slow_and_large_headers_are_refused);
  tcase_add_test (tcase, late_server_answers_requests_that_wait_unread);
  tcase_add_test (tcase, endless_bodies_are_cut_off);
  tcase_add_test (tcase, large_bodies_are_refused);
  tcase_add_test (tcase, graceful_shutdown_interrupts_no_request);
  tcase_add_test (tcase, held_requests_can_be_resumed_late);
  tcase_add_test (tcase, begun_requests_are_not_idle);
  tcase_add_test (tcase, graceful_shutdown_finishes_begun_requests);
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
