/* The product and the platform's stand-ins as separate processes on loopback,
 * for the tests of processes. Every failure to start ends the test. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

struct cluster;

struct cluster_options
{
  uint32_t entries;             /* named entry-1 and so on */
  uint32_t schedulers;          /* scheduler-1 and so on */
  uint32_t workers;             /* in data centre dc1: worker-0 and so on */
  uint32_t executors;           /* executor-0 and so on */
  bool relay_kv;                /* calls to the key-value service pass a relay
                                   with the control "relay" */
  uint32_t owner_lease_ttl_s;   /* 0: 3 */
  uint32_t start_lease_term_ms; /* 0: 4000 */
  uint32_t run_lease_term_ms;   /* 0: 12000 */
};

/* One shard, dc1, with the accounts "clinics" (urgent, 10000 requests/s) and
 * "overnight" (batch). Returns when all entries are ready and the shard has an
 * owner. */
struct cluster *cluster_create (const struct cluster_options *options);

/* Ends all processes by their ids. */
void cluster_destroy (struct cluster *cluster);

/* Starts one more process of the product, or one that was ended, anew. */
void cluster_start_entry (struct cluster *cluster, const char *name);
void cluster_start_scheduler (struct cluster *cluster, const char *name);

/* Kills and waits for its end. */
void cluster_kill (struct cluster *cluster, const char *name);

/* SIGTERM; returns the exit status, or -1 if it did not end in limit_ms. */
int cluster_stop (struct cluster *cluster, const char *name, int64_t limit_ms);

/* SIGSTOP, SIGCONT and the like. */
void cluster_signal (struct cluster *cluster, const char *name, int number);

/* "IP:PORT" of a process or of a single stand-in such as "worker-3" or "kv". */
const char *cluster_http (const struct cluster *cluster, const char *name);

/* Whether there is an address of that name. */
bool cluster_knows (const struct cluster *cluster, const char *name);

/* Removes a process from the instance list. */
void cluster_unlist (struct cluster *cluster, const char *name);

/* Name of the scheduler that owns shard dc1 as entry sees it, or NULL;
 * *epoch is 0 then. */
char *
cluster_owner (struct cluster *cluster, const char *entry, int64_t *epoch);

struct reply
{
  int status;       /* 0: no whole answer */
  char *body;       /* NUL terminated */
  char *etag;       /* may be NULL */
  JsonObject *json; /* NULL if the body is not a JSON object */
};

/* One HTTP call in the calling thread. headers is NULL or pairs of name and
 * value, ended by NULL. */
struct reply http_call (const char *method,
                        const char *address,
                        const char *path,
                        const char *const *headers,
                        const char *body,
                        uint32_t timeout_s);
void reply_clear (struct reply *reply);

/* String or number member of the reply's object; "" and -1 if missing. */
const char *reply_string (const struct reply *reply, const char *name);
int64_t reply_int (const struct reply *reply, const char *name);

/* POST /control of a stand-in. */
void cluster_control (struct cluster *cluster,
                      const char *standin,
                      const char *json);

/* Sends one request of account clinics; the body is its key, with run_ms. */
struct reply cluster_request (struct cluster *cluster,
                              const char *entry,
                              const char *key,
                              bool idempotent,
                              uint32_t run_ms);

/* Submits a job of one or more workers with 8 accelerators each. */
struct reply cluster_submit (struct cluster *cluster,
                             const char *entry,
                             const char *key,
                             uint32_t workers,
                             uint32_t run_ms,
                             bool idempotent);

/* State of job dc1.clinics.KEY; free it. */
char *
cluster_job_state (struct cluster *cluster, const char *entry, const char *key);

/* Polls until the job has that state; false after limit_ms. */
bool cluster_wait_job (struct cluster *cluster,
                       const char *entry,
                       const char *key,
                       const char *state,
                       int64_t limit_ms);

/* Starts of the job's tasks as the workers recorded them: how often a task of
 * the job was unthrottled, over all workers and attempts. */
uint32_t cluster_job_runs (struct cluster *cluster, const char *key);

/* How often the executors started a request key, over all executors. */
uint32_t cluster_request_runs (struct cluster *cluster, const char *key);

/* Load of requests from several threads until it is stopped. */
struct load;

struct load_result
{
  uint32_t answered; /* with the whole answer to its own request */
  uint32_t not_run;
  uint32_t may_have_run;
  uint32_t broken; /* no whole answer */
  uint32_t wrong;  /* the answer of another request */
  uint32_t untrue; /* told not-run, but an executor ran it */
  uint32_t twice;  /* non-idempotent, run more than once */
};

/* entries is a NULL terminated list; each thread takes one of them for each
 * request in turn and skips those that refuse the connection. */
struct load *load_start (struct cluster *cluster,
                         const char *const *entries,
                         uint32_t threads);

/* The same as a balancer does it: an entry whose readyz is not 200 gets nothing
 * new. Each request runs for run_ms. */
struct load *load_start_balanced (struct cluster *cluster,
                                  const char *const *entries,
                                  uint32_t threads,
                                  uint32_t run_ms);

/* Ends the load and compares with the executors' records. Frees load. */
struct load_result load_stop (struct load *load);
