/* Ownership of a shard and its journal, against the key-value stand-in. */
#include "scheduler/journal.h"
#include "scheduler/ownership.h"
#include "scheduler/page-codec.h"
#include "scheduler/pages.h"
#include "standins/kv.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS 8000

/* One scheduler as far as the store sees it. */
struct party
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
  char last[GR_ID_MAX];
};

struct fixture
{
  struct gr_standin_kv *store;
  struct gr_standin_faults *faults;
  struct gr_counters *counters;
  struct gr_kv *kv;
  struct party a;
  struct party b;
  int answers;
  bool succeeded;
};

static struct fixture *the;

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
  ck_assert_msg (*value >= wanted, "%d instead of %d", *value, wanted);
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
yes (void *context)
{
  (void)context;
  return true;
}

static bool
is_eligible (void *context)
{
  return ((struct party *)context)->eligible;
}

static void
on_committed (const char *job,
              uint64_t version,
              enum gr_job_state state,
              bool new_state,
              bool first,
              void *context)
{
  struct party *party = context;

  (void)version;
  (void)state;
  (void)new_state;
  (void)first;
  party->committed++;
  g_strlcpy (party->last, job, sizeof party->last);
}

static void
on_contested (const struct gr_kv_entry *owner, void *context)
{
  gr_ownership_contested (((struct party *)context)->own, owner);
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
  struct party *party = context;

  party->records++;
  g_strlcpy (party->last, record->id, sizeof party->last);
}

static void
on_loaded (const struct gr_error *error, void *context)
{
  ck_assert_ptr_null (error);
  ((struct party *)context)->loaded++;
}

static void
on_acquired (uint64_t epoch, void *context)
{
  static const struct gr_journal_events events = {
    .committed = on_committed,
    .contested = on_contested,
    .store = on_store,
  };
  struct party *party = context;
  struct gr_journal_config config = {
    .shard = (char *)"dc1",
    .writer = party == &the->a ? (char *)"writer-a" : (char *)"writer-b",
    .epoch = epoch,
    .interval_ms = 5,
    .call_timeout_ms = 300,
  };

  party->epoch = epoch;
  party->acquired++;
  party->journal = gr_journal_create (the->kv, party->clock, the->counters,
                                      &config, &events, party);
  gr_journal_load (party->journal, on_record, on_loaded);
}

static void
on_reacquired (uint64_t epoch, void *context)
{
  struct party *party = context;

  party->epoch = epoch;
  party->reacquired++;
  gr_journal_set_epoch (party->journal, epoch);
}

static bool
on_commit_unchanged (const struct gr_kv_entry *entry, void *context)
{
  return gr_journal_commit_unchanged (((struct party *)context)->journal,
                                      entry);
}

static void
on_lost (const char *reason, void *context)
{
  struct party *party = context;

  (void)reason;
  party->lost++;
  g_clear_pointer (&party->journal, gr_journal_destroy);
}

static void
on_released (void *context)
{
  ((struct party *)context)->released++;
}

static void
party_start (struct party *party, const char *writer, int64_t ttl_s)
{
  static const struct gr_ownership_events events = {
    .preferred = yes,
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

  party->eligible = true;
  if (party->clock == NULL)
    party->clock = gr_clock_create ();
  party->own =
      gr_ownership_create (the->kv, party->clock, &config, &events, party);
}

static void
party_crash (struct party *party)
{
  g_clear_pointer (&party->journal, gr_journal_destroy);
  g_clear_pointer (&party->own, gr_ownership_destroy);
}

static void
set_up (void)
{
  struct gr_error error = GR_ERROR_INIT;
  char *url;

  the = g_new0 (struct fixture, 1);
  the->store = gr_standin_kv_create ("127.0.0.1:0", &error);
  the->faults = gr_standin_faults (gr_standin_kv_base (the->store));
  the->counters = gr_counters_create ();
  url = g_strconcat (
      "http://", gr_standin_address (gr_standin_kv_base (the->store)), NULL);
  the->kv = gr_kv_create (url, 1000, 1000, the->counters);
  g_free (url);
}

static void
tear_down (void)
{
  party_crash (&the->a);
  party_crash (&the->b);
  gr_kv_destroy (the->kv);
  gr_standin_kv_destroy (the->store);
  gr_counters_destroy (the->counters);
  gr_clock_destroy (the->a.clock);
  gr_clock_destroy (the->b.clock);
  g_clear_pointer (&the, g_free);
}

static void
put (struct party *party, const char *key, uint64_t version)
{
  struct gr_job_record record = { .version = version };

  g_snprintf (record.id, sizeof record.id, "dc1.team.%s", key);
  g_strlcpy (record.spec.account, "team", sizeof record.spec.account);
  g_strlcpy (record.spec.key, key, sizeof record.spec.key);
  record.spec.shape.workers = 1;
  record.spec.shape.accelerators_per_worker = 1;
  record.spec.run_ms = 1000;
  gr_journal_put (party->journal, &record);
}

static void
note_answer (const struct gr_kv_result *result,
             const struct gr_error *error,
             void *context)
{
  struct fixture *fixture = context;

  fixture->succeeded = error == NULL && result->n_entries > 0;
  fixture->answers++;
}

static void
note_lease (const struct gr_kv_result *result,
            const struct gr_error *error,
            void *context)
{
  struct fixture *fixture = context;

  ck_assert_ptr_null (error);
  ck_assert_uint_eq (result->n_entries, 1);
  gr_kv_lease_revoke (fixture->kv, "test", result->entries[0].lease, 1000,
                      note_answer, fixture);
}

/* Ends the lease of the owner key as its expiry would. */
static void
expire_owner (void)
{
  int before = the->answers;

  gr_kv_range (the->kv, "test", "/geraniumrack/shards/dc1/owner", false, 0,
               1000, note_lease, the);
  wait_for (&the->answers, before + 1);
}

static bool
store_has (const char *key)
{
  int before = the->answers;

  gr_kv_range (the->kv, "test", key, false, 0, 1000, note_answer, the);
  wait_for (&the->answers, before + 1);
  return the->succeeded;
}

/* Guards against two owners, and against none, after the answer to the
 * creation of the owner key was lost. */
START_TEST (lost_answer_of_owner_key)
{
  struct gr_standin *base = gr_standin_kv_base (the->store);

  party_start (&the->a, "writer-a", 9);
  while (gr_standin_count (base, "/v3/lease/grant") == 0)
    g_main_context_iteration (NULL, TRUE);
  if (_i == 0)
    the->faults->lose_answers = 1;
  else
    the->faults->lose_requests = 1;
  wait_for (&the->a.acquired, 1);
  ck_assert_int_eq (the->faults->lose_answers, 0);
  ck_assert_int_eq (the->faults->lose_requests, 0);
  ck_assert_int_eq (gr_standin_count (base, "/v3/lease/grant"), 1);
  party_start (&the->b, "writer-b", 9);
  run_for (200);
  ck_assert_int_eq (the->b.acquired, 0);
  ck_assert (gr_ownership_may_command (the->a.own));
  ck_assert (!gr_ownership_may_command (the->b.own));
}
END_TEST

/* Guards against commits that are reported twice, or never, after an answer or
 * a request was lost. */
START_TEST (lost_answer_of_commit)
{
  party_start (&the->a, "writer-a", 9);
  wait_for (&the->a.loaded, 1);
  for (int i = 1; i <= 4; i++)
    {
      char key[16];

      g_snprintf (key, sizeof key, "k%d", i);
      if (i % 2 == 0)
        the->faults->lose_answers = 1;
      else
        the->faults->lose_requests = 1;
      put (&the->a, key, 1);
      wait_for (&the->a.committed, i);
    }
  run_for (100);
  ck_assert_int_eq (the->a.committed, 4);
  ck_assert_int_eq (the->a.lost, 0);
  party_crash (&the->a);
  expire_owner ();
  party_start (&the->b, "writer-b", 9);
  wait_for (&the->b.loaded, 1);
  ck_assert_int_eq (the->b.records, 4);
}
END_TEST

/* Guards against a shard without owner after a crash, and against a process
 * that takes the key of its former incarnation for its own. */
START_TEST (takeover_after_lease_expiry)
{
  party_start (&the->a, "writer-a", 1);
  wait_for (&the->a.loaded, 1);
  put (&the->a, "k", 1);
  wait_for (&the->a.committed, 1);
  party_crash (&the->a);
  party_start (&the->b, "writer-b", 1);
  run_for (200);
  ck_assert_int_eq (the->b.acquired, 0);
  wait_for (&the->b.loaded, 1);
  ck_assert_uint_gt (the->b.epoch, the->a.epoch);
  ck_assert_str_eq (the->b.last, "dc1.team.k");
  run_for (1500);
  ck_assert_int_eq (the->b.lost, 0);
}
END_TEST

/* Guards against a commit of an owner that was paused, woke after a takeover
 * and does not know it yet. */
START_TEST (paused_owner_commits_nothing)
{
  party_start (&the->a, "writer-a", 9);
  wait_for (&the->a.loaded, 1);
  the->a.eligible = false;
  expire_owner ();
  party_start (&the->b, "writer-b", 9);
  wait_for (&the->b.loaded, 1);
  ck_assert_int_eq (the->a.lost, 0);
  put (&the->a, "late", 1);
  wait_for (&the->a.lost, 1);
  ck_assert_int_eq (the->a.committed, 0);
  ck_assert (!store_has ("/geraniumrack/shards/dc1/commit"));
  ck_assert_int_eq (the->b.lost, 0);
  ck_assert (!gr_ownership_may_command (the->a.own));
}
END_TEST

/* Guards against commands that an owner sends after a pause, before it has
 * heard whether its lease still stands. */
START_TEST (no_command_right_after_a_pause)
{
  struct gr_standin *base = gr_standin_kv_base (the->store);
  int64_t renewals;

  the->a.clock = gr_clock_create_manual (1000);
  party_start (&the->a, "writer-a", 9);
  wait_for (&the->a.loaded, 1);
  ck_assert (gr_ownership_may_command (the->a.own));
  renewals = gr_standin_count (base, "/v3/lease/keepalive");
  gr_clock_advance (the->a.clock, 9000);
  ck_assert (!gr_ownership_may_command (the->a.own));
  /* The renewal is due by the timer of the main loop, 3 s after the grant. */
  while (!gr_ownership_may_command (the->a.own))
    g_main_context_iteration (NULL, TRUE);
  ck_assert_int_gt (gr_standin_count (base, "/v3/lease/keepalive"), renewals);
}
END_TEST

/* Guards against the loss of what the core knows when the lease expired in a
 * store outage and nobody else has become owner. */
START_TEST (expired_lease_is_reclaimed)
{
  uint64_t epoch;

  party_start (&the->a, "writer-a", 9);
  wait_for (&the->a.loaded, 1);
  put (&the->a, "k1", 1);
  wait_for (&the->a.committed, 1);
  epoch = the->a.epoch;
  expire_owner ();
  put (&the->a, "k2", 1);
  wait_for (&the->a.reacquired, 1);
  wait_for (&the->a.committed, 2);
  ck_assert_uint_gt (the->a.epoch, epoch);
  ck_assert_int_eq (the->a.lost, 0);
  ck_assert_int_eq (the->a.acquired, 1);
}
END_TEST

/* Guards against a reclaim by an owner whose shard another one has changed
 * meanwhile. */
START_TEST (changed_shard_is_not_reclaimed)
{
  party_start (&the->a, "writer-a", 9);
  wait_for (&the->a.loaded, 1);
  the->a.eligible = false;
  expire_owner ();
  party_start (&the->b, "writer-b", 9);
  wait_for (&the->b.loaded, 1);
  put (&the->b, "k", 1);
  wait_for (&the->b.committed, 1);
  party_crash (&the->b);
  expire_owner ();
  put (&the->a, "late", 1);
  wait_for (&the->a.lost, 1);
  ck_assert_int_eq (the->a.reacquired, 0);
  ck_assert_int_eq (the->a.committed, 0);
}
END_TEST

/* Guards against commits that are lost in a store outage, and against a shard
 * that is given up because of one. */
START_TEST (store_outage)
{
  party_start (&the->a, "writer-a", 9);
  wait_for (&the->a.loaded, 1);
  the->faults->down = 1;
  put (&the->a, "k", 1);
  run_for (600);
  ck_assert_int_eq (the->a.committed, 0);
  ck_assert (!gr_journal_store_is_up (the->a.journal));
  ck_assert (gr_ownership_may_command (the->a.own));
  the->faults->down = 0;
  wait_for (&the->a.committed, 1);
  ck_assert (gr_journal_store_is_up (the->a.journal));
  ck_assert_int_eq (the->a.lost, 0);
}
END_TEST

/* Guards against an owner key that stays after a planned stop. */
START_TEST (release_hands_the_shard_over)
{
  party_start (&the->a, "writer-a", 9);
  wait_for (&the->a.loaded, 1);
  party_start (&the->b, "writer-b", 9);
  gr_ownership_release (the->a.own);
  wait_for (&the->a.released, 1);
  wait_for (&the->b.loaded, 1);
  ck_assert_int_eq (the->a.lost, 0);
  ck_assert_int_eq (the->a.acquired, 1);
}
END_TEST

static void
ignore_record (const struct gr_job_record *record, void *context)
{
  (void)record;
  (void)context;
}

/* Guards against a damaged page, or a damaged record, that is taken for an
 * empty one and then overwritten. */
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
  again = gr_pages_take (pages, 3, changes);
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

/* Guards against pages above the 1 MB that the store takes, when gangs that
 * were accepted get their placements. */
START_TEST (pages_stay_below_the_limit)
{
  struct gr_pages *pages = gr_pages_create ();
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct gr_page_change));
  struct gr_job_record record;
  int accepted = 0;

  for (int i = 0; i < 400; i++)
    {
      fill_record (&record, i, GR_JOB_MAX_WORKERS);
      if (!gr_pages_have_room (pages, record.id, &record.spec))
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
      GBytes *bytes = gr_pages_take (pages, i, changes);

      ck_assert_uint_le (expected, GR_PAGE_MAX_BYTES);
      ck_assert_uint_le (g_bytes_get_size (bytes), expected);
      g_bytes_unref (bytes);
    }
  ck_assert_uint_eq (changes->len, (guint)accepted);
  g_array_unref (changes);
  gr_pages_destroy (pages);
}
END_TEST

/* Guards against one transaction with more bytes than the store takes, even if
 * pages cannot be compressed: 24 gangs of 1024 have more than 4 MB. */
START_TEST (large_changes_are_split)
{
  struct gr_job_record record;

  party_start (&the->a, "writer-a", 9);
  wait_for (&the->a.loaded, 1);
  for (int i = 0; i < 24; i++)
    {
      fill_record (&record, i, GR_JOB_MAX_WORKERS);
      place_record (&record);
      gr_journal_put (the->a.journal, &record);
      gr_job_record_clear (&record);
    }
  wait_for (&the->a.committed, 24);
  ck_assert_int_eq (the->a.lost, 0);
  ck_assert_int_ge (
      gr_counter_value (gr_counters_get (the->counters, "journal_commits_total",
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
