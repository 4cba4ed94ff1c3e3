/* Placement: selects which waiting job starts on which block. */
#pragma once

#include "sched/tables.h"

/* Bound on the starts of one tick; the rest waits for the next one. */
#define GR_MAX_PLACED 512

/* Ends waiting jobs that can no longer run: their account was removed, or
 * gr_never_fits () has been true for a minute. Jobs of a former owner are not
 * ended for their shape in the first GR_ABSENT_MS of this one. */
void gr_tick_admission (struct gr_core *core);

/* True if the job can never run; error is set to the reason. */
bool gr_never_fits (const struct gr_core *core,
                    const struct gr_job_spec *spec,
                    struct gr_error *error);

/* True if the account may hold n more accelerators within its quota. */
bool gr_quota_allows (const struct gr_core_account *account, uint32_t n);

/* Places jobs in the guarantee slots of their accounts; preempts other work
 * if needed. */
void gr_place_guaranteed (struct gr_core *core);

/* Starts jobs whose claimed block is free, and drops claims with unusable
 * workers. */
void gr_start_ready_claims (struct gr_core *core);

/* Turns reservations into claims once their block holds only backfilled
 * work; drops those that are overdue or have unusable workers. */
void gr_claim_ready_reservations (struct gr_core *core);

/* Reserves a block for a job that cannot start now. */
void gr_reserve_block (struct gr_core *core, struct gr_core_job *job);

/* Claims the block and preempts the work that runs there. */
void gr_claim_and_stop (struct gr_core *core,
                        struct gr_core_job *job,
                        const struct gr_block *block,
                        struct gr_guarantee_slot *slot);

void gr_tick_placement (struct gr_core *core);
