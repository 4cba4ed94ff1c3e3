#include "entry/entry.h"

#include "common/log.h"
#include "settings/process.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

struct run
{
  GMainLoop *loop;
  struct gr_entry *entry;
  int signals;
};

static void
on_stopped (void *context)
{
  struct run *run = context;

  g_main_loop_quit (run->loop);
}

/* The first signal starts a graceful shutdown; a second one exits
 * immediately. */
static gboolean
on_signal (gpointer data)
{
  struct run *run = data;

  run->signals++;
  if (run->signals == 1)
    gr_entry_stop (run->entry);
  else
    g_main_loop_quit (run->loop);
  return G_SOURCE_CONTINUE;
}

static int
run_entry (const struct gr_process_settings *settings)
{
  struct gr_error error = GR_ERROR_INIT;
  struct run run = { .loop = g_main_loop_new (NULL, FALSE) };

  signal (SIGPIPE, SIG_IGN);
  run.entry = gr_entry_create (settings, &error);
  if (run.entry == NULL)
    {
      fprintf (stderr, "geraniumrack-entry: %s\n", error.message);
      g_main_loop_unref (run.loop);
      return gr_error_info (error.kind)->exit_code;
    }
  gr_entry_on_stopped (run.entry, on_stopped, &run);
  g_unix_signal_add (SIGTERM, on_signal, &run);
  g_unix_signal_add (SIGINT, on_signal, &run);
  printf ("listening http=%s rpc=%s\n", gr_entry_http_address (run.entry),
          gr_entry_rpc_address (run.entry));
  fflush (stdout);
  g_main_loop_run (run.loop);
  gr_entry_destroy (run.entry);
  g_main_loop_unref (run.loop);
  return run.signals > 1 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct gr_process_settings settings;
  int exit_code;

  if (!gr_process_start (argc, argv, "geraniumrack-entry",
                         "Serves clients and operators over HTTP.", NULL,
                         &settings, &exit_code))
    return exit_code;
  exit_code = run_entry (&settings);
  gr_process_settings_clear (&settings);
  return exit_code;
}
