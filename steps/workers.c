#include "steps/ends.h"
#include "steps/inventory.h"
#include "steps/losses.h"
#include "steps/samples.h"

#include "common/log.h"

#include <string.h>

/* A reservation that its step has not used within this time is dropped: stops
 * take 200 ms, and their ends are read within about 100 ms more. */
#define RESERVATION_MS 1500

/* An entry expires three heartbeats after its last renewal. A worker that
 * leaves has renewed its entry up to one heartbeat before; the watch of the
 * registry adds up to 1.4 s to the age of the renewal and 0.4 s until the
 * removal is handled, with heartbeats of 1.5 s. */
#define LEFT_HEARTBEATS 2.5

struct worker *
gr_worker_find (struct gr_steps *steps, const char *id)
{
  return g_hash_table_lookup (steps->workers, id);
}

/* Without a registry entry, a successor would not know of runs on a worker that
 * no durable list names. */
static bool
is_handed_over (const struct gr_steps *steps, const struct worker *worker)
{
  return worker->handover_list != 0
         && worker->handover_list <= steps->durable_handover_list;
}

bool
gr_worker_is_held_back (const struct gr_steps *steps,
                        const struct worker *worker)
{
  return worker->registered && !worker->draining
         && !is_handed_over (steps, worker);
}

bool
gr_worker_is_described (const struct worker *worker)
{
  return worker->described_unix_ms == 0 || worker->incarnation_unix_ms == 0
         || worker->described_unix_ms == worker->incarnation_unix_ms;
}

bool
gr_worker_usable (const struct gr_steps *steps, const struct worker *worker)
{
  return worker->registered && !worker->evacuated && !worker->draining
         && !worker->closed && worker->reachable
         && gr_inventory_has_answered (worker)
         && gr_worker_is_described (worker)
         && gr_tenure_knows_process (steps, worker)
         /* The room that unknown runs take is not counted. */
         && !worker->unknown_runs && is_handed_over (steps, worker)
         && steps->now_ms >= worker->quarantine_until_ms
         && steps->now_ms >= worker->full_until_ms;
}

void
gr_worker_request_poll (const struct gr_steps *steps, struct worker *worker)
{
  worker->poll_needed = true;
  worker->poll_requested_ms = steps->now_ms;
}

bool
gr_worker_has_label (const struct worker *worker, const char *label)
{
  for (char **entry = worker->labels; *entry != NULL; entry++)
    if (g_str_equal (*entry, label))
      return true;
  return false;
}

static void
log_restart (const struct gr_steps *steps,
             const struct worker *worker,
             int64_t incarnation_unix_ms,
             int64_t observed_ms)
{
  char ages[2][24];
  char incarnations[2][24];
  char runs[16];

  g_snprintf (incarnations[0], sizeof incarnations[0], "%" G_GINT64_FORMAT,
              worker->incarnation_unix_ms);
  g_snprintf (incarnations[1], sizeof incarnations[1], "%" G_GINT64_FORMAT,
              incarnation_unix_ms);
  g_snprintf (runs, sizeof runs, "%u", worker->tasks->len);
  gr_log_event ("worker-restarted", "worker", worker->id, "former_incarnation",
                incarnations[0], "incarnation", incarnations[1], "source",
                observed_ms != 0 ? "report" : "registry", "observed_ms",
                gr_loss_age (steps, observed_ms, ages[0]), "reported_ms",
                gr_loss_age (steps, worker->reported_ms, ages[1]), "runs", runs,
                NULL);
}

/* Runs stay assigned until a report of the new incarnation shows which of them
 * it has: a start that was sent to the former process can have reached the new
 * one. */
static void
begin_incarnation (struct gr_steps *steps,
                   struct worker *worker,
                   int64_t incarnation_unix_ms,
                   int64_t observed_ms)
{
  log_restart (steps, worker, incarnation_unix_ms, observed_ms);
  gr_crash_note_worker (steps, worker, true);
  worker->incarnation_unix_ms = incarnation_unix_ms;
  gr_ends_reset (worker);
  gr_inventory_reset (worker);
  worker->unknown_runs = false;
  worker->reachable = true;
  worker->unreachable_ms = 0;
  gr_worker_request_poll (steps, worker);
  worker->n_failed_jobs = 0;
  worker->quarantine_until_ms = 0;
  worker->quarantine_ms = 0;
  worker->on_probation = false;
  gr_worker_assume_max_hold (steps, worker);
  gr_samples_forget_worker (steps, worker);
}

bool
gr_worker_check_incarnation (struct gr_steps *steps,
                             struct worker *worker,
                             int64_t incarnation_unix_ms,
                             int64_t observed_ms)
{
  if (incarnation_unix_ms == 0
      || worker->incarnation_unix_ms == incarnation_unix_ms)
    return true;
  /* A poll that was sent after the known process was first seen is answered by
   * that one or a later one, whatever the start times say: the clock of a
   * machine can be set back. One that was sent before may be answered by a
   * former process. Entries have no such order. */
  if (observed_ms != 0 ? observed_ms <= worker->incarnation_seen_ms
                       : worker->incarnation_unix_ms > incarnation_unix_ms)
    return false;
  worker->incarnation_seen_ms = steps->now_ms;
  if (worker->incarnation_unix_ms == 0)
    worker->incarnation_unix_ms = incarnation_unix_ms;
  else
    begin_incarnation (steps, worker, incarnation_unix_ms, observed_ms);
  return true;
}

/* Returns the index in the rows, which are sorted by id, at which a worker with
 * this id is inserted. */
static gint
find_row (const struct gr_steps *steps, const char *id)
{
  guint low = 0;
  guint high = steps->worker_rows->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const struct worker *worker = steps->worker_rows->pdata[middle];

      if (strcmp (worker->id, id) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return (gint)low;
}

static struct worker *
worker_create (struct gr_steps *steps, const char *id)
{
  struct worker *worker = g_new0 (struct worker, 1);

  worker->id = g_strdup (id);
  worker->service = g_strdup ("");
  worker->rack = g_strdup ("");
  worker->data_centre = g_strdup ("");
  worker->labels = g_new0 (char *, 1);
  worker->tasks = g_ptr_array_new ();
  worker->reachable = true;
  gr_worker_request_poll (steps, worker);
  worker->pace = 100;
  worker->learned_slowness = 1.0;
  steps->samples.slowness_stale = true;
  g_hash_table_insert (steps->workers, worker->id, worker);
  g_ptr_array_insert (steps->worker_rows, find_row (steps, id), worker);
  steps->racks_stale = true;
  return worker;
}

static void
set_data_centre (struct gr_steps *steps,
                 struct worker *worker,
                 const char *data_centre)
{
  if (g_str_equal (worker->data_centre, data_centre))
    return;
  g_free (worker->data_centre);
  worker->data_centre = g_strdup (data_centre);
  gr_evacuation_update_worker (steps, worker);
}

/* Returns a time before the entry was written. Each heartbeat writes it anew,
 * so an entry of unknown age is hardly older than that. */
static int64_t
written_ms (const struct gr_steps *steps, const struct gr_steps_worker *row)
{
  return row->since_ms != 0 ? row->since_ms
                            : steps->now_ms - steps->settings.heartbeat_ms;
}

static bool
is_of_former_process (const struct worker *worker,
                      const struct gr_steps_worker *row)
{
  return row->incarnation_unix_ms != 0
         && row->incarnation_unix_ms < worker->incarnation_unix_ms;
}

static void
log_former_entry (const struct gr_steps *steps,
                  const struct worker *worker,
                  const struct gr_steps_worker *row)
{
  char incarnations[2][24];
  char since[24];

  g_snprintf (incarnations[0], sizeof incarnations[0], "%" G_GINT64_FORMAT,
              row->incarnation_unix_ms);
  g_snprintf (incarnations[1], sizeof incarnations[1], "%" G_GINT64_FORMAT,
              worker->incarnation_unix_ms);
  gr_log_event ("worker-entry-outdated", "worker", worker->id,
                "entry_incarnation", incarnations[0], "incarnation",
                incarnations[1], "since_ms",
                gr_loss_age (steps, row->since_ms, since), NULL);
}

bool
gr_steps_set_worker (struct gr_steps *steps,
                     const struct gr_steps_worker *row,
                     int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, row->id);

  steps->now_ms = now_ms;
  if (worker != NULL && is_of_former_process (worker, row))
    {
      log_former_entry (steps, worker, row);
      gr_worker_request_poll (steps, worker);
      worker->entry_revision = row->entry_revision;
      worker->entry_incarnation_unix_ms = row->incarnation_unix_ms;
      return false;
    }
  if (worker == NULL)
    {
      worker = worker_create (steps, row->id);
      worker->incarnation_unix_ms = row->incarnation_unix_ms;
      worker->incarnation_seen_ms = now_ms;
    }
  else
    gr_worker_check_incarnation (steps, worker, row->incarnation_unix_ms, 0);
  if (!g_str_equal (worker->rack, row->rack))
    {
      g_free (worker->rack);
      worker->rack = g_strdup (row->rack);
      steps->racks_stale = true;
    }
  set_data_centre (steps, worker, row->data_centre ? row->data_centre : "");
  g_free (worker->service);
  g_strfreev (worker->labels);
  worker->service = g_strdup (row->service);
  worker->labels = g_strdupv ((char **)row->labels);
  worker->capacity = row->capacity;
  if (row->draining && !worker->draining)
    gr_log_event ("worker-draining", "worker", worker->id, NULL);
  if (row->draining)
    gr_samples_disturb_worker (worker, GR_SAMPLE_DRAINING);
  /* The remaining time counts from when the entry was written, so an unchanged
   * entry does not extend it. */
  if (row->remaining_ms == 0)
    worker->earliest_leave_ms = 0;
  else if (!worker->draining || row->entry_revision != worker->entry_revision)
    worker->earliest_leave_ms = written_ms (steps, row) + row->remaining_ms;
  worker->draining = row->draining;
  if (row->since_ms != 0 && row->entry_revision > worker->entry_revision)
    {
      worker->renewed_ms = row->since_ms;
      if (row->incarnation_unix_ms != 0)
        gr_crash_withdraw_worker (steps, worker, row->since_ms);
    }
  worker->entry_revision = row->entry_revision;
  worker->entry_incarnation_unix_ms = row->incarnation_unix_ms;
  worker->described_unix_ms = row->incarnation_unix_ms;
  worker->registered = true;
  worker->unregistered_ms = 0;
  return true;
}

void
gr_steps_close_worker (struct gr_steps *steps, const char *id, bool closed)
{
  struct worker *worker = gr_worker_find (steps, id);

  if (worker != NULL)
    worker->closed = closed;
}

/* True if the task can be at work elsewhere soon, and no other task of its step
 * is away meanwhile. */
static bool
may_move (const struct gr_steps *steps, const struct task *task)
{
  const struct step *step = task->step;

  return !step->spec->gang && gr_tenure_is_present (steps)
         && gr_step_unavailable_tasks (step, task) == 0
         && gr_step_has_room (steps, step);
}

/* A step that sets max_away is promised that no more tasks are stopped. One
 * without it must not hold up an upkeep for ever, as its tasks never end. */
static bool
may_evacuate (const struct gr_steps *steps, const struct task *task, bool force)
{
  const struct gr_step_spec *spec = task->step->spec;

  if (task->state != TASK_RUNNING)
    return false;
  if (!spec->lasting)
    return spec->checkpointing || force;
  return gr_task_may_be_stopped (steps, task)
         || (spec->max_away == 0 && (force || may_move (steps, task)));
}

bool
gr_steps_evacuate_worker (struct gr_steps *steps, const char *id, bool force)
{
  struct worker *worker = gr_worker_find (steps, id);

  for (guint i = 0; worker != NULL && i < worker->tasks->len; i++)
    {
      struct task *task = worker->tasks->pdata[i];

      if (!may_evacuate (steps, task, force))
        continue;
      if (task->step->spec->gang)
        gr_gang_abort (steps, task->step);
      else
        gr_order_stop (steps, task);
    }
  return worker == NULL
         || (worker->tasks->len == 0 && !gr_inventory_is_open (steps, worker));
}

uint32_t
gr_steps_worker_load (const struct gr_steps *steps, const char *id)
{
  const struct worker *worker = g_hash_table_lookup (steps->workers, id);

  if (worker == NULL)
    return 0;
  return gr_inventory_is_open (steps, worker) ? UINT32_MAX : worker->tasks->len;
}

/* Returns whether the entry was that of the present process, which had
 * announced that it leaves, and was removed too soon after its renewal to have
 * expired. The age alone says little: a store can count the silence of a worker
 * from the arrival of a renewal that it carries out late. */
static bool
has_left (const struct gr_steps *steps, const struct worker *worker)
{
  if (worker->entry_incarnation_unix_ms != 0
      && worker->entry_incarnation_unix_ms < worker->incarnation_unix_ms)
    return false;
  return (worker->draining || worker->closed) && worker->renewed_ms != 0
         && steps->now_ms - worker->renewed_ms
                < (int64_t)(steps->settings.heartbeat_ms * LEFT_HEARTBEATS);
}

/* Returns a time before the departure of the process whose entry was removed.
 * If it is the one that the last report is from, it was there when the poll was
 * sent. */
static int64_t
departure_since_ms (const struct worker *worker, int64_t since_ms)
{
  bool present =
      worker->entry_incarnation_unix_ms != 0
      && worker->entry_incarnation_unix_ms == worker->incarnation_unix_ms;

  return present ? MAX (since_ms, worker->reported_ms) : since_ms;
}

static void
log_departure (const struct gr_steps *steps,
               const struct worker *worker,
               int64_t since_ms,
               uint32_t released)
{
  char ages[3][24];
  char runs[2][16];

  g_snprintf (runs[0], sizeof runs[0], "%u", released);
  g_snprintf (runs[1], sizeof runs[1], "%u", worker->tasks->len);
  gr_log_event ("worker-left", "worker", worker->id, "renewed_ms",
                gr_loss_age (steps, worker->renewed_ms, ages[0]), "reported_ms",
                gr_loss_age (steps, worker->reported_ms, ages[1]), "since_ms",
                gr_loss_age (steps, since_ms, ages[2]), "released", runs[0],
                "kept", runs[1], NULL);
}

/* Releases the runs on a worker that has left. For those that may be later than
 * that, a poll is needed; if it gets no answer, their lease decides. */
static void
release_older_runs (struct gr_steps *steps,
                    struct worker *worker,
                    int64_t since_ms)
{
  const struct gr_loss loss = { GR_LOSS_LEFT,
                                departure_since_ms (worker, since_ms) };
  uint32_t runs = worker->tasks->len;

  gr_loss_release_older (steps, worker, &loss);
  log_departure (steps, worker, since_ms, runs - worker->tasks->len);
  gr_samples_forget_worker (steps, worker);
  if (worker->tasks->len > 0)
    {
      gr_worker_request_poll (steps, worker);
      return;
    }
  gr_inventory_process_ended (worker);
  worker->lease_until_ms = 0;
}

void
gr_steps_worker_unregistered (struct gr_steps *steps,
                              const char *id,
                              int64_t since_ms,
                              bool store_healthy,
                              int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, id);
  char renewed[24];
  char reported[24];

  if (worker == NULL || !worker->registered)
    return;
  steps->now_ms = now_ms;
  worker->registered = false;
  worker->unregistered_ms = now_ms;
  gr_loss_age (steps, worker->renewed_ms, renewed);
  gr_loss_age (steps, worker->reported_ms, reported);
  if (!store_healthy || !has_left (steps, worker)
      || !gr_tenure_may_conclude (steps, worker, GR_LOSS_LEFT))
    {
      gr_log_event ("worker-silent", "worker", id, "renewed_ms", renewed,
                    "reported_ms", reported, NULL);
      return;
    }
  release_older_runs (steps, worker, since_ms);
}

void
gr_steps_worker_refused (struct gr_steps *steps,
                         const char *id,
                         int64_t sent_ms,
                         int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, id);
  char reported[24];
  char runs[16];

  if (worker == NULL)
    return;
  steps->now_ms = now_ms;
  gr_loss_record_refusal (steps, worker, sent_ms);
  if (worker->refused_ms != 0)
    return;
  worker->refused_ms = now_ms;
  g_snprintf (runs, sizeof runs, "%u", worker->tasks->len);
  gr_log_event ("worker-refuses", "worker", id, "reported_ms",
                gr_loss_age (steps, worker->reported_ms, reported), "runs",
                runs, NULL);
}

void
gr_steps_worker_gone (struct gr_steps *steps,
                      const char *id,
                      int64_t sent_ms,
                      int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, id);
  const struct gr_loss loss = { GR_LOSS_GONE, sent_ms };
  char observed[24];
  char reported[24];

  if (worker == NULL)
    return;
  steps->now_ms = now_ms;
  if (!gr_tenure_may_conclude (steps, worker, GR_LOSS_GONE))
    return;
  gr_crash_note_worker (steps, worker, false);
  if (gr_inventory_has_answered (worker)
      && !gr_inventory_is_open (steps, worker) && worker->tasks->len == 0)
    return;
  gr_log_event ("worker-gone", "worker", id, "observed_ms",
                gr_loss_age (steps, sent_ms, observed), "reported_ms",
                gr_loss_age (steps, worker->reported_ms, reported), NULL);
  gr_inventory_process_ended (worker);
  if (gr_loss_release_older (steps, worker, &loss))
    worker->lease_until_ms = 0;
  gr_samples_forget_worker (steps, worker);
}

void
gr_steps_worker_clock_changed (struct gr_steps *steps,
                               const char *id,
                               int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, id);

  if (worker == NULL)
    return;
  steps->now_ms = now_ms;
  gr_worker_assume_max_hold (steps, worker);
  gr_worker_request_poll (steps, worker);
}

void
gr_steps_add_inherited_worker (struct gr_steps *steps,
                               const char *id,
                               int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, id);

  if (worker == NULL)
    {
      worker = worker_create (steps, id);
      worker->unregistered_ms = now_ms;
    }
  if (worker->handover_list == 0)
    worker->handover_list = GR_INHERITED_HANDOVER_LIST;
}

void
gr_steps_set_registry_settled (struct gr_steps *steps,
                               int64_t registry_settled_ms)
{
  steps->registry_settled_ms =
      MAX (steps->registry_settled_ms, registry_settled_ms);
}

void
gr_steps_set_worker_reachable (struct gr_steps *steps,
                               const char *id,
                               bool reachable,
                               int64_t now_ms)
{
  struct worker *worker = gr_worker_find (steps, id);

  if (worker == NULL || worker->reachable == reachable)
    return;
  worker->reachable = reachable;
  worker->unreachable_ms = reachable ? 0 : now_ms;
  if (!reachable)
    gr_samples_disturb_worker (worker, GR_SAMPLE_SILENT);
  gr_log_event (reachable ? "worker-reachable" : "worker-unreachable", "worker",
                id, NULL);
}

void
gr_steps_extend_worker_lease (struct gr_steps *steps,
                              const char *id,
                              int64_t until_ms)
{
  struct worker *worker = gr_worker_find (steps, id);

  if (worker != NULL)
    worker->lease_until_ms = MAX (worker->lease_until_ms, until_ms);
}

void
gr_worker_assume_longest_lease (struct gr_steps *steps, struct worker *worker)
{
  int64_t longest_ms =
      (int64_t)(steps->settings.run_lease_ms * GR_CLOCK_DRIFT_FACTOR);

  worker->lease_until_ms =
      MAX (worker->lease_until_ms, steps->now_ms + longest_ms);
}

void
gr_worker_assume_max_hold (struct gr_steps *steps, struct worker *worker)
{
  int64_t longest_ms =
      (int64_t)(MAX (steps->settings.max_hold_ms, steps->settings.run_lease_ms)
                * GR_CLOCK_DRIFT_FACTOR);

  worker->lease_until_ms =
      MAX (worker->lease_until_ms, steps->now_ms + longest_ms);
}

static void
worker_destroy (struct worker *worker)
{
  g_ptr_array_unref (worker->tasks);
  g_strfreev (worker->labels);
  g_free (worker->service);
  g_free (worker->data_centre);
  g_free (worker->rack);
  g_free (worker->id);
  g_free (worker);
}

static int64_t
lease_expiry_ms (const struct gr_steps *steps, const struct worker *worker)
{
  int64_t expiry_ms = worker->lease_until_ms + GR_LEASE_EXPIRY_MARGIN_MS;

  if (!gr_inventory_has_answered (worker))
    expiry_ms = MAX (expiry_ms, gr_tenure_former_end_ms (steps));
  return expiry_ms;
}

static bool
must_be_handed_over (const struct gr_steps *steps, const struct worker *worker)
{
  return worker->registered || steps->now_ms < lease_expiry_ms (steps, worker)
         || gr_ends_are_pending (steps, worker) || worker->holds_inherited
         || gr_inventory_is_open (steps, worker);
}

static bool
may_be_removed (const struct gr_steps *steps, const struct worker *worker)
{
  return worker->tasks->len == 0 && !must_be_handed_over (steps, worker);
}

/* Returns whether a silent worker whose lease has expired has most likely
 * crashed: it refuses connections, and has not renewed its registry entry
 * since. */
static bool
has_crashed (const struct worker *worker)
{
  return worker->refused_ms != 0 && worker->renewed_ms < worker->refused_ms;
}

/* Releases runs whose lease has certainly expired, drops unused reservations
 * and removes workers that are no longer needed. */
void
gr_workers_tick (struct gr_steps *steps)
{
  for (guint i = steps->worker_rows->len; i-- > 0;)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      gr_health_tick (steps, worker);
      gr_ends_update (steps, worker);
      if (worker->tasks->len > 0
          && steps->now_ms >= lease_expiry_ms (steps, worker))
        gr_loss_release_all (
            steps, worker,
            &(struct gr_loss){
                has_crashed (worker) ? GR_LOSS_CRASHED : GR_LOSS_LEASE, 0 });
      if (worker->reserved_for != NULL
          && steps->now_ms >= worker->reserved_until_ms)
        worker->reserved_for = NULL;
      if (!may_be_removed (steps, worker))
        continue;
      /* Room that was reclaimed here is gone; its step need not wait for it. */
      if (worker->reserved_for != NULL)
        worker->reserved_for->round_until_ms = 0;
      steps->racks_stale = true;
      g_ptr_array_remove_index (steps->worker_rows, i);
      g_hash_table_remove (steps->workers, worker->id);
      worker_destroy (worker);
    }
  gr_inventory_tick (steps);
}

uint64_t
gr_steps_list_handover_workers (struct gr_steps *steps,
                                bool (*add) (const char *worker, void *context),
                                void *context)
{
  steps->handover_list++;
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      /* The entry of a live worker can expire, draining or not. */
      if (!must_be_handed_over (steps, worker) || !add (worker->id, context))
        worker->handover_list = 0;
      else if (worker->handover_list == 0)
        worker->handover_list = steps->handover_list;
    }
  return steps->handover_list;
}

void
gr_steps_set_handover_list_durable (struct gr_steps *steps, uint64_t list)
{
  steps->durable_handover_list = MAX (steps->durable_handover_list, list);
}

void
gr_steps_set_handover_outdated (struct gr_steps *steps, const char *id)
{
  struct worker *worker = gr_worker_find (steps, id);

  if (worker != NULL)
    worker->handover_list = 0;
}

bool
gr_steps_has_workers_held_back (const struct gr_steps *steps)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    if (gr_worker_is_held_back (steps, steps->worker_rows->pdata[i]))
      return true;
  return false;
}

static void
rack_free (void *data)
{
  struct rack *rack = data;

  g_ptr_array_unref (rack->workers);
  g_free (rack);
}

GPtrArray *
gr_racks (struct gr_steps *steps)
{
  g_autoptr (GHashTable) by_name = NULL;

  if (steps->racks != NULL && !steps->racks_stale)
    return steps->racks;
  g_clear_pointer (&steps->racks, g_ptr_array_unref);
  steps->racks = g_ptr_array_new_with_free_func (rack_free);
  steps->racks_stale = false;
  by_name = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];
      struct rack *rack = g_hash_table_lookup (by_name, worker->rack);

      if (rack == NULL)
        {
          rack = g_new0 (struct rack, 1);
          rack->name = worker->rack;
          rack->workers = g_ptr_array_new ();
          g_hash_table_insert (by_name, worker->rack, rack);
          g_ptr_array_add (steps->racks, rack);
        }
      worker->rack_row = rack;
      g_ptr_array_add (rack->workers, worker);
    }
  return steps->racks;
}

void
gr_worker_reserve (struct gr_steps *steps,
                   struct worker *worker,
                   struct step *step)
{
  worker->reserved_for = step;
  worker->reserved_until_ms = steps->now_ms + RESERVATION_MS;
  worker->reserved = (struct gr_resources){ 0 };
}

void
gr_workers_release_reserved (struct gr_steps *steps, const struct step *step)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      if (worker->reserved_for == step)
        worker->reserved_for = NULL;
    }
}

void
gr_workers_destroy (struct gr_steps *steps)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    worker_destroy (steps->worker_rows->pdata[i]);
  g_ptr_array_unref (steps->worker_rows);
  g_ptr_array_unref (steps->holding_workers);
  if (steps->racks != NULL)
    g_ptr_array_unref (steps->racks);
  g_hash_table_destroy (steps->workers);
}

bool
gr_steps_has_polled (const struct gr_steps *steps, const char *id)
{
  const struct worker *worker = g_hash_table_lookup (steps->workers, id);

  return worker != NULL && gr_inventory_has_answered (worker);
}

enum gr_poll_need
gr_steps_poll_need (const struct gr_steps *steps, const char *id)
{
  const struct worker *worker = g_hash_table_lookup (steps->workers, id);

  if (worker == NULL)
    return GR_POLL_NONE;
  if (!gr_inventory_has_answered (worker) || worker->poll_needed
      || !worker->reachable)
    return GR_POLL_NOW;
  if (worker->inventory == INVENTORY_RUNS)
    return gr_steps_end_to_acknowledge (steps, id) != 0 ? GR_POLL_NOW
                                                        : GR_POLL_PERIODIC;
  if (worker->processed_end > worker->durable_end || worker->unknown_runs)
    return GR_POLL_PERIODIC;
  if (gr_pace_needs_polling (worker))
    return GR_POLL_PERIODIC;
  return worker->tasks->len > 0 ? GR_POLL_WAIT : GR_POLL_NONE;
}
