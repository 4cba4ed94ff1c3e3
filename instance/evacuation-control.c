#include "instance/evacuation-control.h"

#include "common/log.h"

/* Starts are not held below this age of the knowledge. While one watch is
 * silent, it is 1,900 ms and the time of a read; while the store is silent, the
 * last read that failed was sent at most 2,600 ms ago. */
#define MIN_HOLD_AGE_MS 2900

/* A worker's clock can be 2 % slow; the rest is the transit of the order. */
#define START_LIMIT_MARGIN_MS 100

struct gr_evacuation_control
{
  const struct gr_owner_deps *deps;
  struct gr_steps *steps;
  int64_t created_ms;
  bool held;
};

static void
apply_evacuation (const struct gr_evacuation *row, void *context)
{
  struct gr_evacuation_control *control = context;
  bool evacuated = row->evacuated && control->deps->settings->evacuate_ms > 0;
  char revision[24];
  char age[24];

  if (!gr_steps_set_evacuated (control->steps, row->data_centre, evacuated))
    return;
  g_snprintf (revision, sizeof revision, "%" G_GINT64_FORMAT, row->revision);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              gr_clock_now_ms (control->deps->clock) - row->since_ms);
  gr_log_event (evacuated ? "data-centre-evacuated" : "data-centre-restored",
                "data-centre", row->data_centre, "revision", revision,
                "known-ms-ago", evacuated ? age : NULL, NULL);
}

/* A start takes effect up to GR_START_LIMIT_MS after it was placed. */
static int64_t
hold_age_ms (const struct gr_evacuation_control *control)
{
  return MAX ((int64_t)control->deps->settings->evacuate_ms - GR_START_LIMIT_MS
                  - START_LIMIT_MARGIN_MS,
              MIN_HOLD_AGE_MS);
}

/* A successor places nothing before it has read the evacuations. Later, the
 * knowledge grows old if the process was paused, or if the store does not
 * answer; only in the latter case are starts continued. */
static bool
must_hold (const struct gr_evacuation_control *control)
{
  const struct gr_config_view *view = control->deps->config;
  int64_t now_ms = gr_clock_now_ms (control->deps->clock);
  int64_t current_ms = gr_config_view_evacuations_current_ms (view);
  int64_t oldest_ms = now_ms - hold_age_ms (control);

  if (control->deps->settings->evacuate_ms == 0)
    return false;
  if (current_ms < control->created_ms)
    return true;
  return current_ms < oldest_ms
         && !gr_config_view_store_failed_since (view, oldest_ms);
}

static void
update_hold (struct gr_evacuation_control *control)
{
  bool held = must_hold (control);
  char age[24];

  if (held == control->held)
    return;
  control->held = held;
  if (held)
    gr_config_view_refresh (control->deps->config);
  gr_steps_hold_starts (control->steps, held);
  g_snprintf (
      age, sizeof age, "%" G_GINT64_FORMAT,
      gr_clock_now_ms (control->deps->clock)
          - gr_config_view_evacuations_current_ms (control->deps->config));
  gr_log_event (held ? "starts-held" : "starts-released", "evacuations-age-ms",
                age, NULL);
}

void
gr_evacuation_control_run (struct gr_evacuation_control *control)
{
  uint32_t withdrawn;

  gr_evacuations_each (gr_config_view_evacuations (control->deps->config),
                       apply_evacuation, control);
  update_hold (control);
  withdrawn = gr_steps_take_starts_withdrawn (control->steps);
  if (withdrawn > 0)
    gr_counter_add (
        gr_counters_get (control->deps->counters, "starts_withdrawn_total", ""),
        withdrawn);
}

struct gr_evacuation_control *
gr_evacuation_control_create (const struct gr_owner_deps *deps,
                              struct gr_steps *steps)
{
  struct gr_evacuation_control *control =
      g_new0 (struct gr_evacuation_control, 1);

  control->deps = deps;
  control->steps = steps;
  control->created_ms = gr_clock_now_ms (deps->clock);
  return control;
}

void
gr_evacuation_control_destroy (struct gr_evacuation_control *control)
{
  g_free (control);
}
