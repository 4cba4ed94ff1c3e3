#include "targets/worker-report.h"

#include "http/json.h"

#include <string.h>

/* Maximum number of leases and of tasks in a report. A worker has at most 16
 * accelerators, but finished tasks stay in its report for a minute, so many
 * short ones can add up. */
#define MAX_LIST_LENGTH 10000

static const char *const state_names[] = {
  [GR_TASK_RUNNING] = "running",
  [GR_TASK_FINISHED] = "finished",
  [GR_TASK_FAILED] = "failed",
  [GR_TASK_STOPPED] = "stopped",
};

const char *
gr_task_state_name (enum gr_task_state state)
{
  return (unsigned)state < G_N_ELEMENTS (state_names) ? state_names[state]
                                                      : "unknown";
}

static bool
decode_state (JsonObject *object, enum gr_task_state *state)
{
  const char *name = gr_json_peek_string (object, "state");

  for (unsigned i = 0; name != NULL && i < G_N_ELEMENTS (state_names); i++)
    if (strcmp (name, state_names[i]) == 0)
      {
        *state = (enum gr_task_state)i;
        return true;
      }
  return false;
}

static bool
decode_lease (JsonObject *object,
              uint32_t accelerators,
              struct gr_lease_report *lease)
{
  int64_t mask = 0;
  bool valid =
      gr_json_get_string (object, "lease", lease->lease, sizeof lease->lease)
      && gr_json_get_string (object, "holder", lease->holder,
                             sizeof lease->holder)
      && gr_json_get_int (object, "accelerators", 1,
                          (INT64_C (1) << accelerators) - 1, 0, &mask)
      && gr_json_get_int (object, "remaining_ms", 0, INT32_MAX, 0,
                          &lease->remaining_ms);

  lease->accelerators = (uint32_t)mask;
  return valid && mask != 0 && lease->lease[0] != '\0';
}

static bool
decode_task (JsonObject *object, struct gr_task_report *task)
{
  int64_t throttle = 0;
  bool valid =
      gr_json_get_string (object, "task", task->task, sizeof task->task)
      && gr_json_get_string (object, "lease", task->lease, sizeof task->lease)
      && decode_state (object, &task->state)
      && gr_json_get_int (object, "throttle_percent", 0, 100, 100, &throttle)
      && gr_json_get_int (object, "ran_ms", 0, INT64_MAX, 0, &task->ran_ms)
      && gr_json_get_int (object, "checkpoint_ms", 0, INT64_MAX, 0,
                          &task->checkpoint_ms);

  task->throttle_percent = (uint32_t)throttle;
  return valid && task->task[0] != '\0';
}

static bool
get_list (JsonObject *object,
          const char *name,
          JsonArray **list,
          uint32_t *length)
{
  if (!gr_json_get_array (object, name, list))
    return false;
  *length = *list ? json_array_get_length (*list) : 0;
  return *length <= MAX_LIST_LENGTH;
}

static bool
decode_lists (JsonObject *object, struct gr_worker_report *report)
{
  JsonArray *leases = NULL;
  JsonArray *tasks = NULL;
  uint32_t n_leases = 0;
  uint32_t n_tasks = 0;

  if (!get_list (object, "leases", &leases, &n_leases)
      || !get_list (object, "tasks", &tasks, &n_tasks))
    return false;
  report->leases = g_new0 (struct gr_lease_report, n_leases + 1);
  report->tasks = g_new0 (struct gr_task_report, n_tasks + 1);
  for (; report->n_leases < n_leases; report->n_leases++)
    {
      JsonObject *item = gr_json_array_object (leases, report->n_leases);

      if (item == NULL
          || !decode_lease (item, report->accelerators,
                            &report->leases[report->n_leases]))
        return false;
    }
  for (; report->n_tasks < n_tasks; report->n_tasks++)
    {
      JsonObject *item = gr_json_array_object (tasks, report->n_tasks);

      if (item == NULL || !decode_task (item, &report->tasks[report->n_tasks]))
        return false;
    }
  return true;
}

static bool
decode_header (JsonObject *object, struct gr_worker_report *report)
{
  int64_t slot = 0;
  int64_t accelerators = 0;
  int64_t cores = 0;
  int64_t memory = 0;
  bool valid =
      gr_json_get_string (object, "worker", report->worker,
                          sizeof report->worker)
      && gr_json_get_string (object, "incarnation", report->incarnation,
                             sizeof report->incarnation)
      && gr_json_get_string (object, "rack", report->rack, sizeof report->rack)
      && gr_json_get_int (object, "rack_slot", 0, 10000, 0, &slot)
      && gr_json_get_string (object, "data_centre", report->data_centre,
                             sizeof report->data_centre)
      && gr_json_get_int (object, "accelerators", 1, GR_MAX_ACCELERATORS, 0,
                          &accelerators)
      && gr_json_get_int (object, "cores", 0, 100000, 0, &cores)
      && gr_json_get_int (object, "memory_mb", 0, INT32_MAX, 0, &memory)
      && gr_json_get_bool (object, "leaving", false, &report->leaving);

  report->rack_slot = (uint32_t)slot;
  report->accelerators = (uint32_t)accelerators;
  report->cores = (uint32_t)cores;
  report->memory_mb = (uint64_t)memory;
  return valid && accelerators > 0 && report->worker[0] != '\0'
         && report->incarnation[0] != '\0';
}

bool
gr_worker_report_decode (GBytes *body,
                         struct gr_worker_report *report,
                         struct gr_error *error)
{
  JsonObject *object = gr_json_parse (body, error);
  bool valid;

  memset (report, 0, sizeof *report);
  if (object == NULL)
    return false;
  valid = decode_header (object, report) && decode_lists (object, report);
  json_object_unref (object);
  if (!valid)
    gr_error_set (error, GR_ERROR_PROTOCOL, "the worker's report is malformed");
  return valid;
}

void
gr_worker_report_clear (struct gr_worker_report *report)
{
  g_clear_pointer (&report->leases, g_free);
  g_clear_pointer (&report->tasks, g_free);
  report->n_leases = 0;
  report->n_tasks = 0;
}
