#include "instance/worker-io.h"

#include "common/log.h"
#include "instance/call-budget.h"
#include "instance/lateness.h"
#include "instance/worker-clock.h"
#include "steps/tenure.h"

/* A long poll waits this long for a run to end. Far shorter than the leases of
 * runs, and bounds how long a dead connection stays undetected. The timeout of
 * a poll is added to its wait. */
#define LONG_POLL_MS 1500
#define POLL_TIMEOUT_MS 350

/* Shortest time between two polls that return at once; the second after a
 * failure. */
#define POLL_PAUSE_MS 60
#define FAILED_POLL_PAUSE_MS 300

/* The same after a refusal. A worker that has crashed is replaced by another
 * process, whose answer shows that the runs of the former one have ended. */
#define REFUSED_POLL_PAUSE_MS 100

/* After so many refusals the worker has most likely not been replaced. */
#define MAX_REFUSALS_IN_A_ROW 20

/* Period of polls that return at once while ended runs are not durable, or to
 * adjust the pace of filler tasks that share a worker with serving tasks.
 * Serving tasks may exceed their target for up to 4 s. */
#define POLL_PERIOD_MS 500

/* An idle worker is polled after this time, so that its clock is current when
 * work is started there. */
#define CLOCK_REFRESH_MS (GR_WORKER_CLOCK_MAX_AGE_MS - 2000)

/* The timeout of a poll doubles with each poll of the worker that failed
 * before, so that a worker whose answers are late is heard again before the
 * leases of its runs expire. */
#define MAX_BACKED_OFF_TIMEOUT_MS 3000

struct peer
{
  struct gr_worker_io *io;
  char *worker;
  char *address;
  struct gr_worker_clock clock;
  int64_t next_poll_ms;
  int64_t acknowledged_sent;
  uint32_t failed_polls;
  bool answered; /* a poll, at this address */
  bool long_poll_in_flight;
  bool poll_in_flight; /* returns at once */
  bool removed;
  uint32_t open_calls;
  struct gr_call_budget_peer calls;
};

struct gr_worker_io
{
  struct gr_steps *steps;
  struct gr_worker_calls *calls;
  const struct gr_clock *clock;
  int64_t epoch;
  int64_t run_lease_ms;
  struct gr_worker_io_events events;
  GHashTable *peers; /* worker id -> struct peer */
  struct gr_call_budget budget;
  struct gr_lateness lateness;
  bool destroyed;
};

static const char *const order_names[] = {
  [GR_ORDER_START] = "start",
  [GR_ORDER_STOP] = "stop",
  [GR_ORDER_PACE] = "pace",
};

struct order_call
{
  struct peer *peer;
  struct gr_order order;
  int64_t sent_ms;
  int64_t incarnation_unix_ms; /* of the process that it was sent to; 0: any */
  bool counted;                /* result of gr_call_budget_begin () */
};

struct poll_call
{
  struct peer *peer;
  bool is_long_poll;
  int64_t sent_ms;
  int64_t acknowledged_end;
  int64_t incarnation_unix_ms; /* of the process that it was sent to; 0: any */
  bool counted;
};

static void
peer_free (void *data)
{
  struct peer *peer = data;

  g_free (peer->worker);
  g_free (peer->address);
  g_free (peer);
}

/* A removed peer is freed when its last call has ended. */
static void
peer_release (struct peer *peer)
{
  peer->open_calls--;
  if (peer->removed && peer->open_calls == 0)
    peer_free (peer);
}

static void
peer_remove (void *data)
{
  struct peer *peer = data;

  peer->removed = true;
  if (peer->open_calls == 0)
    peer_free (peer);
}

static struct gr_worker_target
target_of (const struct peer *peer, int64_t incarnation_unix_ms)
{
  return (struct gr_worker_target){
    .worker = peer->worker,
    .address = peer->address,
    .epoch = peer->io->epoch,
    .incarnation_unix_ms = incarnation_unix_ms,
  };
}

static void
update_clock (struct peer *peer,
              int64_t incarnation_unix_ms,
              int64_t clock_ms,
              int64_t sent_ms)
{
  int64_t now_ms = gr_clock_now_ms (peer->io->clock);

  if (gr_worker_clock_update (&peer->clock, incarnation_unix_ms, clock_ms,
                              sent_ms, now_ms))
    return;
  gr_log_event ("worker-clock-changed", "worker", peer->worker, NULL);
  gr_steps_worker_clock_changed (peer->io->steps, peer->worker, now_ms);
}

/* Another process has answered in place of the one that a call was meant for.
 * It is polled before anything is granted to it. */
static void
forget_process (struct peer *peer,
                const char *call,
                int64_t incarnation_unix_ms,
                int64_t sent_ms)
{
  char incarnation[24];
  char age[24];

  g_snprintf (incarnation, sizeof incarnation, "%" G_GINT64_FORMAT,
              incarnation_unix_ms);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              gr_clock_now_ms (peer->io->clock) - sent_ms);
  gr_log_event ("call-for-former-process", "worker", peer->worker, "call", call,
                "incarnation", incarnation, "sent_ms", age, NULL);
  if (peer->clock.incarnation_unix_ms == incarnation_unix_ms)
    peer->clock = (struct gr_worker_clock){ 0 };
  peer->next_poll_ms = 0;
}

/* Returns the time on the worker's clock term_ms from now, or less if that is
 * the end of what this owner may grant. Reports to the core when, on the
 * owner's clock, a lease until then has certainly expired. */
static int64_t
extend_lease (struct peer *peer, int64_t term_ms)
{
  int64_t now_ms = gr_clock_now_ms (peer->io->clock);
  int64_t since_ms = now_ms - peer->clock.handled_ms;

  term_ms = MIN (term_ms, gr_steps_lease_limit_ms (peer->io->steps) - now_ms);
  gr_steps_extend_worker_lease (
      peer->io->steps, peer->worker,
      now_ms + (int64_t)((double)(term_ms + since_ms) * GR_CLOCK_DRIFT_FACTOR)
          - since_ms);
  return peer->clock.clock_ms + since_ms + term_ms;
}

/* Records the time of a call that could wait at the worker for wait_ms. An
 * answer within this time does not show how long the worker waited. The first
 * call without an answer counts as one that took until now. */
static void
record_time (struct peer *peer,
             int64_t sent_ms,
             uint32_t wait_ms,
             bool answered)
{
  struct gr_worker_io *io = peer->io;
  int64_t time_ms = gr_clock_now_ms (io->clock) - sent_ms - wait_ms;

  if (time_ms >= 0 && (answered || !peer->calls.unresponsive))
    gr_lateness_add_response (&io->lateness, time_ms);
}

static void
order_done (enum gr_order_result result, int64_t clock_ms, void *context)
{
  struct order_call *call = context;
  struct peer *peer = call->peer;
  struct gr_worker_io *io = peer->io;
  bool answered = result != GR_ORDER_UNKNOWN && result != GR_ORDER_NOT_SENT;

  if (!io->destroyed)
    record_time (peer, call->sent_ms, 0, answered);
  gr_call_budget_end (&io->budget, &peer->calls, GR_BUDGET_ORDER, call->counted,
                      answered);
  /* Also if the worker has another address since: the core waits for the result
   * of each order. */
  if (!io->destroyed)
    {
      update_clock (peer, call->incarnation_unix_ms, clock_ms, call->sent_ms);
      if (result == GR_ORDER_OTHER_PROCESS)
        forget_process (peer, order_names[call->order.kind],
                        call->incarnation_unix_ms, call->sent_ms);
      gr_steps_order_result (io->steps, &call->order, result,
                             gr_clock_now_ms (io->clock));
      io->events.changed (io->events.context);
    }
  g_free (call);
  peer_release (peer);
}

/* Without the worker's clock a start cannot say until when it is valid. */
static bool
may_send_order (const struct peer *peer, const struct gr_order *order)
{
  if (order->kind == GR_ORDER_START)
    return gr_worker_clock_is_current (&peer->clock,
                                       gr_clock_now_ms (peer->io->clock));
  return !order->same_process || peer->clock.incarnation_unix_ms != 0;
}

static void
send_order (struct gr_worker_io *io, const struct gr_order *order)
{
  struct peer *peer = g_hash_table_lookup (io->peers, order->worker);
  struct gr_worker_target target;
  struct gr_order_reply reply = { .done = order_done };
  uint32_t timeout_ms =
      gr_lateness_timeout_ms (&io->lateness, GR_ORDER_TIMEOUT_MS);
  struct order_call *call;

  if (peer == NULL || !may_send_order (peer, order))
    {
      gr_steps_order_result (io->steps, order, GR_ORDER_NOT_SENT,
                             gr_clock_now_ms (io->clock));
      return;
    }
  call = g_new0 (struct order_call, 1);
  call->peer = peer;
  call->order = *order;
  call->sent_ms = gr_clock_now_ms (io->clock);
  call->incarnation_unix_ms = peer->clock.incarnation_unix_ms;
  reply.context = call;
  call->counted =
      gr_call_budget_begin (&io->budget, &peer->calls, GR_BUDGET_ORDER);
  peer->open_calls++;
  target = target_of (peer, call->incarnation_unix_ms);
  if (order->kind == GR_ORDER_START)
    {
      int64_t left_ms = order->start_limit_ms - gr_clock_now_ms (io->clock);
      struct gr_start_order start = {
        .task = order->task,
        .run = order->run,
        .payload = order->payload,
        .checkpoint = order->checkpoint,
        .ticket = order->ticket,
        .until_ms = extend_lease (peer, left_ms),
      };

      gr_worker_start (io->calls, &target, &start, timeout_ms, reply);
      return;
    }
  if (order->kind == GR_ORDER_PACE)
    gr_worker_pace (io->calls, &target, order->task, order->run, order->percent,
                    timeout_ms, reply);
  else
    gr_worker_stop (io->calls, &target, order->task, order->run, timeout_ms,
                    reply);
}

/* Another process at the address of a worker has taken its place. It has not if
 * the worker answered elsewhere: then the address is from the registry entry of
 * another writer. */
static bool
shows_that_worker_is_gone (const struct peer *peer,
                           const struct gr_error *error)
{
  return error->kind == GR_ERROR_CONFLICT
         && (peer->answered
             || !gr_steps_has_polled (peer->io->steps, peer->worker));
}

static void
poll_failed (struct peer *peer,
             const struct gr_error *error,
             int64_t incarnation_unix_ms,
             int64_t sent_ms)
{
  struct gr_worker_io *io = peer->io;
  int64_t now_ms = gr_clock_now_ms (io->clock);

  peer->failed_polls++;
  peer->next_poll_ms = now_ms + FAILED_POLL_PAUSE_MS;
  if (peer->failed_polls == 1)
    gr_log_event ("worker-look-failed", "worker", peer->worker, "reason",
                  error->message, NULL);
  if (error->kind == GR_ERROR_OTHER_PROCESS)
    forget_process (peer, "poll", incarnation_unix_ms, sent_ms);
  else if (shows_that_worker_is_gone (peer, error))
    gr_steps_worker_gone (io->steps, peer->worker, sent_ms, now_ms);
  else if (error->kind == GR_ERROR_NOT_FOUND)
    {
      if (peer->failed_polls <= MAX_REFUSALS_IN_A_ROW)
        peer->next_poll_ms = now_ms + REFUSED_POLL_PAUSE_MS;
      gr_steps_worker_refused (io->steps, peer->worker, sent_ms, now_ms);
    }
  /* The worker gets no new work until it answers a poll; polling continues. */
  gr_steps_set_worker_reachable (io->steps, peer->worker, false, now_ms);
}

static void
poll_done (const struct gr_run_report *result,
           const struct gr_error *error,
           void *context)
{
  struct poll_call *call = context;
  struct peer *peer = call->peer;
  struct gr_worker_io *io = peer->io;
  int64_t sent_ms = call->sent_ms;
  int64_t acknowledged_end = call->acknowledged_end;
  int64_t incarnation_unix_ms = call->incarnation_unix_ms;

  if (!io->destroyed)
    record_time (peer, sent_ms, call->is_long_poll ? LONG_POLL_MS : 0,
                 error == NULL);
  if (call->is_long_poll)
    {
      peer->long_poll_in_flight = false;
      peer->calls.unresponsive = error != NULL;
    }
  else
    {
      peer->poll_in_flight = false;
      gr_call_budget_end (&io->budget, &peer->calls, GR_BUDGET_POLL,
                          call->counted, error == NULL);
    }
  g_free (call);
  if (!io->destroyed && !peer->removed)
    {
      int64_t now_ms = gr_clock_now_ms (io->clock);

      if (error != NULL && error->kind == GR_ERROR_FORBIDDEN)
        gr_steps_set_fenced (io->steps);
      else if (error != NULL)
        poll_failed (peer, error, incarnation_unix_ms, sent_ms);
      else
        {
          struct gr_run_report report = *result;

          report.acknowledged_end = acknowledged_end;
          peer->failed_polls = 0;
          peer->answered = true;
          /* A late answer of a former process says nothing of the clock. */
          if (gr_steps_process_report (io->steps, peer->worker, &report,
                                       now_ms))
            update_clock (peer, result->incarnation_unix_ms, result->clock_ms,
                          sent_ms);
        }
      io->events.changed (io->events.context);
    }
  peer_release (peer);
}

static uint32_t
poll_timeout_ms (const struct peer *peer)
{
  uint32_t timeout_ms =
      gr_lateness_timeout_ms (&peer->io->lateness, POLL_TIMEOUT_MS);

  for (uint32_t i = 0;
       i < peer->failed_polls && timeout_ms < MAX_BACKED_OFF_TIMEOUT_MS; i++)
    timeout_ms = MIN (timeout_ms * 2, MAX_BACKED_OFF_TIMEOUT_MS);
  return timeout_ms;
}

static void
send_poll (struct peer *peer, uint32_t wait_ms)
{
  struct gr_worker_io *io = peer->io;
  struct poll_call *call = g_new0 (struct poll_call, 1);
  struct gr_worker_target target;
  int64_t until_ms = 0;

  call->peer = peer;
  call->sent_ms = gr_clock_now_ms (io->clock);
  call->is_long_poll = wait_ms > 0;
  if (call->is_long_poll)
    peer->long_poll_in_flight = true;
  else
    {
      peer->poll_in_flight = true;
      call->counted =
          gr_call_budget_begin (&io->budget, &peer->calls, GR_BUDGET_POLL);
    }
  peer->open_calls++;
  /* After a failed poll the next one may fail as well, and must not
   * postpone the time at which the lease has certainly expired, unless this
   * process itself is too slow. */
  if (gr_worker_clock_is_current (&peer->clock, call->sent_ms)
      && gr_steps_has_polled (io->steps, peer->worker)
      && (peer->failed_polls == 0 || gr_lateness_is_overloaded (&io->lateness)))
    until_ms = extend_lease (peer, io->run_lease_ms);
  if (peer->clock.incarnation_unix_ms != 0)
    call->acknowledged_end =
        gr_steps_end_to_acknowledge (io->steps, peer->worker);
  peer->acknowledged_sent = call->acknowledged_end;
  /* Another process must get no lease, and has ends of its own with the same
   * numbers. */
  if (until_ms > 0 || call->acknowledged_end > 0)
    call->incarnation_unix_ms = peer->clock.incarnation_unix_ms;
  target = target_of (peer, call->incarnation_unix_ms);
  gr_worker_poll_runs (io->calls, &target, until_ms, call->acknowledged_end,
                       wait_ms, wait_ms + poll_timeout_ms (peer),
                       (struct gr_run_poll_reply){ poll_done, call });
}

static void
poll_if_needed (struct peer *peer, int64_t now_ms)
{
  struct gr_worker_io *io = peer->io;
  enum gr_poll_need need = gr_steps_poll_need (io->steps, peer->worker);
  bool must_acknowledge = gr_steps_end_to_acknowledge (io->steps, peer->worker)
                          > peer->acknowledged_sent;
  bool must_read_clock = peer->clock.clock_ms != 0
                         && now_ms - peer->clock.handled_ms > CLOCK_REFRESH_MS;

  if (need == GR_POLL_NOW || need == GR_POLL_PERIODIC
      || ((must_acknowledge || must_read_clock) && need == GR_POLL_NONE))
    {
      if (peer->poll_in_flight || now_ms < peer->next_poll_ms
          || !gr_call_budget_allows (&io->budget, &peer->calls, GR_BUDGET_POLL))
        return;
      peer->next_poll_ms =
          now_ms + (need == GR_POLL_PERIODIC ? POLL_PERIOD_MS : POLL_PAUSE_MS);
      send_poll (peer, 0);
      return;
    }
  if (need == GR_POLL_WAIT && !peer->long_poll_in_flight)
    send_poll (peer, LONG_POLL_MS);
}

static bool
can_send (const char *worker, void *context)
{
  const struct gr_worker_io *io = context;
  const struct peer *peer = g_hash_table_lookup (io->peers, worker);

  /* An order to an unknown worker fails at once without a call. */
  return peer == NULL
         || gr_call_budget_allows (&io->budget, &peer->calls, GR_BUDGET_ORDER);
}

void
gr_worker_io_run (struct gr_worker_io *io)
{
  int64_t now_ms = gr_clock_now_ms (io->clock);
  struct gr_order order;
  GHashTableIter iter;
  void *value;

  if (!gr_steps_may_send (io->steps, now_ms))
    return;
  while (gr_steps_take_order (io->steps, can_send, io, &order))
    send_order (io, &order);
  g_hash_table_iter_init (&iter, io->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    poll_if_needed (value, now_ms);
}

struct gr_worker_io *
gr_worker_io_create (struct gr_steps *steps,
                     int64_t epoch,
                     uint32_t run_lease_ms,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     const struct gr_worker_io_events *events)
{
  struct gr_worker_io *io = g_new0 (struct gr_worker_io, 1);

  io->steps = steps;
  io->calls = gr_worker_calls_create (counters, clock);
  io->clock = clock;
  io->epoch = epoch;
  io->run_lease_ms = run_lease_ms;
  io->events = *events;
  io->peers =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_remove);
  return io;
}

void
gr_worker_io_destroy (struct gr_worker_io *io)
{
  if (io == NULL)
    return;
  io->destroyed = true;
  gr_worker_calls_destroy (io->calls);
  g_hash_table_destroy (io->peers);
  g_free (io);
}

void
gr_worker_io_set_address (struct gr_worker_io *io,
                          const char *worker,
                          const char *address)
{
  struct peer *peer = g_hash_table_lookup (io->peers, worker);

  if (peer != NULL && g_str_equal (peer->address, address))
    return;
  if (peer != NULL)
    g_hash_table_remove (io->peers, worker);
  peer = g_new0 (struct peer, 1);
  peer->io = io;
  peer->worker = g_strdup (worker);
  peer->address = g_strdup (address);
  g_hash_table_insert (io->peers, peer->worker, peer);
}

void
gr_worker_io_remove (struct gr_worker_io *io, const char *worker)
{
  g_hash_table_remove (io->peers, worker);
}

void
gr_worker_io_update_loop_late (struct gr_worker_io *io, int64_t loop_late_ms)
{
  gr_lateness_add_loop (&io->lateness, loop_late_ms);
}

const struct gr_lateness *
gr_worker_io_lateness (const struct gr_worker_io *io)
{
  return &io->lateness;
}

struct gr_worker_traffic
gr_worker_io_traffic (const struct gr_worker_io *io)
{
  return gr_worker_calls_traffic (io->calls);
}
