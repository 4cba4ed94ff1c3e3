/* Selects the shard of a job that specifies no data centre. The choice depends
 * on settings, which may change between a submission and its repetition. The
 * first choice is therefore stored in the key-value service under
 * jobs/ACCOUNT/KEY and applies to every later submission with the same key
 * through any entry. */
#pragma once

#include "entry/internal.h"

struct gr_job_shards;

struct gr_job_shards *gr_job_shards_create (struct gr_kv *kv,
                                            const struct gr_clock *clock,
                                            uint32_t timeout_ms);

/* kv must be destroyed first: it ends the pending calls with an error, and
 * their callbacks use shards. */
void gr_job_shards_destroy (struct gr_job_shards *shards);

/* Stores wanted as the shard of the job key unless one is stored already,
 * and passes the stored shard to done. done is called exactly once, never
 * from within this call; shard is valid only during done. If the shard
 * cannot be determined, error has kind store-unavailable, and the job has
 * not been submitted. */
void gr_job_shards_resolve (struct gr_job_shards *shards,
                            const char *account,
                            const char *key,
                            const char *wanted,
                            void (*done) (const char *shard,
                                          const struct gr_error *error,
                                          void *context),
                            void *context);
