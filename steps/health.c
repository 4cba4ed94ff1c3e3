#include "steps/tables.h"

#include "common/log.h"

/* Workers that fail what others do: kept from new work for a time that
 * doubles with each round. */

/* Failures in a row, of different jobs, after which a worker is left alone. A
 * job that can never be done fails everywhere and counts once. */
#define FAILURES_TO_QUARANTINE 2

#define FIRST_QUARANTINE_MS 4000
#define LONGEST_QUARANTINE_MS 30000

static void
quarantine (struct gr_steps *steps, struct worker *worker, const char *reason)
{
  char text[24];

  if (worker->quarantine_ms == 0)
    worker->quarantine_ms = FIRST_QUARANTINE_MS;
  else
    worker->quarantine_ms =
        MIN (worker->quarantine_ms * 2, LONGEST_QUARANTINE_MS);
  worker->quarantine_until_ms = steps->now_ms + worker->quarantine_ms;
  g_snprintf (text, sizeof text, "%u", worker->quarantine_ms);
  gr_log_event ("worker-quarantined", "worker", worker->id, "for_ms", text,
                "reason", reason, NULL);
}

void
gr_health_failed (struct gr_steps *steps,
                  struct worker *worker,
                  const struct job *job)
{
  if (g_str_equal (worker->last_failed_job, job->spec->id))
    return;
  g_strlcpy (worker->last_failed_job, job->spec->id,
             sizeof worker->last_failed_job);
  worker->failures++;
  if (worker->failures >= FAILURES_TO_QUARANTINE)
    quarantine (steps, worker, "it failed several jobs in a row");
}

void
gr_health_done (struct worker *worker)
{
  worker->failures = 0;
  worker->quarantine_ms = 0;
}

void
gr_health_suspect (struct gr_steps *steps,
                   struct worker *worker,
                   const char *reason)
{
  if (steps->now_ms >= worker->quarantine_until_ms)
    quarantine (steps, worker, reason);
}
