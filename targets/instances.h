/* Client of the platform's instance list: GET URL/v1/instances. The list lags
 * behind the true state. */
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
  char address[GR_NAME_MAX]; /* IP:PORT: RPC server of entries and schedulers,
                                HTTP server of workers and executors */
  bool leaving;
};

/* Convert a role to and from "entry", "scheduler", "worker", "executor".
 * gr_instance_role_from_name () returns false for any other name. */
const char *gr_instance_role_name (enum gr_instance_role role);
bool gr_instance_role_from_name (const char *name, enum gr_instance_role *role);

/* Polls the list, immediately and then interval_ms after the end of each poll.
 * list_received is called after every successful poll, also if nothing changed,
 * with an array that is valid only during the call. poll_failed is called after
 * every failed poll; the last list then remains valid. Both are called from the
 * default GMainContext, never from inside this function, and may destroy the
 * client. */
struct gr_instances *gr_instances_create (
    const char *base_url,
    uint32_t interval_ms,
    void (*list_received) (const struct gr_instance *list,
                           uint32_t count,
                           void *context),
    void (*poll_failed) (const struct gr_error *error, void *context),
    void *context);
void gr_instances_destroy (struct gr_instances *instances);
