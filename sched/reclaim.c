#include "sched/cells.h"
#include "sched/gang.h"
#include "sched/jobs.h"
#include "sched/learn.h"
#include "sched/place.h"
#include "sched/witness.h"

/* Jobs of one account that fail to get a place in one pass; the others of the
 * account are tried in a later one. */
#define MAX_GUARANTEED_MISSES 16

bool
gr_quota_allows (const struct gr_core_account *account, uint32_t n)
{
  uint32_t quota = account->settings.quota_accelerators;

  return quota == 0 || account->used + account->claimed + n <= quota;
}

static void
stop_holders (struct gr_core *core, const struct gr_cell *cell)
{
  for (uint32_t i = 0; i < cell->n; i++)
    {
      const struct gr_core_worker *worker = cell->parts[i].worker;

      for (uint32_t a = 0; a < worker->accelerators; a++)
        {
          struct gr_core_member *member = worker->holder[a];

          if ((cell->parts[i].mask & (1U << a)) == 0 || member == NULL)
            continue;
          gr_gang_stop (core, member->job, GR_STOP_PREEMPT,
                        "stopped for other work");
        }
    }
}

void
gr_claim_and_stop (struct gr_core *core,
                   struct gr_core_job *job,
                   const struct gr_cell *cell,
                   struct gr_core_unit *unit)
{
  gr_claim_set (core, job, cell, unit);
  stop_holders (core, cell);
}

static bool
all_usable (const struct gr_cell *cell)
{
  for (uint32_t i = 0; i < cell->n; i++)
    if (!cell->parts[i].worker->usable)
      return false;
  return true;
}

static bool
all_free (const struct gr_cell *cell)
{
  for (uint32_t i = 0; i < cell->n; i++)
    {
      const struct gr_core_worker *worker = cell->parts[i].worker;

      if (((worker->held | worker->foreign) & cell->parts[i].mask) != 0)
        return false;
    }
  return true;
}

void
gr_serve_claims (struct gr_core *core)
{
  for (uint32_t i = core->claiming->len; i > 0; i--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->claiming, i - 1);

      if (!all_usable (&job->claim))
        gr_claim_drop (core, job);
      else if (core->durable && all_free (&job->claim))
        {
          struct gr_cell cell = job->claim;
          struct gr_core_unit *unit = job->claim_unit;

          cell.parts = g_memdup2 (cell.parts, cell.n * sizeof *cell.parts);
          /* The claim counts against the quota until it is placed. */
          gr_gang_place (core, job, &cell, unit);
          gr_cell_clear (&cell);
        }
    }
}

/* True if nothing in the reserved cell has to end by itself. */
static bool
is_ripe (const struct gr_core *core, const struct gr_core_job *job)
{
  const struct gr_cell *cell = &job->reserve;

  for (uint32_t i = 0; i < cell->n; i++)
    {
      const struct gr_core_worker *worker = cell->parts[i].worker;
      uint32_t mask = cell->parts[i].mask;

      if (((worker->foreign | worker->claimed | worker->pinned
            | gr_kept_mask (core, worker, job))
           & mask)
          != 0)
        return false;
      for (uint32_t a = 0; a < worker->accelerators; a++)
        if ((mask & (1U << a)) != 0 && worker->holder[a] != NULL
            && !worker->holder[a]->job->backfilled
            && worker->holder[a]->job->phase < GR_PHASE_CHECKPOINTING)
          return false;
    }
  return true;
}

void
gr_serve_reservations (struct gr_core *core)
{
  for (uint32_t i = core->reserving->len; i > 0; i--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->reserving, i - 1);
      bool ripe = is_ripe (core, job);

      if (!all_usable (&job->reserve)
          || (!ripe && core->now_ms > job->reserve_start_ms))
        gr_reserve_drop (core, job);
      else if (core->durable && ripe
               && gr_quota_allows (job->account,
                                   gr_cell_accelerators (&job->reserve)
                                       + job->account->quota_demand))
        {
          struct gr_cell cell = job->reserve;

          cell.parts = g_memdup2 (cell.parts, cell.n * sizeof *cell.parts);
          gr_claim_and_stop (core, job, &cell, NULL);
          gr_cell_clear (&cell);
        }
    }
}

void
gr_reserve (struct gr_core *core, struct gr_core_job *job)
{
  struct gr_search search;
  struct gr_cell cell = { 0, NULL };
  int64_t wait_ms = 0;

  gr_search_for_job (core, job, &search);
  search.mode = GR_SEARCH_RESERVE;
  if (!gr_search_all (core, &search, &cell))
    return;
  for (uint32_t i = 0; i < cell.n; i++)
    for (uint32_t a = 0; a < cell.parts[i].worker->accelerators; a++)
      {
        const struct gr_core_member *member = cell.parts[i].worker->holder[a];

        if ((cell.parts[i].mask & (1U << a)) != 0 && member != NULL)
          wait_ms = MAX (wait_ms, gr_expected_rest_ms (core, member->job));
      }
  gr_reserve_set (core, job, &cell, core->now_ms + wait_ms);
  gr_cell_clear (&cell);
}

/* --- Guarantees --------------------------------------------------------- */

/* Accelerators of the account that its guaranteed work may get from its own
 * borrowed work, and those of them that are being freed already. */
static uint32_t
count_borrowed (const struct gr_core_account *account, uint32_t *coming)
{
  uint32_t borrowed = 0;

  *coming = 0;
  for (GList *link = account->active.head; link != NULL; link = link->next)
    {
      const struct gr_core_job *job = link->data;

      if (!job->pinned)
        borrowed += job->held;
      if (job->phase >= GR_PHASE_CHECKPOINTING)
        *coming += job->held;
    }
  return borrowed;
}

static struct gr_core_job *
least_loss (const struct gr_core *core, const struct gr_core_account *account)
{
  struct gr_core_job *best = NULL;
  int64_t best_loss = 0;

  for (GList *link = account->active.head; link != NULL; link = link->next)
    {
      struct gr_core_job *job = link->data;
      int64_t loss = gr_loss_of_stop (core, job);

      if (job->pinned || job->phase >= GR_PHASE_CHECKPOINTING
          || (best != NULL && loss >= best_loss))
        continue;
      best = job;
      best_loss = loss;
    }
  return best;
}

/* The account's own borrowed work gives way to its guarantee when the quota
 * does not hold both. Until then it starts no other borrowed work. */
static void
make_room_in_quota (struct gr_core *core,
                    struct gr_core_account *account,
                    uint32_t n)
{
  uint32_t quota = account->settings.quota_accelerators;
  uint32_t coming;
  uint32_t borrowed = count_borrowed (account, &coming);

  if (account->used + account->claimed + n > quota + borrowed)
    return;
  account->quota_demand = n;
  while (account->used + account->claimed + n > quota + coming)
    {
      struct gr_core_job *job = least_loss (core, account);

      if (job == NULL)
        return;
      coming += job->held;
      gr_gang_stop (core, job, GR_STOP_PREEMPT,
                    "stopped for guaranteed work of the account");
    }
}

/* Places or claims the cell, within the quota. */
static bool
take_in_unit (struct gr_core *core,
              struct gr_core_job *job,
              struct gr_core_unit *unit,
              const struct gr_cell *cell)
{
  uint32_t n = gr_cell_accelerators (cell);

  /* It may have claimed a cell as borrowed work. */
  gr_claim_drop (core, job);
  if (!gr_quota_allows (job->account, n))
    {
      make_room_in_quota (core, job->account, n);
      return false;
    }
  gr_claims_make_way (core, cell);
  if (all_free (cell))
    gr_gang_place (core, job, cell, unit);
  else
    gr_claim_and_stop (core, job, cell, unit);
  return true;
}

static bool
place_in_unit (struct gr_core *core,
               struct gr_core_job *job,
               struct gr_core_unit *unit,
               enum gr_search_mode mode)
{
  struct gr_search search;
  struct gr_cell cell = { 0, NULL };
  bool placed;

  if (unit->cell.n == 0)
    return false;
  gr_search_for_job (core, job, &search);
  search.unit = unit;
  search.mode = mode;
  placed = gr_search_in_unit (core, &search, &cell)
           && take_in_unit (core, job, unit, &cell);
  gr_cell_clear (&cell);
  return placed;
}

/* Moves an unused unit to the cell where the least is lost. */
static bool
move_unit (struct gr_core *core,
           struct gr_core_unit *unit,
           enum gr_search_mode mode)
{
  struct gr_search search;
  struct gr_cell cell = { 0, NULL };
  bool found;

  gr_search_for_unit (core, unit, &search);
  search.mode = mode;
  found = gr_search_all (core, &search, &cell);
  if (found)
    gr_unit_set_cell (core, unit, &cell);
  gr_cell_clear (&cell);
  return found;
}

/* One way to find room in the units of an account. */
struct attempt
{
  enum gr_search_mode mode;
  bool in_use; /* look at units that are used in part, or at unused ones */
  bool move;   /* an unused unit may get another cell */
};

/* Free room as it is, in units that are used anyway first; then an unused unit
 * moved to free accelerators; then stopping other work; and last less urgent
 * work of the account itself. */
static const struct attempt attempts[] = {
  { GR_SEARCH_UNIT_FREE, true, false }, { GR_SEARCH_UNIT_FREE, false, false },
  { GR_SEARCH_UNIT_FREE, false, true }, { GR_SEARCH_UNIT, false, true },
  { GR_SEARCH_UNIT, true, false },      { GR_SEARCH_OWN, true, false },
};

static bool
same_shape (const struct gr_core_unit *a, const struct gr_core_unit *b)
{
  return a->shape.workers == b->shape.workers
         && a->shape.accelerators_per_worker
                == b->shape.accelerators_per_worker;
}

static bool
try_units (struct gr_core *core,
           struct gr_core_job *job,
           const struct attempt *attempt)
{
  const GPtrArray *units = job->account->units;
  const struct gr_core_unit *failed = NULL;

  for (uint32_t i = 0; i < units->len; i++)
    {
      struct gr_core_unit *unit = g_ptr_array_index (units, i);

      if (unit->cell.n == 0 || (unit->in_use > 0) != attempt->in_use
          || !gr_job_fits_unit (core, &job->record.spec, unit)
          || (attempt->move && failed != NULL && same_shape (failed, unit)))
        continue;
      if (attempt->move && !move_unit (core, unit, attempt->mode))
        failed = unit;
      else if (place_in_unit (core, job, unit, attempt->mode))
        return true;
    }
  return false;
}

static bool
place_guaranteed_job (struct gr_core *core, struct gr_core_job *job)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (attempts); i++)
    if (try_units (core, job, &attempts[i]))
      return true;
  return false;
}

static void
place_account (struct gr_core *core, struct gr_core_account *account)
{
  uint32_t misses = 0;

  account->quota_demand = 0;
  for (uint32_t priority = 0; priority < GR_N_PRIORITIES; priority++)
    {
      const struct gr_job_spec *failed = NULL;
      GSequenceIter *iter =
          g_sequence_get_begin_iter (account->waiting[priority]);

      while (!g_sequence_iter_is_end (iter) && misses < MAX_GUARANTEED_MISSES
             && core->placed < GR_MAX_PLACED)
        {
          struct gr_core_job *job = g_sequence_get (iter);
          const struct gr_job_spec *spec = &job->record.spec;

          iter = g_sequence_iter_next (iter);
          if (job->claim_unit != NULL || job->not_before_ms > core->now_ms
              || (failed != NULL && failed->shape.workers <= spec->shape.workers
                  && failed->shape.accelerators_per_worker
                         <= spec->shape.accelerators_per_worker))
            continue;
          if (place_guaranteed_job (core, job))
            continue;
          failed = spec;
          misses++;
        }
    }
}

void
gr_place_guaranteed (struct gr_core *core)
{
  uint32_t n = core->account_list->len;

  /* Another account is first each time, since the starts of a tick are
   * bounded. */
  core->account_cursor++;
  for (uint32_t i = 0; i < n; i++)
    {
      struct gr_core_account *account = g_ptr_array_index (
          core->account_list, (core->account_cursor + i) % n);

      if (account->units->len > 0)
        place_account (core, account);
    }
}
