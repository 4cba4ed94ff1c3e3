#include "steps/tables.h"

bool
gr_account_within_guarantee (const struct account *account)
{
  return account->urgent_demand <= account->guaranteed;
}

bool
gr_step_is_guaranteed (const struct step *step)
{
  const struct job *job = gr_step_job (step);

  return job->queue->priority == 0
         && gr_account_within_guarantee (job->account);
}

void
gr_accounts_update_demand (struct gr_steps *steps)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, steps->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct account *)value)->urgent_demand = 0;
  for (guint i = 0; i < steps->job_rows->len; i++)
    {
      struct job *job = steps->job_rows->pdata[i];
      uint32_t demand = 0;

      if (gr_job_is_final (job) || job->queue->priority != 0)
        continue;
      for (uint32_t s = 0; s < job->spec->n_steps; s++)
        demand +=
            job->spec->steps[s].count * job->spec->steps[s].needs.accelerators;
      job->account->urgent_demand += demand;
    }
}
