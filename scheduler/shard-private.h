/* Internals of struct gr_shard, shared by shard.c, shard-jobs.c and
 * shard-status.c. */
#pragma once

#include "scheduler/journal.h"
#include "scheduler/shard.h"
#include "scheduler/worker-io.h"

enum gr_shard_phase
{
  GR_SHARD_RECOVERING,
  GR_SHARD_ACTIVE,
  GR_SHARD_QUIESCING, /* waiting for pending starts and stops */
  GR_SHARD_FLUSHING,  /* waiting until the journal is written */
  GR_SHARD_STOPPED,
};

/* Result of a command that arrived while commands were being dispatched. */
struct gr_command_result
{
  enum gr_command_kind command;
  char id[GR_ID_MAX];
  enum gr_error_kind kind;
};

struct gr_shard
{
  struct gr_shard_env env;
  char name[GR_NAME_MAX];
  struct gr_ownership *ownership;
  struct gr_platform_settings platform;
  struct gr_shard_events events;
  void *context;
  enum gr_shard_phase phase;
  int64_t phase_since_ms;
  GRand *rand;
  struct gr_core *core;
  struct gr_journal *journal;
  struct gr_worker_io *workers;
  GArray *commands;
  bool dispatching;
  GArray *results;     /* struct gr_command_result; queued while dispatching */
  GHashTable *waiters; /* job id to GSList of struct waiter */
  GHashTable *impossible_guarantees; /* accounts whose impossible guarantees
                                        were logged */
  GHashTable *quarantined_workers;
  guint tick_timer;
  int64_t tick_at_ms;
  guint periodic_timer;
  int64_t last_prune_ms;
  struct gr_counter *ticks;
  struct gr_histogram *tick_time;
};

/* Schedules a tick in at most delay_ms. */
void gr_shard_tick_within (struct gr_shard *shard, int64_t delay_ms);

/* Whether new records are expected to become durable now: the owner key is
 * held and the store does not count as down. */
bool gr_shard_accepts_writes (const struct gr_shard *shard);

/* shard-jobs.c: calls that wait until a record is durable. */
void gr_shard_init_waiters (struct gr_shard *shard);
void gr_shard_job_durable (struct gr_shard *shard, const char *job);
void gr_shard_fail_waiters (struct gr_shard *shard);

/* Returns false and sets error (kind no-owner) while the records are being
 * loaded. */
bool gr_shard_check_readable (const struct gr_shard *shard,
                              struct gr_error *error);

/* shard-status.c: updates the gauges and logs events for changes in the status
 * of the core. */
void gr_shard_publish_status (struct gr_shard *shard);
