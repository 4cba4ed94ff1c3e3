#include "tests/steps-model-private.h"

#include <string.h>

/* The platform's rules on attempts: a task or a gang is not started after its
 * last permitted failed run, and a job is not shown as failed before, unless
 * two workers have crashed under one of its tasks. */

#define CRASHES_TO_GIVE_UP 2

struct model_attempts *
model_attempts_create (void)
{
  struct model_attempts *attempts = g_new0 (struct model_attempts, 1);

  attempts->runs =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  attempts->counts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return attempts;
}

void
model_attempts_destroy (struct model_attempts *attempts)
{
  g_hash_table_destroy (attempts->runs);
  g_hash_table_destroy (attempts->counts);
  g_free (attempts);
}

void
model_attempts_add (struct model_attempts *attempts,
                    const char *unit,
                    uint32_t run)
{
  uint32_t count = model_attempts_count (attempts, unit) + 1;

  if (!g_hash_table_add (attempts->runs, g_strdup_printf ("%s %u", unit, run)))
    return;
  attempts->most = MAX (attempts->most, count);
  g_hash_table_replace (attempts->counts, g_strdup (unit),
                        GUINT_TO_POINTER (count));
}

uint32_t
model_attempts_count (const struct model_attempts *attempts, const char *unit)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (attempts->counts, unit));
}

/* What fails as a whole: the task, or the step of a gang. */
static char *
failing_unit (const struct model_job *job, const char *task)
{
  const char *step = strchr (strchr (task, '.') + 1, '.') + 1;

  if (!job->spec->steps[g_ascii_strtoull (step, NULL, 10)].gang)
    return g_strdup (task);
  return g_strndup (task, (gsize)(strchr (step, '.') - task));
}

static struct model_job *
job_of_task (struct steps_model *model, const char *task)
{
  return model_get_job (model, (uint32_t)g_ascii_strtoull (task, NULL, 16));
}

void
model_note_failure (struct steps_model *model, const char *task, uint32_t run)
{
  struct model_job *job = job_of_task (model, task);
  g_autofree char *unit = failing_unit (job, task);

  model_attempts_add (job->failures, unit, run);
}

void
model_note_acknowledged_failure (struct steps_model *model,
                                 const char *task,
                                 uint32_t run)
{
  struct model_job *job = job_of_task (model, task);
  g_autofree char *unit = failing_unit (job, task);

  model_attempts_add (job->acknowledged_failures, unit, run);
}

void
model_note_crash (struct steps_model *model, const struct model_worker *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *run = worker->runs->pdata[i];

      model_attempts_add (model_get_job (model, run->job)->crashed_runs,
                          run->task, run->run);
    }
}

void
model_set_limit (struct steps_model *model,
                 const char *queue,
                 uint32_t max_attempts)
{
  if (max_attempts > 0)
    g_hash_table_replace (model->limits, g_strdup (queue),
                          GUINT_TO_POINTER (max_attempts));
}

static uint32_t
limit_of (const struct steps_model *model, const struct model_job *job)
{
  uint32_t limit =
      GPOINTER_TO_UINT (g_hash_table_lookup (model->limits, job->spec->queue));

  return limit == 0 ? UINT32_MAX : limit;
}

void
model_check_attempt (struct steps_model *model, const struct model_run *run)
{
  const struct model_job *job = model_get_job (model, run->job);
  g_autofree char *unit = failing_unit (job, run->task);

  if (!model_run_spec (model, run)->lasting
      && model_attempts_count (job->acknowledged_failures, unit)
             >= limit_of (model, job))
    model_report_violation (model, "started without attempts left", run->task);
}

void
model_check_failed (struct steps_model *model, const struct model_job *job)
{
  if (job->failures->most < limit_of (model, job)
      && job->crashed_runs->most < CRASHES_TO_GIVE_UP)
    model_report_violation (model, "shown as failed without cause",
                            job->spec->id);
}
