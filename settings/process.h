/* Start of every binary that has a process file: the common options, and the
 * process settings. */
#pragma once

#include "settings/document.h"

#include <glib.h>
#include <stdbool.h>

/* Exit code for wrong arguments and for settings that are not valid. */
#define GR_EXIT_USAGE 2

/* Values of the options that all binaries take. */
struct gr_process_options
{
  char *settings;
  char *check_settings;
  gboolean print_settings;
  gboolean version;
};

/* For binaries that run without a process file: adds the options to context;
 * options must live until they are parsed and is cleared by the caller. */
void gr_process_options_add (GOptionContext *context,
                             struct gr_process_options *options);
void gr_process_options_clear (struct gr_process_options *options);

/* Does what --version, --print-settings and --check-settings ask for. Returns
 * true if one was given; the process is then to exit with *exit_code. */
bool gr_process_options_handle (const struct gr_process_options *options,
                                const char *binary,
                                int *exit_code);

/* Parses the options --settings FILE, --check-settings FILE, --print-settings
 * and --version, and those of extra, which may be NULL. Returns true if the
 * process is to go on: settings then holds the checked settings, to be cleared
 * by the caller, and logging is set up with the name of the binary, the
 * instance and the level. Returns false if it is to exit with *exit_code;
 * every problem was then printed on standard error, one a line, as
 * "FILE: [SECTION] KEY: found X, allowed: Y". Arguments that are not options
 * are an error. */
bool gr_process_start (int argc,
                       char **argv,
                       const char *binary,
                       const char *summary,
                       const GOptionEntry *extra,
                       struct gr_process_settings *settings,
                       int *exit_code);

/* Reads and checks a process file; the same, without the options. */
bool gr_process_load (const char *file, struct gr_process_settings *settings);

/* Reads and checks the file of an instance on the users' platform; prints the
 * problems as gr_process_start () does. */
bool gr_instance_load (const char *file, struct gr_instance_settings *settings);

/* gr_process_start () for an instance on the users' platform. *file is the
 * settings file if --settings is not given, and may be NULL; it is set to the
 * one that was read. */
bool gr_instance_start (int argc,
                        char **argv,
                        const char *binary,
                        const char *summary,
                        const char **file,
                        struct gr_instance_settings *settings,
                        int *exit_code);

/* "debug", "warning", else info. */
GLogLevelFlags gr_log_level_from_name (const char *name);
