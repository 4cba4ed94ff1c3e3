/* Journal of one shard: makes job records durable. All changes of one commit
 * interval go into one transaction of the key-value service: the changed pages
 * and the commit key, on condition that the owner key was created at this
 * owner's epoch and that the commit key is the one this owner has seen last.
 * The second condition makes a request that arrives late, after it was sent
 * once more, harmless. Everything runs on the default GMainContext. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "kv/kv.h"
#include "sched/job.h"

struct gr_journal;

/* Page bytes of one transaction; a single page may be larger. */
#define GR_JOURNAL_MAX_TXN_BYTES 1000000

/* Lost answers in a row after which the store counts as down. A call that could
 * not be made at all counts as many. */
#define GR_JOURNAL_DOWN_FAILURES 2

struct gr_journal_config
{
  char *shard;
  char *writer; /* incarnation of this process */
  uint64_t epoch;
  uint32_t interval_ms; /* of the group commit; 20 */
  uint32_t call_timeout_ms;
};

struct gr_journal_events
{
  /* The record of the job with this version is durable. new_state: the record
   * that was durable before had another state. first: there was none. */
  void (*committed) (const char *job,
                     uint64_t version,
                     enum gr_job_state state,
                     bool new_state,
                     bool first,
                     void *context);

  /* A commit failed on the compare with the owner key; owner is that key now,
   * or NULL if it is absent. Nothing was written. No commit is sent until
   * gr_journal_set_epoch (). */
  void (*contested) (const struct gr_kv_entry *owner, void *context);

  /* The store answered, or counts as down. */
  void (*store) (bool up, void *context);
};

/* Strings of config are copied; kv, clock and counters are not owned. */
struct gr_journal *gr_journal_create (struct gr_kv *kv,
                                      const struct gr_clock *clock,
                                      struct gr_counters *counters,
                                      const struct gr_journal_config *config,
                                      const struct gr_journal_events *events,
                                      void *context);
void gr_journal_destroy (struct gr_journal *journal);

/* Reads the commit key and all pages. visit gets each record; then done is
 * called once, with error NULL on success. */
void gr_journal_load (struct gr_journal *journal,
                      void (*visit) (const struct gr_job_record *record,
                                     void *context),
                      void (*done) (const struct gr_error *error,
                                    void *context));

/* Takes a changed record over for the next commit. */
void gr_journal_put (struct gr_journal *journal,
                     const struct gr_job_record *record);

/* Leaves out records for which keep is false from now on. */
void gr_journal_prune (struct gr_journal *journal,
                       bool (*keep) (const char *job, void *context),
                       void *context);

/* False with kind overloaded if a page of the store could become too large. */
bool gr_journal_have_room (const struct gr_journal *journal,
                           const char *job,
                           const struct gr_job_spec *spec,
                           struct gr_error *error);
size_t gr_journal_fullest_page_bytes (const struct gr_journal *journal);

/* Whether writes can be expected to succeed. */
bool gr_journal_store_is_up (const struct gr_journal *journal);

/* Nothing is waiting to be written, and no write is in flight. */
bool gr_journal_is_idle (const struct gr_journal *journal);

/* Version that is in the store; 0: none. */
uint64_t gr_journal_durable_version (const struct gr_journal *journal,
                                     const char *job);

/* Whether the store holds the request to cancel the job, or its end. */
bool gr_journal_end_is_durable (const struct gr_journal *journal,
                                const char *job);

/* Whether the job is in a write that was sent and whose outcome is not known:
 * the store may or may not hold what has not been reported as durable. */
bool gr_journal_is_in_flight (const struct gr_journal *journal,
                              const char *job);

/* Whether the commit key is as this journal left it: what it has seen last, or
 * the write whose outcome is not known. entry is NULL if there is no key. */
bool gr_journal_commit_unchanged (const struct gr_journal *journal,
                                  const struct gr_kv_entry *entry);

void gr_journal_set_interval (struct gr_journal *journal, uint32_t interval_ms);

/* The owner key was created again; commits go on. */
void gr_journal_set_epoch (struct gr_journal *journal, uint64_t epoch);
