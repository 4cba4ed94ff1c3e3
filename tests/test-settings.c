/* Tests validation and parsing of settings documents, and the common startup
 * code. */
#include "settings/document.h"
#include "settings/print.h"
#include "settings/process.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char *const team_text = "; a team\n"
                                     "[account]\n"
                                     "priority = urgent   ; customers wait\n"
                                     "rate_per_s = 200.5\n"
                                     "quota_accelerators = 64\n"
                                     "[guarantee \"counter\"]\n"
                                     "workers = 2\n"
                                     "accelerators_per_worker = 8\n"
                                     "data_centre = dc1\n"
                                     "[guarantee \"desk\"]\n"
                                     "workers = 1\n"
                                     "accelerators_per_worker = 4\n"
                                     "data_centre = dc2\n"
                                     "count = 3\n";

static GPtrArray *
problems_of (enum gr_document_kind kind, const char *text)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  bool valid = gr_document_check (kind, text, problems);

  ck_assert_int_eq (valid, problems->len == 0);
  return problems;
}

static bool
any_contains (const GPtrArray *problems, const char *text)
{
  for (guint i = 0; i < problems->len; i++)
    if (strstr (problems->pdata[i], text) != NULL)
      return true;
  return false;
}

/* A document with an error, and the text that the reported problem must
 * contain. */
struct fault
{
  enum gr_document_kind kind;
  const char *text;
  const char *problem;
};

static const struct fault faults[] = {
  { GR_DOCUMENT_TEAM, "[account]\nrate_per_s = -1\n",
    "[account] rate_per_s: found '-1', allowed: a decimal number from 0" },
  { GR_DOCUMENT_TEAM, "[account]\nrate_per_s = nan\n", "found 'nan'" },
  { GR_DOCUMENT_TEAM, "[account]\nrate_per_s = 1e3\n", "found '1e3'" },
  { GR_DOCUMENT_TEAM, "[account]\nrate_per_s = 1000001\n", "to 1000000" },
  { GR_DOCUMENT_TEAM, "[account]\nquota_accelerators = 4294967296\n",
    "found '4294967296'" },
  { GR_DOCUMENT_TEAM,
    "[account]\nquota_accelerators = 99999999999999999999999\n",
    "found '99999999999999999999999'" },
  { GR_DOCUMENT_TEAM, "[account]\nquota_accelerators = 0x10\n", "0x10" },
  { GR_DOCUMENT_TEAM, "[account]\npriority = soon\n",
    "allowed: urgent, normal, batch" },
  { GR_DOCUMENT_TEAM, "[account]\ntoken_sha256 = abc\n", "64 hexadecimal" },
  { GR_DOCUMENT_TEAM, "[account]\nrate = 1\n", "rate: found an unknown key" },
  { GR_DOCUMENT_TEAM, "[acount]\n", "[acount]: found an unknown section" },
  { GR_DOCUMENT_TEAM, "[guarantee]\nworkers = 1\n", "unknown section" },
  { GR_DOCUMENT_TEAM,
    "[guarantee \"A b\"]\nworkers=1\naccelerators_per_worker=1\n"
    "data_centre=dc1\n",
    "NAME: found 'A b'" },
  { GR_DOCUMENT_TEAM,
    "[guarantee \"a\"]\nworkers=1\naccelerators_per_worker=17\n"
    "data_centre=dc1\n",
    "from 1 to 16" },
  { GR_DOCUMENT_TEAM, "[guarantee \"a\"]\nworkers=1\ndata_centre=dc1\n",
    "accelerators_per_worker: found nothing" },
  { GR_DOCUMENT_TEAM,
    "[account]\nquota_accelerators=7\n[guarantee \"a\"]\nworkers=1\n"
    "accelerators_per_worker=8\ndata_centre=dc1\n",
    "at least the 8 accelerators" },
  { GR_DOCUMENT_TEAM, "[account]\n[account]\n",
    "line 2: found '[account]', allowed: each section once" },
  { GR_DOCUMENT_TEAM, "[account]\nrate_per_s=1\nrate_per_s=2\n",
    "line 3: found 'rate_per_s=2', allowed: each key once" },
  { GR_DOCUMENT_TEAM, "rate_per_s=1\n", "before the first key" },
  { GR_DOCUMENT_TEAM, "[account]\nurgent\n", "KEY = VALUE" },
  { GR_DOCUMENT_TEAM, "[account\n", "[SECTION]" },
  { GR_DOCUMENT_TEAM, "[account]\npriority = \xff\n", "allowed: UTF-8" },
  { GR_DOCUMENT_PLATFORM, "[shards]\nnames = dc1;dc1\n", "different names" },
  { GR_DOCUMENT_PLATFORM, "[shards]\nnames = dc1 ; dc2\n",
    "found 'dc1 ; dc2'" },
  { GR_DOCUMENT_PLATFORM, "[shards]\nowner_lease_ttl_s = 40\n",
    "more than owner_lease_ttl_s" },
  { GR_DOCUMENT_PLATFORM,
    "[shards]\nstart_lease_term_ms = 20000\nrun_lease_term_ms = 15000\n",
    "at least start_lease_term_ms" },
  { GR_DOCUMENT_PROCESS,
    "[process]\ninstance = e\ndata_centre = d\ntls_key = /k\n"
    "[platform]\nkv_url = http://[::1]:1\ninstances_url = http://1.2.3.4:5\n",
    "[process] tls_certificate: found nothing" },
  { GR_DOCUMENT_PROCESS, "[process]\ntls_key = k\n", "absolute file name" },
  { GR_DOCUMENT_PROCESS, "", "[platform] kv_url: found nothing" },
  { GR_DOCUMENT_PROCESS, "[process]\nhttp_address = localhost:80\n",
    "found 'localhost:80', allowed: IP:PORT" },
  { GR_DOCUMENT_PROCESS, "[process]\nrpc_address = 127.0.0.1:65536\n",
    "found '127.0.0.1:65536'" },
  { GR_DOCUMENT_PROCESS, "[platform]\nkv_url = http://store:2379\n",
    "allowed: http://IP:PORT" },
};

/* Guards against accepting an invalid document, and against problems that do
 * not name the location, the value found and the allowed values. */
START_TEST (each_fault_is_reported)
{
  const struct fault *fault = &faults[_i];
  GPtrArray *problems = problems_of (fault->kind, fault->text);

  ck_assert_msg (any_contains (problems, fault->problem), "%s gave %s",
                 fault->text,
                 problems->len > 0 ? (char *)problems->pdata[0] : "nothing");
  g_ptr_array_unref (problems);
}
END_TEST

/* Guards against validation that stops at the first problem. */
START_TEST (all_problems_are_reported_at_once)
{
  GPtrArray *problems = problems_of (GR_DOCUMENT_TEAM, "[account]\n"
                                                       "priority = soon\n"
                                                       "what\n"
                                                       "rate_per_s = -2\n"
                                                       "[other]\n"
                                                       "[guarantee \"a\"]\n"
                                                       "workers = 0\n");

  ck_assert_uint_eq (problems->len, 7);
  g_ptr_array_unref (problems);
}
END_TEST

/* Guards against rows in the table of keys with a wrong field or size: each
 * value must be stored in its own field. */
START_TEST (team_settings_have_all_values)
{
  struct gr_account_settings team;
  struct gr_error error = GR_ERROR_INIT;

  ck_assert (gr_document_team ("presses", team_text, &team, &error));
  ck_assert_str_eq (team.name, "presses");
  ck_assert_int_eq (team.priority, GR_PRIORITY_URGENT);
  ck_assert_double_eq (team.rate_per_s, 200.5);
  ck_assert_uint_eq (team.quota_accelerators, 64);
  ck_assert_str_eq (team.token_sha256, "");
  ck_assert_uint_eq (team.n_guarantees, 2);
  ck_assert_str_eq (team.guarantees[0].name, "counter");
  ck_assert_uint_eq (team.guarantees[0].shape.workers, 2);
  ck_assert_uint_eq (team.guarantees[0].count, 1);
  ck_assert_str_eq (team.guarantees[1].data_centre, "dc2");
  ck_assert_uint_eq (team.guarantees[1].count, 3);
  ck_assert (!gr_document_team ("presses", "[other]", &team, &error));
  ck_assert_int_eq (error.kind, GR_ERROR_BAD_SETTINGS);
}
END_TEST

/* Guards against a default in the table of keys that is not valid itself. */
START_TEST (printed_defaults_are_valid)
{
  struct gr_platform_settings platform;
  struct gr_error error = GR_ERROR_INIT;
  GString *text = g_string_new (NULL);
  GPtrArray *problems;

  gr_document_print_keys (GR_DOCUMENT_PLATFORM, text);
  ck_assert (gr_document_platform (text->str, &platform, &error));
  ck_assert_str_eq (platform.shards, "dc1;dc2;dc3");
  ck_assert_uint_eq (platform.entry_instances, 9);
  g_string_truncate (text, 0);
  gr_document_print_keys (GR_DOCUMENT_TEAM, text);
  g_string_truncate (text,
                     (gsize)(strstr (text->str, "[guarantee") - text->str));
  problems = problems_of (GR_DOCUMENT_TEAM, text->str);
  ck_assert_uint_eq (problems->len, 0);
  g_ptr_array_unref (problems);
  g_string_free (text, TRUE);
}
END_TEST

/* Guards against wrong values or defaults in the settings of a process. */
START_TEST (process_settings_have_values_and_defaults)
{
  struct gr_process_settings process;
  struct gr_error error = GR_ERROR_INIT;

  ck_assert (gr_document_process ("[process]\n"
                                  "instance = e1\n"
                                  "data_centre = dc1\n"
                                  "http_address = [::1]:80\n"
                                  "[platform]\n"
                                  "kv_url = http://127.0.0.1:2379\n"
                                  "instances_url = http://127.0.0.1:2380\n",
                                  &process, &error));
  ck_assert_str_eq (process.instance, "e1");
  ck_assert_str_eq (process.http_address, "[::1]:80");
  ck_assert_str_eq (process.tls_key, "");
  ck_assert_uint_eq (process.kv_timeout_ms, 2000);
  ck_assert_str_eq (process.log_level, "info");
  gr_process_settings_clear (&process);
  ck_assert (!gr_document_process ("", &process, &error));
}
END_TEST

/* Guards against documents of unlimited size, which every instance would have
 * to keep in memory. */
START_TEST (oversized_document_is_refused)
{
  char *text = g_strnfill (GR_DOCUMENT_MAX_BYTES + 1, '\n');
  GPtrArray *problems = problems_of (GR_DOCUMENT_TEAM, text);

  ck_assert (any_contains (problems, "allowed: at most 65536"));
  ck_assert_uint_eq (problems->len, 1);
  g_ptr_array_unref (problems);
  text[GR_DOCUMENT_MAX_BYTES] = '\0';
  problems = problems_of (GR_DOCUMENT_TEAM, text);
  ck_assert_uint_eq (problems->len, 0);
  g_ptr_array_unref (problems);
  g_free (text);
}
END_TEST

/* Guards against accepting a list of names that is too long for its field and
 * would be truncated. */
START_TEST (long_list_of_names_is_refused)
{
  GString *text = g_string_new ("[shards]\nnames = ");
  GPtrArray *problems;

  for (int i = 0; i < 25; i++)
    g_string_append_printf (text, "%040d;", i);
  problems = problems_of (GR_DOCUMENT_PLATFORM, text->str);
  ck_assert (any_contains (problems, "in less than 1024 bytes"));
  g_ptr_array_unref (problems);
  g_string_free (text, TRUE);
}
END_TEST

static int
start_process (const char *option,
               const char *text,
               gssize length,
               bool *started)
{
  char *name = NULL;
  int fd = g_file_open_tmp ("geraniumrack-XXXXXX", &name, NULL);
  char *argv[] = { (char *)"test", (char *)option, name, NULL };
  struct gr_process_settings settings;
  int exit_code;

  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (name, text, length, NULL));
  *started =
      gr_process_start (3, argv, "test", "", NULL, &settings, &exit_code);
  gr_process_settings_clear (&settings);
  unlink (name);
  g_free (name);
  return exit_code;
}

/* Guards against a process that starts although its settings file is invalid or
 * incomplete, and against --check-settings starting the process. */
START_TEST (process_starts_only_with_a_valid_file)
{
  const char *valid = "[process]\ninstance = e\ndata_centre = d\n"
                      "[platform]\nkv_url = http://127.0.0.1:1\n"
                      "instances_url = http://127.0.0.1:2\n";
  gssize length = (gssize)strlen (valid);
  bool started;

  ck_assert_int_eq (start_process ("--settings", valid, length, &started), 0);
  ck_assert (started);
  ck_assert_int_eq (start_process ("--check-settings", valid, length, &started),
                    0);
  ck_assert (!started);
  /* Validation would not see the text after a NUL byte. */
  ck_assert_int_eq (start_process ("--settings", valid, length + 1, &started),
                    2);
  ck_assert (!started);
  ck_assert_int_eq (start_process ("--settings", "[log]\n", -1, &started), 2);
  ck_assert (!started);
  ck_assert_int_eq (start_process ("--check-settings", "[log]\n", -1, &started),
                    2);
  ck_assert (!started);
  ck_assert_int_eq (start_process ("--wrong", valid, length, &started), 2);
  ck_assert (!started);
}
END_TEST

/* Guards against accepting more guarantees than fit into the account's
 * settings.
 */
START_TEST (too_many_guarantees_are_refused)
{
  GString *text = g_string_new (NULL);
  GPtrArray *problems;

  for (int i = 0; i <= GR_MAX_GUARANTEES; i++)
    g_string_append_printf (text,
                            "[guarantee \"g%d\"]\nworkers=1\n"
                            "accelerators_per_worker=1\ndata_centre=dc1\n",
                            i);
  problems = problems_of (GR_DOCUMENT_TEAM, text->str);
  ck_assert (any_contains (problems, "found 17 guarantees"));
  g_ptr_array_unref (problems);
  g_string_free (text, TRUE);
}
END_TEST

/* Guards against settings paths that would refer to other keys of the key-value
 * service. */
START_TEST (invalid_paths_are_refused)
{
  static const char *const bad[] = { "",          "teams/",   "teams/A",
                                     "teams/a/b", "teams",    "platform/",
                                     "/platform", "teams/..", "history/x" };
  enum gr_document_kind kind;
  struct gr_error error = GR_ERROR_INIT;

  ck_assert (gr_document_kind_of_path ("platform", &kind, &error));
  ck_assert_int_eq (kind, GR_DOCUMENT_PLATFORM);
  ck_assert (gr_document_kind_of_path ("teams/a-1", &kind, &error));
  ck_assert_int_eq (kind, GR_DOCUMENT_TEAM);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      ck_assert (!gr_document_kind_of_path (bad[i], &kind, &error));
      ck_assert_int_eq (error.kind, GR_ERROR_BAD_REQUEST);
    }
}
END_TEST

static void
check_sample (const char *directory,
              const char *name,
              enum gr_document_kind kind)
{
  char *file = g_build_filename (g_getenv ("GR_SOURCE_DIR"), "etc", directory,
                                 name, NULL);
  GPtrArray *problems;
  char *text;

  ck_assert_msg (g_file_get_contents (file, &text, NULL, NULL), "%s", file);
  problems = problems_of (kind, text);
  ck_assert_msg (problems->len == 0, "%s: %s", file,
                 problems->len > 0 ? (char *)problems->pdata[0] : "");
  g_ptr_array_unref (problems);
  g_free (text);
  g_free (file);
}

/* Guards against sample settings in etc/ that are invalid. */
START_TEST (samples_are_valid)
{
  static const char *const teams[2][5] = {
    { "cedar", "clinics", "shelters", "households", "overnight" },
    { "himal", "counter", "presses", "bindery", "batch" },
  };

  for (int i = 0; i < 2; i++)
    {
      check_sample (teams[i][0], "platform.ini", GR_DOCUMENT_PLATFORM);
      check_sample (teams[i][0], "entry.ini", GR_DOCUMENT_PROCESS);
      check_sample (teams[i][0], "scheduler.ini", GR_DOCUMENT_PROCESS);
      for (int j = 1; j < 5; j++)
        {
          char *name = g_strdup_printf ("teams/%s.ini", teams[i][j]);

          check_sample (teams[i][0], name, GR_DOCUMENT_TEAM);
          g_free (name);
        }
    }
}
END_TEST

/* Guards against a reference that was not regenerated after a change of the
 * table of keys. */
START_TEST (reference_is_up_to_date)
{
  char *file = g_build_filename (g_getenv ("GR_SOURCE_DIR"), "docs",
                                 "settings.md", NULL);
  GString *reference = g_string_new (NULL);
  char *text;

  ck_assert (g_file_get_contents (file, &text, NULL, NULL));
  gr_document_print_reference (reference);
  ck_assert_msg (g_str_equal (text, reference->str),
                 "docs/settings.md is out of date, run make docs");
  g_string_free (reference, TRUE);
  g_free (text);
  g_free (file);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings");
  TCase *tcase = tcase_create ("document");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, each_fault_is_reported, 0,
                       (int)G_N_ELEMENTS (faults));
  tcase_add_test (tcase, all_problems_are_reported_at_once);
  tcase_add_test (tcase, team_settings_have_all_values);
  tcase_add_test (tcase, printed_defaults_are_valid);
  tcase_add_test (tcase, process_settings_have_values_and_defaults);
  tcase_add_test (tcase, oversized_document_is_refused);
  tcase_add_test (tcase, too_many_guarantees_are_refused);
  tcase_add_test (tcase, long_list_of_names_is_refused);
  tcase_add_test (tcase, process_starts_only_with_a_valid_file);
  tcase_add_test (tcase, invalid_paths_are_refused);
  tcase_add_test (tcase, samples_are_valid);
  tcase_add_test (tcase, reference_is_up_to_date);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
