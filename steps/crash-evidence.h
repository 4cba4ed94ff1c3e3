/* Which crashes of workers count against the tasks that ran there. Private to
 * steps/. */
#pragma once

#include "steps/tables.h"

/* A crash that is noticed within this time after a start was likely caused by
 * it: a refused connection shows a crash after about 300 ms. */
#define GR_EARLY_CRASH_MS 1000

/* Later crashes count up to this time after a start, which includes the lease
 * of a run on a worker that crashes silently. */
#define GR_CRASH_WINDOW_MS 7000

/* True if the counted crashes show that the task crashes its workers. */
bool gr_crash_is_proven (const struct task *task);
bool gr_crash_has_just_started (const struct gr_steps *steps,
                                const struct task *task);
/* True if some task of the step has counted crashes, or such that are not
 * assessed yet. */
bool gr_crash_is_suspected (const struct step *step);
