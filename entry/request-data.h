/* A request in this entry; internal to request.c and request-read.c. */
#pragma once

#include "entry/exchange.h"

/* Executors that one request is sent to at most. */
#define GR_REQUEST_MAX_TRIES 3

#define GR_REQUEST_KEY_MAX 128
#define GR_REQUEST_KIND_MAX 64
#define GR_REQUEST_MAX_DEADLINE_MS (3600LL * 1000)

struct gr_request
{
  struct gr_entry *entry;
  struct gr_exchange *exchange;
  char account[GR_NAME_MAX];
  char key[GR_REQUEST_KEY_MAX];
  char kind[GR_REQUEST_KIND_MAX];
  char *log_id; /* "ACCOUNT/KEY" */
  bool idempotent;
  bool is_long;
  bool started; /* a try may have run it */
  enum gr_priority priority;
  int64_t received_ms;
  int64_t deadline_ms;
  int64_t estimate_ms;
  int64_t sent_ms;
  struct gr_mark *mark;
  guint deadline_timer; /* while the mark is written */
  guint overrun_timer;
  uint32_t tries;
  char executors[GR_REQUEST_MAX_TRIES][GR_NAME_MAX];
  bool failed[GR_REQUEST_MAX_TRIES]; /* these executors are not tried again */
};

/* Reads and checks the headers, and the size of the body. Kinds bad-request and
 * too-large. */
bool gr_request_read (struct gr_request *request, struct gr_error *error);
