/* A process that owned the scheduling and was started again. By holding its
 * address it knows that the former process has ended, and says so for it, as
 * that one could not; see docs/design/former-owner.md. */
#pragma once

#include "instance/mirror.h"
#include "platform/metastore.h"

/* Ends the lease of the former process of this instance if that process is the
 * owner, and announces that it has stopped if it was the last owner or the one
 * before. process names this process as in the epoch's record, NULL does
 * nothing. To be called once, with a loaded mirror, after this process has
 * bound its address and before it contends for the ownership. */
void gr_former_process_release (struct gr_metastore *store,
                                const struct gr_mirror *mirror,
                                const char *instance,
                                const char *process);
