/* Tests of the calls to workers, against the worker stand-in. */
#include "scheduler/worker-io.h"
#include "standins/worker.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS 15000
#define MAX_RESULTS 32

struct fixture
{
  struct gr_clock *clock;
  struct gr_counters *counters;
  struct gr_standin_worker *worker;
  struct gr_standin *base;
  struct gr_worker_client *client;
  struct gr_worker_io *io;
  bool may_command;
  bool may_renew;
  int reports;
  int64_t requested_ms; /* of the last report */
  int64_t remaining_ms; /* of the first lease in the last report */
  int n_results;
  enum gr_command_kind kinds[MAX_RESULTS];
  enum gr_error_kind outcomes[MAX_RESULTS];
};

static struct fixture *fixture;

static gboolean
set_flag (gpointer data)
{
  bool *flag = data;

  *flag = true;
  return G_SOURCE_REMOVE;
}

static void
wait_for (const int *value, int wanted)
{
  bool late = false;
  guint timer = g_timeout_add (WAIT_MS, set_flag, &late);

  while (*value < wanted && !late)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_int_ge (*value, wanted);
  if (!late)
    g_source_remove (timer);
}

static void
on_report (const struct gr_worker_report *report,
           int64_t requested_ms,
           void *context)
{
  struct fixture *f = context;

  ck_assert_str_eq (report->worker, "w1");
  f->remaining_ms = report->n_leases > 0 ? report->leases[0].remaining_ms : -1;
  f->requested_ms = requested_ms;
  f->reports++;
}

static void
on_worker_removed (const char *worker, void *context)
{
  (void)context;
  ck_abort_msg ("worker %s must not be removed", worker);
}

static void
on_command_result (enum gr_command_kind command,
                   const char *id,
                   enum gr_error_kind kind,
                   void *context)
{
  struct fixture *f = context;

  ck_assert_int_lt (f->n_results, MAX_RESULTS);
  ck_assert (g_str_has_prefix (id, command == GR_COMMAND_GRANT
                                           || command == GR_COMMAND_RENEW
                                       ? "lease-"
                                       : "task-"));
  f->kinds[f->n_results] = command;
  f->outcomes[f->n_results] = kind;
  f->n_results++;
}

static bool
on_may_command (void *context)
{
  return ((struct fixture *)context)->may_command;
}

static bool
on_may_renew (void *context)
{
  return ((struct fixture *)context)->may_renew;
}

static void
set_up (void)
{
  static const struct gr_worker_io_events events = {
    .report = on_report,
    .removed = on_worker_removed,
    .command_result = on_command_result,
    .may_command = on_may_command,
    .may_renew = on_may_renew,
  };
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_worker_settings settings = {
    .name = "w1",
    .rack = "r1",
    .data_centre = "dc1",
    .accelerators = 8,
    .cores = 60,
    .memory_mb = 1000,
  };

  fixture = g_new0 (struct fixture, 1);
  fixture->clock = gr_clock_create_manual (0);
  fixture->counters = gr_counters_create ();
  fixture->worker = gr_standin_worker_create ("127.0.0.1:0", &settings, &error);
  fixture->base = gr_standin_worker_base (fixture->worker);
  fixture->client = gr_worker_client_create ();
  fixture->may_command = true;
  fixture->io =
      gr_worker_io_create (fixture->client, fixture->clock, fixture->counters,
                           "dc1", "holder", &events, fixture);
  gr_worker_io_set_target (fixture->io, "w1",
                           gr_standin_address (fixture->base), true);
  gr_worker_io_finish_targets (fixture->io);
  wait_for (&fixture->reports, 1);
}

static void
tear_down (void)
{
  gr_worker_io_destroy (fixture->io);
  gr_worker_client_destroy (fixture->client);
  gr_standin_worker_destroy (fixture->worker);
  gr_counters_destroy (fixture->counters);
  gr_clock_destroy (fixture->clock);
  g_clear_pointer (&fixture, g_free);
}

static void
send (enum gr_command_kind kind, int number)
{
  struct gr_command command = { .kind = kind, .term_ms = 5000 };

  g_strlcpy (command.worker, "w1", sizeof command.worker);
  g_snprintf (command.lease, sizeof command.lease, "lease-%d", number);
  g_snprintf (command.task, sizeof command.task, "task-%d", number);
  command.accelerators = 1U << number;
  command.spec = "run_ms=10000";
  gr_worker_io_send (fixture->io, &command);
}

static void
check_result (int index, enum gr_command_kind kind, enum gr_error_kind outcome)
{
  ck_assert_int_eq (fixture->kinds[index], kind);
  ck_assert_int_eq (fixture->outcomes[index], outcome);
}

/* Guards against a start that is sent before its lease is granted, and against
 * sending one renewal call per lease. */
START_TEST (commands_keep_their_order)
{
  for (int i = 0; i < 3; i++)
    {
      send (GR_COMMAND_GRANT, i);
      send (GR_COMMAND_START, i);
      send (GR_COMMAND_UNTHROTTLE, i);
    }
  for (int i = 0; i < 3; i++)
    send (GR_COMMAND_RENEW, i);
  wait_for (&fixture->n_results, 12);
  for (int i = 0; i < 9; i += 3)
    {
      check_result (i, GR_COMMAND_GRANT, GR_ERROR_NONE);
      check_result (i + 1, GR_COMMAND_START, GR_ERROR_NONE);
      check_result (i + 2, GR_COMMAND_UNTHROTTLE, GR_ERROR_NONE);
    }
  check_result (11, GR_COMMAND_RENEW, GR_ERROR_NONE);
  ck_assert_int_eq (gr_standin_call_count (fixture->base, "/v1/renew"), 1);
  ck_assert_uint_eq (gr_worker_io_pending (fixture->io), 0);
}
END_TEST

/* Guards against a second start after a lost response, and against a start
 * that is given up because of one. */
START_TEST (lost_answers_are_tried_again)
{
  gr_standin_faults (fixture->base)->lose_answers = 1;
  send (GR_COMMAND_GRANT, 0);
  wait_for (&fixture->n_results, 1);
  check_result (0, GR_COMMAND_GRANT, GR_ERROR_NONE);
  gr_standin_faults (fixture->base)->lose_answers = 1;
  send (GR_COMMAND_START, 0);
  wait_for (&fixture->n_results, 2);
  check_result (1, GR_COMMAND_START, GR_ERROR_NONE);
  ck_assert_uint_eq (gr_standin_worker_starts (fixture->worker, "task-0"), 1);
}
END_TEST

/* Guards against calls to an unreachable worker that never end, and against a
 * following command that is delayed as long as the first. */
START_TEST (silent_worker_ends_commands)
{
  gr_standin_faults (fixture->base)->down = 1;
  send (GR_COMMAND_GRANT, 0);
  send (GR_COMMAND_START, 0);
  wait_for (&fixture->n_results, 2);
  check_result (0, GR_COMMAND_GRANT, GR_ERROR_IO);
  check_result (1, GR_COMMAND_START, GR_ERROR_IO);
  /* libsoup resends a call on a kept-alive connection that was closed, so
   * there can be more calls than tries. */
  ck_assert_int_ge (gr_standin_call_count (fixture->base, "/v1/leases"),
                    GR_WORKER_MAX_TRIES);
  ck_assert_int_le (gr_standin_call_count (fixture->base, "/v1/tasks"), 2);
  gr_standin_faults (fixture->base)->down = 0;
  wait_for (&fixture->reports, 2);
}
END_TEST

/* Guards against commands of an owner that has not confirmed that it still owns
 * the shard, and against ending running work because its renewals are held back
 * too. */
START_TEST (held_commands_wait)
{
  int reports;

  send (GR_COMMAND_GRANT, 0);
  wait_for (&fixture->n_results, 1);
  fixture->may_command = false;
  fixture->may_renew = true;
  reports = fixture->reports;
  send (GR_COMMAND_GRANT, 1);
  send (GR_COMMAND_START, 1);
  send (GR_COMMAND_RENEW, 0);
  gr_worker_io_poll_all (fixture->io);
  wait_for (&fixture->reports, reports + 1);
  wait_for (&fixture->n_results, 2);
  check_result (1, GR_COMMAND_RENEW, GR_ERROR_NONE);
  ck_assert_int_eq (gr_standin_call_count (fixture->base, "/v1/leases"), 1);
  fixture->may_command = true;
  wait_for (&fixture->n_results, 4);
  check_result (2, GR_COMMAND_GRANT, GR_ERROR_NONE);
  check_result (3, GR_COMMAND_START, GR_ERROR_NONE);
}
END_TEST

/* Guards against a lease that outlasts its term at the core, which then starts
 * the task again while it runs, because its renewal waited in the queue. */
START_TEST (waiting_renewals_do_not_prolong_leases)
{
  send (GR_COMMAND_GRANT, 0);
  wait_for (&fixture->n_results, 1);
  fixture->may_command = false;
  send (GR_COMMAND_RENEW, 0);
  gr_clock_advance (fixture->clock, 3000);
  fixture->may_command = true;
  wait_for (&fixture->n_results, 2);
  check_result (1, GR_COMMAND_RENEW, GR_ERROR_NONE);
  fixture->reports = 0;
  gr_worker_io_poll_all (fixture->io);
  wait_for (&fixture->reports, 1);
  ck_assert_int_ge (fixture->remaining_ms, 0);
  ck_assert_int_le (fixture->remaining_ms, 2000);
}
END_TEST

/* Guards against grants and renewals that are sent after their term is over. */
START_TEST (outdated_terms_are_not_sent)
{
  fixture->may_command = false;
  send (GR_COMMAND_GRANT, 0);
  send (GR_COMMAND_RENEW, 1);
  gr_clock_advance (fixture->clock, 5000);
  send (GR_COMMAND_GRANT, 2);
  fixture->may_command = true;
  wait_for (&fixture->n_results, 3);
  check_result (0, GR_COMMAND_GRANT, GR_ERROR_TIMEOUT);
  check_result (1, GR_COMMAND_RENEW, GR_ERROR_TIMEOUT);
  check_result (2, GR_COMMAND_GRANT, GR_ERROR_NONE);
  ck_assert_int_eq (gr_standin_call_count (fixture->base, "/v1/leases"), 1);
  ck_assert_int_eq (gr_standin_call_count (fixture->base, "/v1/renew"), 0);
}
END_TEST

/* Guards against a state of a former process that is held for one of its
 * successor because its report was read late. */
START_TEST (reports_have_the_time_of_their_poll)
{
  int polls = gr_standin_call_count (fixture->base, "/v1/report");

  gr_clock_advance (fixture->clock, 1000);
  gr_worker_io_poll_all (fixture->io);
  while (gr_standin_call_count (fixture->base, "/v1/report") == polls)
    g_main_context_iteration (NULL, TRUE);
  gr_clock_advance (fixture->clock, 100);
  wait_for (&fixture->reports, 2);
  ck_assert_int_eq (fixture->requested_ms, 1000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("worker-io");
  TCase *tcase = tcase_create ("worker-io");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, commands_keep_their_order);
  tcase_add_test (tcase, lost_answers_are_tried_again);
  tcase_add_test (tcase, silent_worker_ends_commands);
  tcase_add_test (tcase, held_commands_wait);
  tcase_add_test (tcase, waiting_renewals_do_not_prolong_leases);
  tcase_add_test (tcase, outdated_terms_are_not_sent);
  tcase_add_test (tcase, reports_have_the_time_of_their_poll);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
