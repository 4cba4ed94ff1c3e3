/* Journal of one shard: makes job records durable. All changes of one commit
 * interval are written in one transaction of the key-value service, which
 * contains the changed pages and the commit key. Its conditions are that the
 * owner key was created at this owner's epoch and that the commit key is
 * unchanged since this owner last read or wrote it. Because of the second
 * condition, a request that arrives late, after it has been resent, has no
 * effect. Everything runs on the default GMainContext. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "kv/kv.h"
#include "sched/job.h"

struct gr_journal;

/* Limit for the page bytes of one transaction, before compression. A page that
 * is larger than this is written alone. */
#define GR_JOURNAL_MAX_TXN_BYTES 1000000

/* The store counts as down after this many lost responses in a row. A call
 * that could not be sent at all counts as this many. */
#define GR_JOURNAL_DOWN_FAILURES 2

struct gr_journal_config
{
  char *shard;
  char *writer; /* incarnation of this process */
  uint64_t epoch;
  uint32_t interval_ms; /* group commit interval; settings default: 20 */
  uint32_t call_timeout_ms;
};

struct gr_journal_events
{
  /* This version of the record of the job is durable. new_state: the state
   * differs from that of the record that was durable before. first: no record
   * of the job was durable before. */
  void (*committed) (const char *job,
                     uint64_t version,
                     enum gr_job_state state,
                     bool new_state,
                     bool first,
                     void *context);

  /* A commit failed its compare: it wrote nothing, and no commits are sent
   * until gr_journal_set_epoch () is called. owner is the current owner key.
   * It is NULL if the key is absent, or if this owner still holds it but
   * another process has changed the commit key. */
  void (*owner_conflict) (const struct gr_kv_entry *owner, void *context);

  /* up: the store responded. Otherwise it counts as down. */
  void (*store) (bool up, void *context);
};

/* Strings of config are copied; kv, clock and counters are not owned and must
 * outlive the journal. */
struct gr_journal *gr_journal_create (struct gr_kv *kv,
                                      const struct gr_clock *clock,
                                      struct gr_counters *counters,
                                      const struct gr_journal_config *config,
                                      const struct gr_journal_events *events,
                                      void *context);
void gr_journal_destroy (struct gr_journal *journal);

/* Reads the commit key and all pages. visit is called for each record, then
 * done is called once; its error is NULL on success. */
void gr_journal_load (struct gr_journal *journal,
                      void (*visit) (const struct gr_job_record *record,
                                     void *context),
                      void (*done) (const struct gr_error *error,
                                    void *context));

/* Copies a changed record into the next commit. A version that is not newer
 * than the last one is ignored. */
void gr_journal_put (struct gr_journal *journal,
                     const struct gr_job_record *record);

/* Drops the records for which keep returns false. The store holds them until
 * their page is written again. */
void gr_journal_prune (struct gr_journal *journal,
                       bool (*keep) (const char *job, void *context),
                       void *context);

/* Returns false and sets error (kind overloaded) if a page could exceed the
 * size limit of the store with this job. */
bool gr_journal_has_capacity (const struct gr_journal *journal,
                              const char *job,
                              const struct gr_job_spec *spec,
                              struct gr_error *error);
size_t gr_journal_fullest_page_bytes (const struct gr_journal *journal);

/* Whether writes are expected to succeed: the store does not count as down. */
bool gr_journal_store_is_up (const struct gr_journal *journal);

/* Whether no changes are pending and no write is in flight. */
bool gr_journal_is_idle (const struct gr_journal *journal);

/* Version of the record that is durable; 0: none. */
uint64_t gr_journal_durable_version (const struct gr_journal *journal,
                                     const char *job);

/* Whether a cancellation request for the job, or its final state, is durable.
 */
bool gr_journal_cancel_or_end_is_durable (const struct gr_journal *journal,
                                          const char *job);

/* Whether the job is part of a write that was sent and whose outcome is
 * unknown: the store may already hold a record that has not been reported as
 * durable. */
bool gr_journal_is_in_flight (const struct gr_journal *journal,
                              const char *job);

/* Whether the commit key was last written by this journal: it is at the last
 * known revision, or it holds the pending write whose outcome is unknown.
 * entry is NULL if the key is absent. */
bool gr_journal_commit_unchanged (const struct gr_journal *journal,
                                  const struct gr_kv_entry *entry);

void gr_journal_set_interval (struct gr_journal *journal, uint32_t interval_ms);

/* The owner key was created again with this epoch. Resumes commits. */
void gr_journal_set_epoch (struct gr_journal *journal, uint64_t epoch);
