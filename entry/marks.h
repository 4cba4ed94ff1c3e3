/* Marks: one durable key for each non-idempotent request, written before the
 * first byte of it is sent. The store itself makes a mark unique, whichever
 * entry a repeated request reaches. Marks of one commit interval go in one
 * transaction. All marks are under a store lease of a day and an hour, shared
 * by those of one hour. */
#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "kv/kv.h"

/* Operations in one transaction. */
#define GR_MARKS_MAX_BATCH 64

/* Operations that wait; more are refused. */
#define GR_MARKS_MAX_WAITING 8192

struct gr_marks;
struct gr_mark;

/* writer: unique among all starts of all entries. */
struct gr_marks *gr_marks_create (struct gr_kv *kv,
                                  const struct gr_clock *clock,
                                  const char *writer,
                                  uint32_t interval_ms,
                                  uint32_t timeout_ms);

/* Marks that wait are answered with kind cancelled. Must be called before
 * gr_kv_destroy (). */
void gr_marks_destroy (struct gr_marks *marks);
void gr_marks_set_interval (struct gr_marks *marks, uint32_t interval_ms);

/* Writes the mark of a request. done is called exactly once, never from inside
 * the call, unless gr_mark_abandon () comes first. error is NULL when the mark
 * is durable; then one of the three functions below must follow. Otherwise the
 * mark is gone: duplicate if the key has a mark with an outcome, may-have-run
 * if it has one without; store-unavailable if it was not written. The answer
 * of the store being lost is not an error: the mark is read back until it is
 * known. NULL is returned and done is not called if too many wait or the key is
 * being marked by this process already; see error. */
struct gr_mark *gr_mark_write (struct gr_marks *marks,
                               const char *account,
                               const char *key,
                               void (*done) (const struct gr_error *error,
                                             void *context),
                               void *context,
                               struct gr_error *error);

/* The request gave up before done. The mark is removed if it was written. */
void gr_mark_abandon (struct gr_mark *mark);

/* The request was not run: the mark is removed. */
void gr_mark_remove (struct gr_mark *mark);

/* The request has ended: writes the outcome, a word. */
void gr_mark_finish (struct gr_mark *mark, const char *outcome);

/* The outcome is not known: the mark stays as it is. */
void gr_mark_keep (struct gr_mark *mark);

/* Operations that wait or are in flight. */
uint32_t gr_marks_waiting (const struct gr_marks *marks);
