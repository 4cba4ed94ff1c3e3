/* What failures of tasks are held against: the job, the worker or neither. */
#include "tests/sched-model.h"

#include <check.h>
#include <stdlib.h>

static void
submit_many (struct model *model,
             const char *account,
             const char *prefix,
             uint32_t n,
             uint32_t accelerators,
             int64_t run_ms)
{
  for (uint32_t i = 0; i < n; i++)
    {
      g_autofree char *key = g_strdup_printf ("%s%u", prefix, i);
      struct gr_job_spec spec = model_spec (account, key, 1, accelerators);

      model_must_submit (model, &spec, run_ms);
    }
}

static uint32_t
count_in_state (const struct model *model,
                const char *prefix,
                uint32_t n,
                enum gr_job_state state)
{
  uint32_t found = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      g_autofree char *key = g_strdup_printf ("%s%u", prefix, i);

      found += model_state (model, key) == state;
    }
  return found;
}

/* Guards against a job that is ended because several workers, which have passed
 * tasks before, fail whatever they start. */
START_TEST (several_failing_workers_end_no_job)
{
  struct model *model = model_create_ready (1, 8);
  struct gr_job_spec spec;
  char key[16];

  submit_many (model, "a", "before", 8, 8, 1000);
  model_run (model, 5000);
  for (uint32_t i = 4; i < model->n_workers; i++)
    model->workers[i].failing = true;
  submit_many (model, "a", "long", 4, 8, 20000);
  model_run (model, 2000);
  for (int i = 0; i < 4; i++)
    {
      g_snprintf (key, sizeof key, "j%d", i);
      spec = model_spec ("a", key, 1, 8);
      model_must_submit (model, &spec, 1000);
      model_run (model, 8000);
    }
  model_run (model, 120000);
  ck_assert_uint_eq (count_in_state (model, "a.j", 4, GR_JOB_FINISHED), 4);
  model_destroy (model);
}
END_TEST

/* Guards against jobs that are ended because all workers fail what they start
 * for a while: _i is the number of jobs. */
START_TEST (failures_of_the_whole_pool_end_no_job)
{
  struct model *model = model_create_ready (1, 8);
  uint32_t n_jobs = (uint32_t)_i;

  submit_many (model, "a", "before", 8, 8, 1000);
  model_run (model, 5000);
  for (uint32_t i = 0; i < model->n_workers; i++)
    model->workers[i].failing = true;
  submit_many (model, "a", "j", n_jobs, 8, 1000);
  model_run (model, 60000);
  for (uint32_t i = 0; i < model->n_workers; i++)
    model->workers[i].failing = false;
  model_run (model, 300000);
  ck_assert_uint_eq (count_in_state (model, "a.j", n_jobs, GR_JOB_FINISHED),
                     n_jobs);
  model_destroy (model);
}
END_TEST

/* Guards against faulty jobs that are started without end, alone in the pool or
 * beside jobs that pass. */
START_TEST (faulty_jobs_end_after_a_bounded_number_of_starts)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "alone", 1, 8);
  char key[16];

  model_must_submit (model, &spec, -1000);
  model_run (model, 300000);
  ck_assert_int_eq (model_state (model, "a.alone"), GR_JOB_FAILED);
  ck_assert_uint_le (gr_core_find (model->core, "dc1.a.alone")->attempt, 9);
  spec = model_spec ("a", "beside", 1, 4);
  model_must_submit (model, &spec, -1000);
  for (int i = 0; i < 100; i++)
    {
      g_snprintf (key, sizeof key, "good%d", i);
      spec = model_spec ("a", key, 1, 4);
      model_must_submit (model, &spec, 1000);
      model_run (model, 300);
    }
  ck_assert_int_eq (model_state (model, "a.beside"), GR_JOB_FAILED);
  ck_assert_uint_le (gr_core_find (model->core, "dc1.a.beside")->attempt, 4);
  model_destroy (model);
}
END_TEST

/* Guards against a pool that is quarantined for the jobs of one account, which
 * fail everywhere, so that other accounts wait and these jobs do not end. */
START_TEST (faulty_batch_does_not_quarantine_the_pool)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("b", "before", 1, 1);

  model_set_account (model, "b", 0, 0, 0, 0);
  model_must_submit (model, &spec, 600000);
  model_run (model, 20000);
  submit_many (model, "b", "bad", 64, 1, -500);
  model_run (model, 60000);
  spec = model_spec ("a", "good", 1, 1);
  spec.priority = GR_PRIORITY_URGENT;
  model_must_submit (model, &spec, 1000);
  model_run (model, 3900);
  ck_assert_int_ne (model_state (model, "a.good"), GR_JOB_ACCEPTED);
  for (int i = 0; i < 600; i++)
    {
      g_autofree char *key = g_strdup_printf ("beside%d", i);

      spec = model_spec ("a", key, 1, 2);
      model_must_submit (model, &spec, 1000);
      model_run (model, 100);
    }
  ck_assert_uint_eq (count_in_state (model, "b.bad", 64, GR_JOB_FAILED), 64);
  for (int i = 0; i < 64; i++)
    {
      g_autofree char *id = g_strdup_printf ("dc1.b.bad%d", i);

      ck_assert_uint_le (gr_core_find (model->core, id)->attempt, 9);
    }
  model_destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sched-evidence");
  TCase *tcase = tcase_create ("sched-evidence");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, several_failing_workers_end_no_job);
  tcase_add_loop_test (tcase, failures_of_the_whole_pool_end_no_job, 1, 9);
  tcase_add_test (tcase, faulty_jobs_end_after_a_bounded_number_of_starts);
  tcase_add_test (tcase, faulty_batch_does_not_quarantine_the_pool);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
