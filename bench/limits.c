/* Rate limits of one account over nine entry instances, with faults of the
 * home that allots. */
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
#define WARM_MS 5000
#define FAULT_MS 10000
#define PAUSE_MS 4000
#define CUT_MS 6000
#define END_MS 30000
#define N_WINDOWS 250 /* from WARM_MS to END_MS */
/* Callers ask for this many times the purchased rate. */
#define DEMAND 2.0
/* After this time without a heartbeat a member counts as not ready. */
#define SILENT_MS 2000
#define REPORT_TIMEOUT_MS (GR_LIMIT_TERM_MS - 100)
#define HOP_MS 2

enum fault
{
  FAULT_NONE,
  FAULT_KILL,
  FAULT_PAUSE,
  FAULT_CUT, /* calls to and from the home are lost; callers reach it */
};

struct scenario
{
  const char *name;
  double hot; /* share of the demand at one entry; 0: even */
  enum fault fault;
  bool moving; /* the hot entry changes every 5 s */
};

static const struct scenario scenarios[] = {
  { "even", 0, FAULT_NONE, false },
  { "skewed", 0.8, FAULT_NONE, false },
  { "moving", 0.8, FAULT_NONE, true },
  { "home-killed", 0, FAULT_KILL, false },
  { "home-paused", 0, FAULT_PAUSE, false },
  { "home-cut", 0, FAULT_CUT, false },
};

struct entry
{
  char name[GR_NAME_MAX];
  struct gr_limits *limits;
  struct gr_allot *allot;
  int64_t stamps[N_ENTRIES]; /* last answer of each home; -1: none */
  int64_t next_report_ms;
};

/* A report that has not reached its home yet. */
struct message
{
  uint32_t from;
  uint32_t to;
  int64_t sent_ms;
  int64_t stamp_ms;
  double demand_per_s;
};

struct world
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

static int64_t
elapsed (const struct world *world)
{
  return world->now_ms - START_MS;
}

static bool
in_fault (const struct world *world, uint32_t entry, enum fault fault)
{
  int64_t for_ms = fault == FAULT_KILL    ? END_MS
                   : fault == FAULT_PAUSE ? PAUSE_MS
                                          : CUT_MS;

  return world->scenario->fault == fault && entry == world->home
         && elapsed (world) >= FAULT_MS && elapsed (world) < FAULT_MS + for_ms;
}

static bool
runs (const struct world *world, uint32_t entry)
{
  return !in_fault (world, entry, FAULT_KILL)
         && !in_fault (world, entry, FAULT_PAUSE);
}

static bool
reaches (const struct world *world, uint32_t from, uint32_t to)
{
  return from == to
         || (!in_fault (world, from, FAULT_CUT)
             && !in_fault (world, to, FAULT_CUT));
}

/* Whether entry takes other for ready. */
static bool
sees_ready (const struct world *world, uint32_t entry, uint32_t other)
{
  if (entry == other)
    return true;
  if (elapsed (world) < FAULT_MS + SILENT_MS)
    return !in_fault (world, other, FAULT_KILL);
  return runs (world, other) && reaches (world, entry, other);
}

static uint32_t
home_of (const struct world *world, uint32_t entry)
{
  const char *names[N_ENTRIES];
  uint32_t indexes[N_ENTRIES] = { 0 };
  uint32_t n = 0;

  for (uint32_t i = 0; i < N_ENTRIES; i++)
    if (sees_ready (world, entry, i))
      {
        names[n] = world->entries[i].name;
        indexes[n++] = i;
      }
  return indexes[gr_hash_choose (world->account, names, n)];
}

static void
world_init (struct world *world,
            const struct scenario *scenario,
            const struct gr_account_settings *account,
            enum gr_limit_mode mode,
            enum gr_limit_pacing pacing,
            uint32_t seed)
{
  memset (world, 0, sizeof *world);
  world->scenario = scenario;
  world->account = account->name;
  world->rate_per_s = account->rate_per_s;
  world->rand = g_rand_new_with_seed (seed);
  world->now_ms = START_MS;
  world->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    {
      struct entry *entry = &world->entries[i];

      g_snprintf (entry->name, sizeof entry->name, "entry-%u-%u", seed, i);
      entry->limits = gr_limits_create (mode, pacing, START_MS);
      entry->allot = gr_allot_create (N_ENTRIES);
      gr_limits_set_instances (entry->limits, N_ENTRIES);
      gr_limits_set_account (entry->limits, world->account, world->rate_per_s,
                             START_MS);
      gr_allot_set_account (entry->allot, world->account, world->rate_per_s);
      entry->next_report_ms =
          START_MS + g_rand_int_range (world->rand, 0, GR_LIMIT_REPORT_MS);
      for (uint32_t h = 0; h < N_ENTRIES; h++)
        entry->stamps[h] = -1;
    }
  world->home = home_of (world, 0);
}

static void
world_clear (struct world *world)
{
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    {
      gr_limits_destroy (world->entries[i].limits);
      gr_allot_destroy (world->entries[i].allot);
    }
  g_array_free (world->messages, TRUE);
  g_rand_free (world->rand);
}

static void
send_report (struct world *world, uint32_t from)
{
  struct entry *entry = &world->entries[from];
  struct message message = { .from = from, .sent_ms = world->now_ms };

  entry->next_report_ms = world->now_ms + GR_LIMIT_REPORT_MS;
  message.to = home_of (world, from);
  message.stamp_ms =
      message.to == from ? world->now_ms : entry->stamps[message.to];
  if (gr_limits_begin_report (entry->limits, world->account,
                              world->entries[message.to].name, world->now_ms,
                              &message.demand_per_s)
      && reaches (world, from, message.to))
    g_array_append_val (world->messages, message);
}

static void
take_report (struct world *world, const struct message *message)
{
  struct entry *from = &world->entries[message->from];
  struct entry *home = &world->entries[message->to];
  double rate_per_s = gr_allot_handle_report (home->allot, world->account,
                                              from->name, message->demand_per_s,
                                              message->stamp_ms, world->now_ms);

  if (!runs (world, message->from)
      || !reaches (world, message->to, message->from)
      || world->now_ms - message->sent_ms > REPORT_TIMEOUT_MS)
    return;
  from->stamps[message->to] = world->now_ms;
  gr_limits_apply_allotment (from->limits, world->account, home->name,
                             message->sent_ms, rate_per_s);
}

static void
take_reports (struct world *world)
{
  for (guint i = world->messages->len; i > 0; i--)
    {
      struct message message =
          g_array_index (world->messages, struct message, i - 1);

      if (world->now_ms - message.sent_ms < HOP_MS || !runs (world, message.to))
        continue;
      g_array_remove_index_fast (world->messages, i - 1);
      if (!in_fault (world, message.to, FAULT_KILL))
        take_report (world, &message);
    }
}

/* Share of the demand that reaches the entry. The balancer turns to others
 * when an entry does not answer. */
static double
demand_share (const struct world *world, uint32_t entry)
{
  uint32_t hot = 0;
  uint32_t n = 0;

  if (!runs (world, entry))
    return 0;
  for (uint32_t i = 0; i < N_ENTRIES; i++)
    n += runs (world, i);
  if (world->scenario->hot <= 0)
    return 1.0 / n;
  if (world->scenario->moving)
    hot = (uint32_t)(elapsed (world) / 5000 % N_ENTRIES);
  return entry == hot ? world->scenario->hot
                      : (1 - world->scenario->hot) / (n - 1);
}

static void
take_demand (struct world *world, uint32_t index)
{
  struct entry *entry = &world->entries[index];
  double mean =
      world->rate_per_s * DEMAND * demand_share (world, index) * STEP_MS / 1000;
  int64_t window = (elapsed (world) - WARM_MS) / GR_LIMIT_WINDOW_MS;
  double at = mean > 0 ? bench_exponential (world->rand, 1) : 1;

  while (at < mean)
    {
      struct gr_error error = GR_ERROR_INIT;

      if (gr_limits_admit (entry->limits, world->account, world->now_ms,
                           world->rand, &error)
          && elapsed (world) >= WARM_MS)
        world->windows[window]++;
      at += bench_exponential (world->rand, 1);
    }
}

static void
world_run (struct world *world)
{
  for (; elapsed (world) < END_MS; world->now_ms += STEP_MS)
    {
      take_reports (world);
      for (uint32_t i = 0; i < N_ENTRIES; i++)
        {
          if (!runs (world, i))
            continue;
          if (world->now_ms >= world->entries[i].next_report_ms)
            send_report (world, i);
          take_demand (world, i);
        }
    }
}

static void
print_world (const struct world *world, const struct bench_case *of)
{
  double wanted = world->rate_per_s * GR_LIMIT_WINDOW_MS / 1000;
  double sum = 0;
  double worst = 0;
  double excess = 0;
  double most = 0;

  for (uint32_t w = 0; w < N_WINDOWS; w++)
    {
      sum += world->windows[w];
      worst = MAX (worst, fabs (world->windows[w] - wanted) / wanted);
      /* The largest excess over any interval. */
      excess = MAX (0, excess + world->windows[w] - wanted);
      most = MAX (most, excess);
    }
  bench_row (of, "limit-reached", 100 * sum / (wanted * N_WINDOWS), "%");
  bench_row (of, "limit-worst-deviation", 100 * worst, "%");
  bench_row (of, "limit-overshoot", most / wanted, "windows");
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
      bench_account_of (deployment, GR_PRIORITY_URGENT);

  for (uint32_t s = 0; s < G_N_ELEMENTS (scenarios); s++)
    for (uint32_t v = 0; v < G_N_ELEMENTS (variants); v++)
      {
        struct bench_case of = { deployment->name, scenarios[s].name,
                                 variants[v].name, seed };
        struct world world;

        world_init (&world, &scenarios[s], account, variants[v].mode,
                    variants[v].pacing, seed);
        world_run (&world);
        print_world (&world, &of);
        world_clear (&world);
      }
}
