#include "tests/instance-fixture.h"

#include <check.h>
#include <string.h>

static void
ignore_change (void *context)
{
  (void)context;
}

void
instance_fixture_register (struct instance_fixture *fixture,
                           uint32_t number,
                           int64_t incarnation)
{
  const char *labels[] = { "a", "r1-0", NULL };
  char id[16];
  struct gr_steps_worker worker = {
    .id = id,
    .service = "render",
    .rack = "r1-0",
    .labels = labels,
    .capacity = { 128000, 256000, 8 },
    .incarnation_unix_ms = incarnation,
  };

  g_snprintf (id, sizeof id, "i-%04u", number);
  gr_steps_set_worker (fixture->steps, &worker,
                       gr_clock_now_ms (fixture->clock));
  gr_steps_add_inherited_worker (fixture->steps, id,
                                 gr_clock_now_ms (fixture->clock));
  gr_worker_io_set_address (fixture->io, id,
                            gr_standin_address (gr_standin_platform_worker (
                                fixture->platform, number)));
}

void
instance_fixture_create (struct instance_fixture *fixture,
                         uint32_t workers,
                         uint32_t run_lease_ms)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_platform_settings options = {
    .listen = "127.0.0.1:0",
    .workers = workers,
    .per_rack = 8,
    .accelerators = 8,
    .cores = 128,
    .memory_mb = 256000,
  };
  struct gr_steps_settings settings = {
    .run_lease_ms = run_lease_ms,
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

  g_assert (workers <= MAX_WORKERS);
  fixture->workers = workers;
  fixture->platform = gr_standin_platform_create (&options, &error);
  ck_assert_msg (fixture->platform != NULL, "%s", error.message);
  fixture->clock = gr_clock_create ();
  fixture->counters = gr_counters_create ();
  fixture->steps =
      gr_steps_create (&settings, 1, gr_clock_now_ms (fixture->clock));
  gr_steps_set_queue (fixture->steps, &queue);
  fixture->io = gr_worker_io_create (
      fixture->steps, 1, run_lease_ms, fixture->clock, fixture->counters,
      &(struct gr_worker_io_events){ ignore_change, NULL });
  for (uint32_t i = 0; i < workers; i++)
    instance_fixture_register (fixture, i, 0);
}

void
instance_fixture_destroy (struct instance_fixture *fixture)
{
  gr_worker_io_destroy (fixture->io);
  gr_steps_destroy (fixture->steps);
  gr_counters_destroy (fixture->counters);
  gr_clock_destroy (fixture->clock);
  gr_standin_platform_destroy (fixture->platform);
}

static gboolean
on_tick (gpointer data)
{
  struct instance_fixture *fixture = data;

  gr_steps_tick (fixture->steps, gr_clock_now_ms (fixture->clock),
                 gr_clock_unix_ms ());
  gr_worker_io_run (fixture->io);
  gr_steps_committed (fixture->steps, gr_steps_sequence (fixture->steps));
  return G_SOURCE_CONTINUE;
}

static gboolean
on_timeout (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

void
instance_fixture_run (struct instance_fixture *fixture, uint32_t duration_ms)
{
  bool elapsed = false;
  guint tick = g_timeout_add (20, on_tick, fixture);

  g_timeout_add (duration_ms, on_timeout, &elapsed);
  while (!elapsed)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (tick);
}

static void
add_one_job (struct instance_fixture *fixture,
             const char *id,
             const char *payload,
             uint32_t count,
             uint32_t accelerators,
             bool inherited)
{
  struct gr_step_spec step = {
    .count = count,
    .needs = { 1000, 100, accelerators },
  };
  struct gr_job_spec spec = {
    .queue = (char *)"q",
    .account = (char *)"a",
    .payload = (char *)payload,
    .steps = &step,
    .n_steps = 1,
  };

  g_strlcpy (spec.id, id, sizeof spec.id);
  gr_steps_add_job (fixture->steps, &spec, NULL, inherited,
                    gr_clock_now_ms (fixture->clock));
}

void
instance_fixture_add_job (struct instance_fixture *fixture,
                          const char *id,
                          const char *payload,
                          uint32_t count,
                          uint32_t accelerators)
{
  add_one_job (fixture, id, payload, count, accelerators, false);
}

void
instance_fixture_add_inherited_job (struct instance_fixture *fixture,
                                    const char *id,
                                    const char *payload,
                                    uint32_t count,
                                    uint32_t accelerators)
{
  add_one_job (fixture, id, payload, count, accelerators, true);
}
