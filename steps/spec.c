#include "steps/spec.h"

#include <glib.h>

void
gr_job_spec_destroy (struct gr_job_spec *spec)
{
  if (spec == NULL)
    return;
  for (uint32_t i = 0; i < spec->n_steps; i++)
    {
      g_free (spec->steps[i].after);
      g_free (spec->steps[i].label);
      g_free (spec->steps[i].data_rack);
      g_free (spec->steps[i].image);
    }
  g_free (spec->steps);
  g_free (spec->queue);
  g_free (spec->terms.service);
  g_free (spec->account);
  g_free (spec->payload);
  g_free (spec);
}

struct gr_job_spec *
gr_job_spec_copy (const struct gr_job_spec *spec)
{
  struct gr_job_spec *copy = g_new (struct gr_job_spec, 1);

  *copy = *spec;
  copy->queue = g_strdup (spec->queue);
  copy->terms.service = g_strdup (spec->terms.service);
  copy->account = g_strdup (spec->account);
  copy->payload = g_strdup (spec->payload);
  copy->steps = g_memdup2 (spec->steps, spec->n_steps * sizeof *spec->steps);
  for (uint32_t i = 0; i < spec->n_steps; i++)
    {
      struct gr_step_spec *step = &copy->steps[i];

      step->after = g_memdup2 (step->after, step->n_after * sizeof (uint32_t));
      step->label = g_strdup (step->label);
      step->data_rack = g_strdup (step->data_rack);
      step->image = g_strdup (step->image);
    }
  return copy;
}
