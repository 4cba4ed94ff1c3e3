/* Workers with free capacity for a gang, and the choice among them. Private to
 * steps/. */
#pragma once

#include "steps/tables.h"

struct candidate
{
  struct worker *worker;
  uint32_t slots;             /* tasks of the step that fit */
  uint32_t free_accelerators; /* on the worker; the fewer, the better the fit */
};

/* The given workers that have capacity for at least one task of the step: an
 * array of struct candidate. Free with g_array_unref (). */
GArray *gr_candidates_find (struct gr_steps *steps,
                            struct step *step,
                            GPtrArray *workers);
uint32_t gr_candidates_slots (const GArray *candidates);
/* Sorts racks and then workers with the least free capacity first, so that
 * whole racks and workers stay free for gangs and large tasks. */
void gr_candidates_sort_by_fit (GArray *candidates);

/* Members of a gang by speed. */
struct gang_choice
{
  double slowness; /* of the slowest member */
  uint64_t
      cost; /* capacity that others lose: thousandths of tasks times speed */
};

/* Keeps the candidates that a gang of n_tasks should use, in the order of use.
 * If enough of them are no slower than max_slowness, these are the slowest of
 * them; otherwise, those with which the slowest member is fastest. Among
 * workers of the same speed those with the least free capacity. The candidates
 * must have at least n_tasks slots. */
struct gang_choice gr_candidates_choose (GArray *candidates,
                                         uint32_t n_tasks,
                                         double max_slowness);
