/* Wait of short requests over 50 executors from nine entries, with long kinds
 * present. */
#include "bench/bench.h"

#include "route/classes.h"
#include "route/executors.h"
#include "route/queue.h"

#include <stdio.h>
#include <string.h>

#define N_ENTRIES 9
#define N_EXECUTORS 50
#define SLOTS 8
#define CONNECTIONS 6
#define LONG_SHARE_PERCENT 50
#define HOP_MS 1
#define WARM_MS 10000
#define END_MS 40000
#define STATUS_MS 2000
#define PUMP_MS 20
#define SHORT_RUN_MS 50.0
#define LONG_MIN_MS 2000
#define LONG_MAX_MS 16000
#define RING_MS 32768 /* longer than any delay of an event */
#define MAX_TRIES 4
#define DEADLINE_MS 10000

struct scenario
{
  const char *name;
  double short_load; /* share of all slots */
  double long_load;
  bool failing; /* one executor fails everything at once */
};

static const struct scenario scenarios[] = {
  { "short-60%", 0.6, 0, false },
  { "short-45%+long-40%", 0.45, 0.4, false },
  { "short-40%+long-70%", 0.4, 0.7, false },
  { "one-failing", 0.6, 0, true },
};

struct request
{
  uint32_t entry;
  bool really_long;
  bool is_long; /* as it was taken */
  bool overrun;
  int64_t arrival_ms;
  int64_t run_ms;
  int64_t sent_ms;
  int64_t started_ms;
  uint32_t executor;
  uint32_t n_tried;
  const char *tried[MAX_TRIES + 1];
};

enum event_kind
{
  EVENT_REACHED, /* the executor */
  EVENT_ENDED,
  EVENT_ANSWERED,
  EVENT_OVERRUN,
};

struct event
{
  enum event_kind kind;
  enum gr_try_result result;
  struct request *request;
};

struct entry
{
  struct gr_executors *executors;
  struct gr_classes *classes;
  struct gr_queue *queue;
};

struct world
{
  const struct scenario *scenario;
  GRand *rand;
  int64_t now_ms;
  struct entry entries[N_ENTRIES];
  char names[N_EXECUTORS][GR_NAME_MAX];
  uint32_t busy[N_EXECUTORS];
  GArray *ring[RING_MS];
  GPtrArray *requests; /* owned */
  GArray *waits;       /* of short requests, in milliseconds */
  GArray *long_waits;
  uint64_t n_tries;
  uint64_t n_bad_tries; /* refused as busy or failed */
  uint64_t n_refused;
};

static void
at (struct world *world,
    int64_t delay_ms,
    enum event_kind kind,
    enum gr_try_result result,
    struct request *request)
{
  struct event event = { kind, result, request };

  g_array_append_val (world->ring[(world->now_ms + delay_ms) % RING_MS], event);
}

static const char *
kind_of (const struct request *request)
{
  return request->really_long ? "long" : "short";
}

/* Sends the request if an executor can take it. */
static bool
try_send (struct world *world, struct request *request)
{
  struct entry *entry = &world->entries[request->entry];
  const char *name;

  request->is_long =
      gr_classes_is_long (entry->classes, "a", kind_of (request));
  name = gr_executors_acquire (entry->executors, request->is_long, true,
                               request->tried, world->now_ms, world->rand);
  if (name == NULL)
    return false;
  request->executor = (uint32_t)g_ascii_strtoull (name + 1, NULL, 10);
  request->sent_ms = world->now_ms;
  request->overrun = false;
  world->n_tries++;
  at (world, HOP_MS, EVENT_REACHED, GR_TRY_OK, request);
  return true;
}

static void
send_or_queue (struct world *world, struct request *request)
{
  enum gr_priority priority =
      request->really_long ? GR_PRIORITY_BATCH : GR_PRIORITY_URGENT;

  if (try_send (world, request))
    return;
  request->n_tried = 0;
  request->tried[0] = NULL;
  if (gr_queue_add (world->entries[request->entry].queue, priority,
                    request->is_long, request->arrival_ms + DEADLINE_MS,
                    request)
      != NULL)
    world->n_refused++;
}

static void
pump (struct world *world, struct entry *entry)
{
  bool allow[2] = { true, true };

  while (allow[0] || allow[1])
    {
      struct request *request = gr_queue_pop (entry->queue, allow[0], allow[1]);

      if (request == NULL)
        return;
      if (try_send (world, request))
        continue;
      allow[request->is_long ? 1 : 0] = false;
      send_or_queue (world, request);
    }
}

static void
arrive (struct world *world, bool is_long)
{
  struct request *request = g_new0 (struct request, 1);

  request->entry = (uint32_t)g_rand_int_range (world->rand, 0, N_ENTRIES);
  request->really_long = is_long;
  request->arrival_ms = world->now_ms;
  request->run_ms =
      is_long ? g_rand_int_range (world->rand, LONG_MIN_MS, LONG_MAX_MS)
              : 1
                    + (int64_t)MIN (
                        bench_exponential (world->rand, SHORT_RUN_MS), 900);
  g_ptr_array_add (world->requests, request);
  send_or_queue (world, request);
}

static void
reached (struct world *world, struct request *request)
{
  if (world->scenario->failing && request->executor == 0)
    {
      at (world, HOP_MS, EVENT_ANSWERED, GR_TRY_FAILED, request);
      return;
    }
  if (world->busy[request->executor] >= SLOTS)
    {
      at (world, HOP_MS, EVENT_ANSWERED, GR_TRY_BUSY, request);
      return;
    }
  world->busy[request->executor]++;
  request->started_ms = world->now_ms;
  if (request->arrival_ms >= WARM_MS)
    bench_series_add (request->really_long ? world->long_waits : world->waits,
                      (double)(world->now_ms - request->arrival_ms));
  at (world, request->run_ms, EVENT_ENDED, GR_TRY_OK, request);
  if (!request->is_long && request->run_ms > GR_LONG_RUN_MS)
    at (world, GR_LONG_RUN_MS, EVENT_OVERRUN, GR_TRY_OK, request);
}

static void
answered (struct world *world,
          struct request *request,
          enum gr_try_result result)
{
  struct entry *entry = &world->entries[request->entry];
  const char *name = world->names[request->executor];
  int32_t busy =
      result == GR_TRY_FAILED ? -1 : (int32_t)world->busy[request->executor];

  gr_executors_release (entry->executors, name,
                        request->is_long || request->overrun, result, busy,
                        world->now_ms - request->sent_ms, world->now_ms);
  if (result == GR_TRY_OK)
    {
      gr_classes_record_run (entry->classes, "a", kind_of (request),
                             request->run_ms);
      pump (world, entry);
      return;
    }
  world->n_bad_tries++;
  if (request->n_tried < MAX_TRIES)
    request->tried[request->n_tried++] = name;
  request->tried[request->n_tried] = NULL;
  send_or_queue (world, request);
}

static void
handle (struct world *world, const struct event *event)
{
  struct request *request = event->request;
  struct entry *entry = &world->entries[request->entry];

  switch (event->kind)
    {
    case EVENT_REACHED:
      reached (world, request);
      break;
    case EVENT_ENDED:
      world->busy[request->executor]--;
      at (world, HOP_MS, EVENT_ANSWERED, event->result, request);
      break;
    case EVENT_ANSWERED:
      answered (world, request, event->result);
      break;
    case EVENT_OVERRUN:
      request->overrun = true;
      gr_classes_record_overrun (entry->classes, "a", kind_of (request));
      gr_executors_reclassify_long (entry->executors,
                                    world->names[request->executor]);
      break;
    }
}

static void
world_init (struct world *world,
            const struct scenario *scenario,
            enum gr_executor_policy choice,
            uint32_t seed)
{
  world->scenario = scenario;
  world->rand = g_rand_new_with_seed (seed);
  world->requests = g_ptr_array_new_with_free_func (g_free);
  world->waits = bench_series_create ();
  world->long_waits = bench_series_create ();
  for (uint32_t i = 0; i < RING_MS; i++)
    world->ring[i] = g_array_new (FALSE, FALSE, sizeof (struct event));
  for (uint32_t x = 0; x < N_EXECUTORS; x++)
    g_snprintf (world->names[x], GR_NAME_MAX, "x%u", x);
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    {
      struct entry *entry = &world->entries[i];

      entry->executors = gr_executors_create ();
      entry->classes = gr_classes_create ();
      entry->queue = gr_queue_create (20000);
      gr_executors_configure (entry->executors, choice, CONNECTIONS,
                              LONG_SHARE_PERCENT);
      gr_executors_list_begin (entry->executors);
      for (uint32_t x = 0; x < N_EXECUTORS; x++)
        gr_executors_list_add (entry->executors, world->names[x],
                               world->names[x], false);
      gr_executors_list_end (entry->executors);
    }
}

static void
world_clear (struct world *world)
{
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    {
      gr_executors_destroy (world->entries[i].executors);
      gr_classes_destroy (world->entries[i].classes);
      gr_queue_destroy (world->entries[i].queue);
    }
  for (uint32_t i = 0; i < RING_MS; i++)
    g_array_free (world->ring[i], TRUE);
  g_ptr_array_unref (world->requests);
  g_array_free (world->waits, TRUE);
  g_array_free (world->long_waits, TRUE);
  g_rand_free (world->rand);
}

static void
send_statuses (struct world *world)
{
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    for (uint32_t x = 0; x < N_EXECUTORS; x++)
      if ((world->now_ms + 211LL * i + 37LL * x) % STATUS_MS == 0)
        gr_executors_apply_report (world->entries[i].executors, world->names[x],
                                   SLOTS, (int32_t)world->busy[x], false,
                                   world->now_ms);
}

static void
world_run (struct world *world)
{
  const struct scenario *scenario = world->scenario;
  double slots = N_EXECUTORS * SLOTS;
  double short_gap = SHORT_RUN_MS / (slots * scenario->short_load);
  double long_gap = (LONG_MIN_MS + LONG_MAX_MS) / 2.0
                    / (slots * MAX (scenario->long_load, 1e-9));
  double next_short = bench_exponential (world->rand, short_gap);
  double next_long = bench_exponential (world->rand, long_gap);

  for (; world->now_ms < END_MS; world->now_ms++)
    {
      GArray *due = world->ring[world->now_ms % RING_MS];

      for (guint i = 0; i < due->len; i++)
        {
          struct event event = g_array_index (due, struct event, i);

          handle (world, &event);
        }
      g_array_set_size (due, 0);
      while (next_short < (double)world->now_ms)
        {
          arrive (world, false);
          next_short += bench_exponential (world->rand, short_gap);
        }
      while (next_long < (double)world->now_ms)
        {
          arrive (world, true);
          next_long += bench_exponential (world->rand, long_gap);
        }
      send_statuses (world);
      for (uint32_t i = 0; world->now_ms % PUMP_MS == 0 && i < N_ENTRIES; i++)
        pump (world, &world->entries[i]);
    }
}

void
bench_executors (const struct bench_deployment *deployment, uint32_t seed)
{
  static const char *const choices[] = { "random", "two-choices" };

  for (uint32_t s = 0; s < G_N_ELEMENTS (scenarios); s++)
    for (uint32_t c = GR_POLICY_RANDOM; c <= GR_POLICY_TWO_CHOICES; c++)
      {
        struct bench_case of = { deployment->name, scenarios[s].name,
                                 choices[c], seed };
        struct world *world = g_new0 (struct world, 1);

        world_init (world, &scenarios[s], c, seed);
        world_run (world);
        bench_row (&of, "request-wait-p50",
                   bench_series_quantile (world->waits, 0.5), "ms");
        bench_row (&of, "request-wait-p99",
                   bench_series_quantile (world->waits, 0.99), "ms");
        bench_row (&of, "request-tries-wasted",
                   100.0 * (double)world->n_bad_tries
                       / (double)MAX (world->n_tries, 1),
                   "%");
        if (scenarios[s].long_load > 0)
          bench_row (&of, "long-request-wait-p50",
                     bench_series_quantile (world->long_waits, 0.5), "ms");
        world_clear (world);
        g_free (world);
      }
}
