/* Runs the upkeep waves on behalf of the owner: lists machines while a wave is
 * active, sends the orders of steps/waves.h, and stores which machines have
 * been done. */
#pragma once

#include "instance/owner.h"
#include "steps/waves.h"

struct gr_upkeep;

/* steps must outlive the returned object. epoch is that of the owner,
 * owner_revision the revision of the owner's record, a condition of each
 * write. */
struct gr_upkeep *gr_upkeep_create (const struct gr_owner_deps *deps,
                                    struct gr_steps *steps,
                                    int64_t epoch,
                                    int64_t owner_revision);
void gr_upkeep_destroy (struct gr_upkeep *upkeep);

/* Lists machines, sends orders and writes progress when due. To be called after
 * each scheduling pass. If no machines interface is configured, it only records
 * the waves. */
void gr_upkeep_run (struct gr_upkeep *upkeep);
