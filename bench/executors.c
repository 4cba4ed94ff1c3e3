/* Wait of short requests from nine entries for 50 shared executors, with and
 * without requests of long kinds and with a failing executor. */
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
/* One-way delay between an entry and an executor. */
#define ONE_WAY_DELAY_MS 1
/* Requests that arrive before this time are not measured. */
#define WARMUP_MS 10000
#define END_MS 40000
#define REPORT_INTERVAL_MS 2000
#define QUEUE_RETRY_MS 20
#define SHORT_RUN_MS 50.0
#define LONG_MIN_MS 2000
#define LONG_MAX_MS 16000
#define EVENT_WHEEL_MS 32768 /* longer than the delay of any event */
#define MAX_TRIES 4
#define DEADLINE_MS 10000

struct scenario
{
  const char *name;
  double short_load; /* share of all slots */
  double long_load;
  bool has_failing_executor; /* executor 0 fails every request without delay */
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
  bool is_long_kind;    /* of the kind "long" */
  bool classified_long; /* as classified at the last try */
  bool overrun; /* ran for GR_LONG_RUN_MS although not classified as long */
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
  EVENT_RECEIVED,  /* the request arrives at the executor */
  EVENT_RUN_ENDED, /* the executor has run the request */
  EVENT_ANSWERED,  /* the answer arrives at the entry */
  EVENT_OVERRUN,   /* the request has run for GR_LONG_RUN_MS */
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

struct simulation
{
  const struct scenario *scenario;
  GRand *rand;
  int64_t now_ms;
  struct entry entries[N_ENTRIES];
  char names[N_EXECUTORS][GR_NAME_MAX];
  uint32_t busy[N_EXECUTORS];          /* slots */
  GArray *event_wheel[EVENT_WHEEL_MS]; /* timer wheel: events by due time modulo
                                          EVENT_WHEEL_MS */
  GPtrArray *requests;                 /* owned */
  GArray *short_waits;                 /* from arrival to start, in ms */
  GArray *long_waits;
  uint64_t n_tries;
  uint64_t n_wasted_tries; /* refused as busy or failed */
  uint64_t n_refused;
};

static void
schedule_event (struct simulation *sim,
                int64_t delay_ms,
                enum event_kind kind,
                enum gr_try_result result,
                struct request *request)
{
  struct event event = { kind, result, request };

  g_array_append_val (
      sim->event_wheel[(sim->now_ms + delay_ms) % EVENT_WHEEL_MS], event);
}

static const char *
request_kind (const struct request *request)
{
  return request->is_long_kind ? "long" : "short";
}

/* Sends the request if an executor is available. */
static bool
try_send (struct simulation *sim, struct request *request)
{
  struct entry *entry = &sim->entries[request->entry];
  const char *name;

  request->classified_long =
      gr_classes_is_long (entry->classes, "a", request_kind (request));
  name = gr_executors_acquire (entry->executors, request->classified_long, true,
                               request->tried, sim->now_ms, sim->rand);
  if (name == NULL)
    return false;
  request->executor = (uint32_t)g_ascii_strtoull (name + 1, NULL, 10);
  request->sent_ms = sim->now_ms;
  request->overrun = false;
  sim->n_tries++;
  schedule_event (sim, ONE_WAY_DELAY_MS, EVENT_RECEIVED, GR_TRY_OK, request);
  return true;
}

static void
send_or_queue (struct simulation *sim, struct request *request)
{
  enum gr_priority priority =
      request->is_long_kind ? GR_PRIORITY_BATCH : GR_PRIORITY_URGENT;

  if (try_send (sim, request))
    return;
  request->n_tried = 0;
  request->tried[0] = NULL;
  if (gr_queue_add (sim->entries[request->entry].queue, priority,
                    request->classified_long, request->arrival_ms + DEADLINE_MS,
                    request)
      != NULL)
    sim->n_refused++;
}

/* Sends queued requests until no executor is available for short or for long
 * ones. */
static void
send_queued (struct simulation *sim, struct entry *entry)
{
  bool available[2] = { true, true };

  while (available[0] || available[1])
    {
      struct request *request =
          gr_queue_pop (entry->queue, available[0], available[1]);

      if (request == NULL)
        return;
      if (try_send (sim, request))
        continue;
      available[request->classified_long ? 1 : 0] = false;
      send_or_queue (sim, request);
    }
}

static void
handle_arrival (struct simulation *sim, bool long_kind)
{
  struct request *request = g_new0 (struct request, 1);

  request->entry = (uint32_t)g_rand_int_range (sim->rand, 0, N_ENTRIES);
  request->is_long_kind = long_kind;
  request->arrival_ms = sim->now_ms;
  request->run_ms =
      long_kind
          ? g_rand_int_range (sim->rand, LONG_MIN_MS, LONG_MAX_MS)
          : 1 + (int64_t)MIN (bench_exponential (sim->rand, SHORT_RUN_MS), 900);
  g_ptr_array_add (sim->requests, request);
  send_or_queue (sim, request);
}

static void
handle_received (struct simulation *sim, struct request *request)
{
  if (sim->scenario->has_failing_executor && request->executor == 0)
    {
      schedule_event (sim, ONE_WAY_DELAY_MS, EVENT_ANSWERED, GR_TRY_FAILED,
                      request);
      return;
    }
  if (sim->busy[request->executor] >= SLOTS)
    {
      schedule_event (sim, ONE_WAY_DELAY_MS, EVENT_ANSWERED, GR_TRY_BUSY,
                      request);
      return;
    }
  sim->busy[request->executor]++;
  request->started_ms = sim->now_ms;
  if (request->arrival_ms >= WARMUP_MS)
    bench_series_add (request->is_long_kind ? sim->long_waits
                                            : sim->short_waits,
                      (double)(sim->now_ms - request->arrival_ms));
  schedule_event (sim, request->run_ms, EVENT_RUN_ENDED, GR_TRY_OK, request);
  if (!request->classified_long && request->run_ms > GR_LONG_RUN_MS)
    schedule_event (sim, GR_LONG_RUN_MS, EVENT_OVERRUN, GR_TRY_OK, request);
}

static void
handle_answer (struct simulation *sim,
               struct request *request,
               enum gr_try_result result)
{
  struct entry *entry = &sim->entries[request->entry];
  const char *name = sim->names[request->executor];
  int32_t busy =
      result == GR_TRY_FAILED ? -1 : (int32_t)sim->busy[request->executor];

  gr_executors_release (entry->executors, name,
                        request->classified_long || request->overrun, result,
                        busy, sim->now_ms - request->sent_ms, sim->now_ms);
  if (result == GR_TRY_OK)
    {
      gr_classes_record_run (entry->classes, "a", request_kind (request),
                             request->run_ms);
      send_queued (sim, entry);
      return;
    }
  sim->n_wasted_tries++;
  if (request->n_tried < MAX_TRIES)
    request->tried[request->n_tried++] = name;
  request->tried[request->n_tried] = NULL;
  send_or_queue (sim, request);
}

static void
handle_event (struct simulation *sim, const struct event *event)
{
  struct request *request = event->request;
  struct entry *entry = &sim->entries[request->entry];

  switch (event->kind)
    {
    case EVENT_RECEIVED:
      handle_received (sim, request);
      break;
    case EVENT_RUN_ENDED:
      sim->busy[request->executor]--;
      schedule_event (sim, ONE_WAY_DELAY_MS, EVENT_ANSWERED, event->result,
                      request);
      break;
    case EVENT_ANSWERED:
      handle_answer (sim, request, event->result);
      break;
    case EVENT_OVERRUN:
      request->overrun = true;
      gr_classes_record_overrun (entry->classes, "a", request_kind (request));
      gr_executors_reclassify_long (entry->executors,
                                    sim->names[request->executor]);
      break;
    }
}

static void
sim_init (struct simulation *sim,
          const struct scenario *scenario,
          enum gr_executor_policy policy,
          uint32_t seed)
{
  sim->scenario = scenario;
  sim->rand = g_rand_new_with_seed (seed);
  sim->requests = g_ptr_array_new_with_free_func (g_free);
  sim->short_waits = bench_series_create ();
  sim->long_waits = bench_series_create ();
  for (uint32_t i = 0; i < EVENT_WHEEL_MS; i++)
    sim->event_wheel[i] = g_array_new (FALSE, FALSE, sizeof (struct event));
  for (uint32_t x = 0; x < N_EXECUTORS; x++)
    g_snprintf (sim->names[x], GR_NAME_MAX, "x%u", x);
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    {
      struct entry *entry = &sim->entries[i];

      entry->executors = gr_executors_create ();
      entry->classes = gr_classes_create ();
      entry->queue = gr_queue_create (20000);
      gr_executors_configure (entry->executors, policy, CONNECTIONS,
                              LONG_SHARE_PERCENT);
      gr_executors_list_begin (entry->executors, 0);
      for (uint32_t x = 0; x < N_EXECUTORS; x++)
        gr_executors_list_add (entry->executors, sim->names[x], sim->names[x],
                               false);
      gr_executors_list_end (entry->executors);
    }
}

static void
sim_clear (struct simulation *sim)
{
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    {
      gr_executors_destroy (sim->entries[i].executors);
      gr_classes_destroy (sim->entries[i].classes);
      gr_queue_destroy (sim->entries[i].queue);
    }
  for (uint32_t i = 0; i < EVENT_WHEEL_MS; i++)
    g_array_free (sim->event_wheel[i], TRUE);
  g_ptr_array_unref (sim->requests);
  g_array_free (sim->short_waits, TRUE);
  g_array_free (sim->long_waits, TRUE);
  g_rand_free (sim->rand);
}

/* Delivers the status reports that are due. The times are staggered over
 * entries and executors. */
static void
deliver_reports (struct simulation *sim)
{
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    for (uint32_t x = 0; x < N_EXECUTORS; x++)
      if ((sim->now_ms + 211LL * i + 37LL * x) % REPORT_INTERVAL_MS == 0)
        gr_executors_apply_report (sim->entries[i].executors, sim->names[x],
                                   SLOTS, (int32_t)sim->busy[x], false,
                                   sim->now_ms);
}

static void
sim_run (struct simulation *sim)
{
  const struct scenario *scenario = sim->scenario;
  double slots = N_EXECUTORS * SLOTS;
  double short_gap = SHORT_RUN_MS / (slots * scenario->short_load);
  double long_gap = (LONG_MIN_MS + LONG_MAX_MS) / 2.0
                    / (slots * MAX (scenario->long_load, 1e-9));
  double next_short = bench_exponential (sim->rand, short_gap);
  double next_long = bench_exponential (sim->rand, long_gap);

  for (; sim->now_ms < END_MS; sim->now_ms++)
    {
      GArray *due = sim->event_wheel[sim->now_ms % EVENT_WHEEL_MS];

      for (guint i = 0; i < due->len; i++)
        {
          struct event event = g_array_index (due, struct event, i);

          handle_event (sim, &event);
        }
      g_array_set_size (due, 0);
      while (next_short < (double)sim->now_ms)
        {
          handle_arrival (sim, false);
          next_short += bench_exponential (sim->rand, short_gap);
        }
      while (next_long < (double)sim->now_ms)
        {
          handle_arrival (sim, true);
          next_long += bench_exponential (sim->rand, long_gap);
        }
      deliver_reports (sim);
      for (uint32_t i = 0; sim->now_ms % QUEUE_RETRY_MS == 0 && i < N_ENTRIES;
           i++)
        send_queued (sim, &sim->entries[i]);
    }
}

void
bench_executors (const struct bench_deployment *deployment, uint32_t seed)
{
  static const char *const policy_names[] = { "random", "two-choices" };

  for (uint32_t s = 0; s < G_N_ELEMENTS (scenarios); s++)
    for (uint32_t c = GR_POLICY_RANDOM; c <= GR_POLICY_TWO_CHOICES; c++)
      {
        struct bench_case bench_case = { deployment->name, scenarios[s].name,
                                         policy_names[c], seed };
        struct simulation *sim = g_new0 (struct simulation, 1);

        sim_init (sim, &scenarios[s], c, seed);
        sim_run (sim);
        bench_row (&bench_case, "request-wait-p50",
                   bench_series_quantile (sim->short_waits, 0.5), "ms");
        bench_row (&bench_case, "request-wait-p99",
                   bench_series_quantile (sim->short_waits, 0.99), "ms");
        bench_row (&bench_case, "request-tries-wasted",
                   100.0 * (double)sim->n_wasted_tries
                       / (double)MAX (sim->n_tries, 1),
                   "%");
        if (scenarios[s].long_load > 0)
          bench_row (&bench_case, "long-request-wait-p50",
                     bench_series_quantile (sim->long_waits, 0.5), "ms");
        sim_clear (sim);
        g_free (sim);
      }
}
