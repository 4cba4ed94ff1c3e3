#include "route/allot.h"

#include "route/limit.h"

/* Allotments to one entry that may be valid at the same time: one term of
 * reports, and some to spare. */
#define MAX_GRANTS 16

struct grant
{
  double rate_per_s;
  int64_t until_ms;
};

struct reporter
{
  int64_t stamp_ms; /* a report was sent at this time or later */
  double demand_per_s;
  struct grant grants[MAX_GRANTS];
  uint32_t next_grant;
};

struct account
{
  double rate_per_s;
  GHashTable *reporters; /* entry to struct reporter */
  int64_t held_since_ms; /* -1: no majority */
};

struct gr_allot
{
  GHashTable *accounts; /* name to struct account */
  uint32_t entry_instances;
};

static void
account_free (void *data)
{
  struct account *account = data;

  g_hash_table_destroy (account->reporters);
  g_free (account);
}

struct gr_allot *
gr_allot_create (uint32_t entry_instances)
{
  struct gr_allot *allot = g_new0 (struct gr_allot, 1);

  allot->accounts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, account_free);
  allot->entry_instances = entry_instances;
  return allot;
}

void
gr_allot_destroy (struct gr_allot *allot)
{
  if (allot == NULL)
    return;
  g_hash_table_destroy (allot->accounts);
  g_free (allot);
}

void
gr_allot_set_instances (struct gr_allot *allot, uint32_t entry_instances)
{
  allot->entry_instances = entry_instances;
}

void
gr_allot_set_account (struct gr_allot *allot,
                      const char *name,
                      double rate_per_s)
{
  struct account *account = g_hash_table_lookup (allot->accounts, name);

  if (account == NULL)
    {
      account = g_new0 (struct account, 1);
      account->reporters =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      account->held_since_ms = -1;
      g_hash_table_insert (allot->accounts, g_strdup (name), account);
    }
  account->rate_per_s = rate_per_s;
}

void
gr_allot_remove_account (struct gr_allot *allot, const char *name)
{
  g_hash_table_remove (allot->accounts, name);
}

static bool
is_fresh (const struct reporter *reporter, int64_t now_ms)
{
  return reporter->stamp_ms >= 0
         && now_ms - reporter->stamp_ms <= GR_LIMIT_TERM_MS;
}

static uint32_t
count_fresh (const struct account *account, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, account->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_fresh (value, now_ms) ? 1 : 0;
  return count;
}

/* Called before and after each report is taken: a majority that was lost in
 * between, for example in a pause of this process, must be held anew. */
static void
check_majority (const struct gr_allot *allot,
                struct account *account,
                int64_t now_ms)
{
  if (count_fresh (account, now_ms) < gr_majority (allot->entry_instances))
    account->held_since_ms = -1;
  else if (account->held_since_ms < 0)
    account->held_since_ms = now_ms;
}

/* The highest rate that the entry may still be using. */
static double
outstanding (const struct reporter *reporter, int64_t now_ms)
{
  double rate_per_s = 0;

  for (uint32_t i = 0; i < MAX_GRANTS; i++)
    if (reporter->grants[i].until_ms > now_ms)
      rate_per_s = MAX (rate_per_s, reporter->grants[i].rate_per_s);
  return rate_per_s;
}

/* The echoed stamp shows which answer the entry has: allotments from before it
 * are not used any more. Answers to one entry arrive in order, because they
 * come over one connection. */
static void
drop_replaced (struct reporter *reporter, int64_t stamp_ms)
{
  for (uint32_t i = 0; i < MAX_GRANTS; i++)
    if (reporter->grants[i].until_ms < stamp_ms + GR_LIMIT_TERM_MS)
      reporter->grants[i].until_ms = 0;
}

static double
outstanding_of_others (const struct account *account,
                       const struct reporter *self,
                       int64_t now_ms)
{
  GHashTableIter iter;
  void *value;
  double sum_per_s = 0;

  g_hash_table_iter_init (&iter, account->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value != self)
      sum_per_s += outstanding (value, now_ms);
  return sum_per_s;
}

static int
compare_demand (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

/* Demand that the floor does not cover, with room for growth within a term. */
static double
wanted (const struct gr_allot *allot,
        const struct account *account,
        const struct reporter *reporter)
{
  double floor_per_s = account->rate_per_s / 2 / (allot->entry_instances + 1);

  return MAX (0, reporter->demand_per_s * 1.05 - floor_per_s);
}

/* Max-min fair share of the half: small demands are met, the rest is divided
 * equally. Of what nobody wants, one part is divided equally for sudden demand,
 * the other is kept for the next one that asks, who would else have to wait
 * until the allotments of others have expired. */
static double
fair_share (const struct gr_allot *allot,
            const struct account *account,
            const struct reporter *self,
            int64_t now_ms)
{
  g_autoptr (GArray) demands = g_array_new (FALSE, FALSE, sizeof (double));
  double left_per_s = account->rate_per_s / 2;
  double level_per_s = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, account->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_fresh (value, now_ms))
      {
        double demand_per_s = wanted (allot, account, value);

        g_array_append_val (demands, demand_per_s);
      }
  g_array_sort (demands, compare_demand);
  for (guint i = 0; i < demands->len; i++)
    {
      double demand_per_s = g_array_index (demands, double, i);
      double equal_per_s = left_per_s / (demands->len - i);

      level_per_s = equal_per_s;
      if (demand_per_s >= equal_per_s)
        return MIN (wanted (allot, account, self), level_per_s);
      left_per_s -= demand_per_s;
    }
  return wanted (allot, account, self) + left_per_s / 2 / MAX (1, demands->len);
}

static struct reporter *
ensure_reporter (struct account *account, const char *entry)
{
  struct reporter *reporter = g_hash_table_lookup (account->reporters, entry);

  if (reporter == NULL)
    {
      reporter = g_new0 (struct reporter, 1);
      reporter->stamp_ms = -1;
      g_hash_table_insert (account->reporters, g_strdup (entry), reporter);
    }
  return reporter;
}

static void
forget_silent (struct account *account, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, account->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_fresh (value, now_ms) && outstanding (value, now_ms) <= 0)
      g_hash_table_iter_remove (&iter);
}

double
gr_allot_report (struct gr_allot *allot,
                 const char *name,
                 const char *entry,
                 double demand_per_s,
                 int64_t stamp_ms,
                 int64_t now_ms)
{
  struct account *account = g_hash_table_lookup (allot->accounts, name);
  struct reporter *reporter;
  struct grant *grant;
  double free_per_s;

  if (account == NULL || stamp_ms < 0 || stamp_ms > now_ms)
    return 0;
  check_majority (allot, account, now_ms);
  forget_silent (account, now_ms);
  reporter = ensure_reporter (account, entry);
  reporter->stamp_ms = MAX (reporter->stamp_ms, stamp_ms);
  drop_replaced (reporter, reporter->stamp_ms);
  reporter->demand_per_s = demand_per_s;
  check_majority (allot, account, now_ms);
  if (account->held_since_ms < 0
      || now_ms - account->held_since_ms < 2LL * GR_LIMIT_TERM_MS
      || !is_fresh (reporter, now_ms))
    return 0;
  free_per_s = account->rate_per_s / 2
               - outstanding_of_others (account, reporter, now_ms);
  grant = &reporter->grants[reporter->next_grant];
  reporter->next_grant = (reporter->next_grant + 1) % MAX_GRANTS;
  if (grant->until_ms > now_ms)
    return 0; /* reports came too fast to remember all allotments */
  grant->rate_per_s =
      MAX (0, MIN (free_per_s, fair_share (allot, account, reporter, now_ms)));
  grant->until_ms = now_ms + GR_LIMIT_TERM_MS;
  return grant->rate_per_s;
}
