/* Which queue and account a client's call belongs to, and whether it may be
 * served; pure. */
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

struct gr_call
{
  enum gr_call_kind kind;
  const struct gr_queue_config *queue;
  const struct gr_account_config *account; /* NULL on an open queue */
  const char *job_id; /* points into the path; NULL for GR_CALL_PENDING */
};

/* The queue with the host and the longest prefix of the path; NULL if there
 * is none. A port after the host is ignored. */
const struct gr_queue_config *gr_route_find (
    const struct gr_cluster_config *config, const char *host, const char *path);

/* Sorts the call out. authorization is the header's value or NULL. Errors:
 * not-found without such a queue, unauthenticated for an unknown key,
 * bad-request for another method or id. */
bool gr_route_call (const struct gr_cluster_config *config,
                    const char *method,
                    const char *host,
                    const char *path,
                    const char *authorization,
                    struct gr_call *call,
                    struct gr_error *error);
