/* A worker of the users' platform as a process of its own. It writes its entry
 * to the store by itself and prints an event line for what it runs, by which a
 * soak is checked. SIGTERM makes it drain and leave. */
#pragma once

#include "standins/metastore.h"

#include <glib.h>

struct gr_worker_process;

struct gr_worker_process_settings
{
  const char *id;
  const char *listen;     /* "IP:PORT" */
  const char *advertised; /* address in its entry */
  const char *store;      /* "IP:PORT" */
  uint32_t number;        /* decides its rack and data centre */
  struct gr_standin_platform_settings platform;
};

/* Quits the loop when the worker has left. The strings must outlive the worker.
 * Returns NULL and sets error if the address cannot be listened on. */
struct gr_worker_process *
gr_worker_process_create (const struct gr_worker_process_settings *settings,
                          GMainLoop *loop,
                          struct gr_error *error);

/* process may be NULL. */
void gr_worker_process_destroy (struct gr_worker_process *process);
