/* Workers that fail what they start get no work but a probe. */
#pragma once

#include "sched/tables.h"

/* A task of the job failed on the worker, or could not be started there. */
void gr_worker_failed (struct gr_core *core,
                       struct gr_core_worker *worker,
                       struct gr_core_job *job);

/* A task of a job that finished ran on the worker. */
void gr_worker_succeeded (struct gr_core *core, struct gr_core_worker *worker);

/* The probe ended without saying anything about the worker. */
void gr_worker_probe_ended (struct gr_core *core,
                            struct gr_core_worker *worker);

/* Starts probes whose time has come. */
void gr_system_quarantine (struct gr_core *core);
