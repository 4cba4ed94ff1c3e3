/* Random faults against the decision core. Without arguments it runs a fixed
 * set of seeds under check. With --seeds or --seed it is the soak test, which
 * prints the command that reproduces a failure. */
#include "tests/sched-model.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define FAULT_STEPS 3000 /* 5 minutes */
#define DRAIN_MS (3LL * 3600000)
#define N_ACCOUNTS 4
/* An unreachable worker runs a task until its run lease term (30 s) ends;
 * the other 15 s are for the detection and lost stop calls. */
#define MAX_PARTIAL_MS 45000

struct run
{
  struct model *model;
  GRand *rand;
  uint32_t n_racks;
  uint32_t per_rack;
  uint32_t n_jobs;
  int64_t store_recovers_ms;
  GHashTable *partial_since; /* job -> since when only a part runs */
};

static uint32_t
random_below (struct run *run, uint32_t limit)
{
  return (uint32_t)g_rand_int_range (run->rand, 0, (gint32)limit);
}

static bool
chance (struct run *run, double probability)
{
  return g_rand_double (run->rand) < probability;
}

static void
set_accounts (struct run *run, bool again)
{
  uint32_t pool = run->n_racks * run->per_rack;

  for (uint32_t i = 0; i < N_ACCOUNTS; i++)
    {
      char name[8];
      uint32_t workers = 1 + random_below (run, MIN (run->per_rack, 3));
      uint32_t accelerators = 1U << random_below (run, 4);
      uint32_t count =
          random_below (run, 1 + pool / (2 * N_ACCOUNTS * workers));

      g_snprintf (name, sizeof name, "a%u", i);
      /* Lowering a quota does not stop running work, so quotas stay the
       * same. */
      model_set_account (run->model, name, i % 2 == 0 ? 0 : 48, workers,
                         accelerators, again && chance (run, 0.5) ? 0 : count);
    }
}

static void
submit_random (struct run *run)
{
  char account[8];
  char key[24];
  struct gr_job_spec spec;
  struct gr_error error = GR_ERROR_INIT;
  int64_t run_ms = 500 + random_below (run, 40000);

  g_snprintf (account, sizeof account, "a%u", random_below (run, N_ACCOUNTS));
  g_snprintf (key, sizeof key, "j%u", run->n_jobs++);
  spec = model_spec (
      account, key,
      chance (run, 0.6) ? 1 : 1 + random_below (run, 2 * run->per_rack),
      1 + random_below (run, 8));
  /* Declared run times range from a tenth of the real run time to slightly more
   * than ten times it. */
  spec.run_ms = 1 + run_ms / 10 + random_below (run, (uint32_t)run_ms * 10);
  spec.priority = (enum gr_priority)random_below (run, 3);
  spec.idempotent = !chance (run, 0.3);
  spec.checkpointable = chance (run, 0.3);
  spec.cores_per_task = chance (run, 0.2) ? random_below (run, 40) : 0;
  if (chance (run, 0.05))
    run_ms = -run_ms;
  model_submit (run->model, &spec, run_ms, &error);
}

static void
cancel_random (struct run *run)
{
  struct gr_error error = GR_ERROR_INIT;
  char id[48];

  if (run->n_jobs == 0)
    return;
  g_snprintf (id, sizeof id, "dc1.a%u.j%u", random_below (run, N_ACCOUNTS),
              random_below (run, run->n_jobs));
  gr_core_cancel (run->model->core, id, run->model->now_ms, &error);
}

static void
inject_worker_fault (struct run *run, struct model_worker *worker)
{
  switch (random_below (run, 5))
    {
    case 0:
      model_kill (run->model, worker);
      break;
    case 1:
      /* A restart between two calls. */
      model_kill (run->model, worker);
      worker->dead = false;
      break;
    case 2:
      worker->unreachable = true;
      break;
    case 3:
      worker->failing = !worker->failing;
      break;
    default:
      gr_core_worker_leaving (run->model->core, worker->name,
                              chance (run, 0.5));
      break;
    }
}

static void
recover_worker (struct run *run, struct model_worker *worker)
{
  worker->dead = false;
  worker->unreachable = false;
  worker->failing = false;
  gr_core_worker_leaving (run->model->core, worker->name, false);
}

static void
inject_faults (struct run *run)
{
  struct model *model = run->model;
  struct model_worker *worker =
      &model->workers[random_below (run, model->n_workers)];

  if (chance (run, 0.008))
    inject_worker_fault (run, worker);
  if (chance (run, 0.02))
    recover_worker (run, worker);
  for (uint32_t i = 0; i < model->n_workers; i++)
    if (model->workers[i].unreachable && chance (run, 0.01))
      model->workers[i].unreachable = false;
  if (chance (run, 0.001))
    for (uint32_t i = 0; i < model->n_workers; i++)
      if (strcmp (model->workers[i].rack, worker->rack) == 0)
        model_kill (model, &model->workers[i]);
  if (chance (run, 0.001) && worker->dead)
    gr_core_worker_removed (model->core, worker->name, model->now_ms);
  if (chance (run, 0.002) && model->durable)
    {
      model->durable = false;
      run->store_recovers_ms = model->now_ms + random_below (run, 40000);
    }
  if (model->now_ms >= run->store_recovers_ms)
    model->durable = true;
  /* The owner does not change while the store is down. */
  if (chance (run, 0.003) && model->durable)
    model_replace_owner (model);
  if (chance (run, 0.001))
    model->now_ms += random_below (run, 15000);
  if (chance (run, 0.001))
    set_accounts (run, true);
  if (chance (run, 0.002))
    for (uint32_t i = 0; i < 200; i++)
      cancel_random (run);
}

/* --- Checks of the workers and the store -------------------------------- */

static void
check_quota (struct run *run, GHashTable *accelerators)
{
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, accelerators);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct gr_account_settings *account =
          g_hash_table_lookup (run->model->accounts, key);
      uint32_t quota = account->quota_accelerators;

      g_assert (quota == 0 || GPOINTER_TO_UINT (value) <= quota);
    }
}

/* A part of a gang may run without the rest only for a bounded time. */
static void
check_partial (struct run *run, GHashTable *running, GHashTable *active)
{
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, run->partial_since);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (running, key))
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, running);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct gr_job_record *record =
          g_hash_table_lookup (run->model->records, key);
      const int64_t *since = g_hash_table_lookup (run->partial_since, key);
      int64_t *now;

      if (GPOINTER_TO_UINT (value) >= record->spec.shape.workers
          || !g_hash_table_contains (active, key))
        {
          g_hash_table_remove (run->partial_since, key);
          continue;
        }
      if (since != NULL)
        {
          g_assert (run->model->now_ms - *since <= MAX_PARTIAL_MS);
          continue;
        }
      now = g_new (int64_t, 1);
      *now = run->model->now_ms;
      g_hash_table_insert (run->partial_since, g_strdup (key), now);
    }
}

static void
add_to (GHashTable *table, const char *key, uint32_t n)
{
  uint32_t sum = GPOINTER_TO_UINT (g_hash_table_lookup (table, key)) + n;

  g_hash_table_insert (table, g_strdup (key), GUINT_TO_POINTER (sum));
}

/* Two attempts of a job never run at the same time. */
static void
check_attempt (GHashTable *attempts, const struct model_task *task)
{
  char *attempt = g_strndup (task->id, strrchr (task->id, '.') - task->id);
  const char *other = g_hash_table_lookup (attempts, task->job);

  if (other != NULL)
    g_assert (strcmp (other, attempt) == 0);
  g_hash_table_insert (attempts, g_strdup (task->job), attempt);
}

static void
check_workers (struct run *run)
{
  g_autoptr (GHashTable) attempts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_autoptr (GHashTable) running =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GHashTable) active =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GHashTable) accelerators =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (uint32_t i = 0; i < run->model->n_workers; i++)
    {
      const struct model_worker *worker = &run->model->workers[i];
      uint32_t held = 0;

      for (uint32_t k = 0; k < worker->tasks->len; k++)
        {
          const struct model_task *task = g_ptr_array_index (worker->tasks, k);
          const struct gr_job_record *record =
              g_hash_table_lookup (run->model->records, task->job);

          g_assert ((held & task->accelerators) == 0);
          held |= task->accelerators;
          if (task->state == GR_TASK_FINISHED && task->started)
            add_to (running, task->job, 1);
          if (!task->running)
            continue;
          check_attempt (attempts, task);
          add_to (running, task->job, 1);
          add_to (active, task->job, 1);
          add_to (accelerators, record->spec.account,
                  (uint32_t)__builtin_popcount (task->accelerators));
        }
    }
  check_quota (run, accelerators);
  check_partial (run, running, active);
}

struct tally
{
  struct run *run;
  uint32_t unfinished;
};

static void
check_record (const struct gr_job_record *record, void *context)
{
  struct tally *tally = context;
  const struct model *model = tally->run->model;
  uint32_t finished =
      GPOINTER_TO_UINT (g_hash_table_lookup (model->finished, record->id));

  if (!gr_job_state_is_final (record->state))
    tally->unfinished++;
  if (record->state == GR_JOB_FINISHED)
    g_assert (finished >= record->spec.shape.workers);
  /* A refused job must never have run. */
  if (record->state == GR_JOB_REFUSED)
    g_assert (!g_hash_table_contains (model->jobs_ever_run, record->id));
  if (record->state == GR_JOB_MAY_HAVE_RUN)
    g_assert (!record->spec.idempotent);
}

static uint32_t
count_unfinished (struct run *run)
{
  struct tally tally = { run, 0 };

  gr_core_each_job (run->model->core, check_record, &tally);
  return tally.unfinished;
}

static void
step (struct run *run)
{
  model_step (run->model);
  check_workers (run);
}

static void
end_faults (struct run *run)
{
  run->model->durable = true;
  run->model->loss = 0;
  for (uint32_t i = 0; i < run->model->n_workers; i++)
    recover_worker (run, &run->model->workers[i]);
}

/* Checks that every accepted job reaches a final state once faults end. */
static void
check_all_end (struct run *run)
{
  int64_t end_ms = run->model->now_ms + DRAIN_MS;

  while (count_unfinished (run) > 0)
    {
      g_assert (run->model->now_ms < end_ms);
      for (int i = 0; i < 50; i++)
        step (run);
    }
}

/* Submits a job for each guaranteed shape of the account, or checks that all
 * these jobs run. */
static void
demand_guarantee (struct run *run,
                  const struct gr_account_settings *account,
                  bool check)
{
  const struct gr_guarantee *guarantee = &account->guarantees[0];
  uint32_t wanted = guarantee->count * guarantee->shape.workers
                    * guarantee->shape.accelerators_per_worker;

  if (account->n_guarantees == 0
      || (account->quota_accelerators > 0
          && wanted > account->quota_accelerators))
    return;
  for (uint32_t c = 0; c < guarantee->count; c++)
    {
      g_autofree char *key = g_strdup_printf ("demand%u", c);
      g_autofree char *id = g_strdup_printf ("%s.%s", account->name, key);
      struct gr_job_spec spec =
          model_spec (account->name, key, guarantee->shape.workers,
                      guarantee->shape.accelerators_per_worker);
      struct gr_error error = GR_ERROR_INIT;

      spec.idempotent = false;
      if (check)
        g_assert (model_state (run->model, id) == GR_JOB_RUNNING);
      else
        g_assert (model_submit (run->model, &spec, 20000, &error) != NULL);
    }
}

static void
demand_all_guarantees (struct run *run, bool check)
{
  for (uint32_t i = 0; i < N_ACCOUNTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("a%u", i);

      demand_guarantee (run, g_hash_table_lookup (run->model->accounts, name),
                        check);
    }
}

/* Demands all guarantees at once while the pool is full of borrowed work. The
 * jobs must run within 3.9 s, the time limit of urgent work. */
static void
check_guarantees (struct run *run)
{
  struct model *model = run->model;
  struct gr_core_status status;
  struct gr_error error = GR_ERROR_INIT;

  model_set_account (model, "fill", 0, 0, 0, 0);
  for (uint32_t i = 0; i < 4 * model->n_workers; i++)
    {
      g_autofree char *key = g_strdup_printf ("f%u", i);
      struct gr_job_spec spec =
          model_spec ("fill", key, 1 + random_below (run, run->per_rack),
                      1 + random_below (run, 8));

      spec.checkpointable = chance (run, 0.5);
      model_submit (model, &spec, 600000, &error);
    }
  for (uint32_t i = 0; i < 100; i++)
    step (run);
  gr_core_get_status (model->core, &status);
  if (status.all_guarantees_placed)
    {
      demand_all_guarantees (run, false);
      for (uint32_t i = 0; i < 39; i++)
        step (run);
      demand_all_guarantees (run, true);
    }
  for (uint32_t i = 0; i < 4 * model->n_workers; i++)
    {
      g_autofree char *id = g_strdup_printf ("dc1.fill.f%u", i);

      gr_core_cancel (model->core, id, model->now_ms, &error);
    }
}

static void
run_seed (uint32_t seed)
{
  struct run run = { 0 };

  run.rand = g_rand_new_with_seed (seed);
  run.n_racks = 2 + random_below (&run, 5);
  run.per_rack = 2 + random_below (&run, 6);
  run.model = model_create (seed + 1, run.n_racks, run.per_rack,
                            chance (&run, 0.8)
                                ? GR_POLICY_DEFAULT
                                : (enum gr_core_policy)random_below (&run, 3));
  run.partial_since =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  set_accounts (&run, false);
  run.model->loss = chance (&run, 0.5) ? 0.03 : 0;
  for (uint32_t i = 0; i < FAULT_STEPS; i++)
    {
      if (chance (&run, 0.08))
        submit_random (&run);
      if (chance (&run, 0.01))
        cancel_random (&run);
      inject_faults (&run);
      step (&run);
    }
  end_faults (&run);
  check_all_end (&run);
  check_guarantees (&run);
  check_all_end (&run);
  g_hash_table_destroy (run.partial_since);
  model_destroy (run.model);
  g_rand_free (run.rand);
}

/* --- Program ------------------------------------------------------------ */

static char reproduce_text[160];

/* Prints the command that reproduces the failed run. */
static void
on_abort (int signal_number)
{
  ssize_t n = write (STDERR_FILENO, reproduce_text, strlen (reproduce_text));

  (void)n;
  signal (signal_number, SIG_DFL);
  raise (signal_number);
}

static void
run_guarded (const char *program, uint32_t seed)
{
  g_snprintf (reproduce_text, sizeof reproduce_text,
              "reproduce with: %s --seed %u\n", program, seed);
  signal (SIGABRT, on_abort);
  run_seed (seed);
}

static int
soak (const char *program, int seeds, int seconds, int seed)
{
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  uint32_t first = seed >= 0 ? (uint32_t)seed : g_random_int () & 0xffffff;
  int done = 0;

  if (seed >= 0)
    {
      run_guarded (program, first);
      printf ("seed %u passed\n", first);
      return EXIT_SUCCESS;
    }
  while (done < seeds && g_get_monotonic_time () < end)
    run_guarded (program, first + (uint32_t)done++);
  printf ("%d seeds from %u passed\n", done, first);
  return EXIT_SUCCESS;
}

/* Guards against races between responses, reports, faults and owner changes
 * that no other test covers, with the checks above and in the model. */
START_TEST (random_faults_break_no_invariant)
{
  run_guarded ("build/tests/test-sched-random", (uint32_t)_i);
}
END_TEST

static int
run_fixed (void)
{
  Suite *suite = suite_create ("sched-random");
  TCase *tcase = tcase_create ("sched-random");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, random_faults_break_no_invariant, 1, 9);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  int seeds = 0;
  int seconds = 60;
  int seed = -1;
  const GOptionEntry entries[] = {
    { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "Number of seeds to run", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
      "Start no further seed after N seconds", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Run this seed only", "N" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context =
      g_option_context_new ("- inject random faults into the decision core");
  GError *error = NULL;
  bool parsed;

  g_option_context_add_main_entries (context, entries, NULL);
  parsed = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!parsed)
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return EXIT_FAILURE;
    }
  if (seeds > 0 || seed >= 0)
    return soak (argv[0], seeds, seconds, seed);
  return run_fixed ();
}
