/* Tests of the key-value, worker, executor and instance list clients against
 * stand-ins in the same process. */
#include "kv/kv.h"
#include "standins/kv.h"
#include "targets/executor.h"
#include "targets/worker.h"
#include "tests/platform-outcome.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const char bad_lease[] =
    "{\"worker\":\"w\",\"incarnation\":\"i\",\"accelerators\":2,"
    "\"leases\":[{\"lease\":\"l\",\"accelerators\":4}]}";

static const char bad_task[] =
    "{\"worker\":\"w\",\"incarnation\":\"i\",\"accelerators\":2,"
    "\"tasks\":[{\"task\":\"t\",\"state\":\"asleep\"}]}";

static void
kv_done (const struct gr_kv_result *result,
         const struct gr_error *error,
         void *context)
{
  struct outcome *outcome = context;

  record_callback (outcome, error);
  ck_assert_int_eq (result == NULL, error != NULL);
  if (result == NULL)
    return;
  outcome->succeeded = result->succeeded;
  outcome->revision = result->revision;
  outcome->lease = result->lease;
  outcome->ttl_s = result->ttl_s;
  outcome->n_entries = result->n_entries;
  outcome->value[0] = '\0';
  if (result->n_entries > 0)
    g_strlcpy (outcome->value, result->entries[0].value, sizeof outcome->value);
}

struct kv_fixture
{
  struct gr_standin_kv *standin;
  struct gr_counters *counters;
  struct gr_kv *kv;
  struct outcome outcome;
};

static void
kv_setup (struct kv_fixture *fixture, uint32_t writes_per_s)
{
  struct gr_error error = GR_ERROR_INIT;
  char *url;

  memset (fixture, 0, sizeof *fixture);
  fixture->standin = gr_standin_kv_create ("127.0.0.1:0", &error);
  ck_assert_msg (fixture->standin != NULL, "%s", error.message);
  url = g_strconcat ("http://",
                     gr_standin_address (gr_standin_kv_base (fixture->standin)),
                     NULL);
  fixture->counters = gr_counters_create ();
  fixture->kv = gr_kv_create (url, writes_per_s, 1000, fixture->counters);
  g_free (url);
}

static void
kv_teardown (struct kv_fixture *fixture)
{
  gr_kv_destroy (fixture->kv);
  gr_counters_destroy (fixture->counters);
  gr_standin_kv_destroy (fixture->standin);
}

/* Writes value if key was created at create_revision (0: key does not exist);
 * otherwise reads the key. */
static void
put_if (struct kv_fixture *fixture,
        const char *key,
        int64_t create_revision,
        const char *value,
        int64_t lease)
{
  struct gr_kv_txn *txn = gr_kv_txn_create ();
  int calls = fixture->outcome.calls;

  gr_kv_txn_if_created_at (txn, key, create_revision);
  gr_kv_txn_put (txn, key, value, strlen (value), lease);
  gr_kv_txn_else_get (txn, key);
  gr_kv_commit (fixture->kv, "test", txn, 5000, kv_done, &fixture->outcome);
  wait_calls (&fixture->outcome, calls + 1);
}

static void
read_range (struct kv_fixture *fixture,
            const char *key,
            bool prefix,
            int64_t min_mod_revision)
{
  int calls = fixture->outcome.calls;

  gr_kv_range (fixture->kv, "test", key, prefix, min_mod_revision, 5000,
               kv_done, &fixture->outcome);
  wait_calls (&fixture->outcome, calls + 1);
  ck_assert_int_eq (fixture->outcome.error.kind, GR_ERROR_NONE);
}

/* Guards against two writes under the same condition that both succeed, and
 * against a failed write that does not return the value of the successful
 * one. */
START_TEST (compare_and_swap_has_one_winner)
{
  struct kv_fixture fixture;
  struct outcome *outcome = &fixture.outcome;
  struct gr_kv_txn *txn = gr_kv_txn_create ();

  kv_setup (&fixture, 1000);
  put_if (&fixture, "a/one", 0, "first", 0);
  ck_assert (outcome->succeeded);
  put_if (&fixture, "a/one", 0, "second", 0);
  ck_assert (!outcome->succeeded);
  ck_assert_str_eq (outcome->value, "first");
  gr_kv_txn_if_value (txn, "a/one", "first", 5);
  gr_kv_txn_if_modified_at (txn, "a/one", outcome->revision);
  gr_kv_txn_delete (txn, "a/one");
  gr_kv_txn_put (txn, "a/two", "", 0, 0);
  gr_kv_commit (fixture.kv, "test", txn, 5000, kv_done, outcome);
  wait_calls (outcome, 3);
  ck_assert (outcome->succeeded);
  read_range (&fixture, "a/", true, 0);
  ck_assert_uint_eq (outcome->n_entries, 1);
  ck_assert_str_eq (outcome->value, "");
  kv_teardown (&fixture);
}
END_TEST

/* Guards against resending a write whose answer was lost: the second attempt
 * would fail with a conflict with the first one. */
START_TEST (lost_answers_are_not_repeated)
{
  struct kv_fixture fixture;
  struct gr_standin *base;

  kv_setup (&fixture, 1000);
  base = gr_standin_kv_base (fixture.standin);
  read_range (&fixture, "k", false, 0); /* leaves a connection to reuse */
  gr_standin_faults (base)->lose_answers = 1;
  put_if (&fixture, "k", 0, "v", 0);
  ck_assert_int_eq (fixture.outcome.error.kind, GR_ERROR_IO);
  ck_assert_int_eq (gr_standin_call_count (base, "/v3/kv/txn"), 1);
  read_range (&fixture, "k", false, 0);
  ck_assert_str_eq (fixture.outcome.value, "v");
  gr_standin_faults (base)->lose_requests = 1;
  put_if (&fixture, "l", 0, "v", 0);
  ck_assert_int_eq (fixture.outcome.error.kind, GR_ERROR_IO);
  ck_assert_int_eq (gr_standin_call_count (base, "/v3/kv/txn"), 2);
  read_range (&fixture, "l", false, 0);
  ck_assert_uint_eq (fixture.outcome.n_entries, 0);
  kv_teardown (&fixture);
}
END_TEST

/* Guards against keys that outlive their lease, and against keepalives, writes
 * and revocations that succeed on an expired lease. */
START_TEST (expired_leases_delete_their_keys)
{
  struct kv_fixture fixture;
  struct outcome *outcome = &fixture.outcome;
  int64_t lease;

  kv_setup (&fixture, 1000);
  gr_kv_lease_grant (fixture.kv, "test", 2, 5000, kv_done, outcome);
  wait_calls (outcome, 1);
  lease = outcome->lease;
  put_if (&fixture, "k", 0, "v", lease);
  gr_kv_lease_keepalive (fixture.kv, "test", lease, 5000, kv_done, outcome);
  wait_calls (outcome, 3);
  ck_assert_int_eq (outcome->ttl_s, 2);
  run_for (2200);
  read_range (&fixture, "k", false, 0);
  ck_assert_uint_eq (outcome->n_entries, 0);
  gr_kv_lease_keepalive (fixture.kv, "test", lease, 5000, kv_done, outcome);
  wait_calls (outcome, 5);
  ck_assert_int_eq (outcome->ttl_s, 0);
  put_if (&fixture, "k", 0, "v", lease);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_NOT_FOUND);
  gr_kv_lease_revoke (fixture.kv, "test", lease, 5000, kv_done, outcome);
  wait_calls (outcome, 7);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_NOT_FOUND);
  kv_teardown (&fixture);
}
END_TEST

/* Guards against polls for changes since a revision that miss changes or return
 * older ones again. */
START_TEST (polls_return_only_newer_entries)
{
  struct kv_fixture fixture;
  struct outcome *outcome = &fixture.outcome;
  int64_t revision;

  kv_setup (&fixture, 1000);
  put_if (&fixture, "s/a", 0, "1", 0);
  put_if (&fixture, "s/b", 0, "2", 0);
  put_if (&fixture, "t", 0, "3", 0);
  read_range (&fixture, "s/", true, 0);
  ck_assert_uint_eq (outcome->n_entries, 2);
  revision = outcome->revision;
  read_range (&fixture, "s/", true, revision + 1);
  ck_assert_uint_eq (outcome->n_entries, 0);
  put_if (&fixture, "s/c", 0, "4", 0);
  read_range (&fixture, "s/", true, revision + 1);
  ck_assert_uint_eq (outcome->n_entries, 1);
  ck_assert_str_eq (outcome->value, "4");
  kv_teardown (&fixture);
}
END_TEST

/* Guards against sending more calls per second than the budget allows, and
 * against a lease that expires because the budget delayed its keepalive. */
START_TEST (budgets_bound_calls_but_not_keepalives)
{
  struct kv_fixture fixture;
  struct outcome *outcome = &fixture.outcome;
  struct gr_standin *base;

  kv_setup (&fixture, 2);
  base = gr_standin_kv_base (fixture.standin);
  for (int i = 0; i < 20; i++)
    gr_kv_lease_grant (fixture.kv, "test", 60, 5000, kv_done, outcome);
  ck_assert_int_eq (outcome->calls, 0); /* never called from inside */
  wait_calls (outcome, 20);
  ck_assert_int_eq (gr_standin_call_count (base, "/v3/lease/grant"), 2);
  gr_kv_lease_grant (fixture.kv, "test", 60, 5000, kv_done, outcome);
  wait_calls (outcome, 21);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_STORE_UNAVAILABLE);
  ck_assert_int_gt (outcome->error.retry_after_ms, 0);
  gr_kv_lease_keepalive (fixture.kv, "test", 1, 5000, kv_done, outcome);
  wait_calls (outcome, 22);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_NONE);
  kv_teardown (&fixture);
}
END_TEST

static void
send_text (SoupServerMessage *message,
           const char *path,
           GHashTable *query,
           void *context)
{
  GBytes **text = context;
  gsize size = 0;
  const char *data = g_bytes_get_data (*text, &size);

  (void)path;
  (void)query;
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, data, size);
}

static void
expect_protocol_error (const char *address, const char *description)
{
  struct outcome outcome = { 0 };
  char *url = g_strconcat ("http://", address, NULL);
  struct gr_counters *counters = gr_counters_create ();
  struct gr_kv *kv = gr_kv_create (url, 100, 100, counters);
  struct gr_worker_client *workers = gr_worker_client_create ();
  struct gr_instances *instances;

  gr_kv_range (kv, "test", "k", false, 0, 5000, kv_done, &outcome);
  wait_calls (&outcome, 1);
  ck_assert_msg (outcome.error.kind == GR_ERROR_PROTOCOL, "kv: %.80s",
                 description);
  gr_worker_get_report (workers, address, 5000, report_done, &outcome);
  wait_calls (&outcome, 2);
  ck_assert_msg (outcome.error.kind == GR_ERROR_PROTOCOL, "worker: %.80s",
                 description);
  instances = gr_instances_create (url, 60000, instances_changed,
                                   instances_failed, &outcome);
  wait_calls (&outcome, 3);
  ck_assert_msg (outcome.error.kind == GR_ERROR_PROTOCOL, "instances: %.80s",
                 description);
  gr_instances_destroy (instances);
  gr_worker_client_destroy (workers);
  gr_kv_destroy (kv);
  gr_counters_destroy (counters);
  g_free (url);
}

/* Guards against crashes and wrong values on answers that violate the protocol:
 * wrong types, ranges, base64, nesting and size. */
START_TEST (malformed_answers_are_protocol_errors)
{
  static const char *const answers[] = {
    "",
    "null",
    "[1]",
    "{\"header\":",
    "{\"header\":7,\"instances\":{}}",
    "{\"header\":{\"revision\":\"-1\"},\"instances\":[4]}",
    "{\"header\":{\"revision\":\"99999999999999999999\"}}",
    "{\"header\":{\"revision\":1.5}}",
    "{\"header\":{},\"kvs\":[{\"key\":\"a\"}]}",
    "{\"header\":{},\"kvs\":[{\"key\":\"AA==\"}]}",
    "{\"header\":{},\"kvs\":[{\"key\":\"a2V5\",\"value\":\"!!!!\"}]}",
    "{\"header\":{},\"kvs\":[{\"key\":\"a2V5\",\"value\":[]}]}",
    "{\"header\":{},\"kvs\":{\"a\":1}}",
    "{\"header\":{},\"succeeded\":\"yes\"}",
    "{\"header\":{},\"responses\":[{\"response_range\":[]}]}",
    "{\"header\":{},\"responses\":[null]}",
    "{\"result\":[]}",
    "{\"instances\":[{\"name\":\"a\",\"role\":\"king\",\"address\":\"b\"}]}",
    "{\"instances\":[{\"name\":[],\"role\":\"entry\",\"address\":\"b\"}]}",
    "{\"worker\":\"w\",\"incarnation\":\"i\",\"accelerators\":99}",
    bad_lease,
    bad_task,
    "{\"header\":{},\"x\":\"\xff\xfe\"}",
  };
  struct gr_http_server_limits limits = gr_http_server_default_limits ();
  struct gr_error error = GR_ERROR_INIT;
  GBytes *text = NULL;
  struct gr_http_server *server = gr_http_server_create (
      "127.0.0.1:0", &limits, NULL, send_text, &text, &error);
  char *large = g_strnfill (9000000, '[');

  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      text = g_bytes_new_static (answers[i], strlen (answers[i]));
      expect_protocol_error (gr_http_server_address (server), answers[i]);
      g_bytes_unref (text);
    }
  text = g_bytes_new_static (large, 1000000);
  expect_protocol_error (gr_http_server_address (server), "deep nesting");
  g_bytes_unref (text);
  text = g_bytes_new_take (large, 9000000);
  expect_protocol_error (gr_http_server_address (server), "above 8 MB");
  g_bytes_unref (text);
  gr_http_server_destroy (server);
}
END_TEST

static void
run_done (const struct gr_executor_response *answer,
          const struct gr_error *error,
          void *context)
{
  struct outcome *outcome = context;
  gsize size = 0;
  const char *body;

  record_callback (outcome, error);
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
status_done (const struct gr_executor_status *status,
             const struct gr_error *error,
             void *context)
{
  struct outcome *outcome = context;

  record_callback (outcome, error);
  if (status != NULL)
    outcome->slots_busy = status->slots_busy;
}

/* Guards against reporting "may have run" for calls to an address where nothing
 * listens, and against callbacks that are not called when their client is
 * destroyed. */
START_TEST (absent_peers_and_destroyed_clients_end_calls)
{
  struct kv_fixture fixture;
  struct outcome *outcome = &fixture.outcome;
  struct gr_worker_client *workers = gr_worker_client_create ();
  struct gr_executor_client *executors = gr_executor_client_create (2);
  GBytes *body = g_bytes_new_static ("run_ms=1", 8);
  char *address;

  kv_setup (&fixture, 100);
  gr_standin_faults (gr_standin_kv_base (fixture.standin))->silent = 1;
  gr_kv_range (fixture.kv, "test", "k", false, 0, 30, kv_done, outcome);
  wait_calls (outcome, 1);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_TIMEOUT);
  address =
      g_strdup (gr_standin_address (gr_standin_kv_base (fixture.standin)));
  gr_standin_kv_destroy (g_steal_pointer (&fixture.standin));
  gr_kv_lease_grant (fixture.kv, "test", 9, 5000, kv_done, outcome);
  wait_calls (outcome, 2);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_STORE_UNAVAILABLE);
  gr_worker_release (workers, address, "l", 5000, error_done, outcome);
  wait_calls (outcome, 3);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_NO_TARGET);
  gr_executor_run (executors, address, "k", false, body, 5000, run_done,
                   outcome);
  wait_calls (outcome, 4);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_NO_TARGET);
  gr_executor_run (executors, "not an address", "k", true, body, 5000, run_done,
                   outcome);
  wait_calls (outcome, 5);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_NO_TARGET);
  gr_executor_run (executors, address, "a\r\nb", true, body, 5000, run_done,
                   outcome);
  wait_calls (outcome, 6);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_BAD_REQUEST);
  gr_executor_get_status (executors, address, 5000, status_done, outcome);
  gr_worker_get_report (workers, address, 5000, report_done, outcome);
  gr_kv_range (fixture.kv, "test", "k", false, 0, 5000, kv_done, outcome);
  gr_executor_client_destroy (executors);
  gr_worker_client_destroy (workers);
  kv_teardown (&fixture);
  ck_assert_int_eq (outcome->calls, 9);
  ck_assert_int_eq (outcome->error.kind, GR_ERROR_CANCELLED);
  run_for (20); /* closes the sockets of the cancelled calls */
  g_bytes_unref (body);
  g_free (address);
}
END_TEST

static Suite *
make_suite (void)
{
  Suite *suite = suite_create ("platform");
  TCase *tcase = tcase_create ("all");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, compare_and_swap_has_one_winner);
  tcase_add_test (tcase, lost_answers_are_not_repeated);
  tcase_add_test (tcase, expired_leases_delete_their_keys);
  tcase_add_test (tcase, polls_return_only_newer_entries);
  tcase_add_test (tcase, budgets_bound_calls_but_not_keepalives);
  tcase_add_test (tcase, malformed_answers_are_protocol_errors);
  tcase_add_test (tcase, absent_peers_and_destroyed_clients_end_calls);
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
