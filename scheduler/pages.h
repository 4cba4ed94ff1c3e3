/* Job records of a shard as they are, or are about to be, in the store: 16
 * pages, selected by a hash of the job id. This module does no I/O. */
#pragma once

#include "rpc/job-codec.h"

#include <glib.h>

#define GR_PAGES 16

/* Values in the store are limited to 1 MB. Sizes are counted before
 * compression, because its ratio is not guaranteed. Jobs are accepted while at
 * most GR_PAGE_RESERVE_BYTES of their page are reserved; the rest covers the
 * difference between estimated and actual placement sizes. */
#define GR_PAGE_MAX_BYTES 1000000
#define GR_PAGE_RESERVE_BYTES 960000

struct gr_pages;

/* A record of a serialized page whose version is not durable yet. */
struct gr_page_change
{
  char job[GR_ID_MAX];
  uint64_t version;
  enum gr_job_state state;
  bool new_state;     /* the durable record has another state, or none exists */
  bool first;         /* no record of the job was durable before */
  bool cancel_or_end; /* a cancellation was requested, or the state is final */
};

struct gr_pages *gr_pages_create (void);
void gr_pages_destroy (struct gr_pages *pages);

uint32_t gr_page_of_job (const char *job);

/* Whether the page of the job has enough free space for a job with this spec,
 * including its placements, even if every unfinished job on the page gets its
 * placements. */
bool gr_pages_have_capacity (const struct gr_pages *pages,
                             const char *job,
                             const struct gr_job_spec *spec);

/* Copies a record into its page and marks the page dirty, unless the page
 * already holds the same or a later version. Placements of ended jobs are
 * omitted. Returns whether the page changed. */
bool gr_pages_put (struct gr_pages *pages, const struct gr_job_record *record);

/* Removes the records for which keep returns false. This does not mark a page
 * dirty: the store holds the records until the page is written again. */
void gr_pages_prune (struct gr_pages *pages,
                     bool (*keep) (const char *job, void *context),
                     void *context);

bool gr_pages_is_dirty (const struct gr_pages *pages, uint32_t page);

/* Size of a page in bytes, before compression. */
size_t gr_pages_bytes (const struct gr_pages *pages, uint32_t page);

/* Reserved bytes of the fullest page; compare with GR_PAGE_RESERVE_BYTES. */
size_t gr_pages_fullest_bytes (const struct gr_pages *pages);

/* Returns the compressed bytes of a page and clears its dirty flag. Appends a
 * struct gr_page_change to changes for each record whose current version is
 * not durable. The caller owns the result. */
GBytes *
gr_pages_serialize (struct gr_pages *pages, uint32_t page, GArray *changes);

/* Records that these changes have been written to the store. */
void gr_pages_mark_durable (struct gr_pages *pages,
                            const struct gr_page_change *changes,
                            uint32_t count);

/* Version of the record that is durable; 0: none. */
uint64_t gr_pages_durable_version (const struct gr_pages *pages,
                                   const char *job);

/* Whether a cancellation request for the job, or its final state, is durable.
 */
bool gr_pages_cancel_or_end_is_durable (const struct gr_pages *pages,
                                        const char *job);

/* Loads a page that was read from the store and calls visit for each record. A
 * record that cannot be decoded is kept unchanged and counted in *unreadable.
 * Returns false and sets error (kind protocol) if the page itself cannot be
 * decoded. */
bool gr_pages_load (struct gr_pages *pages,
                    uint32_t page,
                    const void *bytes,
                    size_t size,
                    void (*visit) (const struct gr_job_record *record,
                                   void *context),
                    void *context,
                    uint32_t *unreadable,
                    struct gr_error *error);
