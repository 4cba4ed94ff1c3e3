#include "tests/platform-outcome.h"

#include <check.h>

#define CALLBACK_TIMEOUT_MS 20000

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

void
wait_calls (struct outcome *outcome, int calls)
{
  bool timed_out = false;
  guint timer = g_timeout_add (CALLBACK_TIMEOUT_MS, set_flag, &timed_out);

  while (outcome->calls < calls && !timed_out)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (!timed_out, "%d of %d callbacks came", outcome->calls, calls);
  g_source_remove (timer);
}

void
run_for (guint time_ms)
{
  bool elapsed = false;

  g_timeout_add (time_ms, set_flag, &elapsed);
  while (!elapsed)
    g_main_context_iteration (NULL, TRUE);
}

void
record_callback (struct outcome *outcome, const struct gr_error *error)
{
  static const struct gr_error none = GR_ERROR_INIT;

  outcome->calls++;
  outcome->error = error ? *error : none;
}

void
error_done (const struct gr_error *error, void *context)
{
  record_callback (context, error);
}

void
report_done (const struct gr_worker_report *report,
             const struct gr_error *error,
             void *context)
{
  struct outcome *outcome = context;

  record_callback (outcome, error);
  if (report == NULL)
    return;
  outcome->report = *report;
  if (report->n_tasks > 0)
    outcome->task = report->tasks[0];
}

void
instances_changed (const struct gr_instance *list,
                   uint32_t count,
                   void *context)
{
  struct outcome *outcome = context;

  record_callback (outcome, NULL);
  outcome->n_instances = count;
  outcome->leaving = count > 0 && list[0].leaving;
}

void
instances_failed (const struct gr_error *error, void *context)
{
  record_callback (context, error);
}
