/* What all commands share. Internal to ctl/. */
#pragma once

#include "common/error.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>

/* Exit code of "jobs wait" for a job that ran and failed, or was cancelled. */
#define GR_CTL_EXIT_JOB_FAILED 1

/* Longest time for one call if --timeout does not say otherwise. */
#define GR_CTL_CALL_TIMEOUT_S 30

struct gr_ctl
{
  SoupSession *session;
  char **entries; /* base URLs, at least one */
  char *token;    /* NULL: none */
  gboolean json;
  double timeout_s;      /* of the whole command if it waits */
  double call_timeout_s; /* of one call */
  gboolean has_timeout;  /* set by --timeout */
  int64_t revision;      /* of --revision; -1: not set */
  double interval_s;
  GHashTable *missing; /* names of shards that did not answer */
  FILE *out;
  FILE *err;
};

struct gr_ctl_command
{
  const char *name; /* one or two words */
  const char *arguments;
  int min_arguments;
  int max_arguments; /* -1: no limit */
  int (*run) (struct gr_ctl *ctl, int argc, char **argv);
  const char *doc;
};

/* Rows of all commands. */
extern const struct gr_ctl_command gr_ctl_commands[];
extern const size_t gr_ctl_n_commands;

struct gr_ctl_answer
{
  int status;
  char *body; /* NUL terminated */
  gsize length;
  int64_t etag;   /* revision, 0 if there is none */
  JsonNode *json; /* NULL if the body is not JSON */
  char *entry;    /* base URL that answered */
};

/* Calls the first entry that accepts a connection. if_match < 0: no header.
 * body may be NULL. An answer of status 400 and above becomes an error, with
 * answer still set. Kinds without an answer: no-target (no entry accepted a
 * connection), timeout, io. The answer must be cleared in all cases. */
bool gr_ctl_call (struct gr_ctl *ctl,
                  const char *method,
                  const char *path,
                  const char *content_type,
                  const char *body,
                  int64_t if_match,
                  struct gr_ctl_answer *answer,
                  struct gr_error *error);
void gr_ctl_answer_clear (struct gr_ctl_answer *answer);

/* A path of two parts, the second one escaped, for example "/v1/jobs/" and an
 * id; slashes in it stay. Free with g_free (). */
char *gr_ctl_path (const char *base, const char *name);

/* Prints an error, and the problem document with --json; returns the exit
 * code. answer may be NULL. */
int gr_ctl_fail (struct gr_ctl *ctl,
                 const struct gr_error *error,
                 const struct gr_ctl_answer *answer);

/* Prints "geraniumrackctl: MESSAGE" for a wrong argument; returns 2. */
int gr_ctl_usage (struct gr_ctl *ctl, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* For commands that make calls until some time: bounds the next call by what
 * is left of --timeout since start_us, and by 30 s. Returns what is left, in
 * seconds; negative if the time is over. */
double gr_ctl_bound_call (struct gr_ctl *ctl, int64_t start_us);

/* Runs the default main context for a time. */
void gr_ctl_sleep (int64_t time_ms);

/* --- Output (table.c) ----------------------------------------------------- */

void gr_ctl_print_json (struct gr_ctl *ctl, JsonNode *node);

/* Members of an answer; fallback if one is missing or of another type. */
const char *
gr_ctl_string (JsonObject *object, const char *name, const char *fallback);
int64_t gr_ctl_int (JsonObject *object, const char *name, int64_t fallback);
bool gr_ctl_bool (JsonObject *object, const char *name);

/* A member as text; "-" if it is missing. path may have dots ("counts.jobs").
 * Free with g_free (). */
char *gr_ctl_member_text (JsonObject *object, const char *path);

/* Prints the objects of an array as aligned columns. columns ends with NULL. */
void gr_ctl_print_table (struct gr_ctl *ctl,
                         JsonArray *items,
                         const char *const *columns);

/* Prints one object as lines "name: value". */
void gr_ctl_print_object (struct gr_ctl *ctl, JsonNode *node);

/* GETs all pages of a list; query may be "" or like "account=a". max_items 0:
 * all. Returns NULL after printing an error, with *exit_code set. Shards whose
 * part is not in the list are added to ctl->missing. */
JsonArray *gr_ctl_fetch_list (struct gr_ctl *ctl,
                              const char *path,
                              const char *query,
                              int64_t max_items,
                              int *exit_code);

/* Prints the shards that are missing in what was fetched. Returns the exit
 * code: 0 if there is none, else that of no-owner. */
int gr_ctl_report_missing (struct gr_ctl *ctl);

/* Fetches a list and prints it as a table or as JSON; returns the exit code. */
int gr_ctl_show_list (struct gr_ctl *ctl,
                      const char *path,
                      const char *query,
                      int64_t max_items,
                      const char *const *columns);

/* GETs one object and prints it; returns the exit code. */
int gr_ctl_show_object (struct gr_ctl *ctl, const char *path);

/* --- Documents (documents.c, edit.c, diff.c) ------------------------------ */

/* The document of a path and its revision; text "" and revision 0 if there is
 * none. Returns false after printing an error, with *exit_code set. */
bool gr_ctl_get_document (struct gr_ctl *ctl,
                          const char *path,
                          char **text,
                          int64_t *revision,
                          int *exit_code);

/* Checks a document locally, then writes it if the path is still at revision.
 * source names it in problems. Returns the exit code. */
int gr_ctl_put_document (struct gr_ctl *ctl,
                         const char *path,
                         const char *source,
                         const char *text,
                         int64_t revision);

/* Versions of a path, newest first; NULL after printing an error. */
JsonArray *
gr_ctl_get_history (struct gr_ctl *ctl, const char *path, int *exit_code);

int gr_ctl_show_history (struct gr_ctl *ctl, const char *path);

/* Prints the lines that differ between a file or revision and another one.
 * b may be NULL: the current document. */
int gr_ctl_show_diff (struct gr_ctl *ctl,
                      const char *path,
                      const char *a,
                      const char *b);

/* Reads a text file; false after printing the reason. */
bool gr_ctl_read_file (struct gr_ctl *ctl, const char *file, char **text);

/* The text with a key of a section set; other lines, also comments, stay as
 * they are. Free with g_free (). */
char *gr_ctl_edit_key (const char *text,
                       const char *section,
                       const char *key,
                       const char *value);

/* The text with all keys of an INI fragment set; NULL with a message if the
 * fragment is not INI. */
char *
gr_ctl_edit_fragment (const char *text, const char *fragment, GError **error);

/* Lines that differ, "-" for those of a only and "+" for those of b only, with
 * up to 3 equal lines around. Empty if the texts are equal. */
char *gr_ctl_diff (const char *a, const char *b);
