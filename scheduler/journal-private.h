/* Internals of struct gr_journal, shared by journal.c and recovery.c. */
#pragma once

#include "scheduler/journal.h"
#include "scheduler/pages.h"

/* One write transaction. It is resent unchanged until its outcome is known. */
struct gr_journal_write
{
  uint64_t sequence;
  uint64_t epoch;          /* epoch in the condition of the last attempt */
  GBytes *pages[GR_PAGES]; /* NULL: page is not written */
  GArray *changes;         /* struct gr_page_change */
  bool in_flight;          /* request sent, no response yet */
  bool outcome_unknown;    /* a response to this write was lost */
  int64_t first_sent_ms;
};

struct gr_journal
{
  struct gr_kv *kv;
  const struct gr_clock *clock;
  struct gr_journal_config config;
  struct gr_journal_events events;
  void *context;
  char *owner_key;
  char *commit_key;
  struct gr_pages *pages;
  uint64_t sequence;       /* sequence number of the last write */
  int64_t commit_revision; /* mod revision of the commit key; 0: absent */
  struct gr_journal_write *write; /* NULL: no write pending */
  bool request_in_flight;         /* a write or a read-back is in flight */
  uint32_t consecutive_failures;  /* since the last response */
  bool suspended;
  int calls_in_flight; /* calls in flight keep the struct alive */
  bool destroyed;
  guint timer;
  uint32_t retry_ms;
  uint32_t load_page;
  uint32_t load_retries;
  uint32_t unreadable_records;
  void (*visit) (const struct gr_job_record *record, void *context);
  void (*loaded) (const struct gr_error *error, void *context);
  struct gr_counter *commits;
  struct gr_counter *read_backs;
  struct gr_counter *bytes;
  struct gr_histogram *latency;
};

/* To be called first by each response handler. Returns false if the journal
 * was destroyed while the call was in flight; it must not be used then. */
bool gr_journal_call_ended (struct gr_journal *journal);

/* Updates whether the store counts as up. error is NULL if the store
 * responded. */
void gr_journal_record_store_result (struct gr_journal *journal,
                                     const struct gr_error *error);
