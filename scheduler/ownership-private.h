/* Internals of struct gr_ownership, shared by ownership.c and acquire.c. */
#pragma once

#include "scheduler/ownership.h"

#include <glib.h>

struct gr_ownership
{
  struct gr_kv *kv;
  const struct gr_clock *clock;
  struct gr_ownership_config config;
  struct gr_ownership_events events;
  void *context;
  char *owner_key;
  char *commit_key;
  enum gr_ownership_state state;
  int calls_in_flight; /* calls in flight keep the struct alive */
  bool destroyed;
  uint32_t consecutive_failures; /* since the last response; 2 and more: the
                                    store counts as down */
  bool attempt_in_flight;        /* a call of acquire.c is in flight */
  bool polling;                  /* a read of the owner key is in flight */
  guint poll_timer;
  guint renew_timer;
  guint retry_timer;
  int64_t owner_absent_since_ms; /* -1: not found absent */
  int64_t not_before_ms;
  int64_t lease;
  int64_t term_ms;            /* term of the lease */
  int64_t renewed_lease;      /* lease of the renewal in flight */
  int64_t lease_requested_ms; /* when the grant or the last renewal was sent */
  uint64_t epoch;
  int64_t commit_revision; /* condition of a reclaim; -1: no condition */
  int64_t last_renewal_ms; /* when the grant or the last completed renewal was
                              sent */
};

int64_t gr_own_now_ms (const struct gr_ownership *own);
void gr_own_stop_timer (guint *timer);

/* To be called first by each response handler. Returns false if the struct was
 * destroyed while the call was in flight; it must not be used then. */
bool gr_own_call_ended (struct gr_ownership *own);

/* Updates whether the store counts as up. error is NULL if the store
 * responded. */
void gr_own_record_store_result (struct gr_ownership *own,
                                 const struct gr_error *error);

const struct gr_kv_entry *
gr_own_first_entry (const struct gr_kv_result *result);

/* Whether the owner key was written by the current attempt or ownership of
 * this process. */
bool gr_own_wrote_entry (const struct gr_ownership *own,
                         const struct gr_kv_entry *entry);

/* Returns to state waiting; emits lost if this instance was the owner. */
void gr_own_lose (struct gr_ownership *own, const char *reason);

int64_t gr_own_renew_interval_ms (const struct gr_ownership *own);
void gr_own_schedule_renewal (struct gr_ownership *own, int64_t delay_ms);

/* acquire.c: grants a lease and creates the owner key. The state must be
 * acquiring or reclaiming. */
void gr_own_acquire (struct gr_ownership *own);

/* acquire.c: the store lease of the owner has expired. Checks the commit key
 * and creates the owner key again. */
void gr_own_reclaim (struct gr_ownership *own);
