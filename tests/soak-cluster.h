/* The processes of a soak on the platform's contract: the store, the advice
 * service, workers and instances in three zones, and relays on all paths
 * between them. Zone Z has the host 127.0.0.(Z + 2), on which it reaches each
 * worker and the store by a path of its own. */
#pragma once

#include "tests/soak-runs.h"

#include <libsoup/soup.h>
#include <stdbool.h>
#include <sys/types.h>

#define SOAK_ZONES 3

/* Prefixes of the queues. Starts of the second need a ticket; the third needs
 * the key, which the operator takes away at times, as the queue itself. */
#define SOAK_QUEUE "/a/"
#define SOAK_ADVISED_QUEUE "/b/"
#define SOAK_KEY_QUEUE "/c/"
#define SOAK_KEY "soak-key"

/* One path between two processes. */
struct soak_path
{
  char host[16];
  guint port;
  guint control_port;
};

struct soak_instance
{
  pid_t pid;
  uint32_t zone;
  guint port; /* of clients; the next two are for readiness and metrics */
  struct soak_path clients;
  struct soak_path store;
};

struct soak_worker
{
  pid_t pid; /* 0: down */
  uint32_t zone;
  guint port;
  uint32_t life; /* number of its processes so far */
  uint32_t identity;
  struct soak_path paths[SOAK_ZONES]; /* of the instances of each zone */
};

struct soak_cluster
{
  char *folder; /* of the logs */
  SoupSession *session;
  int port_guard; /* socket that reserves the range of ports */
  guint next_port;
  guint store_port;
  pid_t store;
  guint advice_port;
  pid_t advice;
  GArray *relays;                            /* pid_t */
  struct soak_path worker_store[SOAK_ZONES]; /* of the workers of each zone */
  struct soak_path advice_paths[SOAK_ZONES]; /* of the instances of each zone */
  struct soak_instance *instances;
  uint32_t n_instances;
  struct soak_worker *workers;
  uint32_t n_workers;
  uint32_t owner; /* number of the last owner that was seen */
  struct soak_runs *runs;
};

/* Returns the number in an environment variable, or the fallback. */
uint32_t soak_setting (const char *name, uint32_t fallback);

/* Starts all processes. Sizes come from the environment. */
void soak_cluster_create (struct soak_cluster *cluster);

/* Ends all processes; the logs stay. */
void soak_cluster_destroy (struct soak_cluster *cluster);

/* Sends a request. Returns the HTTP status, or 0 without a response. answer may
 * be NULL; it is to be freed with g_free (). */
guint soak_call (SoupSession *session,
                 const char *method,
                 const char *url,
                 const char *body,
                 char **answer);

/* Sends a control body to a stand-in. Returns the HTTP status. */
guint soak_control (struct soak_cluster *cluster,
                    const char *host,
                    guint port,
                    const char *body);

/* Writes a key of the operator to the store. */
void soak_put (struct soak_cluster *cluster, const char *key, const char *text);

/* Sets the times and the policy of the advice service. */
void soak_set_advice (struct soak_cluster *cluster,
                      uint32_t decide_ms,
                      uint32_t each_ms,
                      uint32_t allowed_percent);

/* Reads the owner's record, for its number and for messages. */
void soak_find_owner (struct soak_cluster *cluster);

/* Number of log lines of all instances with this event. */
uint32_t soak_count_events (const struct soak_cluster *cluster,
                            const char *event);

void soak_kill (pid_t pid);
void soak_start_worker (struct soak_cluster *cluster,
                        struct soak_worker *worker);

/* Ends the worker's process, and with it its runs. */
void soak_end_worker (struct soak_cluster *cluster, struct soak_worker *worker);
void soak_start_instance (struct soak_cluster *cluster,
                          struct soak_instance *instance);
