#include "route/retry.h"

#include <glib.h>

struct gr_retries
{
  GHashTable *budget; /* account to int64_t *, in hundredths of a retry */
  uint32_t percent;
};

struct gr_retries *
gr_retries_create (uint32_t percent)
{
  struct gr_retries *retries = g_new0 (struct gr_retries, 1);

  retries->budget =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  retries->percent = percent;
  return retries;
}

void
gr_retries_destroy (struct gr_retries *retries)
{
  if (retries == NULL)
    return;
  g_hash_table_destroy (retries->budget);
  g_free (retries);
}

void
gr_retries_set_percent (struct gr_retries *retries, uint32_t percent)
{
  retries->percent = percent;
}

void
gr_retries_record_first_try (struct gr_retries *retries, const char *account)
{
  int64_t *budget = g_hash_table_lookup (retries->budget, account);

  if (budget == NULL)
    {
      budget = g_new0 (int64_t, 1);
      g_hash_table_insert (retries->budget, g_strdup (account), budget);
    }
  *budget = MIN (*budget + retries->percent, 100LL * GR_RETRY_MAX_BUDGET);
}

bool
gr_retries_take (struct gr_retries *retries, const char *account)
{
  int64_t *budget = g_hash_table_lookup (retries->budget, account);

  if (budget == NULL || *budget < 100)
    return false;
  *budget -= 100;
  return true;
}

void
gr_retries_remove_account (struct gr_retries *retries, const char *account)
{
  g_hash_table_remove (retries->budget, account);
}
