#include "instance/expiry.h"
#include "instance/ownership.h"
#include "platform/metastore.h"
#include "standins/metastore.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* The client of the metadata store against its stand-in. */

struct world
{
  struct gr_standin_platform *platform;
  struct gr_metastore *store;
  struct gr_counters *counters;
  struct gr_error error;
  bool held;
  int64_t revision;
  int64_t lease;
  char value[32];
  size_t n_items;
  uint32_t answers;
};

static void
world_create (struct world *world)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_platform_options options = {
    .listen = "127.0.0.1:0",
    .workers = 1,
    .per_rack = 1,
    .accelerators = 8,
  };

  memset (world, 0, sizeof *world);
  world->platform = gr_standin_platform_create (&options, &error);
  ck_assert_msg (world->platform != NULL, "%s", error.message);
  world->counters = gr_counters_create ();
  world->store = gr_metastore_create (
      gr_standin_address (gr_standin_platform_base (world->platform)),
      world->counters);
}

static void
world_destroy (struct world *world)
{
  gr_metastore_destroy (world->store);
  gr_counters_destroy (world->counters);
  gr_standin_platform_destroy (world->platform);
}

static void
answered (const struct gr_metastore_result *result,
          const struct gr_error *error,
          void *context)
{
  struct world *world = context;
  gsize size = 0;
  const char *text;

  world->answers++;
  world->error = error ? *error : (struct gr_error)GR_ERROR_INIT;
  if (error != NULL)
    return;
  world->n_items = result->n_items;
  world->held = result->conditions_held;
  world->revision = result->revision;
  world->lease = result->lease;
  world->value[0] = '\0';
  if (result->n_items == 0 || result->items[0].value == NULL)
    return;
  text = g_bytes_get_data (result->items[0].value, &size);
  g_snprintf (world->value, sizeof world->value, "%.*s", (int)size, text);
}

static void
wait_answer (struct world *world)
{
  uint32_t before = world->answers;

  while (world->answers == before)
    g_main_context_iteration (NULL, TRUE);
}

static void
put (struct world *world, const char *key, const char *value, int64_t expected)
{
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  gr_metastore_txn_expect (txn, key, expected);
  gr_metastore_txn_put (txn, key, value, strlen (value), 0);
  gr_metastore_commit (world->store, txn, 400,
                       (struct gr_metastore_reply){ answered, world });
  wait_answer (world);
}

/* A conflict must show what is there, or a lost answer cannot be told from a
 * lost race. */
START_TEST (conflict_shows_the_present_item)
{
  struct world world;

  world_create (&world);
  put (&world, "gr/x", "one", 0);
  ck_assert (world.held);
  put (&world, "gr/x", "two", 0);
  ck_assert_int_eq (world.error.kind, GR_ERROR_NONE);
  ck_assert (!world.held);
  ck_assert_str_eq (world.value, "one");
  world_destroy (&world);
}
END_TEST

/* A write whose answer is lost may have taken effect: it must not be reported
 * as not done. */
START_TEST (lost_answer_is_not_a_refusal)
{
  struct world world;

  world_create (&world);
  gr_standin_faults (gr_standin_platform_base (world.platform))->lose_answers =
      2;
  put (&world, "gr/x", "one", 0);
  ck_assert_int_ne (world.error.kind, GR_ERROR_NONE);
  ck_assert_int_ne (world.error.kind, GR_ERROR_STORE_UNAVAILABLE);
  world_destroy (&world);
}
END_TEST

static gboolean
time_over (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static void
run_for (uint32_t for_ms)
{
  bool over = false;

  g_timeout_add (for_ms, time_over, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

/* Each request waited for a store that was known to be silent, until its
 * deadline had nearly passed. */
START_TEST (store_that_is_silent_is_known_to_be)
{
  struct world world;
  struct gr_standin_faults *faults;

  world_create (&world);
  faults = gr_standin_faults (gr_standin_platform_base (world.platform));
  put (&world, "gr/x", "one", 0);
  ck_assert_int_eq (gr_metastore_unanswered_ms (world.store), 0);
  faults->silent = 1;
  gr_metastore_get (world.store, "gr/x", 300,
                    (struct gr_metastore_reply){ answered, &world });
  run_for (200);
  ck_assert_int_ge (gr_metastore_unanswered_ms (world.store), 150);
  run_for (400);
  /* Also after that call has ended with a timeout. */
  ck_assert_int_ge (gr_metastore_unanswered_ms (world.store), 500);
  faults->silent = 0;
  gr_metastore_get (world.store, "gr/x", 300,
                    (struct gr_metastore_reply){ answered, &world });
  wait_answer (&world);
  ck_assert_int_eq (gr_metastore_unanswered_ms (world.store), 0);
  world_destroy (&world);
}
END_TEST

/* A lost answer alone would have stopped all submissions for good: the calls
 * that show that the store answers are then only watches. */
START_TEST (watch_shows_that_the_store_answers)
{
  struct world world;

  world_create (&world);
  gr_standin_faults (gr_standin_platform_base (world.platform))->lose_answers =
      2;
  put (&world, "gr/x", "one", 0);
  run_for (20);
  ck_assert_int_gt (gr_metastore_unanswered_ms (world.store), 0);
  gr_metastore_watch (world.store, "gr/", 0, 100, 1000,
                      (struct gr_metastore_reply){ answered, &world });
  wait_answer (&world);
  ck_assert_int_eq (gr_metastore_unanswered_ms (world.store), 0);
  world_destroy (&world);
}
END_TEST

static void
put_job (struct world *world, const char *id, enum gr_job_state state)
{
  struct gr_step_spec step = { .count = 1, .needs = { 1000, 100, 1 } };
  struct gr_job_spec spec = {
    .queue = (char *)"q",
    .account = (char *)"a",
    .payload = (char *)"",
    .steps = &step,
    .n_steps = 1,
  };
  struct gr_job_progress progress = { .state = state };
  enum gr_record_kind kinds[] = { GR_RECORD_JOB, GR_RECORD_PROGRESS };
  GBytes *values[2];

  g_strlcpy (spec.id, id, sizeof spec.id);
  values[0] = gr_record_encode_job (&spec);
  values[1] = gr_record_encode_progress (&progress);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      struct gr_metastore_txn *txn = gr_metastore_txn_create ();
      g_autofree char *key = gr_record_key (kinds[i], id);

      gr_metastore_txn_put (txn, key, g_bytes_get_data (values[i], NULL),
                            g_bytes_get_size (values[i]), 0);
      gr_metastore_commit (world->store, txn, 400,
                           (struct gr_metastore_reply){ answered, world });
      wait_answer (world);
      g_bytes_unref (values[i]);
    }
}

static bool
has_record (struct world *world, enum gr_record_kind kind, const char *id)
{
  g_autofree char *key = gr_record_key (kind, id);

  gr_metastore_get (world->store, key, 400,
                    (struct gr_metastore_reply){ answered, world });
  wait_answer (world);
  ck_assert_int_eq (world->error.kind, GR_ERROR_NONE);
  return world->n_items > 0;
}

#define KEPT_S 120
#define KEPT_MS 120000
#define KEPT_SLACK_MS 10000

/* Records of jobs stayed in the store for ever. Guards against removing them
 * while clients may still ask, by the word of a former owner, or of jobs that
 * have not ended. */
START_TEST (records_of_final_jobs_are_removed_in_time)
{
  static const char done[] = "00000000000000a1";
  static const char running[] = "00000000000000a2";
  struct world world;
  struct gr_instance_settings settings = { .state_kept_s = KEPT_S };
  struct gr_mirror_events events = { 0 };
  struct gr_owner_deps parts = { .settings = &settings };
  struct gr_clock *clock = gr_clock_create_manual (1000);
  const char *text;
  struct gr_expiry *former;
  struct gr_expiry *expiry;

  world_create (&world);
  put (&world, GR_RECORD_OWNER, "one", 0);
  put_job (&world, done, GR_JOB_COMPLETED);
  put_job (&world, running, GR_JOB_RUNNING);
  parts.store = world.store;
  parts.clock = clock;
  parts.mirror = gr_mirror_create (world.store, clock, &events);
  while (!gr_mirror_is_loaded (parts.mirror))
    g_main_context_iteration (NULL, TRUE);
  former = gr_expiry_create (&parts, 1000000);
  expiry = gr_expiry_create (&parts, gr_mirror_owner (parts.mirror, &text));
  gr_clock_advance (clock, KEPT_MS);
  gr_expiry_run (expiry);
  run_for (50);
  ck_assert (has_record (&world, GR_RECORD_JOB, done));
  gr_clock_advance (clock, KEPT_SLACK_MS);
  gr_expiry_run (former);
  run_for (50);
  ck_assert (has_record (&world, GR_RECORD_JOB, done));
  gr_expiry_run (expiry);
  run_for (50);
  ck_assert (!has_record (&world, GR_RECORD_JOB, done));
  ck_assert (!has_record (&world, GR_RECORD_PROGRESS, done));
  ck_assert (has_record (&world, GR_RECORD_JOB, running));
  ck_assert (has_record (&world, GR_RECORD_PROGRESS, running));
  gr_expiry_destroy (former);
  gr_expiry_destroy (expiry);
  gr_metastore_destroy (world.store);
  world.store = NULL;
  gr_mirror_destroy (parts.mirror);
  gr_clock_destroy (clock);
  world_destroy (&world);
}
END_TEST

#define CANDIDATES 60

struct candidate
{
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  struct gr_ownership *ownership;
  uint32_t *owners;
};

static void
owner_changed (void *context)
{
  struct candidate *candidate = context;

  if (candidate->ownership != NULL)
    gr_ownership_check (candidate->ownership);
}

static void
acquired (int64_t epoch, int64_t revision, void *context)
{
  (void)epoch;
  (void)revision;
  (*((struct candidate *)context)->owners)++;
}

static void
lost (const char *reason, void *context)
{
  (void)reason;
  (*((struct candidate *)context)->owners)--;
}

/* All instances tried to become the owner at once when there was none. Each try
 * is up to three writes; on 300 machines the store refused nearly all of them,
 * and it took 8.5 s until there was an owner. */
START_TEST (few_instances_try_to_become_the_owner)
{
  struct candidate candidates[CANDIDATES] = { 0 };
  struct world world;
  struct gr_clock *clock = gr_clock_create ();
  struct gr_standin *base;
  uint32_t owners = 0;

  world_create (&world);
  base = gr_standin_platform_base (world.platform);
  for (int i = 0; i < CANDIDATES; i++)
    {
      struct candidate *candidate = &candidates[i];
      struct gr_mirror_events events = {
        .owner_changed = owner_changed,
        .context = candidate,
      };
      struct gr_ownership_events ownership_events = { acquired, lost,
                                                      candidate };

      candidate->owners = &owners;
      candidate->store =
          gr_metastore_create (gr_standin_address (base), world.counters);
      candidate->mirror = gr_mirror_create (candidate->store, clock, &events);
      candidate->ownership =
          gr_ownership_create (candidate->store, candidate->mirror, clock, "i",
                               0.25, &ownership_events);
    }
  run_for (1500);
  ck_assert_uint_eq (owners, 1);
  for (int i = 0; i < CANDIDATES; i++)
    if (gr_ownership_is_owner (candidates[i].ownership))
      gr_ownership_stop (candidates[i].ownership);
  ck_assert_uint_eq (owners, 0);
  run_for (1500);
  ck_assert_uint_eq (owners, 1);
  /* Twice a choice among them all. */
  ck_assert_int_le (gr_standin_count (base, "/v1/kv-lease"), CANDIDATES / 3);
  for (int i = 0; i < CANDIDATES; i++)
    {
      gr_ownership_destroy (candidates[i].ownership);
      gr_metastore_destroy (candidates[i].store);
      gr_mirror_destroy (candidates[i].mirror);
    }
  gr_clock_destroy (clock);
  world_destroy (&world);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform-store");
  TCase *tests = tcase_create ("metastore");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 20);
  tcase_add_test (tests, conflict_shows_the_present_item);
  tcase_add_test (tests, lost_answer_is_not_a_refusal);
  tcase_add_test (tests, store_that_is_silent_is_known_to_be);
  tcase_add_test (tests, watch_shows_that_the_store_answers);
  tcase_add_test (tests, records_of_final_jobs_are_removed_in_time);
  tcase_add_test (tests, few_instances_try_to_become_the_owner);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
