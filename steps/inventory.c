#include "steps/inventory.h"

#include "common/log.h"

void
gr_inventory_reset (struct worker *worker)
{
  worker->inventory = INVENTORY_UNREAD;
}

void
gr_inventory_process_ended (struct worker *worker)
{
  worker->inventory = INVENTORY_ENDED;
}

static void
log_reading (const struct worker *worker, const struct gr_run_report *report)
{
  char counts[4][24];

  g_snprintf (counts[0], sizeof counts[0], "%zu", report->n_ended);
  g_snprintf (counts[1], sizeof counts[1], "%" G_GINT64_FORMAT,
              worker->processed_end);
  g_snprintf (counts[2], sizeof counts[2], "%" G_GINT64_FORMAT,
              worker->durable_end);
  g_snprintf (counts[3], sizeof counts[3], "%zu", report->n_running);
  gr_log_event (report->all_ended ? "ends-read" : "ends-partly-read", "worker",
                worker->id, "listed", counts[0], "processed", counts[1],
                "durable", counts[2], "runs", counts[3], NULL);
}

/* Later ends than those of a complete list are of runs that this owner knows,
 * as the process rejects former owners since its first answer. */
void
gr_inventory_reported (struct worker *worker,
                       const struct gr_run_report *report)
{
  enum inventory inventory = gr_inventory_report_is_whole (report)
                                 ? INVENTORY_COMPLETE
                                 : INVENTORY_RUNS;

  if (worker->inventory == INVENTORY_COMPLETE || worker->inventory == inventory)
    return;
  if (inventory == INVENTORY_RUNS || worker->inventory == INVENTORY_RUNS)
    log_reading (worker, report);
  worker->inventory = inventory;
}

bool
gr_inventory_has_answered (const struct worker *worker)
{
  return worker->inventory != INVENTORY_UNREAD;
}

/* All that ran when it last answered has lapsed, so the tasks are started again
 * whatever its list says. */
static bool
is_silent_for_a_lease (const struct gr_steps *steps,
                       const struct worker *worker)
{
  int64_t since_ms =
      worker->reported_ms
      + (int64_t)(steps->settings.run_lease_ms * GR_CLOCK_DRIFT_FACTOR);

  return steps->now_ms
         >= MAX (worker->lease_until_ms, since_ms) + GR_LEASE_EXPIRY_MARGIN_MS;
}

bool
gr_inventory_is_open (const struct gr_steps *steps, const struct worker *worker)
{
  switch (worker->inventory)
    {
    case INVENTORY_UNREAD:
      return steps->now_ms < gr_tenure_former_end_ms (steps);
    case INVENTORY_RUNS:
      return !is_silent_for_a_lease (steps, worker);
    case INVENTORY_COMPLETE:
    case INVENTORY_ENDED:
      break;
    }
  return false;
}

bool
gr_inventory_report_is_whole (const struct gr_run_report *report)
{
  return report->all_ended;
}

/* Only a present owner concludes that nothing is left to read: a successor may
 * have extended leases that this owner takes for expired, or acknowledged ends
 * that the worker no longer lists. */
void
gr_inventory_tick (struct gr_steps *steps)
{
  bool present = gr_tenure_is_present (steps);

  steps->registry_known = steps->now_ms >= steps->registry_settled_ms
                          && (steps->registry_known || present);
  g_ptr_array_set_size (steps->holding_workers, 0);
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      if (gr_inventory_is_open (steps, worker))
        worker->holds_inherited = true;
      else if (present)
        worker->holds_inherited = false;
      if (worker->holds_inherited)
        g_ptr_array_add (steps->holding_workers, worker);
    }
}

/* True unless the process from which ends are still to be read never had the
 * label of the step. The labels of a process do not change; its capacity and
 * the service of a queue can. */
static bool
may_have_run (const struct gr_steps *steps,
              const struct worker *worker,
              const struct step *step)
{
  if (worker->inventory == INVENTORY_UNREAD
      || !gr_tenure_knows_process (steps, worker) || !worker->registered
      || worker->described_unix_ms == 0 || !gr_worker_is_described (worker))
    return true;
  return step->spec->label == NULL
         || gr_worker_has_label (worker, step->spec->label);
}

bool
gr_inventory_holds_step (const struct gr_steps *steps, const struct step *step)
{
  if (!steps->registry_known)
    return true;
  for (guint i = 0; i < steps->holding_workers->len; i++)
    if (may_have_run (steps, steps->holding_workers->pdata[i], step))
      return true;
  return false;
}

bool
gr_inventory_holds_nothing (const struct gr_steps *steps)
{
  return steps->registry_known && steps->holding_workers->len == 0;
}
