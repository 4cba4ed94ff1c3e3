#include "route/limit.h"

#include "route/spread.h"

#include <string.h>

#define WINDOWS_PER_S 10 /* of GR_LIMIT_WINDOW_MS */

/* Maximum unused credit carried over to the next second, in requests. Without
 * it, rates below one request per second would never admit any. */
#define MAX_CARRIED_CREDIT 1.0

/* Weight of the last window in the moving average of the demand. */
#define DEMAND_WEIGHT 0.25

/* Idle windows after which less than 0.001 % of the demand remains. */
#define MAX_IDLE_WINDOWS 40

struct limit
{
  double rate_per_s;
  double floor_credit;
  double allotted_credit;
  int64_t window; /* last window whose credit was added */

  char home[64];
  int64_t home_since_ms;
  int64_t reported_ms; /* last report to home */
  int64_t allotted_sent_ms;
  double allotted_per_s;
  int64_t allotted_until_ms;

  int64_t demand_window;
  uint32_t requested; /* in demand_window */
  double demand_per_s;
  int64_t refused_second;
  uint32_t refused; /* in refused_second */
};

struct gr_limits
{
  GHashTable *accounts; /* name to struct limit */
  enum gr_limit_mode mode;
  enum gr_limit_pacing pacing;
  uint32_t entry_instances;
  int64_t started_ms;
  bool refused; /* since the last call of gr_limits_clear_refused () */
};

struct gr_limits *
gr_limits_create (enum gr_limit_mode mode,
                  enum gr_limit_pacing pacing,
                  int64_t now_ms)
{
  struct gr_limits *limits = g_new0 (struct gr_limits, 1);

  limits->accounts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  limits->mode = mode;
  limits->pacing = pacing;
  limits->entry_instances = 9;
  limits->started_ms = now_ms;
  return limits;
}

void
gr_limits_destroy (struct gr_limits *limits)
{
  if (limits == NULL)
    return;
  g_hash_table_destroy (limits->accounts);
  g_free (limits);
}

void
gr_limits_set_instances (struct gr_limits *limits, uint32_t entry_instances)
{
  limits->entry_instances = entry_instances;
}

void
gr_limits_set_account (struct gr_limits *limits,
                       const char *account,
                       double rate_per_s,
                       int64_t now_ms)
{
  struct limit *limit = g_hash_table_lookup (limits->accounts, account);

  if (limit == NULL)
    {
      limit = g_new0 (struct limit, 1);
      limit->window = now_ms / GR_LIMIT_WINDOW_MS - 1;
      limit->reported_ms = limits->started_ms;
      g_hash_table_insert (limits->accounts, g_strdup (account), limit);
    }
  limit->rate_per_s = rate_per_s;
}

void
gr_limits_remove_account (struct gr_limits *limits, const char *account)
{
  g_hash_table_remove (limits->accounts, account);
}

GPtrArray *
gr_limits_accounts (const struct gr_limits *limits)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, limits->accounts);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  return names;
}

static double
floor_per_s (const struct gr_limits *limits, const struct limit *limit)
{
  double fraction = limits->mode == GR_LIMIT_STATIC ? 1 : 0.5;

  return limit->rate_per_s * fraction / (limits->entry_instances + 1);
}

static double
allotted_per_s (const struct gr_limits *limits,
                const struct limit *limit,
                int64_t now_ms)
{
  if (limits->mode == GR_LIMIT_STATIC || now_ms >= limit->allotted_until_ms)
    return 0;
  return limit->allotted_per_s;
}

static void
add_window (const struct gr_limits *limits, struct limit *limit, int64_t window)
{
  int64_t start_ms = window * GR_LIMIT_WINDOW_MS;
  double fraction = 1.0 / WINDOWS_PER_S;

  if (window % WINDOWS_PER_S == 0)
    {
      limit->floor_credit = MIN (limit->floor_credit, MAX_CARRIED_CREDIT);
      limit->allotted_credit = MIN (limit->allotted_credit, MAX_CARRIED_CREDIT);
    }
  else if (limits->pacing == GR_PACING_REFILL)
    return;
  if (limits->pacing == GR_PACING_REFILL)
    fraction = 1;
  limit->floor_credit += floor_per_s (limits, limit) * fraction;
  limit->allotted_credit += allotted_per_s (limits, limit, start_ms) * fraction;
}

/* Adds the credit of all windows up to now. Unused credit of an allotment is
 * dropped at the end of its term, since another entry may then have the
 * allotment. */
static void
add_credit (const struct gr_limits *limits, struct limit *limit, int64_t now_ms)
{
  int64_t current = now_ms / GR_LIMIT_WINDOW_MS;
  int64_t first = MAX (limit->window + 1, current - WINDOWS_PER_S);
  double skipped = (double)(first - limit->window - 1);

  if (skipped > 0)
    limit->floor_credit =
        MIN (MAX_CARRIED_CREDIT,
             limit->floor_credit
                 + skipped * floor_per_s (limits, limit) / WINDOWS_PER_S);
  for (int64_t window = first; window <= current; window++)
    add_window (limits, limit, window);
  limit->window = MAX (limit->window, current);
  if (now_ms >= limit->allotted_until_ms)
    limit->allotted_credit = 0;
}

/* Updates the moving average of the demand. It follows a change within about
 * four windows, since demand shifts between entries within seconds. */
static void
update_demand (struct limit *limit, int64_t now_ms)
{
  int64_t window = now_ms / GR_LIMIT_WINDOW_MS;
  int64_t idle = MIN (window - limit->demand_window - 1, MAX_IDLE_WINDOWS);
  double requested_per_s = (double)limit->requested * WINDOWS_PER_S;

  if (limit->refused_second != now_ms / 1000)
    limit->refused = 0;
  limit->refused_second = now_ms / 1000;
  if (limit->demand_window == window)
    return;
  limit->demand_per_s +=
      (requested_per_s - limit->demand_per_s) * DEMAND_WEIGHT;
  for (; idle > 0; idle--)
    limit->demand_per_s *= 1 - DEMAND_WEIGHT;
  limit->demand_window = window;
  limit->requested = 0;
}

static bool
take_credit (struct limit *limit)
{
  /* Use the allotment first, since it expires. */
  if (limit->allotted_credit >= 1)
    limit->allotted_credit -= 1;
  else if (limit->floor_credit >= 1)
    limit->floor_credit -= 1;
  else if (limit->allotted_credit + limit->floor_credit >= 1)
    {
      limit->floor_credit -= 1 - limit->allotted_credit;
      limit->allotted_credit = 0;
    }
  else
    return false;
  return true;
}

bool
gr_limits_admit (struct gr_limits *limits,
                 const char *account,
                 int64_t now_ms,
                 GRand *random,
                 struct gr_error *error)
{
  struct limit *limit = g_hash_table_lookup (limits->accounts, account);
  double rate_per_s;

  if (limit == NULL)
    return gr_error_set (error, GR_ERROR_UNKNOWN_ACCOUNT,
                         "there is no account \"%s\"", account);
  add_credit (limits, limit, now_ms);
  update_demand (limit, now_ms);
  limit->requested++;
  if (take_credit (limit))
    return true;
  limit->refused++;
  limits->refused = true;
  rate_per_s = gr_limits_rate (limits, account, now_ms);
  return gr_error_set_retry (
      error, GR_ERROR_RATE_LIMITED,
      gr_retry_delay_ms (GR_LIMIT_WINDOW_MS, limit->refused, rate_per_s,
                         random),
      "account \"%s\" is limited to %.0f requests per second", account,
      limit->rate_per_s);
}

static void
drop_allotment (struct limit *limit)
{
  limit->allotted_per_s = 0;
  limit->allotted_credit = 0;
  limit->allotted_until_ms = 0;
}

bool
gr_limits_begin_report (struct gr_limits *limits,
                        const char *account,
                        const char *home,
                        int64_t now_ms,
                        double *demand_per_s)
{
  struct limit *limit = g_hash_table_lookup (limits->accounts, account);

  if (limit == NULL)
    return false;
  update_demand (limit, now_ms);
  if (strcmp (limit->home, home) != 0)
    {
      add_credit (limits, limit, now_ms);
      drop_allotment (limit);
      if (now_ms - limit->reported_ms <= GR_LIMIT_TERM_MS)
        return false;
      g_strlcpy (limit->home, home, sizeof limit->home);
      limit->home_since_ms = now_ms;
    }
  limit->reported_ms = now_ms;
  *demand_per_s = limit->demand_per_s;
  return true;
}

bool
gr_limits_clear_refused (struct gr_limits *limits)
{
  bool refused = limits->refused;

  limits->refused = false;
  return refused;
}

void
gr_limits_apply_allotment (struct gr_limits *limits,
                           const char *account,
                           const char *home,
                           int64_t sent_ms,
                           double rate_per_s)
{
  struct limit *limit = g_hash_table_lookup (limits->accounts, account);

  if (limit == NULL || strcmp (limit->home, home) != 0
      || sent_ms < limit->home_since_ms || sent_ms < limit->allotted_sent_ms)
    return;
  /* A smaller allotment takes effect with the next window. */
  limit->allotted_sent_ms = sent_ms;
  limit->allotted_per_s = rate_per_s;
  limit->allotted_until_ms = sent_ms + GR_LIMIT_TERM_MS;
}

double
gr_limits_rate (const struct gr_limits *limits,
                const char *account,
                int64_t now_ms)
{
  const struct limit *limit = g_hash_table_lookup (limits->accounts, account);

  if (limit == NULL)
    return 0;
  return floor_per_s (limits, limit) + allotted_per_s (limits, limit, now_ms);
}

uint32_t
gr_majority (uint32_t entry_instances)
{
  return (entry_instances + 1) / 2 + 1;
}
