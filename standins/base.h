/* What all HTTP stand-ins share: a server, faults that tests set through
 * POST /control, and counts of calls by path that GET /control shows. */
#pragma once

#include "http/http-server.h"

#include <json-glib/json-glib.h>

struct gr_standin;

/* One call that is being answered. */
struct gr_standin_call
{
  struct gr_standin *standin;
  SoupServerMessage *message;
  char *path;
  const char *method;
  GBytes *raw;      /* the body */
  JsonObject *body; /* NULL if the body is not a JSON object */
  GSource *timer;
  bool is_write;
  void (*next) (struct gr_standin_call *call);
};

/* Members of POST /control. Numbers in lose_* count down to zero. */
struct gr_standin_faults
{
  int64_t down;            /* closes connections without an answer */
  int64_t silent;          /* neither answers nor closes */
  int64_t delay_ms;        /* before a call is applied */
  int64_t answer_after_ms; /* after it was applied */
  int64_t lose_requests;   /* writes that are not applied, nor answered */
  int64_t lose_answers;    /* writes that are applied and not answered */
};

struct gr_standin_ops
{
  /* Whether lose_requests and lose_answers apply to the call. */
  bool (*is_write) (const struct gr_standin_call *call);
  /* Must end in gr_standin_reply () or gr_standin_end (), at once or later. */
  void (*apply) (struct gr_standin_call *call, void *context);
  /* Adds to the answer of GET /control. */
  void (*describe) (JsonObject *answer, void *context);
  /* Reads more members of POST /control; false if they are not valid. */
  bool (*control) (JsonObject *body, void *context);
};

struct gr_standin *gr_standin_create (const char *listen,
                                      const struct gr_standin_ops *ops,
                                      void *context,
                                      struct gr_error *error);
void gr_standin_destroy (struct gr_standin *standin);
const char *gr_standin_address (const struct gr_standin *standin);
struct gr_standin_faults *gr_standin_faults (struct gr_standin *standin);

/* Calls so far to a path, as GET /control shows them. */
int64_t gr_standin_count (const struct gr_standin *standin, const char *path);

/* Sets the answer and sends it as the faults say. body is consumed and may be
 * NULL. The call is freed later. */
void
gr_standin_reply (struct gr_standin_call *call, guint status, JsonObject *body);

/* Sends the answer that is already set in the message. */
void gr_standin_end (struct gr_standin_call *call);

/* Closes the connection without an answer. */
void gr_standin_drop (struct gr_standin_call *call);

/* Calls next (call) later; the message is paused until then. */
void gr_standin_delay (struct gr_standin_call *call,
                       int64_t delay_ms,
                       void (*next) (struct gr_standin_call *call));

/* The message was answered by other means; only frees the call. */
void gr_standin_forget (struct gr_standin_call *call);
