/* geraniumrackctl as a library, so that tests can call it in-process. */
#pragma once

#include <stdio.h>

/* Runs one command. Writes results to out, errors and progress to err. Returns
 * the exit code; those of the error kinds are in common/error.h. Runs the
 * default GMainContext while waiting for responses. */
int gr_ctl_run (int argc, char **argv, FILE *out, FILE *err);
