/* Rate limit of one account over nine entries, with faults of the home entry,
 * which allots the rate. */
#include "bench/bench.h"

#include "common/hash.h"
#include "route/allot.h"
#include "route/limit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define N_ENTRIES 9
#define STEP_MS 5
#define START_MS 100000
#define WARMUP_MS 5000
#define FAULT_START_MS 10000
#define PAUSE_MS 4000
#define PARTITION_MS 6000
#define END_MS 30000
#define N_WINDOWS 250 /* from WARMUP_MS to END_MS */
/* Clients send requests at this multiple of the account's rate. */
#define DEMAND_FACTOR 2.0
/* An entry considers another one not ready after this time without a
 * heartbeat. */
#define HEARTBEAT_TIMEOUT_MS 2000
#define REPORT_TIMEOUT_MS (GR_LIMIT_TERM_MS - 100)
#define ONE_WAY_DELAY_MS 2

enum fault
{
  FAULT_NONE,
  FAULT_KILL,
  FAULT_PAUSE,
  FAULT_PARTITION, /* calls between the home and other entries are lost; clients
                still reach the home */
};

struct scenario
{
  const char *name;
  double hot_share; /* share of the demand at one entry; 0: spread evenly */
  enum fault fault;
  bool hot_entry_moves; /* the hot entry changes every 5 s */
};

static const struct scenario scenarios[] = {
  { "even", 0, FAULT_NONE, false },
  { "skewed", 0.8, FAULT_NONE, false },
  { "moving", 0.8, FAULT_NONE, true },
  { "home-killed", 0, FAULT_KILL, false },
  { "home-paused", 0, FAULT_PAUSE, false },
  { "home-cut", 0, FAULT_PARTITION, false },
};

struct entry
{
  char name[GR_NAME_MAX];
  struct gr_limits *limits;
  struct gr_allot *allot;
  int64_t stamps_ms[N_ENTRIES]; /* time of the last answer of each home;
                                       -1: none */
  int64_t next_report_ms;
};

/* A report that its home has not handled yet. */
struct message
{
  uint32_t from;
  uint32_t to;
  int64_t sent_ms;
  int64_t stamp_ms;
  double demand_per_s;
};

struct simulation
{
  const struct scenario *scenario;
  const char *account;
  double rate_per_s;
  GRand *rand;
  int64_t now_ms;
  uint32_t home;
  struct entry entries[N_ENTRIES];
  GArray *messages;
  double windows[N_WINDOWS];
};

/* Returns the time since the start in ms. */
static int64_t
elapsed_ms (const struct simulation *sim)
{
  return sim->now_ms - START_MS;
}

static bool
has_fault (const struct simulation *sim, uint32_t entry, enum fault fault)
{
  int64_t for_ms = fault == FAULT_KILL    ? END_MS
                   : fault == FAULT_PAUSE ? PAUSE_MS
                                          : PARTITION_MS;

  return sim->scenario->fault == fault && entry == sim->home
         && elapsed_ms (sim) >= FAULT_START_MS
         && elapsed_ms (sim) < FAULT_START_MS + for_ms;
}

static bool
is_running (const struct simulation *sim, uint32_t entry)
{
  return !has_fault (sim, entry, FAULT_KILL)
         && !has_fault (sim, entry, FAULT_PAUSE);
}

static bool
can_reach (const struct simulation *sim, uint32_t from, uint32_t to)
{
  return from == to
         || (!has_fault (sim, from, FAULT_PARTITION)
             && !has_fault (sim, to, FAULT_PARTITION));
}

/* Returns whether entry considers other ready. */
static bool
considers_ready (const struct simulation *sim, uint32_t entry, uint32_t other)
{
  if (entry == other)
    return true;
  if (elapsed_ms (sim) < FAULT_START_MS + HEARTBEAT_TIMEOUT_MS)
    return !has_fault (sim, other, FAULT_KILL);
  return is_running (sim, other) && can_reach (sim, entry, other);
}

static uint32_t
choose_home (const struct simulation *sim, uint32_t entry)
{
  const char *names[N_ENTRIES];
  uint32_t indexes[N_ENTRIES] = { 0 };
  uint32_t n = 0;

  for (uint32_t i = 0; i < N_ENTRIES; i++)
    if (considers_ready (sim, entry, i))
      {
        names[n] = sim->entries[i].name;
        indexes[n++] = i;
      }
  return indexes[gr_hash_choose (sim->account, names, n)];
}

static void
sim_init (struct simulation *sim,
          const struct scenario *scenario,
          const struct gr_account_settings *account,
          enum gr_limit_mode mode,
          enum gr_limit_pacing pacing,
          uint32_t seed)
{
  memset (sim, 0, sizeof *sim);
  sim->scenario = scenario;
  sim->account = account->name;
  sim->rate_per_s = account->rate_per_s;
  sim->rand = g_rand_new_with_seed (seed);
  sim->now_ms = START_MS;
  sim->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    {
      struct entry *entry = &sim->entries[i];

      g_snprintf (entry->name, sizeof entry->name, "entry-%u-%u", seed, i);
      entry->limits = gr_limits_create (mode, pacing, START_MS);
      entry->allot = gr_allot_create (N_ENTRIES);
      gr_limits_set_instances (entry->limits, N_ENTRIES);
      gr_limits_set_account (entry->limits, sim->account, sim->rate_per_s,
                             START_MS);
      gr_allot_set_account (entry->allot, sim->account, sim->rate_per_s);
      entry->next_report_ms =
          START_MS + g_rand_int_range (sim->rand, 0, GR_LIMIT_REPORT_MS);
      for (uint32_t h = 0; h < N_ENTRIES; h++)
        entry->stamps_ms[h] = -1;
    }
  sim->home = choose_home (sim, 0);
}

static void
sim_clear (struct simulation *sim)
{
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    {
      gr_limits_destroy (sim->entries[i].limits);
      gr_allot_destroy (sim->entries[i].allot);
    }
  g_array_free (sim->messages, TRUE);
  g_rand_free (sim->rand);
}

static void
send_report (struct simulation *sim, uint32_t from)
{
  struct entry *entry = &sim->entries[from];
  struct message message = { .from = from, .sent_ms = sim->now_ms };

  entry->next_report_ms = sim->now_ms + GR_LIMIT_REPORT_MS;
  message.to = choose_home (sim, from);
  message.stamp_ms =
      message.to == from ? sim->now_ms : entry->stamps_ms[message.to];
  if (gr_limits_begin_report (entry->limits, sim->account,
                              sim->entries[message.to].name, sim->now_ms,
                              &message.demand_per_s)
      && can_reach (sim, from, message.to))
    g_array_append_val (sim->messages, message);
}

static void
handle_report (struct simulation *sim, const struct message *message)
{
  struct entry *from = &sim->entries[message->from];
  struct entry *home = &sim->entries[message->to];
  double rate_per_s = gr_allot_handle_report (home->allot, sim->account,
                                              from->name, message->demand_per_s,
                                              message->stamp_ms, sim->now_ms);

  if (!is_running (sim, message->from)
      || !can_reach (sim, message->to, message->from)
      || sim->now_ms - message->sent_ms > REPORT_TIMEOUT_MS)
    return;
  from->stamps_ms[message->to] = sim->now_ms;
  gr_limits_apply_allotment (from->limits, sim->account, home->name,
                             message->sent_ms, rate_per_s);
}

static void
deliver_reports (struct simulation *sim)
{
  for (guint i = sim->messages->len; i > 0; i--)
    {
      struct message message =
          g_array_index (sim->messages, struct message, i - 1);

      if (sim->now_ms - message.sent_ms < ONE_WAY_DELAY_MS
          || !is_running (sim, message.to))
        continue;
      g_array_remove_index_fast (sim->messages, i - 1);
      if (!has_fault (sim, message.to, FAULT_KILL))
        handle_report (sim, &message);
    }
}

/* Returns the share of the demand that reaches the entry. The load balancer
 * skips entries that do not answer. */
static double
demand_share (const struct simulation *sim, uint32_t entry)
{
  uint32_t hot_entry = 0;
  uint32_t n = 0;

  if (!is_running (sim, entry))
    return 0;
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    n += is_running (sim, i);
  if (sim->scenario->hot_share <= 0)
    return 1.0 / n;
  if (sim->scenario->hot_entry_moves)
    hot_entry = (uint32_t)(elapsed_ms (sim) / 5000 % N_ENTRIES);
  return entry == hot_entry ? sim->scenario->hot_share
                            : (1 - sim->scenario->hot_share) / (n - 1);
}

static void
admit_requests (struct simulation *sim, uint32_t index)
{
  struct entry *entry = &sim->entries[index];
  double mean = sim->rate_per_s * DEMAND_FACTOR * demand_share (sim, index)
                * STEP_MS / 1000;
  int64_t window = (elapsed_ms (sim) - WARMUP_MS) / GR_LIMIT_WINDOW_MS;
  double next_arrival = mean > 0 ? bench_exponential (sim->rand, 1) : 1;

  while (next_arrival < mean)
    {
      struct gr_error error = GR_ERROR_INIT;

      if (gr_limits_admit (entry->limits, sim->account, sim->now_ms, sim->rand,
                           &error)
          && elapsed_ms (sim) >= WARMUP_MS)
        sim->windows[window]++;
      next_arrival += bench_exponential (sim->rand, 1);
    }
}

static void
sim_run (struct simulation *sim)
{
  for (; elapsed_ms (sim) < END_MS; sim->now_ms += STEP_MS)
    {
      deliver_reports (sim);
      for (uint32_t i = 0; i < N_ENTRIES; i++)
        {
          if (!is_running (sim, i))
            continue;
          if (sim->now_ms >= sim->entries[i].next_report_ms)
            send_report (sim, i);
          admit_requests (sim, i);
        }
    }
}

static void
print_results (const struct simulation *sim,
               const struct bench_case *bench_case)
{
  double expected = sim->rate_per_s * GR_LIMIT_WINDOW_MS / 1000;
  double sum = 0;
  double worst_deviation = 0;
  double excess = 0;
  double max_excess = 0;

  for (uint32_t w = 0; w < N_WINDOWS; w++)
    {
      sum += sim->windows[w];
      worst_deviation =
          MAX (worst_deviation, fabs (sim->windows[w] - expected) / expected);
      /* Largest excess over the rate in any series of windows. */
      excess = MAX (0, excess + sim->windows[w] - expected);
      max_excess = MAX (max_excess, excess);
    }
  bench_row (bench_case, "limit-reached", 100 * sum / (expected * N_WINDOWS),
             "%");
  bench_row (bench_case, "limit-worst-deviation", 100 * worst_deviation, "%");
  bench_row (bench_case, "limit-overshoot", max_excess / expected, "windows");
}

void
bench_limits (const struct bench_deployment *deployment, uint32_t seed)
{
  static const struct
  {
    const char *name;
    enum gr_limit_mode mode;
    enum gr_limit_pacing pacing;
  } variants[] = {
    { "allotted-windows", GR_LIMIT_ALLOTTED, GR_PACING_WINDOWS },
    { "allotted-refill", GR_LIMIT_ALLOTTED, GR_PACING_REFILL },
    { "static-windows", GR_LIMIT_STATIC, GR_PACING_WINDOWS },
  };
  const struct gr_account_settings *account =
      bench_find_account (deployment, GR_PRIORITY_URGENT);

  for (uint32_t s = 0; s < G_N_ELEMENTS (scenarios); s++)
    for (uint32_t v = 0; v < G_N_ELEMENTS (variants); v++)
      {
        struct bench_case bench_case = { deployment->name, scenarios[s].name,
                                         variants[v].name, seed };
        struct simulation sim;

        sim_init (&sim, &scenarios[s], account, variants[v].mode,
                  variants[v].pacing, seed);
        sim_run (&sim);
        print_results (&sim, &bench_case);
        sim_clear (&sim);
      }
}
