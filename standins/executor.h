/* Stand-in of an executor. */
#pragma once

#include "standins/base.h"

struct gr_standin_executor;

/* What happened under one request key. */
struct gr_executor_key
{
  char *key;
  uint32_t arrived;
  uint32_t refused; /* answered "not run" */
  uint32_t started;
  uint32_t finished;
};

struct gr_standin_executor_settings
{
  const char *name;
  const char *data_centre;
  uint32_t slots;
  const char *instances_url; /* NULL: not registered */
};

struct gr_standin_executor *
gr_standin_executor_create (const char *listen,
                            const struct gr_standin_executor_settings *settings,
                            struct gr_error *error);
void gr_standin_executor_destroy (struct gr_standin_executor *executor);
struct gr_standin *
gr_standin_executor_base (struct gr_standin_executor *executor);

/* NULL if no request with this key has arrived. */
const struct gr_executor_key *
gr_standin_executor_key (const struct gr_standin_executor *executor,
                         const char *key);
