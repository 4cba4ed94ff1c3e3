/* Capacity that is freed for urgent steps by stopping runs of less urgent work.
 * Private to steps/. */
#pragma once

#include "steps/tables.h"

/* Finds tasks to stop on the worker until `wanted` tasks of the step fit, and
 * returns how many fit. Stops them only if apply is true. *loss is set to the
 * lost work in core-seconds. */
uint32_t gr_preempt_tasks (struct gr_steps *steps,
                           struct step *step,
                           struct worker *worker,
                           uint32_t wanted,
                           bool apply,
                           double *loss);
