/* Tombstones: which ids were cancelled although the store held no job of that
 * id. A submission of such a job may still be on its way, and may be carried
 * out at any later time. The ids are spread over a fixed number of records, and
 * each submission requires that the record of its id has not changed since it
 * was read: a cancellation changes the record, so that no submission that was
 * sent before it can take effect after it. See docs/design/cancellation.md. */
#pragma once

#include "platform/metastore.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Number of records. */
#define GR_TOMBSTONE_RECORDS 64

/* Ids that a record keeps. While it keeps an id, submissions of it are
 * rejected. */
#define GR_TOMBSTONE_IDS 32

struct gr_tombstones;

struct gr_tombstones *gr_tombstones_create (void);
void gr_tombstones_destroy (struct gr_tombstones *tombstones);

/* Applies a record that was read or written. Earlier revisions, and keys of
 * other records, are ignored. */
void gr_tombstones_apply (struct gr_tombstones *tombstones,
                          const struct gr_metastore_item *item);

/* Number of ids that were ever added to the record of job_id, as known. */
uint64_t gr_tombstones_count (const struct gr_tombstones *tombstones,
                              const char *job_id);

enum gr_tombstone_state
{
  GR_TOMBSTONE_ABSENT, /* the id was not cancelled since the count */
  GR_TOMBSTONE_PRESENT,
  GR_TOMBSTONE_UNKNOWN, /* so many ids were added that it may be forgotten */
};

/* Looks job_id up in its record. since is the count when the caller began. */
enum gr_tombstone_state gr_tombstones_find (
    const struct gr_tombstones *tombstones, const char *job_id, uint64_t since);

/* Adds the condition that the record of job_id has not changed. */
void gr_tombstones_expect (const struct gr_tombstones *tombstones,
                           const char *job_id,
                           struct gr_metastore_txn *txn);

/* Adds the same condition, and the write that adds job_id to the record as its
 * newest id. */
void gr_tombstones_add (const struct gr_tombstones *tombstones,
                        const char *job_id,
                        struct gr_metastore_txn *txn);
