/* The witness: an assignment of every guaranteed shape to a cell of adjacent
 * accelerators. It is kept from tick to tick and changed only where workers,
 * guarantees or unstoppable work changed. */
#pragma once

#include "sched/tables.h"

void gr_unit_free (struct gr_core_unit *unit);

/* Makes the units of the account follow its settings. */
void gr_witness_set_guarantees (struct gr_core *core,
                                struct gr_core_account *account,
                                const struct gr_account_settings *settings);

/* The worker became usable or unusable. */
void gr_witness_worker_changed (struct gr_core *core,
                                struct gr_core_worker *worker);

/* Gives the unit a cell, which must be free of other units. */
void gr_unit_set_cell (struct gr_core *core,
                       struct gr_core_unit *unit,
                       const struct gr_cell *cell);

/* A job or a claim takes the cell, or leaves it. A cell in use stays. */
void gr_unit_use (struct gr_core_unit *unit);
void gr_unit_leave (struct gr_core *core, struct gr_core_unit *unit);

/* Finds a unit of the job's account around adopted members; NULL if there is
 * none. */
struct gr_core_unit *gr_witness_attach (struct gr_core *core,
                                        struct gr_core_job *job);

void gr_system_witness (struct gr_core *core);
