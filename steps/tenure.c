#include "steps/tenure.h"

#include "common/log.h"
#include "steps/tables.h"

void
gr_steps_set_owner_lease (struct gr_steps *steps, int64_t until_ms)
{
  steps->owner_lease_until_ms = until_ms;
}

bool
gr_steps_is_only_owner (const struct gr_steps *steps, int64_t time_ms)
{
  return gr_tenure_includes (steps, time_ms);
}

bool
gr_steps_may_send (const struct gr_steps *steps, int64_t now_ms)
{
  return now_ms - steps->settings.isolation_ms < steps->owner_lease_until_ms;
}

int64_t
gr_steps_lease_limit_ms (const struct gr_steps *steps)
{
  if (steps->owner_lease_until_ms == INT64_MAX)
    return INT64_MAX;
  return steps->owner_lease_until_ms + steps->settings.isolation_ms
         + steps->settings.run_lease_ms;
}

bool
gr_tenure_is_present (const struct gr_steps *steps)
{
  return gr_tenure_includes (steps, steps->now_ms);
}

bool
gr_tenure_includes (const struct gr_steps *steps, int64_t time_ms)
{
  return time_ms < steps->owner_lease_until_ms;
}

/* A process that this owner knew before its lease expired rejects it once a
 * successor has called that process. A later process does not: it may have
 * forgotten the fence of the one before. */
bool
gr_tenure_knows_process (const struct gr_steps *steps,
                         const struct worker *worker)
{
  return gr_tenure_includes (steps, worker->incarnation_seen_ms);
}

static void
set_undecided (struct gr_steps *steps,
               struct worker *worker,
               enum gr_loss_reason reason)
{
  char left[24];
  char runs[16];

  if (worker->undecided)
    return;
  worker->undecided = true;
  worker->undecided_polled = false;
  g_snprintf (runs, sizeof runs, "%u", worker->tasks->len);
  gr_log_event ("worker-undecided", "worker", worker->id, "reason",
                gr_loss_reason_name (reason), "runs", runs, "owner_lease_ms",
                gr_tenure_left (steps, left), NULL);
}

bool
gr_tenure_may_conclude (struct gr_steps *steps,
                        struct worker *worker,
                        enum gr_loss_reason reason)
{
  if (gr_tenure_is_present (steps)
      || (reason == GR_LOSS_MISSING && gr_tenure_knows_process (steps, worker)))
    return true;
  set_undecided (steps, worker, reason);
  return false;
}

void
gr_tenure_reported (const struct gr_steps *steps, struct worker *worker)
{
  if (gr_tenure_is_present (steps))
    worker->undecided = false;
}

void
gr_tenure_tick (struct gr_steps *steps)
{
  if (!gr_tenure_is_present (steps))
    return;
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      if (!worker->undecided || worker->undecided_polled)
        continue;
      worker->undecided_polled = true;
      gr_worker_request_poll (steps, worker);
    }
}

void
gr_steps_former_owner_stopped (struct gr_steps *steps,
                               uint32_t earlier_ms,
                               int64_t now_ms)
{
  char text[16];

  steps->former_active_ms =
      MIN (steps->former_active_ms,
           now_ms + (int64_t)(earlier_ms * GR_CLOCK_DRIFT_FACTOR));
  g_snprintf (text, sizeof text, "%u", earlier_ms);
  gr_log_event ("former-owner-stopped", "earlier_ms", text, NULL);
}

uint32_t
gr_steps_former_owner_ms (const struct gr_steps *steps, int64_t now_ms)
{
  return (uint32_t)MAX (steps->former_active_ms - now_ms, 0);
}

int64_t
gr_tenure_former_end_ms (const struct gr_steps *steps)
{
  return steps->former_active_ms
         + (int64_t)(steps->settings.run_lease_ms * GR_CLOCK_DRIFT_FACTOR)
         + GR_LEASE_EXPIRY_MARGIN_MS;
}

const char *
gr_tenure_left (const struct gr_steps *steps, char text[24])
{
  if (steps->owner_lease_until_ms == INT64_MAX)
    g_strlcpy (text, "-", 24);
  else
    g_snprintf (text, 24, "%" G_GINT64_FORMAT,
                steps->owner_lease_until_ms - steps->now_ms);
  return text;
}
