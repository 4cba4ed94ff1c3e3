/* What this entry sees of members and targets: events, executors in the table,
 * status reports of idle executors. */
#pragma once

#include "entry/internal.h"

void gr_watch_start (struct gr_entry *entry);
void gr_watch_stop (struct gr_entry *entry);

/* Takes targets and members over after the list or a heartbeat has changed. */
void gr_watch_update (struct gr_entry *entry);
