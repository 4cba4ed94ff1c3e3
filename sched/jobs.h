/* Jobs of the core: queues, claims, reservations and commits of records. */
#pragma once

#include "sched/tables.h"

struct gr_core_job *gr_job_create (struct gr_core *core,
                                   const struct gr_job_record *record);

/* The record changed: increments its version and commits it at the end of
 * the tick. */
void gr_job_record_changed (struct gr_core *core, struct gr_core_job *job);

/* Schedules the job for the next gang step. */
void gr_job_wake (struct gr_core *core, struct gr_core_job *job);

/* Puts a job that holds no accelerators into the queue of its class, or
 * removes it from the queue. */
void gr_job_enqueue (struct gr_core *core, struct gr_core_job *job);
void gr_job_dequeue (struct gr_core *core, struct gr_core_job *job);

/* Sets the final state of the record. The attempt, if any, is released
 * later. */
void gr_job_end (struct gr_core *core,
                 struct gr_core_job *job,
                 enum gr_job_state state,
                 const char *reason);

/* A claim sets a block aside for a job while the work running there is being
 * stopped. */
void gr_claim_set (struct gr_core *core,
                   struct gr_core_job *job,
                   const struct gr_block *block,
                   struct gr_guarantee_slot *slot);
void gr_claim_drop (struct gr_core *core, struct gr_core_job *job);

/* Drops all claims on accelerators of the block. */
void gr_claims_drop_overlapping (struct gr_core *core,
                                 const struct gr_block *block);

/* A reservation sets a block aside for a job until the work running there ends;
 * other jobs may use the block only as backfill. */
void gr_reservation_set (struct gr_core *core,
                         struct gr_core_job *job,
                         const struct gr_block *block,
                         int64_t start_ms);
void gr_reservation_drop (struct gr_core *core, struct gr_core_job *job);

/* Suspends the reservation of the job, or resumes it, so that the searches
 * of the job itself may use the block. */
void gr_reservation_suspend (struct gr_core_job *job);
void gr_reservation_resume (struct gr_core_job *job);

/* Drops all claims and reservations on a worker that is about to be freed. */
void gr_claims_drop_worker (struct gr_core *core,
                            const struct gr_core_worker *worker);

/* Appends a command for the job. member may be NULL for commands without a
 * worker. */
struct gr_command *gr_emit (struct gr_core *core,
                            enum gr_command_kind kind,
                            const struct gr_core_job *job,
                            const struct gr_core_member *member);

/* Emits a COMMIT for each record that changed. */
void gr_tick_commits (struct gr_core *core);
