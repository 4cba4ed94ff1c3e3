#include "instance/attempts.h"

void
gr_attempts_clear (struct gr_attempts *attempts)
{
  g_clear_pointer (&attempts->accounts, g_ptr_array_unref);
  *attempts = (struct gr_attempts){ 0 };
}

void
gr_attempts_add_unresolved (struct gr_attempts *attempts,
                            int64_t config_revision,
                            const char *account)
{
  attempts->unresolved = true;
  attempts->config_revision = MAX (attempts->config_revision, config_revision);
  if (account == NULL || gr_attempts_may_own (attempts, account))
    return;
  if (attempts->accounts == NULL)
    attempts->accounts = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (attempts->accounts, g_strdup (account));
}

void
gr_attempts_job_absent (struct gr_attempts *attempts, int64_t config_revision)
{
  if (config_revision > attempts->config_revision)
    gr_attempts_had_no_effect (attempts);
}

void
gr_attempts_had_no_effect (struct gr_attempts *attempts)
{
  gr_attempts_clear (attempts);
}

bool
gr_attempts_may_own (const struct gr_attempts *attempts, const char *account)
{
  return attempts->accounts != NULL
         && g_ptr_array_find_with_equal_func (attempts->accounts, account,
                                              g_str_equal, NULL);
}

bool
gr_attempts_may_reject (const struct gr_attempts *attempts)
{
  return !attempts->unresolved;
}
