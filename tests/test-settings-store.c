/* Store of shared documents, with reads that the test answers itself. */
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

/* Takes the place of the client's function: the store calls no other. */
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
  /* The client is never looked into. */
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

/* Answers a read with one document, or none if key is NULL. */
static void
answer (guint index,
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

/* Guards against an old document that replaces a newer one, whichever way
 * they arrive. */
START_TEST (revisions_only_rise)
{
  int64_t revision;

  answer (0, 10, TEAM, "[account]\nrate_per_s=1\n", 10);
  ck_assert (gr_settings_store_apply (store, "teams/a", "[account]\n", 12));
  ck_assert (!gr_settings_store_apply (store, "teams/a", "", 12));
  ck_assert (!gr_settings_store_apply (store, "teams/a", "", 11));
  gr_settings_store_poll (store);
  answer (1, 13, TEAM, "", 11);
  ck_assert_str_eq (changes->str, "teams/a@10=[account]\nrate_per_s=1\n;"
                                  "teams/a@12=[account]\n;");
  ck_assert_str_eq (gr_settings_store_get (store, "teams/a", &revision),
                    "[account]\n");
  ck_assert_int_eq (revision, 12);
  ck_assert_int_eq (gr_settings_store_revision (store), 12);
}
END_TEST

/* Guards against a push of one path that hides earlier changes of others. */
START_TEST (reads_go_on_from_the_last_read)
{
  ck_assert_int_eq (reads[0].min_revision, 0);
  answer (0, 10, NULL, NULL, 0);
  gr_settings_store_apply (store, "teams/a", "", 20);
  gr_settings_store_poll (store);
  ck_assert_int_eq (reads[1].min_revision, 11);
  /* A read that failed moves nothing. */
  gr_settings_store_poll (store);
  ck_assert_int_eq (reads[2].min_revision, 11);
  answer (2, 30, NULL, NULL, 0);
  answer (1, 25, TEAM, "[account]\n", 24);
  gr_settings_store_poll (store);
  ck_assert_int_eq (reads[3].min_revision, 31);
  ck_assert_str_eq (changes->str, "teams/a@20=;teams/a@24=[account]\n;");
}
END_TEST

/* Guards against a process that works on settings it cannot know to be
 * current: a read counts from its start, not from its end. */
START_TEST (currentness_counts_from_the_start_of_a_read)
{
  static const struct gr_error lost = { .kind = GR_ERROR_TIMEOUT };

  gr_settings_store_confirm (store, 1000);
  ck_assert (!gr_settings_store_loaded (store));
  ck_assert (!gr_settings_store_is_current (store));
  gr_clock_advance (manual, 3000);
  answer (0, 10, NULL, NULL, 0);
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

/* Guards against deleted paths that are listed, and paths that do not exist. */
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

/* Guards against reads that pile up while the service does not answer. */
START_TEST (reads_in_flight_are_bounded)
{
  for (int i = 0; i < 100; i++)
    gr_settings_store_poll (store);
  ck_assert_uint_eq (n_reads, 8);
  answer (3, 10, NULL, NULL, 0);
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
  tcase_add_test (tcase, revisions_only_rise);
  tcase_add_test (tcase, reads_go_on_from_the_last_read);
  tcase_add_test (tcase, currentness_counts_from_the_start_of_a_read);
  tcase_add_test (tcase, deleted_paths_are_not_listed);
  tcase_add_test (tcase, reads_in_flight_are_bounded);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
