#include "instance/worker-io.h"

#include "common/log.h"
#include "instance/call-budget.h"
#include "platform/worker-calls.h"

/* A worker's clock can be 2 % slow; 1 % more for ours. */
#define CLOCK_SLACK 1.03

/* A look waits so long for an end; shorter than the leases of runs by far, and
 * the time after which a silent connection is noticed. */
#define LOOK_WAIT_MS 1500
#define LOOK_TIMEOUT_MS 350

/* Between two looks that do not wait. */
#define LOOK_PAUSE_MS 60
#define FAILED_LOOK_PAUSE_MS 300

/* Looks that return at once: while ends are not durable, or to pace tasks that
 * fill beside tasks that serve, which may be over their target for 4 s. */
#define PERIODIC_LOOK_PAUSE_MS 500

/* A late main loop means that answers wait for this process, not that they are
 * missing: timeouts grow by this many times the lateness. */
#define LATENESS_FACTOR 4
#define MAX_EXTRA_TIMEOUT_MS 2000

/* Lateness from which on missing answers say nothing of a worker. */
#define OVERLOADED_MS 150

struct peer
{
  struct gr_worker_io *io;
  char *worker;
  char *address;
  int64_t clock_ms; /* of the worker, at clock_at_ms of ours; 0: unknown */
  int64_t clock_at_ms;
  int64_t next_look_ms;
  int64_t noted_sent;
  uint32_t failed_looks;
  bool waiting; /* a look that waits is open */
  bool looking; /* another look is open */
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
  int64_t hold_ms;
  struct gr_worker_io_events events;
  GHashTable *peers; /* worker id -> struct peer */
  struct gr_call_budget budget;
  int64_t late_ms; /* of the main loop, of late */
  bool destroyed;
};

struct order_call
{
  struct peer *peer;
  struct gr_order order;
  bool counted; /* see gr_call_budget_begin () */
};

struct look_call
{
  struct peer *peer;
  bool waits;
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

/* Peers are freed when their last call has ended. */
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
target_of (const struct peer *peer)
{
  return (struct gr_worker_target){ peer->worker, peer->address,
                                    peer->io->epoch };
}

static void
read_clock (struct peer *peer, int64_t clock_ms)
{
  if (clock_ms == 0)
    return;
  peer->clock_ms = clock_ms;
  peer->clock_at_ms = gr_clock_now_ms (peer->io->clock);
}

/* Time of the worker's clock in term_ms; the core learns when a lease up to
 * then has surely expired. */
static int64_t
lease_until (struct peer *peer, int64_t term_ms)
{
  int64_t now_ms = gr_clock_now_ms (peer->io->clock);
  int64_t since_ms = now_ms - peer->clock_at_ms;

  gr_steps_worker_lease (
      peer->io->steps, peer->worker,
      now_ms + (int64_t)((double)(term_ms + since_ms) * CLOCK_SLACK)
          - since_ms);
  return peer->clock_ms + since_ms + term_ms;
}

static uint32_t
timeout_for (const struct gr_worker_io *io, uint32_t base_ms)
{
  return base_ms
         + (uint32_t)MIN (io->late_ms * LATENESS_FACTOR, MAX_EXTRA_TIMEOUT_MS);
}

static void
order_done (enum gr_order_result result, int64_t clock_ms, void *context)
{
  struct order_call *call = context;
  struct peer *peer = call->peer;
  struct gr_worker_io *io = peer->io;

  gr_call_budget_end (&io->budget, &peer->calls, GR_BUDGET_ORDER, call->counted,
                      result != GR_ORDER_UNKNOWN
                          && result != GR_ORDER_NOT_SENT);
  if (!io->destroyed && !peer->removed)
    {
      read_clock (peer, clock_ms);
      gr_steps_order_result (io->steps, &call->order, result,
                             gr_clock_now_ms (io->clock));
      io->events.changed (io->events.context);
    }
  g_free (call);
  peer_release (peer);
}

static void
send_order (struct gr_worker_io *io, const struct gr_order *order)
{
  struct peer *peer = g_hash_table_lookup (io->peers, order->worker);
  struct gr_worker_target target;
  struct gr_order_reply reply = { .done = order_done };
  uint32_t timeout_ms = timeout_for (io, GR_ORDER_TIMEOUT_MS);
  struct order_call *call;

  if (peer == NULL)
    {
      gr_steps_order_result (io->steps, order, GR_ORDER_NOT_SENT,
                             gr_clock_now_ms (io->clock));
      return;
    }
  call = g_new0 (struct order_call, 1);
  call->peer = peer;
  call->order = *order;
  reply.context = call;
  call->counted =
      gr_call_budget_begin (&io->budget, &peer->calls, GR_BUDGET_ORDER);
  peer->open_calls++;
  target = target_of (peer);
  if (order->kind == GR_ORDER_START)
    {
      int64_t left_ms = order->start_limit_ms - gr_clock_now_ms (io->clock);
      struct gr_start_order start = {
        .task = order->task,
        .run = order->run,
        .payload = order->payload,
        .checkpoint = order->checkpoint,
        .ticket = order->ticket,
        .until_ms = lease_until (peer, left_ms),
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

static void
look_failed (struct peer *peer, const struct gr_error *error)
{
  struct gr_worker_io *io = peer->io;
  int64_t now_ms = gr_clock_now_ms (io->clock);

  peer->failed_looks++;
  peer->next_look_ms = now_ms + FAILED_LOOK_PAUSE_MS;
  if (peer->failed_looks == 1)
    gr_log_event ("worker-look-failed", "worker", peer->worker, "reason",
                  error->message, NULL);
  /* It gets no new work, and is looked at again, until it answers. */
  gr_steps_worker_reachable (io->steps, peer->worker, false, now_ms);
}

static void
look_done (const struct gr_look *look,
           const struct gr_error *error,
           void *context)
{
  struct look_call *call = context;
  struct peer *peer = call->peer;
  struct gr_worker_io *io = peer->io;

  if (call->waits)
    {
      peer->waiting = false;
      peer->calls.silent = error != NULL;
    }
  else
    {
      peer->looking = false;
      gr_call_budget_end (&io->budget, &peer->calls, GR_BUDGET_LOOK,
                          call->counted, error == NULL);
    }
  g_free (call);
  if (!io->destroyed && !peer->removed)
    {
      int64_t now_ms = gr_clock_now_ms (io->clock);

      if (error != NULL && error->kind == GR_ERROR_FORBIDDEN)
        gr_steps_set_fenced (io->steps);
      else if (error != NULL)
        look_failed (peer, error);
      else
        {
          peer->failed_looks = 0;
          read_clock (peer, look->clock_ms);
          gr_steps_look (io->steps, peer->worker, look, now_ms);
        }
      io->events.changed (io->events.context);
    }
  peer_release (peer);
}

static void
send_look (struct peer *peer, uint32_t wait_ms)
{
  struct gr_worker_io *io = peer->io;
  struct look_call *call = g_new0 (struct look_call, 1);
  struct gr_worker_target target = target_of (peer);
  int64_t until_ms = 0;

  call->peer = peer;
  call->waits = wait_ms > 0;
  if (call->waits)
    peer->waiting = true;
  else
    {
      peer->looking = true;
      call->counted =
          gr_call_budget_begin (&io->budget, &peer->calls, GR_BUDGET_LOOK);
    }
  peer->open_calls++;
  /* Before the first answer the worker's clock is not known. A look that may
   * not be answered must not move the time at which the lease has surely
   * expired, unless it is this process that is slow. */
  if (peer->clock_ms != 0
      && (peer->failed_looks == 0 || io->late_ms >= OVERLOADED_MS))
    until_ms = lease_until (peer, io->hold_ms);
  peer->noted_sent = gr_steps_noted (io->steps, peer->worker);
  gr_worker_look (io->calls, &target, until_ms, peer->noted_sent, wait_ms,
                  wait_ms + timeout_for (io, LOOK_TIMEOUT_MS),
                  (struct gr_look_reply){ look_done, call });
}

static void
look_if_needed (struct peer *peer, int64_t now_ms)
{
  struct gr_worker_io *io = peer->io;
  enum gr_look_need need = gr_steps_look_need (io->steps, peer->worker);
  bool note = gr_steps_noted (io->steps, peer->worker) > peer->noted_sent;

  if (need == GR_LOOK_NOW || need == GR_LOOK_PERIODIC
      || (note && need == GR_LOOK_NONE))
    {
      if (peer->looking || now_ms < peer->next_look_ms
          || !gr_call_budget_allows (&io->budget, &peer->calls, GR_BUDGET_LOOK))
        return;
      peer->next_look_ms =
          now_ms
          + (need == GR_LOOK_PERIODIC ? PERIODIC_LOOK_PAUSE_MS : LOOK_PAUSE_MS);
      send_look (peer, 0);
      return;
    }
  if (need == GR_LOOK_WAIT && !peer->waiting)
    send_look (peer, LOOK_WAIT_MS);
}

static bool
can_send (const char *worker, void *context)
{
  const struct gr_worker_io *io = context;
  const struct peer *peer = g_hash_table_lookup (io->peers, worker);

  /* Without a peer the result is known at once. */
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

  while (gr_steps_take_order (io->steps, can_send, io, &order))
    send_order (io, &order);
  g_hash_table_iter_init (&iter, io->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    look_if_needed (value, now_ms);
}

struct gr_worker_io *
gr_worker_io_create (struct gr_steps *steps,
                     int64_t epoch,
                     uint32_t hold_ms,
                     const struct gr_clock *clock,
                     struct gr_counters *counters,
                     const struct gr_worker_io_events *events)
{
  struct gr_worker_io *io = g_new0 (struct gr_worker_io, 1);

  io->steps = steps;
  io->calls = gr_worker_calls_create (counters, clock);
  io->clock = clock;
  io->epoch = epoch;
  io->hold_ms = hold_ms;
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
gr_worker_io_set (struct gr_worker_io *io,
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
gr_worker_io_set_late (struct gr_worker_io *io, int64_t late_ms)
{
  /* Falls by a quarter with each call, so that one good turn does not hide
   * what came before. */
  io->late_ms = MAX (late_ms, io->late_ms * 3 / 4);
}

int64_t
gr_worker_io_late_ms (const struct gr_worker_io *io)
{
  return io->late_ms;
}
