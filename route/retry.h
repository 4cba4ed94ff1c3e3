/* Retry budget of each account: a percentage of its first tries. Requests are
 * retried in one layer only, so retries are never nested. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Maximum saved budget, in retries. Without it, a long quiet period would
 * permit a retry storm. */
#define GR_RETRY_MAX_BUDGET 20

struct gr_retries;

struct gr_retries *gr_retries_create (uint32_t percent);
void gr_retries_destroy (struct gr_retries *retries);
void gr_retries_set_percent (struct gr_retries *retries, uint32_t percent);

/* Records a first try, which adds percent / 100 of a retry to the budget. */
void gr_retries_record_first_try (struct gr_retries *retries,
                                  const char *account);

/* Takes one retry from the account's budget; returns false if the budget is
 * used up. */
bool gr_retries_take (struct gr_retries *retries, const char *account);

/* Removes the budget of an account that was deleted. */
void gr_retries_remove_account (struct gr_retries *retries,
                                const char *account);
