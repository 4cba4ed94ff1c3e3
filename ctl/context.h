/* State and helper functions shared by all commands. Internal to ctl/. */
#pragma once

#include "common/error.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>

/* Exit code of "jobs wait" for a job that failed or was cancelled. */
#define GR_CTL_EXIT_JOB_FAILED 1

/* Default timeout of one call, and its upper limit in commands that poll. */
#define GR_CTL_CALL_TIMEOUT_S 30

struct gr_ctl
{
  SoupSession *session;
  char **entries; /* base URLs, at least one */
  char *token;    /* bearer token, or NULL */
  gboolean json;
  double timeout_s;      /* of the whole command if it polls */
  double call_timeout_s; /* of the next call */
  gboolean has_timeout;  /* whether --timeout was given */
  int64_t revision;      /* from --revision; -1: not given */
  double interval_s;     /* between polls of "settings watch" */
  GHashTable *missing;   /* names of shards missing from lists */
  FILE *out;
  FILE *err;
};

struct gr_ctl_command
{
  const char *name;      /* one or two words */
  const char *arguments; /* for the usage text */
  int min_arguments;
  int max_arguments; /* -1: no limit */
  int (*run) (struct gr_ctl *ctl, int argc, char **argv);
  const char *doc;
};

/* The command table. */
extern const struct gr_ctl_command gr_ctl_commands[];
extern const size_t gr_ctl_n_commands;

struct gr_ctl_response
{
  int status;     /* HTTP status; 0 if there was no response */
  char *body;     /* NUL-terminated */
  gsize length;   /* of body, in bytes */
  int64_t etag;   /* revision in the ETag header, 0 if there is none */
  JsonNode *json; /* NULL if the body is not JSON */
  char *entry;    /* base URL of the last entry called */
};

/* Sends a request to the first entry that accepts a connection, and runs the
 * default main context until the response arrives or ctl->call_timeout_s has
 * passed. body may be NULL; if_match < 0 sends no If-Match header. Returns
 * false with error set if there is no response (kinds no-target if no entry
 * accepted a connection, timeout, io), or if its status is not 2xx; then
 * response is set as well. The caller must clear response in all cases. */
bool gr_ctl_call (struct gr_ctl *ctl,
                  const char *method,
                  const char *path,
                  const char *content_type,
                  const char *body,
                  int64_t if_match,
                  struct gr_ctl_response *response,
                  struct gr_error *error);
void gr_ctl_response_clear (struct gr_ctl_response *response);

/* Returns base followed by name, for example "/v1/jobs/" and an id. name is
 * percent-encoded except for slashes. Free with g_free (). */
char *gr_ctl_path (const char *base, const char *name);

/* Prints an error; with --json prints the problem document of the response
 * instead, if there is one. Returns the exit code of the error's kind. response
 * may be NULL. */
int gr_ctl_report_error (struct gr_ctl *ctl,
                         const struct gr_error *error,
                         const struct gr_ctl_response *response);

/* Prints "geraniumrackctl: MESSAGE" for a wrong argument. Returns exit code 2.
 */
int gr_ctl_usage_error (struct gr_ctl *ctl, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* For commands that poll: limits the timeout of the next call to the time that
 * is left of --timeout, and to GR_CTL_CALL_TIMEOUT_S. start_us is the monotonic
 * time at which the command started. Returns the time left in seconds, at most
 * 0 if it has expired, or G_MAXDOUBLE without --timeout. */
double gr_ctl_limit_call_timeout (struct gr_ctl *ctl, int64_t start_us);

/* Runs the default main context for time_ms. */
void gr_ctl_sleep (int64_t time_ms);

/* --- Output (table.c) ----------------------------------------------------- */

/* Prints a node as one line of JSON. */
void gr_ctl_print_json (struct gr_ctl *ctl, JsonNode *node);

/* Return the value of a member of a JSON object, or fallback (false for
 * booleans) if it is missing or of another type. Strings are owned by object.
 */
const char *
gr_ctl_string (JsonObject *object, const char *name, const char *fallback);
int64_t gr_ctl_int (JsonObject *object, const char *name, int64_t fallback);
bool gr_ctl_bool (JsonObject *object, const char *name);

/* Returns a member as text, "-" if it is missing. path may contain dots to
 * refer to nested members ("counts.jobs"). Free with g_free (). */
char *gr_ctl_member_text (JsonObject *object, const char *path);

/* Prints the objects in an array as a table with aligned columns. columns lists
 * the member paths and ends with NULL. */
void gr_ctl_print_table (struct gr_ctl *ctl,
                         JsonArray *items,
                         const char *const *columns);

/* Prints an object as lines "name: value", or as JSON with --json. */
void gr_ctl_print_object (struct gr_ctl *ctl, JsonNode *node);

/* Fetches the pages of a list until it ends or max_items were read; 0: no
 * limit. query is "" or of the form "account=a". Returns NULL with *exit_code
 * set after printing an error. Adds the shards whose items are not in the list
 * to ctl->missing. Free with json_array_unref (). */
JsonArray *gr_ctl_fetch_list (struct gr_ctl *ctl,
                              const char *path,
                              const char *query,
                              int64_t max_items,
                              int *exit_code);

/* Reports the shards that were missing from the lists fetched. Returns 0 if
 * there are none, otherwise the exit code of error kind no-owner. */
int gr_ctl_report_missing (struct gr_ctl *ctl);

/* Fetches a list and prints it as a table, or as JSON with --json. Returns the
 * exit code. */
int gr_ctl_show_list (struct gr_ctl *ctl,
                      const char *path,
                      const char *query,
                      int64_t max_items,
                      const char *const *columns);

/* Fetches an object and prints it. Returns the exit code. */
int gr_ctl_show_object (struct gr_ctl *ctl, const char *path);

/* --- Documents (documents.c, edit.c, diff.c) ------------------------------ */

/* Fetches the document at a path and its revision. If there is none, *text is
 * "" and *revision that of the response's ETag, or 0. Returns false with
 * *exit_code set and *text NULL after printing an error. Free *text with
 * g_free (). */
bool gr_ctl_get_document (struct gr_ctl *ctl,
                          const char *path,
                          char **text,
                          int64_t *revision,
                          int *exit_code);

/* Validates a document locally, then writes it on condition that the path is
 * still at revision. An empty text deletes the document. source names the
 * document in validation errors. Returns the exit code. */
int gr_ctl_put_document (struct gr_ctl *ctl,
                         const char *path,
                         const char *source,
                         const char *text,
                         int64_t revision);

/* Returns the stored versions of a document, newest first, or NULL with
 * *exit_code set after printing an error. Free with json_array_unref (). */
JsonArray *
gr_ctl_get_history (struct gr_ctl *ctl, const char *path, int *exit_code);

/* Prints the stored versions of a document. Returns the exit code. */
int gr_ctl_show_history (struct gr_ctl *ctl, const char *path);

/* Prints the lines that differ between a and b. Each is a file name, a revision
 * of the document at path, or NULL for the current document. Returns the exit
 * code. */
int gr_ctl_show_diff (struct gr_ctl *ctl,
                      const char *path,
                      const char *a,
                      const char *b);

/* Reads a text file. Returns false with *text NULL after printing an error.
 * Free *text with g_free (). */
bool gr_ctl_read_file (struct gr_ctl *ctl, const char *file, char **text);

/* Returns text with a key of a section set. All other lines, including
 * comments, are kept. Free with g_free (). */
char *gr_ctl_edit_key (const char *text,
                       const char *section,
                       const char *key,
                       const char *value);

/* Returns text with all keys of an INI fragment set, or NULL with error set if
 * the fragment is not valid INI. Free with g_free (). */
char *
gr_ctl_edit_fragment (const char *text, const char *fragment, GError **error);

/* Returns the lines that differ, with prefix "-" if they are only in a and "+"
 * if they are only in b, and up to 3 equal lines before and after them. Empty
 * if the texts are equal. Free with g_free (). */
char *gr_ctl_diff (const char *a, const char *b);
