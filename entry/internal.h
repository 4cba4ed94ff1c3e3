/* The state of the entry process, shared by the source files of entry/. */
#pragma once

#include "common/clock.h"
#include "common/counter.h"
#include "entry/entry.h"
#include "entry/marks.h"
#include "http/http-server.h"
#include "kv/kv.h"
#include "members/peers.h"
#include "route/allot.h"
#include "route/classes.h"
#include "route/executors.h"
#include "route/limit.h"
#include "route/queue.h"
#include "route/retry.h"
#include "settings/store.h"
#include "targets/executor.h"
#include "targets/instances.h"

/* Timeout of calls to a shard owner. */
#define GR_OWNER_TIMEOUT_MS 5000

/* A settings change must be written and confirmed by a majority within this
 * time. */
#define GR_PUBLISH_TIMEOUT_MS 4500

struct gr_shares;
struct gr_confirm;

struct gr_entry
{
  const struct gr_process_settings *process;
  struct gr_clock *clock;
  GRand *random;
  struct gr_counters *counters;
  struct gr_kv *kv;
  struct gr_settings_store *store;
  struct gr_members *members;
  struct gr_instances *instances;
  struct gr_peers *peers;
  struct gr_rpc_server *rpc;
  struct gr_http_server *http;
  struct gr_executor_client *executor_client;
  uint32_t executor_connections; /* of executor_client */
  struct gr_executors *executors;
  struct gr_classes *classes;
  struct gr_limits *limits;
  struct gr_allot *allot;
  struct gr_retries *retries;
  struct gr_queue *queue;
  struct gr_marks *marks;
  struct gr_job_shards *job_shards;
  struct gr_shares *shares;
  struct gr_confirm *confirm;
  struct gr_platform_settings platform;
  GHashTable *accounts;       /* account name to struct gr_account_settings */
  GHashTable *requests;       /* set of struct gr_request */
  GHashTable *logged_leaving; /* set of names of targets that have been logged
                                 as leaving */
  GHashTable *logged_ready;   /* set of "ROLE NAME" of members that have been
                                 logged as ready */
  GHashTable *exchanges;      /* set of struct gr_exchange */
  GHashTable *publishes;      /* set of struct gr_publish */
  guint queue_timer;
  guint dispatch_source;
  guint status_timer;
  guint stop_timer;
  int64_t idle_since_ms; /* 0: not idle, or not shutting down */
  bool stopping;
  bool destroying; /* gr_entry_destroy () is running */
  void (*on_stopped) (void *context);
  void *on_stopped_context;
};

/* Returns NULL if there is no such account. Valid until the settings change. */
const struct gr_account_settings *
gr_entry_account (const struct gr_entry *entry, const char *name);

/* Returns true if the settings are current, so that this entry may accept
 * work; otherwise sets error to kind stale-settings. */
bool gr_entry_is_ready (const struct gr_entry *entry, struct gr_error *error);

/* Names of the shards in sorted order; free with g_strfreev (). */
char **gr_entry_shards (const struct gr_entry *entry);

/* Adds 1 to the counter with this name and the label LABEL="VALUE". */
void gr_entry_increment_counter (struct gr_entry *entry,
                                 const char *name,
                                 const char *label,
                                 const char *value);

/* Records that a target has reported itself as leaving, in a response or a
 * status report to a call that was sent at asked_ms, and updates the executor
 * table. */
void gr_entry_target_leaving (struct gr_entry *entry,
                              const char *target,
                              int64_t asked_ms);
