/* HTTP endpoints for operators and monitoring: /healthz, /readyz and /metrics.
 */
#pragma once

#include "common/counter.h"
#include "common/error.h"

#include <stdbool.h>

struct gr_health;

/* Starts an HTTP server on address ("IP:PORT"). reason is called for each
 * /readyz request; it returns NULL if the process is ready, otherwise the text
 * of the response. counters is not owned and must outlive the server. Returns
 * NULL and sets error on failure. */
struct gr_health *gr_health_create (const char *address,
                                    const struct gr_counters *counters,
                                    const char *(*reason) (void *context),
                                    void *context,
                                    struct gr_error *error);
void gr_health_destroy (struct gr_health *health);

/* The bound address; owned by health. */
const char *gr_health_address (const struct gr_health *health);
