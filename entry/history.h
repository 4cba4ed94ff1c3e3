/* The last documents of a path as they are kept in the key history/PATH. It is
 * written in the same transaction as the document, so its modification revision
 * is that of the newest document; each later write notes it for the older ones.
 */
#pragma once

#include "common/error.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GR_HISTORY_PREFIX "/geraniumrack/history/"
#define GR_HISTORY_VERSIONS 20

/* Versions, newest first, with their revisions. text may be NULL. Text that is
 * not a history counts as an empty one, so that it does not prevent changes.
 * Free with json_array_unref (). */
JsonArray *
gr_history_parse (const char *text, size_t size, int64_t mod_revision);

/* The value with one more document. versions is consumed. Free with g_free ().
 */
char *gr_history_add (JsonArray *versions,
                      const char *document,
                      const char *writer,
                      int64_t unix_ms);

/* Revision that the writer's document got, or 0 if it is not there. */
int64_t gr_history_find (JsonArray *versions, const char *writer);

/* Versions without writers, for answers. Free with json_array_unref (). */
JsonArray *gr_history_public (JsonArray *versions);
