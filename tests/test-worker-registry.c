/* Tests of the reading of the registry, against the stand-in of the users'
 * platform. */
#include "common/log.h"
#include "instance/worker-registry.h"
#include "standins/metastore.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS 3
#define WAIT_TIMEOUT_MS 10000

/* Nine pages of a watch, less than the history that the stand-in keeps. */
#define MANY_CHANGES 4500
#define OTHER_WORKERS 1500

/* Time after which a draining worker must get no new work. */
#define DRAIN_MS 2000

struct fixture
{
  struct gr_standin_platform *platform;
  struct gr_counters *counters;
  struct gr_metastore *store;
  struct gr_worker_registry *registry;
  struct gr_clock *clock;
  GHashTable *workers; /* id -> "ready" or "draining" */
  int64_t since_ms;    /* of the last event */
  uint32_t unreadable;
  uint32_t current; /* times that the registry was up to date */
};

static void
entry_read (const struct gr_registry_entry *entry,
            int64_t revision,
            int64_t since_ms,
            void *context)
{
  struct fixture *fixture = context;

  ck_assert_int_gt (revision, 0);
  fixture->since_ms = since_ms;
  g_hash_table_replace (fixture->workers, g_strdup (entry->worker),
                        g_strdup (entry->draining ? "draining" : "ready"));
}

static void
entry_removed (const char *worker, int64_t since_ms, void *context)
{
  struct fixture *fixture = context;

  fixture->since_ms = since_ms;
  ck_assert (g_hash_table_remove (fixture->workers, worker));
}

static void
entry_unreadable (const char *worker, void *context)
{
  struct fixture *fixture = context;

  fixture->unreadable++;
  ck_assert (g_hash_table_remove (fixture->workers, worker));
}

static void
registry_current (void *context)
{
  struct fixture *fixture = context;

  fixture->current++;
}

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static void
wait_until (struct fixture *fixture, const char *worker, const char *state)
{
  bool timed_out = false;
  guint timer = g_timeout_add (WAIT_TIMEOUT_MS, set_flag, &timed_out);

  while (!timed_out
         && g_strcmp0 (g_hash_table_lookup (fixture->workers, worker), state)
                != 0)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (!timed_out, "%s is not %s", worker, state ? state : "removed");
  g_source_remove (timer);
}

static void
wait_for_current (struct fixture *fixture, uint32_t times)
{
  bool timed_out = false;
  guint timer = g_timeout_add (WAIT_TIMEOUT_MS, set_flag, &timed_out);

  while (!timed_out && fixture->current < times)
    g_main_context_iteration (NULL, TRUE);
  ck_assert (!timed_out);
  g_source_remove (timer);
}

static void
run_for (int64_t for_ms)
{
  for (int64_t ms = 0; ms < for_ms; ms += 10)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (10000);
    }
}

static void
fixture_create (struct fixture *fixture)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_platform_settings options = {
    .listen = "127.0.0.1:0",
    .workers = WORKERS,
    .per_rack = 2,
    .accelerators = 8,
    .cores = 16,
    .memory_mb = 1000,
  };
  struct gr_worker_registry_events events = { entry_read, entry_removed,
                                              entry_unreadable,
                                              registry_current, fixture };

  memset (fixture, 0, sizeof *fixture);
  fixture->platform = gr_standin_platform_create (&options, &error);
  ck_assert_msg (fixture->platform != NULL, "%s", error.message);
  fixture->counters = gr_counters_create ();
  fixture->store = gr_metastore_create (
      gr_standin_address (gr_standin_platform_base (fixture->platform)),
      fixture->counters);
  fixture->workers =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fixture->clock = gr_clock_create ();
  fixture->registry =
      gr_worker_registry_create (fixture->store, fixture->clock, &events);
  wait_for_current (fixture, 1);
}

static void
fixture_destroy (struct fixture *fixture)
{
  gr_worker_registry_destroy (fixture->registry);
  gr_clock_destroy (fixture->clock);
  gr_metastore_destroy (fixture->store);
  gr_counters_destroy (fixture->counters);
  gr_standin_platform_destroy (fixture->platform);
  g_hash_table_destroy (fixture->workers);
}

static void
put_worker (struct fixture *fixture, const char *id, const char *state)
{
  g_autofree char *key = g_strconcat (gr_registry_prefix, id, NULL);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
      "\"state\":\"%s\",\"capacity\":{\"cpu\":1,\"mem-mb\":1,\"gpu\":1},"
      "\"labels\":[\"a\",\"r1\"]}",
      state);

  gr_standin_platform_put (fixture->platform, key, text);
}

static void
ignore_reply (const struct gr_metastore_result *result,
              const struct gr_error *error,
              void *context)
{
  (void)result;
  (void)context;
  ck_assert_ptr_null (error);
}

static void
remove_worker (struct fixture *fixture, const char *id)
{
  g_autofree char *key = g_strconcat (gr_registry_prefix, id, NULL);
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  gr_metastore_txn_remove (txn, key);
  gr_metastore_commit (fixture->store, txn, 1000,
                       (struct gr_metastore_reply){ ignore_reply, NULL });
}

/* Guards against entries that the first read misses. */
START_TEST (first_read_returns_all_entries)
{
  struct fixture fixture;

  fixture_create (&fixture);
  ck_assert_uint_eq (g_hash_table_size (fixture.workers), WORKERS);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against new work for a worker that drains or has left, and against a
 * new worker that gets none. */
START_TEST (changes_are_reported)
{
  struct fixture fixture;

  fixture_create (&fixture);
  put_worker (&fixture, "i-new", "ready");
  wait_until (&fixture, "i-new", "ready");
  put_worker (&fixture, "i-new", "draining");
  wait_until (&fixture, "i-new", "draining");
  remove_worker (&fixture, "i-new");
  wait_until (&fixture, "i-new", NULL);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against an entry of another writer that disturbs the others, against
 * use of a worker whose entry can no longer be read, and against taking it for
 * one that has left: its runs were started a second time. */
START_TEST (unreadable_entry_is_not_used_and_no_departure)
{
  struct fixture fixture;

  fixture_create (&fixture);
  put_worker (&fixture, "i-new", "ready");
  wait_until (&fixture, "i-new", "ready");
  gr_standin_platform_put (fixture.platform, "servers/i-odd", "\x01 nonsense");
  put_worker (&fixture, "i-new", "on holiday");
  wait_until (&fixture, "i-new", NULL);
  ck_assert_uint_eq (g_hash_table_size (fixture.workers), WORKERS);
  ck_assert_uint_eq (fixture.unreadable, 1);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a change that is missed because the store was away. */
START_TEST (changes_during_an_outage_are_reported)
{
  struct fixture fixture;
  struct gr_standin_faults *faults;
  uint32_t current;

  fixture_create (&fixture);
  faults = gr_standin_faults (gr_standin_platform_base (fixture.platform));
  put_worker (&fixture, "i-old", "ready");
  wait_until (&fixture, "i-old", "ready");
  faults->down = 1;
  put_worker (&fixture, "i-old", "draining");
  put_worker (&fixture, "i-new", "ready");
  current = fixture.current;
  run_for (500);
  faults->down = 0;
  wait_for_current (&fixture, current + 1);
  wait_until (&fixture, "i-old", "draining");
  wait_until (&fixture, "i-new", "ready");
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a change that counts as recent because the answer that
 * reported it was late, and against the first read counting as a recent change.
 */
START_TEST (changes_are_dated_before_they_happened)
{
  struct fixture fixture;
  struct gr_standin_faults *faults;
  int64_t changed_ms;

  fixture_create (&fixture);
  ck_assert_int_eq (fixture.since_ms, 0);
  faults = gr_standin_faults (gr_standin_platform_base (fixture.platform));
  faults->down = 1;
  changed_ms = gr_clock_now_ms (fixture.clock);
  put_worker (&fixture, "i-new", "ready");
  run_for (700);
  faults->down = 0;
  wait_until (&fixture, "i-new", "ready");
  ck_assert_int_gt (fixture.since_ms, changed_ms - 1500);
  ck_assert_int_le (fixture.since_ms, changed_ms);
  wait_for_current (&fixture, fixture.current + 1);
  changed_ms = gr_clock_now_ms (fixture.clock);
  remove_worker (&fixture, "i-new");
  wait_until (&fixture, "i-new", NULL);
  ck_assert_int_gt (fixture.since_ms, changed_ms - 1500);
  ck_assert_int_le (fixture.since_ms, gr_clock_now_ms (fixture.clock));
  fixture_destroy (&fixture);
}
END_TEST

/* Writes entries of other workers, as heartbeats do. */
static void
put_other_workers (struct fixture *fixture, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "i-other-%u", i % OTHER_WORKERS);
      put_worker (fixture, id, "ready");
    }
}

/* Guards against new work for a draining worker whose entry is read late
 * because the heartbeats of others fill several pages of the watch. */
START_TEST (many_changes_do_not_delay_a_draining_worker)
{
  struct fixture fixture;
  int64_t changed_ms;

  fixture_create (&fixture);
  put_worker (&fixture, "i-new", "ready");
  wait_until (&fixture, "i-new", "ready");
  put_other_workers (&fixture, MANY_CHANGES);
  put_worker (&fixture, "i-new", "draining");
  changed_ms = gr_clock_now_ms (fixture.clock);
  wait_until (&fixture, "i-new", "draining");
  ck_assert_int_lt (gr_clock_now_ms (fixture.clock) - changed_ms, DRAIN_MS);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a change of a later page that counts as more recent than the
 * watch that returned the page before: runs of the new process of a worker
 * counted as older than its restart. */
START_TEST (changes_of_later_pages_are_dated_before_they_happened)
{
  struct fixture fixture;
  int64_t changed_ms;

  fixture_create (&fixture);
  put_worker (&fixture, "i-new", "ready");
  wait_until (&fixture, "i-new", "ready");
  put_other_workers (&fixture, MANY_CHANGES);
  put_worker (&fixture, "i-new", "draining");
  changed_ms = gr_clock_now_ms (fixture.clock);
  wait_until (&fixture, "i-new", "draining");
  ck_assert_int_gt (fixture.since_ms, 0);
  ck_assert_int_le (fixture.since_ms, changed_ms);
  fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("worker-registry");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  gr_log_init ("test-worker-registry", "test");
  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, first_read_returns_all_entries);
  tcase_add_test (tests, changes_are_reported);
  tcase_add_test (tests, unreadable_entry_is_not_used_and_no_departure);
  tcase_add_test (tests, changes_during_an_outage_are_reported);
  tcase_add_test (tests, changes_are_dated_before_they_happened);
  tcase_add_test (tests, many_changes_do_not_delay_a_draining_worker);
  tcase_add_test (tests, changes_of_later_pages_are_dated_before_they_happened);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
