#include "standins/relay.h"

#include "http/http-listen.h"

#include <check.h>
#include <stdlib.h>

/* Time for what is relayed to arrive, or to be held. */
#define PASS_MS 200
#define WAIT_MS 3000

struct fixture
{
  char *address; /* of the target */
  GSocket *target;
  struct gr_relay *relay;
  GSocketConnection *client;
};

static struct fixture fixture;

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
start_target (const char *address)
{
  struct gr_error error = GR_ERROR_INIT;
  char *listened = NULL;

  fixture.target = gr_listen (address, &listened, &error);
  ck_assert_msg (fixture.target != NULL, "%s", error.message);
  g_socket_set_blocking (fixture.target, FALSE);
  g_free (fixture.address);
  fixture.address = listened;
}

/* As with the process that listens. */
static void
end_target (void)
{
  g_socket_close (fixture.target, NULL);
  g_clear_object (&fixture.target);
}

static void
restart_target (void)
{
  g_autofree char *address = g_strdup (fixture.address);

  end_target ();
  start_target (address);
}

static void
connect_client (void)
{
  g_autoptr (GSocketClient) connector = g_socket_client_new ();

  g_socket_client_set_enable_proxy (connector, FALSE);
  fixture.client = g_socket_client_connect_to_host (
      connector, gr_relay_address (fixture.relay), 0, NULL, NULL);
  ck_assert (fixture.client != NULL);
  g_socket_set_blocking (g_socket_connection_get_socket (fixture.client),
                         FALSE);
}

static void
send_byte (void)
{
  ck_assert_int_eq (
      g_socket_send (g_socket_connection_get_socket (fixture.client), "x", 1,
                     NULL, NULL),
      1);
}

/* Returns the next connection to the target, or NULL. */
static GSocket *
accept_within (guint time_ms)
{
  GSocket *socket = NULL;

  for (guint ms = 0; ms < time_ms && socket == NULL; ms += 10)
    {
      run_loop_for (10);
      socket = g_socket_accept (fixture.target, NULL, NULL);
    }
  if (socket != NULL)
    g_socket_set_blocking (socket, FALSE);
  return socket;
}

static void
assert_byte_arrives (GSocket *socket)
{
  char byte = 0;

  for (guint ms = 0; ms < WAIT_MS && byte == 0; ms += 10)
    {
      run_loop_for (10);
      g_socket_receive (socket, &byte, 1, NULL, NULL);
    }
  ck_assert_int_eq (byte, 'x');
}

/* Returns whether the stream to the client has ended. */
static bool
client_sees_end (void)
{
  g_autoptr (GError) error = NULL;
  char byte;
  gssize size = g_socket_receive (
      g_socket_connection_get_socket (fixture.client), &byte, 1, NULL, &error);

  return size == 0
         || (size < 0
             && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK));
}

static void
setup (void)
{
  struct gr_error error = GR_ERROR_INIT;

  fixture = (struct fixture){ 0 };
  start_target ("127.0.0.1:0");
  fixture.relay =
      gr_relay_create ("127.0.0.1:0", fixture.address, "127.0.0.1:0", &error);
  ck_assert_msg (fixture.relay != NULL, "%s", error.message);
}

static void
teardown (void)
{
  gr_relay_destroy (fixture.relay);
  g_clear_object (&fixture.client);
  end_target ();
  g_free (fixture.address);
}

/* Guards against a soak in which connections to a process that is down are
 * refused, so that no call that was meant for it reaches the next one. */
START_TEST (held_connection_reaches_the_next_process)
{
  g_autoptr (GSocket) accepted = NULL;

  end_target ();
  gr_relay_set_hold (fixture.relay, true);
  connect_client ();
  send_byte ();
  run_loop_for (PASS_MS);
  ck_assert (!client_sees_end ());
  start_target (fixture.address);
  ck_assert (accept_within (PASS_MS) == NULL);
  gr_relay_set_hold (fixture.relay, false);
  accepted = accept_within (WAIT_MS);
  ck_assert (accepted != NULL);
  assert_byte_arrives (accepted);
  ck_assert (!client_sees_end ());
}
END_TEST

/* Guards against a relay that joins a connection to a process that has ended
 * and one to the next process: no network does that, and callers rely on it. */
START_TEST (connection_ends_with_its_process)
{
  g_autoptr (GSocket) former = NULL;

  connect_client ();
  send_byte ();
  former = accept_within (WAIT_MS);
  ck_assert (former != NULL);
  assert_byte_arrives (former);
  gr_relay_set_hold (fixture.relay, true);
  g_socket_close (former, NULL);
  restart_target ();
  send_byte ();
  run_loop_for (PASS_MS);
  ck_assert (!client_sees_end ());
  gr_relay_set_hold (fixture.relay, false);
  ck_assert (accept_within (PASS_MS) == NULL);
  ck_assert (client_sees_end ());
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay");
  TCase *tests = tcase_create ("hold");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 30);
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, held_connection_reaches_the_next_process);
  tcase_add_test (tests, connection_ends_with_its_process);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
