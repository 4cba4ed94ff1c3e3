#include "instance/records.h"
#include "instance/reload.h"
#include "instance/routing.h"
#include "platform/job.h"
#include "platform/registry.h"

#include <check.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

/* Tests of decoding and checking input: the configuration, clients' calls,
 * registry entries of workers, the settings file and the project's records. */

#define ID "5c0e7a21d94b36f8"

static const char config_text[] =
    "{\"config-version\":7,"
    "\"routes\":["
    "{\"name\":\"all\",\"host\":\"a.example\",\"prefix\":\"/\","
    "\"service\":\"s\",\"priority\":2,\"max-attempts\":3},"
    "{\"name\":\"long\",\"host\":\"a.example\",\"prefix\":\"/x/y/\","
    "\"service\":\"s\",\"priority\":0},"
    "{\"name\":\"short\",\"host\":\"a.example\",\"prefix\":\"/x/\","
    "\"service\":\"s\"},"
    "{\"name\":\"open\",\"host\":\"b.example\",\"prefix\":\"/\","
    "\"service\":\"s\",\"public\":true}],"
    "\"services\":[{\"name\":\"s\",\"rejects-overload\":true}],"
    "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k1\",\"k2\"],"
    "\"guaranteed\":{\"gpu\":16}},{\"name\":\"u\",\"api-keys\":[]}]}";

static struct gr_cluster_config *
read_config (const char *text, struct gr_error *error)
{
  GBytes *bytes = g_bytes_new (text, strlen (text));
  struct gr_cluster_config *config = gr_cluster_config_decode (bytes, 1, error);

  g_bytes_unref (bytes);
  return config;
}

static enum gr_error_kind
route (const char *method,
       const char *host,
       const char *path,
       const char *key,
       const char **queue)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_cluster_config *config = read_config (config_text, &error);
  struct gr_routed_call call = { 0 };
  static char name[16];

  ck_assert_msg (config != NULL, "%s", error.message);
  if (gr_route_call (config, method, host, path, key, &call, &error))
    error.kind = GR_ERROR_NONE;
  g_strlcpy (name, call.queue ? call.queue->name : "", sizeof name);
  *queue = name;
  gr_cluster_config_destroy (config);
  return error.kind;
}

/* Guards against a call that is routed to the queue of another host or prefix,
 * or refused although a queue matches. */
START_TEST (longest_prefix_of_the_host_wins)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *queue;
  } cases[] = {
    { "a.example", "/" ID, "all" },
    { "a.example", "/x/" ID, "short" },
    { "a.example", "/x/y/" ID, "long" },
    { "A.Example:8080", "/x/", "short" },
    { "b.example", "/x/y/", "open" },
    { "a.example.org", "/", "" },
    { "a.exampl", "/", "" },
    { "", "/", "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *queue;

      route ("GET", cases[i].host, cases[i].path, "Bearer k1", &queue);
      ck_assert_str_eq (queue, cases[i].queue);
    }
}
END_TEST

/* Guards against a wrong error code for a refused call, and against a call
 * that is served without a valid key. */
START_TEST (calls_are_refused_for_the_right_reason)
{
  static const struct
  {
    const char *method;
    const char *host;
    const char *path;
    const char *key;
    enum gr_error_kind kind;
  } cases[] = {
    { "GET", "a.example", "/", "Bearer k1", GR_ERROR_NONE },
    { "POST", "a.example", "/" ID, "Bearer k2", GR_ERROR_NONE },
    { "DELETE", "a.example", "/" ID, "bearer k2", GR_ERROR_NONE },
    { "GET", "b.example", "/" ID, NULL, GR_ERROR_NONE },
    { "GET", "b.example", "/" ID, "Bearer no", GR_ERROR_NONE },
    { "GET", "c.example", "/" ID, "Bearer k1", GR_ERROR_NOT_FOUND },
    { "GET", NULL, "/" ID, "Bearer k1", GR_ERROR_NOT_FOUND },
    { "GET", "a.example", "/" ID, NULL, GR_ERROR_UNAUTHENTICATED },
    { "GET", "a.example", "/" ID, "Bearer ", GR_ERROR_UNAUTHENTICATED },
    { "GET", "a.example", "/" ID, "Bearer k", GR_ERROR_UNAUTHENTICATED },
    { "GET", "a.example", "/" ID, "Bearer k11", GR_ERROR_UNAUTHENTICATED },
    { "GET", "a.example", "/" ID, "Basic k1", GR_ERROR_UNAUTHENTICATED },
    { "PUT", "a.example", "/" ID, "Bearer k1", GR_ERROR_BAD_REQUEST },
    { "POST", "a.example", "/", "Bearer k1", GR_ERROR_BAD_REQUEST },
    { "POST", "a.example", "/" ID "0", "Bearer k1", GR_ERROR_BAD_REQUEST },
    { "GET", "a.example", "/5c0e7a21d94b36fg", "Bearer k1",
      GR_ERROR_BAD_REQUEST },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *queue;

      ck_assert_msg (route (cases[i].method, cases[i].host, cases[i].path,
                            cases[i].key, &queue)
                         == cases[i].kind,
                     "%s %s %s", cases[i].method, cases[i].path, cases[i].key);
    }
}
END_TEST

/* Guards against entries of other writers that name an executor to use. */
START_TEST (services_are_those_of_the_configuration)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_cluster_config *config = read_config (
      "{\"config-version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"a\","
      "\"prefix\":\"/\",\"service\":\"of-a-queue\"}],"
      "\"services\":[{\"name\":\"idle\"}],\"tenants\":[]}",
      &error);

  ck_assert_msg (config != NULL, "%s", error.message);
  ck_assert (gr_cluster_config_names_service (config, "idle"));
  ck_assert (gr_cluster_config_names_service (config, "of-a-queue"));
  ck_assert (!gr_cluster_config_names_service (config, "elsewhere"));
  gr_cluster_config_destroy (config);
}
END_TEST

/* Guards against a configuration that is applied without the rows that cannot
 * be read: their routes and keys would be missing without an error. */
START_TEST (configuration_is_read_whole_or_not_at_all)
{
  static const char *const invalid[] = {
    "",
    "[]",
    "{\"config-version\":-1}",
    "{\"routes\":[{\"name\":\"q\",\"host\":\"h\"}]}",
    "{\"routes\":[7]}",
    "{\"tenants\":[{\"api-keys\":[\"k\"]}]}",
    "{\"services\":[{}]}",
    "{\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/\","
    "\"service\":\"s\",\"priority\":\"first\"}]}",
    "{\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/\","
    "\"service\":\"s\",\"stretch\":\"3\"}]}",
  };
  struct gr_error error = GR_ERROR_INIT;
  struct gr_cluster_config *config = read_config (config_text, &error);

  ck_assert_int_eq (config->version, 7);
  ck_assert_uint_eq (config->n_queues, 4);
  ck_assert_uint_eq (config->queues[0].max_attempts, 3);
  ck_assert_uint_eq (config->accounts[0].guaranteed_accelerators, 16);
  ck_assert_uint_eq (config->accounts[1].guaranteed_accelerators, 0);
  ck_assert (config->services[0].rejects_overload);
  gr_cluster_config_destroy (config);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      error = (struct gr_error)GR_ERROR_INIT;
      ck_assert_msg (read_config (invalid[i], &error) == NULL, "%s",
                     invalid[i]);
      ck_assert_int_eq (error.kind, GR_ERROR_PROTOCOL);
    }
}
END_TEST

/* A route without a limit was read as one that permits a single failed run. */
START_TEST (route_without_max_attempts_sets_no_limit)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_cluster_config *config = read_config (config_text, &error);

  ck_assert_msg (config != NULL, "%s", error.message);
  ck_assert_uint_eq (config->queues[1].max_attempts, 0);
  gr_cluster_config_destroy (config);
}
END_TEST

static struct gr_job_spec *
read_job (const char *text, struct gr_error *error)
{
  GBytes *bytes = g_bytes_new (text, strlen (text));
  struct gr_job_spec *spec = gr_job_decode (bytes, error);

  g_bytes_unref (bytes);
  return spec;
}

/* Guards against accepting a job that can never run, or that is so large that
 * it exhausts the memory of an instance. */
START_TEST (jobs_that_cannot_be_run_are_refused)
{
  static const char *const invalid[] = {
    "",
    "{",
    "[]",
    "{\"steps\":[]}",
    "{\"steps\":{}}",
    "{\"steps\":[7]}",
    "{\"steps\":[{\"count\":0}]}",
    "{\"steps\":[{\"count\":-1}]}",
    "{\"steps\":[{\"count\":4097}]}",
    "{\"steps\":[{\"count\":1e30}]}",
    "{\"steps\":[{\"count\":4000},{\"count\":4000}]}",
    "{\"steps\":[{\"count\":1,\"after\":[0]}]}",
    "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[1]}]}",
    "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[\"0\"]}]}",
    "{\"steps\":[{\"count\":1,\"gang\":1}]}",
    "{\"steps\":[{\"count\":1}],\"repeat-count\":-1}",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      struct gr_error error = GR_ERROR_INIT;

      ck_assert_msg (read_job (invalid[i], &error) == NULL, "%s", invalid[i]);
      ck_assert_int_eq (error.kind, GR_ERROR_BAD_REQUEST);
    }
}
END_TEST

/* Guards against a field of a job that is lost when its record is encoded or
 * decoded: a new owner would then run a different job. */
START_TEST (job_records_keep_every_field)
{
  static const char text[] =
      "{\"task-spec\":\"p\",\"repeat-count\":3,\"first-ms\":1000,"
      "\"interval-ms\":500,\"steps\":["
      "{\"count\":2,\"cpu\":500,\"mem-mb\":256,\"gpu\":1,\"estimate-ms\":900,"
      "\"affinity\":\"r1\",\"needs\":\"fast\",\"image\":\"i\",\"gang\":true,"
      "\"same-rack\":true},"
      "{\"count\":5,\"after\":[0],\"checkpointing\":true,\"speculative\":true,"
      "\"long-running\":true,\"fills\":true,\"anti-affinity\":2,"
      "\"target-ms\":40,\"may-miss\":1}]}";
  struct gr_error error = GR_ERROR_INIT;
  struct gr_job_spec *spec = read_job (text, &error);
  struct gr_job_spec *decoded;
  GBytes *value;
  GBytes *reencoded;

  ck_assert_msg (spec != NULL, "%s", error.message);
  g_strlcpy (spec->id, ID, sizeof spec->id);
  spec->queue = g_strdup ("q");
  spec->terms =
      (struct gr_queue_terms){ g_strdup ("s"), 1, 2, 300, 2.5, true, 40, 5 };
  spec->account = g_strdup ("t");
  spec->accepted_unix_ms = 123456;
  value = gr_record_encode_job (spec);
  decoded = gr_record_decode_job (ID, value);
  ck_assert_ptr_nonnull (decoded);
  ck_assert_str_eq (decoded->queue, "q");
  ck_assert_str_eq (decoded->terms.service, "s");
  ck_assert_uint_eq (decoded->terms.priority, 1);
  ck_assert_uint_eq (decoded->terms.max_attempts, 2);
  ck_assert_uint_eq (decoded->terms.objective_ms, 300);
  ck_assert_double_eq (decoded->terms.stretch, 2.5);
  ck_assert (decoded->terms.needs_advice);
  ck_assert_uint_eq (decoded->terms.advice_decide_ms, 40);
  ck_assert_uint_eq (decoded->terms.advice_each_ms, 5);
  ck_assert_str_eq (decoded->account, "t");
  ck_assert_str_eq (decoded->payload, "p");
  ck_assert_int_eq (decoded->accepted_unix_ms, 123456);
  ck_assert_uint_eq (decoded->repeats, 3);
  ck_assert_uint_eq (decoded->n_steps, 2);
  ck_assert (decoded->steps[0].gang && decoded->steps[0].one_rack);
  ck_assert_str_eq (decoded->steps[0].data_rack, "r1");
  ck_assert_str_eq (decoded->steps[0].label, "fast");
  ck_assert_uint_eq (decoded->steps[0].estimate_ms, 900);
  ck_assert_uint_eq (decoded->steps[1].n_after, 1);
  ck_assert (decoded->steps[1].checkpointing && decoded->steps[1].copies
             && decoded->steps[1].lasting && decoded->steps[1].filler);
  ck_assert_uint_eq (decoded->steps[1].max_per_worker, 2);
  ck_assert_uint_eq (decoded->steps[1].tail_target_ms, 40);
  ck_assert_uint_eq (decoded->steps[1].max_away, 1);
  reencoded = gr_record_encode_job (decoded);
  ck_assert (g_bytes_equal (value, reencoded));
  g_bytes_unref (value);
  g_bytes_unref (reencoded);
  gr_job_spec_destroy (spec);
  gr_job_spec_destroy (decoded);
}
END_TEST

/* Guards against progress that is decoded differently from what was encoded,
 * and against a crash on a truncated or foreign value. */
START_TEST (progress_records_round_trip_and_invalid_ones_are_rejected)
{
  struct gr_task_progress rows[2] = {
    { .occurrence = 1,
      .step = 2,
      .index = 3,
      .done = true,
      .failures = 10,
      .failed_runs = (uint32_t[]){ 1, 2, 3, 4, 5, 6, 7, 8, 9, 1001 } },
    { .step = GR_PROGRESS_WHOLE_OCCURRENCE,
      .failures = 2,
      .failed_runs = (uint32_t[]){ 7, 9 },
      .crashes = 3,
      .early_crashes = 1,
      .unconfirmed_crashes = 2,
      .dismissed_crashes = 4,
      .checkpoint = "00000bb87a21d94b" },
  };
  struct gr_job_progress progress = {
    .state = GR_JOB_RUNNING,
    .n_tasks = 2,
    .tasks = rows,
  };
  struct gr_job_progress decoded = { 0 };
  GBytes *value = gr_record_encode_progress (&progress);

  ck_assert (gr_record_decode_progress (value, &decoded));
  ck_assert_int_eq (decoded.state, GR_JOB_RUNNING);
  ck_assert_uint_eq (decoded.n_tasks, 2);
  ck_assert (decoded.tasks[0].done);
  ck_assert_uint_eq (decoded.tasks[0].occurrence, 1);
  ck_assert_uint_eq (decoded.tasks[0].step, 2);
  ck_assert_uint_eq (decoded.tasks[0].index, 3);
  ck_assert_uint_eq (decoded.tasks[0].failures, 10);
  ck_assert_mem_eq (decoded.tasks[0].failed_runs, rows[0].failed_runs,
                    10 * sizeof (uint32_t));
  ck_assert_uint_eq (decoded.tasks[1].step, GR_PROGRESS_WHOLE_OCCURRENCE);
  ck_assert_uint_eq (decoded.tasks[1].failures, 2);
  ck_assert_uint_eq (decoded.tasks[1].failed_runs[1], 9);
  ck_assert_uint_eq (decoded.tasks[1].crashes, 3);
  ck_assert_uint_eq (decoded.tasks[1].early_crashes, 1);
  ck_assert_uint_eq (decoded.tasks[0].unconfirmed_crashes, 0);
  ck_assert_uint_eq (decoded.tasks[1].unconfirmed_crashes, 2);
  ck_assert_uint_eq (decoded.tasks[1].dismissed_crashes, 4);
  ck_assert_str_eq (decoded.tasks[1].checkpoint, "00000bb87a21d94b");
  gr_job_progress_clear (&decoded);
  for (gsize size = 0; size < g_bytes_get_size (value); size++)
    {
      GBytes *part = g_bytes_new_from_bytes (value, 0, size);

      ck_assert (!gr_record_decode_progress (part, &decoded));
      ck_assert (gr_record_decode_job (ID, part) == NULL);
      g_bytes_unref (part);
    }
  g_bytes_unref (value);
}
END_TEST

static struct gr_registry_entry *
read_entry (const char *text)
{
  struct gr_error error = GR_ERROR_INIT;
  GBytes *bytes = g_bytes_new (text, strlen (text));
  struct gr_registry_entry *entry =
      gr_registry_decode ("servers/i-1", bytes, &error);

  ck_assert (entry != NULL || error.kind == GR_ERROR_PROTOCOL);
  g_bytes_unref (bytes);
  return entry;
}

/* Guards against a registry entry that is accepted with an unknown state, or
 * with a missing or negative capacity that is read as zero. */
START_TEST (entries_of_workers_are_read_whole_or_not_at_all)
{
  static const char *const invalid[] = {
    "",
    "{}",
    "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":\"ready\"}",
    "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":\"odd\","
    "\"capacity\":{\"cpu\":1,\"mem-mb\":1,\"gpu\":1}}",
    "{\"service\":\"s\",\"state\":\"ready\","
    "\"capacity\":{\"cpu\":1,\"mem-mb\":1,\"gpu\":1}}",
    "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":\"ready\","
    "\"capacity\":{\"cpu\":-1,\"mem-mb\":1,\"gpu\":1}}",
    "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":\"ready\","
    "\"labels\":[\"a\",7],\"capacity\":{\"cpu\":1,\"mem-mb\":1,\"gpu\":1}}",
  };
  struct gr_registry_entry *entry =
      read_entry ("{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
                  "\"state\":\"draining\",\"remaining-ms\":1800,\"born\":5,"
                  "\"labels\":[\"kind\",\"r1\",\"fast\"],"
                  "\"capacity\":{\"cpu\":128000,\"mem-mb\":9,\"gpu\":8}}");

  ck_assert_ptr_nonnull (entry);
  ck_assert_str_eq (entry->worker, "i-1");
  ck_assert_str_eq (entry->rack, "r1");
  ck_assert (entry->draining);
  ck_assert_int_eq (entry->remaining_ms, 1800);
  ck_assert_uint_eq (entry->capacity.accelerators, 8);
  gr_registry_entry_destroy (entry);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    ck_assert_msg (read_entry (invalid[i]) == NULL, "%s", invalid[i]);
}
END_TEST

/* Guards against a changed bound that is ignored until a restart, and against
 * an address that changes while connections to it are open. */
START_TEST (reload_applies_bounds_but_not_addresses)
{
  struct gr_instance_settings settings = {
    .instance = (char *)"a",
    .store_address = (char *)"1.1.1.1:1",
    .revoke_ms = 5000,
    .state_kept_s = 120,
    .log_level = g_strdup ("info"),
  };
  struct gr_instance_settings changed = settings;

  changed.revoke_ms = 4000;
  changed.state_kept_s = 60;
  changed.log_level = (char *)"debug";
  ck_assert (gr_reload_apply (&settings, &changed));
  ck_assert_uint_eq (settings.revoke_ms, 4000);
  ck_assert_uint_eq (settings.state_kept_s, 60);
  ck_assert_str_eq (settings.log_level, "debug");
  changed.store_address = (char *)"1.1.1.1:2";
  changed.revoke_ms = 3000;
  ck_assert (!gr_reload_apply (&settings, &changed));
  ck_assert_str_eq (settings.store_address, "1.1.1.1:1");
  ck_assert_uint_eq (settings.revoke_ms, 3000);
  g_free (settings.log_level);
}
END_TEST

/* Guards against a file change that goes unnoticed because no signal was sent,
 * and against one that is reported twice. */
START_TEST (changed_file_is_reported_once)
{
  g_autofree char *folder = g_dir_make_tmp ("gr-reload-XXXXXX", NULL);
  g_autofree char *file = g_build_filename (folder, "instance.ini", NULL);
  struct gr_reload_watch watch = { .file = file };

  ck_assert (g_file_set_contents (file, "one", -1, NULL));
  ck_assert (gr_reload_file_changed (&watch));
  ck_assert (!gr_reload_file_changed (&watch));
  ck_assert (g_file_set_contents (file, "three", -1, NULL));
  ck_assert (gr_reload_file_changed (&watch));
  ck_assert (!gr_reload_file_changed (&watch));
  g_unlink (file);
  ck_assert (gr_reload_file_changed (&watch));
  g_rmdir (folder);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("decode");
  TCase *tests = tcase_create ("decode");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tests, longest_prefix_of_the_host_wins);
  tcase_add_test (tests, calls_are_refused_for_the_right_reason);
  tcase_add_test (tests, services_are_those_of_the_configuration);
  tcase_add_test (tests, configuration_is_read_whole_or_not_at_all);
  tcase_add_test (tests, route_without_max_attempts_sets_no_limit);
  tcase_add_test (tests, jobs_that_cannot_be_run_are_refused);
  tcase_add_test (tests, job_records_keep_every_field);
  tcase_add_test (tests,
                  progress_records_round_trip_and_invalid_ones_are_rejected);
  tcase_add_test (tests, entries_of_workers_are_read_whole_or_not_at_all);
  tcase_add_test (tests, reload_applies_bounds_but_not_addresses);
  tcase_add_test (tests, changed_file_is_reported_once);
  suite_add_tcase (suite, tests);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
