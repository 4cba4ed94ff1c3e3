/* State of a short request in this entry; private to request.c and
 * request-read.c. */
#pragma once

#include "entry/exchange.h"

/* Maximum number of times that one request is sent to an executor that receives
 * it. */
#define GR_REQUEST_MAX_TRIES 3

/* Sizes of the buffers in bytes, including the terminating NUL. */
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
  bool may_have_run; /* an executor may have run it */
  enum gr_priority priority;
  int64_t received_ms;
  int64_t deadline_ms;
  int64_t estimate_ms;
  int64_t sent_ms;
  struct gr_mark *mark;
  guint mark_timer; /* timeout while the mark is being written */
  guint overrun_timer;
  uint32_t tries;
  char executors[GR_REQUEST_MAX_TRIES][GR_NAME_MAX]; /* one per try */
  bool excluded[GR_REQUEST_MAX_TRIES]; /* do not use executors[i] again */
};

/* Parses and validates the headers, and checks the size of the body. Kinds
 * bad-request and too-large. */
bool gr_request_read (struct gr_request *request, struct gr_error *error);
