/* Runs geraniumrack and the stand-ins of the platform as separate processes on
 * the loopback interface, for tests/test-process-*.c. The current test fails if
 * a process cannot be started, or if a name is unknown. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

struct cluster;

struct cluster_options
{
  uint32_t entries;           /* named entry-1, entry-2 and so on */
  uint32_t schedulers;        /* named scheduler-1 and so on */
  uint32_t workers;           /* named worker-0 and so on, all in dc1; a single
                                 one is named worker */
  uint32_t executors;         /* named executor-0 and so on; a single one is
                                 named executor */
  bool relay_kv;              /* connect to the key-value service through the
                                 stand-in "relay" */
  uint32_t owner_lease_ttl_s; /* 0: the default of 3 */
  uint32_t start_lease_term_ms; /* 0: the default of 4000 */
  uint32_t run_lease_term_ms;   /* 0: the default of 12000 */
};

/* Starts a cluster with one shard, dc1, and the accounts "clinics" (urgent,
 * 10000 requests/s, a guarantee of 2 workers with 8 accelerators each) and
 * "overnight" (batch, 10 requests/s). Returns when all entries are ready
 * and, if there are schedulers, every entry reports an owner of the shard. Free
 * the result with cluster_destroy (). */
struct cluster *cluster_create (const struct cluster_options *options);

/* Kills all processes and removes their logs, unless the environment variable
 * GR_KEEP_LOGS is set. */
void cluster_destroy (struct cluster *cluster);

/* Start and register a process: a new one, or one that was killed or stopped
 * before. */
void cluster_start_entry (struct cluster *cluster, const char *name);
void cluster_start_scheduler (struct cluster *cluster, const char *name);

/* Sends SIGKILL and waits until the process has exited. */
void cluster_kill (struct cluster *cluster, const char *name);

/* Sends SIGTERM. Returns the exit status, or -1 if the process did not exit
 * within limit_ms or was ended by a signal. */
int cluster_stop (struct cluster *cluster, const char *name, int64_t limit_ms);

/* Sends a signal, such as SIGSTOP. */
void
cluster_signal (struct cluster *cluster, const char *name, int signal_number);

/* Returns the HTTP address "IP:PORT" of a process or of a single stand-in such
 * as "worker-3" or "kv". Owned by cluster. */
const char *cluster_http_address (const struct cluster *cluster,
                                  const char *name);

/* Returns whether the name has an HTTP address. */
bool cluster_has_address (const struct cluster *cluster, const char *name);

/* Removes a process from the instance list; the process keeps running. */
void cluster_unregister (struct cluster *cluster, const char *name);

/* Returns the name of the scheduler that owns shard dc1 according to entry;
 * free it with g_free (). Returns NULL and sets *epoch to 0 if entry reports no
 * owner or does not answer. */
char *cluster_shard_owner (struct cluster *cluster,
                           const char *entry,
                           int64_t *epoch);

struct reply
{
  int status;       /* HTTP status; 0: no complete answer */
  char *body;       /* NUL terminated; NULL if status is 0 */
  char *etag;       /* NULL if the header is missing */
  JsonObject *json; /* NULL if the body is not a JSON object */
};

/* Makes a blocking HTTP call. headers: alternating names and values,
 * terminated by NULL, or NULL for none. body: NULL for none. timeout_s: limit
 * for each read and write. Free the contents of the result with reply_clear ().
 */
struct reply http_call (const char *method,
                        const char *address,
                        const char *path,
                        const char *const *headers,
                        const char *body,
                        uint32_t timeout_s);
void reply_clear (struct reply *reply);

/* Return a member of the reply's JSON object, or "" and -1 if it is missing.
 * The string is owned by reply. */
const char *reply_string (const struct reply *reply, const char *name);
int64_t reply_int (const struct reply *reply, const char *name);

/* Sends POST /control to a stand-in, for example to inject a fault. The test
 * fails if the status is not 200. */
void cluster_control (struct cluster *cluster,
                      const char *standin,
                      const char *json);

/* Sends one request of account clinics. Its body consists of the key and
 * run_ms. */
struct reply cluster_request (struct cluster *cluster,
                              const char *entry,
                              const char *key,
                              bool idempotent,
                              uint32_t run_ms);

/* Submits a job of account clinics with 8 accelerators on each of its
 * workers. */
struct reply cluster_submit (struct cluster *cluster,
                             const char *entry,
                             const char *key,
                             uint32_t workers,
                             uint32_t run_ms,
                             bool idempotent);

/* Returns the state of job dc1.clinics.KEY, or "" if entry does not report one.
 * Free it with g_free (). */
char *
cluster_job_state (struct cluster *cluster, const char *entry, const char *key);

/* Polls until the job has the state. Returns false if it does not within
 * limit_ms. */
bool cluster_wait_job (struct cluster *cluster,
                       const char *entry,
                       const char *key,
                       const char *state,
                       int64_t limit_ms);

/* Returns how often tasks of the job were unthrottled, as recorded by all
 * workers over all attempts. */
uint32_t cluster_job_runs (struct cluster *cluster, const char *key);

/* Returns how often all executors together started the request with this
 * key. */
uint32_t cluster_request_runs (struct cluster *cluster, const char *key);

/* Requests that are sent by several threads until the load is stopped. */
struct load;

struct load_result
{
  uint32_t answered; /* complete and correct answer */
  uint32_t not_run;
  uint32_t may_have_run;
  uint32_t incomplete;    /* no complete answer */
  uint32_t wrong_answer;  /* status 200, but not the answer to this request */
  uint32_t false_not_run; /* reported as not-run although an executor started
                             it */
  uint32_t repeated_runs; /* non-idempotent and started more than once */
};

/* Starts a load of requests that run for 10 ms each. entries: names, terminated
 * by NULL; the requests go to them in turn. A request to an entry that refuses
 * the connection counts as incomplete. Two of three requests are idempotent.
 * End the load with load_stop (). */
struct load *load_start (struct cluster *cluster,
                         const char *const *entries,
                         uint32_t threads);

/* Like load_start (), but with requests that run for run_ms, and with the
 * behaviour of a load balancer: an entry gets no new request while GET /readyz
 * does not return 200. */
struct load *load_start_balanced (struct cluster *cluster,
                                  const char *const *entries,
                                  uint32_t threads,
                                  uint32_t run_ms);

/* Stops the load, frees it and compares its results with the executors'
 * records. The test fails if an answered request is missing in the records. */
struct load_result load_stop (struct load *load);
