/* Parts of struct gr_shard that shard.c, shard-jobs.c and shard-status.c
 * share. */
#pragma once

#include "scheduler/journal.h"
#include "scheduler/shard.h"
#include "scheduler/worker-io.h"

enum gr_shard_phase
{
  GR_SHARD_RECOVERING,
  GR_SHARD_ACTIVE,
  GR_SHARD_QUIESCING, /* starts and stops under way are finished */
  GR_SHARD_FLUSHING,  /* the journal is written out */
  GR_SHARD_STOPPED,
};

/* An answer to a command that came while commands were handed out. */
struct gr_shard_answer
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
  GArray *answers;        /* struct gr_shard_answer, while dispatching */
  GHashTable *waiters;    /* job id to GSList of struct gr_waiter */
  GHashTable *impossible; /* accounts whose guarantees were reported */
  GHashTable *quarantined;
  guint tick_timer;
  int64_t tick_at_ms;
  guint watch_timer;
  int64_t forgot_ms;
  struct gr_counter *ticks;
  struct gr_histogram *tick_time;
};

/* Runs a tick within delay_ms. */
void gr_shard_tick_within (struct gr_shard *shard, int64_t delay_ms);

/* Whether a new record can be expected to become durable now. */
bool gr_shard_takes_writes (const struct gr_shard *shard);

/* shard-jobs.c */
void gr_shard_init_waiters (struct gr_shard *shard);
void gr_shard_job_durable (struct gr_shard *shard, const char *job);
void gr_shard_fail_waiters (struct gr_shard *shard);

/* False with kind no-owner while the records are being read. */
bool gr_shard_check_readable (const struct gr_shard *shard,
                              struct gr_error *error);

/* shard-status.c: events and gauges that follow the status of the core. */
void gr_shard_watch_status (struct gr_shard *shard);
