/* Handling of a short request: admission, queue, mark, executor, response. */
#pragma once

#include "entry/exchange.h"

struct gr_request;

/* POST /v1/requests. Takes ownership of the exchange and responds
 * immediately or later. */
void gr_request_begin (struct gr_exchange *exchange);

/* Sends queued requests to executors with free capacity, and refuses those
 * that can no longer meet their deadline. */
void gr_request_dispatch_queued (struct gr_entry *entry);

/* Refuses all queued requests with kind shutting-down, or may-have-run if an
 * executor may have run them; used when the process ends. Requests in flight
 * at an executor end when the executor client is destroyed. */
void gr_request_cancel_queued (struct gr_entry *entry);
