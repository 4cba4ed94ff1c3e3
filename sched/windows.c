#include "sched/windows.h"

/* Sliding window over workers in order that finds the best run of adjacent
 * ones. */
struct window
{
  uint32_t wanted;
  uint32_t run;
  uint32_t candidates;
  uint32_t best_end;
  int64_t best_score;
  struct gr_candidate *found; /* one for each worker; owned */
};

static void
window_start (struct window *window, uint32_t wanted, uint32_t n_workers)
{
  window->wanted = wanted;
  window->run = 0;
  window->candidates = 0;
  window->best_end = 0;
  window->best_score = G_MAXINT64;
  window->found = g_renew (struct gr_candidate, window->found, n_workers + 1);
}

/* Adds the next worker; found[index] must be set if has_block is true. */
static void
window_add (struct window *window, uint32_t index, bool has_block)
{
  int64_t score = 0;

  if (!has_block)
    {
      window->run = 0;
      return;
    }
  window->candidates++;
  if (++window->run < window->wanted)
    return;
  for (uint32_t i = index + 1 - window->wanted; i <= index; i++)
    score += window->found[i].score;
  if (score >= window->best_score)
    return;
  window->best_score = score;
  window->best_end = index;
}

static void
scan_rack (const struct gr_core *core,
           const struct gr_search *search,
           const struct gr_core_rack *rack,
           struct window *window)
{
  window_start (window, search->shape.workers, rack->workers->len);
  for (uint32_t i = 0; i < rack->workers->len; i++)
    {
      const struct gr_core_worker *worker =
          g_ptr_array_index (rack->workers, i);
      const struct gr_core_worker *before =
          i > 0 ? g_ptr_array_index (rack->workers, i - 1) : NULL;

      if (before != NULL && worker->rack_slot != before->rack_slot + 1)
        window->run = 0;
      window_add (
          window, i,
          gr_best_block (core, worker, search, UINT32_MAX, &window->found[i]));
    }
}

/* Among windows of equal cost, the one in the rack with the fewest
 * candidates is preferred, so that entirely free racks are left to
 * other jobs. */
bool
gr_search_rack (struct gr_core *core,
                const struct gr_search *search,
                struct gr_block *block)
{
  uint32_t wanted = search->shape.workers;
  int64_t best_score = G_MAXINT64;
  uint32_t first = gr_first_rack (core, search);
  uint32_t n_improvements = 0;
  struct window window = { 0 };

  for (uint32_t r = 0; r < core->rack_list->len; r++)
    {
      struct gr_core_rack *rack = gr_rack_at (core, first + r);
      int64_t score;

      if (gr_rack_min_score (core, search, rack) < 0)
        continue;
      scan_rack (core, search, rack, &window);
      if (window.best_score == G_MAXINT64)
        continue;
      score = window.best_score * 64 + MIN (window.candidates - wanted, 63);
      if (score >= best_score)
        continue;
      best_score = score;
      gr_block_resize (block, wanted);
      for (uint32_t k = 0; k < wanted; k++)
        {
          uint32_t i = window.best_end + 1 - wanted + k;

          block->parts[k].worker = g_ptr_array_index (rack->workers, i);
          block->parts[k].mask = window.found[i].mask;
        }
      if (best_score == 0 || search->first_fit
          || ++n_improvements >= GR_MAX_COSTLY_CANDIDATES)
        break;
    }
  g_free (window.found);
  return best_score != G_MAXINT64;
}

bool
gr_search_in_slot (const struct gr_core *core,
                   const struct gr_search *search,
                   struct gr_block *block)
{
  const struct gr_block *whole = &search->guarantee_slot->block;
  uint32_t wanted = search->shape.workers;
  bool one_rack = wanted <= core->max_rack_workers;
  struct window window = { 0 };
  bool found;

  window_start (&window, wanted, whole->n);
  for (uint32_t i = 0; i < whole->n; i++)
    {
      const struct gr_core_worker *worker = whole->parts[i].worker;

      if (i > 0 && one_rack && worker->rack != whole->parts[i - 1].worker->rack)
        window.run = 0;
      window_add (&window, i,
                  gr_best_block (core, worker, search, whole->parts[i].mask,
                                 &window.found[i]));
    }
  found = window.best_score != G_MAXINT64;
  if (found)
    {
      gr_block_resize (block, wanted);
      for (uint32_t k = 0; k < wanted; k++)
        {
          uint32_t i = window.best_end + 1 - wanted + k;

          block->parts[k].worker = whole->parts[i].worker;
          block->parts[k].mask = window.found[i].mask;
        }
    }
  g_free (window.found);
  return found;
}

/* Workers that one rack offers to a gang over several racks. */
struct rack_capacity
{
  uint32_t workers;
  int64_t score;
};

static struct rack_capacity
measure_rack (const struct gr_core *core,
              const struct gr_search *search,
              const struct gr_core_rack *rack)
{
  struct rack_capacity capacity = { 0, 0 };

  for (uint32_t i = 0; i < rack->workers->len; i++)
    {
      struct gr_candidate found;

      if (!gr_best_block (core, g_ptr_array_index (rack->workers, i), search,
                          UINT32_MAX, &found))
        continue;
      capacity.workers++;
      capacity.score += found.score;
    }
  return capacity;
}

/* First rack of the best run of racks, or -1. Among runs of equal cost, the
 * one with the fewest racks is preferred. */
static int64_t
best_rack_run (const struct rack_capacity *capacities,
               uint32_t n_racks,
               uint32_t wanted)
{
  int64_t best_score = G_MAXINT64;
  int64_t best = -1;

  for (uint32_t start = 0; start < n_racks; start++)
    {
      uint32_t sum = 0;
      int64_t score = 0;
      uint32_t end = start;

      for (; end < n_racks && capacities[end].workers > 0 && sum < wanted;
           end++)
        {
          sum += capacities[end].workers;
          score += capacities[end].score;
        }
      score = score * 64 + (end - start);
      if (sum < wanted || score >= best_score)
        continue;
      best_score = score;
      best = start;
    }
  return best;
}

static void
fill_from_racks (const struct gr_core *core,
                 const struct gr_search *search,
                 uint32_t start,
                 struct gr_block *block)
{
  uint32_t filled = 0;

  gr_block_resize (block, search->shape.workers);
  for (uint32_t r = start; filled < block->n; r++)
    {
      const struct gr_core_rack *rack = gr_rack_at (core, r);

      for (uint32_t i = 0; i < rack->workers->len && filled < block->n; i++)
        {
          struct gr_core_worker *worker = g_ptr_array_index (rack->workers, i);
          struct gr_candidate found;

          if (!gr_best_block (core, worker, search, UINT32_MAX, &found))
            continue;
          block->parts[filled].worker = worker;
          block->parts[filled].mask = found.mask;
          filled++;
        }
    }
}

/* Workers without a suitable block are skipped, so that one failed worker does
 * not prevent a gang of hundreds from starting; a rack without any such block
 * ends the run. */
bool
gr_search_racks (struct gr_core *core,
                 const struct gr_search *search,
                 struct gr_block *block)
{
  uint32_t n_racks = core->rack_list->len;
  struct rack_capacity *capacities = g_new0 (struct rack_capacity, n_racks + 1);
  int64_t start;

  for (uint32_t r = 0; r < n_racks; r++)
    capacities[r] = measure_rack (core, search, gr_rack_at (core, r));
  start = best_rack_run (capacities, n_racks, search->shape.workers);
  g_free (capacities);
  if (start < 0)
    return false;
  fill_from_racks (core, search, (uint32_t)start, block);
  return true;
}
