/* Tracks members and targets: logs their state changes, updates the executor
 * table and polls the status of idle executors. */
#pragma once

#include "entry/internal.h"

void gr_watch_start (struct gr_entry *entry);
void gr_watch_stop (struct gr_entry *entry);

/* Applies the current members and targets to the executor table; call it
 * after the instance list or a heartbeat has changed them. */
void gr_watch_update (struct gr_entry *entry);
