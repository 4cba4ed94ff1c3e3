/* Decision core with failures of workers, racks, the owner and the store. */
#include "tests/sched-model.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Guards against starts before the record is durable. */
START_TEST (nothing_starts_while_the_store_is_down)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "j", 1, 1);

  model->durable = false;
  model_must_submit (model, &spec, 1000);
  model_run (model, 30000);
  ck_assert_uint_eq (model->n_commands[GR_COMMAND_GRANT], 0);
  model->durable = true;
  model_run (model, 5000);
  ck_assert_int_eq (model_state (model, "a.j"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against a gang that keeps running after it lost a member, and
 * against a second run of a non-idempotent job. Both gangs lose one worker. */
START_TEST (lost_member_stops_the_gang)
{
  struct model *model = model_create_ready (2, 4);
  struct gr_job_spec again = model_spec ("a", "again", 2, 8);
  struct gr_job_spec once = model_spec ("b", "once", 2, 8);
  const struct gr_job_record *record;

  model_set_account (model, "b", 0, 2, 8, 1);
  once.idempotent = false;
  model_must_submit (model, &again, 20000);
  model_must_submit (model, &once, 20000);
  model_run (model, 3000);
  record = gr_core_find (model->core, "dc1.a.again");
  model_kill (model, model_worker (model, record->placements[0].worker));
  record = gr_core_find (model->core, "dc1.b.once");
  model_kill (model, model_worker (model, record->placements[0].worker));
  model_run (model, 5000);
  ck_assert_uint_eq (model_count_running (model, "dc1.a.again"), 0);
  ck_assert_uint_eq (model_count_running (model, "dc1.b.once"), 0);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_STOPPING);
  model_run (model, 75000);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_MAY_HAVE_RUN);
  ck_assert_int_eq (model_state (model, "a.again"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against guarantee slots that are not placed again after a rack
 * failure, and against a status that hides guarantees that cannot be met. */
START_TEST (rack_failure_moves_or_reports_guarantees)
{
  struct model *model = model_create_ready (3, 2);
  struct gr_core_status status;

  model_set_account (model, "owner", 0, 2, 8, 2);
  model_run (model, 500);
  model_kill (model, &model->workers[0]);
  model_kill (model, &model->workers[1]);
  model_run (model, 6000);
  gr_core_get_status (model->core, &status);
  ck_assert (status.all_guarantees_placed);
  model_kill (model, &model->workers[2]);
  model_run (model, 6000);
  gr_core_get_status (model->core, &status);
  ck_assert (!status.all_guarantees_placed);
  model->workers[0].dead = false;
  model->workers[1].dead = false;
  model_run (model, 3000);
  gr_core_get_status (model->core, &status);
  ck_assert (status.all_guarantees_placed);
  model_destroy (model);
}
END_TEST

/* Guards against a worker on which every task ends before it is unthrottled.
 * The refused unthrottle was treated as a lost lease, so the worker was not
 * quarantined and was given the same job repeatedly. */
START_TEST (tasks_that_end_before_their_unthrottle)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec;
  GArray *workers;
  char key[16];

  model->workers[0].fails_before_unthrottle = true;
  for (int i = 0; i < 12; i++)
    {
      g_snprintf (key, sizeof key, "j%d", i);
      spec = model_spec ("a", key, 1, 8);
      model_must_submit (model, &spec, 2000);
    }
  model_run (model, 60000);
  for (int i = 0; i < 12; i++)
    {
      g_snprintf (key, sizeof key, "a.j%d", i);
      ck_assert_int_eq (model_state (model, key), GR_JOB_FINISHED);
    }
  workers = gr_core_worker_status (model->core);
  ck_assert (
      g_array_index (workers, struct gr_core_worker_status, 0).quarantined);
  g_array_unref (workers);
  model_destroy (model);
}
END_TEST

/* Guards against a flood of calls to workers that refuse connections: failed
 * calls were repeated in each tick. The limit is two calls per second for each
 * member. */
START_TEST (dead_workers_are_not_flooded)
{
  struct model *model = model_create_ready (2, 4);
  struct gr_job_spec spec = model_spec ("a", "gang", 4, 8);
  const struct gr_job_record *record;
  uint64_t calls;

  model_must_submit (model, &spec, 100000);
  model_run (model, 5000);
  ck_assert_int_eq (model_state (model, "a.gang"), GR_JOB_RUNNING);
  record = gr_core_find (model->core, "dc1.a.gang");
  for (uint32_t i = 0; i < record->n_placements; i++)
    model_kill (model, model_worker (model, record->placements[i].worker));
  calls = model->n_commands[GR_COMMAND_RELEASE];
  model_run (model, 10000);
  calls = model->n_commands[GR_COMMAND_RELEASE] - calls;
  ck_assert_uint_gt (calls, 0);
  ck_assert_uint_le (calls, (uint64_t)spec.shape.workers * 2 * 10);
  model_destroy (model);
}
END_TEST

/* Guards against a faulty worker that attracts all work because its tasks
 * fail quickly, and against healthy workers that are quarantined because of a
 * faulty job. */
START_TEST (failing_workers_and_jobs_are_told_apart)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec;
  GArray *workers;
  char key[16];

  model->workers[0].failing = true;
  for (int i = 0; i < 5; i++)
    {
      g_snprintf (key, sizeof key, "faulty%d", i);
      spec = model_spec ("a", key, 1, 1);
      model_must_submit (model, &spec, -1000);
    }
  for (int i = 0; i < 20; i++)
    {
      g_snprintf (key, sizeof key, "j%d", i);
      spec = model_spec ("a", key, 1, 2);
      model_must_submit (model, &spec, 2000);
    }
  model_run (model, 25000);
  for (int i = 0; i < 20; i++)
    {
      g_snprintf (key, sizeof key, "a.j%d", i);
      ck_assert_int_eq (model_state (model, key), GR_JOB_FINISHED);
    }
  for (int i = 0; i < 5; i++)
    {
      g_snprintf (key, sizeof key, "a.faulty%d", i);
      ck_assert_int_eq (model_state (model, key), GR_JOB_FAILED);
    }
  workers = gr_core_worker_status (model->core);
  for (uint32_t i = 0; i < workers->len; i++)
    ck_assert (
        g_array_index (workers, struct gr_core_worker_status, i).quarantined
        == (i == 0));
  g_array_unref (workers);
  model->workers[0].failing = false;
  spec = model_spec ("a", "probe", 1, 1);
  for (int i = 0; i < 8; i++)
    {
      g_snprintf (key, sizeof key, "k%d", i);
      spec = model_spec ("a", key, 1, 8);
      model_must_submit (model, &spec, 30000);
    }
  model_run (model, 120000);
  workers = gr_core_worker_status (model->core);
  ck_assert (
      !g_array_index (workers, struct gr_core_worker_status, 0).quarantined);
  g_array_unref (workers);
  model_destroy (model);
}
END_TEST

/* Guards against a new owner that restarts running work, reuses accelerators
 * that are still leased, or drops work that was lost. */
START_TEST (new_owner_adopts_running_work)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec;

  model_set_account (model, "b", 0, 1, 8, 1);
  spec = model_spec ("a", "gang", 2, 8);
  model_must_submit (model, &spec, 40000);
  spec = model_spec ("b", "once", 1, 8);
  spec.idempotent = false;
  model_must_submit (model, &spec, 40000);
  spec = model_spec ("a", "lost", 1, 8);
  model_must_submit (model, &spec, 20000);
  model_run (model, 5000);
  model_kill (
      model,
      model_worker (
          model,
          gr_core_find (model->core, "dc1.a.lost")->placements[0].worker));
  model_replace_owner (model);
  model_run (model, 20000);
  ck_assert_int_eq (model_state (model, "a.gang"), GR_JOB_RUNNING);
  ck_assert_uint_eq (gr_core_find (model->core, "dc1.a.gang")->attempt, 1);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_RUNNING);
  model_run (model, 80000);
  ck_assert_int_eq (model_state (model, "a.gang"), GR_JOB_FINISHED);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_FINISHED);
  ck_assert_int_eq (model_state (model, "a.lost"), GR_JOB_FINISHED);
  ck_assert_uint_eq (gr_core_find (model->core, "dc1.a.lost")->attempt, 2);
  model_destroy (model);
}
END_TEST

/* Guards against a pause of the scheduler that is mistaken for silence of
 * all workers. */
START_TEST (scheduler_pause_does_not_silence_workers)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "j", 2, 8);

  model_must_submit (model, &spec, 30000);
  model_run (model, 3000);
  model->now_ms += 8000;
  gr_core_tick (model->core, model->now_ms, model->now_ms, true, model->out);
  model_run (model, 3000);
  ck_assert_int_eq (model_state (model, "a.j"), GR_JOB_RUNNING);
  ck_assert_uint_eq (gr_core_find (model->core, "dc1.a.j")->attempt, 1);
  model_destroy (model);
}
END_TEST

/* Guards against a result that is lost when the owner changes while
 * the store is down: leases may be released only after the final
 * record is durable. */
START_TEST (result_outlives_outage_and_owner)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "j", 2, 8);

  model_must_submit (model, &spec, 5000);
  model_run (model, 2000);
  model->durable = false;
  model_run (model, 60000);
  ck_assert_uint_eq (model->n_commands[GR_COMMAND_RELEASE], 0);
  model->durable = true;
  model_replace_owner (model);
  model_run (model, 5000);
  ck_assert_int_eq (model_state (model, "a.j"), GR_JOB_FINISHED);
  ck_assert_uint_eq (gr_core_find (model->core, "dc1.a.j")->attempt, 1);
  model_destroy (model);
}
END_TEST

/* Guards against keeping the old rack and capacity of a worker that was
 * replaced by another machine of the same name. */
START_TEST (replaced_worker_is_added_again)
{
  struct model *model = model_create_ready (2, 2);
  struct gr_job_spec spec = model_spec ("a", "j", 2, 8);
  struct gr_core_status status;

  model_must_submit (model, &spec, 20000);
  model_run (model, 2000);
  g_strlcpy (model->workers[0].rack, "r9", sizeof model->workers[0].rack);
  model_kill (model, &model->workers[0]);
  model->workers[0].dead = false;
  model_run (model, 50000);
  gr_core_get_status (model->core, &status);
  ck_assert_uint_eq (status.accelerators, 32);
  ck_assert_int_eq (model_state (model, "a.j"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against a failure that the owner and its successors each count. */
START_TEST (takeover_does_not_count_a_failure_twice)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "j", 1, 8);
  const struct gr_job_record *record;
  int64_t *run_ms;

  for (uint32_t i = 0; i < model->n_workers; i++)
    model->workers[i].loses_releases = true;
  model_must_submit (model, &spec, -1000);
  model_run (model, 3000);
  record = g_hash_table_lookup (model->records, "dc1.a.j");
  ck_assert_uint_eq (record->failures, 1);
  run_ms = g_hash_table_lookup (model->run_ms, "dc1.a.j");
  *run_ms = 1000;
  for (int i = 0; i < 3; i++)
    {
      model_replace_owner (model);
      model_run (model, 2000);
    }
  ck_assert_uint_eq (gr_core_find (model->core, "dc1.a.j")->failures, 1);
  model_run (model, 60000);
  ck_assert_int_eq (model_state (model, "a.j"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against jobs that are refused, and workers that are quarantined,
 * because the workers began to leave between a grant and the start. */
START_TEST (starts_refused_by_leaving_workers_are_no_failures)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "j", 1, 8);

  for (uint32_t i = 0; i < model->n_workers; i++)
    model->workers[i].refuses_as_leaving = true;
  model_must_submit (model, &spec, 1000);
  for (int i = 0; i < 20; i++)
    {
      model_run (model, 1000);
      for (uint32_t w = 0; w < model->n_workers; w++)
        gr_core_worker_leaving (model->core, model->workers[w].name, false);
    }
  ck_assert_uint_eq (gr_core_find (model->core, "dc1.a.j")->failures, 0);
  ck_assert_int_eq (model_state (model, "a.j"), GR_JOB_ACCEPTED);
  for (uint32_t i = 0; i < model->n_workers; i++)
    model->workers[i].refuses_as_leaving = false;
  model_run (model, 5000);
  ck_assert_int_eq (model_state (model, "a.j"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against jobs that are stopped because the owner itself is cut off from
 * all workers for some seconds. */
START_TEST (cut_of_the_owner_stops_no_job)
{
  struct model *model = model_create_ready (2, 4);
  struct gr_job_spec again = model_spec ("a", "again", 2, 8);
  struct gr_job_spec once = model_spec ("b", "once", 2, 8);

  model_set_account (model, "b", 0, 2, 8, 1);
  once.idempotent = false;
  model_must_submit (model, &again, 60000);
  model_must_submit (model, &once, 60000);
  model_run (model, 5000);
  for (int cut = 0; cut < 3; cut++)
    {
      for (uint32_t i = 0; i < model->n_workers; i++)
        model->workers[i].unreachable = true;
      model_run (model, 4000 + 3000 * cut);
      for (uint32_t i = 0; i < model->n_workers; i++)
        model->workers[i].unreachable = false;
      model_run (model, 11000);
    }
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_RUNNING);
  model_run (model, 10000);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_FINISHED);
  ck_assert_int_eq (model_state (model, "a.again"), GR_JOB_FINISHED);
  ck_assert_uint_eq (gr_core_find (model->core, "dc1.a.again")->attempt, 1);
  model_destroy (model);
}
END_TEST

/* Guards against jobs that stay in state running after all workers were lost
 * for good. */
START_TEST (loss_of_all_workers_is_noticed)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec once = model_spec ("b", "once", 2, 8);

  model_set_account (model, "b", 0, 2, 8, 1);
  once.idempotent = false;
  model_must_submit (model, &once, 600000);
  model_run (model, 5000);
  for (uint32_t i = 0; i < model->n_workers; i++)
    model_kill (model, &model->workers[i]);
  model_run (model, model->config.run_lease_term_ms);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_STOPPING);
  model_run (model, model->config.run_lease_term_ms);
  ck_assert_int_eq (model_state (model, "b.once"), GR_JOB_MAY_HAVE_RUN);
  model_destroy (model);
}
END_TEST

static void
remove_all_workers (struct model *model)
{
  for (uint32_t i = 0; i < model->n_workers; i++)
    {
      model_kill (model, &model->workers[i]);
      gr_core_worker_removed (model->core, model->workers[i].name,
                              model->now_ms);
    }
}

static void
revive_all_workers (struct model *model)
{
  for (uint32_t i = 0; i < model->n_workers; i++)
    model->workers[i].dead = false;
}

/* Guards against jobs that are refused as impossible, or ended, while the
 * workers that they fit are away. */
START_TEST (absent_workers_make_no_job_impossible)
{
  struct model *model = model_create_ready (2, 4);
  struct gr_job_spec spec = model_spec ("a", "waits", 4, 8);
  struct gr_error error = GR_ERROR_INIT;

  model_run (model, 40000);
  remove_all_workers (model);
  model_must_submit (model, &spec, 1000);
  model_run (model, 3600000);
  ck_assert_int_eq (model_state (model, "a.waits"), GR_JOB_ACCEPTED);
  spec = model_spec ("a", "late", 4, 8);
  model_must_submit (model, &spec, 1000);
  spec = model_spec ("a", "wide", 9, 8);
  ck_assert_ptr_null (model_submit (model, &spec, 1000, &error));
  ck_assert_int_eq (error.kind, GR_ERROR_NEVER_FITS);
  revive_all_workers (model);
  model_run (model, 10000);
  ck_assert_int_eq (model_state (model, "a.waits"), GR_JOB_FINISHED);
  ck_assert_int_eq (model_state (model, "a.late"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against a new owner that ends accepted jobs, or refuses others,
 * because the workers that they fit have been away since before it took over.
 */
START_TEST (new_owner_waits_for_absent_workers)
{
  struct model *model = model_create_ready (2, 4);
  struct gr_job_spec spec = model_spec ("a", "waits", 4, 8);

  for (uint32_t i = 1; i < model->n_workers; i++)
    model_kill (model, &model->workers[i]);
  model_must_submit (model, &spec, 1000);
  model_run (model, 2000);
  model_replace_owner (model);
  gr_core_set_unreported (model->core, model->n_workers - 1);
  model_run (model, 600000);
  ck_assert_int_eq (model_state (model, "a.waits"), GR_JOB_ACCEPTED);
  spec = model_spec ("a", "late", 4, 8);
  model_must_submit (model, &spec, 1000);
  revive_all_workers (model);
  model_run (model, 10000);
  ck_assert_int_eq (model_state (model, "a.waits"), GR_JOB_FINISHED);
  ck_assert_int_eq (model_state (model, "a.late"), GR_JOB_FINISHED);
  model_destroy (model);
}
END_TEST

/* Guards against jobs that wait without end for workers that do not return. */
START_TEST (jobs_do_not_wait_for_lost_workers_without_end)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "waits", 4, 8);

  model_run (model, 40000);
  model_must_submit (model, &spec, 3600000);
  model_run (model, 2000);
  for (uint32_t i = 1; i < model->n_workers; i++)
    {
      model_kill (model, &model->workers[i]);
      gr_core_worker_removed (model->core, model->workers[i].name,
                              model->now_ms);
    }
  model_run (model, 2LL * 3600000);
  ck_assert_int_eq (model_state (model, "a.waits"), GR_JOB_FAILED);
  model_destroy (model);
}
END_TEST

/* Guards against a part of a gang that runs on for longer than one lease term,
 * because its member was lost while the owner was cut off. */
START_TEST (gang_that_lost_a_member_in_a_cut_ends)
{
  struct model *model = model_create_ready (1, 4);
  struct gr_job_spec spec = model_spec ("a", "g", 2, 8);
  const struct gr_job_record *record;
  struct model_worker *left;

  model_must_submit (model, &spec, 600000);
  model_run (model, 3000 + _i * 100);
  record = gr_core_find (model->core, "dc1.a.g");
  left = model_worker (model, record->placements[1].worker);
  for (uint32_t i = 0; i < model->n_workers; i++)
    model->workers[i].unreachable = true;
  model_kill (model, model_worker (model, record->placements[0].worker));
  model_run (model, 18000);
  for (uint32_t i = 0; i < model->n_workers; i++)
    model->workers[i].unreachable = false;
  model_run (model, 4000);
  left->unreachable = true;
  model_run (model, 23000);
  /* Two tasks are the whole gang in its next attempt. */
  ck_assert_uint_ne (model_count_running (model, "dc1.a.g"), 1);
  model_destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sched-faults");
  TCase *tcase = tcase_create ("sched-faults");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, nothing_starts_while_the_store_is_down);
  tcase_add_test (tcase, lost_member_stops_the_gang);
  tcase_add_test (tcase, rack_failure_moves_or_reports_guarantees);
  tcase_add_test (tcase, tasks_that_end_before_their_unthrottle);
  tcase_add_test (tcase, dead_workers_are_not_flooded);
  tcase_add_test (tcase, failing_workers_and_jobs_are_told_apart);
  tcase_add_test (tcase, new_owner_adopts_running_work);
  tcase_add_test (tcase, scheduler_pause_does_not_silence_workers);
  tcase_add_test (tcase, result_outlives_outage_and_owner);
  tcase_add_test (tcase, replaced_worker_is_added_again);
  tcase_add_test (tcase, takeover_does_not_count_a_failure_twice);
  tcase_add_test (tcase, starts_refused_by_leaving_workers_are_no_failures);
  tcase_add_test (tcase, cut_of_the_owner_stops_no_job);
  tcase_add_loop_test (tcase, gang_that_lost_a_member_in_a_cut_ends, 0, 100);
  tcase_add_test (tcase, loss_of_all_workers_is_noticed);
  tcase_add_test (tcase, absent_workers_make_no_job_impossible);
  tcase_add_test (tcase, new_owner_waits_for_absent_workers);
  tcase_add_test (tcase, jobs_do_not_wait_for_lost_workers_without_end);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
