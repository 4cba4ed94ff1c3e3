#include "tests/steps-model.h"

#include <stdio.h>
#include <string.h>

#define TICK_MS 20
#define LOOK_MS 100
#define HOLD_MS 7000
#define ANSWER_MS 2
#define GANG_WAIT_MS 3000
#define STOP_MS 60
#define SAVE_MS 1000
#define HEARTBEAT_MS 1500
#define HARM_MS 4000
#define STARTUP_MS 300
#define TICKET_MS 3000

struct model_run
{
  char task[GR_TASK_NAME_SIZE];
  uint32_t job;
  uint32_t step;
  uint32_t run;
  int64_t begun_ms;
  int64_t worked_ms; /* since it began or was restored */
  int64_t saved_ms;  /* work that a checkpoint holds */
  int64_t stop_ms;   /* 0: not stopped */
  uint32_t pace;     /* percent of its work that it does */
  int64_t over_ms;   /* ticks over its target on end */
};

struct model_end
{
  struct gr_ended row;
};

struct model_worker
{
  char id[16];
  char rack[16];
  GPtrArray *runs;
  GArray *ends; /* struct gr_ended */
  GHashTable *over;
  int64_t lease_until_ms;
  int64_t last_number;
  int64_t highest_epoch;
  int64_t born;
  int64_t next_look_ms;
  int64_t entry_revision;
  bool cut;
  bool fails;
  bool drains;
  bool clock_known; /* to the owner; the first look gives no lease */
  uint32_t starts;
};

struct model_job
{
  struct gr_job_spec *spec;
  struct gr_job_progress durable;
  bool has_durable;
  bool cancelled;
  bool fails;
  int64_t work_ms;
  int64_t added_ms;
  int64_t begun_ms;
  int64_t final_ms;
  uint32_t starts;
  GHashTable *done; /* task names whose end as done was noted */
};

struct late_order
{
  struct gr_order order;
  int64_t at_ms;
  int64_t until_ms;
  int64_t epoch;
  char *payload;
};

/* Progress on its way to the store. */
struct commit
{
  int64_t at_ms;
  char id[GR_JOB_ID_DIGITS + 1]; /* "" for the sequence alone */
  struct gr_job_progress progress;
  uint64_t sequence;
};

struct steps_model
{
  struct gr_steps *steps;
  struct gr_steps_settings settings;
  int64_t epoch;
  int64_t now_ms;
  GRand *rand;
  struct steps_model_faults faults;
  GPtrArray *workers;
  GPtrArray *jobs; /* by number; NULL where there is none */
  GPtrArray *queues;
  GPtrArray *late;
  bool store_works;
  int64_t commit_ms;
  GQueue commits; /* struct commit, oldest first */
  double wasted_s;
  uint32_t advice_calls;
  uint32_t orders_per_tick;
  uint32_t swallow;
  bool needs_tickets;
  char *broken;
};

static void drop_commits (struct steps_model *model);

static void
break_promise (struct steps_model *model, const char *rule, const char *task)
{
  if (model->broken == NULL)
    model->broken = g_strdup_printf ("%s: %s at %" G_GINT64_FORMAT, rule, task,
                                     model->now_ms);
}

static struct model_job *
job_of (const struct steps_model *model, uint32_t number)
{
  return number < model->jobs->len ? model->jobs->pdata[number] : NULL;
}

static bool
happens (struct steps_model *model, double share)
{
  return share > 0 && g_rand_double (model->rand) < share;
}

static struct model_worker *
find_worker (struct steps_model *model, const char *id)
{
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      if (g_str_equal (worker->id, id))
        return worker;
    }
  return NULL;
}

static void
set_worker (struct steps_model *model, struct model_worker *worker)
{
  const char *labels[] = { "a", worker->rack, NULL };
  struct gr_steps_worker row = {
    .id = worker->id,
    .service = "render",
    .rack = worker->rack,
    .labels = labels,
    .capacity = { 128000, 262144, 8 },
    .draining = worker->drains,
    .born_unix_ms = worker->born,
    .entry_revision = worker->entry_revision,
  };

  gr_steps_set_worker (model->steps, &row, model->now_ms);
}

struct steps_model *
steps_model_create (uint32_t workers, uint32_t per_rack, uint32_t seed)
{
  struct steps_model *model = g_new0 (struct steps_model, 1);

  model->now_ms = 1000;
  model->epoch = 1;
  model->store_works = true;
  model->orders_per_tick = UINT32_MAX;
  model->rand = g_rand_new_with_seed (seed);
  model->settings = (struct gr_steps_settings){
    .hold_ms = HOLD_MS,
    .gang_wait_ms = GANG_WAIT_MS,
    .reclaim_ms = 2700,
    .isolation_ms = 2500,
    .heartbeat_ms = HEARTBEAT_MS,
    .checkpoint_ms = SAVE_MS,
    .far_factor = 3,
  };
  model->workers = g_ptr_array_new ();
  model->jobs = g_ptr_array_new ();
  model->queues = g_ptr_array_new ();
  model->late = g_ptr_array_new ();
  model->steps = gr_steps_create (&model->settings, 1, model->now_ms);
  for (uint32_t i = 0; i < workers; i++)
    {
      struct model_worker *worker = g_new0 (struct model_worker, 1);

      g_snprintf (worker->id, sizeof worker->id, "w%03u", i);
      g_snprintf (worker->rack, sizeof worker->rack, "rack%u", i / per_rack);
      worker->runs = g_ptr_array_new_with_free_func (g_free);
      worker->ends = g_array_new (FALSE, FALSE, sizeof (struct gr_ended));
      worker->over =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      worker->born = 1;
      worker->entry_revision = 1;
      g_ptr_array_add (model->workers, worker);
      set_worker (model, worker);
    }
  return model;
}

static void
job_free (struct model_job *job)
{
  if (job == NULL)
    return;
  gr_job_spec_destroy (job->spec);
  gr_job_progress_clear (&job->durable);
  g_hash_table_destroy (job->done);
  g_free (job);
}

static void
late_free (struct late_order *late)
{
  g_free (late->payload);
  g_free (late);
}

void
steps_model_destroy (struct steps_model *model)
{
  gr_steps_destroy (model->steps);
  drop_commits (model);
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      g_ptr_array_unref (worker->runs);
      g_array_unref (worker->ends);
      g_hash_table_destroy (worker->over);
      g_free (worker);
    }
  for (guint i = 0; i < model->jobs->len; i++)
    job_free (model->jobs->pdata[i]);
  for (guint i = 0; i < model->late->len; i++)
    late_free (model->late->pdata[i]);
  g_ptr_array_unref (model->workers);
  g_ptr_array_unref (model->jobs);
  g_ptr_array_unref (model->late);
  for (guint i = 0; i < model->queues->len; i++)
    {
      g_free ((char *)((struct gr_steps_queue *)model->queues->pdata[i])->name);
      g_free (model->queues->pdata[i]);
    }
  g_ptr_array_unref (model->queues);
  g_rand_free (model->rand);
  g_free (model->broken);
  g_free (model);
}

struct gr_steps *
steps_model_core (struct steps_model *model)
{
  return model->steps;
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
  gr_steps_set_queue (model->steps, queue);
}

void
steps_model_set_guarantee (struct steps_model *model,
                           const char *account,
                           uint32_t accelerators)
{
  gr_steps_set_guarantee (model->steps, account, accelerators);
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
  job->begun_ms = -1;
  job->final_ms = -1;
  job->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  while (model->jobs->len <= number)
    g_ptr_array_add (model->jobs, NULL);
  model->jobs->pdata[number] = job;
  gr_steps_add_job (model->steps, job->spec, NULL, false, model->now_ms);
}

void
steps_model_cancel (struct steps_model *model, uint32_t number)
{
  struct model_job *job = job_of (model, number);

  job->cancelled = true;
  gr_steps_cancel_job (model->steps, job->spec->id);
}

void
steps_model_fail_job (struct steps_model *model, uint32_t number)
{
  job_of (model, number)->fails = true;
}

static struct model_worker *
worker_at (struct steps_model *model, uint32_t worker)
{
  return model->workers->pdata[worker];
}

void
steps_model_fail_worker (struct steps_model *model, uint32_t worker, bool fails)
{
  worker_at (model, worker)->fails = fails;
}

void
steps_model_cut_worker (struct steps_model *model, uint32_t worker, bool cut)
{
  worker_at (model, worker)->cut = cut;
}

void
steps_model_drain_worker (struct steps_model *model,
                          uint32_t worker,
                          bool drains)
{
  worker_at (model, worker)->drains = drains;
  set_worker (model, worker_at (model, worker));
}

void
steps_model_restart_worker (struct steps_model *model, uint32_t number)
{
  struct model_worker *worker = worker_at (model, number);

  g_ptr_array_set_size (worker->runs, 0);
  g_array_set_size (worker->ends, 0);
  g_hash_table_remove_all (worker->over);
  worker->lease_until_ms = 0;
  worker->last_number = 0;
  worker->highest_epoch = 0;
  worker->born++;
  set_worker (model, worker);
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
  void *kept = model->workers->pdata[a];

  model->workers->pdata[a] = model->workers->pdata[b];
  model->workers->pdata[b] = kept;
}

void
steps_model_take_over (struct steps_model *model)
{
  gr_steps_destroy (model->steps);
  drop_commits (model);
  model->epoch++;
  model->steps =
      gr_steps_create (&model->settings, model->epoch, model->now_ms);
  for (guint i = 0; i < model->queues->len; i++)
    gr_steps_set_queue (model->steps, model->queues->pdata[i]);
  for (guint i = 0; i < model->jobs->len; i++)
    {
      struct model_job *job = model->jobs->pdata[i];

      if (job == NULL)
        continue;
      gr_steps_add_job (model->steps, job->spec,
                        job->has_durable ? &job->durable : NULL, true,
                        model->now_ms);
      if (job->cancelled)
        gr_steps_cancel_job (model->steps, job->spec->id);
    }
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      worker->clock_known = false;
      worker->next_look_ms = 0;
      set_worker (model, worker);
    }
}

static struct model_run *
find_run (struct model_worker *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct model_run *run = worker->runs->pdata[i];

      if (g_str_equal (run->task, task))
        return run;
    }
  return NULL;
}

static const struct gr_step_spec *
spec_of (const struct steps_model *model, const struct model_run *run)
{
  return &job_of (model, run->job)->spec->steps[run->step];
}

static void
check_start (struct steps_model *model,
             struct model_worker *worker,
             const struct model_run *run)
{
  const struct gr_step_spec *spec = spec_of (model, run);
  struct model_job *job = job_of (model, run->job);
  uint32_t accelerators = 0;
  uint32_t beside = 0;

  for (guint i = 0; i < model->workers->len; i++)
    if (find_run (model->workers->pdata[i], run->task) != NULL)
      break_promise (model, "two runs at one time", run->task);
  if (g_hash_table_contains (job->done, run->task))
    break_promise (model, "a start after its end was noted", run->task);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *other = worker->runs->pdata[i];

      accelerators += spec_of (model, other)->needs.accelerators;
      beside += other->job == run->job && other->step == run->step;
    }
  if (accelerators + spec->needs.accelerators > 8)
    break_promise (model, "more than the worker's capacity", run->task);
  if (spec->max_per_worker > 0 && beside >= spec->max_per_worker)
    break_promise (model, "too many tasks of a step on a worker", run->task);
}

static int64_t
over_run (const struct model_worker *worker, const char *task)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (worker->over, task));
}

static void
note_over (struct model_worker *worker, const char *task, uint32_t run)
{
  if (over_run (worker, task) < run)
    g_hash_table_replace (worker->over, g_strdup (task),
                          GUINT_TO_POINTER (run));
}

static bool
has_room (struct steps_model *model,
          struct model_worker *worker,
          const struct model_run *run)
{
  uint32_t accelerators = spec_of (model, run)->needs.accelerators;

  for (guint i = 0; i < worker->runs->len; i++)
    accelerators += spec_of (model, worker->runs->pdata[i])->needs.accelerators;
  return accelerators <= 8;
}

static bool
ticket_is_valid (const struct steps_model *model,
                 const struct model_worker *worker,
                 const char *ticket)
{
  size_t length = strlen (worker->id);

  return strncmp (ticket, worker->id, length) == 0 && ticket[length] == '@'
         && g_ascii_strtoll (ticket + length + 1, NULL, 10) >= model->now_ms;
}

static enum gr_order_result
carry_out_start (struct steps_model *model,
                 struct model_worker *worker,
                 const struct gr_order *order,
                 int64_t until_ms)
{
  struct model_run *run = find_run (worker, order->task);
  struct model_run *new_run;
  unsigned job;
  unsigned step;

  if (run != NULL && run->run == order->run)
    return GR_ORDER_DONE;
  worker->lease_until_ms = MAX (worker->lease_until_ms, until_ms);
  if (until_ms < model->now_ms)
    return GR_ORDER_TOO_LATE;
  if (model->needs_tickets && !ticket_is_valid (model, worker, order->ticket))
    return GR_ORDER_NO_TICKET;
  if (order->run <= over_run (worker, order->task))
    return GR_ORDER_RUN_TOO_OLD;
  new_run = g_new0 (struct model_run, 1);
  sscanf (order->task, "%16x.%*u.%u", &job, &step);
  g_strlcpy (new_run->task, order->task, sizeof new_run->task);
  new_run->job = job;
  new_run->step = step;
  new_run->run = order->run;
  new_run->begun_ms = model->now_ms;
  new_run->pace = 100;
  new_run->saved_ms = g_ascii_strtoll (order->checkpoint, NULL, 10);
  new_run->worked_ms = new_run->saved_ms;
  if (!has_room (model, worker, new_run))
    {
      g_free (new_run);
      return GR_ORDER_NO_ROOM;
    }
  check_start (model, worker, new_run);
  g_ptr_array_add (worker->runs, new_run);
  worker->starts++;
  job_of (model, job)->starts++;
  if (job_of (model, job)->starts == job_of (model, job)->spec->steps[0].count)
    job_of (model, job)->begun_ms = model->now_ms;
  return GR_ORDER_DONE;
}

static enum gr_order_result
carry_out (struct steps_model *model,
           struct model_worker *worker,
           const struct gr_order *order,
           int64_t until_ms,
           int64_t epoch)
{
  struct model_run *run;

  if (epoch < worker->highest_epoch)
    return GR_ORDER_FENCED;
  worker->highest_epoch = epoch;
  if (order->kind == GR_ORDER_START)
    return carry_out_start (model, worker, order, until_ms);
  run = find_run (worker, order->task);
  if (order->kind == GR_ORDER_PACE)
    {
      if (run != NULL)
        run->pace = order->percent;
      return run != NULL ? GR_ORDER_DONE : GR_ORDER_REJECTED;
    }
  if (run != NULL && run->run <= order->run && run->stop_ms == 0)
    run->stop_ms = model->now_ms + STOP_MS;
  else if (run == NULL)
    note_over (worker, order->task, order->run);
  return GR_ORDER_DONE;
}

static void
keep_late (struct steps_model *model,
           const struct gr_order *order,
           int64_t until_ms)
{
  struct late_order *late = g_new0 (struct late_order, 1);

  late->order = *order;
  late->order.payload = NULL;
  late->at_ms = model->now_ms + g_rand_int_range (model->rand, 500, 6000);
  late->until_ms = until_ms;
  late->epoch = model->epoch;
  g_ptr_array_add (model->late, late);
}

static void
send_order (struct steps_model *model, const struct gr_order *order)
{
  struct model_worker *worker = find_worker (model, order->worker);
  enum gr_order_result result = GR_ORDER_UNKNOWN;
  int64_t until_ms = order->start_limit_ms;

  if (order->kind == GR_ORDER_START)
    gr_steps_worker_lease (model->steps, worker->id, until_ms + 100);
  if (worker->cut || happens (model, model->faults.lose_order))
    result = GR_ORDER_UNKNOWN;
  else if (happens (model, model->faults.late_order))
    keep_late (model, order, until_ms);
  else
    {
      result = carry_out (model, worker, order, until_ms, model->epoch);
      if (happens (model, model->faults.lose_answer))
        result = GR_ORDER_UNKNOWN;
    }
  if (model->swallow > 0)
    {
      model->swallow--;
      return;
    }
  gr_steps_order_result (model->steps, order, result, model->now_ms);
}

static void
carry_out_late (struct steps_model *model)
{
  for (guint i = model->late->len; i-- > 0;)
    {
      struct late_order *late = model->late->pdata[i];

      if (late->at_ms > model->now_ms)
        continue;
      carry_out (model, find_worker (model, late->order.worker), &late->order,
                 late->until_ms, late->epoch);
      late_free (late);
      g_ptr_array_remove_index_fast (model->late, i);
    }
}

static void
end_run (struct steps_model *model,
         struct model_worker *worker,
         guint index,
         enum gr_run_end how)
{
  struct model_run *run = worker->runs->pdata[index];
  const struct gr_step_spec *spec = spec_of (model, run);
  struct gr_ended row = { .number = ++worker->last_number, .run = run->run };

  row.how = how;
  g_strlcpy (row.task, run->task, sizeof row.task);
  if (spec->checkpointing && how != GR_END_DONE)
    {
      if (how == GR_END_STOPPED)
        run->saved_ms = run->worked_ms;
      g_snprintf (row.checkpoint, sizeof row.checkpoint, "%" G_GINT64_FORMAT,
                  run->saved_ms);
    }
  if (how != GR_END_DONE && how != GR_END_FAILED)
    model->wasted_s += (double)(run->worked_ms - run->saved_ms) / 1000.0
                       * spec->needs.accelerators;
  note_over (worker, run->task, run->run);
  g_array_append_val (worker->ends, row);
  g_ptr_array_remove_index (worker->runs, index);
}

/* Members of a gang's run that are present. */
static uint32_t
members (struct steps_model *model, const struct model_run *run)
{
  uint32_t n = 0;

  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      for (guint k = 0; k < worker->runs->len; k++)
        {
          const struct model_run *other = worker->runs->pdata[k];

          n += other->job == run->job && other->step == run->step
               && other->run == run->run;
        }
    }
  return n;
}

static void
break_gang (struct steps_model *model,
            uint32_t job,
            uint32_t step,
            uint32_t number,
            enum gr_run_end how)
{
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      for (guint k = worker->runs->len; k-- > 0;)
        {
          const struct model_run *other = worker->runs->pdata[k];

          if (other->job == job && other->step == step && other->run == number)
            end_run (model, worker, k, how);
        }
    }
}

/* Tail of a task that serves: each task that fills beside it, at full pace,
 * adds 60 % of the target. */
static uint32_t
tail_ms (struct steps_model *model,
         const struct model_worker *worker,
         const struct model_run *run)
{
  const struct gr_step_spec *spec = spec_of (model, run);
  uint32_t tail = spec->tail_target_ms / 5;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *other = worker->runs->pdata[i];

      if (spec_of (model, other)->filler)
        tail += spec->tail_target_ms * 6 / 10 * other->pace / 100;
    }
  return tail;
}

/* Promise that a task that serves is not over its target for too long. */
static void
check_tail (struct steps_model *model,
            struct model_worker *worker,
            struct model_run *run)
{
  const struct gr_step_spec *spec = spec_of (model, run);

  if (spec->tail_target_ms == 0
      || tail_ms (model, worker, run) <= spec->tail_target_ms)
    run->over_ms = 0;
  else if (++run->over_ms * TICK_MS > HARM_MS)
    break_promise (model, "over its target for too long", run->task);
}

/* How the run ends now; false if it goes on. */
static bool
ends_now (struct steps_model *model,
          struct model_worker *worker,
          struct model_run *run,
          enum gr_run_end *how)
{
  const struct model_job *job = job_of (model, run->job);
  const struct gr_step_spec *spec = spec_of (model, run);

  if (model->now_ms > worker->lease_until_ms)
    *how = GR_END_LAPSED;
  else if (run->stop_ms != 0 && model->now_ms >= run->stop_ms)
    *how = GR_END_STOPPED;
  else if (spec->gang && members (model, run) < spec->count)
    {
      *how = GR_END_ALONE;
      return model->now_ms > run->begun_ms + GANG_WAIT_MS;
    }
  else
    {
      check_tail (model, worker, run);
      run->worked_ms += TICK_MS * run->pace / 100;
      if (spec->lasting)
        return false;
      if (run->worked_ms - run->saved_ms >= SAVE_MS && spec->checkpointing)
        run->saved_ms = run->worked_ms;
      *how = job->fails || worker->fails ? GR_END_FAILED : GR_END_DONE;
      return run->worked_ms
             >= (*how == GR_END_FAILED ? job->work_ms / 3 : job->work_ms);
    }
  return true;
}

static void
move_runs (struct steps_model *model)
{
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      for (guint k = worker->runs->len; k-- > 0;)
        {
          struct model_run copy;
          enum gr_run_end how;

          if (k >= worker->runs->len
              || !ends_now (model, worker, worker->runs->pdata[k], &how))
            continue;
          copy = *(struct model_run *)worker->runs->pdata[k];
          end_run (model, worker, k, how);
          if (spec_of (model, &copy)->gang)
            break_gang (model, copy.job, copy.step, copy.run,
                        how == GR_END_DONE ? GR_END_DONE : GR_END_BROKEN);
        }
    }
}

static void
note_ends (struct steps_model *model, struct model_worker *worker)
{
  int64_t noted = gr_steps_noted (model->steps, worker->id);

  while (worker->ends->len > 0)
    {
      struct gr_ended *row = &g_array_index (worker->ends, struct gr_ended, 0);
      unsigned job;

      if (row->number > noted)
        return;
      sscanf (row->task, "%16x", &job);
      if (row->how == GR_END_DONE)
        g_hash_table_add (job_of (model, job)->done, g_strdup (row->task));
      g_array_remove_index (worker->ends, 0);
    }
}

static void
look (struct steps_model *model, struct model_worker *worker)
{
  struct gr_running *running;
  struct gr_look row = {
    .sent_ms = model->now_ms,
    .clock_ms = model->now_ms,
    .born_unix_ms = worker->born,
    .all_ended = true,
    .n_running = worker->runs->len,
  };

  worker->next_look_ms = model->now_ms + LOOK_MS;
  if (gr_steps_look_need (model->steps, worker->id) == GR_LOOK_NONE
      && gr_steps_noted (model->steps, worker->id) == 0)
    return;
  if (worker->cut || happens (model, model->faults.lose_look))
    {
      gr_steps_worker_reachable (model->steps, worker->id, false,
                                 model->now_ms);
      return;
    }
  if (model->epoch < worker->highest_epoch)
    return;
  worker->highest_epoch = model->epoch;
  note_ends (model, worker);
  if (worker->clock_known)
    {
      worker->lease_until_ms = model->now_ms + HOLD_MS;
      gr_steps_worker_lease (model->steps, worker->id,
                             model->now_ms + HOLD_MS + 200);
    }
  worker->clock_known = true;
  running = g_new0 (struct gr_running, worker->runs->len + 1);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct model_run *run = worker->runs->pdata[i];
      int64_t work_ms = MAX (job_of (model, run->job)->work_ms, 1);

      g_strlcpy (running[i].task, run->task, sizeof running[i].task);
      running[i].run = run->run;
      running[i].percent = (uint32_t)MIN (run->worked_ms * 100 / work_ms, 99);
      if (spec_of (model, run)->lasting && run->worked_ms >= STARTUP_MS)
        running[i].percent = 100;
      running[i].usage = tail_ms (model, worker, run);
    }
  row.running = running;
  row.ended = (struct gr_ended *)worker->ends->data;
  row.n_ended = worker->ends->len;
  gr_steps_look (model->steps, worker->id, &row, model->now_ms);
  g_free (running);
}

static void
apply_commit (struct steps_model *model, struct commit *commit)
{
  struct model_job *job;

  if (commit->id[0] == '\0')
    {
      gr_steps_committed (model->steps, commit->sequence);
      return;
    }
  job = job_of (model, (uint32_t)g_ascii_strtoull (commit->id, NULL, 16));
  gr_job_progress_clear (&job->durable);
  job->durable = commit->progress;
  job->has_durable = true;
  if (commit->progress.state >= GR_JOB_COMPLETED && job->final_ms < 0)
    job->final_ms = model->now_ms;
}

static void
send_commits (struct steps_model *model)
{
  struct commit *commit;
  const char *id;

  while ((id = gr_steps_take_changed (model->steps)) != NULL)
    {
      commit = g_new0 (struct commit, 1);
      commit->at_ms = model->now_ms + model->commit_ms;
      g_strlcpy (commit->id, id, sizeof commit->id);
      if (gr_steps_progress (model->steps, id, &commit->progress))
        g_queue_push_tail (&model->commits, commit);
      else
        g_free (commit);
    }
  commit = g_new0 (struct commit, 1);
  commit->at_ms = model->now_ms + model->commit_ms;
  commit->sequence = gr_steps_sequence (model->steps);
  g_queue_push_tail (&model->commits, commit);
}

static void
echo_records (struct steps_model *model)
{
  for (guint i = 0; model->commit_ms > 0 && i < model->jobs->len; i++)
    {
      struct model_job *job = model->jobs->pdata[i];

      if (job != NULL)
        gr_steps_add_job (model->steps, job->spec,
                          job->has_durable ? &job->durable : NULL, false,
                          model->now_ms);
    }
}

static void
make_durable (struct steps_model *model)
{
  if (!model->store_works)
    return;
  send_commits (model);
  while (!g_queue_is_empty (&model->commits)
         && ((struct commit *)g_queue_peek_head (&model->commits))->at_ms
                <= model->now_ms)
    {
      struct commit *commit = g_queue_pop_head (&model->commits);

      apply_commit (model, commit);
      g_free (commit);
    }
  echo_records (model);
}

static void
drop_commits (struct steps_model *model)
{
  while (!g_queue_is_empty (&model->commits))
    {
      struct commit *commit = g_queue_pop_head (&model->commits);

      gr_job_progress_clear (&commit->progress);
      g_free (commit);
    }
}

/* Even workers may run any step. */
static void
answer_advice (struct steps_model *model)
{
  struct gr_advice_request request;

  while (gr_steps_take_advice_request (model->steps, &request))
    {
      struct gr_advice_row rows[GR_ADVICE_WORKERS];
      uint32_t n = 0;

      model->advice_calls++;
      for (uint32_t i = 0; i < request.n_workers; i++)
        {
          if (g_ascii_strtoull (request.workers[i] + 1, NULL, 10) % 2 != 0)
            continue;
          g_strlcpy (rows[n].worker, request.workers[i], sizeof rows[n].worker);
          g_snprintf (rows[n].ticket, sizeof rows[n].ticket,
                      "%s@%" G_GINT64_FORMAT, request.workers[i],
                      model->now_ms + TICKET_MS);
          n++;
        }
      gr_steps_advice (model->steps, &request, rows, n, TICKET_MS,
                       model->now_ms);
    }
}

static void
step_once (struct steps_model *model)
{
  struct gr_order order;

  model->now_ms += TICK_MS;
  move_runs (model);
  carry_out_late (model);
  for (guint i = 0; i < model->workers->len; i++)
    {
      struct model_worker *worker = model->workers->pdata[i];

      if (model->now_ms >= worker->next_look_ms)
        look (model, worker);
    }
  gr_steps_tick (model->steps, model->now_ms, model->now_ms);
  for (uint32_t sent = 0; sent < model->orders_per_tick
                          && gr_steps_take_order (model->steps, &order);
       sent++)
    send_order (model, &order);
  answer_advice (model);
  make_durable (model);
}

void
steps_model_run (struct steps_model *model, int64_t for_ms)
{
  int64_t until_ms = model->now_ms + for_ms;

  while (model->now_ms < until_ms)
    step_once (model);
}

enum gr_job_state
steps_model_state (const struct steps_model *model, uint32_t number)
{
  return job_of (model, number)->durable.state;
}

int64_t
steps_model_begun_ms (const struct steps_model *model, uint32_t number)
{
  const struct model_job *job = job_of (model, number);

  return job->begun_ms < 0 ? -1 : job->begun_ms - job->added_ms;
}

int64_t
steps_model_took_ms (const struct steps_model *model, uint32_t number)
{
  const struct model_job *job = job_of (model, number);

  return job->final_ms < 0 ? -1 : job->final_ms - job->added_ms;
}

uint32_t
steps_model_starts (const struct steps_model *model, uint32_t number)
{
  return job_of (model, number)->starts;
}

uint32_t
steps_model_starts_on (const struct steps_model *model, uint32_t worker)
{
  return ((struct model_worker *)model->workers->pdata[worker])->starts;
}

double
steps_model_wasted_s (const struct steps_model *model)
{
  return model->wasted_s;
}

const char *
steps_model_broken (const struct steps_model *model)
{
  return model->broken;
}

uint32_t
steps_model_failures (const struct steps_model *model, uint32_t number)
{
  const struct gr_job_progress *progress = &job_of (model, number)->durable;
  uint32_t failures = 0;

  for (size_t i = 0; i < progress->n_tasks; i++)
    failures += progress->tasks[i].failures;
  return failures;
}

void
steps_model_need_tickets (struct steps_model *model)
{
  model->needs_tickets = true;
  for (guint i = 0; i < model->queues->len; i++)
    {
      struct gr_steps_queue *queue = model->queues->pdata[i];

      queue->needs_advice = true;
      gr_steps_set_queue (model->steps, queue);
    }
}

uint32_t
steps_model_advice_calls (const struct steps_model *model)
{
  return model->advice_calls;
}

void
steps_model_kill_runs (struct steps_model *model, uint32_t number)
{
  struct model_worker *worker = worker_at (model, number);

  while (worker->runs->len > 0)
    end_run (model, worker, 0, GR_END_FAILED);
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
steps_model_renew (struct steps_model *model, uint32_t number)
{
  worker_at (model, number)->entry_revision++;
  set_worker (model, worker_at (model, number));
}

void
steps_model_drop_entry (struct steps_model *model, uint32_t number)
{
  gr_steps_worker_gone (model->steps, worker_at (model, number)->id, true,
                        model->now_ms);
}

void
steps_model_remove_worker (struct steps_model *model,
                           uint32_t number,
                           int64_t silent_ms)
{
  struct model_worker *worker = worker_at (model, number);

  worker->cut = true;
  if (silent_ms < HEARTBEAT_MS)
    g_ptr_array_set_size (worker->runs, 0);
  steps_model_renew (model, number);
  for (int64_t waited = 0; waited < silent_ms; waited += TICK_MS)
    steps_model_run (model, TICK_MS);
  gr_steps_worker_gone (model->steps, worker->id, true, model->now_ms);
}

void
steps_model_set_orders_per_tick (struct steps_model *model, uint32_t orders)
{
  model->orders_per_tick = orders;
}

void
steps_model_swallow_results (struct steps_model *model, uint32_t results)
{
  model->swallow = results;
}
