/* Tests of shard ownership and of the journal, against the key-value stand-in.
 */
#include "scheduler/journal.h"
#include "scheduler/ownership.h"
#include "scheduler/page-codec.h"
#include "scheduler/pages.h"
#include "standins/kv.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS 8000

/* One scheduler that competes for the shard. */
struct candidate
{
  struct gr_clock *clock;
  struct gr_ownership *own;
  struct gr_journal *journal;
  uint64_t epoch;
  int acquired;
  int reacquired;
  int lost;
  int released;
  int committed;
  int loaded;
  int records;
  bool eligible;
  char last_job[GR_ID_MAX];
};

struct fixture
{
  struct gr_standin_kv *store;
  struct gr_standin_faults *faults;
  struct gr_counters *counters;
  struct gr_kv *kv;
  struct candidate a;
  struct candidate b;
  int answers;
  bool succeeded;
};

static struct fixture *fixture;

static gboolean
set_flag (gpointer data)
{
  bool *flag = data;

  *flag = true;
  return G_SOURCE_REMOVE;
}

/* Runs the main context until *value reaches wanted. */
static void
wait_for (const int *value, int wanted)
{
  bool late = false;
  guint timer = g_timeout_add (WAIT_MS, set_flag, &late);

  while (*value < wanted && !late)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (*value >= wanted, "timed out at %d, expected %d", *value,
                 wanted);
  if (!late)
    g_source_remove (timer);
}

static void
run_for (guint ms)
{
  bool over = false;

  g_timeout_add (ms, set_flag, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

static bool
always_preferred (void *context)
{
  (void)context;
  return true;
}

static bool
is_eligible (void *context)
{
  return ((struct candidate *)context)->eligible;
}

static void
on_committed (const char *job,
              uint64_t version,
              enum gr_job_state state,
              bool new_state,
              bool first,
              void *context)
{
  struct candidate *candidate = context;

  (void)version;
  (void)state;
  (void)new_state;
  (void)first;
  candidate->committed++;
  g_strlcpy (candidate->last_job, job, sizeof candidate->last_job);
}

static void
on_owner_conflict (const struct gr_kv_entry *owner, void *context)
{
  gr_ownership_handle_conflict (((struct candidate *)context)->own, owner);
}

static void
on_store (bool up, void *context)
{
  (void)up;
  (void)context;
}

static void
on_record (const struct gr_job_record *record, void *context)
{
  struct candidate *candidate = context;

  candidate->records++;
  g_strlcpy (candidate->last_job, record->id, sizeof candidate->last_job);
}

static void
on_loaded (const struct gr_error *error, void *context)
{
  ck_assert_ptr_null (error);
  ((struct candidate *)context)->loaded++;
}

static void
on_acquired (uint64_t epoch, void *context)
{
  static const struct gr_journal_events events = {
    .committed = on_committed,
    .owner_conflict = on_owner_conflict,
    .store = on_store,
  };
  struct candidate *candidate = context;
  struct gr_journal_config config = {
    .shard = (char *)"dc1",
    .writer =
        candidate == &fixture->a ? (char *)"writer-a" : (char *)"writer-b",
    .epoch = epoch,
    .interval_ms = 5,
    .call_timeout_ms = 300,
  };

  candidate->epoch = epoch;
  candidate->acquired++;
  candidate->journal =
      gr_journal_create (fixture->kv, candidate->clock, fixture->counters,
                         &config, &events, candidate);
  gr_journal_load (candidate->journal, on_record, on_loaded);
}

static void
on_reacquired (uint64_t epoch, void *context)
{
  struct candidate *candidate = context;

  candidate->epoch = epoch;
  candidate->reacquired++;
  gr_journal_set_epoch (candidate->journal, epoch);
}

static bool
on_commit_unchanged (const struct gr_kv_entry *entry, void *context)
{
  return gr_journal_commit_unchanged (((struct candidate *)context)->journal,
                                      entry);
}

static void
on_lost (const char *reason, void *context)
{
  struct candidate *candidate = context;

  (void)reason;
  candidate->lost++;
  g_clear_pointer (&candidate->journal, gr_journal_destroy);
}

static void
on_released (void *context)
{
  ((struct candidate *)context)->released++;
}

static void
candidate_start (struct candidate *candidate, const char *writer, int64_t ttl_s)
{
  static const struct gr_ownership_events events = {
    .preferred = always_preferred,
    .eligible = is_eligible,
    .acquired = on_acquired,
    .reacquired = on_reacquired,
    .commit_unchanged = on_commit_unchanged,
    .lost = on_lost,
    .released = on_released,
    .store = on_store,
  };
  struct gr_ownership_config config = {
    .shard = (char *)"dc1",
    .instance = (char *)"i1",
    .address = (char *)"127.0.0.1:1",
    .writer = (char *)writer,
    .ttl_s = ttl_s,
    .poll_ms = 20,
    .call_timeout_ms = 300,
  };

  candidate->eligible = true;
  if (candidate->clock == NULL)
    candidate->clock = gr_clock_create ();
  candidate->own = gr_ownership_create (fixture->kv, candidate->clock, &config,
                                        &events, candidate);
}

static void
candidate_crash (struct candidate *candidate)
{
  g_clear_pointer (&candidate->journal, gr_journal_destroy);
  g_clear_pointer (&candidate->own, gr_ownership_destroy);
}

static void
set_up (void)
{
  struct gr_error error = GR_ERROR_INIT;
  char *url;

  fixture = g_new0 (struct fixture, 1);
  fixture->store = gr_standin_kv_create ("127.0.0.1:0", &error);
  fixture->faults = gr_standin_faults (gr_standin_kv_base (fixture->store));
  fixture->counters = gr_counters_create ();
  url = g_strconcat ("http://",
                     gr_standin_address (gr_standin_kv_base (fixture->store)),
                     NULL);
  fixture->kv = gr_kv_create (url, 1000, 1000, fixture->counters);
  g_free (url);
}

static void
tear_down (void)
{
  candidate_crash (&fixture->a);
  candidate_crash (&fixture->b);
  gr_kv_destroy (fixture->kv);
  gr_standin_kv_destroy (fixture->store);
  gr_counters_destroy (fixture->counters);
  gr_clock_destroy (fixture->a.clock);
  gr_clock_destroy (fixture->b.clock);
  g_clear_pointer (&fixture, g_free);
}

static void
put (struct candidate *candidate, const char *key, uint64_t version)
{
  struct gr_job_record record = { .version = version };

  g_snprintf (record.id, sizeof record.id, "dc1.team.%s", key);
  g_strlcpy (record.spec.account, "team", sizeof record.spec.account);
  g_strlcpy (record.spec.key, key, sizeof record.spec.key);
  record.spec.shape.workers = 1;
  record.spec.shape.accelerators_per_worker = 1;
  record.spec.run_ms = 1000;
  gr_journal_put (candidate->journal, &record);
}

static void
record_answer (const struct gr_kv_result *result,
               const struct gr_error *error,
               void *context)
{
  struct fixture *f = context;

  f->succeeded = error == NULL && result->n_entries > 0;
  f->answers++;
}

static void
revoke_found_lease (const struct gr_kv_result *result,
                    const struct gr_error *error,
                    void *context)
{
  struct fixture *f = context;

  ck_assert_ptr_null (error);
  ck_assert_uint_eq (result->n_entries, 1);
  gr_kv_lease_revoke (f->kv, "test", result->entries[0].lease, 1000,
                      record_answer, f);
}

/* Revokes the lease of the owner key, which has the effect of its expiry. */
static void
expire_owner (void)
{
  int before = fixture->answers;

  gr_kv_range (fixture->kv, "test", "/geraniumrack/shards/dc1/owner", false, 0,
               1000, revoke_found_lease, fixture);
  wait_for (&fixture->answers, before + 1);
}

static bool
store_has (const char *key)
{
  int before = fixture->answers;

  gr_kv_range (fixture->kv, "test", key, false, 0, 1000, record_answer,
               fixture);
  wait_for (&fixture->answers, before + 1);
  return fixture->succeeded;
}

/* Guards against two owners, or none, when the response to the creation of the
 * owner key is lost (round 0) or the request is (round 1). */
START_TEST (lost_answer_of_owner_key)
{
  struct gr_standin *base = gr_standin_kv_base (fixture->store);

  candidate_start (&fixture->a, "writer-a", 9);
  while (gr_standin_call_count (base, "/v3/lease/grant") == 0)
    g_main_context_iteration (NULL, TRUE);
  if (_i == 0)
    fixture->faults->lose_answers = 1;
  else
    fixture->faults->lose_requests = 1;
  wait_for (&fixture->a.acquired, 1);
  ck_assert_int_eq (fixture->faults->lose_answers, 0);
  ck_assert_int_eq (fixture->faults->lose_requests, 0);
  ck_assert_int_eq (gr_standin_call_count (base, "/v3/lease/grant"), 1);
  candidate_start (&fixture->b, "writer-b", 9);
  run_for (200);
  ck_assert_int_eq (fixture->b.acquired, 0);
  ck_assert (gr_ownership_may_command (fixture->a.own));
  ck_assert (!gr_ownership_may_command (fixture->b.own));
}
END_TEST

/* Guards against commits that are reported twice or never when a response or a
 * request of the journal is lost. */
START_TEST (lost_answer_of_commit)
{
  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  for (int i = 1; i <= 4; i++)
    {
      char key[16];

      g_snprintf (key, sizeof key, "k%d", i);
      if (i % 2 == 0)
        fixture->faults->lose_answers = 1;
      else
        fixture->faults->lose_requests = 1;
      put (&fixture->a, key, 1);
      wait_for (&fixture->a.committed, i);
    }
  run_for (100);
  ck_assert_int_eq (fixture->a.committed, 4);
  ck_assert_int_eq (fixture->a.lost, 0);
  candidate_crash (&fixture->a);
  expire_owner ();
  candidate_start (&fixture->b, "writer-b", 9);
  wait_for (&fixture->b.loaded, 1);
  ck_assert_int_eq (fixture->b.records, 4);
}
END_TEST

/* Guards against a shard that stays without an owner after a crash, and
 * against a process that mistakes the owner key of its former incarnation for
 * its own. */
START_TEST (takeover_after_lease_expiry)
{
  candidate_start (&fixture->a, "writer-a", 1);
  wait_for (&fixture->a.loaded, 1);
  put (&fixture->a, "k", 1);
  wait_for (&fixture->a.committed, 1);
  candidate_crash (&fixture->a);
  candidate_start (&fixture->b, "writer-b", 1);
  run_for (200);
  ck_assert_int_eq (fixture->b.acquired, 0);
  wait_for (&fixture->b.loaded, 1);
  ck_assert_uint_gt (fixture->b.epoch, fixture->a.epoch);
  ck_assert_str_eq (fixture->b.last_job, "dc1.team.k");
  run_for (1500);
  ck_assert_int_eq (fixture->b.lost, 0);
}
END_TEST

/* Guards against a commit by an owner that was paused, has resumed after a
 * takeover and has not detected yet that it lost the shard. */
START_TEST (paused_owner_commits_nothing)
{
  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  fixture->a.eligible = false;
  expire_owner ();
  candidate_start (&fixture->b, "writer-b", 9);
  wait_for (&fixture->b.loaded, 1);
  ck_assert_int_eq (fixture->a.lost, 0);
  put (&fixture->a, "late", 1);
  wait_for (&fixture->a.lost, 1);
  ck_assert_int_eq (fixture->a.committed, 0);
  ck_assert (!store_has ("/geraniumrack/shards/dc1/commit"));
  ck_assert_int_eq (fixture->b.lost, 0);
  ck_assert (!gr_ownership_may_command (fixture->a.own));
}
END_TEST

/* Guards against commands that an owner sends after a pause, before it has
 * confirmed that its lease is still valid. */
START_TEST (no_command_right_after_a_pause)
{
  struct gr_standin *base = gr_standin_kv_base (fixture->store);
  int64_t renewals;

  fixture->a.clock = gr_clock_create_manual (1000);
  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  ck_assert (gr_ownership_may_command (fixture->a.own));
  renewals = gr_standin_call_count (base, "/v3/lease/keepalive");
  gr_clock_advance (fixture->a.clock, 9000);
  ck_assert (!gr_ownership_may_command (fixture->a.own));
  /* The renewal is due 3 s after the grant, by the timer of the main loop,
   * which the manual clock does not advance. */
  while (!gr_ownership_may_command (fixture->a.own))
    g_main_context_iteration (NULL, TRUE);
  ck_assert_int_gt (gr_standin_call_count (base, "/v3/lease/keepalive"),
                    renewals);
}
END_TEST

/* Guards against losing the state in memory when the lease expires in a store
 * outage and no other scheduler has become owner. */
START_TEST (expired_lease_is_reclaimed)
{
  uint64_t epoch;

  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  put (&fixture->a, "k1", 1);
  wait_for (&fixture->a.committed, 1);
  epoch = fixture->a.epoch;
  expire_owner ();
  put (&fixture->a, "k2", 1);
  wait_for (&fixture->a.reacquired, 1);
  wait_for (&fixture->a.committed, 2);
  ck_assert_uint_gt (fixture->a.epoch, epoch);
  ck_assert_int_eq (fixture->a.lost, 0);
  ck_assert_int_eq (fixture->a.acquired, 1);
}
END_TEST

/* Guards against a reclaim by a former owner after another owner has committed
 * changes to the shard. */
START_TEST (changed_shard_is_not_reclaimed)
{
  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  fixture->a.eligible = false;
  expire_owner ();
  candidate_start (&fixture->b, "writer-b", 9);
  wait_for (&fixture->b.loaded, 1);
  put (&fixture->b, "k", 1);
  wait_for (&fixture->b.committed, 1);
  candidate_crash (&fixture->b);
  expire_owner ();
  put (&fixture->a, "late", 1);
  wait_for (&fixture->a.lost, 1);
  ck_assert_int_eq (fixture->a.reacquired, 0);
  ck_assert_int_eq (fixture->a.committed, 0);
}
END_TEST

/* Guards against commits that are lost in a store outage, and against giving
 * up the shard because of one. */
START_TEST (store_outage)
{
  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  fixture->faults->down = 1;
  put (&fixture->a, "k", 1);
  run_for (600);
  ck_assert_int_eq (fixture->a.committed, 0);
  ck_assert (!gr_journal_store_is_up (fixture->a.journal));
  ck_assert (gr_ownership_may_command (fixture->a.own));
  fixture->faults->down = 0;
  wait_for (&fixture->a.committed, 1);
  ck_assert (gr_journal_store_is_up (fixture->a.journal));
  ck_assert_int_eq (fixture->a.lost, 0);
}
END_TEST

/* Guards against an instance that owns a shard which it has released, because
 * an answer of its last attempt to reclaim it came later. */
START_TEST (released_shard_is_not_reclaimed)
{
  struct gr_standin *base = gr_standin_kv_base (fixture->store);

  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  expire_owner ();
  put (&fixture->a, "k", 1);
  while (gr_standin_call_count (base, "/v3/lease/grant") < 2)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_int_eq (gr_ownership_state (fixture->a.own),
                    GR_OWNERSHIP_RECLAIMING);
  gr_ownership_release (fixture->a.own);
  ck_assert_int_eq (fixture->a.released, 1);
  run_for (500);
  ck_assert_int_eq (fixture->a.acquired, 1);
  ck_assert_int_eq (gr_ownership_state (fixture->a.own), GR_OWNERSHIP_WAITING);
  ck_assert (!store_has ("/geraniumrack/shards/dc1/owner"));
}
END_TEST

/* Guards against an owner key that remains after a planned stop. */
START_TEST (release_hands_the_shard_over)
{
  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  candidate_start (&fixture->b, "writer-b", 9);
  gr_ownership_release (fixture->a.own);
  wait_for (&fixture->a.released, 1);
  wait_for (&fixture->b.loaded, 1);
  ck_assert_int_eq (fixture->a.lost, 0);
  ck_assert_int_eq (fixture->a.acquired, 1);
}
END_TEST

static void
ignore_record (const struct gr_job_record *record, void *context)
{
  (void)record;
  (void)context;
}

/* Guards against a corrupt page or record that is treated as empty and then
 * overwritten. */
START_TEST (damaged_pages_are_noticed)
{
  static const char bad_record[] = "\x81\xa4jobs\x91\x81\xa1x\x01";
  struct gr_pages *pages = gr_pages_create ();
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct gr_page_change));
  struct gr_error error = GR_ERROR_INIT;
  GBytes *bytes = gr_page_compress (bad_record, sizeof bad_record - 1);
  uint32_t unreadable = 0;
  GBytes *again;

  ck_assert (!gr_pages_load (pages, 0, "damaged", 7, ignore_record, NULL,
                             &unreadable, &error));
  ck_assert_int_eq (error.kind, GR_ERROR_PROTOCOL);
  ck_assert (gr_pages_load (pages, 3, g_bytes_get_data (bytes, NULL),
                            g_bytes_get_size (bytes), ignore_record, NULL,
                            &unreadable, &error));
  ck_assert_uint_eq (unreadable, 1);
  again = gr_pages_serialize (pages, 3, changes);
  ck_assert_uint_eq (changes->len, 0);
  ck_assert_uint_eq (gr_pages_bytes (pages, 0), 16);
  ck_assert_uint_gt (gr_pages_bytes (pages, 3), 16);
  g_bytes_unref (again);
  g_bytes_unref (bytes);
  g_array_unref (changes);
  gr_pages_destroy (pages);
}
END_TEST

static void
fill_record (struct gr_job_record *record, int number, uint32_t workers)
{
  memset (record, 0, sizeof *record);
  record->version = 1;
  g_snprintf (record->spec.key, sizeof record->spec.key, "gang-%d", number);
  g_strlcpy (record->spec.account, "team", sizeof record->spec.account);
  g_snprintf (record->id, sizeof record->id, "dc1.team.gang-%d", number);
  record->spec.shape.workers = workers;
  record->spec.shape.accelerators_per_worker = 8;
  record->spec.run_ms = 1000;
}

static void
place_record (struct gr_job_record *record)
{
  record->version++;
  record->state = GR_JOB_RUNNING;
  record->n_placements = record->spec.shape.workers;
  record->placements = g_new0 (struct gr_placement, record->n_placements);
  for (uint32_t i = 0; i < record->n_placements; i++)
    {
      struct gr_placement *placement = &record->placements[i];

      g_snprintf (placement->worker, sizeof placement->worker,
                  "dc1-rack-017-worker-%04u", i);
      g_snprintf (placement->lease, sizeof placement->lease,
                  "%s/1234567890/3/%u", record->id, i);
      g_snprintf (placement->task, sizeof placement->task, "%s/1234567890/3/%u",
                  record->id, i);
      placement->accelerators = 0xff;
    }
}

/* Guards against pages above the 1 MB limit of the store when accepted gangs
 * get their placements. */
START_TEST (pages_stay_below_the_limit)
{
  struct gr_pages *pages = gr_pages_create ();
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct gr_page_change));
  struct gr_job_record record;
  int accepted = 0;

  for (int i = 0; i < 400; i++)
    {
      fill_record (&record, i, GR_JOB_MAX_WORKERS);
      if (!gr_pages_have_capacity (pages, record.id, &record.spec))
        continue;
      accepted++;
      ck_assert (gr_pages_put (pages, &record));
      place_record (&record);
      ck_assert (gr_pages_put (pages, &record));
      ck_assert (!gr_pages_put (pages, &record));
      gr_job_record_clear (&record);
    }
  ck_assert_int_ge (accepted, 2 * (intmax_t)GR_PAGES);
  ck_assert_int_lt (accepted, 400);
  for (uint32_t i = 0; i < GR_PAGES; i++)
    {
      size_t expected = gr_pages_bytes (pages, i);
      GBytes *bytes = gr_pages_serialize (pages, i, changes);

      ck_assert_uint_le (expected, GR_PAGE_MAX_BYTES);
      ck_assert_uint_le (g_bytes_get_size (bytes), expected);
      g_bytes_unref (bytes);
    }
  ck_assert_uint_eq (changes->len, (guint)accepted);
  g_array_unref (changes);
  gr_pages_destroy (pages);
}
END_TEST

/* Guards against transactions that are larger than the store accepts, even if
 * pages do not compress: 24 gangs of 1024 take more than 4 MB. */
START_TEST (large_changes_are_split)
{
  struct gr_job_record record;

  candidate_start (&fixture->a, "writer-a", 9);
  wait_for (&fixture->a.loaded, 1);
  for (int i = 0; i < 24; i++)
    {
      fill_record (&record, i, GR_JOB_MAX_WORKERS);
      place_record (&record);
      gr_journal_put (fixture->a.journal, &record);
      gr_job_record_clear (&record);
    }
  wait_for (&fixture->a.committed, 24);
  ck_assert_int_eq (fixture->a.lost, 0);
  ck_assert_int_ge (gr_counter_value (gr_counters_get (fixture->counters,
                                                       "journal_commits_total",
                                                       "shard=\"dc1\"")),
                    4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("scheduler-store");
  TCase *tcase = tcase_create ("scheduler-store");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, lost_answer_of_owner_key, 0, 2);
  tcase_add_test (tcase, lost_answer_of_commit);
  tcase_add_test (tcase, takeover_after_lease_expiry);
  tcase_add_test (tcase, paused_owner_commits_nothing);
  tcase_add_test (tcase, no_command_right_after_a_pause);
  tcase_add_test (tcase, expired_lease_is_reclaimed);
  tcase_add_test (tcase, changed_shard_is_not_reclaimed);
  tcase_add_test (tcase, store_outage);
  tcase_add_test (tcase, released_shard_is_not_reclaimed);
  tcase_add_test (tcase, release_hands_the_shard_over);
  tcase_add_test (tcase, damaged_pages_are_noticed);
  tcase_add_test (tcase, pages_stay_below_the_limit);
  tcase_add_test (tcase, large_changes_are_split);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
