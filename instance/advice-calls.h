/* Sends the scheduling core's advice requests to the advice service. */
#pragma once

#include "instance/owner.h"
#include "steps/steps.h"

struct gr_advice_calls;

/* steps must outlive the returned object. changed is called after each
 * successful answer. */
struct gr_advice_calls *
gr_advice_calls_create (const struct gr_owner_deps *deps,
                        struct gr_steps *steps,
                        void (*changed) (void *context),
                        void *context);
void gr_advice_calls_destroy (struct gr_advice_calls *calls);

/* Sends all pending advice requests of the core. Without an advice service each
 * of them is answered as if the service had not responded. */
void gr_advice_calls_run (struct gr_advice_calls *calls);
