#include "http/http-server.h"
#include "instance/expiry.h"
#include "instance/ownership.h"
#include "platform/metastore.h"
#include "standins/metastore.h"
#include "steps/tenure.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Tests of the metadata store client, and of job expiry and the election of the
 * owner, against the stand-in of the store. */

struct fixture
{
  struct gr_standin_platform *platform;
  struct gr_metastore *store;
  struct gr_counters *counters;
  struct gr_error error;
  bool conditions_held;
  int64_t revision;
  int64_t lease;
  char value[32];
  size_t n_items;
  uint32_t answers;
};

static void
fixture_create (struct fixture *fixture)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_standin_platform_settings options = {
    .listen = "127.0.0.1:0",
    .workers = 1,
    .per_rack = 1,
    .accelerators = 8,
  };

  memset (fixture, 0, sizeof *fixture);
  fixture->platform = gr_standin_platform_create (&options, &error);
  ck_assert_msg (fixture->platform != NULL, "%s", error.message);
  fixture->counters = gr_counters_create ();
  fixture->store = gr_metastore_create (
      gr_standin_address (gr_standin_platform_base (fixture->platform)),
      fixture->counters);
}

static void
fixture_destroy (struct fixture *fixture)
{
  gr_metastore_destroy (fixture->store);
  gr_counters_destroy (fixture->counters);
  gr_standin_platform_destroy (fixture->platform);
}

static void
reply_done (const struct gr_metastore_result *result,
            const struct gr_error *error,
            void *context)
{
  struct fixture *fixture = context;
  gsize size = 0;
  const char *text;

  fixture->answers++;
  fixture->error = error ? *error : (struct gr_error)GR_ERROR_INIT;
  if (error != NULL)
    return;
  fixture->n_items = result->n_items;
  fixture->conditions_held = result->conditions_held;
  fixture->revision = result->revision;
  fixture->lease = result->lease;
  fixture->value[0] = '\0';
  if (result->n_items == 0 || result->items[0].value == NULL)
    return;
  text = g_bytes_get_data (result->items[0].value, &size);
  g_snprintf (fixture->value, sizeof fixture->value, "%.*s", (int)size, text);
}

static void
wait_for_answer (struct fixture *fixture)
{
  uint32_t before = fixture->answers;

  while (fixture->answers == before)
    g_main_context_iteration (NULL, TRUE);
}

static void
put (struct fixture *fixture,
     const char *key,
     const char *value,
     int64_t expected)
{
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();

  gr_metastore_txn_expect (txn, key, expected);
  gr_metastore_txn_put (txn, key, value, strlen (value), 0);
  gr_metastore_commit (fixture->store, txn, 400,
                       (struct gr_metastore_reply){ reply_done, fixture });
  wait_for_answer (fixture);
}

/* Guards against a conflict that does not return the current item. A client
 * that retries after a lost answer needs it to tell whether its own first write
 * or another client's write took effect. */
START_TEST (conflict_returns_the_current_item)
{
  struct fixture fixture;

  fixture_create (&fixture);
  put (&fixture, "gr/x", "one", 0);
  ck_assert (fixture.conditions_held);
  put (&fixture, "gr/x", "two", 0);
  ck_assert_int_eq (fixture.error.kind, GR_ERROR_NONE);
  ck_assert (!fixture.conditions_held);
  ck_assert_str_eq (fixture.value, "one");
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against reporting a write whose answer was lost as not applied: it may
 * have taken effect. */
START_TEST (lost_answer_is_not_a_refusal)
{
  struct fixture fixture;

  fixture_create (&fixture);
  gr_standin_faults (gr_standin_platform_base (fixture.platform))
      ->lose_answers = 2;
  put (&fixture, "gr/x", "one", 0);
  ck_assert_int_ne (fixture.error.kind, GR_ERROR_NONE);
  ck_assert_int_ne (fixture.error.kind, GR_ERROR_STORE_UNAVAILABLE);
  fixture_destroy (&fixture);
}
END_TEST

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

static void
run_for (uint32_t time_ms)
{
  bool elapsed = false;

  g_timeout_add (time_ms, set_flag, &elapsed);
  while (!elapsed)
    g_main_context_iteration (NULL, TRUE);
}

/* Guards against requests that wait for a store that has stopped responding
 * until their deadline has nearly passed, although earlier calls have already
 * shown that it does not respond. */
START_TEST (unresponsive_store_is_detected)
{
  struct fixture fixture;
  struct gr_standin_faults *faults;

  fixture_create (&fixture);
  faults = gr_standin_faults (gr_standin_platform_base (fixture.platform));
  put (&fixture, "gr/x", "one", 0);
  ck_assert_int_eq (gr_metastore_unresponsive_ms (fixture.store), 0);
  faults->silent = 1;
  gr_metastore_get (fixture.store, "gr/x", 300,
                    (struct gr_metastore_reply){ reply_done, &fixture });
  run_for (200);
  ck_assert_int_ge (gr_metastore_unresponsive_ms (fixture.store), 150);
  run_for (400);
  /* The time still counts after the call has timed out. */
  ck_assert_int_ge (gr_metastore_unresponsive_ms (fixture.store), 500);
  faults->silent = 0;
  gr_metastore_get (fixture.store, "gr/x", 300,
                    (struct gr_metastore_reply){ reply_done, &fixture });
  wait_for_answer (&fixture);
  ck_assert_int_eq (gr_metastore_unresponsive_ms (fixture.store), 0);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a single lost answer that blocks all submissions forever:
 * while they are refused, only watches show that the store responds again. */
START_TEST (watch_shows_that_the_store_answers)
{
  struct fixture fixture;

  fixture_create (&fixture);
  gr_standin_faults (gr_standin_platform_base (fixture.platform))
      ->lose_answers = 2;
  put (&fixture, "gr/x", "one", 0);
  run_for (20);
  ck_assert_int_gt (gr_metastore_unresponsive_ms (fixture.store), 0);
  gr_metastore_watch (fixture.store, "gr/", 0, 100, 1000,
                      (struct gr_metastore_reply){ reply_done, &fixture });
  wait_for_answer (&fixture);
  ck_assert_int_eq (gr_metastore_unresponsive_ms (fixture.store), 0);
  fixture_destroy (&fixture);
}
END_TEST

static GBytes *
encode_job (const char *id)
{
  struct gr_step_spec step = { .count = 1, .needs = { 1000, 100, 1 } };
  struct gr_job_spec spec = {
    .queue = (char *)"q",
    .account = (char *)"a",
    .payload = (char *)"",
    .steps = &step,
    .n_steps = 1,
  };

  g_strlcpy (spec.id, id, sizeof spec.id);
  return gr_record_encode_job (&spec);
}

static GBytes *
encode_state (enum gr_job_state state)
{
  struct gr_job_progress progress = { .state = state };

  return gr_record_encode_progress (&progress);
}

/* Writes a record of the job, and releases the value. */
static void
put_record (struct fixture *fixture,
            enum gr_record_kind kind,
            const char *id,
            GBytes *value)
{
  struct gr_metastore_txn *txn = gr_metastore_txn_create ();
  g_autofree char *key = gr_record_key (kind, id);

  gr_metastore_txn_put (txn, key, g_bytes_get_data (value, NULL),
                        g_bytes_get_size (value), 0);
  gr_metastore_commit (fixture->store, txn, 400,
                       (struct gr_metastore_reply){ reply_done, fixture });
  wait_for_answer (fixture);
  g_bytes_unref (value);
}

static void
put_job (struct fixture *fixture, const char *id, enum gr_job_state state)
{
  put_record (fixture, GR_RECORD_JOB, id, encode_job (id));
  put_record (fixture, GR_RECORD_PROGRESS, id, encode_state (state));
}

static bool
has_record (struct fixture *fixture, enum gr_record_kind kind, const char *id)
{
  g_autofree char *key = gr_record_key (kind, id);

  gr_metastore_get (fixture->store, key, 400,
                    (struct gr_metastore_reply){ reply_done, fixture });
  wait_for_answer (fixture);
  ck_assert_int_eq (fixture->error.kind, GR_ERROR_NONE);
  return fixture->n_items > 0;
}

#define RETENTION_S 120
#define RETENTION_MS 120000
#define RETENTION_MARGIN_MS 10000 /* as in instance/expiry.c */

/* Guards against records of final jobs that stay in the store forever, and
 * against removals while clients may still query the job, by a former owner, or
 * of jobs that have not ended. */
START_TEST (records_of_final_jobs_are_removed_in_time)
{
  static const char done[] = "00000000000000a1";
  static const char running[] = "00000000000000a2";
  struct fixture fixture;
  struct gr_instance_settings settings = { .state_kept_s = RETENTION_S };
  struct gr_mirror_events events = { 0 };
  struct gr_owner_deps deps = { .settings = &settings };
  struct gr_clock *clock = gr_clock_create_manual (1000);
  const char *text;
  struct gr_expiry *former_owner;
  struct gr_expiry *expiry;

  fixture_create (&fixture);
  put (&fixture, GR_RECORD_OWNER, "one", 0);
  put_job (&fixture, done, GR_JOB_COMPLETED);
  put_job (&fixture, running, GR_JOB_RUNNING);
  deps.store = fixture.store;
  deps.clock = clock;
  deps.mirror = gr_mirror_create (fixture.store, clock, &events);
  while (!gr_mirror_is_loaded (deps.mirror))
    g_main_context_iteration (NULL, TRUE);
  former_owner = gr_expiry_create (&deps, 1000000);
  expiry = gr_expiry_create (&deps, gr_mirror_owner (deps.mirror, &text));
  gr_clock_advance (clock, RETENTION_MS);
  gr_expiry_run (expiry);
  run_for (50);
  ck_assert (has_record (&fixture, GR_RECORD_JOB, done));
  gr_clock_advance (clock, RETENTION_MARGIN_MS);
  gr_expiry_run (former_owner);
  run_for (50);
  ck_assert (has_record (&fixture, GR_RECORD_JOB, done));
  gr_expiry_run (expiry);
  run_for (50);
  ck_assert (!has_record (&fixture, GR_RECORD_JOB, done));
  ck_assert (!has_record (&fixture, GR_RECORD_PROGRESS, done));
  ck_assert (has_record (&fixture, GR_RECORD_JOB, running));
  ck_assert (has_record (&fixture, GR_RECORD_PROGRESS, running));
  gr_expiry_destroy (former_owner);
  gr_expiry_destroy (expiry);
  gr_metastore_destroy (fixture.store);
  fixture.store = NULL;
  gr_mirror_destroy (deps.mirror);
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a deleted job that stays known after the store has lost the
 * change, and comes back to life with the next owner. */
START_TEST (jobs_deleted_in_lost_history_are_forgotten)
{
  static const char deleted[] = "00000000000000a1";
  static const char kept[] = "00000000000000a2";
  struct fixture fixture;
  struct gr_mirror_events events = { 0 };
  struct gr_clock *clock = gr_clock_create ();
  g_autofree char *key = gr_record_key (GR_RECORD_JOB, deleted);
  struct gr_mirror *mirror;

  fixture_create (&fixture);
  put_job (&fixture, deleted, GR_JOB_RUNNING);
  put_job (&fixture, kept, GR_JOB_RUNNING);
  mirror = gr_mirror_create (fixture.store, clock, &events);
  while (gr_mirror_find (mirror, kept) == NULL)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_ptr_nonnull (gr_mirror_find (mirror, deleted));
  run_for (50);
  gr_standin_platform_remove_and_forget (fixture.platform, key);
  run_for (3000);
  ck_assert_ptr_null (gr_mirror_find (mirror, deleted));
  ck_assert_ptr_nonnull (gr_mirror_find (mirror, kept));
  gr_metastore_destroy (fixture.store);
  fixture.store = NULL;
  gr_mirror_destroy (mirror);
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}
END_TEST

static void
check_new_job (const struct gr_mirror *mirror, const char *id)
{
  const struct gr_mirror_job *job = gr_mirror_find (mirror, id);

  ck_assert_ptr_nonnull (job);
  ck_assert_int_eq (job->progress.state, GR_JOB_QUEUED);
  ck_assert_int_eq (job->progress_revision, 0);
  ck_assert_int_eq (job->cancel_revision, 0);
  ck_assert_int_eq (job->final_since_ms, 0);
}

/* A job was shown in the final state of a removed job with the same id. */
START_TEST (new_job_has_no_state_of_a_former_one_in_lost_history)
{
  static const char id[] = "00000000000000a1";
  enum gr_record_kind kinds[] = { GR_RECORD_PROGRESS, GR_RECORD_CANCEL,
                                  GR_RECORD_JOB };
  struct fixture fixture;
  struct gr_mirror_events events = { 0 };
  struct gr_clock *clock = gr_clock_create ();
  struct gr_mirror *mirror;

  fixture_create (&fixture);
  put_job (&fixture, id, GR_JOB_FAILED);
  put_record (&fixture, GR_RECORD_CANCEL, id, g_bytes_new_static ("1", 1));
  mirror = gr_mirror_create (fixture.store, clock, &events);
  while (!gr_mirror_is_loaded (mirror))
    g_main_context_iteration (NULL, TRUE);
  ck_assert_int_eq (gr_mirror_find (mirror, id)->progress.state, GR_JOB_FAILED);
  run_for (50);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_autofree char *key = gr_record_key (kinds[i], id);

      gr_standin_platform_remove_and_forget (fixture.platform, key);
    }
  put_record (&fixture, GR_RECORD_JOB, id, encode_job (id));
  run_for (3000);
  check_new_job (mirror, id);
  gr_metastore_destroy (fixture.store);
  fixture.store = NULL;
  gr_mirror_destroy (mirror);
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}
END_TEST

static void
apply (struct gr_mirror *mirror,
       enum gr_record_kind kind,
       const char *id,
       int64_t revision,
       GBytes *value)
{
  g_autofree char *key = gr_record_key (kind, id);
  struct gr_metastore_item item = {
    .key = key,
    .value = value,
    .revision = revision,
    .deleted = value == NULL,
  };

  gr_mirror_apply (mirror, &item);
  g_clear_pointer (&value, g_bytes_unref);
}

/* Records of a former job that were read late counted for a later one. */
START_TEST (late_records_of_a_former_job_are_ignored)
{
  static const char id[] = "00000000000000a1";
  struct fixture fixture;
  struct gr_mirror_events events = { 0 };
  struct gr_clock *clock = gr_clock_create ();
  struct gr_mirror *mirror;

  fixture_create (&fixture);
  mirror = gr_mirror_create (fixture.store, clock, &events);
  while (!gr_mirror_is_loaded (mirror))
    g_main_context_iteration (NULL, TRUE);
  for (int i = 0; i < 2; i++)
    {
      apply (mirror, GR_RECORD_PROGRESS, id, 103, encode_state (GR_JOB_FAILED));
      apply (mirror, GR_RECORD_CANCEL, id, 102, g_bytes_new_static ("1", 1));
      apply (mirror, GR_RECORD_JOB, id, 105, encode_job (id));
      check_new_job (mirror, id);
      apply (mirror, GR_RECORD_JOB, id, 104, NULL);
      check_new_job (mirror, id);
    }
  gr_metastore_destroy (fixture.store);
  fixture.store = NULL;
  gr_mirror_destroy (mirror);
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a state that is unknown here, and against its memory. */
START_TEST (unreadable_progress_is_ignored)
{
  static const char id[] = "00000000000000a1";
  struct fixture fixture;
  struct gr_mirror_events events = { 0 };
  struct gr_clock *clock = gr_clock_create ();
  struct gr_mirror *mirror;

  fixture_create (&fixture);
  mirror = gr_mirror_create (fixture.store, clock, &events);
  while (!gr_mirror_is_loaded (mirror))
    g_main_context_iteration (NULL, TRUE);
  apply (mirror, GR_RECORD_JOB, id, 101, encode_job (id));
  apply (mirror, GR_RECORD_PROGRESS, id, 102,
         encode_state ((enum gr_job_state) (GR_JOB_CANCELLED + 1)));
  check_new_job (mirror, id);
  gr_metastore_destroy (fixture.store);
  fixture.store = NULL;
  gr_mirror_destroy (mirror);
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}
END_TEST

static void
send_empty_page (SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 void *context)
{
  static const char body[] = "{\"as-of\":5,\"items\":[],\"truncated\":true}";

  (void)path;
  (void)query;
  (void)context;
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_STATIC, body, sizeof body - 1);
}

/* Guards against a read that counts as whole because a page that is followed by
 * others is empty: an owner would take over without the jobs. */
START_TEST (empty_page_does_not_end_a_read)
{
  struct gr_http_server_limits limits = gr_http_server_default_limits ();
  struct gr_error error = GR_ERROR_INIT;
  struct gr_http_server *server = gr_http_server_create (
      "127.0.0.1:0", &limits, NULL, send_empty_page, NULL, &error);
  struct gr_counters *counters = gr_counters_create ();
  struct gr_metastore *store =
      gr_metastore_create (gr_http_server_address (server), counters);
  struct gr_clock *clock = gr_clock_create ();
  struct gr_mirror *mirror =
      gr_mirror_create (store, clock, &(struct gr_mirror_events){ 0 });

  run_for (500);
  ck_assert (!gr_mirror_is_loaded (mirror));
  gr_metastore_destroy (store);
  gr_mirror_destroy (mirror);
  gr_clock_destroy (clock);
  gr_counters_destroy (counters);
  gr_http_server_destroy (server);
}
END_TEST

static void
store_truncated (const struct gr_metastore_result *result,
                 const struct gr_error *error,
                 void *context)
{
  ck_assert_ptr_null (error);
  *(int *)context = result->truncated;
}

/* Returns whether a watch counts as truncated after one change with a value of
 * this size. */
static bool
watch_is_truncated (struct fixture *fixture, size_t value_bytes)
{
  g_autofree char *value = g_strnfill (value_bytes, 'x');
  int truncated = -1;

  gr_metastore_watch (
      fixture->store, "large/", 1, 1000, 1500,
      (struct gr_metastore_reply){ store_truncated, &truncated });
  gr_standin_platform_put (fixture->platform, "large/a", value);
  while (truncated < 0)
    g_main_context_iteration (NULL, TRUE);
  return truncated == 1;
}

/* Guards against changes after the first 1 MB, where the store ends an answer,
 * that count as read. */
START_TEST (watch_of_large_values_counts_as_truncated)
{
  struct fixture fixture;

  fixture_create (&fixture);
  ck_assert (!watch_is_truncated (&fixture, 100));
  ck_assert (watch_is_truncated (&fixture, (size_t)700 * 1000));
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against instances that all read all records whenever the store loses
 * its history: 147 of them filled its link for 1.5 s. */
START_TEST (reloads_after_lost_history_are_spread)
{
  struct fixture fixture;
  struct gr_mirror_events events = { 0 };
  struct gr_clock *clock = gr_clock_create ();
  struct gr_mirror *mirror;
  int64_t reads;

  fixture_create (&fixture);
  mirror = gr_mirror_create (fixture.store, clock, &events);
  while (!gr_mirror_is_loaded (mirror))
    g_main_context_iteration (NULL, TRUE);
  reads = gr_standin_call_count (gr_standin_platform_base (fixture.platform),
                                 "/v1/kv-range");
  for (int i = 0; i < 40; i++)
    {
      gr_standin_platform_remove_and_forget (fixture.platform, "gr/none");
      run_for (50);
    }
  reads = gr_standin_call_count (gr_standin_platform_base (fixture.platform),
                                 "/v1/kv-range")
          - reads;
  ck_assert_int_ge (reads, 1);
  ck_assert_msg (reads <= 10, "%d reads in two seconds", (int)reads);
  gr_metastore_destroy (fixture.store);
  fixture.store = NULL;
  gr_mirror_destroy (mirror);
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against instances that call a store again and again that refuses at
 * once: each call is charged, and all instances do it in an outage. */
START_TEST (refusing_store_is_not_flooded)
{
  struct fixture fixture;
  struct gr_mirror_events events = { 0 };
  struct gr_clock *clock = gr_clock_create ();
  struct gr_standin *base;
  struct gr_mirror *mirror;
  int64_t calls;

  fixture_create (&fixture);
  base = gr_standin_platform_base (fixture.platform);
  mirror = gr_mirror_create (fixture.store, clock, &events);
  while (!gr_mirror_is_loaded (mirror))
    g_main_context_iteration (NULL, TRUE);
  run_for (300);
  gr_standin_faults (base)->down = 1;
  gr_standin_platform_put (fixture.platform, "gr/any", "ends the watch");
  calls = gr_standin_call_count (base, "/v1/kv-watch");
  run_for (3000);
  calls = gr_standin_call_count (base, "/v1/kv-watch") - calls;
  ck_assert_int_ge (calls, 3);
  /* One call in 300 ms, sent again once on another connection by libsoup. */
  ck_assert_msg (calls <= 22, "%d watches in three seconds", (int)calls);
  gr_metastore_destroy (fixture.store);
  fixture.store = NULL;
  gr_mirror_destroy (mirror);
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}
END_TEST

static void
check_silent_watch (bool low_latency, int64_t bound_ms)
{
  static const char id[] = "00000000000000a1";
  struct fixture fixture;
  struct gr_mirror_events events = { 0 };
  struct gr_clock *clock = gr_clock_create ();
  struct gr_mirror *mirror;
  int64_t start_ms;

  fixture_create (&fixture);
  mirror = gr_mirror_create (fixture.store, clock, &events);
  while (!gr_mirror_is_loaded (mirror))
    g_main_context_iteration (NULL, TRUE);
  gr_mirror_set_low_latency (mirror, low_latency);
  run_for (300);
  gr_standin_platform_silence_watches (fixture.platform);
  start_ms = gr_clock_now_ms (clock);
  put_job (&fixture, id, GR_JOB_RUNNING);
  while (gr_mirror_find (mirror, id) == NULL
         && gr_clock_now_ms (clock) - start_ms < bound_ms)
    g_main_context_iteration (NULL, FALSE);
  ck_assert_msg (gr_mirror_find (mirror, id) != NULL,
                 "not seen after %d ms, low latency: %d", (int)bound_ms,
                 low_latency);
  gr_metastore_destroy (fixture.store);
  fixture.store = NULL;
  gr_mirror_destroy (mirror);
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}

/* Guards against new jobs that the owner does not see, and states that clients
 * do not see, because the connections of waiting watches have gone silent.
 * Urgent jobs must start within 2.7 s of their acceptance; counts shown to
 * clients may be 2 s old. */
START_TEST (silent_watches_are_replaced)
{
  check_silent_watch (true, 1000);
  check_silent_watch (false, 2000);
}
END_TEST

#define CANDIDATES 60

struct candidate
{
  struct gr_metastore *store;
  struct gr_mirror *mirror;
  struct gr_ownership *ownership;
  uint32_t *owners;
};

static void
owner_changed (void *context)
{
  struct candidate *candidate = context;

  if (candidate->ownership != NULL)
    gr_ownership_check (candidate->ownership);
}

static void
acquired (int64_t epoch, int64_t revision, void *context)
{
  (void)epoch;
  (void)revision;
  (*((struct candidate *)context)->owners)++;
}

static void
lost (const char *reason, void *context)
{
  (void)reason;
  (*((struct candidate *)context)->owners)--;
}

/* Guards against all instances trying to become the owner at once when there is
 * none. Each attempt takes up to three writes; with 300 machines the store
 * refused nearly all of them, and it took 8.5 s until there was an owner. */
START_TEST (few_instances_try_to_become_the_owner)
{
  struct candidate candidates[CANDIDATES] = { 0 };
  struct fixture fixture;
  struct gr_clock *clock = gr_clock_create ();
  struct gr_standin *base;
  uint32_t owners = 0;

  fixture_create (&fixture);
  base = gr_standin_platform_base (fixture.platform);
  for (int i = 0; i < CANDIDATES; i++)
    {
      struct candidate *candidate = &candidates[i];
      struct gr_mirror_events events = {
        .owner_changed = owner_changed,
        .context = candidate,
      };
      struct gr_ownership_events ownership_events = { acquired, lost,
                                                      candidate };

      candidate->owners = &owners;
      candidate->store =
          gr_metastore_create (gr_standin_address (base), fixture.counters);
      candidate->mirror = gr_mirror_create (candidate->store, clock, &events);
      candidate->ownership =
          gr_ownership_create (candidate->store, candidate->mirror, clock, "i",
                               NULL, 0.25, &ownership_events);
    }
  run_for (1500);
  ck_assert_uint_eq (owners, 1);
  for (int i = 0; i < CANDIDATES; i++)
    if (gr_ownership_is_owner (candidates[i].ownership))
      gr_ownership_stop (candidates[i].ownership);
  ck_assert_uint_eq (owners, 0);
  run_for (1500);
  ck_assert_uint_eq (owners, 1);
  /* The total of both elections, each among all candidates. */
  ck_assert_int_le (gr_standin_call_count (base, "/v1/kv-lease"),
                    CANDIDATES / 3);
  for (int i = 0; i < CANDIDATES; i++)
    {
      gr_ownership_destroy (candidates[i].ownership);
      gr_metastore_destroy (candidates[i].store);
      gr_mirror_destroy (candidates[i].mirror);
    }
  gr_clock_destroy (clock);
  fixture_destroy (&fixture);
}
END_TEST

/* An ownership that holds the lease, without other candidates. */
struct single
{
  struct fixture fixture;
  struct candidate candidate;
  struct gr_clock *clock;
  uint32_t owners;
};

static void
single_create (struct single *single, struct gr_clock *clock)
{
  struct candidate *candidate = &single->candidate;
  struct gr_mirror_events events = {
    .owner_changed = owner_changed,
    .context = candidate,
  };
  struct gr_ownership_events ownership_events = { acquired, lost, candidate };

  *single = (struct single){ .clock = clock };
  fixture_create (&single->fixture);
  candidate->owners = &single->owners;
  candidate->store = gr_metastore_create (
      gr_standin_address (gr_standin_platform_base (single->fixture.platform)),
      single->fixture.counters);
  candidate->mirror = gr_mirror_create (candidate->store, clock, &events);
  candidate->ownership =
      gr_ownership_create (candidate->store, candidate->mirror, clock, "i",
                           NULL, 1, &ownership_events);
  while (single->owners == 0)
    g_main_context_iteration (NULL, TRUE);
}

static void
single_destroy (struct single *single)
{
  gr_ownership_destroy (single->candidate.ownership);
  gr_metastore_destroy (single->candidate.store);
  gr_mirror_destroy (single->candidate.mirror);
  gr_clock_destroy (single->clock);
  fixture_destroy (&single->fixture);
}

static int64_t
owner_lease (const struct gr_mirror *mirror)
{
  const char *owner;

  if (gr_mirror_owner (mirror, &owner) == 0)
    return 0;
  return g_ascii_strtoll (strrchr (owner, ' ') + 1, NULL, 10);
}

/* Guards against a late answer to the renewal of a former lease that ends the
 * ownership that has followed. */
START_TEST (late_answer_for_a_former_lease_is_ignored)
{
  struct single single;
  struct gr_standin *base;
  int64_t former_lease;
  int64_t calls;

  single_create (&single, gr_clock_create ());
  base = gr_standin_platform_base (single.fixture.platform);
  while ((former_lease = owner_lease (single.candidate.mirror)) == 0)
    g_main_context_iteration (NULL, TRUE);
  gr_metastore_lease_revoke (
      single.fixture.store, former_lease, 400,
      (struct gr_metastore_reply){ reply_done, &single.fixture });
  wait_for_answer (&single.fixture);
  ck_assert_int_eq (single.fixture.error.kind, GR_ERROR_NONE);
  while (owner_lease (single.candidate.mirror) != 0)
    g_main_context_iteration (NULL, TRUE);
  calls = gr_standin_call_count (base, "/v1/kv-keep/*");
  gr_standin_faults (base)->answer_after_ms = 650;
  while (gr_standin_call_count (base, "/v1/kv-keep/*") == calls)
    g_main_context_iteration (NULL, TRUE);
  gr_standin_faults (base)->answer_after_ms = 0;
  gr_ownership_resign (single.candidate.ownership, "test");
  ck_assert_uint_eq (single.owners, 0);
  gr_ownership_check (single.candidate.ownership);
  while (single.owners == 0)
    g_main_context_iteration (NULL, TRUE);
  for (int i = 0; i < 80; i++)
    {
      run_for (10);
      ck_assert_uint_eq (single.owners, 1);
    }
  single_destroy (&single);
}
END_TEST

/* Guards against an owner that goes on after its successor counts on its end,
 * which is reckoned from the end of the lease. */
START_TEST (ownership_ends_with_the_isolation)
{
  struct single single;
  struct gr_clock *clock = gr_clock_create_manual (1000);
  int64_t end_ms;

  single_create (&single, clock);
  gr_standin_faults (gr_standin_platform_base (single.fixture.platform))->down =
      1;
  end_ms = gr_ownership_lease_until_ms (single.candidate.ownership)
           + GR_OWNER_ISOLATION_MS;
  gr_clock_advance (clock, end_ms - 1 - gr_clock_now_ms (clock));
  run_for (1500);
  ck_assert_uint_eq (single.owners, 1);
  gr_clock_advance (clock, 1);
  run_for (1500);
  ck_assert_uint_eq (single.owners, 0);
  single_destroy (&single);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform-store");
  TCase *tests = tcase_create ("metastore");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tests, 20);
  tcase_add_test (tests, conflict_returns_the_current_item);
  tcase_add_test (tests, lost_answer_is_not_a_refusal);
  tcase_add_test (tests, unresponsive_store_is_detected);
  tcase_add_test (tests, watch_shows_that_the_store_answers);
  tcase_add_test (tests, jobs_deleted_in_lost_history_are_forgotten);
  tcase_add_test (tests, new_job_has_no_state_of_a_former_one_in_lost_history);
  tcase_add_test (tests, late_records_of_a_former_job_are_ignored);
  tcase_add_test (tests, unreadable_progress_is_ignored);
  tcase_add_test (tests, empty_page_does_not_end_a_read);
  tcase_add_test (tests, watch_of_large_values_counts_as_truncated);
  tcase_add_test (tests, reloads_after_lost_history_are_spread);
  tcase_add_test (tests, silent_watches_are_replaced);
  tcase_add_test (tests, refusing_store_is_not_flooded);
  tcase_add_test (tests, records_of_final_jobs_are_removed_in_time);
  tcase_add_test (tests, few_instances_try_to_become_the_owner);
  tcase_add_test (tests, late_answer_for_a_former_lease_is_ignored);
  tcase_add_test (tests, ownership_ends_with_the_isolation);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
