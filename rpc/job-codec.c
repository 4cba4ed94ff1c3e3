#include "rpc/job-codec.h"

#include <string.h>

void
gr_pack_job_spec (struct gr_packer *packer, const struct gr_job_spec *spec)
{
  gr_pack_string (packer, "account", spec->account);
  gr_pack_string (packer, "key", spec->key);
  gr_pack_int (packer, "workers", spec->shape.workers);
  gr_pack_int (packer, "accelerators_per_worker",
               spec->shape.accelerators_per_worker);
  gr_pack_int (packer, "run_ms", spec->run_ms);
  gr_pack_int (packer, "priority", spec->priority);
  gr_pack_bool (packer, "idempotent", spec->idempotent);
  gr_pack_bool (packer, "checkpointable", spec->checkpointable);
  gr_pack_string (packer, "data_centre", spec->data_centre);
  gr_pack_int (packer, "cores_per_task", spec->cores_per_task);
  gr_pack_int (packer, "memory_mb_per_task", spec->memory_mb_per_task);
  gr_pack_string (packer, "spec", spec->spec);
}

/* Copies the string of key, or "" if it is missing, into buffer. Returns false
 * if it is longer than size - 1 bytes. */
static bool
read_name (const msgpack_object *map,
           const char *key,
           char *buffer,
           size_t size)
{
  char *text = gr_unpack_string (map, key);
  bool fits = text == NULL || strlen (text) < size;

  if (fits)
    g_strlcpy (buffer, text ? text : "", size);
  g_free (text);
  return fits;
}

static uint32_t
read_u32 (const msgpack_object *map, const char *key)
{
  int64_t value = gr_unpack_int (map, key, 0);

  return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

static bool
unpack_spec (const msgpack_object *map,
             struct gr_job_spec *spec,
             struct gr_error *error)
{
  int64_t priority = gr_unpack_int (map, "priority", GR_PRIORITY_NORMAL);

  memset (spec, 0, sizeof *spec);
  if (!read_name (map, "account", spec->account, sizeof spec->account)
      || !read_name (map, "key", spec->key, sizeof spec->key)
      || !read_name (map, "data_centre", spec->data_centre,
                     sizeof spec->data_centre)
      || priority < GR_PRIORITY_URGENT || priority > GR_PRIORITY_BATCH)
    return gr_error_set (
        error, GR_ERROR_BAD_REQUEST,
        "a name of the job is too long, or its priority is invalid");
  spec->shape.workers = read_u32 (map, "workers");
  spec->shape.accelerators_per_worker =
      read_u32 (map, "accelerators_per_worker");
  spec->run_ms = gr_unpack_int (map, "run_ms", 0);
  spec->priority = (enum gr_priority)priority;
  spec->idempotent = gr_unpack_bool (map, "idempotent", false);
  spec->checkpointable = gr_unpack_bool (map, "checkpointable", false);
  spec->cores_per_task = read_u32 (map, "cores_per_task");
  spec->memory_mb_per_task = read_u32 (map, "memory_mb_per_task");
  spec->spec = gr_unpack_string (map, "spec");
  return true;
}

bool
gr_unpack_job_spec (const msgpack_object *map,
                    struct gr_job_spec *spec,
                    struct gr_error *error)
{
  if (!unpack_spec (map, spec, error))
    return false;
  if (gr_job_spec_check (spec, error))
    return true;
  gr_job_spec_clear (spec);
  return false;
}

struct gr_packer *
gr_pack_job_record (const struct gr_job_record *record)
{
  struct gr_packer *packer = gr_packer_create ();

  gr_pack_string (packer, "id", record->id);
  gr_pack_job_spec (packer, &record->spec);
  gr_pack_string (packer, "state", gr_job_state_name (record->state));
  gr_pack_int (packer, "attempt", record->attempt);
  gr_pack_int (packer, "version", (int64_t)record->version);
  gr_pack_bool (packer, "cancel_asked", record->cancel_asked);
  gr_pack_int (packer, "submitted_unix_ms", record->submitted_unix_ms);
  gr_pack_int (packer, "started_unix_ms", record->started_unix_ms);
  gr_pack_int (packer, "ended_unix_ms", record->ended_unix_ms);
  gr_pack_int (packer, "saved_ms", record->saved_ms);
  gr_pack_int (packer, "failures", record->failures);
  gr_pack_string (packer, "reason", record->reason);
  gr_pack_array_begin (packer, "placements");
  for (uint32_t i = 0; i < record->n_placements; i++)
    {
      const struct gr_placement *placement = &record->placements[i];
      struct gr_packer *element = gr_packer_create ();

      gr_pack_string (element, "worker", placement->worker);
      gr_pack_string (element, "lease", placement->lease);
      gr_pack_string (element, "task", placement->task);
      gr_pack_int (element, "accelerators", placement->accelerators);
      gr_pack_array_add (packer, element);
    }
  gr_pack_array_end (packer);
  return packer;
}

static bool
unpack_placements (const msgpack_object *map, struct gr_job_record *record)
{
  size_t count;
  const msgpack_object *elements = gr_unpack_array (map, "placements", &count);

  if (count > GR_JOB_MAX_WORKERS)
    return false;
  record->placements = g_new0 (struct gr_placement, count);
  record->n_placements = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      struct gr_placement *placement = &record->placements[i];

      if (!read_name (&elements[i], "worker", placement->worker,
                      sizeof placement->worker)
          || !read_name (&elements[i], "lease", placement->lease,
                         sizeof placement->lease)
          || !read_name (&elements[i], "task", placement->task,
                         sizeof placement->task))
        return false;
      placement->accelerators = read_u32 (&elements[i], "accelerators");
    }
  return true;
}

bool
gr_unpack_job_record (const msgpack_object *map,
                      struct gr_job_record *record,
                      struct gr_error *error)
{
  char state[32];
  bool ok;

  memset (record, 0, sizeof *record);
  if (!unpack_spec (map, &record->spec, error))
    return false;
  ok = read_name (map, "id", record->id, sizeof record->id)
       && read_name (map, "state", state, sizeof state)
       && gr_job_state_from_name (state, &record->state)
       && read_name (map, "reason", record->reason, sizeof record->reason)
       && unpack_placements (map, record);
  if (!ok)
    {
      gr_job_record_clear (record);
      return gr_error_set (error, GR_ERROR_PROTOCOL,
                           "a field of the job record is invalid");
    }
  record->attempt = read_u32 (map, "attempt");
  record->version = (uint64_t)gr_unpack_int (map, "version", 0);
  record->cancel_asked = gr_unpack_bool (map, "cancel_asked", false);
  record->submitted_unix_ms = gr_unpack_int (map, "submitted_unix_ms", 0);
  record->started_unix_ms = gr_unpack_int (map, "started_unix_ms", 0);
  record->ended_unix_ms = gr_unpack_int (map, "ended_unix_ms", 0);
  record->saved_ms = gr_unpack_int (map, "saved_ms", 0);
  record->failures = read_u32 (map, "failures");
  return true;
}
