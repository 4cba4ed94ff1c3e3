/* Removes the records of jobs that were final for long enough, so that the
 * store and the copies of it do not grow without an end. Run by the owner. */
#pragma once

#include "instance/owner.h"

struct gr_expiry;

/* revision: of the owner's record; removals are refused to a former owner. */
struct gr_expiry *gr_expiry_create (const struct gr_owner_parts *parts,
                                    int64_t revision);
void gr_expiry_destroy (struct gr_expiry *expiry);

/* The records of the job can go: its state was shown for the whole time that
 * the platform asks for. */
bool gr_expiry_is_due (const struct gr_mirror_job *job,
                       int64_t kept_ms,
                       int64_t now_ms);

/* Removes some records that are due, if no removal is under way. */
void gr_expiry_run (struct gr_expiry *expiry);
