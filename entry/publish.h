/* Changes one settings document: compare-and-swap in the store, then a push
 * to all members until a majority of the entries holds the document. */
#pragma once

#include "entry/exchange.h"

/* Starts the change; takes ownership of the exchange and responds to it
 * later. An empty text deletes the path. expected is the modification
 * revision that the key must have, 0 if the key must not exist. */
void gr_publish_begin (struct gr_exchange *exchange,
                       const char *path,
                       const char *text,
                       int64_t expected);

/* Cancels all changes in progress while the process shuts down; those not
 * yet answered fail with kind unconfirmed. */
void gr_publish_cancel_all (struct gr_entry *entry);
