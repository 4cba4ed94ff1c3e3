/* Clients of a soak: they submit jobs of several steps and cancel some. */
#pragma once

#include "tests/soak-cluster.h"

struct soak_clients;

/* Starts the clients, on threads of their own. One of them submits a job of
 * many short tasks every burst_interval_ms. With long_jobs, another one submits
 * jobs of long tasks, some on each worker at any time. */
struct soak_clients *soak_clients_create (struct soak_cluster *cluster,
                                          uint32_t seed,
                                          uint32_t burst_interval_ms,
                                          bool long_jobs);
void soak_clients_destroy (struct soak_clients *clients);

/* Waits until no client has an open call. */
void soak_clients_stop (struct soak_clients *clients);

/* Checks what the workers have run. Returns a text on the first rule that is
 * broken, to be freed with g_free (); NULL if there is none. */
char *soak_clients_check_runs (struct soak_clients *clients);

/* Reads the states of accepted jobs, and stores in *open how many of those that
 * no client has cancelled are not shown as completed. Returns a text if one is
 * lost, to be freed with g_free (). Called after soak_clients_stop (). */
char *soak_clients_check_jobs (struct soak_clients *clients, uint32_t *open);

/* Numbers of jobs so far. */
uint32_t soak_clients_accepted (const struct soak_clients *clients);
uint32_t soak_clients_rejected (const struct soak_clients *clients);
/* Cancelled before they were stored; counted as rejected as well. */
uint32_t soak_clients_given_up (const struct soak_clients *clients);
uint32_t soak_clients_cancelled (const struct soak_clients *clients);
