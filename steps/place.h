/* Functions of the placement pass (place.c), split by job: rank.c orders the
 * steps, fit.c tells what fits on a worker, place-gangs.c (with candidates.c)
 * and place-tasks.c choose the workers. Private to these files. */
#pragma once

#include "steps/tables.h"

/* Steps that are ready and have waiting tasks, in the order in which they are
 * tried. Free with g_ptr_array_unref (). */
GPtrArray *gr_rank_steps (struct gr_steps *steps);

/* True if the rack had too few free accelerators for so many tasks of the step
 * at the start of the pass. Capacity that is freed within a pass counts from
 * the next one on. Saves most of a pass on a full site; never true with
 * objectives off, when each pass is as it was before. */
bool gr_rack_is_known_full (const struct gr_steps *steps,
                            const struct rack *rack,
                            const struct step *step,
                            uint32_t n_tasks);
/* True if the workers of the step are chosen by speed: they differ in it, and
 * the step ends by itself. Also in GR_MODE_OBSERVE. */
bool gr_place_by_speed (const struct gr_steps *steps, const struct step *step);
/* Counts whether a start at this slowness is expected to meet the objective, at
 * the first start of the step. */
void gr_place_count_expected (struct gr_steps *steps,
                              struct step *step,
                              double slowness);
/* Starts the whole gang, or nothing. Returns false if it does not fit. */
bool gr_place_gang (struct gr_steps *steps, struct step *step);
/* Starts as many waiting tasks as fit. Returns false if no worker has capacity
 * for one of them. */
bool gr_place_tasks (struct gr_steps *steps, struct step *step);
/* Assigns the task to the worker and queues its start. */
void gr_place_task_on (struct gr_steps *steps,
                       struct task *task,
                       struct worker *worker,
                       uint32_t run);
/* Urgent starts are sent before others, so a backlog does not hold them
 * back. */
bool gr_place_may_queue_start (const struct gr_steps *steps,
                               const struct step *step);
