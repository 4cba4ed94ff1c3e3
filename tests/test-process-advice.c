#include "tests/soak-cluster.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Jobs that need advice, with the store, the advice service, workers and an
 * instance as processes of their own. */

#define JOBS 12
#define DECIDE_MS 400
#define EACH_MS 100
#define WORKERS "7"

static void
write_config (struct soak_cluster *cluster, uint32_t decide_ms)
{
  g_autofree char *text = g_strdup_printf (
      "{\"config-version\":1,\"routes\":[{\"name\":\"q\",\"host\":"
      "\"h.example\",\"prefix\":\"/a/\",\"service\":\"render\",\"priority\":1,"
      "\"max-attempts\":3,\"stretch\":3,\"slo-ms\":1000,\"public\":true,"
      "\"advice\":{\"decide-ms\":%u,\"each-ms\":%u,\"valid-ms\":3000}}],"
      "\"services\":[{\"name\":\"render\"}],\"tenants\":[]}",
      decide_ms, EACH_MS);

  soak_put (cluster, "op/config", text);
}

static guint
call_job (struct soak_cluster *cluster,
          const char *method,
          uint32_t number,
          const char *body,
          char **answer)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/a/%016x",
                                          cluster->instances[0].port, number);

  return soak_call (cluster->session, method, url, body, answer);
}

static void
submit_burst (struct soak_cluster *cluster)
{
  static const char body[] =
      "{\"task-spec\":\"run_ms=300 needs_ticket\",\"steps\":[{\"count\":1,"
      "\"cpu\":1000,\"mem-mb\":10,\"gpu\":1,\"estimate-ms\":300}]}";

  for (uint32_t i = 1; i <= JOBS; i++)
    {
      guint status = 0;

      for (int left = 50; left > 0 && status != 200; left--)
        {
          status = call_job (cluster, "POST", i, body, NULL);
          if (status != 200)
            g_usleep (G_USEC_PER_SEC / 10);
        }
      ck_assert_uint_eq (status, 200);
    }
}

static uint32_t
count_completed (struct soak_cluster *cluster)
{
  uint32_t n = 0;

  for (uint32_t i = 1; i <= JOBS; i++)
    {
      g_autofree char *answer = NULL;

      if (call_job (cluster, "GET", i, NULL, &answer) == 200
          && strstr (answer, "completed") != NULL)
        n++;
    }
  return n;
}

/* Returns the number of completed jobs when all are, or after limit_s. */
static uint32_t
wait_for_jobs (struct soak_cluster *cluster, int limit_s)
{
  uint32_t completed = 0;

  for (int i = 0; i < limit_s && completed < JOBS; i++)
    {
      g_usleep (G_USEC_PER_SEC);
      completed = count_completed (cluster);
    }
  return completed;
}

static void
create_cluster (struct soak_cluster *cluster, uint32_t configured_decide_ms)
{
  g_setenv ("GR_SOAK_INSTANCES", "1", TRUE);
  g_setenv ("GR_SOAK_WORKERS", WORKERS, TRUE);
  soak_cluster_create (cluster);
  soak_set_advice (cluster, DECIDE_MS, EACH_MS, 100);
  write_config (cluster, configured_decide_ms);
  g_usleep (3UL * G_USEC_PER_SEC);
}

/* Guards against calls for advice that are given up and repeated behind those
 * that the service still handles, so that after a burst none is answered in
 * time and accepted jobs are never started. The service needs at most 1.1 s for
 * each of the 12 jobs. */
START_TEST (burst_of_jobs_that_need_advice_is_started)
{
  struct soak_cluster cluster;

  create_cluster (&cluster, DECIDE_MS);
  submit_burst (&cluster);
  ck_assert_msg (wait_for_jobs (&cluster, 20) == JOBS, "logs in %s",
                 cluster.folder);
  soak_cluster_destroy (&cluster);
}
END_TEST

/* The same if the service is slower than configured by four times. */
START_TEST (advice_that_is_slower_than_configured_is_used)
{
  struct soak_cluster cluster;

  create_cluster (&cluster, DECIDE_MS);
  soak_set_advice (&cluster, 4 * DECIDE_MS, 4 * EACH_MS, 100);
  submit_burst (&cluster);
  ck_assert_msg (wait_for_jobs (&cluster, 80) == JOBS, "logs in %s",
                 cluster.folder);
  soak_cluster_destroy (&cluster);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("process-advice");
  TCase *tests = tcase_create ("advice");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 300);
  tcase_add_test (tests, burst_of_jobs_that_need_advice_is_started);
  tcase_add_test (tests, advice_that_is_slower_than_configured_is_used);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
