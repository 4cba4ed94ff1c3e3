#include "instance/records.h"

#include "rpc/pack.h"

#include <string.h>

static const char *const prefixes[] = {
  [GR_RECORD_JOB] = "gr/job/",
  [GR_RECORD_PROGRESS] = "gr/progress/",
  [GR_RECORD_CANCEL] = "gr/cancel/",
};

char *
gr_record_key (enum gr_record_kind kind, const char *job_id)
{
  return g_strconcat (prefixes[kind], job_id, NULL);
}

enum gr_record_kind
gr_record_kind (const char *key, const char **job_id)
{
  for (size_t i = 0; i < G_N_ELEMENTS (prefixes); i++)
    if (g_str_has_prefix (key, prefixes[i]))
      {
        *job_id = key + strlen (prefixes[i]);
        return (enum gr_record_kind)i;
      }
  *job_id = NULL;
  return GR_RECORD_OTHER;
}

static GBytes *
packer_to_bytes (struct gr_packer *packer)
{
  size_t size;
  const void *data = gr_packer_data (packer, &size);
  GBytes *bytes = g_bytes_new (data, size);

  gr_packer_destroy (packer);
  return bytes;
}

/* Returns the steps that the step waits for, as text such as "0,2". */
static char *
join_after (const struct gr_step_spec *step)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < step->n_after; i++)
    g_string_append_printf (text, "%s%u", i == 0 ? "" : ",", step->after[i]);
  return g_string_free (text, FALSE);
}

static void
split_after (const char *text, struct gr_step_spec *step)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);

  step->after = g_new0 (uint32_t, g_strv_length (parts) + 1);
  for (char **part = parts; *part != NULL; part++)
    if (**part != '\0')
      step->after[step->n_after++] =
          (uint32_t)g_ascii_strtoull (*part, NULL, 10);
}

static void
pack_bool_if_set (struct gr_packer *packer, const char *key, bool value)
{
  if (value)
    gr_pack_bool (packer, key, true);
}

static void
pack_int_if_set (struct gr_packer *packer, const char *key, int64_t value)
{
  if (value != 0)
    gr_pack_int (packer, key, value);
}

static struct gr_packer *
pack_step (const struct gr_step_spec *step)
{
  struct gr_packer *packer = gr_packer_create ();
  g_autofree char *after = join_after (step);

  gr_pack_int (packer, "count", step->count);
  pack_int_if_set (packer, "cpu_milli", step->needs.cpu_milli);
  pack_int_if_set (packer, "memory_mb", step->needs.memory_mb);
  pack_int_if_set (packer, "accelerators", step->needs.accelerators);
  pack_int_if_set (packer, "estimate_ms", step->estimate_ms);
  pack_int_if_set (packer, "max_per_worker", step->max_per_worker);
  pack_int_if_set (packer, "tail_target_ms", step->tail_target_ms);
  pack_int_if_set (packer, "max_away", step->max_away);
  if (step->n_after > 0)
    gr_pack_string (packer, "after", after);
  gr_pack_string (packer, "label", step->label);
  gr_pack_string (packer, "data_rack", step->data_rack);
  gr_pack_string (packer, "image", step->image);
  pack_bool_if_set (packer, "checkpointing", step->checkpointing);
  pack_bool_if_set (packer, "gang", step->gang);
  pack_bool_if_set (packer, "one_rack", step->one_rack);
  pack_bool_if_set (packer, "copies", step->copies);
  pack_bool_if_set (packer, "lasting", step->lasting);
  pack_bool_if_set (packer, "filler", step->filler);
  return packer;
}

static void
pack_terms (struct gr_packer *packer, const struct gr_queue_terms *terms)
{
  if (terms->service == NULL)
    return;
  gr_pack_string (packer, "service", terms->service);
  pack_int_if_set (packer, "priority", terms->priority);
  pack_int_if_set (packer, "max_attempts", terms->max_attempts);
  pack_int_if_set (packer, "objective_ms", terms->objective_ms);
  gr_pack_double (packer, "stretch", terms->stretch);
  pack_bool_if_set (packer, "needs_advice", terms->needs_advice);
  pack_int_if_set (packer, "advice_decide_ms", terms->advice_decide_ms);
  pack_int_if_set (packer, "advice_each_ms", terms->advice_each_ms);
}

GBytes *
gr_record_encode_job (const struct gr_job_spec *spec)
{
  struct gr_packer *packer = gr_packer_create ();

  gr_pack_string (packer, "queue", spec->queue);
  pack_terms (packer, &spec->terms);
  gr_pack_string (packer, "account", spec->account);
  gr_pack_string (packer, "payload", spec->payload);
  gr_pack_int (packer, "accepted_unix_ms", spec->accepted_unix_ms);
  pack_int_if_set (packer, "repeats", spec->repeats);
  pack_int_if_set (packer, "first_due_unix_ms", spec->first_due_unix_ms);
  pack_int_if_set (packer, "interval_ms", spec->interval_ms);
  gr_pack_array_begin (packer, "steps");
  for (uint32_t i = 0; i < spec->n_steps; i++)
    gr_pack_array_add (packer, pack_step (&spec->steps[i]));
  gr_pack_array_end (packer);
  return packer_to_bytes (packer);
}

static uint32_t
unpack_uint (const msgpack_object *map, const char *key)
{
  return (uint32_t)CLAMP (gr_unpack_int (map, key, 0), 0, UINT32_MAX);
}

static void
unpack_step (const msgpack_object *map, struct gr_step_spec *step)
{
  g_autofree char *after = gr_unpack_string (map, "after");

  step->count = unpack_uint (map, "count");
  step->needs.cpu_milli = unpack_uint (map, "cpu_milli");
  step->needs.memory_mb = unpack_uint (map, "memory_mb");
  step->needs.accelerators = unpack_uint (map, "accelerators");
  step->estimate_ms = unpack_uint (map, "estimate_ms");
  step->max_per_worker = unpack_uint (map, "max_per_worker");
  step->tail_target_ms = unpack_uint (map, "tail_target_ms");
  step->max_away = unpack_uint (map, "max_away");
  if (after != NULL)
    split_after (after, step);
  step->label = gr_unpack_string (map, "label");
  step->data_rack = gr_unpack_string (map, "data_rack");
  step->image = gr_unpack_string (map, "image");
  step->checkpointing = gr_unpack_bool (map, "checkpointing", false);
  step->gang = gr_unpack_bool (map, "gang", false);
  step->one_rack = gr_unpack_bool (map, "one_rack", false);
  step->copies = gr_unpack_bool (map, "copies", false);
  step->lasting = gr_unpack_bool (map, "lasting", false);
  step->filler = gr_unpack_bool (map, "filler", false);
}

static void
unpack_terms (const msgpack_object *map, struct gr_queue_terms *terms)
{
  terms->service = gr_unpack_string (map, "service");
  terms->priority = unpack_uint (map, "priority");
  terms->max_attempts = unpack_uint (map, "max_attempts");
  terms->objective_ms = unpack_uint (map, "objective_ms");
  terms->stretch = gr_unpack_double (map, "stretch", 1);
  terms->needs_advice = gr_unpack_bool (map, "needs_advice", false);
  terms->advice_decide_ms = unpack_uint (map, "advice_decide_ms");
  terms->advice_each_ms = unpack_uint (map, "advice_each_ms");
}

static bool
steps_are_valid (const struct gr_job_spec *spec)
{
  for (uint32_t i = 0; i < spec->n_steps; i++)
    {
      if (spec->steps[i].count == 0)
        return false;
      for (uint32_t k = 0; k < spec->steps[i].n_after; k++)
        if (spec->steps[i].after[k] >= i)
          return false;
    }
  return spec->n_steps > 0;
}

static struct gr_job_spec *
unpack_job (const char *id, const msgpack_object *map)
{
  struct gr_job_spec *spec = g_new0 (struct gr_job_spec, 1);
  size_t n;
  const msgpack_object *steps = gr_unpack_array (map, "steps", &n);

  g_strlcpy (spec->id, id, sizeof spec->id);
  spec->queue = gr_unpack_string (map, "queue");
  unpack_terms (map, &spec->terms);
  spec->account = gr_unpack_string (map, "account");
  spec->payload = gr_unpack_string (map, "payload");
  spec->accepted_unix_ms = gr_unpack_int (map, "accepted_unix_ms", 0);
  spec->repeats = unpack_uint (map, "repeats");
  spec->first_due_unix_ms = gr_unpack_int (map, "first_due_unix_ms", 0);
  spec->interval_ms = gr_unpack_int (map, "interval_ms", 0);
  spec->steps = g_new0 (struct gr_step_spec, n + 1);
  spec->n_steps = (uint32_t)n;
  for (size_t i = 0; i < n; i++)
    unpack_step (&steps[i], &spec->steps[i]);
  if (spec->queue != NULL && spec->account != NULL && spec->payload != NULL
      && steps_are_valid (spec))
    return spec;
  gr_job_spec_destroy (spec);
  return NULL;
}

/* Unpacks the whole value, which must be a map. unpacked is to be destroyed in
 * both cases. */
static bool
unpack_value (GBytes *value, msgpack_unpacked *unpacked)
{
  size_t size;
  const char *data = g_bytes_get_data (value, &size);
  size_t offset = 0;

  msgpack_unpacked_init (unpacked);
  return data != NULL
         && msgpack_unpack_next (unpacked, data, size, &offset)
                == MSGPACK_UNPACK_SUCCESS
         && unpacked->data.type == MSGPACK_OBJECT_MAP;
}

struct gr_job_spec *
gr_record_decode_job (const char *id, GBytes *value)
{
  msgpack_unpacked unpacked;
  struct gr_job_spec *spec = NULL;

  if (strlen (id) != GR_JOB_ID_DIGITS)
    return NULL;
  if (unpack_value (value, &unpacked))
    spec = unpack_job (id, &unpacked.data);
  msgpack_unpacked_destroy (&unpacked);
  return spec;
}

/* Earlier versions accept exactly this number of failed runs. */
#define MIN_PACKED_FAILED_RUNS 8

static void
pack_failed_runs (struct gr_packer *packer, const struct gr_task_progress *task)
{
  uint32_t runs[MAX (GR_MAX_FAILED_RUNS, MIN_PACKED_FAILED_RUNS)] = { 0 };
  uint32_t n = gr_failed_runs_kept (task->failures);

  memcpy (runs, task->failed_runs, n * sizeof *runs);
  gr_pack_bytes (packer, "r", runs,
                 MAX (n, MIN_PACKED_FAILED_RUNS) * sizeof *runs);
}

/* Runs that the record lacks are unknown. */
static void
unpack_failed_runs (const msgpack_object *map, struct gr_task_progress *task)
{
  size_t n_bytes = gr_failed_runs_kept (task->failures) * sizeof (uint32_t);
  size_t size;
  const char *runs = gr_unpack_bytes (map, "r", &size);

  task->failed_runs = g_malloc0 (n_bytes);
  if (runs != NULL && n_bytes > 0)
    memcpy (task->failed_runs, runs, MIN (size, n_bytes));
}

static struct gr_packer *
pack_task (const struct gr_task_progress *task)
{
  struct gr_packer *packer = gr_packer_create ();

  pack_int_if_set (packer, "o", task->occurrence);
  pack_int_if_set (packer, "s", task->step);
  pack_int_if_set (packer, "i", task->index);
  pack_bool_if_set (packer, "d", task->done);
  pack_int_if_set (packer, "f", task->failures);
  if (task->failures > 0)
    pack_failed_runs (packer, task);
  pack_int_if_set (packer, "k", task->crashes);
  pack_int_if_set (packer, "e", task->early_crashes);
  pack_int_if_set (packer, "u", task->unconfirmed_crashes);
  pack_int_if_set (packer, "x", task->dismissed_crashes);
  if (task->checkpoint[0] != '\0')
    gr_pack_string (packer, "c", task->checkpoint);
  return packer;
}

/* The keys of tasks are short because a job can have thousands of tasks. */
GBytes *
gr_record_encode_progress (const struct gr_job_progress *progress)
{
  struct gr_packer *packer = gr_packer_create ();

  gr_pack_int (packer, "state", progress->state);
  gr_pack_array_begin (packer, "tasks");
  for (size_t i = 0; i < progress->n_tasks; i++)
    gr_pack_array_add (packer, pack_task (&progress->tasks[i]));
  gr_pack_array_end (packer);
  return packer_to_bytes (packer);
}

static void
unpack_task (const msgpack_object *map, struct gr_task_progress *task)
{
  g_autofree char *checkpoint = gr_unpack_string (map, "c");

  task->occurrence = unpack_uint (map, "o");
  task->step = unpack_uint (map, "s");
  task->index = unpack_uint (map, "i");
  task->done = gr_unpack_bool (map, "d", false);
  task->failures = unpack_uint (map, "f");
  task->crashes = unpack_uint (map, "k");
  task->early_crashes = unpack_uint (map, "e");
  task->unconfirmed_crashes = unpack_uint (map, "u");
  task->dismissed_crashes = unpack_uint (map, "x");
  unpack_failed_runs (map, task);
  if (checkpoint != NULL)
    g_strlcpy (task->checkpoint, checkpoint, sizeof task->checkpoint);
}

bool
gr_record_decode_progress (GBytes *value, struct gr_job_progress *progress)
{
  msgpack_unpacked unpacked;
  bool valid = unpack_value (value, &unpacked);
  const msgpack_object *tasks;
  int64_t state;

  *progress = (struct gr_job_progress){ 0 };
  if (valid)
    {
      state = gr_unpack_int (&unpacked.data, "state", -1);
      tasks = gr_unpack_array (&unpacked.data, "tasks", &progress->n_tasks);
      progress->tasks = g_new0 (struct gr_task_progress, progress->n_tasks + 1);
      for (size_t i = 0; i < progress->n_tasks; i++)
        unpack_task (&tasks[i], &progress->tasks[i]);
      valid = state >= GR_JOB_QUEUED && state <= GR_JOB_CANCELLED;
      progress->state = valid ? (enum gr_job_state)state : GR_JOB_QUEUED;
    }
  msgpack_unpacked_destroy (&unpacked);
  return valid;
}
