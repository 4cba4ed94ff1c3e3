/* Parts of struct gr_ownership that ownership.c and acquire.c share. */
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
  int calls; /* in flight; they keep the struct alive */
  bool destroyed;
  uint32_t failures; /* of calls to the store; 2 and more: it is down */
  bool polling;      /* a read of the owner key is in flight */
  guint poll_timer;
  guint renew_timer;
  guint retry_timer;
  int64_t absent_since_ms; /* -1: the owner key was there */
  int64_t not_before_ms;
  int64_t lease;
  int64_t term_ms;        /* of the lease */
  int64_t renewed_lease;  /* of the renewal in flight */
  int64_t lease_asked_ms; /* start of the grant, or of the last renewal */
  uint64_t epoch;
  int64_t commit_revision; /* condition of a reclaim; -1: none */
  int64_t heard_ms;        /* start of the last renewal that has ended */
};

int64_t gr_own_now_ms (const struct gr_ownership *own);
void gr_own_stop_timer (guint *timer);

/* Ends a call: false if the struct was destroyed meanwhile. */
bool gr_own_call_ended (struct gr_ownership *own);

/* error is NULL if the store answered. */
void gr_own_note_store (struct gr_ownership *own, const struct gr_error *error);

const struct gr_kv_entry *
gr_own_first_entry (const struct gr_kv_result *result);

/* Whether the owner key is that of the present attempt or ownership. */
bool gr_own_is_own (const struct gr_ownership *own,
                    const struct gr_kv_entry *entry);

/* Back to waiting; the event lost follows if this instance was owner. */
void gr_own_lose (struct gr_ownership *own, const char *reason);

int64_t gr_own_renew_interval_ms (const struct gr_ownership *own);
void gr_own_schedule_renewal (struct gr_ownership *own, int64_t delay_ms);

/* acquire.c: grants a lease and creates the owner key in state acquiring or
 * reclaiming. */
void gr_own_acquire (struct gr_ownership *own);

/* acquire.c: the store lease of the owner is gone. */
void gr_own_reclaim (struct gr_ownership *own);
