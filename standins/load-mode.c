#include "standins/load-mode.h"

#include "standins/load.h"
#include "targets/instances.h"

#include <stdio.h>
#include <string.h>

/* Interval between attempts to read the instance list. */
#define LIST_INTERVAL_MS 1000

/* Upper limits of the options. */
#define MAX_SECONDS 3600
#define MAX_PER_S 5000

struct gr_load_mode
{
  char **entries;
  char *account;
  char *token_file;
  char *token;
  int seed;
  double seconds;
  double drain_s;
  double requests_per_s;
  double jobs_per_s;
  int run_ms;
  int long_percent;
  int non_idempotent_percent;
  int repeat_percent;
  int gang_percent;
  int deadline_ms;
  GPtrArray *executors; /* addresses; NULL-terminated once the load starts */
  GPtrArray *workers;   /* addresses, like executors */
  struct gr_instances *instances;
  struct gr_load *load;
  void (*done) (uint32_t violations, void *context);
  void *context;
};

struct gr_load_mode *
gr_load_mode_create (void)
{
  struct gr_load_mode *mode = g_new0 (struct gr_load_mode, 1);

  mode->seed = 1;
  mode->seconds = 10;
  mode->drain_s = 20;
  mode->requests_per_s = 100;
  mode->run_ms = 20;
  mode->non_idempotent_percent = 20;
  mode->repeat_percent = 5;
  mode->gang_percent = 20;
  mode->deadline_ms = 5000;
  mode->executors = g_ptr_array_new_with_free_func (g_free);
  mode->workers = g_ptr_array_new_with_free_func (g_free);
  return mode;
}

void
gr_load_mode_destroy (struct gr_load_mode *mode)
{
  if (mode == NULL)
    return;
  gr_instances_destroy (mode->instances);
  gr_load_destroy (mode->load);
  g_ptr_array_unref (mode->executors);
  g_ptr_array_unref (mode->workers);
  g_strfreev (mode->entries);
  g_free (mode->account);
  g_free (mode->token_file);
  g_free (mode->token);
  g_free (mode);
}

GOptionGroup *
gr_load_mode_options (struct gr_load_mode *mode)
{
  const GOptionEntry entries[] = {
    { "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &mode->entries,
      "Address of an entry; may be repeated", "IP:PORT" },
    { "account", 0, 0, G_OPTION_ARG_STRING, &mode->account, "Client account",
      "NAME" },
    { "token-file", 0, 0, G_OPTION_ARG_FILENAME, &mode->token_file,
      "File with the account's token", "FILE" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &mode->seed,
      "Random seed, also part of the keys; use each value only once", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &mode->seconds,
      "Time during which requests and jobs are sent", "S" },
    { "drain", 0, 0, G_OPTION_ARG_DOUBLE, &mode->drain_s,
      "Longest wait for jobs to end after the last one is sent", "S" },
    { "requests-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &mode->requests_per_s,
      "Requests per second", "N" },
    { "jobs-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &mode->jobs_per_s,
      "Jobs per second", "N" },
    { "run-ms", 0, 0, G_OPTION_ARG_INT, &mode->run_ms,
      "Mean run time of requests and jobs", "MS" },
    { "long-percent", 0, 0, G_OPTION_ARG_INT, &mode->long_percent,
      "Percentage of requests that run 20 times as long", "N" },
    { "once-percent", 0, 0, G_OPTION_ARG_INT, &mode->non_idempotent_percent,
      "Percentage of requests and jobs that are not idempotent", "N" },
    { "repeat-percent", 0, 0, G_OPTION_ARG_INT, &mode->repeat_percent,
      "Percentage of requests that are sent twice at the same time", "N" },
    { "gang-percent", 0, 0, G_OPTION_ARG_INT, &mode->gang_percent,
      "Percentage of jobs that need two workers", "N" },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &mode->deadline_ms,
      "Deadline of requests", "MS" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionGroup *group = g_option_group_new (
      "load", "Load options:", "Show the load options", NULL, NULL);

  g_option_group_add_entries (group, entries);
  return group;
}

static bool
is_percent (int value)
{
  return value >= 0 && value <= 100;
}

static bool
check_options (const struct gr_load_mode *mode, struct gr_error *error)
{
  if (mode->entries == NULL || mode->account == NULL)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "load requires --entry and --account");
  if (mode->seconds < 0 || mode->seconds > MAX_SECONDS || mode->drain_s < 0
      || mode->drain_s > MAX_SECONDS || mode->requests_per_s < 0
      || mode->requests_per_s > MAX_PER_S || mode->jobs_per_s < 0
      || mode->jobs_per_s > MAX_PER_S)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "times must be 0 to %d s and rates 0 to %d per second",
                         MAX_SECONDS, MAX_PER_S);
  if (!is_percent (mode->long_percent)
      || !is_percent (mode->non_idempotent_percent)
      || !is_percent (mode->repeat_percent) || !is_percent (mode->gang_percent)
      || mode->run_ms < 0 || mode->run_ms > 600000 || mode->deadline_ms < 1
      || mode->deadline_ms > 600000)
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                         "percentages must be 0 to 100, --run-ms 0 to 600000 "
                         "and --deadline-ms 1 to 600000");
  return true;
}

static bool
read_token (struct gr_load_mode *mode, struct gr_error *error)
{
  if (mode->token_file == NULL)
    return true;
  if (!g_file_get_contents (mode->token_file, &mode->token, NULL, NULL))
    return gr_error_set (error, GR_ERROR_BAD_SETTINGS, "cannot read %s",
                         mode->token_file);
  g_strstrip (mode->token);
  return true;
}

static bool
start_load (struct gr_load_mode *mode, struct gr_error *error)
{
  struct gr_load_settings settings = {
    .entries = (const char *const *)mode->entries,
    .account = mode->account,
    .token = mode->token,
    .seed = (uint32_t)mode->seed,
    .duration_ms = (uint32_t)(mode->seconds * 1000),
    .drain_ms = (uint32_t)(mode->drain_s * 1000),
    .requests_per_s = mode->requests_per_s,
    .jobs_per_s = mode->jobs_per_s,
    .run_ms = (uint32_t)mode->run_ms,
    .long_percent = (uint32_t)mode->long_percent,
    .non_idempotent_percent = (uint32_t)mode->non_idempotent_percent,
    .repeat_percent = (uint32_t)mode->repeat_percent,
    .gang_percent = (uint32_t)mode->gang_percent,
    .deadline_ms = (uint32_t)mode->deadline_ms,
  };

  g_ptr_array_add (mode->executors, NULL);
  g_ptr_array_add (mode->workers, NULL);
  settings.executors = (const char *const *)mode->executors->pdata;
  settings.workers = (const char *const *)mode->workers->pdata;
  mode->load = gr_load_create (&settings, mode->done, mode->context, error);
  return mode->load != NULL;
}

static void
handle_instance_list (const struct gr_instance *list,
                      uint32_t count,
                      void *context)
{
  struct gr_load_mode *mode = context;
  struct gr_error error = GR_ERROR_INIT;

  for (uint32_t i = 0; i < count; i++)
    {
      if (list[i].role == GR_ROLE_EXECUTOR)
        g_ptr_array_add (mode->executors, g_strdup (list[i].address));
      else if (list[i].role == GR_ROLE_WORKER)
        g_ptr_array_add (mode->workers, g_strdup (list[i].address));
    }
  g_clear_pointer (&mode->instances, gr_instances_destroy);
  if (start_load (mode, &error))
    return;
  fprintf (stderr, "geraniumrack-standin: %s\n", error.message);
  mode->done (1, mode->context);
}

static void
report_list_error (const struct gr_error *error, void *context)
{
  (void)context;
  fprintf (stderr, "geraniumrack-standin: cannot read instance list: %s\n",
           error->message);
}

bool
gr_load_mode_start (struct gr_load_mode *mode,
                    const char *instances_url,
                    void (*done) (uint32_t violations, void *context),
                    void *context,
                    struct gr_error *error)
{
  mode->done = done;
  mode->context = context;
  if (!check_options (mode, error) || !read_token (mode, error))
    return false;
  if (instances_url == NULL)
    return start_load (mode, error);
  mode->instances =
      gr_instances_create (instances_url, LIST_INTERVAL_MS,
                           handle_instance_list, report_list_error, mode);
  return true;
}
