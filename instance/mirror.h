/* Mirror: an in-memory copy of the project's records in the store, kept up to
 * date by a watch. Every instance has one. It answers queries about jobs, and
 * shortens a takeover. */
#pragma once

#include "common/clock.h"
#include "instance/epoch-record.h"
#include "instance/records.h"
#include "instance/release.h"
#include "instance/tombstones.h"
#include "platform/metastore.h"

struct gr_mirror;

struct gr_mirror_job
{
  struct gr_job_spec *spec; /* NULL until the job record was read */
  int64_t job_revision;
  struct gr_job_progress progress; /* from the newest progress record */
  int64_t progress_revision;       /* 0: no progress record */
  int64_t cancel_revision;         /* 0: not cancelled */
  bool started;           /* the owner has published that a task has started */
  int64_t final_since_ms; /* when it was found to be final (time of clock, in
                             ms); 0: not final */
};

struct gr_mirror_events
{
  /* A record of the job was read or has changed. */
  void (*job_changed) (const char *id,
                       const struct gr_mirror_job *job,
                       void *context);
  /* The owner's record was created, changed or removed, or all records were
   * read for the first time. */
  void (*owner_changed) (void *context);
  void *context;
};

/* Starts to read and watch the records. Callbacks of events may be NULL. clock
 * must outlive the mirror. The store must be destroyed before the mirror, which
 * ends the calls in flight. */
struct gr_mirror *gr_mirror_create (struct gr_metastore *store,
                                    const struct gr_clock *clock,
                                    const struct gr_mirror_events *events);
void gr_mirror_destroy (struct gr_mirror *mirror);

/* With low_latency the watch is repeated almost without a pause, as the owner
 * needs it. Otherwise a longer pause saves store calls. */
void gr_mirror_set_low_latency (struct gr_mirror *mirror, bool low_latency);

/* Returns true if all records were read at least once. */
bool gr_mirror_is_loaded (const struct gr_mirror *mirror);

/* True if the watch has failed or is silent, so that changes may be missing. A
 * single record can still be read from the store. */
bool gr_mirror_is_overdue (const struct gr_mirror *mirror);

/* Returns the time (of clock, in ms) at which the last successful read or watch
 * was sent; the mirror was up to date at that time. */
int64_t gr_mirror_current_ms (const struct gr_mirror *mirror);

/* Returns the revision of the store up to which the mirror has all changes. */
int64_t gr_mirror_watched_revision (const struct gr_mirror *mirror);

/* Returns the number of jobs in the mirror. */
uint32_t gr_mirror_size (const struct gr_mirror *mirror);

/* Returns NULL if the mirror holds no such job. */
const struct gr_mirror_job *gr_mirror_find (const struct gr_mirror *mirror,
                                            const char *id);

/* Reads all records again, never with a stale read. done may be NULL; it is
 * called with the result unless the store client is destroyed first. */
void gr_mirror_reload (struct gr_mirror *mirror,
                       void (*done) (bool loaded, void *context),
                       void *context);

/* Applies a record that was read or written outside the watch. Older revisions
 * are ignored. */
void gr_mirror_apply (struct gr_mirror *mirror,
                      const struct gr_metastore_item *item);

/* Calls visit for each job whose job record was read. */
void gr_mirror_each (const struct gr_mirror *mirror,
                     void (*visit) (const char *id,
                                    const struct gr_mirror_job *job,
                                    void *context),
                     void *context);

/* Returns the revision of the owner's record and sets *text to its value; 0
 * and NULL if there is none. */
int64_t gr_mirror_owner (const struct gr_mirror *mirror, const char **text);

/* Returns the revision of the list of workers that an owner hands over, 0 if
 * there is none, and sets *text to the list: workers that may have runs
 * although they may be missing from the registry, one line per worker with its
 * id and address. Never NULL; valid until the record changes. */
int64_t gr_mirror_handover_workers (const struct gr_mirror *mirror,
                                    const char **text);

/* Returns the newest record of learned run times and speeds; NULL if there is
 * none. Owned by the mirror; valid until the record changes. */
GBytes *gr_mirror_learned (const struct gr_mirror *mirror);

/* Returns the ids that were cancelled without a job; owned by the mirror. */
const struct gr_tombstones *
gr_mirror_tombstones (const struct gr_mirror *mirror);

/* Returns the record of the wave, as text; NULL if there is none. */
const char *gr_mirror_wave_record (const struct gr_mirror *mirror,
                                   int64_t wave);

/* Returns which owner has last said that it has stopped. */
struct gr_release gr_mirror_released (const struct gr_mirror *mirror);
/* Returns the revision of that record, 0 if there is none. */
int64_t gr_mirror_released_revision (const struct gr_mirror *mirror);

/* Returns the epoch of the last owner, 0 if there was none, and sets *revision
 * to the revision of its record. */
int64_t gr_mirror_last_epoch (const struct gr_mirror *mirror,
                              int64_t *revision);

/* Returns the record of the last epoch, all 0 if there is none. Owned by the
 * mirror. */
const struct gr_epoch_record *
gr_mirror_epoch_record (const struct gr_mirror *mirror);
