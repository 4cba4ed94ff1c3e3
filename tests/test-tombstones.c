#include "instance/tombstones.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Ids that share a record: found by trying. */
static char *
same_record_id (const struct gr_tombstones *filled, uint32_t *next)
{
  for (;; (*next)++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", *next);

      if (gr_tombstones_count (filled, id) == 0)
        continue;
      (*next)++;
      return g_steal_pointer (&id);
    }
}

static void
apply_text (struct gr_tombstones *tombstones,
            uint32_t record,
            int64_t revision,
            const char *text)
{
  g_autofree char *key = g_strdup_printf ("gr/tombstones/%02u", record);
  g_autoptr (GBytes) value = g_bytes_new (text, strlen (text));
  struct gr_metastore_item item = { key, value, revision, 1, false };

  gr_tombstones_apply (tombstones, &item);
}

/* Guards against a submission that is stored because so many other ids were
 * cancelled since it began that its own was forgotten. */
START_TEST (forgotten_id_is_not_taken_for_absent)
{
  struct gr_tombstones *tombstones = gr_tombstones_create ();
  g_autoptr (GString) text = g_string_new ("34");
  g_autofree char *id = NULL;
  uint32_t next = 1;

  apply_text (tombstones, 5, 10, "1\n00000000000000ff");
  id = same_record_id (tombstones, &next);
  ck_assert_int_eq (gr_tombstones_find (tombstones, id, 1),
                    GR_TOMBSTONE_ABSENT);
  for (uint32_t i = 0; i < GR_TOMBSTONE_IDS; i++)
    g_string_append_printf (text, "\nffffffff%08x", i);
  apply_text (tombstones, 5, 11, text->str);
  ck_assert_uint_eq (gr_tombstones_count (tombstones, id), 34);
  ck_assert_int_eq (gr_tombstones_find (tombstones, id, 1),
                    GR_TOMBSTONE_UNKNOWN);
  ck_assert_int_eq (gr_tombstones_find (tombstones, id, 2),
                    GR_TOMBSTONE_ABSENT);
  ck_assert_int_eq (gr_tombstones_find (tombstones, id, 34),
                    GR_TOMBSTONE_ABSENT);
  gr_tombstones_destroy (tombstones);
}
END_TEST

/* Guards against a tombstone that is lost when records arrive in another order,
 * as from a read and a watch. */
START_TEST (earlier_revisions_are_ignored)
{
  struct gr_tombstones *tombstones = gr_tombstones_create ();
  g_autofree char *id = NULL;
  g_autofree char *text = NULL;
  uint32_t next = 1;

  apply_text (tombstones, 7, 10, "1\n00000000000000ff");
  id = same_record_id (tombstones, &next);
  text = g_strdup_printf ("2\n00000000000000ff\n%s", id);
  apply_text (tombstones, 7, 12, text);
  apply_text (tombstones, 7, 10, "1\n00000000000000ff");
  ck_assert_int_eq (gr_tombstones_find (tombstones, id, 2),
                    GR_TOMBSTONE_PRESENT);
  gr_tombstones_destroy (tombstones);
}
END_TEST

/* Guards against a record with unexpected content that rejects submissions, or
 * that ends the process. */
START_TEST (unreadable_records_reject_nothing)
{
  static const char *const texts[] = {
    "",
    "x",
    "-1",
    "1\nshort",
    "1\n00000000000000ff0",
    "18446744073709551616\n00000000000000ff",
  };

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct gr_tombstones *tombstones = gr_tombstones_create ();

      for (uint32_t record = 0; record < GR_TOMBSTONE_RECORDS; record++)
        apply_text (tombstones, record, 10, texts[i]);
      apply_text (tombstones, GR_TOMBSTONE_RECORDS, 10, texts[i]);
      ck_assert_int_eq (gr_tombstones_find (tombstones, "00000000000000ff", 0),
                        GR_TOMBSTONE_ABSENT);
      gr_tombstones_destroy (tombstones);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("tombstones");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, forgotten_id_is_not_taken_for_absent);
  tcase_add_test (tests, earlier_revisions_are_ignored);
  tcase_add_test (tests, unreadable_records_reject_nothing);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
