#include "steps/samples.h"

#include "common/log.h"

#include <string.h>

/* An unanswered start order is sent again with the same run number, and a
 * worker that already has the run confirms it. After this many attempts the run
 * is stopped instead. */
#define MAX_START_ATTEMPTS 4

/* Limit for the start of a gang, as a share of the time that its members wait
 * for each other, if that is less than GR_START_LIMIT_MS: those that have
 * started must be stopped before they end alone. */
#define START_LIMIT_WAIT_SHARE 0.67

/* The longest timeout of an order is 2.3 s; the result of a stop that is
 * missing after this time is lost. */
#define RESULT_TIMEOUT_MS 4000

/* Covers the transit time of a start order and clocks that differ by 3 %. */
#define LEASE_MARGIN_MS 200

/* Limit for queued starts that are not urgent. An owner sends a few hundred
 * orders per second, and a start is useless after GR_START_LIMIT_MS. */
#define MAX_QUEUED_STARTS 64

/* Time between two stop orders for one run; a stop takes at most 200 ms. A stop
 * is repeated only after the previous one has a result or is certainly lost, so
 * that stops do not pile up in a queue. */
#define STOP_RESEND_MS 400

/* Pause after a worker had less free capacity than computed, until it is polled
 * again. */
#define NO_ROOM_PAUSE_MS 250

/* Orders queue up when the owner has more to send than its processor can
 * handle, for a second and more at peak load of a large site. Stops go first:
 * they free capacity, and those of cancelled runs have a deadline. Urgent
 * starts go before other starts, as their accounts are guaranteed a start in
 * time. */
static enum order_rank
get_order_rank (const struct gr_order *order, uint32_t priority)
{
  if (order->kind != GR_ORDER_START)
    return ORDER_STOP;
  return priority == 0 ? ORDER_URGENT_START : ORDER_START;
}

static void
push_order (struct gr_steps *steps,
            const struct gr_order *order,
            uint32_t priority)
{
  g_queue_push_tail (&steps->orders[get_order_rank (order, priority)],
                     g_memdup2 (order, sizeof *order));
}

static int64_t
start_limit_ms (const struct gr_steps *steps, const struct task *task)
{
  int64_t limit_ms = GR_START_LIMIT_MS;

  if (task->step->spec->gang)
    limit_ms = MIN (limit_ms, (int64_t)(steps->settings.gang_wait_ms
                                        * START_LIMIT_WAIT_SHARE));
  return task->placed_ms + limit_ms;
}

static const char *
start_checkpoint (const struct task *task)
{
  const struct task *checkpoint_task =
      task->step->spec->gang ? &task->step->tasks[0] : task;

  return checkpoint_task->checkpoint ? checkpoint_task->checkpoint : "";
}

static void
send_start (struct gr_steps *steps, struct task *task)
{
  struct gr_order order = {
    .kind = GR_ORDER_START,
    .run = task->run,
    .payload = gr_task_job (task)->spec->payload,
  };

  task->order_sent_ms = steps->now_ms;
  task->start_pending = true;
  task->stop_pending = false;
  task->tries++;
  gr_task_name (task, order.task);
  g_strlcpy (order.worker, task->worker->id, sizeof order.worker);
  g_strlcpy (order.checkpoint, start_checkpoint (task),
             sizeof order.checkpoint);
  g_strlcpy (order.ticket, gr_advice_ticket (task->step, task->worker),
             sizeof order.ticket);
  order.start_limit_ms = start_limit_ms (steps, task);
  /* The order may be queued for some time before it is sent with a lease. Until
   * then this prevents the run from counting as expired. */
  gr_steps_extend_worker_lease (steps, task->worker->id,
                                order.start_limit_ms + LEASE_MARGIN_MS);
  push_order (steps, &order, gr_task_job (task)->queue->priority);
}

/* The task must already have a worker and a run number. */
void
gr_order_start (struct gr_steps *steps, struct task *task)
{
  g_assert (task->state == TASK_WAITING && task->worker != NULL);
  task->state = TASK_STARTING;
  task->step->n_waiting--;
  task->placed_ms = steps->now_ms;
  task->adopted = false;
  task->incarnation_unix_ms = task->worker->incarnation_unix_ms;
  task->tries = 0;
  task->start_sent = false;
  task->start_result_ms = 0;
  task->possible_starts = 0;
  task->confirmed_ms = 0;
  task->stop_confirmed_ms = 0;
  task->percent = 0;
  task->percent_ms = steps->now_ms;
  task->first_percent_ms = 0;
  task->stop_failed_ms = 0;
  task->pace = 100;
  task->usage = 0;
  gr_samples_begin_run (task, start_checkpoint (task));
  send_start (steps, task);
}

void
gr_order_stop_run (struct gr_steps *steps,
                   const struct worker *worker,
                   const char *task,
                   uint32_t run)
{
  struct gr_order order = { .kind = GR_ORDER_STOP, .run = run };

  g_strlcpy (order.worker, worker->id, sizeof order.worker);
  g_strlcpy (order.task, task, sizeof order.task);
  push_order (steps, &order, 0);
}

static void
send_stop (struct gr_steps *steps, struct task *task, const char *name)
{
  task->order_sent_ms = steps->now_ms;
  task->stop_pending = true;
  gr_order_stop_run (steps, task->worker, name, task->run);
}

/* A run of a completed task that was never confirmed may not be on the worker,
 * which then reports no end of it. */
static bool
needs_stop (const struct task *task)
{
  return task->state == TASK_STOPPING
         || (task->state == TASK_DONE && task->confirmed_ms == 0);
}

static bool
was_never_sent (const struct task *task)
{
  return task->state == TASK_STARTING && !task->start_sent;
}

void
gr_order_stop (struct gr_steps *steps, struct task *task)
{
  char name[GR_TASK_NAME_SIZE];

  g_assert (gr_task_is_active (task));
  if (task->state == TASK_STOPPING)
    return;
  task->stop_failed_ms = 0;
  /* Without a call. An owner with a backlog would send nothing but stops. */
  if (was_never_sent (task))
    {
      gr_task_release (steps, task);
      return;
    }
  task->state = TASK_STOPPING;
  task->stop_confirmed_ms = 0;
  gr_task_name (task, name);
  send_stop (steps, task, name);
}

/* Releases a task whose run certainly did not start, and aborts its gang. */
static void
release_unstarted (struct gr_steps *steps, struct task *task)
{
  struct step *step = task->step;

  gr_task_release (steps, task);
  if (step->spec->gang)
    gr_gang_abort (steps, step);
}

/* Stops a run that could not be confirmed: an earlier order may still start
 * it. */
static void
abandon_start (struct gr_steps *steps, struct task *task)
{
  struct step *step = task->step;

  gr_order_stop (steps, task);
  if (step->spec->gang)
    gr_gang_abort (steps, step);
}

static void
log_start_failure (const struct task *task, enum gr_order_result result)
{
  static const char *const names[] = {
    [GR_ORDER_DONE] = "done",
    [GR_ORDER_NO_ROOM] = "no-room",
    [GR_ORDER_RUN_TOO_OLD] = "run-too-old",
    [GR_ORDER_TOO_LATE] = "too-late",
    [GR_ORDER_FENCED] = "fenced",
    [GR_ORDER_UNHEALTHY] = "unhealthy",
    [GR_ORDER_NO_TICKET] = "no-ticket",
    [GR_ORDER_OTHER_INCARNATION] = "other-incarnation",
    [GR_ORDER_REJECTED] = "rejected",
    [GR_ORDER_OTHER_PROCESS] = "other-process",
    [GR_ORDER_NOT_SENT] = "not-sent",
    [GR_ORDER_UNKNOWN] = "unknown",
  };
  char name[GR_TASK_NAME_SIZE];
  char run[16];
  char tries[16];

  gr_task_name (task, name);
  g_snprintf (run, sizeof run, "%u", task->run);
  g_snprintf (tries, sizeof tries, "%u", task->tries);
  gr_log_event ("start-failed", "task", name, "run", run, "worker",
                task->worker->id, "result", names[result], "tries", tries,
                NULL);
}

static void
start_result (struct gr_steps *steps,
              struct task *task,
              enum gr_order_result result)
{
  struct worker *worker = task->worker;
  bool only_attempt = task->tries <= 1;

  if (result != GR_ORDER_DONE)
    log_start_failure (task, result);
  switch (result)
    {
    case GR_ORDER_DONE:
      if (task->state == TASK_STARTING)
        task->state = TASK_RUNNING;
      task->confirmed_ms = steps->now_ms;
      gr_task_job (task)->started = true;
      return;
    case GR_ORDER_FENCED:
      steps->fenced = true;
      return;
    case GR_ORDER_NO_ROOM:
      worker->full_until_ms = steps->now_ms + NO_ROOM_PAUSE_MS;
      gr_worker_request_poll (steps, worker);
      break;
    case GR_ORDER_NO_TICKET:
      gr_advice_expire (task->step, worker);
      gr_worker_request_poll (steps, worker);
      break;
    case GR_ORDER_TOO_LATE:
    case GR_ORDER_REJECTED:
      gr_worker_request_poll (steps, worker);
      break;
    case GR_ORDER_OTHER_INCARNATION:
      worker->registered = false;
      worker->unregistered_ms = steps->now_ms;
      break;
    case GR_ORDER_UNHEALTHY:
      gr_health_quarantine (steps, worker,
                            "the worker reported itself unhealthy");
      break;
    case GR_ORDER_OTHER_PROCESS:
    case GR_ORDER_NOT_SENT:
      worker->reachable = false;
      gr_samples_disturb_worker (worker, GR_SAMPLE_SILENT);
      break;
    case GR_ORDER_RUN_TOO_OLD:
      gr_worker_request_poll (steps, worker);
      only_attempt = false;
      break;
    case GR_ORDER_UNKNOWN:
      gr_worker_request_poll (steps, worker);
      return; /* sent again by gr_orders_tick () */
    }
  if (task->state != TASK_STARTING)
    return;
  if (only_attempt)
    release_unstarted (steps, task);
  else
    abandon_start (steps, task);
}

static void
stop_result (struct gr_steps *steps,
             struct task *task,
             enum gr_order_result result)
{
  if (result == GR_ORDER_FENCED)
    steps->fenced = true;
  /* After such an answer the worker rejects a start of this run if it does not
   * have it; otherwise it reports the run as ended. */
  if (result == GR_ORDER_DONE || result == GR_ORDER_RUN_TOO_OLD
      || result == GR_ORDER_REJECTED)
    {
      /* Only the first answer counts. Stops are repeated, and if each answer
       * moved this time, every poll would have been sent before it. */
      if (task->stop_confirmed_ms == 0)
        task->stop_confirmed_ms = steps->now_ms;
      gr_worker_request_poll (steps, task->worker);
      task->stop_failed_ms = 0;
    }
  else
    task->stop_failed_ms = steps->now_ms;
}

void
gr_steps_order_result (struct gr_steps *steps,
                       const struct gr_order *order,
                       enum gr_order_result result,
                       int64_t now_ms)
{
  struct task *task = gr_task_find (steps, order->task);

  steps->now_ms = now_ms;
  if (result == GR_ORDER_FENCED)
    steps->fenced = true;
  if (task == NULL || task->worker == NULL || task->run != order->run
      || !g_str_equal (task->worker->id, order->worker))
    return;
  if (order->kind == GR_ORDER_START)
    {
      task->start_pending = false;
      task->start_result_ms = now_ms;
      gr_crash_start_result (task, result);
      start_result (steps, task, result);
    }
  else if (order->kind == GR_ORDER_PACE)
    {
      if (result == GR_ORDER_DONE)
        task->pace = order->percent;
    }
  else if (needs_stop (task))
    {
      task->stop_pending = false;
      stop_result (steps, task, result);
    }
}

void
gr_order_abandon_start (struct gr_steps *steps,
                        struct task *task,
                        const char *reason)
{
  char name[GR_TASK_NAME_SIZE];
  char run[16];

  gr_task_name (task, name);
  g_snprintf (run, sizeof run, "%u", task->run);
  gr_log_event ("start-abandoned", "task", name, "run", run, "worker",
                task->worker->id, "reason", reason, "pending",
                task->start_pending ? "yes" : "no", NULL);
  abandon_start (steps, task);
}

/* Sends the last order for the task again if it was not answered or had no
 * effect. */
static void
resend_order (struct gr_steps *steps, struct task *task)
{
  char name[GR_TASK_NAME_SIZE];

  if (task->state == TASK_STARTING)
    {
      /* At the limit also while the start is queued or has no result: the rest
       * of its gang waits for it. */
      if (steps->now_ms >= start_limit_ms (steps, task))
        gr_order_abandon_start (steps, task, "start limit");
      else if (!task->start_pending && task->tries >= MAX_START_ATTEMPTS)
        gr_order_abandon_start (steps, task, "attempts");
      else if (!task->start_pending)
        send_start (steps, task);
      return;
    }
  if (!needs_stop (task)
      || steps->now_ms - task->order_sent_ms
             < (task->stop_pending ? RESULT_TIMEOUT_MS : STOP_RESEND_MS))
    return;
  gr_worker_request_poll (steps, task->worker);
  gr_task_name (task, name);
  send_stop (steps, task, name);
}

bool
gr_orders_backlogged (const struct gr_steps *steps)
{
  return steps->orders[ORDER_START].length >= MAX_QUEUED_STARTS;
}

void
gr_orders_tick (struct gr_steps *steps)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      for (guint k = worker->tasks->len; k-- > 0;)
        if (k < worker->tasks->len)
          resend_order (steps, worker->tasks->pdata[k]);
    }
}

void
gr_order_pace (struct gr_steps *steps, struct task *task, uint32_t percent)
{
  struct gr_order order = {
    .kind = GR_ORDER_PACE,
    .run = task->run,
    .percent = percent,
  };

  task->pace_sent_ms = steps->now_ms;
  g_strlcpy (order.worker, task->worker->id, sizeof order.worker);
  gr_task_name (task, order.task);
  push_order (steps, &order, 0);
}

/* Returns the task that the start order is for; NULL if the task was stopped or
 * placed elsewhere while the order was queued. */
static struct task *
find_starting_task (struct gr_steps *steps, const struct gr_order *order)
{
  struct task *task = gr_task_find (steps, order->task);

  if (task == NULL || task->worker == NULL || task->run != order->run
      || !g_str_equal (task->worker->id, order->worker))
    return NULL;
  if (task->state == TASK_STARTING)
    return task;
  task->start_pending = false;
  return NULL;
}

/* Returns why a queued start must not be sent any more; NULL if it can be. */
static const char *
start_obstacle (const struct gr_steps *steps, const struct task *task)
{
  if (!gr_tenure_knows_process (steps, task->worker))
    return "later process";
  if (task->incarnation_unix_ms != 0
      && task->incarnation_unix_ms != task->worker->incarnation_unix_ms)
    return "chosen for another process";
  return NULL;
}

static bool
take_order_from (struct gr_steps *steps,
                 GQueue *queue,
                 bool (*can_send) (const char *worker, void *context),
                 void *context,
                 struct gr_order *order)
{
  GList *link = queue->head;

  while (link != NULL)
    {
      GList *next = link->next;
      struct gr_order *queued = link->data;
      bool is_start = queued->kind == GR_ORDER_START;
      struct task *task = is_start ? find_starting_task (steps, queued) : NULL;
      const char *obstacle = task != NULL ? start_obstacle (steps, task) : NULL;
      bool obsolete;

      if (obstacle != NULL)
        {
          task->start_pending = false;
          gr_order_abandon_start (steps, task, obstacle);
          task = NULL;
        }
      obsolete = is_start && task == NULL;

      if (obsolete || can_send == NULL || can_send (queued->worker, context))
        {
          g_queue_delete_link (queue, link);
          *order = *queued;
          g_free (queued);
          /* A later process has no fence of a successor. */
          order->same_process = !gr_tenure_is_present (steps);
          if (task != NULL)
            {
              task->start_sent = true;
              task->possible_starts++;
            }
          if (!obsolete)
            return true;
        }
      link = next;
    }
  return false;
}

bool
gr_steps_take_order (struct gr_steps *steps,
                     bool (*can_send) (const char *worker, void *context),
                     void *context,
                     struct gr_order *order)
{
  uint32_t ranks = steps->starts_held ? ORDER_URGENT_START : ORDER_RANKS;

  for (uint32_t rank = 0; rank < ranks; rank++)
    if (take_order_from (steps, &steps->orders[rank], can_send, context, order))
      return true;
  return false;
}
