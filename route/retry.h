/* Retry budget of each account: a part of its first tries. Retries are made in
 * one place only, so they never nest. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Unused budget above this many retries is lost, so that a quiet day does not
 * pay for a storm of retries. */
#define GR_RETRY_MAX_SAVED 20

struct gr_retries;

struct gr_retries *gr_retries_create (uint32_t percent);
void gr_retries_destroy (struct gr_retries *retries);
void gr_retries_set_percent (struct gr_retries *retries, uint32_t percent);

void gr_retries_first_try (struct gr_retries *retries, const char *account);

/* Takes one retry out of the budget; false if it is used up. */
bool gr_retries_take (struct gr_retries *retries, const char *account);

/* Forgets an account that was deleted. */
void gr_retries_forget (struct gr_retries *retries, const char *account);
