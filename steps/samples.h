/* Learning of run times and speeds from runs. Private to steps/. The functions
 * do nothing while neither is learned. */
#pragma once

#include "steps/tables.h"

/* Creates the tables that the settings ask for, or destroys them. */
void gr_samples_create_tables (struct gr_steps *steps);
void gr_samples_destroy_tables (struct gr_steps *steps);

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

/* Why nothing is learned from the task's run; GR_SAMPLE_ACCEPTED if it counts.
 */
enum gr_sample_reject gr_sample_run_reject (const struct task *task);

/* Speeds of workers; see sample-speeds.c. ran_ms is the time for which the run,
 * which has ended as done, or all members of the gang, have run. */
void gr_sample_task_speed (struct gr_steps *steps,
                           struct task *task,
                           int64_t ran_ms);
void gr_sample_gang_speeds (struct gr_steps *steps,
                            const struct step *step,
                            int64_t ran_ms);
const struct worker *gr_gang_slowest_member (const struct step *step);

/* Keys of the models of a step's run times. Names that do not fit are cut off;
 * such steps share a model. */
struct step_keys
{
  char specific[192]; /* account, queue and size class */
  struct gr_run_time_keys keys;
};
void gr_samples_step_keys (const struct step *step, struct step_keys *keys);
