/* Placement, guarantees, quotas and priorities of the decision core. */
#include "tests/sched-model.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Guards against a gang that is not placed on adjacent workers, does not
 * start, or is not released at its end. */
START_TEST (gang_runs_on_adjacent_workers)
{
  struct model *model = model_create_ready (2, 4);
  struct gr_job_spec spec = model_spec ("a", "g", 3, 8);
  const struct gr_job_record *record;
  struct gr_core_status status;

  model_must_submit (model, &spec, 5000);
  model_run (model, 1500);
  record = gr_core_find (model->core, "dc1.a.g");
  ck_assert_int_eq (record->state, GR_JOB_RUNNING);
  ck_assert_uint_eq (record->n_placements, 3);
  for (uint32_t i = 1; i < 3; i++)
    {
      const struct model_worker *before =
          model_worker (model, record->placements[i - 1].worker);
      const struct model_worker *worker =
          model_worker (model, record->placements[i].worker);

      ck_assert_str_eq (worker->rack, before->rack);
      ck_assert_uint_eq (worker->slot, before->slot + 1);
    }
  ck_assert_uint_eq (model_count_running (model, "dc1.a.g"), 3);
  model_run (model, 8000);
  ck_assert_int_eq (model_state (model, "a.g"), GR_JOB_FINISHED);
  gr_core_get_status (model->core, &status);
  ck_assert_uint_eq (status.free, 64);
  model_destroy (model);
}
END_TEST

/* Guards against leases that expire while long work runs. */
START_TEST (long_work_is_renewed)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "long", 2, 8);

  model_must_submit (model, &spec, 120000);
  model_run (model, 125000);
  ck_assert_int_eq (model_state (model, "a.long"), GR_JOB_FINISHED);
  ck_assert_uint_eq (model->n_commands[GR_COMMAND_GRANT], 2);
  model_destroy (model);
}
END_TEST

/* Guards against borrowed work that prevents an account from using its
 * guarantee, and against preempting work that loses more than other work
 * would. */
START_TEST (guarantee_is_reclaimed_where_least_is_lost)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec;
  char key[16];

  model_set_account (model, "owner", 0, 1, 8, 1);
  model_run (model, 500);
  for (int i = 0; i < 4; i++)
    {
      g_snprintf (key, sizeof key, "b%d", i);
      spec = model_spec ("a", key, 1, 8);
      spec.checkpointable = i == 2;
      model_must_submit (model, &spec, 600000);
      model_run (model, 2000);
    }
  spec = model_spec ("owner", "mine", 1, 8);
  spec.idempotent = false;
  model_must_submit (model, &spec, 5000);
  model_run (model, 3900);
  ck_assert_int_eq (model_state (model, "owner.mine"), GR_JOB_RUNNING);
  ck_assert_int_eq (model_state (model, "a.b2"), GR_JOB_ACCEPTED);
  ck_assert_int_gt (gr_core_find (model->core, "dc1.a.b2")->saved_ms, 0);
  model_run (model, 10000);
  ck_assert_int_eq (model_state (model, "owner.mine"), GR_JOB_FINISHED);
  ck_assert_int_eq (model_state (model, "a.b2"), GR_JOB_RUNNING);
  model_destroy (model);
}
END_TEST

/* Guards against exceeding a quota, and against accepting jobs that can
 * never run and would wait forever. */
START_TEST (quota_and_size_are_enforced)
{
  struct model *model = model_create_ready (2, 4);
  struct gr_job_spec spec;
  struct gr_error error = GR_ERROR_INIT;
  GArray *accounts;
  char key[16];

  model_set_account (model, "small", 4, 0, 0, 0);
  for (int i = 0; i < 6; i++)
    {
      g_snprintf (key, sizeof key, "q%d", i);
      spec = model_spec ("small", key, 1, 2);
      model_must_submit (model, &spec, 5000);
    }
  model_run (model, 2000);
  accounts = gr_core_account_status (model->core);
  ck_assert_uint_eq (
      g_array_index (accounts, struct gr_core_account_status, 1).used, 4);
  g_array_unref (accounts);
  spec = model_spec ("small", "over", 1, 8);
  ck_assert_ptr_null (model_submit (model, &spec, 1, &error));
  ck_assert_int_eq (error.kind, GR_ERROR_NEVER_FITS);
  model_run (model, 40000);
  ck_assert_int_eq (model_state (model, "small.q5"), GR_JOB_FINISHED);
  spec = model_spec ("a", "huge", 9, 8);
  ck_assert_ptr_null (model_submit (model, &spec, 1, &error));
  ck_assert_int_eq (error.kind, GR_ERROR_NEVER_FITS);
  spec = model_spec ("a", "cores", 1, 1);
  spec.cores_per_task = 65;
  ck_assert_ptr_null (model_submit (model, &spec, 1, &error));
  spec = model_spec ("a", "once", 1, 1);
  spec.idempotent = false;
  ck_assert_ptr_null (model_submit (model, &spec, 1, &error));
  ck_assert_int_eq (error.kind, GR_ERROR_NEVER_FITS);
  model_destroy (model);
}
END_TEST

/* Guards against small jobs that keep overtaking a large one, and against
 * backfilled work that delays its reserved start. */
START_TEST (reserved_start_is_not_delayed)
{
  struct model *model = model_create_ready (1, 2);
  struct gr_job_spec spec;
  char key[16];

  spec = model_spec ("a", "first", 1, 8);
  model_must_submit (model, &spec, 20000);
  model_run (model, 1000);
  spec = model_spec ("a", "large", 2, 8);
  model_must_submit (model, &spec, 10000);
  model_run (model, 1000);
  for (int i = 0; i < 40; i++)
    {
      g_snprintf (key, sizeof key, "s%d", i);
      spec = model_spec ("a", key, 1, 4);
      /* The declared time is far too short: the job would delay the large
       * one by an hour. */
      spec.run_ms = 1000;
      model_must_submit (model, &spec, 3600000);
      model_run (model, 500);
    }
  model_run (model, 3000);
  ck_assert_int_eq (model_state (model, "a.large"), GR_JOB_RUNNING);
  model_destroy (model);
}
END_TEST

/* Guards against urgent work that waits behind long batch jobs. */
START_TEST (urgent_work_overtakes_batches)
{
  struct model *model = model_create_ready (1, 2);
  struct gr_job_spec spec;
  char key[16];

  for (int i = 0; i < 4; i++)
    {
      g_snprintf (key, sizeof key, "b%d", i);
      spec = model_spec ("a", key, 1, 8);
      spec.priority = GR_PRIORITY_BATCH;
      model_must_submit (model, &spec, 3600000);
    }
  model_run (model, 5000);
  spec = model_spec ("a", "urgent", 1, 2);
  spec.priority = GR_PRIORITY_URGENT;
  model_must_submit (model, &spec, 10000);
  model_run (model, 3900);
  ck_assert_int_eq (model_state (model, "a.urgent"), GR_JOB_RUNNING);
  model_destroy (model);
}
END_TEST

/* Guards against accelerators that stay in use after a burst of
 * cancellations, and against cancelled jobs that start. */
START_TEST (cancellation_wave_frees_everything)
{
  struct model *model = model_create_ready (8, 8);
  struct gr_job_spec spec;
  struct gr_core_status status;
  struct gr_error error = GR_ERROR_INIT;
  char key[32];

  for (int i = 0; i < 2000; i++)
    {
      g_snprintf (key, sizeof key, "j%d", i);
      spec = model_spec ("a", key, 1, 1);
      model_must_submit (model, &spec, 600000);
    }
  model_run (model, 3000);
  gr_core_get_status (model->core, &status);
  ck_assert_uint_eq (status.jobs_running, 512);
  for (int i = 0; i < 2000; i++)
    {
      g_snprintf (key, sizeof key, "dc1.a.j%d", i);
      ck_assert (gr_core_cancel (model->core, key, model->now_ms, &error));
    }
  model_run (model, 2000);
  gr_core_get_status (model->core, &status);
  ck_assert_uint_eq (status.jobs_running + status.jobs_waiting, 0);
  ck_assert_uint_eq (status.free, 512);
  ck_assert_int_eq (model_state (model, "a.j1999"), GR_JOB_CANCELLED);
  model_destroy (model);
}
END_TEST

/* Guards against a large gang that cannot be placed over several racks, or
 * whose ids are too long or not unique. */
START_TEST (gang_of_1024_spans_adjacent_racks)
{
  struct model *model = model_create_ready (130, 8);
  struct gr_job_spec spec = model_spec ("a", "big", 1024, 8);
  const struct gr_job_record *record;

  model_kill (model, &model->workers[3]);
  model_run (model, 6000);
  model_must_submit (model, &spec, 5000);
  model_run (model, 2000);
  record = gr_core_find (model->core, "dc1.a.big");
  ck_assert_int_eq (record->state, GR_JOB_RUNNING);
  ck_assert_uint_eq (model_count_running (model, "dc1.a.big"), 1024);
  model_run (model, 8000);
  ck_assert_int_eq (model_state (model, "a.big"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against a FIFO baseline that does not keep the order of submission. */
START_TEST (first_in_first_out_does_not_overtake)
{
  struct model *model = model_create (7, 1, 2, GR_POLICY_FIFO);
  struct gr_job_spec spec;

  model->instant = true;
  model_set_account (model, "a", 0, 0, 0, 0);
  model_run (model, 2000);
  spec = model_spec ("a", "first", 1, 8);
  model_must_submit (model, &spec, 20000);
  spec = model_spec ("a", "large", 2, 8);
  model_must_submit (model, &spec, 5000);
  spec = model_spec ("a", "late", 1, 1);
  spec.priority = GR_PRIORITY_URGENT;
  model_must_submit (model, &spec, 1000);
  model_run (model, 15000);
  ck_assert_int_eq (model_state (model, "a.late"), GR_JOB_ACCEPTED);
  model_run (model, 20000);
  ck_assert_int_eq (model_state (model, "a.late"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against urgent work that waits behind batch jobs of its own account
 * inside the guaranteed shape. */
START_TEST (urgent_work_preempts_batches_in_its_guarantee)
{
  struct model *model = model_create_ready (1, 2);
  struct gr_job_spec spec;
  char key[16];

  model_set_account (model, "owner", 0, 1, 8, 2);
  model_run (model, 500);
  for (int i = 0; i < 4; i++)
    {
      g_snprintf (key, sizeof key, "b%d", i);
      spec = model_spec ("owner", key, 1, 4);
      spec.priority = GR_PRIORITY_BATCH;
      model_must_submit (model, &spec, 600000);
    }
  model_run (model, 3000);
  spec = model_spec ("owner", "urgent", 1, 8);
  spec.priority = GR_PRIORITY_URGENT;
  spec.idempotent = false;
  model_must_submit (model, &spec, 5000);
  model_run (model, 3900);
  ck_assert_int_eq (model_state (model, "owner.urgent"), GR_JOB_RUNNING);
  model_destroy (model);
}
END_TEST

/* Guards against long work that stays in a short class after hours of run
 * time and so blocks short work of its priority. */
START_TEST (long_work_gives_way_to_short_work)
{
  struct model *model = model_create_ready (1, 1);
  struct gr_job_spec spec = model_spec ("a", "long", 1, 8);

  spec.checkpointable = true;
  model_must_submit (model, &spec, 5LL * 3600000);
  model_run (model, 3LL * 3600000);
  spec = model_spec ("a", "short", 1, 8);
  model_must_submit (model, &spec, 60000);
  model_run (model, 40000);
  ck_assert_int_eq (model_state (model, "a.short"), GR_JOB_RUNNING);
  model_run (model, 100000);
  ck_assert_int_eq (model_state (model, "a.long"), GR_JOB_RUNNING);
  ck_assert_int_gt (gr_core_find (model->core, "dc1.a.long")->saved_ms,
                    2LL * 3600000);
  model_destroy (model);
}
END_TEST

/* Guards against relying on declared run times after finished jobs have
 * shown that they are wrong. */
START_TEST (learned_run_times_order_work)
{
  struct model *model = model_create_ready (1, 1);
  struct gr_job_spec spec;
  char key[16];

  for (int i = 0; i < 4; i++)
    {
      /* Declared as one minute, but runs for twenty. */
      g_snprintf (key, sizeof key, "l%d", i);
      spec = model_spec ("a", key, 1, 8);
      model_must_submit (model, &spec, 1200000);
    }
  model_run (model, 4LL * 1210000);
  spec = model_spec ("a", "now", 1, 8);
  model_must_submit (model, &spec, 20000);
  model_run (model, 1000);
  spec = model_spec ("a", "long", 1, 8);
  model_must_submit (model, &spec, 1200000);
  spec = model_spec ("a", "short", 1, 4);
  /* Corrected by the average error of the account, this is one minute. */
  spec.run_ms = 3000;
  model_must_submit (model, &spec, 60000);
  model_run (model, 25000);
  ck_assert_int_eq (model_state (model, "a.short"), GR_JOB_RUNNING);
  ck_assert_int_eq (model_state (model, "a.long"), GR_JOB_ACCEPTED);
  model_destroy (model);
}
END_TEST

/* Guards against small jobs that take the accelerators which were freed by
 * preemption for a larger job. */
START_TEST (freed_accelerators_stay_claimed)
{
  struct model *model = model_create_ready (1, 2);
  struct gr_job_spec spec;
  char key[16];

  for (int i = 0; i < 2; i++)
    {
      g_snprintf (key, sizeof key, "b%d", i);
      spec = model_spec ("a", key, 1, 8);
      spec.priority = GR_PRIORITY_BATCH;
      spec.checkpointable = i == 0;
      model_must_submit (model, &spec, 600000);
    }
  model_run (model, 3000);
  spec = model_spec ("a", "large", 2, 8);
  spec.priority = GR_PRIORITY_URGENT;
  model_must_submit (model, &spec, 10000);
  for (int i = 0; i < 20; i++)
    {
      model_step (model);
      g_snprintf (key, sizeof key, "s%d", i);
      spec = model_spec ("a", key, 1, 1);
      spec.priority = GR_PRIORITY_URGENT;
      model_must_submit (model, &spec, 600000);
    }
  model_run (model, 1900);
  ck_assert_int_eq (model_state (model, "a.large"), GR_JOB_RUNNING);
  model_destroy (model);
}
END_TEST

/* Guards against accelerators that stay idle although short work would end
 * before the reserved start. */
START_TEST (short_work_backfills)
{
  struct model *model = model_create_ready (1, 2);
  struct gr_job_spec spec = model_spec ("a", "first", 1, 8);

  model_must_submit (model, &spec, 60000);
  model_run (model, 1000);
  spec = model_spec ("a", "large", 2, 8);
  model_must_submit (model, &spec, 10000);
  model_run (model, 1000);
  spec = model_spec ("a", "short", 1, 8);
  spec.run_ms = 20000;
  model_must_submit (model, &spec, 20000);
  spec = model_spec ("a", "long", 1, 8);
  spec.run_ms = 200000;
  model_must_submit (model, &spec, 200000);
  model_run (model, 3000);
  ck_assert_int_eq (model_state (model, "a.short"), GR_JOB_RUNNING);
  model_run (model, 25000);
  ck_assert_int_eq (model_state (model, "a.short"), GR_JOB_FINISHED);
  ck_assert_int_eq (model_state (model, "a.long"), GR_JOB_ACCEPTED);
  model_run (model, 40000);
  ck_assert_int_eq (model_state (model, "a.large"), GR_JOB_RUNNING);
  model_destroy (model);
}
END_TEST

/* Guards against borrowed work of an account that fills the quota and so
 * prevents the account from using its guarantee. */
START_TEST (guarantee_comes_before_borrowed_work_in_the_quota)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec;
  char key[16];

  model_set_account (model, "b", 16, 1, 8, 1);
  model_run (model, 500);
  for (int i = 0; i < 8; i++)
    {
      /* Wider than the guaranteed shape, so it runs as borrowed work. */
      g_snprintf (key, sizeof key, "w%d", i);
      spec = model_spec ("b", key, 2, 2);
      model_must_submit (model, &spec, 600000);
    }
  model_run (model, 3000);
  spec = model_spec ("b", "mine", 1, 8);
  spec.idempotent = false;
  model_must_submit (model, &spec, 5000);
  model_run (model, 3900);
  ck_assert_int_eq (model_state (model, "b.mine"), GR_JOB_RUNNING);
  model_destroy (model);
}
END_TEST

/* Guards against stopping non-idempotent work when its account or
 * guarantee is removed, and against waiting jobs of a removed account that
 * wait forever. */
START_TEST (settings_changes_keep_running_work)
{
  struct model *model = model_create_ready (1, 2);
  struct gr_job_spec spec;

  model_set_account (model, "b", 0, 1, 8, 1);
  model_run (model, 500);
  spec = model_spec ("b", "once", 1, 8);
  spec.idempotent = false;
  model_must_submit (model, &spec, 30000);
  spec = model_spec ("b", "waits", 1, 8);
  spec.idempotent = false;
  model_must_submit (model, &spec, 30000);
  model_run (model, 2000);
  model_set_account (model, "b", 0, 0, 0, 0);
  model_set_account (model, "c", 0, 1, 8, 2);
  model_run (model, 5000);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_RUNNING);
  ck_assert_int_eq (model_state (model, "b.waits"), GR_JOB_ACCEPTED);
  gr_core_remove_account (model->core, "b");
  ck_assert_int_eq (model_state (model, "b.waits"), GR_JOB_REFUSED);
  model_run (model, 40000);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sched");
  TCase *tcase = tcase_create ("sched");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, gang_runs_on_adjacent_workers);
  tcase_add_test (tcase, long_work_is_renewed);
  tcase_add_test (tcase, guarantee_is_reclaimed_where_least_is_lost);
  tcase_add_test (tcase, quota_and_size_are_enforced);
  tcase_add_test (tcase, reserved_start_is_not_delayed);
  tcase_add_test (tcase, urgent_work_overtakes_batches);
  tcase_add_test (tcase, cancellation_wave_frees_everything);
  tcase_add_test (tcase, gang_of_1024_spans_adjacent_racks);
  tcase_add_test (tcase, first_in_first_out_does_not_overtake);
  tcase_add_test (tcase, urgent_work_preempts_batches_in_its_guarantee);
  tcase_add_test (tcase, long_work_gives_way_to_short_work);
  tcase_add_test (tcase, learned_run_times_order_work);
  tcase_add_test (tcase, settings_changes_keep_running_work);
  tcase_add_test (tcase, short_work_backfills);
  tcase_add_test (tcase, guarantee_comes_before_borrowed_work_in_the_quota);
  tcase_add_test (tcase, freed_accelerators_stay_claimed);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
