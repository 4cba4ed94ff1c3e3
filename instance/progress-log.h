/* Writes the progress of jobs to the store, many jobs per transaction. Each
 * transaction depends on the owner's record and on the previous progress
 * records, so that a write that is carried out late changes nothing. */
#pragma once

#include "instance/mirror.h"

struct gr_progress_log;

struct gr_progress_log_events
{
  /* Everything added before the flush with this sequence is durable. */
  void (*committed) (uint64_t sequence, void *context);
  /* Another instance is the owner. Nothing more is written. */
  void (*not_owner) (void *context);
  void *context;
};

/* owner_revision is that of the owner's record. store and mirror must outlive
 * the log. */
struct gr_progress_log *
gr_progress_log_create (struct gr_metastore *store,
                        struct gr_mirror *mirror,
                        int64_t owner_revision,
                        const struct gr_progress_log_events *events);
/* A write in flight may still take effect. */
void gr_progress_log_destroy (struct gr_progress_log *log);

/* Sets the progress record of the job, to be written with the next flush.
 * Replaces a value that is not written yet. The log keeps a reference to
 * value. */
void gr_progress_log_add (struct gr_progress_log *log,
                          const char *job_id,
                          GBytes *value);
/* Starts to write what was added. sequence is that of the last change. */
void gr_progress_log_flush (struct gr_progress_log *log, uint64_t sequence);
