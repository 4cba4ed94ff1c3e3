/* The attempts of one call to write to the store, and what the caller may be
 * told. Once an attempt may have taken effect, or may still do so, the caller
 * must not hear that its call was rejected, until a later answer of the store
 * shows that it cannot. See docs/design/rejections.md. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Zero-initialised: no attempt was made. */
struct gr_attempts
{
  bool unresolved;         /* an attempt may take effect, or may have */
  int64_t config_revision; /* newest one that an unresolved attempt requires */
  GPtrArray *accounts;     /* char *; of unresolved attempts to store a job */
};

void gr_attempts_clear (struct gr_attempts *attempts);

/* An attempt has ended without a definite result. It requires that the
 * configuration has this revision, and stores a job of the account; 0 and NULL
 * if it does neither. */
void gr_attempts_add_unresolved (struct gr_attempts *attempts,
                                 int64_t config_revision,
                                 const char *account);

/* The store held no job of the id while its configuration had this revision, so
 * attempts that require an earlier one have no effect. */
void gr_attempts_job_absent (struct gr_attempts *attempts,
                             int64_t config_revision);

/* Another condition of all attempts does not hold any more, and the store holds
 * no job of the id that they could have stored. */
void gr_attempts_had_no_effect (struct gr_attempts *attempts);

/* True if a job of the account in the store can be that of an unresolved
 * attempt. */
bool gr_attempts_may_own (const struct gr_attempts *attempts,
                          const char *account);

/* True if the caller may be told that its call has not been carried out and
 * never will be. */
bool gr_attempts_may_reject (const struct gr_attempts *attempts);
