#include "standins/load.h"

#include "http/http.h"
#include "http/json.h"
#include "standins/load-check.h"
#include "standins/load-stats.h"

#include <stdio.h>
#include <string.h>

#define TICK_INTERVAL_MS 5
#define JOB_POLL_INTERVAL_MS 250

/* Maximum number of calls in flight, and of connections, to one entry. Calls
 * above this limit are not sent. libsoup scans all connections to a host on
 * each event, so with 200 connections this tool is slower than the entries as
 * soon as they stall. */
#define MAX_CALLS_PER_ENTRY 64

#define CONTROL_TIMEOUT_MS 10000

struct load_job
{
  char *key;
  char *id; /* NULL until the job is accepted */
  int64_t submitted_us;
  bool polling; /* a poll is in flight */
  bool ended;
};

struct gr_load
{
  struct gr_load_settings settings;
  struct gr_http *http;
  struct gr_load_stats *stats;
  struct gr_load_check *check;
  GRand *random;
  GPtrArray *jobs;
  GSource *timer;
  int64_t started_us;
  int64_t polled_us;   /* last time that the jobs were polled */
  uint32_t n_requests; /* sent so far */
  uint32_t n_jobs;     /* sent so far */
  uint32_t in_flight;
  uint32_t controls_pending; /* GET /control calls without a response */
  bool destroyed;
  void (*done) (uint32_t violations, void *context);
  void *context;
};

/* A call to an entry that is in flight. */
struct load_call
{
  struct gr_load *load;
  char *key;
  GBytes *body;
  struct load_job *job; /* NULL for a request */
  int64_t sent_us;
};

static bool
random_chance (struct gr_load *load, uint32_t percent)
{
  return (uint32_t)g_rand_int_range (load->random, 0, 100) < percent;
}

static const char *
choose_entry (struct gr_load *load)
{
  guint count = g_strv_length ((char **)(void *)load->settings.entries);

  return load->settings
      .entries[g_rand_int_range (load->random, 0, (gint32)count)];
}

static struct load_call *
call_create (struct gr_load *load, const char *key)
{
  struct load_call *call = g_new0 (struct load_call, 1);

  call->load = load;
  call->key = g_strdup (key);
  call->sent_us = g_get_monotonic_time ();
  load->in_flight++;
  return call;
}

static void
call_free (struct load_call *call)
{
  call->load->in_flight--;
  g_clear_pointer (&call->body, g_bytes_unref);
  g_free (call->key);
  g_free (call);
}

/* Adds the time since the call was sent to the statistics. */
static void
add_latency (struct load_call *call, const char *work, const char *outcome_name)
{
  char *kind = g_strconcat (work, " ", outcome_name, NULL);

  gr_load_stats_add (call->load->stats, kind,
                     g_get_monotonic_time () - call->sent_us);
  g_free (kind);
}

/* Returns the outcome of a call without a response and sets kind to its name in
 * the statistics. */
static enum gr_load_outcome
classify_failure (const struct gr_error *error, char *kind, size_t size)
{
  if (error->kind == GR_ERROR_OVERLOADED)
    g_strlcpy (kind, "not sent", size);
  else
    g_snprintf (kind, size, "broken: %s", gr_error_info (error->kind)->name);
  return gr_error_info (error->kind)->run_state == GR_RUN_NOT_RUN
             ? GR_LOAD_NOT_RUN
             : GR_LOAD_MAY_HAVE_RUN;
}

/* Returns the outcome that a problem document reports and sets kind to its name
 * in the statistics. */
static enum gr_load_outcome
classify_problem (const struct gr_http_response *answer,
                  char *kind,
                  size_t size)
{
  struct gr_error error = GR_ERROR_INIT;
  JsonObject *problem = gr_json_parse (answer->body, &error);
  enum gr_load_outcome outcome = GR_LOAD_MAY_HAVE_RUN;
  char state[32] = "";

  g_snprintf (kind, size, "%u without a problem document", answer->status);
  if (problem == NULL)
    return outcome;
  if (gr_json_get_string (problem, "run_state", state, sizeof state)
      && gr_json_get_string (problem, "kind", kind, size)
      && (strcmp (state, "not-run") == 0 || strcmp (state, "never") == 0))
    outcome = GR_LOAD_NOT_RUN;
  json_object_unref (problem);
  return outcome;
}

static void
handle_request_response (const struct gr_http_response *answer,
                         const struct gr_error *error,
                         void *context)
{
  struct load_call *call = context;
  enum gr_load_outcome outcome = GR_LOAD_MAY_HAVE_RUN;
  char kind[64] = "ok";

  if (error != NULL)
    outcome = classify_failure (error, kind, sizeof kind);
  else if (answer->status != 200)
    outcome = classify_problem (answer, kind, sizeof kind);
  else if (g_bytes_equal (answer->body, call->body))
    outcome = GR_LOAD_RAN;
  else
    outcome = GR_LOAD_RAN | GR_LOAD_WRONG_ANSWER;
  gr_load_check_add_outcome (call->load->check, call->key, outcome);
  add_latency (call, "request", kind);
  call_free (call);
}

static void
send_call (struct gr_load *load,
           struct load_call *call,
           const char *method,
           const char *path,
           const char *const *headers,
           bool may_resend,
           void (*done) (const struct gr_http_response *answer,
                         const struct gr_error *error,
                         void *context))
{
  const char *entry = choose_entry (load);
  char *url = g_strconcat ("http://", entry, path, NULL);
  struct gr_error refusal = GR_ERROR_INIT;
  struct gr_http_request request = {
    .method = method,
    .url = url,
    .content_type = "application/json",
    .body = call->body,
    .headers = headers,
    .may_resend = may_resend,
    .timeout_ms = load->settings.deadline_ms + 2000,
    .limit_key = entry,
  };

  if (gr_http_open_calls (load->http, entry) >= MAX_CALLS_PER_ENTRY)
    {
      gr_error_set (&refusal, GR_ERROR_OVERLOADED,
                    "too many calls in flight to %s", entry);
      request.refusal = &refusal;
    }
  gr_http_call (load->http, &request, done, call);
  g_free (url);
}

static void
send_request (struct gr_load *load)
{
  const struct gr_load_settings *settings = &load->settings;
  bool at_most_once = random_chance (load, settings->non_idempotent_percent);
  bool is_long = random_chance (load, settings->long_percent);
  int n_sends = random_chance (load, settings->repeat_percent) ? 2 : 1;
  uint32_t run_ms = settings->run_ms * (is_long ? 20 : 1);
  char *key = g_strdup_printf ("r%08x-%u", settings->seed, load->n_requests++);
  char *deadline = g_strdup_printf ("%u", settings->deadline_ms);
  char *token = g_strconcat ("Bearer ", settings->token, NULL);
  char *text = g_strdup_printf (
      "{\"run_ms\":%d,\"key\":\"%s\"}",
      g_rand_int_range (load->random, 0, 2 * (gint32)run_ms + 1), key);
  const char *headers[] = {
    "Geraniumrack-Account",
    settings->account,
    "Idempotency-Key",
    key,
    "Geraniumrack-Idempotent",
    at_most_once ? "false" : "true",
    "Geraniumrack-Kind",
    is_long ? "long" : "short",
    "Geraniumrack-Deadline-Ms",
    deadline,
    settings->token ? "Authorization" : NULL,
    token,
    NULL,
  };

  gr_load_check_add_work (load->check, key, !at_most_once, 1);
  for (int i = 0; i < n_sends; i++)
    {
      struct load_call *call = call_create (load, key);

      call->body = g_bytes_new (text, strlen (text));
      send_call (load, call, "POST", "/v1/requests", headers, !at_most_once,
                 handle_request_response);
    }
  g_free (key);
  g_free (deadline);
  g_free (token);
  g_free (text);
}

static void
handle_job_end (struct load_call *call, const char *state)
{
  enum gr_load_outcome outcome = GR_LOAD_MAY_HAVE_RUN;

  if (strcmp (state, "finished") == 0 || strcmp (state, "failed") == 0)
    outcome = GR_LOAD_RAN;
  else if (strcmp (state, "refused") == 0)
    outcome = GR_LOAD_NOT_RUN;
  gr_load_check_add_outcome (call->load->check, call->key, outcome);
  call->job->ended = true;
  call->sent_us = call->job->submitted_us;
  add_latency (call, "job ended", state);
}

static void
read_job (struct load_call *call, const struct gr_http_response *answer)
{
  struct gr_error error = GR_ERROR_INIT;
  JsonObject *record = gr_json_parse (answer->body, &error);
  const char *id = record ? gr_json_peek_string (record, "id") : NULL;
  const char *state = record ? gr_json_peek_string (record, "state") : NULL;
  static const char *const final_states[] = { "finished",     "failed",
                                              "cancelled",    "refused",
                                              "may-have-run", NULL };

  if (id != NULL && call->job->id == NULL)
    call->job->id = g_strdup (id);
  if (state != NULL && !call->job->ended
      && g_strv_contains (final_states, state))
    handle_job_end (call, state);
  g_clear_pointer (&record, json_object_unref);
}

static void
handle_submit_response (const struct gr_http_response *answer,
                        const struct gr_error *error,
                        void *context)
{
  struct load_call *call = context;
  char kind[64] = "accepted";

  if (error != NULL)
    gr_load_check_add_outcome (call->load->check, call->key,
                               classify_failure (error, kind, sizeof kind));
  else if (answer->status != 201 && answer->status != 200)
    gr_load_check_add_outcome (call->load->check, call->key,
                               classify_problem (answer, kind, sizeof kind));
  add_latency (call, "job", kind);
  if (error == NULL && answer->status < 300)
    read_job (call, answer);
  call_free (call);
}

static void
handle_poll_response (const struct gr_http_response *answer,
                      const struct gr_error *error,
                      void *context)
{
  struct load_call *call = context;

  call->job->polling = false;
  if (error == NULL && answer->status == 200)
    read_job (call, answer);
  call_free (call);
}

static GBytes *
create_job_body (struct gr_load *load,
                 const char *key,
                 bool at_most_once,
                 int workers)
{
  JsonObject *body = json_object_new ();
  int run_ms =
      g_rand_int_range (load->random, 1, 2 * (gint32)load->settings.run_ms + 2);
  char *spec = g_strdup_printf ("run_ms=%d job=%s", run_ms, key);

  json_object_set_string_member (body, "account", load->settings.account);
  json_object_set_string_member (body, "key", key);
  json_object_set_int_member (body, "workers", workers);
  json_object_set_int_member (
      body, "accelerators_per_worker",
      1 << g_rand_int_range (load->random, 0, workers > 1 ? 4 : 3));
  json_object_set_int_member (body, "run_ms", run_ms);
  json_object_set_boolean_member (body, "idempotent", !at_most_once);
  json_object_set_string_member (body, "spec", spec);
  g_free (spec);
  return gr_json_to_bytes (body);
}

static void
set_job_headers (struct gr_load *load, char **token, const char *headers[3])
{
  *token = g_strconcat ("Bearer ", load->settings.token, NULL);
  headers[0] = load->settings.token ? "Authorization" : NULL;
  headers[1] = *token;
  headers[2] = NULL;
}

static void
send_job (struct gr_load *load)
{
  bool at_most_once =
      random_chance (load, load->settings.non_idempotent_percent);
  int workers = random_chance (load, load->settings.gang_percent) ? 2 : 1;
  struct load_job *job = g_new0 (struct load_job, 1);
  struct load_call *call;
  const char *headers[3];
  char *token;

  job->key = g_strdup_printf ("j%08x-%u", load->settings.seed, load->n_jobs++);
  job->submitted_us = g_get_monotonic_time ();
  g_ptr_array_add (load->jobs, job);
  gr_load_check_add_work (load->check, job->key, !at_most_once,
                          (uint32_t)workers);
  call = call_create (load, job->key);
  call->job = job;
  call->body = create_job_body (load, job->key, at_most_once, workers);
  set_job_headers (load, &token, headers);
  send_call (load, call, "POST", "/v1/jobs", headers, true,
             handle_submit_response);
  g_free (token);
}

static void
poll_job (struct gr_load *load, struct load_job *job)
{
  struct load_call *call = call_create (load, job->key);
  char *path = g_strconcat ("/v1/jobs/", job->id, NULL);
  const char *headers[3];
  char *token;

  call->job = job;
  job->polling = true;
  set_job_headers (load, &token, headers);
  send_call (load, call, "GET", path, headers, true, handle_poll_response);
  g_free (path);
  g_free (token);
}

/* Returns the number of jobs that were accepted and have not ended. If poll_due
 * is set, also polls those without a poll in flight. */
static uint32_t
poll_jobs (struct gr_load *load, bool poll_due)
{
  uint32_t unfinished = 0;

  for (guint i = 0; i < load->jobs->len; i++)
    {
      struct load_job *job = g_ptr_array_index (load->jobs, i);

      if (job->id == NULL || job->ended)
        continue;
      unfinished++;
      if (poll_due && !job->polling)
        poll_job (load, job);
    }
  return unfinished;
}

static void
print_report (struct gr_load *load)
{
  GString *text = g_string_new (NULL);
  uint32_t violations;

  gr_load_stats_append_table (load->stats, text);
  g_string_append_printf (text, "%u requests and %u jobs, %u jobs not ended\n",
                          load->n_requests, load->n_jobs,
                          poll_jobs (load, false));
  violations = gr_load_check_append_report (load->check, text);
  fputs (text->str, stdout);
  fflush (stdout);
  g_string_free (text, TRUE);
  load->done (violations, load->context);
}

static void
handle_control_response (const struct gr_http_response *answer,
                         const struct gr_error *error,
                         void *context)
{
  struct gr_load *load = context;
  struct gr_error problem = GR_ERROR_INIT;
  JsonObject *control = NULL;

  if (load->destroyed)
    return;
  if (error == NULL && answer->status == 200)
    control = gr_json_parse (answer->body, &problem);
  gr_load_check_read_control (load->check, control);
  g_clear_pointer (&control, json_object_unref);
  if (--load->controls_pending == 0)
    print_report (load);
}

static void
request_controls (struct gr_load *load, const char *const *targets)
{
  for (; targets != NULL && *targets != NULL; targets++)
    {
      char *url = g_strdup_printf ("http://%s/control", *targets);
      struct gr_http_request request = {
        .method = "GET",
        .url = url,
        .may_resend = true,
        .timeout_ms = CONTROL_TIMEOUT_MS,
      };

      load->controls_pending++;
      gr_http_call (load->http, &request, handle_control_response, load);
      g_free (url);
    }
}

/* Queries all targets for what they have run, and prints the report once all
 * have responded. Jobs that have not ended count as "may have run", since they
 * may still run later. */
static void
read_targets (struct gr_load *load)
{
  for (guint i = 0; i < load->jobs->len; i++)
    {
      struct load_job *job = g_ptr_array_index (load->jobs, i);

      if (job->id != NULL && !job->ended)
        gr_load_check_add_outcome (load->check, job->key, GR_LOAD_MAY_HAVE_RUN);
    }
  request_controls (load, load->settings.executors);
  request_controls (load, load->settings.workers);
  if (load->controls_pending == 0)
    print_report (load);
}

/* Sends the requests and jobs that are due at elapsed_ms after the start. */
static void
send_due (struct gr_load *load, int64_t elapsed_ms)
{
  double seconds = (double)elapsed_ms / 1000.0;

  while (load->n_requests < (uint32_t)(seconds * load->settings.requests_per_s))
    send_request (load);
  while (load->n_jobs < (uint32_t)(seconds * load->settings.jobs_per_s))
    send_job (load);
}

static gboolean
handle_tick (gpointer data)
{
  struct gr_load *load = data;
  int64_t now_us = g_get_monotonic_time ();
  int64_t elapsed_ms = (now_us - load->started_us) / 1000;
  int64_t duration_ms = load->settings.duration_ms;
  bool poll_due =
      now_us - load->polled_us >= INT64_C (1000) * JOB_POLL_INTERVAL_MS;
  uint32_t unfinished = poll_jobs (load, poll_due);

  if (poll_due)
    load->polled_us = now_us;
  send_due (load, MIN (elapsed_ms, duration_ms));
  if (elapsed_ms < duration_ms)
    return G_SOURCE_CONTINUE;
  if (elapsed_ms < duration_ms + load->settings.drain_ms
      && (unfinished > 0 || load->in_flight > 0))
    return G_SOURCE_CONTINUE;
  /* Each call in flight ends with its timeout at the latest. */
  if (load->in_flight > 0)
    return G_SOURCE_CONTINUE;
  read_targets (load);
  return G_SOURCE_REMOVE;
}

static void
job_free (void *data)
{
  struct load_job *job = data;

  g_free (job->key);
  g_free (job->id);
  g_free (job);
}

static bool
check_loopback (const char *const *addresses, struct gr_error *error)
{
  for (; addresses != NULL && *addresses != NULL; addresses++)
    if (!g_str_has_prefix (*addresses, "127."))
      return gr_error_set (error, GR_ERROR_BAD_SETTINGS,
                           "load may only be sent to loopback addresses, not "
                           "to %s",
                           *addresses);
  return true;
}

struct gr_load *
gr_load_create (const struct gr_load_settings *settings,
                void (*done) (uint32_t violations, void *context),
                void *context,
                struct gr_error *error)
{
  struct gr_load *load;

  if (!check_loopback (settings->entries, error)
      || !check_loopback (settings->executors, error)
      || !check_loopback (settings->workers, error))
    return NULL;
  load = g_new0 (struct gr_load, 1);
  load->settings = *settings;
  load->http = gr_http_create (MAX_CALLS_PER_ENTRY);
  load->stats = gr_load_stats_create ();
  load->check = gr_load_check_create ();
  load->random = g_rand_new_with_seed (settings->seed);
  load->jobs = g_ptr_array_new_with_free_func (job_free);
  load->started_us = g_get_monotonic_time ();
  load->done = done;
  load->context = context;
  load->timer = g_timeout_source_new (TICK_INTERVAL_MS);
  g_source_set_callback (load->timer, handle_tick, load, NULL);
  g_source_attach (load->timer, NULL);
  return load;
}

void
gr_load_destroy (struct gr_load *load)
{
  if (load == NULL)
    return;
  load->destroyed = true;
  g_source_destroy (load->timer);
  g_source_unref (load->timer);
  gr_http_destroy (load->http);
  gr_load_stats_destroy (load->stats);
  gr_load_check_destroy (load->check);
  g_rand_free (load->random);
  g_ptr_array_unref (load->jobs);
  g_free (load);
}
