#include "tests/platform-outcome.h"

#include <check.h>

#define LIMIT_MS 20000

static gboolean
set_flag (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

/* Runs the main loop until there were that many callbacks. */
void
wait_calls (struct outcome *outcome, int calls)
{
  bool late = false;
  guint timer = g_timeout_add (LIMIT_MS, set_flag, &late);

  while (outcome->calls < calls && !late)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_msg (!late, "%d of %d callbacks came", outcome->calls, calls);
  g_source_remove (timer);
}

void
run_for (guint time_ms)
{
  bool over = false;

  g_timeout_add (time_ms, set_flag, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

void
note_error (struct outcome *outcome, const struct gr_error *error)
{
  static const struct gr_error none = GR_ERROR_INIT;

  outcome->calls++;
  outcome->error = error ? *error : none;
}

void
error_done (const struct gr_error *error, void *context)
{
  note_error (context, error);
}

void
report_done (const struct gr_worker_report *report,
             const struct gr_error *error,
             void *context)
{
  struct outcome *outcome = context;

  note_error (outcome, error);
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

  note_error (outcome, NULL);
  outcome->n_instances = count;
  outcome->leaving = count > 0 && list[0].leaving;
}

void
instances_failed (const struct gr_error *error, void *context)
{
  note_error (context, error);
}
