#include "tests/steps-model-private.h"

#include <string.h>

void
model_report_violation (struct steps_model *model,
                        const char *rule,
                        const char *task)
{
  if (model->violation == NULL)
    model->violation = g_strdup_printf ("%s: %s at %" G_GINT64_FORMAT, rule,
                                        task, model->now_ms);
}

struct model_job *
model_get_job (const struct steps_model *model, uint32_t number)
{
  return number < model->jobs->len ? model->jobs->pdata[number] : NULL;
}

bool
model_chance (struct steps_model *model, double share)
{
  return share > 0 && g_rand_double (model->rand) < share;
}

struct model_worker *
model_find_worker (struct steps_model *model, const char *id)
{
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      if (g_str_equal (worker->id, id))
        return worker;
    }
  return NULL;
}

void
model_show_entry (struct steps_model *model,
                  const struct model_owner *owner,
                  const struct model_worker *worker,
                  int64_t since_ms)
{
  const char *labels[] = { "a", worker->rack, NULL };
  struct gr_steps_worker row = {
    .id = worker->id,
    .service = "render",
    .data_centre = worker->data_centre,
    .rack = worker->rack,
    .labels = labels,
    .capacity = worker->reported,
    .draining = worker->draining,
    .remaining_ms = worker->remaining_ms,
    .incarnation_unix_ms = worker->incarnation,
    .entry_revision = worker->entry_revision,
    .since_ms = since_ms,
  };

  gr_steps_set_worker (owner->steps, &row, model->now_ms);
}

/* since_ms: a time before the entry was written; 0: unknown. */
static void
register_entry (struct steps_model *model,
                const struct model_worker *worker,
                int64_t since_ms)
{
  for (uint32_t i = 0; i < model_n_owners (model); i++)
    if (model_reads_store (model_nth_owner (model, i)))
      model_show_entry (model, model_nth_owner (model, i), worker, since_ms);
}

void
model_unregister (struct steps_model *model,
                  const struct model_worker *worker,
                  int64_t since_ms)
{
  for (uint32_t i = 0; i < model_n_owners (model); i++)
    if (model_reads_store (model_nth_owner (model, i)))
      gr_steps_worker_unregistered (model_nth_owner (model, i)->steps,
                                    worker->id, since_ms, true, model->now_ms);
}

void
model_register_worker (struct steps_model *model, struct model_worker *worker)
{
  register_entry (model, worker, model->now_ms);
}

struct model_worker *
model_add_worker (struct steps_model *model, const char *rack)
{
  struct model_worker *worker = g_new0 (struct model_worker, 1);

  g_snprintf (worker->id, sizeof worker->id, "w%03u", model->workers->len);
  g_strlcpy (worker->rack, rack, sizeof worker->rack);
  g_strlcpy (worker->data_centre, "dc0", sizeof worker->data_centre);
  worker->capacity = (struct gr_resources){ 128000, 262144, 8 };
  worker->limit = worker->capacity;
  worker->reported = worker->capacity;
  worker->runs = g_ptr_array_new_with_free_func (g_free);
  worker->done_ends = g_ptr_array_new_with_free_func (g_free);
  worker->ends = g_array_new (FALSE, FALSE, sizeof (struct gr_ended_run));
  worker->ended_runs =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->incarnation = 1;
  worker->slowness = 1.0;
  worker->entry_revision = 1;
  g_ptr_array_add (model->workers, worker);
  model_register_worker (model, worker);
  return worker;
}

struct steps_model *
steps_model_create (uint32_t workers, uint32_t per_rack, uint32_t seed)
{
  return steps_model_create_with (workers, per_rack, seed, GR_MODE_OFF);
}

struct steps_model *
steps_model_create_with (uint32_t workers,
                         uint32_t per_rack,
                         uint32_t seed,
                         enum gr_mode objectives)
{
  struct steps_model *model = g_new0 (struct steps_model, 1);

  model->now_ms = 1000;
  model->stop_ms = STOP_MS;
  model->store_works = true;
  model->orders_per_tick = UINT32_MAX;
  model->listed_ends = LISTED_ENDS;
  model->rand = g_rand_new_with_seed (seed);
  model->settings = (struct gr_steps_settings){
    .run_lease_ms = RUN_LEASE_MS,
    .max_hold_ms = MAX_HOLD_MS,
    .gang_wait_ms = GANG_WAIT_MS,
    .reclaim_ms = 2700,
    .isolation_ms = GR_OWNER_ISOLATION_MS,
    .heartbeat_ms = HEARTBEAT_MS,
    .checkpoint_ms = CHECKPOINT_INTERVAL_MS,
    .far_factor = 3,
    .objectives = objectives,
  };
  model->workers = g_ptr_array_new ();
  model->jobs = g_ptr_array_new ();
  model->queues = g_ptr_array_new ();
  model->limits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->handover_workers = g_ptr_array_new_with_free_func (g_free);
  model->transit_orders = g_ptr_array_new ();
  model->polls = g_ptr_array_new ();
  model->evacuated =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->former_owners = g_ptr_array_new ();
  model_create_owner (model, 1);
  for (uint32_t i = 0; i < workers; i++)
    {
      char rack[16];

      g_snprintf (rack, sizeof rack, "rack%u", i / per_rack);
      model_add_worker (model, rack);
    }
  model_publish_workers (model);
  return model;
}

uint32_t
steps_model_add_worker (struct steps_model *model)
{
  model_add_worker (model, "rack0");
  return model->workers->len - 1;
}

static void
job_free (struct model_job *job)
{
  if (job == NULL)
    return;
  gr_job_spec_destroy (job->spec);
  gr_job_progress_clear (&job->durable);
  g_hash_table_destroy (job->done);
  g_hash_table_destroy (job->done_in_lease);
  g_hash_table_destroy (job->task_starts);
  model_attempts_destroy (job->failures);
  model_attempts_destroy (job->acknowledged_failures);
  model_attempts_destroy (job->crashed_runs);
  g_free (job);
}

void
steps_model_destroy (struct steps_model *model)
{
  model_destroy_owners (model);
  model_drop_commits (model);
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      g_ptr_array_unref (worker->runs);
      g_ptr_array_unref (worker->done_ends);
      g_array_unref (worker->ends);
      g_hash_table_destroy (worker->ended_runs);
      g_free (worker);
    }
  for (guint i = 0; i < model->jobs->len; i++)
    job_free (model->jobs->pdata[i]);
  for (guint i = 0; i < model->transit_orders->len; i++)
    model_transit_order_free (model->transit_orders->pdata[i]);
  model_drop_polls (model);
  g_ptr_array_unref (model->workers);
  g_ptr_array_unref (model->jobs);
  g_ptr_array_unref (model->transit_orders);
  g_ptr_array_unref (model->polls);
  g_hash_table_destroy (model->evacuated);
  for (guint i = 0; i < model->queues->len; i++)
    {
      g_free ((char *)((struct gr_steps_queue *)model->queues->pdata[i])->name);
      g_free (model->queues->pdata[i]);
    }
  g_ptr_array_unref (model->queues);
  g_hash_table_destroy (model->limits);
  g_ptr_array_unref (model->handover_workers);
  g_rand_free (model->rand);
  g_free (model->violation);
  g_queue_clear_full (&model->advice, g_free);
  g_free (model);
}

void
steps_model_set_preemption (struct steps_model *model,
                            enum gr_mode budget,
                            uint32_t stop_ms)
{
  model->settings.budget = budget;
  model->settings.stop_ms = stop_ms;
  model->stop_ms = stop_ms;
  model_remove_owner (model);
  model_create_owner (model, 1);
  for (guint i = 0; i < model->workers->len; i++)
    model_register_worker (model, model->workers->pdata[i]);
  model_publish_workers (model);
}

struct steps_model *
steps_model_create_with_budget (uint32_t workers,
                                uint32_t per_rack,
                                uint32_t seed)
{
  struct steps_model *model = steps_model_create (workers, per_rack, seed);

  steps_model_set_preemption (model, GR_MODE_ON, 200);
  return model;
}

struct gr_steps *
steps_model_core (struct steps_model *model)
{
  return model->owner->steps;
}

int64_t
steps_model_now_ms (const struct steps_model *model)
{
  return model->now_ms;
}

void
steps_model_set_faults (struct steps_model *model,
                        const struct steps_model_faults *faults)
{
  model->faults = *faults;
}

void
steps_model_set_queue (struct steps_model *model,
                       const char *name,
                       uint32_t priority,
                       uint32_t max_attempts)
{
  struct gr_steps_queue *queue = g_new0 (struct gr_steps_queue, 1);

  *queue = (struct gr_steps_queue){
    .name = g_strdup (name),
    .service = "render",
    .priority = priority,
    .max_attempts = max_attempts,
    .objective_ms = 1000,
    .stretch = 3,
  };
  g_ptr_array_add (model->queues, queue);
  model_set_limit (model, name, max_attempts);
  gr_steps_set_queue (model->owner->steps, queue);
}

void
steps_model_forget_queue (struct steps_model *model, const char *name)
{
  for (guint i = model->queues->len; i-- > 0;)
    {
      struct gr_steps_queue *queue = model->queues->pdata[i];

      if (!g_str_equal (queue->name, name))
        continue;
      g_ptr_array_remove_index (model->queues, i);
      g_free ((char *)queue->name);
      g_free (queue);
    }
}

void
steps_model_set_gang_wait (struct steps_model *model, uint32_t wait_ms)
{
  model->settings.gang_wait_ms = wait_ms;
}

void
steps_model_set_guarantee (struct steps_model *model,
                           const char *account,
                           uint32_t accelerators)
{
  gr_steps_set_guarantee (model->owner->steps, account, accelerators);
}

void
steps_model_add_job (struct steps_model *model,
                     uint32_t number,
                     const char *queue,
                     const char *account,
                     const struct gr_step_spec *steps,
                     uint32_t n_steps,
                     int64_t work_ms)
{
  struct model_job *job = g_new0 (struct model_job, 1);
  struct gr_job_spec spec = {
    .queue = (char *)queue,
    .account = (char *)account,
    .payload = (char *)"",
    .steps = (struct gr_step_spec *)steps,
    .n_steps = n_steps,
  };

  g_snprintf (spec.id, sizeof spec.id, "%016x", number);
  job->spec = gr_job_spec_copy (&spec);
  job->work_ms = work_ms;
  job->added_ms = model->now_ms;
  job->started_ms = -1;
  job->final_ms = -1;
  job->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->done_in_lease =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->task_starts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  job->failures = model_attempts_create ();
  job->acknowledged_failures = model_attempts_create ();
  job->crashed_runs = model_attempts_create ();
  while (model->jobs->len <= number)
    g_ptr_array_add (model->jobs, NULL);
  model->jobs->pdata[number] = job;
  for (uint32_t i = 0; i < model_n_owners (model); i++)
    if (model_reads_store (model_nth_owner (model, i)))
      model_show_job (model, model_nth_owner (model, i), job, false);
}

void
model_show_job (struct steps_model *model,
                const struct model_owner *owner,
                const struct model_job *job,
                bool inherited)
{
  gr_steps_add_job (owner->steps, job->spec,
                    job->has_durable_progress ? &job->durable : NULL, inherited,
                    model->now_ms);
  if (job->cancelled)
    gr_steps_cancel_job (owner->steps, job->spec->id);
}

void
steps_model_cancel_job (struct steps_model *model, uint32_t number)
{
  struct model_job *job = model_get_job (model, number);

  job->cancelled = true;
  for (uint32_t i = 0; i < model_n_owners (model); i++)
    if (model_reads_store (model_nth_owner (model, i)))
      gr_steps_cancel_job (model_nth_owner (model, i)->steps, job->spec->id);
}

void
steps_model_fail_job (struct steps_model *model, uint32_t number)
{
  model_get_job (model, number)->fails_runs = true;
}

static struct model_worker *
get_worker (struct steps_model *model, uint32_t worker)
{
  return model->workers->pdata[worker];
}

void
steps_model_fail_worker (struct steps_model *model, uint32_t worker, bool fails)
{
  get_worker (model, worker)->fails_runs = fails;
}

void
steps_model_set_worker_unreachable (struct steps_model *model,
                                    uint32_t worker,
                                    bool unreachable)
{
  get_worker (model, worker)->unreachable = unreachable;
}

void
steps_model_set_slowness (struct steps_model *model,
                          uint32_t worker,
                          double slowness)
{
  get_worker (model, worker)->slowness = slowness;
}

void
steps_model_set_noise (struct steps_model *model, double deviation)
{
  model->noise = deviation;
}

void
steps_model_set_learning (struct steps_model *model,
                          enum gr_mode run_times,
                          enum gr_mode speeds)
{
  model->settings.run_times = run_times;
  model->settings.speeds = speeds;
}

void
steps_model_drain_worker (struct steps_model *model,
                          uint32_t worker,
                          bool draining)
{
  get_worker (model, worker)->draining = draining;
  model_register_worker (model, get_worker (model, worker));
}

void
steps_model_set_data_centre (struct steps_model *model,
                             uint32_t number,
                             const char *data_centre)
{
  struct model_worker *worker = get_worker (model, number);

  g_strlcpy (worker->data_centre, data_centre, sizeof worker->data_centre);
  model_register_worker (model, worker);
}

void
steps_model_evacuate (struct steps_model *model,
                      const char *data_centre,
                      bool evacuated)
{
  if (!evacuated)
    g_hash_table_remove (model->evacuated, data_centre);
  else if (!g_hash_table_contains (model->evacuated, data_centre))
    g_hash_table_insert (model->evacuated, g_strdup (data_centre),
                         GINT_TO_POINTER ((gint)model->now_ms));
  gr_steps_set_evacuated (model->owner->steps, data_centre, evacuated);
}

int64_t
model_evacuated_ms (const struct steps_model *model,
                    const struct model_worker *worker)
{
  void *since_ms;

  if (!g_hash_table_lookup_extended (model->evacuated, worker->data_centre,
                                     NULL, &since_ms))
    return -1;
  return GPOINTER_TO_INT (since_ms);
}

void
steps_model_notify_leave (struct steps_model *model,
                          uint32_t worker,
                          int64_t remaining_ms,
                          int64_t late_ms)
{
  get_worker (model, worker)->remaining_ms = remaining_ms;
  get_worker (model, worker)->draining = true;
  register_entry (model, get_worker (model, worker), model->now_ms - late_ms);
}

void
model_forget_runs (struct steps_model *model, struct model_worker *worker)
{
  model_note_crash (model, worker);
  g_ptr_array_set_size (worker->runs, 0);
  g_array_set_size (worker->ends, 0);
  g_ptr_array_set_size (worker->done_ends, 0);
  g_hash_table_remove_all (worker->ended_runs);
  worker->lease_until_ms = 0;
  worker->last_number = 0;
  worker->highest_epoch = 0;
}

void
steps_model_restart_worker (struct steps_model *model, uint32_t number)
{
  struct model_worker *worker = get_worker (model, number);

  model_forget_runs (model, worker);
  worker->incarnation++;
  model->last_fault_ms = model->now_ms;
  model_register_worker (model, worker);
}

void
steps_model_restart_unnoticed (struct steps_model *model,
                               uint32_t number,
                               int64_t after_ms)
{
  struct model_worker *worker = get_worker (model, number);

  model_forget_runs (model, worker);
  worker->incarnation++;
  worker->entry_revision++;
  worker->register_ms = model->now_ms + after_ms;
  for (uint32_t i = 0; i < MAX_OWNERS; i++)
    worker->views[i].clock_stale = true;
  model->last_fault_ms = model->now_ms;
}

void
steps_model_set_commit_ms (struct steps_model *model, int64_t commit_ms)
{
  model->commit_ms = commit_ms;
}

void
steps_model_set_store (struct steps_model *model, bool works)
{
  model->store_works = works;
}

void
steps_model_swap_workers (struct steps_model *model, uint32_t a, uint32_t b)
{
  void *swapped = model->workers->pdata[a];

  model->workers->pdata[a] = model->workers->pdata[b];
  model->workers->pdata[b] = swapped;
}

void
steps_model_lose_entry_at_takeover (struct steps_model *model, uint32_t number)
{
  get_worker (model, number)->entry_lost = true;
}

static void
apply_evacuations (struct steps_model *model)
{
  GHashTableIter iter;
  void *data_centre;

  g_hash_table_iter_init (&iter, model->evacuated);
  while (g_hash_table_iter_next (&iter, &data_centre, NULL))
    gr_steps_set_evacuated (model->owner->steps, data_centre, true);
}

void
steps_model_new_owner (struct steps_model *model)
{
  int64_t epoch = model->owner->epoch + 1;

  model_remove_owner (model);
  model_start_owner (model, epoch);
}

void
model_start_owner (struct steps_model *model, int64_t epoch)
{
  model_drop_commits (model);
  model->last_fault_ms = model->now_ms;
  model_create_owner (model, epoch);
  apply_evacuations (model);
  for (guint i = 0; i < model->queues->len; i++)
    gr_steps_set_queue (model->owner->steps, model->queues->pdata[i]);
  for (guint i = 0; i < model->jobs->len; i++)
    {
      struct model_job *job = model->jobs->pdata[i];

      if (job != NULL)
        model_show_job (model, model->owner, job, true);
    }
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      if (!worker->entry_lost)
        model_show_entry (model, model->owner, worker, 0);
    }
  for (guint i = 0; i < model->handover_workers->len; i++)
    gr_steps_add_inherited_worker (
        model->owner->steps, model->handover_workers->pdata[i], model->now_ms);
}

/* Workers with an even number may run any step. */
static void
answer_advice (const struct steps_model *model,
               struct model_owner *owner,
               const struct gr_advice_request *request)
{
  struct gr_advice_row rows[GR_ADVICE_WORKERS];
  uint32_t n = 0;

  for (uint32_t i = 0; i < request->n_workers; i++)
    {
      if (g_ascii_strtoull (request->workers[i] + 1, NULL, 10) % 2 != 0)
        continue;
      g_strlcpy (rows[n].worker, request->workers[i], sizeof rows[n].worker);
      g_snprintf (rows[n].ticket, sizeof rows[n].ticket, "%s@%" G_GINT64_FORMAT,
                  request->workers[i], model->now_ms + TICKET_MS);
      n++;
    }
  gr_steps_advice_reply (
      owner->steps, request,
      &(struct gr_advice_answer){ GR_ADVICE_ANSWERED, rows, n, TICKET_MS },
      model->now_ms);
}

static void
receive_advice_calls (struct steps_model *model, struct model_owner *owner)
{
  struct gr_advice_request request;

  while (gr_steps_take_advice_request (owner->steps, &request))
    {
      const struct model_advice *last = g_queue_peek_tail (&model->advice);
      struct model_advice *advice = g_new0 (struct model_advice, 1);

      model->advice_calls++;
      advice->epoch = owner->epoch;
      advice->request = request;
      advice->due_ms = MAX (model->now_ms, last ? last->due_ms : 0)
                       + model->advice_decide_ms
                       + (int64_t)model->advice_each_ms * request.n_workers;
      g_queue_push_tail (&model->advice, advice);
    }
}

/* Answers for owners that have ended reach nobody. */
static void
run_advice (struct steps_model *model, struct model_owner *owner)
{
  const struct model_advice *first;

  receive_advice_calls (model, owner);
  while ((first = g_queue_peek_head (&model->advice)) != NULL
         && first->due_ms <= model->now_ms)
    {
      g_autofree struct model_advice *advice =
          g_queue_pop_head (&model->advice);

      if (advice->epoch == owner->epoch && !owner->ended)
        answer_advice (model, owner, &advice->request);
    }
}

/* Records that a fault is active now; see steps_model_violation (). */
static void
note_active_faults (struct steps_model *model)
{
  const struct steps_model_faults *faults = &model->faults;

  if (faults->lose_answer > 0 || faults->lose_order > 0
      || faults->late_order > 0 || faults->lose_poll > 0 || !model->store_works)
    model->last_fault_ms = model->now_ms;
  if (model->former_owners->len > 0 || model->owner->store_cut
      || model->owner->paused || model->owner->ended)
    model->last_fault_ms = model->now_ms;
  for (guint i = 0; i < model->transit_orders->len; i++)
    if (!((struct transit_order *)model->transit_orders->pdata[i])->is_answered)
      model->last_fault_ms = model->now_ms;
  for (guint i = 0; i < model->workers->len; i++)
    {
      const struct model_worker *worker = model->workers->pdata[i];

      if (worker->unreachable || worker->fails_runs
          || worker->views[model->owner->slot].reach != STEPS_MODEL_REACH_BOTH)
        model->last_fault_ms = model->now_ms;
    }
}

static bool
can_send (const char *worker, void *context)
{
  return !model_find_worker (context, worker)->held_orders;
}

static void
run_owner (struct steps_model *model, struct model_owner *owner)
{
  struct gr_order order;

  gr_steps_tick (owner->steps, model->now_ms, model->now_ms);
  for (uint32_t sent = 0;
       !owner->ended && sent < model->orders_per_tick
       && gr_steps_take_order (owner->steps, can_send, model, &order);
       sent++)
    model_send_order (model, owner, &order);
  run_advice (model, owner);
}

static void
run_tick (struct steps_model *model)
{
  model->now_ms += TICK_MS;
  note_active_faults (model);
  model_update_owners (model);
  model_advance_runs (model);
  model_advance_orders (model);
  model_update_workers (model);
  model_advance_polls (model);
  model_publish_workers (model);
  for (uint32_t i = 0; i < model_n_owners (model); i++)
    {
      struct model_owner *owner = model_nth_owner (model, i);

      if (!owner->ended && !owner->paused)
        run_owner (model, owner);
    }
  model_remove_ended_owners (model);
  model_commit_progress (model);
}

void
steps_model_run (struct steps_model *model, int64_t for_ms)
{
  int64_t until_ms = model->now_ms + for_ms;

  while (model->now_ms < until_ms)
    run_tick (model);
}

enum gr_job_state
steps_model_state (const struct steps_model *model, uint32_t number)
{
  return model_get_job (model, number)->durable.state;
}

int64_t
steps_model_start_delay_ms (const struct steps_model *model, uint32_t number)
{
  const struct model_job *job = model_get_job (model, number);

  return job->started_ms < 0 ? -1 : job->started_ms - job->added_ms;
}

int64_t
steps_model_completion_ms (const struct steps_model *model, uint32_t number)
{
  const struct model_job *job = model_get_job (model, number);

  return job->final_ms < 0 ? -1 : job->final_ms - job->added_ms;
}

uint32_t
steps_model_starts (const struct steps_model *model, uint32_t number)
{
  return model_get_job (model, number)->starts;
}

uint32_t
steps_model_task_starts (const struct steps_model *model,
                         uint32_t number,
                         uint32_t index)
{
  const struct model_job *job = model_get_job (model, number);
  char name[GR_TASK_NAME_SIZE];

  g_snprintf (name, sizeof name, "%s.0.0.%u", job->spec->id, index);
  return GPOINTER_TO_UINT (g_hash_table_lookup (job->task_starts, name));
}

uint32_t
steps_model_starts_on (const struct steps_model *model, uint32_t worker)
{
  return ((struct model_worker *)model->workers->pdata[worker])->starts;
}

double
steps_model_wasted_accelerator_s (const struct steps_model *model)
{
  return model->wasted_s;
}

const char *
steps_model_violation (const struct steps_model *model)
{
  return model->violation;
}

uint32_t
steps_model_failures (const struct steps_model *model, uint32_t number)
{
  const struct gr_job_progress *progress =
      &model_get_job (model, number)->durable;
  uint32_t failures = 0;

  for (size_t i = 0; i < progress->n_tasks; i++)
    failures += progress->tasks[i].failures;
  return failures;
}

void
steps_model_require_tickets (struct steps_model *model)
{
  model->needs_tickets = true;
  for (guint i = 0; i < model->queues->len; i++)
    {
      struct gr_steps_queue *queue = model->queues->pdata[i];

      queue->needs_advice = true;
      gr_steps_set_queue (model->owner->steps, queue);
    }
}

void
steps_model_set_advice_ms (struct steps_model *model,
                           uint32_t decide_ms,
                           uint32_t each_ms)
{
  model->advice_decide_ms = decide_ms;
  model->advice_each_ms = each_ms;
  for (guint i = 0; i < model->queues->len; i++)
    {
      struct gr_steps_queue *queue = model->queues->pdata[i];

      queue->advice_decide_ms = decide_ms;
      queue->advice_each_ms = each_ms;
      gr_steps_set_queue (model->owner->steps, queue);
    }
}

uint32_t
steps_model_advice_calls (const struct steps_model *model)
{
  return model->advice_calls;
}

void
steps_model_fail_runs (struct steps_model *model, uint32_t number)
{
  struct model_worker *worker = get_worker (model, number);

  while (worker->runs->len > 0)
    model_end_run (model, worker, 0, GR_END_FAILED);
}

uint32_t
steps_model_running (const struct steps_model *model, uint32_t number)
{
  uint32_t running = 0;

  for (guint i = 0; i < model->workers->len; i++)
    {
      const struct model_worker *worker = model->workers->pdata[i];

      for (guint k = 0; k < worker->runs->len; k++)
        running += ((struct model_run *)worker->runs->pdata[k])->job == number;
    }
  return running;
}

void
steps_model_renew_entry (struct steps_model *model,
                         uint32_t number,
                         int64_t late_ms)
{
  get_worker (model, number)->entry_revision++;
  register_entry (model, get_worker (model, number), model->now_ms - late_ms);
}

void
steps_model_write_former_entry (struct steps_model *model, uint32_t number)
{
  struct model_worker *worker = get_worker (model, number);
  struct model_worker former = *worker;

  former.incarnation--;
  former.entry_revision = ++worker->entry_revision;
  former.draining = true;
  register_entry (model, &former, model->now_ms);
}

void
steps_model_unregister_worker (struct steps_model *model,
                               uint32_t number,
                               int64_t late_ms)
{
  model_unregister (model, get_worker (model, number), model->now_ms - late_ms);
}

void
steps_model_remove_worker (struct steps_model *model,
                           uint32_t number,
                           int64_t silent_ms)
{
  struct model_worker *worker = get_worker (model, number);

  worker->unreachable = true;
  if (silent_ms < HEARTBEAT_MS)
    {
      steps_model_drain_worker (model, number, true);
      g_ptr_array_set_size (worker->runs, 0);
    }
  steps_model_renew_entry (model, number, 0);
  for (int64_t waited = 0; waited < silent_ms; waited += TICK_MS)
    steps_model_run (model, TICK_MS);
  steps_model_unregister_worker (model, number, 0);
}

void
steps_model_set_listed_ends (struct steps_model *model, uint32_t ends)
{
  model->listed_ends = ends;
}

uint32_t
steps_model_kept_ends (const struct steps_model *model, uint32_t number)
{
  const struct model_worker *worker = model->workers->pdata[number];

  return worker->ends->len;
}

void
steps_model_set_orders_per_tick (struct steps_model *model, uint32_t orders)
{
  model->orders_per_tick = orders;
}

void
steps_model_hold_orders (struct steps_model *model, uint32_t number, bool held)
{
  get_worker (model, number)->held_orders = held;
}

uint32_t
steps_model_runs_alone (const struct steps_model *model)
{
  return model->runs_alone;
}

void
steps_model_drop_results (struct steps_model *model, uint32_t results)
{
  model->drop_results = results;
}
