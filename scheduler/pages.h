/* Job records of a shard as they stand, or will stand, in the store: 16 pages
 * by hash of the job id. Pure tables. */
#pragma once

#include "rpc/job-codec.h"

#include <glib.h>

#define GR_PAGES 16

/* Values of the store are at most 1 MB. Sizes count before compression, whose
 * gain is not certain. The reserve below the limit covers the difference
 * between estimated and real sizes of placements. */
#define GR_PAGE_MAX_BYTES 1000000
#define GR_PAGE_RESERVE_BYTES 960000

struct gr_pages;

/* A record that a written page holds. */
struct gr_page_change
{
  char job[GR_ID_MAX];
  uint64_t version;
  enum gr_job_state state;
  bool new_state;     /* the durable record has another state */
  bool first;         /* no record of the job was durable before */
  bool cancel_or_end; /* the record says that its end is asked for, or came */
};

struct gr_pages *gr_pages_create (void);
void gr_pages_destroy (struct gr_pages *pages);

uint32_t gr_page_of_job (const char *job);

/* Whether the page of the job has room for a job of this shape and spec, with
 * its placements, when every job on the page that has not ended is placed. */
bool gr_pages_have_room (const struct gr_pages *pages,
                         const char *job,
                         const struct gr_job_spec *spec);

/* Puts a record in its page, which is dirty then, unless the same or a later
 * version is there. Placements of ended jobs are left out. Returns whether the
 * page changed. */
bool gr_pages_put (struct gr_pages *pages, const struct gr_job_record *record);

/* Takes the records out for which keep is false; a page is written without them
 * at its next change. */
void gr_pages_prune (struct gr_pages *pages,
                     bool (*keep) (const char *job, void *context),
                     void *context);

bool gr_pages_is_dirty (const struct gr_pages *pages, uint32_t page);

/* Size of a page before compression. */
size_t gr_pages_bytes (const struct gr_pages *pages, uint32_t page);

/* Bytes reserved on the fullest page, of GR_PAGE_RESERVE_BYTES. */
size_t gr_pages_fullest_bytes (const struct gr_pages *pages);

/* The bytes of a page, compressed; it is no longer dirty. Appends a struct
 * gr_page_change to changes for each record that is not durable. */
GBytes *gr_pages_take (struct gr_pages *pages, uint32_t page, GArray *changes);

/* The changes are in the store. */
void gr_pages_durable (struct gr_pages *pages,
                       const struct gr_page_change *changes,
                       uint32_t count);

/* Version that is in the store; 0: none. */
uint64_t gr_pages_durable_version (const struct gr_pages *pages,
                                   const char *job);

/* Whether the store holds the request to cancel the job, or its end. */
bool gr_pages_end_is_durable (const struct gr_pages *pages, const char *job);

/* Reads a page from the store; visit gets each record. A record that cannot be
 * read is kept as it is and counted in *unreadable. False with kind protocol
 * if the page as a whole cannot be read. */
bool gr_pages_load (struct gr_pages *pages,
                    uint32_t page,
                    const void *bytes,
                    size_t size,
                    void (*visit) (const struct gr_job_record *record,
                                   void *context),
                    void *context,
                    uint32_t *unreadable,
                    struct gr_error *error);
