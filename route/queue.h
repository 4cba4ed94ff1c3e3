/* Bounded queue of requests that wait for a slot: by priority, then by the
 * latest time at which they can start and still meet their deadline. */
#pragma once

#include "common/error.h"
#include "settings/account.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gr_queue;

struct gr_queue *gr_queue_create (uint32_t max_items);
void gr_queue_destroy (struct gr_queue *queue);
void gr_queue_set_max (struct gr_queue *queue, uint32_t max_items);

/* Adds an item. latest_start_ms: the deadline less the expected run time.
 * Returns the item that had to make room, of the lowest priority and with the
 * most time left: NULL, another one, or item itself if nothing that waits is
 * less urgent. The caller refuses what is returned. */
void *gr_queue_add (struct gr_queue *queue,
                    enum gr_priority priority,
                    bool is_long,
                    int64_t latest_start_ms,
                    void *item);

/* Takes the first item out. Without allow_long, items of long kinds stay and
 * do not hold the short ones back; likewise without allow_short. NULL if there
 * is none. */
void *gr_queue_take (struct gr_queue *queue, bool allow_short, bool allow_long);

/* Takes an item out that can no longer meet its deadline, or NULL. */
void *gr_queue_take_expired (struct gr_queue *queue, int64_t now_ms);

/* Takes a given item out; false if it does not wait. */
bool gr_queue_remove (struct gr_queue *queue, void *item);

uint32_t gr_queue_length (const struct gr_queue *queue);

/* Items that would go before a new one of that class and latest start. */
uint32_t gr_queue_ahead (const struct gr_queue *queue,
                         enum gr_priority priority,
                         bool is_long,
                         int64_t latest_start_ms);
