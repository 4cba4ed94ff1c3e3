/* Rows of jobs: queues, records and their commits. */
#pragma once

#include "sched/tables.h"

struct gr_core_job *gr_job_row_create (struct gr_core *core,
                                       const struct gr_job_record *record);

/* The record changed: it gets a new version and is committed at the end of
 * the tick. */
void gr_job_touch (struct gr_core *core, struct gr_core_job *job);

/* The job has something to do at the next gang step. */
void gr_job_wake (struct gr_core *core, struct gr_core_job *job);

/* Puts a job that holds nothing into the queue of its class, or takes it
 * out. */
void gr_job_enqueue (struct gr_core *core, struct gr_core_job *job);
void gr_job_dequeue (struct gr_core *core, struct gr_core_job *job);

/* Final state of the record. The attempt, if there is one, is released
 * later. */
void gr_job_end (struct gr_core *core,
                 struct gr_core_job *job,
                 enum gr_job_state state,
                 const char *reason);

/* A claim keeps a cell free for a job that waits for others to stop. */
void gr_claim_set (struct gr_core *core,
                   struct gr_core_job *job,
                   const struct gr_cell *cell,
                   struct gr_core_unit *unit);
void gr_claim_drop (struct gr_core *core, struct gr_core_job *job);

/* Drops all claims on accelerators of the cell. */
void gr_claims_make_way (struct gr_core *core, const struct gr_cell *cell);

/* A reservation keeps a cell for a job until it is free; others may only
 * backfill it. */
void gr_reserve_set (struct gr_core *core,
                     struct gr_core_job *job,
                     const struct gr_cell *cell,
                     int64_t start_ms);
void gr_reserve_drop (struct gr_core *core, struct gr_core_job *job);

/* Takes the marks of the reservation off the workers, or puts them back, so
 * that the job's own searches may use the cell. */
void gr_reserve_lift (struct gr_core_job *job);
void gr_reserve_restore (struct gr_core_job *job);

/* Drops all claims and reservations on a worker that is forgotten. */
void gr_claims_forget_worker (struct gr_core *core,
                              const struct gr_core_worker *worker);

/* Appends a command; worker and member may be NULL. */
struct gr_command *gr_emit (struct gr_core *core,
                            enum gr_command_kind kind,
                            const struct gr_core_job *job,
                            const struct gr_core_member *member);

/* Writes the COMMIT commands of all records that changed. */
void gr_system_emit (struct gr_core *core);
