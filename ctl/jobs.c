/* The "jobs" commands. */
#include "ctl/commands.h"
#include "sched/job.h"

#include <string.h>
#include <unistd.h>

/* First and greatest interval between two polls of "jobs wait". It grows by
 * half after each poll. */
#define FIRST_POLL_MS 200
#define MAX_POLL_MS 2000

enum field_type
{
  FIELD_STRING,
  FIELD_INT,
  FIELD_BOOL,
};

struct field
{
  const char *name;
  enum field_type type;
};

/* Members of the body of POST /v1/jobs. */
static const struct field fields[] = {
  { "account", FIELD_STRING },
  { "key", FIELD_STRING },
  { "workers", FIELD_INT },
  { "accelerators_per_worker", FIELD_INT },
  { "run_ms", FIELD_INT },
  { "priority", FIELD_STRING },
  { "idempotent", FIELD_BOOL },
  { "checkpointable", FIELD_BOOL },
  { "data_centre", FIELD_STRING },
  { "cores_per_task", FIELD_INT },
  { "memory_mb_per_task", FIELD_INT },
  { "spec", FIELD_STRING },
};

static const char *const job_columns[] = {
  "id",      "state",  "priority", "workers", "accelerators_per_worker",
  "attempt", "reason", NULL
};

/* Exit codes of "jobs wait" for the final states of a job. */
static const struct
{
  enum gr_job_state state;
  int exit_code;
} wait_results[] = {
  { GR_JOB_FINISHED, 0 },
  { GR_JOB_FAILED, GR_CTL_EXIT_JOB_FAILED },
  { GR_JOB_CANCELLED, GR_CTL_EXIT_JOB_FAILED },
  { GR_JOB_REFUSED, 5 },
  { GR_JOB_MAY_HAVE_RUN, 8 },
};

static const struct field *
find_field (const char *name, size_t length)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (strlen (fields[i].name) == length
        && strncmp (fields[i].name, name, length) == 0)
      return &fields[i];
  return NULL;
}

static bool
set_string (struct gr_ctl *ctl,
            JsonObject *object,
            const char *name,
            const char *value)
{
  char *text = NULL;

  if (value[0] != '@')
    {
      json_object_set_string_member (object, name, value);
      return true;
    }
  if (!gr_ctl_read_file (ctl, value + 1, &text))
    return false;
  json_object_set_string_member (object, name, text);
  g_free (text);
  return true;
}

/* Sets a member of object from an argument "NAME=VALUE". */
static bool
set_field (struct gr_ctl *ctl, JsonObject *object, const char *argument)
{
  const char *equals = strchr (argument, '=');
  const struct field *field = NULL;
  const char *value;
  gint64 number;

  if (equals != NULL)
    field = find_field (argument, (size_t)(equals - argument));
  if (field == NULL)
    {
      gr_ctl_usage_error (
          ctl, "'%s' is not NAME=VALUE with NAME a member of a job", argument);
      return false;
    }
  value = equals + 1;
  if (field->type == FIELD_STRING)
    return set_string (ctl, object, field->name, value);
  if (field->type == FIELD_BOOL)
    {
      if (!g_str_equal (value, "true") && !g_str_equal (value, "false"))
        {
          gr_ctl_usage_error (ctl, "%s: found '%s', allowed: true, false",
                              field->name, value);
          return false;
        }
      json_object_set_boolean_member (object, field->name,
                                      g_str_equal (value, "true"));
      return true;
    }
  if (!g_ascii_string_to_signed (value, 10, 0, GR_JOB_MAX_RUN_MS, &number,
                                 NULL))
    {
      gr_ctl_usage_error (
          ctl, "%s: found '%s', allowed: a whole number from 0 to %lld",
          field->name, value, GR_JOB_MAX_RUN_MS);
      return false;
    }
  json_object_set_int_member (object, field->name, number);
  return true;
}

int
gr_ctl_jobs_submit (struct gr_ctl *ctl, int argc, char **argv)
{
  struct gr_error error = GR_ERROR_INIT;
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  struct gr_ctl_response response;
  int exit_code = 0;
  char *body;

  json_node_take_object (node, json_object_new ());
  for (int i = 0; i < argc; i++)
    if (!set_field (ctl, json_node_get_object (node), argv[i]))
      {
        json_node_unref (node);
        return gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;
      }
  body = json_to_string (node, FALSE);
  json_node_unref (node);
  if (gr_ctl_call (ctl, "POST", "/v1/jobs", "application/json", body, -1,
                   &response, &error)
      && (response.json == NULL || !JSON_NODE_HOLDS_OBJECT (response.json)))
    gr_error_set (&error, GR_ERROR_PROTOCOL,
                  "the response is not a JSON object");
  if (error.kind != GR_ERROR_NONE)
    exit_code = gr_ctl_report_error (ctl, &error, &response);
  else if (ctl->json)
    gr_ctl_print_json (ctl, response.json);
  else
    fprintf (ctl->out, "%s\n",
             gr_ctl_string (json_node_get_object (response.json), "id", "-"));
  gr_ctl_response_clear (&response);
  g_free (body);
  return exit_code;
}

int
gr_ctl_jobs_show (struct gr_ctl *ctl, int argc, char **argv)
{
  char *path = gr_ctl_path ("/v1/jobs/", argv[0]);
  int exit_code = gr_ctl_show_object (ctl, path);

  (void)argc;
  g_free (path);
  return exit_code;
}

/* Applies an argument "NAME=VALUE" of "jobs list": adds the filters account and
 * state to the query, and stores limit in *limit. */
static bool
add_filter (struct gr_ctl *ctl,
            GString *query,
            const char *argument,
            int64_t *limit)
{
  enum gr_job_state state;
  char *escaped;

  if (g_str_has_prefix (argument, "limit=")
      && g_ascii_string_to_signed (argument + strlen ("limit="), 10, 1, 1000000,
                                   limit, NULL))
    return true;
  if (g_str_has_prefix (argument, "state=")
      && !gr_job_state_from_name (argument + strlen ("state="), &state))
    {
      gr_ctl_usage_error (ctl, "'%s' is not a job state",
                          argument + strlen ("state="));
      return false;
    }
  if (!g_str_has_prefix (argument, "account=")
      && !g_str_has_prefix (argument, "state="))
    {
      gr_ctl_usage_error (
          ctl, "'%s' is not account=NAME, state=STATE or limit=N (from 1)",
          argument);
      return false;
    }
  escaped = g_uri_escape_string (argument, "=", FALSE);
  g_string_append_printf (query, "%s%s", query->len > 0 ? "&" : "", escaped);
  g_free (escaped);
  return true;
}

int
gr_ctl_jobs_list (struct gr_ctl *ctl, int argc, char **argv)
{
  GString *query = g_string_new (NULL);
  int exit_code = gr_error_info (GR_ERROR_BAD_REQUEST)->exit_code;
  int64_t limit = 0;
  bool valid = true;

  for (int i = 0; i < argc && valid; i++)
    valid = add_filter (ctl, query, argv[i], &limit);
  if (valid)
    exit_code =
        gr_ctl_show_list (ctl, "/v1/jobs", query->str, limit, job_columns);
  g_string_free (query, TRUE);
  return exit_code;
}

/* Prints a changed state if the output is a terminal. */
static void
print_progress (struct gr_ctl *ctl, char **last_state, JsonObject *job)
{
  const char *state = gr_ctl_string (job, "state", "-");

  if (!isatty (fileno (ctl->out)) || g_strcmp0 (*last_state, state) == 0)
    return;
  g_free (*last_state);
  *last_state = g_strdup (state);
  fprintf (ctl->err, "%s\n", state);
}

/* Returns true if polling can continue after an error. It can after a timeout
 * or a broken connection, because reading a job has no side effects. */
static bool
can_poll_again (enum gr_error_kind kind)
{
  const struct gr_error_info *info = gr_error_info (kind);

  return info->run_state == GR_RUN_NOT_RUN || kind == GR_ERROR_IO
         || kind == GR_ERROR_TIMEOUT;
}

static bool
read_state (const struct gr_ctl_response *response,
            enum gr_job_state *state,
            struct gr_error *error)
{
  if (response->json != NULL && JSON_NODE_HOLDS_OBJECT (response->json)
      && gr_job_state_from_name (
          gr_ctl_string (json_node_get_object (response->json), "state", ""),
          state))
    return true;
  return gr_error_set (error, GR_ERROR_PROTOCOL, "the response is not a job");
}

static int
wait_exit_code (enum gr_job_state state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (wait_results); i++)
    if (wait_results[i].state == state)
      return wait_results[i].exit_code;
  return gr_error_info (GR_ERROR_INTERNAL)->exit_code;
}

/* Polls a job once. Returns true with *exit_code set if the wait is over: the
 * job is in a final state or polling cannot continue. */
static bool
poll_job (struct gr_ctl *ctl,
          const char *path,
          char **last_state,
          struct gr_error *error,
          int *exit_code)
{
  struct gr_ctl_response response;
  enum gr_job_state state = GR_JOB_ACCEPTED;
  bool done;

  *error = (struct gr_error)GR_ERROR_INIT;
  if (gr_ctl_call (ctl, "GET", path, NULL, NULL, -1, &response, error)
      && read_state (&response, &state, error))
    {
      print_progress (ctl, last_state, json_node_get_object (response.json));
      done = gr_job_state_is_final (state);
      if (done)
        {
          gr_ctl_print_object (ctl, response.json);
          *exit_code = wait_exit_code (state);
        }
    }
  else
    {
      done = !can_poll_again (error->kind);
      if (done)
        *exit_code = gr_ctl_report_error (ctl, error, &response);
    }
  gr_ctl_response_clear (&response);
  return done;
}

int
gr_ctl_jobs_wait (struct gr_ctl *ctl, int argc, char **argv)
{
  int64_t start_us = g_get_monotonic_time ();
  char *path = gr_ctl_path ("/v1/jobs/", argv[0]);
  int64_t wait_ms = FIRST_POLL_MS;
  struct gr_error error = GR_ERROR_INIT;
  char *last_state = NULL;
  int exit_code = 0;
  bool done = false;

  (void)argc;
  while (!done && gr_ctl_limit_call_timeout (ctl, start_us) > 0)
    {
      done = poll_job (ctl, path, &last_state, &error, &exit_code);
      wait_ms = MAX (wait_ms, MIN (error.retry_after_ms, MAX_POLL_MS));
      if (!done)
        gr_ctl_sleep (wait_ms);
      wait_ms = MIN (wait_ms * 3 / 2, MAX_POLL_MS);
    }
  if (!done)
    {
      if (error.kind == GR_ERROR_NONE)
        gr_error_set (&error, GR_ERROR_TIMEOUT,
                      "job %s did not end within %g s; it continues", argv[0],
                      ctl->timeout_s);
      exit_code = gr_ctl_report_error (ctl, &error, NULL);
    }
  g_free (last_state);
  g_free (path);
  return exit_code;
}

int
gr_ctl_jobs_cancel (struct gr_ctl *ctl, int argc, char **argv)
{
  struct gr_error error = GR_ERROR_INIT;
  struct gr_ctl_response response;
  char *path = gr_ctl_path ("/v1/jobs/", argv[0]);
  int exit_code = 0;

  (void)argc;
  if (!gr_ctl_call (ctl, "DELETE", path, NULL, NULL, -1, &response, &error))
    exit_code = gr_ctl_report_error (ctl, &error, &response);
  else if (response.json != NULL)
    gr_ctl_print_object (ctl, response.json);
  gr_ctl_response_clear (&response);
  g_free (path);
  return exit_code;
}
