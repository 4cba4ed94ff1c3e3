/* Tests geraniumrackctl against an HTTP server in the same process. */
#include "ctl/context.h"
#include "ctl/ctl.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* One scripted response of the server. */
struct reply
{
  int status;
  const char *etag;
  const char *body; /* NULL: the request is never answered */
};

static SoupServer *server;
static SoupServerMessage *unanswered; /* the request that is never answered */
static char *url;
static const struct reply *replies; /* sent in order; the last one repeats */
static guint n_replies;
static GString *calls; /* "METHOD PATH?QUERY IF-MATCH BODY" lines */
static char *out;
static char *err;

static void
on_request (SoupServer *soup_server,
            SoupServerMessage *message,
            const char *path,
            GHashTable *query,
            gpointer data)
{
  SoupMessageHeaders *headers =
      soup_server_message_get_request_headers (message);
  SoupMessageHeaders *response_headers =
      soup_server_message_get_response_headers (message);
  const char *match = soup_message_headers_get_one (headers, "If-Match");
  const char *text = g_uri_get_query (soup_server_message_get_uri (message));
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  const struct reply *reply = replies;

  (void)soup_server;
  (void)query;
  (void)data;
  g_string_append_printf (calls, "%s %s%s%s %s %.*s\n",
                          soup_server_message_get_method (message), path,
                          text == NULL ? "" : "?", text == NULL ? "" : text,
                          match == NULL ? "-" : match, (int)body->length,
                          body->length == 0 ? "" : body->data);
  if (n_replies > 1)
    {
      replies++;
      n_replies--;
    }
  if (reply->body == NULL)
    {
      unanswered = g_object_ref (message);
      soup_server_message_pause (message);
      return;
    }
  soup_server_message_set_status (message, (guint)reply->status, NULL);
  if (reply->etag != NULL)
    soup_message_headers_append (response_headers, "ETag", reply->etag);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_COPY, reply->body,
                                    strlen (reply->body));
}

static void
setup (void)
{
  GSList *uris;

  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, on_request, NULL, NULL);
  ck_assert (
      soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (server);
  url = g_uri_to_string (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  calls = g_string_new (NULL);
}

static void
teardown (void)
{
  g_clear_object (&unanswered);
  soup_server_disconnect (server);
  g_object_unref (server);
  g_string_free (calls, TRUE);
  g_clear_pointer (&url, g_free);
  g_clear_pointer (&out, free);
  g_clear_pointer (&err, free);
}

static int
run_words (const char *const *words)
{
  char *argv[24] = { (char *)"geraniumrackctl" };
  int argc = 1;
  size_t out_size;
  size_t err_size;
  FILE *out_file;
  FILE *err_file;
  int exit_code;

  g_clear_pointer (&out, free);
  g_clear_pointer (&err, free);
  out_file = open_memstream (&out, &out_size);
  err_file = open_memstream (&err, &err_size);
  for (guint i = 0; words[i] != NULL; i++)
    argv[argc++] = (char *)words[i];
  exit_code = gr_ctl_run (argc, argv, out_file, err_file);
  fclose (out_file);
  fclose (err_file);
  return exit_code;
}

#define RUN(...) run_words ((const char *const[]){ __VA_ARGS__, NULL })

#define REPLIES(...)                                                           \
  static const struct reply script[] = { __VA_ARGS__ };                        \
  replies = script;                                                            \
  n_replies = G_N_ELEMENTS (script)

static char *
write_file (const char *text)
{
  char *name = NULL;
  int fd = g_file_open_tmp ("geraniumrack-XXXXXX", &name, NULL);

  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (name, text, -1, NULL));
  return name;
}

/* Guards against wrong arguments that are not detected before a request is sent
 * to an entry. */
START_TEST (wrong_arguments_end_with_2)
{
  ck_assert_int_eq (RUN ("--entry", url), 2);
  ck_assert_int_eq (RUN ("--entry", url, "accounts", "remove"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "jobs", "show"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "members", "more"), 2);
  ck_assert_int_eq (RUN ("--entry", "localhost", "members"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "--timeout", "0", "members"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "--timeout", "nan", "members"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "--wrong", "members"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "--token-file", "/none", "members"),
                    2);
  ck_assert_int_eq (RUN ("--entry", url, "jobs", "submit", "workers=x"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "jobs", "submit", "wrong=1"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "jobs", "list", "state=odd"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "drain", "shard"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "--entry", url, "drain", "entry"), 2);
  ck_assert_int_eq (RUN ("--entry", url, "accounts", "set", "A", "x=1"), 2);
  ck_assert_str_eq (calls->str, "");
}
END_TEST

struct outcome
{
  struct reply reply;
  int exit_code;
};

static const struct outcome outcomes[] = {
  { { 200, NULL, "{\"items\":[],\"next\":\"\"}" }, 0 },
  { { 200, NULL, "{}" }, 8 },
  { { 200, NULL, "not JSON" }, 8 },
  { { 401, NULL, "{\"kind\":\"unauthenticated\"}" }, 3 },
  { { 404, NULL, "{\"kind\":\"not-found\"}" }, 4 },
  { { 429, NULL, "{\"kind\":\"rate-limited\",\"retry_after_ms\":5}" }, 7 },
  { { 503, NULL, "{\"kind\":\"stale-settings\",\"detail\":\"late\"}" }, 7 },
  { { 504, NULL, "{\"kind\":\"unconfirmed\"}" }, 8 },
  { { 500, NULL, "{\"kind\":\"internal\"}" }, 70 },
  { { 503, NULL, "<html>" }, 8 },
  { { 500, NULL, "{\"kind\":\"none\"}" }, 8 },
  { { 403, NULL, "" }, 3 },
  { { 302, NULL, "" }, 8 },
  { { 200, NULL, NULL }, 8 },
};

/* Guards against exit codes that differ from the table of error kinds, also for
 * responses that are malformed or do not come from an entry. */
START_TEST (exit_codes_follow_the_kind)
{
  /* Only the case without a response waits for the timeout. */
  const char *timeout = outcomes[_i].reply.body != NULL ? "20" : "0.5";

  replies = &outcomes[_i].reply;
  n_replies = 1;
  ck_assert_int_eq (RUN ("--entry", url, "--timeout", timeout, "members"),
                    outcomes[_i].exit_code);
  ck_assert_int_eq (outcomes[_i].exit_code != 0, err[0] != '\0');
}
END_TEST

/* Guards against a command that fails although another entry accepts
 * connections, and against a request that is sent again to another entry after
 * the first one has responded. */
START_TEST (next_entry_is_tried_only_after_a_refused_connection)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  GSocketAddress *any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  GSocketAddress *bound;
  char *closed_url;

  /* Connections to a bound port without a listener are refused. */
  ck_assert (g_socket_bind (socket, any, FALSE, NULL));
  bound = g_socket_get_local_address (socket, NULL);
  closed_url = g_strdup_printf (
      "http://127.0.0.1:%u",
      g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
  REPLIES ({ 503, NULL, "{\"kind\":\"overloaded\"}" });
  ck_assert_int_eq (RUN ("--entry", closed_url, "--entry", url, "--entry", url,
                         "jobs", "submit", "account=a", "idempotent=true",
                         "run_ms=5"),
                    7);
  ck_assert_str_eq (calls->str,
                    "POST /v1/jobs - "
                    "{\"account\":\"a\",\"idempotent\":true,\"run_ms\":5}\n");
  ck_assert_int_eq (RUN ("--entry", closed_url, "members"), 7);
  ck_assert_ptr_nonnull (strstr (err, "no-target"));
  g_free (closed_url);
  g_object_unref (any);
  g_object_unref (bound);
  g_object_unref (socket);
}
END_TEST

/* Guards against a write that does not report the conflict if another writer
 * has changed the document since it was read. */
START_TEST (conflict_prints_both_revisions)
{
  char *file = write_file ("[account]\nrate_per_s = 5\n");

  REPLIES ({ 200, "\"7\"", "[account]\n" },
           { 409, NULL, "{\"kind\":\"conflict\",\"current_revision\":9}" });
  ck_assert_int_eq (RUN ("--entry", url, "settings", "set", "teams/a", file),
                    6);
  ck_assert_ptr_nonnull (
      strstr (err, "expected revision 7, current revision 9"));
  ck_assert_str_eq (calls->str, "GET /v1/settings/teams/a - \n"
                                "PUT /v1/settings/teams/a \"7\" "
                                "[account]\nrate_per_s = 5\n\n");
  unlink (file);
  g_free (file);
}
END_TEST

/* Guards against sending an invalid document, and against validation that
 * reports only the first error. */
START_TEST (invalid_document_is_not_sent)
{
  char *file = write_file ("[account]\nrate_per_s = -1\npriority = soon\n");

  ck_assert_int_eq (RUN ("--entry", url, "--revision", "3", "settings", "set",
                         "teams/a", file),
                    2);
  ck_assert_ptr_nonnull (strstr (err, "[account] rate_per_s: found '-1'"));
  ck_assert_ptr_nonnull (strstr (err, "[account] priority: found 'soon'"));
  ck_assert_str_eq (calls->str, "");
  unlink (file);
  g_free (file);
}
END_TEST

/* Guards against losing other keys or comments when a key is set. */
START_TEST (edit_keeps_the_other_lines)
{
  REPLIES ({ 200, "\"7\"",
             "# ours\n[account]\nrate_per_s = 1 ; low\n\n"
             "[guarantee \"g\"]\nworkers = 1\naccelerators_per_worker = 8\n"
             "data_centre = dc1\n" },
           { 200, NULL, "{\"revision\":8,\"in_force\":true}" });
  ck_assert_int_eq (RUN ("--entry", url, "accounts", "set", "a", "rate_per_s=2",
                         "priority=batch", "guarantee.g.count=2"),
                    0);
  ck_assert_str_eq (out, "teams/a: revision 8, in force\n");
  ck_assert_ptr_nonnull (strstr (
      calls->str, "PUT /v1/settings/teams/a \"7\" # ours\n[account]\n"
                  "rate_per_s = 2\npriority = batch\n\n[guarantee \"g\"]\n"
                  "workers = 1\naccelerators_per_worker = 8\n"
                  "data_centre = dc1\ncount = 2\n"));
}
END_TEST

/* Guards against lists that contain only the first page. */
START_TEST (all_pages_of_a_list_are_read)
{
  REPLIES ({ 200, NULL, "{\"items\":[{\"id\":\"s.a.1\"}],\"next\":\"s.a.1\"}" },
           { 200, NULL, "{\"items\":[{\"id\":\"s.a.2\"}]}" });
  ck_assert_int_eq (RUN ("--entry", url, "--json", "jobs", "list", "account=a"),
                    0);
  ck_assert_str_eq (out,
                    "{\"items\":[{\"id\":\"s.a.1\"},{\"id\":\"s.a.2\"}]}\n");
  ck_assert_ptr_nonnull (strstr (calls->str, "?account=a&after=s.a.1"));
}
END_TEST

/* Guards against reporting a list as complete if a shard did not answer and its
 * items are missing. */
START_TEST (missing_shards_are_reported)
{
  REPLIES ({ 200, NULL,
             "{\"items\":[],\"next\":\"x\",\"missing_shards\":[\"dc2\"]}" },
           { 200, NULL,
             "{\"items\":[{\"id\":\"a\"}],\"missing_shards\":[\"dc2\"]}" });
  ck_assert_int_eq (RUN ("--entry", url, "--json", "jobs", "list"), 7);
  ck_assert_str_eq (
      out, "{\"items\":[{\"id\":\"a\"}],\"missing_shards\":[\"dc2\"]}\n");
  ck_assert_ptr_nonnull (strstr (err, "shard dc2 did not answer"));
}
END_TEST

struct wait_case
{
  const char *final;
  int exit_code;
};

static const struct wait_case waits[] = {
  { "{\"state\":\"finished\"}", 0 },     { "{\"state\":\"failed\"}", 1 },
  { "{\"state\":\"cancelled\"}", 1 },    { "{\"state\":\"refused\"}", 5 },
  { "{\"state\":\"may-have-run\"}", 8 }, { "{\"state\":\"odd\"}", 8 },
};

/* Guards against a wait that ends at a state or error that is not final, and
 * against wrong exit codes for final states. */
START_TEST (wait_ends_with_the_state_of_the_job)
{
  struct reply script[] = {
    { 200, NULL, "{\"state\":\"accepted\"}" },
    { 503, NULL, "{\"kind\":\"no-owner\"}" },
    { 200, NULL, waits[_i].final },
  };

  replies = script;
  n_replies = G_N_ELEMENTS (script);
  ck_assert_int_eq (RUN ("--entry", url, "--json", "jobs", "wait", "s.a.1"),
                    waits[_i].exit_code);
  ck_assert_uint_eq (n_replies, 1);
  ck_assert_ptr_null (strstr (err, "accepted"));
}
END_TEST

/* Guards against a wait that continues after its timeout, or reports success
 * then. */
START_TEST (wait_ends_at_its_timeout)
{
  REPLIES ({ 200, NULL, "{\"state\":\"running\"}" });
  ck_assert_int_eq (
      RUN ("--entry", url, "--timeout", "0.3", "jobs", "wait", "s.a.1"), 8);
  ck_assert_ptr_nonnull (strstr (err, "timeout"));
}
END_TEST

/* Guards against a watch that reports a revision twice, reports a lower
 * revision from an entry that has not caught up, or ends at a transient error.
 */
START_TEST (watch_reports_changes_once)
{
  REPLIES (
      { 200, NULL, "{\"paths\":[{\"path\":\"platform\",\"revision\":4}]}" },
      { 200, NULL, "{\"paths\":[{\"path\":\"platform\",\"revision\":3}]}" },
      { 503, NULL, "{\"kind\":\"overloaded\"}" },
      { 200, NULL, "{\"paths\":[{\"path\":\"platform\",\"revision\":6}]}" },
      { 200, NULL, "{\"paths\":[]}" });
  ck_assert_int_eq (RUN ("--entry", url, "--interval", "0.1", "--timeout", "2",
                         "settings", "watch"),
                    0);
  ck_assert_str_eq (out, "platform revision 4\nplatform revision 6\n"
                         "platform deleted\n");
}
END_TEST

/* Guards against exit code 0 of "status" while a shard has no owner. */
START_TEST (status_fails_without_an_owner)
{
  REPLIES (
      { 200, NULL, "{}" },
      { 200, NULL, "{\"items\":[{\"name\":\"e1\",\"state\":\"ready\"}]}" },
      { 200, NULL, "{\"items\":[{\"name\":\"dc1\",\"owner\":\"\"}]}" },
      { 200, NULL,
        "{\"items\":[{\"name\":\"a\",\"guaranteed\":16,\"used\":8}]}" },
      { 200, NULL, "{\"items\":[{\"name\":\"w1\",\"quarantined\":true}]}" });
  ck_assert_int_eq (RUN ("--entry", url, "status"), 7);
  ck_assert_str_eq (out, "entry: ready\nmembers: 1, of which 1 ready\n"
                         "workers: 1 in quarantine\n"
                         "shard dc1: no owner\n"
                         "account a: guaranteed 16, used 8, borrowed 0, "
                         "waiting 0\n");
}
END_TEST

/* Guards against exit code 0 of "status" during an outage of the key-value
 * service. */
START_TEST (status_fails_in_a_store_outage)
{
  REPLIES ({ 200, NULL, "ready; the key-value service does not answer\n" },
           { 200, NULL, "{\"items\":[]}" }, { 200, NULL, "{\"items\":[]}" },
           { 200, NULL, "{\"items\":[]}" }, { 200, NULL, "{\"items\":[]}" });
  ck_assert_int_eq (RUN ("--entry", url, "status"), 7);
  ck_assert_ptr_nonnull (strstr (out, "does not answer"));
}
END_TEST

/* Guards against a diff with too many or too few equal lines around a
 * difference, and a diff of equal texts that is not empty. */
START_TEST (diff_shows_only_what_differs)
{
  char *diff = gr_ctl_diff ("1\n2\n3\n4\n5\n6\n7\n", "1\n2\n3\n4\n5\nsix\n7\n");

  ck_assert_str_eq (diff, " 3\n 4\n 5\n-6\n+six\n 7\n");
  g_free (diff);
  diff = gr_ctl_diff ("same\n", "same\n");
  ck_assert_str_eq (diff, "");
  g_free (diff);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ctl");
  TCase *tcase = tcase_create ("ctl");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, wrong_arguments_end_with_2);
  tcase_add_loop_test (tcase, exit_codes_follow_the_kind, 0,
                       (int)G_N_ELEMENTS (outcomes));
  tcase_add_test (tcase, next_entry_is_tried_only_after_a_refused_connection);
  tcase_add_test (tcase, conflict_prints_both_revisions);
  tcase_add_test (tcase, invalid_document_is_not_sent);
  tcase_add_test (tcase, edit_keeps_the_other_lines);
  tcase_add_test (tcase, all_pages_of_a_list_are_read);
  tcase_add_test (tcase, missing_shards_are_reported);
  tcase_add_loop_test (tcase, wait_ends_with_the_state_of_the_job, 0,
                       (int)G_N_ELEMENTS (waits));
  tcase_add_test (tcase, wait_ends_at_its_timeout);
  tcase_add_test (tcase, watch_reports_changes_once);
  tcase_add_test (tcase, status_fails_without_an_owner);
  tcase_add_test (tcase, status_fails_in_a_store_outage);
  tcase_add_test (tcase, diff_shows_only_what_differs);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
