#include "instance/handover.h"
#include "instance/records.h"
#include "standins/metastore.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Tests of the list of workers that an owner publishes, against the stand-in of
 * the store. */

#define OLD_ADDRESS "127.0.0.1:2"
#define NEW_ADDRESS "127.0.0.1:3"

struct fixture
{
  struct gr_standin_platform *platform;
  struct gr_standin *base;
  struct gr_counters *counters;
  struct gr_owner_deps deps;
  struct gr_clock *clock;
  struct gr_steps *steps;
  struct gr_worker_io *io;
  struct gr_handover *handover;
};

static void
ignore (void *context)
{
  (void)context;
}

static gboolean
on_timeout (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static gboolean
on_tick (gpointer data)
{
  gr_handover_run (data);
  return G_SOURCE_CONTINUE;
}

static void
run_for (struct fixture *fixture, uint32_t duration_ms)
{
  bool elapsed = false;
  guint tick = g_timeout_add (10, on_tick, fixture->handover);

  g_timeout_add (duration_ms, on_timeout, &elapsed);
  while (!elapsed)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (tick);
}

static void
register_worker (struct fixture *fixture, const char *id, const char *address)
{
  static const char *const labels[] = { NULL };
  struct gr_steps_worker worker = {
    .id = id,
    .service = "s",
    .rack = "r",
    .labels = labels,
    .capacity = { 1, 1, 1 },
  };

  gr_steps_set_worker (fixture->steps, &worker,
                       gr_clock_now_ms (fixture->clock));
  gr_handover_set_address (fixture->handover, id, address);
}

static void
fixture_create (struct fixture *fixture, const char *inherited)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_platform_settings options = { .listen = "127.0.0.1:0",
                                                  .workers = 1,
                                                  .per_rack = 1 };
  const struct gr_steps_settings settings = { .run_lease_ms = 1000 };
  const struct gr_mirror_events events = { 0 };
  const char *text;
  int64_t now_ms;

  memset (fixture, 0, sizeof *fixture);
  fixture->platform = gr_standin_platform_create (&options, &error);
  ck_assert_msg (fixture->platform != NULL, "%s", error.message);
  fixture->base = gr_standin_platform_base (fixture->platform);
  gr_standin_platform_put (fixture->platform, GR_RECORD_OWNER, "one");
  if (inherited != NULL)
    gr_standin_platform_put (fixture->platform, GR_RECORD_HANDOVER, inherited);
  fixture->counters = gr_counters_create ();
  fixture->clock = gr_clock_create ();
  now_ms = gr_clock_now_ms (fixture->clock);
  fixture->deps.clock = fixture->clock;
  fixture->deps.store = gr_metastore_create (gr_standin_address (fixture->base),
                                             fixture->counters);
  fixture->deps.mirror =
      gr_mirror_create (fixture->deps.store, fixture->clock, &events);
  gr_mirror_set_low_latency (fixture->deps.mirror, true);
  while (!gr_mirror_is_loaded (fixture->deps.mirror))
    g_main_context_iteration (NULL, TRUE);
  fixture->steps = gr_steps_create (&settings, 2, now_ms);
  fixture->io = gr_worker_io_create (
      fixture->steps, 2, 1000, fixture->clock, fixture->counters,
      &(struct gr_worker_io_events){ ignore, NULL });
  fixture->handover =
      gr_handover_create (&fixture->deps, fixture->steps, fixture->io,
                          gr_mirror_owner (fixture->deps.mirror, &text),
                          &(struct gr_handover_events){ ignore, NULL });
}

static void
fixture_destroy (struct fixture *fixture)
{
  gr_handover_destroy (fixture->handover);
  gr_worker_io_destroy (fixture->io);
  gr_steps_destroy (fixture->steps);
  gr_metastore_destroy (fixture->deps.store);
  gr_mirror_destroy (fixture->deps.mirror);
  gr_clock_destroy (fixture->clock);
  gr_counters_destroy (fixture->counters);
  gr_standin_platform_destroy (fixture->platform);
}

static const char *
stored_list (const struct fixture *fixture)
{
  const char *text;

  gr_mirror_handover_workers (fixture->deps.mirror, &text);
  return text;
}

/* Guards against workers that stay unused after an outage of the store. */
START_TEST (worker_is_held_back_until_the_list_is_stored)
{
  struct fixture fixture;

  fixture_create (&fixture, NULL);
  gr_handover_inherit (fixture.handover);
  gr_standin_faults (fixture.base)->down = 1;
  register_worker (&fixture, "w", NEW_ADDRESS);
  run_for (&fixture, 500);
  ck_assert (gr_steps_has_workers_held_back (fixture.steps));
  gr_standin_faults (fixture.base)->down = 0;
  run_for (&fixture, 1500);
  ck_assert (!gr_steps_has_workers_held_back (fixture.steps));
  ck_assert_str_eq (stored_list (&fixture), "w " NEW_ADDRESS "\n");
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against workers that are held back, and writes that are repeated,
 * although the list is stored and only the answer was lost. */
START_TEST (list_counts_as_stored_without_an_answer_to_its_write)
{
  struct fixture fixture;

  fixture_create (&fixture, NULL);
  gr_handover_inherit (fixture.handover);
  gr_standin_faults (fixture.base)->lose_answers = 1;
  register_worker (&fixture, "w", NEW_ADDRESS);
  run_for (&fixture, 500);
  ck_assert (!gr_steps_has_workers_held_back (fixture.steps));
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against workers that are held back as long as the writes of growing
 * lists are carried out late, each after the next was sent. */
START_TEST (list_that_is_stored_late_counts_for_its_workers)
{
  struct fixture fixture;
  struct gr_steps_counts counts;

  fixture_create (&fixture, NULL);
  gr_handover_inherit (fixture.handover);
  gr_standin_faults (fixture.base)->lose_requests = 100;
  register_worker (&fixture, "w1", NEW_ADDRESS);
  run_for (&fixture, 100);
  register_worker (&fixture, "w2", NEW_ADDRESS);
  run_for (&fixture, 1500);
  gr_steps_counts (fixture.steps, &counts);
  ck_assert_uint_eq (counts.workers_held_back, 2);
  gr_standin_platform_put (fixture.platform, GR_RECORD_HANDOVER,
                           "w1 " NEW_ADDRESS "\n");
  run_for (&fixture, 300);
  gr_steps_counts (fixture.steps, &counts);
  ck_assert_uint_eq (counts.workers_held_back, 1);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a list that an older write, carried out late, replaces: a
 * write must fail once the record has changed. */
START_TEST (write_requires_the_list_that_it_replaces)
{
  struct fixture fixture;
  int64_t writes;

  fixture_create (&fixture, NULL);
  gr_handover_inherit (fixture.handover);
  writes = gr_standin_call_count (fixture.base, "/v1/kv-txn");
  register_worker (&fixture, "w", NEW_ADDRESS);
  gr_standin_platform_put (fixture.platform, GR_RECORD_HANDOVER, "v 1\n");
  gr_handover_run (fixture.handover);
  run_for (&fixture, 1500);
  ck_assert_int_ge (gr_standin_call_count (fixture.base, "/v1/kv-txn"),
                    writes + 2);
  ck_assert (!gr_steps_has_workers_held_back (fixture.steps));
  ck_assert_str_eq (stored_list (&fixture), "w " NEW_ADDRESS "\n");
  fixture_destroy (&fixture);
}
END_TEST

/* A successor polled the address of a worker's former process, although the
 * registry had the new one: the refused connection released active runs. */
START_TEST (address_in_the_registry_is_newer_than_the_list)
{
  struct fixture fixture;

  fixture_create (&fixture, "w " OLD_ADDRESS "\n");
  register_worker (&fixture, "w", NEW_ADDRESS);
  gr_handover_inherit (fixture.handover);
  ck_assert (gr_steps_has_workers_held_back (fixture.steps));
  run_for (&fixture, 500);
  ck_assert_str_eq (stored_list (&fixture), "w " NEW_ADDRESS "\n");
  ck_assert (!gr_steps_has_workers_held_back (fixture.steps));
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a successor that waits for a write before it uses the workers
 * of the list that it has inherited. */
START_TEST (inherited_worker_is_not_held_back)
{
  struct fixture fixture;

  fixture_create (&fixture, "w " NEW_ADDRESS "\n");
  gr_handover_inherit (fixture.handover);
  gr_standin_faults (fixture.base)->down = 1;
  register_worker (&fixture, "w", NEW_ADDRESS);
  ck_assert (!gr_steps_has_workers_held_back (fixture.steps));
  fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("handover");
  TCase *tests = tcase_create ("list");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, worker_is_held_back_until_the_list_is_stored);
  tcase_add_test (tests, list_counts_as_stored_without_an_answer_to_its_write);
  tcase_add_test (tests, list_that_is_stored_late_counts_for_its_workers);
  tcase_add_test (tests, write_requires_the_list_that_it_replaces);
  tcase_add_test (tests, address_in_the_registry_is_newer_than_the_list);
  tcase_add_test (tests, inherited_worker_is_not_held_back);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
