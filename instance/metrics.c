#include "instance/metrics.h"

static const struct gr_metric table[] = {
  { "client_answers_total", "counter", "status",
    "Answers to clients' calls, by HTTP status." },
  { "client_call_ms", "histogram", "",
    "Time from a client's call to its answer, in milliseconds." },
  { "store_calls_total", "counter", "call",
    "Calls to the platform's store, by kind; it rations and prices them." },
  { "worker_calls_total", "counter", "call",
    "Calls to workers, by kind; a look that waits counts once." },
  { "advice_calls_total", "counter", "", "Questions to the advice service." },
  { "machine_calls_total", "counter", "call",
    "Calls about machines and their upkeep, by kind." },
  { "owner", "gauge", "", "1 on the instance that owns the scheduling." },
  { "jobs_known", "gauge", "",
    "Jobs in this instance's copy of the records, final ones included." },
  { "jobs", "gauge", "", "Jobs that are not final; only on the owner." },
  { "jobs_waiting", "gauge", "",
    "Jobs of which no task has begun; only on the owner." },
  { "tasks_waiting", "gauge", "",
    "Tasks whose turn has come and that have no worker; only on the owner." },
  { "tasks_running", "gauge", "",
    "Tasks that are on workers; only on the owner." },
  { "workers", "gauge", "",
    "Workers that are registered or may run something; only on the owner." },
  { "workers_usable", "gauge", "",
    "Workers that get new work; only on the owner." },
  { "workers_quarantined", "gauge", "",
    "Workers that get none as they failed several jobs; only on the owner." },
  { "accelerators", "gauge", "",
    "Accelerators of all workers; only on the owner." },
  { "accelerators_used", "gauge", "",
    "Accelerators that tasks hold; only on the owner." },
  { "orders_waiting", "gauge", "",
    "Orders to workers that wait to be sent; only on the owner. More than a "
    "hundred for seconds: the owner's processor is too slow." },
  { "loop_late_ms", "gauge", "",
    "Lateness of the owner's main loop, in milliseconds." },
  { "config_version", "gauge", "", "Version of the configuration in force." },
  { "config_age_ms", "gauge", "",
    "Time since the configuration was last known to be current, in "
    "milliseconds." },
  { "store_silent_ms", "gauge", "",
    "Time since the oldest call to the store without an answer, in "
    "milliseconds; 0 if it answers." },
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
           "Made by `make docs` from `instance/metrics.c`. An instance "
           "prints them as text at `/metrics` on the port of its role's "
           "`metrics` entry in `deploy/system.toml`; names have the "
           "prefix `geraniumrack_`.\n\n"
           "| name | type | labels | meaning |\n"
           "|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    g_string_append_printf (out, "| `%s` | %s | %s | %s |\n", table[i].name,
                            table[i].type, table[i].labels, table[i].meaning);
}

void
gr_metrics_set (struct gr_counters *counters,
                const struct gr_metrics_state *state)
{
  const struct
  {
    const char *name;
    int64_t value;
  } gauges[] = {
    { "owner", state->is_owner },
    { "jobs_known", state->jobs_known },
    { "jobs", state->counts.jobs },
    { "jobs_waiting", state->counts.jobs_waiting },
    { "tasks_waiting", state->counts.tasks_waiting },
    { "tasks_running", state->counts.tasks_running },
    { "workers", state->counts.workers },
    { "workers_usable", state->counts.workers_usable },
    { "workers_quarantined", state->counts.workers_quarantined },
    { "accelerators", state->counts.accelerators },
    { "accelerators_used", state->counts.accelerators_used },
    { "orders_waiting", state->counts.orders },
    { "loop_late_ms", state->loop_late_ms },
    { "config_version", state->config_version },
    { "config_age_ms", state->config_age_ms },
    { "store_silent_ms", state->store_silent_ms },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (gauges); i++)
    gr_counter_set (gr_counters_get (counters, gauges[i].name, ""),
                    gauges[i].value);
}
