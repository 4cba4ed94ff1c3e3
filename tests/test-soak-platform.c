#include "tests/soak-clients.h"
#include "tests/soak-faults.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/* Soak of instances on the platform's contract. The store, each worker and each
 * instance are processes of their own, and all connections go through relays.
 * By a seed, connections are refused, reset, silenced and delayed, zones are
 * partitioned, processes are paused, killed, drained and restarted, and the
 * operator evacuates zones and changes the configuration, in series that
 * overlap. What the workers print is checked while it runs.
 *
 * Environment: GR_SOAK_SEED, GR_SOAK_S (seconds with faults), GR_SOAK_WORKERS,
 * GR_SOAK_INSTANCES, GR_SOAK_PORT (first of 1,000 ports), GR_SOAK_MIX ("zones":
 * mostly partitions of zones, "processes": none of them, "lists": mostly owners
 * without the store beside jobs of many short tasks, "restarts": mostly workers
 * that start again under their ids and are cut off soon after, beside long
 * tasks, "all", the default).
 */

#define TICK_US 100000UL
#define CHECK_TICKS 50

/* After the last fault, every accepted job must end within this time: leases of
 * 7 s, a takeover that waits 10 s for them, and the work itself. */
#define SETTLE_S 60

/* Time between two jobs of many short tasks, and the same in the mix of long
 * lists. */
#define BURST_INTERVAL_MS 20000
#define BURST_INTERVAL_IN_LISTS_MS 3000

static void
check_runs (struct soak_cluster *cluster,
            struct soak_clients *clients,
            struct soak_faults *faults,
            uint32_t seed)
{
  g_autofree char *violation = soak_clients_check_runs (clients);
  g_autofree char *cuts = NULL;

  if (violation == NULL)
    return;
  cuts = soak_faults_describe (faults);
  ck_abort_msg ("seed %u: %s, logs in %s, partitions:%s", seed, violation,
                cluster->folder, cuts);
}

static void
wait_for_jobs (struct soak_cluster *cluster,
               struct soak_clients *clients,
               uint32_t seed)
{
  uint32_t open = 1;

  for (int i = 0; i < SETTLE_S && open > 0; i++)
    {
      g_autofree char *lost = NULL;

      g_usleep (G_USEC_PER_SEC);
      lost = soak_clients_check_jobs (clients, &open);
      ck_assert_msg (lost == NULL, "seed %u: %s, logs in %s", seed, lost,
                     cluster->folder);
    }
  ck_assert_msg (open == 0, "seed %u: %u of %u accepted jobs open, logs in %s",
                 seed, open, soak_clients_accepted (clients), cluster->folder);
}

/* Guards against tasks that run twice at the same time, also on a worker that
 * has carried out calls to its former process, or again after an end
 * that was acknowledged, also of a gang, rejected jobs that run, and accepted
 * jobs that are lost, beside any of the faults above. */
START_TEST (accepted_jobs_finish_once)
{
  uint32_t seed = soak_setting ("GR_SOAK_SEED", 1);
  uint32_t ticks =
      soak_setting ("GR_SOAK_S", 45) * (uint32_t)(G_USEC_PER_SEC / TICK_US);
  const char *mix = g_getenv ("GR_SOAK_MIX");
  struct soak_cluster cluster;
  struct soak_faults *faults;
  struct soak_clients *clients;

  soak_cluster_create (&cluster);
  faults = soak_faults_create (&cluster, seed, mix);
  g_usleep (2UL * G_USEC_PER_SEC);
  clients = soak_clients_create (&cluster, seed,
                                 g_strcmp0 (mix, "lists") == 0
                                     ? BURST_INTERVAL_IN_LISTS_MS
                                     : BURST_INTERVAL_MS,
                                 g_strcmp0 (mix, "restarts") == 0);
  for (uint32_t i = 0; i < ticks; i++)
    {
      soak_faults_step (faults);
      if (i % CHECK_TICKS == 0)
        check_runs (&cluster, clients, faults, seed);
      g_usleep (TICK_US);
    }
  soak_faults_end (faults);
  soak_clients_stop (clients);
  wait_for_jobs (&cluster, clients, seed);
  check_runs (&cluster, clients, faults, seed);
  ck_assert_uint_gt (soak_clients_accepted (clients), 0);
  printf ("seed %u: %u jobs accepted, %u of them cancelled, %u rejected, %u "
          "given up, %u runs of %u tasks, %u lists of ends read in parts, %u "
          "calls for a former process held back\n",
          seed, soak_clients_accepted (clients),
          soak_clients_cancelled (clients), soak_clients_rejected (clients),
          soak_clients_given_up (clients), soak_runs_count (cluster.runs),
          soak_runs_tasks (cluster.runs),
          soak_count_events (&cluster, "ends-partly-read"),
          soak_count_events (&cluster, "call-for-former-process"));
  soak_clients_destroy (clients);
  soak_faults_destroy (faults);
  soak_cluster_destroy (&cluster);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("soak-platform");
  TCase *tests = tcase_create ("soak");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 900);
  tcase_add_test (tests, accepted_jobs_finish_once);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
