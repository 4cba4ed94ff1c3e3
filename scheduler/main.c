#include "scheduler/health.h"
#include "scheduler/scheduler.h"
#include "settings/process.h"

#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>

struct process
{
  GMainLoop *loop;
  struct gr_scheduler *scheduler;
  struct gr_health *health;
};

static void
on_stopped (void *context)
{
  struct process *process = context;

  g_main_loop_quit (process->loop);
}

static gboolean
on_signal (gpointer data)
{
  struct process *process = data;

  gr_scheduler_stop (process->scheduler);
  return G_SOURCE_CONTINUE;
}

static const char *
reason_not_ready (void *context)
{
  const struct process *process = context;

  return gr_scheduler_not_ready_reason (process->scheduler);
}

static void
run_loop (struct process *process)
{
  g_unix_signal_add (SIGTERM, on_signal, process);
  g_unix_signal_add (SIGINT, on_signal, process);
  printf ("listening http=%s rpc=%s\n", gr_health_address (process->health),
          gr_scheduler_address (process->scheduler));
  fflush (stdout);
  g_main_loop_run (process->loop);
}

static int
run (const struct gr_process_settings *settings)
{
  struct process process = { .loop = g_main_loop_new (NULL, FALSE) };
  struct gr_clock *clock = gr_clock_create ();
  struct gr_counters *counters = gr_counters_create ();
  struct gr_error error = GR_ERROR_INIT;

  process.scheduler = gr_scheduler_create (settings, clock, counters,
                                           on_stopped, &process, &error);
  if (process.scheduler != NULL)
    process.health = gr_health_create (settings->http_address, counters,
                                       reason_not_ready, &process, &error);
  if (process.health != NULL)
    run_loop (&process);
  else
    fprintf (stderr, "%s\n", error.message);
  gr_health_destroy (process.health);
  gr_scheduler_destroy (process.scheduler);
  gr_counters_destroy (counters);
  gr_clock_destroy (clock);
  g_main_loop_unref (process.loop);
  return error.kind == GR_ERROR_NONE ? EXIT_SUCCESS
                                     : gr_error_info (error.kind)->exit_code;
}

int
main (int argc, char **argv)
{
  struct gr_process_settings settings;
  int exit_code;

  if (!gr_process_start (argc, argv, "geraniumrack-scheduler",
                         "Owns shards and places their jobs on workers.", NULL,
                         &settings, &exit_code))
    return exit_code;
  exit_code = run (&settings);
  gr_process_settings_clear (&settings);
  return exit_code;
}
