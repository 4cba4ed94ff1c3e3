#include "common/log.h"
#include "instance/instance.h"
#include "instance/reload.h"
#include "settings/process.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* Environment variable in which the platform passes the path of the settings
 * file. */
#define SETTINGS_VARIABLE "GERANIUMRACK_NODE_FILE"

struct app
{
  GMainLoop *loop;
  struct gr_instance *instance;
  struct gr_instance_settings *settings;
  struct gr_reload_watch watch;
};

/* Period of checking the settings file for a change without a signal. The
 * platform sets no bound for it. */
#define FILE_CHECK_S 2

static void
stopped (void *context)
{
  struct app *app = context;

  g_main_loop_quit (app->loop);
}

static gboolean
on_terminate (gpointer data)
{
  struct app *app = data;

  gr_instance_stop (app->instance, stopped, app);
  return G_SOURCE_CONTINUE;
}

static void
reload_settings (struct app *app)
{
  struct gr_instance_settings changed;
  const char *file = app->watch.file;

  if (!gr_instance_load (file, &changed))
    {
      gr_log_warning ("reload-failed", "file", file, NULL);
      return;
    }
  gr_reload_apply (app->settings, &changed);
  gr_log_set_level (gr_log_level_from_name (app->settings->log_level));
  gr_log_event ("reloaded", "file", file, NULL);
  gr_instance_settings_clear (&changed);
}

static gboolean
on_reload (gpointer data)
{
  struct app *app = data;

  gr_reload_file_changed (&app->watch);
  reload_settings (app);
  return G_SOURCE_CONTINUE;
}

static gboolean
check_file (gpointer data)
{
  struct app *app = data;

  if (gr_reload_file_changed (&app->watch))
    reload_settings (app);
  return G_SOURCE_CONTINUE;
}

static int
run_instance (struct gr_instance_settings *settings, const char *file)
{
  struct gr_error error = GR_ERROR_INIT;
  struct app app = { .settings = settings, .watch = { .file = file } };
  guint timer;

  signal (SIGPIPE, SIG_IGN);
  app.loop = g_main_loop_new (NULL, FALSE);
  app.instance = gr_instance_create (settings, &error);
  if (app.instance == NULL)
    {
      fprintf (stderr, "geraniumrack-instance: %s\n", error.message);
      g_main_loop_unref (app.loop);
      return gr_error_info (error.kind)->exit_code;
    }
  g_unix_signal_add (SIGTERM, on_terminate, &app);
  g_unix_signal_add (SIGINT, on_terminate, &app);
  g_unix_signal_add (SIGHUP, on_reload, &app);
  gr_reload_file_changed (&app.watch);
  timer = g_timeout_add_seconds (FILE_CHECK_S, check_file, &app);
  g_main_loop_run (app.loop);
  g_source_remove (timer);
  gr_instance_destroy (app.instance);
  gr_log_flush ();
  g_main_loop_unref (app.loop);
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
