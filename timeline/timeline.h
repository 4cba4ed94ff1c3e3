/* Merges the JSON logs of all processes in order of hybrid logical time, and
 * checks that no effect precedes its cause. */
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
  uint64_t hlc;     /* hybrid logical time */
  char *source;     /* "PROCESS/INSTANCE" */
  char *event;      /* "" for a line without an event */
  const char *file; /* owned by the timeline */
  uint32_t line;    /* number in the file, from 1 */
  char *text;       /* the JSON object, unchanged */
  GArray *fields;   /* struct gr_record_field; without hlc, process, instance
                       and event */
};

/* Selects the records to print. A record must match every list. Each list ends
 * with NULL; a list that is NULL matches all records. */
struct gr_timeline_filter
{
  char **requests;
  char **jobs;
  char **shards;
  char **events;
};

struct gr_timeline *gr_timeline_create (void);
void gr_timeline_destroy (struct gr_timeline *timeline);

/* Adds the lines of a log file, "-" for standard input. Lines that are not log
 * records, such as the output of a failed assertion, are counted and skipped.
 * Returns false with error kind not-found if the file cannot be read. */
bool gr_timeline_add_file (struct gr_timeline *timeline,
                           const char *file,
                           struct gr_error *error);

/* Same as gr_timeline_add_file (), but reads from a stream. name is used as the
 * file name in messages. */
void gr_timeline_add_stream (struct gr_timeline *timeline,
                             const char *name,
                             FILE *stream);

/* Returns the number of lines skipped so far. */
uint32_t gr_timeline_skipped (const struct gr_timeline *timeline);

/* Returns all records (struct gr_record) in order of logical time. Owned by the
 * timeline. */
const GPtrArray *gr_timeline_records (struct gr_timeline *timeline);

/* Checks the order of all records and returns a description of each violation:
 * logical time that does not increase from one line of a process to the next,
 * or an effect that precedes every cause of it in the logs. An effect without
 * any cause in the logs is not a violation, because logging is rate limited and
 * some logs may be missing. The array owns its strings; free with
 * g_ptr_array_unref (). */
GPtrArray *gr_timeline_check (struct gr_timeline *timeline);

/* Returns the sorted names of the events of which the rate limit dropped lines.
 * gr_timeline_check () does not use these events as causes. The array owns its
 * strings; free with g_ptr_array_unref (). */
GPtrArray *gr_timeline_dropped_events (struct gr_timeline *timeline);

/* Returns the value of a field, or NULL if the record does not have it. Owned
 * by the record. */
const char *gr_record_get (const struct gr_record *record, const char *name);

/* Returns true if the filter selects a record. */
bool gr_timeline_filter_matches (const struct gr_timeline_filter *filter,
                                 const struct gr_record *record);

/* Returns the topic of an event of an instance on the users' platform: the
 * owner, the store, clients' calls, starts of runs, ends of runs, ends that
 * were recorded in the store, workers, or processes. It begins with a number by
 * which the columns of a page are sorted. A static string. */
const char *gr_record_topic (const struct gr_record *record);

/* Print the records that match the filter, as text and as JSON lines. */
void gr_timeline_print_text (struct gr_timeline *timeline,
                             const struct gr_timeline_filter *filter,
                             FILE *out);
void gr_timeline_print_json (struct gr_timeline *timeline,
                             const struct gr_timeline_filter *filter,
                             FILE *out);

/* Prints a self-contained HTML page with a column for each process. */
void gr_timeline_print_html (struct gr_timeline *timeline,
                             const struct gr_timeline_filter *filter,
                             FILE *out);

/* Same as gr_timeline_print_html (), but with a column for each topic. For the
 * log of a day on the users' platform, where many instances log few lines each.
 */
void gr_timeline_print_topics (struct gr_timeline *timeline,
                               const struct gr_timeline_filter *filter,
                               FILE *out);

/* Formats a hybrid logical time as UTC time and counter, for example
 * "2026-01-02T03:04:05.678Z+3". Free with g_free (). */
char *gr_timeline_format_time (uint64_t hlc);

/* Runs geraniumrack-timeline. Returns its exit code: 0 without violations, 1 if
 * there are violations, 2 for wrong arguments and files that cannot be read. */
int gr_timeline_run (int argc, char **argv, FILE *out, FILE *err);
