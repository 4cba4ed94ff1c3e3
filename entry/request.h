/* The path of a short request: admission, queue, mark, executor, answer. */
#pragma once

#include "entry/exchange.h"

struct gr_request;

/* POST /v1/requests. Answers the exchange, at once or later. */
void gr_request_begin (struct gr_exchange *exchange);

/* Sends waiting requests to executors that can take them, and refuses those
 * that can no longer meet their deadline. */
void gr_request_pump (struct gr_entry *entry);

/* Ends all requests that wait, with kind cancelled; for the end of the
 * process. Those at an executor end with the executor client. */
void gr_request_cancel_waiting (struct gr_entry *entry);
