/* Tests of the decisions on requests: rate limits, allotments, choice of
 * executors, run time classes, queue and retry budget. */
#include "route/allot.h"
#include "route/classes.h"
#include "route/executors.h"
#include "route/limit.h"
#include "route/queue.h"
#include "route/retry.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES 3
#define RATE 400.0

static GRand *rng;

static void
setup (void)
{
  rng = g_rand_new_with_seed (7);
}

static void
teardown (void)
{
  g_rand_free (rng);
}

static int
admit (struct gr_limits *limits, int64_t now_ms, int tries)
{
  struct gr_error error = GR_ERROR_INIT;
  int admitted = 0;

  for (int i = 0; i < tries; i++)
    admitted += gr_limits_admit (limits, "a", now_ms, rng, &error) ? 1 : 0;
  return admitted;
}

/* Guards against a floor above its share of the rate, against bursts at the
 * start of a second, and against retry delays that are all the same. */
START_TEST (floor_is_paced_and_refusals_are_spread)
{
  struct gr_limits *limits =
      gr_limits_create (GR_LIMIT_ALLOTTED, GR_PACING_WINDOWS, 0);
  struct gr_error error = GR_ERROR_INIT;
  int64_t lowest = INT64_MAX;
  int64_t highest = 0;

  gr_limits_set_instances (limits, ENTRIES);
  gr_limits_set_account (limits, "a", RATE, 100000);
  ck_assert_int_eq (admit (limits, 100000, 100), 5);
  ck_assert_int_eq (admit (limits, 100050, 100), 0);
  ck_assert_int_eq (admit (limits, 100300, 100), 15);
  ck_assert_int_eq (admit (limits, 100999, 100), 30);
  for (int i = 0; i < 50; i++)
    {
      ck_assert (!gr_limits_admit (limits, "a", 100999, rng, &error));
      ck_assert_int_eq (error.kind, GR_ERROR_RATE_LIMITED);
      lowest = MIN (lowest, error.retry_after_ms);
      highest = MAX (highest, error.retry_after_ms);
    }
  ck_assert_int_ge (lowest, GR_LIMIT_WINDOW_MS);
  ck_assert (gr_limits_clear_refused (limits));
  ck_assert (!gr_limits_clear_refused (limits));
  ck_assert_int_gt (highest - lowest, 100);
  ck_assert (!gr_limits_admit (limits, "b", 100999, rng, &error));
  ck_assert_int_eq (error.kind, GR_ERROR_UNKNOWN_ACCOUNT);
  gr_limits_set_account (limits, "a", 2, 100999);
  ck_assert_int_ge (admit (limits, 106000, 10), 1);
  gr_limits_destroy (limits);
}
END_TEST

/* Guards against an entry that resumes after a pause and uses an allotment that
 * has expired in the meantime. */
START_TEST (allotment_ends_one_term_after_its_report)
{
  struct gr_limits *limits =
      gr_limits_create (GR_LIMIT_ALLOTTED, GR_PACING_WINDOWS, 0);
  double demand;

  gr_limits_set_instances (limits, ENTRIES);
  gr_limits_set_account (limits, "a", RATE, 50000);
  ck_assert (gr_limits_begin_report (limits, "a", "h1", 50000, &demand));
  gr_limits_apply_allotment (limits, "a", "h1", 50000, 100);
  ck_assert (gr_limits_rate (limits, "a", 50999) > 149);
  /* The first of the ten windows started before the allotment. */
  ck_assert_int_eq (admit (limits, 50900, 500), 10 * 5 + 9 * 10);
  ck_assert (gr_limits_rate (limits, "a", 51000) < 51);
  ck_assert_int_le (admit (limits, 55000, 500), 6);
  gr_limits_destroy (limits);
}
END_TEST

/* Guards against an entry that counts for the majorities of two homes within
 * one term, and against late replies of a previous home that are applied. */
START_TEST (entry_reports_to_one_home_at_a_time)
{
  struct gr_limits *limits =
      gr_limits_create (GR_LIMIT_ALLOTTED, GR_PACING_WINDOWS, 49500);
  double demand;

  gr_limits_set_account (limits, "a", RATE, 49500);
  ck_assert (!gr_limits_begin_report (limits, "a", "h1", 50000, &demand));
  ck_assert (gr_limits_begin_report (limits, "a", "h1", 50501, &demand));
  gr_limits_apply_allotment (limits, "a", "h1", 50501, 100);
  ck_assert (!gr_limits_begin_report (limits, "a", "h2", 50800, &demand));
  ck_assert (gr_limits_rate (limits, "a", 50800) < 25);
  ck_assert (!gr_limits_begin_report (limits, "a", "h2", 51501, &demand));
  ck_assert (gr_limits_begin_report (limits, "a", "h2", 51502, &demand));
  gr_limits_apply_allotment (limits, "a", "h1", 50501, 100);
  ck_assert (gr_limits_rate (limits, "a", 51502) < 25);
  ck_assert (!gr_limits_begin_report (limits, "a", "h1", 51800, &demand));
  ck_assert (gr_limits_begin_report (limits, "a", "h1", 52503, &demand));
  gr_limits_apply_allotment (limits, "a", "h1", 50501, 100);
  ck_assert (gr_limits_rate (limits, "a", 52503) < 25);
  gr_limits_destroy (limits);
}
END_TEST

/* Simulation of entries, each of which both reports and is a home. Entries
 * pause, report to different homes, and lose the reports that are sent to a
 * paused home. */
#define SIMULATED_ENTRIES (ENTRIES + 1)

struct simulation
{
  struct gr_limits *reporter[SIMULATED_ENTRIES];
  struct gr_allot *home[SIMULATED_ENTRIES];
  int64_t stamp[SIMULATED_ENTRIES][SIMULATED_ENTRIES]; /* [reporter][home] */
  int64_t paused_until[SIMULATED_ENTRIES];
  int home_of[SIMULATED_ENTRIES]; /* home that the entry reports to */
  int64_t home_flaps_until[SIMULATED_ENTRIES]; /* home alternates with each
                                                  report */
};

static const char *const entry_names[SIMULATED_ENTRIES] = { "e0", "e1", "e2",
                                                            "e3" };

static void
simulation_init (struct simulation *simulation)
{
  memset (simulation, 0, sizeof *simulation);
  for (int i = 0; i < SIMULATED_ENTRIES; i++)
    {
      simulation->reporter[i] =
          gr_limits_create (GR_LIMIT_ALLOTTED, GR_PACING_WINDOWS, 0);
      gr_limits_set_instances (simulation->reporter[i], ENTRIES);
      gr_limits_set_account (simulation->reporter[i], "a", RATE, 0);
      simulation->home[i] = gr_allot_create (ENTRIES);
      gr_allot_set_account (simulation->home[i], "a", RATE);
      for (int j = 0; j < SIMULATED_ENTRIES; j++)
        simulation->stamp[i][j] = -1;
    }
}

static void
simulation_clear (struct simulation *simulation)
{
  for (int i = 0; i < SIMULATED_ENTRIES; i++)
    {
      gr_limits_destroy (simulation->reporter[i]);
      gr_allot_destroy (simulation->home[i]);
    }
}

static double
report (struct simulation *simulation, int reporter, int64_t now_ms)
{
  int home = simulation->home_of[reporter];
  double demand = 0;
  double rate;

  if (!gr_limits_begin_report (simulation->reporter[reporter], "a",
                               entry_names[home], now_ms, &demand)
      || now_ms < simulation->paused_until[home])
    return -1;
  rate = gr_allot_handle_report (simulation->home[home], "a",
                                 entry_names[reporter], 300,
                                 simulation->stamp[reporter][home], now_ms);
  simulation->stamp[reporter][home] = now_ms;
  gr_limits_apply_allotment (simulation->reporter[reporter], "a",
                             entry_names[home], now_ms, rate);
  return rate;
}

static double
total_rate (const struct simulation *simulation, int64_t now_ms)
{
  double sum = 0;

  for (int i = 0; i < SIMULATED_ENTRIES; i++)
    sum += gr_limits_rate (simulation->reporter[i], "a", now_ms);
  return sum;
}

static void
simulate (struct simulation *simulation, int64_t from_ms, int64_t to_ms)
{
  for (int64_t now = from_ms; now < to_ms; now += 50)
    {
      for (int i = 0; i < SIMULATED_ENTRIES; i++)
        {
          if (now < simulation->paused_until[i] || now / 50 % 6 != i)
            continue;
          if (now < simulation->home_flaps_until[i])
            simulation->home_of[i] = 1 - simulation->home_of[i];
          report (simulation, i, now);
        }
      ck_assert_msg (total_rate (simulation, now) <= RATE + 0.001,
                     "total rate %.1f/s at ms %" G_GINT64_FORMAT,
                     total_rate (simulation, now), (gint64)now);
    }
}

/* Guards against a part of the rate that is never allotted, and against a
 * failed home whose half is lost permanently or allotted twice during the
 * takeover. */
START_TEST (another_home_takes_over_from_a_dead_one)
{
  struct simulation simulation;

  simulation_init (&simulation);
  simulate (&simulation, 2000, 8000);
  ck_assert (total_rate (&simulation, 8000) > RATE * 0.95);
  simulation.paused_until[0] = INT64_MAX;
  simulate (&simulation, 8000, 10000);
  ck_assert (total_rate (&simulation, 10000) < RATE * 0.51);
  for (int i = 1; i < SIMULATED_ENTRIES; i++)
    simulation.home_of[i] = 1;
  simulate (&simulation, 10000, 12000);
  ck_assert (total_rate (&simulation, 12000) < RATE * 0.51);
  simulate (&simulation, 12000, 18000);
  ck_assert (total_rate (&simulation, 18000) > RATE * 0.95);
  simulation_clear (&simulation);
}
END_TEST

/* Guards against two homes that both allot the shared half. Entries change
 * homes at any time, no report is lost except to a paused home, and entries
 * pause and resume. simulate () checks the total rate at each step. */
START_TEST (two_homes_never_allot_the_same_half)
{
  struct simulation simulation;

  simulation_init (&simulation);
  for (int64_t now = 2000; now < 400000; now += 500)
    {
      int entry = g_rand_int_range (rng, 0, SIMULATED_ENTRIES);
      int event = g_rand_int_range (rng, 0, 24);

      if (event < 2)
        simulation.home_of[entry] = event;
      else if (event == 2)
        simulation.paused_until[entry] =
            now + g_rand_int_range (rng, 100, 4000);
      else if (event == 3) /* all but one use another home */
        for (int i = 0; i < SIMULATED_ENTRIES; i++)
          simulation.home_of[i] = i == entry ? simulation.home_of[i]
                                             : 1 - simulation.home_of[entry];
      else if (event == 4) /* two use one home, two alternate */
        for (int i = 0; i < SIMULATED_ENTRIES; i++)
          {
            simulation.home_of[i] = i % 2;
            simulation.home_flaps_until[i] = i < 2 ? 0 : now + 6000;
          }
      simulate (&simulation, now, now + 500);
    }
  simulation_clear (&simulation);
}
END_TEST

/* Guards against idle entries that hold on to the shared half: sudden demand at
 * one entry must be met by its next report. */
START_TEST (sudden_demand_is_met)
{
  struct gr_allot *home = gr_allot_create (ENTRIES);
  double rate;

  gr_allot_set_account (home, "a", RATE);
  for (int64_t now = 10000; now < 16000; now += 300)
    for (int i = 0; i < SIMULATED_ENTRIES; i++)
      gr_allot_handle_report (home, "a", entry_names[i], 0, now - 300, now);
  rate = gr_allot_handle_report (home, "a", entry_names[0], 150, 15900, 16000);
  ck_assert_msg (rate > 100 && rate <= RATE / 2, "%f", rate);
  gr_allot_destroy (home);
}
END_TEST

/* Guards against a home that resumes after a pause, reads reports that were
 * sent long before and counts them as recent. */
START_TEST (old_reports_make_no_majority)
{
  struct gr_allot *home = gr_allot_create (ENTRIES);

  gr_allot_set_account (home, "a", RATE);
  for (int64_t now = 10000; now < 16000; now += 300)
    for (int i = 0; i < SIMULATED_ENTRIES; i++)
      ck_assert (
          gr_allot_handle_report (home, "a", entry_names[i], 300, 8900, now)
          <= 0);
  for (int64_t now = 16000; now < 18000; now += 300)
    for (int i = 0; i < 2; i++)
      ck_assert (gr_allot_handle_report (home, "a", entry_names[i], 300,
                                         now - 300, now)
                 <= 0);
  for (int64_t now = 18000; now < 19500; now += 300)
    for (int i = 0; i < 3; i++)
      ck_assert (gr_allot_handle_report (home, "a", entry_names[i], 300,
                                         now - 300, now)
                 <= 0);
  /* After a gap of more than one term, the majority must again last two
   * terms. */
  for (int64_t now = 21000; now < 23000; now += 300)
    for (int i = 0; i < 3; i++)
      ck_assert (gr_allot_handle_report (home, "a", entry_names[i], 300,
                                         now - 300, now)
                 <= 0);
  ck_assert (
      gr_allot_handle_report (home, "a", entry_names[0], 300, 23000, 23100)
      > 0);
  gr_allot_destroy (home);
}
END_TEST

/* Guards against an allotment that counts as granted for a whole term although
 * the entry has shown that it uses a smaller one by now. Demand that moves to
 * another entry would then be served late. */
START_TEST (allotment_follows_demand_that_moves)
{
  struct gr_allot *home = gr_allot_create (ENTRIES);
  double rate[3] = { 0, 0, 0 };

  gr_allot_set_account (home, "a", RATE);
  for (int64_t now = 10000; now < 14900; now += 300)
    for (int i = 0; i < 3; i++)
      rate[i] = gr_allot_handle_report (home, "a", entry_names[i],
                                        i == 0 ? 1000 : 0, now - 300, now);
  ck_assert (rate[0] > RATE * 0.45);
  ck_assert (rate[1] < 1);
  /* The entry gets a smaller allotment, then echoes the stamp of that reply.
   */
  ck_assert (
      gr_allot_handle_report (home, "a", entry_names[1], 1000, 14800, 15100)
      < 1);
  ck_assert (gr_allot_handle_report (home, "a", entry_names[0], 0, 14800, 15100)
             < 1);
  ck_assert (gr_allot_handle_report (home, "a", entry_names[0], 0, 15100, 15400)
             < 1);
  ck_assert (
      gr_allot_handle_report (home, "a", entry_names[1], 1000, 15100, 15400)
      > RATE * 0.45);
  gr_allot_destroy (home);
}
END_TEST

static struct gr_executors *
make_executors (int count)
{
  struct gr_executors *executors = gr_executors_create ();

  gr_executors_list_begin (executors, 0);
  for (int i = 0; i < count; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "x%d", i);
      gr_executors_list_add (executors, name, name, false);
    }
  gr_executors_list_end (executors);
  return executors;
}

/* Guards against more requests in flight than the connection limit, and against
 * long requests that use more than their share of the slots, also those that
 * were acquired as short and reclassified. */
START_TEST (connections_and_long_share_are_bounded)
{
  struct gr_executors *executors = make_executors (4);
  int taken = 0;

  gr_executors_configure (executors, GR_POLICY_TWO_CHOICES, 6, 50);
  while (gr_executors_acquire (executors, true, true, NULL, 1000, rng) != NULL)
    taken++;
  ck_assert_int_eq (taken, 12);
  while (gr_executors_acquire (executors, false, true, NULL, 1000, rng) != NULL)
    taken++;
  ck_assert_int_eq (taken, 24);
  gr_executors_destroy (executors);
  executors = make_executors (1);
  gr_executors_configure (executors, GR_POLICY_TWO_CHOICES, 6, 25);
  ck_assert_ptr_nonnull (
      gr_executors_acquire (executors, true, true, NULL, 1000, rng));
  ck_assert_ptr_nonnull (
      gr_executors_acquire (executors, false, true, NULL, 1000, rng));
  gr_executors_reclassify_long (executors, "x0");
  ck_assert_ptr_null (
      gr_executors_acquire (executors, true, true, NULL, 1000, rng));
  gr_executors_release (executors, "x0", true, GR_TRY_OK, -1, 2000, 1000);
  ck_assert_ptr_nonnull (
      gr_executors_acquire (executors, true, true, NULL, 1000, rng));
  gr_executors_destroy (executors);
}
END_TEST

/* Guards against an executor that fails every request immediately and therefore
 * looks idle: it must be quarantined and probed only by idempotent requests.
 */
START_TEST (executors_that_fail_everything_are_quarantined)
{
  struct gr_executors *executors = make_executors (2);
  struct gr_executor_info info;
  int64_t now = 1000;
  int failed = 0;

  for (int i = 0; i < 200; i++)
    {
      const char *name =
          gr_executors_acquire (executors, false, true, NULL, now, rng);
      bool broken = strcmp (name, "x0") == 0;

      failed += broken ? 1 : 0;
      gr_executors_release (executors, name, false,
                            broken ? GR_TRY_FAILED : GR_TRY_OK, -1, 5, now);
      now++;
    }
  ck_assert_int_eq (failed, GR_QUARANTINE_FAILURES);
  ck_assert (gr_executors_get (executors, "x0", &info) && info.quarantined);
  now += GR_QUARANTINE_MIN_MS;
  for (int i = 0; i < 20; i++)
    {
      ck_assert_str_eq (
          gr_executors_acquire (executors, false, false, NULL, now, rng), "x1");
      gr_executors_release (executors, "x1", false, GR_TRY_OK, -1, 5, now);
    }
  ck_assert_str_eq (
      gr_executors_acquire (executors, false, true, NULL, now, rng), "x0");
  ck_assert_str_eq (
      gr_executors_acquire (executors, false, true, NULL, now, rng), "x1");
  gr_executors_release (executors, "x0", false, GR_TRY_OK, -1, 5, now);
  ck_assert (gr_executors_get (executors, "x0", &info) && !info.quarantined);
  gr_executors_destroy (executors);
}
END_TEST

static void
report_all (struct gr_executors *executors, int count, int64_t requested_ms)
{
  for (int i = 0; i < count; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "x%d", i);
      gr_executors_apply_report (executors, name, 8, 0, false, requested_ms);
    }
}

/* An entry that had been cut off refused requests for up to 60 s afterwards. */
START_TEST (executors_are_used_at_once_after_a_cut)
{
  struct gr_executors *executors = make_executors (4);
  int64_t now = 1000;
  const char *name;

  report_all (executors, 4, now);
  for (; now < 40000; now += 20)
    while (
        (name = gr_executors_acquire (executors, false, true, NULL, now, rng)))
      gr_executors_release (executors, name, false, GR_TRY_FAILED, -1, 5, now);
  report_all (executors, 4, now);
  for (int i = 0; i < 4; i++)
    ck_assert_ptr_nonnull (
        gr_executors_acquire (executors, false, i % 2 == 0, NULL, now, rng));
  gr_executors_destroy (executors);
}
END_TEST

/* Guards against a request for each report of such an executor. */
START_TEST (reports_do_not_end_a_quarantine_for_failures)
{
  struct gr_executors *executors = make_executors (1);
  int64_t now = 1000;
  int failed = 0;

  for (; now < 61000; now += 100)
    {
      while (gr_executors_acquire (executors, false, true, NULL, now, rng))
        {
          gr_executors_release (executors, "x0", false, GR_TRY_FAILED, -1, 5,
                                now);
          failed++;
        }
      if (now % 2000 == 0)
        gr_executors_apply_report (executors, "x0", 8, 0, false, now);
    }
  /* After 0.5, 1, 2, ... 32 s, and after the first report. */
  ck_assert_int_le (failed, GR_QUARANTINE_FAILURES + 8);
  gr_executors_destroy (executors);
}
END_TEST

/* Guards against new requests for executors that are leaving, removed from the
 * list, busy according to a recent report or refusal, unreachable, or tried
 * before. */
START_TEST (ineligible_executors_get_no_work)
{
  static const char *const tried[] = { "x1", NULL };
  struct gr_executors *executors = make_executors (3);

  gr_executors_apply_report (executors, "x0", 8, 8, false, 1);
  ck_assert_str_eq (
      gr_executors_acquire (executors, false, true, tried, 1, rng), "x2");
  gr_executors_release (executors, "x2", false, GR_TRY_LEAVING, -1, 1, 2);
  gr_executors_apply_report (executors, "x0", 8, 8, false, 4990);
  ck_assert_ptr_null (
      gr_executors_acquire (executors, false, true, tried, 5000, rng));
  gr_executors_release (
      executors, gr_executors_acquire (executors, false, true, NULL, 5000, rng),
      false, GR_TRY_BUSY, -1, 1, 5000);
  ck_assert_ptr_null (
      gr_executors_acquire (executors, false, true, NULL, 5001, rng));
  gr_executors_apply_report (executors, "x0", 8, 8, false, 5950);
  ck_assert_str_eq (
      gr_executors_acquire (executors, false, true, NULL, 6000, rng), "x1");
  gr_executors_apply_report (executors, "x0", 8, 0, false, 5999);
  ck_assert_str_eq (
      gr_executors_acquire (executors, false, true, tried, 6000, rng), "x0");
  gr_executors_release (executors, "x0", false, GR_TRY_UNREACHABLE, -1, 1,
                        6000);
  ck_assert_ptr_null (
      gr_executors_acquire (executors, false, true, tried, 6001, rng));
  gr_executors_apply_report (executors, "x0", 8, 0, false, 6002);
  ck_assert_str_eq (
      gr_executors_acquire (executors, false, false, tried, 6002, rng), "x0");
  gr_executors_release (executors, "x0", false, GR_TRY_INCONCLUSIVE, -1, 1,
                        6002);
  gr_executors_list_begin (executors, 0);
  gr_executors_list_end (executors);
  ck_assert_uint_eq (gr_executors_count (executors), 0);
  gr_executors_release (executors, "x1", false, GR_TRY_OK, -1, 1, 6000);
  gr_executors_destroy (executors);
}
END_TEST

/* Guards against an executor that gets no work because of late results and
 * reports of a process that had its name before. */
START_TEST (results_of_a_former_process_are_ignored)
{
  static const enum gr_try_result results[] = {
    GR_TRY_LEAVING,
    GR_TRY_UNREACHABLE,
    GR_TRY_BUSY,
  };
  struct gr_executors *executors = make_executors (1);
  struct gr_executor_info info;

  for (size_t i = 0; i < G_N_ELEMENTS (results); i++)
    gr_executors_acquire (executors, false, true, NULL, 1000, rng);
  gr_executors_list_begin (executors, 1500);
  gr_executors_list_add (executors, "x0", "new-x0", false);
  gr_executors_list_end (executors);
  for (size_t i = 0; i < G_N_ELEMENTS (results); i++)
    gr_executors_release (executors, "x0", false, results[i], 8, 1000, 2000);
  gr_executors_apply_report (executors, "x0", 8, 8, true, 1500);
  ck_assert (gr_executors_get (executors, "x0", &info));
  ck_assert (!info.leaving && !info.quarantined);
  ck_assert_int_eq (info.others_busy, 0);
  ck_assert_str_eq (
      gr_executors_acquire (executors, false, true, NULL, 2001, rng), "x0");
  gr_executors_release (executors, "x0", false, GR_TRY_LEAVING, -1, 499, 2500);
  ck_assert (gr_executors_get (executors, "x0", &info) && info.leaving);
  ck_assert_uint_eq (info.in_flight, 0);
  gr_executors_destroy (executors);
}
END_TEST

/* Guards against an entry that keeps sending to an executor whose slots are
 * held by others, and against a window that does not grow again after these
 * slots have become free. */
START_TEST (window_follows_refusals_and_answers)
{
  struct gr_executors *executors = make_executors (1);
  int taken = 0;

  gr_executors_configure (executors, GR_POLICY_TWO_CHOICES, 6, 50);
  for (int i = 0; i < 3; i++)
    gr_executors_acquire (executors, false, true, NULL, 1000, rng);
  gr_executors_release (executors, "x0", false, GR_TRY_BUSY, 8, 1, 1000);
  ck_assert_ptr_null (
      gr_executors_acquire (executors, false, true, NULL, 5000, rng));
  for (int i = 0; i < 40; i++)
    {
      gr_executors_release (executors, "x0", false, GR_TRY_OK, 7, 5, 5000 + i);
      gr_executors_acquire (executors, false, true, NULL, 5000 + i, rng);
    }
  ck_assert_ptr_null (
      gr_executors_acquire (executors, false, true, NULL, 5040, rng));
  for (int i = 0; i < 40; i++)
    {
      gr_executors_release (executors, "x0", false, GR_TRY_OK, 1, 5, 6000 + i);
      gr_executors_acquire (executors, false, true, NULL, 6000 + i, rng);
    }
  while (gr_executors_acquire (executors, false, true, NULL, 6040, rng) != NULL)
    taken++;
  ck_assert_int_eq (taken, 4);
  gr_executors_destroy (executors);
}
END_TEST

/* Guards against kinds that count as short until their first request ends, and
 * against an unbounded number of kinds in memory. */
START_TEST (run_times_are_learned)
{
  struct gr_classes *classes = gr_classes_create ();
  char kind[16];

  ck_assert_int_eq (gr_classes_estimate_ms (classes, "a", "k"), 0);
  gr_classes_record_overrun (classes, "a", "k");
  ck_assert (gr_classes_is_long (classes, "a", "k"));
  ck_assert (!gr_classes_is_long (classes, "b", "k"));
  for (int i = 0; i < 20; i++)
    gr_classes_record_run (classes, "a", "k", 30);
  gr_classes_record_run (classes, "a", "k", 60000);
  ck_assert_int_eq (gr_classes_estimate_ms (classes, "a", "k"), 30);
  for (int i = 0; i < GR_CLASSES_MAX; i++)
    {
      g_snprintf (kind, sizeof kind, "%d", i);
      gr_classes_record_run (classes, "a", kind, 5);
    }
  ck_assert_int_eq (gr_classes_estimate_ms (classes, "a", "k"), 0);
  gr_classes_destroy (classes);
}
END_TEST

/* Guards against urgent requests that wait behind batch requests, short ones
 * that wait behind long ones, an unbounded queue, and expired requests that
 * stay in the queue. */
START_TEST (queue_is_ordered_and_bounded)
{
  struct gr_queue *queue = gr_queue_create (3);
  int urgent;
  int batch;
  int later;
  int slow;

  ck_assert_ptr_null (
      gr_queue_add (queue, GR_PRIORITY_BATCH, false, 100, &batch));
  ck_assert_ptr_null (
      gr_queue_add (queue, GR_PRIORITY_URGENT, true, 300, &slow));
  ck_assert_ptr_null (
      gr_queue_add (queue, GR_PRIORITY_URGENT, false, 900, &later));
  ck_assert_uint_eq (
      gr_queue_count_ahead (queue, GR_PRIORITY_BATCH, false, 500), 2);
  ck_assert_ptr_eq (gr_queue_add (queue, GR_PRIORITY_BATCH, false, 50, &urgent),
                    &urgent);
  ck_assert_ptr_eq (
      gr_queue_add (queue, GR_PRIORITY_URGENT, false, 400, &urgent), &batch);
  ck_assert_ptr_eq (gr_queue_pop_expired (queue, 301), &slow);
  ck_assert_ptr_null (gr_queue_pop_expired (queue, 301));
  ck_assert_ptr_null (
      gr_queue_add (queue, GR_PRIORITY_URGENT, true, 350, &slow));
  ck_assert_ptr_eq (gr_queue_pop (queue, true, false), &urgent);
  ck_assert_ptr_eq (gr_queue_pop (queue, true, true), &slow);
  ck_assert (gr_queue_remove (queue, &later));
  ck_assert (!gr_queue_remove (queue, &later));
  ck_assert_uint_eq (gr_queue_length (queue), 0);
  gr_queue_destroy (queue);
}
END_TEST

/* Guards against a retry storm when every request fails, and against a
 * budget that grows without limit. */
START_TEST (retries_stay_within_the_budget)
{
  struct gr_retries *retries = gr_retries_create (10);
  int granted = 0;

  for (int i = 0; i < 1000; i++)
    {
      gr_retries_record_first_try (retries, "a");
      granted += gr_retries_take (retries, "a") ? 1 : 0;
    }
  ck_assert_int_eq (granted, 100);
  ck_assert (!gr_retries_take (retries, "b"));
  for (int i = 0; i < 1000; i++)
    gr_retries_record_first_try (retries, "a");
  for (granted = 0; gr_retries_take (retries, "a");)
    granted++;
  ck_assert_int_eq (granted, GR_RETRY_MAX_BUDGET);
  gr_retries_destroy (retries);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("route");
  TCase *tcase = tcase_create ("route");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, floor_is_paced_and_refusals_are_spread);
  tcase_add_test (tcase, allotment_ends_one_term_after_its_report);
  tcase_add_test (tcase, entry_reports_to_one_home_at_a_time);
  tcase_add_test (tcase, another_home_takes_over_from_a_dead_one);
  tcase_add_test (tcase, two_homes_never_allot_the_same_half);
  tcase_add_test (tcase, sudden_demand_is_met);
  tcase_add_test (tcase, allotment_follows_demand_that_moves);
  tcase_add_test (tcase, old_reports_make_no_majority);
  tcase_add_test (tcase, connections_and_long_share_are_bounded);
  tcase_add_test (tcase, executors_that_fail_everything_are_quarantined);
  tcase_add_test (tcase, executors_are_used_at_once_after_a_cut);
  tcase_add_test (tcase, reports_do_not_end_a_quarantine_for_failures);
  tcase_add_test (tcase, ineligible_executors_get_no_work);
  tcase_add_test (tcase, results_of_a_former_process_are_ignored);
  tcase_add_test (tcase, window_follows_refusals_and_answers);
  tcase_add_test (tcase, run_times_are_learned);
  tcase_add_test (tcase, queue_is_ordered_and_bounded);
  tcase_add_test (tcase, retries_stay_within_the_budget);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
