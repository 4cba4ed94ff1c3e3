/* Parts of a client's call, shared by the files instance/call*.c. */
#pragma once

#include "instance/attempts.h"
#include "instance/call.h"
#include "instance/routing.h"

#include <json-glib/json-glib.h>

struct call
{
  const struct gr_clients_deps *deps;
  SoupServerMessage *message;
  char *path;
  enum gr_call_kind kind;
  char job_id[GR_JOB_ID_DIGITS + 1];
  struct gr_job_spec *spec; /* NULL unless the call submits a job */
  int64_t config_revision;  /* condition of the transaction in flight, for a
                               submission */
  uint64_t tombstones;      /* count of the id's record when a submission began;
                               see tombstones.h */
  bool job_absent;          /* the store holds no job of this id */
  int64_t started_ms;
  int64_t deadline_ms; /* time by which the response must be sent */
  struct gr_attempts attempts;
  struct gr_error rejection; /* of a submission, while the store is asked
                                whether an earlier attempt has taken effect */
};

/* Sends the response that is set in the message, logs and counts it with the
 * reason, and frees the call. */
void gr_call_end (struct call *call, const char *reason);
void gr_call_free (struct call *call);
/* Frees the call and returns true if its store call ended because the instance
 * ends. error may be NULL. */
bool gr_call_is_abandoned (struct call *call, const struct gr_error *error);

/* Takes ownership of body. */
void gr_call_set_json (SoupServerMessage *message, JsonObject *body);

/* Each of these ends the call. A submission is not told that it was rejected
 * while one of its attempts may take effect: gr_call_respond_error () sends
 * status 504 instead. */
void gr_call_respond_ok (struct call *call, const char *reason);
void gr_call_respond_error (struct call *call,
                            guint status,
                            const char *reason,
                            const char *run_state,
                            const char *retry_s);
/* Reports that the store did not confirm the call: status 504 if an attempt may
 * take effect, 503 if nothing was stored. */
void gr_call_respond_unconfirmed (struct call *call, const char *reason);

/* Finds the queue and the account in the newest configuration, before each
 * attempt. */
bool gr_call_route (struct call *call,
                    struct gr_routed_call *routed,
                    struct gr_error *error);
/* Responds with the error of gr_call_route (). */
void gr_call_respond_not_routed (struct call *call,
                                 const struct gr_error *error);

bool gr_call_is_too_late_to_retry (const struct call *call);
/* Calls that need the store are refused while it is unresponsive, since they
 * would only wait for it. */
bool gr_call_store_is_unresponsive (const struct call *call);
uint32_t gr_call_attempt_timeout_ms (const struct call *call);

/* Finds an existing record among the items that a transaction returned because
 * its conditions did not hold. NULL if there is none. */
const struct gr_metastore_item *
gr_call_find_item (const struct gr_metastore_result *result, const char *key);
/* Applies these items to the mirror and to the configuration. */
void gr_call_apply_items (struct call *call,
                          const struct gr_metastore_result *result);

/* Kinds of calls; see enum gr_call_kind. Each ends the call, later. */
void gr_call_submit (struct call *call);
void gr_call_cancel (struct call *call);
void gr_call_show_state (struct call *call);
void gr_call_respond_pending (struct call *call,
                              const struct gr_queue_config *queue);
