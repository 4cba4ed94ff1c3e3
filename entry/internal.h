/* The parts of the entry process, shared by the files of entry/. */
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

/* Time for calls to a shard owner. */
#define GR_OWNER_TIMEOUT_MS 5000

/* Time within which a change of settings must be written and confirmed. */
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
  GHashTable *accounts;  /* name to struct gr_account_settings */
  GHashTable *requests;  /* set of struct gr_request */
  GHashTable *leaving;   /* set of target names that were logged as leaving */
  GHashTable *ready;     /* set of "ROLE NAME" that were logged as ready */
  GHashTable *exchanges; /* set of struct gr_exchange */
  GHashTable *publishes; /* set of struct gr_publish */
  guint queue_timer;
  guint pump_source;
  guint status_timer;
  guint stop_timer;
  int64_t idle_since_ms; /* during a planned stop; 0: not idle */
  bool stopping;
  bool ending; /* gr_entry_destroy () runs */
  void (*stopped) (void *context);
  void *stopped_context;
};

/* NULL if there is no such account. */
const struct gr_account_settings *
gr_entry_account (const struct gr_entry *entry, const char *name);

/* Whether this entry may take work; error says why not. */
bool gr_entry_is_ready (const struct gr_entry *entry, struct gr_error *error);

/* Names of the shards in sorted order; free with g_strfreev (). */
char **gr_entry_shards (const struct gr_entry *entry);

void gr_entry_count (struct gr_entry *entry,
                     const char *name,
                     const char *label,
                     const char *value);

/* A target said or showed that it is leaving. */
void gr_entry_target_leaving (struct gr_entry *entry, const char *target);
