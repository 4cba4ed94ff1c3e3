/* One change of a settings document: compare-and-swap in the store, then push
 * to all members until a majority of the entries holds it. */
#pragma once

#include "entry/exchange.h"

/* Answers the exchange later. text "" deletes the path. expected: modification
 * revision that the key must have, 0 for none. */
void gr_publish_begin (struct gr_exchange *exchange,
                       const char *path,
                       const char *text,
                       int64_t expected);

/* Ends all changes in work without an answer, for the end of the process. */
void gr_publish_end_all (struct gr_entry *entry);
