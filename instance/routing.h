/* Determines which queue and account a client's call belongs to, and whether
 * it may be served. Does no I/O. */
#pragma once

#include "common/error.h"
#include "platform/config.h"

enum gr_call_kind
{
  GR_CALL_SUBMIT,
  GR_CALL_STATE,
  GR_CALL_CANCEL,
  GR_CALL_PENDING,
};

/* Result of routing a call; points into the configuration. */
struct gr_routed_call
{
  enum gr_call_kind kind;
  const struct gr_queue_config *queue;
  /* NULL if an open queue is called without a valid key. */
  const struct gr_account_config *account;
  const char *job_id; /* points into the path; NULL for GR_CALL_PENDING */
};

/* Returns the queue with this host and the longest matching prefix of path, or
 * NULL if there is none. The host's case and a port after it are ignored. */
const struct gr_queue_config *gr_route_find_queue (
    const struct gr_cluster_config *config, const char *host, const char *path);

/* Routes a call and checks its key. host and authorization are the values of
 * the headers, or NULL. Errors: not-found if no queue matches, unauthenticated
 * if the queue needs a key and it is missing or unknown, bad-request for
 * another method or an invalid job id. */
bool gr_route_call (const struct gr_cluster_config *config,
                    const char *method,
                    const char *host,
                    const char *path,
                    const char *authorization,
                    struct gr_routed_call *call,
                    struct gr_error *error);
