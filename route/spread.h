/* Times to come back that are true and do not bring all callers back at once.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

/* No caller is sent away for longer: conditions change within seconds. */
#define GR_SPREAD_MAX_MS 30000

/* A time of at least base_ms, at random within the time in which refused work
 * can be served at rate_per_s. */
int64_t gr_spread_ms (int64_t base_ms,
                      uint32_t refused,
                      double rate_per_s,
                      GRand *random);
