/* Quarantine: a worker on which several jobs fail gets only probe jobs until
 * one succeeds, or until no waiting job can serve as a probe. While all
 * failures are of one account, whose jobs pass nowhere else, this holds for the
 * jobs of that account only. */
#pragma once

#include "sched/tables.h"

/* A task of the job failed on the worker, or could not be started there.
 * counted: the record of the job includes the failure already. */
void gr_worker_failed (struct gr_core *core,
                       struct gr_core_worker *worker,
                       struct gr_core_job *job,
                       bool counted);

/* A task that was started at started_ms ran on the worker and its job finished,
 * or a probe passed. */
void gr_worker_succeeded (struct gr_core *core,
                          struct gr_core_worker *worker,
                          int64_t started_ms);

/* The probe has released its accelerators and has not passed. Schedules the
 * next probe. */
void gr_worker_probe_ended (struct gr_core *core,
                            struct gr_core_worker *worker);

/* Starts probes that are due, and ends the quarantine of workers whose probe
 * passed. */
void gr_tick_quarantine (struct gr_core *core);
