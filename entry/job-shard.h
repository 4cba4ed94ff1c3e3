/* The shard of a job that names no data centre. It follows from settings, which
 * may change between a submission and its repeat; so the first choice is kept
 * in the key-value service, under jobs/ACCOUNT/KEY, and holds for every later
 * submission of the same key through any entry. */
#pragma once

#include "entry/internal.h"

struct gr_job_shards;

struct gr_job_shards *gr_job_shards_create (struct gr_kv *kv,
                                            const struct gr_clock *clock,
                                            uint32_t timeout_ms);

/* Calls that wait end with kind cancelled when kv is destroyed, which must be
 * before this. */
void gr_job_shards_destroy (struct gr_job_shards *shards);

/* Keeps wanted as the shard of the key, or finds the one that was kept before.
 * done is called exactly once, never from inside the call; shard is valid
 * during done. Kind store-unavailable if it is not known; the job was not
 * submitted then. */
void gr_job_shards_keep (struct gr_job_shards *shards,
                         const char *account,
                         const char *key,
                         const char *wanted,
                         void (*done) (const char *shard,
                                       const struct gr_error *error,
                                       void *context),
                         void *context);
