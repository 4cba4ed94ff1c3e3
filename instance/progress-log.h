/* Writes the progress of jobs to the store, many jobs in one transaction, each
 * conditional on the owner's record and on the progress that was written
 * before, so that a write that is carried out late changes nothing. */
#pragma once

#include "instance/mirror.h"

struct gr_progress_log;

struct gr_progress_log_events
{
  /* Everything that was added before the flush with this sequence is
   * durable. */
  void (*committed) (uint64_t sequence, void *context);
  /* Another instance is the owner; nothing more is written. */
  void (*not_owner) (void *context);
  void *context;
};

/* owner_revision is that of the owner's record. */
struct gr_progress_log *
gr_progress_log_create (struct gr_metastore *store,
                        struct gr_mirror *mirror,
                        int64_t owner_revision,
                        const struct gr_progress_log_events *events);
/* A write that is open may still be carried out. */
void gr_progress_log_destroy (struct gr_progress_log *log);

/* The job's progress is value. */
void gr_progress_log_add (struct gr_progress_log *log,
                          const char *job_id,
                          GBytes *value);
/* Writes what was added; sequence is that of the last change. */
void gr_progress_log_flush (struct gr_progress_log *log, uint64_t sequence);
