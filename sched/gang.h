/* Attempts: start, run and stop of all members of a job together. */
#pragma once

#include "sched/tables.h"

/* Starts an attempt of a waiting job on the block. slot is the guarantee
 * slot that the job runs in, or NULL. */
void gr_gang_place (struct gr_core *core,
                    struct gr_core_job *job,
                    const struct gr_block *block,
                    struct gr_guarantee_slot *slot);

/* Stops the attempt. On a repeated call only a stronger cause has an effect. */
void gr_gang_stop (struct gr_core *core,
                   struct gr_core_job *job,
                   enum gr_stop_cause cause,
                   const char *reason);

/* Events of one member. They may arrive late or twice. */
void gr_member_granted (struct gr_core *core, struct gr_core_member *member);
void gr_member_started (struct gr_core *core, struct gr_core_member *member);
void gr_member_unthrottled (struct gr_core *core,
                            struct gr_core_member *member);
void gr_member_checkpointed (struct gr_core *core,
                             struct gr_core_member *member);
void gr_member_finished (struct gr_core *core, struct gr_core_member *member);
/* The task stopped, on request or because its lease ended. */
void gr_member_stopped (struct gr_core *core, struct gr_core_member *member);
/* The task failed, or the worker refused to start it. */
void gr_member_failed (struct gr_core *core, struct gr_core_member *member);
/* The lease no longer exists: the task does not run and will not run again. */
void gr_member_lost (struct gr_core *core, struct gr_core_member *member);
/* The worker does not respond: the task may run until its lease expires. */
void gr_member_unreachable (struct gr_core *core,
                            struct gr_core_member *member);
/* The accelerators of the member are free again. */
void gr_member_released (struct gr_core *core, struct gr_core_member *member);

/* Renews the lease of the member for term_ms. */
void gr_member_renew (struct gr_core *core,
                      struct gr_core_member *member,
                      int64_t term_ms);

/* Functions that the files of the gang state machine share. */

/* Enters the phase; its deadline is one start lease term from now. */
void gr_gang_set_phase (struct gr_core *core,
                        struct gr_core_job *job,
                        enum gr_phase phase);
/* Sends one command of the current phase to the member. */
void gr_member_call (struct gr_core *core,
                     struct gr_core_member *member,
                     enum gr_command_kind kind);
/* Releases all members; lost ones count as released at once. */
void gr_gang_release (struct gr_core *core, struct gr_core_job *job);
/* Decides after an attempt whether the job ends or runs again. */
void gr_gang_conclude (struct gr_core *core, struct gr_core_job *job);
/* Frees the members after all of them were released. */
void gr_gang_free_attempt (struct gr_core *core, struct gr_core_job *job);
/* Discards the state of the previous attempt and allocates
 * n_members members. */
void gr_gang_reset (struct gr_core_job *job, uint32_t n_members);
/* Counts the accelerators of the attempt as used by the account. */
void gr_gang_activate (struct gr_core *core, struct gr_core_job *job);
/* Marks the accelerators of the member as held on its worker. */
void gr_member_allocate (struct gr_core *core, struct gr_core_member *member);

/* Recreates the members of a restored record; they wait for reports of their
 * workers. */
void gr_gang_restore (struct gr_core *core, struct gr_core_job *job);
/* Attaches an adopted member to the worker whose report shows its lease. */
void gr_member_bind (struct gr_core *core,
                     struct gr_core_member *member,
                     struct gr_core_worker *worker);

/* The adopted member no longer waits for a report. */
void gr_member_unbind (struct gr_core *core, struct gr_core_member *member);

/* Advances the gangs of all jobs that are not in a stable phase. */
void gr_tick_gangs (struct gr_core *core);

/* Renews the leases of running work, spread over a third of the run lease
 * term. */
void gr_tick_renewals (struct gr_core *core);
/* Schedules the worker of a running job for renewals. */
void gr_renew_add (struct gr_core *core, struct gr_core_worker *worker);
