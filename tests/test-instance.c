#include "common/log.h"
#include "instance/worker-io.h"
#include "standins/metastore.h"

#include <check.h>
#include <stdlib.h>

/* Parts of an instance against the stand-in of the users' platform. */

#define WORKERS 4

struct world
{
  struct gr_standin_platform *platform;
  struct gr_steps *steps;
  struct gr_worker_io *io;
  struct gr_clock *clock;
  struct gr_counters *counters;
};

static void
ignore_change (void *context)
{
  (void)context;
}

static void
world_create (struct world *world, uint32_t hold_ms)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_platform_options options = {
    .listen = "127.0.0.1:0",
    .workers = WORKERS,
    .per_rack = 8,
    .accelerators = 8,
    .cores = 128,
    .memory_mb = 256000,
  };
  struct gr_steps_settings settings = {
    .hold_ms = hold_ms,
    .gang_wait_ms = 3000,
    .reclaim_ms = 2700,
    .isolation_ms = 100,
    .checkpoint_ms = 1000,
    .far_factor = 3,
  };
  struct gr_steps_queue queue = {
    .name = "q",
    .service = "render",
    .priority = 1,
    .max_attempts = 2,
    .objective_ms = 1000,
    .stretch = 3,
  };

  world->platform = gr_standin_platform_create (&options, &error);
  ck_assert_msg (world->platform != NULL, "%s", error.message);
  world->clock = gr_clock_create ();
  world->counters = gr_counters_create ();
  world->steps = gr_steps_create (&settings, 1, gr_clock_now_ms (world->clock));
  gr_steps_set_queue (world->steps, &queue);
  world->io = gr_worker_io_create (
      world->steps, 1, hold_ms, world->clock, world->counters,
      &(struct gr_worker_io_events){ ignore_change, NULL });
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      const char *labels[] = { "a", "r1-0", NULL };
      char id[16];
      struct gr_steps_worker worker = {
        .id = id,
        .service = "render",
        .rack = "r1-0",
        .labels = labels,
        .capacity = { 128000, 256000, 8 },
      };

      g_snprintf (id, sizeof id, "i-%04u", i);
      gr_steps_set_worker (world->steps, &worker,
                           gr_clock_now_ms (world->clock));
      gr_worker_io_set (
          world->io, id,
          gr_standin_address (gr_standin_platform_worker (world->platform, i)));
    }
}

static void
world_destroy (struct world *world)
{
  gr_worker_io_destroy (world->io);
  gr_steps_destroy (world->steps);
  gr_counters_destroy (world->counters);
  gr_clock_destroy (world->clock);
  gr_standin_platform_destroy (world->platform);
}

static gboolean
on_tick (gpointer data)
{
  struct world *world = data;

  gr_steps_tick (world->steps, gr_clock_now_ms (world->clock),
                 gr_clock_unix_ms ());
  gr_worker_io_run (world->io);
  gr_steps_committed (world->steps, gr_steps_sequence (world->steps));
  return G_SOURCE_CONTINUE;
}

static gboolean
time_over (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static void
world_run (struct world *world, uint32_t for_ms)
{
  bool over = false;
  guint tick = g_timeout_add (20, on_tick, world);

  g_timeout_add (for_ms, time_over, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (tick);
}

static void
add_job (struct world *world, const char *payload, uint32_t count, bool gang)
{
  struct gr_step_spec step = {
    .count = count,
    .needs = { 1000, 100, 8 },
    .gang = gang,
  };
  struct gr_job_spec spec = {
    .id = "00000000000000a1",
    .queue = (char *)"q",
    .account = (char *)"a",
    .payload = (char *)payload,
    .steps = &step,
    .n_steps = 1,
  };

  gr_steps_add_job (world->steps, &spec, NULL, false,
                    gr_clock_now_ms (world->clock));
}

/* Each look that was not answered moved the end of the lease, so that runs on
 * a worker that had died were waited for without an end. */
START_TEST (silent_worker_loses_its_runs)
{
  struct world world;
  uint32_t silent = WORKERS;

  world_create (&world, 2500);
  world_run (&world, 200);
  add_job (&world, "run_ms=60000", 1, false);
  world_run (&world, 200);
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      struct gr_standin *worker =
          gr_standin_platform_worker (world.platform, i);

      if (gr_standin_count (worker, "/v1/run-start") == 0)
        continue;
      gr_standin_faults (worker)->silent = 1;
      silent = i;
    }
  ck_assert_uint_lt (silent, WORKERS);
  /* The silence shows after 1.9 s, the lease of 2.5 s expires after it. */
  world_run (&world, 6000);
  ck_assert_uint_eq (
      gr_standin_platform_starts (world.platform, "00000000000000a1.0.0.0"), 2);
  world_destroy (&world);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("instance");
  TCase *tests = tcase_create ("parts");
  SRunner *runner = srunner_create (suite);
  int failed;

  gr_log_init ("test-instance", "test");
  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, silent_worker_loses_its_runs);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
