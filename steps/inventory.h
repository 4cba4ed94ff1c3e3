/* What the owner has read of a worker's runs and ends, and what it may conclude
 * from that. A worker lists its runs and the first of its ends that are not
 * acknowledged, so an answer can hold a part of its ends only. The rule:
 * docs/design/inherited-work.md. Private to steps/. */
#pragma once

#include "steps/tables.h"

/* The worker has a new process, of which nothing has been read. */
void gr_inventory_reset (struct worker *worker);
/* The process has certainly ended. Its runs ended with it, and nobody can read
 * its ends. */
void gr_inventory_process_ended (struct worker *worker);
/* The process has answered a poll. */
void gr_inventory_reported (struct worker *worker,
                            const struct gr_run_report *report);

/* True if the present process has answered, so that all its runs are known. */
bool gr_inventory_has_answered (const struct worker *worker);
/* True if the worker may have runs or ends of a former owner that are not
 * read. */
bool gr_inventory_is_open (const struct gr_steps *steps,
                           const struct worker *worker);
/* True if a run that the report lists neither as running nor as ended is not on
 * the worker and left no end there. */
bool gr_inventory_report_is_whole (const struct gr_run_report *report);

/* Determines for the rest of the pass which workers hold back inherited work.
 * To be called after the other changes of the pass to workers. */
void gr_inventory_tick (struct gr_steps *steps);
/* True if tasks of the inherited step that wait may have a run or an end that
 * is not read. */
bool gr_inventory_holds_step (const struct gr_steps *steps,
                              const struct step *step);
/* True if gr_inventory_holds_step () is false for all steps. */
bool gr_inventory_holds_nothing (const struct gr_steps *steps);
