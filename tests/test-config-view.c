/* Tests of the evacuated data centres that the configuration view knows and
 * that an owner passes to the core, against the stand-in of the store. */
#include "instance/evacuation-control.h"
#include "standins/metastore.h"

#include <check.h>
#include <stdlib.h>

#define KEY "op/evacuate/z1"

/* Items before the requests; more than a page of the stand-in. */
#define EARLIER_ITEMS 600

/* A watch without changes returns after 1 s; less than this passes only if
 * something else tells of a change. */
#define SOON_MS 700
#define LATER_MS 2000
#define TIMEOUT_MS 6000

struct fixture
{
  struct gr_standin_platform *platform;
  struct gr_counters *counters;
  struct gr_metastore *store;
  struct gr_clock *clock;
  struct gr_config_view *view;
  bool evacuated;
};

static void
ignore_change (void *context)
{
  (void)context;
}

static void
visit (const struct gr_evacuation *row, void *context)
{
  ((struct fixture *)context)->evacuated |= row->evacuated;
}

static bool
wait_for (struct fixture *fixture, bool evacuated, int64_t timeout_ms)
{
  int64_t end_us = g_get_monotonic_time () + timeout_ms * 1000;

  do
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (500);
      fixture->evacuated = false;
      gr_evacuations_each (gr_config_view_evacuations (fixture->view), visit,
                           fixture);
    }
  while (fixture->evacuated != evacuated && g_get_monotonic_time () < end_us);
  return fixture->evacuated == evacuated;
}

static void
fixture_create (struct fixture *fixture)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_platform_settings options = { .listen = "127.0.0.1:0" };
  char key[32];

  fixture->platform = gr_standin_platform_create (&options, &error);
  ck_assert_msg (fixture->platform != NULL, "%s", error.message);
  gr_standin_platform_put (fixture->platform, gr_cluster_config_key,
                           "{\"config-version\":1,\"routes\":[],"
                           "\"services\":[],\"tenants\":[]}");
  for (int i = 0; i < EARLIER_ITEMS; i++)
    {
      g_snprintf (key, sizeof key, "op/a%d", i);
      gr_standin_platform_put (fixture->platform, key, "");
    }
  gr_standin_platform_put (fixture->platform, KEY, "");
  fixture->counters = gr_counters_create ();
  fixture->clock = gr_clock_create_manual (1000);
  fixture->store = gr_metastore_create (
      gr_standin_address (gr_standin_platform_base (fixture->platform)),
      fixture->counters);
  fixture->view = gr_config_view_create (fixture->store, fixture->clock,
                                         ignore_change, NULL);
  ck_assert (wait_for (fixture, true, TIMEOUT_MS));
  while (gr_standin_platform_waiting_watches (fixture->platform) == 0)
    g_main_context_iteration (NULL, TRUE);
}

static void
fixture_destroy (struct fixture *fixture)
{
  gr_metastore_destroy (fixture->store);
  gr_config_view_destroy (fixture->view);
  gr_clock_destroy (fixture->clock);
  gr_counters_destroy (fixture->counters);
  gr_standin_platform_destroy (fixture->platform);
}

static void
ignore_reply (const struct gr_metastore_result *result,
              const struct gr_error *error,
              void *context)
{
  (void)result;
  (void)error;
  (void)context;
}

/* Guards against a request on a later page that is not read, and against a
 * deletion that is missed, whether a watch returns it or only its absence after
 * lost history shows it. */
START_TEST (requests_and_deletions_are_seen)
{
  struct fixture fixture;
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  fixture_create (&fixture);
  gr_metastore_txn_remove (txn, KEY);
  gr_metastore_commit (fixture.store, txn, 400,
                       (struct gr_metastore_reply){ ignore_reply, NULL });
  ck_assert (wait_for (&fixture, false, SOON_MS));
  gr_standin_platform_put (fixture.platform, KEY, "again");
  ck_assert (wait_for (&fixture, true, SOON_MS));
  gr_standin_platform_remove_and_forget (fixture.platform, KEY);
  ck_assert (wait_for (&fixture, false, SOON_MS));
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a configuration that counts as current although the watch that
 * confirms it left out a newer one: calls with a key that was taken away would
 * be accepted. */
START_TEST (truncated_watches_do_not_confirm_the_configuration)
{
  struct fixture fixture;
  char key[32];

  fixture_create (&fixture);
  /* The first change ends the open watch, the next one returns the others. */
  for (int i = 0; i < EARLIER_ITEMS; i++)
    {
      g_snprintf (key, sizeof key, "op/a%d", i);
      gr_standin_platform_put (fixture.platform, key, "");
    }
  gr_standin_platform_put (fixture.platform, gr_cluster_config_key,
                           "{\"config-version\":2,\"routes\":[],"
                           "\"services\":[],\"tenants\":[]}");
  gr_clock_advance (fixture.clock, LATER_MS);
  while (gr_config_view_current_ms (fixture.view) < LATER_MS)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_int_eq (gr_config_view_get (fixture.view)->version, 2);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a state that an older item overwrites, and against removal by
 * a read that is not complete or older than the request. */
START_TEST (older_items_and_partial_reads_have_no_effect)
{
  struct gr_evacuations *set = gr_evacuations_create ();

  ck_assert (gr_evacuations_apply (set, "z", false, 5, 0));
  ck_assert (!gr_evacuations_apply (set, "z", true, 4, 0));
  ck_assert (gr_evacuations_apply (set, "z", true, 8, 0));
  ck_assert (!gr_evacuations_apply (set, "z", false, 7, 0));
  ck_assert (gr_evacuations_apply (set, "z", false, 9, 0));
  gr_evacuations_begin_read (set);
  ck_assert (!gr_evacuations_end_read (set, 8));
  gr_evacuations_begin_read (set);
  gr_evacuations_begin_read (set);
  ck_assert (!gr_evacuations_apply (set, "z", false, 9, 0));
  ck_assert (!gr_evacuations_end_read (set, 20));
  gr_evacuations_begin_read (set);
  ck_assert (gr_evacuations_end_read (set, 20));
  ck_assert (!gr_evacuations_apply (set, "z", false, 9, 0));
  gr_evacuations_destroy (set);
}
END_TEST

static struct gr_steps *
create_core (void)
{
  static const struct gr_steps_settings settings = { .run_lease_ms = 7000 };
  static const struct gr_run_report report = { 0 };
  static const char *const labels[] = { NULL };
  struct gr_steps *steps = gr_steps_create (&settings, 1, 1000);
  struct gr_step_spec step = { .count = 8, .needs = { 1, 1, 1 } };
  struct gr_steps_queue queue = { .name = "q", .service = "s" };
  struct gr_steps_worker worker = {
    .id = "w",
    .service = "s",
    .data_centre = "z1",
    .rack = "",
    .labels = labels,
    .capacity = { 9, 9, 9 },
  };
  struct gr_job_spec job = {
    .id = "00000000000000a1",
    .queue = (char *)"q",
    .account = (char *)"a",
    .payload = (char *)"",
    .steps = &step,
    .n_steps = 1,
  };

  gr_steps_set_queue (steps, &queue);
  gr_steps_set_worker (steps, &worker, 1000);
  gr_steps_add_inherited_worker (steps, "w", 1000);
  gr_steps_process_report (steps, "w", &report, 1000);
  gr_steps_add_job (steps, &job, NULL, false, 1000);
  return steps;
}

/* Returns whether a start is ordered within the time. */
static bool
starts_within (struct fixture *fixture,
               struct gr_evacuation_control *control,
               struct gr_steps *steps,
               int64_t timeout_ms)
{
  int64_t end_us = g_get_monotonic_time () + timeout_ms * 1000;
  struct gr_order order;

  do
    {
      gr_evacuation_control_run (control);
      gr_steps_tick (steps, gr_clock_now_ms (fixture->clock), 0);
      while (gr_steps_take_order (steps, NULL, NULL, &order))
        if (order.kind == GR_ORDER_START)
          return true;
      g_main_context_iteration (NULL, FALSE);
    }
  while (g_get_monotonic_time () < end_us);
  return false;
}

/* Guards against starts by a new owner that has not read the requests, whose
 * watch is silent here, or by an owner after a pause of its process; against
 * starts that are held for long after a pause, or while the store is away; and
 * against requests that count although the settings disable them. */
START_TEST (owner_reads_the_requests_before_it_starts_work)
{
  struct fixture fixture;
  struct gr_instance_settings settings = { .evacuate_ms = 5000 };
  struct gr_owner_deps deps = { .settings = &settings };
  struct gr_evacuation_control *control;
  struct gr_steps *steps = create_core ();

  fixture_create (&fixture);
  gr_standin_platform_remove_and_forget (fixture.platform, KEY);
  ck_assert (wait_for (&fixture, false, TIMEOUT_MS));
  while (gr_standin_platform_waiting_watches (fixture.platform) == 0)
    g_main_context_iteration (NULL, TRUE);
  gr_standin_platform_silence_watches (fixture.platform);
  gr_standin_platform_put (fixture.platform, KEY, "");
  gr_clock_advance (fixture.clock, 1);
  deps.config = fixture.view;
  deps.clock = fixture.clock;
  deps.counters = fixture.counters;
  control = gr_evacuation_control_create (&deps, steps);
  ck_assert (!starts_within (&fixture, control, steps, 0));
  ck_assert (wait_for (&fixture, true, SOON_MS));
  ck_assert (!starts_within (&fixture, control, steps, 0));
  settings.evacuate_ms = 0;
  ck_assert (starts_within (&fixture, control, steps, 0));
  settings.evacuate_ms = 5000;
  ck_assert (!starts_within (&fixture, control, steps, 0));
  gr_standin_platform_remove_and_forget (fixture.platform, KEY);
  ck_assert (starts_within (&fixture, control, steps, TIMEOUT_MS));
  for (int down = 0; down <= 1; down++)
    {
      gr_standin_faults (gr_standin_platform_base (fixture.platform))->down =
          (uint32_t)down;
      gr_clock_advance (fixture.clock, 3001);
      ck_assert (!starts_within (&fixture, control, steps, 0));
      ck_assert (starts_within (&fixture, control, steps, SOON_MS));
    }
  gr_evacuation_control_destroy (control);
  gr_steps_destroy (steps);
  fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config-view");
  TCase *tests = tcase_create ("evacuations");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, requests_and_deletions_are_seen);
  tcase_add_test (tests, truncated_watches_do_not_confirm_the_configuration);
  tcase_add_test (tests, older_items_and_partial_reads_have_no_effect);
  tcase_add_test (tests, owner_reads_the_requests_before_it_starts_work);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
