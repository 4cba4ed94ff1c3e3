/* Removes the records of jobs that have been final for long enough, so that
 * the store and the mirrors do not grow without limit. Run by the owner. */
#pragma once

#include "instance/owner.h"

struct gr_expiry;

/* revision is that of the owner's record. Removals depend on it, so that the
 * store refuses those of a former owner. */
struct gr_expiry *gr_expiry_create (const struct gr_owner_deps *deps,
                                    int64_t revision);
void gr_expiry_destroy (struct gr_expiry *expiry);

/* Returns true if the records of the job may be removed: its final state was
 * shown for retention_ms, which the platform requires, plus a margin. */
bool gr_expiry_is_due (const struct gr_mirror_job *job,
                       int64_t retention_ms,
                       int64_t now_ms);

/* Removes a batch of expired records, unless a removal is in flight or less
 * than the removal period has passed. */
void gr_expiry_run (struct gr_expiry *expiry);
