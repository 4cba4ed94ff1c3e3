/* Invariants of the decision core. They are asserted in production builds: a
 * scheduler that would violate one aborts, and its successor adopts the running
 * work. */
#pragma once

#include "sched/core.h"

/* Checks all workers, accounts and jobs; takes time proportional to the size
 * of the shard. */
void gr_core_check_all (const struct gr_core *core);

/* Checks the jobs that are not in a stable phase, and a bounded share of the
 * workers and accounts in turn; each tick calls it. */
void gr_core_check_tick (struct gr_core *core);
