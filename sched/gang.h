/* Attempts: the start, run and stop of all members of a job together. */
#pragma once

#include "sched/tables.h"

/* Starts an attempt of a waiting job on the cell. unit is the guaranteed
 * shape it runs in, or NULL. */
void gr_gang_place (struct gr_core *core,
                    struct gr_core_job *job,
                    const struct gr_cell *cell,
                    struct gr_core_unit *unit);

/* Ends the attempt. A second call changes nothing unless it is stronger. */
void gr_gang_stop (struct gr_core *core,
                   struct gr_core_job *job,
                   enum gr_stop_cause cause,
                   const char *reason);

/* Facts about one member. All may come late or twice. */
void gr_member_granted (struct gr_core *core, struct gr_core_member *member);
void gr_member_started (struct gr_core *core, struct gr_core_member *member);
void gr_member_unthrottled (struct gr_core *core,
                            struct gr_core_member *member);
void gr_member_checkpointed (struct gr_core *core,
                             struct gr_core_member *member);
void gr_member_finished (struct gr_core *core, struct gr_core_member *member);
/* The task stopped, because it was told to or because its lease ended. */
void gr_member_stopped (struct gr_core *core, struct gr_core_member *member);
/* The task failed, or the worker refused to start it. */
void gr_member_failed (struct gr_core *core, struct gr_core_member *member);
/* The lease is gone: the task does not run any more and never will. */
void gr_member_lost (struct gr_core *core, struct gr_core_member *member);
/* The worker is silent: the task may run until its lease expires. */
void gr_member_silent (struct gr_core *core, struct gr_core_member *member);
/* The accelerators are free again. */
void gr_member_released (struct gr_core *core, struct gr_core_member *member);

/* Sends a renewal with the term. */
void gr_member_renew (struct gr_core *core,
                      struct gr_core_member *member,
                      int64_t term_ms);

/* Parts of the state machine that its files share. */
void gr_gang_set_phase (struct gr_core *core,
                        struct gr_core_job *job,
                        enum gr_phase phase);
void gr_member_call (struct gr_core *core,
                     struct gr_core_member *member,
                     enum gr_command_kind kind);
void gr_gang_release (struct gr_core *core, struct gr_core_job *job);
/* Sets what comes of the job after its attempt ended. */
void gr_gang_conclude (struct gr_core *core, struct gr_core_job *job);
void gr_gang_free_attempt (struct gr_core *core, struct gr_core_job *job);
void gr_gang_reset (struct gr_core_job *job, uint32_t n_members);
void gr_gang_activate (struct gr_core *core, struct gr_core_job *job);
void gr_member_hold (struct gr_core *core, struct gr_core_member *member);

/* Puts members of a restored record back; they wait for reports. */
void gr_gang_restore (struct gr_core *core, struct gr_core_job *job);
/* The report of the member's worker shows its lease. */
void gr_member_bind (struct gr_core *core,
                     struct gr_core_member *member,
                     struct gr_core_worker *worker);

/* The member no longer waits for a report. */
void gr_member_unbind (struct gr_core *core, struct gr_core_member *member);

/* Advances all attempts that are not in a stable phase. */
void gr_system_gangs (struct gr_core *core);

/* Renews the leases of running work, spread over the third of a term. */
void gr_system_renew (struct gr_core *core);
/* Puts the worker of a job that runs into the ring. */
void gr_renew_add (struct gr_core *core, struct gr_core_worker *worker);
