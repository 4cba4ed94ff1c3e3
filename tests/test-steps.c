#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>

/* Basic check: tasks are placed and polled, and their completion becomes
 * durable, also in gangs and dependent steps. */
START_TEST (jobs_of_each_kind_complete)
{
  struct steps_model *model = steps_fixture_create (16, 1);
  struct gr_step_spec steps[2] = { steps_plain, steps_plain };
  uint32_t first = 0;

  steps[1].after = &first;
  steps[1].n_after = 1;
  steps_model_add_job (model, 1, "normal", "a", &steps_plain, 1, 500);
  steps_model_add_job (model, 2, "urgent", "a", &steps_gang, 1, 500);
  steps_model_add_job (model, 3, "batch", "a", steps, 2, 500);
  steps_model_run (model, 4000);
  for (uint32_t i = 1; i <= 3; i++)
    ck_assert_int_eq (steps_model_state (model, i), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 4);
  ck_assert_uint_eq (steps_model_starts (model, 2), 8);
  steps_fixture_destroy (model);
}
END_TEST

/* A new owner does not know the leases that the former owner granted. It
 * treated them as expired at once and started all runs a second time. */
START_TEST (adopted_runs_keep_their_lease)
{
  struct steps_model *model = steps_fixture_create (16, 1);

  steps_model_add_job (model, 1, "normal", "a", &steps_gang, 1, 5000);
  steps_model_add_job (model, 2, "normal", "a", &steps_plain, 1, 5000);
  steps_model_run (model, 1000);
  steps_model_new_owner (model);
  steps_model_run (model, 6000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 8);
  ck_assert_uint_eq (steps_model_starts (model, 2), 4);
  steps_fixture_destroy (model);
}
END_TEST

/* A completed job was removed from the core before its state was durable.
 * Reading its stored records back added it again, and it ran a second time. */
START_TEST (completed_job_added_again_does_not_run_again)
{
  struct steps_model *model = steps_fixture_create (16, 1);

  steps_model_set_commit_ms (model, 300);
  steps_model_add_job (model, 1, "normal", "a", &steps_plain, 1, 500);
  steps_model_add_job (model, 2, "normal", "a", &steps_gang, 1, 500);
  steps_model_run (model, 4000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 4);
  ck_assert_uint_eq (steps_model_starts (model, 2), 8);
  steps_fixture_destroy (model);
}
END_TEST

/* A failed run that was counted and durable, but not acknowledged, was reported
 * again to the next owner. That owner counted it twice, and the job failed too
 * early. */
START_TEST (failure_counts_once_over_a_takeover)
{
  struct steps_model *model = steps_fixture_create (16, 1);

  steps_model_add_job (model, 1, "urgent", "a", &steps_gang, 1, 900);
  steps_model_fail_job (model, 1);
  for (int i = 0; i < 200 && steps_model_failures (model, 1) == 0; i++)
    steps_model_run (model, 20);
  steps_model_new_owner (model);
  steps_model_run (model, 8000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_starts (model, 1),
                     3 * (uintmax_t)steps_gang.count);
  steps_fixture_destroy (model);
}
END_TEST

/* Two failed runs of one task, on two workers, were reported in reverse order
 * after a takeover. The older one was not counted, and the task was started
 * once too often. */
START_TEST (failures_count_in_any_order)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (2, 1);

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 300);
  steps_model_fail_job (model, 1);
  steps_model_set_store (model, false);
  steps_model_run (model, 1500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_model_set_store (model, true);
  steps_model_swap_workers (model, 0, 1);
  steps_model_new_owner (model);
  steps_model_run (model, 4000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_fixture_destroy (model);
}
END_TEST

/* A task that had used up a lowered limit was started once more. */
START_TEST (task_without_attempts_left_is_not_started_again)
{
  for (int takeover = 0; takeover < 2; takeover++)
    {
      struct gr_step_spec one = steps_plain;
      struct steps_model *model = steps_fixture_create (1, 1);

      one.count = 1;
      steps_model_set_queue (model, "limited", 1, 3);
      steps_model_add_job (model, 1, "limited", "a", &one, 1, 500);
      steps_model_fail_job (model, 1);
      while (steps_model_starts (model, 1) < 2)
        steps_model_run (model, 20);
      steps_model_drain_worker (model, 0, true);
      steps_model_run (model, 1000);
      ck_assert_uint_eq (steps_model_failures (model, 1), 2);
      steps_model_set_queue (model, "limited", 1, 2);
      if (takeover)
        steps_model_new_owner (model);
      steps_model_drain_worker (model, 0, false);
      steps_model_run (model, 1000);
      ck_assert_uint_eq (steps_model_starts (model, 1), 2);
      ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* Guards against giving a job up while a run that was permitted is active. */
START_TEST (lowered_limit_does_not_end_an_active_run)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      struct steps_model *model = steps_fixture_create (8, 1);

      steps_model_set_queue (model, "limited", 1, 3);
      steps_model_add_job (model, 1, "limited", "a",
                           i == 0 ? &steps_plain : &steps_gang, 1, 500);
      while (steps_model_running (model, 1) == 0)
        steps_model_run (model, 20);
      for (uint32_t worker = 0; worker < 8; worker++)
        steps_model_fail_runs (model, worker);
      while (steps_model_running (model, 1) == 0)
        steps_model_run (model, 20);
      steps_model_set_queue (model, "limited", 1, 1);
      steps_model_run (model, 2000);
      ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* Starts a task on worker 0 that fails once under an owner which does not know
 * the queue, whose limit is max_attempts. */
static struct steps_model *
fail_before_the_queue_is_known (uint32_t max_attempts)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (1, 1);

  one.count = 1;
  steps_model_set_queue (model, "late", 1, max_attempts);
  steps_model_add_job (model, 1, "late", "a", &one, 1, 500);
  steps_model_run (model, 300);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_model_forget_queue (model, "late");
  steps_model_new_owner (model);
  steps_model_fail_runs (model, 0);
  steps_model_run (model, 1000);
  ck_assert_int_ne (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_failures (model, 1), 1);
  return model;
}

/* An owner that did not know the queue yet gave a job up after one failure. */
START_TEST (failure_before_the_queue_is_known_is_one_of_several)
{
  struct steps_model *model = fail_before_the_queue_is_known (3);

  steps_model_set_queue (model, "late", 1, 3);
  steps_model_run (model, 2000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a start of a task that failed before its limit was known. */
START_TEST (failure_before_the_queue_is_known_counts)
{
  struct steps_model *model = fail_before_the_queue_is_known (1);

  steps_model_set_queue (model, "late", 1, 1);
  steps_model_run (model, 2000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* A queue whose limit a configuration lacked was limited to one failed run. */
START_TEST (configuration_without_a_limit_keeps_the_known_one)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (1, 1);

  one.count = 1;
  steps_model_set_queue (model, "normal", 1, 0);
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 500);
  steps_model_fail_job (model, 1);
  steps_model_run (model, 2000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_fixture_destroy (model);
}
END_TEST

/* A lasting task whose run ended was treated as done, or was not started again
 * after max_attempts failures. */
START_TEST (lasting_work_is_started_again_however_it_ends)
{
  struct gr_step_spec lasting = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  lasting.lasting = true;
  lasting.max_away = 1;
  steps_model_add_job (model, 1, "normal", "a", &lasting, 1, 1000);
  for (int i = 0; i < 6; i++)
    {
      steps_model_run (model, 1500);
      ck_assert_uint_eq (steps_model_running (model, 1), 4);
      steps_model_fail_runs (model, (uint32_t)i % 4);
    }
  steps_model_cancel_job (model, 1);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_running (model, 1), 0);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_CANCELLED);
  steps_fixture_destroy (model);
}
END_TEST

/* A task on a worker that does not answer counted as at work until its lease
 * had expired, and another one of its step was moved. */
START_TEST (lasting_task_of_a_silent_worker_is_unavailable)
{
  struct steps_model *model = steps_fixture_create (4, 1);
  struct gr_step_spec lasting = steps_plain;
  uint32_t workers[3] = { 0 };
  uint32_t n = 0;

  lasting.count = 3;
  lasting.needs.accelerators = 8;
  lasting.lasting = true;
  lasting.max_away = 1;
  steps_model_add_job (model, 1, "normal", "a", &lasting, 1, 500);
  steps_model_run (model, 2000);
  for (uint32_t i = 0; i < 4 && n < 3; i++)
    if (steps_model_starts_on (model, i) > 0)
      workers[n++] = i;
  ck_assert_uint_eq (n, 3);
  steps_model_set_data_centre (model, workers[1], "dc1");
  steps_model_set_worker_unreachable (model, workers[0], true);
  steps_model_run (model, 4500);
  steps_model_evacuate (model, "dc1", true);
  steps_model_run (model, 1500);
  ck_assert_uint_eq (steps_model_task_starts (model, 1, 0)
                         + steps_model_task_starts (model, 1, 1)
                         + steps_model_task_starts (model, 1, 2),
                     3);
  ck_assert_uint_eq (steps_model_running (model, 1), 3);
  steps_fixture_destroy (model);
}
END_TEST

/* Urgent work preempted lasting tasks of a step beyond its max_away. */
START_TEST (reclaiming_respects_max_away)
{
  struct gr_step_spec lasting = steps_plain;
  struct steps_model *model = steps_fixture_create (8, 1);

  lasting.count = 8;
  lasting.needs.accelerators = 8;
  lasting.lasting = true;
  lasting.max_away = 2;
  steps_model_add_job (model, 1, "batch", "a", &lasting, 1, 1000);
  steps_model_run (model, 2000);
  ck_assert_uint_eq (steps_model_running (model, 1), 8);
  steps_model_add_job (model, 2, "urgent", "b", &steps_gang, 1, 1000);
  for (int i = 0; i < 100; i++)
    {
      steps_model_run (model, 40);
      ck_assert_uint_ge (steps_model_running (model, 1), 6);
    }
  steps_fixture_destroy (model);
}
END_TEST

/* Filler tasks kept a task that serves requests over its latency target. */
START_TEST (filler_tasks_are_slowed_down)
{
  struct gr_step_spec serving = steps_plain;
  struct gr_step_spec filling = steps_plain;
  struct steps_model *model = steps_fixture_create (1, 1);

  serving.count = 1;
  serving.lasting = true;
  serving.tail_target_ms = 100;
  filling.filler = true;
  steps_model_add_job (model, 1, "normal", "a", &serving, 1, 1000);
  steps_model_add_job (model, 2, "batch", "a", &filling, 1, 8000);
  steps_model_run (model, 90000);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  ck_assert_int_eq (steps_model_state (model, 2), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Starts without a valid ticket are rejected, so work on such a queue never
 * started unless the core requested advice. */
START_TEST (advice_is_requested_and_followed)
{
  struct steps_model *model = steps_fixture_create (16, 1);

  steps_model_require_tickets (model);
  for (uint32_t i = 1; i <= 6; i++)
    steps_model_add_job (model, i, "normal", "a", &steps_plain, 1, 4000);
  steps_model_run (model, 12000);
  for (uint32_t i = 1; i <= 6; i++)
    {
      ck_assert_int_eq (steps_model_state (model, i), GR_JOB_COMPLETED);
      ck_assert_uint_eq (steps_model_starts (model, i), 4);
    }
  for (uint32_t worker = 1; worker < 16; worker += 2)
    ck_assert_uint_eq (steps_model_starts_on (model, worker), 0);
  ck_assert_uint_le (steps_model_advice_calls (model), 12);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against steps that wait for room and renew their tickets all the time,
 * so that a step that has room gets no advice. A call takes 1 s, and tickets
 * are valid for 3 s. */
START_TEST (advice_goes_to_steps_that_have_room)
{
  struct gr_step_spec small = steps_plain;
  struct steps_model *model = steps_fixture_create (8, 1);

  small.count = 1;
  small.needs.accelerators = 0;
  steps_model_require_tickets (model);
  for (uint32_t i = 1; i <= 16; i++)
    steps_model_add_job (model, i, "normal", "a", &steps_plain, 1, 60000);
  steps_model_run (model, 5000);
  steps_model_set_advice_ms (model, 1000, 0);
  steps_model_run (model, 5000);
  steps_model_add_job (model, 20, "batch", "a", &small, 1, 1000);
  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_starts (model, 20), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against urgent steps that wait for room and leave no call to a step
 * that has it, and against a step with room that leaves them none. */
START_TEST (urgent_steps_without_room_share_the_calls)
{
  struct gr_step_spec small = steps_plain;
  struct steps_model *model = steps_fixture_create (8, 1);

  small.count = 1;
  small.needs.accelerators = 0;
  steps_model_require_tickets (model);
  for (uint32_t i = 1; i <= 16; i++)
    steps_model_add_job (model, i, "urgent", "a", &steps_plain, 1, 60000);
  steps_model_run (model, 5000);
  steps_model_set_advice_ms (model, 1000, 0);
  steps_model_run (model, 5000);
  for (uint32_t i = 20; i < 24; i++)
    steps_model_add_job (model, i, "batch", "a", &small, 1, 1000);
  steps_model_run (model, 10000);
  for (uint32_t i = 20; i < 24; i++)
    ck_assert_uint_eq (steps_model_starts (model, i), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against calls that name many more workers than a step needs, so that
 * the service answers few of them: naming all 16 takes 2 s a call, and half of
 * the workers are allowed. */
START_TEST (advice_is_requested_on_few_workers)
{
  struct gr_step_spec small = steps_plain;
  struct steps_model *model = steps_fixture_create (16, 1);

  small.count = 1;
  steps_model_require_tickets (model);
  steps_model_set_advice_ms (model, 400, 100);
  steps_model_run (model, 1000);
  for (uint32_t i = 1; i <= 12; i++)
    steps_model_add_job (model, i, "normal", "a", &small, 1, 500);
  steps_model_run (model, 15000);
  for (uint32_t i = 1; i <= 12; i++)
    ck_assert_int_eq (steps_model_state (model, i), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

static uint32_t
busy_worker (struct steps_model *model)
{
  for (uint32_t i = 0; i < 4; i++)
    if (steps_model_starts_on (model, i) > 0)
      return i;
  ck_abort_msg ("no worker has started a run");
  return 0;
}

/* After a worker had left, its tasks waited until their lease would have
 * expired. A takeover in that time delayed all inherited work. */
START_TEST (worker_that_left_is_not_waited_for)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 2000);
  steps_model_run (model, 500);
  steps_model_remove_worker (model, busy_worker (model), 900);
  steps_model_run (model, 200);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a second run of a task whose worker lost its entry too soon,
 * as the store counted a delayed renewal from its arrival: a worker that leaves
 * announces that it drains. */
START_TEST (entry_that_is_removed_early_ends_no_run)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);
  uint32_t worker;

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  steps_model_run (model, 500);
  worker = busy_worker (model);
  steps_model_renew_entry (model, worker, 0);
  steps_model_run (model, 3000);
  steps_model_unregister_worker (model, worker, 0);
  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_run (model, 20000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* A silent worker may still have active runs, so they must not be started a
 * second time before their lease has expired. */
START_TEST (silent_worker_is_waited_for)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  steps_model_run (model, 500);
  /* The lease of 7 s starts at the last poll, before the 4.5 s of silence. */
  steps_model_remove_worker (model, busy_worker (model), 4500);
  steps_model_run (model, 1500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_run (model, 2500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_fixture_destroy (model);
}
END_TEST

/* While the start orders for the first runs on a worker were queued, the worker
 * had no lease and was treated as if its lease had expired. The orders were
 * still sent later, and the tasks ran twice. */
START_TEST (queued_start_orders_extend_the_lease)
{
  struct gr_step_spec many = steps_plain;
  struct steps_model *model = steps_fixture_create (16, 1);

  many.count = 60;
  steps_model_set_orders_per_tick (model, 1);
  steps_model_add_job (model, 1, "normal", "a", &many, 1, 4000);
  steps_model_add_job (model, 2, "urgent", "b", &steps_gang, 1, 1000);
  steps_model_run (model, 12000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_int_eq (steps_model_state (model, 2), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against starts on a worker that was found to drain while they were
 * queued, which can take 2 s. */
START_TEST (queued_starts_are_withdrawn_from_draining_workers)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  one.count = 1;
  steps_model_set_orders_per_tick (model, 0);
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 1000);
  steps_model_run (model, 500);
  for (uint32_t i = 0; i < 4; i++)
    steps_model_drain_worker (model, i, true);
  steps_model_run (model, 500);
  steps_model_set_orders_per_tick (model, 16);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 0);
  steps_model_drain_worker (model, 0, false);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* A new owner treated its first read of a registry entry as a heartbeat. A
 * worker that had been silent for a long time was then treated as one that had
 * left, and its active runs were started a second time. */
START_TEST (first_read_of_an_entry_does_not_count_as_heartbeat)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  steps_model_run (model, 500);
  steps_model_new_owner (model);
  steps_model_run (model, 300);
  steps_model_unregister_worker (model, busy_worker (model), 0);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* After an answer of the store that was seconds late, the last renewal and the
 * expiry of an entry 4.5 s later were handled together. The worker was treated
 * as one that had left, and its active runs were started a second time. */
START_TEST (expiry_reported_with_the_last_renewal_is_no_departure)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  steps_model_run (model, 6000);
  steps_model_renew_entry (model, busy_worker (model), 4900);
  steps_model_unregister_worker (model, busy_worker (model), 4900);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* An entry that a former process of a worker wrote late made the worker drain,
 * so it got no work until the next heartbeat. */
START_TEST (late_entry_of_a_former_process_is_ignored)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (1, 1);

  one.count = 1;
  steps_model_run (model, 500);
  steps_model_restart_worker (model, 0);
  steps_model_run (model, 500);
  steps_model_write_former_entry (model, 0);
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 2000);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* The removal of such an entry was treated as the departure of the worker, and
 * the active runs of its present process were started a second time. */
START_TEST (removed_entry_of_a_former_process_is_no_departure)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (2, 1);

  one.count = 1;
  steps_model_run (model, 500);
  steps_model_restart_worker (model, 0);
  steps_model_restart_worker (model, 1);
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  steps_model_run (model, 3000);
  for (uint32_t i = 0; i < 2; i++)
    {
      steps_model_write_former_entry (model, i);
      steps_model_unregister_worker (model, i, 0);
      steps_model_renew_entry (model, i, 0);
    }
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* One answer held the removal of an entry and the entry of the next process of
 * the worker. The removal released a run that had been started on that process
 * in the meantime, and it was started a second time. */
START_TEST (removal_does_not_end_runs_that_may_be_later)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);
  uint32_t worker;

  one.count = 1;
  steps_model_run (model, 2000);
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  steps_model_run (model, 100);
  worker = busy_worker (model);
  steps_model_drain_worker (model, worker, true);
  steps_model_renew_entry (model, worker, 900);
  steps_model_unregister_worker (model, worker, 400);
  steps_model_run (model, 200);
  steps_model_renew_entry (model, worker, 100);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against work that waits for a lease although a report shows that it
 * was older than the departure of its worker. */
START_TEST (removal_ends_runs_that_were_reported_before)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);
  uint32_t worker;

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  steps_model_run (model, 4000);
  worker = busy_worker (model);
  steps_model_set_worker_unreachable (model, worker, true);
  steps_model_drain_worker (model, worker, true);
  steps_model_renew_entry (model, worker, 900);
  steps_model_unregister_worker (model, worker, 400);
  steps_model_run (model, 40);
  ck_assert_uint_eq (steps_model_task_starts (model, 1, 0), 2);
  steps_model_destroy (model);
}
END_TEST

/* While the store loses writes, the registry entry of a live worker can expire.
 * After a takeover at that moment, the worker's active runs were started a
 * second time. */
START_TEST (worker_with_expired_entry_is_waited_for)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  steps_model_run (model, 500);
  steps_model_lose_entry_at_takeover (model, busy_worker (model));
  steps_model_new_owner (model);
  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* The result of a start never reached the core, because the worker's address
 * had changed meanwhile. The task stayed in the starting state forever. */
START_TEST (start_without_a_result_is_abandoned)
{
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  one.count = 1;
  steps_model_set_faults (model,
                          &(struct steps_model_faults){ .lose_order = 1 });
  steps_model_drop_results (model, 1);
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 500);
  steps_model_run (model, 100);
  steps_model_set_faults (model, &(struct steps_model_faults){ 0 });
  steps_model_run (model, 12000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* A stop was queued again every 400 ms although the previous one had not been
 * sent yet, so an owner with a backlog fell further behind. */
START_TEST (waiting_stops_are_not_queued_again)
{
  struct gr_step_spec many = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);
  struct gr_steps_counts counts;

  many.count = 8;
  steps_model_add_job (model, 1, "normal", "a", &many, 1, 20000);
  steps_model_run (model, 500);
  steps_model_set_orders_per_tick (model, 0);
  steps_model_cancel_job (model, 1);
  steps_model_run (model, 3000);
  gr_steps_counts (steps_model_core (model), &counts);
  ck_assert_uint_eq (counts.orders, 8);
  steps_model_set_orders_per_tick (model, 100);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_running (model, 1), 0);
  steps_fixture_destroy (model);
}
END_TEST

/* An urgent start was queued behind hundreds of others, for longer than its
 * account's guarantee allows. */
START_TEST (urgent_starts_are_sent_first)
{
  struct gr_step_spec many = steps_plain;
  struct steps_model *model = steps_fixture_create (32, 1);

  many.count = 150;
  steps_model_set_orders_per_tick (model, 1);
  steps_model_add_job (model, 1, "normal", "a", &many, 1, 4000);
  steps_model_run (model, 200);
  steps_model_add_job (model, 2, "urgent", "b", &steps_plain, 1, 1000);
  steps_model_run (model, 4000);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 2), 0);
  /* Four orders, one per tick of 20 ms, and one tick for placement. */
  ck_assert_int_le (steps_model_start_delay_ms (model, 2), 120);
  steps_fixture_destroy (model);
}
END_TEST

/* Tasks were placed faster than their starts could be sent. The starts came too
 * late, each was abandoned with a stop and placed again, and an owner with a
 * backlog never recovered. */
START_TEST (placement_pauses_while_starts_are_queued)
{
  struct gr_step_spec many = steps_plain;
  struct steps_model *model = steps_fixture_create (64, 1);

  many.count = 400;
  steps_model_set_orders_per_tick (model, 1);
  steps_model_add_job (model, 1, "normal", "a", &many, 1, 1000);
  /* 50 orders per second */
  steps_model_run (model, 400 / 50 * 1000 + 1500);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 400);
  steps_fixture_destroy (model);
}
END_TEST

static void
answer_poll (struct gr_steps *steps, int64_t sent_ms, int64_t now_ms)
{
  struct gr_run_report report = { .sent_ms = sent_ms, .all_ended = true };

  gr_steps_process_report (steps, "w000", &report, now_ms);
}

/* Takes the only queued order, which must be of this kind. */
static struct gr_order
take_single_order (struct gr_steps *steps, enum gr_order_kind kind)
{
  struct gr_order order;

  ck_assert (gr_steps_take_order (steps, NULL, NULL, &order));
  ck_assert_int_eq (order.kind, kind);
  return order;
}

/* A task whose start had no effect stayed in the stopping state forever. The
 * poll that should have shown that it has no run was sent before the answer to
 * the stop, and before each later poll ended, the stop had been answered again.
 * On large sites jobs did not end. */
START_TEST (confirmed_stop_ends_at_the_next_poll)
{
  struct steps_model *model = steps_fixture_create (1, 1);
  struct gr_steps *steps = steps_model_core (model);
  struct gr_steps_counts counts;
  struct gr_order stop;
  int64_t now_ms;

  steps_model_run (model, 200);
  steps_model_set_orders_per_tick (model, 0);
  steps_model_add_job (
      model, 1, "normal", "a",
      &(struct gr_step_spec){ .count = 1, .needs = { 1000, 100, 1 } }, 1, 1000);
  steps_model_run (model, 40);
  take_single_order (steps, GR_ORDER_START);
  steps_model_set_worker_unreachable (model, 0, true);
  steps_model_cancel_job (model, 1);
  steps_model_run (model, 20);
  now_ms = steps_model_now_ms (model);
  stop = take_single_order (steps, GR_ORDER_STOP);
  gr_steps_order_result (steps, &stop, GR_ORDER_REJECTED, now_ms + 10);
  answer_poll (steps, now_ms, now_ms + 20);
  ck_assert_int_eq (gr_steps_poll_need (steps, "w000"), GR_POLL_NOW);
  gr_steps_tick (steps, now_ms + 600, now_ms + 600);
  stop = take_single_order (steps, GR_ORDER_STOP);
  gr_steps_order_result (steps, &stop, GR_ORDER_REJECTED, now_ms + 610);
  answer_poll (steps, now_ms + 100, now_ms + 620);
  gr_steps_counts (steps, &counts);
  ck_assert_uint_eq (counts.tasks_running, 0);
  steps_model_destroy (model);
}
END_TEST

/* Runs the step until the time at which the worker may leave. */
static struct steps_model *
run_until_leave (const struct gr_step_spec *step, int64_t work_ms)
{
  struct steps_model *model = steps_fixture_create (4, 1);

  steps_model_add_job (model, 1, "normal", "a", step, 1, work_ms);
  steps_model_run (model, 2500);
  steps_model_notify_leave (model, busy_worker (model), 1500, 0);
  steps_model_run (model, 1500);
  return model;
}

/* When workers were removed after a notice, the work on them was lost, although
 * stopping it in time would have saved it. */
START_TEST (work_is_saved_before_a_worker_leaves)
{
  struct gr_step_spec saved = steps_plain;
  struct steps_model *model;

  saved.checkpointing = true;
  saved.estimate_ms = 10000;
  model = run_until_leave (&saved, 10000);
  ck_assert_uint_eq (steps_model_running (model, 1), 4);
  ck_assert_uint_eq (steps_model_starts (model, 1), 8);
  ck_assert_double_le (steps_model_wasted_accelerator_s (model), 0.01);
  steps_fixture_destroy (model);
}
END_TEST

/* The time that is left was counted from when the entry was handled. After a
 * late answer of the store the work was stopped too late to be saved. */
START_TEST (time_until_a_worker_leaves_counts_from_the_notice)
{
  struct gr_step_spec saved = steps_plain;
  struct steps_model *model = steps_fixture_create (4, 1);

  saved.checkpointing = true;
  saved.estimate_ms = 10000;
  steps_model_add_job (model, 1, "normal", "a", &saved, 1, 10000);
  steps_model_run (model, 2500);
  steps_model_notify_leave (model, busy_worker (model), 3000, 2800);
  steps_model_run (model, 400);
  ck_assert_uint_eq (steps_model_starts (model, 1), 8);
  steps_fixture_destroy (model);
}
END_TEST

/* Work that ends before its worker leaves must not be stopped. */
START_TEST (work_that_ends_in_time_stays_on_a_leaving_worker)
{
  struct gr_step_spec saved = steps_plain;
  struct steps_model *model;

  saved.checkpointing = true;
  saved.estimate_ms = 9000; /* deliberately rough: the work takes 3.8 s */
  model = run_until_leave (&saved, 3800);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 4);
  steps_fixture_destroy (model);
}
END_TEST

/* Work that a stop would lose must not be stopped: the worker may stay longer
 * than announced. */
START_TEST (work_that_cannot_be_saved_stays_on_a_leaving_worker)
{
  struct gr_step_spec lost = steps_plain;
  struct steps_model *model;

  lost.estimate_ms = 10000;
  model = run_until_leave (&lost, 10000);
  steps_model_run (model, 5000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 4);
  ck_assert_uint_eq (steps_model_running (model, 1), 4);
  steps_fixture_destroy (model);
}
END_TEST

/* A gang larger than any rack waited for a single rack to take it, for nearly
 * half of the time within which guaranteed work must start. */
START_TEST (gang_larger_than_a_rack_does_not_wait_for_one)
{
  struct gr_step_spec large = steps_gang;
  struct steps_model *model = steps_fixture_create (32, 1);

  large.count = 15;
  steps_model_add_job (model, 1, "urgent", "a", &large, 1, 500);
  steps_model_run (model, 3000);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 1), 0);
  ck_assert_int_le (steps_model_start_delay_ms (model, 1), 500);
  steps_fixture_destroy (model);
}
END_TEST

/* A gang of lower priority waited forever for a whole rack, while all workers
 * but one on each rack were free. */
START_TEST (gang_does_not_wait_for_a_rack_while_most_is_free)
{
  struct gr_step_spec blocker = steps_plain;
  struct steps_model *model = steps_fixture_create (32, 1);

  blocker.count = 1;
  for (uint32_t rack = 0; rack < 4; rack++)
    {
      char label[16];

      g_snprintf (label, sizeof label, "rack%u", rack);
      blocker.label = label;
      steps_model_add_job (model, 10 + rack, "batch", "a", &blocker, 1, 60000);
    }
  steps_model_run (model, 500);
  steps_model_add_job (model, 1, "normal", "a", &steps_gang, 1, 500);
  steps_model_run (model, 6000);
  ck_assert_int_ge (steps_model_start_delay_ms (model, 1), 0);
  ck_assert_int_le (steps_model_start_delay_ms (model, 1), 3000);
  steps_fixture_destroy (model);
}
END_TEST

/* An end that was not acknowledged counted again after eight further ones. */
START_TEST (failure_counts_once_after_many_others)
{
  const uint32_t limit = 12;
  struct gr_step_spec one = steps_plain;
  struct steps_model *model = steps_fixture_create (2, 1);
  uint32_t first;

  one.count = 1;
  steps_model_set_queue (model, "many", 1, limit);
  steps_model_add_job (model, 1, "many", "a", &one, 1, 300);
  steps_model_fail_job (model, 1);
  while (steps_model_failures (model, 1) == 0)
    steps_model_run (model, 20);
  first = steps_model_starts_on (model, 0) > 0 ? 0 : 1;
  steps_model_set_worker_unreachable (model, first, true);
  while (steps_model_failures (model, 1) < 10)
    steps_model_run (model, 20);
  steps_model_set_worker_unreachable (model, first, false);
  steps_model_new_owner (model);
  steps_model_run (model, 5000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_starts (model, 1), limit);
  steps_fixture_destroy (model);
}
END_TEST

#define ATTEMPT_WORKERS 16

/* One change around failed runs: of a worker, the owner, the store or a call.
 */
static void
disturb_attempts (struct steps_model *model, GRand *rand)
{
  uint32_t worker = (uint32_t)g_rand_int_range (rand, 0, ATTEMPT_WORKERS);
  struct steps_model_faults faults = { .max_transit_ms = 200 };

  switch (g_rand_int_range (rand, 0, 10))
    {
    case 0:
      steps_model_new_owner (model);
      break;
    case 1:
      steps_model_restart_worker (model, worker);
      break;
    case 2:
      steps_model_restart_unnoticed (model, worker, 1000);
      break;
    case 3:
      steps_model_set_store (model, false);
      break;
    case 4:
      steps_model_set_worker_unreachable (model, worker, true);
      break;
    case 5:
      faults.lose_answer = 0.2;
      faults.lose_order = 0.1;
      faults.late_order = 0.1;
      faults.lose_poll = 0.2;
      steps_model_set_faults (model, &faults);
      break;
    default:
      steps_model_set_store (model, true);
      steps_model_set_faults (model, &faults);
      for (uint32_t i = 0; i < ATTEMPT_WORKERS; i++)
        steps_model_set_worker_unreachable (model, i, false);
    }
}

static void
add_attempt_job (struct steps_model *model, GRand *rand, uint32_t number)
{
  static const char *const queues[] = { "one", "two", "many" };
  struct gr_step_spec step = {
    .count = (uint32_t)g_rand_int_range (rand, 1, 6),
    .needs = { 1000, 1000, 1 },
    .estimate_ms = 500,
    .gang = g_rand_int_range (rand, 0, 2) == 1,
    .checkpointing = g_rand_int_range (rand, 0, 2) == 1,
  };

  steps_model_add_job (model, number, queues[g_rand_int_range (rand, 0, 3)],
                       "a", &step, 1, g_rand_int_range (rand, 100, 3000));
  if (g_rand_int_range (rand, 0, 4) == 0)
    steps_model_fail_job (model, number);
}

/* Guards against failures that are counted twice, or for the wrong run. */
START_TEST (no_job_fails_before_its_attempts_are_used)
{
  uint32_t seed = (uint32_t)_i + 1;
  struct steps_model *model = steps_fixture_create (ATTEMPT_WORKERS, seed);
  GRand *rand = g_rand_new_with_seed (seed);

  steps_model_set_queue (model, "one", 1, 1);
  steps_model_set_queue (model, "two", 1, 2);
  steps_model_set_queue (model, "many", 1, 12);
  for (uint32_t i = 1; i <= 150; i++)
    {
      add_attempt_job (model, rand, i);
      disturb_attempts (model, rand);
      for (int k = 0; k < 3; k++)
        {
          steps_model_fail_runs (
              model, (uint32_t)g_rand_int_range (rand, 0, ATTEMPT_WORKERS));
          steps_model_run (model, 100);
        }
    }
  g_rand_free (rand);
  ck_assert_msg (steps_model_violation (model) == NULL, "seed %u: %s", seed,
                 steps_model_violation (model));
  steps_model_destroy (model);
}
END_TEST

/* Guards against due times of a scheduled job that are never created after a
 * change of the owner, because a later one has progress. */
START_TEST (earlier_due_times_than_those_with_progress_run)
{
  struct steps_model *model = steps_fixture_create (8, 1);
  struct gr_steps *steps = steps_model_core (model);
  struct gr_step_spec one = steps_plain;
  struct gr_job_spec spec = {
    .id = "0000000000000009",
    .queue = (char *)"normal",
    .account = (char *)"a",
    .payload = (char *)"",
    .steps = &one,
    .n_steps = 1,
    .repeats = 4,
    .first_due_unix_ms = 1,
    .interval_ms = 1,
  };
  struct gr_task_progress complete = {
    .occurrence = 1,
    .step = GR_PROGRESS_WHOLE_OCCURRENCE,
    .done = true,
  };
  const struct gr_job_progress progress = {
    .state = GR_JOB_RUNNING,
    .n_tasks = 1,
    .tasks = &complete,
  };
  struct gr_order order;
  bool started[4] = { false };
  int64_t now_ms;

  one.count = 1;
  steps_model_run (model, 1000);
  now_ms = steps_model_now_ms (model) + 20;
  gr_steps_add_job (steps, &spec, &progress, false, now_ms);
  gr_steps_tick (steps, now_ms, now_ms);
  while (gr_steps_take_order (steps, NULL, NULL, &order))
    if (order.kind == GR_ORDER_START)
      started[order.task[GR_JOB_ID_DIGITS + 1] - '0'] = true;
  for (int i = 0; i < 4; i++)
    ck_assert_msg (started[i] == (i != 1), "due time %d", i);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against jobs of a removed queue that never go on after a change of the
 * owner, which does not find the queue in the configuration. */
START_TEST (jobs_of_a_removed_queue_go_on)
{
  struct steps_model *model = steps_fixture_create (8, 1);
  struct gr_steps *steps = steps_model_core (model);
  struct gr_step_spec one = steps_plain;
  struct gr_job_spec spec = {
    .id = "0000000000000009",
    .queue = (char *)"removed",
    .terms = { .service = (char *)"render",
               .priority = 1,
               .max_attempts = 2,
               .stretch = 2 },
    .account = (char *)"a",
    .payload = (char *)"",
    .steps = &one,
    .n_steps = 1,
  };
  struct gr_order order;
  int64_t now_ms;

  one.count = 1;
  steps_model_run (model, 1000);
  now_ms = steps_model_now_ms (model) + 20;
  gr_steps_add_job (steps, &spec, NULL, false, now_ms);
  gr_steps_tick (steps, now_ms, now_ms);
  ck_assert (gr_steps_take_order (steps, NULL, NULL, &order));
  ck_assert_int_eq (order.kind, GR_ORDER_START);
  steps_fixture_destroy (model);
}
END_TEST

static void
count_started (const char *id, void *context)
{
  (void)id;
  ++*(uint32_t *)context;
}

static uint32_t
started_jobs (const struct gr_steps *steps)
{
  uint32_t count = 0;

  gr_steps_each_started_job (steps, count_started, &count);
  return count;
}

/* Guards against jobs that are not counted as pending although no task of
 * theirs has begun: a start that was placed, sent or rejected made its job a
 * started one. */
START_TEST (job_is_started_once_a_worker_has_begun_a_task)
{
  static const enum gr_order_result results[] = {
    GR_ORDER_UNHEALTHY, GR_ORDER_NO_ROOM, GR_ORDER_TOO_LATE,
    GR_ORDER_NOT_SENT,  GR_ORDER_UNKNOWN, GR_ORDER_DONE,
  };

  for (size_t i = 0; i < G_N_ELEMENTS (results); i++)
    {
      struct steps_model *model = steps_fixture_create (8, 1);
      struct gr_steps *steps = steps_model_core (model);
      struct gr_step_spec one = steps_plain;
      struct gr_order order;
      int64_t now_ms;

      one.count = 1;
      steps_model_run (model, 1000);
      now_ms = steps_model_now_ms (model) + 20;
      steps_model_add_job (model, 1, "normal", "a", &one, 1, 3000);
      gr_steps_tick (steps, now_ms, now_ms);
      ck_assert_uint_eq (started_jobs (steps), 0);
      ck_assert (gr_steps_take_order (steps, NULL, NULL, &order));
      ck_assert_int_eq (order.kind, GR_ORDER_START);
      ck_assert_uint_eq (started_jobs (steps), 0);
      gr_steps_order_result (steps, &order, results[i], now_ms + 1);
      ck_assert_uint_eq (started_jobs (steps), results[i] == GR_ORDER_DONE);
      steps_fixture_destroy (model);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("steps");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, jobs_of_each_kind_complete);
  tcase_add_test (tests, adopted_runs_keep_their_lease);
  tcase_add_test (tests, completed_job_added_again_does_not_run_again);
  tcase_add_test (tests, failure_counts_once_over_a_takeover);
  tcase_add_test (tests, failures_count_in_any_order);
  tcase_add_test (tests, task_without_attempts_left_is_not_started_again);
  tcase_add_test (tests, lowered_limit_does_not_end_an_active_run);
  tcase_add_test (tests, failure_before_the_queue_is_known_is_one_of_several);
  tcase_add_test (tests, failure_before_the_queue_is_known_counts);
  tcase_add_test (tests, configuration_without_a_limit_keeps_the_known_one);
  tcase_add_test (tests, lasting_work_is_started_again_however_it_ends);
  tcase_add_test (tests, lasting_task_of_a_silent_worker_is_unavailable);
  tcase_add_test (tests, reclaiming_respects_max_away);
  tcase_add_test (tests, filler_tasks_are_slowed_down);
  tcase_add_test (tests, advice_is_requested_and_followed);
  tcase_add_test (tests, advice_goes_to_steps_that_have_room);
  tcase_add_test (tests, urgent_steps_without_room_share_the_calls);
  tcase_add_test (tests, advice_is_requested_on_few_workers);
  tcase_add_test (tests, worker_that_left_is_not_waited_for);
  tcase_add_test (tests, entry_that_is_removed_early_ends_no_run);
  tcase_add_test (tests, silent_worker_is_waited_for);
  tcase_add_test (tests, queued_start_orders_extend_the_lease);
  tcase_add_test (tests, queued_starts_are_withdrawn_from_draining_workers);
  tcase_add_test (tests, first_read_of_an_entry_does_not_count_as_heartbeat);
  tcase_add_test (tests, expiry_reported_with_the_last_renewal_is_no_departure);
  tcase_add_test (tests, late_entry_of_a_former_process_is_ignored);
  tcase_add_test (tests, removed_entry_of_a_former_process_is_no_departure);
  tcase_add_test (tests, removal_does_not_end_runs_that_may_be_later);
  tcase_add_test (tests, removal_ends_runs_that_were_reported_before);
  tcase_add_test (tests, worker_with_expired_entry_is_waited_for);
  tcase_add_test (tests, start_without_a_result_is_abandoned);
  tcase_add_test (tests, waiting_stops_are_not_queued_again);
  tcase_add_test (tests, urgent_starts_are_sent_first);
  tcase_add_test (tests, placement_pauses_while_starts_are_queued);
  tcase_add_test (tests, confirmed_stop_ends_at_the_next_poll);
  tcase_add_test (tests, work_is_saved_before_a_worker_leaves);
  tcase_add_test (tests, time_until_a_worker_leaves_counts_from_the_notice);
  tcase_add_test (tests, work_that_ends_in_time_stays_on_a_leaving_worker);
  tcase_add_test (tests, work_that_cannot_be_saved_stays_on_a_leaving_worker);
  tcase_add_test (tests, gang_larger_than_a_rack_does_not_wait_for_one);
  tcase_add_test (tests, gang_does_not_wait_for_a_rack_while_most_is_free);
  tcase_add_test (tests, failure_counts_once_after_many_others);
  tcase_add_loop_test (tests, no_job_fails_before_its_attempts_are_used, 0, 40);
  tcase_add_test (tests, earlier_due_times_than_those_with_progress_run);
  tcase_add_test (tests, jobs_of_a_removed_queue_go_on);
  tcase_add_test (tests, job_is_started_once_a_worker_has_begun_a_task);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
