#include "common/log.h"
#include "instance/instance.h"
#include "instance/reload.h"
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
  struct gr_instance_settings *settings;
  struct gr_reload_watch watch;
};

/* A change without a signal is seen so soon; the platform names no bound. */
#define FILE_CHECK_S 2

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

static void
reload (struct run *run)
{
  struct gr_instance_settings changed;
  const char *file = run->watch.file;

  if (!gr_instance_load (file, &changed))
    {
      gr_log_problem ("reload-failed", "file", file, NULL);
      return;
    }
  gr_reload_take (run->settings, &changed);
  gr_log_set_level (gr_log_level_from_name (run->settings->log_level));
  gr_log_event ("reloaded", "file", file, NULL);
  gr_instance_settings_clear (&changed);
}

static gboolean
on_reload (gpointer data)
{
  struct run *run = data;

  gr_reload_is_due (&run->watch);
  reload (run);
  return G_SOURCE_CONTINUE;
}

static gboolean
check_file (gpointer data)
{
  struct run *run = data;

  if (gr_reload_is_due (&run->watch))
    reload (run);
  return G_SOURCE_CONTINUE;
}

static int
run_instance (struct gr_instance_settings *settings, const char *file)
{
  struct gr_error error = GR_ERROR_INIT;
  struct run run = { .settings = settings, .watch = { .file = file } };
  guint timer;

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
  gr_reload_is_due (&run.watch);
  timer = g_timeout_add_seconds (FILE_CHECK_S, check_file, &run);
  g_main_loop_run (run.loop);
  g_source_remove (timer);
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
