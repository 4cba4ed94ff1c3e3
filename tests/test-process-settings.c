/* Changes of settings while entries and the store fail, with real processes. */
#include "tests/process-cluster.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* An accepted change must be in effect on all entries within this time. */
#define CHANGE_LIMIT_MS 5000

static char *
team_document (uint32_t rate_per_s)
{
  return g_strdup_printf (
      "[account]\npriority = urgent\nrate_per_s = %u\n"
      "token_sha256 = "
      "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0\n",
      rate_per_s);
}

static struct reply
put_settings (struct cluster *cluster,
              const char *entry,
              const char *path,
              const char *document,
              const char *etag)
{
  const char *headers[] = { "If-Match", etag, NULL };
  char *target = g_strdup_printf ("/v1/settings/%s", path);
  struct reply reply = http_call ("PUT", cluster_http_address (cluster, entry),
                                  target, headers, document, 20);

  g_free (target);
  return reply;
}

static char *
current_etag (struct cluster *cluster, const char *entry, const char *path)
{
  char *target = g_strdup_printf ("/v1/settings/%s", path);
  struct reply reply = http_call ("GET", cluster_http_address (cluster, entry),
                                  target, NULL, NULL, 10);
  char *etag = g_strdup (reply.etag);

  reply_clear (&reply);
  g_free (target);
  return etag;
}

/* Returns the rate of account clinics according to the entry, or -1 if the
 * entry does not answer or answers that its settings may be out of date. */
static double
read_rate (struct cluster *cluster, const char *entry)
{
  struct reply reply = http_call ("GET", cluster_http_address (cluster, entry),
                                  "/v1/settings/teams/clinics", NULL, NULL, 5);
  const char *found =
      reply.status == 200 ? strstr (reply.body, "rate_per_s = ") : NULL;
  double rate = found ? g_ascii_strtod (found + 13, NULL) : -1;

  reply_clear (&reply);
  return rate;
}

static void
wait_rate (struct cluster *cluster,
           const char *entry,
           double rate,
           int64_t accepted_us)
{
  while (read_rate (cluster, entry) != rate)
    {
      ck_assert_msg (g_get_monotonic_time () - accepted_us
                         < CHANGE_LIMIT_MS * 1000LL,
                     "rate %.0f is not in effect at %s", rate, entry);
      g_usleep (50000);
    }
}

/* Guards against an accepted change that is not in effect on all nine entries
 * within 5 s, and against an entry that returns to older settings after a
 * restart. */
START_TEST (change_in_effect_on_nine_entries)
{
  const struct cluster_options options = { .entries = 9 };
  struct cluster *cluster = cluster_create (&options);
  char *etag = current_etag (cluster, "entry-1", "teams/clinics");
  char *document = team_document (123);
  struct reply reply =
      put_settings (cluster, "entry-1", "teams/clinics", document, etag);
  int64_t accepted_us = g_get_monotonic_time ();
  char name[16];

  ck_assert_msg (reply.status == 200, "status %d: %s", reply.status,
                 reply.body);
  reply_clear (&reply);
  for (int i = 1; i <= 9; i++)
    {
      g_snprintf (name, sizeof name, "entry-%d", i);
      wait_rate (cluster, name, 123, accepted_us);
    }
  cluster_kill (cluster, "entry-5");
  cluster_start_entry (cluster, "entry-5");
  for (int i = 0; i < 40; i++)
    {
      double rate = read_rate (cluster, "entry-5");

      ck_assert_msg (rate == 123 || rate == -1,
                     "unexpected rate %.0f after a restart", rate);
      g_usleep (100000);
    }
  ck_assert (read_rate (cluster, "entry-5") == 123);
  g_free (etag);
  g_free (document);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a change that is in the store but reaches no entry, because
 * the entry that wrote it was killed just after the write. */
START_TEST (accepting_entry_killed_after_the_write)
{
  const struct cluster_options options = { .entries = 3 };
  struct cluster *cluster = cluster_create (&options);
  char *etag = current_etag (cluster, "entry-1", "teams/clinics");
  char *document = team_document (77);
  struct reply reply;
  int64_t start_us;

  /* The answer to the write is lost, so that the entry cannot publish the
   * change at once. */
  cluster_control (cluster, "kv", "{\"lose_answers\":1}");
  reply = put_settings (cluster, "entry-1", "teams/clinics", document, etag);
  start_us = g_get_monotonic_time ();
  cluster_kill (cluster, "entry-1");
  reply_clear (&reply);
  wait_rate (cluster, "entry-2", 77, start_us);
  wait_rate (cluster, "entry-3", 77, start_us);
  g_free (etag);
  g_free (document);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against lost updates by concurrent operators. The second change to the
 * same document must fail with a conflict that reports the current revision; a
 * change to another document must succeed. */
START_TEST (operators_racing)
{
  const struct cluster_options options = { .entries = 3 };
  struct cluster *cluster = cluster_create (&options);
  char *etag = current_etag (cluster, "entry-1", "teams/clinics");
  char *overnight_etag = current_etag (cluster, "entry-1", "teams/overnight");
  char *first = team_document (11);
  char *second = team_document (22);
  struct reply reply =
      put_settings (cluster, "entry-1", "teams/clinics", first, etag);
  int64_t first_revision;

  ck_assert_msg (reply.status == 200, "%s", reply.body);
  first_revision = reply_int (&reply, "revision");
  reply_clear (&reply);
  reply = put_settings (cluster, "entry-2", "teams/clinics", second, etag);
  ck_assert_int_eq (reply.status, 409);
  ck_assert_str_eq (reply_string (&reply, "kind"), "conflict");
  ck_assert_int_eq (reply_int (&reply, "current_revision"), first_revision);
  reply_clear (&reply);
  reply = put_settings (cluster, "entry-2", "teams/overnight", second,
                        overnight_etag);
  ck_assert_msg (reply.status == 200, "%s", reply.body);
  reply_clear (&reply);
  g_free (etag);
  g_free (overnight_etag);
  g_free (first);
  g_free (second);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against a change that is accepted without a majority: an entry without
 * the change could go on serving during an outage of the store. A majority of
 * three entries is all three, since one more may exist during a rolling
 * replacement. */
START_TEST (acceptance_needs_a_majority)
{
  const struct cluster_options options = { .entries = 3 };
  struct cluster *cluster = cluster_create (&options);
  char *etag = current_etag (cluster, "entry-1", "teams/clinics");
  char *document = team_document (55);
  struct reply reply;

  cluster_signal (cluster, "entry-3", SIGSTOP);
  reply = put_settings (cluster, "entry-1", "teams/clinics", document, etag);
  ck_assert_msg (reply.status == 504, "status %d: %s", reply.status,
                 reply.body);
  ck_assert_str_eq (reply_string (&reply, "kind"), "unconfirmed");
  ck_assert_str_eq (reply_string (&reply, "run_state"), "may-have-run");
  reply_clear (&reply);
  cluster_signal (cluster, "entry-3", SIGCONT);
  wait_rate (cluster, "entry-3", 55, g_get_monotonic_time ());
  g_free (etag);
  g_free (document);
  cluster_destroy (cluster);
}
END_TEST

/* Guards against an entry that serves although it cannot confirm that its
 * settings are current, since it reaches neither the store nor a majority of
 * entries. */
START_TEST (isolated_entry_stops_serving)
{
  const struct cluster_options options = { .entries = 3, .executors = 1 };
  struct cluster *cluster = cluster_create (&options);
  struct reply reply;

  cluster_control (cluster, "kv", "{\"down\":true}");
  cluster_signal (cluster, "entry-2", SIGSTOP);
  cluster_signal (cluster, "entry-3", SIGSTOP);
  g_usleep ((CHANGE_LIMIT_MS + 1000) * (gulong)1000);
  reply = http_call ("GET", cluster_http_address (cluster, "entry-1"),
                     "/readyz", NULL, NULL, 5);
  ck_assert_int_eq (reply.status, 503);
  reply_clear (&reply);
  reply = cluster_request (cluster, "entry-1", "stale-1", true, 10);
  ck_assert_str_eq (reply_string (&reply, "kind"), "stale-settings");
  ck_assert_str_eq (reply_string (&reply, "run_state"), "not-run");
  reply_clear (&reply);
  cluster_signal (cluster, "entry-2", SIGCONT);
  cluster_signal (cluster, "entry-3", SIGCONT);
  g_usleep (3 * (gulong)G_USEC_PER_SEC);
  reply = cluster_request (cluster, "entry-1", "stale-2", true, 10);
  ck_assert_msg (reply.status == 200, "status %d: %s", reply.status,
                 reply.body);
  reply_clear (&reply);
  cluster_destroy (cluster);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("process-settings");
  TCase *tcase = tcase_create ("process-settings");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 180);
  tcase_add_test (tcase, change_in_effect_on_nine_entries);
  tcase_add_test (tcase, accepting_entry_killed_after_the_write);
  tcase_add_test (tcase, acceptance_needs_a_majority);
  tcase_add_test (tcase, operators_racing);
  tcase_add_test (tcase, isolated_entry_stops_serving);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
