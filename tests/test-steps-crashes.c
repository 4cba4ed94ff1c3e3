#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>

/* According to the platform, a task must not be started three times more after
 * three workers have crashed under it. */
#define MAX_STARTS 5

static const struct steps_model_crash crash_soon = {
  .after_ms = 10,
  .down_ms = 3200,
  .new_id = true,
};

static const struct steps_model_crash crash_same_id = {
  .after_ms = 10,
  .down_ms = 3200,
};

/* Adds job 1, whose task 0 crashes its workers. */
static void
add_crashing_job (struct steps_model *model,
                  const struct gr_step_spec *step,
                  uint32_t count,
                  const struct steps_model_crash *crash)
{
  struct gr_step_spec spec = *step;

  spec.count = count;
  steps_model_add_job (model, 1, "normal", "a", &spec, 1, 6000);
  steps_model_crash_job (model, 1, 0, crash);
}

/* Returns early if job 1 has failed. */
static void
run_until_starts (struct steps_model *model, uint32_t starts)
{
  for (int i = 0; i < 500 && steps_model_task_starts (model, 1, 0) < starts
                  && steps_model_state (model, 1) != GR_JOB_FAILED;
       i++)
    steps_model_run (model, 20);
}

static void
check_given_up (struct steps_model *model, uint32_t n_tasks)
{
  steps_model_run (model, 30000);
  for (uint32_t i = 0; i < n_tasks; i++)
    ck_assert_uint_le (steps_model_task_starts (model, 1, i), MAX_STARTS);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  ck_assert_uint_eq (steps_model_running (model, 1), 0);
}

/* The first task, the last one, and then all of them crash their workers. */
static void
check_crashing_job_is_given_up (const struct gr_step_spec *step,
                                uint32_t count,
                                const struct steps_model_crash *crash)
{
  const uint32_t guilty[] = { 0, count - 1, STEPS_MODEL_ALL_TASKS };

  for (size_t i = 0; i < G_N_ELEMENTS (guilty); i++)
    {
      struct steps_model *model = steps_fixture_create (32, 1);

      add_crashing_job (model, step, count, crash);
      steps_model_crash_job (model, 1, guilty[i], crash);
      check_given_up (model, count);
      steps_fixture_destroy (model);
    }
}

/* A run that was lost with its worker did not count as an attempt. A task that
 * crashes its workers was started without end and took down one after the
 * other. */
START_TEST (task_that_crashes_workers_is_given_up)
{
  check_crashing_job_is_given_up (&steps_plain, 1, &crash_soon);
}
END_TEST

/* As above; the crash of one member ends the runs of all others. */
START_TEST (gang_that_crashes_workers_is_given_up)
{
  check_crashing_job_is_given_up (&steps_gang, 8, &crash_soon);
}
END_TEST

/* As above, if the crashes are counted for the wrong one of many tasks. */
START_TEST (wide_step_that_crashes_workers_is_given_up)
{
  check_crashing_job_is_given_up (&steps_plain, 60, &crash_soon);
}
END_TEST

/* As above, if a crash counts only for a start that was confirmed. */
START_TEST (crash_before_the_start_is_answered_counts)
{
  struct steps_model_crash at_once = crash_soon;

  at_once.after_ms = 0;
  check_crashing_job_is_given_up (&steps_plain, 1, &at_once);
  check_crashing_job_is_given_up (&steps_gang, 8, &at_once);
}
END_TEST

/* As above, if a run that was polled no longer counts as crashed. */
START_TEST (crash_two_seconds_after_the_start_counts)
{
  struct steps_model_crash later = crash_soon;

  later.after_ms = 2000;
  check_crashing_job_is_given_up (&steps_plain, 1, &later);
  check_crashing_job_is_given_up (&steps_gang, 8, &later);
}
END_TEST

/* As above, if a loss is noticed only by the new incarnation of the worker. */
START_TEST (crash_seen_after_the_restart_counts)
{
  struct steps_model_crash silent = { .silent = true };

  silent.after_ms = 10;
  silent.down_ms = 300;
  check_crashing_job_is_given_up (&steps_plain, 1, &silent);
  check_crashing_job_is_given_up (&steps_gang, 8, &silent);
  silent.after_ms = 0;
  check_crashing_job_is_given_up (&steps_plain, 1, &silent);
  silent.after_ms = 2000;
  silent.down_ms = 3200;
  check_crashing_job_is_given_up (&steps_plain, 1, &silent);
}
END_TEST

/* As above, if a crash counts only once idle workers report that are never
 * polled because they are draining or closed. */
START_TEST (crash_beside_leaving_workers_counts)
{
  for (uint32_t leaving = 1; leaving <= 6; leaving++)
    for (uint32_t closed = 0; closed < 2; closed++)
      {
        struct steps_model *model = steps_fixture_create (2 + leaving, 1);

        for (uint32_t i = 0; i < leaving; i++)
          {
            char id[16];

            g_snprintf (id, sizeof id, "w%03u", i);
            if (closed == 1)
              gr_steps_close_worker (steps_model_core (model), id, true);
            else
              steps_model_drain_worker (model, i, true);
          }
        add_crashing_job (model, &steps_plain, 1, &crash_same_id);
        check_given_up (model, 1);
        steps_fixture_destroy (model);
      }
}
END_TEST

/* As above, if a crash is noticed within a second after the start, but the run
 * is released later. */
START_TEST (crash_seen_a_second_after_the_start_counts)
{
  struct steps_model_crash silent = { .after_ms = 10, .silent = true };

  for (silent.down_ms = 500; silent.down_ms <= 1200; silent.down_ms += 20)
    for (int32_t transit_ms = 0; transit_ms <= 40; transit_ms += 40)
      {
        struct steps_model *model = steps_fixture_create (16, 1);

        steps_model_set_faults (model, &(struct steps_model_faults){
                                           .max_transit_ms = transit_ms });
        add_crashing_job (model, &steps_plain, 1, &silent);
        check_given_up (model, 1);
        steps_fixture_destroy (model);
      }
}
END_TEST

/* As above, if a crash is dismissed because a worker that was asked for a
 * report goes down before it answers. */
START_TEST (late_report_does_not_dismiss_a_crash)
{
  struct steps_model_crash silent = { .after_ms = 10, .silent = true };

  for (silent.down_ms = 1020; silent.down_ms <= 1400; silent.down_ms += 20)
    {
      struct steps_model *model = steps_fixture_create (16, 1);

      add_crashing_job (model, &steps_plain, 1, &silent);
      check_given_up (model, 1);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* Jobs 2 to n + 1, of 20 tasks each. */
static void
add_innocent_jobs (struct steps_model *model, uint32_t n, int64_t work_ms)
{
  struct gr_step_spec many = steps_plain;

  many.count = 20;
  for (uint32_t i = 2; i < n + 2; i++)
    steps_model_add_job (model, i, "normal", "a", &many, 1, work_ms);
}

/* As above, if crashes are not counted for one of several tasks on a worker. */
START_TEST (crashing_task_among_many_others_is_given_up)
{
  struct steps_model *model = steps_fixture_create (16, 1);

  add_innocent_jobs (model, 4, 6000);
  steps_model_run (model, 500);
  add_crashing_job (model, &steps_plain, 1, &crash_soon);
  check_given_up (model, 1);
  steps_fixture_destroy (model);
}
END_TEST

/* As above, if each owner counts from zero. */
START_TEST (crashes_count_over_a_takeover)
{
  for (uint32_t starts = 1; starts <= 3; starts++)
    for (int64_t pause_ms = 0; pause_ms <= 1000; pause_ms += 250)
      {
        struct steps_model *model = steps_fixture_create (16, 1);

        add_crashing_job (model, &steps_plain, 1, &crash_soon);
        run_until_starts (model, starts);
        steps_model_run (model, pause_ms);
        steps_model_new_owner (model);
        check_given_up (model, 1);
        steps_fixture_destroy (model);
      }
}
END_TEST

/* As above, if each of several owners in a row counts from zero. */
START_TEST (crashes_count_over_several_takeovers)
{
  struct steps_model *model = steps_fixture_create (16, 1);

  add_crashing_job (model, &steps_plain, 1, &crash_soon);
  for (uint32_t starts = 1; starts <= 3; starts++)
    {
      run_until_starts (model, starts);
      steps_model_run (model, 700);
      steps_model_new_owner (model);
    }
  check_given_up (model, 1);
  steps_fixture_destroy (model);
}
END_TEST

/* As above, if crashes of runs that a former owner started do not count. */
START_TEST (crashes_of_adopted_runs_count)
{
  struct steps_model_crash later = crash_soon;

  later.after_ms = 2000;
  for (uint32_t takeovers = 1; takeovers <= 4; takeovers++)
    {
      struct steps_model *model = steps_fixture_create (32, 1);

      add_crashing_job (model, &steps_plain, 1, &later);
      for (uint32_t starts = 1; starts <= takeovers; starts++)
        {
          run_until_starts (model, starts);
          steps_model_run (model, 800);
          steps_model_new_owner (model);
        }
      check_given_up (model, 1);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* As above, if a task is started once more while its last crash is not assessed
 * yet. */
START_TEST (crashes_of_running_tasks_count_over_a_takeover)
{
  struct steps_model_crash later = crash_same_id;

  later.after_ms = 2000;
  for (int64_t after_ms = 20; after_ms <= 6000; after_ms += 60)
    {
      struct steps_model *model = steps_fixture_create (5, 1);

      steps_model_run (model, 500);
      add_crashing_job (model, &steps_plain, 1, &later);
      steps_model_run (model, after_ms);
      steps_model_new_owner (model);
      check_given_up (model, 1);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* As above, if a crash counts only once it is durable. */
START_TEST (crashes_count_while_the_store_is_away)
{
  struct steps_model *model = steps_fixture_create (16, 1);

  steps_model_set_store (model, false);
  add_crashing_job (model, &steps_plain, 1, &crash_soon);
  steps_model_run (model, 5000);
  ck_assert_uint_le (steps_model_task_starts (model, 1, 0), MAX_STARTS);
  steps_model_set_store (model, true);
  check_given_up (model, 1);
  steps_fixture_destroy (model);
}
END_TEST

/* As above. Failed runs of lasting tasks have no limit, but each crash takes a
 * worker away from other work. */
START_TEST (lasting_task_that_crashes_workers_is_given_up)
{
  struct gr_step_spec lasting = steps_plain;

  lasting.lasting = true;
  lasting.max_away = 1;
  check_crashing_job_is_given_up (&lasting, 1, &crash_soon);
  check_crashing_job_is_given_up (&lasting, 4, &crash_soon);
}
END_TEST

static void
check_innocent_jobs_complete (struct steps_model *model,
                              uint32_t n,
                              int64_t within_ms)
{
  steps_model_run (model, within_ms);
  for (uint32_t i = 2; i < n + 2; i++)
    ck_assert_msg (steps_model_state (model, i) == GR_JOB_COMPLETED,
                   "job %u is in state %d after %u starts", i,
                   steps_model_state (model, i), steps_model_starts (model, i));
  steps_fixture_destroy (model);
}

/* Crashes must not count against tasks that run beside the one that causes
 * them, or their jobs are shown as failed. */
START_TEST (work_beside_a_crashing_task_completes)
{
  struct steps_model_crash crash = crash_soon;

  for (uint32_t i = 0; i < 6; i++)
    {
      struct steps_model *model = steps_fixture_create (16, 1);
      struct gr_step_spec one = steps_plain;

      crash.after_ms = i % 3 == 0 ? 0 : i % 3 == 1 ? 10 : 2000;
      one.count = 1;
      one.needs.accelerators = i < 3 ? 1 : 4;
      add_innocent_jobs (model, 4, 6000);
      steps_model_run (model, 500);
      steps_model_add_job (model, 1, "urgent", "b", &one, 1, 6000);
      steps_model_crash_job (model, 1, 0, &crash);
      check_innocent_jobs_complete (model, 4, 60000);
    }
}
END_TEST

/* As above, when all other workers are full, so that the tasks that a crash
 * ended are placed together again. */
START_TEST (work_beside_a_crashing_task_on_full_workers_completes)
{
  struct steps_model_crash crash = crash_soon;

  for (uint32_t i = 0; i < 3; i++)
    {
      struct steps_model *model = steps_fixture_create (5, 1);

      crash.after_ms = i == 0 ? 0 : i == 1 ? 10 : 2000;
      add_crashing_job (model, &steps_plain, 1, &crash);
      add_innocent_jobs (model, 2, 12000);
      check_innocent_jobs_complete (model, 2, 120000);
    }
}
END_TEST

/* A task that lost a worker waited without end for one on which no other task
 * had just started, although most slots were free. */
START_TEST (task_that_lost_a_worker_starts_beside_short_tasks)
{
  for (int64_t every_ms = 100; every_ms <= 300; every_ms += 100)
    {
      struct steps_model *model = steps_fixture_create (1, 1);
      struct gr_step_spec one = steps_plain;

      one.count = 1;
      steps_model_add_job (model, 1, "batch", "a", &one, 1, 4000);
      steps_model_run (model, 400);
      steps_model_crash_worker (model, 0,
                                &(struct steps_model_crash){ .down_ms = 1500 });
      for (uint32_t i = 0; i < 8000 / every_ms; i++)
        {
          steps_model_add_job (model, i + 2, "normal", "b", &one, 1, 300);
          steps_model_run (model, every_ms);
        }
      ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* The worker that has started a run of job 1 since the last call. */
static uint32_t
worker_with_starts (struct steps_model *model, uint32_t workers, uint32_t *seen)
{
  ck_assert_int_ne (steps_model_state (model, 1), GR_JOB_FAILED);
  for (uint32_t i = 0; i < workers; i++)
    if (steps_model_starts_on (model, i) > seen[i])
      {
        seen[i] = steps_model_starts_on (model, i);
        return i;
      }
  ck_abort_msg ("no worker has started a run");
  return 0;
}

/* Workers that crash under a task without its fault must not use up its
 * attempts. */
START_TEST (long_task_outlives_crashes_that_it_does_not_cause)
{
  struct steps_model *model = steps_fixture_create (8, 1);
  struct gr_step_spec one = steps_plain;
  uint32_t seen[8] = { 0 };

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 12000);
  for (int i = 0; i < 4; i++)
    {
      steps_model_run (model, 8000);
      steps_model_crash_worker (model, worker_with_starts (model, 8, seen),
                                &(struct steps_model_crash){ .down_ms = 3200 });
    }
  steps_model_run (model, 20000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 5);
  steps_fixture_destroy (model);
}
END_TEST

/* As above, with many tasks and workers that crash at random. */
START_TEST (workers_that_crash_by_themselves_fail_no_job)
{
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct steps_model *model = steps_fixture_create (16, seed);
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      struct gr_step_spec many = steps_plain;

      many.count = 10;
      many.checkpointing = true;
      for (uint32_t i = 1; i <= 4; i++)
        steps_model_add_job (model, i, "normal", "a", &many, 1, 10000);
      for (int i = 0; i < 20; i++)
        {
          steps_model_run (model, g_rand_int_range (rand, 800, 2400));
          steps_model_crash_worker (
              model, (uint32_t)g_rand_int_range (rand, 0, 16),
              &(struct steps_model_crash){ .down_ms = 3200,
                                           .silent = i % 2 == 1 });
        }
      steps_model_run (model, 60000);
      for (uint32_t i = 1; i <= 4; i++)
        ck_assert_msg (steps_model_state (model, i) == GR_JOB_COMPLETED,
                       "seed %u: job %u is in state %d", seed, i,
                       steps_model_state (model, i));
      steps_fixture_destroy (model);
    }
}
END_TEST

/* A worker that leaves has not crashed, although its runs end with it. */
START_TEST (workers_that_leave_fail_no_job)
{
  struct steps_model *model = steps_fixture_create (16, 1);
  struct gr_step_spec one = steps_plain;
  uint32_t seen[16] = { 0 };

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 3000);
  for (int i = 0; i < 6; i++)
    {
      steps_model_run (model, 400);
      steps_model_remove_worker (model, worker_with_starts (model, 16, seen),
                                 600);
    }
  steps_model_run (model, 5000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), 7);
  steps_fixture_destroy (model);
}
END_TEST

/* Runs that lapse on a worker that is cut off were not ended by a crash. */
START_TEST (workers_that_are_cut_off_fail_no_job)
{
  struct steps_model *model = steps_fixture_create (16, 1);
  struct gr_step_spec one = steps_plain;
  uint32_t seen[16] = { 0 };

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 20000);
  for (int i = 0; i < 6; i++)
    {
      uint32_t worker;

      steps_model_run (model, 400);
      worker = worker_with_starts (model, 16, seen);
      steps_model_set_worker_unreachable (model, worker, true);
      steps_model_run (model, 9000);
      steps_model_set_worker_unreachable (model, worker, false);
    }
  steps_model_run (model, 25000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Workers 0 to n - 1 crash behind a cut, so that those without runs are not
 * noticed, and the first run of job 1 is lost with one of them. */
static struct steps_model *
create_with_gone_workers (const struct gr_step_spec *step,
                          uint32_t workers,
                          uint32_t n,
                          const struct steps_model_crash *crash)
{
  struct steps_model *model = steps_fixture_create (workers, 1);

  steps_model_add_job (model, 1, "normal", "a", step, 1, 3000);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_running (model, 1), step->count);
  for (uint32_t i = 0; i < n; i++)
    steps_model_crash_worker (model, i, crash);
  return model;
}

static void
check_completes_beside_gone_workers (const struct gr_step_spec *step,
                                     uint32_t workers,
                                     uint32_t n)
{
  for (uint32_t i = 0; i < 8; i++)
    {
      const struct steps_model_crash crash = {
        .down_ms = 3200,
        .unnoticed = true,
        .orders_unknown = i % 2 == 0,
        .new_id = i / 2 % 2 == 1,
        .silent = i / 4 == 1,
      };
      struct steps_model *model =
          create_with_gone_workers (step, workers, n, &crash);

      steps_model_run (model, 20000);
      ck_assert_msg (steps_model_state (model, 1) == GR_JOB_COMPLETED,
                     "variant %u: state %d after %u starts", i,
                     steps_model_state (model, 1),
                     steps_model_task_starts (model, 1, 0));
      steps_fixture_destroy (model);
    }
}

/* A task was started on one worker after the other that was gone already, and
 * given up although no process had received its starts. */
START_TEST (task_beside_workers_that_are_gone_completes)
{
  struct gr_step_spec one = steps_plain;

  one.count = 1;
  check_completes_beside_gone_workers (&one, 16, 15);
  check_completes_beside_gone_workers (&one, 16, 16);
  check_completes_beside_gone_workers (&steps_plain, 16, 15);
  check_completes_beside_gone_workers (&steps_gang, 32, 24);
  check_completes_beside_gone_workers (&steps_gang, 32, 32);
}
END_TEST

/* As above, if workers crash in several waves. */
START_TEST (task_in_several_waves_of_gone_workers_completes)
{
  const struct steps_model_crash crash = { .down_ms = 2000,
                                           .unnoticed = true,
                                           .orders_unknown = true };
  struct gr_step_spec one = steps_plain;
  struct steps_model *model;

  one.count = 1;
  model = create_with_gone_workers (&one, 16, 8, &crash);
  steps_model_run (model, 3000);
  for (uint32_t i = 4; i < 12; i++)
    steps_model_crash_worker (model, i, &crash);
  steps_model_run (model, 3000);
  for (uint32_t i = 0; i < 16; i += 2)
    steps_model_crash_worker (model, i, &crash);
  steps_model_run (model, 20000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_fixture_destroy (model);
}
END_TEST

/* Takes the start of job 1's task after a tick of the core; false if there is
 * none. */
static bool
take_start (struct gr_steps *steps, int64_t *now_ms, struct gr_order *order)
{
  *now_ms += 20;
  gr_steps_tick (steps, *now_ms, *now_ms);
  return gr_steps_take_order (steps, NULL, NULL, order)
         && order->kind == GR_ORDER_START;
}

static enum gr_job_state
core_state (struct gr_steps *steps)
{
  struct gr_job_progress progress;
  enum gr_job_state state = GR_JOB_FAILED;

  if (gr_steps_progress (steps, "0000000000000001", &progress))
    state = progress.state;
  gr_job_progress_clear (&progress);
  return state;
}

static void
report_worker (struct gr_steps *steps, uint32_t worker, int64_t now_ms)
{
  const struct gr_run_report report = {
    .incarnation_unix_ms = 1,
    .all_ended = true,
    .sent_ms = now_ms,
  };
  char id[16];

  g_snprintf (id, sizeof id, "w%03u", worker);
  gr_steps_process_report (steps, id, &report, now_ms);
}

static void
report_all (struct gr_steps *steps, uint32_t workers, int64_t now_ms)
{
  for (uint32_t i = 0; i < workers; i++)
    report_worker (steps, i, now_ms);
}

/* Takes the next start of job 1's task within the second for which it may be
 * held back while crashes are assessed; workers report all the while. */
static bool
take_later_start (struct gr_steps *steps,
                  uint32_t workers,
                  int64_t *now_ms,
                  struct gr_order *order)
{
  for (int i = 0; i < 50; i++)
    {
      if (take_start (steps, now_ms, order))
        return true;
      report_all (steps, workers, *now_ms);
    }
  return false;
}

/* A start that was not sent counted as a crash if the refusal of a poll was
 * handled first. */
START_TEST (start_that_was_not_sent_never_counts)
{
  for (uint32_t gone_first = 0; gone_first < 2; gone_first++)
    {
      struct steps_model *model = steps_fixture_create (16, 1);
      struct gr_steps *steps = steps_model_core (model);
      struct gr_step_spec one = steps_plain;
      struct gr_order order;
      int64_t now_ms = steps_model_now_ms (model);

      one.count = 1;
      steps_model_add_job (model, 1, "normal", "a", &one, 1, 3000);
      for (uint32_t i = 0; i < 16; i++)
        {
          report_all (steps, 16, now_ms);
          ck_assert_msg (take_start (steps, &now_ms, &order), "no start %u", i);
          if (gone_first)
            gr_steps_worker_gone (steps, order.worker, now_ms + 4, now_ms + 5);
          gr_steps_order_result (steps, &order, GR_ORDER_NOT_SENT, now_ms + 6);
          if (!gone_first)
            gr_steps_worker_gone (steps, order.worker, now_ms + 4, now_ms + 7);
          ck_assert_int_ne (core_state (steps), GR_JOB_FAILED);
        }
      steps_fixture_destroy (model);
    }
}
END_TEST

/* The first refusal of a poll is handled before the result of the start, which
 * may still reach a process; the second one decides. */
START_TEST (start_that_was_answered_late_counts)
{
  static const enum gr_order_result results[] = { GR_ORDER_DONE,
                                                  GR_ORDER_UNKNOWN };

  for (uint32_t k = 0; k < 2; k++)
    {
      struct steps_model *model = steps_fixture_create (16, 1);
      struct gr_steps *steps = steps_model_core (model);
      struct gr_step_spec one = steps_plain;
      struct gr_order order;
      int64_t now_ms = steps_model_now_ms (model);
      uint32_t starts = 0;

      one.count = 1;
      steps_model_add_job (model, 1, "normal", "a", &one, 1, 3000);
      for (report_all (steps, 16, now_ms);
           take_later_start (steps, 16, &now_ms, &order) && starts < 10;
           starts++)
        {
          gr_steps_worker_gone (steps, order.worker, now_ms + 4, now_ms + 5);
          gr_steps_order_result (steps, &order, results[k], now_ms + 6);
          gr_steps_worker_gone (steps, order.worker, now_ms + 7, now_ms + 8);
          report_all (steps, 16, now_ms + 10);
        }
      ck_assert_int_eq (core_state (steps), GR_JOB_FAILED);
      ck_assert_uint_eq (starts, results[k] == GR_ORDER_DONE ? 3 : 4);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* A task was given up for a crash although its start turned out not to have
 * been sent, or started again before that was known. */
START_TEST (task_waits_for_the_result_of_its_last_start)
{
  for (uint32_t answered = 0; answered < 2; answered++)
    {
      struct steps_model *model = steps_fixture_create (16, 1);
      struct gr_steps *steps = steps_model_core (model);
      struct gr_step_spec one = steps_plain;
      struct gr_order order;
      struct gr_order last;
      int64_t now_ms = steps_model_now_ms (model);

      one.count = 1;
      steps_model_add_job (model, 1, "normal", "a", &one, 1, 3000);
      for (uint32_t i = 0; i < 4; i++)
        {
          report_all (steps, 16, now_ms);
          ck_assert (take_later_start (steps, 16, &now_ms, &order));
          last = order;
          if (i < 3)
            gr_steps_order_result (steps, &order, GR_ORDER_UNKNOWN, now_ms);
          gr_steps_worker_gone (steps, order.worker, now_ms + 4, now_ms + 5);
        }
      ck_assert_int_ne (core_state (steps), GR_JOB_FAILED);
      ck_assert (!take_later_start (steps, 16, &now_ms, &order));
      gr_steps_order_result (steps, &last,
                             answered ? GR_ORDER_NOT_SENT : GR_ORDER_UNKNOWN,
                             now_ms);
      ck_assert_int_ne (core_state (steps), GR_JOB_FAILED);
      gr_steps_worker_gone (steps, last.worker, now_ms + 1, now_ms + 2);
      ck_assert_int_eq (take_later_start (steps, 16, &now_ms, &order),
                        answered);
      ck_assert_int_eq (core_state (steps) == GR_JOB_FAILED, !answered);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* The worker reports the run of job 1's task as running. */
static void
report_running (struct gr_steps *steps,
                const struct gr_order *order,
                int64_t now_ms)
{
  struct gr_run_status running = { .run = order->run, .percent = 10 };

  g_strlcpy (running.task, order->task, sizeof running.task);
  gr_steps_process_report (steps, order->worker,
                           &(struct gr_run_report){ .running = &running,
                                                    .n_running = 1,
                                                    .incarnation_unix_ms = 1,
                                                    .all_ended = true,
                                                    .sent_ms = now_ms },
                           now_ms + 1);
}

/* Crashes of all kinds that the core holds against job 1's task. */
static uint32_t
crashes_held_against_task (struct gr_steps *steps)
{
  struct gr_job_progress progress;
  uint32_t crashes = 0;

  ck_assert (gr_steps_progress (steps, "0000000000000001", &progress));
  for (size_t i = 0; i < progress.n_tasks; i++)
    crashes += progress.tasks[i].crashes + progress.tasks[i].unconfirmed_crashes
               + progress.tasks[i].dismissed_crashes;
  gr_job_progress_clear (&progress);
  return crashes;
}

/* A crash counted against a task whose run the worker had already stopped. */
START_TEST (crash_after_a_confirmed_stop_does_not_count)
{
  for (uint32_t stopped = 0; stopped < 2; stopped++)
    {
      struct steps_model *model = steps_fixture_create (16, 1);
      struct gr_steps *steps = steps_model_core (model);
      struct gr_step_spec one = steps_plain;
      struct gr_order order;
      struct gr_order stop;
      int64_t now_ms = steps_model_now_ms (model);

      one.count = 1;
      one.checkpointing = true;
      steps_model_add_job (model, 1, "normal", "a", &one, 1, 3000);
      report_all (steps, 16, now_ms);
      ck_assert (take_start (steps, &now_ms, &order));
      gr_steps_order_result (steps, &order, GR_ORDER_DONE, now_ms);
      report_running (steps, &order, now_ms);
      gr_steps_evacuate_worker (steps, order.worker, true);
      ck_assert (gr_steps_take_order (steps, NULL, NULL, &stop));
      ck_assert_int_eq (stop.kind, GR_ORDER_STOP);
      if (stopped)
        gr_steps_order_result (steps, &stop, GR_ORDER_DONE, now_ms + 2);
      gr_steps_worker_gone (steps, order.worker, now_ms + 4, now_ms + 5);
      ck_assert_uint_eq (crashes_held_against_task (steps), stopped ? 0 : 1);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* Guards against a task that is given up, or whose run is started again,
 * because a network refuses connections to its worker again and again. */
START_TEST (refusals_of_a_live_worker_count_as_no_crash)
{
  struct steps_model *model = steps_fixture_create (16, 1);
  struct gr_steps *steps = steps_model_core (model);
  struct gr_step_spec one = steps_plain;
  struct gr_order order;
  struct gr_order other;
  int64_t now_ms = steps_model_now_ms (model);

  one.count = 1;
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 3000);
  report_all (steps, 16, now_ms);
  ck_assert (take_start (steps, &now_ms, &order));
  gr_steps_order_result (steps, &order, GR_ORDER_DONE, now_ms + 1);
  for (uint32_t i = 0; i < 10; i++)
    {
      gr_steps_extend_worker_lease (steps, order.worker, now_ms + 2000);
      gr_steps_worker_refused (steps, order.worker, now_ms + 4, now_ms + 5);
      for (uint32_t k = 0; k < 20; k++)
        {
          now_ms += 20;
          for (uint32_t w = 0; w < 16; w++)
            if (w != (uint32_t)atoi (order.worker + 1))
              report_worker (steps, w, now_ms);
          ck_assert (!take_start (steps, &now_ms, &other));
        }
      /* Only crashes soon after the start count. */
      if (i == 0)
        ck_assert_uint_eq (crashes_held_against_task (steps), 1);
      now_ms += 20;
      report_running (steps, &order, now_ms);
      ck_assert_uint_eq (crashes_held_against_task (steps), 0);
    }
  ck_assert_int_ne (core_state (steps), GR_JOB_FAILED);
  steps_fixture_destroy (model);
}
END_TEST

/* A worker that is cut off must not hold up a start that another can take. */
START_TEST (late_report_does_not_hold_up_a_start)
{
  struct steps_model *model = steps_fixture_create (8, 1);
  struct gr_steps *steps = steps_model_core (model);
  struct gr_step_spec one = steps_plain;
  struct gr_order order;
  int64_t now_ms;
  bool started = false;

  one.count = 1;
  steps_model_run (model, 3000);
  now_ms = steps_model_now_ms (model);
  steps_model_add_job (model, 1, "normal", "a", &one, 1, 3000);
  ck_assert (take_start (steps, &now_ms, &order));
  gr_steps_order_result (steps, &order, GR_ORDER_DONE, now_ms + 1);
  gr_steps_worker_gone (steps, order.worker, now_ms + 4, now_ms + 5);
  gr_steps_set_worker_reachable (steps, order.worker, false, now_ms + 5);
  for (int i = 0; i < 15 && !started; i++)
    {
      started = take_start (steps, &now_ms, &order);
      if (gr_steps_poll_need (steps, "w002") == GR_POLL_NOW)
        report_worker (steps, 2, now_ms);
    }
  ck_assert (started);
  ck_assert_str_eq (order.worker, "w002");
  steps_fixture_destroy (model);
}
END_TEST

/* As crashes_count_over_a_takeover, for starts that are never answered. */
START_TEST (unconfirmed_crashes_count_over_a_takeover)
{
  struct steps_model_crash at_once = crash_soon;

  at_once.after_ms = 0;
  for (uint32_t starts = 1; starts <= 3; starts++)
    for (int64_t pause_ms = 0; pause_ms <= 1000; pause_ms += 250)
      {
        struct steps_model *model = steps_fixture_create (16, 1);

        add_crashing_job (model, &steps_plain, 1, &at_once);
        run_until_starts (model, starts);
        steps_model_run (model, pause_ms);
        steps_model_new_owner (model);
        check_given_up (model, 1);
        steps_fixture_destroy (model);
      }
}
END_TEST

/* A task that crashes its workers is given up in time also where others are
 * gone, and the workers that it has not reached stay up. */
START_TEST (crashing_task_beside_workers_that_are_gone_is_given_up)
{
  const struct steps_model_crash gone = { .down_ms = 3200,
                                          .unnoticed = true,
                                          .orders_unknown = true };
  struct steps_model_crash crash = crash_soon;

  for (uint32_t i = 0; i < 3; i++)
    {
      struct steps_model *model = steps_fixture_create (32, 1);

      crash.after_ms = i == 0 ? 0 : i == 1 ? 10 : 2000;
      for (uint32_t k = 0; k < 32; k += 2)
        steps_model_crash_worker (model, k, &gone);
      add_crashing_job (model, &steps_plain, 1, &crash);
      check_given_up (model, 1);
      steps_fixture_destroy (model);
    }
}
END_TEST

/* Polls are charged, so that gangs on several racks must not request those of
 * all idle workers at once. */
START_TEST (polls_before_a_start_are_bounded)
{
  struct steps_model *model = steps_model_create (64, 16, 1);
  struct gr_steps *steps = steps_model_core (model);
  struct gr_step_spec gang = steps_gang;
  struct gr_order orders[33];
  int64_t now_ms;
  uint32_t gone = 0;
  uint32_t needed = 0;

  steps_model_set_queue (model, "normal", 1, 2);
  steps_model_run (model, 3000);
  now_ms = steps_model_now_ms (model) + 20;
  for (uint32_t i = 0; i < 4; i++)
    {
      char rack[16];

      g_snprintf (rack, sizeof rack, "rack%u", i);
      gang.label = rack;
      steps_model_add_job (model, i + 1, "normal", "a", &gang, 1, 3000);
    }
  gr_steps_tick (steps, now_ms, now_ms);
  while (gone < 33 && gr_steps_take_order (steps, NULL, NULL, &orders[gone]))
    gr_steps_order_result (steps, &orders[gone++], GR_ORDER_DONE, now_ms + 1);
  ck_assert_uint_eq (gone, 32);
  for (uint32_t i = 0; i < gone; i++)
    {
      gr_steps_worker_gone (steps, orders[i].worker, now_ms + 4, now_ms + 5);
      gr_steps_set_worker_reachable (steps, orders[i].worker, false,
                                     now_ms + 5);
    }
  gr_steps_tick (steps, now_ms + 20, now_ms + 20);
  while (gr_steps_take_order (steps, NULL, NULL, &orders[0]))
    ck_assert_int_ne (orders[0].kind, GR_ORDER_START);
  for (uint32_t i = 0; i < 64; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "w%03u", i);
      needed += gr_steps_poll_need (steps, id) == GR_POLL_NOW;
    }
  ck_assert_uint_gt (needed, gone);
  ck_assert_uint_le (needed, gone + 8);
  steps_fixture_destroy (model);
}
END_TEST

/* Starts relied on the capacity that a worker had before it shrank, and
 * exceeded it on a worker that does not reject them. */
START_TEST (shrunk_capacity_gets_no_new_work)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct steps_model *model = steps_fixture_create (8, seed);
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      struct gr_step_spec step = steps_plain;

      steps_model_allow_overload (model);
      steps_model_set_faults (
          model, &(struct steps_model_faults){ .lose_answer = 0.05,
                                               .lose_poll = 0.05 });
      step.checkpointing = true;
      for (uint32_t i = 1; i <= 60; i++)
        {
          step.needs.accelerators = (uint32_t)g_rand_int_range (rand, 1, 5);
          steps_model_add_job (model, i, i % 5 == 0 ? "urgent" : "batch", "a",
                               &step, 1, g_rand_int_range (rand, 500, 4000));
          steps_model_set_capacity (
              model, (uint32_t)g_rand_int_range (rand, 0, 8),
              &(struct gr_resources){
                  128000, 262144, (uint32_t)g_rand_int_range (rand, 1, 9) });
          if (i == 30)
            steps_model_new_owner (model);
          steps_model_run (model, 1000);
        }
      steps_fixture_destroy (model);
    }
}
END_TEST

/* Runs on a worker that had shrunk were stopped for an urgent task that does
 * not fit there any more. */
START_TEST (nothing_is_stopped_for_capacity_that_is_gone)
{
  struct steps_model *model = steps_fixture_create (2, 1);
  struct gr_step_spec many = steps_plain;
  struct gr_step_spec large = steps_plain;

  many.count = 16;
  large.count = 1;
  large.needs.accelerators = 4;
  steps_model_set_guarantee (model, "b", 8);
  steps_model_add_job (model, 1, "batch", "a", &many, 1, 60000);
  steps_model_run (model, 2000);
  ck_assert_uint_eq (steps_model_running (model, 1), 16);
  steps_model_set_capacity (model, 0,
                            &(struct gr_resources){ 128000, 262144, 2 });
  steps_model_run (model, 5000);
  steps_model_add_job (model, 2, "urgent", "b", &large, 1, 10000);
  steps_model_run (model, 2700);
  ck_assert_uint_eq (steps_model_running (model, 2), 1);
  ck_assert_uint_eq (steps_model_running (model, 1), 12);
  steps_fixture_destroy (model);
}
END_TEST

/* Capacity that grows again must be used again. */
START_TEST (grown_capacity_gets_new_work)
{
  struct steps_model *model = steps_fixture_create (1, 1);

  steps_model_set_capacity (model, 0,
                            &(struct gr_resources){ 128000, 262144, 1 });
  steps_model_run (model, 5000);
  steps_model_add_job (model, 1, "normal", "a", &steps_plain, 1, 4000);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_model_set_capacity (model, 0,
                            &(struct gr_resources){ 128000, 262144, 8 });
  steps_model_run (model, 2000);
  ck_assert_uint_eq (steps_model_running (model, 1), 4);
  steps_fixture_destroy (model);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("steps-crashes");
  TCase *crashes = tcase_create ("crashes");
  TCase *capacity = tcase_create ("capacity");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (crashes, 30);
  tcase_add_test (crashes, task_that_crashes_workers_is_given_up);
  tcase_add_test (crashes, gang_that_crashes_workers_is_given_up);
  tcase_add_test (crashes, wide_step_that_crashes_workers_is_given_up);
  tcase_add_test (crashes, crash_before_the_start_is_answered_counts);
  tcase_add_test (crashes, crash_two_seconds_after_the_start_counts);
  tcase_add_test (crashes, crash_seen_after_the_restart_counts);
  tcase_add_test (crashes, crash_beside_leaving_workers_counts);
  tcase_add_test (crashes, crash_seen_a_second_after_the_start_counts);
  tcase_add_test (crashes, late_report_does_not_dismiss_a_crash);
  tcase_add_test (crashes, crashing_task_among_many_others_is_given_up);
  tcase_add_test (crashes, crashes_count_over_a_takeover);
  tcase_add_test (crashes, crashes_count_over_several_takeovers);
  tcase_add_test (crashes, crashes_of_adopted_runs_count);
  tcase_add_test (crashes, crashes_of_running_tasks_count_over_a_takeover);
  tcase_add_test (crashes, crashes_count_while_the_store_is_away);
  tcase_add_test (crashes, lasting_task_that_crashes_workers_is_given_up);
  tcase_add_test (crashes, work_beside_a_crashing_task_completes);
  tcase_add_test (crashes,
                  work_beside_a_crashing_task_on_full_workers_completes);
  tcase_add_test (crashes, task_that_lost_a_worker_starts_beside_short_tasks);
  tcase_add_test (crashes, long_task_outlives_crashes_that_it_does_not_cause);
  tcase_add_test (crashes, workers_that_crash_by_themselves_fail_no_job);
  tcase_add_test (crashes, workers_that_leave_fail_no_job);
  tcase_add_test (crashes, workers_that_are_cut_off_fail_no_job);
  tcase_add_test (crashes, task_beside_workers_that_are_gone_completes);
  tcase_add_test (crashes, task_in_several_waves_of_gone_workers_completes);
  tcase_add_test (crashes, start_that_was_not_sent_never_counts);
  tcase_add_test (crashes, start_that_was_answered_late_counts);
  tcase_add_test (crashes, task_waits_for_the_result_of_its_last_start);
  tcase_add_test (crashes, crash_after_a_confirmed_stop_does_not_count);
  tcase_add_test (crashes, refusals_of_a_live_worker_count_as_no_crash);
  tcase_add_test (crashes, late_report_does_not_hold_up_a_start);
  tcase_add_test (crashes, unconfirmed_crashes_count_over_a_takeover);
  tcase_add_test (crashes,
                  crashing_task_beside_workers_that_are_gone_is_given_up);
  tcase_add_test (crashes, polls_before_a_start_are_bounded);
  tcase_add_test (capacity, shrunk_capacity_gets_no_new_work);
  tcase_add_test (capacity, nothing_is_stopped_for_capacity_that_is_gone);
  tcase_add_test (capacity, grown_capacity_gets_new_work);
  suite_add_tcase (suite, crashes);
  suite_add_tcase (suite, capacity);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
