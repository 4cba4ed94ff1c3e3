/* geraniumrackctl as a library, so that tests can run it in their process. */
#pragma once

#include <stdio.h>

/* Runs one command. Results go to out, errors and progress to err. Returns the
 * exit code: that of the error's kind in common/error.h. Runs the default
 * GMainContext while it waits for answers. */
int gr_ctl_run (int argc, char **argv, FILE *out, FILE *err);
