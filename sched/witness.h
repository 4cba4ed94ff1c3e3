/* Guarantee slots: an assignment of every guaranteed shape to a block of
 * adjacent accelerators. It proves that all guarantees can be met at once. The
 * assignment is kept between ticks and changes only where workers, guarantees
 * or non-preemptible work changed. */
#pragma once

#include "sched/tables.h"

void gr_guarantee_slot_free (struct gr_guarantee_slot *slot);

/* Creates and removes slots of the account to match its settings. */
void gr_guarantee_slots_configure (struct gr_core *core,
                                   struct gr_core_account *account,
                                   const struct gr_account_settings *settings);

/* The worker became usable or unusable. */
void gr_guarantee_slots_worker_changed (struct gr_core *core,
                                        struct gr_core_worker *worker);

/* The worker is closed to the account: moves its unused slots away. */
void gr_guarantee_slots_worker_closed (struct gr_core *core,
                                       struct gr_core_worker *worker,
                                       const struct gr_core_account *account);

/* Assigns a block to the unused slot. The block must not overlap other
 * slots. */
void gr_guarantee_slot_set_block (struct gr_core *core,
                                  struct gr_guarantee_slot *slot,
                                  const struct gr_block *block);

/* A job or a claim starts or stops using the slot. A slot in use is not
 * moved. */
void gr_guarantee_slot_acquire (struct gr_guarantee_slot *slot);
void gr_guarantee_slot_release (struct gr_core *core,
                                struct gr_guarantee_slot *slot);

/* Finds a slot of the job's account whose block covers the adopted members;
 * moves an unused slot there if needed. NULL if there is none. */
struct gr_guarantee_slot *
gr_guarantee_slot_find_for_adopted (struct gr_core *core,
                                    struct gr_core_job *job);

void gr_tick_guarantee_slots (struct gr_core *core);
