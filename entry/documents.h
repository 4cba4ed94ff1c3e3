/* HTTP resources for settings documents. Changes use compare-and-swap and
 * are accepted once a majority of the entries holds them. Each handler takes
 * ownership of the exchange and sends exactly one response. */
#pragma once

#include "entry/exchange.h"

/* GET /v1/settings?prefix=PREFIX: lists the paths that the client may
 * access. */
void gr_documents_list (struct gr_exchange *exchange);

/* GET /v1/settings/PATH: responds with the document, and with its revision
 * as ETag. */
void gr_documents_get (struct gr_exchange *exchange);

/* PUT and DELETE /v1/settings/PATH; both require the header If-Match. */
void gr_documents_put (struct gr_exchange *exchange);
void gr_documents_delete (struct gr_exchange *exchange);

/* GET /v1/settings-history/PATH: lists the stored versions, newest first. */
void gr_documents_history (struct gr_exchange *exchange);

/* Returns true if the client may access the path: operators may access every
 * path, an account only teams/ACCOUNT. Otherwise sets error to one of the
 * kinds unauthenticated and forbidden. */
bool gr_documents_authorize (struct gr_exchange *exchange,
                             const char *path,
                             struct gr_error *error);
