#include "tests/steps-model-private.h"

/* The core hears only of newer changes, as from the progress log. */
static void
report_committed (struct model_owner *owner, uint64_t sequence)
{
  if (sequence <= owner->committed)
    return;
  owner->committed = sequence;
  gr_steps_committed (owner->steps, sequence);
}

static void
complete_commit (struct steps_model *model, struct commit *commit)
{
  struct model_job *job;

  if (commit->id[0] == '\0')
    {
      report_committed (model->owner, commit->sequence);
      return;
    }
  job =
      model_get_job (model, (uint32_t)g_ascii_strtoull (commit->id, NULL, 16));
  gr_job_progress_clear (&job->durable);
  job->durable = commit->progress;
  job->has_durable_progress = true;
  if (commit->progress.state >= GR_JOB_COMPLETED && job->final_ms < 0)
    job->final_ms = model->now_ms;
  if (commit->progress.state == GR_JOB_FAILED)
    model_check_failed (model, job);
}

static void
queue_commits (struct steps_model *model)
{
  struct commit *commit;
  const char *id;

  while ((id = gr_steps_take_changed (model->owner->steps)) != NULL)
    {
      commit = g_new0 (struct commit, 1);
      commit->due_ms = model->now_ms + model->commit_ms;
      g_strlcpy (commit->id, id, sizeof commit->id);
      if (gr_steps_progress (model->owner->steps, id, &commit->progress))
        g_queue_push_tail (&model->commits, commit);
      else
        g_free (commit);
    }
  commit = g_new0 (struct commit, 1);
  commit->due_ms = model->now_ms + model->commit_ms;
  commit->sequence = gr_steps_sequence (model->owner->steps);
  g_queue_push_tail (&model->commits, commit);
}

static void
add_jobs_again (struct steps_model *model)
{
  for (guint i = 0; model->commit_ms > 0 && i < model->jobs->len; i++)
    {
      struct model_job *job = model->jobs->pdata[i];

      if (job != NULL)
        model_show_job (model, model->owner, job, false);
    }
}

void
model_commit_progress (struct steps_model *model)
{
  if (!model_writes_store (model, model->owner))
    return;
  queue_commits (model);
  while (!g_queue_is_empty (&model->commits)
         && ((struct commit *)g_queue_peek_head (&model->commits))->due_ms
                <= model->now_ms)
    {
      struct commit *commit = g_queue_pop_head (&model->commits);

      complete_commit (model, commit);
      g_free (commit);
    }
  add_jobs_again (model);
}

void
model_drop_commits (struct steps_model *model)
{
  while (!g_queue_is_empty (&model->commits))
    {
      struct commit *commit = g_queue_pop_head (&model->commits);

      gr_job_progress_clear (&commit->progress);
      g_free (commit);
    }
}

static bool
collect_worker (const char *worker, void *context)
{
  g_ptr_array_add (context, g_strdup (worker));
  return true;
}

void
model_publish_workers (struct steps_model *model)
{
  if (!model_writes_store (model, model->owner))
    return;
  g_ptr_array_set_size (model->handover_workers, 0);
  gr_steps_set_handover_list_durable (
      model->owner->steps,
      gr_steps_list_handover_workers (model->owner->steps, collect_worker,
                                      model->handover_workers));
}
