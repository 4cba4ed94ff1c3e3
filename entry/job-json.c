#include "entry/job-json.h"

#include "http/json.h"

#include <string.h>

static const char *const members[] = {
  "account",
  "key",
  "workers",
  "accelerators_per_worker",
  "run_ms",
  "priority",
  "idempotent",
  "checkpointable",
  "data_centre",
  "cores_per_task",
  "memory_mb_per_task",
  "spec",
};

static bool
check_members (JsonObject *object, struct gr_error *error)
{
  GList *names = json_object_get_members (object);
  const char *unknown = NULL;

  for (GList *item = names; item != NULL && unknown == NULL; item = item->next)
    {
      bool known = false;

      for (size_t i = 0; i < G_N_ELEMENTS (members) && !known; i++)
        known = strcmp (members[i], item->data) == 0;
      if (!known)
        unknown = item->data;
    }
  if (unknown != NULL)
    gr_error_set (error, GR_ERROR_BAD_REQUEST, "unknown member \"%.64s\"",
                  unknown);
  g_list_free (names);
  return unknown == NULL;
}

static bool
read_number (JsonObject *object,
             const char *name,
             int64_t min,
             int64_t max,
             int64_t missing,
             int64_t *value,
             struct gr_error *error)
{
  if (gr_json_get_int (object, name, min, max, missing, value))
    return true;
  return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                       "%s must be a whole number from %" G_GINT64_FORMAT
                       " to %" G_GINT64_FORMAT,
                       name, (gint64)min, (gint64)max);
}

static bool
read_numbers (JsonObject *object,
              struct gr_job_spec *spec,
              struct gr_error *error)
{
  int64_t workers;
  int64_t accelerators;
  int64_t cores;
  int64_t memory;

  if (!read_number (object, "workers", 1, GR_JOB_MAX_WORKERS, 0, &workers,
                    error)
      || !read_number (object, "accelerators_per_worker", 1,
                       GR_MAX_ACCELERATORS, 0, &accelerators, error)
      || !read_number (object, "run_ms", 1, GR_JOB_MAX_RUN_MS, 0, &spec->run_ms,
                       error)
      || !read_number (object, "cores_per_task", 0, 100000, 0, &cores, error)
      || !read_number (object, "memory_mb_per_task", 0, 100000000, 0, &memory,
                       error))
    return false;
  spec->shape.workers = (uint32_t)workers;
  spec->shape.accelerators_per_worker = (uint32_t)accelerators;
  spec->cores_per_task = (uint32_t)cores;
  spec->memory_mb_per_task = (uint32_t)memory;
  return true;
}

static bool
read_strings (JsonObject *object,
              struct gr_job_spec *spec,
              bool *has_priority,
              struct gr_error *error)
{
  char priority[16];
  const char *text;

  if (!gr_json_get_string (object, "account", spec->account,
                           sizeof spec->account)
      || !gr_json_get_string (object, "key", spec->key, sizeof spec->key)
      || !gr_json_get_string (object, "data_centre", spec->data_centre,
                              sizeof spec->data_centre)
      || !gr_json_get_string (object, "priority", priority, sizeof priority))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "account, key, data_centre and priority must be "
                         "short strings");
  *has_priority = priority[0] != '\0';
  if (*has_priority && !gr_priority_from_name (priority, &spec->priority))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "priority must be urgent, normal or batch");
  text = gr_json_peek_string (object, "spec");
  if (text == NULL && json_object_has_member (object, "spec"))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST, "spec must be a string");
  spec->spec = g_strdup (text);
  return true;
}

bool
gr_job_from_json (JsonObject *object,
                  struct gr_job_spec *spec,
                  bool *has_priority,
                  struct gr_error *error)
{
  memset (spec, 0, sizeof *spec);
  if (!check_members (object, error) || !read_numbers (object, spec, error))
    return false;
  if (!gr_json_get_bool (object, "idempotent", true, &spec->idempotent)
      || !gr_json_get_bool (object, "checkpointable", false,
                            &spec->checkpointable))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "idempotent and checkpointable must be true or false");
  if (!read_strings (object, spec, has_priority, error))
    return false;
  if (gr_job_spec_check (spec, error))
    return true;
  gr_job_spec_clear (spec);
  return false;
}

static JsonArray *
placements_to_json (const struct gr_job_record *record)
{
  JsonArray *list = json_array_new ();

  for (uint32_t i = 0; i < record->n_placements; i++)
    {
      const struct gr_placement *placement = &record->placements[i];
      JsonObject *item = json_object_new ();
      JsonArray *accelerators = json_array_new ();

      for (guint bit = 0; bit < 32; bit++)
        if (placement->accelerators & (1U << bit))
          json_array_add_int_element (accelerators, bit);
      json_object_set_string_member (item, "worker", placement->worker);
      json_object_set_array_member (item, "accelerators", accelerators);
      json_array_add_object_element (list, item);
    }
  return list;
}

JsonObject *
gr_job_to_json (const struct gr_job_record *record)
{
  const struct gr_job_spec *spec = &record->spec;
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "id", record->id);
  json_object_set_string_member (object, "state",
                                 gr_job_state_name (record->state));
  json_object_set_string_member (object, "reason", record->reason);
  json_object_set_string_member (object, "account", spec->account);
  json_object_set_string_member (object, "key", spec->key);
  json_object_set_int_member (object, "workers", spec->shape.workers);
  json_object_set_int_member (object, "accelerators_per_worker",
                              spec->shape.accelerators_per_worker);
  json_object_set_int_member (object, "run_ms", spec->run_ms);
  json_object_set_string_member (object, "priority",
                                 gr_priority_name (spec->priority));
  json_object_set_boolean_member (object, "idempotent", spec->idempotent);
  json_object_set_boolean_member (object, "checkpointable",
                                  spec->checkpointable);
  json_object_set_string_member (object, "data_centre", spec->data_centre);
  json_object_set_int_member (object, "cores_per_task", spec->cores_per_task);
  json_object_set_int_member (object, "memory_mb_per_task",
                              spec->memory_mb_per_task);
  if (spec->spec != NULL)
    json_object_set_string_member (object, "spec", spec->spec);
  json_object_set_int_member (object, "attempt", record->attempt);
  json_object_set_boolean_member (object, "cancel_asked", record->cancel_asked);
  json_object_set_int_member (object, "submitted_unix_ms",
                              record->submitted_unix_ms);
  json_object_set_int_member (object, "started_unix_ms",
                              record->started_unix_ms);
  json_object_set_int_member (object, "ended_unix_ms", record->ended_unix_ms);
  json_object_set_int_member (object, "saved_ms", record->saved_ms);
  json_object_set_array_member (object, "placements",
                                placements_to_json (record));
  return object;
}
