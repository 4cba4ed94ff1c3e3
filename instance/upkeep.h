/* Waves of upkeep, carried out by the owner: lists machines while a wave runs,
 * sends the orders of steps/waves, and stores what is done. */
#pragma once

#include "instance/owner.h"
#include "steps/waves.h"

struct gr_upkeep;

struct gr_upkeep *gr_upkeep_create (const struct gr_owner_parts *parts,
                                    struct gr_steps *steps,
                                    int64_t epoch,
                                    int64_t owner_revision);
void gr_upkeep_destroy (struct gr_upkeep *upkeep);

/* To be called after each run of the core. */
void gr_upkeep_run (struct gr_upkeep *upkeep);
