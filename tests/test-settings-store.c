/* Tests the store of shared documents. The test replaces gr_kv_range () and
 * completes the reads itself. */
#include "settings/store.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define MAX_READS 16

struct read
{
  int64_t min_revision;
  void (*done) (const struct gr_kv_result *result,
                const struct gr_error *error,
                void *context);
  void *context;
};

static struct read reads[MAX_READS];
static guint n_reads;
static GString *changes; /* "PATH@REVISION=TEXT;" */
static struct gr_clock *manual;
static struct gr_settings_store *store;

/* Replaces the function of the key-value client. It is the only one that the
 * store calls. */
void
gr_kv_range (struct gr_kv *kv,
             const char *cause,
             const char *key,
             bool prefix,
             int64_t min_mod_revision,
             uint32_t timeout_ms,
             void (*done) (const struct gr_kv_result *result,
                           const struct gr_error *error,
                           void *context),
             void *context)
{
  (void)kv;
  (void)timeout_ms;
  ck_assert_str_eq (cause, "settings");
  ck_assert_str_eq (key, GR_SETTINGS_PREFIX);
  ck_assert (prefix);
  ck_assert_uint_lt (n_reads, MAX_READS);
  reads[n_reads++] = (struct read){ min_mod_revision, done, context };
}

static void
on_changed (const char *path, const char *text, int64_t revision, void *context)
{
  (void)context;
  g_string_append_printf (changes, "%s@%" G_GINT64_FORMAT "=%s;", path,
                          revision, text);
}

static void
setup (void)
{
  n_reads = 0;
  changes = g_string_new (NULL);
  manual = gr_clock_create_manual (1000);
  /* The kv pointer is never dereferenced. */
  store = gr_settings_store_create ((struct gr_kv *)&n_reads, manual,
                                    on_changed, NULL);
}

static void
teardown (void)
{
  static const struct gr_error cancelled = { .kind = GR_ERROR_CANCELLED };

  gr_settings_store_destroy (store);
  for (guint i = 0; i < n_reads; i++)
    if (reads[i].done != NULL)
      reads[i].done (NULL, &cancelled, reads[i].context);
  gr_clock_destroy (manual);
  g_string_free (changes, TRUE);
}

/* Completes a read with one document, or with none if key is NULL. */
static void
complete_read (guint index,
               int64_t revision,
               const char *key,
               const char *text,
               int64_t mod_revision)
{
  struct gr_kv_entry entry = { .key = (char *)key,
                               .value = (char *)text,
                               .size = text == NULL ? 0 : strlen (text),
                               .mod_revision = mod_revision };
  struct gr_kv_result result = { .revision = revision,
                                 .n_entries = key == NULL ? 0 : 1,
                                 .entries = &entry };
  struct read read = reads[index];

  reads[index].done = NULL;
  read.done (&result, NULL, read.context);
}

#define TEAM GR_SETTINGS_PREFIX "teams/a"

/* Guards against an older document that replaces a newer one if pushes and
 * reads arrive out of order. */
START_TEST (older_revisions_are_ignored)
{
  int64_t revision;

  complete_read (0, 10, TEAM, "[account]\nrate_per_s=1\n", 10);
  ck_assert (gr_settings_store_apply (store, "teams/a", "[account]\n", 12));
  ck_assert (!gr_settings_store_apply (store, "teams/a", "", 12));
  ck_assert (!gr_settings_store_apply (store, "teams/a", "", 11));
  gr_settings_store_poll (store);
  complete_read (1, 13, TEAM, "", 11);
  ck_assert_str_eq (changes->str, "teams/a@10=[account]\nrate_per_s=1\n;"
                                  "teams/a@12=[account]\n;");
  ck_assert_str_eq (gr_settings_store_get (store, "teams/a", &revision),
                    "[account]\n");
  ck_assert_int_eq (revision, 12);
  ck_assert_int_eq (gr_settings_store_revision (store), 12);
}
END_TEST

/* Guards against missing a change: a push of one path must not make the next
 * read skip earlier changes of other paths. */
START_TEST (reads_continue_after_the_last_read)
{
  ck_assert_int_eq (reads[0].min_revision, 0);
  complete_read (0, 10, NULL, NULL, 0);
  gr_settings_store_apply (store, "teams/a", "", 20);
  gr_settings_store_poll (store);
  ck_assert_int_eq (reads[1].min_revision, 11);
  /* The previous read has not succeeded yet, so the next one starts at the same
   * revision. */
  gr_settings_store_poll (store);
  ck_assert_int_eq (reads[2].min_revision, 11);
  complete_read (2, 30, NULL, NULL, 0);
  complete_read (1, 25, TEAM, "[account]\n", 24);
  gr_settings_store_poll (store);
  ck_assert_int_eq (reads[3].min_revision, 31);
  ck_assert_str_eq (changes->str, "teams/a@20=;teams/a@24=[account]\n;");
}
END_TEST

/* Guards against settings that count as current although they may be outdated:
 * a read confirms the settings as of its start, not of its end. */
START_TEST (age_counts_from_the_start_of_a_read)
{
  static const struct gr_error lost = { .kind = GR_ERROR_TIMEOUT };

  gr_settings_store_confirm (store, 1000);
  ck_assert (!gr_settings_store_loaded (store));
  ck_assert (!gr_settings_store_is_current (store));
  gr_clock_advance (manual, 3000);
  complete_read (0, 10, NULL, NULL, 0);
  ck_assert (gr_settings_store_loaded (store));
  gr_clock_advance (manual, 1000);
  ck_assert (gr_settings_store_is_current (store));
  gr_clock_advance (manual, 1);
  ck_assert (!gr_settings_store_is_current (store));
  gr_settings_store_poll (store);
  reads[1].done (NULL, &lost, reads[1].context);
  reads[1].done = NULL;
  ck_assert (!gr_settings_store_is_current (store));
  gr_settings_store_confirm (store, 4000);
  gr_settings_store_confirm (store, 500);
  ck_assert (gr_settings_store_is_current (store));
}
END_TEST

/* Guards against listing deleted paths, and against applying documents with an
 * invalid path or revision. */
START_TEST (deleted_paths_are_not_listed)
{
  GPtrArray *paths;

  gr_settings_store_apply (store, "teams/b", "[account]\n", 1);
  gr_settings_store_apply (store, "teams/a", "[account]\n", 2);
  gr_settings_store_apply (store, "teams/c", "[account]\n", 3);
  gr_settings_store_apply (store, "teams/c", "", 4);
  ck_assert (!gr_settings_store_apply (store, "teams/../x", "", 5));
  ck_assert (!gr_settings_store_apply (store, "teams/d", "", 0));
  paths = gr_settings_store_paths (store, "teams/");
  ck_assert_uint_eq (paths->len, 2);
  ck_assert_str_eq (paths->pdata[0], "teams/a");
  ck_assert_str_eq (paths->pdata[1], "teams/b");
  g_ptr_array_unref (paths);
}
END_TEST

/* Guards against an unlimited number of reads in flight while the key-value
 * service does not answer. */
START_TEST (reads_in_flight_are_bounded)
{
  for (int i = 0; i < 100; i++)
    gr_settings_store_poll (store);
  ck_assert_uint_eq (n_reads, 8);
  complete_read (3, 10, NULL, NULL, 0);
  gr_settings_store_poll (store);
  ck_assert_uint_eq (n_reads, 9);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings-store");
  TCase *tcase = tcase_create ("store");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, older_revisions_are_ignored);
  tcase_add_test (tcase, reads_continue_after_the_last_read);
  tcase_add_test (tcase, age_counts_from_the_start_of_a_read);
  tcase_add_test (tcase, deleted_paths_are_not_listed);
  tcase_add_test (tcase, reads_in_flight_are_bounded);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
