/* Common part of all HTTP stand-ins: a server, faults that tests inject through
 * POST /control, and call counts by path that GET /control returns. */
#pragma once

#include "http/http-server.h"

#include <json-glib/json-glib.h>

struct gr_standin;

/* A call in flight. It is freed when its reply is sent or its connection is
 * closed. */
struct gr_standin_call
{
  struct gr_standin *standin;
  SoupServerMessage *message;
  char *path;
  const char *method; /* owned by the message */
  GBytes *raw_body;
  JsonObject *body; /* NULL if the body is not a JSON object */
  GSource *timer;   /* pending delay, or NULL */
  bool is_write;
  void (*after_delay) (struct gr_standin_call *call);
};

/* Faults, set by the members of POST /control with the same names. A fault is
 * off when it is 0. lose_requests, lose_answers, silent_answers and late_writes
 * are the number of writes still to be affected and count down to 0. */
struct gr_standin_faults
{
  int64_t down;            /* closes connections without a reply */
  int64_t silent;          /* does not reply, and keeps connections open */
  int64_t delay_ms;        /* delay before a call is applied */
  int64_t answer_after_ms; /* delay between applying a call and its reply */
  int64_t lose_requests;   /* writes that get no reply and are not applied */
  int64_t lose_answers;    /* writes that are applied and get no reply */
  int64_t silent_answers;  /* writes that are applied and whose connection then
                              stays open without a reply */
  int64_t late_writes;     /* writes that are applied after late_ms */
  int64_t late_ms;
};

/* What a stand-in implements. Members other than apply may be NULL. */
struct gr_standin_ops
{
  /* Returns whether lose_requests and lose_answers apply to the call. */
  bool (*is_write) (const struct gr_standin_call *call);
  /* Handles a call. Must end the call with gr_standin_reply (),
   * gr_standin_send_reply (), gr_standin_drop () or gr_standin_free_call (),
   * before it returns or later. */
  void (*apply) (struct gr_standin_call *call, void *context);
  /* Adds members to the response of GET /control. */
  void (*describe) (JsonObject *answer, void *context);
  /* Reads the stand-in's own members of POST /control. Returns false if one of
   * them is invalid; members before it may have been applied. */
  bool (*control) (JsonObject *body, void *context);
};

/* Starts a stand-in on listen ("IP:PORT"). ops and context must outlive it.
 * Returns NULL and sets error if the address cannot be listened on. */
struct gr_standin *gr_standin_create (const char *listen,
                                      const struct gr_standin_ops *ops,
                                      void *context,
                                      struct gr_error *error);

/* Also frees all calls in flight. standin may be NULL. */
void gr_standin_destroy (struct gr_standin *standin);

/* Returns the address that the stand-in listens on, owned by the stand-in. */
const char *gr_standin_address (const struct gr_standin *standin);

/* Returns the faults, which the caller may change. */
struct gr_standin_faults *gr_standin_faults (struct gr_standin *standin);

/* Returns the number of calls received for a path. Paths are written as in the
 * response of GET /control. */
int64_t gr_standin_call_count (const struct gr_standin *standin,
                               const char *path);

/* Sets the response and sends it subject to the faults. Takes ownership of
 * body, which may be NULL for an empty object. Frees the call once the reply is
 * sent or dropped, which may be after this returns. */
void
gr_standin_reply (struct gr_standin_call *call, guint status, JsonObject *body);

/* Like gr_standin_reply (), for a response that is already set in the
 * message. */
void gr_standin_send_reply (struct gr_standin_call *call);

/* Closes the connection without a reply and frees the call. */
void gr_standin_drop (struct gr_standin_call *call);

/* Calls after_delay (call) in delay_ms, limited to 0 to 10 minutes. The message
 * stays paused until then. Replaces a delay of the call that is pending. */
void gr_standin_delay (struct gr_standin_call *call,
                       int64_t delay_ms,
                       void (*after_delay) (struct gr_standin_call *call));

/* Frees the call without replying, for a message whose reply was sent by other
 * means. */
void gr_standin_free_call (struct gr_standin_call *call);
