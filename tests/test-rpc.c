/* Tests of frames, and of RPC calls between a client and a server in one
 * process. */
#include "rpc/rpc.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

struct fixture
{
  GMainLoop *loop;
  struct gr_rpc_call *held;
  struct gr_rpc_client *client; /* destroyed by destroy_client () */
  int replies;
  enum gr_error_kind last_kind;
  int64_t values[2];
};

static void
handle (struct gr_rpc_call *call,
        const char *method,
        const msgpack_object *body,
        void *context)
{
  struct fixture *fixture = context;
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *reply;

  if (strcmp (method, "hold") == 0)
    {
      fixture->held = call;
      return;
    }
  if (strcmp (method, "fail") == 0)
    {
      gr_error_set_retry (&error, GR_ERROR_RATE_LIMITED, 70, "slow down");
      gr_rpc_fail (call, &error);
      return;
    }
  reply = gr_packer_create ();
  gr_pack_int (reply, "value", gr_unpack_int (body, "value", -1));
  gr_rpc_reply (call, reply);
  if (fixture->held != NULL)
    {
      gr_rpc_reply (fixture->held, NULL);
      fixture->held = NULL;
    }
  gr_packer_destroy (reply);
}

static void
record_reply (const msgpack_object *body,
              const struct gr_error *error,
              void *context)
{
  struct fixture *fixture = context;

  fixture->last_kind = error ? error->kind : GR_ERROR_NONE;
  if (fixture->replies < 2 && body != NULL)
    fixture->values[fixture->replies] = gr_unpack_int (body, "value", 0);
  fixture->replies++;
  g_main_loop_quit (fixture->loop);
}

/* Guards against replies that are assigned to the wrong call when they arrive
 * in another order than the calls were sent. */
START_TEST (replies_out_of_order_reach_their_calls)
{
  struct fixture fixture = { .loop = g_main_loop_new (NULL, FALSE) };
  struct gr_error error = GR_ERROR_INIT;
  struct gr_rpc_server *server =
      gr_rpc_server_create ("127.0.0.1:0", handle, &fixture, &error);
  struct gr_rpc_client *client =
      gr_rpc_client_create (gr_rpc_server_address (server));
  struct gr_packer *body = gr_packer_create ();

  gr_pack_int (body, "value", 42);
  gr_rpc_call (client, "hold", NULL, 5000, record_reply, &fixture);
  gr_rpc_call (client, "echo", body, 5000, record_reply, &fixture);
  while (fixture.replies < 2)
    g_main_loop_run (fixture.loop);
  ck_assert_int_eq (fixture.values[0], 42);
  ck_assert_int_eq (fixture.values[1], 0);
  gr_rpc_call (client, "fail", NULL, 5000, record_reply, &fixture);
  g_main_loop_run (fixture.loop);
  ck_assert_int_eq (fixture.last_kind, GR_ERROR_RATE_LIMITED);
  gr_packer_destroy (body);
  gr_rpc_client_destroy (client);
  gr_rpc_server_destroy (server);
  g_main_loop_unref (fixture.loop);
}
END_TEST

/* Guards against calls that never end when the peer does not reply or cannot be
 * reached, or when the client is destroyed. */
START_TEST (calls_end_when_peer_is_silent_or_unreachable)
{
  struct fixture fixture = { .loop = g_main_loop_new (NULL, FALSE) };
  struct gr_error error = GR_ERROR_INIT;
  struct gr_rpc_server *server =
      gr_rpc_server_create ("127.0.0.1:0", handle, &fixture, &error);
  struct gr_rpc_client *client =
      gr_rpc_client_create (gr_rpc_server_address (server));

  gr_rpc_call (client, "hold", NULL, 50, record_reply, &fixture);
  g_main_loop_run (fixture.loop);
  ck_assert_int_eq (fixture.last_kind, GR_ERROR_TIMEOUT);
  gr_rpc_reply (fixture.held, NULL);
  gr_rpc_server_destroy (server);
  gr_rpc_call (client, "echo", NULL, 5000, record_reply, &fixture);
  g_main_loop_run (fixture.loop);
  ck_assert_int_ne (fixture.last_kind, GR_ERROR_NONE);
  gr_rpc_call (client, "echo", NULL, 5000, record_reply, &fixture);
  gr_rpc_client_destroy (client);
  ck_assert_int_eq (fixture.last_kind, GR_ERROR_CANCELLED);
  g_main_loop_unref (fixture.loop);
}
END_TEST

/* Accepts the connection of a call and waits for the bytes of the call. */
static GSocket *
accept_call (GSocket *listener)
{
  GSocket *peer = NULL;

  while (peer == NULL)
    {
      g_main_context_iteration (NULL, FALSE);
      if (g_socket_condition_check (listener, G_IO_IN) != 0)
        peer = g_socket_accept (listener, NULL, NULL);
    }
  while (g_socket_condition_check (peer, G_IO_IN) == 0)
    g_main_context_iteration (NULL, FALSE);
  return peer;
}

/* Guards against a timeout that is reported although the reply has arrived in
 * time and is unread because the main loop is late. */
START_TEST (late_client_reads_a_reply_that_is_unread)
{
  struct fixture fixture = { .loop = g_main_loop_new (NULL, FALSE) };
  GSocketAddress *any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  GSocket *listener = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, NULL);
  GBytes *reply = gr_frame_build (GR_FRAME_REPLY, 1, "", NULL);
  g_autofree char *address = NULL;
  struct gr_rpc_client *client;
  GSocketAddress *local;
  GSocket *peer;

  ck_assert (g_socket_bind (listener, any, FALSE, NULL));
  ck_assert (g_socket_listen (listener, NULL));
  local = g_socket_get_local_address (listener, NULL);
  address = g_strdup_printf (
      "127.0.0.1:%u",
      g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local)));
  client = gr_rpc_client_create (address);
  gr_rpc_call (client, "echo", NULL, 300, record_reply, &fixture);
  peer = accept_call (listener);
  ck_assert_int_eq (g_socket_send (peer, g_bytes_get_data (reply, NULL),
                                   g_bytes_get_size (reply), NULL, NULL),
                    (gssize)g_bytes_get_size (reply));
  g_usleep (400 * G_TIME_SPAN_MILLISECOND);
  g_main_loop_run (fixture.loop);
  ck_assert_int_eq (fixture.last_kind, GR_ERROR_NONE);
  gr_rpc_client_destroy (client);
  ck_assert_int_eq (fixture.replies, 1);
  g_bytes_unref (reply);
  g_object_unref (peer);
  g_object_unref (listener);
  g_object_unref (local);
  g_object_unref (any);
  g_main_loop_unref (fixture.loop);
}
END_TEST

static void
destroy_client (const msgpack_object *body,
                const struct gr_error *error,
                void *context)
{
  struct fixture *fixture = context;

  ck_assert_ptr_null (body);
  ck_assert_int_eq (error->kind, GR_ERROR_TIMEOUT);
  gr_rpc_client_destroy (fixture->client);
  fixture->replies++;
}

/* Guards against the use of freed memory after the callback of a timeout has
 * destroyed the client. */
START_TEST (timeout_may_destroy_the_client)
{
  struct fixture fixture = { .loop = g_main_loop_new (NULL, FALSE) };
  struct gr_error error = GR_ERROR_INIT;
  struct gr_rpc_server *server =
      gr_rpc_server_create ("127.0.0.1:0", handle, &fixture, &error);

  fixture.client = gr_rpc_client_create (gr_rpc_server_address (server));
  gr_rpc_call (fixture.client, "hold", NULL, 50, destroy_client, &fixture);
  while (fixture.replies == 0)
    g_main_context_iteration (NULL, TRUE);
  gr_rpc_reply (fixture.held, NULL);
  gr_rpc_server_destroy (server);
  g_main_loop_unref (fixture.loop);
}
END_TEST

/* Guards against a frame reader that does not check lengths and types received
 * from the network. */
START_TEST (malformed_frames_are_refused)
{
  static const char *const streams[] = {
    "\xff\xff\xff\xff",             /* length above the limit */
    "\x00\x00\x00\x01\xc1",         /* not msgpack */
    "\x00\x00\x00\x01\x05",         /* not an array */
    "\x00\x00\x00\x03\x92\x00\x01", /* too few fields */
  };
  static const size_t sizes[] = { 4, 5, 5, 7 };

  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      struct gr_frame_reader *reader = gr_frame_reader_create ();
      struct gr_error error = GR_ERROR_INIT;
      struct gr_frame frame;

      gr_frame_reader_feed (reader, streams[i], sizes[i]);
      ck_assert (!gr_frame_reader_next (reader, &frame, &error));
      ck_assert_int_eq (error.kind, GR_ERROR_PROTOCOL);
      gr_frame_reader_destroy (reader);
    }
}
END_TEST

/* Guards against frames that are lost when their bytes arrive in several
 * reads. */
START_TEST (split_frames_are_reassembled)
{
  struct gr_frame_reader *reader = gr_frame_reader_create ();
  struct gr_error error = GR_ERROR_INIT;
  struct gr_frame frame;
  struct gr_packer *body = gr_packer_create ();
  GBytes *bytes;
  gsize size;
  const char *data;
  int frames = 0;

  gr_pack_string (body, "text", "proof");
  bytes = gr_frame_build (GR_FRAME_CALL, 7, "echo", body);
  data = g_bytes_get_data (bytes, &size);
  for (int round = 0; round < 3; round++)
    for (gsize i = 0; i < size; i++)
      {
        gr_frame_reader_feed (reader, data + i, 1);
        if (gr_frame_reader_next (reader, &frame, &error))
          frames++;
        ck_assert_int_eq (error.kind, GR_ERROR_NONE);
      }
  ck_assert_int_eq (frames, 3);
  ck_assert_uint_eq (frame.id, 7);
  g_bytes_unref (bytes);
  gr_packer_destroy (body);
  gr_frame_reader_destroy (reader);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rpc");
  TCase *tcase = tcase_create ("rpc");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, replies_out_of_order_reach_their_calls);
  tcase_add_test (tcase, calls_end_when_peer_is_silent_or_unreachable);
  tcase_add_test (tcase, late_client_reads_a_reply_that_is_unread);
  tcase_add_test (tcase, timeout_may_destroy_the_client);
  tcase_add_test (tcase, malformed_frames_are_refused);
  tcase_add_test (tcase, split_frames_are_reassembled);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
