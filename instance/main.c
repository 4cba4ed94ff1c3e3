#include "common/log.h"
#include "instance/instance.h"
#include "settings/process.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* Where the platform says which settings file to read. */
#define SETTINGS_VARIABLE "GERANIUMRACK_NODE_FILE"

struct run
{
  GMainLoop *loop;
  struct gr_instance *instance;
  const char *file;
};

static void
stopped (void *context)
{
  struct run *run = context;

  g_main_loop_quit (run->loop);
}

static gboolean
on_terminate (gpointer data)
{
  struct run *run = data;

  gr_instance_stop (run->instance, stopped, run);
  return G_SOURCE_CONTINUE;
}

/* The log level is taken over; addresses need a restart. */
static gboolean
on_reload (gpointer data)
{
  struct run *run = data;
  struct gr_instance_settings settings;

  if (!gr_instance_load (run->file, &settings))
    {
      gr_log_problem ("reload-failed", "file", run->file, NULL);
      return G_SOURCE_CONTINUE;
    }
  gr_log_set_level (gr_log_level_from_name (settings.log_level));
  gr_log_event ("reloaded", "file", run->file, NULL);
  gr_instance_settings_clear (&settings);
  return G_SOURCE_CONTINUE;
}

static int
run_instance (const struct gr_instance_settings *settings, const char *file)
{
  struct gr_error error = GR_ERROR_INIT;
  struct run run = { .file = file };

  signal (SIGPIPE, SIG_IGN);
  run.loop = g_main_loop_new (NULL, FALSE);
  run.instance = gr_instance_create (settings, &error);
  if (run.instance == NULL)
    {
      fprintf (stderr, "geraniumrack-instance: %s\n", error.message);
      g_main_loop_unref (run.loop);
      return gr_error_answer (error.kind)->exit_code;
    }
  g_unix_signal_add (SIGTERM, on_terminate, &run);
  g_unix_signal_add (SIGINT, on_terminate, &run);
  g_unix_signal_add (SIGHUP, on_reload, &run);
  g_main_loop_run (run.loop);
  gr_instance_destroy (run.instance);
  gr_log_flush ();
  g_main_loop_unref (run.loop);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct gr_instance_settings settings;
  const char *file = g_getenv (SETTINGS_VARIABLE);
  int exit_code;

  if (!gr_instance_start (argc, argv, "geraniumrack-instance",
                          "Serves clients on the users' platform, and "
                          "schedules their jobs.",
                          &file, &settings, &exit_code))
    return exit_code;
  exit_code = run_instance (&settings, file);
  gr_instance_settings_clear (&settings);
  return exit_code;
}
