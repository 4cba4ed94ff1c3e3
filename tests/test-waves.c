#include "steps/waves.h"

#include <check.h>
#include <stdlib.h>

#define MACHINES 6
#define CAP 2
#define UPKEEP_MS 2000
#define TICK_MS 100

/* Machines whose upkeep takes some time; orders can be lost or repeated. */
struct world
{
  struct gr_steps *steps;
  struct gr_waves *waves;
  struct gr_machine rows[MACHINES];
  int64_t back_ms[MACHINES]; /* 0: up */
  bool done[MACHINES];
  int64_t now_ms;
  uint32_t most_down;
  uint32_t upkeeps;
  uint32_t lose_every; /* the Nth order is carried out unanswered; 0: none */
  uint32_t orders;
  bool complete;
};

static void
world_create (struct world *world)
{
  static const char *const names[] = {
    "m0", "m1", "m2", "m3", "m4", "m5", NULL
  };
  static const struct gr_steps_settings settings = {
    .hold_ms = 7000,
    .heartbeat_ms = 1500,
    .gang_wait_ms = 3000,
    .reclaim_ms = 2700,
    .isolation_ms = 2500,
    .checkpoint_ms = 1000,
    .far_factor = 3,
  };

  *world = (struct world){ .now_ms = 1000 };
  world->steps = gr_steps_create (&settings, 1, 1000);
  world->waves = gr_waves_create (world->steps);
  for (int i = 0; i < MACHINES; i++)
    {
      world->rows[i].machine = g_strdup (names[i]);
      world->rows[i].worker = g_strdup_printf ("w%d", i);
    }
  gr_waves_set (world->waves, 1, names, CAP);
}

static void
world_destroy (struct world *world)
{
  gr_waves_destroy (world->waves);
  gr_steps_destroy (world->steps);
  for (int i = 0; i < MACHINES; i++)
    {
      g_free (world->rows[i].machine);
      g_free (world->rows[i].worker);
    }
}

static void
carry_out (struct world *world, int machine)
{
  if (world->done[machine])
    return;
  world->done[machine] = true;
  world->upkeeps++;
  world->rows[machine].state = GR_MACHINE_UPKEEP;
  world->back_ms[machine] = world->now_ms + UPKEEP_MS;
}

static void
see_complete (int64_t wave, bool complete, const char *done, void *context)
{
  struct world *world = context;

  (void)wave;
  (void)done;
  world->complete = complete;
}

static void
world_tick (struct world *world)
{
  struct gr_upkeep_order order;
  uint32_t down = 0;

  world->now_ms += TICK_MS;
  for (int i = 0; i < MACHINES; i++)
    {
      if (world->back_ms[i] != 0 && world->now_ms >= world->back_ms[i])
        {
          world->back_ms[i] = 0;
          world->rows[i].state = GR_MACHINE_UP;
        }
      down += world->back_ms[i] != 0;
    }
  world->most_down = MAX (world->most_down, down);
  if (world->now_ms % 700 < TICK_MS)
    gr_waves_list (world->waves, world->rows, MACHINES, world->now_ms);
  gr_waves_tick (world->waves, world->now_ms);
  while (gr_waves_take_order (world->waves, &order))
    {
      enum gr_upkeep_result result = GR_UPKEEP_DONE;

      carry_out (world, order.machine[1] - '0');
      world->orders++;
      if (world->lose_every > 0 && world->orders % world->lose_every == 0)
        result = GR_UPKEEP_UNKNOWN;
      gr_waves_result (world->waves, &order, result, world->now_ms);
    }
  gr_waves_each (world->waves, see_complete, world);
}

static void
world_run (struct world *world, int64_t for_ms)
{
  int64_t until_ms = world->now_ms + for_ms;

  while (world->now_ms < until_ms)
    world_tick (world);
}

/* More machines than the cap were down when answers were lost. */
START_TEST (wave_keeps_to_its_cap)
{
  for (uint32_t lose = 0; lose < 4; lose++)
    {
      struct world world;

      world_create (&world);
      world.lose_every = lose;
      world_run (&world, 30000);
      ck_assert_uint_eq (world.upkeeps, MACHINES);
      ck_assert_uint_le (world.most_down, CAP);
      ck_assert (world.complete);
      world_destroy (&world);
    }
}
END_TEST

/* A wave was reported complete before its last machine had begun. */
START_TEST (wave_is_complete_only_at_the_end)
{
  struct world world;

  world_create (&world);
  while (!world.complete && world.now_ms < 60000)
    world_tick (&world);
  ck_assert (world.complete);
  for (int i = 0; i < MACHINES; i++)
    ck_assert (world.done[i]);
  world_destroy (&world);
}
END_TEST

/* A successor did the upkeep again of what a former owner had done. */
START_TEST (done_machines_are_not_ordered_again)
{
  struct world world;

  world_create (&world);
  gr_waves_restore (world.waves, 1, "m0");
  gr_waves_restore (world.waves, 1, "m3");
  world_run (&world, 30000);
  ck_assert_uint_eq (world.upkeeps, MACHINES - 2);
  ck_assert (!world.done[0] && !world.done[3]);
  ck_assert (world.complete);
  world_destroy (&world);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("waves");
  TCase *tests = tcase_create ("waves");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, wave_keeps_to_its_cap);
  tcase_add_test (tests, wave_is_complete_only_at_the_end);
  tcase_add_test (tests, done_machines_are_not_ordered_again);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
