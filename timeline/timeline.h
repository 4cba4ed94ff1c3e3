/* Merges the JSON line logs of all processes by hybrid logical time, and checks
 * that no effect stands before its cause. */
#pragma once

#include "common/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

struct gr_timeline;

struct gr_record_field
{
  char *name;
  char *value;
};

/* One line of a log. */
struct gr_record
{
  uint64_t hlc;
  char *lane;  /* "PROCESS/INSTANCE" */
  char *event; /* "" for a line without an event */
  const char *file;
  uint32_t line;
  char *text;     /* as it stands in the log */
  GArray *fields; /* struct gr_record_field; without hlc, process, instance and
                     event */
};

/* What is printed. Each list ends with NULL; a list that is NULL lets all
 * pass. A record must pass every list. */
struct gr_timeline_filter
{
  char **requests;
  char **jobs;
  char **shards;
  char **events;
};

struct gr_timeline *gr_timeline_create (void);
void gr_timeline_destroy (struct gr_timeline *timeline);

/* Adds the lines of one log, "-" for standard input. Lines that are not log
 * records, such as the output of a failed assertion, are counted and left out.
 * Kind not-found if the file cannot be read. */
bool gr_timeline_add_file (struct gr_timeline *timeline,
                           const char *file,
                           struct gr_error *error);

/* The same for a stream; name stands for the file in messages. */
void gr_timeline_add_stream (struct gr_timeline *timeline,
                             const char *name,
                             FILE *stream);

/* Lines that were left out. */
uint32_t gr_timeline_skipped (const struct gr_timeline *timeline);

/* All records by logical time. Owned by the timeline; struct gr_record. */
const GPtrArray *gr_timeline_records (struct gr_timeline *timeline);

/* One line of text for each violation: a process whose logical time does not
 * rise from line to line, and an effect of which every cause in the logs is
 * later. An effect without any cause in the logs is none: lines are rate
 * limited, and not all logs may be at hand. Owned strings; free with
 * g_ptr_array_unref (). */
GPtrArray *gr_timeline_check (struct gr_timeline *timeline);

/* Names of events with lines that the rate limit dropped; the check does not
 * use them as causes. Owned strings, sorted; free with g_ptr_array_unref (). */
GPtrArray *gr_timeline_dropped_events (struct gr_timeline *timeline);

/* Value of a field, or NULL. */
const char *gr_record_get (const struct gr_record *record, const char *name);

bool gr_timeline_filter_matches (const struct gr_timeline_filter *filter,
                                 const struct gr_record *record);

/* What an event of an instance on the users' platform is about: the owner, the
 * store, clients' calls, starts, ends, what was noted of them, or workers. The
 * number before it is its place on a page. */
const char *gr_record_matter (const struct gr_record *record);

/* Prints the records that match. */
void gr_timeline_print_text (struct gr_timeline *timeline,
                             const struct gr_timeline_filter *filter,
                             FILE *out);
void gr_timeline_print_json (struct gr_timeline *timeline,
                             const struct gr_timeline_filter *filter,
                             FILE *out);
/* One page that needs no other files, with a column for each process. */
void gr_timeline_print_html (struct gr_timeline *timeline,
                             const struct gr_timeline_filter *filter,
                             FILE *out);

/* The same with a column for each matter, for a day of the platform, where many
 * instances say little. */
void gr_timeline_print_matters (struct gr_timeline *timeline,
                                const struct gr_timeline_filter *filter,
                                FILE *out);

/* UTC time of a hybrid logical time with its counter, for example
 * "2026-01-02T03:04:05.678Z+3". Free with g_free (). */
char *gr_timeline_time (uint64_t hlc);

/* The program. Returns 0, 1 if there are violations, 2 for wrong arguments and
 * files that cannot be read. */
int gr_timeline_run (int argc, char **argv, FILE *out, FILE *err);
