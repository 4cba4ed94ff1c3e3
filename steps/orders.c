#include "steps/tables.h"

#include "common/log.h"

#include <string.h>

/* A start that was not answered is sent again with the same run; a worker
 * that has it answers so. After START_TRIES the run is stopped instead. */
#define START_TRIES 4

/* A worker does not begin a task later than this after its first order, so
 * that an order that is carried out late has no effect. */
#define START_LIMIT_MS 2000

/* The longest timeout of an order is 2.3 s; a result that has not come by then
 * does not come any more. */
#define RESULT_LOST_MS 4000

/* For the way of a start, and for clocks that differ by 3 %. */
#define LEASE_SLACK_MS 200

/* Starts that wait, beside those that are urgent. An owner sends some hundred
 * orders in a second, and a start is of no use after START_LIMIT_MS. */
#define MAX_WAITING_STARTS 64

/* Time between two stop orders for one run; a stop takes at most 200 ms. The
 * former order must have its result, so that they do not pile up where calls
 * wait. */
#define STOP_REPEAT_MS 400

/* After a worker had less room than was computed, until its next look. */
#define NO_ROOM_PAUSE_MS 250

/* Orders wait when the owner has more to send than its processor carries, for a
 * second and more on the heaviest days of a large site. Stops go first: they
 * make room, and those of cancelled runs have a time limit. Urgent starts go
 * before others, as their accounts were promised a start in time. */
static enum order_rank
rank_of (const struct gr_order *order, uint32_t priority)
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
  g_queue_push_tail (&steps->orders[rank_of (order, priority)],
                     g_memdup2 (order, sizeof *order));
}

static const char *
start_checkpoint (const struct task *task)
{
  const struct task *owner =
      task->step->spec->gang ? &task->step->tasks[0] : task;

  return owner->checkpoint ? owner->checkpoint : "";
}

static void
send_start (struct gr_steps *steps, struct task *task)
{
  struct gr_order order = {
    .kind = GR_ORDER_START,
    .run = task->run,
    .payload = gr_task_job (task)->spec->payload,
  };

  task->order_ms = steps->now_ms;
  task->order_open = true;
  task->stop_open = false;
  task->tries++;
  gr_task_name (task, order.task);
  g_strlcpy (order.worker, task->worker->id, sizeof order.worker);
  g_strlcpy (order.checkpoint, start_checkpoint (task),
             sizeof order.checkpoint);
  g_strlcpy (order.ticket, gr_advice_ticket (task->step, task->worker),
             sizeof order.ticket);
  order.start_limit_ms = task->placed_ms + START_LIMIT_MS;
  /* The order may wait before it is sent with a lease. */
  gr_steps_worker_lease (steps, task->worker->id,
                         order.start_limit_ms + LEASE_SLACK_MS);
  push_order (steps, &order, gr_task_job (task)->queue->priority);
}

/* The task has a worker and a run. */
void
gr_order_start (struct gr_steps *steps, struct task *task)
{
  g_assert (task->state == TASK_WAITING && task->worker != NULL);
  task->state = TASK_STARTING;
  task->step->n_waiting--;
  task->placed_ms = steps->now_ms;
  task->tries = 0;
  task->answered_ms = 0;
  task->stop_answered_ms = 0;
  task->percent = 0;
  task->percent_ms = steps->now_ms;
  task->first_percent_ms = 0;
  task->pace = 100;
  task->usage = 0;
  send_start (steps, task);
  gr_task_job (task)->begun = true;
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
  task->order_ms = steps->now_ms;
  task->stop_open = true;
  gr_order_stop_run (steps, task->worker, name, task->run);
}

void
gr_order_stop (struct gr_steps *steps, struct task *task)
{
  char name[GR_TASK_NAME_SIZE];

  g_assert (gr_task_is_active (task));
  if (task->state == TASK_STOPPING)
    return;
  task->state = TASK_STOPPING;
  task->stop_answered_ms = 0;
  gr_task_name (task, name);
  send_stop (steps, task, name);
}

void
gr_gang_abort (struct gr_steps *steps, struct step *step)
{
  for (uint32_t i = 0; i < step->n_tasks; i++)
    if (gr_task_is_active (&step->tasks[i]))
      gr_order_stop (steps, &step->tasks[i]);
}

/* The run of this task is certainly not there. */
static void
not_begun (struct gr_steps *steps, struct task *task)
{
  struct step *step = task->step;

  gr_task_release (steps, task);
  if (step->spec->gang)
    gr_gang_abort (steps, step);
}

/* An earlier order for the run may still be carried out. */
static void
give_up_start (struct gr_steps *steps, struct task *task)
{
  struct step *step = task->step;

  gr_order_stop (steps, task);
  if (step->spec->gang)
    gr_gang_abort (steps, step);
}

static void
log_refusal (const struct task *task, enum gr_order_result result)
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
  bool sole = task->tries <= 1;

  if (result != GR_ORDER_DONE)
    log_refusal (task, result);
  switch (result)
    {
    case GR_ORDER_DONE:
      if (task->state == TASK_STARTING)
        task->state = TASK_RUNNING;
      task->answered_ms = steps->now_ms;
      return;
    case GR_ORDER_FENCED:
      steps->fenced = true;
      return;
    case GR_ORDER_NO_ROOM:
      worker->full_until_ms = steps->now_ms + NO_ROOM_PAUSE_MS;
      gr_worker_want_look (steps, worker);
      break;
    case GR_ORDER_NO_TICKET:
      gr_advice_expire (task->step, worker);
      gr_worker_want_look (steps, worker);
      break;
    case GR_ORDER_TOO_LATE:
    case GR_ORDER_REJECTED:
      gr_worker_want_look (steps, worker);
      break;
    case GR_ORDER_OTHER_INCARNATION:
      worker->registered = false;
      worker->gone_ms = steps->now_ms;
      break;
    case GR_ORDER_UNHEALTHY:
      gr_health_suspect (steps, worker, "it answers that it is unhealthy");
      break;
    case GR_ORDER_NOT_SENT:
      worker->reachable = false;
      break;
    case GR_ORDER_RUN_TOO_OLD:
      gr_worker_want_look (steps, worker);
      sole = false;
      break;
    case GR_ORDER_UNKNOWN:
      gr_worker_want_look (steps, worker);
      return; /* repeated by gr_orders_tick () */
    }
  if (task->state != TASK_STARTING)
    return;
  if (sole)
    not_begun (steps, task);
  else
    give_up_start (steps, task);
}

static void
stop_result (struct gr_steps *steps,
             struct task *task,
             enum gr_order_result result)
{
  if (result == GR_ORDER_FENCED)
    steps->fenced = true;
  /* A run that is not there is rejected from now on; a run that was there is
   * listed as ended. */
  if (result == GR_ORDER_DONE || result == GR_ORDER_RUN_TOO_OLD
      || result == GR_ORDER_REJECTED)
    {
      /* The first answer counts: later ones would outdate every look. */
      if (task->stop_answered_ms == 0)
        task->stop_answered_ms = steps->now_ms;
      gr_worker_want_look (steps, task->worker);
    }
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
  if (task == NULL || !gr_task_is_active (task) || task->run != order->run
      || !g_str_equal (task->worker->id, order->worker))
    return;
  if (order->kind == GR_ORDER_START)
    {
      task->order_open = false;
      start_result (steps, task, result);
    }
  else if (order->kind == GR_ORDER_PACE)
    {
      if (result == GR_ORDER_DONE)
        task->pace = order->percent;
    }
  else if (task->state == TASK_STOPPING)
    {
      task->stop_open = false;
      stop_result (steps, task, result);
    }
}

/* Orders without an answer. */
static void
repeat_order (struct gr_steps *steps, struct task *task)
{
  char name[GR_TASK_NAME_SIZE];

  if (task->state == TASK_STARTING
      && (!task->order_open
          || steps->now_ms - task->order_ms >= RESULT_LOST_MS))
    {
      if (task->tries >= START_TRIES
          || steps->now_ms >= task->placed_ms + START_LIMIT_MS)
        give_up_start (steps, task);
      else
        send_start (steps, task);
      return;
    }
  if (task->state != TASK_STOPPING
      || steps->now_ms - task->order_ms
             < (task->stop_open ? RESULT_LOST_MS : STOP_REPEAT_MS))
    return;
  gr_worker_want_look (steps, task->worker);
  gr_task_name (task, name);
  send_stop (steps, task, name);
}

bool
gr_orders_are_behind (const struct gr_steps *steps)
{
  return steps->orders[ORDER_START].length >= MAX_WAITING_STARTS;
}

void
gr_orders_tick (struct gr_steps *steps)
{
  for (guint i = 0; i < steps->worker_rows->len; i++)
    {
      struct worker *worker = steps->worker_rows->pdata[i];

      for (guint k = worker->tasks->len; k-- > 0;)
        if (k < worker->tasks->len)
          repeat_order (steps, worker->tasks->pdata[k]);
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

/* Its task was stopped or placed elsewhere while the order waited. */
static bool
is_outdated (struct gr_steps *steps, const struct gr_order *order)
{
  const struct task *task;

  if (order->kind != GR_ORDER_START)
    return false;
  task = gr_task_find (steps, order->task);
  return task == NULL || task->state != TASK_STARTING || task->run != order->run
         || !g_str_equal (task->worker->id, order->worker);
}

static bool
take_from (struct gr_steps *steps,
           GQueue *queue,
           bool (*can_send) (const char *worker, void *context),
           void *context,
           struct gr_order *order)
{
  GList *link = queue->head;

  while (link != NULL)
    {
      GList *next = link->next;
      struct gr_order *waiting = link->data;
      bool outdated = is_outdated (steps, waiting);

      if (outdated || can_send == NULL || can_send (waiting->worker, context))
        {
          g_queue_delete_link (queue, link);
          *order = *waiting;
          g_free (waiting);
          if (!outdated)
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
  for (uint32_t rank = 0; rank < ORDER_RANKS; rank++)
    if (take_from (steps, &steps->orders[rank], can_send, context, order))
      return true;
  return false;
}
