/* Shared settings over HTTP: reading, and changes by compare-and-swap that are
 * accepted when a majority of the entries holds them. */
#pragma once

#include "entry/exchange.h"

/* GET /v1/settings?prefix= */
void gr_documents_list (struct gr_exchange *exchange);

/* GET /v1/settings/PATH */
void gr_documents_get (struct gr_exchange *exchange);

/* PUT and DELETE /v1/settings/PATH */
void gr_documents_put (struct gr_exchange *exchange);
void gr_documents_delete (struct gr_exchange *exchange);

/* GET /v1/settings-history/PATH */
void gr_documents_history (struct gr_exchange *exchange);

/* Whether the caller may use the path: operators any, a team its own. */
bool gr_documents_may (struct gr_exchange *exchange,
                       const char *path,
                       struct gr_error *error);
