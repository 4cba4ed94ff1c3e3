#include "instance/metrics.h"

static const struct gr_metric table[] = {
  { "client_answers_total", "counter", "status",
    "Responses to client calls, by HTTP status." },
  { "client_call_ms", "histogram", "",
    "Time from a client's call to its response, in milliseconds." },
  { "store_calls_total", "counter", "call",
    "Calls to the platform's store, by kind; it limits and charges for them." },
  { "worker_calls_total", "counter", "call",
    "Calls to workers, by kind. The kind look is a status poll; a long poll "
    "counts once. The kind probe is the poll that goes first on a new "
    "connection, to learn which process has accepted it." },
  { "worker_connections_total", "counter", "",
    "Connections to workers that were opened. Many more than there are "
    "workers mean that connections fail or calls time out." },
  { "worker_bytes_total", "counter", "direction",
    "Bytes of HTTP requests sent to workers and of their responses." },
  { "advice_calls_total", "counter", "", "Requests to the advice service." },
  { "machine_calls_total", "counter", "call",
    "Calls that list machines or order their upkeep, by kind." },
  { "owner", "gauge", "",
    "1 on the owner of the scheduling, 0 on other instances." },
  { "jobs_known", "gauge", "",
    "Jobs in this instance's copy of the records, including final ones." },
  { "jobs", "gauge", "", "Jobs that are not final; only on the owner." },
  { "jobs_waiting", "gauge", "",
    "Jobs of which no task has been started; only on the owner." },
  { "tasks_waiting", "gauge", "",
    "Tasks that are ready to start but have no worker; only on the owner." },
  { "tasks_running", "gauge", "",
    "Tasks that are assigned to a worker; only on the owner." },
  { "workers", "gauge", "",
    "Workers that are registered or may still have runs; only on the owner." },
  { "workers_usable", "gauge", "",
    "Workers that can get new work; only on the owner." },
  { "workers_quarantined", "gauge", "",
    "Workers that temporarily get no new work, because several jobs failed "
    "on them or they reported themselves unhealthy; only on the owner." },
  { "workers_held_back", "gauge", "",
    "Workers that get no work until the list that hands them over to the "
    "next owner is stored; only on the owner." },
  { "accelerators", "gauge", "",
    "Accelerators of all workers; only on the owner." },
  { "accelerators_used", "gauge", "",
    "Accelerators allocated to tasks; only on the owner." },
  { "orders_waiting", "gauge", "",
    "Orders to workers that are queued to be sent; only on the owner. More "
    "than a hundred for several seconds mean that the owner's processor is "
    "too slow." },
  { "preempted_runs_total", "counter", "work",
    "Runs that were stopped to make room for urgent work that is within its "
    "account's guarantee (guaranteed) or beyond it (other); only on the owner, "
    "as are the other metrics of preemption. They start at 0 with each "
    "owner." },
  { "preempted_core_seconds_total", "counter", "work",
    "Work that these runs lost, in core-seconds; an accelerator counts as 8 "
    "cores." },
  { "preemption_planned_core_seconds_total", "counter", "",
    "Work that is lost by the stops that the preemption budget decides, in "
    "core-seconds. In the mode observe these stops are not made, and "
    "`preempted_core_seconds_total` shows those made instead." },
  { "preemption_awaited_runs_total", "counter", "",
    "Runs that were expected to end within the duration of a stop and were "
    "waited for; in the mode observe those that would have been." },
  { "preemption_refused_total", "counter", "",
    "Steps that were refused room because of their preemption budget; in the "
    "mode observe those that would have been." },
  { "runs_lost_total", "counter", "reason",
    "Runs that count as ended although their worker reported no end: it was "
    "restarted, another worker has its address (gone), it left, their lease "
    "expired, the same after it refused connections (crashed), or it does not "
    "report them (missing); only on the owner, since it became the owner." },
  { "jobs_failed_total", "counter", "cause",
    "Jobs that were shown as failed: a task used up the attempts of its queue, "
    "or crashed the workers that started it; only on the owner, since it "
    "became the owner." },
  { "crashes_assessed_total", "counter", "outcome",
    "Crashes of workers under tasks, one for each task: counted against the "
    "task; common-cause, as other workers crashed at the same time; "
    "not-verified, as too few other workers reported afterwards. Only on the "
    "owner, since it became the owner." },
  { "gangs_fast_enough_total", "counter", "",
    "Gangs that were placed on workers fast enough for their objective. "
    "Counters of placement are 0 with objectives = off and start anew with "
    "each owner; with observe they count what would have been done; only on "
    "the owner." },
  { "gangs_too_slow_total", "counter", "",
    "Gangs that were placed on workers too slow for their objective; only "
    "on the owner." },
  { "steps_expected_late_total", "counter", "",
    "Steps that were expected to miss their objective when first placed; "
    "only on the owner." },
  { "placement_choices_changed_total", "counter", "",
    "Choices of workers that differ from the choice without speeds; only on "
    "the owner." },
  { "placement_orders_changed_total", "counter", "",
    "Looks, at most five a second with objectives = observe, at which the "
    "order of work differs from the order of arrival; only on the owner." },
  { "gangs_waited_total", "counter", "",
    "Urgent gangs that waited for faster workers; only on the owner." },
  { "reservations_made_total", "counter", "",
    "Planned reservations of workers for gangs that did not fit; only on "
    "the owner." },
  { "reservations_kept_total", "counter", "",
    "Gangs that started while they had a planned reservation; only on the "
    "owner." },
  { "reservations_expired_total", "counter", "",
    "Planned reservations that were dropped, because the planned time was "
    "missed or a worker could not be used; only on the owner." },
  { "tasks_backfilled_total", "counter", "",
    "Tasks that were placed on workers planned for a gang; only on the "
    "owner." },
  { "loop_late_ms", "gauge", "",
    "Recent lateness of the owner's main loop, in milliseconds." },
  { "response_ms", "gauge", "",
    "Smoothed time in which workers answer the owner's calls, in milliseconds. "
    "More than a few tens mean that the owner's processor or link is full." },
  { "starts_withdrawn_total", "counter", "",
    "Starts that the owner has withdrawn because their data centre, or that of "
    "another member of their gang, was evacuated." },
  { "data_centres_evacuated", "gauge", "",
    "Data centres that are evacuated, as far as this instance knows." },
  { "data_centre_evacuated_ms", "gauge", "data_centre",
    "Time since which the data centre has been known to be evacuated, in "
    "milliseconds; 0 if it is back in use." },
  { "run_time_samples_total", "counter", "",
    "Runs from which run times were learned; only on the owner, since it "
    "became the owner." },
  { "speed_samples_total", "counter", "",
    "Samples from which the speeds of workers were learned; only on the "
    "owner, since it became the owner." },
  { "samples_rejected_total", "counter", "reason",
    "Runs from which nothing was learned when they ended, by reason; only on "
    "the owner, since it became the owner." },
  { "run_time_keys", "gauge", "", "Models of run times; only on the owner." },
  { "workers_speed_known", "gauge", "",
    "Workers whose speed is known; only on the owner." },
  { "speeds_uneven", "gauge", "",
    "1 if the known workers differ in speed by clearly more than the noise, "
    "otherwise 0; only on the owner." },
  { "slowness_first_decile", "gauge", "",
    "Run time on the fast workers (first decile of the known ones) relative to "
    "the median worker, in thousandths; only on the owner." },
  { "slowness_last_decile", "gauge", "",
    "As above, on the slow workers (last decile)." },
  { "estimate_error", "gauge", "",
    "Recent mean of the absolute natural logarithm of the true run time "
    "divided by the client's estimate, in thousandths; only on the owner." },
  { "forecast_error", "gauge", "",
    "As above, divided by the learned forecast and corrected by the speed of "
    "the worker." },
  { "config_version", "gauge", "",
    "Version of the configuration that is in use." },
  { "config_age_ms", "gauge", "",
    "Time since the configuration was last known to be current, in "
    "milliseconds." },
  { "store_silent_ms", "gauge", "",
    "Time for which the store has not responded, in milliseconds; 0 while "
    "it responds." },
  { "owner_lease_ms", "gauge", "",
    "Time left of the owner's lease in the store, in milliseconds; negative "
    "once another owner may exist, 0 on instances that are not the owner." },
};

const struct gr_metric *
gr_metrics_table (size_t *n_rows)
{
  *n_rows = G_N_ELEMENTS (table);
  return table;
}

void
gr_metrics_print_reference (GString *out)
{
  g_string_append (
      out, "# Metrics\n\n"
           "Generated by `make docs` from `instance/metrics.c`. An instance "
           "serves them as text at `/metrics` on the port of its role's "
           "`metrics` entry in `deploy/system.toml`; names have the "
           "prefix `geraniumrack_`.\n\n"
           "| name | type | labels | meaning |\n"
           "|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    g_string_append_printf (out, "| `%s` | %s | %s | %s |\n", table[i].name,
                            table[i].type, table[i].labels, table[i].meaning);
}

static void
set_preemption (struct gr_counters *counters,
                const struct gr_preemption_counts *counts)
{
  static const char *const labels[] = { "work=\"guaranteed\"",
                                        "work=\"other\"" };

  for (size_t i = 0; i < G_N_ELEMENTS (labels); i++)
    {
      gr_counter_set (
          gr_counters_get (counters, "preempted_runs_total", labels[i]),
          (int64_t)counts->runs[i]);
      gr_counter_set (
          gr_counters_get (counters, "preempted_core_seconds_total", labels[i]),
          (int64_t)counts->core_s[i]);
    }
  gr_counter_set (
      gr_counters_get (counters, "preemption_planned_core_seconds_total", ""),
      (int64_t)counts->planned_core_s);
  gr_counter_set (
      gr_counters_get (counters, "preemption_awaited_runs_total", ""),
      (int64_t)counts->awaited_runs);
  gr_counter_set (gr_counters_get (counters, "preemption_refused_total", ""),
                  (int64_t)counts->refused_steps);
}

static void
set_losses (struct gr_counters *counters, const uint64_t *runs_lost)
{
  for (uint32_t i = 0; i < GR_LOSS_REASONS; i++)
    {
      g_autofree char *labels = g_strdup_printf (
          "reason=\"%s\"", gr_loss_reason_name ((enum gr_loss_reason)i));

      gr_counter_set (gr_counters_get (counters, "runs_lost_total", labels),
                      (int64_t)runs_lost[i]);
    }
}

static void
set_failures (struct gr_counters *counters, const uint64_t *jobs_failed)
{
  for (uint32_t i = 0; i < GR_FAILURE_CAUSES; i++)
    {
      g_autofree char *labels = g_strdup_printf (
          "cause=\"%s\"", gr_failure_cause_name ((enum gr_failure_cause)i));

      gr_counter_set (gr_counters_get (counters, "jobs_failed_total", labels),
                      (int64_t)jobs_failed[i]);
    }
}

static void
set_crashes (struct gr_counters *counters, const struct gr_crash_counts *counts)
{
  const struct
  {
    const char *labels;
    uint64_t value;
  } rows[] = {
    { "outcome=\"counted\"", counts->counted },
    { "outcome=\"common-cause\"", counts->common_cause },
    { "outcome=\"not-verified\"", counts->not_verified },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    gr_counter_set (
        gr_counters_get (counters, "crashes_assessed_total", rows[i].labels),
        (int64_t)rows[i].value);
}

static int64_t
thousandths (double value)
{
  return (int64_t)(value * 1000.0 + 0.5);
}

static void
set_learning (struct gr_counters *counters,
              const struct gr_steps_learning *learning)
{
  const struct
  {
    const char *name;
    int64_t value;
  } rows[] = {
    { "run_time_samples_total", (int64_t)learning->run_time_samples },
    { "speed_samples_total", (int64_t)learning->speed_samples },
    { "run_time_keys", learning->keys },
    { "workers_speed_known", learning->speeds.known },
    { "speeds_uneven", learning->uneven },
    { "slowness_first_decile", thousandths (learning->speeds.fastest) },
    { "slowness_last_decile", thousandths (learning->speeds.slowest) },
    { "estimate_error", thousandths (learning->estimate_error) },
    { "forecast_error", thousandths (learning->forecast_error) },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    gr_counter_set (gr_counters_get (counters, rows[i].name, ""),
                    rows[i].value);
  for (uint32_t i = GR_SAMPLE_NOT_DONE; i < GR_SAMPLE_REASONS; i++)
    {
      g_autofree char *labels = g_strdup_printf (
          "reason=\"%s\"", gr_sample_reject_name ((enum gr_sample_reject)i));

      gr_counter_set (
          gr_counters_get (counters, "samples_rejected_total", labels),
          (int64_t)learning->rejected[i]);
    }
}

void
gr_metrics_set (struct gr_counters *counters,
                const struct gr_metrics_state *state)
{
  const struct gr_steps_placement *placement = &state->counts.placement;
  const struct
  {
    const char *name;
    int64_t value;
  } values[] = {
    { "owner", state->is_owner },
    { "jobs_known", state->jobs_known },
    { "jobs", state->counts.jobs },
    { "jobs_waiting", state->counts.jobs_waiting },
    { "tasks_waiting", state->counts.tasks_waiting },
    { "tasks_running", state->counts.tasks_running },
    { "workers", state->counts.workers },
    { "workers_usable", state->counts.workers_usable },
    { "workers_quarantined", state->counts.workers_quarantined },
    { "workers_held_back", state->counts.workers_held_back },
    { "accelerators", state->counts.accelerators },
    { "accelerators_used", state->counts.accelerators_used },
    { "orders_waiting", state->counts.orders },
    { "gangs_fast_enough_total", (int64_t)placement->gangs_fast_enough },
    { "gangs_too_slow_total", (int64_t)placement->gangs_too_slow },
    { "steps_expected_late_total", (int64_t)placement->steps_expected_late },
    { "placement_choices_changed_total", (int64_t)placement->choices_changed },
    { "placement_orders_changed_total", (int64_t)placement->orders_changed },
    { "gangs_waited_total", (int64_t)placement->gangs_waited },
    { "reservations_made_total", (int64_t)placement->reservations_made },
    { "reservations_kept_total", (int64_t)placement->reservations_kept },
    { "reservations_expired_total", (int64_t)placement->reservations_expired },
    { "tasks_backfilled_total", (int64_t)placement->tasks_backfilled },
    { "loop_late_ms", state->lateness.loop_ms },
    { "response_ms", (int64_t)state->lateness.response_ms },
    { "config_version", state->config_version },
    { "config_age_ms", state->config_age_ms },
    { "store_silent_ms", state->store_silent_ms },
    { "owner_lease_ms", state->owner_lease_ms },
  };

  set_preemption (counters, &state->counts.preemption);
  set_losses (counters, state->counts.runs_lost);
  set_failures (counters, state->counts.jobs_failed);
  set_crashes (counters, &state->counts.crashes);
  set_learning (counters, &state->learning);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    gr_counter_set (gr_counters_get (counters, values[i].name, ""),
                    values[i].value);
}
