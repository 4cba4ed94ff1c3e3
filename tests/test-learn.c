#include "learn/run-times.h"
#include "learn/speeds.h"

#include <check.h>
#include <glib.h>
#include <math.h>
#include <stdlib.h>

#define NOISE 0.35 /* standard deviation of the logarithm of one sample */
#define N_SEEDS 20
#define N_WORKERS 350

static const struct gr_run_time_keys narrow = { { "a/q/1", "a/q" } };
static const struct gr_run_time_keys sibling = { { "a/q/2", "a/q" } };
static const struct gr_run_time_keys other = { { "b/r/1", "b/r" } };

static double
normal (GRand *rand)
{
  double u = 1 - g_rand_double (rand);

  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
}

/* Adds n runs with estimates of 2 to 20 s. Their times are exp (offset) times
 * the estimate, or times 8 s if the estimate is uninformative. */
static void
add_runs (struct gr_run_times *times,
          const struct gr_run_time_keys *keys,
          GRand *rand,
          int n,
          double offset,
          bool informative)
{
  for (int i = 0; i < n; i++)
    {
      double estimate = 2000 * exp (g_rand_double (rand) * log (10));
      double base = informative ? estimate : 8000;
      double ran = base * exp (offset + NOISE * normal (rand));

      gr_run_times_add (times, keys, (int64_t)estimate, (int64_t)ran);
    }
}

/* Guards against decisions that change although the estimates are right: noise
 * must not move the prediction at any time, for the key, a new key of the same
 * queue, or next to a queue with bad estimates. */
START_TEST (accurate_estimates_are_returned)
{
  GRand *rand = g_rand_new_with_seed ((guint32)_i);
  struct gr_run_times *times = gr_run_times_create (100);
  int moved = 0;

  for (int i = 0; i < 500; i++)
    {
      add_runs (times, &narrow, rand, 1, 0, true);
      moved += gr_run_times_expect (times, &narrow, 7000, 0.5) != 7000
               || gr_run_times_expect (times, &sibling, 300, 0.5) != 300;
    }
  ck_assert_int_eq (moved, 0);
  for (int i = 0; i < 300; i++)
    {
      add_runs (times, &other, rand, 1, 1.5, true);
      add_runs (times, &narrow, rand, 1, 0, true);
    }
  ck_assert_int_eq (gr_run_times_expect (times, &narrow, 7000, 0.5), 7000);
  gr_run_times_destroy (times);
  g_rand_free (rand);
}
END_TEST

/* Guards against trusting an estimate that says nothing about the run time,
 * and against ignoring one that is only off by a factor. */
START_TEST (estimates_are_corrected_or_replaced)
{
  GRand *rand = g_rand_new_with_seed ((guint32)_i);
  struct gr_run_times *times = gr_run_times_create (100);
  double expected;

  add_runs (times, &narrow, rand, 150, 0, false);
  add_runs (times, &other, rand, 150, log (5), true);
  for (int64_t estimate = 2000; estimate <= 20000; estimate *= 10)
    {
      expected =
          (double)gr_run_times_expect (times, &narrow, estimate, 0.5) / 8000;
      ck_assert_double_lt (fabs (log (expected)), 0.25);
      expected = (double)gr_run_times_expect (times, &other, estimate, 0.5)
                 / ((double)estimate * 5);
      ck_assert_double_lt (fabs (log (expected)), 0.2);
    }
  expected = (double)gr_run_times_expect (times, &other, 4000, 0.9)
             / (double)gr_run_times_expect (times, &other, 4000, 0.5);
  ck_assert_double_eq_tol (log (expected), 1.2816 * NOISE, 0.15);
  ck_assert_double_eq_tol (
      log ((double)gr_run_times_expect (times, &other, 4000, 0.1)
           / (double)gr_run_times_expect (times, &other, 4000, 0.5)),
      -log (expected), 0.01);
  gr_run_times_destroy (times);
  g_rand_free (rand);
}
END_TEST

/* Guards against a wrong order of the levels: nothing known, all samples, the
 * wider key, few samples of the key. */
START_TEST (few_samples_use_the_wider_key)
{
  struct gr_run_times *times = gr_run_times_create (100);
  int64_t previous = 1000;

  ck_assert_int_eq (gr_run_times_expect (times, &narrow, 1000, 0.9), 1000);
  ck_assert_int_eq (gr_run_times_expect (times, &narrow, 0, 0.5), 1);
  for (int i = 0; i < 200; i++)
    gr_run_times_add (times, &other, 1000, 3000);
  ck_assert_int_gt (gr_run_times_expect (times, &narrow, 1000, 0.5), 2950);
  ck_assert_int_le (gr_run_times_expect (times, &narrow, 1000, 0.5), 3000);
  for (int i = 0; i < 200; i++)
    gr_run_times_add (times, &sibling, 1000, 10000);
  ck_assert_int_gt (gr_run_times_expect (times, &narrow, 1000, 0.5), 9800);
  ck_assert_int_lt (gr_run_times_expect (times, &narrow, 1000, 0.5), 10000);
  /* A single sample of the key counts only as one of the queue. */
  gr_run_times_add (times, &narrow, 1000, 100000);
  ck_assert_int_lt (gr_run_times_expect (times, &narrow, 1000, 0.5), 10200);
  for (int i = 0; i < 40; i++)
    {
      gr_run_times_add (times, &narrow, 1000, 100000);
      ck_assert_int_ge (gr_run_times_expect (times, &narrow, 1000, 0.5),
                        previous);
      previous = gr_run_times_expect (times, &narrow, 1000, 0.5);
    }
  ck_assert_int_gt (previous, 90000);
  gr_run_times_destroy (times);
}
END_TEST

/* Guards against old samples that outweigh what is true now. */
START_TEST (old_samples_fade)
{
  struct gr_run_times *times = gr_run_times_create (100);

  for (int i = 0; i < 5000; i++)
    gr_run_times_add (times, &narrow, 1000, 10000);
  for (int i = 0; i < 1200; i++)
    gr_run_times_add (times, &narrow, 1000, 1000);
  ck_assert_int_lt (gr_run_times_expect (times, &narrow, 1000, 0.5), 1100);
  gr_run_times_destroy (times);
}
END_TEST

static void
count_row (const struct gr_run_time_row *row, void *context)
{
  int *count = context;

  (void)row;
  (*count)++;
}

/* Guards against unbounded memory, and against the eviction of a key in use. */
START_TEST (least_recently_used_key_is_evicted)
{
  struct gr_run_times *times = gr_run_times_create (10);
  struct gr_run_times *none = gr_run_times_create (0);
  char key[16];
  struct gr_run_time_keys keys = { { key, NULL } };
  int count = 0;

  for (int i = 0; i < 200; i++)
    {
      g_snprintf (key, sizeof key, "k%d", i);
      gr_run_times_add (times, &keys, 1000, 1000);
      gr_run_times_add (times, &narrow, 1000, 1000000);
      gr_run_times_add (none, &narrow, 1000, 3000);
    }
  gr_run_times_each (times, count_row, &count);
  ck_assert_int_eq (count, 11);
  ck_assert_int_gt (gr_run_times_expect (times, &narrow, 1000, 0.5), 900000);
  ck_assert_int_gt (gr_run_times_expect (none, &narrow, 1000, 0.5), 2900);
  gr_run_times_destroy (times);
  gr_run_times_destroy (none);
}
END_TEST

static void
copy_row (const struct gr_run_time_row *row, void *context)
{
  ck_assert (gr_run_times_restore (context, row));
}

/* Guards against a successor that predicts something else than the owner
 * whose rows it has read. */
START_TEST (restored_run_times_predict_the_same)
{
  GRand *rand = g_rand_new_with_seed (1);
  struct gr_run_times *times = gr_run_times_create (100);
  struct gr_run_times *copy = gr_run_times_create (100);

  add_runs (times, &narrow, rand, 100, 0, false);
  add_runs (times, &sibling, rand, 100, 1, true);
  gr_run_times_each (times, copy_row, copy);
  for (int64_t estimate = 1; estimate < 100000; estimate *= 3)
    {
      ck_assert_int_eq (gr_run_times_expect (copy, &narrow, estimate, 0.9),
                        gr_run_times_expect (times, &narrow, estimate, 0.9));
      ck_assert_int_eq (gr_run_times_expect (copy, &other, estimate, 0.5),
                        gr_run_times_expect (times, &other, estimate, 0.5));
    }
  gr_run_times_destroy (times);
  gr_run_times_destroy (copy);
  g_rand_free (rand);
}
END_TEST

/* Guards against a damaged record that makes predictions not finite. */
START_TEST (bad_run_time_rows_are_rejected)
{
  static const struct gr_run_time_row good = { "k", 10, 7, 8, 1, 1, 1.1 };
  static const double bad[] = { NAN, INFINITY, -INFINITY, -1, 1e9 };
  struct gr_run_times *times = gr_run_times_create (100);
  int count = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    for (int field = 0; field < 6; field++)
      {
        struct gr_run_time_row row = good;
        double *fields[] = { &row.weight,     &row.mean_estimate,
                             &row.mean_time,  &row.var_estimate,
                             &row.covariance, &row.var_time };

        if (fields[field] == &row.covariance && bad[i] == -1)
          continue; /* valid: a negative correlation */
        *fields[field] = bad[i];
        ck_assert_msg (!gr_run_times_restore (times, &row),
                       "field %d, value %zu", field, i);
      }
  gr_run_times_each (times, count_row, &count);
  ck_assert_int_eq (count, 0);
  ck_assert (gr_run_times_restore (times, &good));
  gr_run_times_destroy (times);
}
END_TEST

static const char *
worker_name (int i)
{
  static char name[16];

  g_snprintf (name, sizeof name, "w%d", i);
  return name;
}

static void
add_run (struct gr_speeds *speeds, int worker, double slowness, GRand *rand)
{
  gr_speeds_add (speeds, worker_name (worker), 1,
                 slowness * exp (NOISE * normal (rand)), 1);
}

static double
slowness_of (const struct gr_speeds *speeds, int worker)
{
  return gr_speeds_slowness (speeds, worker_name (worker), 1);
}

/* Guards against noise that is taken for different speeds, at any time. */
START_TEST (equal_workers_stay_even)
{
  GRand *rand = g_rand_new_with_seed ((guint32)_i);
  struct gr_speeds *speeds = gr_speeds_create ();

  for (int i = 0; i < 2000; i++)
    {
      add_run (speeds, g_rand_int_range (rand, 0, N_WORKERS), 1.1, rand);
      ck_assert (!gr_speeds_update (speeds));
    }
  ck_assert_double_eq (slowness_of (speeds, 0), 1.0);
  gr_speeds_destroy (speeds);
  g_rand_free (rand);
}
END_TEST

/* Guards against slow workers that pass for fast ones. */
START_TEST (two_speeds_are_told_apart)
{
  GRand *rand = g_rand_new_with_seed ((guint32)_i);
  struct gr_speeds *speeds = gr_speeds_create ();
  struct gr_speeds_summary summary;
  int right = 0;

  for (int i = 0; i < 5 * N_WORKERS; i++)
    add_run (speeds, i % N_WORKERS, i % N_WORKERS % 4 == 0 ? 0.55 : 1.2, rand);
  ck_assert (gr_speeds_update (speeds));
  ck_assert (!gr_speeds_update (speeds));
  for (int i = 0; i < N_WORKERS; i++)
    right += (slowness_of (speeds, i) < sqrt (0.55 / 1.2)) == (i % 4 == 0);
  ck_assert_int_ge (right, N_WORKERS * 9 / 10);
  gr_speeds_summarize (speeds, &summary);
  ck_assert_uint_eq (summary.known, N_WORKERS);
  ck_assert_double_lt (summary.fastest, 0.6);
  ck_assert_double_lt (summary.slowest, 1.2);
  gr_speeds_destroy (speeds);
  g_rand_free (rand);
}
END_TEST

/* Guards against workers of the same speed that are ordered by their noise. */
START_TEST (near_equal_speeds_are_one_group)
{
  static const double speed[] = { 0.8, 1.0, 1.25 };
  GRand *rand = g_rand_new_with_seed (3);
  struct gr_speeds *speeds = gr_speeds_create ();
  GHashTable *groups = g_hash_table_new (g_double_hash, g_double_equal);
  double values[N_WORKERS];

  for (int i = 0; i < 20 * N_WORKERS; i++)
    add_run (speeds, i % N_WORKERS, speed[i % N_WORKERS % 3], rand);
  gr_speeds_update (speeds);
  for (int i = 0; i < N_WORKERS; i++)
    {
      values[i] = slowness_of (speeds, i);
      g_hash_table_add (groups, &values[i]);
    }
  ck_assert_uint_eq (g_hash_table_size (groups), 3);
  g_hash_table_destroy (groups);
  gr_speeds_destroy (speeds);
  g_rand_free (rand);
}
END_TEST

/* Guards against a worker that is kept for fast after it has become slow, or
 * for slow after it has been replaced. */
START_TEST (changes_of_a_worker_are_noticed)
{
  struct gr_speeds *speeds = gr_speeds_create ();
  int runs = 0;

  for (int i = 0; i < 20 * 40; i++)
    gr_speeds_add (speeds, worker_name (i % 40), 1, i % 2 ? 0.5 : 1.0, 1);
  gr_speeds_update (speeds);
  ck_assert_double_lt (slowness_of (speeds, 1), 0.6);
  while (slowness_of (speeds, 1) < 0.7 && runs++ < 100)
    {
      gr_speeds_add (speeds, worker_name (1), 1, 1.0, 1);
      gr_speeds_update (speeds);
    }
  ck_assert_int_le (runs, 10);
  ck_assert_double_lt (slowness_of (speeds, 3), 0.6);
  ck_assert_double_eq (gr_speeds_slowness (speeds, worker_name (3), 2), 1.0);
  gr_speeds_add (speeds, worker_name (3), 2, 1.0, 1);
  gr_speeds_add (speeds, worker_name (3), 1, 0.5, 1);
  gr_speeds_update (speeds);
  ck_assert_double_eq (gr_speeds_slowness (speeds, worker_name (3), 2), 1.0);
  gr_speeds_forget (speeds, worker_name (5));
  gr_speeds_update (speeds);
  ck_assert_double_eq (slowness_of (speeds, 5), 1.0);
  gr_speeds_destroy (speeds);
}
END_TEST

/* Guards against workers that change between uneven and even with every few
 * samples, and against unevenness that outlasts its cause. */
START_TEST (uneven_workers_become_even_once)
{
  GRand *rand = g_rand_new_with_seed ((guint32)_i);
  struct gr_speeds *speeds = gr_speeds_create ();
  int changes = 0;

  for (int i = 0; i < 60 * N_WORKERS; i++)
    {
      int worker = g_rand_int_range (rand, 0, N_WORKERS);
      bool slow = worker % 3 == 0 && i < 30 * N_WORKERS;

      add_run (speeds, worker, slow ? 1.3 : 1.0, rand);
      if (i % 10 == 0)
        changes += gr_speeds_update (speeds);
      if (i == 30 * N_WORKERS)
        ck_assert (gr_speeds_uneven (speeds));
    }
  ck_assert (!gr_speeds_uneven (speeds));
  ck_assert_int_eq (changes, 2);
  gr_speeds_destroy (speeds);
  g_rand_free (rand);
}
END_TEST

static void
copy_speed_row (const struct gr_speed_row *row, void *context)
{
  ck_assert (gr_speeds_restore (context, row));
}

/* Guards against a damaged record, invalid samples, and a successor that
 * relearns what is stored. */
START_TEST (speeds_are_restored_and_checked)
{
  static const struct gr_speed_row bad[] = {
    { NULL, 1, 5, 0 },  { "", 1, 5, 0 },         { "w", -1, 5, 0 },
    { "w", 1, NAN, 0 }, { "w", 1, 0, 0 },        { "w", 1, -1, 0 },
    { "w", 1, 1e6, 0 }, { "w", 1, 5, NAN },      { "w", 1, 5, INFINITY },
    { "w", 1, 5, -50 }, { "w", 1, INFINITY, 0 },
  };
  struct gr_speeds *speeds = gr_speeds_create ();
  struct gr_speeds *copy = gr_speeds_create ();

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    ck_assert_msg (!gr_speeds_restore (copy, &bad[i]), "row %zu", i);
  gr_speeds_add (copy, "w", 1, NAN, 1);
  gr_speeds_add (copy, "w", 1, -1, 1);
  gr_speeds_add (copy, "w", 1, INFINITY, 1);
  gr_speeds_add (copy, "w", 1, 1, NAN);
  ck_assert (!gr_speeds_update (copy));
  for (int i = 0; i < 20 * 40; i++)
    gr_speeds_add (speeds, worker_name (i % 40), 1, i % 2 ? 0.5 : 1.0, 1);
  gr_speeds_update (speeds);
  gr_speeds_each (speeds, copy_speed_row, copy);
  ck_assert (gr_speeds_update (copy));
  for (int i = 0; i < 40; i++)
    ck_assert_double_eq_tol (slowness_of (copy, i), slowness_of (speeds, i),
                             1e-9);
  gr_speeds_destroy (speeds);
  gr_speeds_destroy (copy);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("learn");
  TCase *run_times = tcase_create ("run times");
  TCase *speeds = tcase_create ("speeds");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (run_times, accurate_estimates_are_returned, 0, N_SEEDS);
  tcase_add_loop_test (run_times, estimates_are_corrected_or_replaced, 0,
                       N_SEEDS);
  tcase_add_test (run_times, few_samples_use_the_wider_key);
  tcase_add_test (run_times, old_samples_fade);
  tcase_add_test (run_times, least_recently_used_key_is_evicted);
  tcase_add_test (run_times, restored_run_times_predict_the_same);
  tcase_add_test (run_times, bad_run_time_rows_are_rejected);
  tcase_add_loop_test (speeds, equal_workers_stay_even, 0, N_SEEDS);
  tcase_add_loop_test (speeds, two_speeds_are_told_apart, 0, N_SEEDS);
  tcase_add_test (speeds, near_equal_speeds_are_one_group);
  tcase_add_test (speeds, changes_of_a_worker_are_noticed);
  tcase_add_loop_test (speeds, uneven_workers_become_even_once, 0, 3);
  tcase_add_test (speeds, speeds_are_restored_and_checked);
  suite_add_tcase (suite, run_times);
  suite_add_tcase (suite, speeds);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
