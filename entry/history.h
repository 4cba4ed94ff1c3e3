/* The recent versions of a settings document, stored as JSON under the key
 * history/PATH. The history is written in the same transaction as the
 * document, so the modification revision of its key is the revision of the
 * newest version. A version's revision is not known when it is written; each
 * later write stores the revisions of the older versions. */
#pragma once

#include "common/error.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GR_HISTORY_PREFIX "/geraniumrack/history/"
#define GR_HISTORY_VERSIONS 20

/* Parses a stored history into versions, newest first, each with its
 * revision. mod_revision is the modification revision of the history key.
 * text may be NULL. Text that cannot be parsed counts as an empty history,
 * so that it does not block further changes. Free with json_array_unref (). */
JsonArray *
gr_history_parse (const char *text, size_t size, int64_t mod_revision);

/* Returns the stored form of versions with one document added as the newest.
 * Drops the oldest versions beyond GR_HISTORY_VERSIONS or beyond the size
 * limit of a stored value. Takes ownership of versions. writer identifies
 * this change; see gr_history_find (). Free with g_free (). */
char *gr_history_add (JsonArray *versions,
                      const char *document,
                      const char *writer,
                      int64_t unix_ms);

/* Returns the revision of the version written by writer, or 0 if there is
 * none. */
int64_t gr_history_find (JsonArray *versions, const char *writer);

/* Returns a copy of versions without the writer ids, for responses to
 * clients. Free with json_array_unref (). */
JsonArray *gr_history_public (JsonArray *versions);
