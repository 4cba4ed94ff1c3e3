/* Stand-in of the platform's advice service. It handles one call after the
 * other, and completes calls whose caller has gone. All callers share one
 * queue, as the callers of one machine do on the platform. */
#pragma once

#include "standins/base.h"

struct gr_standin_advice;

/* Times and policy, also set by the members of POST /control with the same
 * names. */
struct gr_standin_advice_settings
{
  int64_t decide_ms;       /* for a call */
  int64_t each_ms;         /* and for each worker that it names */
  int64_t valid_ms;        /* of a ticket */
  int64_t allowed_percent; /* of the workers, for each step */
};

/* Starts the service on listen ("IP:PORT"). Returns NULL and sets error if the
 * address cannot be listened on. */
struct gr_standin_advice *
gr_standin_advice_create (const char *listen,
                          const struct gr_standin_advice_settings *settings,
                          struct gr_error *error);

/* advice may be NULL. */
void gr_standin_advice_destroy (struct gr_standin_advice *advice);

/* Returns the HTTP part, owned by the service. */
struct gr_standin *gr_standin_advice_base (struct gr_standin_advice *advice);

/* True if the service has given the ticket for a start of the task on the
 * worker, and it is still valid. Needs no service: tickets are readable, and
 * all processes of a machine share a clock. */
bool gr_standin_ticket_is_valid (const char *ticket,
                                 const char *task,
                                 const char *worker);
