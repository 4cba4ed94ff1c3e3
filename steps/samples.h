/* Learning of run times and speeds from runs. Private to steps/. The functions
 * do nothing while neither is learned. */
#pragma once

#include "steps/tables.h"

void gr_samples_init (struct gr_steps *steps);
void gr_samples_clear (struct gr_steps *steps);

/* A start of the task is ordered. checkpoint is that from which it resumes, ""
 * if there is none. */
void gr_samples_begin_run (struct task *task, const char *checkpoint);
/* A report has listed the task's run; percent and seen_ms are set. */
void gr_samples_run_seen (struct gr_steps *steps, struct task *task);
/* The task's run has ended as done; it is still assigned to its worker. For a
 * gang, call it for the first member that is reported. */
void gr_samples_run_done (struct gr_steps *steps, struct task *task);
/* Counts a run that teaches nothing. */
void gr_samples_reject (struct gr_steps *steps, enum gr_sample_reject reason);
/* The runs that are on the worker now teach nothing. */
void gr_samples_disturb_worker (struct worker *worker,
                                enum gr_sample_reject reason);
/* The worker was restarted. */
void gr_samples_forget_worker (struct gr_steps *steps, struct worker *worker);
/* Logs the run times of a completed job, if any were learned. */
void gr_samples_log_job (const struct job *job);
/* Updates the slowness of the workers. */
void gr_samples_tick (struct gr_steps *steps);

/* Keys of the models of a step's run times. Names that do not fit are cut off;
 * such steps share a model. */
struct step_keys
{
  char specific[192]; /* account, queue and size class */
  struct gr_run_time_keys keys;
};
void gr_samples_step_keys (const struct step *step, struct step_keys *keys);
