/* Stand-in of an executor. */
#pragma once

#include "standins/base.h"

struct gr_standin_executor;

/* Request counts for one request key. */
struct gr_executor_key_counts
{
  char *key;
  uint32_t arrived;
  uint32_t refused; /* refused with run state "not-run" */
  uint32_t started;
  uint32_t finished;
};

struct gr_standin_executor_settings
{
  const char *name;
  const char *data_centre;
  uint32_t slots;            /* maximum number of concurrent requests */
  const char *instances_url; /* instance list to register in, or NULL */
};

/* Starts an executor on listen ("IP:PORT"). The settings are copied. Returns
 * NULL and sets error if the address cannot be listened on. */
struct gr_standin_executor *
gr_standin_executor_create (const char *listen,
                            const struct gr_standin_executor_settings *settings,
                            struct gr_error *error);

/* executor may be NULL. */
void gr_standin_executor_destroy (struct gr_standin_executor *executor);

/* Returns the HTTP part of the stand-in, owned by the executor. */
struct gr_standin *
gr_standin_executor_base (struct gr_standin_executor *executor);

/* Returns the counts for a request key, owned by the executor, or NULL if no
 * request with this key has arrived. */
const struct gr_executor_key_counts *
gr_standin_executor_key_counts (const struct gr_standin_executor *executor,
                                const char *key);
