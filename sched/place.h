/* Placement: which waiting job starts where. */
#pragma once

#include "sched/tables.h"

/* Bound on the starts of one tick; what is left over waits for the next. */
#define GR_MAX_PLACED 512

/* Refuses waiting jobs that no set of known workers can hold. */
void gr_system_admit (struct gr_core *core);

/* True if the job can never run; the error says why. */
bool gr_never_fits (const struct gr_core *core,
                    const struct gr_job_spec *spec,
                    struct gr_error *error);

/* True if the quota of the account leaves n accelerators. */
bool gr_quota_allows (const struct gr_core_account *account, uint32_t n);

/* Places jobs inside their guarantees; stops other work where needed. */
void gr_place_guaranteed (struct gr_core *core);

/* Starts claims whose cell is free, and drops those that cannot be. */
void gr_serve_claims (struct gr_core *core);

/* Turns reservations whose cell holds only backfilled work into claims. */
void gr_serve_reservations (struct gr_core *core);

/* Reserves a cell for a job that cannot start now. */
void gr_reserve (struct gr_core *core, struct gr_core_job *job);

/* Claims the cell and stops what runs in it. */
void gr_claim_and_stop (struct gr_core *core,
                        struct gr_core_job *job,
                        const struct gr_cell *cell,
                        struct gr_core_unit *unit);

void gr_system_place (struct gr_core *core);
