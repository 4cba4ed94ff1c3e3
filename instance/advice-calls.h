/* Calls for advice that the core asks for. */
#pragma once

#include "instance/owner.h"
#include "steps/steps.h"

struct gr_advice_calls;

/* steps must outlive it; changed is called after each answer. */
struct gr_advice_calls *
gr_advice_calls_create (const struct gr_owner_parts *parts,
                        struct gr_steps *steps,
                        void (*changed) (void *context),
                        void *context);
void gr_advice_calls_destroy (struct gr_advice_calls *calls);

/* Sends what the core asks for. */
void gr_advice_calls_run (struct gr_advice_calls *calls);
