/* Marks: one durable key per non-idempotent request, written to the
 * key-value service before the first byte of the request is sent. The store
 * guarantees that a mark is created only once, even if a repeated request
 * reaches another entry. Marks that arrive within one commit interval are
 * written in one transaction. Every mark is attached to a store lease of 25
 * hours; one lease is used for the marks of one hour, so each mark lasts at
 * least a day. */
#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "kv/kv.h"

/* Maximum number of operations in one transaction. */
#define GR_MARKS_MAX_BATCH 64

/* Maximum number of queued operations; further marks are refused. */
#define GR_MARKS_MAX_QUEUED 8192

struct gr_marks;
struct gr_mark;

/* writer must be unique among all starts of all entries. interval_ms is the
 * commit interval; timeout_ms limits each call to the store. kv and clock
 * must outlive the marks. */
struct gr_marks *gr_marks_create (struct gr_kv *kv,
                                  const struct gr_clock *clock,
                                  const char *writer,
                                  uint32_t interval_ms,
                                  uint32_t timeout_ms);

/* Ends marks that are not yet written with kind cancelled. Must be called
 * before gr_kv_destroy (). marks may be NULL. */
void gr_marks_destroy (struct gr_marks *marks);
void gr_marks_set_interval (struct gr_marks *marks, uint32_t interval_ms);

/* Writes the mark of a request. done is called exactly once, never from within
 * this call, unless gr_mark_abandon () is called first. If error is NULL, the
 * mark is durable, and the caller must end it with gr_mark_remove (),
 * gr_mark_finish () or gr_mark_keep (). Otherwise the mark has been freed, and
 * error has one of these kinds: duplicate if the key already has a mark with an
 * outcome, may-have-run if it has a mark without one, store-unavailable if the
 * mark was not written, cancelled if this process is shutting down. A lost
 * response from the store is not an error: the mark is read back until its
 * state is known.
 *
 * Returns NULL and does not call done if too many operations are queued or
 * an earlier mark of the key is being removed (kind store-unavailable), or
 * if a request with this key is in progress in this process (kind
 * may-have-run). */
struct gr_mark *gr_mark_write (struct gr_marks *marks,
                               const char *account,
                               const char *key,
                               void (*done) (const struct gr_error *error,
                                             void *context),
                               void *context,
                               struct gr_error *error);

/* Abandons the write of a mark whose done has not been called yet; done will
 * not be called. The mark is removed from the store if it was written. */
void gr_mark_abandon (struct gr_mark *mark);

/* Removes the mark of a request that was not run. */
void gr_mark_remove (struct gr_mark *mark);

/* Records the outcome, a single word, of a request that has ended. */
void gr_mark_finish (struct gr_mark *mark, const char *outcome);

/* Leaves the mark without an outcome in the store, because the outcome of
 * the request is unknown, and frees the handle. */
void gr_mark_keep (struct gr_mark *mark);

/* Returns the number of queued operations plus the number of transactions in
 * flight. */
uint32_t gr_marks_pending (const struct gr_marks *marks);
