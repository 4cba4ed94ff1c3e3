/* Tests of two entries against the stand-ins: shared settings, membership,
 * rate limits, and jobs forwarded to a shard owner. */
#include "rpc/job-codec.h"
#include "tests/entry-world.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static struct world world;

static void
start_two (void)
{
  world_start (&world, 2, 2, 8);
}

static void
stop (void)
{
  world_stop (&world);
}

static const char *
document_at (uint32_t entry, const char *path, int64_t *revision)
{
  return gr_settings_store_get (world.entries[entry]->store, path, revision);
}

static struct reply
put (uint32_t entry, const char *path, int64_t if_match, const char *text)
{
  char *resource = g_strconcat ("/v1/settings/", path, NULL);
  char *headers = g_strdup_printf ("If-Match: \"%" G_GINT64_FORMAT "\"\r\n",
                                   (gint64)if_match);
  struct reply reply =
      world_call (&world, entry, "PUT", resource, headers, text);

  g_free (resource);
  g_free (headers);
  return reply;
}

#define TEAM "[account]\nrate_per_s = 5\n"

/* Guards against an accepted change that a majority does not hold, a stale
 * compare-and-swap that overwrites a newer document, and a deleted document
 * that an old revision restores. */
START_TEST (changes_are_compared_and_in_force)
{
  struct reply reply = put (0, "teams/new", 0, TEAM);
  char *document;
  int64_t first;
  int64_t second;
  int64_t held;

  ck_assert_msg (reply.status == 200, "%s", reply.body);
  first = reply_number (&reply, "revision");
  reply_clear (&reply);
  ck_assert_str_eq (document_at (0, "teams/new", &held), TEAM);
  ck_assert_str_eq (document_at (1, "teams/new", &held), TEAM);
  ck_assert_int_eq (held, first);
  reply = put (1, "teams/new", 0, "[account]\n");
  ck_assert_int_eq (reply.status, 409);
  ck_assert_int_eq (reply_number (&reply, "current_revision"), first);
  reply_clear (&reply);
  reply = put (1, "teams/new", first, "[account]\npriority = batch\n");
  ck_assert_int_eq (reply.status, 200);
  second = reply_number (&reply, "revision");
  reply_clear (&reply);
  ck_assert (!gr_settings_store_apply (world.entries[0]->store, "teams/new",
                                       TEAM, first));
  document = g_strdup_printf ("If-Match: \"%" G_GINT64_FORMAT "\"\r\n",
                              (gint64)second);
  reply =
      world_call (&world, 0, "DELETE", "/v1/settings/teams/new", document, "");
  g_free (document);
  ck_assert_int_eq (reply.status, 200);
  reply_clear (&reply);
  ck_assert_ptr_null (gr_entry_account (world.entries[1], "new"));
  reply = world_call (&world, 1, "GET", "/v1/settings/teams/new", "", "");
  ck_assert_int_eq (reply.status, 404);
  reply_clear (&reply);
  reply = put (1, "teams/new", 0, TEAM);
  ck_assert_int_eq (reply.status, 200);
  reply_clear (&reply);
  reply =
      world_call (&world, 0, "GET", "/v1/settings-history/teams/new", "", "");
  ck_assert_ptr_nonnull (strstr (reply.body, "priority = batch"));
  document =
      g_strdup_printf ("\"revision\":%" G_GINT64_FORMAT ",", (gint64)second);
  ck_assert_ptr_nonnull (strstr (reply.body, document));
  ck_assert_ptr_null (strstr (reply.body, "writer"));
  g_free (document);
  reply_clear (&reply);
}
END_TEST

/* Guards against two concurrent changes that both succeed: each entry
 * receives a change with the same expected revision at the same time. */
START_TEST (one_of_two_racing_changes_wins)
{
  struct client *clients[2];
  int won = 0;
  int lost = 0;

  for (uint32_t i = 0; i < 2; i++)
    {
      const char *text = "PUT /v1/settings/teams/race HTTP/1.1\r\n"
                         "Host: test\r\n"
                         "If-Match: \"0\"\r\nContent-Length: 10\r\n\r\n"
                         "[account]\n";

      clients[i] = client_open (&world, i);
      client_send (clients[i], text, strlen (text));
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      struct reply reply;

      client_read (clients[i], &reply);
      won += reply.status == 200 ? 1 : 0;
      lost += reply.status == 409 ? 1 : 0;
      reply_clear (&reply);
      client_close (clients[i]);
    }
  ck_assert_int_eq (won, 1);
  ck_assert_int_eq (lost, 1);
}
END_TEST

/* Guards against a change that is reported as failed, or as a conflict with
 * itself, because the store's response was lost. */
START_TEST (lost_answers_to_changes_are_read_back)
{
  struct reply reply;
  int64_t revision;

  world_kv_faults (&world)->lose_answers = 1;
  reply = put (0, "teams/lost", 0, TEAM);
  ck_assert_msg (reply.status == 200, "%s", reply.body);
  revision = reply_number (&reply, "revision");
  reply_clear (&reply);
  world_kv_faults (&world)->lose_requests = 1;
  reply = put (0, "teams/lost", revision, TEAM "; again\n");
  ck_assert_msg (reply.status == 200, "%s", reply.body);
  ck_assert_int_gt (reply_number (&reply, "revision"), revision);
  reply_clear (&reply);
}
END_TEST

static bool
is_current (uint32_t entry)
{
  return gr_settings_store_is_current (world.entries[entry]->store);
}

/* Guards against an outage of the store that blocks all requests, an entry
 * without a majority that considers its settings current, and a document
 * that one entry does not receive during the outage. */
START_TEST (majority_keeps_settings_current_without_the_store)
{
  struct reply reply;
  int64_t revision;

  world_kv_faults (&world)->down = 1;
  /* Simulates a push that reached only one entry. */
  gr_settings_store_apply (world.entries[0]->store, "teams/half", TEAM, 1000);
  world_sleep (GR_SETTINGS_MAX_AGE_MS + 1500);
  ck_assert (is_current (0) && is_current (1));
  ck_assert_ptr_nonnull (document_at (1, "teams/half", &revision));
  reply = world_request (&world, 0, "outage", "", "x");
  ck_assert_int_eq (reply.status, 200);
  reply_clear (&reply);
  reply = put (0, "teams/a", 1, TEAM);
  ck_assert_int_eq (reply.status, 503);
  ck_assert_ptr_nonnull (strstr (reply.body, "\"not-run\""));
  reply_clear (&reply);
  gr_registration_destroy (world.registrations[1]);
  world.registrations[1] = NULL;
  gr_entry_destroy (world.entries[1]);
  world.entries[1] = NULL;
  world_sleep (GR_SETTINGS_MAX_AGE_MS + 600);
  ck_assert (!is_current (0));
  reply = world_request (&world, 0, "alone", "", "x");
  ck_assert_int_eq (reply.status, 503);
  ck_assert_ptr_nonnull (strstr (reply.body, "stale-settings"));
  reply_clear (&reply);
}
END_TEST

static bool
leaving_has_reached_other_entry (void *context)
{
  (void)context;
  return gr_executors_count (world.entries[1]->executors) == 1;
}

/* Guards against requests sent to a leaving target by an entry that learns
 * of it only from the other entry. */
START_TEST (leaving_state_reaches_other_entries)
{
  int64_t start_ms = gr_clock_now_ms (world.entries[0]->clock);

  gr_entry_target_leaving (world.entries[0], "x0", start_ms);
  ck_assert_uint_eq (gr_executors_count (world.entries[0]->executors), 1);
  world_until (leaving_has_reached_other_entry, NULL);
  ck_assert_int_le (gr_clock_now_ms (world.entries[0]->clock) - start_ms, 3000);
}
END_TEST

/* Creates demand at both entries and returns true once nearly the whole rate
 * is allotted. Entries without demand do not get the whole shared half. */
static bool
rate_is_allotted (void *context)
{
  struct gr_error error = GR_ERROR_INIT;
  double sum = 0;

  (void)context;
  for (uint32_t i = 0; i < 2; i++)
    {
      struct gr_entry *entry = world.entries[i];
      int64_t now_ms = gr_clock_now_ms (entry->clock);

      gr_limits_admit (entry->limits, "slow", now_ms, entry->random, &error);
      sum += gr_limits_rate (entry->limits, "slow", now_ms);
    }
  ck_assert_msg (sum <= 30.001, "%f", sum);
  /* The fixed floors of 5 per entry add up to 10; the shared half is 15. */
  return sum > 24.9;
}

/* Guards against a home entry that never allots the shared half of a rate,
 * or allots it more than once. */
START_TEST (home_allots_the_shared_half)
{
  world_until (rate_is_allotted, NULL);
}
END_TEST

/* The job held by the fake shard owner. */
static struct gr_job_record record;

static void
serve_owner (struct gr_rpc_call *call,
             const char *method,
             const msgpack_object *body,
             void *context)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_packer *reply = gr_packer_create ();

  (void)context;
  if (strcmp (method, "job.submit") == 0)
    {
      ck_assert (gr_unpack_job_spec (body, &record.spec, &error));
      g_snprintf (record.id, sizeof record.id, "dc1.%s.%s", record.spec.account,
                  record.spec.key);
      if (strcmp (record.spec.key, "unknown") == 0)
        {
          gr_error_set (&error, GR_ERROR_TIMEOUT, "the store did not reply");
          gr_rpc_fail (call, &error);
          gr_packer_destroy (reply);
          return;
        }
    }
  if (strcmp (method, "job.list") == 0)
    {
      gr_pack_array_begin (reply, "jobs");
      gr_pack_array_add (reply, gr_pack_job_record (&record));
      gr_pack_array_end (reply);
      gr_pack_string (reply, "next", record.id);
    }
  else if (strcmp (method, "shard.status") == 0)
    {
      struct gr_packer *account = gr_packer_create ();

      gr_pack_string (account, "name", "a");
      gr_pack_int (account, "used", 7);
      gr_pack_array_begin (reply, "accounts");
      gr_pack_array_add (reply, account);
      gr_pack_array_end (reply);
      gr_pack_string (reply, "owner", "s1");
    }
  else
    {
      gr_packer_destroy (reply);
      reply = gr_pack_job_record (&record);
    }
  gr_rpc_reply (call, reply);
  gr_packer_destroy (reply);
}

static void
claim_shard (struct gr_rpc_server *owner)
{
  struct gr_member scheduler = { .name = "s1",
                                 .role = GR_ROLE_SCHEDULER,
                                 .state = GR_MEMBER_READY,
                                 .n_shards = 1,
                                 .shards = { { "dc1", 4 } } };

  g_strlcpy (scheduler.address, gr_rpc_server_address (owner), GR_NAME_MAX);
  gr_members_update_from_call (world.entries[0]->members, &scheduler,
                               gr_clock_now_ms (world.entries[0]->clock));
}

static void
expect_text (struct reply *reply, int status, const char *part)
{
  ck_assert_msg (reply->status == status, "%d: %s", reply->status, reply->body);
  ck_assert_msg (strstr (reply->body, part) != NULL, "\"%s\" not found in %s",
                 part, reply->body);
  reply_clear (reply);
}

#define TOKEN_A "Authorization: Bearer token-a\r\n"

/* Guards against a job that is altered on its way to the shard owner, and
 * against an error other than "not-run" when there is no owner or it cannot
 * be reached. */
START_TEST (jobs_go_to_the_owner)
{
  static const char submission[] =
      "{\"account\":\"a\",\"key\":\"j1\",\"workers\":2,"
      "\"accelerators_per_worker\":8,\"run_ms\":5000,\"priority\":\"batch\","
      "\"idempotent\":false,\"spec\":\"caf\xc3\xa9\"}";
  struct gr_error error = GR_ERROR_INIT;
  struct gr_rpc_server *owner =
      gr_rpc_server_create ("127.0.0.1:0", serve_owner, NULL, &error);
  struct reply reply =
      world_call (&world, 0, "POST", "/v1/jobs", TOKEN_A, submission);

  expect_text (&reply, 503, "\"run_state\":\"not-run\"");
  claim_shard (owner);
  reply = world_call (&world, 0, "POST", "/v1/jobs", TOKEN_A, submission);
  expect_text (&reply, 201, "\"id\":\"dc1.a.j1\"");
  ck_assert_int_eq (record.spec.priority, GR_PRIORITY_BATCH);
  ck_assert (!record.spec.idempotent);
  ck_assert_str_eq (record.spec.spec, "caf\xc3\xa9");
  reply = world_call (&world, 0, "GET", "/v1/jobs/dc1.a.j1", TOKEN_A, "");
  expect_text (&reply, 200, "\"state\":\"accepted\"");
  reply =
      world_call (&world, 0, "GET", "/v1/jobs?account=a&limit=1", TOKEN_A, "");
  expect_text (&reply, 200, "\"next\":\"dc1.a.j1\"");
  reply = world_call (&world, 0, "DELETE", "/v1/jobs/dc1.a.j1",
                      "Authorization: Bearer token-b\r\n", "");
  expect_text (&reply, 403, "forbidden");
  claim_shard (owner);
  reply = world_call (&world, 0, "GET", "/v1/accounts/a", TOKEN_A, "");
  expect_text (&reply, 200, "\"used\":7");
  reply = world_call (&world, 0, "GET", "/v1/shards", "", "");
  expect_text (&reply, 200, "\"owner\":\"s1\"");
  gr_rpc_server_destroy (owner);
  claim_shard (
      owner = gr_rpc_server_create ("127.0.0.1:0", serve_owner, NULL, &error));
  gr_rpc_server_destroy (owner);
  reply = world_call (&world, 0, "POST", "/v1/jobs", TOKEN_A, submission);
  expect_text (&reply, 503, "\"run_state\":\"not-run\"");
  gr_job_record_clear (&record);
}
END_TEST

/* Guards against a "not-run" error for a submission whose outcome is
 * unknown. */
START_TEST (unknown_outcome_is_not_called_not_run)
{
  static const char submission[] =
      "{\"account\":\"a\",\"key\":\"unknown\",\"workers\":1,"
      "\"accelerators_per_worker\":8,\"run_ms\":5000,"
      "\"data_centre\":\"dc1\"}";
  struct gr_error error = GR_ERROR_INIT;
  struct gr_rpc_server *owner =
      gr_rpc_server_create ("127.0.0.1:0", serve_owner, NULL, &error);
  struct reply reply;

  claim_shard (owner);
  reply = world_call (&world, 0, "POST", "/v1/jobs", TOKEN_A, submission);
  expect_text (&reply, 504, "\"run_state\":\"may-have-run\"");
  gr_rpc_server_destroy (owner);
  gr_job_record_clear (&record);
}
END_TEST

/* Guards against a job that runs twice because the settings changed between
 * its submission and the repetition, so that the repetition went to another
 * shard. */
START_TEST (repeated_job_keeps_its_shard)
{
  static const char submission[] =
      "{\"account\":\"a\",\"key\":\"twice\",\"workers\":1,"
      "\"accelerators_per_worker\":8,\"run_ms\":5000}";
  struct gr_error error = GR_ERROR_INIT;
  struct gr_rpc_server *owner =
      gr_rpc_server_create ("127.0.0.1:0", serve_owner, NULL, &error);
  struct gr_settings_store *store = world.entries[0]->store;
  struct reply reply;
  const char *document;
  int64_t revision;

  claim_shard (owner);
  reply = world_call (&world, 0, "POST", "/v1/jobs", TOKEN_A, submission);
  expect_text (&reply, 201, "\"id\":\"dc1.a.twice\"");
  gr_settings_store_get (store, "platform", &revision);
  document = "[members]\nentry_instances = 3\n[shards]\nnames = dc2\n";
  ck_assert (
      gr_settings_store_apply (store, "platform", document, revision + 100));
  claim_shard (owner);
  reply = world_call (&world, 0, "POST", "/v1/jobs", TOKEN_A, submission);
  expect_text (&reply, 201, "\"id\":\"dc1.a.twice\"");
  gr_rpc_server_destroy (owner);
  gr_job_record_clear (&record);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("publish");
  TCase *tcase = tcase_create ("publish");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, start_two, stop);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, changes_are_compared_and_in_force);
  tcase_add_test (tcase, one_of_two_racing_changes_wins);
  tcase_add_test (tcase, lost_answers_to_changes_are_read_back);
  tcase_add_test (tcase, majority_keeps_settings_current_without_the_store);
  tcase_add_test (tcase, leaving_state_reaches_other_entries);
  tcase_add_test (tcase, home_allots_the_shared_half);
  tcase_add_test (tcase, jobs_go_to_the_owner);
  tcase_add_test (tcase, unknown_outcome_is_not_called_not_run);
  tcase_add_test (tcase, repeated_job_keeps_its_shard);
  suite_add_tcase (suite, tcase);
  srunner_set_fork_status (runner, CK_NOFORK);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
