#include "sched/job.h"

#include <string.h>

static const char *const state_names[] = {
  [GR_JOB_ACCEPTED] = "accepted",         [GR_JOB_STARTING] = "starting",
  [GR_JOB_RUNNING] = "running",           [GR_JOB_STOPPING] = "stopping",
  [GR_JOB_FINISHED] = "finished",         [GR_JOB_FAILED] = "failed",
  [GR_JOB_CANCELLED] = "cancelled",       [GR_JOB_REFUSED] = "refused",
  [GR_JOB_MAY_HAVE_RUN] = "may-have-run",
};

const char *
gr_job_state_name (enum gr_job_state state)
{
  return state_names[state];
}

bool
gr_job_state_from_name (const char *name, enum gr_job_state *state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (state_names); i++)
    if (strcmp (state_names[i], name) == 0)
      {
        *state = (enum gr_job_state)i;
        return true;
      }
  return false;
}

bool
gr_job_state_is_final (enum gr_job_state state)
{
  return state >= GR_JOB_FINISHED;
}

/* Accounts and keys become parts of job ids and of paths in the key-value
 * service. */
static bool
is_name (const char *text)
{
  if (text[0] == '\0')
    return false;
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr ("-_:", *c) == NULL)
      return false;
  return true;
}

bool
gr_job_spec_check (const struct gr_job_spec *spec, struct gr_error *error)
{
  if (!is_name (spec->account))
    return gr_error_set (
        error, GR_ERROR_BAD_REQUEST,
        "account must consist of letters, digits, '-', '_' or ':'");
  if (!is_name (spec->key))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "key must be 1 to %d letters, digits, '-', '_' or ':'",
                         GR_JOB_KEY_MAX - 1);
  if (spec->shape.workers < 1 || spec->shape.workers > GR_JOB_MAX_WORKERS)
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "workers must be 1 to %d, not %u", GR_JOB_MAX_WORKERS,
                         spec->shape.workers);
  if (spec->shape.accelerators_per_worker < 1
      || spec->shape.accelerators_per_worker > GR_MAX_ACCELERATORS)
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "accelerators_per_worker must be 1 to %d, not %u",
                         GR_MAX_ACCELERATORS,
                         spec->shape.accelerators_per_worker);
  if (spec->run_ms < 1 || spec->run_ms > GR_JOB_MAX_RUN_MS)
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "run_ms must be 1 to %" G_GINT64_FORMAT,
                         (gint64)GR_JOB_MAX_RUN_MS);
  if (spec->spec != NULL
      && (strlen (spec->spec) > GR_JOB_SPEC_MAX_BYTES
          || !g_utf8_validate (spec->spec, -1, NULL)))
    return gr_error_set (error, GR_ERROR_BAD_REQUEST,
                         "spec must be at most %d bytes of UTF-8",
                         GR_JOB_SPEC_MAX_BYTES);
  return true;
}

void
gr_job_spec_copy (struct gr_job_spec *to, const struct gr_job_spec *from)
{
  *to = *from;
  to->spec = g_strdup (from->spec);
}

void
gr_job_spec_clear (struct gr_job_spec *spec)
{
  g_free (spec->spec);
  spec->spec = NULL;
}

void
gr_job_record_copy (struct gr_job_record *to, const struct gr_job_record *from)
{
  *to = *from;
  gr_job_spec_copy (&to->spec, &from->spec);
  to->placements = g_memdup2 (
      from->placements, from->n_placements * sizeof (struct gr_placement));
}

void
gr_job_record_clear (struct gr_job_record *record)
{
  gr_job_spec_clear (&record->spec);
  g_free (record->placements);
  record->placements = NULL;
  record->n_placements = 0;
}
