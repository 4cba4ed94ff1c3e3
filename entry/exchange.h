/* One HTTP request to this entry, and its response. */
#pragma once

#include "entry/internal.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

struct gr_exchange
{
  struct gr_entry *entry;
  SoupServerMessage *message;
  char *path;
  const char *path_suffix; /* part of path after the prefix of the route */
  GHashTable *query;
  GBytes *body;
  bool paused;
  bool is_operator; /* may access all resources */

  /* The client sent no token from a loopback address, and no operator token is
   * configured. Such a client is treated as an operator. */
  bool local;

  char token_sha256[GR_SHA256_HEX_BYTES]; /* "" if the client sent no token */
};

/* Creates the exchange and reads the client's identity from the header
 * Authorization. Does not check access; see the gr_exchange_authorize
 * functions. Freed by the functions that send the response. */
struct gr_exchange *gr_exchange_create (struct gr_entry *entry,
                                        SoupServerMessage *message,
                                        const char *path,
                                        GHashTable *query);

/* Each of these functions sends the response and frees the exchange. They
 * take ownership of object, body and extra. The fail functions send an
 * application/problem+json object; extra (may be NULL) supplies additional
 * members. */
void gr_exchange_send_json (struct gr_exchange *exchange,
                            guint status,
                            JsonObject *object);
void gr_exchange_send_bytes (struct gr_exchange *exchange,
                             guint status,
                             const char *content_type,
                             GBytes *body);
void gr_exchange_fail (struct gr_exchange *exchange,
                       const struct gr_error *error);
void gr_exchange_fail_with (struct gr_exchange *exchange,
                            const struct gr_error *error,
                            JsonObject *extra);

/* Defers the response until one of the functions above is called. Further
 * calls have no effect. */
void gr_exchange_pause (struct gr_exchange *exchange);

/* Returns a header or query parameter, owned by the exchange; NULL if it is
 * missing or not valid UTF-8. */
const char *gr_exchange_header (struct gr_exchange *exchange, const char *name);
const char *gr_exchange_query (struct gr_exchange *exchange, const char *name);

/* Reads the page size from the query parameter "limit"; the default is 100.
 * Returns false with kind bad-request if it is not a number from 1 to 1000. */
bool gr_exchange_page_limit (struct gr_exchange *exchange,
                             uint32_t *limit,
                             struct gr_error *error);

/* Returns true if the client may act for the account: an operator, or the
 * holder of the account's token. Otherwise sets error to one of the kinds
 * unauthenticated and forbidden. */
bool gr_exchange_authorize_account (struct gr_exchange *exchange,
                                    const char *account,
                                    struct gr_error *error);

/* Returns true if the client is an operator. Otherwise sets error to one of
 * the kinds unauthenticated and forbidden. */
bool gr_exchange_authorize_operator (struct gr_exchange *exchange,
                                     struct gr_error *error);

/* Sends one page of a list: the items whose name is greater than the query
 * parameter "after", at most "limit" of them, and "next" if more follow.
 * Responds with bad-request if "limit" is invalid. names holds the key of
 * each item in sorted order; missing holds the names of the shards that did
 * not reply, or is NULL. Takes ownership of names, items and missing, and
 * frees the exchange. */
void gr_exchange_send_list (struct gr_exchange *exchange,
                            GPtrArray *names,
                            JsonArray *items,
                            JsonArray *missing);
