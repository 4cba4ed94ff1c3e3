/* Tests of the entry process against the stand-ins: invalid input, requests,
 * marks, overload and shutdown. */
#include "tests/entry-world.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static struct world world;

static void
start_one (void)
{
  world_start (&world, 1, 2, 8);
}

static void
start_small (void)
{
  world_start (&world, 1, 1, 2);
}

static void
start_many (void)
{
  world_start (&world, 1, WORLD_MAX, 8);
}

static void
stop (void)
{
  world_stop (&world);
}

/* Checks that the reply is an error with this status, kind and run state,
 * and that a "not-run" error states a retry-after time. Clears the reply. */
static void
expect_refusal (struct reply *reply,
                int status,
                const char *kind,
                const char *run_state)
{
  char *actual_kind = reply_text (reply, "kind");
  char *actual_state = reply_text (reply, "run_state");

  ck_assert_msg (reply->status == status, "%d: %s", reply->status, reply->body);
  ck_assert_str_eq (actual_kind, kind);
  ck_assert_str_eq (actual_state, run_state);
  if (strcmp (run_state, "not-run") == 0)
    {
      ck_assert_int_gt (reply_number (reply, "retry_after_ms"), 0);
      ck_assert_ptr_nonnull (strstr (reply->headers, "\r\nRetry-After: "));
    }
  g_free (actual_kind);
  g_free (actual_state);
  reply_clear (reply);
}

static void
expect_success (struct reply *reply, const char *body)
{
  ck_assert_msg (reply->status == 200, "%d: %s", reply->status, reply->body);
  ck_assert_str_eq (reply->body, body);
  reply_clear (reply);
}

#define TOKEN_A "Authorization: Bearer token-a\r\n"
#define REQUEST_A TOKEN_A "Geraniumrack-Account: a\r\nIdempotency-Key: k\r\n"

struct bad_input
{
  const char *method;
  const char *path;
  const char *headers;
  const char *body;
  int status;
  const char *kind;
};

static const struct bad_input bad_inputs[] = {
  { "GET", "/v1/nothing", "", "", 404, "not-found" },
  { "PATCH", "/v1/requests", "", "", 400, "bad-request" },
  { "GET", "/v1/settings/%ff%fe", "", "", 400, "bad-request" },
  { "GET", "/v1/settings/teams/UPPER", "", "", 400, "bad-request" },
  { "GET", "/v1/settings/teams/a/../../platform", TOKEN_A, "", 403,
    "forbidden" },
  { "POST", "/v1/requests", TOKEN_A, "x", 400, "bad-request" },
  { "POST", "/v1/requests", TOKEN_A "Geraniumrack-Account: a\r\n", "x", 400,
    "bad-request" },
  { "POST", "/v1/requests", REQUEST_A "Geraniumrack-Deadline-Ms: -5\r\n", "x",
    400, "bad-request" },
  { "POST", "/v1/requests",
    REQUEST_A "Geraniumrack-Deadline-Ms: 99999999999999999999\r\n", "x", 400,
    "bad-request" },
  { "POST", "/v1/requests", REQUEST_A "Geraniumrack-Idempotent: maybe\r\n", "x",
    400, "bad-request" },
  { "POST", "/v1/requests", REQUEST_A "Geraniumrack-Kind: \xff\xfe\r\n", "x",
    400, "bad-request" },
  { "POST", "/v1/requests",
    TOKEN_A "Geraniumrack-Account: a\r\nIdempotency-Key: ../../x\r\n", "x", 400,
    "bad-request" },
  { "POST", "/v1/requests",
    TOKEN_A "Geraniumrack-Account: none\r\nIdempotency-Key: k\r\n", "x", 404,
    "unknown-account" },
  { "POST", "/v1/requests",
    TOKEN_A "Geraniumrack-Account: b\r\nIdempotency-Key: k\r\n", "x", 403,
    "forbidden" },
  { "POST", "/v1/requests",
    "Authorization: Bearer guess\r\nGeraniumrack-Account: a\r\n"
    "Idempotency-Key: k\r\n",
    "x", 401, "unauthenticated" },
  { "POST", "/v1/requests", "Geraniumrack-Account: a\r\nIdempotency-Key: k\r\n",
    "x", 401, "unauthenticated" },
  { "POST", "/v1/jobs", TOKEN_A, "{\"account\":", 400, "bad-request" },
  { "POST", "/v1/jobs", TOKEN_A, "[1,2]", 400, "bad-request" },
  { "POST", "/v1/jobs", TOKEN_A,
    "{\"account\":\"a\",\"key\":\"k\",\"workers\":1e300,"
    "\"accelerators_per_worker\":1,\"run_ms\":1}",
    400, "bad-request" },
  { "POST", "/v1/jobs", TOKEN_A,
    "{\"account\":\"a\",\"key\":\"k\",\"workers\":1,"
    "\"accelerators_per_worker\":1,\"run_ms\":-1}",
    400, "bad-request" },
  { "POST", "/v1/jobs", TOKEN_A,
    "{\"account\":\"a\",\"key\":\"\\u0000\",\"workers\":1,"
    "\"accelerators_per_worker\":1,\"run_ms\":1}",
    400, "bad-request" },
  { "POST", "/v1/jobs", TOKEN_A,
    "{\"account\":\"none\",\"key\":\"k\",\"workers\":1,"
    "\"accelerators_per_worker\":1,\"run_ms\":1}",
    404, "unknown-account" },
  { "POST", "/v1/jobs", TOKEN_A, "{\"wrokers\":1}", 400, "bad-request" },
  { "GET", "/v1/jobs/nodots", TOKEN_A, "", 400, "bad-request" },
  { "GET", "/v1/jobs/dc9.a.k", TOKEN_A, "", 404, "not-found" },
  { "GET", "/v1/jobs?account=a&limit=0", TOKEN_A, "", 400, "bad-request" },
  { "GET", "/v1/jobs?account=a&state=odd", TOKEN_A, "", 400, "bad-request" },
  { "GET", "/v1/jobs?account=b", TOKEN_A, "", 403, "forbidden" },
  { "GET", "/v1/members", TOKEN_A, "", 403, "forbidden" },
  { "GET", "/v1/members?limit=x", "", "", 400, "bad-request" },
  { "PUT", "/v1/settings/teams/b", TOKEN_A "If-Match: \"0\"\r\n", "[account]\n",
    403, "forbidden" },
  { "PUT", "/v1/settings/teams/a", TOKEN_A, "[account]\n", 428,
    "precondition-required" },
  { "PUT", "/v1/settings/teams/a", TOKEN_A "If-Match: soon\r\n", "[account]\n",
    400, "bad-request" },
  { "PUT", "/v1/settings/teams/a", TOKEN_A "If-Match: \"1\"\r\n",
    "[account]\nrate_per_s = fast\n", 422, "bad-settings" },
  { "PUT", "/v1/settings/teams/a", TOKEN_A "If-Match: \"1\"\r\n", "\xff", 400,
    "bad-request" },
};

/* Guards against invalid input that is accepted, gets an unclear error, or
 * crashes the process. Each row is one case; a valid request must still
 * succeed afterwards. */
START_TEST (bad_input_gets_a_clear_error)
{
  const struct bad_input *bad = &bad_inputs[_i];
  struct reply reply =
      world_call (&world, 0, bad->method, bad->path, bad->headers, bad->body);

  expect_refusal (&reply, bad->status, bad->kind, "never");
  reply = world_request (&world, 0, "good", "", "good");
  expect_success (&reply, "good");
}
END_TEST

/* Guards against request bodies of unlimited size: a body one byte above the
 * limit must be refused without starting a run. */
START_TEST (oversized_body_is_refused)
{
  gsize size = world.entries[0]->platform.max_body_bytes + 1;
  char *body = g_malloc (size + 1);
  struct reply reply;

  memset (body, 'x', size);
  body[size] = '\0';
  reply = world_request (&world, 0, "large", "", body);
  expect_refusal (&reply, 413, "too-large", "never");
  ck_assert_uint_eq (world_started (&world, "a.large"), 0);
  g_free (body);
}
END_TEST

/* Guards against truncated responses to a client that has closed its sending
 * side, and against executor slots that stay occupied after a client has
 * disconnected. */
START_TEST (half_closed_and_disconnected_clients)
{
  struct client *half_closed = client_open (&world, 0);
  struct client *disconnected = client_open (&world, 0);
  char *text = request_text ("half", "", "run_ms=100 half");
  struct reply reply;

  client_send (half_closed, text, strlen (text));
  ck_assert (g_socket_shutdown (half_closed->socket, FALSE, TRUE, NULL));
  client_send (disconnected, text, strlen (text));
  world_sleep (20);
  client_close (disconnected);
  client_read (half_closed, &reply);
  expect_success (&reply, "run_ms=100 half");
  client_close (half_closed);
  g_free (text);
  world_sleep (150);
  ck_assert_uint_eq (gr_executors_in_flight (world.entries[0]->executors), 0);
  disconnected = client_open (&world, 0);
  client_send (disconnected,
               "POST /v1/requests HTTP/1.1\r\nContent-Length: 9\r\n", 48);
  client_close (disconnected);
  reply = world_request (&world, 0, "after", "", "after");
  expect_success (&reply, "after");
}
END_TEST

#define CONCURRENT_REQUESTS 24

/* Guards against responses that are sent to the wrong client: many
 * concurrent requests complete in the reverse order of their arrival. */
START_TEST (every_request_gets_its_own_answer)
{
  struct client *clients[CONCURRENT_REQUESTS];
  char *bodies[CONCURRENT_REQUESTS];

  for (int i = 0; i < CONCURRENT_REQUESTS; i++)
    {
      char key[16];
      char *text;

      g_snprintf (key, sizeof key, "crowd-%d", i);
      bodies[i] =
          g_strdup_printf ("run_ms=%d %s", (CONCURRENT_REQUESTS - i) * 5, key);
      text = request_text (key, "", bodies[i]);
      clients[i] = client_open (&world, 0);
      client_send (clients[i], text, strlen (text));
      g_free (text);
    }
  for (int i = 0; i < CONCURRENT_REQUESTS; i++)
    {
      struct reply reply;

      client_read (clients[i], &reply);
      expect_success (&reply, bodies[i]);
      client_close (clients[i]);
      g_free (bodies[i]);
    }
}
END_TEST

/* Guards against passing on a response that is truncated or belongs to
 * another request, when an executor violates the protocol. */
START_TEST (broken_answers_are_not_passed_on)
{
  static const char *const faults[] = { "wrong_key", "truncate", "no_length" };
  char body[64];
  struct reply reply;

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      g_snprintf (body, sizeof body, "{\"%s\":true}", faults[i]);
      world_control (&world, 0, body);
      reply = world_request (&world, 0, faults[i], "", "abcdefgh");
      ck_assert_msg (reply.status == 502, "%s: %d", faults[i], reply.status);
      expect_refusal (&reply, 502,
                      strstr (reply.body, "\"protocol\"") ? "protocol" : "io",
                      "may-have-run");
      g_snprintf (body, sizeof body, "{\"%s\":false}", faults[i]);
      world_control (&world, 0, body);
    }
}
END_TEST

/* Guards against a second run of a non-idempotent request: by a retry when
 * the executor closes the connection after it has read the request, and by a
 * later request with the same key. */
START_TEST (non_idempotent_work_runs_at_most_once)
{
  const char *non_idempotent = "Geraniumrack-Idempotent: false\r\n";
  struct reply reply;

  world_control (&world, 0, "{\"close_after_read\":true}");
  world_control (&world, 1, "{\"close_after_read\":true}");
  reply = world_request (&world, 0, "once", non_idempotent, "x");
  ck_assert_int_eq (reply.status, 502);
  reply_clear (&reply);
  world_control (&world, 0, "{\"close_after_read\":false}");
  world_control (&world, 1, "{\"close_after_read\":false}");
  reply = world_request (&world, 0, "once", non_idempotent, "x");
  expect_refusal (&reply, 502, "may-have-run", "may-have-run");
  ck_assert_uint_eq (world_started (&world, "a.once"), 1);
  reply = world_request (&world, 0, "done", non_idempotent, "x");
  expect_success (&reply, "x");
  world_sleep (100); /* the outcome is written after the response */
  reply = world_request (&world, 0, "done", non_idempotent, "x");
  expect_refusal (&reply, 409, "duplicate", "may-have-run");
  ck_assert_uint_eq (world_started (&world, "a.done"), 1);
}
END_TEST

/* Guards against a request that is refused or run twice because the store's
 * response to the write of its mark was lost, both if the write was applied and
 * if it was not. */
START_TEST (lost_answers_to_marks_are_read_back)
{
  const char *non_idempotent = "Geraniumrack-Idempotent: false\r\n";
  struct reply reply;

  /* This request obtains the lease. */
  reply = world_request (&world, 0, "first", non_idempotent, "x");
  expect_success (&reply, "x");
  world_sleep (100);
  world_kv_faults (&world)->lose_answers = 1;
  reply = world_request (&world, 0, "lost-answer", non_idempotent, "x");
  expect_success (&reply, "x");
  ck_assert_uint_eq (world_started (&world, "a.lost-answer"), 1);
  world_sleep (100);
  world_kv_faults (&world)->lose_requests = 1;
  reply = world_request (&world, 0, "lost-request", non_idempotent, "x");
  expect_success (&reply, "x");
  ck_assert_uint_eq (world_started (&world, "a.lost-request"), 1);
}
END_TEST

/* Guards against "not-run" errors for requests that were sent, and against
 * idempotent requests that wait for the store during an outage. After a
 * refusal the same key must work again, because the mark is removed. */
START_TEST (store_outage_refuses_only_what_needs_a_mark)
{
  const char *non_idempotent = "Geraniumrack-Idempotent: false\r\n";
  const char *short_deadline =
      "Geraniumrack-Idempotent: false\r\nGeraniumrack-Deadline-Ms: 400\r\n";
  struct reply reply;

  reply = world_request (&world, 0, "first", non_idempotent, "x");
  expect_success (&reply, "x");
  world_kv_faults (&world)->down = 1;
  reply = world_request (&world, 0, "down", non_idempotent, "x");
  expect_refusal (&reply, 503, "store-unavailable", "not-run");
  reply = world_request (&world, 0, "other", "", "y");
  expect_success (&reply, "y");
  world_kv_faults (&world)->down = 0;
  world_kv_faults (&world)->answer_after_ms = 1000;
  reply = world_request (&world, 0, "late", short_deadline, "x");
  expect_refusal (&reply, 503, "store-unavailable", "not-run");
  ck_assert_uint_eq (world_started (&world, "a.down"), 0);
  ck_assert_uint_eq (world_started (&world, "a.late"), 0);
  world_kv_faults (&world)->answer_after_ms = 0;
  do
    {
      world_sleep (200);
      reply = world_request (&world, 0, "late", non_idempotent, "x");
      ck_assert_uint_eq (world_started (&world, "a.late"),
                         reply.status == 200 ? 1 : 0);
      if (reply.status == 200)
        break;
      expect_refusal (&reply, 503, "store-unavailable", "not-run");
    }
  while (true);
  expect_success (&reply, "x");
}
END_TEST

#define FAULT_REQUESTS 120

/* Clears all store faults, then sets one of them or switches an executor
 * fault on or off, chosen at random. */
static void
inject_random_fault (GRand *random)
{
  struct gr_standin_faults *faults = world_kv_faults (&world);

  memset (faults, 0, sizeof *faults);
  switch (g_rand_int_range (random, 0, 6))
    {
    case 0:
      faults->lose_answers = 2;
      break;
    case 1:
      faults->lose_requests = 2;
      break;
    case 2:
      faults->down = 1;
      break;
    case 3:
      faults->answer_after_ms = 150;
      break;
    case 4:
      world_control (&world, 0, "{\"close_after_read\":true}");
      break;
    default:
      world_control (&world, 0, "{\"close_after_read\":false}");
    }
}

/* Guards against requests that run twice, successful responses without a
 * run, and "not-run" errors for requests that ran. Every key is used twice
 * while faults of the store and of an executor change at random. */
START_TEST (run_states_are_correct_under_random_faults)
{
  const char *non_idempotent =
      "Geraniumrack-Idempotent: false\r\nGeraniumrack-Deadline-Ms: 600\r\n";
  GRand *random = g_rand_new_with_seed (11);
  struct client *clients[FAULT_REQUESTS] = { NULL };
  struct reply replies[FAULT_REQUESTS] = { 0 };
  char key[24];

  for (int i = 0; i < FAULT_REQUESTS; i++)
    {
      char *text;

      g_snprintf (key, sizeof key, "storm-%d", i / 2);
      text = request_text (key, non_idempotent, "run_ms=5 x");
      clients[i] = client_open (&world, 0);
      client_send (clients[i], text, strlen (text));
      g_free (text);
      world_sleep (g_rand_int_range (random, 0, 30));
      if (i % 4 == 0)
        inject_random_fault (random);
    }
  for (int i = 0; i < FAULT_REQUESTS; i++)
    client_read (clients[i], &replies[i]);
  for (int i = 0; i < FAULT_REQUESTS; i += 2)
    {
      int answered =
          (replies[i].status == 200) + (replies[i + 1].status == 200);
      bool neither_ran = strstr (replies[i].body, "\"not-run\"") != NULL
                         && strstr (replies[i + 1].body, "\"not-run\"") != NULL;
      uint32_t started;

      g_snprintf (key, sizeof key, "a.storm-%d", i / 2);
      started = world_started (&world, key);
      ck_assert_uint_le (started, 1);
      ck_assert_int_le (answered, (int)started);
      ck_assert (!neither_ran || started == 0);
      for (int j = i; j < i + 2; j++)
        {
          ck_assert_int_ne (replies[j].status, 0);
          reply_clear (&replies[j]);
          client_close (clients[j]);
        }
    }
  g_rand_free (random);
}
END_TEST

/* Sends successful requests, which add to the account's retry budget. */
static void
earn_retry_budget (void)
{
  for (int i = 0; i < 100; i++)
    {
      struct reply reply;
      char key[16];

      g_snprintf (key, sizeof key, "warm-%d", i);
      reply = world_request (&world, 0, key, "", "x");
      expect_success (&reply, "x");
    }
}

/* Guards against a "not-run" error derived from the last try alone, when an
 * executor may have run an earlier try: one executor closes the connection
 * after reading the request, the other refuses it. */
START_TEST (all_tries_count_for_the_run_state)
{
  int n_started = 0;

  earn_retry_budget ();
  world_control (&world, 0, "{\"close_after_read\":true}");
  world_control (&world, 1, "{\"refuse_all\":true}");
  for (int i = 0; i < 8; i++)
    {
      struct reply reply;
      char key[16];
      char full[24];

      g_snprintf (key, sizeof key, "tries-%d", i);
      g_snprintf (full, sizeof full, "a.%s", key);
      reply = world_request (&world, 0, key,
                             "Geraniumrack-Deadline-Ms: 300\r\n", "x");
      ck_assert_int_ne (reply.status, 200);
      if (world_started (&world, full) > 0)
        {
          n_started++;
          ck_assert_msg (strstr (reply.body, "\"may-have-run\"") != NULL, "%s",
                         reply.body);
        }
      reply_clear (&reply);
    }
  ck_assert_int_gt (n_started, 0);
}
END_TEST

/* Guards against retry storms that exhaust the retry budget, and against
 * idempotent requests that fail because one of two executors is broken. */
START_TEST (idempotent_work_moves_to_another_executor)
{
  struct reply reply;
  char key[16];
  int answered = 0;

  earn_retry_budget ();
  world_control (&world, 0, "{\"close_after_read\":true}");
  for (int i = 0; i < 50; i++)
    {
      g_snprintf (key, sizeof key, "broken-%d", i);
      reply = world_request (&world, 0, key, "", "x");
      answered += reply.status == 200 ? 1 : 0;
      reply_clear (&reply);
    }
  ck_assert_int_eq (answered, 50);
}
END_TEST

/* Guards against requests that fail because an executor shuts down
 * gracefully, and against new requests being sent to that executor. */
START_TEST (leaving_executor_interrupts_nothing)
{
  struct reply reply;
  char key[16];

  world_control (&world, 0, "{\"leaving\":true}");
  for (int i = 0; i < 20; i++)
    {
      g_snprintf (key, sizeof key, "leaving-%d", i);
      reply = world_request (&world, 0, key, "", "x");
      expect_success (&reply, "x");
    }
  ck_assert_uint_eq (gr_executors_count (world.entries[0]->executors), 1);
}
END_TEST

/* Guards against requests that are refused because most executors began to
 * leave at once: none of them has received the request. */
START_TEST (wave_of_leaving_executors_fails_no_request)
{
  struct reply reply;
  char key[16];

  for (uint32_t i = 1; i < world.n_executors; i++)
    world_control (&world, i, "{\"leaving\":true}");
  for (int i = 0; i < 6; i++)
    {
      g_snprintf (key, sizeof key, "wave-%d", i);
      reply = world_request (&world, 0, key, "", "x");
      expect_success (&reply, "x");
    }
}
END_TEST

/* Guards against requests above the account's rate, and against refusals
 * without a retry-after time. */
START_TEST (rate_is_limited)
{
  const char *headers = "Authorization: Bearer token-slow\r\n"
                        "Geraniumrack-Account: slow\r\n"
                        "Idempotency-Key: k\r\n";
  struct reply reply;
  int refused = 0;

  for (int i = 0; i < 20; i++)
    {
      reply = world_call (&world, 0, "POST", "/v1/requests", headers, "x");
      if (reply.status == 200)
        {
          reply_clear (&reply);
          continue;
        }
      expect_refusal (&reply, 429, "rate-limited", "not-run");
      refused++;
    }
  ck_assert_int_ge (refused, 5);
}
END_TEST

/* Guards against requests that are held until their deadline although no
 * slot becomes free, and against "not-run" errors for requests that ran. */
START_TEST (overload_is_refused_in_time)
{
  struct client *clients[8];
  struct reply reply;
  int answered = 0;

  for (int i = 0; i < 8; i++)
    {
      char key[16];
      char *text;

      g_snprintf (key, sizeof key, "load-%d", i);
      text = request_text (key, "Geraniumrack-Deadline-Ms: 2000\r\n",
                           "run_ms=900 x");
      clients[i] = client_open (&world, 0);
      client_send (clients[i], text, strlen (text));
      g_free (text);
    }
  for (int i = 0; i < 8; i++)
    {
      char key[16];
      uint32_t started;

      g_snprintf (key, sizeof key, "a.load-%d", i);
      client_read (clients[i], &reply);
      client_close (clients[i]);
      started = world_started (&world, key);
      if (reply.status == 200)
        answered++;
      ck_assert_msg (strstr (reply.body, "not-run") == NULL || started == 0,
                     "%s: %s", key, reply.body);
      reply_clear (&reply);
    }
  ck_assert_int_ge (answered, 2);
  ck_assert_int_lt (answered, 8);
}
END_TEST

/* Guards against admitting requests whose learned run time exceeds their
 * deadline. */
START_TEST (unmeetable_deadlines_are_refused_early)
{
  const char *headers = "Geraniumrack-Kind: slow\r\n"
                        "Geraniumrack-Idempotent: false\r\n"
                        "Geraniumrack-Deadline-Ms: 500\r\n";
  struct reply reply;

  for (int i = 0; i < 2; i++)
    {
      char key[16];

      g_snprintf (key, sizeof key, "learn-%d", i);
      reply = world_request (&world, 0, key, "Geraniumrack-Kind: slow\r\n",
                             "run_ms=600 x");
      expect_success (&reply, "run_ms=600 x");
    }
  reply = world_request (&world, 0, "late", headers, "run_ms=600 x");
  expect_refusal (&reply, 503, "deadline", "not-run");
  ck_assert_uint_eq (world_started (&world, "a.late"), 0);
  reply = world_request (&world, 0, "quick",
                         "Geraniumrack-Deadline-Ms: 500\r\n", "run_ms=1 x");
  expect_success (&reply, "run_ms=1 x");
}
END_TEST

static bool
flag_is_set (void *context)
{
  return *(bool *)context;
}

static void
set_flag (void *context)
{
  *(bool *)context = true;
}

/* Guards against a graceful shutdown that interrupts a request in flight. */
START_TEST (planned_stop_finishes_what_is_in_flight)
{
  struct client *client = client_open (&world, 0);
  char *text = request_text ("stop", "", "run_ms=1500 x");
  struct reply reply;
  bool stopped = false;

  client_send (client, text, strlen (text));
  world_sleep (50);
  gr_entry_on_stopped (world.entries[0], set_flag, &stopped);
  gr_entry_stop (world.entries[0]);
  reply = world_call (&world, 0, "GET", "/readyz", "", "");
  expect_refusal (&reply, 503, "shutting-down", "not-run");
  client_read (client, &reply);
  expect_success (&reply, "run_ms=1500 x");
  world_until (flag_is_set, &stopped);
  client_close (client);
  g_free (text);
}
END_TEST

static TCase *
add_case (Suite *suite, const char *name, void (*start) (void))
{
  TCase *tcase = tcase_create (name);

  tcase_add_checked_fixture (tcase, start, stop);
  tcase_set_timeout (tcase, 60);
  suite_add_tcase (suite, tcase);
  return tcase;
}

int
main (void)
{
  Suite *suite = suite_create ("entry");
  TCase *input = tcase_create ("input");
  TCase *requests = add_case (suite, "requests", start_one);
  TCase *load = add_case (suite, "load", start_small);
  TCase *waves = add_case (suite, "waves", start_many);
  SRunner *runner = srunner_create (suite);
  int failed;

  /* All rows share one test environment, so that it is started only once. */
  tcase_add_unchecked_fixture (input, start_one, stop);
  tcase_add_loop_test (input, bad_input_gets_a_clear_error, 0,
                       G_N_ELEMENTS (bad_inputs));
  tcase_add_test (input, oversized_body_is_refused);
  tcase_add_test (input, half_closed_and_disconnected_clients);
  tcase_add_test (input, every_request_gets_its_own_answer);
  suite_add_tcase (suite, input);
  tcase_add_test (requests, non_idempotent_work_runs_at_most_once);
  tcase_add_test (requests, lost_answers_to_marks_are_read_back);
  tcase_add_test (requests, store_outage_refuses_only_what_needs_a_mark);
  tcase_add_test (requests, run_states_are_correct_under_random_faults);
  tcase_add_test (requests, all_tries_count_for_the_run_state);
  tcase_add_test (requests, idempotent_work_moves_to_another_executor);
  tcase_add_test (requests, leaving_executor_interrupts_nothing);
  tcase_add_test (requests, rate_is_limited);
  tcase_add_test (load, broken_answers_are_not_passed_on);
  tcase_add_test (load, overload_is_refused_in_time);
  tcase_add_test (load, unmeetable_deadlines_are_refused_early);
  tcase_add_test (load, planned_stop_finishes_what_is_in_flight);
  tcase_add_test (waves, wave_of_leaving_executors_fails_no_request);
  srunner_set_fork_status (runner, CK_NOFORK);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
