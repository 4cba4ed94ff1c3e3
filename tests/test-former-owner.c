#include "steps/tenure.h"
#include "tests/steps-fixture.h"

#include <check.h>
#include <stdlib.h>

/* An owner whose lease may have expired continues beside its successor. Each
 * test guards against a task that runs twice because both draw conclusions, or
 * against work that is lost or waits because an owner draws none. */

#define WORKERS 4
#define ALL_WORKERS 0xFU

/* 9 s in which a former owner extends leases of workers, and their lease: that
 * of a run is 7 s, the longest that a worker grants 10 s. Clocks may drift by
 * 3 %. */
#define EARLIEST_RESTART_MS 16000
#define LATEST_RESTART_MS 18000

/* A worker is silent for this time before its lease of 7 s has expired. */
#define LEASE_EXPIRED_MS 8000

/* A lasting task of the model is at work this long after its start. */
#define LASTING_STARTUP_MS 300

static struct steps_model *
create_model (void)
{
  struct steps_model *model = steps_fixture_create (WORKERS, 1);

  steps_model_use_owner_leases (model);
  return model;
}

static void
add_tasks (struct steps_model *model,
           uint32_t job,
           uint32_t tasks,
           uint32_t accelerators,
           int64_t work_ms)
{
  struct gr_step_spec spec = steps_plain;

  spec.count = tasks;
  spec.needs.accelerators = accelerators;
  steps_model_add_job (model, job, "normal", "a", &spec, 1, work_ms);
}

static struct steps_model *
start_one_task (int64_t work_ms)
{
  struct steps_model *model = create_model ();

  add_tasks (model, 1, 1, 1, work_ms);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  return model;
}

static uint32_t
busy_worker (struct steps_model *model)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    if (steps_model_starts_on (model, i) > 0)
      return i;
  ck_abort_msg ("no worker has started a run");
  return 0;
}

static uint32_t
nth_after (uint32_t worker, uint32_t n)
{
  return (worker + n) % WORKERS;
}

/* The owner reaches only the workers of the set. */
static void
set_reached (struct steps_model *model, int64_t epoch, unsigned workers)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    steps_model_set_reach (model, epoch, i,
                           (workers & 1U << i) != 0 ? STEPS_MODEL_REACH_BOTH
                                                    : STEPS_MODEL_REACH_NONE);
}

/* The owner loses the store and all workers but those inside; a successor that
 * reaches the others is elected. */
static void
partition (struct steps_model *model, unsigned inside)
{
  int64_t epoch = steps_model_epoch (model);

  steps_model_cut_store (model, epoch, true);
  set_reached (model, epoch, inside);
  steps_model_elect_successor (model);
  set_reached (model, steps_model_epoch (model), ALL_WORKERS & ~inside);
}

static void
heal (struct steps_model *model)
{
  for (int64_t epoch = 1; epoch <= steps_model_epoch (model); epoch++)
    {
      set_reached (model, epoch, ALL_WORKERS);
      steps_model_cut_store (model, epoch, false);
      steps_model_pause_owner (model, epoch, false);
    }
}

/* The job has been started once and is completed without a further start. */
static void
complete_job (struct steps_model *model, uint32_t starts, int64_t within_ms)
{
  steps_model_run (model, within_ms);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 1), starts);
  steps_fixture_destroy (model);
}

/* A former owner took failed polls for the end of a lease that its successor
 * had extended, and started the run again inside the partition. */
START_TEST (silent_workers_keep_their_runs)
{
  struct steps_model *model = start_one_task (30000);
  uint32_t worker = busy_worker (model);

  partition (model, ALL_WORKERS & ~(1U << worker));
  steps_model_run (model, LEASE_EXPIRED_MS);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  heal (model);
  complete_job (model, 1, 25000);
}
END_TEST

/* The same, where the run had ended done and its successor had read that. */
START_TEST (runs_that_ended_on_silent_workers_are_not_started_again)
{
  struct steps_model *model = start_one_task (4000);
  uint32_t worker = busy_worker (model);

  partition (model, 1U << nth_after (worker, 2) | 1U << nth_after (worker, 3));
  steps_model_run (model, LEASE_EXPIRED_MS);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  heal (model);
  complete_job (model, 1, 3000);
}
END_TEST

/* A successor started a run again that the former owner kept alive inside the
 * partition. Guards as well against a successor that waits for ever. */
START_TEST (successor_waits_until_leases_of_the_former_owner_expire)
{
  struct steps_model *model = start_one_task (60000);
  uint32_t worker = busy_worker (model);

  partition (model, 1U << worker);
  steps_model_run (model, EARLIEST_RESTART_MS);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_run (model, LATEST_RESTART_MS - EARLIEST_RESTART_MS);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a successor that waits for an owner that has said that it has
 * stopped, and against one that ignores its leases or earlier owners. */
static void
check_wait_after_release (uint32_t earlier_ms)
{
  struct steps_model *model = start_one_task (60000);
  int64_t lease_ms = 7200;

  steps_model_set_worker_unreachable (model, busy_worker (model), true);
  steps_model_new_owner (model);
  gr_steps_former_owner_stopped (steps_model_core (model), earlier_ms,
                                 steps_model_now_ms (model));
  steps_model_run (model, earlier_ms + lease_ms);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_run (model, 800);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  steps_fixture_destroy (model);
}

START_TEST (successor_waits_for_leases_of_an_owner_that_has_stopped)
{
  check_wait_after_release (0);
  check_wait_after_release (3000);
}
END_TEST

/* A successor started a run again that ended done inside the partition, and
 * read its end later. */
START_TEST (successor_waits_for_ends_inside_the_partition)
{
  struct steps_model *model = start_one_task (5000);

  partition (model, 1U << busy_worker (model));
  steps_model_run (model, 12000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  heal (model);
  complete_job (model, 1, 3000);
}
END_TEST

/* Guards against a former owner that takes a run for lost because neither owner
 * reaches its worker. */
START_TEST (worker_that_no_owner_reaches_keeps_its_run)
{
  struct steps_model *model = start_one_task (4000);
  uint32_t worker = busy_worker (model);

  partition (model, 1U << nth_after (worker, 2));
  steps_model_set_reach (model, 2, worker, STEPS_MODEL_REACH_NONE);
  steps_model_run (model, 12000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  heal (model);
  complete_job (model, 1, 3000);
}
END_TEST

/* Guards against a successor that counts unanswered calls as contact: they end
 * the former owner, but the run continues under its last lease. */
START_TEST (unanswered_calls_of_a_successor_do_not_shorten_its_wait)
{
  struct steps_model *model = start_one_task (60000);
  uint32_t worker = busy_worker (model);

  partition (model, 1U << worker);
  steps_model_set_reach (model, 2, worker, STEPS_MODEL_REACH_CALLS);
  steps_model_run (model, 12000);
  ck_assert (!steps_model_owner_is_active (model, 1));
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* The worker of the only task is outside the partition, where it crashes; both
 * owners reach its address afterwards, the former owner first. */
static struct steps_model *
crash_outside (const struct steps_model_crash *crash, bool show_store)
{
  struct steps_model *model = start_one_task (30000);
  uint32_t worker = busy_worker (model);

  partition (model, 1U << nth_after (worker, 2));
  steps_model_run (model, 500);
  steps_model_show_store (model, 1, show_store);
  steps_model_set_reach (model, 2, worker, STEPS_MODEL_REACH_NONE);
  steps_model_crash_worker (model, worker, crash);
  steps_model_set_reach (model, 1, worker, STEPS_MODEL_REACH_BOTH);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_set_reach (model, 2, worker, STEPS_MODEL_REACH_BOTH);
  steps_model_run (model, 4000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  return model;
}

/* After the partition the successor has polled all workers and starts the task
 * again. */
static void
restart_after_partition (struct steps_model *model)
{
  heal (model);
  steps_model_run (model, 2000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_fixture_destroy (model);
}

/* Guards against a former owner that starts a run again because another worker
 * answers at the address of its worker, which its successor sees as well. */
START_TEST (another_worker_at_the_address_releases_no_run)
{
  const struct steps_model_crash crash = { .down_ms = 100,
                                           .new_id = true,
                                           .unnoticed = true };

  restart_after_partition (crash_outside (&crash, false));
}
END_TEST

/* The same, where a report shows a new incarnation. */
START_TEST (restarted_worker_releases_no_run)
{
  const struct steps_model_crash crash = { .down_ms = 100, .unnoticed = true };

  restart_after_partition (crash_outside (&crash, false));
}
END_TEST

/* The same, where the registry shows the new incarnation first, and then the
 * run is missing in its report. */
START_TEST (run_that_is_missing_after_a_restart_is_not_released)
{
  const struct steps_model_crash crash = { .down_ms = 100, .unnoticed = true };

  restart_after_partition (crash_outside (&crash, true));
}
END_TEST

/* The same, where connections to the worker are refused. */
START_TEST (refused_connections_release_no_run)
{
  const struct steps_model_crash crash = { .down_ms = 60000,
                                           .unnoticed = true };
  struct steps_model *model = crash_outside (&crash, false);

  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* Two workers that have restarted know no fence. Guards against a former owner
 * that starts a lost run again on one of them when its successor, which has
 * polled all workers before, waits for none any more. */
START_TEST (restarted_workers_get_no_work_from_a_former_owner)
{
  struct steps_model *model = start_one_task (60000);
  uint32_t worker = busy_worker (model);
  uint32_t other = nth_after (worker, 1);

  steps_model_cut_store (model, 1, true);
  set_reached (model, 1, 0);
  steps_model_elect_successor (model);
  steps_model_run (model, 6000);
  set_reached (model, 2, ALL_WORKERS & ~(1U << worker | 1U << other));
  steps_model_restart_worker (model, worker);
  steps_model_restart_worker (model, other);
  set_reached (model, 1, 1U << worker | 1U << other);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_set_reach (model, 2, worker, STEPS_MODEL_REACH_BOTH);
  steps_model_run (model, 12000);
  ck_assert_uint_le (steps_model_starts (model, 1), 2);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a former owner that starts waiting work on a process that may
 * be the successor's: it was started after the lease had expired. */
START_TEST (waiting_work_is_not_started_on_later_processes)
{
  struct steps_model *model = create_model ();
  uint32_t starts;

  add_tasks (model, 1, WORKERS, 8, 60000);
  steps_model_run (model, 500);
  add_tasks (model, 2, 1, 8, 60000);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_starts (model, 1), WORKERS);
  partition (model, 1U << 2);
  starts = steps_model_starts_on (model, 2);
  steps_model_restart_worker (model, 2);
  steps_model_run (model, 4000);
  ck_assert_uint_eq (steps_model_starts_on (model, 2), starts);
  steps_fixture_destroy (model);
}
END_TEST

/* Workers that are closed get no new work of this owner. */
static void
set_closed (struct gr_steps *steps, unsigned closed)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "w%03u", i);
      gr_steps_close_worker (steps, id, (closed & 1U << i) != 0);
    }
}

/* A worker that has restarted unnoticed grants the longest lease, as the owner
 * takes the time from the clock of its former process, and a successor waits
 * only for the usual one. Guards against a former owner that starts a run there
 * just before it ends. */
START_TEST (unnoticed_restart_gets_no_start_from_a_former_owner)
{
  struct steps_model *model = create_model ();
  struct gr_steps *former = steps_model_core (model);

  steps_model_run (model, 500);
  set_closed (former, ALL_WORKERS);
  add_tasks (model, 1, 1, 1, 60000);
  steps_model_run (model, 500);
  partition (model, 1U << 2);
  steps_model_restart_unnoticed (model, 2, 60000);
  steps_model_run (model, 8700);
  set_closed (former, ALL_WORKERS & ~(1U << 2));
  steps_model_run (model, 200);
  ck_assert_uint_eq (steps_model_starts_on (model, 2), 0);
  steps_model_run (model, 14000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* The lease of a worker holds for all its runs and never shortens. Guards
 * against an owner that counts on the short lease of its own start, although
 * the former owner has extended that of the worker: it lost contact before its
 * own first extension, and started the run again 2.4 s later. */
START_TEST (lease_from_the_former_owner_holds_for_later_runs)
{
  struct steps_model *model = start_one_task (2000);
  uint32_t worker = busy_worker (model);

  steps_model_run (model, 2500);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_COMPLETED);
  steps_model_new_owner (model);
  steps_model_run (model, 200);
  set_closed (steps_model_core (model), ALL_WORKERS & ~(1U << worker));
  add_tasks (model, 2, 1, 1, 60000);
  while (steps_model_starts (model, 2) == 0)
    steps_model_run (model, 20);
  set_reached (model, 2, ALL_WORKERS & ~(1U << worker));
  set_closed (steps_model_core (model), 0);
  steps_model_run (model, 4000);
  ck_assert_uint_eq (steps_model_running (model, 2), 1);
  ck_assert_uint_eq (steps_model_starts (model, 2), 1);
  steps_model_run (model, 8000);
  ck_assert_uint_eq (steps_model_running (model, 2), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a former owner that starts a run again because its worker has
 * left, which its successor sees as well. */
START_TEST (departure_releases_no_run)
{
  struct steps_model *model = start_one_task (30000);
  uint32_t worker = busy_worker (model);

  partition (model, 1U << nth_after (worker, 2));
  steps_model_show_store (model, 1, true);
  steps_model_run (model, 500);
  steps_model_remove_worker (model, worker, 500);
  steps_model_run (model, 4000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  restart_after_partition (model);
}
END_TEST

/* Guards against a job that both owners start, as it was accepted when the
 * former owner had a successor already. */
START_TEST (later_jobs_are_left_to_the_successor)
{
  struct steps_model *model = start_one_task (60000);
  uint32_t worker = busy_worker (model);

  partition (model, 1U << nth_after (worker, 2));
  steps_model_show_store (model, 1, true);
  steps_model_run (model, 500);
  add_tasks (model, 2, 4, 1, 30000);
  steps_model_run (model, 4000);
  ck_assert_uint_eq (steps_model_starts (model, 2), 4);
  ck_assert_uint_eq (steps_model_starts_on (model, nth_after (worker, 2)), 0);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a job that an isolated owner gives up, and whose other runs it
 * stops, for crashes of workers that it may have counted wrongly. */
START_TEST (crashes_seen_by_an_isolated_owner_give_no_job_up)
{
  struct steps_model *model = create_model ();

  add_tasks (model, 1, 2, 8, 60000);
  steps_model_crash_job (
      model, 1, 0,
      &(struct steps_model_crash){ .after_ms = 3000, .down_ms = 300 });
  steps_model_run (model, 3500);
  steps_model_set_store (model, false);
  steps_model_run (model, 4500);
  ck_assert_uint_eq (steps_model_task_starts (model, 1, 0), 2);
  ck_assert_uint_eq (steps_model_task_starts (model, 1, 1), 1);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_model_set_store (model, true);
  steps_model_run (model, 8000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  steps_fixture_destroy (model);
}
END_TEST

/* Worker with more starts than noted before. */
static uint32_t
worker_of_last_start (const struct steps_model *model,
                      const uint32_t *starts_before)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    if (steps_model_starts_on (model, i) > starts_before[i])
      return i;
  ck_abort_msg ("no worker has started a run");
  return 0;
}

static void
note_starts (const struct steps_model *model, uint32_t *starts)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    starts[i] = steps_model_starts_on (model, i);
}

/* Guards against a job that an isolated owner gives up, and whose other runs it
 * stops, for failed runs that it has counted. */
START_TEST (failures_seen_by_an_isolated_owner_give_no_job_up)
{
  struct steps_model *model = create_model ();
  uint32_t starts[WORKERS];

  add_tasks (model, 1, 2, 8, 60000);
  steps_model_run (model, 500);
  note_starts (model, starts);
  steps_model_fail_runs (model, busy_worker (model));
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 3);
  steps_model_set_store (model, false);
  steps_model_run (model, 4000);
  steps_model_fail_runs (model, worker_of_last_start (model, starts));
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 3);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_model_set_store (model, true);
  steps_model_run (model, 2000);
  ck_assert_int_eq (steps_model_state (model, 1), GR_JOB_FAILED);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against an owner that takes the end of a lease for granted, after a
 * pause in which it could not extend it, before it has renewed its own. */
START_TEST (resumed_owner_releases_no_silent_run)
{
  struct steps_model *model = start_one_task (60000);
  uint32_t worker = busy_worker (model);
  unsigned inside = ALL_WORKERS & ~(1U << worker);

  steps_model_pause_owner (model, 1, true);
  set_reached (model, 1, inside);
  steps_model_elect_successor (model);
  set_reached (model, 2, 1U << worker);
  steps_model_run (model, 6500);
  steps_model_pause_owner (model, 1, false);
  steps_model_run (model, 1000);
  ck_assert (!steps_model_owner_is_active (model, 1));
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* The same after a shorter pause, in which another worker has taken the address
 * and the store was cut off. */
START_TEST (resumed_owner_releases_no_run_for_another_worker)
{
  struct steps_model *model = start_one_task (60000);
  uint32_t worker = busy_worker (model);

  steps_model_pause_owner (model, 1, true);
  steps_model_cut_store (model, 1, true);
  steps_model_elect_successor (model);
  set_reached (model, 2, 1U << worker);
  steps_model_run (model, 500);
  steps_model_crash_worker (model, worker,
                            &(struct steps_model_crash){ .down_ms = 100,
                                                         .new_id = true,
                                                         .unnoticed = true });
  steps_model_run (model, 1000);
  steps_model_pause_owner (model, 1, false);
  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a lost run that is never started again, as its loss was seen
 * while the owner could not renew its lease. */
START_TEST (crashed_worker_is_replaced_once_the_lease_is_renewed)
{
  struct steps_model *model = start_one_task (60000);
  uint32_t worker = busy_worker (model);

  steps_model_set_store (model, false);
  steps_model_run (model, 3000);
  steps_model_crash_worker (model, worker,
                            &(struct steps_model_crash){ .down_ms = 300 });
  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_set_store (model, true);
  steps_model_run (model, 2000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* The same for a worker whose lease expires meanwhile. */
START_TEST (silent_worker_is_replaced_once_the_lease_is_renewed)
{
  struct steps_model *model = start_one_task (60000);

  /* The first report of a worker may imply a longer lease than that of a run.
   */
  steps_model_run (model, 4000);
  steps_model_set_worker_unreachable (model, busy_worker (model), true);
  steps_model_set_store (model, false);
  steps_model_run (model, 8500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_set_store (model, true);
  steps_model_run (model, 1500);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* The same for a worker that another one has replaced. */
START_TEST (gone_worker_is_replaced_once_the_lease_is_renewed)
{
  struct steps_model *model = start_one_task (60000);

  steps_model_set_store (model, false);
  steps_model_run (model, 3000);
  steps_model_crash_worker (
      model, busy_worker (model),
      &(struct steps_model_crash){ .down_ms = 300, .new_id = true });
  steps_model_run (model, 3000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_model_set_store (model, true);
  steps_model_run (model, 2000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 2);
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

static const int64_t outages_ms[] = { 4000, 8000, 12000 };

/* Guards against an owner that loses runs, or lets waiting work wait, because
 * the store is down for all; after 11 s another owner follows. */
START_TEST (outage_of_the_store_costs_no_run)
{
  struct steps_model *model = create_model ();

  add_tasks (model, 1, 24, 1, 40000);
  steps_model_run (model, 500);
  add_tasks (model, 2, 16, 1, 3000);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_starts (model, 2), 8);
  steps_model_set_store (model, false);
  steps_model_run (model, outages_ms[_i]);
  ck_assert_uint_eq (steps_model_starts (model, 2), 16);
  ck_assert (steps_model_owner_is_active (model, 1) == (outages_ms[_i] < 9000));
  steps_model_set_store (model, true);
  if (!steps_model_owner_is_active (model, 1))
    steps_model_new_owner (model);
  steps_model_run (model, 8000);
  ck_assert_int_eq (steps_model_state (model, 2), GR_JOB_COMPLETED);
  ck_assert_uint_eq (steps_model_starts (model, 2), 16);
  ck_assert_uint_eq (steps_model_running (model, 1), 24);
  complete_job (model, 24, 30000);
}
END_TEST

/* A former owner took the members of a gang outside the partition for lost and
 * stopped those inside. */
START_TEST (gang_across_the_partition_is_not_broken)
{
  struct steps_model *model = create_model ();
  struct gr_step_spec gang = steps_gang;

  gang.count = WORKERS;
  steps_model_add_job (model, 1, "normal", "a", &gang, 1, 15000);
  steps_model_run (model, 500);
  ck_assert_uint_eq (steps_model_running (model, 1), WORKERS);
  partition (model, 1U << 2 | 1U << 3);
  steps_model_run (model, LEASE_EXPIRED_MS);
  ck_assert_uint_eq (steps_model_running (model, 1), WORKERS);
  heal (model);
  complete_job (model, WORKERS, 10000);
}
END_TEST

/* Guards against an owner that inherits work, loses its lease in turn and
 * counts the wait for the first owner as over. */
START_TEST (former_owner_of_a_former_owner_starts_no_inherited_run)
{
  struct steps_model *model = start_one_task (60000);
  uint32_t worker = busy_worker (model);
  unsigned first = 1U << worker;
  unsigned second = 1U << nth_after (worker, 1);

  steps_model_cut_store (model, 1, true);
  set_reached (model, 1, first);
  steps_model_elect_successor (model);
  steps_model_cut_store (model, 2, true);
  set_reached (model, 2, second);
  steps_model_elect_successor (model);
  set_reached (model, 3, ALL_WORKERS & ~first & ~second);
  steps_model_run (model, 13000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  ck_assert (!steps_model_owner_is_active (model, 1));
  ck_assert (!steps_model_owner_is_active (model, 2));
  steps_fixture_destroy (model);
}
END_TEST

/* Guards against a former owner that is not ended by its time limit: leases
 * that it grants later outlive the wait of its successor. */
START_TEST (former_owner_ends)
{
  struct steps_model *model = start_one_task (60000);

  partition (model, 1U << busy_worker (model));
  steps_model_run (model, 8500);
  ck_assert (steps_model_owner_is_active (model, 1));
  steps_model_run (model, 1000);
  ck_assert (!steps_model_owner_is_active (model, 1));
  ck_assert_uint_eq (steps_model_running (model, 1), 1);
  steps_model_run (model, 7500);
  ck_assert_uint_eq (steps_model_starts_on (model, busy_worker (model)), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* Three lasting tasks, one a worker, of which one may be away; one worker has
 * room. The worker of the second task is in a data centre of its own. */
static struct steps_model *
start_lasting_tasks (uint32_t *workers)
{
  struct steps_model *model = create_model ();
  struct gr_step_spec lasting = steps_plain;
  uint32_t n = 0;

  lasting.count = 3;
  lasting.needs.accelerators = 8;
  lasting.lasting = true;
  lasting.max_away = 1;
  steps_model_add_job (model, 1, "normal", "a", &lasting, 1, 500);
  steps_model_run (model, 2000);
  for (uint32_t i = 0; i < WORKERS; i++)
    if (steps_model_starts_on (model, i) > 0)
      workers[n++] = i;
  ck_assert_uint_eq (n, 3);
  steps_model_set_data_centre (model, workers[1], "dc1");
  steps_model_run (model, 200);
  steps_model_set_store (model, false);
  return model;
}

static void
evacuate_beside_a_lost_run (struct steps_model *model)
{
  ck_assert_uint_eq (steps_model_running (model, 1), 2);
  steps_model_evacuate (model, "dc1", true);
  for (int i = 0; i < 100; i++)
    {
      steps_model_run (model, 20);
      ck_assert_uint_ge (steps_model_running (model, 1), 2);
    }
  steps_fixture_destroy (model);
}

/* Guards against an isolated owner that moves a lasting task while another one
 * of its step is away: the run of a worker that has restarted is undecided, and
 * must not count as at work. */
START_TEST (undecided_run_of_a_restarted_worker_is_unavailable)
{
  uint32_t workers[WORKERS];
  struct steps_model *model = start_lasting_tasks (workers);

  steps_model_run (model, 3000);
  steps_model_crash_worker (model, workers[0],
                            &(struct steps_model_crash){ .down_ms = 300 });
  steps_model_run (model, 1000);
  evacuate_beside_a_lost_run (model);
}
END_TEST

/* The same for a run whose lease has expired. */
START_TEST (undecided_run_of_a_silent_worker_is_unavailable)
{
  uint32_t workers[WORKERS];
  struct steps_model *model = start_lasting_tasks (workers);

  steps_model_set_worker_unreachable (model, workers[0], true);
  steps_model_run (model, 8000);
  evacuate_beside_a_lost_run (model);
}
END_TEST

/* Guards against a start that a new process of a worker carries out for a
 * former owner, which knew the process before: the order names only the
 * worker's id, and the new process has no fence. */
START_TEST (start_for_a_former_process_is_not_carried_out)
{
  struct steps_model *model = create_model ();

  steps_model_run (model, 500);
  add_tasks (model, 1, 1, 8, 60000);
  steps_model_pause_owner (model, 1, true);
  steps_model_cut_store (model, 1, true);
  steps_model_drain_worker (model, 0, true);
  steps_model_drain_worker (model, 1, true);
  steps_model_elect_successor (model);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  set_reached (model, 2, ALL_WORKERS & ~3U);
  steps_model_restart_worker (model, 0);
  steps_model_restart_worker (model, 1);
  steps_model_pause_owner (model, 1, false);
  steps_model_run (model, 1000);
  ck_assert_uint_eq (steps_model_starts (model, 1), 1);
  steps_fixture_destroy (model);
}
END_TEST

/* Returns the number of tasks of the job that have been started twice. */
static uint32_t
restarted_tasks (const struct steps_model *model)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < 3; i++)
    n += steps_model_task_starts (model, 1, i) > 1;
  return n;
}

/* Guards against an owner that moves a lasting task at its first pass after a
 * renewal: the end of another run was undecided until then, and is concluded
 * only from the next report of its worker. That task must be started again and
 * be at work before the next one is stopped, which takes 0.06 s. */
START_TEST (undecided_run_is_unavailable_after_a_renewal)
{
  uint32_t workers[WORKERS];
  struct steps_model *model = start_lasting_tasks (workers);
  int64_t first_ms = 0;
  int64_t second_ms = 0;

  steps_model_run (model, 3000);
  steps_model_crash_worker (model, workers[0],
                            &(struct steps_model_crash){ .down_ms = 300 });
  steps_model_run (model, 1000);
  steps_model_evacuate (model, "dc1", true);
  steps_model_set_faults (
      model, &(struct steps_model_faults){ .max_transit_ms = 80 + 8 * _i });
  steps_model_run (model, 500 + _i * 20);
  steps_model_set_store (model, true);
  for (int i = 0; i < 200; i++)
    {
      steps_model_run (model, 20);
      if (first_ms == 0 && restarted_tasks (model) > 0)
        first_ms = steps_model_now_ms (model);
      if (second_ms == 0 && restarted_tasks (model) > 1)
        second_ms = steps_model_now_ms (model);
    }
  ck_assert_int_ne (first_ms, 0);
  ck_assert_int_ne (second_ms, 0);
  ck_assert_int_ge (second_ms - first_ms, LASTING_STARTUP_MS);
  steps_fixture_destroy (model);
}
END_TEST

#define SEEDS 200
#define RANDOM_WORKERS 6
#define RANDOM_EVENTS 120
#define MAX_EPOCHS 64

struct random_world
{
  struct steps_model *model;
  GRand *rand;
  uint32_t jobs;
  bool store_cut[MAX_EPOCHS];
  bool paused[MAX_EPOCHS];
  int64_t resume_ms[MAX_EPOCHS];
};

static bool
chance (struct random_world *world, double share)
{
  return g_rand_double (world->rand) < share;
}

static int32_t
pick (struct random_world *world, int32_t n)
{
  return g_rand_int_range (world->rand, 0, n);
}

static void
add_random_job (struct random_world *world)
{
  struct gr_step_spec spec = steps_plain;

  spec.count = 1 + (uint32_t)pick (world, 6);
  spec.gang = chance (world, 0.2);
  spec.checkpointing = chance (world, 0.3);
  spec.needs.accelerators = chance (world, 0.2) ? 8 : 1;
  steps_model_add_job (world->model, ++world->jobs,
                       chance (world, 0.5) ? "normal" : "urgent", "a", &spec, 1,
                       500 + pick (world, 12000));
}

/* One of the owners that are active, often the present one. */
static int64_t
pick_epoch (struct random_world *world)
{
  int64_t present = steps_model_epoch (world->model);
  int64_t epoch = MAX (present - pick (world, 4), 1);

  return steps_model_owner_is_active (world->model, epoch) ? epoch : present;
}

/* Cuts the workers into those that the owner reaches and those that it does
 * not. */
static void
cut_randomly (struct random_world *world, int64_t epoch)
{
  double share = g_rand_double (world->rand);

  for (uint32_t i = 0; i < steps_model_workers (world->model); i++)
    {
      enum steps_model_reach reach = STEPS_MODEL_REACH_BOTH;

      if (chance (world, share))
        reach = chance (world, 0.2) ? STEPS_MODEL_REACH_CALLS
                                    : STEPS_MODEL_REACH_NONE;
      steps_model_set_reach (world->model, epoch, i, reach);
    }
}

static void
crash_randomly (struct random_world *world)
{
  struct steps_model_crash crash = {
    .down_ms = 100 + pick (world, 2000),
    .silent = chance (world, 0.3),
    .new_id = chance (world, 0.2),
    .unnoticed = chance (world, 0.5),
  };
  uint32_t worker =
      (uint32_t)pick (world, (int32_t)steps_model_workers (world->model));

  if (steps_model_worker_is_up (world->model, worker))
    steps_model_crash_worker (world->model, worker, &crash);
}

static void
set_store_cut (struct random_world *world, int64_t epoch, bool cut)
{
  world->store_cut[epoch] = cut;
  steps_model_cut_store (world->model, epoch, cut);
}

static void
set_paused (struct random_world *world, int64_t epoch, bool paused)
{
  world->paused[epoch] = paused;
  world->resume_ms[epoch] =
      steps_model_now_ms (world->model) + 300 + pick (world, 6000);
  steps_model_pause_owner (world->model, epoch, paused);
}

static void
resume_owners (struct random_world *world)
{
  for (int64_t epoch = 1; epoch <= steps_model_epoch (world->model); epoch++)
    if (world->paused[epoch]
        && steps_model_now_ms (world->model) >= world->resume_ms[epoch])
      set_paused (world, epoch, false);
}

static void
replace_owner (struct random_world *world)
{
  int64_t epoch = steps_model_epoch (world->model);

  if (!steps_model_owner_is_active (world->model, epoch))
    steps_model_new_owner (world->model);
  else if (world->store_cut[epoch] || world->paused[epoch])
    steps_model_elect_successor (world->model);
  else
    return;
  cut_randomly (world, epoch + 1);
}

/* The owner reaches only the workers of the set, which repeats beyond 32. */
static void
reach_set (struct random_world *world, int64_t epoch, unsigned workers)
{
  for (uint32_t i = 0; i < steps_model_workers (world->model); i++)
    steps_model_set_reach (world->model, epoch, i,
                           (workers & 1U << i % 32) != 0
                               ? STEPS_MODEL_REACH_BOTH
                               : STEPS_MODEL_REACH_NONE);
}

/* The present owner and some workers are cut off from the store and from the
 * others, which a successor reaches. */
static void
partition_randomly (struct random_world *world)
{
  int64_t epoch = steps_model_epoch (world->model);
  unsigned inside = g_rand_int (world->rand);

  set_store_cut (world, epoch, true);
  reach_set (world, epoch, inside);
  if (chance (world, 0.3))
    steps_model_run (world->model, pick (world, 8000));
  replace_owner (world);
  reach_set (world, steps_model_epoch (world->model), ~inside);
}

static void
cause_event (struct random_world *world)
{
  int64_t epoch = pick_epoch (world);
  int64_t present = steps_model_epoch (world->model);

  switch (pick (world, 10))
    {
    case 0:
      cut_randomly (world, epoch);
      break;
    case 1:
      if (present < MAX_EPOCHS - 2)
        partition_randomly (world);
      break;
    case 2:
      set_store_cut (world, present, !world->store_cut[present]);
      break;
    case 3:
      set_store_cut (world, epoch, chance (world, 0.7));
      break;
    case 4:
      set_paused (world, epoch, !world->paused[epoch]);
      break;
    case 5:
      steps_model_show_store (world->model, epoch, chance (world, 0.5));
      break;
    case 6:
    case 7:
      if (present < MAX_EPOCHS - 2)
        replace_owner (world);
      break;
    case 8:
      crash_randomly (world);
      break;
    default:
      add_random_job (world);
      break;
    }
}

static void
end_faults (struct random_world *world)
{
  for (int64_t epoch = 1; epoch <= steps_model_epoch (world->model); epoch++)
    {
      set_paused (world, epoch, false);
      set_store_cut (world, epoch, false);
      for (uint32_t i = 0; i < steps_model_workers (world->model); i++)
        steps_model_set_reach (world->model, epoch, i, STEPS_MODEL_REACH_BOTH);
    }
  /* An owner whose lease ended long ago ends before it renews it. */
  steps_model_run (world->model, 500);
  if (!steps_model_owner_is_active (world->model,
                                    steps_model_epoch (world->model)))
    steps_model_new_owner (world->model);
}

static void
run_randomly (uint32_t seed, uint32_t listed_ends)
{
  struct random_world world = {
    .model = steps_fixture_create (RANDOM_WORKERS, seed),
    .rand = g_rand_new_with_seed (seed),
  };

  steps_model_set_faults (world.model,
                          &(struct steps_model_faults){
                              .lose_answer = chance (&world, 0.5) ? 0.05 : 0,
                              .late_order = chance (&world, 0.3) ? 0.02 : 0,
                              .max_transit_ms = chance (&world, 0.5) ? 60 : 0,
                          });
  steps_model_use_owner_leases (world.model);
  if (listed_ends != 0)
    steps_model_set_listed_ends (world.model, listed_ends);
  for (uint32_t i = 0; i < 4; i++)
    add_random_job (&world);
  steps_model_run (world.model, 1000);
  for (uint32_t i = 0; i < RANDOM_EVENTS; i++)
    {
      cause_event (&world);
      resume_owners (&world);
      steps_model_run (world.model,
                       pick (&world, chance (&world, 0.1) ? 12000 : 600));
    }
  end_faults (&world);
  steps_model_set_faults (world.model, &(struct steps_model_faults){ 0 });
  steps_model_run (world.model, 90000);
  ck_assert_msg (steps_model_violation (world.model) == NULL, "%s",
                 steps_model_violation (world.model));
  for (uint32_t job = 1; job <= world.jobs; job++)
    ck_assert_msg (steps_model_state (world.model, job) >= GR_JOB_COMPLETED,
                   "job %u is not final", job);
  steps_fixture_destroy (world.model);
  g_rand_free (world.rand);
}

/* Guards against tasks that run twice, and jobs that are never completed, in
 * any order of partitions, takeovers, pauses and crashes. The loop variable is
 * the seed. */
START_TEST (random_partitions)
{
  run_randomly ((uint32_t)_i, 0);
}
END_TEST

/* The same with workers that list one to three ends in an answer. */
START_TEST (random_partitions_with_partly_listed_ends)
{
  run_randomly ((uint32_t)_i, 1 + (uint32_t)_i % 3);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("former-owner");
  TCase *tests = tcase_create ("former-owner");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, silent_workers_keep_their_runs);
  tcase_add_test (tests,
                  runs_that_ended_on_silent_workers_are_not_started_again);
  tcase_add_test (tests,
                  successor_waits_until_leases_of_the_former_owner_expire);
  tcase_add_test (tests,
                  successor_waits_for_leases_of_an_owner_that_has_stopped);
  tcase_add_test (tests, successor_waits_for_ends_inside_the_partition);
  tcase_add_test (tests, worker_that_no_owner_reaches_keeps_its_run);
  tcase_add_test (tests,
                  unanswered_calls_of_a_successor_do_not_shorten_its_wait);
  tcase_add_test (tests, another_worker_at_the_address_releases_no_run);
  tcase_add_test (tests, restarted_worker_releases_no_run);
  tcase_add_test (tests, run_that_is_missing_after_a_restart_is_not_released);
  tcase_add_test (tests, refused_connections_release_no_run);
  tcase_add_test (tests, restarted_workers_get_no_work_from_a_former_owner);
  tcase_add_test (tests, waiting_work_is_not_started_on_later_processes);
  tcase_add_test (tests, unnoticed_restart_gets_no_start_from_a_former_owner);
  tcase_add_test (tests, lease_from_the_former_owner_holds_for_later_runs);
  tcase_add_test (tests, departure_releases_no_run);
  tcase_add_test (tests, later_jobs_are_left_to_the_successor);
  tcase_add_test (tests, crashes_seen_by_an_isolated_owner_give_no_job_up);
  tcase_add_test (tests, failures_seen_by_an_isolated_owner_give_no_job_up);
  tcase_add_test (tests, resumed_owner_releases_no_silent_run);
  tcase_add_test (tests, resumed_owner_releases_no_run_for_another_worker);
  tcase_add_test (tests, crashed_worker_is_replaced_once_the_lease_is_renewed);
  tcase_add_test (tests, silent_worker_is_replaced_once_the_lease_is_renewed);
  tcase_add_test (tests, gone_worker_is_replaced_once_the_lease_is_renewed);
  tcase_add_loop_test (tests, outage_of_the_store_costs_no_run, 0,
                       G_N_ELEMENTS (outages_ms));
  tcase_add_test (tests, gang_across_the_partition_is_not_broken);
  tcase_add_test (tests,
                  former_owner_of_a_former_owner_starts_no_inherited_run);
  tcase_add_test (tests, former_owner_ends);
  tcase_add_test (tests, undecided_run_of_a_restarted_worker_is_unavailable);
  tcase_add_test (tests, undecided_run_of_a_silent_worker_is_unavailable);
  tcase_add_test (tests, start_for_a_former_process_is_not_carried_out);
  tcase_add_loop_test (tests, undecided_run_is_unavailable_after_a_renewal, 0,
                       10);
  tcase_add_loop_test (tests, random_partitions, 1, SEEDS + 1);
  tcase_add_loop_test (tests, random_partitions_with_partly_listed_ends, 1,
                       SEEDS + 1);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
