/* One HTTP request to this entry and its answer. */
#pragma once

#include "entry/internal.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

struct gr_exchange
{
  struct gr_entry *entry;
  SoupServerMessage *message;
  char *path;
  const char *rest; /* of the path, after the part that the route names */
  GHashTable *query;
  GBytes *body;
  bool paused;
  bool is_operator; /* may use all resources */
  bool local; /* a loopback caller without a token, taken as an operator */
  char token_sha256[GR_SHA256_HEX_BYTES]; /* "": none was sent */
};

/* Reads the caller's identity. Kinds bad-request and unauthenticated. */
struct gr_exchange *gr_exchange_create (struct gr_entry *entry,
                                        SoupServerMessage *message,
                                        const char *path,
                                        GHashTable *query);

/* Each of these answers and frees the exchange. Objects are consumed. */
void gr_exchange_json (struct gr_exchange *exchange,
                       guint status,
                       JsonObject *object);
void gr_exchange_bytes (struct gr_exchange *exchange,
                        guint status,
                        const char *content_type,
                        GBytes *body);
void gr_exchange_fail (struct gr_exchange *exchange,
                       const struct gr_error *error);
void gr_exchange_fail_with (struct gr_exchange *exchange,
                            const struct gr_error *error,
                            JsonObject *extra);

/* The answer will come later. */
void gr_exchange_pause (struct gr_exchange *exchange);

/* Header or query parameter; NULL if missing. Text that is not UTF-8 counts as
 * missing. */
const char *gr_exchange_header (struct gr_exchange *exchange, const char *name);
const char *gr_exchange_query (struct gr_exchange *exchange, const char *name);

/* Reads "limit"; false with bad-request if it is not a number from 1 to
 * 1000. */
bool gr_exchange_limit (struct gr_exchange *exchange,
                        uint32_t *limit,
                        struct gr_error *error);

/* Whether the caller may act for the account. Kinds unknown-account,
 * unauthenticated and forbidden. */
bool gr_exchange_may (struct gr_exchange *exchange,
                      const char *account,
                      struct gr_error *error);

/* The same for resources of operators. */
bool gr_exchange_is_operator (struct gr_exchange *exchange,
                              struct gr_error *error);

/* Answers a list: items after "after", at most "limit", with "next". names
 * holds the key of each item, in sorted order. Both are consumed. missing:
 * names of shards that did not answer, or NULL; consumed. */
void gr_exchange_list (struct gr_exchange *exchange,
                       GPtrArray *names,
                       JsonArray *items,
                       JsonArray *missing);
