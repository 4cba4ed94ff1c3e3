#include "steps/advice-service.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>

/* Time that the simulated service needs for a call. */
#define WORK_MS 1100
#define TICK_MS 10
#define MAX_HANDLED 200

/* A service that handles one call after the other. */
struct simulation
{
  struct gr_advice_service *service;
  int64_t now_ms;
  uint32_t work_ms; /* that it really needs */
  uint32_t waiting[MAX_HANDLED];
  uint32_t n_waiting;
  int64_t done_ms; /* of the first one */
  uint32_t answered;
  uint32_t overdue;
  uint32_t sent;
};

static void
simulation_create (struct simulation *simulation, uint32_t work_ms)
{
  *simulation = (struct simulation){ .work_ms = work_ms };
  simulation->service = gr_advice_service_create ();
  simulation->now_ms = 1000;
}

static void
answer_calls (struct simulation *simulation)
{
  if (simulation->n_waiting == 0 || simulation->now_ms < simulation->done_ms)
    return;
  gr_advice_service_end (simulation->service, simulation->waiting[0],
                         GR_ADVICE_ANSWERED, simulation->now_ms);
  simulation->answered++;
  simulation->n_waiting--;
  for (uint32_t i = 0; i < simulation->n_waiting; i++)
    simulation->waiting[i] = simulation->waiting[i + 1];
  simulation->done_ms = simulation->now_ms + simulation->work_ms;
}

/* Sends all calls that may be sent, as under a backlog. */
static void
run (struct simulation *simulation, uint32_t configured_ms, int64_t for_ms)
{
  int64_t end_ms = simulation->now_ms + for_ms;

  for (; simulation->now_ms < end_ms; simulation->now_ms += TICK_MS)
    {
      answer_calls (simulation);
      while (gr_advice_service_take_overdue (simulation->service,
                                             simulation->now_ms)
             != 0)
        simulation->overdue++;
      while (
          gr_advice_service_may_call (simulation->service, simulation->now_ms))
        {
          uint32_t number = gr_advice_service_begin (
              simulation->service, configured_ms, simulation->now_ms);

          ck_assert_uint_lt (simulation->n_waiting, MAX_HANDLED);
          if (simulation->n_waiting == 0)
            simulation->done_ms = simulation->now_ms + simulation->work_ms;
          simulation->waiting[simulation->n_waiting++] = number;
          simulation->sent++;
        }
    }
}

/* Guards against calls that wait behind others until they are given up. */
START_TEST (slow_calls_are_sent_one_by_one)
{
  struct simulation simulation;

  simulation_create (&simulation, WORK_MS);
  run (&simulation, WORK_MS, 60000);
  ck_assert_uint_ge (simulation.answered, 60000 / (WORK_MS + 2 * TICK_MS) - 1);
  ck_assert_uint_eq (simulation.overdue, 0);
  ck_assert_uint_le (simulation.n_waiting, 1);
  gr_advice_service_destroy (simulation.service);
}
END_TEST

/* Guards against a service that idles during each round trip. */
START_TEST (short_calls_are_sent_ahead)
{
  struct simulation simulation;

  simulation_create (&simulation, 50);
  run (&simulation, 50, 1000);
  ck_assert_uint_ge (simulation.n_waiting, 2);
  ck_assert_uint_le (simulation.n_waiting, 4);
  ck_assert_uint_eq (simulation.overdue, 0);
  gr_advice_service_destroy (simulation.service);
}
END_TEST

/* Guards against calls that pile up at a service that is slower than
 * configured, or whose times are not known. The first calls are overdue, and
 * later ones are expected when they come. */
START_TEST (slowness_is_learned)
{
  static const uint32_t configured_ms[] = { 0, WORK_MS };

  for (guint i = 0; i < G_N_ELEMENTS (configured_ms); i++)
    {
      struct simulation simulation;
      uint32_t overdue;

      simulation_create (&simulation, 8 * WORK_MS);
      run (&simulation, configured_ms[i], 200000);
      overdue = simulation.overdue;
      ck_assert_uint_ge (simulation.answered, 20);
      ck_assert_uint_le (overdue, 5);
      run (&simulation, configured_ms[i], 400000);
      ck_assert_uint_eq (simulation.overdue, overdue);
      ck_assert_uint_le (simulation.n_waiting, 2);
      gr_advice_service_destroy (simulation.service);
    }
}
END_TEST

/* Guards against a lost answer that blocks all further calls, and against calls
 * that are repeated at the same pace while none is answered. */
START_TEST (overdue_calls_are_followed_ever_later)
{
  struct simulation simulation;

  simulation_create (&simulation, G_MAXINT32);
  run (&simulation, 100, 20000);
  ck_assert_uint_ge (simulation.sent, 3);
  ck_assert_uint_le (simulation.sent, 5);
  run (&simulation, 100, 600000);
  ck_assert_uint_le (simulation.sent, GR_ADVICE_MAX_CALLS);
  gr_advice_service_destroy (simulation.service);
}
END_TEST

/* Guards against calls that are rejected because others fill the service's
 * queue, repeated at once, and then given up although they are in the queue. */
START_TEST (full_queue_is_waited_for)
{
  struct gr_advice_service *service = gr_advice_service_create ();
  uint32_t number = gr_advice_service_begin (service, WORK_MS, 1000);

  gr_advice_service_end (service, number, GR_ADVICE_OVERLOADED, 1010);
  ck_assert (!gr_advice_service_may_call (service, 1010 + WORK_MS - 1));
  ck_assert (gr_advice_service_may_call (service, 1010 + WORK_MS));
  gr_advice_service_begin (service, WORK_MS, 1010 + WORK_MS);
  ck_assert_uint_eq (
      gr_advice_service_take_overdue (service, 1010 + 32 * WORK_MS), 0);
  gr_advice_service_destroy (service);
}
END_TEST

/* Guards against a service that is called at full speed while it cannot be
 * reached. */
START_TEST (failed_calls_are_followed_by_a_pause)
{
  struct gr_advice_service *service = gr_advice_service_create ();
  uint32_t number = gr_advice_service_begin (service, 100, 1000);

  gr_advice_service_end (service, number, GR_ADVICE_NOT_SENT, 1001);
  ck_assert (!gr_advice_service_may_call (service, 1100));
  ck_assert (gr_advice_service_may_call (service, 1301));
  gr_advice_service_destroy (service);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("advice-service");
  TCase *tests = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, slow_calls_are_sent_one_by_one);
  tcase_add_test (tests, short_calls_are_sent_ahead);
  tcase_add_test (tests, slowness_is_learned);
  tcase_add_test (tests, overdue_calls_are_followed_ever_later);
  tcase_add_test (tests, full_queue_is_waited_for);
  tcase_add_test (tests, failed_calls_are_followed_by_a_pause);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
