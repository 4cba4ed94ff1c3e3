/* Startup code of all binaries: common command-line options, and loading of the
 * local settings file. */
#pragma once

#include "settings/document.h"

#include <glib.h>
#include <stdbool.h>

/* Exit code for wrong arguments and invalid settings. */
#define GR_EXIT_USAGE 2

/* Values of the options that all binaries accept. */
struct gr_process_options
{
  char *settings;       /* file name, or NULL */
  char *check_settings; /* file name, or NULL */
  gboolean print_settings;
  gboolean version;
};

/* Adds the common options to context, for binaries that do not need a process
 * file and so do not call gr_process_start (). options must stay valid until
 * the context has been parsed; the caller clears it. */
void gr_process_options_add (GOptionContext *context,
                             struct gr_process_options *options);
void gr_process_options_clear (struct gr_process_options *options);

/* Handles --version, --print-settings and --check-settings. Returns true if one
 * of them was given; the process must then exit with *exit_code. */
bool gr_process_options_handle (const struct gr_process_options *options,
                                const char *binary,
                                int *exit_code);

/* Parses the options --settings FILE, --check-settings FILE, --print-settings
 * and --version, and those in extra, which may be NULL. Arguments that are not
 * options are an error.
 *
 * Returns true if the process can start: settings then holds valid settings,
 * which the caller clears, and logging is initialized with the binary's name,
 * the instance and the log level. Returns false if the process must exit with
 * *exit_code. All errors have then been printed on standard error, one per
 * line, errors in the settings as "FILE: [SECTION] KEY: found X, allowed: Y".
 */
bool gr_process_start (int argc,
                       char **argv,
                       const char *binary,
                       const char *summary,
                       const GOptionEntry *extra,
                       struct gr_process_settings *settings,
                       int *exit_code);

/* Reads and validates a process file. Prints errors as gr_process_start () does
 * and returns false if there are any; otherwise the caller clears settings. */
bool gr_process_load (const char *file, struct gr_process_settings *settings);

/* Reads and validates the settings file of an instance on the users' platform.
 * Prints errors as gr_process_start () does and returns false if there are any;
 * otherwise the caller clears settings. */
bool gr_instance_load (const char *file, struct gr_instance_settings *settings);

/* Same as gr_process_start () for an instance on the users' platform, without
 * extra options. Logs go to standard output. On entry *file names the settings
 * file to use if --settings is not given, or is NULL if there is no such
 * default; on return it names the file that was read. The string is not owned
 * by the caller. */
bool gr_instance_start (int argc,
                        char **argv,
                        const char *binary,
                        const char *summary,
                        const char **file,
                        struct gr_instance_settings *settings,
                        int *exit_code);

/* Returns the level named "debug" or "warning"; G_LOG_LEVEL_INFO for any other
 * name. */
GLogLevelFlags gr_log_level_from_name (const char *name);
