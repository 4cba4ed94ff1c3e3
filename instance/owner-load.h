/* Load of an owner: the time that scheduling passes take, the delay between
 * passes that follows from it, and a periodic log line from which an overload
 * can be recognized afterwards. Does no I/O besides the log. */
#pragma once

#include "instance/lateness.h"
#include "platform/worker-calls.h"
#include "steps/steps.h"

struct gr_owner_load
{
  double pass_ms;  /* smoothed time of a pass */
  uint32_t passes; /* since the last log line */
  int64_t passes_us;
  int64_t logged_ms;
  struct gr_worker_traffic traffic; /* at the last log line */
};

void gr_owner_load_add_pass (struct gr_owner_load *load, int64_t time_us);

/* Delay from an event to the scheduling pass that it triggers. Answers that
 * arrive within it share the pass. Designed for an owner of more than a
 * thousand workers: a pass looks at all jobs and workers, so the delay grows
 * with the time of a pass, and passes take only a limited share of the
 * processor. */
uint32_t gr_owner_load_pass_delay_ms (const struct gr_owner_load *load);

/* Writes the log line if its period has passed. */
void gr_owner_load_log (struct gr_owner_load *load,
                        int64_t now_ms,
                        const struct gr_lateness *lateness,
                        const struct gr_steps_counts *counts,
                        const struct gr_worker_traffic *traffic);
