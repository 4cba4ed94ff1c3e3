/* Retry delays with random jitter over the time in which the refused work can
 * be served, so that callers do not all retry at the same time. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Maximum retry delay: the load changes within seconds. */
#define GR_RETRY_DELAY_MAX_MS 30000

/* Returns a retry delay in ms: base_ms plus a random part of the time in which
 * the refused requests can be served at rate_per_s; at most
 * GR_RETRY_DELAY_MAX_MS. */
int64_t gr_retry_delay_ms (int64_t base_ms,
                           uint32_t refused,
                           double rate_per_s,
                           GRand *random);
