#include "sched/tables.h"

#include "sched/witness.h"

#include <string.h>

void
gr_core_set_now (struct gr_core *core, int64_t now_ms)
{
  if (core->first_ms < 0)
    {
      core->first_ms = now_ms;
      core->last_tick_ms = now_ms;
    }
  if (now_ms > core->now_ms)
    core->now_ms = now_ms;
}

void
gr_block_clear (struct gr_block *block)
{
  g_free (block->parts);
  block->parts = NULL;
  block->n = 0;
}

uint32_t
gr_block_accelerators (const struct gr_block *block)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < block->n; i++)
    sum += gr_mask_count (block->parts[i].mask);
  return sum;
}

static int
compare_accounts (const void *a, const void *b)
{
  const struct gr_core_account *const *left = a;
  const struct gr_core_account *const *right = b;

  return strcmp ((*left)->settings.name, (*right)->settings.name);
}

struct gr_core_account *
gr_account_get (struct gr_core *core, const char *name)
{
  struct gr_core_account *account = g_hash_table_lookup (core->accounts, name);

  if (account != NULL)
    return account;
  account = g_new0 (struct gr_core_account, 1);
  g_strlcpy (account->settings.name, name, sizeof account->settings.name);
  account->guarantee_slots = g_ptr_array_new ();
  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    account->waiting[p] = g_sequence_new (NULL);
  g_hash_table_insert (core->accounts, account->settings.name, account);
  g_ptr_array_add (core->account_list, account);
  g_ptr_array_sort (core->account_list, compare_accounts);
  return account;
}

void
gr_account_free (void *data)
{
  struct gr_core_account *account = data;

  for (uint32_t i = 0; i < account->guarantee_slots->len; i++)
    gr_guarantee_slot_free (g_ptr_array_index (account->guarantee_slots, i));
  g_ptr_array_free (account->guarantee_slots, TRUE);
  for (uint32_t p = 0; p < GR_N_PRIORITIES; p++)
    g_sequence_free (account->waiting[p]);
  g_free (account);
}

/* Racks are adjacent in the numeric order of their names. */
static int
compare_racks (const void *a, const void *b)
{
  const struct gr_core_rack *const *left = a;
  const struct gr_core_rack *const *right = b;

  return strverscmp ((*left)->name, (*right)->name);
}

static int
compare_rack_slots (const void *a, const void *b)
{
  const struct gr_core_worker *const *left = a;
  const struct gr_core_worker *const *right = b;

  if ((*left)->rack_slot != (*right)->rack_slot)
    return (*left)->rack_slot < (*right)->rack_slot ? -1 : 1;
  return strverscmp ((*left)->name, (*right)->name);
}

void
gr_rack_free (void *data)
{
  struct gr_core_rack *rack = data;

  g_ptr_array_free (rack->workers, TRUE);
  g_array_free (rack->absent, TRUE);
  g_free (rack);
}

static struct gr_core_rack *
rack_get (struct gr_core *core, const char *name)
{
  struct gr_core_rack *rack = g_hash_table_lookup (core->racks, name);

  if (rack != NULL)
    return rack;
  rack = g_new0 (struct gr_core_rack, 1);
  g_strlcpy (rack->name, name, sizeof rack->name);
  rack->workers = g_ptr_array_new ();
  rack->absent = g_array_new (FALSE, FALSE, sizeof (struct gr_absent_worker));
  rack->dirty = true;
  g_hash_table_insert (core->racks, rack->name, rack);
  g_ptr_array_add (core->rack_list, rack);
  g_ptr_array_sort (core->rack_list, compare_racks);
  for (uint32_t i = 0; i < core->rack_list->len; i++)
    ((struct gr_core_rack *)g_ptr_array_index (core->rack_list, i))->index = i;
  return rack;
}

static uint32_t
type_get (struct gr_core *core, const struct gr_worker_report *report)
{
  struct gr_worker_type *type;

  for (uint32_t i = 0; i < core->n_types; i++)
    if (core->types[i].accelerators == report->accelerators
        && core->types[i].cores == report->cores
        && core->types[i].memory_mb == report->memory_mb)
      return i;
  if (core->n_types < GR_MAX_WORKER_TYPES)
    {
      type = &core->types[core->n_types];
      type->accelerators = report->accelerators;
      type->cores = report->cores;
      type->memory_mb = report->memory_mb;
      return core->n_types++;
    }
  /* The table is full: the last type gets the minimum of all workers that
   * share it, so that no task is placed where it does not fit. */
  type = &core->types[GR_MAX_WORKER_TYPES - 1];
  type->accelerators = MIN (type->accelerators, report->accelerators);
  type->cores = MIN (type->cores, report->cores);
  type->memory_mb = MIN (type->memory_mb, report->memory_mb);
  return GR_MAX_WORKER_TYPES - 1;
}

struct gr_core_worker *
gr_worker_find (const struct gr_core *core, const char *name)
{
  return g_hash_table_lookup (core->workers, name);
}

struct gr_core_worker *
gr_worker_get (struct gr_core *core, const struct gr_worker_report *report)
{
  struct gr_core_worker *worker = gr_worker_find (core, report->worker);
  struct gr_core_rack *rack;

  if (worker != NULL)
    return worker;
  rack = rack_get (core, report->rack);
  worker = g_new0 (struct gr_core_worker, 1);
  g_strlcpy (worker->name, report->worker, sizeof worker->name);
  g_strlcpy (worker->incarnation, report->incarnation,
             sizeof worker->incarnation);
  worker->rack = rack;
  worker->rack_slot = report->rack_slot;
  worker->accelerators = MIN (report->accelerators, GR_MAX_ACCELERATORS);
  worker->all = (1U << worker->accelerators) - 1;
  worker->type = type_get (core, report);
  worker->contact_link.data = worker;
  worker->renew_link.data = worker;
  worker->silent = true;
  g_hash_table_insert (core->workers, worker->name, worker);
  g_ptr_array_add (rack->workers, worker);
  g_ptr_array_sort (rack->workers, compare_rack_slots);
  core->max_rack_workers = MAX (core->max_rack_workers, rack->workers->len);
  return worker;
}

void
gr_worker_free (void *data)
{
  g_free (data);
}

/* Remembers the place of the worker. A place is listed once. */
static void
remember_absent (const struct gr_core *core,
                 const struct gr_core_worker *worker)
{
  GArray *list = worker->rack->absent;
  struct gr_absent_worker absent = {
    .rack_slot = worker->rack_slot,
    .type = worker->type,
    .removed_ms = core->now_ms,
  };

  for (guint i = list->len; i > 0; i--)
    if (g_array_index (list, struct gr_absent_worker, i - 1).rack_slot
        == worker->rack_slot)
      g_array_remove_index_fast (list, i - 1);
  g_array_append_val (list, absent);
}

void
gr_worker_remove (struct gr_core *core, struct gr_core_worker *worker)
{
  g_assert (worker->held == 0 && worker->slot_mask == 0);
  if (!worker->replaced)
    remember_absent (core, worker);
  gr_worker_untrack_contact (worker);
  if (worker->in_renew)
    g_queue_unlink (&core->renewals[worker->renew_slot], &worker->renew_link);
  g_ptr_array_remove_fast (core->quarantined, worker);
  g_ptr_array_remove (worker->rack->workers, worker);
  worker->rack->dirty = true;
  g_hash_table_remove (core->workers, worker->name);
}

void
gr_worker_capacity_changed (struct gr_core *core, struct gr_core_worker *worker)
{
  worker->rack->dirty = true;
  core->place_dirty = true;
}

void
gr_worker_update (struct gr_core *core, struct gr_core_worker *worker)
{
  bool usable = !worker->silent && !worker->suspect && !worker->leaving
                && !worker->removed && !worker->replaced
                && (!worker->quarantined || worker->closed_to != NULL);

  if (usable == worker->usable)
    return;
  worker->usable = usable;
  gr_worker_capacity_changed (core, worker);
  gr_guarantee_slots_worker_changed (core, worker);
}

void
gr_worker_untrack_contact (struct gr_core_worker *worker)
{
  if (worker->contact_queue != NULL)
    g_queue_unlink (worker->contact_queue, &worker->contact_link);
  worker->contact_queue = NULL;
}

static void
track_contact (struct gr_core *core, struct gr_core_worker *worker)
{
  gr_worker_untrack_contact (worker);
  worker->last_contact_active_ms = core->active_ms;
  worker->contact_queue =
      worker->held != 0 ? &core->contact_busy : &core->contact_idle;
  g_queue_push_tail_link (worker->contact_queue, &worker->contact_link);
}

void
gr_worker_busy_changed (struct gr_core *core, struct gr_core_worker *worker)
{
  /* The timeout restarts, because a call to the worker was just sent or
   * answered. */
  if (worker->contact_queue != NULL)
    track_contact (core, worker);
}

void
gr_worker_mark_contacted (struct gr_core *core, struct gr_core_worker *worker)
{
  track_contact (core, worker);
  core->contacted = true;
  worker->last_contact_ms = core->now_ms;
  worker->silent = false;
  worker->suspect = false;
  worker->removed = false;
  gr_worker_update (core, worker);
}

void
gr_job_free (void *data)
{
  struct gr_core_job *job = data;

  for (uint32_t i = 0; i < job->n_members; i++)
    {
      g_free (job->members[i].id);
      g_free (job->members[i].expected_worker);
    }
  g_free (job->members);
  g_clear_pointer (&job->failed_workers, g_ptr_array_unref);
  gr_block_clear (&job->claim);
  gr_block_clear (&job->reservation);
  gr_job_record_clear (&job->record);
  g_free (job);
}
