#include "standins/worker.h"

#include "http/json.h"
#include "standins/register.h"
#include "standins/worker-model.h"
#include "targets/worker-report.h"

#include <string.h>

struct gr_standin_worker
{
  struct gr_standin *base;
  struct gr_worker_model *model;
  struct gr_registration *registration;
  struct gr_worker_report identity; /* report without leases and tasks */
  GSource *timer;                   /* next event of the model, or NULL */
  bool fail_all;
  bool leaving;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static gboolean handle_timer (gpointer data);

static void
clear_timer (struct gr_standin_worker *worker)
{
  if (worker->timer == NULL)
    return;
  g_source_destroy (worker->timer);
  g_clear_pointer (&worker->timer, g_source_unref);
}

/* Applies all events that are due and sets the timer to the next one. */
static void
advance_model (struct gr_standin_worker *worker)
{
  int64_t now = now_ms ();
  int64_t next_ms = gr_worker_model_advance (worker->model, now);

  clear_timer (worker);
  if (next_ms == INT64_MAX)
    return;
  worker->timer = g_timeout_source_new (
      (guint)CLAMP (next_ms - now, 1, (int64_t)INT32_MAX));
  g_source_set_callback (worker->timer, handle_timer, worker, NULL);
  g_source_attach (worker->timer, NULL);
}

static gboolean
handle_timer (gpointer data)
{
  advance_model (data);
  return G_SOURCE_REMOVE;
}

static void
set_new_incarnation (struct gr_standin_worker *worker)
{
  char *uuid = g_uuid_string_random ();

  g_strlcpy (worker->identity.incarnation, uuid,
             sizeof worker->identity.incarnation);
  g_free (uuid);
}

static JsonArray *
create_lease_list (const struct gr_worker_report *report)
{
  JsonArray *list = json_array_new ();

  for (uint32_t i = 0; i < report->n_leases; i++)
    {
      const struct gr_lease_report *lease = &report->leases[i];
      JsonObject *item = json_object_new ();

      json_object_set_string_member (item, "lease", lease->lease);
      json_object_set_string_member (item, "holder", lease->holder);
      json_object_set_int_member (item, "accelerators", lease->accelerators);
      json_object_set_int_member (item, "remaining_ms", lease->remaining_ms);
      json_array_add_object_element (list, item);
    }
  return list;
}

static JsonArray *
create_task_list (const struct gr_worker_report *report)
{
  JsonArray *list = json_array_new ();

  for (uint32_t i = 0; i < report->n_tasks; i++)
    {
      const struct gr_task_report *task = &report->tasks[i];
      JsonObject *item = json_object_new ();

      json_object_set_string_member (item, "task", task->task);
      json_object_set_string_member (item, "lease", task->lease);
      json_object_set_string_member (item, "state",
                                     gr_task_state_name (task->state));
      json_object_set_int_member (item, "throttle_percent",
                                  task->throttle_percent);
      json_object_set_int_member (item, "ran_ms", task->ran_ms);
      json_object_set_int_member (item, "checkpoint_ms", task->checkpoint_ms);
      json_array_add_object_element (list, item);
    }
  return list;
}

static void
reply_report (struct gr_standin_worker *worker, struct gr_standin_call *call)
{
  struct gr_worker_report report = worker->identity;
  JsonObject *answer = json_object_new ();

  gr_worker_model_report (worker->model, now_ms (), &report);
  json_object_set_string_member (answer, "worker", report.worker);
  json_object_set_string_member (answer, "incarnation", report.incarnation);
  json_object_set_string_member (answer, "rack", report.rack);
  json_object_set_int_member (answer, "rack_slot", report.rack_slot);
  json_object_set_string_member (answer, "data_centre", report.data_centre);
  json_object_set_int_member (answer, "accelerators", report.accelerators);
  json_object_set_int_member (answer, "cores", report.cores);
  json_object_set_int_member (answer, "memory_mb", (gint64)report.memory_mb);
  json_object_set_boolean_member (answer, "leaving", worker->leaving);
  json_object_set_array_member (answer, "leases", create_lease_list (&report));
  json_object_set_array_member (answer, "tasks", create_task_list (&report));
  gr_worker_report_clear (&report);
  gr_standin_reply (call, 200, answer);
}

static void
reply_result (struct gr_standin_call *call, enum gr_model_result result)
{
  static const guint status[] = {
    [GR_MODEL_OK] = 200,
    [GR_MODEL_CONFLICT] = 409,
    [GR_MODEL_NOT_FOUND] = 404,
  };

  gr_standin_reply (call, status[result], NULL);
}

static void
apply_grant (struct gr_standin_worker *worker, struct gr_standin_call *call)
{
  char lease[GR_ID_MAX];
  char holder[GR_NAME_MAX];
  int64_t mask = 0;
  int64_t term_ms = 0;

  if (!gr_json_get_string (call->body, "lease", lease, sizeof lease)
      || !gr_json_get_string (call->body, "holder", holder, sizeof holder)
      || !gr_json_get_int (call->body, "accelerators", 1, UINT32_MAX, 0, &mask)
      || !gr_json_get_int (call->body, "term_ms", 1, 86400000, 0, &term_ms)
      || lease[0] == '\0' || mask == 0 || term_ms == 0)
    {
      gr_standin_reply (call, 400, NULL);
      return;
    }
  if (worker->leaving)
    {
      soup_message_headers_replace (
          soup_server_message_get_response_headers (call->message), "Leaving",
          "true");
      gr_standin_reply (call, 503, NULL);
      return;
    }
  reply_result (call,
                gr_worker_model_grant (worker->model, lease, holder,
                                       (uint32_t)mask, term_ms, now_ms ()));
}

static void
apply_renew (struct gr_standin_worker *worker, struct gr_standin_call *call)
{
  JsonArray *list = NULL;
  int64_t term_ms = 0;
  JsonNode *node;

  if (!gr_json_get_array (call->body, "leases", &list) || list == NULL
      || !gr_json_get_int (call->body, "term_ms", 1, 86400000, 0, &term_ms)
      || term_ms == 0)
    {
      gr_standin_reply (call, 400, NULL);
      return;
    }
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      node = json_array_get_element (list, i);
      if (JSON_NODE_HOLDS_VALUE (node)
          && json_node_get_value_type (node) == G_TYPE_STRING)
        gr_worker_model_renew (worker->model, json_node_get_string (node),
                               term_ms, now_ms ());
    }
  gr_standin_reply (call, 200, NULL);
}

static void
apply_start (struct gr_standin_worker *worker, struct gr_standin_call *call)
{
  const char *spec = gr_json_peek_string (call->body, "spec");
  char lease[GR_ID_MAX];
  char task[GR_ID_MAX];
  int64_t throttle = 0;

  if (!gr_json_get_string (call->body, "lease", lease, sizeof lease)
      || !gr_json_get_string (call->body, "task", task, sizeof task)
      || !gr_json_get_int (call->body, "throttle_percent", 0, 100, 100,
                           &throttle)
      || lease[0] == '\0' || task[0] == '\0')
    {
      gr_standin_reply (call, 400, NULL);
      return;
    }
  reply_result (call, gr_worker_model_start (worker->model, lease, task,
                                             (uint32_t)throttle,
                                             spec ? spec : "", now_ms ()));
}

/* Handles /v1/leases/ID/release and /v1/tasks/ID/ACTION. The id may contain
 * slashes. */
static void
apply_action (struct gr_standin_worker *worker, struct gr_standin_call *call)
{
  const char *action = strrchr (call->path, '/');
  bool is_task = g_str_has_prefix (call->path, "/v1/tasks/");
  const char *id = call->path + strlen (is_task ? "/v1/tasks/" : "/v1/leases/");
  char *name =
      action > id ? g_strndup (id, (gsize)(action - id)) : g_strdup ("");
  enum gr_model_result result = GR_MODEL_NOT_FOUND;
  int64_t throttle = 100;

  if (is_task && strcmp (action, "/throttle") == 0
      && gr_json_get_int (call->body, "throttle_percent", 0, 100, 100,
                          &throttle))
    result = gr_worker_model_throttle (worker->model, name, (uint32_t)throttle,
                                       now_ms ());
  else if (is_task && strcmp (action, "/checkpoint") == 0)
    result = gr_worker_model_checkpoint (worker->model, name, now_ms ());
  else if (is_task && strcmp (action, "/stop") == 0)
    result = gr_worker_model_stop (worker->model, name, now_ms ());
  else if (!is_task && strcmp (action, "/release") == 0)
    result = gr_worker_model_release (worker->model, name, now_ms ());
  reply_result (call, result);
  g_free (name);
}

static void
apply (struct gr_standin_call *call, void *context)
{
  struct gr_standin_worker *worker = context;

  advance_model (worker);
  if (strcmp (call->path, "/v1/report") == 0)
    reply_report (worker, call);
  else if (call->body == NULL)
    gr_standin_reply (call, 400, NULL);
  else if (strcmp (call->path, "/v1/leases") == 0)
    apply_grant (worker, call);
  else if (strcmp (call->path, "/v1/renew") == 0)
    apply_renew (worker, call);
  else if (strcmp (call->path, "/v1/tasks") == 0)
    apply_start (worker, call);
  else if (g_str_has_prefix (call->path, "/v1/leases/")
           || g_str_has_prefix (call->path, "/v1/tasks/"))
    apply_action (worker, call);
  else
    gr_standin_reply (call, 404, NULL);
  advance_model (worker);
}

static bool
is_write (const struct gr_standin_call *call)
{
  return strcmp (call->method, "GET") != 0;
}

static void
describe (JsonObject *answer, void *context)
{
  struct gr_standin_worker *worker = context;
  const GArray *starts = gr_worker_model_starts (worker->model);
  JsonArray *list = json_array_new ();

  advance_model (worker);
  for (guint i = 0; i < starts->len; i++)
    {
      const struct gr_worker_start_record *record =
          &g_array_index (starts, struct gr_worker_start_record, i);
      JsonObject *item = json_object_new ();

      json_object_set_string_member (item, "task", record->task);
      json_object_set_string_member (item, "lease", record->lease);
      json_object_set_string_member (item, "spec", record->spec);
      json_object_set_int_member (item, "started_ms", record->started_ms);
      json_object_set_int_member (item, "unthrottled_ms",
                                  record->unthrottled_ms);
      json_object_set_int_member (item, "ended_ms", record->ended_ms);
      json_object_set_int_member (item, "ran_ms", record->ran_ms);
      json_object_set_string_member (item, "outcome",
                                     gr_task_state_name (record->state));
      json_array_add_object_element (list, item);
    }
  json_object_set_string_member (answer, "name", worker->identity.worker);
  json_object_set_array_member (answer, "starts", list);
}

static bool
control (JsonObject *body, void *context)
{
  struct gr_standin_worker *worker = context;
  bool was_leaving = worker->leaving;
  bool restart = false;

  if (!gr_json_get_bool (body, "fail_all", worker->fail_all, &worker->fail_all)
      || !gr_json_get_bool (body, "leaving", was_leaving, &worker->leaving)
      || !gr_json_get_bool (body, "restart", false, &restart))
    return false;
  gr_worker_model_set_fail_all (worker->model, worker->fail_all);
  if (worker->leaving != was_leaving)
    gr_registration_set_leaving (worker->registration, worker->leaving);
  if (restart)
    {
      gr_worker_model_restart (worker->model, now_ms ());
      set_new_incarnation (worker);
    }
  return true;
}

static const struct gr_standin_ops ops = {
  .is_write = is_write,
  .apply = apply,
  .describe = describe,
  .control = control,
};

struct gr_standin_worker *
gr_standin_worker_create (const char *listen,
                          const struct gr_standin_worker_settings *settings,
                          struct gr_error *error)
{
  struct gr_standin_worker *worker = g_new0 (struct gr_standin_worker, 1);
  struct gr_worker_report *identity = &worker->identity;

  g_strlcpy (identity->worker, settings->name, sizeof identity->worker);
  g_strlcpy (identity->rack, settings->rack, sizeof identity->rack);
  g_strlcpy (identity->data_centre, settings->data_centre,
             sizeof identity->data_centre);
  identity->rack_slot = settings->rack_slot;
  identity->accelerators = settings->accelerators;
  identity->cores = settings->cores;
  identity->memory_mb = settings->memory_mb;
  set_new_incarnation (worker);
  worker->model = gr_worker_model_create (settings->accelerators);
  worker->base = gr_standin_create (listen, &ops, worker, error);
  if (worker->base == NULL)
    {
      gr_standin_worker_destroy (worker);
      return NULL;
    }
  worker->registration = gr_registration_create (
      settings->instances_url, settings->name, "worker", settings->data_centre,
      gr_standin_address (worker->base));
  return worker;
}

void
gr_standin_worker_destroy (struct gr_standin_worker *worker)
{
  if (worker == NULL)
    return;
  clear_timer (worker);
  gr_registration_destroy (worker->registration);
  gr_standin_destroy (worker->base);
  gr_worker_model_destroy (worker->model);
  g_free (worker);
}

struct gr_standin *
gr_standin_worker_base (struct gr_standin_worker *worker)
{
  return worker->base;
}

uint32_t
gr_standin_worker_starts (const struct gr_standin_worker *worker,
                          const char *task)
{
  const GArray *starts = gr_worker_model_starts (worker->model);
  uint32_t count = 0;

  for (guint i = 0; i < starts->len; i++)
    if (strcmp (g_array_index (starts, struct gr_worker_start_record, i).task,
                task)
        == 0)
      count++;
  return count;
}
