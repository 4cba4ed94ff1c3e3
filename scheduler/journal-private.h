/* Parts of struct gr_journal that journal.c and recovery.c share. */
#pragma once

#include "scheduler/journal.h"
#include "scheduler/pages.h"

/* One write. It is sent again, unchanged, until its outcome is known. */
struct gr_write
{
  uint64_t sequence;
  uint64_t epoch;          /* of the condition of the last attempt */
  GBytes *pages[GR_PAGES]; /* NULL: not part of it */
  GArray *changes;         /* struct gr_page_change */
  bool waiting;            /* sent, no answer yet */
  bool unknown;            /* an answer of it was lost */
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
  uint64_t sequence;       /* of the last write */
  int64_t commit_revision; /* mod revision of the commit key; 0: absent */
  struct gr_write *write;  /* NULL: none in flight */
  bool busy;               /* a write or a read-back is in flight */
  uint32_t failures;       /* since the last answer */
  bool contested;
  int calls; /* in flight; they keep the struct alive */
  bool destroyed;
  guint timer;
  uint32_t retry_ms;
  uint32_t load_page;
  uint32_t load_retries;
  uint32_t unreadable;
  void (*visit) (const struct gr_job_record *record, void *context);
  void (*loaded) (const struct gr_error *error, void *context);
  struct gr_counter *commits;
  struct gr_counter *read_backs;
  struct gr_counter *bytes;
  struct gr_histogram *latency;
};

/* Ends a call: false if the journal was destroyed meanwhile. */
bool gr_journal_call_ended (struct gr_journal *journal);

/* error is NULL if the store answered. */
void gr_journal_note_store (struct gr_journal *journal,
                            const struct gr_error *error);
