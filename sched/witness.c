#include "sched/witness.h"

#include "sched/cells.h"
#include "sched/jobs.h"

/* A repack that failed is not tried again before this, because it searches
 * the pool once for each unit. */
#define REPACK_PAUSE_MS 10000

void
gr_unit_free (struct gr_core_unit *unit)
{
  gr_cell_clear (&unit->cell);
  g_free (unit);
}

static void
mark_cell (struct gr_core *core,
           const struct gr_cell *cell,
           struct gr_core_unit *from,
           struct gr_core_unit *to)
{
  for (uint32_t i = 0; i < cell->n; i++)
    {
      struct gr_core_worker *worker = cell->parts[i].worker;
      uint32_t mask = cell->parts[i].mask;

      for (uint32_t a = 0; a < worker->accelerators; a++)
        if ((mask & (1U << a)) != 0)
          {
            g_assert (worker->unit[a] == from);
            worker->unit[a] = to;
          }
      if (to != NULL)
        worker->in_unit |= mask;
      else
        worker->in_unit &= ~mask;
      gr_worker_touch (core, worker);
    }
}

static void
drop_cell (struct gr_core *core, struct gr_core_unit *unit)
{
  mark_cell (core, &unit->cell, unit, NULL);
  gr_cell_clear (&unit->cell);
}

static void
make_homeless (struct gr_core *core, struct gr_core_unit *unit)
{
  g_assert (unit->in_use == 0);
  if (unit->cell.n == 0)
    return;
  drop_cell (core, unit);
  g_ptr_array_add (core->homeless, unit);
  core->witness_dirty = true;
}

void
gr_unit_set_cell (struct gr_core *core,
                  struct gr_core_unit *unit,
                  const struct gr_cell *cell)
{
  struct gr_cell copy = { cell->n, g_memdup2 (cell->parts,
                                              cell->n * sizeof *cell->parts) };

  g_assert (unit->in_use == 0 && cell->n == unit->shape.workers);
  if (unit->cell.n > 0)
    drop_cell (core, unit);
  else
    g_ptr_array_remove_fast (core->homeless, unit);
  unit->cell = copy;
  mark_cell (core, &unit->cell, NULL, unit);
}

void
gr_unit_use (struct gr_core_unit *unit)
{
  g_assert (unit->cell.n > 0);
  unit->in_use++;
}

void
gr_unit_leave (struct gr_core *core, struct gr_core_unit *unit)
{
  g_assert (unit->in_use > 0);
  unit->in_use--;
  core->witness_dirty = true;
  if (unit->in_use > 0)
    return;
  for (uint32_t i = 0; i < unit->cell.n; i++)
    if (!unit->cell.parts[i].worker->usable)
      {
        make_homeless (core, unit);
        return;
      }
}

static int
compare_sizes (const void *a, const void *b)
{
  const struct gr_core_unit *const *left = a;
  const struct gr_core_unit *const *right = b;
  uint32_t left_size =
      (*left)->shape.workers * (*left)->shape.accelerators_per_worker;
  uint32_t right_size =
      (*right)->shape.workers * (*right)->shape.accelerators_per_worker;

  if (left_size != right_size)
    return left_size < right_size ? -1 : 1;
  return 0;
}

static struct gr_core_unit *
unit_create (struct gr_core *core,
             struct gr_core_account *account,
             const struct gr_shape *shape)
{
  struct gr_core_unit *unit = g_new0 (struct gr_core_unit, 1);

  unit->account = account;
  unit->shape = *shape;
  g_ptr_array_add (account->units, unit);
  g_ptr_array_add (core->homeless, unit);
  return unit;
}

/* Jobs of a guarantee that is gone go on without it: they can be stopped for
 * others unless they must not run again. */
static void
unit_remove (struct gr_core *core, struct gr_core_unit *unit)
{
  for (GList *link = unit->account->active.head; link; link = link->next)
    {
      struct gr_core_job *job = link->data;

      if (job->unit != unit)
        continue;
      job->unit = NULL;
      job->pinned = !job->record.spec.idempotent;
      for (uint32_t i = 0; i < job->n_members; i++)
        {
          struct gr_core_member *member = &job->members[i];

          if (member->worker != NULL && !member->released && !job->pinned)
            member->worker->pinned &= ~member->mask;
        }
    }
  for (uint32_t i = core->claiming->len; i > 0; i--)
    {
      struct gr_core_job *job = g_ptr_array_index (core->claiming, i - 1);

      if (job->claim_unit == unit)
        gr_claim_drop (core, job);
    }
  unit->in_use = 0;
  if (unit->cell.n > 0)
    drop_cell (core, unit);
  else
    g_ptr_array_remove_fast (core->homeless, unit);
  gr_unit_free (unit);
}

void
gr_witness_set_guarantees (struct gr_core *core,
                           struct gr_core_account *account,
                           const struct gr_account_settings *settings)
{
  GPtrArray *old = account->units;

  account->units = g_ptr_array_new ();
  for (uint32_t g = 0; g < settings->n_guarantees; g++)
    {
      const struct gr_guarantee *guarantee = &settings->guarantees[g];

      if (g_strcmp0 (guarantee->data_centre, core->config.data_centre) != 0
          && guarantee->data_centre[0] != '\0')
        continue;
      for (uint32_t c = 0; c < guarantee->count; c++)
        {
          struct gr_core_unit *kept = NULL;

          for (uint32_t i = 0; i < old->len && kept == NULL; i++)
            {
              struct gr_core_unit *unit = g_ptr_array_index (old, i);

              if (unit->shape.workers == guarantee->shape.workers
                  && unit->shape.accelerators_per_worker
                         == guarantee->shape.accelerators_per_worker)
                kept = unit;
            }
          if (kept == NULL)
            unit_create (core, account, &guarantee->shape);
          else
            {
              g_ptr_array_remove (old, kept);
              g_ptr_array_add (account->units, kept);
            }
        }
    }
  for (uint32_t i = 0; i < old->len; i++)
    unit_remove (core, g_ptr_array_index (old, i));
  /* Small jobs take the smallest unit that holds them. */
  g_ptr_array_sort (account->units, compare_sizes);
  g_ptr_array_free (old, TRUE);
  core->witness_dirty = true;
  core->next_repack_ms = 0;
  core->place_dirty = true;
}

void
gr_witness_worker_changed (struct gr_core *core, struct gr_core_worker *worker)
{
  core->witness_dirty = true;
  core->next_repack_ms = 0;
  if (worker->usable)
    return;
  for (uint32_t a = 0; a < worker->accelerators; a++)
    if (worker->unit[a] != NULL && worker->unit[a]->in_use == 0)
      make_homeless (core, worker->unit[a]);
}

/* Takes the cells of other unused units off the accelerators. */
static void
make_way (struct gr_core *core,
          const struct gr_cell_part *part,
          const struct gr_core_unit *except)
{
  for (uint32_t a = 0; a < part->worker->accelerators; a++)
    {
      struct gr_core_unit *unit = part->worker->unit[a];

      if ((part->mask & (1U << a)) != 0 && unit != NULL && unit != except
          && unit->in_use == 0)
        make_homeless (core, unit);
    }
}

/* Cell of the unit's shape that starts at the job's first member; false if
 * the members do not lie in it or it is not free of other units. */
static bool
cell_around (const struct gr_core_job *job,
             const struct gr_core_unit *unit,
             struct gr_cell *cell)
{
  const struct gr_core_worker *first = job->members[0].worker;
  uint32_t size = unit->shape.accelerators_per_worker;
  uint32_t align = gr_block_align (size);
  uint32_t offset =
      (uint32_t)__builtin_ctz (job->members[0].mask) / align * align;
  uint32_t mask = ((1U << size) - 1) << offset;
  uint32_t from = 0;

  if (offset + size > first->accelerators)
    return false;
  while (g_ptr_array_index (first->rack->workers, from) != first)
    from++;
  if (unit->shape.workers > first->rack->workers->len)
    return false;
  from = MIN (from, first->rack->workers->len - unit->shape.workers);
  cell->n = unit->shape.workers;
  cell->parts = g_new0 (struct gr_cell_part, cell->n);
  for (uint32_t i = 0; i < cell->n; i++)
    {
      struct gr_core_worker *worker =
          g_ptr_array_index (first->rack->workers, from + i);

      cell->parts[i].worker = worker;
      cell->parts[i].mask = mask;
      if ((worker->all & mask) != mask
          || (i > 0
              && worker->rack_slot != cell->parts[i - 1].worker->rack_slot + 1))
        return false;
    }
  return true;
}

static bool
covers (const struct gr_cell *cell, const struct gr_core_job *job)
{
  for (uint32_t m = 0; m < job->n_members; m++)
    {
      const struct gr_core_member *member = &job->members[m];
      bool inside = false;

      for (uint32_t i = 0; i < cell->n && !inside; i++)
        inside = cell->parts[i].worker == member->worker
                 && (member->mask & ~cell->parts[i].mask) == 0;
      if (!inside)
        return false;
    }
  return true;
}

/* Nothing in the cell belongs to a unit in use, or is pinned by others. */
static bool
may_take (const struct gr_cell *cell, const struct gr_core_job *job)
{
  for (uint32_t i = 0; i < cell->n; i++)
    {
      const struct gr_core_worker *worker = cell->parts[i].worker;

      for (uint32_t a = 0; a < worker->accelerators; a++)
        {
          if ((cell->parts[i].mask & (1U << a)) == 0)
            continue;
          if (worker->unit[a] != NULL && worker->unit[a]->in_use > 0)
            return false;
          if ((worker->pinned & (1U << a)) != 0
              && (worker->holder[a] == NULL || worker->holder[a]->job != job))
            return false;
        }
    }
  return true;
}

struct gr_core_unit *
gr_witness_attach (struct gr_core *core, struct gr_core_job *job)
{
  const GPtrArray *units = job->account->units;

  for (uint32_t i = 0; i < units->len; i++)
    {
      struct gr_core_unit *unit = g_ptr_array_index (units, i);

      if (unit->in_use > 0 && covers (&unit->cell, job))
        return unit;
    }
  for (uint32_t i = 0; i < units->len; i++)
    {
      struct gr_core_unit *unit = g_ptr_array_index (units, i);
      struct gr_cell cell = { 0, NULL };
      bool taken = false;

      if (unit->in_use == 0 && gr_job_fits_unit (core, &job->record.spec, unit)
          && cell_around (job, unit, &cell) && covers (&cell, job)
          && may_take (&cell, job))
        {
          for (uint32_t p = 0; p < cell.n; p++)
            make_way (core, &cell.parts[p], unit);
          gr_unit_set_cell (core, unit, &cell);
          taken = true;
        }
      gr_cell_clear (&cell);
      if (taken)
        return unit;
    }
  return NULL;
}

/* Finds cells for the units in core->homeless; false if some have none. */
static bool
house_all (struct gr_core *core, bool first_fit)
{
  g_autoptr (GPtrArray) units = g_ptr_array_copy (core->homeless, NULL, NULL);
  uint32_t first_rack = 0;

  g_ptr_array_sort (units, compare_sizes);
  for (uint32_t i = units->len; i > 0; i--)
    {
      struct gr_core_unit *unit = g_ptr_array_index (units, i - 1);
      struct gr_cell cell = { 0, NULL };
      struct gr_search search;

      gr_search_for_unit (core, unit, &search);
      search.first_fit = first_fit;
      search.first_rack = first_rack;
      search.mode = GR_SEARCH_UNIT_FREE;
      if (first_fit || !gr_search_all (core, &search, &cell))
        {
          search.mode = GR_SEARCH_UNIT;
          if (!gr_search_all (core, &search, &cell))
            continue;
        }
      gr_unit_set_cell (core, unit, &cell);
      /* The next unit is not larger, so that the racks before were full for
       * it, too, or hold it as well as others. */
      first_rack = cell.parts[0].worker->rack->index;
      gr_cell_clear (&cell);
    }
  return core->homeless->len == 0;
}

/* Places all unused units anew, the largest first: with aligned blocks of
 * powers of two this finds an assignment whenever there is one within
 * workers. */
static void
repack (struct gr_core *core)
{
  for (uint32_t a = 0; a < core->account_list->len; a++)
    {
      const struct gr_core_account *account =
          g_ptr_array_index (core->account_list, a);

      for (uint32_t i = 0; i < account->units->len; i++)
        {
          struct gr_core_unit *unit = g_ptr_array_index (account->units, i);

          if (unit->in_use == 0)
            make_homeless (core, unit);
        }
    }
  house_all (core, true);
}

void
gr_system_witness (struct gr_core *core)
{
  if (core->homeless->len == 0 || !core->witness_dirty)
    {
      core->witness_dirty = false;
      return;
    }
  core->witness_dirty = false;
  if (house_all (core, false))
    return;
  if (core->now_ms < core->next_repack_ms)
    {
      core->witness_dirty = true;
      return;
    }
  repack (core);
  core->next_repack_ms = core->now_ms + REPACK_PAUSE_MS;
  core->witness_dirty = false;
}
