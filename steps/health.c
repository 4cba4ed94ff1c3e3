#include "steps/tables.h"

#include "common/log.h"

/* Quarantine of workers on which several different jobs fail: they get no new
 * work for a time that doubles with each quarantine. */

/* Consecutive failures of different jobs after which a worker is quarantined. A
 * job that always fails does so on every worker and counts once. */
#define QUARANTINE_THRESHOLD 2

#define FIRST_QUARANTINE_MS 4000
#define MAX_QUARANTINE_MS 30000

static void
quarantine (struct gr_steps *steps, struct worker *worker, const char *reason)
{
  char text[24];

  if (worker->quarantine_ms == 0)
    worker->quarantine_ms = FIRST_QUARANTINE_MS;
  else
    worker->quarantine_ms = MIN (worker->quarantine_ms * 2, MAX_QUARANTINE_MS);
  worker->quarantine_until_ms = steps->now_ms + worker->quarantine_ms;
  g_snprintf (text, sizeof text, "%u", worker->quarantine_ms);
  gr_log_event ("worker-quarantined", "worker", worker->id, "for_ms", text,
                "reason", reason, NULL);
}

void
gr_health_record_failure (struct gr_steps *steps,
                          struct worker *worker,
                          const struct job *job)
{
  if (g_str_equal (worker->last_failed_job, job->spec->id))
    return;
  g_strlcpy (worker->last_failed_job, job->spec->id,
             sizeof worker->last_failed_job);
  worker->failures++;
  if (worker->failures >= QUARANTINE_THRESHOLD)
    quarantine (steps, worker, "several different jobs failed in a row");
}

void
gr_health_record_success (struct worker *worker)
{
  worker->failures = 0;
  worker->quarantine_ms = 0;
}

void
gr_health_quarantine (struct gr_steps *steps,
                      struct worker *worker,
                      const char *reason)
{
  if (steps->now_ms >= worker->quarantine_until_ms)
    quarantine (steps, worker, reason);
}
