#include "steps/ends.h"

void
gr_ends_reset (struct worker *worker)
{
  worker->processed_end = 0;
  worker->durable_end = 0;
  worker->acknowledged_end = 0;
  worker->pending_sequence = 0;
}

static void
finish_pending (const struct gr_steps *steps, struct worker *worker)
{
  if (worker->pending_sequence == 0
      || steps->committed < worker->pending_sequence)
    return;
  worker->durable_end = worker->pending_end;
  worker->pending_sequence = 0;
}

/* Ends that change no job, as those of lasting tasks, have no change of their
 * own to wait for: they are durable once all changes before them are. That an
 * end changes no job is a conclusion for which the owner's lease must be
 * certain: a successor may know a job that this owner does not. */
void
gr_ends_update (const struct gr_steps *steps, struct worker *worker)
{
  finish_pending (steps, worker);
  if (worker->pending_sequence != 0
      || worker->processed_end <= worker->durable_end
      || !gr_tenure_is_present (steps))
    return;
  if (steps->committed >= steps->sequence)
    {
      worker->durable_end = worker->processed_end;
      return;
    }
  worker->pending_end = worker->processed_end;
  worker->pending_sequence = steps->sequence;
}

bool
gr_ends_are_pending (const struct gr_steps *steps, const struct worker *worker)
{
  return worker->processed_end > worker->durable_end
         && steps->committed < steps->sequence;
}

int64_t
gr_steps_durable_end (const struct gr_steps *steps, const char *id)
{
  const struct worker *worker = g_hash_table_lookup (steps->workers, id);

  return worker ? worker->durable_end : 0;
}

int64_t
gr_steps_end_to_acknowledge (const struct gr_steps *steps, const char *id)
{
  const struct worker *worker = g_hash_table_lookup (steps->workers, id);

  if (worker == NULL || !worker->reachable
      || worker->durable_end <= worker->acknowledged_end)
    return 0;
  return worker->durable_end;
}

void
gr_steps_committed (struct gr_steps *steps, uint64_t sequence)
{
  steps->committed = MAX (steps->committed, sequence);
  for (guint i = 0; i < steps->worker_rows->len; i++)
    gr_ends_update (steps, steps->worker_rows->pdata[i]);
}
