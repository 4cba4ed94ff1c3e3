/* Invariants of the decision core. They are asserted in production builds: a
 * scheduler that would break one ends, and a successor adopts its work. */
#pragma once

#include "sched/core.h"

/* Checks everything; the cost follows the size of the shard. */
void gr_core_check_all (const struct gr_core *core);

/* Checks the jobs that are not in a stable phase, and a bounded part of all
 * workers in turn; called by each tick. */
void gr_core_check_tick (struct gr_core *core);
