/* Bounded queue of requests that wait for a slot, ordered by priority, then by
 * the latest time when they can start and still meet their deadline. Short and
 * long kinds are queued separately. Items are not owned. */
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

/* Adds an item. latest_start_ms: the deadline minus the expected run time. If
 * the queue is full, the waiting item of the lowest priority with the latest
 * start time is evicted, provided that its priority is lower than that of the
 * new item; otherwise the new item is rejected. Returns the evicted item,
 * item itself if it was rejected, or NULL. The caller refuses the returned
 * request. */
void *gr_queue_add (struct gr_queue *queue,
                    enum gr_priority priority,
                    bool is_long,
                    int64_t latest_start_ms,
                    void *item);

/* Removes and returns the first item, or NULL if there is none. Without
 * allow_long, items of long kinds stay in the queue and do not block those of
 * short kinds; likewise without allow_short. */
void *gr_queue_pop (struct gr_queue *queue, bool allow_short, bool allow_long);

/* Removes and returns an item whose latest start time has passed, or NULL. */
void *gr_queue_pop_expired (struct gr_queue *queue, int64_t now_ms);

/* Removes the given item; returns false if it is not in the queue. */
bool gr_queue_remove (struct gr_queue *queue, void *item);

uint32_t gr_queue_length (const struct gr_queue *queue);

/* Returns the number of items that would be served before a new one of that
 * priority, of that class (short or long) and with that latest start time. Only
 * items of the same class are counted. */
uint32_t gr_queue_count_ahead (const struct gr_queue *queue,
                               enum gr_priority priority,
                               bool is_long,
                               int64_t latest_start_ms);
