/* Client of the platform's instance list: GET URL/v1/instances. The list lags
 * behind the truth. */
#pragma once

#include "common/error.h"
#include "common/report.h"

struct gr_instances;

enum gr_instance_role
{
  GR_ROLE_ENTRY,
  GR_ROLE_SCHEDULER,
  GR_ROLE_WORKER,
  GR_ROLE_EXECUTOR,
};

struct gr_instance
{
  char name[GR_NAME_MAX];
  enum gr_instance_role role;
  char data_centre[GR_NAME_MAX];
  char address[GR_NAME_MAX]; /* IP:PORT: RPC of entries and schedulers, HTTP of
                                workers and executors */
  bool leaving;
};

/* "entry", "scheduler", "worker", "executor". */
const char *gr_instance_role_name (enum gr_instance_role role);
bool gr_instance_role_from_name (const char *name, enum gr_instance_role *role);

/* Polls the list each interval_ms and calls changed after every successful
 * read, with an array that is valid during the call. failed is called after
 * each read that failed; the last list then stays in use. */
struct gr_instances *gr_instances_create (
    const char *base_url,
    uint32_t interval_ms,
    void (*changed) (const struct gr_instance *list,
                     uint32_t count,
                     void *context),
    void (*failed) (const struct gr_error *error, void *context),
    void *context);
void gr_instances_destroy (struct gr_instances *instances);
