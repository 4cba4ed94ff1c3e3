#include "route/allot.h"

#include "route/limit.h"

/* Grants to one entry that may be valid at the same time: one term of reports,
 * GR_LIMIT_URGENT_REPORT_MS apart, plus a reserve. */
#define MAX_GRANTS 16

struct grant
{
  double rate_per_s;
  int64_t until_ms;
};

struct reporter
{
  int64_t stamp_ms; /* latest stamp that the entry echoed; its report was sent
                       at that time or later */
  double demand_per_s;
  struct grant grants[MAX_GRANTS];
  uint32_t next_grant;
};

struct account
{
  double rate_per_s;
  GHashTable *reporters;     /* entry to struct reporter */
  int64_t majority_since_ms; /* start of the current majority; -1: none */
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
      account->majority_since_ms = -1;
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
is_recent (const struct reporter *reporter, int64_t now_ms)
{
  return reporter->stamp_ms >= 0
         && now_ms - reporter->stamp_ms <= GR_LIMIT_TERM_MS;
}

static uint32_t
count_recent (const struct account *account, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, account->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_recent (value, now_ms) ? 1 : 0;
  return count;
}

/* Called before and after each report is applied: if the majority was lost in
 * between, for example while this process was paused, the two terms start
 * again. */
static void
update_majority (const struct gr_allot *allot,
                 struct account *account,
                 int64_t now_ms)
{
  if (count_recent (account, now_ms) < gr_majority (allot->entry_instances))
    account->majority_since_ms = -1;
  else if (account->majority_since_ms < 0)
    account->majority_since_ms = now_ms;
}

/* Returns the highest rate that the entry may still be using. */
static double
granted_rate (const struct reporter *reporter, int64_t now_ms)
{
  double rate_per_s = 0;

  for (uint32_t i = 0; i < MAX_GRANTS; i++)
    if (reporter->grants[i].until_ms > now_ms)
      rate_per_s = MAX (rate_per_s, reporter->grants[i].rate_per_s);
  return rate_per_s;
}

/* Drops the grants that the entry no longer uses. The echoed stamp shows which
 * reply the entry has received; it no longer uses older grants. Replies to one
 * entry arrive in order, because they are sent over one connection. */
static void
drop_superseded (struct reporter *reporter, int64_t stamp_ms)
{
  for (uint32_t i = 0; i < MAX_GRANTS; i++)
    if (reporter->grants[i].until_ms < stamp_ms + GR_LIMIT_TERM_MS)
      reporter->grants[i].until_ms = 0;
}

static double
granted_to_others (const struct account *account,
                   const struct reporter *self,
                   int64_t now_ms)
{
  GHashTableIter iter;
  void *value;
  double sum_per_s = 0;

  g_hash_table_iter_init (&iter, account->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value != self)
      sum_per_s += granted_rate (value, now_ms);
  return sum_per_s;
}

static int
compare_demand (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

/* Returns the demand above the floor, plus 5 % for growth of the demand within
 * a term. */
static double
demand_above_floor (const struct gr_allot *allot,
                    const struct account *account,
                    const struct reporter *reporter)
{
  double floor_per_s = account->rate_per_s / 2 / (allot->entry_instances + 1);

  return MAX (0, reporter->demand_per_s * 1.05 - floor_per_s);
}

/* Returns the max-min fair share of the shared half: small demands are met in
 * full, the rest is divided equally. Of a remainder that no entry needs, 1/2 is
 * divided equally to cover sudden demand. The other 1/2 is held back for the
 * next entry whose demand rises, which would otherwise have to wait until the
 * grants of the others have expired. */
static double
fair_share (const struct gr_allot *allot,
            const struct account *account,
            const struct reporter *self,
            int64_t now_ms)
{
  g_autoptr (GArray) demands = g_array_new (FALSE, FALSE, sizeof (double));
  double remaining_per_s = account->rate_per_s / 2;
  double fair_per_s = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, account->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_recent (value, now_ms))
      {
        double demand_per_s = demand_above_floor (allot, account, value);

        g_array_append_val (demands, demand_per_s);
      }
  g_array_sort (demands, compare_demand);
  for (guint i = 0; i < demands->len; i++)
    {
      double demand_per_s = g_array_index (demands, double, i);
      double equal_per_s = remaining_per_s / (demands->len - i);

      fair_per_s = equal_per_s;
      if (demand_per_s >= equal_per_s)
        return MIN (demand_above_floor (allot, account, self), fair_per_s);
      remaining_per_s -= demand_per_s;
    }
  return demand_above_floor (allot, account, self)
         + remaining_per_s / 2 / MAX (1, demands->len);
}

static struct reporter *
get_or_add_reporter (struct account *account, const char *entry)
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
remove_stale_reporters (struct account *account, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, account->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_recent (value, now_ms) && granted_rate (value, now_ms) <= 0)
      g_hash_table_iter_remove (&iter);
}

double
gr_allot_handle_report (struct gr_allot *allot,
                        const char *name,
                        const char *entry,
                        double demand_per_s,
                        int64_t stamp_ms,
                        int64_t now_ms)
{
  struct account *account = g_hash_table_lookup (allot->accounts, name);
  struct reporter *reporter;
  struct grant *grant;
  double available_per_s;

  if (account == NULL || stamp_ms < 0 || stamp_ms > now_ms)
    return 0;
  update_majority (allot, account, now_ms);
  remove_stale_reporters (account, now_ms);
  reporter = get_or_add_reporter (account, entry);
  reporter->stamp_ms = MAX (reporter->stamp_ms, stamp_ms);
  drop_superseded (reporter, reporter->stamp_ms);
  reporter->demand_per_s = demand_per_s;
  update_majority (allot, account, now_ms);
  if (account->majority_since_ms < 0
      || now_ms - account->majority_since_ms < 2LL * GR_LIMIT_TERM_MS
      || !is_recent (reporter, now_ms))
    return 0;
  available_per_s =
      account->rate_per_s / 2 - granted_to_others (account, reporter, now_ms);
  grant = &reporter->grants[reporter->next_grant];
  reporter->next_grant = (reporter->next_grant + 1) % MAX_GRANTS;
  if (grant->until_ms > now_ms)
    return 0; /* more reports within one term than MAX_GRANTS */
  grant->rate_per_s = MAX (
      0, MIN (available_per_s, fair_share (allot, account, reporter, now_ms)));
  grant->until_ms = now_ms + GR_LIMIT_TERM_MS;
  return grant->rate_per_s;
}
