/* Start of every binary that has a process file: the common options, and the
 * process settings. */
#pragma once

#include "settings/document.h"

#include <glib.h>
#include <stdbool.h>

/* Exit code for wrong arguments and for settings that are not valid. */
#define GR_EXIT_USAGE 2

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
